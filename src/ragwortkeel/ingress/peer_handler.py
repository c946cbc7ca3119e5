"""The interface between a process's links to peers and the state of the process."""

from typing import Protocol

from ragwortkeel.ingress.placement import Load
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


class PeerHandler(Protocol):
    """Provides the content of messages to peers, and receives messages of peers."""

    def revision(self) -> int:
        """Return the revision of the configuration in force; 0 for none."""

    def receive_revision(self, peer: str, revision: int) -> None:
        """Receive the revision of a peer's configuration in force; 0 for none."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat that keeps a peer's link up."""

    def own_loads(self) -> dict[str, Load]:
        """Return this process's load at each upstream."""

    def drain_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return and clear the prompt blocks that upstreams began to read.

        See `Placement.drain_prompt_blocks`.
        """

    def all_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return the prompt blocks in the upstreams' prefix caches."""

    def merge_prompt_blocks(
        self, upstream: str, tokens_by_prefix_hash: dict[int, int]
    ) -> None:
        """Merge the prompt blocks that an upstream read for a peer."""

    def configuration_object(self) -> VersionedObject | None:
        """Return the configuration in force."""

    def receive_clock(self, peer: str, answer: ClockAnswer) -> None:
        """Receive a peer's time of day."""

    async def merge_loads(
        self, node: str, load_by_upstream: dict[str, Load], *, hold_seconds: float
    ) -> None:
        """Merge a peer's load at each upstream, valid for `hold_seconds`."""

    def instance_status(self) -> InstanceStatus | None:
        """Return the status of this instance, None if peers don't get one."""

    def receive_instance_status(
        self, node: str, status: InstanceStatus | None, *, hold_seconds: float
    ) -> None:
        """Replace the status of a peer's instance, valid for `hold_seconds`."""

    async def receive_configuration(self, pushed: VersionedObject) -> None:
        """Receive a peer's configuration; apply it if it is newer."""

    async def receive_crash(self, crash: CrashSeen) -> None:
        """Receive a crash that a peer detected."""

    def block_answer(self, question: BlockQuestion) -> BlockAnswer | None:
        """Return which accused prompt blocks worked here; None at a relay."""

    async def receive_block_answer(self, peer: str, answer: BlockAnswer) -> None:
        """Receive which accused prompt blocks worked at a peer."""

    def block_decisions(self) -> tuple[BlockDecision, ...]:
        """Return all decisions on prompt blocks."""

    def receive_block_decisions(self, decisions: tuple[BlockDecision, ...]) -> None:
        """Receive a peer's decisions on prompt blocks."""

    def suspect_requests(self) -> tuple[SuspectRequest, ...]:
        """Return the requests that may crash upstreams."""

    def receive_suspect_requests(self, suspects: tuple[SuspectRequest, ...]) -> None:
        """Receive a peer's requests that may crash upstreams."""

    def announced_limits(self) -> dict[str, AnnouncedLimit]:
        """Return the rate limits that upstreams' answers announced lately."""

    def merge_limits(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Merge the rate limits that answers to a peer announced."""

    def announced_leaving(self) -> dict[str, int]:
        """Return the upstreams whose recent answers announced that they leave.

        By upstream, the Unix millisecond at which the leaving instance started.
        """

    def known_leaving(self) -> dict[str, int]:
        """Return all upstreams that are known to leave, for a peer that may know none.

        As `announced_leaving`, whoever said it and whenever.
        """

    def merge_leaving(self, started_ms_by_upstream: dict[str, int]) -> None:
        """Merge which upstreams announced to a peer that they leave."""

    def upstreams_revision(self) -> int:
        """Return the revision of the newest known change of an upstream's entry."""

    def receive_upstreams_revision(self, revision: int) -> None:
        """Receive the revision of the newest change of an entry known to a peer."""

    async def receive_upstream_changes(self, changes: UpstreamChanges) -> None:
        """Receive changes of entries from a peer that watches the platform."""

    def evacuated_zones(self) -> EvacuatedZones:
        """Return the evacuated availability zones known here."""

    async def merge_evacuated_zones(self, found: EvacuatedZones) -> None:
        """Merge the evacuated availability zones known to a peer."""

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Return the answer to a peer that lacks tokens: a loan or returned tokens."""

    async def receive_loan(self, loan: TokenLoan) -> None:
        """Receive a peer's answer to a request for tokens."""

    def writing_step(self) -> int:
        """Return how slowly this process writes ledgers; see `budget.write_order`."""

    def receive_renewal_call(self) -> HandedRenewals | None:
        """Return the renewals for a peer that is about to write, None for none."""

    async def receive_renewals(self, delegated: HandedRenewals) -> None:
        """Receive a peer's renewals for the next write."""

    async def receive_renewals_written(self, answer: RenewalsWritten) -> None:
        """Receive the outcome of renewals that were delegated to a peer."""

    async def receive_platform_answer(self, answer: PlatformAnswer) -> None:
        """Receive the answer to a platform call that a peer relayed."""

    def receive_origins(self, message: OriginNotes) -> None:
        """Receive the origins of streams that a peer has begun."""

    async def receive_relays_changed(self, *, started: str = "") -> None:
        """Receive that the links to relays changed.

        `started` is the address of one that came up or started again.
        """

    def kept_origins(self) -> OriginsKept | None:
        """Return the origins that this process keeps for others, None for none."""

    async def receive_kept_origins(self, message: OriginsKept) -> None:
        """Receive the origins that a relay keeps."""

    def origin_answer(self, question: OriginQuestion) -> OriginAnswer | None:
        """Return what this process knows of a stream, None if it knows of none."""

    async def receive_origin_answer(self, peer: str, answer: OriginAnswer) -> None:
        """Receive the answer of the peer at this address."""
