"""Routers killed while they hold tokens: what they had not spent comes back."""

import json
from base64 import b64decode
from contextlib import suppress

from deployments.deployment import (
    CHAT_PROFILE,
    Deployment,
    add_routers,
    add_upstream,
    chat_deployment,
    create_profile,
)
from deployments.fleet import (
    HOST,
    IncompleteAnswer,
    answer_text,
    send_request,
    wait_until,
)

from ragwortkeel.standins.engine_answers import expected_answer

PREPAID = 20_000
LARGE = 12_000
SEEN = 5
"""Events, at most a token each, of the stream that is lost."""

LONG = "answer_tokens=400 how much duty comes back?"


class TestRouterKilled:
    def test_what_it_had_not_spent_comes_back(self, fleet):
        """A router dies with most of a budget in its slice.

        The other one seals it at the sidecar, which tells what ran.  A request
        that no rest without that slice could pay for is then admitted, and the
        ledger says exactly what the bill says.
        """
        deployment = large_deployment(fleet)
        victim = largest_holder(deployment)
        survivor = next(name for name in deployment.routers if name != victim)
        for number in range(5):
            assert deployment.chat(victim, "hello", key=f"call-{number}").status == 200
        grants_before = grants(deployment)
        deployment.routers[victim].kill()
        granted = grant_of(grants_before, victim)["granted"]
        assert granted > PREPAID - LARGE
        wait_until(
            lambda: grant_of(grants(deployment), victim) is None,
            "the dead router's grant is closed",
        )
        wait_until(
            lambda: deployment.chat(survivor, "a", max_tokens=LARGE).status == 200,
            "tokens of the dead router serve callers again",
        )
        wait_until(lambda: settled(deployment), "ledger and bill agree to the token")
        assert len(grants(deployment)) == 1
        assert budget_of(fleet)["held"] <= PREPAID
        assert set(deployment.run_counts().values()) == {1}


class TestRouterAndSidecarKilled:
    def test_survivors_go_on_and_the_unknown_is_charged_at_its_bound(self, fleet):
        """A machine takes a router and a sidecar with it, under a stream.

        Nobody knows what the sidecar ran last.  Callers are served by the rest;
        a retry gets the whole answer and is billed once.  Once the sidecar's
        successor is there, what can't be known is charged at its bound, which
        is at least what is billed and never more than was paid for.
        """
        deployment = chat_deployment(
            fleet, engines=2, routers=2, prepaid=PREPAID, token_seconds=0.01
        )
        stream = deployment.stream("router-1", LONG, key="call-1", max_tokens=500)
        events = stream.events()
        assert answer_text([next(events) for _ in range(SEEN)])
        lost = running_upstream(deployment, "call-1")
        deployment.routers["router-1"].kill()
        deployment.sidecars[lost].kill()
        with suppress(IncompleteAnswer):
            assert "[DONE]" not in list(events)
        for number in range(3):
            key = f"after-{number}"
            answer = wait_until(
                lambda key=key: ok(deployment.chat("router-2", "go on", key=key)),
                "the survivors serve",
            )
            assert answer.status == 200
        retry = wait_until(
            lambda: ok(deployment.chat("router-2", LONG, key="call-1", max_tokens=500)),
            "the retry is served",
        )
        content = retry.json["choices"][0]["message"]["content"]
        assert content == expected_answer(LONG, 500)
        assert budget_of(fleet)["held"] <= PREPAID
        address = f"{HOST}:{deployment.sidecars[lost].ports['address']}"
        fleet.sidecar(lost, deployment.upstreams[lost], address=address)
        wait_until(
            lambda: grant_of(grants(deployment), "router-1") is None,
            "the dead router's grant is closed",
        )
        wait_until(lambda: "call-1" in bill(fleet), "call-1 is billed")
        wait_until(
            lambda: sum(bill(fleet).values()) + SEEN <= budget_of(fleet)["spent"],
            "the budget has paid for all that is billed and what was lost",
        )
        budget = budget_of(fleet)
        assert budget["spent"] <= budget["held"] <= PREPAID


def large_deployment(fleet):
    """Two routers and a profile of which one request takes most of the budget."""
    rv = Deployment(fleet=fleet, platform=fleet.platform())
    add_upstream(rv, "engine-1", "assistant", "model")
    add_routers(rv, 2)
    limit = {"max_output_tokens": LARGE}
    create_profile(fleet, CHAT_PROFILE, "interactive", "assistant", PREPAID, **limit)
    for name in rv.routers:
        rv.wait_serving(name)
    return rv


def ok(answer):
    return answer if answer.status == 200 else None


def grants(deployment):
    """Return the open grants in the profile's ledger by router incarnation."""
    port = deployment.platform.ports["http"]
    listed = send_request(port, "GET", "/v1/objects/ledgers").json["objects"]
    value = next(one["value"] for one in listed if one["name"] == CHAT_PROFILE)
    return json.loads(b64decode(value))["grants"]


def grant_of(found, router):
    """Return the grant of a router's incarnation, which its name begins."""
    grants = [grant for name, grant in found.items() if name.startswith(router)]
    return grants[0] if grants else None


def largest_holder(deployment):
    def granted(router):
        grant = grant_of(grants(deployment), router) or {}
        return grant.get("granted", 0)

    return max(deployment.routers, key=granted)


def budget_of(fleet):
    return fleet.command("profile", "show", CHAT_PROFILE)["budget"]


def bill(fleet):
    """Return the billed tokens by request; a request billed twice is an error."""
    rows = fleet.command("bill", CHAT_PROFILE)
    rv = {row["request_id"]: row["tokens"] for row in rows}
    assert len(rv) == len(rows)
    return rv


def settled(deployment):
    """Whether every run is billed, and the ledger's spend is that of the bill."""
    found = bill(deployment.fleet)
    spent = budget_of(deployment.fleet)["spent"]
    return found.keys() == deployment.run_counts().keys() and spent == sum(
        found.values()
    )


def running_upstream(deployment, request_id):
    for name, upstream in deployment.upstreams.items():
        if request_id in deployment.fleet.executions(upstream):
            return name
    raise AssertionError(f"{request_id} runs nowhere")
