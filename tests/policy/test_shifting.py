import pytest

from ragwortkeel.policy.shifting import RISE_PER_SECOND, START_SHARE, Shares


class TestShares:
    def test_first_upstreams_start_full(self):
        shares = Shares()
        shares.keep({"a", "b"}, now=0.0)
        assert shares.share("a", 0.0) == 1.0

    def test_joining_one_rises_at_a_bounded_speed(self):
        shares = Shares()
        shares.keep({"a"}, now=0.0)
        shares.keep({"a", "b"}, now=5.0)
        assert shares.share("a", 5.0) == 1.0
        for second in range(9):
            expected = START_SHARE + RISE_PER_SECOND * second
            assert shares.share("b", 5.0 + second) == pytest.approx(expected)
        assert shares.share("b", 60.0) == 1.0

    def test_falls_at_once_and_rises_again(self):
        shares = Shares()
        shares.keep({"a"}, now=0.0)
        shares.drop("a", now=3.0)
        assert shares.share("a", 3.0) == START_SHARE
        assert shares.share("a", 20.0) == 1.0

    def test_one_that_left_is_forgotten(self):
        shares = Shares()
        shares.keep({"a", "b"}, now=0.0)
        shares.keep({"a"}, now=1.0)
        assert shares.share("b", 1.0) == 0.0
        shares.keep({"a", "b"}, now=2.0)
        assert shares.share("b", 2.0) == START_SHARE
