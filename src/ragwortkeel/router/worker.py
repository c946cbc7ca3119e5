"""The router daemon's work: the router, its budgets and its place in the fleet."""

from random import Random
from uuid import uuid4

import curio
import msgspec

from ragwortkeel.configuration import NODES, Node
from ragwortkeel.gossip import Partners
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.process import Leftover
from ragwortkeel.router.gateway import Observed
from ragwortkeel.router.neighbours import partners, zone_members
from ragwortkeel.router.router import Router
from ragwortkeel.settings import RouterSettings
from ragwortkeel.traces import Tracing, trace_id_of

NEIGHBOURS_SECONDS = 1.0


class RouterWorker:
    """Everything a router process runs.

    .. versionadded:: 0.1
    """

    def __init__(self, *, settings: RouterSettings) -> None:
        self.metrics = Metrics()
        self.tracing = Tracing(node=settings.name)
        self._settings = settings
        self._platform = HttpPlatform(address=settings.platform)
        self._router = Router(
            settings=settings,
            incarnation=f"{settings.name}-{uuid4().hex[:12]}",
            platform=self._platform,
            budgets=None,
            receipts=None,
            observe=self._observe,
            tracing=self.tracing,
            random=Random(),
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._router.ready

    def open(self) -> None:
        """Bind the sockets."""
        self._router.open()

    async def run(self) -> None:
        """Work until cancelled or until a task fails."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._router.run)
            await group.spawn(self._follow_neighbours)

    async def stop(self) -> Leftover:
        """Finish open requests, flush receipts, give slices back."""
        cut = await self._router.drain()
        await self._router.close()
        return Leftover(counts={"requests": cut})

    def in_force(self, kind: str, name: str) -> object:
        """Return the version in force of an object, or the revision."""
        store = self._router.store
        if kind not in store.kinds:
            return {"revision": store.revision, "version": None}
        found = store.get(kind, name)
        version = None if found is None else found.version
        return {"revision": store.revision, "version": version}

    def _observe(self, observed: Observed) -> None:
        refusal = observed.refusal
        outcome = "answered" if refusal is None else refusal.outcome
        reason = "" if refusal is None else refusal.reason
        self.metrics.request_ended(
            service=observed.profile.service, outcome=outcome, reason=reason
        )
        log_info(
            "request_ended",
            profile=observed.profile.name,
            request=observed.call.request_id,
            outcome=outcome,
            reason=reason,
            seconds=observed.seconds,
            trace=trace_id_of(observed.call.traceparent),
        )

    async def _follow_neighbours(self) -> None:
        settings = self._settings
        while True:
            nodes = list(self._nodes())
            addresses = partners(nodes, address=settings.address, zone=settings.zone)
            addresses = addresses or set(settings.peers)
            await self._router.peers.follow(addresses)
            change = Partners(
                addresses=tuple(addresses),
                zone_members=zone_members(nodes, settings.zone),
            )
            await self._router.gossip.inbox.put(change)
            await curio.sleep(NEIGHBOURS_SECONDS)

    def _nodes(self):
        for found in self._router.store.objects(NODES):
            if not found.gone:
                yield msgspec.json.decode(found.value, type=Node)
