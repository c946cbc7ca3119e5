"""Tests of upstreams that send nothing for a while and then go on."""

import curio
import pytest
from tests.ingress.builders import route
from tests.ingress.in_process import END, chunk, events, run_ingress, stream_head

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.ingress.attempt import (
    MAX_FIRST_SILENCE_SECONDS,
    MAX_SILENCE_SECONDS,
)
from ragwortkeel.ingress.configuration import Engine, Repeats, Service, Split

DEADLINE_SECONDS = 12.0
WHOLE = events(1, 5)
TWO_ENGINES = ("e1", "e2")


async def pause_within_stream(seen, sock):
    """Fall silent after one more event, for longer than streams are waited for."""
    after = int(seen.headers.get("last-event-id", 0))
    await sock.sendall(stream_head(seen) + chunk(events(after + 1, after + 1)))
    await curio.sleep(MAX_SILENCE_SECONDS + 0.4)
    await sock.sendall(chunk(events(after + 2, 5)) + END)
    return True


async def pause_before_head(seen, sock):
    """Fall silent before the answer, for longer than first events are waited for."""
    await curio.sleep(MAX_FIRST_SILENCE_SECONDS + 0.4)
    after = int(seen.headers.get("last-event-id", 0))
    await sock.sendall(stream_head(seen) + chunk(events(after + 1, 5)) + END)
    return True


PAUSES = (pause_within_stream, pause_before_head)


def chat_route(**fields):
    return route(
        "chat",
        "/chat/",
        repeats=Repeats.STREAM,
        resumable=True,
        timeout_seconds=DEADLINE_SECONDS,
        splits=(Split(service="pool"),),
        **{"max_attempts": 3} | fields,
    )


async def ask_at_once(fleet, count):
    """Send streams at the same time; return each body, or how else it ended."""

    async def ask():
        deadline = str(int(DEADLINE_SECONDS * 1000))
        try:
            response = await fleet.ask("/chat/1", x_deadline_ms=deadline)
        except ExchangeBroken:
            return "cut off"
        return response.body if response.status == 200 else response.status

    async with curio.TaskGroup() as group:
        for _ in range(count):
            await group.spawn(ask)
    return group.results


def ask_silent(script, *, streams=1, engines=TWO_ENGINES, **fields):
    """Ask engines that all pause; return the answers of the streams."""

    async def scenario(fleet):
        return await ask_at_once(fleet, streams)

    scripts = dict.fromkeys(engines, script)
    return run_ingress(scenario, scripts=scripts, routes=(chat_route(**fields),))


@pytest.mark.parametrize("script", PAUSES)
def test_more_streams_than_retries_outlast_a_pause(script):
    """Guards against streams cut off at a silent upstream once the retries are spent.

    All streams of an upstream reach the limit of silence together.
    """
    assert ask_silent(script, streams=10) == [WHOLE] * 10


@pytest.mark.parametrize("script", PAUSES)
def test_a_stream_without_attempts_left_outlasts_a_pause(script):
    """Guards against a stream cut off at a silent upstream on its last attempt."""
    assert ask_silent(script, max_attempts=1) == [WHOLE]


@pytest.mark.parametrize("script", PAUSES)
def test_a_stream_that_moved_outlasts_a_pause_of_the_next_upstream(script):
    """Guards against a stream cut off when all other upstreams have been tried."""
    engines = ("e1", "e2", "e3")
    assert ask_silent(script, engines=engines, max_attempts=9) == [WHOLE]


def test_a_lone_upstream_is_waited_for_before_its_answer():
    """Guards against a refusal while the only upstream is about to answer."""
    assert ask_silent(pause_before_head, engines=("e1",)) == [WHOLE]


@pytest.mark.parametrize("script", PAUSES)
def test_a_stream_outlasts_a_pause_while_all_other_upstreams_are_full(script):
    """Guards against a stream that leaves a silent upstream with no room elsewhere."""

    async def serve(seen, sock):
        if seen.headers["x-request-id"] == "r1":
            return await script(seen, sock)
        await sock.sendall(stream_head(seen))
        for number in range(1, 41):
            await sock.sendall(chunk(events(number, number)))
            await curio.sleep(0.2)
        await sock.sendall(END)
        return True

    async def scenario(fleet):
        pool = Service(
            name="pool",
            max_connections=96,
            engine=Engine(slots=1, memory_tokens=100_000, event_tokens=6),
        )
        for server in fleet.upstreams.values():
            await fleet.register(server, slots=1)
        await fleet.configure(services=(pool,))
        await curio.sleep(0.2)
        return await ask_at_once(fleet, 2)

    scripts = dict.fromkeys(TWO_ENGINES, serve)
    [first, second] = run_ingress(scenario, scripts=scripts, routes=(chat_route(),))
    assert first == WHOLE
    assert second == events(1, 40)


@pytest.mark.parametrize("script", PAUSES)
def test_an_upstream_that_accepts_no_connection_replaces_no_silent_one(script):
    """Guards against a stream that leaves a silent upstream for an unreachable one."""

    async def scenario(fleet):
        asked = await curio.spawn(ask_at_once, fleet, 1)
        await curio.sleep(0.5)
        idle = next(each for each in fleet.upstreams.values() if not each.seen)
        await idle.crash()
        return await asked.join()

    scripts = dict.fromkeys(TWO_ENGINES, script)
    routes = (chat_route(),)
    assert run_ingress(scenario, scripts=scripts, routes=routes) == [WHOLE]
