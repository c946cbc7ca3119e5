"""Admission control: whether a request that has to wait can still be served in time.

Load patterns: saturation, and the first seconds of a burst.  Without admission
control a router accepts every request, response times grow, and in the end all work
is done for callers that have disconnected.  An immediate refusal costs one message
and leaves the caller time to retry.

The expected wait is the mean interval at which requests of the class recently left
the queue, times the number of requests ahead.  The interval reflects whatever slows
the class down: other classes, other routers, limits, lost upstreams.  Before the
first request leaves the queue, the interval follows from Little's law: mean duration
divided by the requests in flight.  Little's law alone underestimates the wait of
batch work, because it leaves out the time that interactive work takes.

The estimate applies only to requests that have to wait.  A request that an upstream
has headroom for is dispatched: refusing it because earlier ones were slow would
produce no new sample, so the refusals would never end.

A refusal is final and is sent at once.
"""

from random import Random
from typing import TypeVar

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import Reason, RequestFacts

Key = TypeVar("Key")

SMOOTHING_WEIGHT = 0.1
"""Weight of a new sample in a moving average.  About the last ten requests of a profile
count, so an estimate follows a slowdown within one or two seconds at usual rates."""

DURATION_MARGIN_FACTOR = 1.5
"""Mean durations that must remain before the deadline at dispatch.  Answers differ in
length, and a run that ends after its deadline is paid for but useless."""

MAX_PROFILES = 20_000
"""Profiles with an estimate at one router, a few megabytes.  The profile added first is
dropped first; its requests are then not refused until its next sample."""

MIN_RETRY_SECONDS = 0.5
"""Lower bound on the retry delay given to a refused caller."""
MAX_RETRY_SECONDS = 30.0
"""Upper bound on the retry delay; longer forecasts of a queue are unreliable."""

RETRY_SPREAD_FRACTION = 0.25
"""Random extra delay as a fraction of the delay.  It spreads the retries of callers
that were refused together, which would otherwise return as another burst."""


class ServiceTimes:
    """Mean times to the first token and to completion, by profile, from dispatch.

    Requests of a profile without a sample are not refused.
    """

    def __init__(self) -> None:
        self._first_token_by_profile: dict[str, float] = {}
        self._total_by_profile: dict[str, float] = {}

    def record_first_token(self, request: RequestFacts, seconds: float) -> None:
        """Record the time to the first token of one request."""
        _record_sample(self._first_token_by_profile, request.profile, seconds)

    def record_duration(self, request: RequestFacts, seconds: float) -> None:
        """Record the duration of one completed run."""
        _record_sample(self._total_by_profile, request.profile, seconds)

    def latest_start(self, request: RequestFacts) -> tuple[float, Reason]:
        """Return the latest dispatch time, and the reason for a refusal after it."""
        total = self._total_by_profile.get(request.profile, 0.0)
        by_deadline = request.deadline - DURATION_MARGIN_FACTOR * total
        if request.service_class is not ServiceClass.INTERACTIVE:
            return by_deadline, Reason.DEADLINE
        first_token = self._first_token_by_profile.get(request.profile, 0.0)
        by_first_token = request.first_token_deadline - first_token
        if by_first_token < by_deadline:
            return by_first_token, Reason.FIRST_TOKEN
        return by_deadline, Reason.DEADLINE


class CompletionIntervals:
    """Mean interval between completions for a set of back ends, by Little's law."""

    def __init__(self) -> None:
        self._in_flight_by_pool: dict[tuple[str, ...], int] = {}
        self._seconds_by_pool: dict[tuple[str, ...], float] = {}

    def record_start(self, pool: tuple[str, ...]) -> None:
        """Count a dispatched request."""
        self._in_flight_by_pool[pool] = self._in_flight_by_pool.get(pool, 0) + 1

    def record_end(self, pool: tuple[str, ...]) -> None:
        """Count a request that no longer runs."""
        self._in_flight_by_pool[pool] -= 1

    def record_duration(self, pool: tuple[str, ...], seconds: float) -> None:
        """Record the duration of one completed run."""
        _record_sample(self._seconds_by_pool, pool, seconds)

    def seconds_per_completion(self, pool: tuple[str, ...]) -> float:
        """Return the seconds between two completions; 0 before the first one."""
        in_flight = max(1, self._in_flight_by_pool.get(pool, 0))
        return self._seconds_by_pool.get(pool, 0.0) / in_flight


class DequeueIntervals:
    """Mean interval at which requests of one class leave one queue."""

    def __init__(self) -> None:
        self._mean_seconds: float | None = None
        self._interval_start = 0.0

    def record_queue_start(self, now: float) -> None:
        """Record that the first request entered the queue."""
        self._interval_start = now

    def record_dequeue(self, fallback: float, now: float) -> None:
        """Record that a request left; `fallback` is the interval before any sample."""
        mean = fallback if self._mean_seconds is None else self._mean_seconds
        self._mean_seconds = _smooth(mean, now - self._interval_start)
        self._interval_start = now

    def mean_seconds(self, fallback: float, *, idle: bool, now: float) -> float:
        """Return the smoothed interval between two requests.

        While requests are queued, the time since the last dequeue counts as a sample
        if it is longer than the mean.  Otherwise a stalled queue would look as fast as
        before.
        """
        mean = fallback if self._mean_seconds is None else self._mean_seconds
        if idle:
            return mean
        return max(mean, _smooth(mean, now - self._interval_start))


def queue_retry_delay(excess_seconds: float, random: Random) -> float:
    """Return the seconds after which to retry, with a random spread.

    Parameters
    ----------
    excess_seconds : float
        Estimated wait beyond what the request can afford.
    """
    seconds = max(MIN_RETRY_SECONDS, excess_seconds)
    seconds *= 1.0 + RETRY_SPREAD_FRACTION * random.random()
    return min(MAX_RETRY_SECONDS, seconds)


def _smooth(mean: float, sample: float) -> float:
    return mean + SMOOTHING_WEIGHT * (sample - mean)


def _record_sample(mean_by_key: dict[Key, float], key: Key, sample: float) -> None:
    if key not in mean_by_key and len(mean_by_key) >= MAX_PROFILES:
        del mean_by_key[next(iter(mean_by_key))]
    mean_by_key[key] = _smooth(mean_by_key.get(key, sample), sample)
