"""Bounded speed of shifts: how fast an upstream's share of the work may grow.

Pattern of load: an upstream comes back, is added, or looks idle in a report,
and every router turns to it at once.  Without a bound the whole fleet's work
lands on a cold prefix cache, its first-token times jump, it is left again, and
load swings between upstreams with the period of the reports.

A share falls at once, since work sent to a failed upstream is lost, and rises
by at most `RISE_PER_SECOND`.
"""

from dataclasses import dataclass

RISE_PER_SECOND = 0.1
"""Ten seconds to the full share: several times the age of a load report (about
a second), so each step is seen in the reports before the next is taken."""

START_SHARE = 0.1
"""Enough for one or two requests at once, the fewest that tell slow from fast."""


@dataclass(frozen=True, kw_only=True)
class Share:
    """A share in 0..1 as it stood at `at` seconds."""

    value: float
    at: float


class Shares:
    """The shares of the upstreams, each rising at a bounded speed.

    Parameters
    ----------
    rise_per_second : float
        By how much a share may grow in a second.
    start : float
        Share of an upstream that joins others already at work.
    """

    def __init__(
        self, *, rise_per_second: float = RISE_PER_SECOND, start: float = START_SHARE
    ) -> None:
        self._rise_per_second = rise_per_second
        self._start = start
        self._by_upstream: dict[str, Share] = {}

    def keep(self, upstreams: set[str], now: float) -> None:
        """Forget upstreams that left; let those that joined start low.

        Where none was known before, all start at the full share: there is no
        work elsewhere to shift from, and a low start would only refuse.
        """
        start = self._start if self._by_upstream else 1.0
        kept = {n: s for n, s in self._by_upstream.items() if n in upstreams}
        for name in upstreams - kept.keys():
            kept[name] = Share(value=start, at=now)
        self._by_upstream = kept

    def drop(self, upstream: str, now: float) -> None:
        """Let the share fall to the start value at once."""
        if upstream in self._by_upstream:
            self._by_upstream[upstream] = Share(value=self._start, at=now)

    def share(self, upstream: str, now: float) -> float:
        """Return the share in 0..1 at `now`; 0 for an unknown upstream."""
        share = self._by_upstream.get(upstream)
        if share is None:
            return 0.0
        grown = share.value + self._rise_per_second * max(0.0, now - share.at)
        return min(1.0, grown)
