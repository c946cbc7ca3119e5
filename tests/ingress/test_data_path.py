"""Patterns of load: streams of many small events; events that wait for others."""

import socket
from time import monotonic

import curio
import pytest
from tests.ingress.in_process import (
    END,
    chunk,
    events,
    run_ingress,
    stream_head,
    stream_whole,
)
from tests.ingress.test_callers_that_leave import raw_request

HELD = {"event_delivery_seconds": 0.2}
HOLD_SECONDS = 0.08
GAP_SECONDS = 0.05


def streams(count, *, gap=GAP_SECONDS, end=END):
    """Return a script that sends one event a chunk, the end with the last one."""

    async def script(seen, sock):
        await sock.sendall(stream_head(seen))
        for number in range(1, count):
            await sock.sendall(chunk(events(number, number)))
            await curio.sleep(gap)
        await sock.sendall(chunk(events(count, count)) + end)
        return bool(end)

    return script


async def read_blocks(fleet, path="/chat/1"):
    """Send a request; return the time and the bytes of each block of the answer."""
    host, port = fleet.addresses[0].split(":")
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.connect((host, int(port)))
    await sock.sendall(raw_request(path, "r1"))
    blocks = []
    while block := await sock.recv(65536):
        blocks.append((monotonic(), block))
        if block.endswith(END):
            break
    await sock.close()
    return blocks


def data_of(blocks):
    """Return the data of a chunked answer, and whether it looks complete."""
    answer = b"".join(block for _, block in blocks)
    rest = answer.partition(b"\r\n\r\n")[2]
    data = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        data, rest = data + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
        if int(size, 16) == 0:
            return data, True
    return data, False


def test_waiting_events_are_written_together():
    """Guards against a write for each event of thousands of streams."""

    async def scenario(fleet):
        return await read_blocks(fleet)

    blocks = run_ingress(scenario, scripts={"e1": streams(20)}, **HELD)
    assert data_of(blocks) == (events(1, 20), True)
    assert len(blocks) <= 15


def test_without_a_promise_each_event_is_forwarded_at_once():
    async def scenario(fleet):
        return await read_blocks(fleet)

    blocks = run_ingress(scenario, scripts={"e1": streams(8)})
    assert data_of(blocks) == (events(1, 8), True)
    assert len(blocks) == 8


def test_the_end_goes_out_with_the_last_event():
    """Guards against an end that waits once more after the last event."""

    async def scenario(fleet):
        return await read_blocks(fleet)

    blocks = run_ingress(scenario, scripts={"e1": streams(6)}, **HELD)
    assert b"id: 6\n" in blocks[-1][1]


def test_a_stream_that_breaks_off_while_events_wait_never_looks_complete():
    """Guards against a complete look of an answer whose end was never received.

    What the upstream sent whole before it broke off is delivered.
    """

    async def scenario(fleet):
        return await read_blocks(fleet, "/review/1")

    script = streams(5, gap=0.01, end=b"")
    blocks = run_ingress(scenario, scripts={"e1": script}, **HELD)
    assert data_of(blocks) == (events(1, 5), False)


def test_a_wrong_chunk_size_never_looks_complete():
    async def damaged(seen, sock):
        data = chunk(events(1, 2)) + b"5\r\nid: 3\ndata: t3\n\n\r\n" + END
        await sock.sendall(stream_head(seen) + data)
        return False

    async def scenario(fleet):
        return await read_blocks(fleet, "/review/1")

    data, complete = data_of(run_ingress(scenario, scripts={"e1": damaged}))
    assert (data, complete) == (events(1, 2), False)


def test_bytes_after_the_end_reach_no_caller():
    """Guards against a late or forged answer on a connection that is used again."""

    async def adds(seen, sock):
        extra = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"
        await sock.sendall(stream_head(seen) + chunk(events(1, 2)) + END + extra)
        return True

    async def scenario(fleet):
        bodies = [(await fleet.ask("/chat/1")).body for _ in range(2)]
        return bodies, fleet.upstreams["e1"].connections

    bodies, connections = run_ingress(scenario, scripts={"e1": adds})
    assert bodies == [events(1, 2)] * 2
    assert connections == 2


def test_a_connection_is_used_again_after_a_chunked_stream():
    async def scenario(fleet):
        for _ in range(3):
            await fleet.ask("/chat/1")
        return fleet.upstreams["e1"].connections

    assert run_ingress(scenario, scripts={"e1": streams(3, gap=0.0)}) == 1


def test_a_caller_that_leaves_ends_its_run_while_events_wait():
    """Guards against a run that goes on for a caller that has left."""
    ended_at = []

    async def endless(seen, sock):
        await sock.sendall(stream_head(seen))
        try:
            for number in range(1, 1000):
                await sock.sendall(chunk(events(number, number)))
                await curio.sleep(0.02)
        finally:
            ended_at.append(monotonic())

    async def scenario(fleet):
        host, port = fleet.addresses[0].split(":")
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await sock.connect((host, int(port)))
        await sock.sendall(raw_request("/chat/1", "r1"))
        await sock.recv(65536)
        await curio.sleep(0.3)
        left_at = monotonic()
        await sock.close()
        await curio.sleep(0.6)
        return ended_at[0] - left_at

    settings = {"event_delivery_seconds": 1.0}
    assert run_ingress(scenario, scripts={"e1": endless}, **settings) < 0.5


def test_a_deadline_ends_a_request_while_events_wait():
    async def scenario(fleet):
        started_at = monotonic()
        blocks = await read_blocks(fleet)
        return monotonic() - started_at, data_of(blocks)[1]

    script = streams(1000, gap=0.02)
    settings = {"event_delivery_seconds": 1.0}
    seconds, complete = run_ingress(scenario, scripts={"e1": script}, **settings)
    assert 2.9 < seconds < 3.5
    assert not complete


@pytest.mark.parametrize("event_seconds", [0.1, 1.2])
def test_a_silent_stream_is_resumed_before_its_caller_leaves(event_seconds):
    """Guards against a moving time limit that ends a silence late.

    Callers leave after 2 s without an event.
    """

    async def falls_silent(seen, sock):
        await sock.sendall(stream_head(seen) + chunk(events(1, 1)))
        await curio.sleep(event_seconds)
        await sock.sendall(chunk(events(2, 2)))
        await curio.sleep(30)
        return False

    async def scenario(fleet):
        return await read_blocks(fleet)

    async def only_resumes(seen, sock):
        if "last-event-id" not in seen.headers:
            return await falls_silent(seen, sock)
        return await stream_whole(seen, sock)

    scripts = {"e1": only_resumes, "e2": only_resumes}
    blocks = run_ingress(scenario, scripts=scripts)
    assert data_of(blocks) == (events(1, 5), True)
    assert 1.4 < blocks[2][0] - blocks[1][0] < 1.8
