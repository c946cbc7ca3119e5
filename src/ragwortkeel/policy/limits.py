"""Adaptive concurrency limit of one upstream, kept by its sidecar.

Pattern of load: saturation, and an upstream that is slower than its peers.  An
engine that batches continuously takes ever more requests and serves each more
slowly, until no answer is in time; a fixed limit is too high for a slow engine
and too low for a fast one.

Additive increase, multiplicative decrease: while the upstream keeps its
promises and the limit is in use, it grows by a step a window; when too many
requests of a window were slow, or found others queued in the upstream, it
shrinks by `DECREASE`.  One step a window bounds the speed, so routers that
follow the limit do not swing.

What counts as slow is measured against what callers were promised, not against
the best time seen.  The latter (tried: 2.5 times the best seconds a token) takes
the normal price of batching for overload, and refused up to half of the requests
while the engines had room for them.
"""

from dataclasses import dataclass

FIRST_LIMIT = 16
MIN_LIMIT = 2
"""One running and one arriving: below, an upstream idles between requests."""

MAX_LIMIT = 1024

WINDOW_SECONDS = 1.0
"""Longer than most times to the first token, so each step sees its effect."""

FEWEST_SAMPLES = 10
"""A window goes on until it has as many.  With four, one slow answer was a
quarter, and limits crept down to a third of what the engines could carry."""

SLOW_SHARE = 0.25
"""Promises are for 95 in 100, but a slow answer is often not the limit's doing
(two long prompts came together): three of ten are."""

DECREASE = 0.85
"""Gentle: a window of bad luck costs a few places, regained in seconds."""

INCREASE = 0.1
"""Growth of one in ten a window (at least by one): from the first limit to
twice that in about as many windows."""

IN_USE = 0.7
"""A limit that is not reached teaches nothing, and must not grow unbounded.
Below the share that batch work may take, or batch alone could not raise it."""

FIRST_TOKEN_SHARE = 0.8
"""Of its first-token promise a request may spend this much at the upstream; the
rest is for the router's queue and the way."""

DEADLINE_SHARE = 0.6
"""The same for the whole answer and its deadline."""


@dataclass(frozen=True, kw_only=True)
class Sample:
    """How one finished request fared at the upstream.

    Attributes
    ----------
    first_token_seconds, promised_seconds : float
        Time to the first token, and the profile's promise; a promise of zero
        means that none binds (batch).
    total_seconds, deadline_seconds : float
        The same for the whole answer.
    queued : bool
        Whether requests wait inside the upstream: its batch is full, and more
        at once would only wait longer.
    """

    first_token_seconds: float
    promised_seconds: float
    total_seconds: float
    deadline_seconds: float
    queued: bool = False


class AdaptiveLimit:
    """The limit in requests, moved by what finished requests tell.

    Examples
    --------
    >>> limit = AdaptiveLimit(first=8)
    >>> sample = Sample(
    ...     first_token_seconds=2.0,
    ...     promised_seconds=1.5,
    ...     total_seconds=4.0,
    ...     deadline_seconds=20.0,
    ... )
    >>> for _ in range(10):
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

    @property
    def limit(self) -> int:
        """Requests that may run at once."""
        return int(self._limit)

    def observe(self, sample: Sample, *, running: int, now: float) -> None:
        """Take in one finished request; `running` counts it too."""
        self._samples += 1
        self._slow += _is_slow(sample)
        self._most_running = max(self._most_running, running)
        over = now >= self._window_start + WINDOW_SECONDS
        if over and self._samples >= FEWEST_SAMPLES:
            self._step()
            self._window_start = now

    def _step(self) -> None:
        if self._slow > SLOW_SHARE * self._samples:
            self._limit = max(float(MIN_LIMIT), self._limit * DECREASE)
        elif self._most_running >= IN_USE * self._limit:
            grown = self._limit + max(1.0, INCREASE * self._limit)
            self._limit = min(float(MAX_LIMIT), grown)
        self._samples = self._slow = self._most_running = 0


def _is_slow(sample: Sample) -> bool:
    if sample.queued:
        return True
    if sample.total_seconds > DEADLINE_SHARE * sample.deadline_seconds:
        return True
    if not sample.promised_seconds:
        return False
    return sample.first_token_seconds > FIRST_TOKEN_SHARE * sample.promised_seconds
