"""The platform's objects that hold decisions on prompt blocks.

A decision has to outlive the processes, which may all lose power at once.  Each block
has an object of its own, which is written once for each decision and read at start.
"""

from collections.abc import Callable, Iterable
from hashlib import blake2b
from time import time

import curio
import msgspec

from ragwortkeel.exceptions import (
    AlreadyExists,
    ConfigurationUnreadable,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    ValueRefused,
    VersionConflict,
)
from ragwortkeel.ingress.configuration import UnixMilliseconds, decode_value
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.platform import Platform, Stored
from ragwortkeel.policy.block_quarantine import RETENTION_SECONDS, Decision
from ragwortkeel.policy.crash_evidence import Accusation

BLOCKS_KIND = "refused-blocks"

RETRY_SECONDS = 0.5
"""Delay of another call after one without an answer."""

REFRESH_SECONDS = 20.0
"""Interval at which a process that watches the platform reads operators' decisions."""

MIN_READ_SECONDS = 1.0
"""Shortest time between two reads; many engines may crash at once."""

MAX_WRITE_ATTEMPTS = 20
"""Bounds the attempts at one write; peers know of the decision as well."""


class StoredDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision as stored, with what accused the block.

    Attributes
    ----------
    stamp : int
        Unix milliseconds of the decision.
    crashes, requests : tuple of str
        Crashes that accused the block, and fingerprints of the requests in them.
    decided_by : str
        Process that found the block, or the operators' tool.
    """

    block: str
    stamp: UnixMilliseconds
    refused: bool = True
    crashes: tuple[str, ...] = ()
    requests: tuple[str, ...] = ()
    decided_by: str = ""


def object_name(block: str) -> str:
    """Return the name of a block's object; callers name blocks as they like."""
    return blake2b(block.encode(), digest_size=8).hexdigest()


class BlockStore:
    """Reads and writes the decisions in the platform.

    Parameters
    ----------
    is_watcher : callable
        Returns whether this process reads regularly on behalf of others.
    """

    def __init__(
        self, *, platform: Platform, node: str, is_watcher: Callable[[], bool]
    ) -> None:
        self._platform = platform
        self._node = node
        self._is_watcher = is_watcher
        self._unwritten: curio.Queue = curio.Queue()
        self._wants_read = curio.Event()

    async def save(self, decision: Decision, accusation: Accusation | None) -> None:
        """Write a decision soon, in the task of `write`."""
        value = StoredDecision(
            block=decision.block,
            stamp=decision.stamp,
            refused=decision.refused,
            crashes=tuple(sorted(accusation.crash_ids)) if accusation else (),
            requests=tuple(sorted(accusation.requests)) if accusation else (),
            decided_by=self._node,
        )
        await self._unwritten.put(value)

    async def write(self) -> None:
        """Write the decisions of this process until cancelled."""
        while True:
            value = await self._unwritten.get()
            for _ in range(MAX_WRITE_ATTEMPTS):
                if await self._try_write(value):
                    break
                await curio.sleep(RETRY_SECONDS)
            else:
                log_warning("block_not_stored", block=value.block, error="no success")

    async def request_read(self) -> None:
        """Read the decisions soon; peers may have made some that were not heard."""
        await self._wants_read.set()

    async def follow(self, merge: Callable[[Iterable[Decision]], None]) -> None:
        """Pass on the stored decisions, at start and later, until cancelled."""
        while True:
            try:
                merge(await self._read())
            except PlatformUnavailable as exc:
                log_info("blocks_not_read", error=str(exc))
                await curio.sleep(RETRY_SECONDS)
                continue
            await curio.sleep(MIN_READ_SECONDS)
            await self._wait_for_read()

    async def _wait_for_read(self) -> None:
        while not self._wants_read.is_set():
            async with curio.ignore_after(REFRESH_SECONDS):
                await self._wants_read.wait()
            if self._is_watcher():
                break
        self._wants_read.clear()

    async def _read(self) -> list[Decision]:
        listing = await self._platform.list(BLOCKS_KIND)
        decisions = []
        for stored in listing.by_name.values():
            value = _decode_or_none(stored)
            if value is None or await self._discard_old(stored, value):
                continue
            decisions.append(
                Decision(block=value.block, stamp=value.stamp, refused=value.refused)
            )
        return decisions

    async def _discard_old(self, stored: Stored, value: StoredDecision) -> bool:
        if time() - value.stamp / 1000 < RETENTION_SECONDS:
            return False
        try:
            await self._platform.delete(BLOCKS_KIND, stored.name, stored.version)
        except (
            ObjectNotFound,
            OutcomeUnknown,
            ValueRefused,
            VersionConflict,
        ) as exc:
            log_info("old_block_not_deleted", block=value.block, error=str(exc))
        return True

    async def _try_write(self, value: StoredDecision) -> bool:
        """Write a decision unless a later one is stored; return False to try again."""
        name, encoded = object_name(value.block), msgspec.json.encode(value)
        try:
            stored = await self._platform.get(BLOCKS_KIND, name)
            if stored is None:
                await self._platform.create(BLOCKS_KIND, name, encoded)
            else:
                current = _decode_or_none(stored)
                if current is not None and current.stamp >= value.stamp:
                    return True
                await self._platform.update(BLOCKS_KIND, name, encoded, stored.version)
        except ValueRefused as exc:
            log_warning("block_not_stored", block=value.block, error=str(exc))
            return True
        except (
            AlreadyExists,
            ObjectNotFound,
            OutcomeUnknown,
            PlatformUnavailable,
            VersionConflict,
        ) as exc:
            log_info("block_write_failed", block=value.block, error=repr(exc))
            return False
        log_info("block_stored", block=value.block, refused=value.refused)
        return True


def _decode_or_none(stored: Stored) -> StoredDecision | None:
    try:
        return decode_value(stored.value, StoredDecision)
    except ConfigurationUnreadable as exc:
        log_warning("object_unreadable", kind=BLOCKS_KIND, error=str(exc))
        return None
