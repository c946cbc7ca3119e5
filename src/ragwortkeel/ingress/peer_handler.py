"""What the owner of a process's links provides and takes in."""

from typing import Protocol

from ragwortkeel.ingress.placement import Load
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


class PeerHandler(Protocol):
    """What the owner of the links does with what peers say."""

    def revision(self) -> int:
        """Return the revision of the configuration in force; 0 for none."""

    def heard_revision(self, peer: str, revision: int) -> None:
        """Take in which configuration a peer has in force; 0 for none."""

    def heartbeat(self) -> Heartbeat:
        """Return what keeps a peer's link up."""

    def own_loads(self) -> dict[str, Load]:
        """Return what this process has at each upstream."""

    def parts_news(self) -> dict[str, dict[int, int]]:
        """Return what upstreams began to read; see `Placement.drain_prompt_blocks`."""

    def all_parts(self) -> dict[str, dict[int, int]]:
        """Return what upstreams hold of shared prompt parts."""

    def heard_parts(self, upstream: str, tokens_by_prefix_hash: dict[int, int]) -> None:
        """Take in what a peer let an upstream read."""

    def configuration_object(self) -> VersionedObject | None:
        """Return the configuration in force."""

    def heard_clock(self, peer: str, answer: ClockAnswer) -> None:
        """Take in a peer's time of day."""

    async def heard_loads(
        self, node: str, load_by_upstream: dict[str, Load], *, hold_seconds: float
    ) -> None:
        """Take in what a peer has at each upstream, and for how long it holds."""

    async def heard_configuration(self, pushed: VersionedObject) -> None:
        """Take over a peer's configuration where it is newer."""

    def heard_crash(self, crash: CrashSeen) -> None:
        """Take in a crash that a peer found."""

    def limits(self) -> dict[str, AnnouncedLimit]:
        """Return what answers said lately of their upstreams' rate limits."""

    def merge_limits(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Take in what answers to a peer said."""

    def upstreams_revision(self) -> int:
        """Return the revision of the newest change of an upstream's entry here."""

    def heard_upstreams_revision(self, revision: int) -> None:
        """Take in the newest such change that a peer knows of."""

    async def heard_upstreams(self, changes: UpstreamChanges) -> None:
        """Take in changes from a peer that watches the platform."""

    def evacuated_zones(self) -> EvacuatedZones:
        """Return the evacuated availability zones as known here."""

    async def report_evacuated(self, found: EvacuatedZones) -> None:
        """Take in the evacuated availability zones as a peer knows them."""

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Answer a peer that lacks tokens."""

    async def borrowed(self, loan: TokenLoan) -> None:
        """Take in what a peer did for requests that wait for tokens here."""

    def writing_step(self) -> int:
        """Return how slowly this process writes ledgers; see `budget.turns`."""

    def renewals_called(self) -> HandedRenewals | None:
        """Return what a peer that writes the ledgers should take along."""

    async def heard_renewals(self, handed: HandedRenewals) -> None:
        """Take in renewals to write along."""

    async def renewals_written(self, answer: RenewalsWritten) -> None:
        """Take in what became of renewals that a peer was handed."""

    async def relayed(self, answer: PlatformAnswer) -> None:
        """Take in the answer to a call that a peer made."""
