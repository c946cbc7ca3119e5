"""Pattern of load: an instance late with its sockets, whose callers have left."""

import socket

import curio
import pytest
from tests.ingress.in_process import KEY, run_ingress

from ragwortkeel.ingress.upstream_connection import ConnectionPool


def raw_request(path, request_id):
    """Return the bytes of a whole request."""
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
    """Send a request and close, before the process has run again."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(raw_request(path, request_id))


@pytest.mark.parametrize("path", ["/lookup/a", "/filing/a", "/review/a"])
def test_a_request_whose_caller_has_left_before_it_was_read_reaches_no_upstream(path):
    """Guards against work for nobody: a late process reads requests and their ends."""

    async def scenario(fleet):
        for number in range(3):
            send_and_leave(fleet.addresses[0], path, f"left-{number}")
        await curio.sleep(0.3)
        return fleet.seen()

    assert run_ingress(scenario) == {"u1": [], "e1": []}


def test_a_caller_that_leaves_while_the_connection_is_made_sends_nothing(monkeypatch):
    """Guards against a send after the last look: opening a connection takes time."""
    taken = ConnectionPool.acquire
    left = []

    async def leave_then_take(self, upstream, *, fresh):
        connection = await taken(self, upstream, fresh=fresh)
        left.pop().close()
        return connection

    async def scenario(fleet):
        await fleet.ask("/lookup/first")
        monkeypatch.setattr(ConnectionPool, "acquire", leave_then_take)
        host, port = fleet.addresses[0].split(":")
        caller = socket.create_connection((host, int(port)))
        left.append(caller)
        caller.sendall(raw_request("/lookup/second", "left"))
        await curio.sleep(0.3)
        return [seen.target for seen in fleet.seen()["u1"]]

    assert run_ingress(scenario) == ["/lookup/first"]
