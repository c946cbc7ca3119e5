"""Planned stops and drained upstreams: nothing in flight is cut off."""

import signal

from deployments.deployment import chat_deployment
from deployments.fleet import answer_text, wait_until

from ragwortkeel.standins.engine_answers import expected_answer

LONG = "answer_tokens=150 a whole season's dossier"


class TestTerminated:
    def test_stream_through_a_stopping_router_ends_whole(self, fleet):
        """A router is stopped for an update while an advisor reads its answer.

        The stream has to end whole, no new request may be taken, and the router
        exits by itself with 0.
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

    def test_stream_through_a_stopping_sidecar_ends_whole(self, fleet):
        """The sidecar beside an engine is updated while an answer streams."""
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
    def test_drained_upstream_gets_nothing_new_and_finishes_what_it_has(self, fleet):
        """An operator takes an engine out of service.

        Its running answer ends whole; once the change is in force it is given
        nothing more, while the other engine serves.
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
        wait_until(lambda: takes_work(deployment, busy), f"{busy} takes work again")


def takes_work(deployment, upstream):
    before = deployment.fleet.executions(deployment.upstreams[upstream])
    for _ in range(6):
        deployment.chat("router-1", "is it back?")
    return deployment.fleet.executions(deployment.upstreams[upstream]) != before
