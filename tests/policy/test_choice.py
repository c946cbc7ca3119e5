from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.choice import (
    CANDIDATE_COUNT,
    Candidate,
    LoadEstimate,
    choose,
    rendezvous,
)


def candidates(*loads: float, room: float = 10.0, zones: str = "aaaaaaaaaa"):
    return [
        Candidate(name=f"m{i}", zone=zones[i], load=load, limit=room)
        for i, load in enumerate(loads)
    ]


def pick(ordered, prefix="", seed=1, zone="a", **kwargs):
    chosen = choose(
        ordered=ordered, prefix=prefix, zone=zone, random=Random(seed), **kwargs
    )
    return chosen.name if chosen else None


class TestRendezvous:
    @given(st.text(max_size=20), st.integers(2, 12))
    def test_leaving_upstream_moves_only_its_own_keys(self, key, count):
        names = [f"m{i}" for i in range(count)]
        order = rendezvous(key, names)
        assert sorted(order) == sorted(names)
        without = rendezvous(key, [n for n in names if n != order[0]])
        assert without == order[1:]

    def test_keys_spread(self):
        names = [f"m{i}" for i in range(5)]
        firsts = Counter(rendezvous(f"k{i}", names)[0] for i in range(1000))
        assert set(firsts) == set(names)
        assert min(firsts.values()) > 150


class TestChoice:
    def test_all_full_gives_none(self):
        assert pick(candidates(10, 10, 9.5)) is None

    @pytest.mark.parametrize("seed", range(8))
    def test_never_the_busiest_of_the_candidates(self, seed):
        assert pick(candidates(1, 5, 9), seed=seed) != "m2"

    @pytest.mark.parametrize("seed", range(8))
    def test_prefers_first_candidates_with_headroom(self, seed):
        ordered = candidates(8, 8, 8, 0, 0)
        assert pick(ordered, seed=seed) in {"m0", "m1", "m2"}

    def test_uses_further_upstreams_before_refusal(self):
        assert pick(candidates(*[10] * CANDIDATE_COUNT, 3)) == f"m{CANDIDATE_COUNT}"

    @pytest.mark.parametrize("seed", range(8))
    def test_prefers_own_zone_within_bound(self, seed):
        zones = "bca"
        assert pick(candidates(2, 4, 2, zones=zones), zone="c", seed=seed) == "m1"
        assert pick(candidates(1, 9, 1, zones=zones), zone="c", seed=seed) != "m1"


class TestPrefixAffinity:
    @pytest.mark.parametrize("seed", range(8))
    def test_prefix_uses_its_first_upstream(self, seed):
        assert pick(candidates(3, 2, 2), prefix="p", seed=seed) == "m0"

    def test_frequent_prefix_is_spread_beyond_bound(self):
        """Guards against one upstream that serves all requests of a frequent prefix.

        Its answers would be late while the other upstreams are idle.
        """
        assert pick(candidates(9, 0, 0), prefix="p") in {"m1", "m2"}


class TestLoadEstimate:
    def test_own_requests_since_report_count(self):
        load = LoadEstimate()
        for second in range(3):
            load.record_start(now=float(second))
        load.record_report(10, taken_at=1.5)
        assert load.load == 8 + 3
        load.record_end(now=3.0)
        assert load.load == 8 + 2

    @pytest.mark.parametrize(
        ("own", "total", "claimed"),
        [(0, 0, 0.0), (5, 16, 4 * 11 / 17), (0, 12, 3.0), (3, 25, 0.0)],
    )
    def test_other_routers_claim_their_fraction_of_headroom(self, own, total, claimed):
        """Guards against routers that all use the full headroom of one report.

        Three routers with a headroom of four would send twelve requests.  Each uses
        its fraction; a router without load may still add one request.
        """
        load = LoadEstimate()
        for _ in range(own):
            load.record_start(now=0.0)
        load.record_report(total, taken_at=1.0)
        assert load.claimed_by_others(limit=20.0 if own else 16.0) == pytest.approx(
            claimed
        )

    def test_full_until_the_next_report(self):
        load = LoadEstimate()
        load.assume_full(limit=16.0)
        assert load.load == 16
        load.record_report(4, taken_at=1.0)
        assert load.load == 4

    @given(st.lists(st.integers(0, 1), max_size=40), st.integers(0, 30))
    def test_never_below_own_work(self, steps, total):
        load = LoadEstimate()
        for at, step in enumerate(steps):
            if step or not load.own:
                load.record_start(float(at))
            else:
                load.record_end(float(at))
        load.record_report(total, taken_at=len(steps) / 2)
        assert load.load >= load.own >= 0
