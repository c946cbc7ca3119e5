"""The central object of the router daemon, which runs its components as tasks."""

from random import Random
from time import monotonic
from uuid import uuid4

import curio

from ragwortkeel.configuration import UPSTREAMS, Node, Role, UpstreamState
from ragwortkeel.configuration_store import ConfigurationStore
from ragwortkeel.gossip import FromPeer, Gossip, MergeObjects
from ragwortkeel.httpio import HttpServer
from ragwortkeel.links import LinkDown, LinkUp, Received
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.membership import Membership
from ragwortkeel.messages import (
    AnyMessage,
    CrashSeen,
    Heartbeat,
    Refused,
    VersionedObject,
)
from ragwortkeel.platform import Platform
from ragwortkeel.policy.facts import LoadReport, UpstreamFacts
from ragwortkeel.policy.quarantine import Crash
from ragwortkeel.policy.scheduler import Scheduler
from ragwortkeel.policy.stop_plan import StopPlan
from ragwortkeel.router.budgeting import Budgeting
from ragwortkeel.router.components import Components
from ragwortkeel.router.directory import Directory
from ragwortkeel.router.dispatcher import Dispatcher
from ragwortkeel.router.gateway import Gateway
from ragwortkeel.router.intents import IntentStore
from ragwortkeel.router.neighbours import (
    upstreams_to_link,
)
from ragwortkeel.router.observer import Gauges, Observer
from ragwortkeel.router.peers import PeerLinks
from ragwortkeel.router.settlement import Settlement
from ragwortkeel.router.sidecars import SidecarPool
from ragwortkeel.settings import Address, RouterSettings
from ragwortkeel.tasks import run_together
from ragwortkeel.traces import Tracing

BALANCER_NOTICE_SECONDS = 1.0
"""Time between reporting as not ready and refusing connections on a planned stop,
so that the balancer's next check removes this router."""

DRAIN_POLL_SECONDS = 0.05

CLOSING_SECONDS = 0.2
"""Time for sending the answers to requests that the end of a stop ends."""

SIDECAR_PREFIX = "sidecar:"
"""Prefix of the names of gossip peers that are reached over sidecar links; the name
of the upstream follows."""


def new_incarnation(name: str) -> str:
    """Return a unique incarnation for the process with this name."""
    return f"{name}-{uuid4().hex[:12]}"


class Router:
    """A router, with its links to callers, sidecars and other routers.

    Parameters
    ----------
    settings : RouterSettings
        Names, addresses and the stop deadline.
    incarnation : str
        Unique name of this start of the process.
    platform : Platform
        The platform's client.
    observer : Observer
        Records requests, decisions and lost links.
    tracing : Tracing
        Records the spans.

    Examples
    --------
    >>> router = Router(settings=settings, incarnation="r1-7f3a", ...)
    >>> router.open()
    >>> task = await curio.spawn(router.run)
    >>> unfinished = await router.drain()

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        settings: RouterSettings,
        incarnation: str,
        platform: Platform,
        observer: Observer,
        tracing: Tracing,
        random: Random,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self._observer = observer
        self.store = ConfigurationStore()
        self.membership = Membership()
        self.directory = Directory(store=self.store)
        self.pool = SidecarPool(
            incarnation=lambda: self.incarnation,
            revision=self.revision,
            on_crash=self._receive_crash,
        )
        self.peers = PeerLinks(
            address=settings.address, incarnation=incarnation, revision=self.revision
        )
        self.gossip = Gossip(
            name=settings.address,
            zone=settings.zone,
            platform=platform,
            store=self.store,
            send=self._send,
            random=random,
            listener=self._apply_changes,
        )
        self.dispatcher = Dispatcher(
            scheduler=Scheduler(zone=settings.zone, random=random),
            observer=observer,
        )
        self.budgeting = Budgeting(
            platform=platform,
            directory=self.directory,
            membership=self.membership,
            pool=self.pool,
            peers=self.peers,
            incarnation=lambda: self.incarnation,
            reincarnate=self._start_new_incarnation,
            observer=observer,
        )
        budgets, receipts = self.budgeting.keeper, self.budgeting.receipts
        self.settlement = Settlement(budgets=budgets, receipts=receipts)
        self.components = Components(
            incarnation=lambda: self.incarnation,
            clock=monotonic,
            intents=IntentStore(platform=platform),
            directory=self.directory,
            dispatcher=self.dispatcher,
            pool=self.pool,
            budgets=budgets,
            receipts=receipts,
            settlement=self.settlement,
            tracing=tracing,
        )
        self.gateway = Gateway(
            components=self.components,
            observe=observer.record_request,
            refresh=self.gossip.refresh,
        )
        self.stopping = False
        self._zone_routers: tuple[str, ...] = ()
        self._state_by_upstream: dict[str, tuple[str, bool]] = {}
        http_address = Address.parse(settings.http)
        self._server = HttpServer(
            host=http_address.host, port=http_address.port, handler=self.gateway.handle
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests to this router."""
        return not self.stopping and self.gossip.complete()

    def gauges(self) -> Gauges:
        """Return the present values of the gauges."""
        rows = self.budgeting.keeper.rows()
        return Gauges(
            revision=self.store.revision,
            running=self._server.open_exchanges,
            queued=self.dispatcher.queued_count,
            slice_tokens=sum(row.free for row in rows),
        )

    def is_linked_to(self, node: Node) -> bool:
        """Return whether this router has a link to the sidecar of a node."""
        view = self.pool.views_by_upstream.get(node.upstream)
        return view is not None and view.link.address == node.address

    def revision(self) -> int:
        """Return the configuration revision in force."""
        return self.store.revision

    def open(self) -> None:
        """Bind the sockets."""
        self.peers.open()
        self._server.open()

    async def run(self) -> None:
        """Serve until cancelled."""
        await run_together(
            self.peers.run,
            self.pool.run,
            self.gossip.run,
            self.dispatcher.run,
            self.budgeting.run,
            self._serve_callers,
            self._read_sidecars,
            self._read_peers,
        )

    async def _serve_callers(self) -> None:
        await self._server.serve()
        # After a planned stop the other tasks run until receipts and slices are
        # settled.
        await curio.Event().wait()

    async def drain(self) -> int:
        """Complete open requests and runs as far as a planned stop has time.

        Return how many are unfinished at the stop deadline of the settings; their
        callers are told what is certain.
        """
        self.stopping = True
        plan = StopPlan.starting(
            monotonic(),
            seconds=self.settings.stop_deadline_seconds,
            accepting_seconds=BALANCER_NOTICE_SECONDS,
        )
        self.gateway.stop_plan = plan
        log_info(
            "stop_planned",
            refuses_after=round(plan.refuses_at - plan.began_at, 3),
            ends_after=round(plan.ends_at - plan.began_at, 3),
            open=self._server.open_exchanges,
            queued=self.dispatcher.queued_count,
        )
        refusing = await curio.spawn(self.gateway.refuse_late_starts)
        try:
            await self._complete_requests(plan)
        finally:
            await refusing.cancel()
        unfinished = self._open_count()
        await self.gateway.end_all()
        async with curio.ignore_after(CLOSING_SECONDS):
            while self._server.open_exchanges:
                await curio.sleep(DRAIN_POLL_SECONDS)
        return unfinished

    async def _complete_requests(self, plan: StopPlan) -> None:
        """Wait for open requests and runs, at most until the end of the plan."""
        await curio.sleep(max(0.0, plan.refuses_at - monotonic()))
        async with curio.ignore_after(max(0.0, plan.ends_at - monotonic())):
            await self._server.stop_accepting()
            while self._open_count():
                await curio.sleep(DRAIN_POLL_SECONDS)

    def _open_count(self) -> int:
        return self._server.open_exchanges + self.settlement.open_runs

    async def close(self) -> None:
        """Close the links; no other method may be called afterwards."""
        await self.pool.close()
        await self.peers.close()

    async def _start_new_incarnation(self) -> str:
        """Replace the incarnation after it was sealed, and return the new one.

        The method awaits nothing, so that no reservation of the old incarnation
        is sent with the new one.
        """
        log_warning("router_was_sealed", incarnation=self.incarnation)
        self.incarnation = new_incarnation(self.settings.name)
        self.peers.set_incarnation(self.incarnation)
        self.pool.update_incarnation()
        return self.incarnation

    async def set_zone_routers(self, zone_routers: tuple[str, ...]) -> None:
        """Set the addresses of the routers in this zone, this one included."""
        if zone_routers != self._zone_routers or self.pool.removed_with_runs:
            self._zone_routers = zone_routers
            await self._update_links()

    async def _apply_changes(self, changes: list[VersionedObject]) -> None:
        self.membership.apply(changes)
        if any(change.kind == UPSTREAMS for change in changes):
            await self._update_links()

    async def _update_links(self) -> None:
        known = {n: upstream for n, (upstream, _) in self.directory.upstreams().items()}
        linked = upstreams_to_link(
            known,
            address=self.settings.address,
            zone=self.settings.zone,
            routers=self._zone_routers,
        )
        await self.pool.set_upstreams(linked)
        await self._update_scheduler()

    async def _update_scheduler(self) -> None:
        """Update the scheduler with the upstreams that may receive requests."""
        usable = []
        for name, (upstream, _) in self.directory.upstreams().items():
            serving = upstream.state is UpstreamState.SERVING and not upstream.retired
            view = self.pool.views_by_upstream.get(name)
            if serving and self.pool.is_up(name) and not view.load.leaving:
                usable.append(
                    UpstreamFacts(
                        name=name, back_end=upstream.back_end, zone=upstream.zone
                    )
                )
        await self.dispatcher.set_upstreams(usable)

    async def _read_sidecars(self) -> None:
        while True:
            event = await self.pool.other_events.get()
            match event:
                case LinkUp():
                    await self._update_scheduler()
                case LinkDown(peer=peer):
                    self._observer.record_link_down(Role.SIDECAR, peer)
                    await self._update_scheduler()
                case Received(peer=peer, envelope=envelope):
                    await self._receive_from_sidecar(peer, envelope)

    async def _receive_from_sidecar(self, upstream: str, envelope) -> None:
        peer = SIDECAR_PREFIX + upstream
        self.membership.record_message(envelope.sender, monotonic())
        match envelope.message:
            case Heartbeat() as load:
                await self._receive_load(upstream, envelope.sender, load)
                await self._forward_to_gossip(peer, envelope.revision, None)
            case Refused(newer=newer):
                await self.gossip.inbox.put(MergeObjects(objects=newer))
            case message:
                await self._forward_to_gossip(peer, envelope.revision, message)

    async def _receive_crash(self, seen: CrashSeen) -> None:
        """Record a crash, and forward it to the peers if it was unknown here."""
        crash = Crash(
            crash_id=seen.crash_id,
            fingerprints=frozenset(seen.fingerprints),
            alone=seen.alone,
        )
        if await self.dispatcher.record_crash(crash):
            self._observer.record_crash(crash)
            await self.peers.send_all(seen)

    async def _receive_load(self, upstream: str, sender: str, load: Heartbeat) -> None:
        state = (sender, load.leaving)
        known = self._state_by_upstream.get(upstream)
        if known != state:
            self._state_by_upstream[upstream] = state
            if known is not None and known[0] != sender:
                # Another incarnation answers at the address, so the old one runs
                # nothing more.
                self.budgeting.keeper.remove_sidecar(known[0])
            await self._update_scheduler()
        report = LoadReport(
            upstream=upstream,
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
        )
        self._observer.record_load(report)
        await self.dispatcher.record_load(report)

    async def _read_peers(self) -> None:
        while True:
            event = await self.peers.inbox.get()
            if isinstance(event, LinkDown):
                self._observer.record_link_down(Role.ROUTER, event.peer)
            if not isinstance(event, Received):
                continue
            envelope = event.envelope
            message = envelope.message
            self.membership.record_message(envelope.sender, monotonic())
            if isinstance(message, Heartbeat):
                message = None
            if isinstance(message, CrashSeen):
                await self._receive_crash(message)
                continue
            if await self.budgeting.receive(event.peer, envelope.sender, message):
                continue
            await self._forward_to_gossip(event.peer, envelope.revision, message)

    async def _forward_to_gossip(
        self, peer: str, revision: int, message: AnyMessage | None
    ) -> None:
        event = FromPeer(peer=peer, revision=revision, message=message)
        await self.gossip.inbox.put(event)

    async def _send(self, peer: str, message: AnyMessage) -> None:
        if peer.startswith(SIDECAR_PREFIX):
            await self.pool.send(peer.removeprefix(SIDECAR_PREFIX), message)
            return
        await self.peers.send(peer, message)
