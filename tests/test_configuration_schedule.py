"""Who asks the platform, and when."""

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


def step(one, now, *, watching=True, complete=UNKNOWN, peers_reachable=False, age=0.0):
    return one.next_action(
        now=now,
        watching=watching,
        complete=complete,
        peers_reachable=peers_reachable,
        age=age,
    )


class TestWhoWatches:
    def test_a_leaver_moves_only_its_own_part(self):
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


class TestSteps:
    def test_a_watcher_lists_then_watches_then_lists(self):
        one = schedule()
        assert step(one, 0.0) == ListAll()
        one.record_list(now=0.0, value_bytes=0)
        watch = step(one, 0.1, complete=0)
        assert isinstance(watch, Watch) and watch.revision == 0
        assert 0 < watch.seconds <= MIN_LIST_SECONDS * 1.5
        assert step(one, MIN_LIST_SECONDS * 1.6, complete=0) == ListAll()

    def test_others_learn_from_peers_first(self):
        one = schedule()
        first = step(one, 0.0, watching=False, peers_reachable=True)
        assert isinstance(first, Wait)
        assert step(one, 0.0, watching=False) == ListAll()
        late = step(one, PEER_WAIT_SECONDS, watching=False, peers_reachable=True)
        assert late == ListAll()
        rest = step(one, 1.0, watching=False, peers_reachable=True, complete=7)
        assert isinstance(rest, Wait)

    def test_stands_in_for_watchers_that_are_gone(self):
        """Both watchers of a zone die, or are cut off from the platform.

        The others still talk to each other and all agree; a change that an
        operator makes then would reach none of them.
        """
        one = schedule()
        one.record_list(now=0.0, value_bytes=10**9)
        other = {"watching": False, "complete": 7, "peers_reachable": True}
        assert isinstance(step(one, 1.0, age=5.0, **other), Wait)
        assert isinstance(step(one, 21.0, age=20.1, **other), Watch)
        assert isinstance(step(one, 22.0, age=0.0, **other), Watch)
        later = 22.0 + FALLBACK_WATCH_SECONDS
        assert isinstance(step(one, later, age=0.0, **other), Wait)

    def test_sidecars_bear_stale_content_for_longer(self):
        one = schedule(SIDECAR_STALE_FACTOR)
        one.record_list(now=0.0, value_bytes=10**9)
        other = {"watching": False, "complete": 7, "peers_reachable": True}
        assert isinstance(step(one, 25.0, age=25.0, **other), Wait)
        assert isinstance(step(one, 81.0, age=81.0, **other), Watch)

    def test_an_outage_is_not_answered_by_everybody_for_long(self):
        """The platform is down: nobody's content is confirmed any more.

        If all stood in and kept trying, 1,000 nodes would meet the platform
        with their calls the moment it is back.
        """
        one = schedule()
        one.record_list(now=0.0, value_bytes=10**9)
        calls = 0
        now = 20.0
        while now < 620.0:
            got = step(
                one, now, watching=False, complete=7, peers_reachable=True, age=now
            )
            if isinstance(got, Wait):
                now += got.seconds + 1e-6
            else:
                calls += 1
                one.record_failure(now=now)
        assert 3 <= calls <= 20

    @pytest.mark.parametrize(
        ("watching", "complete", "expected"),
        [(True, 5, ListAll), (False, 5, Wait), (True, 9, Watch)],
    )
    def test_after_a_gap(self, watching, complete, expected):
        """A node falls behind the platform's bounded history of changes.

        The watch says so and shows nothing; whoever went on watching from
        there would never see what was forgotten.
        """
        one = schedule()
        one.record_list(now=0.0, value_bytes=10**9)
        one.record_watch(now=1.0, gap=True, complete=5)
        got = step(one, 1.1, watching=watching, complete=complete, peers_reachable=True)
        assert isinstance(got, expected)

    def test_failures_wait_longer_up_to_a_bound(self):
        one = schedule()
        rests = []
        now = 0.0
        for _ in range(12):
            one.record_failure(now=now)
            start = now
            while isinstance(rest := step(one, now), Wait):
                now += rest.seconds + 1e-6
            rests.append(now - start)
        assert rests[0] < 1.0
        assert max(rests) <= MAX_RETRY_SECONDS * 1.5 + 0.1
        assert min(rests[6:]) > MAX_RETRY_SECONDS * 0.4

    @pytest.mark.parametrize(
        ("size", "seconds"),
        [(0, MIN_LIST_SECONDS), (20_000, 10.0), (10**9, MAX_LIST_SECONDS)],
    )
    def test_lists_cost_a_bounded_rate(self, size, seconds):
        assert list_seconds(size) == seconds
