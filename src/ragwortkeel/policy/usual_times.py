"""Usual time that the upstreams of a service take for a load of a size.

Running means for each doubling of the load, so that no shape of the curve is assumed.
"""

from dataclasses import dataclass
from math import log, log2

MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
"""Bounds of each measurement, so that a wrong one moves little."""

MIN_SAMPLES = 5
"""Samples of a size of load before its usual time is compared with."""

MAX_SAMPLES = 100
"""Samples after which the usual time forgets the oldest."""

SMALLEST_LOAD_TOKENS = 500.0
"""Loads up to this take the same time: the fixed part of an answer is longer."""


def bounded(deviation: float) -> float:
    """Return the logarithm of a factor, within the bounds."""
    return min(log(MAX_FACTOR), max(log(MIN_FACTOR), deviation))


@dataclass(kw_only=True)
class _Mean:
    """Running mean of the logarithm of a duration."""

    value: float = 0.0
    count: int = 0


class UsualTimes:
    """Usual times by service and load.

    Examples
    --------
    >>> times = UsualTimes()
    >>> [times.record("app", 0.0, 0.2) for _ in range(6)][-2:]
    [None, 0.0]
    """

    def __init__(self) -> None:
        self._mean_by_load: dict[tuple[str, int], _Mean] = {}

    def record(
        self, service: str, load_tokens: float, seconds: float, slowness: float = 0.0
    ) -> float | None:
        """Record a time; return its deviation, None with too few samples.

        Parameters
        ----------
        load_tokens : float
            Load of the upstream in prompt tokens to read; 0 if it doesn't matter.
        slowness : float
            Logarithm of the known slowness of the upstream, which is not usual.

        Returns
        -------
        float or None
            Logarithm of the time relative to the usual one, within the bounds.
        """
        size = int(log2(max(load_tokens, SMALLEST_LOAD_TOKENS) / SMALLEST_LOAD_TOKENS))
        mean = self._mean_by_load.setdefault((service, size), _Mean())
        deviation = log(seconds) - mean.value
        change = deviation - slowness
        is_known = mean.count >= MIN_SAMPLES
        mean.count = min(mean.count + 1, MAX_SAMPLES)
        mean.value += (bounded(change) if is_known else change) / mean.count
        return bounded(deviation) if is_known else None

    def retain(self, services: set[str]) -> None:
        """Forget the times of all other services."""
        self._mean_by_load = {
            key: mean for key, mean in self._mean_by_load.items() if key[0] in services
        }
