"""Processes killed at the worst moment; callers retry, budgets and bills hold."""

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
    """Read some events of a stream."""
    events = stream.events()
    return [next(events) for _ in range(count)], events


def rest_of(events):
    """Read on until the stream ends or breaks."""
    rv = []
    with suppress(IncompleteAnswer):
        rv.extend(events)
    return rv


class TestRouterKilled:
    def test_retry_at_the_other_router_gets_the_whole_answer_and_one_bill(self, fleet):
        """A caller's stream breaks off and it asks again elsewhere.

        Its router is killed in the middle of the stream; it sends the same key
        to the other router.  It must get the whole answer, and the budget must
        be charged once, though the run may have gone on without a router.
        """
        deployment = chat_deployment(fleet, token_seconds=0.01)
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=300)
        first, events = read(stream, 5)
        deployment.routers["router-1"].kill()
        broken = rest_of(events)
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
    def test_stream_goes_on_elsewhere_or_says_that_it_broke(self, fleet):
        """The sidecar dies under a stream.

        The caller must see the whole answer, gone on with at another upstream,
        or an explicit error; never an answer that just stops or looks whole.
        """
        deployment = chat_deployment(fleet, engines=2, routers=1, token_seconds=0.01)
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=300)
        first, events = read(stream, 5)
        assert answer_text(first)
        deployment.sidecars[deployment.upstream_running("call-1")].kill()
        answer = first + rest_of(events)
        if answer[-1] == "[DONE]":
            assert answer_text(answer) == expected_answer(LONG, 300)
        else:
            assert "error" in answer[-1]
        again = deployment.chat("router-1", "still there?", key="call-2")
        assert again.status == 200


class TestEngineKilled:
    @pytest.mark.parametrize("resumes", [True, False])
    def test_stream_goes_on_where_it_stopped_or_ends_with_an_error(
        self, fleet, resumes
    ):
        """An engine dies in the middle of an answer, and another is there.

        Where engines can resume, the caller sees one whole answer without a gap
        or a repetition; where not, the stream ends with an explicit error.
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

    def test_stream_is_not_gone_on_with_by_an_engine_that_begins_anew(self, fleet):
        """The engine that resumes dies; the one left over cannot resume.

        Sent on all the same, it would begin anew: the caller would get the first
        tokens twice and an end marker, an answer that only looks whole.
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
        """A clerk's filing is sent again at another router.

        The first answer got lost on the way; the claim must not be filed twice,
        and the second answer is that of the first run.
        """
        deployment = filing_deployment(fleet)
        claim = {"claim": 4711}
        first = deployment.file("router-1", claim, key="claim-4711")
        second = deployment.file("router-2", claim, key="claim-4711")
        assert first.status == second.status == 200
        assert first.body == second.body
        assert deployment.run_counts()["claim-4711"] == 1

    def test_filing_whose_router_died_is_never_run_twice(self, fleet):
        """The router is killed while the service works on a filing.

        The retry at the other router gets the answer of that run, or the truth
        that its outcome is unknown; the service sees the claim at most once.
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
    """Whether the intent of a filing is durable, so that it may be running."""
    port = deployment.platform.ports["http"]
    listed = send_request(port, "GET", "/v1/objects/intents").json["objects"]
    return any(key.encode() in b64decode(one["value"]) for one in listed)


def billed(fleet, request_id):
    """Return the bill's entries of one request."""
    rows = fleet.command("bill", CHAT_PROFILE)
    return [row for row in rows if row["request_id"] == request_id]
