"""The relay daemon's work: calls of the platform for ingress processes.

It runs on instances that a cut is likely to spare, such as those beside the
upstreams, and keeps no state that anyone needs.
"""

import secrets

from ragwortkeel.budget.turns import UNREACHABLE_STEP
from ragwortkeel.configuration_store import InForce
from ragwortkeel.ingress.peers import Peers
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
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform import Platform
from ragwortkeel.platform_counts import CountedPlatform
from ragwortkeel.process import Leftover
from ragwortkeel.settings import RelaySettings
from ragwortkeel.tasks import run_together
from ragwortkeel.traces import Tracing


class RelayWorker:
    """Everything a relay process runs.

    .. versionadded:: 0.2
    """

    def __init__(self, *, settings: RelaySettings, platform: Platform) -> None:
        self.metrics = Metrics()
        self.tracing = Tracing(node=settings.name)
        self.ready = True
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
        """Take over the peers; see `IngressWorker.reload`."""
        self._peers.add_addresses(settings.peers)

    async def run(self) -> None:
        """Work until cancelled or until a task fails."""
        await run_together(self._peers.run, self._counted.run)

    async def stop(self) -> Leftover:
        """Stop; calls under way end as unanswered, which callers can bear."""
        self.ready = False
        return Leftover(counts={})

    def in_force(self, kind: str, name: str) -> InForce:
        """Return that nothing is in force: a relay keeps no configuration."""
        return InForce(revision=0)

    # A relay has nothing to tell its peers and does not keep what they say.

    def revision(self) -> int:
        """Return that no configuration is in force."""
        return 0

    def heard_revision(self, peer: str, revision: int) -> None:
        """Leave which configuration a peer has in force."""

    def heartbeat(self) -> Heartbeat:
        """Return what keeps a peer's link up."""
        return Heartbeat(leaving=not self.ready)

    def own_loads(self) -> dict[str, Load]:
        """Return that it has nothing at any upstream."""
        return {}

    def parts_news(self) -> dict[str, dict[int, int]]:
        """Return that it lets no upstream read anything."""
        return {}

    def all_parts(self) -> dict[str, dict[int, int]]:
        """Return that it knows of no upstream."""
        return {}

    def heard_parts(self, upstream: str, tokens_by_chain: dict[int, int]) -> None:
        """Leave it; nothing is placed here."""

    def configuration_object(self) -> VersionedObject | None:
        """Return no configuration."""
        return None

    def heard_clock(self, peer: str, answer: ClockAnswer) -> None:
        """Leave a peer's time: a relay only tells its own."""

    async def heard_loads(
        self, node: str, load_by_upstream: dict[str, Load], *, hold_seconds: float
    ) -> None:
        """Leave a peer's loads."""

    async def heard_configuration(self, pushed: VersionedObject) -> None:
        """Leave a peer's configuration."""

    def heard_crash(self, crash: CrashSeen) -> None:
        """Leave a crash."""

    def limits(self) -> dict[str, AnnouncedLimit]:
        """Return that no upstream has answered it."""
        return {}

    def merge_limits(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Leave it; nothing is placed here."""

    def upstreams_revision(self) -> int:
        """Return that it knows of no upstream."""
        return 0

    def heard_upstreams_revision(self, revision: int) -> None:
        """Leave it; nothing is placed here."""

    async def heard_upstreams(self, changes: UpstreamChanges) -> None:
        """Leave it; nothing is placed here."""

    def evacuated_zones(self) -> EvacuatedZones:
        """Return that it knows of no evacuation."""
        return EvacuatedZones()

    async def report_evacuated(self, found: EvacuatedZones) -> None:
        """Leave it; nothing is placed here."""

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Lend nothing."""
        return TokenLoan(customer=request.customer)

    async def borrowed(self, loan: TokenLoan) -> None:
        """Leave a loan that it never asked for."""

    def writing_step(self) -> int:
        """Return that it writes no ledgers."""
        return UNREACHABLE_STEP

    def renewals_called(self) -> None:
        """Return that there is nothing to renew."""

    async def heard_renewals(self, handed: HandedRenewals) -> None:
        """Leave renewals to those that keep slices."""

    async def renewals_written(self, answer: RenewalsWritten) -> None:
        """Leave it; nothing was handed over."""

    async def relayed(self, answer: PlatformAnswer) -> None:
        """Leave an answer: it relays for others only."""
