"""Tests of a router that is paused until after its slice is sealed."""

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
    """Sends requests and adds up the usage in their answers."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.tokens = 0

    def spend(self, router):
        """Send one request and return the status."""
        answer = self._deployment.chat(router, "one more", max_tokens=100)
        if answer.status == 200:
            self.tokens += answer.json["usage"]["total_tokens"]
        return answer.status

    def record(self, response):
        """Add the usage of a response to a request sent elsewhere."""
        body = json.loads(response.read())
        if response.status == 200:
            self.tokens += body["usage"]["total_tokens"]

    def is_refused(self, router):
        """Send one request; return whether it is refused for lack of tokens."""
        if self.spend(router) == 402:
            return True
        time.sleep(0.01)
        return False


class TestFrozenRouter:
    def test_router_paused_past_its_seal_spends_nothing_when_resumed(self, fleet):
        """Guards against tokens of a sealed slice that are spent twice.

        A router is paused and sealed, and another router spends its tokens.  The
        requests queued in its sockets must not run on the old slice when the
        router resumes.
        """
        deployment = chat_deployment(fleet, prepaid=PREPAID)
        spender = Spender(deployment)
        assert spender.spend("router-1") == 200
        with deployment.routers["router-1"].frozen():
            wait_until(lambda: seals(deployment), "the frozen router is sealed")
            wait_until(
                lambda: spender.is_refused("router-2") and is_spent(fleet),
                "router-2 spent the tokens of the frozen router too",
            )
            waiting = [send_chat(deployment, "router-1") for _ in range(10)]
        for connection in waiting:
            spender.record(connection.getresponse())
            connection.close()
        for _ in range(10):
            spender.spend("router-1")
        assert spender.tokens <= PREPAID
        assert budget(fleet)["spent"] <= PREPAID


def send_chat(deployment, router):
    """Send a request and return the open connection without reading it."""
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
    """Return whether less than 200 tokens, the bound of a request, are unspent."""
    return PREPAID - budget(fleet)["spent"] < 200
