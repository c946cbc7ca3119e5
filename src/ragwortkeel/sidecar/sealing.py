"""Sealing of a router incarnation, and reports of its runs to the sealers."""

from collections import defaultdict

from ragwortkeel.budget.seal import SealReport
from ragwortkeel.messages import Sealed
from ragwortkeel.runs.journal import Journal
from ragwortkeel.sidecar.effects import Peer, Send

MAX_SEALED_RECEIPTS = 2_000
"""Receipts in one report, about 0.5 MB; the sidecar writes the others itself."""


class Sealing:
    """Replies to sealers at once, and again when the last run has ended.

    Parameters
    ----------
    incarnation
        Incarnation of this sidecar.
    """

    def __init__(self, *, incarnation: str, journal: Journal) -> None:
        self._incarnation = incarnation
        self._journal = journal
        self._sealers_by_router: dict[str, set[Peer]] = defaultdict(set)

    def seal(self, peer: Peer, router: str) -> list[Send]:
        """Seal a router and report its runs to the peer that asked."""
        report = self._journal.seal(router)
        if report.running:
            self._sealers_by_router[router].add(peer)
        return [Send(peer=peer, message=self._sealed_message(router, report))]

    def record_run_end(self, router: str) -> list[Send]:
        """Report to the sealers again if a sealed router's last run has ended."""
        if router not in self._sealers_by_router:
            return []
        report = self._journal.seal(router)
        if report.running:
            return []
        message = self._sealed_message(router, report)
        sealers = self._sealers_by_router.pop(router)
        return [Send(peer=peer, message=message) for peer in sorted(sealers)]

    def _sealed_message(self, router: str, report: SealReport) -> Sealed:
        return Sealed(
            router=router,
            sidecar=self._incarnation,
            ran=report.ran,
            running=report.running,
            receipts=self._journal.receipts_for_router(router)[:MAX_SEALED_RECEIPTS],
        )
