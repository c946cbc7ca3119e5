"""How many tokens a minute are asked of one slice, lately.

The meter forgets with a half-life, so a burst raises the slice at once and an
idle profile gives its tokens back within a few of them.
"""

import math

HALF_LIFE_SECONDS = 60.0
"""Long enough to smooth single requests, short enough to follow a shift."""

_DECAY = math.log(2) / HALF_LIFE_SECONDS


class DemandMeter:
    """An exponentially forgetting rate.

    Parameters are tokens and seconds of a monotonic clock that the caller reads.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._began: float | None = None
        self._at = 0.0

    def add(self, *, tokens: int, now: float) -> None:
        """Note that a request asked for tokens, whether it got them or not."""
        if self._began is None:
            self._began = self._at = now
        self._forget(now)
        self._tokens += tokens

    def rate(self, *, now: float) -> int:
        """Return tokens a minute."""
        if self._began is None:
            return 0
        self._forget(now)
        # Right after the start little has been forgotten and little was seen.
        seen = 1 - math.exp(-_DECAY * max(1.0, now - self._began))
        return int(self._tokens * _DECAY / seen * 60)

    def _forget(self, now: float) -> None:
        self._tokens *= math.exp(-_DECAY * max(0.0, now - self._at))
        self._at = max(self._at, now)
