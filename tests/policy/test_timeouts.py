"""Timeouts for a service that is cut off, slow, or back again."""

import pytest

from ragwortkeel.policy.timeouts import MIN_TIMEOUT_SECONDS, AnswerTimeout

LONGEST = 0.6


def after(*seconds):
    timeout = AnswerTimeout(max_seconds=LONGEST)
    for one in seconds:
        timeout.record_answer(one)
    return timeout


def test_before_any_answer_nothing_is_assumed():
    assert AnswerTimeout(max_seconds=LONGEST).seconds == LONGEST


def test_a_quick_service_that_is_cut_off_is_given_up_soon():
    """Callers wait out the timeout of a slow hour each time the platform is cut."""
    assert after(*[0.004] * 20).seconds == MIN_TIMEOUT_SECONDS


def test_a_service_that_has_become_slow_is_waited_for_after_two_tries():
    timeout = after(*[0.004] * 20)
    timeout.record_timeout()
    timeout.record_timeout()
    assert timeout.seconds == LONGEST


def test_it_stays_long_in_a_slow_hour_and_shortens_after_it():
    timeout = after(*[0.24] * 5)
    assert timeout.seconds == LONGEST
    for _ in range(30):
        timeout.record_answer(0.004)
    assert timeout.seconds < LONGEST / 2


@pytest.mark.parametrize("failures", [1, 5, 500])
def test_it_never_exceeds_the_longest(failures):
    timeout = after(0.1)
    for _ in range(failures):
        timeout.record_timeout()
    assert timeout.seconds <= LONGEST
