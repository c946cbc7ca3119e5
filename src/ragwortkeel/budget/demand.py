"""How many tokens a minute are asked of one slice, lately.

The meter forgets with a half-life, so a burst raises the slice at once and an
idle profile gives its tokens back within a few of them.
"""

import math

HALF_LIFE_SECONDS = 60.0
"""Long enough to smooth single requests, short enough to follow a shift."""

_DECAY_PER_SECOND = math.log(2) / HALF_LIFE_SECONDS


class DemandMeter:
    """An exponentially forgetting rate.

    Parameters are tokens and seconds of a monotonic clock that the caller reads.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._started_at: float | None = None
        self._updated_at = 0.0

    def add(self, *, tokens: int, now: float) -> None:
        """Note that a request asked for tokens, whether it got them or not."""
        if self._started_at is None:
            self._started_at = self._updated_at = now
        self._decay(now)
        self._tokens += tokens

    def rate(self, *, now: float) -> int:
        """Return tokens a minute."""
        if self._started_at is None:
            return 0
        self._decay(now)
        # Right after the start little has been forgotten and little was seen.
        observed_fraction = 1 - math.exp(
            -_DECAY_PER_SECOND * max(1.0, now - self._started_at)
        )
        return int(self._tokens * _DECAY_PER_SECOND / observed_fraction * 60)

    def _decay(self, now: float) -> None:
        self._tokens *= math.exp(-_DECAY_PER_SECOND * max(0.0, now - self._updated_at))
        self._updated_at = max(self._updated_at, now)
