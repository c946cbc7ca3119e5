"""The links between ingress processes and relays, and the messages on them.

Ingress processes exchange loads, configuration, crashes, loans and renewals.  Every
process links to the peers in its settings and to the processes that these peers know.
No guarantee depends on a message's arrival: a lost message costs balance, a loan or
some time.
"""

from random import Random
from time import monotonic

import curio
import msgspec

from ragwortkeel.budget.account import Account
from ragwortkeel.budget.clocks import read_clocks
from ragwortkeel.budget.sizing import MAX_LENDERS_ASKED, best_lenders
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.ingress.catch_up import (
    NON_WATCHER_GRACE_SECONDS,
    WATCHER_GRACE_SECONDS,
    CatchUp,
    ConfigurationRequest,
)
from ragwortkeel.ingress.configuration import CONFIGURATION_KIND, CONFIGURATION_NAME
from ragwortkeel.ingress.introductions import (
    ANNOUNCE_INTERVAL_SECONDS,
    NO_INTRODUCTION,
    Introduction,
    Introductions,
)
from ragwortkeel.ingress.load_reports import (
    PEERS_AT_FULL_RATE,
    REPORT_SECONDS,
    LoadReports,
    hold_seconds,
)
from ragwortkeel.ingress.mesh import FULL_PACE_WRITER_COUNT, Mesh
from ragwortkeel.ingress.peer_handler import PeerHandler
from ragwortkeel.ingress.placement import Load
from ragwortkeel.ingress.relaying import execute_call
from ragwortkeel.ingress.watching import FORWARDER_COUNT, WatcherOrder
from ragwortkeel.ingress.writers import Writers
from ragwortkeel.links import Endpoint, Link, LinkDown, LinkEvent, LinkUp, Received
from ragwortkeel.logs import log_debug, log_error, log_info, log_warning
from ragwortkeel.messages import (
    BlockAnswer,
    BlockDecisions,
    BlockQuestion,
    ClockAnswer,
    ClockQuestion,
    ConfigurationPull,
    ConfigurationPush,
    CrashSeen,
    Envelope,
    EvacuatedZones,
    HandedRenewals,
    Heartbeat,
    IngressState,
    LoanRequest,
    OriginAnswer,
    OriginNotes,
    OriginQuestion,
    OriginsCall,
    OriginsKept,
    PartsCall,
    PlatformAnswer,
    PlatformCall,
    RenewalCall,
    RenewalsWritten,
    TokenLoan,
    UpstreamChanges,
    UpstreamLoad,
)
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform import Platform
from ragwortkeel.traffic import Traffic, format_largest

CLOCK_QUERY_SECONDS = 2.0
"""Time between clock queries; an older answer stays usable."""

CLOCK_QUERY_PEER_COUNT = 4
"""Peers in one clock query; a peer whose link has just come up is queried as well."""

REVISION_PEER_COUNT = 8
"""Peers that a new revision is sent to at once.

The others get it from the platform or with the next message of any of these peers.
"""

TRAFFIC_LOG_SECONDS = 2.0
"""Interval of the log line on the links' traffic."""

CATCH_UP_POLL_SECONDS = 0.05
"""Interval at which a process whose peers have a newer configuration checks whether
to request it."""


class Peers:
    """The links of one process to its peers, and the tasks that serve them.

    Parameters
    ----------
    node : str
        Name of this process.
    incarnation : str
        Incarnation of this process, the sender of its messages.
    address : str
        ``ip:port`` that peers connect to.
    seeds : tuple of str
        Addresses of the first peers to link to.
    platform : Platform
        Executes the platform calls that peers relay through this process.
    handler
        Provides what is sent to peers and receives their messages; see `PeerHandler`.
    metrics, traffic : Metrics, Traffic
        Count the bytes on the links.
    is_relay : bool
        Whether this process only relays platform calls and links to no other relay.
    link_capacity : float
        Bytes a second that the link of this instance carries; 0 if unknown.

    Attributes
    ----------
    writers : Writers
        The processes that renew slices in the same ledgers.
    open_calls : int
        Platform calls and loans of peers that are not answered yet.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        address: str,
        seeds: tuple[str, ...],
        platform: Platform,
        handler: PeerHandler,
        metrics: Metrics,
        traffic: Traffic | None = None,
        is_relay: bool = False,
        link_capacity: float = 0.0,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._address = address
        self._platform = platform
        self._handler = handler
        self._is_relay = is_relay
        self._inbox: curio.Queue = curio.Queue()
        self._metrics = metrics
        self._traffic = traffic or Traffic()
        self._endpoint = Endpoint(
            address=address,
            incarnation=incarnation,
            revision=handler.revision,
            traffic=self._traffic,
        )
        self._introductions = Introductions(
            address=address, seeds=seeds, is_relay=is_relay
        )
        self._mesh = Mesh(
            address=address,
            introductions=self._introductions,
            is_relay=is_relay,
            new_link=self._new_link,
        )
        self._watcher_order = WatcherOrder(name=address, link_capacity=link_capacity)
        self._task_by_address: dict[str, curio.Task] = {}
        self._reports = LoadReports()
        self.writers = Writers(
            address=address,
            links=self._mesh.ingress_links,
            process_count=lambda: self.ingress_count,
            reply=self._send_answer,
            own_latency_class=handler.writing_step,
            is_leaving=lambda: handler.heartbeat().leaving,
        )
        self._requested_blocks = False
        self._start_by_address: dict[str, str] = {}
        self._leaving_relays: set[str] = set()
        self._queried_relays: set[str] = set()
        self._behind_event = curio.Event()
        self._random = Random(incarnation)
        self._catch_up = CatchUp(random=self._random)
        self._tasks = curio.TaskGroup(wait=None)
        self.open_calls = 0

    def open(self) -> None:
        """Bind the socket that peers connect to."""
        self._endpoint.open()

    @property
    def known_count(self) -> int:
        """Number of other processes that this one knows."""
        return len(self._introductions.known)

    @property
    def ingress_addresses(self) -> frozenset[str]:
        """Addresses of the other ingress processes, reachable or not."""
        return frozenset(self._introductions.known - self._introductions.relays)

    @property
    def ingress_count(self) -> int:
        """Number of ingress processes, reachable or not, including this one."""
        return len(self.ingress_addresses) + (not self._is_relay)

    @property
    def clock_source_count(self) -> int:
        """Number of other processes whose clocks this one queries."""
        return self.ingress_count - 1 + len(self._queried_relays)

    @property
    def live_count(self) -> int:
        """Number of peers whose links are up."""
        return len(self._mesh.live_links())

    async def run(self) -> None:
        """Exchange messages with peers until cancelled."""
        async with self._tasks:
            await self._tasks.spawn(self._receive, daemon=True)
            await self._tasks.spawn(self._send_reports, daemon=True)
            await self._tasks.spawn(self._log_traffic, daemon=True)
            if not self._is_relay:
                await self._tasks.spawn(self._request_configurations, daemon=True)
            while True:
                event = await self._inbox.get()
                try:
                    await self._handle_link_event(event)
                except Exception as exc:
                    self._record_failure(event.peer, event, exc)

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Link to the peers at these addresses as well."""
        self._introductions.add(Introduction(addresses=addresses))

    def ingress_links(self) -> dict[str, Link]:
        """Return the links to ingress processes that are up, by address."""
        return self._mesh.ingress_links()

    def relay_links(self) -> dict[str, Link]:
        """Return the links to relays that are up and don't stop, by address."""
        return {
            address: link
            for address, link in self._mesh.relay_links().items()
            if address not in self._leaving_relays
        }

    def links_heard_since(self, moment: float) -> list[Link]:
        """Return the links to ingress processes heard after a monotonic time."""
        links = self._mesh.ingress_links().values()
        return [link for link in links if link.last_received_at > moment]

    def platform_relays(self) -> list[Link]:
        """Return the links to peers that may relay platform calls, relays first."""
        links = self._mesh.platform_relays()
        return [link for link in links if link.name not in self._leaving_relays]

    async def announce_revision(self) -> None:
        """Send a message to some peers: every message carries the revision."""
        await self._send(Heartbeat(), self._sample_ingress_links(REVISION_PEER_COUNT))

    def is_watcher(self) -> bool:
        """Return whether this process watches the platform on behalf of others."""
        return self._address in self._current_watchers()

    async def forward_changes(self, changes: UpstreamChanges | EvacuatedZones) -> None:
        """Send what a watch returned to the other watchers, and maybe to all processes.

        Watchers get it too, as their own watches may hang.
        """
        watching = self._current_watchers()
        if self._address not in watching:
            return
        link_by_address = self._mesh.ingress_links()
        receivers = link_by_address.keys()
        if self._address not in watching[:FORWARDER_COUNT]:
            receivers &= set(watching)
        await self._send(changes, [link_by_address[name] for name in receivers])

    def _current_watchers(self) -> list[str]:
        return self._watcher_order.watchers(self._mesh.ingress_links())

    async def request_loan(self, customer: str, account: Account) -> None:
        """Request a loan for a customer from the peers with the largest slices."""
        need = account.slice_need(monotonic())
        request = LoanRequest(
            customer=customer,
            lacking=need.lacking,
            holding=need.holding,
            demand=need.demand,
            largest_request=need.largest_request,
        )
        await self._send(request, self._lender_links(account, need.lacking))

    def _sample_ingress_links(self, count: int) -> list[Link]:
        return self._sample(list(self._mesh.ingress_links().values()), count)

    def _sample(self, links: list[Link], count: int) -> list[Link]:
        return self._random.sample(links, min(count, len(links)))

    def _lender_links(self, account: Account, lacking: int) -> list[Link]:
        lenders = best_lenders(
            account.ledger, router=account.slice.router, lacking=lacking
        )
        links = self.writers.links_of(holder.partition("/")[0] for holder in lenders)
        return links or self._sample_ingress_links(MAX_LENDERS_ASKED)

    async def _query_clocks(self, links: list[Link]) -> None:
        # A relay needs no fleet time.
        if self._is_relay:
            return
        names = {link.name for link in links}
        self._queried_relays |= names & self._introductions.relays
        await self._send(ClockQuestion(asked_at=read_clocks().boot), links)

    async def _send(self, message, links: list[Link]) -> None:
        for link in links:
            if link.up:
                await link.try_send(message)

    async def _send_reports(self) -> None:
        """Report loads and new addresses, and open links to new peers.

        Reports go to a few peers at a time.  Sending dozens of copies at once would
        fill the link of a small instance for 0.1 seconds, which delays the events of
        its callers' streams.
        """
        clocks_queried_at = snapshot_sent_at = float("-inf")
        while True:
            await self._update_links()
            now = monotonic()
            if now - clocks_queried_at >= CLOCK_QUERY_SECONDS:
                clocks_queried_at = now
                await self._query_clocks(
                    self._sample(self._mesh.live_links(), CLOCK_QUERY_PEER_COUNT)
                )
            if now - snapshot_sent_at >= ANNOUNCE_INTERVAL_SECONDS:
                snapshot_sent_at = now
                await self._send_snapshot()
            introduction = self._introductions.drain_update(now)
            if introduction is not None:
                await self._send(self._state(introduction), self._links_without_loads())
            await self._report_to_ingress(introduction or NO_INTRODUCTION)

    async def _update_links(self) -> None:
        for link in self._mesh.add_missing():
            task = await self._tasks.spawn(link.run, daemon=True)
            self._task_by_address[link.name] = task
        for address in self._mesh.remove_unneeded():
            await self._task_by_address.pop(address).cancel()
            self._catch_up.remove(address)
            log_info("link_closed", address=address, reason="not needed")
        full_pace = {
            *self.writers.first(FULL_PACE_WRITER_COUNT),
            *self._current_watchers(),
        }
        self._mesh.set_heartbeat_pace(full_pace)

    async def _send_snapshot(self) -> None:
        links = self._mesh.live_links()
        if links:
            snapshot = self._whole_state(self._introductions.snapshot())
            await self._random.choice(links).try_send(snapshot)

    async def _report_to_ingress(self, introduction: Introduction) -> None:
        """Report to all ingress processes, group by group, over one report round."""
        ingress_links = (
            [] if self._is_relay else list(self._mesh.ingress_links().values())
        )
        prompt_blocks = self._handler.drain_prompt_blocks()
        for first in range(0, max(1, len(ingress_links)), PEERS_AT_FULL_RATE):
            state, now = self._state(introduction, prompt_blocks), monotonic()
            group = ingress_links[first : first + PEERS_AT_FULL_RATE]
            due = [
                link for link in group if self._reports.mark_due(link.name, state, now)
            ]
            await self._send(state, due)
            await curio.sleep(REPORT_SECONDS)

    def _links_without_loads(self) -> list[Link]:
        """Return the links to peers that don't use load reports."""
        links = (
            self._mesh.ingress_links() if self._is_relay else self._mesh.relay_links()
        )
        return list(links.values())

    def _state(
        self,
        introduction: Introduction,
        prompt_blocks: dict[str, dict[int, int]] | None = None,
    ) -> IngressState:
        evacuated = self._handler.evacuated_zones()
        return IngressState(
            node=self._node,
            address=self._address,
            addresses=introduction.addresses,
            relays=introduction.relays,
            load_by_upstream=_wire_loads(self._handler.own_loads()),
            writing_step=self._handler.writing_step(),
            parts_by_upstream=prompt_blocks or {},
            upstreams_revision=self._handler.upstreams_revision(),
            evacuations_revision=evacuated.revision,
            evacuated_zones=evacuated.zones,
            limit_by_upstream=self._handler.announced_limits(),
            leaving_by_upstream=self._handler.announced_leaving(),
            status=self._handler.instance_status(),
        )

    def _whole_state(
        self,
        introduction: Introduction,
        prompt_blocks: dict[str, dict[int, int]] | None = None,
    ) -> IngressState:
        """Return the state for a peer that may have missed messages."""
        return msgspec.structs.replace(
            self._state(introduction, prompt_blocks),
            block_decisions=self._handler.block_decisions(),
            suspects=self._handler.suspect_requests(),
            leaving_by_upstream=self._handler.known_leaving(),
        )

    def _new_link(self, address: str, heartbeat: float, silence: float) -> Link:
        return Link(
            name=address,
            address=address,
            incarnation=self._incarnation,
            revision=self._handler.revision,
            inbox=self._inbox,
            heartbeat_seconds=heartbeat,
            silence_seconds=silence,
            traffic=self._traffic,
        )

    async def _log_traffic(self) -> None:
        """Log and count the bytes on the links.

        A full link causes no error, only delays; this shows it.
        """
        while True:
            await curio.sleep(TRAFFIC_LOG_SECONDS)
            report = self._traffic.drain_report()
            self._metrics.record_link_traffic(report)
            log_info(
                "link_traffic",
                sent=report.sent_bytes,
                heard=report.received_bytes,
                seconds=TRAFFIC_LOG_SECONDS,
                most_sent=format_largest(report.sent_bytes_by_kind),
                most_heard=format_largest(report.received_bytes_by_kind),
            )

    async def _handle_link_event(self, event) -> None:
        if event.peer not in self._mesh.link_by_address:
            # The event was queued before its link was closed.
            return
        if isinstance(event, Received):
            await self._record_revision(event.peer, event.envelope.revision)
            sender = event.envelope.sender.partition("/")[0]
            self.writers.record_address(node=sender, address=event.peer)
            await self._record_start(event.peer, event.envelope.sender)
        match event:
            case LinkUp(peer=peer):
                log_info("dependency_regained", dependency="peer", address=peer)
                self._reports.discard(peer)
                await self._greet(self._mesh.link_by_address[peer])
                self._leaving_relays.discard(peer)
                await self._report_relay(peer, started=peer)
            case Received(
                peer=peer, envelope=Envelope(message=ClockAnswer() as answer)
            ):
                self._handler.receive_clock(peer, answer)
            case Received(
                peer=peer, envelope=Envelope(message=OriginAnswer() as answer)
            ):
                await self._handler.receive_origin_answer(peer, answer)
            case Received(
                peer=peer, envelope=Envelope(message=BlockAnswer() as answer)
            ):
                await self._handler.receive_block_answer(peer, answer)
            case Received(peer=peer, envelope=Envelope(message=Heartbeat() as beat)):
                self.writers.record_leaving(peer, leaving=beat.leaving)
                await self._record_leaving_relay(peer, leaving=beat.leaving)
            case LinkDown(peer=peer):
                self._catch_up.remove(peer)
                self._start_by_address.pop(peer, None)
                log_warning("dependency_lost", dependency="peer", address=peer)
                await self._report_relay(peer)
            case Received(envelope=envelope):
                await self._handle_message(envelope.message)

    async def _record_start(self, peer: str, sender: str) -> None:
        """Greet a peer that started again while its link stayed up."""
        known = self._start_by_address.get(peer)
        self._start_by_address[peer] = sender
        if known in (None, sender):
            return
        log_info("peer_started_again", address=peer, was=known, now=sender)
        await self._greet(self._mesh.link_by_address[peer])
        self._leaving_relays.discard(peer)
        await self._report_relay(peer, started=peer)

    async def _record_leaving_relay(self, peer: str, *, leaving: bool) -> None:
        if peer not in self._introductions.relays:
            return
        if leaving and peer not in self._leaving_relays:
            self._leaving_relays.add(peer)
            await self._report_relay(peer)

    async def _report_relay(self, peer: str, *, started: str = "") -> None:
        if peer in self._introductions.relays:
            await self._handler.receive_relays_changed(started=started)

    async def _greet(self, link: Link) -> None:
        """Send a peer the known processes; request prompt blocks once after a start.

        The messages are small, because many links come up at once after a partition.
        """
        state = self._whole_state(self._introductions.snapshot())
        await self._send(state, [link])
        kept = self._handler.kept_origins()
        if kept is not None and kept.notes:
            await self._send(kept, [link])
        await self._query_clocks([link])
        to_relay = link.name in self._introductions.relays
        if not (self._is_relay or self._requested_blocks or to_relay):
            self._requested_blocks = await link.try_send(PartsCall())

    async def _record_revision(self, peer: str, revision: int) -> None:
        self._catch_up.record_revision(peer, revision)
        self._handler.receive_revision(peer, revision)
        if revision > self._handler.revision():
            await self._behind_event.set()

    async def _record_sender_revision(self, envelope: Envelope) -> None:
        """Record the revision of a peer that sends over a link of its own."""
        link = self.writers.link_of(envelope.sender.partition("/")[0])
        if link is not None:
            await self._record_revision(link.name, envelope.revision)

    async def _request_configurations(self) -> None:
        """Request the configuration from a peer while this process is behind."""
        while True:
            await self._behind_event.wait()
            own_revision = self._handler.revision()
            grace_seconds = (
                WATCHER_GRACE_SECONDS
                if self.is_watcher()
                else NON_WATCHER_GRACE_SECONDS
            )
            request = self._catch_up.next_request(
                own_revision=own_revision, now=monotonic(), grace_seconds=grace_seconds
            )
            if request is not None:
                await self._send_pull(request, own_revision)
            if not self._catch_up.is_behind:
                self._behind_event.clear()
            await curio.sleep(CATCH_UP_POLL_SECONDS)

    async def _send_pull(
        self, request: ConfigurationRequest, own_revision: int
    ) -> None:
        log_info(
            "configuration_asked",
            peer=request.peer,
            heard=request.revision,
            own=own_revision,
        )
        pull = ConfigurationPull(
            kind=CONFIGURATION_KIND, ranks={CONFIGURATION_NAME: (False, own_revision)}
        )
        await self._mesh.link_by_address[request.peer].try_send(pull)

    def _configuration_push(self, pull: ConfigurationPull) -> ConfigurationPush | None:
        """Return the configuration for a peer that is behind, None if it is not."""
        configuration = self._handler.configuration_object()
        if configuration is None:
            return None
        _, peer_revision = pull.ranks.get(configuration.name, (False, 0))
        if configuration.version <= peer_revision:
            return None
        return ConfigurationPush(objects=(configuration,))

    async def _receive(self) -> None:
        """Handle messages that peers send over their own links, and reply to them."""
        while True:
            received = await self._endpoint.receive()
            try:
                await self._receive_message(received)
            except Exception as exc:
                self._record_failure(received.peer, received, exc)

    async def _receive_message(self, received: Received) -> None:
        await self._record_sender_revision(received.envelope)
        message = received.envelope.message
        if isinstance(message, HandedRenewals):
            self.writers.record_identity(message.holder, received.peer)
        if isinstance(message, PlatformCall | LoanRequest):
            # These wait for the platform; later messages must not wait for them.
            call = self._handle_slow_message, received.peer, message
            await self._tasks.spawn(*call, daemon=True)
            return
        answer = await self._handle_message(message)
        if answer is not None:
            await self._send_answer(received.peer, answer)

    def _record_failure(self, peer: str, event: LinkEvent, error: Exception) -> None:
        """Log and count a failure to handle what one peer sent; only that is lost."""
        kind = type(event).__name__
        if isinstance(event, Received):
            kind = type(event.envelope.message).__name__
        log_error("message_failed", peer=peer, message=kind, error=repr(error))
        self._metrics.record_message_failure(message=kind)

    async def _handle_slow_message(
        self, peer: str, message: PlatformCall | LoanRequest
    ) -> None:
        self.open_calls += 1
        try:
            match message:
                case PlatformCall(operation=operation) as call:
                    answer = await execute_call(self._platform, call)
                    error = answer.error
                    log_debug("relayed", peer=peer, operation=operation, error=error)
                case LoanRequest() as request:
                    answer = await self._handler.lend(request)
            await self._send_answer(peer, answer)
        except Exception as exc:
            envelope = Envelope(sender=peer, revision=0, message=message)
            self._record_failure(peer, Received(peer=peer, envelope=envelope), exc)
        finally:
            self.open_calls -= 1

    async def _send_answer(self, peer: str, answer) -> None:
        try:
            await self._endpoint.send(peer, answer)
        except LinkLost as exc:
            log_debug("peer_answer_lost", peer=peer, error=str(exc))

    async def _handle_message(self, message):
        """Handle a message; return the reply or None."""
        match message:
            case IngressState() as state:
                await self._merge_state(state)
            case ConfigurationPush() | ConfigurationPull():
                return await self._handle_configuration(message)
            case (
                PartsCall()
                | Heartbeat()
                | ClockQuestion()
                | OriginQuestion()
                | OriginsCall()
                | BlockQuestion()
            ):
                return self._reply_to(message)
            case CrashSeen() | OriginNotes() | OriginsKept() | BlockDecisions():
                await self._receive_news(message)
            case UpstreamChanges() as changes:
                await self._handler.receive_upstream_changes(changes)
            case EvacuatedZones() as found:
                await self._handler.merge_evacuated_zones(found)
            case TokenLoan() as loan if loan.tokens or loan.returned:
                await self._handler.receive_loan(loan)
            case PlatformAnswer() as answer:
                await self._handler.receive_platform_answer(answer)
            case RenewalCall() | HandedRenewals() | RenewalsWritten():
                return await self._handle_renewals(message)
        return None

    async def _receive_news(
        self, message: CrashSeen | OriginNotes | OriginsKept | BlockDecisions
    ) -> None:
        match message:
            case CrashSeen() as crash:
                await self._handler.receive_crash(crash)
            case BlockDecisions(decisions=decisions):
                self._handler.receive_block_decisions(decisions)
            case OriginNotes() as notes:
                self._handler.receive_origins(notes)
            case OriginsKept() as kept:
                await self._handler.receive_kept_origins(kept)

    def _reply_to(
        self, message
    ) -> (
        IngressState
        | Heartbeat
        | ClockAnswer
        | OriginAnswer
        | OriginsKept
        | BlockAnswer
        | None
    ):
        match message:
            case BlockQuestion() as question:
                return self._handler.block_answer(question)
            case OriginQuestion() as question:
                return self._handler.origin_answer(question)
            case OriginsCall():
                return self._handler.kept_origins()
            case PartsCall():
                return self._whole_state(
                    NO_INTRODUCTION, self._handler.all_prompt_blocks()
                )
            case Heartbeat():
                return self._handler.heartbeat()
            case ClockQuestion(asked_at=asked_at):
                return ClockAnswer(asked_at=asked_at, wall=read_clocks().wall)

    async def _merge_state(self, state: IngressState) -> None:
        self._record_sender(state)
        self._handler.receive_upstreams_revision(state.upstreams_revision)
        await self._handler.merge_evacuated_zones(
            EvacuatedZones(
                revision=state.evacuations_revision, zones=state.evacuated_zones
            )
        )
        loads = {
            name: Load(
                running=load.running,
                memory_tokens=load.memory_tokens,
                unread_tokens=load.unread_tokens,
            )
            for name, load in state.load_by_upstream.items()
        }
        self._handler.merge_limits(state.limit_by_upstream)
        self._handler.merge_leaving(state.leaving_by_upstream)
        hold = hold_seconds(self.ingress_count)
        await self._handler.merge_loads(state.node, loads, hold_seconds=hold)
        self._handler.receive_instance_status(
            state.node, state.status, hold_seconds=hold
        )
        self._handler.receive_block_decisions(state.block_decisions)
        self._handler.receive_suspect_requests(state.suspects)
        for name, prompt_blocks in state.parts_by_upstream.items():
            self._handler.merge_prompt_blocks(name, prompt_blocks)

    async def _handle_configuration(self, message) -> ConfigurationPush | None:
        match message:
            case ConfigurationPull() as pull:
                return self._configuration_push(pull)
            case ConfigurationPush(objects=objects):
                for pushed in objects:
                    await self._handler.receive_configuration(pushed)
        return None

    async def _handle_renewals(self, message) -> HandedRenewals | None:
        match message:
            case RenewalCall():
                return self._handler.receive_renewal_call()
            case HandedRenewals() as delegated:
                await self._handler.receive_renewals(delegated)
            case RenewalsWritten() as answer:
                await self._handler.receive_renewals_written(answer)
        return None

    def _record_sender(self, state: IngressState) -> None:
        self.writers.record_writer(
            node=state.node, address=state.address, latency_class=state.writing_step
        )
        self._watcher_order.record_status(state.address, state.status)
        self._introductions.add(
            Introduction(
                addresses=(state.address, *state.addresses), relays=state.relays
            )
        )


def _wire_loads(load_by_upstream: dict[str, Load]) -> dict[str, UpstreamLoad]:
    return {
        name: UpstreamLoad(
            running=load.running,
            memory_tokens=load.memory_tokens,
            unread_tokens=load.unread_tokens,
        )
        for name, load in load_by_upstream.items()
    }
