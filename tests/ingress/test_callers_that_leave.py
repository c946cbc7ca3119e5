"""Pattern of load: a process that reads its sockets late, after callers have left."""

import socket

import curio
import pytest
from tests.ingress.in_process import KEY, run_ingress

from ragwortkeel.ingress.upstream_connection import ConnectionPool


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
