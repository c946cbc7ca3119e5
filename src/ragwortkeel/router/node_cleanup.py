"""Removes failed processes from the platform's list of nodes.

In a fleet of the target size 140 instances fail per day without deregistering,
so that the list would grow without bound.
"""

from collections.abc import Callable

import curio

from ragwortkeel.configuration import SEALS, Node, Role
from ragwortkeel.exceptions import PlatformError
from ragwortkeel.logs import log_info
from ragwortkeel.membership import Liveness, Membership
from ragwortkeel.platform import Platform
from ragwortkeel.registration import deregister

CHECK_INTERVAL_SECONDS = 10.0

REMOVAL_DELAY_SECONDS = 120.0
"""Most pauses and network partitions are shorter.  A sidecar that is removed and
still runs registers again and reads the seals again."""


class NodeCleanup:
    """Deregisters processes some time after they failed.

    Parameters
    ----------
    incarnation : callable
        Returns this router's incarnation.
    clock : callable
        Returns monotonic seconds.
    removal_delay_seconds : float
        Time from the failure of a process to its removal.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        platform: Platform,
        membership: Membership,
        incarnation: Callable[[], str],
        clock: Callable[[], float],
        removal_delay_seconds: float = REMOVAL_DELAY_SECONDS,
    ) -> None:
        self._platform = platform
        self._membership = membership
        self._incarnation = incarnation
        self._clock = clock
        self._removal_delay_seconds = removal_delay_seconds
        self._failed_since: dict[str, float] = {}

    async def run(self) -> None:
        """Remove failed processes periodically until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_SECONDS)
            await self.remove_failed_nodes()

    async def remove_failed_nodes(self) -> None:
        """Remove processes that failed `removal_delay_seconds` ago or earlier.

        Only the processes that this router is responsible for are removed.
        """
        now = self._clock()
        failed = self._membership.nodes(now, Liveness.FAILED)
        self._failed_since = {
            node.incarnation: self._failed_since.get(node.incarnation, now)
            for node in failed
        }
        for node in failed:
            if (
                now - self._failed_since[node.incarnation]
                >= self._removal_delay_seconds
            ):
                await self._remove(node, now)

    async def _remove(self, node: Node, now: float) -> None:
        incarnation = node.incarnation
        if not self._membership.is_responsible(incarnation, now, self._incarnation()):
            return
        try:
            if node.role == Role.ROUTER and not await self._is_sealed(incarnation):
                # The reaper finds failed routers in this list.  The slices of a
                # router that is removed before its seal would never be freed.
                return
        except PlatformError:
            return
        if await deregister(self._platform, node):
            log_info("dead_node_taken_off", node=incarnation)

    async def _is_sealed(self, router: str) -> bool:
        return await self._platform.get(SEALS, router) is not None
