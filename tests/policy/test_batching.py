"""Tests of when the next events of a stream are read."""

import pytest

from ragwortkeel.policy.batching import LARGE_BLOCK_BYTES, ReadSchedule


@pytest.mark.parametrize(
    ("delivery", "wait"),
    [(0.0, 0.0), (0.12, 0.0), (0.2, 0.08), (0.3, 0.18), (60.0, 0.25)],
)
def test_events_wait_for_the_promised_time_less_the_reserve(delivery, wait):
    schedule = ReadSchedule(delivery_seconds=delivery)
    schedule.record_forwarded(70, 10.0)
    assert schedule.seconds_until_read(10.0) == pytest.approx(wait, abs=0.011)
    assert schedule.seconds_until_read(10.0) <= wait + 1e-9


def test_the_first_read_and_the_one_after_the_wait_are_immediate():
    schedule = ReadSchedule(delivery_seconds=0.2)
    assert schedule.seconds_until_read(10.0) == 0.0
    schedule.record_forwarded(70, 10.0005)
    assert schedule.seconds_until_read(10.06) == pytest.approx(0.02)
    assert schedule.seconds_until_read(10.0795) == 0.0
    assert schedule.seconds_until_read(12.0) == 0.0


def test_a_large_block_is_followed_at_once():
    """Guards against a limit on the rate of streams that send much."""
    schedule = ReadSchedule(delivery_seconds=0.2)
    schedule.record_forwarded(LARGE_BLOCK_BYTES, 10.0)
    assert schedule.seconds_until_read(10.0) == 0.0


def test_streams_are_read_at_the_same_times():
    """Guards against a wake of the process for each of thousands of streams."""
    times = set()
    for number in range(1000):
        schedule = ReadSchedule(delivery_seconds=0.2)
        now = 10.0 + number / 10_000
        schedule.record_forwarded(70, now)
        times.add(round(now + schedule.seconds_until_read(now), 6))
    assert len(times) <= 11
