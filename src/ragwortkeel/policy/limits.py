"""Adaptive concurrency limit of one upstream, kept by its sidecar.

Pattern of load: saturation, and an upstream that is slower than its peers.  An
engine that batches continuously takes ever more requests and serves each more
slowly, until no answer is in time; a fixed limit is too high for a slow engine
and too low for a fast one.

Additive increase, multiplicative decrease: while the upstream keeps its
promises and the limit is in use, it grows by a step a window; when too many
requests of a window were slow, or found others queued in the upstream, it
shrinks by `DECREASE_FACTOR`.  One step a window bounds the speed, so routers that
follow the limit do not swing.

What counts as slow is measured at the first token (the earliest sign) against
what callers were promised, not against the best time seen.  The latter (tried:
2.5 times the best seconds a token) takes the normal price of batching for
overload, and refused up to half of the requests while the engines had room.
"""

from dataclasses import dataclass

INITIAL_LIMIT_REQUESTS = 16
MIN_LIMIT_REQUESTS = 2
"""One running and one arriving: below, an upstream idles between requests."""

MAX_LIMIT_REQUESTS = 1024

WINDOW_SECONDS = 1.0
"""Longer than most times to the first token, so each step sees its effect."""

MIN_WINDOW_SAMPLES = 15
"""A window goes on until it has as many.  With four, one slow answer was a
quarter, and limits crept down to a third of what the engines could carry."""

MIN_SLOW_SAMPLES = 5
"""Or until as many were slow: a slow upstream has few samples to give."""

MAX_SLOW_FRACTION = 0.25
"""Promises are for 95 in 100, but a slow answer is often not the limit's doing
(two long prompts came together): three of ten are."""

MAX_QUEUED_FRACTION = 0.5
"""Half of the requests found others queued: the batch is full, not just once."""

DECREASE_FACTOR = 0.93
"""Gentle: a window of bad luck costs a place or two.  At 0.85 the limits of equal
engines drifted to between 10 and 24, so that some idled and others crawled."""

INCREASE_FRACTION = 0.1
"""Growth of one in ten a window, at least by one: from the first limit to twice
that in about ten windows.  Half as fast refused more in bursts, twice as fast
served less on uneven engines."""

IN_USE_FRACTION = 0.6
"""A limit that is not reached teaches nothing, and must not grow unbounded.
Below the share that batch work may take, or batch alone could not raise it."""

FIRST_TOKEN_FRACTION = 0.8
"""Of its first-token promise a request may spend this much at the upstream; the
rest is for the router's queue and the way."""


@dataclass(frozen=True, kw_only=True)
class Sample:
    """How one request fared at the upstream until its first token.

    Attributes
    ----------
    first_token_seconds, promised_seconds : float
        Time to the first token (of a plain service: to the answer), and the
        profile's promise; a promise of zero means that none binds (batch).
    queued : bool
        Whether requests wait inside the upstream: its batch is full, and more
        at once would only wait longer.
    """

    first_token_seconds: float
    promised_seconds: float
    queued: bool = False


class AdaptiveLimit:
    """The limit in requests, moved by what first tokens tell.

    Examples
    --------
    >>> limit = AdaptiveLimit(first=8)
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
        """Requests that may run at once."""
        return int(self._limit)

    def observe(self, sample: Sample, *, running: int, now: float) -> None:
        """Take in one first token; `running` counts its request too."""
        self._samples += 1
        self._queued += sample.queued
        self._most_running = max(self._most_running, running)
        if sample.promised_seconds:
            bound = FIRST_TOKEN_FRACTION * sample.promised_seconds
            self._promised += 1
            self._slow += sample.first_token_seconds > bound
        told = self._samples >= MIN_WINDOW_SAMPLES or self._slow >= MIN_SLOW_SAMPLES
        if told and now >= self._window_start + WINDOW_SECONDS:
            self._adjust()
            self._reset_window()
            self._window_start = now

    def _adjust(self) -> None:
        slow = self._slow > MAX_SLOW_FRACTION * self._promised
        if slow or self._queued > MAX_QUEUED_FRACTION * self._samples:
            # From what was in use: cutting an unused limit would change nothing.
            used = min(self._limit, float(self._most_running))
            self._limit = max(float(MIN_LIMIT_REQUESTS), used * DECREASE_FACTOR)
        elif self._most_running >= IN_USE_FRACTION * self._limit:
            grown = self._limit + max(1.0, INCREASE_FRACTION * self._limit)
            self._limit = min(float(MAX_LIMIT_REQUESTS), grown)

    def _reset_window(self) -> None:
        self._samples = self._promised = self._slow = 0
        self._queued = self._most_running = 0
