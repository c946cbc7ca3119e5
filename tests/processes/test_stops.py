"""Tests of planned stops and drained upstreams, which finish running requests."""

import signal

from deployments.deployment import chat_deployment
from deployments.fleet import answer_text, wait_until

from ragwortkeel.standins.engine_answers import expected_answer

LONG = "answer_tokens=150 a whole season's dossier"


class TestTerminated:
    def test_stream_through_a_stopping_router_is_complete(self, fleet):
        """Guards against a router that stops before its streams are complete.

        The router receives SIGTERM during a stream, and exits with 0 after it.
        """
        deployment = chat_deployment(fleet, token_seconds=0.01)
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=200)
        events = stream.events()
        first = next(events)
        router = deployment.routers["router-1"]
        router.send(signal.SIGTERM)
        answer = [first, *events]
        assert answer[-1] == "[DONE]"
        assert answer_text(answer) == expected_answer(LONG, 200)
        assert router.popen.wait(60) == 0
        assert deployment.chat("router-2", "others are served").status == 200

    def test_stream_through_a_stopping_sidecar_is_complete(self, fleet):
        """Guards against a sidecar that stops before its streams are complete."""
        deployment = chat_deployment(fleet, routers=1, token_seconds=0.01)
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=200)
        events = stream.events()
        first = next(events)
        sidecar = deployment.sidecars["engine-1"]
        sidecar.send(signal.SIGTERM)
        answer = [first, *events]
        assert answer[-1] == "[DONE]"
        assert answer_text(answer) == expected_answer(LONG, 200)
        assert sidecar.popen.wait(60) == 0


class TestDrained:
    def test_drained_upstream_finishes_and_gets_no_new_requests(self, fleet):
        """Guards against new requests to a drained upstream.

        Its running answer is completed, and the other engine serves new requests
        once the change is in force.
        """
        deployment = chat_deployment(fleet, engines=2, routers=1, token_seconds=0.01)
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=200)
        events = stream.events()
        first = next(events)
        busy = deployment.upstream_running("call-1")
        fleet.command("upstream", "drain", busy, "--wait=30")
        before = fleet.executions(deployment.upstreams[busy])
        for number in range(6):
            answer = deployment.chat("router-1", "next", key=f"next-{number}")
            assert answer.status == 200
        assert fleet.executions(deployment.upstreams[busy]) == before
        assert answer_text([first, *events]) == expected_answer(LONG, 200)
        fleet.command("upstream", "return", busy, "--wait=30")
        wait_until(
            lambda: serves_requests(deployment, busy), f"{busy} serves requests again"
        )


def serves_requests(deployment, upstream):
    before = deployment.fleet.executions(deployment.upstreams[upstream])
    for _ in range(6):
        deployment.chat("router-1", "is it back?")
    return deployment.fleet.executions(deployment.upstreams[upstream]) != before
