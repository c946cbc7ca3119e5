"""Expected lengths of runs, from those that have ended.

A run's length is taken to be proportional to the size that its caller states, such as
the tokens of its answer.  Mean and deviation follow the last runs, as in the
retransmission timer of TCP.
"""

from dataclasses import dataclass

MIN_RUNS = 5
"""Runs of a kind before their length is expected."""

MEAN_SHARE = 1 / 8
DEVIATION_SHARE = 1 / 4
"""Shares of the newest run in the mean and in the deviation, as in RFC 6298."""

DEVIATIONS = 2.0
"""Deviations by which a run is expected to be longer than the mean."""

MAX_KINDS = 1_000
"""Kinds of runs that are remembered; the one that was not seen longest is forgotten."""


@dataclass(frozen=True, kw_only=True)
class _Pace:
    """Seconds for each unit of size."""

    mean: float
    deviation: float
    runs: int

    def updated(self, seconds: float) -> "_Pace":
        error = seconds - self.mean
        deviation = self.deviation + DEVIATION_SHARE * (abs(error) - self.deviation)
        return _Pace(
            mean=self.mean + MEAN_SHARE * error,
            deviation=deviation,
            runs=self.runs + 1,
        )


class RunTimes:
    """Expected lengths of runs by kind.

    Examples
    --------
    >>> times = RunTimes()
    >>> for _ in range(MIN_RUNS):
    ...     times.record("chat", size=100, seconds=2.0)
    >>> times.expected_seconds("chat", size=50) < 2.0
    True
    """

    def __init__(self) -> None:
        self._pace_by_kind: dict[str, _Pace] = {}

    def record(self, kind: str, *, size: int, seconds: float) -> None:
        """Record the length of a run that was answered whole."""
        pace_seconds = seconds / max(1, size)
        known = self._pace_by_kind.pop(kind, None)
        self._pace_by_kind[kind] = (
            _Pace(mean=pace_seconds, deviation=pace_seconds / 2, runs=1)
            if known is None
            else known.updated(pace_seconds)
        )
        if len(self._pace_by_kind) > MAX_KINDS:
            del self._pace_by_kind[next(iter(self._pace_by_kind))]

    def expected_seconds(self, kind: str, *, size: int) -> float | None:
        """Return how long a run may be expected to take, None if that is unknown."""
        pace = self._pace_by_kind.get(kind)
        if pace is None or pace.runs < MIN_RUNS:
            return None
        return max(1, size) * (pace.mean + DEVIATIONS * pace.deviation)
