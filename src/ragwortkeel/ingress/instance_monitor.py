"""Samples the usage of this instance and admits requests by it.

Failures it guards against: an instance that takes more requests than it can answer in
time, until each turn of its event loop takes seconds.
"""

from collections.abc import Callable
from random import Random
from time import monotonic

import curio
from curio.traps import _get_kernel

from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.overload import (
    Level,
    Overload,
    OverloadDetector,
    UsageSample,
)
from ragwortkeel.settings import InstanceCapacity
from ragwortkeel.usage_counters import ByteCounter, MeasuredSelector

SAMPLE_SECONDS = 0.1

PACKET_HEADER_BYTES = 52
"""IPv4 and TCP headers of a packet, with the timestamps that Linux sends."""

PACKET_PAYLOAD_BYTES = 1448
"""Largest payload of a packet on an Ethernet link."""

LATE_SECONDS = 0.1
"""Event loop lag above which callers that have left are looked for at their sockets."""

LOG_SECONDS = 1.0
"""Shortest time between two log lines on the load of the instance."""


class InstanceMonitor:
    """Measures the load of this instance; `Front` asks it whether to take a request.

    Parameters
    ----------
    capacity : InstanceCapacity
        What the instance can carry.
    counter : ByteCounter
        Bytes on the sockets of the process.
    held_bytes : callable
        Returns the bytes that wait to be sent to callers.

    Attributes
    ----------
    open_requests : int
        Admitted requests without a final answer.
    """

    def __init__(
        self,
        *,
        capacity: InstanceCapacity,
        counter: ByteCounter,
        metrics: Metrics,
        random: Random,
        held_bytes: Callable[[], int] = int,
    ) -> None:
        self.open_requests = 0
        self._detector = OverloadDetector(
            link_bytes_per_second=capacity.link_bytes_per_second, random=random
        )
        self._counter = counter
        self._held_bytes = held_bytes
        self._metrics = metrics
        self._selector: MeasuredSelector | None = None
        self._logged_level = Level.NORMAL
        self._logged_at = 0.0
        self._shed_by_priority: dict[int, int] = {}

    @property
    def overload(self) -> Overload:
        """The current load."""
        return self._detector.overload

    @property
    def is_limiting(self) -> bool:
        """Whether `admits` may refuse a request now."""
        return self._detector.overload.level is Level.OVERLOADED

    @property
    def is_late(self) -> bool:
        """Whether timers of the event loop are late."""
        return self._detector.overload.lag_seconds > LATE_SECONDS

    def arrived_at(self) -> float:
        """Return the second after which the events of this turn of the loop arrived.

        On a late event loop a request waits unread, which counts for its time limit.
        """
        return self._selector.arrived_after if self._selector else monotonic()

    def admits(self, priority: int) -> bool:
        """Return whether a new request is taken, and count it."""
        admitted = self._detector.admits(priority, self.open_requests)
        if not admitted:
            shed = self._shed_by_priority.get(priority, 0)
            self._shed_by_priority[priority] = shed + 1
        return admitted

    async def run(self) -> None:
        """Sample until cancelled."""
        kernel = await _get_kernel()
        if isinstance(kernel._selector, MeasuredSelector):
            self._selector = kernel._selector
        else:
            log_warning("event_loop_not_measured", selector=repr(kernel._selector))
        sampled_at = monotonic()
        waited, sent, received = self._totals()
        pause_seconds = SAMPLE_SECONDS
        while True:
            await curio.sleep(pause_seconds)
            now = monotonic()
            previous = waited, sent, received
            waited, sent, received = self._totals()
            seconds = now - sampled_at
            lag_seconds = seconds - pause_seconds
            # On a late event loop a timer that is set in one turn is not due in the
            # next; without one there is a sample for each turn.
            is_late = seconds > 2 * SAMPLE_SECONDS
            pause_seconds = 0.0 if is_late else SAMPLE_SECONDS
            busy_seconds = 0.0
            if self._selector is not None:
                busy_seconds = seconds - (waited - previous[0])
                longest_turn = self._selector.drain_longest_turn()
                lag_seconds = max(lag_seconds, longest_turn)
            sampled_at = now
            sample = UsageSample(
                seconds=seconds,
                busy_seconds=busy_seconds,
                sent_bytes=sent - previous[1],
                received_bytes=received - previous[2],
                lag_seconds=max(0.0, lag_seconds),
                held_bytes=self._held_bytes(),
                open_requests=self.open_requests,
            )
            self._report(self._detector.record(sample, now), now)

    def _totals(self) -> tuple[float, int, int]:
        counter = self._counter
        return (
            self._selector.waiting_seconds if self._selector else 0.0,
            _with_headers(counter.sent_bytes, counter.sends),
            _with_headers(counter.received_bytes, counter.receives),
        )

    def _report(self, overload: Overload, now: float) -> None:
        self._metrics.set_instance_load(
            utilization=overload.utilization, lag_seconds=overload.lag_seconds
        )
        for priority, count in self._shed_by_priority.items():
            self._metrics.record_shed(priority=priority, count=count)
        self._shed_by_priority.clear()
        changed = overload.level is not self._logged_level
        if not changed or now - self._logged_at < LOG_SECONDS:
            return
        log_info(
            "instance_overloaded",
            was=self._logged_level.name.lower(),
            now=overload.level.name.lower(),
            utilization=round(overload.utilization, 3),
            cause=overload.cause,
            lag=round(overload.lag_seconds, 3),
            open=overload.open_requests,
            limit=overload.open_limit,
            shed=round(overload.shed_fraction, 3),
        )
        self._logged_level, self._logged_at = overload.level, now


def _with_headers(payload_bytes: int, transfers: int) -> int:
    packets = transfers + payload_bytes // PACKET_PAYLOAD_BYTES
    return payload_bytes + packets * PACKET_HEADER_BYTES
