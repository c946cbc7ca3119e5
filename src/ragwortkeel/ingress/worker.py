"""The worker of an ingress process: creates, connects and runs its components."""

import secrets
from collections.abc import Callable
from functools import partial
from math import inf
from random import Random
from time import monotonic, time

import curio

from ragwortkeel.budget.clocks import read_clocks
from ragwortkeel.caller_connection import HeadLimits
from ragwortkeel.configuration_store import InForce
from ragwortkeel.exceptions import ConfigurationUnreadable
from ragwortkeel.http_server import HttpServer
from ragwortkeel.ingress.announcements import AnnouncementReader
from ragwortkeel.ingress.answer_bytes import MEMORY_FRACTION as ANSWER_MEMORY_FRACTION
from ragwortkeel.ingress.answer_bytes import AnswerBytes
from ragwortkeel.ingress.block_store import BlockStore
from ragwortkeel.ingress.budget_keeper import BudgetKeeper
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    IngressConfiguration,
    Upstream,
    decode_value,
)
from ragwortkeel.ingress.connection_gate import ConnectionGate
from ragwortkeel.ingress.crash_watch import CrashWatch
from ragwortkeel.ingress.directory import Directory, DirectoryChange
from ragwortkeel.ingress.dispatch import Dispatcher
from ragwortkeel.ingress.evacuations import Evacuations
from ragwortkeel.ingress.fleet_fairness import FleetFairness
from ragwortkeel.ingress.fleet_time import FleetTime
from ragwortkeel.ingress.following import (
    ConfigurationFollower,
    EvacuationFollower,
    Update,
    UpstreamFollower,
)
from ragwortkeel.ingress.front import Front
from ragwortkeel.ingress.front_components import FrontComponents
from ragwortkeel.ingress.instance_monitor import InstanceMonitor
from ragwortkeel.ingress.leaving_tracker import LeavingTracker
from ragwortkeel.ingress.limit_tracker import LimitTracker
from ragwortkeel.ingress.load_reports import hold_seconds, status_hold_seconds
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.open_requests import OpenRequests
from ragwortkeel.ingress.origin_exchange import OriginExchange
from ragwortkeel.ingress.pause_tracker import PauseTracker
from ragwortkeel.ingress.peer_statuses import PeerStatuses
from ragwortkeel.ingress.peers import Peers
from ragwortkeel.ingress.placement import Load, Placement
from ragwortkeel.ingress.relaying import RelayedPlatform
from ragwortkeel.ingress.request_sweep import RequestSweep
from ragwortkeel.ingress.rotation_controller import RotationController
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.ingress.speed_tracker import SpeedTracker
from ragwortkeel.ingress.start_checks import StartChecks
from ragwortkeel.ingress.status_report import StatusReport
from ragwortkeel.ingress.upstream_connection import ConnectionPool
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.messages import (
    AnnouncedLimit,
    BlockAnswer,
    BlockDecision,
    BlockQuestion,
    ClockAnswer,
    CrashSeen,
    EvacuatedZones,
    HandedRenewals,
    Heartbeat,
    InstanceStatus,
    LoanRequest,
    OriginAnswer,
    OriginNotes,
    OriginQuestion,
    OriginsKept,
    PlatformAnswer,
    RenewalsWritten,
    SuspectRequest,
    TokenLoan,
    UpstreamChanges,
    VersionedObject,
)
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform import Platform
from ragwortkeel.platform_counts import CountedPlatform
from ragwortkeel.policy.fleet_rates import FleetRates, sharing_among
from ragwortkeel.policy.retries import RetryBudgets, process_reserve
from ragwortkeel.policy.stop_plan import StopPlan
from ragwortkeel.policy.stream_origins import (
    KEEP_SECONDS,
    OriginTable,
    VersionHistory,
)
from ragwortkeel.process import Leftover
from ragwortkeel.received_bytes import (
    MEMORY_FRACTION,
    ReceivedBytes,
    Shortage,
    max_connections,
)
from ragwortkeel.send_buffer import HeldBytes
from ragwortkeel.settings import Address, IngressSettings, changed_fields
from ragwortkeel.tasks import run_together
from ragwortkeel.traces import Tracing
from ragwortkeel.traffic import Traffic
from ragwortkeel.usage_counters import ByteCounter

RETRY_FRACTION = 0.12
"""Retries at a service per first attempt.

The fleet may add one fifth to its requests by retries.  Each process stays below that
because its count of first attempts may lag.
"""

RETRY_RESERVE = 6.0
"""Retries at a service that an idle process of a small fleet may save up; processes of
a larger fleet save fewer, see `policy.retries.process_reserve`."""

UPKEEP_SECONDS = 0.2
"""Interval at which expired entries and idle connections are handled."""

LATE_TIMER_SECONDS = 0.25
"""Delay of a timer above which a warning is logged: the process is frozen or lacks
processor time, and its heartbeats are late as well."""

FREEZE_SECONDS = 1.0
"""Delay of a timer above which upstreams may have started again unnoticed."""

BALANCER_NOTICE_SECONDS = 2.6
"""Time after the start of a planned stop in which new requests are accepted.

By then a balancer that probes once per second and needs two failed probes no longer
sends requests here.
"""

STOP_POLL_SECONDS = 0.05

CLOSING_SECONDS = 0.2
"""Time for closing the connections of requests that the end of a stop ends."""

STALL_SECONDS = 30.0
"""How long a caller may read nothing of a ready response before it is ended."""

ENTRY_LAG_SECONDS = 2.0
"""How long upstreams of an availability zone count as cold when its evacuation ends,
since their entries may not show yet that they became cold."""

HEAD_TIMEOUT_FACTOR = 1.2
"""A head may take its time limit times this factor, as it is delayed on its way."""

IDLE_TIMEOUT_FACTOR = 1.2
"""A caller's idle connection stays open for the idle limit times this factor, so that
no request arrives while it is being closed."""


RELOADED_FIELDS = frozenset({"peers", "leaves_rotation"})
"""Settings that take effect without a restart."""


class IngressWorker:
    """Runs an ingress process and handles what its peers send.

    Parameters
    ----------
    settings : IngressSettings
        Settings of this process.
    platform : Platform
        Stores the configuration, the upstreams' entries and the ledgers.
    names : HeaderNames
        Header names that callers and upstreams use.

    .. versionadded:: 0.2
    """

    def __init__(
        self, *, settings: IngressSettings, platform: Platform, names: HeaderNames
    ) -> None:
        self.metrics = Metrics()
        self.tracing = Tracing(node=settings.name)
        self._settings = settings
        self._stopping = False
        self._encoded_configuration: bytes = b""
        self._peer_revision = 0
        counter = ByteCounter()
        incarnation = f"{settings.name}/{secrets.token_hex(4)}"
        self._directory = Directory(region_by_zone=settings.region_by_zone)
        self._evacuations = Evacuations()
        self._limit_tracker = LimitTracker(metrics=self.metrics)
        self._leaving_tracker = LeavingTracker(
            directory=self._directory, metrics=self.metrics
        )
        self._pause_tracker = PauseTracker(metrics=self.metrics)
        self._peer_statuses = PeerStatuses()
        self._fairness = FleetFairness(
            enabled=settings.fleet_fairness,
            statuses=self._peer_statuses,
            clock=monotonic,
        )
        self._speed_tracker = (
            SpeedTracker(metrics=self.metrics) if settings.measures_upstreams else None
        )
        self._announcements = AnnouncementReader(
            names=names,
            limits=self._limit_tracker,
            leaving=self._leaving_tracker,
            pauses=self._pause_tracker,
        )
        self._placement = Placement(
            zone=settings.zone,
            limits=self._limit_tracker.limits,
            pauses=self._pause_tracker.pauses,
            speeds=self._speed_tracker.speeds if self._speed_tracker else None,
            shares_memory=settings.fleet_fairness,
            rates=FleetRates(
                sharing=lambda: sharing_among(
                    own=settings.address,
                    others=self._peers.ingress_addresses,
                    ledger_processes=self._budget_keeper.allowances.holders,
                ),
                random=Random(incarnation),
                started=monotonic(),
            ),
        )
        self._dispatcher = Dispatcher(
            directory=self._directory,
            placement=self._placement,
            metrics=self.metrics,
            peer_running=self._fairness.peer_running,
            has_not_restarted=lambda upstream: self._starts.is_shown(upstream),
        )
        self._counted = CountedPlatform(platform=platform, metrics=self.metrics)
        self._peers = Peers(
            node=settings.name,
            incarnation=incarnation,
            address=settings.address,
            seeds=settings.peers,
            platform=self._counted,
            handler=self,
            metrics=self.metrics,
            traffic=Traffic(counter=counter),
            link_capacity=(
                settings.capacity.link_bytes_per_second if settings.capacity else 0.0
            ),
        )
        self._origin_table = OriginTable()
        self._versions = VersionHistory(is_complete=settings.first_start)
        self._origins = OriginExchange(
            table=self._origin_table,
            history=self._versions,
            links=self._peers.ingress_links,
            peer_count=lambda: len(self._peers.ingress_addresses),
            is_current=lambda: not self._directory.outage_seconds_left(monotonic()),
            relay_links=self._peers.relay_links,
            version_of=self._directory.version_of,
        )
        self._platform = RelayedPlatform(
            direct=self._counted,
            relays=self._peers.platform_relays,
            is_watcher=self._peers.is_watcher,
        )
        self._fleet_time = FleetTime(peer_count=lambda: self._peers.clock_source_count)
        self._budget_keeper = BudgetKeeper(
            platform=self._platform,
            holder=incarnation,
            ask_peers=self._peers.request_loan,
            peers=self._peers.writers,
            clocks=self._fleet_time.reading,
        )
        self._retries = RetryBudgets(
            retry_fraction=RETRY_FRACTION, reserve=RETRY_RESERVE
        )
        held = HeldBytes(
            memory_bytes=settings.capacity.memory_bytes if settings.capacity else None,
            on_ended=self.metrics.record_slow_reader_ended,
        )
        self.metrics.track_held_bytes(lambda: held.total)
        received = _received_bytes(settings, on_ended=self.metrics.record_caller_ended)
        self.metrics.track_received_bytes(lambda: received.total)
        answers = _answer_bytes(settings, on_ended=self.metrics.record_answer_ended)
        self.metrics.track_answer_bytes(lambda: answers.total)
        self._monitor: InstanceMonitor | None = None
        self._sweep: RequestSweep | None = None
        self._open_requests = OpenRequests()
        gate: ConnectionGate | None = None
        if settings.capacity is not None:
            self._monitor = InstanceMonitor(
                capacity=settings.capacity,
                counter=counter,
                metrics=self.metrics,
                random=Random(incarnation),
                held_bytes=lambda: held.total,
            )
            self._sweep = RequestSweep(
                open_requests=self._open_requests,
                is_late=lambda: self._monitor.is_late,
            )
            gate = ConnectionGate(
                zone=settings.zone,
                monitor=self._monitor,
                statuses=self._peer_statuses.current,
                metrics=self.metrics,
            )
        self._connections = ConnectionPool(
            id_header=names.request_id,
            held=held,
            counter=counter,
            is_overloaded=lambda: bool(self._monitor and self._monitor.is_limiting),
            on_refused=self._record_refused_connection,
        )
        self._starts = StartChecks(
            connections=self._connections,
            directory=self._directory,
            report_path=settings.upstream_report_path,
        )
        self._block_store = BlockStore(
            platform=self._platform,
            node=settings.name,
            is_watcher=self._peers.is_watcher,
        )
        self._crashes = CrashWatch(
            connections=self._connections,
            placement=self._placement,
            links=self._peers.ingress_links,
            store=self._block_store,
            metrics=self.metrics,
        )
        self._front = Front(
            components=FrontComponents(
                names=names,
                dispatcher=self._dispatcher,
                placement=self._placement,
                keeper=self._budget_keeper,
                crashes=self._crashes,
                connections=self._connections,
                retries=self._retries,
                announcements=self._announcements,
                origins=self._origins,
                starts=self._starts,
                metrics=self.metrics,
                speeds=self._speed_tracker,
                event_delivery_seconds=settings.event_delivery_seconds,
                sweep=self._sweep,
                answers=answers,
                open_requests=self._open_requests,
            ),
            monitor=self._monitor,
            is_behind=lambda: self._peer_revision > self.revision(),
        )
        http_address = Address.parse(settings.http)
        self._server = HttpServer(
            host=http_address.host,
            port=http_address.port,
            handler=self._front.handle,
            cancels_disconnected=True,
            stall_seconds=STALL_SECONDS,
            held=held,
            received=received,
            refuse=self._front.refuse if self._monitor else None,
            counter=counter,
            arrived_at=self._monitor.arrived_at if self._monitor else None,
            accepts=gate.accepts if gate else None,
            on_unanswered=self.metrics.record_unanswered,
        )
        self._status_report = StatusReport(
            settings=settings,
            monitor=self._monitor,
            speeds=self._speed_tracker,
            fairness=self._fairness,
            queue=self._dispatcher.queue,
        )
        self._rotation = RotationController(
            settings=settings,
            own_load=self._status_report.own_load,
            statuses=self._peer_statuses.current,
            is_serving=lambda: self._is_serving,
            server=self._server,
            metrics=self.metrics,
        )
        self._configurations = ConfigurationFollower(
            platform=self._platform,
            apply=self._apply_configuration,
            is_watcher=self._peers.is_watcher,
            newest_revision=lambda: max(self._peer_revision, self.revision()),
        )
        self._upstreams = UpstreamFollower(
            platform=self._platform,
            directory=self._directory,
            apply=self._apply_directory_changes,
            is_watcher=self._peers.is_watcher,
            forward=self._peers.forward_changes,
        )
        self._evacuation_follower = EvacuationFollower(
            platform=self._platform,
            apply=self.merge_evacuated_zones,
            is_watcher=self._peers.is_watcher,
            forward=self._peers.forward_changes,
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return self._is_serving and self._rotation.in_rotation

    @property
    def _is_serving(self) -> bool:
        return self._front.table is not None and not self._stopping

    def open(self) -> None:
        """Bind the sockets of the HTTP server and of the links."""
        self._server.open()
        self._peers.open()

    def reload(self, settings: IngressSettings) -> None:
        """Apply the settings that may change at run time, see `RELOADED_FIELDS`.

        Other changes need a restart, and a warning names them.
        """
        self._peers.add_addresses(settings.peers)
        self._rotation.reload(settings)
        changed = changed_fields(self._settings, settings)
        log_info("settings_reloaded", changed=changed)
        restart_fields = [name for name in changed if name not in RELOADED_FIELDS]
        if restart_fields:
            log_warning("settings_need_a_restart", fields=restart_fields)

    async def run(self) -> None:
        """Run all tasks until cancelled or until one fails."""
        monitoring = [self._monitor.run, self._sweep.run] if self._monitor else []
        await run_together(
            *monitoring,
            self._server.serve,
            self._configurations.run,
            self._upstreams.run,
            self._upstreams.read_missing,
            self._evacuation_follower.run,
            self._budget_keeper.run,
            self._peers.run,
            self._platform.run,
            self._origins.run,
            self._counted.run,
            self._dispatcher.run,
            self._rotation.run,
            self._crashes.run,
            self._block_store.write,
            partial(self._block_store.follow, self._crashes.merge_stored),
            self._upkeep,
        )

    async def stop(self) -> Leftover:
        """Complete open requests and return the slices.

        New connections are accepted until the balancer has noticed the stop.
        """
        self._stopping = True
        self._server.begin_closing()
        plan = StopPlan.starting(
            monotonic(),
            seconds=self._settings.stop_deadline_seconds,
            accepting_seconds=BALANCER_NOTICE_SECONDS,
        )
        self._open_requests.stop_plan = plan
        log_info(
            "stop_planned",
            refuses_after=round(plan.refuses_at - plan.began_at, 3),
            ends_after=round(plan.ends_at - plan.began_at, 3),
            open=self._server.open_exchanges,
            queued=len(self._dispatcher.queue),
        )
        refusing = await curio.spawn(self._open_requests.refuse_late_starts)
        try:
            await self._complete_requests(plan)
        finally:
            await refusing.cancel()
        cut_count = self._server.open_exchanges
        self._open_requests.end_all()
        await self._wait_for_exchanges(monotonic() + CLOSING_SECONDS)
        returned = await self._budget_keeper.close()
        return Leftover(counts={"requests": cut_count, "slices": int(not returned)})

    async def _complete_requests(self, plan: StopPlan) -> None:
        """Wait for open requests, at most until the end of the plan."""
        await curio.sleep(max(0.0, plan.refuses_at - monotonic()))
        async with curio.ignore_after(max(0.0, plan.ends_at - monotonic())):
            await self._server.stop_accepting()
            await self._server.close_idle()
            await self._wait_for_exchanges(plan.ends_at)
            # Answers that began before the stop have not asked for a close.
            await self._server.close_finished(deadline=plan.ends_at)

    async def _wait_for_exchanges(self, ends_at: float) -> None:
        while self._server.open_exchanges and monotonic() < ends_at:
            await curio.sleep(STOP_POLL_SECONDS)

    def in_force(self, kind: str, name: str) -> InForce:
        """Return the revision and version in force of an object."""
        return InForce(revision=self.revision(), version=self.revision() or None)

    # The methods of `PeerHandler`.

    def revision(self) -> int:
        """Return the revision of the configuration in force; 0 for none."""
        table = self._front.table
        return table.configuration.revision if table else 0

    def heartbeat(self) -> Heartbeat:
        """Return the message that keeps a link to a peer up."""
        return Heartbeat(leaving=self._stopping)

    def own_loads(self) -> dict[str, Load]:
        """Return this process's load at each upstream."""
        return self._placement.own_loads()

    def drain_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return prompt blocks that upstreams began to read since the last call."""
        return self._placement.drain_prompt_blocks()

    def all_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return the prompt blocks that the upstreams' prefix caches should hold."""
        return self._placement.all_prompt_blocks()

    def merge_prompt_blocks(
        self, upstream: str, tokens_by_prefix_hash: dict[int, int]
    ) -> None:
        """Merge prompt blocks that an upstream began to read for a peer."""
        self._placement.merge_prompt_blocks(upstream, tokens_by_prefix_hash)

    def configuration_object(self) -> VersionedObject | None:
        """Return the configuration in force as peers are sent it, None if none is."""
        if not self._encoded_configuration:
            return None
        return VersionedObject(
            kind=CONFIGURATION_KIND,
            name=CONFIGURATION_NAME,
            version=self.revision(),
            value=self._encoded_configuration,
        )

    def receive_clock(self, peer: str, answer: ClockAnswer) -> None:
        """Merge the time of day of a peer."""
        self._fleet_time.receive_answer(peer, answer, read_clocks().boot)

    async def merge_loads(
        self, node: str, load_by_upstream: dict[str, Load], *, hold_seconds: float
    ) -> None:
        """Replace the loads of a peer; they count for `hold_seconds`."""
        valid_until = monotonic() + hold_seconds
        self._placement.merge_loads(node, load_by_upstream, valid_until)

    def instance_status(self) -> InstanceStatus | None:
        """Return the status of this instance, None without a stated capacity."""
        return self._status_report.status(
            in_rotation=self.ready,
            departure_utilization=self._rotation.departure_utilization,
        )

    def receive_instance_status(
        self, node: str, status: InstanceStatus | None, *, hold_seconds: float
    ) -> None:
        """Replace the status of a peer's instance; it counts for `hold_seconds`."""
        seconds = status_hold_seconds(status, hold_seconds)
        self._peer_statuses.merge(node, status, now=monotonic(), seconds=seconds)

    def receive_revision(self, peer: str, revision: int) -> None:
        """Record which configuration a peer has in force; 0 for none."""
        if revision <= max(self._peer_revision, self.revision()):
            return
        self._peer_revision = revision
        self.metrics.set_peer_revision(revision=revision)
        log_info("configuration_behind", peer=peer, heard=revision, own=self.revision())

    async def receive_configuration(self, pushed: VersionedObject) -> None:
        """Apply the configuration of a peer if it is newer."""
        if pushed.version <= self.revision():
            return
        try:
            configuration = decode_value(pushed.value, IngressConfiguration)
        except ConfigurationUnreadable as exc:
            log_warning("configuration_unreadable", source="peer", error=str(exc))
            return
        await self._apply_configuration(configuration, pushed.value, source="peer")

    async def receive_crash(self, crash: CrashSeen) -> None:
        """Record a crash that a peer detected."""
        await self._crashes.receive_crash(crash)

    def block_answer(self, question: BlockQuestion) -> BlockAnswer:
        """Return which of a peer's accused blocks worked here."""
        return self._crashes.answer(question)

    async def receive_block_answer(self, peer: str, answer: BlockAnswer) -> None:
        """Record which accused blocks worked at a peer."""
        await self._crashes.receive_answer(peer, answer)

    def block_decisions(self) -> tuple[BlockDecision, ...]:
        """Return all decisions on prompt blocks."""
        return self._crashes.decisions()

    def receive_block_decisions(self, decisions: tuple[BlockDecision, ...]) -> None:
        """Merge a peer's decisions on prompt blocks."""
        self._crashes.receive_decisions(decisions)

    def suspect_requests(self) -> tuple[SuspectRequest, ...]:
        """Return the requests that may crash upstreams."""
        return self._crashes.suspects()

    def receive_suspect_requests(self, suspects: tuple[SuspectRequest, ...]) -> None:
        """Merge a peer's requests that may crash upstreams."""
        self._crashes.receive_suspects(suspects)

    def announced_limits(self) -> dict[str, AnnouncedLimit]:
        """Return the rate limits that upstreams' answers announced recently."""
        return self._limit_tracker.recent()

    def merge_limits(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Merge rate limits that answers to a peer announced."""
        self._limit_tracker.merge(limit_by_upstream)

    def announced_leaving(self) -> dict[str, int]:
        """Return the upstreams whose recent answers announced that they leave."""
        seconds = hold_seconds(self._peers.ingress_count)
        return self._leaving_tracker.recent(seconds=seconds)

    def known_leaving(self) -> dict[str, int]:
        """Return all upstreams that are known to leave."""
        return self._directory.left_started_ms_by_name

    def merge_leaving(self, started_ms_by_upstream: dict[str, int]) -> None:
        """Merge which upstreams announced to a peer that they leave."""
        self._leaving_tracker.merge(started_ms_by_upstream)

    def upstreams_revision(self) -> int:
        """Return the revision of the newest change of an upstream's entry here."""
        return self._upstreams.newest_revision

    def receive_upstreams_revision(self, revision: int) -> None:
        """Record the revision of the newest change of an entry that a peer knows."""
        self._upstreams.receive_newest_revision(revision)

    async def receive_upstream_changes(self, changes: UpstreamChanges) -> None:
        """Merge changes of upstreams' entries from a peer that watches."""
        await self._upstreams.receive_changes(changes)

    def evacuated_zones(self) -> EvacuatedZones:
        """Return the evacuated availability zones as this process knows them."""
        return self._evacuations.current

    async def merge_evacuated_zones(self, found: EvacuatedZones) -> None:
        """Apply a set of evacuated availability zones if it is newer."""
        since = time()
        changed = self._evacuations.merge(found, now=since)
        if changed is None:
            return
        self._directory.evacuated_zones = self._evacuations.zones
        for zone in changed.evacuated:
            log_info("zone_evacuated", zone=zone, revision=found.revision)
            self.metrics.set_zone_evacuated_since(zone=zone, since=since)
        for zone in changed.returned:
            log_info("zone_taken_back", zone=zone, revision=found.revision)
            self.metrics.set_zone_evacuated_since(zone=zone, since=0.0)
        for name in self._directory.names_in_zones(changed.returned):
            self._placement.set_cold(name, ENTRY_LAG_SECONDS, monotonic())
        await self._dispatcher.assign_queued()

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Lend tokens to a peer that lacks them; return the loan."""
        return await self._budget_keeper.lend(request)

    async def receive_loan(self, loan: TokenLoan) -> None:
        """Receive a peer's answer to a loan request."""
        log_info(
            "loan_received",
            customer=loan.customer,
            tokens=loan.tokens,
            returned=loan.returned,
        )
        await self._budget_keeper.receive_loan(loan)

    def writing_step(self) -> int:
        """Return how slowly this process writes ledgers; see `budget.write_order`."""
        return self._budget_keeper.renewals.writing_step

    def receive_renewal_call(self) -> HandedRenewals | None:
        """Return renewals for a peer that is about to write, None if there are none."""
        return self._budget_keeper.renewals.receive_renewal_call()

    async def receive_renewals(self, delegated: HandedRenewals) -> None:
        """Receive renewals that a peer delegates to this process."""
        await self._budget_keeper.renewals.receive_renewals(delegated)

    async def receive_renewals_written(self, answer: RenewalsWritten) -> None:
        """Receive the outcome of renewals that were delegated to a peer."""
        await self._budget_keeper.renewals.receive_renewals_written(answer)

    async def receive_platform_answer(self, answer: PlatformAnswer) -> None:
        """Receive the answer to a platform call that a peer relayed."""
        await self._platform.receive_answer(answer)

    def receive_origins(self, message: OriginNotes) -> None:
        """Record the origins of streams that a peer has begun."""
        self._origins.receive_notes(message)

    async def receive_relays_changed(self, *, started: str = "") -> None:
        """Tell relays the origins that they keep from now on."""
        await self._origins.update_relays(started=started)

    def kept_origins(self) -> None:
        """Return None: relays keep origins for others."""

    async def receive_kept_origins(self, message: OriginsKept) -> None:
        """Receive the origins that a relay keeps."""
        await self._origins.receive_kept(message)

    def origin_answer(self, question: OriginQuestion) -> OriginAnswer:
        """Return what this process knows of a stream that a peer asks for."""
        return self._origins.answer(question)

    async def receive_origin_answer(self, peer: str, answer: OriginAnswer) -> None:
        """Receive a peer's answer to a question for an origin."""
        await self._origins.receive_answer(peer, answer)

    async def _apply_configuration(
        self,
        configuration: IngressConfiguration,
        value: bytes,
        source: str = "platform",
    ) -> None:
        # The revision never decreases: a lagging replica or peer may send an older one.
        if configuration.revision <= self.revision():
            return
        log_info(
            "configuration_in_force",
            revision=configuration.revision,
            was=self.revision(),
            source=source,
            bytes=len(value),
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )
        self._encoded_configuration = value
        self._front.table = RoutingTable(configuration=configuration)
        self._budget_keeper.configure(self._front.table)
        timeouts = [r.timeout_seconds for r in configuration.routes if r.resumable]
        self._origin_table.keep_seconds = max([KEEP_SECONDS, *timeouts])
        limits = configuration.limits
        self._server.keep_alive_seconds = limits.idle_seconds * IDLE_TIMEOUT_FACTOR
        self._server.max_body_bytes = limits.max_body_bytes
        self._server.head_limits = HeadLimits(
            max_bytes=limits.max_head_bytes,
            seconds=limits.head_seconds * HEAD_TIMEOUT_FACTOR,
        )
        self.metrics.set_configuration_revision(revision=configuration.revision)
        await self._peers.announce_revision()

    async def _apply_directory_changes(
        self, changes: list[DirectoryChange], update: Update
    ) -> None:
        for change in changes:
            log_info(
                "upstream_changed",
                upstream=change.name,
                was_usable=change.was_usable,
                usable=change.usable,
                service=change.upstream.service if change.upstream else None,
                cold_seconds=change.upstream.cold_seconds if change.upstream else None,
                version=change.upstream.version if change.upstream else None,
                source=update.source,
                revision=update.revision,
                age=round(update.age_seconds, 3),
            )
            if change.has_new_version:
                await self._record_new_version(change.upstream, change.previous.version)
            if change.is_first and change.upstream is not None:
                await self._origins.record_version(change.name, change.upstream.version)
            if change.upstream is None:
                self._placement.discard_prefix_cache(change.name)
            else:
                self._limit_tracker.record_start(change.upstream)
                cold_seconds = change.upstream.cold_seconds
                self._placement.set_cold(change.name, cold_seconds, monotonic())
        if changes:
            by_name = self._directory.upstream_by_name
            self._versions.update(
                {(each.service, each.version) for each in by_name.values()},
                now=monotonic(),
            )
            upstreams = set(by_name)
            self._placement.retain(upstreams)
            self._limit_tracker.retain(upstreams)
            self._leaving_tracker.retain(upstreams)
            self._pause_tracker.retain(upstreams)
            self._announcements.retain(upstreams)
            self._starts.retain(by_name)
            if self._speed_tracker is not None:
                self._speed_tracker.retain(self._directory.upstream_by_name)
            await self._dispatcher.assign_queued()

    async def _record_new_version(self, upstream: Upstream, was: str) -> None:
        streams = await self._origins.record_new_version(
            upstream.name,
            in_outage=self._directory.outage_seconds_left(monotonic()) > 0.0,
        )
        log_info(
            "upstream_restarted_at_version",
            upstream=upstream.name,
            was=was,
            now=upstream.version,
            streams=streams,
        )

    async def _record_refused_connection(self, upstream: str) -> None:
        self._dispatcher.record_possible_restart(upstream)
        await self._crashes.record_refused_connection(upstream)

    async def _upkeep(self) -> None:
        while True:
            await self._upstreams.expire()
            await self._connections.close_expired()
            if self._speed_tracker is not None:
                self._speed_tracker.update(self._peer_statuses.current(monotonic()))
            holders = self._budget_keeper.allowances.holders
            processes = max(self._peers.ingress_count, holders)
            reserve = process_reserve(processes=processes, max_reserve=RETRY_RESERVE)
            self._retries.set_reserve(reserve)
            self.metrics.set_entries_age(self._directory.age_seconds(monotonic()))
            self.metrics.set_load(
                running=self._server.open_exchanges, queued=len(self._dispatcher.queue)
            )
            self.metrics.set_queued_by_priority(
                self._dispatcher.queue.queued_by_priority()
            )
            due_at = monotonic() + UPKEEP_SECONDS
            await curio.sleep(UPKEEP_SECONDS)
            late_seconds = monotonic() - due_at
            if late_seconds > LATE_TIMER_SECONDS:
                log_warning("loop_late", seconds=round(late_seconds, 3))
            if late_seconds > FREEZE_SECONDS:
                self._directory.record_freeze(monotonic())


def _received_bytes(
    settings: IngressSettings, *, on_ended: Callable[[Shortage], None]
) -> ReceivedBytes:
    """Return the account of callers' requests, with the bounds of the instance."""
    capacity = settings.capacity
    if capacity is None:
        return ReceivedBytes(on_ended=on_ended)
    return ReceivedBytes(
        max_bytes=int(capacity.memory_bytes * MEMORY_FRACTION),
        max_connections=partial(max_connections, capacity.max_descriptors or inf),
        on_ended=on_ended,
    )


def _answer_bytes(
    settings: IngressSettings, *, on_ended: Callable[[], None]
) -> AnswerBytes:
    """Return the account of upstreams' answers, with the bound of the instance."""
    if settings.capacity is None:
        return AnswerBytes(on_ended=on_ended)
    memory_bytes = settings.capacity.memory_bytes
    return AnswerBytes(
        max_bytes=int(memory_bytes * ANSWER_MEMORY_FRACTION), on_ended=on_ended
    )
