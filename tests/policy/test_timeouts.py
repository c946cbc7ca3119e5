"""Timeouts for a service that is unreachable, slow, or reachable again."""

import pytest

from ragwortkeel.policy.timeouts import MIN_TIMEOUT_SECONDS, AnswerTimeout

MAX_SECONDS = 0.6


def after(*seconds):
    timeout = AnswerTimeout(max_seconds=MAX_SECONDS)
    for one in seconds:
        timeout.record_answer(one)
    return timeout


def test_maximum_before_the_first_answer():
    assert AnswerTimeout(max_seconds=MAX_SECONDS).seconds == MAX_SECONDS


def test_fast_service_has_short_timeout():
    """Guards against callers that wait for a slow service's timeout in each outage."""
    assert after(*[0.004] * 20).seconds == MIN_TIMEOUT_SECONDS


def test_two_timeouts_reach_the_maximum():
    timeout = after(*[0.004] * 20)
    timeout.record_timeout()
    timeout.record_timeout()
    assert timeout.seconds == MAX_SECONDS


def test_timeout_follows_slow_and_fast_answers():
    timeout = after(*[0.24] * 5)
    assert timeout.seconds == MAX_SECONDS
    for _ in range(30):
        timeout.record_answer(0.004)
    assert timeout.seconds < MAX_SECONDS / 2


@pytest.mark.parametrize("failures", [1, 5, 500])
def test_never_exceeds_the_maximum(failures):
    timeout = after(0.1)
    for _ in range(failures):
        timeout.record_timeout()
    assert timeout.seconds <= MAX_SECONDS
