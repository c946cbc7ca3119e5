"""Patterns of load: shared prefixes, saturation, failing upstreams, many processes."""

from collections import Counter
from random import Random

import msgspec
import pytest
from tests.ingress.builders import ENGINE, engine_service, job, upstream

from ragwortkeel.ingress.placement import Load, Placement
from ragwortkeel.policy.announced_limits import AnnouncedLimits
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.fleet_rates import ChosenSenders, EqualShare, FleetRates
from ragwortkeel.policy.upstream_speed import SpeedReport, UpstreamSpeeds

APP = engine_service("app").__class__(name="app", max_connections=96)
POOL = engine_service("pool")


def apps(count=3, slots=6):
    return {f"u{i}": upstream(f"u{i}", slots=slots) for i in range(count)}


def engines(count=3):
    names = [f"e{i}" for i in range(count)]
    return {n: upstream(n, service="pool", slots=64) for n in names}


def assign_job(
    placement, request, service, upstream_by_name, now=0.0, tried=frozenset()
):
    return placement.assign(
        request,
        service=service,
        upstream_by_name=upstream_by_name,
        now=now,
        tried_upstreams=tried,
    )


class TestHeadroom:
    def test_a_full_service_assigns_again_after_a_release(self):
        placement = Placement(zone="a")
        assigned = [
            assign_job(placement, job(f"r{i}"), APP, apps(count=1, slots=2))
            for i in range(3)
        ]
        assert assigned[2] is None
        placement.release(assigned[0])
        assert assign_job(placement, job("r9"), APP, apps(count=1, slots=2))

    def test_plain_requests_spread_over_upstreams(self):
        placement = Placement(zone="a")
        counts = Counter(
            assign_job(placement, job(f"r{i}"), APP, apps()).upstream.name
            for i in range(9)
        )
        assert set(counts.values()) == {3}

    def test_loads_of_peers_count_until_they_expire(self):
        """Guards against a burst at an upstream that looks idle to each process."""
        placement = Placement(zone="a")
        placement.merge_loads("other", {"u0": Load(running=4)}, 2.0)
        assert assign_job(placement, job(), APP, apps(count=1, slots=2)) is None
        assert assign_job(placement, job(), APP, apps(count=1, slots=2), now=2.1)

    def test_one_assignment_of_each_peer_does_not_fill_an_upstream(self):
        """Guards against requests that are queued for an upstream that is hardly busy.

        Each peer had a request on a slow link to the upstream.  All slots counted as
        taken, while the upstream worked on one request at a time.
        """
        placement = Placement(zone="a")
        for node in range(6):
            placement.merge_loads(f"i{node}", {"u0": Load(running=1)}, 2.0)
        assert assign_job(placement, job(), APP, apps(count=1, slots=6))

    def test_an_engine_is_full_by_memory_before_its_slots(self):
        """Guards against streams that break off as the engine has no memory left."""
        placement = Placement(zone="a")
        size = ENGINE.memory_tokens // 3
        assigned = [
            assign_job(placement, job(f"r{i}", "pool", prompt=size), POOL, engines(1))
            for i in range(3)
        ]
        assert assigned[2] is None

    def test_a_request_larger_than_the_memory_bound_runs_alone(self):
        placement = Placement(zone="a")
        huge = job("r1", "pool", prompt=ENGINE.memory_tokens)
        assert assign_job(placement, huge, POOL, engines(1))


def chat(index, shared="s1", tokens=4_000):
    blocks = ((shared, tokens), (f"o{index}", 50))
    return job(f"r{index}", "pool", blocks=blocks, prompt=tokens + 50)


class TestReportedPromptBlocks:
    def test_a_prompt_goes_to_the_engine_that_read_it_for_a_peer(self):
        """Guards against shared blocks that each engine of the service has to read.

        The first engine in rendezvous order was busy, so one process chose another.
        Its peers still chose the first one, which had to read the blocks too.
        """
        sender, peer = Placement(zone="a"), Placement(zone="a")
        first = assign_job(peer, chat(0), POOL, engines()).upstream.name
        others = {n: u for n, u in engines().items() if n != first}
        elsewhere = assign_job(sender, chat(1), POOL, others).upstream.name
        fresh = Placement(zone="a")
        for name, blocks in sender.drain_prompt_blocks().items():
            fresh.merge_prompt_blocks(name, blocks)
        assigned = assign_job(fresh, chat(2), POOL, engines())
        assert assigned.upstream.name == elsewhere
        assert assigned.unread_tokens == 50

    def test_new_blocks_are_reported_once_and_all_to_a_new_process(self):
        sender = Placement(zone="a")
        assign_job(sender, chat(0), POOL, engines())
        new_blocks = sender.drain_prompt_blocks()
        assert [len(blocks) for blocks in new_blocks.values()] == [1]
        assert sender.drain_prompt_blocks() == {}
        assert sender.all_prompt_blocks() == new_blocks

    def test_a_restart_discards_reported_blocks(self):
        sender, peer = Placement(zone="a"), Placement(zone="a")
        assign_job(sender, chat(0), POOL, engines(1))
        assign_job(
            peer, chat(1), POOL, {"e0": upstream("e0", service="pool", started_ms=1)}
        )
        for name, blocks in sender.drain_prompt_blocks().items():
            peer.merge_prompt_blocks(name, blocks)
        restarted = {"e0": upstream("e0", service="pool", started_ms=2)}
        assert assign_job(peer, chat(2), POOL, restarted).unread_tokens == 4_050

    def test_the_last_block_of_a_prompt_is_not_reported(self):
        sender = Placement(zone="a")
        assign_job(
            sender, job("r", "pool", blocks=(("o", 900),), prompt=900), POOL, engines()
        )
        assert sender.drain_prompt_blocks() == {}


class TestPrefixes:
    def test_prompts_go_to_the_engine_that_read_their_shared_block(self):
        placement = Placement(zone="a")
        names = set()
        for i in range(12):
            request = job(
                f"r{i}", "pool", blocks=(("s", 5000), (f"own{i}", 500)), prompt=5500
            )
            assigned = assign_job(placement, request, POOL, engines())
            placement.record_first_token(assigned)
            names.add(assigned.upstream.name)
            placement.release(assigned)
        assert len(names) == 1

    def test_two_processes_choose_the_same_engine_for_a_new_block(self):
        request = job("r1", "pool", blocks=(("s", 5000), ("own", 500)), prompt=5500)
        names = {
            assign_job(Placement(zone=zone), request, POOL, engines()).upstream.name
            for zone in ("a", "b")
        }
        assert len(names) == 1

    def test_a_popular_prefix_is_spread_before_its_engine_is_full(self):
        """Guards against one engine that gets all prompts with a popular prefix.

        A quarter of all prompts may share one prefix.
        """
        placement = Placement(zone="a")
        counts = Counter()
        for i in range(30):
            request = job(
                f"r{i}", "pool", blocks=(("s", 500), (f"own{i}", 2000)), prompt=2500
            )
            assigned = assign_job(placement, request, POOL, engines())
            if assigned:
                counts[assigned.upstream.name] += 1
        assert len(counts) == 3

    def test_a_restart_empties_the_prefix_cache(self):
        placement = Placement(zone="a")
        request = job("r1", "pool", blocks=(("s", 5000), ("own", 500)), prompt=5500)
        placement.release(assign_job(placement, request, POOL, engines(1)))
        again = assign_job(placement, request, POOL, engines(1))
        assert again.unread_tokens == 0
        placement.release(again)
        restarted = {"e0": upstream("e0", service="pool", slots=64, started_ms=7)}
        assert assign_job(placement, request, POOL, restarted).unread_tokens == 5500


class TestFailures:
    def test_an_unreachable_upstream_is_ejected(self):
        """Guards against an upstream that refuses connections and so looks idle."""
        placement = Placement(zone="a")
        placement.record_failure("u0", Failure.UNREACHABLE, 0.0)
        names = {
            assign_job(placement, job(f"r{i}"), APP, apps(), now=0.1).upstream.name
            for i in range(6)
        }
        assert names == {"u1", "u2"}

    def test_tried_upstreams_are_excluded(self):
        placement = Placement(zone="a")
        assigned = assign_job(placement, job(), APP, apps(2), tried=frozenset({"u0"}))
        assert assigned.upstream.name == "u1"
        assert (
            assign_job(placement, job(), APP, apps(1), tried=frozenset({"u0"})) is None
        )


COLD_POOL = msgspec.structs.replace(POOL, cold_seconds=3.0, cold_per_second=10.0)


class TestColdUpstreams:
    def fleet(self, size):
        """Return the placements of `size` processes, which know their number."""
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

        Each process assigns a request every 0.1 s, and reports none to its peers.
        """
        by_name = {n: upstream(n, service="pool", slots=64) for n in (*cold, *warm)}
        for placement in placements:
            for name in cold:
                placement.set_cold(name, 3.0, 0.0)
        sent = {name: [] for name in cold}
        for step in range(int(seconds * 10)):
            for index, placement in enumerate(placements):
                now = step / 10 + index / len(placements) / 10
                request = job(
                    f"r{step}-{index}", blocks=(("p", 500), ("q", 9)), prompt=509
                )
                assigned = assign_job(placement, request, COLD_POOL, by_name, now=now)
                if assigned is not None:
                    sent.get(assigned.upstream.name, []).append(now)
        return max(
            sum(first <= at < first + 1.0 for at in times)
            for times in sent.values()
            for first in times or [0.0]
        )

    @pytest.mark.parametrize("size", [5, 30, 68])
    def test_an_idle_cold_upstream_is_not_overloaded(self, size):
        """Guards against the crash of an upstream that all processes choose at once."""
        most = self.most_in_a_second(self.fleet(size), ["e0"], warm=["e1", "e2"])
        assert most <= 20

    @pytest.mark.parametrize("size", [5, 30, 68])
    def test_a_popular_prefix_does_not_overload_a_cold_zone(self, size):
        """Guards against a prefix that draws all processes to one cold upstream."""
        cold = [f"e{number}" for number in range(9)]
        assert self.most_in_a_second(self.fleet(size), cold, warm=["w0", "w1"]) <= 20

    def test_a_service_with_only_cold_upstreams_is_served(self):
        cold = [f"e{number}" for number in range(6)]
        assert 0 < self.most_in_a_second(self.fleet(30), cold) <= 20

    def test_the_service_bounds_the_cold_period_of_an_entry(self):
        """Guards against a huge cold time that excludes an upstream for ever."""
        [placement] = self.fleet(1)
        by_name = {"e0": upstream("e0", service="pool", slots=64)}
        placement.set_cold("e0", 1e12, 0.0)
        sent = [
            assign_job(placement, job(f"r{n}"), COLD_POOL, by_name, now=3.01)
            for n in range(20)
        ]
        assert all(sent)

    def test_an_upstream_is_cold_after_it_was_unreachable(self):
        """Guards against overload by a restart that the entry does not show yet."""
        [placement] = self.fleet(1)
        by_name = {"e0": upstream("e0", service="pool", slots=64)}
        assign_job(placement, job("r0"), COLD_POOL, by_name, now=0.0)
        placement.record_failure("e0", Failure.UNREACHABLE, 0.0)
        assigned = None
        now = 1.0
        while assigned is None:
            now += 0.01
            assigned = assign_job(placement, job("probe"), COLD_POOL, by_name, now=now)
        placement.record_success("e0", now)
        sent = [
            assign_job(placement, job(f"r{n}"), COLD_POOL, by_name, now=now + n / 100)
            for n in range(1, 101)
        ]
        assert sum(assignment is not None for assignment in sent) <= 10

    def test_all_processes_use_an_upstream_that_is_reached_again(self):
        """Guards against a process that uses no upstream after a network partition.

        The process is one of 30, of which few are chosen senders of each upstream.
        """
        names = frozenset(f"other-{number}" for number in range(29))
        placement = Placement(
            zone="a",
            rates=FleetRates(
                sharing=lambda: ChosenSenders(own="own", others=names),
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
            assigned = assign_job(
                placement, job(f"r{step}"), COLD_POOL, by_name, now=now
            )
            if assigned is not None:
                placement.record_success(assigned.upstream.name, now)
                placement.release(assigned)
                reached.add(assigned.upstream.name)
        assert reached == set(by_name)

    def test_a_service_without_a_bound_is_not_limited(self):
        [placement] = self.fleet(1)
        by_name = engines(count=1)
        placement.set_cold("e0", 3.0, 0.0)
        sent = [assign_job(placement, job(f"r{n}"), POOL, by_name) for n in range(30)]
        assert all(sent)


class TestAnnouncedLimits:
    def fleet(self, limits, size=3):
        names = frozenset(f"p{index}" for index in range(size))
        return [
            Placement(
                zone="a",
                limits=limits,
                rates=FleetRates(
                    sharing=lambda own=f"p{index}": ChosenSenders(
                        own=own, others=names
                    ),
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

    def assigned_upstreams(self, placements, by_name, service, *, seconds=4.0):
        """Return the upstreams of the requests, if each process has one every 0.1 s."""
        rv = []
        for step in range(int(seconds * 10)):
            for index, placement in enumerate(placements):
                now = step / 10
                assignment = assign_job(
                    placement, job(f"r{step}-{index}"), service, by_name, now=now
                )
                if assignment is not None:
                    placement.release(assignment)
                    rv.append(assignment.upstream.name)
        return rv

    def test_other_upstreams_serve_what_exceeds_a_limit(self):
        """Guards against a limited upstream that looks idle and draws the requests."""
        fleet = self.fleet(self.limited(u0=1.2))
        assigned = self.assigned_upstreams(fleet, apps(3), APP)
        assert len(assigned) == 120
        assert 0 < assigned.count("u0") <= 1.5 * 4 * 1.2 + 5

    def test_each_of_several_limits_is_respected(self):
        fleet = self.fleet(self.limited(u0=1.2, u1=0.0, u2=3.0))
        assigned = self.assigned_upstreams(fleet, apps(3), APP)
        assert assigned.count("u0") <= 1.5 * 4 * 1.2 + 5
        assert assigned.count("u1") <= 5
        assert assigned.count("u2") <= 1.5 * 4 * 3.0 + 5

    def test_a_cold_upstream_with_a_limit_gets_the_lower_rate(self):
        """Guards against requests that are counted separately for the two bounds."""
        fleet = self.fleet(self.limited(e0=1.2))
        for placement in fleet:
            placement.set_cold("e0", 3.0, 0.0)
        by_name = {"e0": upstream("e0", service="pool", slots=64)}
        assigned = self.assigned_upstreams(fleet, by_name, COLD_POOL)
        assert 0 < len(assigned) <= 1.5 * 4 * 1.2 + 5

    def test_marking_an_upstream_as_warm_keeps_the_count_of_its_limit(self):
        """Guards against a limit whose count restarts with each change of an entry."""
        fleet = self.fleet(self.limited(u0=0.25), size=1)
        assigned = []
        for step in range(40):
            fleet[0].set_cold("u0", 0.0, step / 10)
            assignment = assign_job(
                fleet[0], job(f"r{step}"), APP, apps(1), now=step / 10
            )
            assigned.append(assignment is not None)
        assert sum(assigned) <= 2


class TestMeasuredSpeeds:
    def test_a_slow_upstream_gets_less_work_but_some(self):
        """Guards against work by load alone, which queues at the slow upstreams."""
        for service, upstream_by_name in ((APP, apps(slots=64)), (POOL, engines())):
            speeds = UpstreamSpeeds()
            speeds.set_upstreams(
                {(n, 0): service.name for n in upstream_by_name}, now=0
            )
            slow, *others = upstream_by_name
            report = SpeedReport(
                slowness_by_upstream={slow: 3.5}, samples_by_upstream={slow: 8.0}
            )
            speeds.update([report], now=0.0)
            placement = Placement(zone="a", speeds=speeds)
            counts = Counter(
                assign_job(
                    placement, job(f"r{n}", prompt=300), service, upstream_by_name
                ).upstream.name
                for n in range(60)
            )
            assert 4 <= counts[slow] <= 12
            assert all(counts[name] >= 22 for name in others)
