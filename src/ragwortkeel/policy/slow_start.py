"""Slow start: bounded growth of the traffic to an upstream.

Load pattern: an upstream returns, is added, or looks idle in a report, and every
router sends to it at once.  Without a bound the load of the fleet moves to a cold
prefix cache, its first-token times rise, the routers move away again, and load
oscillates between upstreams with the period of the reports.

The traffic fraction drops at once, since work sent to a failed upstream is lost, and
rises by at most `RISE_FRACTION_PER_SECOND`.
"""

from dataclasses import dataclass

RISE_FRACTION_PER_SECOND = 0.1
"""Growth of the fraction per second, ten seconds to full traffic.  That is several
times the age of a load report (about a second), so reports show each increase before
the next."""

START_FRACTION = 0.1
"""Fraction after a start: one or two concurrent requests, the fewest that distinguish a
slow upstream from a fast one."""


@dataclass(frozen=True, kw_only=True)
class TrafficFraction:
    """A fraction between 0 and 1, as of `updated_at` seconds."""

    value: float
    updated_at: float


class SlowStart:
    """The traffic fractions of the upstreams, each with bounded growth.

    Parameters
    ----------
    rise_per_second : float
        Growth of a fraction per second.
    start : float
        Fraction of an upstream that joins others in use.
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
        """Retain only these upstreams; add new ones at the start fraction.

        If no upstream was known before, all begin at full traffic: there is no load to
        move from other upstreams, and a low start would only cause refusals.
        """
        start = self._start if self._fraction_by_upstream else 1.0
        retained = {
            n: s for n, s in self._fraction_by_upstream.items() if n in upstreams
        }
        for name in upstreams - retained.keys():
            retained[name] = TrafficFraction(value=start, updated_at=now)
        self._fraction_by_upstream = retained

    def reset(self, upstream: str, now: float) -> None:
        """Reset the fraction to the start value."""
        if upstream in self._fraction_by_upstream:
            self._fraction_by_upstream[upstream] = TrafficFraction(
                value=self._start, updated_at=now
            )

    def fraction(self, upstream: str, now: float) -> float:
        """Return the fraction at `now`, 0 to 1; 0 for an unknown upstream."""
        current = self._fraction_by_upstream.get(upstream)
        if current is None:
            return 0.0
        increased = current.value + self._rise_per_second * max(
            0.0, now - current.updated_at
        )
        return min(1.0, increased)
