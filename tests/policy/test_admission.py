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

    def test_nothing_known_refuses_nothing(self):
        assert ServiceTimes().latest_start(request("r"))[0] == 1.5

    @pytest.mark.parametrize(
        ("made", "expected"),
        [
            (request("r"), (1.0, Reason.FIRST_TOKEN)),
            (request("r", first_token_deadline=60.0), (20.0 - 6.0, Reason.DEADLINE)),
            (batch("b", first_token_deadline=0.1), (300.0 - 6.0, Reason.DEADLINE)),
        ],
    )
    def test_by_the_promise_that_binds(self, made, expected):
        assert DURATION_MARGIN_FACTOR == 1.5
        assert self.learned().latest_start(made) == expected


class TestWaits:
    def test_places_by_littles_law(self):
        places = CompletionIntervals()
        assert places.seconds_per_completion(("model",)) == 0.0
        for _ in range(4):
            places.record_start(("model",))
        places.record_duration(("model",), 8.0)
        assert places.seconds_per_completion(("model",)) == 2.0

    def test_turns_follow_what_was_taken(self):
        turns = DequeueIntervals()
        assert turns.mean_seconds(3.0, idle=False, now=0.0) == 3.0
        for second in range(1, 60):
            turns.record_dequeue(3.0, now=second * 0.5)
        each = turns.mean_seconds(3.0, idle=False, now=29.5)
        assert each == pytest.approx(0.5, abs=0.02)

    def test_stopped_queue_looks_slow_and_an_idle_one_does_not(self):
        turns = DequeueIntervals()
        for second in range(1, 60):
            turns.record_dequeue(0.5, now=second * 0.5)
        assert turns.mean_seconds(0.5, idle=False, now=89.5) > 5.0
        assert turns.mean_seconds(0.5, idle=True, now=89.5) < 0.6


class TestRetryAfter:
    @pytest.mark.parametrize("excess", [0.0, 0.2, 5.0, 1e6])
    def test_bounded_and_spread(self, excess):
        random = Random(1)
        told = {queue_retry_delay(excess, random) for _ in range(20)}
        assert all(MIN_RETRY_SECONDS <= t <= MAX_RETRY_SECONDS for t in told)
        assert len(told) > 1 or excess >= MAX_RETRY_SECONDS
