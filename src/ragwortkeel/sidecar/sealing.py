"""Sealing a router incarnation here, and reporting what it ran."""

from collections import defaultdict

from ragwortkeel.messages import Sealed
from ragwortkeel.runs.journal import Journal
from ragwortkeel.sidecar.effects import Peer, Send

MAX_SEALED_RECEIPTS = 2_000
"""In one report, about half a megabyte; this sidecar writes the rest itself."""


class Sealing:
    """Answers sealers, at once and again when the last run has ended.

    Parameters
    ----------
    incarnation
        Of this sidecar.
    """

    def __init__(self, *, incarnation: str, journal: Journal) -> None:
        self._incarnation = incarnation
        self._journal = journal
        self._sealers_by_router: dict[str, set[Peer]] = defaultdict(set)

    def seal(self, peer: Peer, router: str) -> list[Send]:
        """Refuse a router from now on and report to who asked."""
        self._journal.seal(router)
        if self._journal.running_of(router):
            self._sealers_by_router[router].add(peer)
        return [Send(peer=peer, message=self._report(router))]

    def run_ended(self, router: str) -> list[Send]:
        """Report again once a sealed router's last run has ended."""
        if router not in self._sealers_by_router or self._journal.running_of(router):
            return []
        report = self._report(router)
        sealers = self._sealers_by_router.pop(router)
        return [Send(peer=peer, message=report) for peer in sorted(sealers)]

    def _report(self, router: str) -> Sealed:
        return Sealed(
            router=router,
            sidecar=self._incarnation,
            ran=self._journal.ran(router),
            running=self._journal.bounds(router),
            receipts=self._journal.receipts_of(router)[:MAX_SEALED_RECEIPTS],
        )
