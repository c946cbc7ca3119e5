"""Leaving the balancer's rotation under uneven load, with old and wrong reports."""

from dataclasses import replace

import pytest

from ragwortkeel.policy.rotation import (
    MAX_OUT_SECONDS,
    MIN_OUT_SECONDS,
    UNEVEN_SECONDS,
    OwnLoad,
    Reason,
    Rotation,
)
from ragwortkeel.policy.zone_view import PeerReport

TICK = 0.2
COOL = OwnLoad(utilization=0.2, overloaded_since=None)


def peer(node, utilization=0.3, *, is_in=True, overloaded=False, left_at=1.0):
    return PeerReport(
        node=node,
        utilization=utilization,
        overloaded=overloaded,
        in_rotation=is_in,
        departure_utilization=0.0 if is_in else left_at,
        age_seconds=0.4,
    )


def peers(count, utilization=0.3, **options):
    return [peer(f"p{n}", utilization, **options) for n in range(count)]


def run(rotation, own, reports, start, seconds):
    """Update until the membership changes; return the last decision and its time."""
    was = rotation.in_rotation
    for tick in range(int(seconds / TICK) + 1):
        now = start + tick * TICK
        decision = rotation.update(own, reports, now)
        if decision.in_rotation is not was:
            break
    return decision, now


def hot(start, utilization=1.0):
    return OwnLoad(utilization=utilization, overloaded_since=start)


def left(reports, *, node="me", utilization=1.0):
    rotation = Rotation(node=node)
    run(rotation, hot(0.0, utilization), reports, 0.0, 3.0)
    return rotation


class TestLeaving:
    def test_one_hot_instance_of_ten_leaves_within_a_second(self):
        """Guards against an instance that is buried while its zone is idle."""
        decision, now = run(Rotation(node="me"), hot(0.0), peers(9), 0.0, 5.0)
        assert (decision.in_rotation, decision.reason) == (False, Reason.OVERLOADED)
        assert 0.5 <= now <= 1.0

    def test_high_utilization_alone_is_enough_when_it_lasts(self):
        own = OwnLoad(utilization=0.95, overloaded_since=None)
        decision, now = run(Rotation(node="me"), own, peers(9), 0.0, 5.0)
        assert decision.reason is Reason.HIGH_UTILIZATION
        assert now >= 1.0

    def test_one_late_timer_is_no_overload(self):
        """Guards against leaving after a freeze, by a load seen in one update only."""
        rotation = Rotation(node="me")
        rotation.update(COOL, peers(9), 0.0)
        assert rotation.update(hot(0.1), peers(9), 3.0).in_rotation
        assert rotation.update(COOL, peers(9), 3.2).in_rotation
        assert rotation.update(hot(0.1), peers(9), 6.0).in_rotation

    @pytest.mark.parametrize("size", [3, 10])
    def test_nobody_leaves_a_zone_that_is_hot_as_a_whole(self, size):
        """Guards against a zone whose instances all leave together."""
        reports = peers(size - 1, 0.95, overloaded=True)
        decision, _ = run(Rotation(node="me"), hot(0.0), reports, 0.0, 10.0)
        assert (decision.in_rotation, decision.reason) == (True, Reason.ZONE_LOADED)

    @pytest.mark.parametrize(("size", "leaves"), [(1, False), (2, False), (3, True)])
    def test_small_zones(self, size, leaves):
        """Guards against a zone that is left with one instance or none."""
        decision, _ = run(Rotation(node="me"), hot(0.0), peers(size - 1), 0.0, 5.0)
        assert decision.in_rotation is not leaves

    def test_at_most_half_is_out(self):
        """Guards against a zone that is emptied by one departure after another.

        With fewer than half in rotation, the balancer uses all processes of the zone.
        """
        out = [peer(name, is_in=False, left_at=1.2) for name in "vwxyz"]
        assert not left([*peers(5), *out[:4]]).in_rotation
        assert left([*peers(4), *out]).in_rotation

    def test_a_process_takes_the_place_of_one_that_left_with_a_lower_load(self):
        """Guards against a hot instance that stays because cool ones are out."""
        hotter = [peer(name, is_in=False, left_at=1.2) for name in "wxyz"]
        cooler = peer("v", is_in=False, left_at=0.2)
        assert not left([*peers(4), *hotter, cooler]).in_rotation
        replaced = left([*peers(4), *hotter, peer("me")], node="v")
        replaced.departure_utilization = 0.2
        out = [*hotter, peer("me", is_in=False)]
        decision = replaced.update(COOL, [*peers(4), *out], 4.0)
        assert (decision.in_rotation, decision.reason) == (True, Reason.LIMIT_REACHED)

    def test_half_of_the_heard_peers_are_in(self):
        """Guards against leaving while most reports are lost or most peers are out."""
        rotation = Rotation(node="me")
        rotation.update(COOL, peers(9), 0.0)
        decision, _ = run(rotation, hot(0.0), peers(3), 0.2, 3.0)
        assert decision.reason is Reason.PEERS_UNHEARD
        mostly_out = [*peers(1), *(peer(name, is_in=False) for name in "wxyz")]
        decision, _ = run(Rotation(node="me"), hot(0.0), mostly_out, 0.0, 3.0)
        assert decision.reason is Reason.FEW_PEERS_IN

    def test_the_hotter_of_two_leaves_first(self):
        """Guards against three that leave together where two may."""
        hotter = [peer(name, 1.2, overloaded=True) for name in ("h1", "h2")]
        reports = [*hotter, *peers(2, 0.1)]
        rotation = Rotation(node="me")
        assert run(rotation, hot(0.0), reports, 0.0, 1.5)[0].in_rotation
        # A peer that never leaves, as one without the part, holds nobody back.
        assert not run(rotation, hot(0.0), reports, 1.6, 2.0)[0].in_rotation


class TestJoining:
    @pytest.mark.parametrize("current", [0.3, 1.0])
    def test_reports_that_crossed_are_corrected_by_the_same_order_everywhere(
        self, current
    ):
        """Guards against two that left together and both stay out, or both join.

        A report is older than the own load, so each sees the other at another load.
        """
        quiet = [
            *(peer(f"q{n}", 0.1) for n in range(2)),
            peer("c", is_in=False, left_at=1.5),
        ]
        first = left([*quiet, peer("b", 0.1)], node="a")
        second = left([*quiet, peer("a", 0.1)], node="b")
        own = OwnLoad(utilization=0.5, overloaded_since=None)
        others = [*quiet, peer("b", current, is_in=False)]
        assert not first.update(own, others, 3.0).in_rotation
        others = [*quiet, peer("a", current, is_in=False)]
        decision = second.update(own, others, 3.0)
        assert (decision.in_rotation, decision.reason) == (True, Reason.LIMIT_REACHED)

    @pytest.mark.parametrize(
        ("own", "seconds"), [(COOL, MIN_OUT_SECONDS), (hot(0.0), MAX_OUT_SECONDS)]
    )
    def test_a_process_joins_after_its_time_once_it_recovers(self, own, seconds):
        """Guards against a return into the same burst, and against none at all."""
        rotation = left(peers(9))
        decision, now = run(rotation, own, peers(9), 1.0, 60.0)
        assert decision.reason is Reason.TIME_OVER
        assert now - rotation.left_at == pytest.approx(seconds, abs=2 * TICK)

    def test_flapping_load_doubles_the_time_out_up_to_a_bound(self):
        """Guards against an instance that leaves and joins with every burst."""
        rotation, now, times = Rotation(node="me"), 0.0, []
        for _ in range(4):
            _, left_at = run(rotation, hot(now), peers(9), now, 10.0)
            _, now = run(rotation, COOL, peers(9), left_at, 60.0)
            times.append(round(now - left_at))
        assert times == [8, 16, 30, 30]
        run(rotation, COOL, peers(9), now, 120.0)
        _, left_at = run(rotation, hot(now + 120), peers(9), now + 120, 10.0)
        assert rotation.out_seconds == MIN_OUT_SECONDS

    @pytest.mark.parametrize(
        ("reports", "reason"),
        [
            (peers(9, 0.9), Reason.ZONE_LOADED),
            (
                [*peers(3), *(peer(f"x{n}", is_in=False) for n in range(6))],
                Reason.FEW_PEERS_IN,
            ),
            ([], Reason.PEERS_UNHEARD),
            (peers(3), Reason.PEERS_UNHEARD),
        ],
    )
    def test_a_process_joins_early_when_it_is_needed(self, reports, reason):
        """Guards against idle capacity while the rest of the zone is overloaded."""
        decision, now = run(left(peers(9)), COOL, reports, 1.0, 5.0)
        assert (decision.in_rotation, decision.reason) == (True, reason)
        assert now <= 2.4

    def test_reports_that_wait_unread_for_a_moment_change_nothing(self):
        """Guards against joining after a late timer, before reports are read."""
        rotation = left(peers(9))
        assert not rotation.update(COOL, [], 3.0).in_rotation
        assert not rotation.update(COOL, peers(9), 3.2).in_rotation


SMALL, LARGE = 0.6e6, 12.5e6
SMALL_COOL = OwnLoad(utilization=0.2, overloaded_since=None, capacity=SMALL)


def mixed_zone(*, hot_utilization=0.9, large_utilization=0.2):
    """Return a zone of two large instances, a hot small one and three cool ones."""
    large = [
        replace(peer(f"large{n}", large_utilization), capacity=LARGE) for n in range(2)
    ]
    small = [replace(peer(f"s{n}", 0.2), capacity=SMALL) for n in range(3)]
    hot_peer = replace(peer("hot", hot_utilization), capacity=SMALL)
    return [*large, *small, hot_peer]


class TestLargerPeers:
    def test_small_instances_leave_for_large_ones_while_the_load_is_uneven(self):
        """Guards against a heavy caller that moves from one small instance to the next.

        No small instance carries it, and each would be overloaded before it leaves.
        """
        decision, _ = run(Rotation(node="me"), SMALL_COOL, mixed_zone(), 0.0, 3.0)
        assert (decision.in_rotation, decision.reason) == (False, Reason.LARGER_PEERS)

    @pytest.mark.parametrize(
        ("own", "zone"),
        [
            (SMALL_COOL, mixed_zone(hot_utilization=0.3)),
            (SMALL_COOL, mixed_zone(large_utilization=0.6)),
            (replace(SMALL_COOL, capacity=LARGE), mixed_zone()),
            (COOL, mixed_zone()),
        ],
        ids=["even load", "large ones in use", "large itself", "unknown capacity"],
    )
    def test_otherwise_it_stays(self, own, zone):
        assert run(Rotation(node="me"), own, zone, 0.0, 3.0)[0].in_rotation

    def test_those_beyond_half_of_the_zone_stay(self):
        """Guards against small instances that all leave, which the balancer ignores."""
        decision, _ = run(Rotation(node="zz"), SMALL_COOL, mixed_zone(), 0.0, 3.0)
        assert (decision.in_rotation, decision.reason) == (True, Reason.LIMIT_REACHED)

    def test_it_joins_when_the_large_ones_are_in_use_or_the_load_is_even(self):
        """Guards against small instances that idle outside for good."""
        rotation = Rotation(node="me")
        _, now = run(rotation, SMALL_COOL, mixed_zone(), 0.0, 3.0)
        even = mixed_zone(hot_utilization=0.3)
        assert not run(rotation, SMALL_COOL, even, now, 10.0)[0].in_rotation
        busy = mixed_zone(large_utilization=0.75)
        assert run(rotation, SMALL_COOL, busy, now + 10, 1.0)[0].in_rotation
        _, now = run(rotation, SMALL_COOL, mixed_zone(), now + 20, 5.0)
        decision, joined_at = run(rotation, SMALL_COOL, even, now, 60.0)
        assert (decision.in_rotation, decision.reason) == (True, Reason.TIME_OVER)
        assert joined_at - now == pytest.approx(UNEVEN_SECONDS, abs=3 * TICK)


class TestWrongReports:
    def test_one_false_utilization_does_not_hide_the_room_of_a_zone(self):
        reports = [*peers(8, 0.2), peer("false", 10.0)]
        assert not left(reports).in_rotation

    def test_a_peer_that_is_never_in_does_not_keep_others_out_beyond_the_limit(self):
        """Guards against a stopping peer, or a false report, as one process too many.

        It ranks last, so by the order it should join, but it never does.  One of the
        others joins, not all.
        """
        times = []
        for name, other in ("ab", "ba"):
            rotation = left([*peers(3), *map(peer, (other, "0", "x"))], node=name)
            out = [peer(node, is_in=False) for node in (other, "0")]
            never_in = peer("x", is_in=False, left_at=0.0)
            reports = [*peers(3), *out, never_in]
            times.append(run(rotation, hot(0.0), reports, 1.0, 20.0)[1])
        assert times == pytest.approx([7.0, 4.0], abs=2 * TICK)

    def test_a_report_with_the_name_of_this_process_is_ignored(self):
        reports = [peer("me"), *peers(1)]
        decision, _ = run(Rotation(node="me"), hot(0.0), reports, 0.0, 5.0)
        assert decision.reason is Reason.SMALL_ZONE
