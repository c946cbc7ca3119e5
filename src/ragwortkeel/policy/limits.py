"""Adaptive concurrency limit of one upstream, kept by its sidecar.

Pattern of load: saturation, and an upstream that is slower than its peers.  An
engine that batches continuously takes ever more requests and serves each more
slowly, until no answer is in time; a fixed limit is too high for a slow engine
and too low for a fast one.

Additive increase, multiplicative decrease: while the upstream keeps its
promises and the limit is in use, it grows by one a window; when too many
requests of a window were slow, it shrinks by `DECREASE`.  One step a window
bounds the speed, so routers that follow the limit do not swing.
"""

from dataclasses import dataclass

FIRST_LIMIT = 16
MIN_LIMIT = 2
"""One running and one arriving: below, an upstream idles between requests."""

MAX_LIMIT = 1024

WINDOW_SECONDS = 1.0
"""Longer than most times to the first token, so each step sees its effect."""

FEWEST_SAMPLES = 4
"""Fewer say nothing; the window goes on."""

SLOW_SHARE = 0.2
"""Promises are for 95 in 100; a fifth slow is well past noise in the ten to
thirty samples of a window."""

DECREASE = 0.85
"""Gentle: a window of bad luck costs a few places, regained in seconds."""

IN_USE = 0.8
"""A limit that is not reached teaches nothing, and must not grow unbounded."""

FIRST_TOKEN_SHARE = 0.6
"""Of its first-token promise a request may spend this much at the upstream; the
rest is for the router's queue and the way."""

SLOWDOWN = 2.5
"""Seconds a token, against the best seen: batching trades about a doubling for
many times the throughput; beyond, it trades only time."""


@dataclass(frozen=True, kw_only=True)
class Sample:
    """How one finished request fared at the upstream.

    Attributes
    ----------
    profile : str
        Each profile is compared with its own best: a call of one kind may take
        ten times as long as one of another, on an idle upstream too.
    first_token_seconds, promised_seconds : float
        Time to the first token, and the profile's promise; a promise of zero
        means that none binds (batch).
    token_seconds : float
        Seconds for each further token (for plain services, of the call).
    """

    profile: str
    first_token_seconds: float
    promised_seconds: float
    token_seconds: float


class AdaptiveLimit:
    """The limit in requests, moved by what finished requests tell.

    Examples
    --------
    >>> limit = AdaptiveLimit(first=8)
    >>> sample = Sample(
    ...     profile="chat",
    ...     first_token_seconds=2.0,
    ...     promised_seconds=1.5,
    ...     token_seconds=0.02,
    ... )
    >>> for _ in range(4):
    ...     limit.observe(sample, running=8, now=1.5)
    >>> limit.limit
    6
    """

    def __init__(self, *, first: int = FIRST_LIMIT) -> None:
        self._limit = float(first)
        self._window_start = 0.0
        self._samples = 0
        self._slow = 0
        self._most_running = 0
        self._best_by_profile: dict[str, float] = {}

    @property
    def limit(self) -> int:
        """Requests that may run at once."""
        return int(self._limit)

    def observe(self, sample: Sample, *, running: int, now: float) -> None:
        """Take in one finished request; `running` counts it too."""
        self._samples += 1
        self._slow += self._is_slow(sample)
        self._most_running = max(self._most_running, running)
        over = now >= self._window_start + WINDOW_SECONDS
        if over and self._samples >= FEWEST_SAMPLES:
            self._step()
            self._window_start = now

    def _is_slow(self, sample: Sample) -> bool:
        seconds = max(sample.token_seconds, 1e-6)
        best = min(self._best_by_profile.get(sample.profile, seconds), seconds)
        self._best_by_profile[sample.profile] = best
        if sample.token_seconds > SLOWDOWN * best:
            return True
        if not sample.promised_seconds:
            return False
        return sample.first_token_seconds > FIRST_TOKEN_SHARE * sample.promised_seconds

    def _step(self) -> None:
        if self._slow > SLOW_SHARE * self._samples:
            self._limit = max(float(MIN_LIMIT), self._limit * DECREASE)
        elif self._most_running >= IN_USE * self._limit:
            self._limit = min(float(MAX_LIMIT), self._limit + 1.0)
        self._samples = self._slow = self._most_running = 0
