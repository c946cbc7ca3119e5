import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.limits import (
    DECREASE_FACTOR,
    INITIAL_LIMIT_REQUESTS,
    MAX_LIMIT_REQUESTS,
    MIN_LIMIT_REQUESTS,
    MIN_SLOW_SAMPLES,
    AdaptiveLimit,
    Sample,
)

FAST = Sample(first_token_seconds=0.2, promised_seconds=1.5)
SLOW = Sample(first_token_seconds=1.4, promised_seconds=1.5)
BATCH = Sample(first_token_seconds=30.0, promised_seconds=0.0)
QUEUED = Sample(first_token_seconds=0.2, promised_seconds=0.0, queued=True)


def feed(limit, sample, seconds, per_second=20, running=None):
    for tick in range(int(seconds * per_second)):
        now = tick / per_second
        limit.observe(sample, running=running or limit.limit, now=now)
    return limit.limit


class TestChanges:
    @pytest.mark.parametrize(
        ("sample", "grows"),
        [(FAST, True), (BATCH, True), (SLOW, False), (QUEUED, False)],
    )
    def test_limit_follows_first_tokens(self, sample, grows):
        assert (feed(AdaptiveLimit(), sample, 10) > INITIAL_LIMIT_REQUESTS) is grows

    def test_unused_limit_does_not_grow(self):
        assert feed(AdaptiveLimit(), FAST, 30, running=2) == INITIAL_LIMIT_REQUESTS

    def test_decrease_starts_from_requests_in_use(self):
        limit = AdaptiveLimit(initial_limit=100)
        feed(limit, SLOW, 1.5, running=10)
        assert limit.limit == int(10 * DECREASE_FACTOR)

    def test_slow_upstream_needs_few_samples(self):
        """Guards against a window that never ends: a slow engine gives few samples."""
        limit = AdaptiveLimit()
        for second in range(MIN_SLOW_SAMPLES):
            limit.observe(SLOW, running=16, now=float(second))
        assert limit.limit < INITIAL_LIMIT_REQUESTS

    def test_single_slow_answers_do_not_decrease(self):
        limit = AdaptiveLimit()
        for tick in range(60):
            sample = SLOW if tick % 10 == 0 else FAST
            limit.observe(sample, running=16, now=tick / 10)
        assert limit.limit >= INITIAL_LIMIT_REQUESTS

    @given(st.lists(st.sampled_from([FAST, SLOW, BATCH, QUEUED]), max_size=200))
    def test_bounded_in_height_and_speed(self, samples):
        limit = AdaptiveLimit()
        steps = set()
        for tick, sample in enumerate(samples):
            before = limit.limit
            limit.observe(sample, running=before, now=tick / 20)
            if limit.limit != before:
                steps.add(int(tick / 20))
            assert MIN_LIMIT_REQUESTS <= limit.limit <= MAX_LIMIT_REQUESTS
            assert 0.9 * before - 1 <= limit.limit <= 1.1 * before + 1
        assert len(steps) <= len(samples) / 20 + 1
