"""A router frozen past its seal, which wakes up believing in its slice."""

import http.client
import json
import time

from deployments.deployment import (
    CHAT_PATH,
    CHAT_PROFILE,
    chat_body,
    chat_deployment,
)
from deployments.fleet import HOST, send_request, wait_until

PREPAID = 6_000


class Spender:
    """Asks for answers and adds up what they cost by their own usage."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.tokens = 0

    def spend(self, router):
        """Ask once; return the status."""
        answer = self._deployment.chat(router, "one more", max_tokens=100)
        if answer.status == 200:
            self.tokens += answer.json["usage"]["total_tokens"]
        return answer.status

    def take(self, response):
        """Add up an answer that was asked for elsewhere."""
        body = json.loads(response.read())
        if response.status == 200:
            self.tokens += body["usage"]["total_tokens"]

    def spend_all(self, router):
        """Ask until refused for want of tokens; return whether it came to that."""
        if self.spend(router) == 402:
            return True
        time.sleep(0.01)
        return False


class TestFrozenRouter:
    def test_router_frozen_past_its_seal_spends_nothing_when_it_wakes(self, fleet):
        """A router is paused, sealed, and wakes up believing in its slice.

        Its tokens went back and were spent by the other router, while callers'
        requests piled up in its sockets.  If it ran them on its old slice when
        it wakes, the budget would be overspent.
        """
        deployment = chat_deployment(fleet, prepaid=PREPAID)
        spender = Spender(deployment)
        assert spender.spend("router-1") == 200
        with deployment.routers["router-1"].frozen():
            wait_until(lambda: seals(deployment), "the frozen router is sealed")
            wait_until(
                lambda: spender.spend_all("router-2") and is_spent(fleet),
                "router-2 spent what the frozen router held as well",
            )
            waiting = [send_chat(deployment, "router-1") for _ in range(10)]
        for connection in waiting:
            spender.take(connection.getresponse())
            connection.close()
        for _ in range(10):
            spender.spend("router-1")
        assert spender.tokens <= PREPAID
        assert budget(fleet)["spent"] <= PREPAID


def send_chat(deployment, router):
    """Ask without waiting; return the open connection."""
    connection = http.client.HTTPConnection(HOST, deployment.port(router), timeout=60)
    body = json.dumps(chat_body("one more", max_tokens=100))
    connection.request("POST", CHAT_PATH, body=body)
    return connection


def seals(deployment):
    port = deployment.platform.ports["http"]
    return send_request(port, "GET", "/v1/objects/seals").json["objects"]


def budget(fleet):
    return fleet.command("profile", "show", CHAT_PROFILE)["budget"]


def is_spent(fleet):
    """Whether no more than one request's bound is left or held back."""
    return PREPAID - budget(fleet)["spent"] < 200
