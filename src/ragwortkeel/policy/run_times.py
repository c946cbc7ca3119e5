"""Expected lengths of runs, from those that have ended.

A run's length is taken to grow linearly with the size that its caller states, such as
the tokens of its answer, from a part that all runs have, such as reading a prompt.  The
line follows the last runs by least squares.
"""

from dataclasses import dataclass

MIN_RUNS = 5
"""Runs of a kind before their length is expected."""

MEMORY_RUNS = 50
"""Runs after which older ones count less than a third."""

DEVIATIONS = 2.0
"""Mean deviations from the line by which a run is expected to be longer."""

MAX_KINDS = 1_000
"""Kinds of runs that are remembered; the one that was not seen longest is forgotten."""


@dataclass(frozen=True, kw_only=True)
class _Line:
    """Length of a run over its size, by running means."""

    size: float
    seconds: float
    size_variance: float = 0.0
    covariance: float = 0.0
    deviation: float = 0.0
    runs: int = 1

    def at(self, size: float) -> float:
        """Return the length of a run of this size."""
        # All of one size: none of the length is known to be the same for all sizes.
        slope = self.seconds / max(1.0, self.size)
        if self.size_variance > 0.0:
            slope = max(0.0, self.covariance / self.size_variance)
        return max(0.0, self.seconds + slope * (size - self.size))

    def updated(self, size: float, seconds: float) -> "_Line":
        """Return the line with one more run."""
        runs = min(self.runs + 1, MEMORY_RUNS)
        share = 1 / runs
        size_error, seconds_error = size - self.size, seconds - self.seconds
        residual = abs(seconds - self.at(size))
        return _Line(
            size=self.size + share * size_error,
            seconds=self.seconds + share * seconds_error,
            size_variance=(1 - share) * (self.size_variance + share * size_error**2),
            covariance=(1 - share)
            * (self.covariance + share * size_error * seconds_error),
            deviation=self.deviation + share * (residual - self.deviation),
            runs=runs,
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
        self._line_by_kind: dict[str, _Line] = {}

    def record(self, kind: str, *, size: int, seconds: float) -> None:
        """Record the length of a run that was answered whole."""
        known = self._line_by_kind.pop(kind, None)
        self._line_by_kind[kind] = (
            _Line(size=float(size), seconds=seconds)
            if known is None
            else known.updated(size, seconds)
        )
        if len(self._line_by_kind) > MAX_KINDS:
            del self._line_by_kind[next(iter(self._line_by_kind))]

    def expected_seconds(self, kind: str, *, size: int) -> float | None:
        """Return how long a run may be expected to take, None if that is unknown."""
        line = self._line_by_kind.get(kind)
        if line is None or line.runs < MIN_RUNS:
            return None
        return line.at(size) + DEVIATIONS * line.deviation
