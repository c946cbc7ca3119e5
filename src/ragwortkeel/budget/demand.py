"""Recent demand for one slice, in tokens a minute.

The demand decays with a half-life: a burst raises the slice at once, and an idle
profile gives its tokens back within a few half-lives.
"""

import math

HALF_LIFE_SECONDS = 60.0
"""Half-life of the demand; it smooths single requests and follows a shift of load."""

_DECAY_PER_SECOND = math.log(2) / HALF_LIFE_SECONDS


class DemandMeter:
    """An exponentially decaying rate of tokens.

    Each method gets `now`, the current second of a monotonic clock.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._started_at: float | None = None
        self._updated_at = 0.0

    def add(self, *, tokens: int, now: float) -> None:
        """Add a request's tokens, whether it is served or refused."""
        if self._started_at is None:
            self._started_at = self._updated_at = now
        self._decay(now)
        self._tokens += tokens

    def rate(self, *, now: float) -> int:
        """Return the recent demand in tokens a minute."""
        if self._started_at is None:
            return 0
        self._decay(now)
        # Soon after the first request the sum covers only a fraction of the decaying
        # window, and the rate is corrected by that fraction.
        observed_fraction = 1 - math.exp(
            -_DECAY_PER_SECOND * max(1.0, now - self._started_at)
        )
        return int(self._tokens * _DECAY_PER_SECOND / observed_fraction * 60)

    def _decay(self, now: float) -> None:
        self._tokens *= math.exp(-_DECAY_PER_SECOND * max(0.0, now - self._updated_at))
        self._updated_at = max(self._updated_at, now)
