"""The time of day as a fleet knows it."""

from ragwortkeel.budget.clocks import Reading
from ragwortkeel.ingress.fleet_time import MIN_PEERS, FleetTime
from ragwortkeel.messages import ClockAnswer

NOW = Reading(monotonic=50.0, boot=50.0, wall=1000.0)


def fleet(*walls, others=None, asked_at=49.9, boot=50.0):
    """Return the time of a process whose peers answered with these."""
    known = len(walls) if others is None else others
    time = FleetTime(peer_count=lambda: known)
    for i, wall in enumerate(walls):
        answer = ClockAnswer(asked_at=asked_at, wall=wall)
        time.receive_answer(f"peer-{i}", answer, boot)
    return time


class TestBounds:
    def test_they_hold_the_right_time_where_some_clocks_are_off(self):
        """A customer gets more than it paid for after a loss of power.

        The time of day here was set back by two seconds at the start, and so was
        that of some peers: the last write looked younger than it was.
        """
        bounded = fleet(998.0, 998.0, 1000.0, 998.0).with_bounds(
            Reading(monotonic=50.0, boot=50.0, wall=998.0)
        )
        assert bounded.latest >= 1000.0
        assert bounded.earliest <= 998.0

    def test_an_answer_read_late_makes_them_wider_and_not_wrong(self):
        """The same; the process stood still while the answers lay in its socket."""
        late = fleet(1000.0, 1000.0, 1000.0, asked_at=49.9, boot=53.0)
        now = Reading(monotonic=50.0, boot=53.0, wall=1001.0)
        assert late.with_bounds(now).latest >= 1003.0

    def test_they_go_on_with_the_boot_clock(self):
        time = fleet(1000.0, 1000.0, 1000.0)
        later = Reading(monotonic=60.0, boot=60.0, wall=1010.0)
        assert 1010.0 <= time.with_bounds(later).latest < 1010.2

    def test_a_new_answer_replaces_the_old(self):
        time = fleet(1000.0, 1000.0, 1005.0)
        time.receive_answer("peer-2", ClockAnswer(asked_at=49.9, wall=1000.0), 50.0)
        assert time.with_bounds(NOW).latest < 1000.2


class TestEnough:
    def test_a_few_peers_may_all_be_off(self):
        walls = [1000.0] * (MIN_PEERS - 1)
        assert fleet(*walls).with_bounds(NOW) == NOW

    def test_more_than_half_of_the_fleet_is_asked_for(self):
        assert fleet(*[1000.0] * 5, others=11).with_bounds(NOW).latest is None
        assert fleet(*[1000.0] * 6, others=11).with_bounds(NOW).latest is not None
