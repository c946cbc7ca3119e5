"""Patterns of load: shared prefixes, saturation, failing upstreams, many choosers."""

from collections import Counter

from tests.ingress.builders import ENGINE, engine_service, job, upstream

from ragwortkeel.ingress.placement import Load, Placement
from ragwortkeel.policy.facts import Failure

APP = engine_service("app").__class__(name="app", max_connections=96)
POOL = engine_service("pool")


def apps(count=3, slots=6):
    return {f"u{i}": upstream(f"u{i}", slots=slots) for i in range(count)}


def engines(count=3):
    names = [f"e{i}" for i in range(count)]
    return {n: upstream(n, service="pool", slots=64) for n in names}


def place(placement, one, service, upstream_by_name, now=0.0, tried=frozenset()):
    return placement.choose(
        one,
        service=service,
        upstream_by_name=upstream_by_name,
        now=now,
        tried=tried,
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
        placement.heard("other", {"u0": Load(running=4)}, 2.0)
        assert place(placement, job(), APP, apps(count=1, slots=2)) is None
        assert place(placement, job(), APP, apps(count=1, slots=2), now=2.1)

    def test_places_that_slow_processes_hold_keep_nobody_away(self):
        """Half of the requests wait at one upstream that is hardly busy.

        Each of its peers had a request on a slow link there; all slots were counted
        as taken, while the upstream worked on one request at a time.
        """
        placement = Placement(zone="a")
        for node in range(6):
            placement.heard(f"i{node}", {"u0": Load(running=1)}, 2.0)
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
        for name, parts in one.news().items():
            fresh.heard_parts(name, parts)
        placed = place(fresh, chat(2), POOL, engines())
        assert placed.upstream.name == elsewhere
        assert placed.unread_tokens == 50

    def test_what_was_told_is_told_once_and_again_to_a_new_process(self):
        one = Placement(zone="a")
        place(one, chat(0), POOL, engines())
        news = one.news()
        assert [len(parts) for parts in news.values()] == [1]
        assert one.news() == {}
        assert one.all_parts() == news

    def test_a_restarted_engine_holds_nothing_that_was_told(self):
        one, peer = Placement(zone="a"), Placement(zone="a")
        place(one, chat(0), POOL, engines(1))
        place(peer, chat(1), POOL, {"e0": upstream("e0", service="pool", born=1)})
        for name, parts in one.news().items():
            peer.heard_parts(name, parts)
        reborn = {"e0": upstream("e0", service="pool", born=2)}
        assert place(peer, chat(2), POOL, reborn).unread_tokens == 4_050

    def test_the_own_part_of_a_request_is_told_to_nobody(self):
        one = Placement(zone="a")
        place(one, job("r", "pool", parts=(("o", 900),), prompt=900), POOL, engines())
        assert one.news() == {}


class TestPrefixes:
    def test_prompts_with_a_shared_part_go_where_it_was_read(self):
        placement = Placement(zone="a")
        names = set()
        for i in range(12):
            one = job(
                f"r{i}", "pool", parts=(("s", 5000), (f"own{i}", 500)), prompt=5500
            )
            placed = place(placement, one, POOL, engines())
            placement.begun(placed)
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
        reborn = {"e0": upstream("e0", service="pool", slots=64, born=7)}
        assert place(placement, one, POOL, reborn).unread_tokens == 5500


class TestFailures:
    def test_an_unreachable_upstream_is_left_alone(self):
        """An upstream that refuses connections fails fast and so looks idle."""
        placement = Placement(zone="a")
        placement.failed("u0", Failure.UNREACHABLE, 0.0)
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
