"""The router daemon's work: the router, its budgets and its place in the fleet."""

from collections import defaultdict
from contextlib import suppress
from random import Random
from uuid import uuid4

import curio
import msgspec

from ragwortkeel.configuration import NODES, Node
from ragwortkeel.exceptions import (
    BudgetError,
    LinkLost,
)
from ragwortkeel.gossip import Partners
from ragwortkeel.logs import log_info
from ragwortkeel.membership import Membership
from ragwortkeel.messages import ReceiptsDurable
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.process import Leftover
from ragwortkeel.registration import deregister, follow_list, register
from ragwortkeel.router.gateway import Observed
from ragwortkeel.router.neighbours import ROUTER_ROLE, partners, zone_members
from ragwortkeel.router.plain_keeper import PlainKeeper
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
        self._membership = Membership()
        self._platform = HttpPlatform(address=settings.platform)
        incarnation = f"{settings.name}-{uuid4().hex[:12]}"
        self._keeper = PlainKeeper(platform=self._platform, router=incarnation)
        self._router = Router(
            settings=settings,
            incarnation=incarnation,
            platform=self._platform,
            budgets=self._keeper,
            receipts=self._keeper,
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
        registering = await curio.spawn(
            register, self._platform, self._node(), daemon=True
        )
        try:
            await self._run_tasks()
        finally:
            await registering.cancel()

    async def _run_tasks(self) -> None:
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._router.run)
            await group.spawn(self._follow_neighbours)
            await group.spawn(follow_list, self._platform, self._membership)
            await group.spawn(self._keeper.run)
            await group.spawn(self._tell_durable)

    async def stop(self) -> Leftover:
        """Finish open requests, flush receipts, give slices back."""
        cut = await self._router.drain()
        receipts = await self._keeper.flush()
        with suppress(BudgetError):
            await self._keeper.give_back()
        await deregister(self._platform, self._node())
        await self._router.close()
        return Leftover(counts={"requests": cut, "receipts": receipts})

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

    def _node(self) -> Node:
        return Node(
            incarnation=self._router.incarnation,
            role=ROUTER_ROLE,
            zone=self._settings.zone,
            address=self._settings.address,
            http_address=self._settings.metrics,
        )

    async def _tell_durable(self) -> None:
        """Tell sidecars which receipts they may drop."""
        while True:
            batch = await self._keeper.durable.get()
            nonces_by_sidecar = defaultdict(list)
            for receipt in batch:
                nonces_by_sidecar[receipt.sidecar].append(receipt.nonce)
            for sidecar, nonces in nonces_by_sidecar.items():
                upstream = self._router.pool.upstream_of(sidecar)
                if upstream is None:
                    continue
                with suppress(LinkLost):
                    message = ReceiptsDurable(nonces=tuple(nonces))
                    await self._router.pool.send(upstream, message)

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
