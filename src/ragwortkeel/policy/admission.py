"""Admission: whether a request can still be served in time if it waits.

Pattern of load: saturation, and the first seconds of a burst.  Without this
check everything is taken in, each answer comes later than the last, and in the
end all work done is for callers who have hung up.  Refusing at the door costs
one message and leaves the caller time to come back.

The wait is estimated from how often a request of the class was lately taken out
of the queue, times the requests ahead.  That holds for whatever slows the class:
other classes, other routers, limits, lost upstreams.  Before the first is taken
out, Little's law stands in: own work in flight divided by how long it takes.
(Little's law alone was tried; batch work was let in that then waited until it
was too late, since what interactive work would take was not in the estimate.)

The estimate decides only on requests that find no place.  One that finds a place
is dispatched: were it refused because the last ones were slow, no new sample
would come, and the refusals would never end (tried; a fleet at 70% load refused
half of its chats for good).

A refusal is final and given at once.
"""

from random import Random
from typing import TypeVar

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import Reason, RequestFacts

Key = TypeVar("Key")

SMOOTHING_WEIGHT = 0.1
"""Weight of one more sample: about the last ten requests of a profile count, so
an estimate follows a slowdown within a second or two at the usual rates."""

DURATION_MARGIN_FACTOR = 1.5
"""Times the smoothed whole time that must be left before the deadline: answers
differ in length, and one begun too late is paid for and of no use."""

MAX_PROFILES = 20_000
"""Profiles with an estimate at one router, a few megabytes; the longest known is
forgotten first, and then refuses nothing until its next sample."""

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 30.0
"""Longer forecasts of a queue are guesses."""

RETRY_SPREAD_FRACTION = 0.25
"""Callers refused together come back spread over a quarter of the wait, or the
burst would return as a burst."""


class ServiceTimes:
    """How long the requests of each profile take, from dispatch.

    Before the first sample of a profile nothing of it is refused.
    """

    def __init__(self) -> None:
        self._first_token_by_profile: dict[str, float] = {}
        self._total_by_profile: dict[str, float] = {}

    def record_first_token(self, request: RequestFacts, seconds: float) -> None:
        """Take in one time to the first token."""
        _record_sample(self._first_token_by_profile, request.profile, seconds)

    def record_duration(self, request: RequestFacts, seconds: float) -> None:
        """Take in one whole run's time."""
        _record_sample(self._total_by_profile, request.profile, seconds)

    def latest_start(self, request: RequestFacts) -> tuple[float, Reason]:
        """Return when the request must be dispatched, and the promise that binds."""
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
    """How often a place comes free for a set of back ends, by Little's law."""

    def __init__(self) -> None:
        self._in_flight_by_pool: dict[tuple[str, ...], int] = {}
        self._seconds_by_pool: dict[tuple[str, ...], float] = {}

    def record_start(self, pool: tuple[str, ...]) -> None:
        """Count a dispatched request."""
        self._in_flight_by_pool[pool] = self._in_flight_by_pool.get(pool, 0) + 1

    def record_end(self, pool: tuple[str, ...]) -> None:
        """Count a request that runs no more."""
        self._in_flight_by_pool[pool] -= 1

    def record_duration(self, pool: tuple[str, ...], seconds: float) -> None:
        """Take in one whole run's time."""
        _record_sample(self._seconds_by_pool, pool, seconds)

    def seconds_per_completion(self, pool: tuple[str, ...]) -> float:
        """Return the seconds from one place to the next; 0 before any finished."""
        in_flight = max(1, self._in_flight_by_pool.get(pool, 0))
        return self._seconds_by_pool.get(pool, 0.0) / in_flight


class DequeueIntervals:
    """How often a waiting request of one class is taken out of one queue."""

    def __init__(self) -> None:
        self._seconds: float | None = None
        self._last = 0.0

    def record_queue_start(self, now: float) -> None:
        """Note that the first request began to wait."""
        self._last = now

    def record_dequeue(self, fallback: float, now: float) -> None:
        """Note that one was taken out; `fallback` is the estimate before any."""
        known = fallback if self._seconds is None else self._seconds
        self._seconds = _smooth(known, now - self._last)
        self._last = now

    def mean_seconds(self, fallback: float, *, idle: bool, now: float) -> float:
        """Return the smoothed time from one to the next.

        While any wait, the pause since the last one counts as a sample once it
        is longer than the rest: without that, a queue that has stopped would
        look as fast as before.
        """
        known = fallback if self._seconds is None else self._seconds
        if idle:
            return known
        return max(known, _smooth(known, now - self._last))


def queue_retry_delay(excess_seconds: float, random: Random) -> float:
    """Return when the line should be short enough, spread at random."""
    seconds = max(MIN_RETRY_SECONDS, excess_seconds)
    seconds *= 1.0 + RETRY_SPREAD_FRACTION * random.random()
    return min(MAX_RETRY_SECONDS, seconds)


def _smooth(known: float, sample: float) -> float:
    return known + SMOOTHING_WEIGHT * (sample - known)


def _record_sample(known_by_key: dict[Key, float], key: Key, sample: float) -> None:
    if key not in known_by_key and len(known_by_key) >= MAX_PROFILES:
        del known_by_key[next(iter(known_by_key))]
    known_by_key[key] = _smooth(known_by_key.get(key, sample), sample)
