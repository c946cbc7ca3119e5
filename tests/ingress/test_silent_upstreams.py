"""Tests of upstreams that send nothing for a while and then go on."""

import errno
from time import monotonic

import curio
import pytest
from tests.ingress.builders import route
from tests.ingress.in_process import (
    END,
    chunk,
    events,
    plain,
    reset,
    run_ingress,
    stream_head,
    stream_whole,
)

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.ingress import upstream_connection
from ragwortkeel.ingress.attempt import (
    MAX_FIRST_SILENCE_SECONDS,
    MAX_SILENCE_SECONDS,
)
from ragwortkeel.ingress.configuration import Engine, Repeats, Service, Split
from ragwortkeel.policy.ejection import Probing
from ragwortkeel.policy.facts import Failure

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


async def answer_full(seen, sock):
    """Turn the request away."""
    fields = {"status": "503 Full", "proof": False, "extra": "x-not-run: 1"}
    await sock.sendall(plain(seen, **fields))
    return True


async def reset_at_once(seen, sock):
    """Reset the connection, as a server with too many of them does."""
    await reset(sock)
    return False


@pytest.mark.parametrize("script", PAUSES)
@pytest.mark.parametrize("other", [answer_full, reset_at_once])
def test_a_replacement_that_turns_the_stream_away_cuts_nothing_off(script, other):
    """Guards against a silent upstream that is left for one that is full."""
    is_first = [True]

    async def serve(seen, sock):
        return await (script if is_first and is_first.pop() else other)(seen, sock)

    assert ask_silent(serve) == [WHOLE]


def test_a_replacement_leaves_no_load_at_the_silent_upstream():
    """Guards against a place that stays taken at an upstream that was left."""

    async def serve(seen, sock):
        if "last-event-id" in seen.headers:
            return await stream_whole(seen, sock)
        await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
        await curio.sleep(5.0)
        return False

    async def scenario(fleet):
        answers = await ask_at_once(fleet, 2)
        await curio.sleep(0.2)
        [worker] = fleet.workers
        return answers, worker._placement.own_loads(), worker._server.open_exchanges

    scripts = dict.fromkeys(TWO_ENGINES, serve)
    found = run_ingress(scenario, scripts=scripts, routes=(chat_route(),))
    assert found == ([WHOLE] * 2, {}, 0)


def test_a_silent_upstream_is_kept_while_no_descriptor_is_left(monkeypatch):
    """Guards against an error of the own system that ends the request."""

    def fail(*args):
        raise OSError(errno.EMFILE, "Too many open files")

    async def scenario(fleet):
        asked = await curio.spawn(ask_at_once, fleet, 1)
        await curio.sleep(1.0)
        monkeypatch.setattr(upstream_connection.curio.socket, "socket", fail)
        return await asked.join()

    scripts = dict.fromkeys(TWO_ENGINES, pause_within_stream)
    routes = (chat_route(),)
    assert run_ingress(scenario, scripts=scripts, routes=routes) == [WHOLE]


def test_an_upstream_whose_probe_was_turned_away_is_probed_again():
    """Guards against an ejected upstream that is left out for good."""
    is_full = [True]

    async def serve_slowly(seen, sock):
        await curio.sleep(0.1)
        return await stream_whole(seen, sock)

    async def serve(seen, sock):
        return await (answer_full if is_full else stream_whole)(seen, sock)

    async def scenario(fleet):
        [worker] = fleet.workers
        worker._placement.record_failure("e2", Failure.UNREACHABLE, monotonic())
        await curio.sleep(1.1)
        await ask_at_once(fleet, 12)
        is_full.clear()
        await ask_at_once(fleet, 12)
        return worker._placement.ejections.health("e2")

    scripts = {"e1": serve_slowly, "e2": serve, "e3": serve_slowly}
    health = run_ingress(scenario, scripts=scripts, routes=(chat_route(),))
    assert not isinstance(health, Probing)


def test_a_failure_in_place_of_the_rest_of_a_stream_is_counted_as_cut_off():
    """Guards against a plain answer within a response that has begun."""

    async def break_off_then_fail(seen, sock):
        if "last-event-id" in seen.headers:
            await sock.sendall(plain(seen, status="500 Failed"))
            return True
        await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
        await curio.sleep(0.1)
        return await reset_at_once(seen, sock)

    async def scenario(fleet):
        answers = await ask_at_once(fleet, 1)
        return answers, fleet.workers[0].metrics.render().decode()

    scripts = dict.fromkeys(TWO_ENGINES, break_off_then_fail)
    routes = (chat_route(max_attempts=2),)
    answers, metrics = run_ingress(scenario, scripts=scripts, routes=routes)
    assert answers == ["cut off"]
    assert 'outcome="cut_off"' in metrics
