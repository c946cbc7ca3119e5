"""The platform away, a router frozen past its seal, a connection gone silent."""

import signal
import time

from deployments.deployment import (
    CHAT_PROFILE,
    Deployment,
    add_routers,
    add_upstream,
    chat_deployment,
    create_profile,
    filing_deployment,
)
from deployments.fleet import IncompleteAnswer, answer_text, wait_until

from ragwortkeel.standins.engine_answers import expected_answer

LONG = "answer_tokens=150 a whole season's dossier"


class TestPlatformDown:
    def test_requests_go_on_within_slices_and_filings_are_refused_at_once(self, fleet):
        """The platform's store is down for long, in office hours.

        Chat goes on from the tokens that the routers hold.  A filing can't be
        recorded before it runs, so it is refused at once and does not run: as
        not run where no other attempt of it can exist, and as unknown where the
        caller's key may stand for an earlier one.
        """
        deployment = filing_deployment(fleet, routers=1)
        add_upstream(deployment, "engine-1", "assistant", "model")
        create_profile(fleet, CHAT_PROFILE, "interactive", "assistant", 100_000)
        deployment.wait_serving("router-1")
        fleet.set_switches(deployment.platform, down=True)
        for number in range(5):
            answer = deployment.chat("router-1", "hello", key=f"call-{number}")
            assert answer.status == 200, answer.body
        before = deployment.run_counts()
        unnamed = deployment.file("router-1", {"claim": 0})
        assert unnamed.json["outcome"] == "not_run"
        named = deployment.file("router-1", {"claim": 1}, key="claim-1")
        assert named.json["outcome"] in ("not_run", "unknown")
        assert {k for k in deployment.run_counts() if "call-" not in k} <= set(before)
        fleet.set_switches(deployment.platform, down=False)
        wait_until(
            lambda: (
                deployment.file("router-1", {"claim": 1}, key="claim-1").status == 200
            ),
            "the filing runs once the platform is back",
        )
        assert deployment.run_counts()["claim-1"] == 1


class TestTopUp:
    def test_top_up_ends_refusals(self, fleet):
        """A budget is used up, and topped up while requests are refused."""
        deployment = chat_deployment(fleet, routers=1, prepaid=400)
        refused = wait_until(
            lambda: refusal(deployment), "the budget is used up", timeout_seconds=60
        )
        assert refused["outcome"] == "not_run"
        fleet.command("profile", "top-up", CHAT_PROFILE, 100_000)
        deployment.wait_serving("router-1")


class TestSilentConnection:
    def test_request_over_a_silent_connection_is_answered_and_the_next_served(
        self, fleet
    ):
        """Something between router and sidecar loses track of their connection.

        It stays open and carries nothing; the stream on it must end whole or
        with an explicit error, and new requests must find a new connection.
        """
        deployment = Deployment(fleet=fleet, platform=fleet.platform())
        add_upstream(
            deployment,
            "engine-1",
            "assistant",
            "model",
            forwarded=True,
            token_seconds=0.02,
        )
        add_routers(deployment, 1)
        create_profile(fleet, CHAT_PROFILE, "interactive", "assistant", 100_000)
        deployment.wait_serving("router-1")
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=200)
        events = stream.events()
        first = next(events)
        fleet.by_name["engine-1-forwarder"].send(signal.SIGUSR1)
        answer = [first]
        try:
            answer += events
        except IncompleteAnswer:
            raise AssertionError("the stream just stopped") from None
        if answer[-1] == "[DONE]":
            assert answer_text(answer) == expected_answer(LONG, 200)
        else:
            assert "outcome" in answer[-1]
        deployment.wait_serving("router-1")


def refusal(deployment, router="router-1"):
    """Send one request; return the refusal for want of tokens, if it is one."""
    answer = deployment.chat(router, "one more", max_tokens=100)
    if answer.status == 402:
        return answer.json
    time.sleep(0.05)
    return None
