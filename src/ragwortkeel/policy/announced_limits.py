"""Rate limits that upstreams announce, each shared by all processes of the fleet.

Load pattern: an overloaded upstream still answers and looks idle, so all processes
go on sending to it.  Its answers carry a rate limit for the whole fleet, until an
answer leaves the limit out.  Processes receive a limit at different times, from their
own answers or from peers; the newest announcement holds.  Without sharing, each
process would use the full limit.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ragwortkeel.policy.fleet_rates import FleetRate

MIN_REQUESTS_PER_SECOND = 0.25
"""Requests per second that a limit near zero still permits.  Without any request no
process would receive the end of the limit."""

MIN_SENDERS = 3
"""Processes that share the lowest limit; two of them may have stopped or lack
callers."""

SENDERS_PER_REQUEST = 1.5
"""Additional senders for each request per second of the limit.  With few senders most
processes could not use an upstream whose limit is hardly below its load.  Each sender
may add a burst of one request; an upstream accepts a burst of half its limit plus a
few requests."""

BURST_SECONDS = 0.5
"""Seconds of its rate that an idle sender accumulates; requests come in bursts."""

CONFIRMATION_SECONDS = 5.0
"""Age at which a limit that no answer has confirmed is shared equally by all processes.
The processes that were chosen to send may have stopped."""

REPORTING_SECONDS = 5.0
"""Time for which an announcement is sent to peers; their reports are seconds apart in a
large fleet."""


@dataclass(frozen=True, kw_only=True)
class LimitAnnouncement:
    """The limit that an upstream announced, or its end.

    Attributes
    ----------
    per_second : float or None
        Requests per second from the whole fleet; None for no limit.
    effective_at : float
        Monotonic second from which the announcement holds.
    own : bool
        Whether this process received it in an answer; otherwise a peer reported it.
    ended_at : float or None
        Monotonic second at which the end of the limit was first announced; None
        while the limit holds.
    """

    per_second: float | None
    effective_at: float
    own: bool = True
    ended_at: float | None = None

    @property
    def changed_at(self) -> float:
        """Monotonic second from which the announcement is reported to peers."""
        return self.effective_at if self.ended_at is None else self.ended_at


class AnnouncedLimits:
    """The newest announcement of each upstream that has announced a limit.

    Examples
    --------
    >>> limits = AnnouncedLimits()
    >>> limits.merge("u1", LimitAnnouncement(per_second=1.5, effective_at=8.0))
    True
    >>> limits.merge("u1", LimitAnnouncement(per_second=None, effective_at=7.9))
    False
    >>> limits.limit_of("u1")
    1.5
    >>> limits.merge("u1", LimitAnnouncement(per_second=None, effective_at=8.2))
    True
    >>> limits.limit_of("u1") is None
    True
    """

    def __init__(self) -> None:
        self._announcement_by_upstream: dict[str, LimitAnnouncement] = {}

    def record_answer(
        self, upstream: str, per_second: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Record the limit that an answer announced; return whether the limit changed.

        An answer without a limit may have been created before another answer announced
        one, so it holds only from the moment at which its request was sent.
        """
        at = sent_at if per_second is None else now
        return self.merge(
            upstream, LimitAnnouncement(per_second=per_second, effective_at=at)
        )

    def merge(self, upstream: str, announcement: LimitAnnouncement) -> bool:
        """Store an announcement if it is newer; return whether the limit changed."""
        current = self._announcement_by_upstream.get(upstream)
        if current is None:
            if announcement.per_second is None:
                return False
            self._announcement_by_upstream[upstream] = announcement
            return True
        if announcement.effective_at <= current.effective_at:
            return False
        if announcement.per_second is None:
            ended_at = (
                announcement.effective_at
                if current.ended_at is None
                else current.ended_at
            )
            announcement = replace(announcement, ended_at=ended_at)
        self._announcement_by_upstream[upstream] = announcement
        return announcement.per_second != current.per_second

    def limit_of(self, upstream: str) -> float | None:
        """Return the limit in force, in requests per second; None for no limit."""
        current = self._announcement_by_upstream.get(upstream)
        return current.per_second if current else None

    def fleet_rate(self, upstream: str, now: float) -> FleetRate | None:
        """Return the bound on the fleet's requests to an upstream; None for none."""
        current = self._announcement_by_upstream.get(upstream)
        if current is None or current.per_second is None:
            return None
        return FleetRate(
            per_second=max(MIN_REQUESTS_PER_SECOND, current.per_second),
            senders=MIN_SENDERS + int(SENDERS_PER_REQUEST * current.per_second),
            burst_seconds=BURST_SECONDS,
            known_to_all=now - current.effective_at < CONFIRMATION_SECONDS,
        )

    def recent_own(self, now: float) -> dict[str, LimitAnnouncement]:
        """Return the announcements to report to peers.

        Announcements that peers reported are left out: forwarded, they would seem newer
        than they are.
        """
        return {
            name: announcement
            for name, announcement in self._announcement_by_upstream.items()
            if announcement.own and now - announcement.changed_at < REPORTING_SECONDS
        }

    def remove(self, upstream: str) -> None:
        """Discard the announcements of an earlier instance of that name."""
        self._announcement_by_upstream.pop(upstream, None)

    def retain(self, upstreams: Iterable[str]) -> set[str]:
        """Retain only these upstreams; return the names of the removed ones."""
        removed = self._announcement_by_upstream.keys() - set(upstreams)
        for name in removed:
            del self._announcement_by_upstream[name]
        return removed
