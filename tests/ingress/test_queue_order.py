"""Which queued request goes first, and which may pass one that fits nowhere."""

from math import inf

import curio
import pytest
from tests.ingress.builders import engine_service, job, upstream

from ragwortkeel.ingress import dispatch, reservations
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.dispatch import Dispatcher, NotAssigned
from ragwortkeel.ingress.placement import Load, Placement
from ragwortkeel.policy.facts import Failure

POOL = engine_service("pool")
GIANT, LARGE, SMALL = 40_000, 59_900, 4_000


class Pool:
    """Engines of 92,000 usable tokens, each with one running request of `LARGE`.

    `e0` has 100 tokens less in use, so that it is the one to be reserved.
    """

    def __init__(self, engines=2):
        self.directory = Directory()
        for index in range(engines):
            entry = upstream(f"e{index}", service="pool", slots=64)
            self.directory.merge_entry(entry.name, entry, version=1, now=0.0)
        self.placement = Placement(zone="a")
        self.dispatcher = Dispatcher(directory=self.directory, placement=self.placement)
        self.customer = "large"
        self.running = {}
        self.order = []

    async def fill(self):
        others = [n for n in self.directory.usable(service="pool") if n != "e0"]
        load = dict.fromkeys(others, Load(running=1, memory_tokens=100))
        self.placement.merge_loads("other", load, inf)
        for index in range(len(self.directory.usable(service="pool"))):
            assigned = await self.acquire(f"large{index}", LARGE)
            self.running[assigned.upstream.name] = assigned

    async def acquire(self, name, tokens=SMALL, priority=5, seconds=9.0):
        now = await curio.clock()
        rv = await self.dispatcher.acquire(
            job(name, "pool", prompt=tokens, priority=priority, customer=self.customer),
            service=POOL,
            latest_start=now + seconds,
        )
        self.order.append(name)
        return rv

    async def queue(self, name, tokens=SMALL, priority=5, seconds=9.0):
        queued = len(self.dispatcher.queue)
        task = await curio.spawn(
            self.acquire, name, tokens, priority, seconds, daemon=True
        )
        while len(self.dispatcher.queue) == queued:
            await curio.sleep(0)
        await self.dispatcher.assign_queued()
        return task

    async def at_once(self, name, tokens=SMALL, priority=5):
        """Return the upstream that the request is assigned to, None if it waits."""
        async with curio.ignore_after(0.02):
            return (await self.acquire(name, tokens, priority)).upstream.name
        return None


def run(scenario, engines=2):
    async def main():
        async with curio.timeout_after(10):
            pool = Pool(engines)
            await pool.fill()
            return await scenario(pool)

    return curio.run(main)


class TestGiantRequest:
    def test_small_requests_pass_it_at_the_other_upstreams(self):
        """Guards against head-of-line blocking by one giant request."""

        async def scenario(pool):
            await pool.queue("giant", GIANT)
            return [await pool.at_once(f"s{i}") for i in range(10)]

        assert run(scenario) == ["e1"] * 8 + [None] * 2

    def test_queued_small_requests_pass_it_when_room_becomes_free(self):
        async def scenario(pool):
            small = [await pool.acquire(f"s{i}") for i in range(2)]
            await pool.queue("giant", GIANT)
            task = await pool.queue("middle", GIANT - 2 * SMALL)
            for assigned in small:
                await pool.dispatcher.release(assigned)
            return (await task.join()).upstream.name

        assert run(scenario) == "e1"

    def test_small_requests_do_not_starve_it(self):
        """Guards against small requests that take each bit of memory that is freed."""

        async def scenario(pool):
            giant = await pool.queue("giant", GIANT)
            for index in range(10):
                await pool.at_once(f"s{index}")
            await pool.dispatcher.release(pool.running["e0"])
            return (await giant.join()).upstream.name

        assert run(scenario) == "e0"

    def test_a_more_urgent_request_uses_the_reserved_upstream(self):
        async def scenario(pool):
            await pool.queue("giant", GIANT)
            return [await pool.at_once(f"s{i}", priority=1) for i in range(16)]

        assert set(run(scenario)) == {"e0", "e1"}

    @pytest.mark.parametrize("gone", ["ejected", "leaves", "evacuated"])
    def test_another_upstream_is_reserved_if_its_one_is_gone(self, gone):
        """Guards against a request that waits for good for an upstream that is gone."""

        async def scenario(pool):
            giant = await pool.queue("giant", GIANT)
            if gone == "ejected":
                now = await curio.clock()
                pool.placement.record_failure("e0", Failure.UNREACHABLE, now)
            elif gone == "leaves":
                pool.directory.record_leaving("e0", started_ms=10**15)
            else:
                entry = upstream("e0", service="pool", slots=64, zone="b")
                pool.directory.merge_entry("e0", entry, version=2, now=0.0)
                pool.directory.evacuated_zones = frozenset("b")
            await pool.dispatcher.assign_queued()
            passed = await pool.at_once("small")
            await pool.dispatcher.release(pool.running["e1"])
            return passed, (await giant.join()).upstream.name

        assert run(scenario) == (None, "e1")

    def test_its_upstream_is_free_for_others_once_its_caller_left(self):
        async def scenario(pool):
            giant = await pool.queue("giant", GIANT)
            await giant.cancel()
            return {await pool.at_once(f"s{i}") for i in range(16)}

        assert run(scenario) == {"e0", "e1"}

    def test_small_requests_of_peers_do_not_starve_it(self, monkeypatch):
        """Guards against peers that fill the memory that becomes free for it."""

        async def scenario(pool):
            peer = Pool()
            await pool.queue("giant", GIANT)
            now = dispatch.monotonic()
            monkeypatch.setattr(dispatch, "monotonic", lambda: now + 0.6)
            await pool.dispatcher.assign_queued()
            peer.placement.merge_loads("a", pool.placement.own_loads(), now + 9.0)
            at_peer = [await peer.at_once(f"s{index}") for index in range(8)]
            await pool.dispatcher.release(pool.running["e0"])
            return set(at_peer), set(pool.placement.own_loads())

        assert run(scenario) == ({"e1"}, {"e0", "e1"})

    def test_a_burst_of_giant_requests_reserves_one_upstream(self):
        """Guards against giant requests that withhold a whole service from others."""

        async def scenario(pool):
            for index in range(5):
                await pool.queue(f"giant{index}", GIANT)
            return {await pool.at_once(f"s{i}") for i in range(14)}

        assert run(scenario, engines=3) == {"e1", "e2"}


def test_reservations_are_logged_at_a_bounded_rate(monkeypatch):
    """Guards against a saturated service that fills the log with reservations."""
    lines = []
    monkeypatch.setattr(reservations, "log_info", lambda _, **line: lines.append(line))

    async def scenario(pool):
        now = int(dispatch.monotonic()) + 0.5
        monkeypatch.setattr(dispatch, "monotonic", lambda: now)
        for index in range(5):
            giant = await pool.queue(f"giant{index}", GIANT)
            await giant.cancel()

    run(scenario)
    assert [line["change"] for line in lines] == ["begun", "removed"] * 2
    assert (lines[0]["request"], lines[0]["upstream"]) == ("giant0", "e0")
    assert lines[0]["missing"] == GIANT + LARGE - 92_000


class TestWithoutGiantRequests:
    def test_with_one_upstream_the_order_is_that_of_arrival(self):
        """Guards against requests that pass others where there is nothing to gain."""

        async def scenario(pool):
            await pool.queue("giant", GIANT)
            passed = await pool.at_once("small")
            await pool.queue("next")
            await pool.dispatcher.release(pool.running["e0"])
            await curio.sleep(0.02)
            return passed, pool.order[1:]

        assert run(scenario, engines=1) == (None, ["giant", "next"])

    def test_with_one_upstream_a_customer_with_fewer_running_requests_goes_first(self):
        """Guards against a reservation that reverses the order between customers."""

        async def scenario(pool):
            await pool.queue("of-large", GIANT)
            pool.customer = "small"
            return await pool.at_once("of-small")

        assert run(scenario, engines=1) == "e0"

    @pytest.mark.parametrize("tokens", [SMALL, SMALL - 1])
    def test_a_new_request_does_not_pass_queued_ones_of_about_its_size(self, tokens):
        """Guards against room that goes to whoever arrives just as it becomes free."""

        async def scenario(pool):
            room = dict.fromkeys(pool.running, Load(running=7, memory_tokens=28_000))
            full = dict.fromkeys(pool.running, Load(running=1, memory_tokens=SMALL))
            now = await curio.clock()
            pool.placement.merge_loads("peer0", room, now + 9.0)
            pool.placement.merge_loads("peer1", full, now + 0.1)
            for index in range(3):
                await pool.queue(f"queued{index}")
            await curio.sleep(0.15)
            new = await pool.at_once("new", tokens)
            await pool.dispatcher.assign_queued()
            await curio.sleep(0.01)
            return new, pool.order[2:]

        assert run(scenario) == (None, ["queued0", "queued1"])


def test_a_large_request_is_refused_by_the_rate_of_large_ones(monkeypatch):
    """Guards against large requests held till it is too late, as small ones pass."""

    async def scenario(pool):
        now = dispatch.monotonic()
        for index in range(10):
            await pool.queue(f"queued{index}", LARGE, seconds=40.0)
        monkeypatch.setattr(dispatch, "monotonic", lambda: now + 30.0)
        for index in range(60):
            small = await pool.acquire(f"s{index}", seconds=31.0)
            await pool.dispatcher.release(small)
        late = await curio.spawn(pool.acquire, "late", LARGE, 5, 31.0, daemon=True)
        await curio.sleep(0.02)
        return late.terminated

    assert run(scenario)


def test_a_request_that_becomes_the_first_waits_however_slow_the_queue_was(monkeypatch):
    """Guards against a refusal by the rate of requests that have just been assigned."""

    async def scenario(pool):
        now = dispatch.monotonic()
        full = {"e0": Load(running=1, memory_tokens=28_100)}
        pool.placement.merge_loads("peer", full, now + 50.0)
        await pool.queue("queued", 20_000, seconds=61.0)
        monkeypatch.setattr(dispatch, "monotonic", lambda: now + 60.0)
        new = await curio.spawn(pool.acquire, "new", 15_000, 5, 61.0, daemon=True)
        await curio.sleep(0.02)
        return pool.order[1:], new.terminated

    assert run(scenario, engines=1) == (["queued"], False)


def test_a_stalled_burst_of_least_urgent_requests_refuses_no_urgent_one(monkeypatch):
    """Guards against an estimate by the rate of requests that an urgent one passes."""

    async def scenario(pool):
        clock = [dispatch.monotonic()]
        monkeypatch.setattr(dispatch, "monotonic", lambda: clock[0])
        for index in range(30):
            await pool.queue(f"batch{index}", LARGE, priority=9)
        clock[0] += 60.0
        await pool.queue("urgent0", LARGE, priority=0, seconds=69.0)
        urgent = await curio.spawn(pool.acquire, "urgent1", LARGE, 0, 62.0, daemon=True)
        await curio.sleep(0.02)
        refused = urgent.terminated
        clock[0] += 60.0
        late = await pool.acquire("batch", LARGE, 9, 121.0)
        return refused, isinstance(late, NotAssigned)

    assert run(scenario) == (False, True)
