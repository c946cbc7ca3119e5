"""Which requests are queued for an upstream, and which are refused at once."""

from random import Random
from time import monotonic

import curio
import pytest
from tests.ingress.builders import job, upstream

from ragwortkeel.ingress.configuration import Service
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.dispatch import (
    RETRY_ELSEWHERE_SECONDS,
    Dispatcher,
    NotAssigned,
)
from ragwortkeel.ingress.placement import Placement
from ragwortkeel.policy.announced_limits import AnnouncedLimits
from ragwortkeel.policy.fleet_rates import (
    ChosenSenders,
    EqualShare,
    FleetRates,
    rate_fraction,
)

APP = Service(name="app", max_connections=96)
LATER = 30.0


def new_dispatcher(slots=1, limits=None, rates=None):
    directory = Directory()
    directory.merge_entry("u0", upstream("u0", slots=slots), version=1, now=0.0)
    placement = Placement(zone="a", limits=limits, rates=rates)
    return Dispatcher(directory=directory, placement=placement)


async def acquire(dispatcher, name, seconds=LATER):
    now = await curio.clock()
    return await dispatcher.acquire(job(name), service=APP, latest_start=now + seconds)


async def spawn_queued(dispatcher, count):
    """Queue `count` requests and return their tasks."""
    tasks = [
        await curio.spawn(acquire, dispatcher, f"w{i}", daemon=True)
        for i in range(count)
    ]
    while len(dispatcher.queue) < count:
        await curio.sleep(0.001)
    return tasks


def run(scenario):
    async def main():
        async with curio.timeout_after(20):
            return await scenario(new_dispatcher())

    return curio.run(main)


def test_a_request_that_would_start_too_late_is_refused_at_once():
    """Guards against callers that are held for half of their deadline, then refused.

    They have no time left to come back.  The service was full, 20 requests a second
    left the queue, and 100 were queued.
    """

    async def scenario(dispatcher):
        assigned = await acquire(dispatcher, "r0")
        tasks = await spawn_queued(dispatcher, 100)
        for index in range(20):
            await curio.sleep(0.05)
            await dispatcher.release(assigned)
            assigned = await tasks[index].join()
        refused = await acquire(dispatcher, "late", seconds=1.0)
        return refused, len(dispatcher.queue)

    refused, left = run(scenario)
    assert isinstance(refused, NotAssigned)
    assert refused.queued == left == 80
    assert refused.wait_seconds > 1.0


def test_all_requests_wait_while_the_queue_moves_fast():
    async def scenario(dispatcher):
        assigned = await acquire(dispatcher, "r0")
        tasks = await spawn_queued(dispatcher, 5)
        last = await curio.spawn(acquire, dispatcher, "last")
        for task in [*tasks, last]:
            await dispatcher.release(assigned)
            assigned = await task.join()
        return assigned

    assert not isinstance(run(scenario), NotAssigned)


def test_the_first_queued_request_waits_however_slow_the_queue_was():
    """Guards against a service that refuses all requests after one slow minute."""

    async def scenario(dispatcher):
        slow = dispatcher._waits("app")
        slow.record_queued(job("r").rank, queued=[], now=-1000.0)
        slow.record_dequeue(job("r").rank, 0.0)
        assigned = await acquire(dispatcher, "r0")
        first = await curio.spawn(acquire, dispatcher, "first", 5.0)
        while not len(dispatcher.queue):
            await curio.sleep(0.001)
        await dispatcher.release(assigned)
        return await first.join()

    assert not isinstance(run(scenario), NotAssigned)


class TestAllUpstreamsLimited:
    """Pattern of load: the limits of all upstreams are below what callers send."""

    def run(self, scenario, *, limit, processes):
        limits = AnnouncedLimits()
        limits.record_answer("u0", limit, sent_at=0.0, now=monotonic())
        rates = FleetRates(
            sharing=lambda: EqualShare(processes=processes),
            random=Random(3),
            started=float("-inf"),
        )

        async def main():
            async with curio.timeout_after(20):
                return await scenario(new_dispatcher(6, limits, rates))

        return curio.run(main)

    def test_a_request_that_would_wait_too_long_for_its_share_is_refused(self):
        """Guards against callers held until no upstream can serve them in time."""

        async def scenario(dispatcher):
            return await acquire(dispatcher, "r0", seconds=1.0)

        begun = monotonic()
        refused = self.run(scenario, limit=1.0, processes=30)
        assert isinstance(refused, NotAssigned)
        assert monotonic() - begun < 0.5
        assert refused.wait_seconds > 1.0
        assert refused.own_per_second == pytest.approx(1 / 30)

    def test_a_request_waits_for_a_share_that_is_due_in_time(self):
        """Guards against a limit that makes the process refuse all requests."""

        async def scenario(dispatcher):
            checking = await curio.spawn(dispatcher.run, daemon=True)
            first = await acquire(dispatcher, "r0", seconds=3.0)
            second = await acquire(dispatcher, "r1", seconds=3.0)
            await checking.cancel()
            return first, second

        first, second = self.run(scenario, limit=2.0, processes=1)
        assert not isinstance(first, NotAssigned)
        assert not isinstance(second, NotAssigned)

    def test_a_process_without_a_share_refuses_with_a_finite_wait(self):
        """Guards against an infinite Retry-After."""

        async def scenario(dispatcher):
            return await acquire(dispatcher, "r0", seconds=1.0)

        limits = AnnouncedLimits()
        limits.record_answer("u0", 0.0, sent_at=0.0, now=monotonic())
        names = frozenset(f"p{number}" for number in range(68))
        chosen = [
            name
            for name in names
            if rate_fraction(ChosenSenders(own=name, others=names), "u0", senders=3)
        ]
        own = sorted(names - set(chosen))[0]
        rates = FleetRates(
            sharing=lambda: ChosenSenders(own=own, others=names - {own}),
            random=Random(3),
            started=float("-inf"),
        )

        async def main():
            return await scenario(new_dispatcher(6, limits, rates))

        refused = curio.run(main)
        assert refused.wait_seconds == RETRY_ELSEWHERE_SECONDS
        assert refused.own_per_second == 0.0


class TestOneVersion:
    """Pattern of load: streams that only some upstreams of a service may continue."""

    def run(self, scenario):
        async def main():
            directory = Directory()
            for name, version in (("u1", "v1"), ("u2", "v2")):
                entry = upstream(name, slots=1, version=version)
                directory.merge_entry(name, entry, version=1, now=0.0)
            dispatcher = Dispatcher(directory=directory, placement=Placement(zone="a"))
            async with curio.timeout_after(20):
                return await scenario(dispatcher, directory)

        return curio.run(main)

    async def acquire(self, dispatcher, name, version=None, **options):
        return await dispatcher.acquire(
            job(name, version=version),
            service=APP,
            latest_start=monotonic() + LATER,
            **options,
        )

    async def queue(self, dispatcher, name, version):
        """Queue a request and return its task."""
        count = len(dispatcher.queue)
        task = await curio.spawn(self.acquire, dispatcher, name, version, daemon=True)
        while len(dispatcher.queue) == count:
            await curio.sleep(0.001)
        return task

    def test_it_is_assigned_to_its_version_only(self):
        async def scenario(dispatcher, directory):
            assigned = await self.acquire(dispatcher, "r1", "v2")
            return assigned.upstream.name

        assert self.run(scenario) == "u2"

    @pytest.mark.parametrize(
        ("version", "tried_upstreams"), [("v3", frozenset()), ("v1", frozenset({"u1"}))]
    )
    def test_without_an_untried_upstream_it_is_refused_at_once(
        self, version, tried_upstreams
    ):
        """Guards against a stream that waits for a version that may never return."""

        async def scenario(dispatcher, directory):
            return await self.acquire(
                dispatcher, "r1", version, tried_upstreams=tried_upstreams
            )

        refused = self.run(scenario)
        assert isinstance(refused, NotAssigned) and refused.lacks_version

    def test_its_wait_holds_back_no_request_that_may_run_elsewhere(self):
        """Guards against idle upstreams behind a stream whose version is full."""

        async def scenario(dispatcher, directory):
            await self.acquire(dispatcher, "r1", "v1")
            await self.queue(dispatcher, "waits", "v1")
            other = await self.acquire(dispatcher, "other")
            return other.upstream.name, len(dispatcher.queue)

        assert self.run(scenario) == ("u2", 1)

    def test_it_gets_the_next_slot_of_its_version_before_later_requests(self):
        """Guards against a stream that others pass for as long as they arrive."""

        async def scenario(dispatcher, directory):
            held = [await self.acquire(dispatcher, name) for name in ("r1", "r2")]
            first = await self.queue(dispatcher, "first", "v1")
            await self.queue(dispatcher, "later", None)
            for assignment in held:
                if assignment.upstream.name == "u1":
                    await dispatcher.release(assignment)
            return (await first.join()).upstream.name, len(dispatcher.queue)

        assert self.run(scenario) == ("u1", 1)

    def test_its_wait_ends_when_the_last_upstream_of_its_version_leaves(self):
        """Guards against a stream that waits until its deadline for what has left."""

        async def scenario(dispatcher, directory):
            await self.acquire(dispatcher, "r1", "v1")
            waits = await self.queue(dispatcher, "waits", "v1")
            directory.record_leaving("u1", started_ms=0)
            await dispatcher.assign_queued()
            return await waits.join()

        refused = self.run(scenario)
        assert isinstance(refused, NotAssigned) and refused.lacks_version
