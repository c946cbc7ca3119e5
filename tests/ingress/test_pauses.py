"""Upstreams that reject requests with 503 and ask for a pause."""

from functools import partial
from time import monotonic

import curio
import pytest
from tests.ingress.in_process import (
    SETTLED_SECONDS,
    answer_whole,
    plain,
    run_ingress,
    stream_whole,
)

from ragwortkeel.ingress.upstream_connection import ConnectionPool

PAUSE_SECONDS = 2.0
REACTION_SECONDS = 0.5
"""Time after the 503 in which requests may still arrive."""
MAX_IN_PAUSE = 2
"""The users' bound on requests of one process within the rest of the pause."""

PROCESSES = 3
REQUEST_INTERVAL_SECONDS = 0.02
REQUESTS_SECONDS = 5.0


class SheddingUpstream:
    """A script that rejects all requests and records which process sent each."""

    def __init__(self, pause=f"{PAUSE_SECONDS}"):
        self.pause = pause
        self.rejects = True
        self.arrivals = []

    async def __call__(self, seen, sock):
        process = seen.headers["x-request-id"].partition("-")[0]
        self.arrivals.append((process, monotonic()))
        if not self.rejects:
            await sock.sendall(plain(seen))
            return True
        extra = f"x-not-run: 1\r\nretry-after: {self.pause}"
        rejection = plain(seen, status="503 Busy", proof=False, extra=extra)
        await sock.sendall(rejection)
        return True

    def most_in_a_pause(self):
        """Return the most requests of one process within a pause it was asked for."""
        return max(
            sum(
                process == asked and at + REACTION_SECONDS <= later < at + PAUSE_SECONDS
                for process, later in self.arrivals
            )
            for asked, at in self.arrivals
        )


async def ask_all(fleet, path, seconds, *, processes=PROCESSES):
    """Send requests to the processes in turn; return the responses."""
    answers = []
    ends_at = monotonic() + seconds

    async def ask(process, number):
        request_id = f"p{process}-{number}"
        answers.append(await fleet.ask(path, process=process, x_request_id=request_id))

    async with curio.TaskGroup() as group:
        number = 0
        while monotonic() < ends_at:
            await group.spawn(ask, number % processes, number)
            number += 1
            await curio.sleep(REQUEST_INTERVAL_SECONDS)
    return answers


@pytest.mark.parametrize(
    ("path", "shedding", "serving", "script"),
    [("/lookup/1", "u1", "u2", answer_whole), ("/chat/1", "e1", "e2", stream_whole)],
    ids=["plain", "engine"],
)
def test_an_upstream_gets_no_request_in_the_pause_it_asks_for(
    path, shedding, serving, script
):
    """Guards against an upstream that rejects fast, looks idle and so gets the most."""
    upstream = SheddingUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        return await ask_all(fleet, path, REQUESTS_SECONDS)

    scripts = {shedding: upstream, serving: script}
    answers = run_ingress(scenario, scripts=scripts, processes=PROCESSES)
    assert {process for process, _ in upstream.arrivals} == {"p0", "p1", "p2"}
    assert upstream.most_in_a_pause() <= MAX_IN_PAUSE
    assert {response.status for response in answers} == {200}


def test_where_all_upstreams_pause_requests_are_refused_at_once():
    """Guards against requests held for a pause that outlasts their deadline."""
    upstream = SheddingUpstream(pause="3")

    async def scenario(fleet):
        await fleet.ask("/lookup/1", x_request_id="p0-0")
        asked_at = monotonic()
        response = await fleet.ask(
            "/lookup/1", x_request_id="p0-1", x_deadline_ms="1500"
        )
        return response, monotonic() - asked_at

    response, seconds = run_ingress(scenario, scripts={"u1": upstream})
    assert len(upstream.arrivals) == 1
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 2.0
    assert seconds < 0.5


def test_queued_requests_are_sent_when_the_pause_ends():
    """Guards against requests refused though their upstream soon accepts them."""
    upstream = SheddingUpstream(pause="0.8")

    async def scenario(fleet):
        await fleet.ask("/lookup/1", x_request_id="p0-0")
        upstream.rejects = False
        asked_at = monotonic()
        response = await fleet.ask("/lookup/1", x_request_id="p0-1")
        return response.status, monotonic() - asked_at

    status, seconds = run_ingress(scenario, scripts={"u1": upstream})
    assert status == 200
    assert 0.7 < seconds < 1.2


def test_a_restart_ends_the_pause():
    """Guards against a new instance without requests as the last one paused."""
    upstream = SheddingUpstream(pause="600")

    async def scenario(fleet):
        await fleet.ask("/lookup/1", x_request_id="p0-0")
        upstream.rejects = False
        await fleet.register(fleet.upstreams["u1"], started_ms=5)
        async with curio.timeout_after(5):
            while (await fleet.ask("/lookup/1")).status != 200:
                await curio.sleep(0.05)
        return len(upstream.arrivals)

    assert run_ingress(scenario, scripts={"u1": upstream}) == 2


def test_an_assigned_request_is_not_sent_into_a_pause(monkeypatch):
    """Guards against requests that a late process sends after the rejection."""
    upstream = SheddingUpstream()
    acquire = ConnectionPool.acquire
    delays = iter([0.0, 0.8])

    async def acquire_late(pool, upstream, *, fresh):
        connection = await acquire(pool, upstream, fresh=fresh)
        await curio.sleep(next(delays))
        return connection

    monkeypatch.setattr(ConnectionPool, "acquire", acquire_late)

    async def scenario(fleet):
        asks = [
            partial(fleet.ask, "/lookup/1", x_request_id=f"p0-{number}")
            for number in range(2)
        ]
        tasks = [await curio.spawn(ask) for ask in asks]
        return [(await task.join()).status for task in tasks]

    statuses = run_ingress(scenario, scripts={"u1": upstream})
    assert len(upstream.arrivals) == 1
    assert statuses == [503, 503]
