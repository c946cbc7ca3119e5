"""Requests that wait for places: who waits, who is told at once."""

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
    share_of_rate,
)

APP = Service(name="app", max_connections=96)
LATER = 30.0


def dispatcher(slots=1, limits=None, rates=None):
    directory = Directory()
    directory.written("u0", upstream("u0", slots=slots), version=1, now=0.0)
    placement = Placement(zone="a", limits=limits, rates=rates)
    return Dispatcher(directory=directory, placement=placement)


async def acquire(places, name, seconds=LATER):
    now = await curio.clock()
    return await places.acquire(job(name), service=APP, latest_start=now + seconds)


async def waiting(places, count):
    """Let so many requests wait, and return their tasks."""
    tasks = [
        await curio.spawn(acquire, places, f"w{i}", daemon=True) for i in range(count)
    ]
    while len(places.queue) < count:
        await curio.sleep(0.001)
    return tasks


def run(scenario):
    async def main():
        async with curio.timeout_after(20):
            return await scenario(dispatcher())

    return curio.run(main)


def test_a_request_whose_turn_comes_too_late_is_told_at_once():
    """Callers are held for half of their deadline, then refused, and can't return.

    The service was full; turns came twenty times a second, and a hundred waited.
    """

    async def scenario(places):
        placed = await acquire(places, "r0")
        tasks = await waiting(places, 100)
        for index in range(20):
            await curio.sleep(0.05)
            await places.release(placed)
            placed = await tasks[index].join()
        refused = await acquire(places, "late", seconds=1.0)
        return refused, len(places.queue)

    refused, left = run(scenario)
    assert isinstance(refused, NotAssigned)
    assert refused.queued == left == 80
    assert refused.wait_seconds > 1.0


def test_while_turns_come_quickly_all_wait():
    async def scenario(places):
        placed = await acquire(places, "r0")
        tasks = await waiting(places, 5)
        last = await curio.spawn(acquire, places, "last")
        for task in [*tasks, last]:
            await places.release(placed)
            placed = await task.join()
        return placed

    assert not isinstance(run(scenario), NotAssigned)


def test_the_first_in_line_waits_however_slow_turns_were():
    """A service refuses everybody for good after one slow minute."""

    async def scenario(places):
        places._dequeue_intervals("app").taken(1000.0, 0.0)
        placed = await acquire(places, "r0")
        first = await curio.spawn(acquire, places, "first", 5.0)
        while not len(places.queue):
            await curio.sleep(0.001)
        await places.release(placed)
        return await first.join()

    assert not isinstance(run(scenario), NotAssigned)


class TestAllUpstreamsLimited:
    """Pattern of load: all upstreams of a service ask for less than callers send."""

    def run(self, scenario, *, limit, processes):
        limits = AnnouncedLimits()
        limits.answered("u0", limit, sent_at=0.0, now=monotonic())
        rates = FleetRates(
            sharing=lambda: EqualShare(processes=processes),
            random=Random(3),
            started=float("-inf"),
        )

        async def main():
            async with curio.timeout_after(20):
                return await scenario(dispatcher(6, limits, rates))

        return curio.run(main)

    def test_a_request_that_would_wait_too_long_for_its_part_is_told_at_once(self):
        """Guards against callers held until nothing can serve them in time."""

        async def scenario(places):
            return await acquire(places, "r0", seconds=1.0)

        begun = monotonic()
        refused = self.run(scenario, limit=1.0, processes=30)
        assert isinstance(refused, NotAssigned)
        assert monotonic() - begun < 0.5
        assert refused.wait_seconds > 1.0
        assert refused.own_per_second == pytest.approx(1 / 30)

    def test_a_request_whose_part_comes_in_time_waits_for_it(self):
        """Guards against a limit that is taken for a closed door."""

        async def scenario(places):
            looking = await curio.spawn(places.run, daemon=True)
            first = await acquire(places, "r0", seconds=3.0)
            second = await acquire(places, "r1", seconds=3.0)
            await looking.cancel()
            return first, second

        first, second = self.run(scenario, limit=2.0, processes=1)
        assert not isinstance(first, NotAssigned)
        assert not isinstance(second, NotAssigned)

    def test_where_all_is_others_to_send_callers_are_told_to_try_another(self):
        """Guards against a Retry-After without an end."""

        async def scenario(places):
            return await acquire(places, "r0", seconds=1.0)

        limits = AnnouncedLimits()
        limits.answered("u0", 0.0, sent_at=0.0, now=monotonic())
        names = frozenset(f"p{number}" for number in range(68))
        chosen = [
            name
            for name in names
            if share_of_rate(ChosenSenders(own=name, names=names), "u0", senders=3)
        ]
        own = sorted(names - set(chosen))[0]
        rates = FleetRates(
            sharing=lambda: ChosenSenders(own=own, names=names - {own}),
            random=Random(3),
            started=float("-inf"),
        )

        async def main():
            return await scenario(dispatcher(6, limits, rates))

        refused = curio.run(main)
        assert refused.wait_seconds == RETRY_ELSEWHERE_SECONDS
        assert refused.own_per_second == 0.0
