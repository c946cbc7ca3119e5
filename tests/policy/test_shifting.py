import pytest

from ragwortkeel.policy.slow_start import (
    RISE_FRACTION_PER_SECOND,
    START_FRACTION,
    SlowStart,
)


class TestShares:
    def test_first_upstreams_start_full(self):
        shares = SlowStart()
        shares.retain({"a", "b"}, now=0.0)
        assert shares.fraction("a", 0.0) == 1.0

    def test_joining_one_rises_at_a_bounded_speed(self):
        shares = SlowStart()
        shares.retain({"a"}, now=0.0)
        shares.retain({"a", "b"}, now=5.0)
        assert shares.fraction("a", 5.0) == 1.0
        for second in range(9):
            expected = START_FRACTION + RISE_FRACTION_PER_SECOND * second
            assert shares.fraction("b", 5.0 + second) == pytest.approx(expected)
        assert shares.fraction("b", 60.0) == 1.0

    def test_falls_at_once_and_rises_again(self):
        shares = SlowStart()
        shares.retain({"a"}, now=0.0)
        shares.reset("a", now=3.0)
        assert shares.fraction("a", 3.0) == START_FRACTION
        assert shares.fraction("a", 20.0) == 1.0

    def test_one_that_left_is_forgotten(self):
        shares = SlowStart()
        shares.retain({"a", "b"}, now=0.0)
        shares.retain({"a"}, now=1.0)
        assert shares.fraction("b", 1.0) == 0.0
        shares.retain({"a", "b"}, now=2.0)
        assert shares.fraction("b", 2.0) == START_FRACTION
