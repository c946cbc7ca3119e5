"""Overload of one instance: how loaded it is, and which requests it still takes.

Load patterns: one hot instance of many, all instances hot, a slow processor, a
saturated link, a process that resumes after a freeze, load that flaps.  Without a
bound, each turn of the event loop takes longer the more requests are open.  A request
needs several turns, so from some load on almost every request is late: an instance that
answers 70 requests a second falls to 20.

The bound is a limit on open requests.  A limit on the rate of arrivals would act too
late: a stream is open for seconds, so the load follows the arrivals with that delay,
and the control would overshoot.  A limit on open requests holds the load at once.  It
is enforced only during an overload whose demand exceeds `SHED_DEMAND`.  Its first value
is the number of open requests at which the demand, in proportion, would be that; from
then on it follows the ratio of both.  Demand is utilization, and for an event loop that
is almost always busy, its lag.

Priorities have limits up to 15% above or below the common limit, by the shares of more
and less urgent arrivals, so that the least urgent requests are shed first.
"""

from collections import Counter
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from math import exp
from random import Random

AVERAGE_SECONDS = 0.4
"""Time constant of the moving averages; they cover about the last second."""

MAX_SAMPLE_WEIGHT_SECONDS = 0.3
"""Longest time that one sample counts for in the averages.  A process that is stopped
for a second delivers one sample that covers it, which must not replace all others."""

FREEZE_SECONDS = 3.0
"""A sample that covers more than this comes from a frozen process, unless the one
before was long as well.  Turns of an overloaded event loop took up to 2.6 s."""

SATURATED_UTILIZATION = 0.88
"""Utilization from which on the demand for the event loop is judged by its lag.  A
busier loop reads more events at once and serves more, at the price of lag."""

OVERLOADED_UTILIZATION = 0.93
BUSY_UTILIZATION = 0.75
NORMAL_UTILIZATION = 0.65
"""Utilization at which a level is entered; the last two also end the level above."""

TOLERATED_LAG_SECONDS = 0.05
"""Average event loop lag that adds nothing to the demand.  An event may wait for two
turns of the loop, and some callers count it as late after 0.12 s."""

SHED_DEMAND = 1.25
"""Demand above which requests are refused, an average lag of about 0.24 s.

Below it an answer is late but still of use to its caller.  A refused caller has one
more attempt, which may reach an overloaded instance as well.
"""

MAX_COUNTED_LAG_SECONDS = 0.4
"""Larger lags count as this in the average; a frozen timer may be late by seconds."""

DEMAND_PER_LAG_SECOND = 2.0
"""Demand in excess of utilization for a second of lag above `TOLERATED_LAG_SECONDS`."""

ENTER_SECONDS = 0.3
ENTER_SAMPLES = 3
"""An overload lasts this long, over this many samples, before the level changes.  A
single late timer, a configuration being applied or a garbage collection is shorter."""

LONG_SAMPLE_SECONDS = 0.75
RESUME_SECONDS = 0.5
"""After a first overloaded sample that covers more than `LONG_SAMPLE_SECONDS`, the time
in which a process that was frozen works off what arrived; it is no overload."""

LEAVE_SECONDS = 2.0
"""Time below the lower threshold after which a level ends, about that of a stream.  An
overload also ends if no request was refused for this time."""

LIMIT_SECONDS = 2.0
"""Time in which the limit follows the ratio of target and demand, about the duration of
a stream.  A faster limit would oscillate, since open streams are not ended."""

MIN_OPEN_REQUESTS = 4
"""Lowest limit.  With none open, no sample would show that the overload has ended."""

PRIORITY_MARGIN = 0.15
"""Fraction of the limit by which the limits of priorities differ from it at most."""

ARRIVAL_SECONDS = 1.0
"""Time constant of the shares of priorities among arrivals."""

HELD_SECONDS = 0.5
"""Bytes held for callers on a busy link, in seconds of the link, that count as demand
of 1 in excess."""

MAX_HELD_DEMAND = 0.3
"""Largest excess demand by held bytes; some are held for callers that read slowly."""


class Level(IntEnum):
    """Load of the instance, in ascending order."""

    NORMAL = 0
    BUSY = 1
    OVERLOADED = 2


class Cause(StrEnum):
    """What is utilized most."""

    LOOP = "event_loop"
    LAG = "event_loop_lag"
    LINK = "link"


@dataclass(frozen=True, kw_only=True)
class UsageSample:
    """Usage of the instance since the sample before.

    Attributes
    ----------
    seconds : float
        Time that the sample covers, by the monotonic clock.
    busy_seconds : float
        Time in which the event loop was not waiting.
    sent_bytes, received_bytes : int
        Bytes on the link in each direction, with packet headers.
    lag_seconds : float
        Worst lateness of a timer.
    held_bytes : int
        Bytes that wait to be sent to callers.
    open_requests : int
        Admitted requests without a final answer.
    """

    seconds: float
    busy_seconds: float
    sent_bytes: int = 0
    received_bytes: int = 0
    lag_seconds: float = 0.0
    held_bytes: int = 0
    open_requests: int = 0


@dataclass(frozen=True, kw_only=True)
class Overload:
    """Load of the instance.

    Attributes
    ----------
    utilization : float
        Utilization of the event loop or the link, the larger of both.
    since_at : float
        Monotonic second at which the level was entered.
    lag_seconds : float
        Average event loop lag.
    open_requests : int
        Open requests at the last sample.
    open_limit : int or None
        Open requests up to which new ones are admitted; None for no limit.
    shed_fraction : float
        Fraction of the arrivals of the last second or so that were refused.
    """

    level: Level = Level.NORMAL
    utilization: float = 0.0
    cause: Cause = Cause.LOOP
    since_at: float = 0.0
    lag_seconds: float = 0.0
    open_requests: int = 0
    open_limit: int | None = None
    shed_fraction: float = 0.0


class OverloadDetector:
    """Detects an overload and decides which requests are admitted meanwhile.

    Parameters
    ----------
    link_bytes_per_second : float
        What the link carries in each direction.
    random : Random
        Rounds limits of open requests, so that small ones differ by priority as well.

    Examples
    --------
    >>> detector = OverloadDetector(link_bytes_per_second=1e6, random=Random(1))
    >>> sample = UsageSample(seconds=0.1, busy_seconds=0.02)
    >>> detector.record(sample, now=10.0).level.name
    'NORMAL'
    >>> detector.admits(priority=1, open_requests=100)
    True
    """

    def __init__(self, *, link_bytes_per_second: float, random: Random) -> None:
        self._link_bytes_per_second = link_bytes_per_second
        self._random = random
        self._overload = Overload()
        self._averages: _Averages | None = None
        self._hot = _Streak()
        self._busy = _Streak()
        self._calm_since_at: float | None = None
        self._limit: float | None = None
        self._arrivals_by_priority: Counter[int] = Counter()
        self._shed = 0.0
        self._has_shed = False
        self._was_long = False

    @property
    def overload(self) -> Overload:
        """The load at the last sample."""
        return self._overload

    def record(self, sample: UsageSample, now: float) -> Overload:
        """Take a sample that ends at `now` and return the load.

        After a sample of a frozen process the averages restart, and the level is
        `NORMAL` until samples show another.
        """
        self._decay_arrivals(sample.seconds)
        if sample.seconds <= 0.0:
            return self._overload
        was_long, self._was_long = self._was_long, sample.seconds > LONG_SAMPLE_SECONDS
        if sample.seconds > FREEZE_SECONDS and not was_long:
            self._restart(now)
            return self._overload
        usage = self._usage(sample)
        previous, averages = self._averages, usage
        if previous is not None:
            weight = min(sample.seconds, MAX_SAMPLE_WEIGHT_SECONDS)
            averages = previous.smoothed(usage, 1.0 - exp(-weight / AVERAGE_SECONDS))
        self._averages = averages
        self._update_level(usage, averages, now, sample.seconds)
        self._has_shed = False
        self._update_limit(averages, sample.seconds)
        self._overload = self._result(averages, sample, now)
        return self._overload

    def admits(self, priority: int, open_requests: int) -> bool:
        """Return whether a new request is taken, and count it.

        Parameters
        ----------
        priority : int
            Priority of the request; 0 is the most urgent.
        open_requests : int
            Admitted requests without a final answer now.
        """
        self._arrivals_by_priority[priority] += 1.0
        if self._limit is None:
            return True
        limit = max(MIN_OPEN_REQUESTS, self._limit) * self._priority_factor(priority)
        if open_requests + self._random.random() < limit:
            return True
        self._shed += 1.0
        self._has_shed = True
        return False

    def _usage(self, sample: UsageSample) -> "_Averages":
        loop = min(1.0, max(0.0, sample.busy_seconds / sample.seconds))
        link_bytes = max(sample.sent_bytes, sample.received_bytes)
        link_seconds = link_bytes / self._link_bytes_per_second
        return _Averages(
            loop=loop,
            link=link_seconds / sample.seconds,
            lag=min(sample.lag_seconds, MAX_COUNTED_LAG_SECONDS),
            held_seconds=sample.held_bytes / self._link_bytes_per_second,
            open_requests=sample.open_requests,
        )

    def _update_level(
        self, usage: "_Averages", averages: "_Averages", now: float, seconds: float
    ) -> None:
        hot = usage.is_overloaded and averages.is_overloaded
        busy = averages.utilization >= BUSY_UTILIZATION
        self._hot.record(hot, now, seconds)
        self._busy.record(busy, now, seconds)
        level = self._overload.level
        if level is not Level.OVERLOADED and self._hot.is_sustained(now):
            self._enter(Level.OVERLOADED, now)
        elif level is Level.NORMAL and self._busy.is_sustained(now):
            self._enter(Level.BUSY, now)
        elif level is not Level.NORMAL:
            self._leave_if_calm(averages, now)

    def _leave_if_calm(self, averages: "_Averages", now: float) -> None:
        level = self._overload.level
        overloaded = level is Level.OVERLOADED
        threshold = BUSY_UTILIZATION if overloaded else NORMAL_UTILIZATION
        if overloaded and not self._has_shed:
            threshold = OVERLOADED_UTILIZATION
        if averages.demand >= threshold:
            self._calm_since_at = None
            return
        if self._calm_since_at is None:
            self._calm_since_at = now
        if now - self._calm_since_at >= LEAVE_SECONDS:
            self._enter(Level(level - 1), now)

    def _enter(self, level: Level, now: float) -> None:
        self._calm_since_at = None
        self._overload = Overload(level=level, since_at=now)

    def _restart(self, now: float) -> None:
        self._averages = None
        self._limit = None
        self._hot, self._busy = _Streak(), _Streak()
        since_at = now
        if self._overload.level is Level.NORMAL:
            since_at = self._overload.since_at
        self._calm_since_at = None
        self._overload = Overload(since_at=since_at)

    def _update_limit(self, averages: "_Averages", seconds: float) -> None:
        if self._overload.level is not Level.OVERLOADED:
            self._limit = None
            self._shed = 0.0
            return
        if self._limit is None and averages.demand < SHED_DEMAND:
            return
        ratio = SHED_DEMAND / max(averages.demand, 0.1)
        in_proportion = averages.open_requests * ratio
        if self._limit is None:
            self._limit = in_proportion
        weight = min(seconds, MAX_SAMPLE_WEIGHT_SECONDS)
        limit = self._limit * ratio ** (weight / LIMIT_SECONDS)
        # Streams that are open when the limit falls end only by and by.  Without the
        # lower bound the limit would go on falling until they have.
        limit = min(max(limit, 0.85 * in_proportion), 1.25 * in_proportion)
        self._limit = max(MIN_OPEN_REQUESTS, limit)

    def _result(self, averages: "_Averages", sample: UsageSample, now) -> Overload:
        arrivals = sum(self._arrivals_by_priority.values()) if self._shed else 0.0
        return Overload(
            level=self._overload.level,
            utilization=averages.utilization,
            cause=averages.cause,
            since_at=self._overload.since_at,
            lag_seconds=averages.lag,
            open_requests=sample.open_requests,
            open_limit=None if self._limit is None else round(self._limit),
            shed_fraction=min(1.0, self._shed / arrivals) if arrivals else 0.0,
        )

    def _priority_factor(self, priority: int) -> float:
        total = more_urgent = less_urgent = 0.0
        for other, count in self._arrivals_by_priority.items():
            total += count
            if other < priority:
                more_urgent += count
            elif other > priority:
                less_urgent += count
        return 1.0 + PRIORITY_MARGIN * (less_urgent - more_urgent) / total

    def _decay_arrivals(self, seconds: float) -> None:
        factor = exp(-max(0.0, seconds) / ARRIVAL_SECONDS)
        self._shed *= factor
        for priority in list(self._arrivals_by_priority):
            self._arrivals_by_priority[priority] *= factor
            if self._arrivals_by_priority[priority] < 0.01:
                del self._arrivals_by_priority[priority]


@dataclass(frozen=True, kw_only=True)
class _Averages:
    """Fractions of the event loop and the link in use, and what exceeds them."""

    loop: float
    link: float
    lag: float
    held_seconds: float
    open_requests: float

    def smoothed(self, usage: "_Averages", weight: float) -> "_Averages":
        return _Averages(
            loop=self.loop + weight * (usage.loop - self.loop),
            link=self.link + weight * (usage.link - self.link),
            lag=self.lag + weight * (usage.lag - self.lag),
            held_seconds=self.held_seconds
            + weight * (usage.held_seconds - self.held_seconds),
            open_requests=self.open_requests
            + weight * (usage.open_requests - self.open_requests),
        )

    @property
    def utilization(self) -> float:
        return max(self.loop, self.link)

    @property
    def _loop_demand(self) -> float:
        # A timer of an idle loop is late for other reasons, such as the scheduler of
        # the operating system, which fewer requests would not mend.
        if self.loop < SATURATED_UTILIZATION:
            return self.loop
        excess_lag = self.lag - TOLERATED_LAG_SECONDS
        return SATURATED_UTILIZATION + excess_lag * DEMAND_PER_LAG_SECOND

    @property
    def _held_excess(self) -> float:
        if self.link < BUSY_UTILIZATION:
            return 0.0
        return min(MAX_HELD_DEMAND, self.held_seconds / HELD_SECONDS)

    @property
    def demand(self) -> float:
        return max(self._loop_demand, self.link + self._held_excess)

    @property
    def cause(self) -> Cause:
        if self.link + self._held_excess > self._loop_demand:
            return Cause.LINK
        return Cause.LAG if self.loop >= SATURATED_UTILIZATION else Cause.LOOP

    @property
    def is_overloaded(self) -> bool:
        return self.demand >= OVERLOADED_UTILIZATION


class _Streak:
    """Consecutive samples over a threshold, from the end of the first of them."""

    def __init__(self) -> None:
        self._samples = 0
        self._began_at = 0.0

    def record(self, is_over: bool, now: float, seconds: float) -> None:
        if not is_over:
            self._samples = 0
            return
        if not self._samples:
            has_resumed = seconds > LONG_SAMPLE_SECONDS
            self._began_at = now + RESUME_SECONDS if has_resumed else now
        self._samples += 1

    def is_sustained(self, now: float) -> bool:
        return self._samples >= ENTER_SAMPLES and now - self._began_at >= ENTER_SECONDS
