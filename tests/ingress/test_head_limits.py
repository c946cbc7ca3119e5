"""The limits of a configuration on the heads of requests."""

from time import monotonic

import curio
import pytest
from tests.ingress.in_process import KEY, run_ingress

from ragwortkeel.ingress.configuration import Limits

MAX_HEAD_BYTES = 1000
HEAD_SECONDS = 0.5
LIMITS = Limits(max_head_bytes=MAX_HEAD_BYTES, head_seconds=HEAD_SECONDS)
PIECE_BYTES = 100
READ_BYTES = 64 * 1024


def request(size):
    """Return a request without a body whose head has this size."""
    lines = (
        "POST /lookup/1 HTTP/1.1",
        "host: app.example",
        f"authorization: Bearer {KEY}",
        "x-request-id: r1",
        "x-deadline-ms: 3000",
        "content-length: 0",
        "x-a: ",
    )
    begin = "\r\n".join(lines).encode()
    return begin + b"a" * (size - len(begin) - 4) + b"\r\n\r\n"


async def connect(fleet):
    host, port = fleet.addresses[0].split(":")
    return await curio.open_connection(host, int(port))


async def limit(fleet):
    """Put the limits in force."""
    await fleet.configure(limits=LIMITS)
    worker = fleet.workers[0]
    while worker.revision() < fleet.revision:
        await curio.sleep(0.01)


async def status(sock):
    answer = await sock.recv(READ_BYTES)
    return int(answer.split(b" ", 2)[1])


@pytest.mark.parametrize("piece_bytes", [PIECE_BYTES, READ_BYTES])
@pytest.mark.parametrize(
    ("size", "expected"), [(MAX_HEAD_BYTES, 200), (MAX_HEAD_BYTES + 1, 431)]
)
def test_a_larger_head_is_refused(size, expected, piece_bytes):
    """Guards against heads that a configuration does not allow."""

    async def scenario(fleet):
        await limit(fleet)
        sock = await connect(fleet)
        data = request(size)
        for start in range(0, size, piece_bytes):
            await sock.sendall(data[start : start + piece_bytes])
            await curio.sleep(0.005)
        return await status(sock)

    assert run_ingress(scenario) == expected


def test_limits_hold_on_open_connections():
    """Guards against limits that only new connections obey."""

    async def scenario(fleet):
        sock = await connect(fleet)
        await sock.sendall(request(2 * MAX_HEAD_BYTES))
        before = await status(sock)
        await limit(fleet)
        await sock.sendall(request(2 * MAX_HEAD_BYTES))
        return before, await status(sock)

    assert run_ingress(scenario) == (200, 431)


def test_a_head_that_stops_short_of_its_end_is_refused():
    """Guards against heads that keep a connection for its whole idle time."""

    async def scenario(fleet):
        await limit(fleet)
        sock = await connect(fleet)
        await curio.sleep(2 * HEAD_SECONDS)
        began_at = monotonic()
        await sock.sendall(request(MAX_HEAD_BYTES)[:-1])
        return await status(sock), monotonic() - began_at

    found, seconds = run_ingress(scenario)
    assert found == 408
    assert seconds >= HEAD_SECONDS


def test_a_head_that_comes_in_time_is_read():
    async def scenario(fleet):
        await limit(fleet)
        sock = await connect(fleet)
        data = request(MAX_HEAD_BYTES)
        await sock.sendall(data[:PIECE_BYTES])
        await curio.sleep(HEAD_SECONDS / 2)
        await sock.sendall(data[PIECE_BYTES:])
        return await status(sock)

    assert run_ingress(scenario) == 200
