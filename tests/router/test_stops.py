"""Tests of planned stops of a router, in one kernel."""

from time import monotonic

import curio
import msgspec
import pytest
from msgspec.structs import replace

from ragwortkeel.httpio import HttpClient
from ragwortkeel.messages import Dispatch
from ragwortkeel.router.calls import CHAT_PATH
from ragwortkeel.router.router import BALANCER_NOTICE_SECONDS

from .in_process import CHAT, run_fleet, until

QUESTION = {
    "model": "advisor-chat",
    "messages": [{"role": "user", "content": "Is my invoice eligible?"}],
    "max_tokens": 8,
}
SHORT_STOP_SECONDS = 3.0
"""Shorter than the deadline of the profile."""
LONG_STOP_SECONDS = 60.0
NEVER = 10_000.0
"""Factor by which an engine is slowed so that no run ends."""
MARGIN_SECONDS = 0.7
SHORT_NOTICE_SECONDS = 0.5
"""Half of a stop, which is less than `BALANCER_NOTICE_SECONDS`."""
FILING_PATH = "/v1/profiles/claim-filing/calls"


def problem_of(response):
    assert response.headers["content-type"] == "application/problem+json"
    return msgspec.json.decode(response.body)


async def ask(fleet, **fields):
    """Send a request on a connection of its own; return its answer and its end."""
    host, port = fleet.client.host, fleet.client.port
    client = HttpClient(host=host, port=port)
    try:
        body = msgspec.json.encode(QUESTION | fields)
        answer = await client.request("POST", CHAT_PATH, body=body, timeout=30.0)
        return answer, monotonic()
    finally:
        await client.close()


async def fill(fleet, *, queued):
    """Ask an engine that ends no run until some requests wait for it."""
    await fleet.switch("m1", slow=NEVER)
    asked = []
    while fleet.router.dispatcher.queued_count < queued:
        asked.append(await curio.spawn(ask, fleet))
        await curio.sleep(0.02)
        assert len(asked) < 200
    return asked


class TestPlannedStop:
    """Guards against a stop whose points are moved by what waits."""

    def test_it_ends_in_time_whatever_is_open(self):
        """An unused connection and a run that never ends."""

        async def scenario(fleet):
            host, port = fleet.client.host, fleet.client.port
            unused = await curio.open_connection(host, port)
            await fleet.switch("m1", slow=NEVER)
            asked = await curio.spawn(ask, fleet)
            await until(lambda: fleet.router.settlement.open_runs or _running(fleet))
            began_at = monotonic()
            unfinished = await fleet.router.drain()
            seconds = monotonic() - began_at
            await unused.close()
            answer, _ = await asked.join()
            return unfinished, seconds, answer

        unfinished, seconds, answer = run_fleet(
            scenario, stop_deadline_seconds=SHORT_STOP_SECONDS
        )
        assert seconds < SHORT_STOP_SECONDS + MARGIN_SECONDS
        assert unfinished == 1
        assert answer.status == 503
        assert problem_of(answer)["reason"] == "stopping"
        assert problem_of(answer)["outcome"] == "unknown"

    def test_a_stream_that_is_open_at_its_end_gets_an_error_event(self):
        async def scenario(fleet):
            await fleet.switch("m1", slow=100.0)
            asked = await curio.spawn(ask_for_stream, fleet)
            await until(lambda: _running(fleet))
            await curio.sleep(0.5)
            await fleet.router.drain()
            answer, _ = await asked.join()
            return answer

        async def ask_for_stream(fleet):
            return await ask(fleet, stream=True, max_tokens=4_000)

        answer = run_fleet(scenario, stop_deadline_seconds=1.0)
        *_, last = answer.body.rsplit(b"event: error\ndata: ", 1)
        assert b"[DONE]" not in answer.body
        assert msgspec.json.decode(last)["reason"] == "stopping"

    @pytest.mark.parametrize(
        ("stop_seconds", "is_refused"),
        [(SHORT_STOP_SECONDS, True), (LONG_STOP_SECONDS, False)],
    )
    def test_a_queued_request_is_refused_once_it_can_not_end_in_time(
        self, stop_seconds, is_refused
    ):
        """Its refusal is true, as nothing has run yet."""

        async def scenario(fleet):
            asked = await fill(fleet, queued=3)
            began_at = monotonic()
            draining = await curio.spawn(fleet.router.drain)
            await curio.sleep(BALANCER_NOTICE_SECONDS + MARGIN_SECONDS)
            ended = [await task.join() for task in asked if task.terminated]
            queued = fleet.router.dispatcher.queued_count
            await draining.cancel()
            for task in asked:
                await task.cancel()
            return queued, [(answer, at - began_at) for answer, at in ended]

        queued, ended = run_fleet(scenario, stop_deadline_seconds=stop_seconds)
        assert queued == (0 if is_refused else 3)
        assert len(ended) == (3 if is_refused else 0)
        for answer, seconds in ended:
            assert answer.status == 503
            assert problem_of(answer)["reason"] == "stopping"
            assert problem_of(answer)["outcome"] == "not_run"
            assert seconds < BALANCER_NOTICE_SECONDS + MARGIN_SECONDS

    def test_new_requests_are_refused_from_its_point_on(self):
        """Also on connections that were open before."""

        async def scenario(fleet):
            await fleet.switch("m1", slow=NEVER)
            asked = await curio.spawn(ask, fleet)
            await fleet.ask(FILING_PATH, {"claim": 1})
            await until(lambda: _running(fleet))
            draining = await curio.spawn(fleet.router.drain)
            early = await fleet.ask(FILING_PATH, {"claim": 2})
            await curio.sleep(SHORT_NOTICE_SECONDS + 0.1)
            late = await fleet.ask(FILING_PATH, {"claim": 3})
            await draining.join()
            await asked.join()
            return early, late

        early, late = run_fleet(
            scenario, stop_deadline_seconds=2 * SHORT_NOTICE_SECONDS
        )
        assert early.status == 200
        assert late.status == 503
        assert problem_of(late)["reason"] == "stopping"
        assert problem_of(late)["outcome"] == "not_run"


class TestOutcome:
    def test_a_run_whose_dispatch_is_being_sent_may_have_run(self):
        """Guards against `not_run` for a request that an engine runs."""

        async def scenario(fleet):
            pool = fleet.router.pool
            send = pool.send

            async def send_slowly(upstream, message):
                await send(upstream, message)
                if isinstance(message, Dispatch):
                    await curio.sleep(10 * SHORT_STOP_SECONDS)

            pool.send = send_slowly
            asked = await curio.spawn(ask, fleet)
            await curio.sleep(MARGIN_SECONDS)
            await fleet.router.drain()
            answer, _ = await asked.join()
            await until(lambda: not fleet.router.settlement.open_runs)
            return answer, await fleet.runs("m1"), fleet.row(CHAT).reserved

        answer, runs, reserved = run_fleet(
            scenario, stop_deadline_seconds=SHORT_STOP_SECONDS
        )
        assert runs == 1
        assert problem_of(answer)["outcome"] == "unknown"
        assert reserved == 0


class TestStoppedSidecar:
    def test_a_run_that_the_end_of_its_stop_cuts_is_run_elsewhere(self):
        """Guards against a request that is lost with the sidecar that ran it."""

        async def scenario(fleet):
            for name in fleet.engine_names:
                await fleet.switch(name, slow=NEVER)
            asked = await curio.spawn(ask, fleet)
            await until(lambda: _running(fleet))
            ((reader,),) = _running(fleet).values()
            for name in fleet.engine_names:
                if name != reader.upstream:
                    await fleet.switch(name, slow=1.0)
            sidecar = fleet.sidecars[reader.upstream]
            sidecar._settings = replace(sidecar._settings, stop_deadline_seconds=1.0)
            await sidecar.stop()
            answer, _ = await asked.join()
            return answer

        assert run_fleet(scenario, engines=2).status == 200


def _running(fleet):
    return fleet.router.pool._subscriptions_by_nonce
