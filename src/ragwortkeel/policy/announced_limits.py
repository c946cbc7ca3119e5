"""Rate limits that upstreams announce, each for all processes of the fleet together.

Pattern of load: an upstream in need still answers well and looks idle, so all
processes go on sending to it, or turn to it.  It says in its answers how many requests
a second it takes from all of them, until an answer no longer says so.  Processes hear
that at different moments, from their own answers or from each other; the newest
statement holds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

TOLD_SECONDS = 5.0
"""For how long a statement is passed on to peers; their reports are seconds apart in
a large fleet."""


@dataclass(frozen=True, kw_only=True)
class Statement:
    """What an upstream said of its limit.

    Attributes
    ----------
    per_second : float or None
        Requests a second from the whole fleet; None for no limit.
    at : float
        Monotonic second from which it holds.
    """

    per_second: float | None
    at: float


class AnnouncedLimits:
    """The newest statement of each upstream that has announced a limit.

    Examples
    --------
    >>> limits = AnnouncedLimits()
    >>> limits.take("u1", Statement(per_second=1.5, at=8.0))
    True
    >>> limits.take("u1", Statement(per_second=None, at=7.9)), limits.of("u1")
    (False, 1.5)
    >>> limits.take("u1", Statement(per_second=None, at=8.2)), limits.of("u1")
    (True, None)
    """

    def __init__(self) -> None:
        self._statement_by_upstream: dict[str, Statement] = {}

    def answered(
        self, upstream: str, per_second: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Take in what an answer says; return whether the limit changed.

        An answer without a limit may have been made before one that names it came, so
        it speaks only of the moment in which its request was sent.
        """
        at = sent_at if per_second is None else now
        return self.take(upstream, Statement(per_second=per_second, at=at))

    def take(self, upstream: str, statement: Statement) -> bool:
        """Take in a statement where it is newer; return whether the limit changed."""
        known = self._statement_by_upstream.get(upstream)
        if known is None:
            if statement.per_second is None:
                return False
            self._statement_by_upstream[upstream] = statement
            return True
        if statement.at <= known.at:
            return False
        self._statement_by_upstream[upstream] = statement
        return statement.per_second != known.per_second

    def of(self, upstream: str) -> float | None:
        """Return the limit in force, in requests a second; None for none."""
        known = self._statement_by_upstream.get(upstream)
        return known.per_second if known else None

    def recent(self, now: float) -> dict[str, Statement]:
        """Return the statements that peers should hear of."""
        return {
            name: statement
            for name, statement in self._statement_by_upstream.items()
            if now - statement.at < TOLD_SECONDS
        }

    def forget(self, upstream: str) -> None:
        """Drop what an earlier instance of that name said."""
        self._statement_by_upstream.pop(upstream, None)

    def keep(self, upstreams: Iterable[str]) -> set[str]:
        """Drop what upstreams said that are gone; return their names."""
        gone = self._statement_by_upstream.keys() - set(upstreams)
        for name in gone:
            del self._statement_by_upstream[name]
        return gone
