"""The ingress daemon's work: ties its parts together."""

import secrets
from random import Random
from time import monotonic, time

import curio

from ragwortkeel.budget.clocks import read_clocks
from ragwortkeel.configuration_store import InForce
from ragwortkeel.exceptions import ConfigurationUnreadable
from ragwortkeel.http_server import HttpServer
from ragwortkeel.ingress.budget_keeper import BudgetKeeper
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    IngressConfiguration,
    decode_value,
)
from ragwortkeel.ingress.crashes import CrashDetector
from ragwortkeel.ingress.directory import Directory, Moved
from ragwortkeel.ingress.dispatch import Dispatcher
from ragwortkeel.ingress.evacuations import Evacuations
from ragwortkeel.ingress.fleet_time import FleetTime
from ragwortkeel.ingress.following import (
    ConfigurationFollower,
    EvacuationFollower,
    UpstreamFollower,
)
from ragwortkeel.ingress.front import Front
from ragwortkeel.ingress.front_parts import FrontParts
from ragwortkeel.ingress.limit_reader import LimitReader
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.peers import Peers
from ragwortkeel.ingress.placement import Load, Placement
from ragwortkeel.ingress.relaying import RelayedPlatform
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.ingress.upstream_connection import ConnectionPool
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.messages import (
    AnnouncedLimit,
    ClockAnswer,
    CrashSeen,
    EvacuatedZones,
    HandedRenewals,
    Heartbeat,
    LoanRequest,
    PlatformAnswer,
    RenewalsWritten,
    TokenLoan,
    UpstreamChanges,
    VersionedObject,
)
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform import Platform
from ragwortkeel.platform_counts import CountedPlatform
from ragwortkeel.policy.fleet_rates import FleetRates, sharing_among
from ragwortkeel.policy.quarantine import Crash
from ragwortkeel.policy.retries import RetryBudgets, process_reserve
from ragwortkeel.process import Leftover
from ragwortkeel.settings import Address, IngressSettings, changed_fields
from ragwortkeel.tasks import run_together
from ragwortkeel.traces import Tracing

RETRY_SHARE = 0.12
"""Of first attempts at a service.  The fleet as a whole may add a fifth; each process
keeps below, as its own count of first attempts may run behind."""

RETRY_RESERVE = 6.0
"""Retries at a service saved up by a quiet process of a small fleet, less in a larger
one; see `policy.retries.process_reserve`."""

UPKEEP_SECONDS = 0.2
"""How often lapsed entries and idle connections are looked at."""

LATE_SECONDS = 0.25
"""A timer that fires so late shows a process without processor time, or frozen; the
links' heartbeats are late then too."""

BALANCER_SECONDS = 2.6
"""A balancer that looks once a second and wants two misses has stopped sending
by then; new connections are taken so long after a planned stop has begun."""

STOP_LOOK_SECONDS = 0.05

ENTRY_LAG_SECONDS = 2.0
"""Upstreams of an availability zone that is taken back may have become cold without
their entries saying so yet."""

IDLE_SLACK = 1.2
"""A caller's idle connection is kept this much longer than callers may use it, so
that no request crosses the close."""


class IngressWorker:
    """Everything an ingress process runs.

    Parameters
    ----------
    platform : Platform
        Configuration, upstreams' entries and ledgers.
    names : HeaderNames
        What callers and upstreams call their headers.

    .. versionadded:: 0.2
    """

    def __init__(
        self, *, settings: IngressSettings, platform: Platform, names: HeaderNames
    ) -> None:
        self.metrics = Metrics()
        self.tracing = Tracing(node=settings.name)
        self._settings = settings
        self._stopping = False
        self._raw_configuration: bytes = b""
        self._revision_heard = 0
        incarnation = f"{settings.name}/{secrets.token_hex(4)}"
        self._directory = Directory(region_by_zone=settings.region_by_zone)
        self._evacuations = Evacuations()
        self._limit_reader = LimitReader(header=names.rate_limit, metrics=self.metrics)
        self._placement = Placement(
            zone=settings.zone,
            limits=self._limit_reader.limits,
            rates=FleetRates(
                sharing=lambda: sharing_among(
                    own=settings.address,
                    others=self._peers.routers,
                    ledger_processes=self._keeper.allowances.holders,
                ),
                random=Random(incarnation),
                started=monotonic(),
            ),
        )
        self._dispatcher = Dispatcher(
            directory=self._directory, placement=self._placement
        )
        self._crashes = CrashDetector(clock=monotonic)
        self._counted = CountedPlatform(platform=platform, metrics=self.metrics)
        self._peers = Peers(
            node=settings.name,
            incarnation=incarnation,
            address=settings.address,
            seeds=settings.peers,
            platform=self._counted,
            handler=self,
            metrics=self.metrics,
        )
        self._platform = RelayedPlatform(
            direct=self._counted, relays=self._peers.platform_relays
        )
        self._time = FleetTime(peer_count=lambda: self._peers.clocks)
        self._keeper = BudgetKeeper(
            platform=self._platform,
            holder=incarnation,
            ask_peers=self._peers.ask_loan,
            peers=self._peers.writers,
            clocks=self._time.reading,
        )
        self._retries = RetryBudgets(share=RETRY_SHARE, reserve=RETRY_RESERVE)
        self._connections = ConnectionPool(id_header=names.request_id)
        self._front = Front(
            parts=FrontParts(
                names=names,
                dispatcher=self._dispatcher,
                placement=self._placement,
                keeper=self._keeper,
                crashes=self._crashes,
                connections=self._connections,
                retries=self._retries,
                limit_reader=self._limit_reader,
                metrics=self.metrics,
            )
        )
        where = Address.parse(settings.http)
        self._server = HttpServer(
            host=where.host,
            port=where.port,
            handler=self._front.handle,
            cancels_abandoned=True,
        )
        self._configurations = ConfigurationFollower(
            platform=self._platform,
            take=self._take_configuration,
            watches=self._peers.watches,
        )
        self._upstreams = UpstreamFollower(
            platform=self._platform,
            directory=self._directory,
            take=self._take_moves,
            watches=self._peers.watches,
            share=self._peers.share,
        )
        self._evacuation_follower = EvacuationFollower(
            platform=self._platform,
            take=self.merge_evacuated_zones,
            watches=self._peers.watches,
            share=self._peers.share,
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._front.table is not None and not self._stopping

    def open(self) -> None:
        """Bind the sockets."""
        self._server.open()
        self._peers.open()

    def reload(self, settings: IngressSettings) -> None:
        """Take over what may change while it runs: the peers.

        Addresses hold until the next start; a change of one is logged.
        """
        self._peers.meet(settings.peers)
        changed = changed_fields(self._settings, settings)
        log_info("settings_reloaded", changed=changed)
        fixed = [name for name in changed if name != "peers"]
        if fixed:
            log_warning("settings_need_a_restart", fields=fixed)

    async def run(self) -> None:
        """Work until cancelled or until a task fails."""
        await run_together(
            self._server.serve,
            self._configurations.run,
            self._upstreams.run,
            self._evacuation_follower.run,
            self._keeper.run,
            self._peers.run,
            self._platform.run,
            self._counted.run,
            self._dispatcher.run,
            self._upkeep,
        )

    async def stop(self) -> Leftover:
        """Finish open requests and give slices back.

        New connections are taken and served until the balancer has noticed.
        """
        self._stopping = True
        self._server.begin_closing()
        begun = monotonic()
        deadline = begun + self._settings.stop_deadline_seconds
        await curio.sleep(BALANCER_SECONDS)
        await self._server.stop_accepting()
        self._front.stopping = True
        await self._server.close_idle()
        while self._server.open_exchanges and monotonic() < deadline:
            await curio.sleep(STOP_LOOK_SECONDS)
        cut = self._server.open_exchanges
        returned = await self._keeper.close()
        return Leftover(counts={"requests": cut, "slices": int(not returned)})

    def in_force(self, kind: str, name: str) -> InForce:
        """Return what is in force here of an object."""
        return InForce(revision=self.revision(), version=self.revision() or None)

    # What peers say, and what they are told.

    def revision(self) -> int:
        """Return the revision of the configuration in force; 0 for none."""
        table = self._front.table
        return table.configuration.revision if table else 0

    def heartbeat(self) -> Heartbeat:
        """Return what keeps a peer's link up."""
        return Heartbeat(leaving=self._stopping)

    def own_loads(self) -> dict[str, Load]:
        """Return what this process has at each upstream."""
        return self._placement.own_loads()

    def drain_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return what upstreams began to read for this process since the last call."""
        return self._placement.drain_prompt_blocks()

    def all_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return what upstreams are taken to hold of shared prompt parts."""
        return self._placement.all_prompt_blocks()

    def merge_prompt_blocks(
        self, upstream: str, tokens_by_prefix_hash: dict[int, int]
    ) -> None:
        """Take in what a peer let an upstream read."""
        self._placement.merge_prompt_blocks(upstream, tokens_by_prefix_hash)

    def configuration_object(self) -> VersionedObject | None:
        """Return the configuration in force, for a peer."""
        if not self._raw_configuration:
            return None
        return VersionedObject(
            kind=CONFIGURATION_KIND,
            name=CONFIGURATION_NAME,
            version=self.revision(),
            value=self._raw_configuration,
        )

    def receive_clock(self, peer: str, answer: ClockAnswer) -> None:
        """Take in a peer's time of day."""
        self._time.receive_answer(peer, answer, read_clocks().boot)

    async def merge_loads(
        self, node: str, load_by_upstream: dict[str, Load], *, hold_seconds: float
    ) -> None:
        """Take in what a peer has at each upstream, and for how long it holds."""
        holds_until = monotonic() + hold_seconds
        self._placement.merge_loads(node, load_by_upstream, holds_until)

    def receive_revision(self, peer: str, revision: int) -> None:
        """Take in which configuration a peer has in force; 0 for none."""
        if revision <= max(self._revision_heard, self.revision()):
            return
        self._revision_heard = revision
        self.metrics.configuration_heard(revision=revision)
        log_info("configuration_behind", peer=peer, heard=revision, own=self.revision())

    async def receive_configuration(self, pushed: VersionedObject) -> None:
        """Take over a peer's configuration where it is newer."""
        if pushed.version <= self.revision():
            return
        try:
            configuration = decode_value(pushed.value, IngressConfiguration)
        except ConfigurationUnreadable as exc:
            log_warning("configuration_unreadable", source="peer", error=str(exc))
            return
        await self._take_configuration(configuration, pushed.value, source="peer")

    def receive_crash(self, crash: CrashSeen) -> None:
        """Take in a crash that a peer found."""
        self._crashes.receive_crash(
            Crash(crash_id=crash.crash_id, fingerprints=frozenset(crash.fingerprints))
        )

    def announced_limits(self) -> dict[str, AnnouncedLimit]:
        """Return what answers said lately of their upstreams' rate limits."""
        return self._limit_reader.recent()

    def merge_limits(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Take in what answers to a peer said."""
        self._limit_reader.merge(limit_by_upstream)

    def upstreams_revision(self) -> int:
        """Return the revision of the newest change of an upstream's entry here."""
        return self._upstreams.newest

    def receive_upstreams_revision(self, revision: int) -> None:
        """Take in the newest such change that a peer knows of."""
        self._upstreams.heard_newest(revision)

    async def receive_upstream_changes(self, changes: UpstreamChanges) -> None:
        """Take in changes from a peer that watches the platform."""
        await self._upstreams.heard(changes)

    def evacuated_zones(self) -> EvacuatedZones:
        """Return the evacuated availability zones as known here."""
        return self._evacuations.current

    async def merge_evacuated_zones(self, found: EvacuatedZones) -> None:
        """Take over which availability zones are evacuated, where that is newer."""
        since = time()
        changed = self._evacuations.report(found, now=since)
        if changed is None:
            return
        self._directory.evacuated_zones = self._evacuations.zones
        for zone in changed.evacuated:
            log_info("zone_evacuated", zone=zone, revision=found.revision)
            self.metrics.zone_evacuated(zone=zone, since=since)
        for zone in changed.returned:
            log_info("zone_taken_back", zone=zone, revision=found.revision)
            self.metrics.zone_evacuated(zone=zone, since=0.0)
        for name in self._directory.in_zones(changed.returned):
            self._placement.set_cold(name, ENTRY_LAG_SECONDS, monotonic())
        await self._dispatcher.assign_queued()

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Answer a peer that lacks tokens."""
        return await self._keeper.lend(request)

    async def receive_loan(self, loan: TokenLoan) -> None:
        """Take in what a peer did for requests that wait for tokens here."""
        log_info(
            "loan_received",
            customer=loan.customer,
            tokens=loan.tokens,
            returned=loan.returned,
        )
        await self._keeper.receive_loan(loan)

    def writing_step(self) -> int:
        """Return how slowly this process writes ledgers."""
        return self._keeper.renewals.writing_step

    def receive_renewal_call(self) -> HandedRenewals | None:
        """Return what a peer that writes the ledgers should take along."""
        return self._keeper.renewals.receive_renewal_call()

    async def receive_renewals(self, handed: HandedRenewals) -> None:
        """Take in renewals to write along."""
        await self._keeper.renewals.receive_renewals(handed)

    async def receive_renewals_written(self, answer: RenewalsWritten) -> None:
        """Take in what became of renewals that a peer was handed."""
        await self._keeper.renewals.receive_renewals_written(answer)

    async def receive_platform_answer(self, answer: PlatformAnswer) -> None:
        """Take in the answer to a call that a peer made."""
        await self._platform.receive_answer(answer)

    async def _take_configuration(
        self,
        configuration: IngressConfiguration,
        value: bytes,
        source: str = "platform",
    ) -> None:
        # It never reverts: a lagging list or peer may show an older one.
        if configuration.revision <= self.revision():
            return
        log_info(
            "configuration_in_force",
            revision=configuration.revision,
            was=self.revision(),
            source=source,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )
        self._raw_configuration = value
        self._front.table = RoutingTable(configuration=configuration)
        self._keeper.configure(self._front.table)
        limits = configuration.limits
        self._server.keep_alive_seconds = limits.idle_seconds * IDLE_SLACK
        self._server.max_body_bytes = limits.max_body_bytes
        self.metrics.configuration_in_force(revision=configuration.revision)
        await self._peers.announce()

    async def _take_moves(self, moves: list[Moved]) -> None:
        for move in moves:
            log_info(
                "upstream_changed",
                upstream=move.name,
                was_usable=move.was_usable,
                usable=move.usable,
                service=move.upstream.service if move.upstream else None,
                cold_seconds=move.upstream.cold_seconds if move.upstream else None,
            )
            if move.upstream is None:
                self._placement.discard_prefix_cache(move.name)
            else:
                self._limit_reader.record_start(move.upstream)
                cold_seconds = move.upstream.cold_seconds
                self._placement.set_cold(move.name, cold_seconds, monotonic())
        if moves:
            upstreams = set(self._directory.upstream_by_name)
            self._placement.retain(upstreams)
            self._limit_reader.retain(upstreams)
            await self._dispatcher.assign_queued()

    async def _tell_crashes(self) -> None:
        while self._crashes.unreported:
            crash = self._crashes.unreported.popleft()
            log_warning("upstream_crashed", crash=crash.crash_id)
            self.metrics.upstream_crashed()
            fingerprints = tuple(sorted(crash.fingerprints))
            message = CrashSeen(crash_id=crash.crash_id, fingerprints=fingerprints)
            await self._peers.send_crash(message)

    async def _upkeep(self) -> None:
        while True:
            await self._upstreams.expire()
            await self._connections.close_expired()
            await self._tell_crashes()
            holders = self._keeper.allowances.holders
            processes = max(self._peers.known_routers, holders)
            reserve = process_reserve(processes=processes, most=RETRY_RESERVE)
            self._retries.set_reserve(reserve)
            self.metrics.load(
                running=self._server.open_exchanges, queued=len(self._dispatcher.queue)
            )
            due = monotonic() + UPKEEP_SECONDS
            await curio.sleep(UPKEEP_SECONDS)
            late = monotonic() - due
            if late > LATE_SECONDS:
                log_warning("loop_late", seconds=round(late, 3))
