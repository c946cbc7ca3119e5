"""Bounded speed of shifts: how fast an upstream's share of the work may grow.

Pattern of load: an upstream comes back, is added, or looks idle in a report,
and every router turns to it at once.  Without a bound the whole fleet's work
lands on a cold prefix cache, its first-token times jump, it is left again, and
load swings between upstreams with the period of the reports.

A share falls at once, since work sent to a failed upstream is lost, and rises
by at most `RISE_FRACTION_PER_SECOND`.
"""

from dataclasses import dataclass

RISE_FRACTION_PER_SECOND = 0.1
"""Ten seconds to the full share: several times the age of a load report (about
a second), so each step is seen in the reports before the next is taken."""

START_FRACTION = 0.1
"""Enough for one or two requests at once, the fewest that tell slow from fast."""


@dataclass(frozen=True, kw_only=True)
class TrafficFraction:
    """A share in 0..1 as it stood at `at` seconds."""

    value: float
    updated_at: float


class SlowStart:
    """The shares of the upstreams, each rising at a bounded speed.

    Parameters
    ----------
    rise_per_second : float
        By how much a share may grow in a second.
    start : float
        TrafficFraction of an upstream that joins others already at work.
    """

    def __init__(
        self,
        *,
        rise_per_second: float = RISE_FRACTION_PER_SECOND,
        start: float = START_FRACTION,
    ) -> None:
        self._rise_per_second = rise_per_second
        self._start = start
        self._fraction_by_upstream: dict[str, TrafficFraction] = {}

    def retain(self, upstreams: set[str], now: float) -> None:
        """Forget upstreams that left; let those that joined start low.

        Where none was known before, all start at the full share: there is no
        work elsewhere to shift from, and a low start would only refuse.
        """
        start = self._start if self._fraction_by_upstream else 1.0
        kept = {n: s for n, s in self._fraction_by_upstream.items() if n in upstreams}
        for name in upstreams - kept.keys():
            kept[name] = TrafficFraction(value=start, updated_at=now)
        self._fraction_by_upstream = kept

    def reset(self, upstream: str, now: float) -> None:
        """Let the share fall to the start value at once."""
        if upstream in self._fraction_by_upstream:
            self._fraction_by_upstream[upstream] = TrafficFraction(
                value=self._start, updated_at=now
            )

    def fraction(self, upstream: str, now: float) -> float:
        """Return the share in 0..1 at `now`; 0 for an unknown upstream."""
        share = self._fraction_by_upstream.get(upstream)
        if share is None:
            return 0.0
        grown = share.value + self._rise_per_second * max(0.0, now - share.updated_at)
        return min(1.0, grown)
