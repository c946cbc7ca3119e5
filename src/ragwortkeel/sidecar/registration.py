"""Registering a sidecar, and what it has to know before it takes work.

The order of calls is the guard: the sidecar is in the platform's list first and
reads the seals after, while a sealer writes the seal first and reads the list
after.  Whichever came first, one of them sees the other.
"""

from collections.abc import Callable
from dataclasses import dataclass

import curio
import msgspec

from ragwortkeel.configuration import FENCES, NODES, SEALS, Node
from ragwortkeel.exceptions import (
    AlreadyExists,
    OutcomeUnknown,
    PlatformError,
    VersionConflict,
)
from ragwortkeel.platform import Platform

RETRY_INTERVAL_SECONDS = 1.0
SEALS_READ_INTERVAL_SECONDS = 120.0
"""Only a second line, as a sealer tells each registered sidecar itself: two reads
by 10,000 sidecars in that time are 167 a second, a twelfth of what there is."""


class _Fence(msgspec.Struct, frozen=True, kw_only=True):
    """The highest fencing number given out for an upstream, and to whom."""

    number: int
    incarnation: str


@dataclass(frozen=True, kw_only=True)
class Registration:
    """What a registered sidecar holds.

    `fencing_number` is higher than that of every sidecar of the same upstream
    that registered before; `sealed` are router incarnations.
    """

    fencing_number: int
    sealed: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class SealsRead:
    """The router incarnations that were sealed when last looked."""

    routers: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class RegistrationLost:
    """Another process took this sidecar off the list; it has to join again."""


class Registrar:
    """The task that keeps a sidecar registered and reads the seals.

    Parameters
    ----------
    node
        Returns what to register; called once the address is known.
    inbox
        Takes `Registration`, `SealsRead` and `RegistrationLost`.
    """

    def __init__(
        self, *, platform: Platform, node: Callable[[], Node], inbox: curio.Queue
    ) -> None:
        self._platform = platform
        self._node = node
        self._inbox = inbox

    async def run(self) -> None:
        """Register, and again once struck off, until cancelled."""
        while True:
            try:
                registration = await register(self._platform, self._node())
            except PlatformError:
                await curio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            await self._inbox.put(registration)
            await self._watch_registration()
            await self._inbox.put(RegistrationLost())

    async def deregister(self) -> bool:
        """Take the sidecar off the list; return whether that is sure."""
        try:
            await deregister(self._platform, self._node())
        except PlatformError:
            return False
        return True

    async def _watch_registration(self) -> None:
        """Read the seals now and then; return once struck off."""
        while True:
            await curio.sleep(SEALS_READ_INTERVAL_SECONDS)
            try:
                routers = await read_seals(self._platform)
                on_list = await is_registered(self._platform, self._node())
            except PlatformError:
                continue
            if not on_list:
                return
            await self._inbox.put(SealsRead(routers=routers))


async def register(platform: Platform, node: Node) -> Registration:
    """Register, then read the seals.

    May be called again with the same node after any error of the platform.

    Raises
    ------
    PlatformError
        Nothing may be let in yet.
    """
    number = await _next_fencing_number(platform, node)
    await _create_node(platform, node)
    return Registration(fencing_number=number, sealed=await read_seals(platform))


async def read_seals(platform: Platform) -> frozenset[str]:
    """Return the router incarnations that are sealed."""
    listing = await platform.list(SEALS)
    return frozenset(listing.by_name)


async def is_registered(platform: Platform, node: Node) -> bool:
    """Whether the sidecar is still on the list.

    Failure: it was taken for dead and struck off while it was only cut off; a
    sealer does not find it any more and it would let sealed routers in.
    """
    return await platform.get(NODES, node.incarnation) is not None


async def deregister(platform: Platform, node: Node) -> None:
    """Take the sidecar off the list; harmless where it is off already.

    Only for one whose receipts are all durable: a sealer that doesn't find it
    takes it that nothing is left to ask.
    """
    stored = await platform.get(NODES, node.incarnation)
    if stored is not None:
        await platform.delete(NODES, node.incarnation, stored.version)


async def _next_fencing_number(platform: Platform, node: Node) -> int:
    while True:
        stored = await platform.get(FENCES, node.upstream)
        if stored is None:
            fence = _Fence(number=1, incarnation=node.incarnation)
        else:
            current = msgspec.json.decode(stored.value, type=_Fence)
            if current.incarnation == node.incarnation:
                return current.number
            fence = _Fence(number=current.number + 1, incarnation=node.incarnation)
        value = msgspec.json.encode(fence)
        try:
            if stored is None:
                await platform.create(FENCES, node.upstream, value)
            else:
                await platform.update(FENCES, node.upstream, value, stored.version)
        except (AlreadyExists, VersionConflict, OutcomeUnknown):
            # The next read tells whether the write was ours.
            continue
        return fence.number


async def _create_node(platform: Platform, node: Node) -> None:
    try:
        await platform.create(NODES, node.incarnation, msgspec.json.encode(node))
    except AlreadyExists:
        # An incarnation's name is its own: an earlier try took effect.
        return
