"""Tests of a platform outage, an exhausted budget and a silent connection."""

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
    def test_chat_uses_slices_and_filings_are_refused(self, fleet):
        """Guards against refused chats and unrecorded filings during an outage.

        Chat requests use the tokens granted to the routers.  A filing cannot be
        recorded before it runs, so it is refused: as not_run if it has no key, and
        as not_run or unknown if its key may belong to an earlier attempt.
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
        """Guards against refusals that continue after a top-up."""
        deployment = chat_deployment(fleet, routers=1, prepaid=400)
        refused = wait_until(
            lambda: refusal(deployment), "the budget is used up", timeout_seconds=60
        )
        assert refused["outcome"] == "not_run"
        fleet.command("profile", "top-up", CHAT_PROFILE, 100_000)
        deployment.wait_serving("router-1")


class TestSilentConnection:
    def test_stream_over_a_silent_connection_ends(self, fleet):
        """Guards against requests that wait on a silent connection.

        The connection between router and sidecar stays open and carries no data.
        The stream on it must end completely or with an explicit error, and new
        requests must use a new connection.
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
            raise AssertionError("the stream ended without an error") from None
        if answer[-1] == "[DONE]":
            assert answer_text(answer) == expected_answer(LONG, 200)
        else:
            assert "outcome" in answer[-1]
        deployment.wait_serving("router-1")


def refusal(deployment, router="router-1"):
    """Send one request; return the refusal for lack of tokens, or None."""
    answer = deployment.chat(router, "one more", max_tokens=100)
    if answer.status == 402:
        return answer.json
    time.sleep(0.05)
    return None
