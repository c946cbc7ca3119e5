"""Tests of the schedule of calls to the platform."""

from random import Random

import pytest

from ragwortkeel.configuration_exchange import UNKNOWN
from ragwortkeel.configuration_schedule import (
    FALLBACK_WATCH_SECONDS,
    MAX_LIST_SECONDS,
    MAX_RETRY_SECONDS,
    MIN_LIST_SECONDS,
    PEER_WAIT_SECONDS,
    SIDECAR_STALE_FACTOR,
    WATCHERS_PER_ZONE,
    FollowSchedule,
    ListAll,
    Wait,
    Watch,
    list_seconds,
    rendezvous,
)


def schedule(stale_factor=1.0):
    return FollowSchedule(now=0.0, random=Random(1), stale_factor=stale_factor)


def action_of(
    one, now, *, watching=True, complete=UNKNOWN, peers_reachable=False, age=0.0
):
    return one.next_action(
        now=now,
        watching=watching,
        complete=complete,
        peers_reachable=peers_reachable,
        age=age,
    )


class TestRendezvous:
    def test_leaving_member_moves_only_its_own_keys(self):
        members = [f"r{i}" for i in range(40)]
        before = rendezvous("a", members, WATCHERS_PER_ZONE)
        others = [one for one in members if one not in before]
        assert rendezvous("a", members[::-1], WATCHERS_PER_ZONE) == before
        assert rendezvous("a", others[1:] + before, WATCHERS_PER_ZONE) == before
        after = rendezvous("a", [one for one in members if one != before[0]], 2)
        assert before[1] in after

    @pytest.mark.parametrize("count", [0, 1])
    def test_few_members(self, count):
        assert rendezvous("a", ["r"][:count], 2) == ["r"][:count]


class TestActions:
    def test_a_watcher_lists_then_watches_then_lists(self):
        one = schedule()
        assert action_of(one, 0.0) == ListAll()
        one.record_list(now=0.0, value_bytes=0)
        watch = action_of(one, 0.1, complete=0)
        assert isinstance(watch, Watch) and watch.revision == 0
        assert 0 < watch.seconds <= MIN_LIST_SECONDS * 1.5
        assert action_of(one, MIN_LIST_SECONDS * 1.6, complete=0) == ListAll()

    def test_others_wait_for_peers_first(self):
        one = schedule()
        first = action_of(one, 0.0, watching=False, peers_reachable=True)
        assert isinstance(first, Wait)
        assert action_of(one, 0.0, watching=False) == ListAll()
        late = action_of(one, PEER_WAIT_SECONDS, watching=False, peers_reachable=True)
        assert late == ListAll()
        wait = action_of(one, 1.0, watching=False, peers_reachable=True, complete=7)
        assert isinstance(wait, Wait)

    def test_fallback_for_failed_watchers(self):
        """Other processes watch if both watchers of a zone fail.

        The others stay connected and have equal content, but without a fallback a
        later change by an operator would reach none of them.
        """
        one = schedule()
        one.record_list(now=0.0, value_bytes=10**9)
        options = {"watching": False, "complete": 7, "peers_reachable": True}
        assert isinstance(action_of(one, 1.0, age=5.0, **options), Wait)
        assert isinstance(action_of(one, 21.0, age=20.1, **options), Watch)
        assert isinstance(action_of(one, 22.0, age=0.0, **options), Watch)
        later = 22.0 + FALLBACK_WATCH_SECONDS
        assert isinstance(action_of(one, later, age=0.0, **options), Wait)

    def test_sidecars_start_a_fallback_later(self):
        one = schedule(SIDECAR_STALE_FACTOR)
        one.record_list(now=0.0, value_bytes=10**9)
        options = {"watching": False, "complete": 7, "peers_reachable": True}
        assert isinstance(action_of(one, 25.0, age=25.0, **options), Wait)
        assert isinstance(action_of(one, 81.0, age=81.0, **options), Watch)

    def test_fallback_calls_during_an_outage_are_bounded(self):
        """Fallback watches back off while the platform is down.

        The content of all processes is stale then.  If all kept calling, 1,000
        processes would overload the platform as soon as it is available again.
        """
        one = schedule()
        one.record_list(now=0.0, value_bytes=10**9)
        calls = 0
        now = 20.0
        while now < 620.0:
            action = action_of(
                one, now, watching=False, complete=7, peers_reachable=True, age=now
            )
            if isinstance(action, Wait):
                now += action.seconds + 1e-6
            else:
                calls += 1
                one.record_failure(now=now)
        assert 3 <= calls <= 20

    @pytest.mark.parametrize(
        ("watching", "complete", "expected"),
        [(True, 5, ListAll), (False, 5, Wait), (True, 9, Watch)],
    )
    def test_after_a_gap(self, watching, complete, expected):
        """A process that falls behind the platform's bounded history lists again.

        The watch returns a gap and no changes.  Watching on from there would never
        return the changes that the history no longer contains.
        """
        one = schedule()
        one.record_list(now=0.0, value_bytes=10**9)
        one.record_watch(now=1.0, gap=True, complete=5)
        action = action_of(
            one, 1.1, watching=watching, complete=complete, peers_reachable=True
        )
        assert isinstance(action, expected)

    def test_failures_wait_longer_up_to_a_bound(self):
        one = schedule()
        waits = []
        now = 0.0
        for _ in range(12):
            one.record_failure(now=now)
            start = now
            while isinstance(wait := action_of(one, now), Wait):
                now += wait.seconds + 1e-6
            waits.append(now - start)
        assert waits[0] < 1.0
        assert max(waits) <= MAX_RETRY_SECONDS * 1.5 + 0.1
        assert min(waits[6:]) > MAX_RETRY_SECONDS * 0.4

    @pytest.mark.parametrize(
        ("size", "seconds"),
        [(0, MIN_LIST_SECONDS), (20_000, 10.0), (10**9, MAX_LIST_SECONDS)],
    )
    def test_lists_cost_a_bounded_rate(self, size, seconds):
        assert list_seconds(size) == seconds
