"""Rate limits that upstreams announce, each for all processes of the fleet together.

Pattern of load: an overloaded upstream still answers and looks idle, so all processes
go on sending to it, or turn to it.  Its answers carry a rate limit for all of them
together, until one leaves it out.  Processes hear of it at different moments, from
their own answers or from each other; the newest statement holds.  Unless they share the
limit, each process would use the whole of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ragwortkeel.policy.fleet_rates import FleetRate

MIN_REQUESTS_PER_SECOND = 0.25
"""Of a limit near zero: without any request nobody would find out that it ended."""

MIN_SENDERS = 3
"""Processes that share the lowest limit: two of them may be dead or lack callers."""

SENDERS_PER_REQUEST = 1.5
"""More senders for each request a second.  With few of them most processes could not
use an upstream whose limit is hardly below its load.  Each may add one request that it
has saved up, and an upstream takes a burst of half its limit and a few more."""

BURST_SECONDS = 0.5
"""Of its share, what an idle sender saves up: requests come in bursts."""

CONFIRMATION_SECONDS = 5.0
"""A limit that no answer named for so long is shared by all processes equally: those
that were chosen to send may be gone."""

REPORTING_SECONDS = 5.0
"""For how long a statement is passed on to peers; their reports are seconds apart in
a large fleet."""


@dataclass(frozen=True, kw_only=True)
class LimitAnnouncement:
    """What an upstream said of its limit.

    Attributes
    ----------
    per_second : float or None
        Requests a second from the whole fleet; None for no limit.
    at : float
        Monotonic second from which it holds.
    own : bool
        Whether an answer to this process said so; else a peer passed it on.
    ended_at : float or None
        Where there is no limit any more, when that was first said.
    """

    per_second: float | None
    effective_at: float
    own: bool = True
    ended_at: float | None = None

    @property
    def changed_at(self) -> float:
        """Return the second from which it is due to be reported."""
        return self.effective_at if self.ended_at is None else self.ended_at


class AnnouncedLimits:
    """The newest statement of each upstream that has announced a limit.

    Examples
    --------
    >>> limits = AnnouncedLimits()
    >>> limits.take("u1", LimitAnnouncement(per_second=1.5, at=8.0))
    True
    >>> limits.take("u1", LimitAnnouncement(per_second=None, at=7.9)), limits.of("u1")
    (False, 1.5)
    >>> limits.take("u1", LimitAnnouncement(per_second=None, at=8.2)), limits.of("u1")
    (True, None)
    """

    def __init__(self) -> None:
        self._announcement_by_upstream: dict[str, LimitAnnouncement] = {}

    def record_answer(
        self, upstream: str, per_second: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Take in what an answer says; return whether the limit changed.

        An answer without a limit may have been made before one that names it came, so
        it speaks only of the moment in which its request was sent.
        """
        at = sent_at if per_second is None else now
        return self.merge(
            upstream, LimitAnnouncement(per_second=per_second, effective_at=at)
        )

    def merge(self, upstream: str, statement: LimitAnnouncement) -> bool:
        """Take in a statement where it is newer; return whether the limit changed."""
        known = self._announcement_by_upstream.get(upstream)
        if known is None:
            if statement.per_second is None:
                return False
            self._announcement_by_upstream[upstream] = statement
            return True
        if statement.effective_at <= known.effective_at:
            return False
        if statement.per_second is None:
            ended_at = (
                statement.effective_at if known.ended_at is None else known.ended_at
            )
            statement = replace(statement, ended_at=ended_at)
        self._announcement_by_upstream[upstream] = statement
        return statement.per_second != known.per_second

    def limit_of(self, upstream: str) -> float | None:
        """Return the limit in force, in requests a second; None for none."""
        known = self._announcement_by_upstream.get(upstream)
        return known.per_second if known else None

    def fleet_rate(self, upstream: str, now: float) -> FleetRate | None:
        """Return the bound on the fleet's requests to an upstream; None for none."""
        known = self._announcement_by_upstream.get(upstream)
        if known is None or known.per_second is None:
            return None
        return FleetRate(
            per_second=max(MIN_REQUESTS_PER_SECOND, known.per_second),
            senders=MIN_SENDERS + int(SENDERS_PER_REQUEST * known.per_second),
            burst_seconds=BURST_SECONDS,
            known_to_all=now - known.effective_at < CONFIRMATION_SECONDS,
        )

    def recent_own(self, now: float) -> dict[str, LimitAnnouncement]:
        """Return the statements that peers should hear of.

        Only own ones: passed on again, one would seem newer than it is.
        """
        return {
            name: statement
            for name, statement in self._announcement_by_upstream.items()
            if statement.own and now - statement.changed_at < REPORTING_SECONDS
        }

    def remove(self, upstream: str) -> None:
        """Drop what an earlier instance of that name said."""
        self._announcement_by_upstream.pop(upstream, None)

    def retain(self, upstreams: Iterable[str]) -> set[str]:
        """Drop what upstreams said that are gone; return their names."""
        gone = self._announcement_by_upstream.keys() - set(upstreams)
        for name in gone:
            del self._announcement_by_upstream[name]
        return gone
