"""Tests of processes killed during a request, with retries, budgets and bills."""

from base64 import b64decode
from contextlib import suppress

import pytest
from deployments.deployment import (
    CHAT_PROFILE,
    Deployment,
    add_routers,
    add_upstream,
    chat_deployment,
    create_profile,
    filing_deployment,
)
from deployments.fleet import IncompleteAnswer, answer_text, send_request, wait_until

from ragwortkeel.standins.engine_answers import expected_answer, natural_length

LONG = "answer_tokens=200 how much duty comes back?"


def read(stream, count):
    """Return the first `count` events of a stream, and an iterator of the others."""
    events = stream.events()
    return [next(events) for _ in range(count)], events


def remaining(events):
    """Return the remaining events until the stream ends or breaks."""
    rv = []
    with suppress(IncompleteAnswer):
        rv.extend(events)
    return rv


class TestRouterKilled:
    def test_retry_at_another_router_gets_the_complete_answer_and_one_bill(self, fleet):
        """Guards against an incomplete retry and against a second charge.

        A router is killed during a stream and the caller sends the same key to
        another router, while the first run may continue without a router.
        """
        deployment = chat_deployment(fleet, token_seconds=0.01)
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=300)
        first, events = read(stream, 5)
        deployment.routers["router-1"].kill()
        broken = remaining(events)
        assert "[DONE]" not in broken
        retry = deployment.stream("router-2", LONG, key="call-1", max_tokens=300)
        assert retry.status == 200
        answer = list(retry.events())
        assert answer[-1] == "[DONE]"
        assert answer_text(answer) == expected_answer(LONG, 300)
        assert answer_text(answer).startswith(answer_text(first))
        bill = wait_until(lambda: billed(fleet, "call-1"), "call-1 is billed")
        assert len(bill) == 1
        assert bill[0]["tokens"] >= natural_length(LONG)


class TestSidecarKilled:
    def test_stream_continues_elsewhere_or_ends_with_an_error(self, fleet):
        """Guards against an incomplete answer without an error.

        The sidecar is killed during a stream.  The answer must be continued at
        another upstream or end with an explicit error.
        """
        deployment = chat_deployment(fleet, engines=2, routers=1, token_seconds=0.01)
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=300)
        first, events = read(stream, 5)
        assert answer_text(first)
        deployment.sidecars[deployment.upstream_running("call-1")].kill()
        answer = first + remaining(events)
        if answer[-1] == "[DONE]":
            assert answer_text(answer) == expected_answer(LONG, 300)
        else:
            assert "error" in answer[-1]
        later = deployment.chat("router-1", "still there?", key="call-2")
        assert later.status == 200


class TestEngineKilled:
    @pytest.mark.parametrize("resumes", [True, False])
    def test_stream_resumes_or_ends_with_an_error(self, fleet, resumes):
        """Guards against gaps and repetitions in a resumed answer.

        An engine is killed during an answer while another one is live.  If
        engines cannot resume, the stream must end with an explicit error.
        """
        deployment = chat_deployment(
            fleet, engines=2, routers=1, resumes=resumes, token_seconds=0.01
        )
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=300)
        first, events = read(stream, 5)
        deployment.upstreams[deployment.upstream_running("call-1")].kill()
        answer = first + list(events)
        if resumes:
            assert answer[-1] == "[DONE]"
            assert answer_text(answer) == expected_answer(LONG, 300)
        else:
            assert '"outcome":"failed"' in answer[-1]

    def test_stream_is_not_continued_by_an_engine_that_cannot_resume(self, fleet):
        """Guards against an answer that contains its first tokens twice.

        An engine that can resume is killed, and the remaining engine cannot
        resume: it would start the answer from its first token.
        """
        deployment = Deployment(fleet=fleet, platform=fleet.platform())
        for name, resumes in (("engine-1", True), ("engine-2", False)):
            options = {"resumes": resumes, "token_seconds": 0.01}
            add_upstream(deployment, name, "assistant", "model", **options)
        fleet.set_switches(deployment.upstreams["engine-2"], can_resume=False)
        add_routers(deployment, 1)
        create_profile(fleet, CHAT_PROFILE, "interactive", "assistant", 100_000)
        deployment.wait_serving("router-1")
        for number in range(20):
            key = f"call-{number}"
            stream = deployment.stream("router-1", LONG, key=key, max_tokens=300)
            first, events = read(stream, 5)
            if deployment.upstream_running(key) == "engine-1":
                break
            list(events)
        deployment.upstreams["engine-1"].kill()
        answer = first + list(events)
        assert '"outcome":"failed"' in answer[-1]


class TestFilings:
    def test_filing_sent_to_two_routers_runs_once(self, fleet):
        """Guards against a claim that is filed twice.

        The first answer is lost and the filing is sent again to another router,
        which must return the answer of the first run.
        """
        deployment = filing_deployment(fleet)
        claim = {"claim": 4711}
        first = deployment.file("router-1", claim, key="claim-4711")
        second = deployment.file("router-2", claim, key="claim-4711")
        assert first.status == second.status == 200
        assert first.body == second.body
        assert deployment.run_counts()["claim-4711"] == 1

    def test_filing_of_a_killed_router_runs_at_most_once(self, fleet):
        """Guards against a second run after a router is killed during a filing.

        The retry at another router gets the answer of the first run, or is refused
        with outcome unknown or not_run.
        """
        deployment = filing_deployment(fleet)
        fleet.set_switches(deployment.upstreams["filings-1"], slow=1.0)
        claim = {"claim": 4712}
        connection = deployment.file_without_waiting(
            "router-1", claim, key="claim-4712"
        )
        wait_until(lambda: has_intent(deployment, "claim-4712"), "the filing began")
        deployment.routers["router-1"].kill()
        connection.close()
        answer = deployment.file("router-2", claim, key="claim-4712")
        assert answer.status == 200 or answer.json["outcome"] in ("unknown", "not_run")
        assert deployment.run_counts().get("claim-4712", 0) <= 1


def has_intent(deployment, key):
    """Return whether the intent of a filing is stored, so that it may be running."""
    port = deployment.platform.ports["http"]
    listed = send_request(port, "GET", "/v1/objects/intents").json["objects"]
    return any(key.encode() in b64decode(intent["value"]) for intent in listed)


def billed(fleet, request_id):
    """Return the bill's entries of one request."""
    rows = fleet.command("bill", CHAT_PROFILE)
    return [row for row in rows if row["request_id"] == request_id]
