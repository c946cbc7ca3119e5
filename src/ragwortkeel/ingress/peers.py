"""What ingress processes tell each other: loads, configuration, crashes, loans.

Every process links to the peers that its settings name and to those it hears of
from them.  Nothing here is needed to be safe: a lost message costs balance, a
loan or some time, never a promise.
"""

from random import Random
from time import monotonic

import curio

from ragwortkeel.budget.account import Account
from ragwortkeel.budget.clocks import read_clocks
from ragwortkeel.budget.sizing import MAX_GIVERS_ASKED, best_givers
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.ingress.catch_up import (
    GRACE_SECONDS,
    UNWATCHED_GRACE_SECONDS,
    CatchUp,
    Question,
)
from ragwortkeel.ingress.configuration import CONFIGURATION_KIND, CONFIGURATION_NAME
from ragwortkeel.ingress.introductions import (
    NEWS_SECONDS,
    NOBODY,
    Introduction,
    Introductions,
)
from ragwortkeel.ingress.load_reports import (
    PEERS_AT_FULL_RATE,
    REPORT_SECONDS,
    LoadReports,
    hold_seconds,
)
from ragwortkeel.ingress.mesh import WRITERS_WATCHED, Mesh
from ragwortkeel.ingress.peer_handler import PeerHandler
from ragwortkeel.ingress.placement import Load
from ragwortkeel.ingress.relaying import execute_call
from ragwortkeel.ingress.watching import SHARERS, watchers
from ragwortkeel.ingress.writers import Writers
from ragwortkeel.links import Endpoint, Link, LinkDown, LinkUp, Received
from ragwortkeel.logs import log_debug, log_info, log_warning
from ragwortkeel.messages import (
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
from ragwortkeel.traffic import Traffic, largest

CLOCKS_SECONDS = 2.0
"""How often some peers are asked for their time of day; an old answer stays good."""

CLOCKS_ASKED = 4
"""Peers asked at a time, beside each one that is heard anew."""

ANNOUNCED_TO = 8
"""Peers that are sent word of a new revision at once; the others have it from the
platform, or from the next message of any of those."""

TRAFFIC_SECONDS = 2.0
"""How often it is logged what the links carry: a line a process, however busy."""

CATCH_UP_LOOK_SECONDS = 0.05
"""How often it is looked at whether to ask a peer, while one has a newer
configuration than this process."""


class Peers:
    """The links of one ingress process.

    Parameters
    ----------
    node : str
        Name of this process.
    address : str
        ``ip:port`` that peers connect to.
    seeds : tuple of str
        Addresses to begin with.
    platform : Platform
        Where calls of peers are made.
    handler
        Takes what peers say; see `PeerHandler`.
    metrics : Metrics
        Where the links' bytes are counted.
    is_relay : bool
        Whether this process only relays; relays don't link to each other.
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
        is_relay: bool = False,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._address = address
        self._platform = platform
        self._handler = handler
        self._is_relay = is_relay
        self._inbox: curio.Queue = curio.Queue()
        self._metrics = metrics
        self._traffic = Traffic()
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
        self._task_by_address: dict[str, curio.Task] = {}
        self._reports = LoadReports()
        self.writers = Writers(
            address=address,
            links=self._mesh.routers,
            process_count=lambda: self.known_routers,
            reply=self._send_answer,
            own_latency_class=handler.writing_step,
            is_leaving=lambda: handler.heartbeat().leaving,
        )
        self._called_parts = False
        self._relays_asked: set[str] = set()
        self._behind = curio.Event()
        self._random = Random(incarnation)
        self._catch_up = CatchUp(random=self._random)
        self._tasks = curio.TaskGroup(wait=None)

    def open(self) -> None:
        """Bind the socket that peers connect to."""
        self._endpoint.open()

    @property
    def known(self) -> int:
        """Other processes that this one has heard of."""
        return len(self._introductions.known)

    @property
    def routers(self) -> frozenset[str]:
        """Addresses of the other processes that place requests, heard now or not."""
        return frozenset(self._introductions.known - self._introductions.relays)

    @property
    def known_routers(self) -> int:
        """Processes that place requests, this one among them, heard now or not."""
        return len(self.routers) + (not self._is_relay)

    @property
    def clocks(self) -> int:
        """Other processes whose time of day this one asks for."""
        return self.known_routers - 1 + len(self._relays_asked)

    @property
    def count(self) -> int:
        """Peers that were heard lately."""
        return len(self._mesh.up())

    async def run(self) -> None:
        """Talk to peers until cancelled."""
        async with self._tasks:
            await self._tasks.spawn(self._answer, daemon=True)
            await self._tasks.spawn(self._tell, daemon=True)
            await self._tasks.spawn(self._report, daemon=True)
            if not self._is_relay:
                await self._tasks.spawn(self._keep_up, daemon=True)
            while True:
                await self._linked(await self._inbox.get())

    def meet(self, addresses: tuple[str, ...]) -> None:
        """Link to these peers too."""
        self._introductions.meet(Introduction(addresses=addresses))

    def platform_relays(self) -> list[Link]:
        """Return the links to peers that may relay, pure relays first."""
        return self._mesh.platform_relays()

    async def announce(self) -> None:
        """Let some peers hear of a new revision now: any message tells it."""
        await self._send(Heartbeat(), self._some_routers(ANNOUNCED_TO))

    def watches(self) -> bool:
        """Whether this process is to watch the platform, for those that don't."""
        return self._address in self._watchers()

    async def share(self, changes: UpstreamChanges | EvacuatedZones) -> None:
        """Send what a watch brought to the processes that don't watch."""
        watching = self._watchers()
        if self._address not in watching[:SHARERS]:
            return
        routers = self._mesh.routers()
        others = routers.keys() - set(watching)
        await self._send(changes, [routers[name] for name in others])

    def _watchers(self) -> list[str]:
        return watchers([self._address, *self._mesh.routers()])

    async def send_crash(self, crash: CrashSeen) -> None:
        """Tell all peers that place requests of a crash and what ran there."""
        await self._send(crash, list(self._mesh.routers().values()))

    async def ask_loan(self, customer: str, account: Account) -> None:
        """Ask the peers that hold most for tokens of a customer."""
        need = account.need(monotonic())
        request = LoanRequest(
            customer=customer,
            lacking=need.lacking,
            holding=need.holding,
            demand=need.demand,
            largest_request=need.largest_request,
        )
        await self._send(request, self._givers(account, need.lacking))

    def _some_routers(self, most: int) -> list[Link]:
        return self._some(list(self._mesh.routers().values()), most)

    def _some(self, links: list[Link], most: int) -> list[Link]:
        return self._random.sample(links, min(most, len(links)))

    def _givers(self, account: Account, lacking: int) -> list[Link]:
        holders = best_givers(
            account.ledger, router=account.slice.router, lacking=lacking
        )
        up = self.writers.links_of(holder.partition("/")[0] for holder in holders)
        return up or self._some_routers(MAX_GIVERS_ASKED)

    async def _ask_time(self, links: list[Link]) -> None:
        # A relay has no use for the time.
        if self._is_relay:
            return
        names = {link.name for link in links}
        self._relays_asked |= names & self._introductions.relays
        await self._send(ClockQuestion(asked_at=read_clocks().boot), links)

    async def _send(self, message, links: list[Link]) -> None:
        for link in links:
            if link.up:
                await link.try_send(message)

    async def _tell(self) -> None:
        """Report loads and new addresses, and link to peers that are new.

        A few peers at a time: copies for dozens of them in one go are a tenth of a
        second of a small instance's link, in which callers' events wait.
        """
        asked_time_at = told_whole_at = float("-inf")
        while True:
            await self._keep_links()
            now = monotonic()
            if now - asked_time_at >= CLOCKS_SECONDS:
                asked_time_at = now
                await self._ask_time(self._some(self._mesh.up(), CLOCKS_ASKED))
            if now - told_whole_at >= NEWS_SECONDS:
                told_whole_at = now
                await self._tell_one_the_whole()
            introduction = self._introductions.due(now)
            if introduction is not None:
                await self._send(self._state(introduction), self._only_introduced())
            await self._tell_routers(introduction or NOBODY)

    async def _keep_links(self) -> None:
        for link in self._mesh.missing():
            task = await self._tasks.spawn(link.run, daemon=True)
            self._task_by_address[link.name] = task
        for address in self._mesh.spare():
            await self._task_by_address.pop(address).cancel()
            self._catch_up.lost(address)
            log_info("link_closed", address=address, reason="not needed")
        full = {*self.writers.first(WRITERS_WATCHED), *self._watchers()}
        self._mesh.set_pace(full)

    async def _tell_one_the_whole(self) -> None:
        up = self._mesh.up()
        if up:
            whole = self._state(self._introductions.whole())
            await self._random.choice(up).try_send(whole)

    async def _tell_routers(self, introduction: Introduction) -> None:
        """Report to all processes that place requests; take the time for a round."""
        routers = [] if self._is_relay else list(self._mesh.routers().values())
        parts = self._handler.drain_prompt_blocks()
        for first in range(0, max(1, len(routers)), PEERS_AT_FULL_RATE):
            state, now = self._state(introduction, parts), monotonic()
            group = routers[first : first + PEERS_AT_FULL_RATE]
            due = [
                link for link in group if self._reports.mark_due(link.name, state, now)
            ]
            await self._send(state, due)
            await curio.sleep(REPORT_SECONDS)

    def _only_introduced(self) -> list[Link]:
        """Return the links to peers that have no use for loads."""
        only = self._mesh.routers() if self._is_relay else self._mesh.relays()
        return list(only.values())

    def _state(
        self,
        introduction: Introduction,
        parts: dict[str, dict[int, int]] | None = None,
    ) -> IngressState:
        evacuated = self._handler.evacuated_zones()
        return IngressState(
            node=self._node,
            address=self._address,
            addresses=introduction.addresses,
            relays=introduction.relays,
            load_by_upstream=_wire_loads(self._handler.own_loads()),
            writing_step=self._handler.writing_step(),
            parts_by_upstream=parts or {},
            upstreams_revision=self._handler.upstreams_revision(),
            evacuations_revision=evacuated.revision,
            evacuated_zones=evacuated.zones,
            limit_by_upstream=self._handler.announced_limits(),
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

    async def _report(self) -> None:
        """Say what the links carry: a link that is full only makes things late."""
        while True:
            await curio.sleep(TRAFFIC_SECONDS)
            report = self._traffic.take()
            self._metrics.link_traffic(report)
            log_info(
                "link_traffic",
                sent=report.sent,
                heard=report.heard,
                seconds=TRAFFIC_SECONDS,
                most_sent=largest(report.sent_by_kind),
                most_heard=largest(report.heard_by_kind),
            )

    async def _linked(self, event) -> None:
        if event.peer not in self._mesh.link_by_address:
            # The link was closed with this event on its way.
            return
        if isinstance(event, Received):
            await self._note_revision(event.peer, event.envelope.revision)
            sender = event.envelope.sender.partition("/")[0]
            self.writers.record_address(node=sender, address=event.peer)
        match event:
            case LinkUp(peer=peer):
                log_info("dependency_regained", dependency="peer", address=peer)
                self._reports.discard(peer)
                await self._greet(self._mesh.link_by_address[peer])
            case Received(
                peer=peer, envelope=Envelope(message=ClockAnswer() as answer)
            ):
                self._handler.receive_clock(peer, answer)
            case Received(peer=peer, envelope=Envelope(message=Heartbeat() as beat)):
                self.writers.record_leaving(peer, leaving=beat.leaving)
            case LinkDown(peer=peer):
                self._catch_up.lost(peer)
                log_warning("dependency_lost", dependency="peer", address=peer)
            case Received(envelope=envelope):
                await self._take(envelope.message)

    async def _greet(self, link: Link) -> None:
        """Tell a peer that is heard again little: all are, at the end of a cut."""
        await self._send(self._state(self._introductions.whole()), [link])
        await self._ask_time([link])
        to_relay = link.name in self._introductions.relays
        if not (self._is_relay or self._called_parts or to_relay):
            self._called_parts = await link.try_send(PartsCall())

    async def _note_revision(self, peer: str, revision: int) -> None:
        self._catch_up.heard(peer, revision)
        self._handler.receive_revision(peer, revision)
        if revision > self._handler.revision():
            await self._behind.set()

    async def _note_sender(self, envelope: Envelope) -> None:
        """Note the revision of a peer that sends over a link of its own."""
        link = self.writers.link_of(envelope.sender.partition("/")[0])
        if link is not None:
            await self._note_revision(link.name, envelope.revision)

    async def _keep_up(self) -> None:
        """Ask a peer for the configuration where this process stays behind."""
        while True:
            await self._behind.wait()
            own = self._handler.revision()
            grace = GRACE_SECONDS if self.watches() else UNWATCHED_GRACE_SECONDS
            question = self._catch_up.ask(own=own, now=monotonic(), grace=grace)
            if question is not None:
                await self._ask_configuration(question, own)
            if not self._catch_up.behind:
                self._behind.clear()
            await curio.sleep(CATCH_UP_LOOK_SECONDS)

    async def _ask_configuration(self, question: Question, own: int) -> None:
        log_info(
            "configuration_asked", peer=question.peer, heard=question.heard, own=own
        )
        pull = ConfigurationPull(
            kind=CONFIGURATION_KIND, ranks={CONFIGURATION_NAME: (False, own)}
        )
        await self._mesh.link_by_address[question.peer].try_send(pull)

    def _pushed(self, pull: ConfigurationPull) -> ConfigurationPush | None:
        """Return the configuration for a peer that is behind."""
        configuration = self._handler.configuration_object()
        if configuration is None:
            return None
        _, peers = pull.ranks.get(configuration.name, (False, 0))
        if configuration.version <= peers:
            return None
        return ConfigurationPush(objects=(configuration,))

    async def _answer(self) -> None:
        """Take what peers send over their own links; echo what keeps them up."""
        while True:
            received = await self._endpoint.receive()
            await self._note_sender(received.envelope)
            message = received.envelope.message
            if isinstance(message, HandedRenewals):
                self.writers.record_identity(message.holder, received.peer)
            if isinstance(message, PlatformCall | LoanRequest):
                # These wait for the platform, and what comes next does not.
                serve = self._serve, received.peer, message
                await self._tasks.spawn(*serve, daemon=True)
                continue
            answer = await self._take(message)
            if answer is not None:
                await self._send_answer(received.peer, answer)

    async def _serve(self, peer: str, message: PlatformCall | LoanRequest) -> None:
        match message:
            case PlatformCall(operation=operation) as call:
                answer = await execute_call(self._platform, call)
                log_debug("relayed", peer=peer, operation=operation, error=answer.error)
            case LoanRequest() as request:
                answer = await self._handler.lend(request)
        await self._send_answer(peer, answer)

    async def _send_answer(self, peer: str, answer) -> None:
        try:
            await self._endpoint.send(peer, answer)
        except LinkLost as exc:
            log_debug("peer_answer_lost", peer=peer, error=str(exc))

    async def _take(self, message):
        """Take one message in; return what to answer."""
        match message:
            case IngressState() as state:
                await self._take_state(state)
            case ConfigurationPush() | ConfigurationPull():
                return await self._take_configuration(message)
            case PartsCall() | Heartbeat() | ClockQuestion():
                return self._answered(message)
            case CrashSeen() as crash:
                self._handler.receive_crash(crash)
            case UpstreamChanges() as changes:
                await self._handler.receive_upstream_changes(changes)
            case EvacuatedZones() as found:
                await self._handler.merge_evacuated_zones(found)
            case TokenLoan() as loan if loan.tokens or loan.returned:
                await self._handler.receive_loan(loan)
            case PlatformAnswer() as answer:
                await self._handler.receive_platform_answer(answer)
            case RenewalCall() | HandedRenewals() | RenewalsWritten():
                return await self._take_renewals(message)
        return None

    def _answered(self, message) -> IngressState | Heartbeat | ClockAnswer:
        match message:
            case PartsCall():
                return self._state(NOBODY, self._handler.all_prompt_blocks())
            case Heartbeat():
                return self._handler.heartbeat()
            case ClockQuestion(asked_at=asked_at):
                return ClockAnswer(asked_at=asked_at, wall=read_clocks().wall)

    async def _take_state(self, state: IngressState) -> None:
        self._meet(state)
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
        hold = hold_seconds(self.known_routers)
        await self._handler.merge_loads(state.node, loads, hold_seconds=hold)
        for name, parts in state.parts_by_upstream.items():
            self._handler.merge_prompt_blocks(name, parts)

    async def _take_configuration(self, message) -> ConfigurationPush | None:
        match message:
            case ConfigurationPull() as pull:
                return self._pushed(pull)
            case ConfigurationPush(objects=objects):
                for one in objects:
                    await self._handler.receive_configuration(one)
        return None

    async def _take_renewals(self, message) -> HandedRenewals | None:
        match message:
            case RenewalCall():
                return self._handler.receive_renewal_call()
            case HandedRenewals() as handed:
                await self._handler.receive_renewals(handed)
            case RenewalsWritten() as answer:
                await self._handler.receive_renewals_written(answer)
        return None

    def _meet(self, state: IngressState) -> None:
        self.writers.record_writer(
            node=state.node, address=state.address, latency_class=state.writing_step
        )
        self._introductions.meet(
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
