"""Registration of a process in the platform, and polling of its list of instances."""

from collections.abc import Callable
from time import monotonic

import curio
import msgspec

from ragwortkeel.configuration import NODES, Node
from ragwortkeel.exceptions import AlreadyExists, PlatformError
from ragwortkeel.membership import Membership
from ragwortkeel.platform import Platform

RETRY_SECONDS = 1.0
POLL_SECONDS = 1.0


async def register(platform: Platform, node: Node) -> None:
    """Register the node; retry after each failure until it is registered."""
    value = msgspec.json.encode(node)
    while True:
        try:
            await platform.create(NODES, node.incarnation, value)
        except AlreadyExists:
            # Incarnations are unique, so an earlier attempt created the object though
            # its answer was lost.
            return
        except PlatformError:
            await curio.sleep(RETRY_SECONDS)
        else:
            return


async def deregister(platform: Platform, node: Node) -> bool:
    """Delete the node's registration; return whether the platform confirmed it.

    After a failure the routers remove the node once it is silent and missing from the
    platform's list.
    """
    try:
        stored = await platform.get(NODES, node.incarnation)
        if stored is not None:
            await platform.delete(NODES, node.incarnation, stored.version)
    except PlatformError:
        return False
    return True


async def poll_list(
    platform: Platform,
    membership: Membership,
    *,
    clock: Callable[[], float] = monotonic,
) -> None:
    """Read the platform's list of instances whenever it is due."""
    while True:
        if membership.is_list_due(clock()):
            await _read_list(platform, membership, clock)
        await curio.sleep(POLL_SECONDS)


async def _read_list(
    platform: Platform, membership: Membership, clock: Callable[[], float]
) -> None:
    asked_at = clock()
    try:
        instances = await platform.live()
    except PlatformError:
        return
    membership.merge_list(instances.values(), asked_at=asked_at)
