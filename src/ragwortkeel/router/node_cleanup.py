"""Takes dead nodes off the platform's list, so that it does not grow for ever.

At the target's size 140 instances die a day and none of them deregisters.
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
"""A paused machine or a long cut is over by then more often than not; a sidecar
that is taken off all the same joins again and reads the seals anew."""


class NodeCleanup:
    """Deregisters nodes that have been dead for long.

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
        """Look now and then until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_SECONDS)
            await self.remove_failed_nodes()

    async def remove_failed_nodes(self) -> None:
        """Take off what has been dead for long and is this router's to do."""
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
                # Whoever seals finds the dead by this list: a router taken off
                # before its seal would keep its slices for ever.
                return
        except PlatformError:
            return
        if await deregister(self._platform, node):
            log_info("dead_node_taken_off", node=incarnation)

    async def _is_sealed(self, router: str) -> bool:
        return await self._platform.get(SEALS, router) is not None
