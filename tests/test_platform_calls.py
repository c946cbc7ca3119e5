"""Calls to the platform whose answers are large, slow or incomplete."""

from contextlib import asynccontextmanager
from time import monotonic

import curio
import pytest
from tests.slow_link import BYTES_PER_SECOND, receive_paced, send_paced

from ragwortkeel import platform_calls
from ragwortkeel.exceptions import PlatformUnavailable
from ragwortkeel.platform_calls import PlatformCalls

MAX_SECONDS = 0.6
SMALL_BYTES = 200


class PacedServer:
    """Answers ``/SIZE`` with that many bytes at the pace of a slow link.

    Attributes
    ----------
    head_delay : float
        Seconds before the head of an answer.
    stall_after : int or None
        Bytes after which an answer stops, with its connection left open.
    """

    def __init__(self):
        self.head_delay = 0.0
        self.stall_after = None

    async def serve(self, sock, address):
        try:
            while await self._answer(sock):
                pass
        except OSError:
            pass  # The client gave up.

    async def _answer(self, sock):
        received = b""
        while b"\r\n\r\n" not in received:
            data = await sock.recv(65536)
            if not data:
                return False
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        size = int(head.split()[1].decode().strip("/"))
        await receive_paced(sock, content_length(head) - len(body))
        await curio.sleep(self.head_delay)
        await sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
        if self.stall_after is not None and size > self.stall_after:
            await send_paced(sock, b"x" * self.stall_after)
            await curio.sleep(60)
        await send_paced(sock, b"x" * size)
        return True


def content_length(head):
    fields = [line.partition(b":") for line in head.lower().split(b"\r\n")[1:]]
    return next(int(value) for name, _, value in fields if name == b"content-length")


@asynccontextmanager
async def paced_server():
    server = PacedServer()
    sock = curio.network.tcp_server_socket("127.0.0.1", 0)
    task = await curio.spawn(curio.network.run_server, sock, server.serve, daemon=True)
    port = sock.getsockname()[1]
    calls = PlatformCalls(address=f"127.0.0.1:{port}", timeout=MAX_SECONDS)
    try:
        yield server, calls
    finally:
        await calls.close()
        await task.cancel()


def run_paced(scenario):
    """Run `scenario(server, calls)` after some small calls, which set the timeout."""

    async def main():
        async with paced_server() as (server, calls):
            for _ in range(5):
                await calls.read(f"/{SMALL_BYTES}")
            return await scenario(server, calls)

    return curio.run(main)


class TestLargeAnswers:
    @pytest.mark.parametrize("size", [340_000, 625_000, 900_000])
    def test_a_large_answer_over_a_slow_link_is_complete(self, size):
        """Guards against reads that time out each time, as their answer is large."""

        async def scenario(server, calls):
            return len((await calls.read(f"/{size}")).body)

        assert size / BYTES_PER_SECOND > 0.25
        assert run_paced(scenario) == size

    def test_a_change_at_the_end_of_a_watch_is_read(self):
        """Guards against a watch that gives up while its change arrives."""

        async def scenario(server, calls):
            server.head_delay = wait = 0.5
            return len((await calls.read("/900000", wait=wait)).body)

        assert run_paced(scenario) == 900_000

    def test_large_answers_leave_the_timeout_of_silent_calls_short(self):
        """Guards against callers that wait longer for a silent platform.

        Reads of a large configuration are no sign of a slow platform.
        """

        async def scenario(server, calls):
            for _ in range(2):
                await calls.read("/900000")
            server.head_delay = 10.0
            started_at = monotonic()
            with pytest.raises(PlatformUnavailable):
                await calls.read(f"/{SMALL_BYTES}")
            return monotonic() - started_at

        assert run_paced(scenario) < MAX_SECONDS


class TestLargeWrites:
    def test_a_large_write_over_a_slow_link_is_answered(self):
        """Guards against writes of unknown outcome, as their value is large."""

        async def scenario(server, calls):
            value = b"x" * 600_000
            response = await calls.write("PUT", f"/{SMALL_BYTES}", value, {})
            return response.status

        assert run_paced(scenario) == 200

    def test_large_writes_leave_the_timeout_of_silent_calls_short(self):
        """Guards against callers that wait longer for a silent platform."""

        async def scenario(server, calls):
            for _ in range(3):
                await calls.write("PUT", f"/{SMALL_BYTES}", b"x" * 300_000, {})
            server.head_delay = 10.0
            started_at = monotonic()
            with pytest.raises(PlatformUnavailable):
                await calls.read(f"/{SMALL_BYTES}")
            return monotonic() - started_at

        assert run_paced(scenario) < MAX_SECONDS


class TestIncompleteAnswers:
    def test_an_answer_that_stalls_is_given_up(self):
        """Guards against a connection that falls silent within a large answer."""

        async def scenario(server, calls):
            server.stall_after = 100_000
            started_at = monotonic()
            with pytest.raises(PlatformUnavailable, match="stalled"):
                await calls.read("/900000")
            return monotonic() - started_at

        assert run_paced(scenario) < 100_000 / BYTES_PER_SECOND + 2 * MAX_SECONDS

    def test_an_answer_that_never_ends_is_given_up(self, monkeypatch):
        """Guards against a follower that waits for a peer which trickles bytes."""
        monkeypatch.setattr(platform_calls, "MAX_BODY_SECONDS", 0.3)

        async def scenario(server, calls):
            with pytest.raises(PlatformUnavailable, match="incomplete"):
                await calls.read("/900000")

        run_paced(scenario)
