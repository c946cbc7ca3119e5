"""Registration of a sidecar, and reading the seals before it admits work.

The order of the calls guards the seals: a sidecar registers, then reads the seals;
a sealer writes the seal, then reads the list of sidecars.  Whichever is first, at
least one of them sees the other.
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
"""Interval of the fallback reads; sealers also message each registered sidecar.

Two reads by each of 10,000 sidecars in 120 s make 167 reads a second, a twelfth of
the platform's capacity.
"""


class _Fence(msgspec.Struct, frozen=True, kw_only=True):
    """The highest fencing number of an upstream, and the incarnation that got it."""

    number: int
    incarnation: str


@dataclass(frozen=True, kw_only=True)
class Registration:
    """Fencing number and seals of a registered sidecar.

    `fencing_number` is higher than those of all sidecars that registered earlier
    for the same upstream.  `sealed` holds router incarnations.
    """

    fencing_number: int
    sealed: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class SealsRead:
    """The router incarnations that were sealed at the last read."""

    routers: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class RegistrationLost:
    """Another process removed this sidecar's registration; it registers again."""


class Registrar:
    """Keeps a sidecar registered and reads the seals.

    Parameters
    ----------
    node
        Returns the entry to register; called once the address is known.
    inbox
        Receives `Registration`, `SealsRead` and `RegistrationLost`.
    """

    def __init__(
        self, *, platform: Platform, node: Callable[[], Node], inbox: curio.Queue
    ) -> None:
        self._platform = platform
        self._node = node
        self._inbox = inbox

    async def run(self) -> None:
        """Register, and again whenever the registration is lost, until cancelled."""
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
        """Remove the registration; return whether the platform confirmed it."""
        try:
            await deregister(self._platform, self._node())
        except PlatformError:
            return False
        return True

    async def _watch_registration(self) -> None:
        """Read the seals periodically; return once the registration is lost."""
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

    The call may be repeated with the same node after any platform error.

    Raises
    ------
    PlatformError
        The registration is not certain, so no work may be admitted.
    """
    number = await _next_fencing_number(platform, node)
    await _create_node(platform, node)
    return Registration(fencing_number=number, sealed=await read_seals(platform))


async def read_seals(platform: Platform) -> frozenset[str]:
    """Return the router incarnations that are sealed."""
    listing = await platform.list(SEALS)
    return frozenset(listing.by_name)


async def is_registered(platform: Platform, node: Node) -> bool:
    """Return whether the sidecar is still registered.

    Failure prevented: a partitioned sidecar is taken for crashed and removed.
    Sealers no longer find it, and it would admit dispatches of sealed routers.
    """
    return await platform.get(NODES, node.incarnation) is not None


async def deregister(platform: Platform, node: Node) -> None:
    """Remove the registration; no error where it is removed already.

    Call this only once all receipts are durable: a sealer that doesn't find the
    sidecar assumes that it has no receipts left.
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
            # The next read shows whether this write took effect.
            continue
        return fence.number


async def _create_node(platform: Platform, node: Node) -> None:
    try:
        await platform.create(NODES, node.incarnation, msgspec.json.encode(node))
    except AlreadyExists:
        # Incarnation names are unique, so an earlier attempt took effect.
        return
