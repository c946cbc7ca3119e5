"""Tests of reading requests from callers, in particular of fast and tiny pieces."""

import errno
import socket
from contextlib import suppress
from functools import partial

import curio
import pytest
from curio.task import ContextTask

from ragwortkeel import caller_connection
from ragwortkeel.caller_connection import CallerConnection, HeadLimits
from ragwortkeel.chunked_body import ChunkedBody
from ragwortkeel.exceptions import NoRoom
from ragwortkeel.http_events import READ_CHUNK_BYTES
from ragwortkeel.http_server import ACCEPTED_AT_ONCE, HttpServer, _linger
from ragwortkeel.received_bytes import DEFAULT_MAX_BYTES, ReceivedBytes, Shortage
from ragwortkeel.usage_counters import ByteCounter

MAX_BODY_BYTES = 1024 * 1024
HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"1\r\na\r\n2\r\nbb\r\n" * 50_000
PATIENCE_SECONDS = 20


class Served:
    """A server whose handler returns the body, and what it read in each turn."""

    def __init__(
        self,
        *,
        max_received_bytes=DEFAULT_MAX_BYTES,
        max_connections=10_000,
        answers=True,
        work=int,
    ):
        self._answers = answers
        self._work = work
        self._later = []
        self.ended = []
        self.work_by_turn = []
        self.open_by_turn = []
        self.counter = ByteCounter()
        self.read_by_turn = []
        self.accepted_by_turn = []
        self._accepted = 0
        self.bodies = []
        self.server = HttpServer(
            host="127.0.0.1",
            port=0,
            handler=self._handle,
            max_body_bytes=MAX_BODY_BYTES,
            counter=self.counter,
            received=ReceivedBytes(
                max_bytes=max_received_bytes,
                max_connections=lambda: max_connections,
                on_ended=self.ended.append,
            ),
            accepts=self._accept,
        )
        self.server.open()

    async def _handle(self, request, responder):
        self.bodies.append(request.body)
        if not self._answers:
            await curio.sleep(PATIENCE_SECONDS)
        await responder.respond(200, b"%d" % len(request.body))

    def _accept(self, waiting):
        self._accepted += 1
        return True

    async def watch_turns(self):
        read, accepted, work = 0, 0, 0
        while True:
            self.read_by_turn.append(self.counter.received_bytes - read)
            self.accepted_by_turn.append(self._accepted - accepted)
            self.work_by_turn.append(self._work() - work)
            callers = self.server._received._callers
            self.open_by_turn.append(sum(not each.is_closing for each in callers))
            read, accepted = self.counter.received_bytes, self._accepted
            work = self._work()
            await curio.sleep(0)

    def connect_later(self, data):
        """Connect once the other clients' requests are open."""
        self._later.append(data)

    async def wait_until_open(self):
        while not self.bodies:
            await curio.sleep(0.01)

    async def wait_until_read(self):
        """Wait until the server has read something, and reads nothing more."""
        read = -1
        while read < self.counter.received_bytes or not read:
            read = self.counter.received_bytes
            await curio.sleep(0.3)

    def connect(self, data=b""):
        """Connect, and send as much as the kernel takes before the server reads."""
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.setblocking(False)
        view = memoryview(data)
        with suppress(BlockingIOError):
            while view:
                view = view[sock.send(view) :]
        return sock


def serve(scenario, *, watched=False, served=None, seconds=PATIENCE_SECONDS):
    """Run a server, prepare the clients before it runs, and return its record."""
    served = served or Served()

    async def main():
        clients = scenario(served)
        task = await curio.spawn(served.server.serve, daemon=True)
        if watched:
            await curio.spawn(served.watch_turns, daemon=True)
        if served._later:
            await served.wait_until_open()
            clients += [served.connect(data) for data in served._later]
        answers = []
        if watched:
            await served.wait_until_read()
        else:
            answers = [await read_until_quiet(sock, seconds) for sock in clients]
        for sock in clients:
            sock.close()
        await task.cancel()
        return served, answers

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


async def read_until_quiet(sock, patience_seconds):
    """Return what arrives until the peer closes or nothing comes for a while."""
    wrapped = curio.io.Socket(sock)
    data = b""
    with suppress(OSError):
        while True:
            seconds = 0.3 if data else patience_seconds
            async with curio.ignore_after(seconds) as read:
                block = await wrapped.recv(READ_CHUNK_BYTES)
            if read.expired or not block:
                break
            data += block
    return data


class TestChunkedBodies:
    def test_requests_follow_chunked_bodies_on_one_connection(self):
        """Guards against bytes of one request that end up in another."""
        tiny = CHUNKED_HEAD + b"1\r\na\r\n" * 20 + b"0\r\nx-sum: 1\r\n\r\n"
        large = CHUNKED_HEAD + b"8000\r\n" + b"b" * 0x8000 + b"\r\n0\r\n\r\n"
        plain = HEAD + b"content-length: 3\r\n\r\nccc"
        served, answers = serve(lambda served: [served.connect(tiny + large + plain)])
        assert served.bodies == [b"a" * 20, b"b" * 0x8000, b"ccc"]
        assert answers[0].count(b"HTTP/1.1 200 ") == 3

    def test_a_caller_that_asks_for_the_close_gets_it_after_a_chunked_body(self):
        head = HEAD + b"connection: close\r\ntransfer-encoding: chunked\r\n\r\n"
        served, answers = serve(
            lambda served: [served.connect(head + b"1\r\na\r\n0\r\n\r\n")]
        )
        assert served.bodies == [b"a"]
        assert b"connection: close" in answers[0].lower()

    def test_a_caller_that_waits_for_100_is_told_to_continue(self):
        head = HEAD + b"expect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n"
        _, answers = serve(lambda served: [served.connect(head)])
        assert answers[0].startswith(b"HTTP/1.1 100 ")

    @pytest.mark.parametrize(
        ("body", "status"),
        [
            (b"2\r\nabc\r\n0\r\n\r\n", 400),
            (b"x\r\n", 400),
            (b"1\r\na\r\n" * 20 + b"2\r\nabc\r\n", 400),
            (b"%x\r\n" % (MAX_BODY_BYTES + 1) + b"a" * (MAX_BODY_BYTES + 1), 413),
        ],
    )
    def test_a_damaged_or_too_large_body_is_refused(self, body, status):
        served, answers = serve(lambda served: [served.connect(CHUNKED_HEAD + body)])
        assert answers[0].startswith(b"HTTP/1.1 %d " % status)
        assert served.bodies == []


class TestRoom:
    def test_a_request_without_room_is_told_that_it_did_not_run(self):
        """Guards against a refusal that says less than what is known."""
        served = Served(max_received_bytes=256 * 1024)
        half = HEAD + b"content-length: 200000\r\n\r\n" + bytes(150_000)

        def crowd(served):
            return [served.connect(half) for _ in range(3)]

        _, answers = serve(crowd, served=served, seconds=1.0)
        refused = [answer for answer in answers if answer]
        assert refused
        for answer in refused:
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: " in answer
            assert b'"outcome":"not_run"' in answer
        assert served.bodies == []

    def test_a_crowd_that_is_there_first_does_not_keep_others_out(self):
        """Guards against incomplete bodies that hold the room until they expire."""
        served = Served(max_received_bytes=256 * 1024)
        half = HEAD + b"content-length: 200000\r\n\r\n" + bytes(150_000)
        plain = HEAD + b"content-length: 100000\r\n\r\n" + bytes(100_000)

        def crowd(served):
            return [served.connect(half) for _ in range(3)] + [served.connect(plain)]

        _, answers = serve(crowd, served=served, seconds=1.0)
        assert answers[-1].startswith(b"HTTP/1.1 200 ")

    def test_a_body_without_room_is_refused_before_it_is_sent(self):
        """Guards against a body that is asked for and refused only then."""
        served = Served(max_received_bytes=256 * 1024, answers=False)
        whole = HEAD + b"content-length: 150000\r\n\r\n" + bytes(150_000)
        begin = HEAD + b"expect: 100-continue\r\ncontent-length: 150000\r\n\r\n"

        def crowd(served):
            served.connect_later(begin)
            return [served.connect(whole)]

        _, answers = serve(crowd, served=served, seconds=1.0)
        assert answers[-1].startswith(b"HTTP/1.1 503 ")

    def test_bytes_behind_an_open_request_are_left_unread(self):
        """Guards against pipelined bytes that take the room of other requests."""
        served = Served(max_received_bytes=64 * 1024, answers=False)
        whole = HEAD + b"content-length: 1\r\n\r\nq"
        data = whole + whole * 4000
        serve(lambda served: [served.connect(data)], served=served, watched=True)
        assert served.counter.received_bytes <= 64 * 1024

    def test_connections_beyond_the_bound_take_the_place_of_others(self):
        """Guards against connections that leave no descriptor for anything else."""
        served = Served(max_connections=5)

        def crowd(served):
            return [served.connect(b"GET") for _ in range(100)]

        serve(crowd, served=served, watched=True)
        assert max(served.open_by_turn) <= 5 + ACCEPTED_AT_ONCE

    def test_a_process_without_descriptors_closes_a_connection(self):
        """Guards against a crowd that stays while nothing can be accepted."""
        served = Served()
        listener = served.server._listener

        class Full:
            def __init__(self):
                self.is_full = True

            async def accept(self):
                if served.server._received.total and self.is_full:
                    self.is_full = False
                    raise OSError(errno.EMFILE, "Too many open files")
                return await listener.accept()

            def __getattr__(self, name):
                return getattr(listener, name)

        served.server._listener = Full()

        def crowd(served):
            return [served.connect(b"GET") for _ in range(ACCEPTED_AT_ONCE + 1)]

        serve(crowd, served=served, watched=True)
        assert served.ended == [Shortage.DESCRIPTORS]

    def test_a_request_that_was_refused_never_runs(self):
        """Guards against a body that is refused between its last byte and its end."""
        data = CHUNKED_HEAD + b"1\r\na\r\n0\r\n\r\n"

        class Sock:
            _socket = socket.socketpair()[0]

            async def recv(self, size):
                return data

        async def main():
            account = ReceivedBytes()
            caller = CallerConnection(
                sock=Sock(),
                counter=ByteCounter(),
                parsing=curio.Lock(),
                account=account,
            )
            head = await caller.receive_head(HeadLimits)
            caller.begin_request(head, 0)
            reading = await curio.spawn(
                partial(caller.receive_body, head, max_bytes=MAX_BODY_BYTES)
            )
            await curio.sleep(0)
            assert account.end_one()
            with pytest.raises(curio.TaskError) as raised:
                await reading.join()
            assert isinstance(raised.value.__cause__, NoRoom)

        curio.run(main)


class TestTurnsOfTheEventLoop:
    @pytest.mark.parametrize(
        "data",
        [
            CHUNKED_HEAD + TINY_CHUNKS,
            CHUNKED_HEAD + b"4000\r\n%b\r\n" % bytes(0x4000) * 60,
            HEAD + b"content-length: 1000000\r\n\r\n" + bytes(999_999),
            HEAD + b"content-length: 9999999\r\n\r\n" + bytes(999_999),
        ],
        ids=["tiny chunks", "large chunks", "a length", "beyond the limit"],
    )
    def test_a_fast_sender_does_not_keep_the_loop(self, data):
        """Guards against a process that hangs while bytes are there to read."""
        served, _ = serve(lambda served: [served.connect(data)], watched=True)
        assert max(served.read_by_turn) <= 2 * READ_CHUNK_BYTES

    def test_bytes_after_a_refusal_do_not_keep_the_loop(self):
        """Guards against dropping what arrives without a look at the time limit."""
        reads = 0

        class Sending:
            async def shutdown(self, how):
                pass

            async def recv(self, size):
                nonlocal reads
                reads += 1
                return b"x" if reads < 10_000 else b""

        async def main():
            lingering = await curio.spawn(_linger, Sending())
            await curio.sleep(0)
            read_in_a_turn = reads
            await lingering.cancel()
            assert read_in_a_turn < 10

        curio.run(main)

    def test_tiny_chunks_of_several_callers_take_turns(self):
        """Guards against turns that parse a block for each of many callers."""
        data = CHUNKED_HEAD + TINY_CHUNKS
        served, _ = serve(
            lambda served: [served.connect(data) for _ in range(8)], watched=True
        )
        assert max(served.read_by_turn) <= 8 * READ_CHUNK_BYTES + READ_CHUNK_BYTES

    def test_one_large_block_of_chunks_is_parsed_in_a_turn(self, monkeypatch):
        """Guards against turns that are as long as the crowd is large."""
        parsed = []

        class Counted(ChunkedBody):
            def feed(self, block):
                parsed.append(len(block))
                return super().feed(block)

        monkeypatch.setattr(caller_connection, "ChunkedBody", Counted)
        served = Served(work=lambda: len(parsed))
        data = CHUNKED_HEAD + TINY_CHUNKS
        serve(
            lambda served: [served.connect(data) for _ in range(8)],
            watched=True,
            served=served,
        )
        assert max(served.work_by_turn) <= 1

    def test_new_connections_do_not_keep_the_loop(self):
        """Guards against a backlog that is accepted without a look at anything else."""
        served, _ = serve(
            lambda served: [served.connect(b"GET") for _ in range(100)][:1],
            watched=True,
        )
        assert max(served.accepted_by_turn) <= 32
