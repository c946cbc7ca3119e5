"""Fleet time: bounds of the time of day from the peers' clocks."""

from ragwortkeel.budget.clocks import Reading
from ragwortkeel.ingress.fleet_time import MIN_PEERS, FleetTime
from ragwortkeel.messages import ClockAnswer

NOW = Reading(monotonic=50.0, boot=50.0, wall=1000.0)


def fleet(*walls, others=None, asked_at=49.9, boot=50.0):
    """Return the fleet time of a process whose peers answered with these times."""
    known = len(walls) if others is None else others
    time = FleetTime(peer_count=lambda: known)
    for i, wall in enumerate(walls):
        answer = ClockAnswer(asked_at=asked_at, wall=wall)
        time.receive_answer(f"peer-{i}", answer, boot)
    return time


class TestBounds:
    def test_they_include_the_right_time_if_some_clocks_are_wrong(self):
        """Guards against overspending after a loss of power.

        The time of day of this instance and of some peers is set back by 2 s at the
        start, so that the last write seems more recent than it is.
        """
        bounded = fleet(998.0, 998.0, 1000.0, 998.0).with_bounds(
            Reading(monotonic=50.0, boot=50.0, wall=998.0)
        )
        assert bounded.latest >= 1000.0
        assert bounded.earliest <= 998.0

    def test_an_answer_read_late_widens_them(self):
        """Guards against overspending after a suspension with unread answers."""
        late = fleet(1000.0, 1000.0, 1000.0, asked_at=49.9, boot=53.0)
        now = Reading(monotonic=50.0, boot=53.0, wall=1001.0)
        assert late.with_bounds(now).latest >= 1003.0

    def test_they_advance_with_the_boot_clock(self):
        time = fleet(1000.0, 1000.0, 1000.0)
        later = Reading(monotonic=60.0, boot=60.0, wall=1010.0)
        assert 1010.0 <= time.with_bounds(later).latest < 1010.2

    def test_a_new_answer_replaces_the_old(self):
        time = fleet(1000.0, 1000.0, 1005.0)
        time.receive_answer("peer-2", ClockAnswer(asked_at=49.9, wall=1000.0), 50.0)
        assert time.with_bounds(NOW).latest < 1000.2


class TestPeerCount:
    def test_too_few_peers_give_no_bounds(self):
        walls = [1000.0] * (MIN_PEERS - 1)
        assert fleet(*walls).with_bounds(NOW) == NOW

    def test_bounds_need_more_than_half_of_the_fleet(self):
        assert fleet(*[1000.0] * 5, others=11).with_bounds(NOW).latest is None
        assert fleet(*[1000.0] * 6, others=11).with_bounds(NOW).latest is not None
