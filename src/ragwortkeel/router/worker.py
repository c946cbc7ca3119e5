"""The tasks of a router process: the router, its registration and its peers."""

from random import Random
from time import monotonic

import curio

from ragwortkeel.configuration import Node, Role
from ragwortkeel.configuration_store import InForce
from ragwortkeel.gossip import ExchangePeers
from ragwortkeel.membership import Liveness
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.process import Leftover
from ragwortkeel.registration import deregister, poll_list, register
from ragwortkeel.router.neighbours import peers_to_link, zone_router_addresses
from ragwortkeel.router.observer import Observer
from ragwortkeel.router.router import Router, new_incarnation
from ragwortkeel.settings import RouterSettings
from ragwortkeel.tasks import run_together
from ragwortkeel.traces import Tracing

NEIGHBOURS_INTERVAL_SECONDS = 1.0


class RouterWorker:
    """Runs a router and its registration, and selects its peers.

    .. versionadded:: 0.1
    """

    def __init__(self, *, settings: RouterSettings) -> None:
        self.metrics = Metrics()
        self.tracing = Tracing(node=settings.name)
        self._settings = settings
        self._observer = Observer(metrics=self.metrics)
        self._platform = HttpPlatform(
            address=settings.platform, on_failure=self._observer.record_platform_failure
        )
        self._router = Router(
            settings=settings,
            incarnation=new_incarnation(settings.name),
            platform=self._platform,
            observer=self._observer,
            tracing=self.tracing,
            random=Random(),
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests to this router."""
        return self._router.ready

    def open(self) -> None:
        """Bind the sockets."""
        self._router.open()

    async def run(self) -> None:
        """Run all tasks until cancelled or until one of them fails."""
        await run_together(
            self._router.run,
            self._update_neighbours,
            self._follow_list,
            self._stay_registered,
        )

    async def stop(self) -> Leftover:
        """Finish open requests, make receipts durable and return the slices."""
        unfinished = await self._router.drain()
        unsettled = await self._router.budgeting.close()
        await deregister(self._platform, self._node())
        await self._router.close()
        return Leftover(counts={"requests": unfinished, "undone": unsettled})

    def in_force(self, kind: str, name: str) -> InForce:
        """Return the state of a configuration object in this process."""
        return self._router.store.in_force(kind, name)

    def _node(self) -> Node:
        return Node(
            incarnation=self._router.incarnation,
            role=Role.ROUTER,
            zone=self._settings.zone,
            address=self._settings.address,
            http_address=self._settings.metrics,
        )

    async def _stay_registered(self) -> None:
        """Register the router, and again after a seal changes its incarnation."""
        while True:
            node = self._node()
            await register(self._platform, node)
            while node.incarnation == self._router.incarnation:
                await curio.sleep(NEIGHBOURS_INTERVAL_SECONDS)

    async def _follow_list(self) -> None:
        await poll_list(self._platform, self._router.membership)

    async def _update_neighbours(self) -> None:
        while True:
            await self._update_peers(monotonic())
            self._observer.set_gauges(self._router.gauges())
            await curio.sleep(NEIGHBOURS_INTERVAL_SECONDS)

    async def _update_peers(self, now: float) -> None:
        """Link to the selected peers and to the routers that need a probe."""
        settings, membership = self._settings, self._router.membership
        nodes = membership.nodes(now, *Liveness)
        present = [
            node
            for node in nodes
            if node.incarnation not in self._failed_incarnations(now)
        ]
        addresses = peers_to_link(present, address=settings.address, zone=settings.zone)
        addresses = addresses or set(settings.peers)
        probed = {
            n.address for n in membership.nodes_to_probe() if n.role == Role.ROUTER
        }
        followed = (addresses | probed) - {settings.address}
        await self._router.peers.set_addresses(followed)
        for node in nodes:
            if node.address in followed or self._router.is_linked_to(node):
                membership.record_probe(node.incarnation, now)
        members = zone_router_addresses(present, settings.zone)
        await self._router.set_zone_routers(members)
        change = ExchangePeers(addresses=tuple(addresses), zone_members=members)
        await self._router.gossip.inbox.put(change)

    def _failed_incarnations(self, now: float) -> set[str]:
        failed = self._router.membership.nodes(now, Liveness.FAILED)
        return {node.incarnation for node in failed}
