import pytest

from ragwortkeel.policy.slow_start import (
    RISE_FRACTION_PER_SECOND,
    START_FRACTION,
    SlowStart,
)


class TestSlowStart:
    def test_first_upstreams_start_full(self):
        slow_start = SlowStart()
        slow_start.retain({"a", "b"}, now=0.0)
        assert slow_start.fraction("a", 0.0) == 1.0

    def test_new_upstream_rises_at_bounded_speed(self):
        slow_start = SlowStart()
        slow_start.retain({"a"}, now=0.0)
        slow_start.retain({"a", "b"}, now=5.0)
        assert slow_start.fraction("a", 5.0) == 1.0
        for second in range(9):
            expected = START_FRACTION + RISE_FRACTION_PER_SECOND * second
            assert slow_start.fraction("b", 5.0 + second) == pytest.approx(expected)
        assert slow_start.fraction("b", 60.0) == 1.0

    def test_reset_and_rise(self):
        slow_start = SlowStart()
        slow_start.retain({"a"}, now=0.0)
        slow_start.reset("a", now=3.0)
        assert slow_start.fraction("a", 3.0) == START_FRACTION
        assert slow_start.fraction("a", 20.0) == 1.0

    def test_removed_upstream_starts_again(self):
        slow_start = SlowStart()
        slow_start.retain({"a", "b"}, now=0.0)
        slow_start.retain({"a"}, now=1.0)
        assert slow_start.fraction("b", 1.0) == 0.0
        slow_start.retain({"a", "b"}, now=2.0)
        assert slow_start.fraction("b", 2.0) == START_FRACTION
