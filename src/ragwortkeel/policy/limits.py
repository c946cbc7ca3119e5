"""Adaptive concurrency limit of one upstream, maintained by its sidecar.

Load patterns: saturation, and an upstream that is slower than its peers.  An engine
with continuous batching accepts ever more requests and serves each more slowly, until
no answer is in time; a fixed limit is too high for a slow engine and too low for a
fast one.

The limit follows additive increase, multiplicative decrease.  While the upstream
fulfils its promises and the limit is in use, it grows once per window.  If too many
requests of a window were slow, or found others queued inside the upstream, it is
multiplied by `DECREASE_FACTOR`.  One change per window bounds the speed, so that
routers that follow the limit do not oscillate.

A request is slow if its time to the first token, the earliest signal, exceeds its
share of what the caller was promised.  A comparison with the best time observed (2.5
times the best seconds per token) takes the normal cost of batching for overload, and
refuses up to half of the requests while the engines have capacity.
"""

from dataclasses import dataclass

INITIAL_LIMIT_REQUESTS = 16
MIN_LIMIT_REQUESTS = 2
"""One request running and one arriving; below, an upstream idles between requests."""

MAX_LIMIT_REQUESTS = 1024

WINDOW_SECONDS = 1.0
"""Window of one change; longer than most times to the first token, so that each change
shows its effect."""

MIN_WINDOW_SAMPLES = 15
"""Samples that a window needs before it ends.  With four samples one slow answer is a
quarter of them, which lowers limits to a third of the engines' capacity."""

MIN_SLOW_SAMPLES = 5
"""Slow samples that end a window early, because a slow upstream yields few samples."""

MAX_SLOW_FRACTION = 0.25
"""Fraction of slow samples above which the limit decreases.  Promises are for 95% of
the requests, but one slow answer often has another cause, such as two long prompts at
once; three slow answers in ten point at the limit."""

MAX_QUEUED_FRACTION = 0.5
"""Fraction of samples that found others queued above which the limit decreases: the
batch is full most of the time."""

DECREASE_FACTOR = 0.93
"""Factor of a decrease; an unlucky window costs one or two requests.  A factor of 0.85
lets the limits of equal engines diverge to between 10 and 24 requests, which leaves
some idle and others slow."""

INCREASE_FRACTION = 0.1
"""Growth per window as a fraction of the limit, at least one request: the initial limit
doubles in about ten windows.  Half that speed refuses more requests in bursts, twice
that speed serves fewer on uneven engines."""

IN_USE_FRACTION = 0.6
"""Fraction of the limit that has to be in use for it to grow; otherwise it would grow
without bound.  It is below `settings.BATCH_FRACTION`, so that batch work alone can
raise the limit."""

FIRST_TOKEN_FRACTION = 0.8
"""Fraction of its first-token promise that a request may spend at the upstream; the
rest is for the router's queue and the network."""


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Measurements of one request at the upstream until its first token.

    Attributes
    ----------
    first_token_seconds, promised_seconds : float
        Time to the first token (of a plain service: to the answer), and the
        profile's promise; zero means that no promise binds (batch).
    queued : bool
        Whether requests are queued inside the upstream: its batch is full, and
        further requests would only wait longer.
    """

    first_token_seconds: float
    promised_seconds: float
    queued: bool = False


class AdaptiveLimit:
    """Limit in requests, adjusted by the times to first tokens.

    Examples
    --------
    >>> limit = AdaptiveLimit(initial_limit=8)
    >>> slow = Sample(first_token_seconds=2.0, promised_seconds=1.5)
    >>> for _ in range(5):
    ...     limit.observe(slow, running=8, now=1.5)
    >>> limit.limit
    7
    """

    def __init__(self, *, initial_limit: int = INITIAL_LIMIT_REQUESTS) -> None:
        self._limit = float(initial_limit)
        self._window_start = 0.0
        self._reset_window()

    @property
    def limit(self) -> int:
        """Number of requests that may run at once."""
        return int(self._limit)

    def observe(self, sample: Sample, *, running: int, now: float) -> None:
        """Record one sample; `running` includes its request."""
        self._samples += 1
        self._queued += sample.queued
        self._most_running = max(self._most_running, running)
        if sample.promised_seconds:
            bound = FIRST_TOKEN_FRACTION * sample.promised_seconds
            self._promised += 1
            self._slow += sample.first_token_seconds > bound
        has_enough_samples = (
            self._samples >= MIN_WINDOW_SAMPLES or self._slow >= MIN_SLOW_SAMPLES
        )
        if has_enough_samples and now >= self._window_start + WINDOW_SECONDS:
            self._adjust()
            self._reset_window()
            self._window_start = now

    def _adjust(self) -> None:
        slow = self._slow > MAX_SLOW_FRACTION * self._promised
        if slow or self._queued > MAX_QUEUED_FRACTION * self._samples:
            # Starts from the requests in use; lowering an unused limit has no effect.
            used = min(self._limit, float(self._most_running))
            self._limit = max(float(MIN_LIMIT_REQUESTS), used * DECREASE_FACTOR)
        elif self._most_running >= IN_USE_FRACTION * self._limit:
            increased = self._limit + max(1.0, INCREASE_FRACTION * self._limit)
            self._limit = min(float(MAX_LIMIT_REQUESTS), increased)

    def _reset_window(self) -> None:
        self._samples = self._promised = self._slow = 0
        self._queued = self._most_running = 0
