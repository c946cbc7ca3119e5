"""Requests that wait for places: who waits, who is told at once."""

import curio
from tests.ingress.builders import job, upstream

from ragwortkeel.ingress.configuration import Service
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.dispatch import Dispatcher, NoRoom
from ragwortkeel.ingress.placement import Placement

APP = Service(name="app", max_connections=96)
LATER = 30.0


def dispatcher(slots=1):
    directory = Directory()
    directory.written("u0", upstream("u0", slots=slots), version=1, now=0.0)
    return Dispatcher(directory=directory, placement=Placement(zone="a"))


async def acquire(places, name, seconds=LATER):
    now = await curio.clock()
    return await places.acquire(job(name), service=APP, latest_start=now + seconds)


async def waiting(places, count):
    """Let so many requests wait, and return their tasks."""
    tasks = [
        await curio.spawn(acquire, places, f"w{i}", daemon=True) for i in range(count)
    ]
    while len(places.room) < count:
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
        return refused, len(places.room)

    refused, left = run(scenario)
    assert isinstance(refused, NoRoom)
    assert refused.waiting == left == 80
    assert refused.seconds > 1.0


def test_while_turns_come_quickly_all_wait():
    async def scenario(places):
        placed = await acquire(places, "r0")
        tasks = await waiting(places, 5)
        last = await curio.spawn(acquire, places, "last")
        for task in [*tasks, last]:
            await places.release(placed)
            placed = await task.join()
        return placed

    assert not isinstance(run(scenario), NoRoom)


def test_the_first_in_line_waits_however_slow_turns_were():
    """A service refuses everybody for good after one slow minute."""

    async def scenario(places):
        places._turns("app").taken(1000.0, 0.0)
        placed = await acquire(places, "r0")
        first = await curio.spawn(acquire, places, "first", 5.0)
        while not len(places.room):
            await curio.sleep(0.001)
        await places.release(placed)
        return await first.join()

    assert not isinstance(run(scenario), NoRoom)
