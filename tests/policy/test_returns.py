"""Retry delays of callers that are refused together, in an outage or at saturation."""

from random import Random

from ragwortkeel.policy.retry_delays import (
    MAX_DELAY_SECONDS,
    MIN_DELAY_SECONDS,
    retry_delay,
)


def delays(seconds, count=200):
    random = Random(7)
    return [retry_delay(seconds, random) for _ in range(count)]


def test_delay_is_at_least_the_expected_wait():
    """Guards against callers that retry during the outage and are refused for good."""
    assert min(delays(4.0)) >= 4.0


def test_delays_are_spread():
    values = delays(2.0)
    assert max(values) - min(values) > 0.5
    assert len(set(values)) > 20


def test_delays_are_bounded():
    assert min(delays(0.0)) >= MIN_DELAY_SECONDS
    assert max(delays(600.0)) == MAX_DELAY_SECONDS
