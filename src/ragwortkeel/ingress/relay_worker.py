"""The relay daemon: it executes calls of the platform for ingress processes.

It runs on instances that a partition is unlikely to affect, such as those beside the
upstreams.  It keeps the origins of streams, in case all ingress processes end at once.
"""

import secrets
from time import monotonic

import curio

from ragwortkeel.budget.write_order import UNREACHABLE_LATENCY_CLASS
from ragwortkeel.configuration_store import InForce
from ragwortkeel.ingress.mesh import RELAY_HEARTBEAT_SECONDS
from ragwortkeel.ingress.origin_exchange import kept_note, record_note
from ragwortkeel.ingress.peers import Peers
from ragwortkeel.ingress.placement import Load
from ragwortkeel.logs import log_info
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
from ragwortkeel.policy.stream_origins import OriginTable
from ragwortkeel.process import Leftover
from ragwortkeel.settings import RelaySettings
from ragwortkeel.tasks import run_together
from ragwortkeel.traces import Tracing

STOP_NOTICE_SECONDS = 1.2 * RELAY_HEARTBEAT_SECONDS
"""Time in which ingress processes hear that a relay stops."""

MAX_STOP_SECONDS = 5.0
"""How long a stop waits for calls that are relayed, and for an ingress process that
takes the origins; all of them may be starting again."""

STOP_POLL_SECONDS = 0.05

MAX_KEPT_ORIGINS = 5_000
"""Origins in one message, about 0.3 MB: those of the last minute at 80 streams a
second."""


class RelayWorker:
    """Everything a relay process runs.

    .. versionadded:: 0.2
    """

    def __init__(self, *, settings: RelaySettings, platform: Platform) -> None:
        self.metrics = Metrics()
        self.tracing = Tracing(node=settings.name)
        self.ready = True
        self._settings = settings
        self._origins = OriginTable()
        self._counted = CountedPlatform(platform=platform, metrics=self.metrics)
        self._peers = Peers(
            node=settings.name,
            incarnation=f"{settings.name}/{secrets.token_hex(4)}",
            address=settings.address,
            seeds=settings.peers,
            platform=self._counted,
            handler=self,
            metrics=self.metrics,
            is_relay=True,
        )

    def open(self) -> None:
        """Bind the socket."""
        self._peers.open()

    def reload(self, settings: RelaySettings) -> None:
        """Add the peers of the new settings; see `IngressWorker.reload`."""
        self._peers.add_addresses(settings.peers)

    async def run(self) -> None:
        """Work until cancelled or until a task fails."""
        await run_together(self._peers.run, self._counted.run)

    async def stop(self) -> Leftover:
        """Hand on the origins, and complete the calls that are relayed."""
        self.ready = False
        kept, began_at = self.kept_origins(), monotonic()
        seconds = min(MAX_STOP_SECONDS, self._settings.stop_deadline_seconds)
        ends_at = began_at + seconds
        told: set[str] = set()
        while monotonic() < ends_at:
            await curio.sleep(STOP_POLL_SECONDS)
            for link in self._peers.links_heard_since(began_at):
                if link.name not in told and await link.try_send(kept):
                    told.add(link.name)
            is_noticed = monotonic() >= began_at + min(STOP_NOTICE_SECONDS, seconds / 2)
            has_told = bool(told) or not kept.notes
            if is_noticed and has_told and not self._peers.open_calls:
                break
        log_info("origins_handed_on", origins=len(kept.notes), processes=len(told))
        return Leftover(counts={"calls": self._peers.open_calls})

    def in_force(self, kind: str, name: str) -> InForce:
        """Return revision 0: a relay has no configuration in force."""
        return InForce(revision=0)

    # The methods of `PeerHandler`.  A relay has no state to send and discards what it
    # receives.

    def revision(self) -> int:
        """Return 0: no configuration is in force."""
        return 0

    def receive_revision(self, peer: str, revision: int) -> None:
        """Discard the revision of a peer's configuration."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat that keeps a peer's link up."""
        return Heartbeat(leaving=not self.ready)

    def own_loads(self) -> dict[str, Load]:
        """Return no loads: a relay sends no requests to upstreams."""
        return {}

    def drain_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return no prompt blocks: a relay sends no prompts to upstreams."""
        return {}

    def all_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return no prompt blocks: a relay stores none."""
        return {}

    def merge_prompt_blocks(
        self, upstream: str, tokens_by_prefix_hash: dict[int, int]
    ) -> None:
        """Discard a peer's prompt blocks."""

    def configuration_object(self) -> VersionedObject | None:
        """Return no configuration."""
        return None

    def receive_clock(self, peer: str, answer: ClockAnswer) -> None:
        """Discard a peer's time of day: a relay only sends its own."""

    async def merge_loads(
        self, node: str, load_by_upstream: dict[str, Load], *, hold_seconds: float
    ) -> None:
        """Discard a peer's loads."""

    def instance_status(self) -> None:
        """Return None: a relay serves no callers."""

    def receive_instance_status(
        self, node: str, status: InstanceStatus | None, *, hold_seconds: float
    ) -> None:
        """Ignore the status: a relay sends no requests."""

    async def receive_configuration(self, pushed: VersionedObject) -> None:
        """Discard a peer's configuration."""

    async def receive_crash(self, crash: CrashSeen) -> None:
        """Discard a crash that a peer detected."""

    def block_answer(self, question: BlockQuestion) -> None:
        """Return None: a relay sends no prompts."""

    async def receive_block_answer(self, peer: str, answer: BlockAnswer) -> None:
        """Discard the answer: a relay asks for no blocks."""

    def block_decisions(self) -> tuple[BlockDecision, ...]:
        """Return no decisions: a relay sends no prompts."""
        return ()

    def receive_block_decisions(self, decisions: tuple[BlockDecision, ...]) -> None:
        """Discard a peer's decisions on prompt blocks."""

    def suspect_requests(self) -> tuple[SuspectRequest, ...]:
        """Return no requests: a relay sends none to upstreams."""
        return ()

    def receive_suspect_requests(self, suspects: tuple[SuspectRequest, ...]) -> None:
        """Discard a peer's suspect requests."""

    def announced_limits(self) -> dict[str, AnnouncedLimit]:
        """Return no limits: a relay receives no answers of upstreams."""
        return {}

    def merge_limits(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Discard the limits that answers to a peer announced."""

    def announced_leaving(self) -> dict[str, int]:
        """Return no upstreams: a relay receives no answers of upstreams."""
        return {}

    def known_leaving(self) -> dict[str, int]:
        """Return no upstreams: a relay sends no requests to upstreams."""
        return {}

    def merge_leaving(self, started_ms_by_upstream: dict[str, int]) -> None:
        """Discard which upstreams announced to a peer that they leave."""

    def upstreams_revision(self) -> int:
        """Return 0: a relay stores no entries of upstreams."""
        return 0

    def receive_upstreams_revision(self, revision: int) -> None:
        """Discard the revision of a peer's upstream entries."""

    async def receive_upstream_changes(self, changes: UpstreamChanges) -> None:
        """Discard changes of upstreams' entries."""

    def evacuated_zones(self) -> EvacuatedZones:
        """Return no evacuated zones, as of revision 0."""
        return EvacuatedZones()

    async def merge_evacuated_zones(self, found: EvacuatedZones) -> None:
        """Discard a peer's evacuated availability zones."""

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Return an empty loan: a relay holds no tokens."""
        return TokenLoan(customer=request.customer)

    async def receive_loan(self, loan: TokenLoan) -> None:
        """Discard a loan: a relay never requests one."""

    def writing_step(self) -> int:
        """Return the value of a process that writes no ledgers."""
        return UNREACHABLE_LATENCY_CLASS

    def receive_renewal_call(self) -> None:
        """Return None: a relay has no renewals."""

    async def receive_renewals(self, delegated: HandedRenewals) -> None:
        """Discard renewals: a relay writes no ledgers."""

    async def receive_renewals_written(self, answer: RenewalsWritten) -> None:
        """Discard the outcome of renewals: a relay delegates none."""

    async def receive_platform_answer(self, answer: PlatformAnswer) -> None:
        """Discard an answer: a relay sends no calls through peers."""

    def receive_origins(self, message: OriginNotes) -> None:
        """Keep the origins of a peer's streams."""
        now = monotonic()
        for note in message.notes:
            record_note(self._origins, note, now)

    async def receive_relays_changed(self, *, started: str = "") -> None:
        """Do nothing: a relay links to no relay."""

    def kept_origins(self) -> OriginsKept:
        """Return the origins of the streams that began last."""
        now = monotonic()
        newest = self._origins.newest(MAX_KEPT_ORIGINS)
        return OriginsKept(
            notes=tuple(kept_note(key, known, now) for key, known in newest)
        )

    async def receive_kept_origins(self, message: OriginsKept) -> None:
        """Discard them: relays send these to ingress processes."""

    def origin_answer(self, question: OriginQuestion) -> None:
        """Return None: a process that has started asks for all that a relay keeps."""

    async def receive_origin_answer(self, peer: str, answer: OriginAnswer) -> None:
        """Discard the answer: a relay asks for no origins."""
