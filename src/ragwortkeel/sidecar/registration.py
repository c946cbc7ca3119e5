"""Registering a sidecar, and what it has to know before it takes work.

The order of calls is the guard: the sidecar is in the platform's list first and
reads the seals after, while a sealer writes the seal first and reads the list
after.  Whichever came first, one of them sees the other.
"""

from dataclasses import dataclass

import msgspec

from ragwortkeel.configuration import FENCES, NODES, SEALS, Node
from ragwortkeel.exceptions import AlreadyExists, OutcomeUnknown, VersionConflict
from ragwortkeel.platform import Platform


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
            held = msgspec.json.decode(stored.value, type=_Fence)
            if held.incarnation == node.incarnation:
                return held.number
            fence = _Fence(number=held.number + 1, incarnation=node.incarnation)
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
