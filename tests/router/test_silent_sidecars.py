"""Tests of requests whose sidecar sends nothing for a while and then goes on."""

import time
from collections import Counter

import curio
import msgspec
import pytest
from deployments.ports import free_address
from msgspec.structs import replace

from ragwortkeel.configuration import UPSTREAMS, Upstream
from ragwortkeel.links import HEARTBEAT_SECONDS
from ragwortkeel.router import attempt, exchange
from ragwortkeel.router.calls import CHAT_PATH

from .in_process import run_fleet, until

QUESTION = {
    "model": "advisor-chat",
    "messages": [{"role": "user", "content": "Is my invoice eligible?"}],
    "max_tokens": 8,
}
SHORT_SILENCE_SECONDS = 0.3
LONG_SILENCE_SECONDS = 1.5
"""Far longer than the links and their requests wait."""


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(exchange, "RERUN_WAIT_SECONDS", SHORT_SILENCE_SECONDS)
    for module in (attempt, exchange):
        monkeypatch.setattr(module, "RELINK_WAIT_SECONDS", SHORT_SILENCE_SECONDS)


async def watch_closely(fleet):
    """Shorten the times of all links, and return once these apply."""
    views = fleet.router.pool.views_by_upstream
    for view in views.values():
        view.link._heartbeat_seconds = 0.05
        view.link._silence_seconds = SHORT_SILENCE_SECONDS
    await curio.sleep(HEARTBEAT_SECONDS + 0.1)
    await until(lambda: all(fleet.router.pool.is_up(name) for name in views))


async def fall_silent(fleet, names, *, seconds):
    """Drop all that some sidecars send, for some time."""

    async def drop(peer, message):
        return None

    endpoints = [fleet.sidecars[name]._endpoint for name in names]
    for endpoint in endpoints:
        endpoint.send = drop
    await curio.sleep(seconds)
    for endpoint in endpoints:
        del endpoint.send


async def ask_through_silence(fleet, request, *, requests):
    """Return the answers to requests, most of whose runs fall silent meanwhile."""
    await watch_closely(fleet)
    for name in fleet.engine_names:
        await fleet.switch(name, slow=60.0)
    asked = [await curio.spawn(fleet.ask, CHAT_PATH, request) for _ in range(requests)]
    readers_by_nonce = fleet.router.pool._subscriptions_by_nonce
    await until(lambda: len(readers_by_nonce) == requests)
    await curio.sleep(0.2)
    upstreams = Counter(reader.upstream for (reader,) in readers_by_nonce.values())
    ((busiest, _),) = upstreams.most_common(1)
    await fall_silent(fleet, [busiest], seconds=LONG_SILENCE_SECONDS)
    return [await task.join() for task in asked]


def is_complete(response):
    return response.status == 200 and response.body.count(b'"content"') in (1, 8)


class TestSilentSidecars:
    def test_a_lone_sidecar_is_waited_for(self):
        """Guards against a refusal while the only upstream goes on with the answer."""

        async def scenario(fleet):
            answers = await ask_through_silence(fleet, QUESTION, requests=1)
            return answers, await fleet.runs("m1")

        (answer,), runs = run_fleet(scenario)
        assert is_complete(answer), answer.body
        assert runs == 1

    def test_a_stream_that_nothing_can_continue_outlasts_the_silence(self):
        """Guards against a stream that is cut off though no run can replace its own."""

        async def scenario(fleet):
            request = QUESTION | {"stream": True}
            return await ask_through_silence(fleet, request, requests=1)

        (answer,) = run_fleet(scenario, engines=2)
        assert answer.body.endswith(b"data: [DONE]\n\n"), answer.body
        assert is_complete(answer)

    def test_more_requests_than_retries_outlast_the_silence(self):
        """Guards against refusals of all requests beyond the saved retries.

        All requests at a sidecar lose their link at the same time.
        """

        async def scenario(fleet):
            return await ask_through_silence(fleet, QUESTION, requests=16)

        answers = run_fleet(scenario, engines=2)
        assert Counter(answer.status for answer in answers) == {200: 16}

    def test_another_upstream_replaces_a_silent_one(self):
        """Guards against a caller who waits for a silent sidecar beside a free one."""

        async def scenario(fleet):
            await watch_closely(fleet)
            for name in fleet.engine_names:
                await fleet.switch(name, slow=5.0)
            asked = await curio.spawn(fleet.ask, CHAT_PATH, QUESTION)
            subscriptions = fleet.router.pool._subscriptions_by_nonce
            await until(lambda: subscriptions)
            ((reader,),) = subscriptions.values()
            silent = await curio.spawn(
                lambda: fall_silent(fleet, [reader.upstream], seconds=60.0),
                daemon=True,
            )
            answer = await asked.join()
            await silent.cancel()
            return answer, [await fleet.runs(name) for name in fleet.engine_names]

        answer, runs = run_fleet(scenario, engines=2)
        assert msgspec.json.decode(answer.body)["usage"]
        assert runs == [1, 1]

    def test_a_filing_outlasts_the_silence(self):
        """Guards against an unknown outcome of a filing whose answer is on its way.

        Nothing may run it again, so there is nothing to leave its run for.
        """

        async def scenario(fleet):
            await watch_closely(fleet)
            await fleet.switch("c1", slow=0.5)
            path = "/v1/profiles/claim-filing/calls"
            asked = await curio.spawn(fleet.ask, path, {"claim": 1})
            await until(lambda: fleet.router.pool._subscriptions_by_nonce)
            await fall_silent(fleet, ["c1"], seconds=LONG_SILENCE_SECONDS)
            return await asked.join(), await fleet.runs("c1")

        answer, runs = run_fleet(scenario)
        assert (answer.status, runs) == (200, 1), answer.body

    def test_a_retired_upstream_is_not_waited_for(self):
        """Guards against callers who wait for a sidecar whose node is gone."""

        async def scenario(fleet):
            await watch_closely(fleet)
            await fleet.switch("m1", slow=20.0)
            asked = await curio.spawn(fleet.ask, CHAT_PATH, QUESTION)
            await until(lambda: fleet.router.pool._subscriptions_by_nonce)
            silent = await curio.spawn(
                lambda: fall_silent(fleet, ["m1"], seconds=60.0), daemon=True
            )
            stored = await fleet.platform.get(UPSTREAMS, "m1")
            retired = replace(
                msgspec.json.decode(stored.value, type=Upstream), retired=True
            )
            await fleet.platform.update(
                UPSTREAMS, "m1", msgspec.json.encode(retired), stored.version
            )
            async with curio.timeout_after(10.0):
                answer = await asked.join()
            await silent.cancel()
            return answer

        answer = run_fleet(scenario)
        assert msgspec.json.decode(answer.body)["reason"] == "no_upstream"


class TestPausedRouter:
    def test_queued_requests_outlast_a_pause(self):
        """Guards against refusals for lack of an upstream after a pause of the router.

        The process doesn't run for longer than a sidecar may be silent.
        """

        async def scenario(fleet):
            await watch_closely(fleet)
            await fleet.switch("m1", slow=40.0)
            asked = [
                await curio.spawn(fleet.ask, CHAT_PATH, QUESTION) for _ in range(24)
            ]
            await until(lambda: fleet.router.dispatcher.queued_count)
            await curio.sleep(0.1)
            time.sleep(3 * SHORT_SILENCE_SECONDS)
            return [await task.join() for task in asked]

        answers = run_fleet(scenario)
        assert Counter(answer.status for answer in answers) == {200: 24}, answers[
            -1
        ].body


class TestMovedSidecar:
    def test_a_stream_outlasts_a_new_address_of_its_upstream(self):
        """Guards against a stream that is cut off when its upstream gets a new sidecar.

        The old sidecar still runs, and the new one doesn't answer yet.
        """

        async def scenario(fleet):
            await fleet.switch("m1", slow=100.0)
            request = QUESTION | {"stream": True}
            asked = await curio.spawn(fleet.ask, CHAT_PATH, request)
            await until(lambda: fleet.router.pool._subscriptions_by_nonce)
            await curio.sleep(0.5)
            stored = await fleet.platform.get(UPSTREAMS, "m1")
            upstream = msgspec.json.decode(stored.value, type=Upstream)
            moved = replace(upstream, sidecar_address=free_address())
            await fleet.platform.update(
                UPSTREAMS, "m1", msgspec.json.encode(moved), stored.version
            )
            return await asked.join()

        answer = run_fleet(scenario)
        assert answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-300:]
