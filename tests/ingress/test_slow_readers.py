"""Patterns of load: callers that read an answer slowly, late or never."""

import socket
from functools import partial
from time import monotonic

import curio
from tests.ingress.in_process import END, chunk, run_ingress, stream_head
from tests.ingress.test_callers_that_leave import raw_request

from ragwortkeel import send_buffer
from ragwortkeel.settings import InstanceCapacity

CAPACITY = InstanceCapacity(link_bytes_per_second=1e9, memory_bytes=2**30)
EVENT_BYTES = 60_000
EVENTS = 200


def event(number):
    head = b"id: %d\ndata: " % number
    return head + b"x" * (EVENT_BYTES - len(head) - 2) + b"\n\n"


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class LargeStream:
    """A script that sends more than the buffers of the system hold."""

    def __init__(self, *, end=END):
        self.sent_events = 0
        self.end = end

    async def __call__(self, seen, sock):
        await sock.sendall(stream_head(seen))
        for number in range(1, EVENTS + 1):
            await sock.sendall(chunk(event(number)))
            self.sent_events += 1
        await sock.sendall(self.end)
        return bool(self.end)


async def slow_caller(fleet, request_id, *, deadline_ms=5000):
    """Send a request and return the socket, of which nothing was read."""
    host, port = fleet.addresses[0].split(":")
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect((host, int(port)))
    request = raw_request("/review/1", request_id)
    await sock.sendall(request.replace(b"ms: 3000", b"ms: %d" % deadline_ms))
    return sock


async def read_answer(sock):
    """Return the data of the answer, and whether it looks complete."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**22)
    answer = b""
    try:
        while not answer.endswith(END) and (block := await sock.recv(2**20)):
            answer += block
    except OSError:
        return b"", False
    data, rest = b"", answer.partition(b"\r\n\r\n")[2]
    position = 0
    while (end := rest.find(b"\r\n", position)) >= 0:
        size = int(rest[position:end], 16)
        data += rest[end + 2 : end + 2 + size]
        position = end + 4 + size
    return data, answer.endswith(END)


def held_bytes(fleet):
    return fleet.workers[0].metrics.registry.get_sample_value("ragwortkeel_held_bytes")


def test_reading_for_a_caller_that_reads_nothing_stops_at_the_bound():
    """Guards against memory without bound; the answer stays whole and in order."""
    script = LargeStream()

    async def scenario(fleet):
        sock = await slow_caller(fleet, "r1")
        await curio.sleep(0.8)
        held, sent_events = held_bytes(fleet), script.sent_events
        answer = await read_answer(sock)
        return held, sent_events, answer, held_bytes(fleet)

    held, sent_events, answer, held_after = run_ingress(
        scenario, scripts={"e1": script}, capacity=CAPACITY
    )
    assert 0 < held <= send_buffer.MAX_CONNECTION_BYTES
    assert sent_events < EVENTS
    assert answer == (WHOLE, True)
    assert held_after == 0


def test_an_incomplete_event_counts_towards_the_bound():
    """Guards against a block that completes an event and exceeds the bound with it."""
    small_bytes, nearly_held, missing = 20_000, 150_000, 1000
    fleets, sent = [], []

    def sized(number, size):
        return event(number)[: size - 2] + b"\n\n"

    async def script(seen, sock):
        await sock.sendall(stream_head(seen))
        while held_bytes(fleets[0]) < nearly_held:
            sent.append(sized(len(sent) + 1, small_bytes))
            await sock.sendall(chunk(sent[-1]))
            await curio.sleep(0.001)
        sent.append(event(len(sent) + 1))
        sent.append(event(len(sent) + 1))
        await sock.sendall(chunk(sent[-2][:-missing]))
        await curio.sleep(0.1)
        await sock.sendall(chunk(sent[-2][-missing:] + sent[-1]) + END)
        return True

    async def scenario(fleet):
        fleets.append(fleet)
        sock = await slow_caller(fleet, "r1", deadline_ms=9000)
        while not (sent and len(sent[-1]) == EVENT_BYTES):
            await curio.sleep(0.01)
        await curio.sleep(0.5)
        held = held_bytes(fleet)
        return held, await read_answer(sock)

    held, answer = run_ingress(scenario, scripts={"e1": script}, capacity=CAPACITY)
    assert 0 < held <= send_buffer.MAX_CONNECTION_BYTES
    assert answer == (b"".join(sent), True)


def test_a_time_limit_ends_a_request_whose_caller_reads_nothing():
    """Guards against a run that goes on while a write is blocked."""
    ended_at = []

    async def watched(seen, sock):
        try:
            return await LargeStream()(seen, sock)
        finally:
            ended_at.append(monotonic())

    async def scenario(fleet):
        started_at = monotonic()
        sock = await slow_caller(fleet, "r1", deadline_ms=600)
        await curio.sleep(1.4)
        return ended_at[0] - started_at, await read_answer(sock), held_bytes(fleet)

    seconds, (_, complete), held = run_ingress(
        scenario, scripts={"e1": watched}, capacity=CAPACITY
    )
    assert 0.5 < seconds < 1.1
    assert not complete
    assert held == 0


def test_a_ready_answer_is_delivered_after_its_time_limit(monkeypatch):
    """Guards against an answer that ran to its end and is then thrown away."""
    monkeypatch.setattr(send_buffer, "MAX_CONNECTION_BYTES", 2**30)

    async def scenario(fleet):
        sock = await slow_caller(fleet, "r1", deadline_ms=1500)
        await curio.sleep(2.2)
        return await read_answer(sock)

    scripts = {"e1": LargeStream()}
    assert run_ingress(scenario, scripts=scripts, capacity=CAPACITY) == (WHOLE, True)


def test_what_was_received_before_the_upstream_broke_off_is_delivered(monkeypatch):
    """Guards against held events that are lost, and against a complete look."""
    monkeypatch.setattr(send_buffer, "MAX_CONNECTION_BYTES", 2**30)

    async def scenario(fleet):
        sock = await slow_caller(fleet, "r1")
        await curio.sleep(0.8)
        return await read_answer(sock)

    scripts = {"e1": LargeStream(end=b"")}
    assert run_ingress(scenario, scripts=scripts, capacity=CAPACITY) == (WHOLE, False)


def test_one_of_many_slow_callers_is_ended_at_the_bound_of_the_process(monkeypatch):
    """Guards against callers that together use up the memory of the process."""
    monkeypatch.setattr(send_buffer, "MAX_CONNECTION_BYTES", 2**20)
    capacity = InstanceCapacity(link_bytes_per_second=1e9, memory_bytes=8 * 3 * 2**20)

    async def scenario(fleet):
        socks = [await slow_caller(fleet, f"r{number}") for number in range(4)]
        await curio.sleep(1.0)
        held = held_bytes(fleet)
        answers = [await read_answer(sock) for sock in socks]
        get = fleet.workers[0].metrics.registry.get_sample_value
        failures = get("ragwortkeel_failures_total", {"failure": "closed"})
        assert failures is None, "an upstream was blamed for a slow caller"
        return held, answers, get("ragwortkeel_slow_readers_ended_total")

    held, answers, ended = run_ingress(
        scenario, scripts={"e1": LargeStream()}, capacity=capacity
    )
    assert 0 < held <= 3 * 2**20
    assert ended >= 1
    whole = [answer for answer in answers if answer == (WHOLE, True)]
    assert len(whole) == 4 - ended
    assert sum(complete for _, complete in answers) == len(whole)


def test_a_body_that_its_upstream_does_not_read_counts_as_held():
    async def never_reads(seen, sock):
        return False

    async def scenario(fleet):
        fleet.upstreams["u1"]._serve = lambda sock: curio.sleep(10)
        ask = partial(fleet.ask, "/lookup/a", body=b"x" * 4_000_000)
        task = await curio.spawn(ask, daemon=True)
        await curio.sleep(0.5)
        held = held_bytes(fleet)
        await task.cancel()
        await curio.sleep(0.3)
        return held, held_bytes(fleet)

    held, held_after = run_ingress(scenario, scripts={"u1": never_reads})
    assert held > 0
    assert held_after == 0
