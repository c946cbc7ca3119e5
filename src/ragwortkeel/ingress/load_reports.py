"""How often a process reports its loads to peers, and how long a report is valid.

Every process reports to every other.  A process sends `PEERS_AT_FULL_RATE` reports each
`REPORT_SECONDS`, however many peers there are.  With more peers each of them receives
reports less often, so a report has to be valid for longer.  Processes without any
request, most of a large fleet, send empty reports only rarely.
"""

from dataclasses import dataclass, replace
from math import ceil

from ragwortkeel.messages import IngressState, InstanceStatus

REPORT_SECONDS = 0.2
"""Interval between the reports to one group of peers and to the next."""

PEERS_AT_FULL_RATE = 8
"""Number of peers in a group."""

IDLE_REPORT_SECONDS = 5.0
"""Interval between empty reports to a peer."""

MIN_HOLD_SECONDS = 2.0
"""Shortest validity of a report: several report intervals in a small fleet."""

HOLD_ROUNDS = 2.5
"""Rounds of its sender for which a report is valid, so that one may be lost."""


def round_seconds(peers: int) -> float:
    """Return the duration of a round of reports to so many peers, in seconds."""
    return REPORT_SECONDS * max(1, ceil(peers / PEERS_AT_FULL_RATE))


def hold_seconds(peers: int) -> float:
    """Return how long a report is valid if each process has so many peers."""
    return max(MIN_HOLD_SECONDS, HOLD_ROUNDS * round_seconds(peers))


def status_hold_seconds(status: InstanceStatus | None, loads_seconds: float) -> float:
    """Return how long a status is valid whose loads are valid for `loads_seconds`.

    A peer without requests repeats its report only every `IDLE_REPORT_SECONDS`.  Its
    status has to be valid until then, or the idlest peers would seem unheard.
    """
    if status is None or _is_notable(status):
        return loads_seconds
    return IDLE_REPORT_SECONDS + loads_seconds


NOTABLE_UTILIZATION = 0.3
"""Utilization of an instance that makes a report due even without requests."""


@dataclass(frozen=True, kw_only=True)
class _IdleReport:
    writing_step: int
    upstreams_revision: int
    evacuations_revision: int
    sent_at: float


class LoadReports:
    """Decides which peers a report is due for.

    Examples
    --------
    >>> reports = LoadReports()
    >>> idle = IngressState(
    ...     node="a", address="", addresses=(), relays=(), load_by_upstream={}
    ... )
    >>> reports.mark_due("b", idle, 0.0), reports.mark_due("b", idle, 1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._idle_report_by_peer: dict[str, _IdleReport] = {}

    def mark_due(self, peer: str, state: IngressState, now: float) -> bool:
        """Return whether to send the report now; a due one is recorded as sent."""
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

    def discard(self, peer: str) -> None:
        """Discard the last report to a peer: its link is up again, so report anew."""
        self._idle_report_by_peer.pop(peer, None)


def _has_content(state: IngressState) -> bool:
    details = (
        state.parts_by_upstream,
        state.addresses,
        state.relays,
        state.limit_by_upstream,
        state.leaving_by_upstream,
        state.status is not None and _is_notable(state.status),
    )
    return bool(state.load_by_upstream) or any(details)


def _is_notable(status: InstanceStatus) -> bool:
    """Return whether peers decide differently with this status than without any."""
    return (
        status.overloaded
        or not status.in_rotation
        or status.utilization >= NOTABLE_UTILIZATION
        or status.has_queue
        or bool(status.running_by_customer or status.slowness_by_upstream)
    )
