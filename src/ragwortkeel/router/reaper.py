"""Settles the grants of failed routers by seals, never by timeouts.

`ragwortkeel.membership` decides which routers have failed, from two kinds of
evidence; a router that is sealed by mistake only continues under another
incarnation.  For each failed router the reaper writes the seal object, then sends
the seal to each registered sidecar, then updates the ledgers.  A seal stays open
until each sidecar in the router's grants has sent its final report or is removed.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import curio
import msgspec

from ragwortkeel.budget.ledger import Ledger, decode_ledger, encode_ledger
from ragwortkeel.budget.receipt import segments
from ragwortkeel.configuration import LEDGERS, NODES, SEALS, Node, Role
from ragwortkeel.exceptions import (
    AlreadyExists,
    LinkError,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformError,
    VersionConflict,
)
from ragwortkeel.logs import log_info
from ragwortkeel.messages import Seal, Sealed
from ragwortkeel.platform import Platform, Stored
from ragwortkeel.router.receipt_writer import write_segment

ROUND_INTERVAL_SECONDS = 2.0
"""Time between two rounds; in a round each sidecar receives each open seal once."""

SWEEP_INTERVAL_SECONDS = 60.0
"""Time between two rounds that process closed seals too: a sealed router that
doesn't know of its seal may still open a grant."""

MAX_UPDATE_ATTEMPTS = 8


class SealRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The seal object in the platform; its name is the router's incarnation.

    `by` is the incarnation that wrote it.  `closed` is set once no ledger has a
    grant of the router and all receipts that its sidecars reported are durable.
    """

    router: str
    by: str
    closed: bool = False


@dataclass(kw_only=True)
class _RoundResult:
    """Reports of the sidecars about one router in one round."""

    registered: set[str] = field(default_factory=set)
    sealed_by_sidecar: dict[str, Sealed] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)
    receipts_pending: bool = False


class Reaper:
    """Seals failed routers and settles their grants.

    Parameters
    ----------
    incarnation : callable
        Returns this router's incarnation.
    failed_routers : callable
        Returns the incarnations of the failed routers that this router seals.
    is_responsible : callable
        Returns whether this router processes the seal of an incarnation.
    is_removed : callable
        Returns whether a sidecar incarnation has failed and its upstream is
        retired or has another sidecar.
    request_seal : async callable
        Sends a `Seal` to the sidecar of a `Node` and returns its `Sealed`; raises
        `LinkError` if there is no answer.
    clock : callable
        Returns monotonic seconds.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        platform: Platform,
        incarnation: Callable[[], str],
        failed_routers: Callable[[], Iterable[str]],
        is_responsible: Callable[[str], bool],
        is_removed: Callable[[str], bool],
        request_seal: Callable[[Node, Seal], Awaitable[Sealed]],
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._incarnation = incarnation
        self._failed_routers = failed_routers
        self._is_responsible = is_responsible
        self._is_removed = is_removed
        self._request_seal = request_seal
        self._clock = clock
        self._swept_at: float | None = None

    async def run(self) -> None:
        """Run rounds until cancelled; a platform outage delays them."""
        while True:
            try:
                await self.run_round()
            except PlatformError as exc:
                log_info("reaper_waits", error=str(exc))
            await curio.sleep(ROUND_INTERVAL_SECONDS)

    async def run_round(self) -> None:
        """Seal newly failed routers and process each open seal once."""
        for router in self._failed_routers():
            await self._write_seal(router)
        for router in await self._seals_to_process():
            await self._process_seal(router)

    async def _write_seal(self, router: str) -> None:
        record = SealRecord(router=router, by=self._incarnation())
        try:
            await self._platform.create(SEALS, router, msgspec.json.encode(record))
        except AlreadyExists:
            return
        log_info("router_sealed", router=router)

    async def _seals_to_process(self) -> list[str]:
        listing = await self._platform.list(SEALS)
        now = self._clock()
        is_sweep = (
            self._swept_at is None or now - self._swept_at >= SWEEP_INTERVAL_SECONDS
        )
        if is_sweep:
            self._swept_at = now
        return [
            name
            for name, stored in listing.by_name.items()
            if self._is_responsible(name) and (is_sweep or not _record(stored).closed)
        ]

    async def _process_seal(self, router: str) -> None:
        # The seal was written before this list is read, so that a sidecar that
        # is not in the list yet reads the seal before it accepts runs.
        result = await self._ask_sidecars(router)
        await self._write_receipts(router, result)
        open_ledgers = 0
        listing = await self._platform.list(LEDGERS)
        for profile, stored in listing.by_name.items():
            if router in decode_ledger(stored.value).grants:
                open_ledgers += not await self._settle(profile, router, result)
        if not open_ledgers and not result.receipts_pending:
            await self._close_seal(router)

    async def _ask_sidecars(self, router: str) -> _RoundResult:
        result = _RoundResult()
        listing = await self._platform.list(NODES)
        nodes = [
            msgspec.json.decode(s.value, type=Node) for s in listing.by_name.values()
        ]
        sidecars = [node for node in nodes if node.role == Role.SIDECAR]
        result.registered = {node.incarnation for node in sidecars}
        async with curio.TaskGroup() as group:
            for node in sidecars:
                await group.spawn(self._ask_one, node, router, result)
        return result

    async def _ask_one(self, node: Node, router: str, result: _RoundResult) -> None:
        if self._is_removed(node.incarnation):
            result.removed.add(node.incarnation)
            return
        try:
            sealed = await self._request_seal(node, Seal(router=router))
        except LinkError:
            return
        # Another incarnation at the same address can't report for this one.
        if sealed.sidecar == node.incarnation:
            result.sealed_by_sidecar[node.incarnation] = sealed

    async def _write_receipts(self, router: str, result: _RoundResult) -> None:
        """Make the failed router's receipts durable before its grants are closed."""
        receipts = [
            receipt
            for sealed in result.sealed_by_sidecar.values()
            for receipt in sealed.receipts
        ]
        for segment in segments(writer=router, receipts=receipts):
            await write_segment(self._platform, segment)
        running = any(sealed.running for sealed in result.sealed_by_sidecar.values())
        result.receipts_pending = running

    async def _settle(self, profile: str, router: str, result: _RoundResult) -> bool:
        """Apply the reports to one ledger; return whether it has no grant left."""
        for _ in range(MAX_UPDATE_ATTEMPTS):
            stored = await self._platform.get(LEDGERS, profile)
            if stored is None:
                return True
            before = decode_ledger(stored.value)
            ledger = _with_reports(before, profile, router, result)
            if ledger == before:
                return router not in ledger.grants
            value = encode_ledger(ledger)
            try:
                await self._platform.update(LEDGERS, profile, value, stored.version)
            except (VersionConflict, ObjectNotFound, OutcomeUnknown):
                # Each change is idempotent, so an update with a lost answer is
                # repeated.
                continue
            return router not in ledger.grants
        return False

    async def _close_seal(self, router: str) -> None:
        stored = await self._platform.get(SEALS, router)
        if stored is None or _record(stored).closed:
            return
        record = msgspec.structs.replace(_record(stored), closed=True)
        value = msgspec.json.encode(record)
        try:
            await self._platform.update(SEALS, router, value, stored.version)
        except (VersionConflict, OutcomeUnknown):
            return
        log_info("seal_closed", router=router)


def _with_reports(
    ledger: Ledger, profile: str, router: str, result: _RoundResult
) -> Ledger:
    ledger = ledger.seal(router)
    for sidecar, sealed in result.sealed_by_sidecar.items():
        # Running attempts may still spend tokens, so that their sidecar
        # stays charged with its cap.
        if profile not in sealed.running:
            spent = sealed.ran.get(profile, 0)
            ledger = ledger.report(router=router, sidecar=sidecar, tokens=spent)
    grant = ledger.grants.get(router)
    for sidecar in sorted(grant.settled if grant else ()):
        # A sidecar that is not registered any more sends no further report.
        if sidecar in result.removed or sidecar not in result.registered:
            ledger = ledger.write_off(router=router, sidecar=sidecar)
    return ledger


def _record(stored: Stored) -> SealRecord:
    return msgspec.json.decode(stored.value, type=SealRecord)


def _node(stored: Stored) -> Node:
    return msgspec.json.decode(stored.value, type=Node)
