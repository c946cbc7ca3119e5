"""How often peers are sent this process's loads, and how long loads they sent hold.

Pattern of load: every process reports to every other.  The reports of one process stay
at `PEERS_AT_FULL_RATE` each `REPORT_SECONDS` however many peers there are, so with more
peers each is sent fewer, and a report has to hold for longer.  A process without any
request has nothing to report, and most of a large fleet's reports would say so.
"""

from dataclasses import dataclass, replace
from math import ceil

from ragwortkeel.messages import IngressState

REPORT_SECONDS = 0.2
"""Between the reports to one group of peers and to the next."""

PEERS_AT_FULL_RATE = 8
"""Peers in a group."""

IDLE_REPORT_SECONDS = 5.0
"""A peer that was sent an empty report is sent the next one after so long."""

MIN_HOLD_SECONDS = 2.0
"""Of a report in a small fleet: several of its sender's."""

HOLD_ROUNDS = 2.5
"""A report holds until the second next of its sender should have come."""


def round_seconds(peers: int) -> float:
    """Return how long it takes to send a report to so many peers."""
    return REPORT_SECONDS * max(1, ceil(peers / PEERS_AT_FULL_RATE))


def hold_seconds(peers: int) -> float:
    """Return how long a report counts in a fleet where each has so many peers."""
    return max(MIN_HOLD_SECONDS, HOLD_ROUNDS * round_seconds(peers))


@dataclass(frozen=True, kw_only=True)
class _IdleReport:
    writing_step: int
    upstreams_revision: int
    evacuations_revision: int
    sent_at: float


class LoadReports:
    """Tells which peers a report is due to.

    Examples
    --------
    >>> reports = LoadReports()
    >>> idle = IngressState(
    ...     node="a", address="", addresses=(), relays=(), load_by_upstream={}
    ... )
    >>> reports.due("b", idle, 0.0), reports.due("b", idle, 1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._idle_report_by_peer: dict[str, _IdleReport] = {}

    def due(self, peer: str, state: IngressState, now: float) -> bool:
        """Whether to send the report at this second; it then counts as sent."""
        if _has_content(state):
            self._idle_report_by_peer.pop(peer, None)
            return True
        idle = _IdleReport(
            writing_step=state.writing_step,
            upstreams_revision=state.upstreams_revision,
            evacuations_revision=state.evacuations_revision,
            sent_at=now,
        )
        previous = self._idle_report_by_peer.get(peer)
        is_unchanged = previous is not None and replace(previous, sent_at=now) == idle
        if is_unchanged and now - previous.sent_at < IDLE_REPORT_SECONDS:
            return False
        self._idle_report_by_peer[peer] = idle
        return True

    def forget(self, peer: str) -> None:
        """Report to a peer anew, however idle: it is heard again."""
        self._idle_report_by_peer.pop(peer, None)


def _has_content(state: IngressState) -> bool:
    details = (
        state.parts_by_upstream,
        state.addresses,
        state.relays,
        state.limit_by_upstream,
    )
    return bool(state.load_by_upstream) or any(details)
