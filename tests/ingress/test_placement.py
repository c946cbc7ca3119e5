"""Patterns of load: shared prefixes, saturation, failing upstreams, many choosers."""

from collections import Counter
from random import Random

import msgspec
import pytest
from tests.ingress.builders import ENGINE, engine_service, job, upstream

from ragwortkeel.ingress.placement import Load, Placement
from ragwortkeel.policy.announced_limits import AnnouncedLimits
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.fleet_rates import ChosenSenders, EqualShare, FleetRates

APP = engine_service("app").__class__(name="app", max_connections=96)
POOL = engine_service("pool")


def apps(count=3, slots=6):
    return {f"u{i}": upstream(f"u{i}", slots=slots) for i in range(count)}


def engines(count=3):
    names = [f"e{i}" for i in range(count)]
    return {n: upstream(n, service="pool", slots=64) for n in names}


def place(placement, one, service, upstream_by_name, now=0.0, tried=frozenset()):
    return placement.assign(
        one,
        service=service,
        upstream_by_name=upstream_by_name,
        now=now,
        tried_upstreams=tried,
    )


class TestRoom:
    def test_a_full_service_has_no_place_and_a_released_one_is_given_again(self):
        placement = Placement(zone="a")
        placed = [
            place(placement, job(f"r{i}"), APP, apps(count=1, slots=2))
            for i in range(3)
        ]
        assert placed[2] is None
        placement.release(placed[0])
        assert place(placement, job("r9"), APP, apps(count=1, slots=2))

    def test_plain_requests_spread_over_upstreams(self):
        placement = Placement(zone="a")
        counts = Counter(
            place(placement, job(f"r{i}"), APP, apps()).upstream.name for i in range(9)
        )
        assert set(counts.values()) == {3}

    def test_what_others_placed_takes_room_until_it_is_old(self):
        """A burst is refused by upstreams that look free to each process alone."""
        placement = Placement(zone="a")
        placement.merge_loads("other", {"u0": Load(running=4)}, 2.0)
        assert place(placement, job(), APP, apps(count=1, slots=2)) is None
        assert place(placement, job(), APP, apps(count=1, slots=2), now=2.1)

    def test_places_that_slow_processes_hold_keep_nobody_away(self):
        """Half of the requests wait at one upstream that is hardly busy.

        Each of its peers had a request on a slow link there; all slots were counted
        as taken, while the upstream worked on one request at a time.
        """
        placement = Placement(zone="a")
        for node in range(6):
            placement.merge_loads(f"i{node}", {"u0": Load(running=1)}, 2.0)
        assert place(placement, job(), APP, apps(count=1, slots=6))

    def test_an_engine_is_full_by_memory_before_its_slots(self):
        """Streams stop in the middle: the engine ran out of memory for all it runs."""
        placement = Placement(zone="a")
        size = ENGINE.memory_tokens // 3
        placed = [
            place(placement, job(f"r{i}", "pool", prompt=size), POOL, engines(1))
            for i in range(3)
        ]
        assert placed[2] is None

    def test_a_request_larger_than_what_is_left_still_runs_alone(self):
        placement = Placement(zone="a")
        huge = job("r1", "pool", prompt=ENGINE.memory_tokens)
        assert place(placement, huge, POOL, engines(1))


def chat(index, shared="s1", tokens=4_000):
    parts = ((shared, tokens), (f"o{index}", 50))
    return job(f"r{index}", "pool", parts=parts, prompt=tokens + 50)


class TestPartsToldByPeers:
    def test_a_peer_sends_its_prompts_to_where_another_had_them_read(self):
        """Shared parts of prompts are read once by each engine of the service.

        The first engine in the order was busy, so one process chose another; its
        peers went on with the first one, which had to read the parts too.
        """
        one, peer = Placement(zone="a"), Placement(zone="a")
        first = place(peer, chat(0), POOL, engines()).upstream.name
        others = {n: u for n, u in engines().items() if n != first}
        elsewhere = place(one, chat(1), POOL, others).upstream.name
        fresh = Placement(zone="a")
        for name, parts in one.drain_prompt_blocks().items():
            fresh.merge_prompt_blocks(name, parts)
        placed = place(fresh, chat(2), POOL, engines())
        assert placed.upstream.name == elsewhere
        assert placed.unread_tokens == 50

    def test_what_was_told_is_told_once_and_again_to_a_new_process(self):
        one = Placement(zone="a")
        place(one, chat(0), POOL, engines())
        news = one.drain_prompt_blocks()
        assert [len(parts) for parts in news.values()] == [1]
        assert one.drain_prompt_blocks() == {}
        assert one.all_prompt_blocks() == news

    def test_a_restarted_engine_holds_nothing_that_was_told(self):
        one, peer = Placement(zone="a"), Placement(zone="a")
        place(one, chat(0), POOL, engines(1))
        place(peer, chat(1), POOL, {"e0": upstream("e0", service="pool", started_ms=1)})
        for name, parts in one.drain_prompt_blocks().items():
            peer.merge_prompt_blocks(name, parts)
        reborn = {"e0": upstream("e0", service="pool", started_ms=2)}
        assert place(peer, chat(2), POOL, reborn).unread_tokens == 4_050

    def test_the_own_part_of_a_request_is_told_to_nobody(self):
        one = Placement(zone="a")
        place(one, job("r", "pool", parts=(("o", 900),), prompt=900), POOL, engines())
        assert one.drain_prompt_blocks() == {}


class TestPrefixes:
    def test_prompts_with_a_shared_part_go_where_it_was_read(self):
        placement = Placement(zone="a")
        names = set()
        for i in range(12):
            one = job(
                f"r{i}", "pool", parts=(("s", 5000), (f"own{i}", 500)), prompt=5500
            )
            placed = place(placement, one, POOL, engines())
            placement.record_first_token(placed)
            names.add(placed.upstream.name)
            placement.release(placed)
        assert len(names) == 1

    def test_two_processes_agree_on_a_cold_part_without_a_word(self):
        one = job("r1", "pool", parts=(("s", 5000), ("own", 500)), prompt=5500)
        names = {
            place(Placement(zone=zone), one, POOL, engines()).upstream.name
            for zone in ("a", "b")
        }
        assert len(names) == 1

    def test_a_hot_prefix_spills_over_before_its_engine_drowns(self):
        """One subject gets a quarter of all prompts; its engine must not take all."""
        placement = Placement(zone="a")
        counts = Counter()
        for i in range(30):
            one = job(
                f"r{i}", "pool", parts=(("s", 500), (f"own{i}", 2000)), prompt=2500
            )
            placed = place(placement, one, POOL, engines())
            if placed:
                counts[placed.upstream.name] += 1
        assert len(counts) == 3

    def test_a_restarted_engine_holds_nothing(self):
        placement = Placement(zone="a")
        one = job("r1", "pool", parts=(("s", 5000), ("own", 500)), prompt=5500)
        placement.release(place(placement, one, POOL, engines(1)))
        again = place(placement, one, POOL, engines(1))
        assert again.unread_tokens == 0
        placement.release(again)
        reborn = {"e0": upstream("e0", service="pool", slots=64, started_ms=7)}
        assert place(placement, one, POOL, reborn).unread_tokens == 5500


class TestFailures:
    def test_an_unreachable_upstream_is_left_alone(self):
        """An upstream that refuses connections fails fast and so looks idle."""
        placement = Placement(zone="a")
        placement.record_failure("u0", Failure.UNREACHABLE, 0.0)
        names = {
            place(placement, job(f"r{i}"), APP, apps(), now=0.1).upstream.name
            for i in range(6)
        }
        assert names == {"u1", "u2"}

    def test_upstreams_that_a_request_was_at_are_left_out(self):
        placement = Placement(zone="a")
        placed = place(placement, job(), APP, apps(2), tried=frozenset({"u0"}))
        assert placed.upstream.name == "u1"
        assert place(placement, job(), APP, apps(1), tried=frozenset({"u0"})) is None


COLD_POOL = msgspec.structs.replace(POOL, cold_seconds=3.0, cold_per_second=10.0)


class TestColdUpstreams:
    def fleet(self, size):
        """Return so many processes' placements, which know of each other."""
        return [
            Placement(
                zone="a",
                rates=FleetRates(
                    sharing=lambda: EqualShare(processes=size),
                    random=Random(index),
                    started=float("-inf"),
                ),
            )
            for index in range(size)
        ]

    def most_in_a_second(self, placements, cold, *, warm=(), seconds=3.0):
        """Return the most requests that one cold upstream gets in any second.

        Each process has a request each tenth of a second, and tells nobody of it.
        """
        by_name = {n: upstream(n, service="pool", slots=64) for n in (*cold, *warm)}
        for placement in placements:
            for name in cold:
                placement.set_cold(name, 3.0, 0.0)
        sent = {name: [] for name in cold}
        for step in range(int(seconds * 10)):
            for index, placement in enumerate(placements):
                now = step / 10 + index / len(placements) / 10
                one = job(f"r{step}-{index}", parts=(("p", 500), ("q", 9)), prompt=509)
                placed = place(placement, one, COLD_POOL, by_name, now=now)
                if placed is not None:
                    sent.get(placed.upstream.name, []).append(now)
        return max(
            sum(first <= at < first + 1.0 for at in times)
            for times in sent.values()
            for first in times or [0.0]
        )

    @pytest.mark.parametrize("size", [5, 30, 68])
    def test_one_that_comes_back_idle_gets_no_more_than_it_bears(self, size):
        """Guards against the crash of one to which all processes turn at once."""
        most = self.most_in_a_second(self.fleet(size), ["e0"], warm=["e1", "e2"])
        assert most <= 20

    @pytest.mark.parametrize("size", [5, 30, 68])
    def test_a_zone_that_comes_back_with_a_hot_prefix_is_not_overrun(self, size):
        """Guards against a prefix that draws all processes to one cold upstream."""
        cold = [f"e{number}" for number in range(9)]
        assert self.most_in_a_second(self.fleet(size), cold, warm=["w0", "w1"]) <= 20

    def test_a_fleet_of_cold_ones_only_is_served_within_the_bound(self):
        cold = [f"e{number}" for number in range(6)]
        assert 0 < self.most_in_a_second(self.fleet(30), cold) <= 20

    def test_it_is_warm_after_the_time_of_its_service_however_long_it_says(self):
        """Guards against an upstream that is left out for ever by a huge cold time."""
        [placement] = self.fleet(1)
        by_name = {"e0": upstream("e0", service="pool", slots=64)}
        placement.set_cold("e0", 1e12, 0.0)
        sent = [
            place(placement, job(f"r{n}"), COLD_POOL, by_name, now=3.01)
            for n in range(20)
        ]
        assert all(sent)

    def test_one_that_was_not_reached_counts_as_cold_once_it_answers(self):
        """Guards against an upstream that restarts under its name before its entry."""
        [placement] = self.fleet(1)
        by_name = {"e0": upstream("e0", service="pool", slots=64)}
        place(placement, job("r0"), COLD_POOL, by_name, now=0.0)
        placement.record_failure("e0", Failure.UNREACHABLE, 0.0)
        placed = None
        now = 1.0
        while placed is None:
            now += 0.01
            placed = place(placement, job("probe"), COLD_POOL, by_name, now=now)
        placement.record_success("e0", now)
        sent = [
            place(placement, job(f"r{n}"), COLD_POOL, by_name, now=now + n / 100)
            for n in range(1, 101)
        ]
        assert sum(one is not None for one in sent) <= 10

    def test_one_that_is_reached_again_is_used_by_processes_that_are_not_chosen(self):
        """Guards against a process that leaves all upstreams out after a cut."""
        names = frozenset(f"other-{number}" for number in range(29))
        placement = Placement(
            zone="a",
            rates=FleetRates(
                sharing=lambda: ChosenSenders(own="own", names=names),
                random=Random(0),
                started=float("-inf"),
            ),
        )
        by_name = {f"e{n}": upstream(f"e{n}", service="pool") for n in range(9)}
        for name in by_name:
            placement.set_cold(name, 0.0, 0.0)
            placement.record_failure(name, Failure.UNREACHABLE, 0.0)
        reached = set()
        for step in range(1000):
            now = 2.0 + step / 100
            placed = place(placement, job(f"r{step}"), COLD_POOL, by_name, now=now)
            if placed is not None:
                placement.record_success(placed.upstream.name, now)
                placement.release(placed)
                reached.add(placed.upstream.name)
        assert reached == set(by_name)

    def test_services_without_a_bound_are_not_held_back(self):
        [placement] = self.fleet(1)
        by_name = engines(count=1)
        placement.set_cold("e0", 3.0, 0.0)
        sent = [place(placement, job(f"r{n}"), POOL, by_name) for n in range(30)]
        assert all(sent)


class TestAnnouncedLimits:
    def fleet(self, limits, size=3):
        names = frozenset(f"p{index}" for index in range(size))
        return [
            Placement(
                zone="a",
                limits=limits,
                rates=FleetRates(
                    sharing=lambda own=f"p{index}": ChosenSenders(own=own, names=names),
                    random=Random(index),
                    started=float("-inf"),
                ),
            )
            for index in range(size)
        ]

    def limited(self, **limit_by_upstream):
        limits = AnnouncedLimits()
        for name, limit in limit_by_upstream.items():
            limits.record_answer(name, limit, sent_at=0.0, now=0.0)
        return limits

    def placed(self, placements, by_name, service, *, seconds=4.0):
        """Return where requests go that come to all processes each 0.1 s."""
        rv = []
        for step in range(int(seconds * 10)):
            for index, placement in enumerate(placements):
                now = step / 10
                one = place(
                    placement, job(f"r{step}-{index}"), service, by_name, now=now
                )
                if one is not None:
                    placement.release(one)
                    rv.append(one.upstream.name)
        return rv

    def test_what_a_limited_upstream_does_not_get_others_serve(self):
        """Guards against a limited upstream that looks idle and draws the requests."""
        fleet = self.fleet(self.limited(u0=1.2))
        placed = self.placed(fleet, apps(3), APP)
        assert len(placed) == 120
        assert 0 < placed.count("u0") <= 1.5 * 4 * 1.2 + 5

    def test_several_limited_upstreams_are_each_spared(self):
        fleet = self.fleet(self.limited(u0=1.2, u1=0.0, u2=3.0))
        placed = self.placed(fleet, apps(3), APP)
        assert placed.count("u0") <= 1.5 * 4 * 1.2 + 5
        assert placed.count("u1") <= 5
        assert placed.count("u2") <= 1.5 * 4 * 3.0 + 5

    def test_a_cold_upstream_with_a_limit_keeps_to_the_lower_bound(self):
        """Guards against two counters of the same requests."""
        fleet = self.fleet(self.limited(e0=1.2))
        for placement in fleet:
            placement.set_cold("e0", 3.0, 0.0)
        by_name = {"e0": upstream("e0", service="pool", slots=64)}
        placed = self.placed(fleet, by_name, COLD_POOL)
        assert 0 < len(placed) <= 1.5 * 4 * 1.2 + 5

    def test_entries_that_say_warm_do_not_renew_what_is_left_of_a_limit(self):
        """Guards against a limit whose count begins anew with each change."""
        fleet = self.fleet(self.limited(u0=0.25), size=1)
        placed = []
        for step in range(40):
            fleet[0].set_cold("u0", 0.0, step / 10)
            one = place(fleet[0], job(f"r{step}"), APP, apps(1), now=step / 10)
            placed.append(one is not None)
        assert sum(placed) <= 2
