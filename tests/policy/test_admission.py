from random import Random

import pytest
from tests.policy.helpers import batch, request

from ragwortkeel.policy.admission import (
    DURATION_MARGIN_FACTOR,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    CompletionIntervals,
    DequeueIntervals,
    ServiceTimes,
    queue_retry_delay,
)
from ragwortkeel.policy.facts import Reason


class TestLatestStart:
    def learned(self, first_token=0.5, total=4.0):
        times = ServiceTimes()
        for made in (request("r"), batch("b")):
            times.record_first_token(made, first_token)
            times.record_duration(made, total)
        return times

    def test_no_refusal_without_samples(self):
        assert ServiceTimes().latest_start(request("r"))[0] == 1.5

    @pytest.mark.parametrize(
        ("made", "expected"),
        [
            (request("r"), (1.0, Reason.FIRST_TOKEN)),
            (request("r", first_token_deadline=60.0), (20.0 - 6.0, Reason.DEADLINE)),
            (batch("b", first_token_deadline=0.1), (300.0 - 6.0, Reason.DEADLINE)),
        ],
    )
    def test_earliest_binding_promise(self, made, expected):
        assert DURATION_MARGIN_FACTOR == 1.5
        assert self.learned().latest_start(made) == expected


class TestIntervals:
    def test_completion_interval_by_littles_law(self):
        intervals = CompletionIntervals()
        assert intervals.seconds_per_completion(("model",)) == 0.0
        for _ in range(4):
            intervals.record_start(("model",))
        intervals.record_duration(("model",), 8.0)
        assert intervals.seconds_per_completion(("model",)) == 2.0

    def test_dequeue_interval_follows_samples(self):
        intervals = DequeueIntervals()
        assert intervals.mean_seconds(3.0, idle=False, now=0.0) == 3.0
        for second in range(1, 60):
            intervals.record_dequeue(3.0, now=second * 0.5)
        each = intervals.mean_seconds(3.0, idle=False, now=29.5)
        assert each == pytest.approx(0.5, abs=0.02)

    def test_stalled_queue_is_slow_and_idle_queue_is_not(self):
        intervals = DequeueIntervals()
        for second in range(1, 60):
            intervals.record_dequeue(0.5, now=second * 0.5)
        assert intervals.mean_seconds(0.5, idle=False, now=89.5) > 5.0
        assert intervals.mean_seconds(0.5, idle=True, now=89.5) < 0.6


class TestRetryAfter:
    @pytest.mark.parametrize("excess", [0.0, 0.2, 5.0, 1e6])
    def test_bounded_and_spread(self, excess):
        random = Random(1)
        delays = {queue_retry_delay(excess, random) for _ in range(20)}
        assert all(MIN_RETRY_SECONDS <= t <= MAX_RETRY_SECONDS for t in delays)
        assert len(delays) > 1 or excess >= MAX_RETRY_SECONDS
