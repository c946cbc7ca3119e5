"""Callers that are refused together, in an outage or at the end of places."""

from random import Random

from ragwortkeel.policy.retry_delays import (
    MAX_DELAY_SECONDS,
    MIN_DELAY_SECONDS,
    retry_delay,
)


def returns(seconds, count=200):
    random = Random(7)
    return [retry_delay(seconds, random) for _ in range(count)]


def test_nobody_is_called_back_before_there_is_something_for_them():
    """Callers come back once, in the middle of an outage, and are refused for good."""
    assert min(returns(4.0)) >= 4.0


def test_callers_refused_together_come_back_spread():
    waits = returns(2.0)
    assert max(waits) - min(waits) > 0.5
    assert len(set(waits)) > 20


def test_waits_have_bounds():
    assert min(returns(0.0)) >= MIN_DELAY_SECONDS
    assert max(returns(600.0)) == MAX_DELAY_SECONDS
