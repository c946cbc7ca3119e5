"""Pattern of load: a process that reads its sockets late, after callers have left."""

import socket
from time import monotonic

import curio
import pytest
from tests.ingress.in_process import KEY, answer_whole, run_ingress

from ragwortkeel.ingress.upstream_connection import ConnectionPool
from ragwortkeel.policy.ejection import FIRST_BACKOFF_SECONDS, Probing
from ragwortkeel.policy.facts import Failure


def raw_request(path, request_id):
    """Return the bytes of a complete request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "host: app.example",
        f"x-request-id: {request_id}",
        "x-deadline-ms: 3000",
        f"authorization: Bearer {KEY}",
        "content-length: 1",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\nq"


def send_and_leave(address, path, request_id):
    """Send a request and close the connection before the process runs again."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(raw_request(path, request_id))


@pytest.mark.parametrize("path", ["/lookup/a", "/filing/a", "/review/a"])
def test_a_request_read_after_its_caller_left_reaches_no_upstream(path):
    """Guards against work for callers that have already left.

    A late process reads a request and the close of its connection together.
    """

    async def scenario(fleet):
        for number in range(3):
            send_and_leave(fleet.addresses[0], path, f"left-{number}")
        await curio.sleep(0.3)
        return fleet.seen()

    assert run_ingress(scenario) == {"u1": [], "e1": []}


def test_a_request_is_not_sent_if_its_caller_left_during_the_connect(monkeypatch):
    """Guards against a send to an upstream after the caller has left.

    Opening the connection takes time, so the caller is checked again after it.
    """
    original_acquire = ConnectionPool.acquire
    callers = []

    async def close_caller(self, upstream, *, fresh):
        connection = await original_acquire(self, upstream, fresh=fresh)
        callers.pop().close()
        return connection

    async def scenario(fleet):
        await fleet.ask("/lookup/first")
        monkeypatch.setattr(ConnectionPool, "acquire", close_caller)
        host, port = fleet.addresses[0].split(":")
        caller = socket.create_connection((host, int(port)))
        callers.append(caller)
        caller.sendall(raw_request("/lookup/second", "left"))
        await curio.sleep(0.3)
        return [seen.target for seen in fleet.seen()["u1"]]

    assert run_ingress(scenario) == ["/lookup/first"]


def test_an_upstream_whose_probe_lost_its_caller_is_probed_again():
    """Guards against an ejected upstream that is left out for good."""

    async def hang_once(seen, sock):
        if len(fleet_of["fleet"].seen()["u2"]) == 1:
            await curio.sleep(30)
        return await answer_whole(seen, sock)

    fleet_of = {}

    async def scenario(fleet):
        fleet_of["fleet"] = fleet
        [worker] = fleet.workers
        ejected_at = monotonic() - FIRST_BACKOFF_SECONDS
        worker._placement.record_failure("u2", Failure.ERROR, ejected_at)
        worker._placement.record_failure("u2", Failure.CRASHED, ejected_at)
        callers = []
        while not fleet.seen()["u2"]:
            caller = socket.create_connection(fleet.addresses[0].split(":"))
            caller.sendall(raw_request("/lookup/a", f"r{len(callers)}"))
            callers.append(caller)
            await curio.sleep(0.05)
        for caller in callers:
            caller.close()
        await curio.sleep(0.2)
        for _ in range(12):
            await fleet.ask("/lookup/1")
        return worker._placement.ejections.health("u2"), len(fleet.seen()["u2"])

    scripts = dict.fromkeys(("u1", "u3"), answer_whole) | {"u2": hang_once}
    health, arrivals = run_ingress(scenario, scripts=scripts)
    assert not isinstance(health, Probing)
    assert arrivals > 1
