"""Upstreams that reset a connection within an answer that has no marked end."""

import socket as _socket

import curio
import pytest
from curio.task import ContextTask
from deployments.ports import HOST
from tests.ingress.builders import upstream
from tests.ingress.in_process import (
    RESET_ON_CLOSE,
    ScriptedUpstream,
    events,
    reset,
    run_ingress,
)

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.httpio import HttpClient
from ragwortkeel.ingress.directory import ENTRY_LAG_SECONDS
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.upstream_connection import ConnectionPool, UpstreamRequest

ID_HEADER = HeaderNames().request_id
REQUEST = UpstreamRequest(
    method="POST",
    target="/a",
    fields=(("host", "a"), (ID_HEADER, "r1")),
    body=b"",
)
WAITING = 4
EVENTS = 5
SETTLED_SECONDS = 0.05
LONG_BYTES = 3_900_000
HEARD_SECONDS = 1.0


def unframed_head(seen, *fields):
    lines = [
        "HTTP/1.1 200 OK",
        f"{ID_HEADER}: {seen.headers[ID_HEADER]}",
        "x-upstream-proof: p1",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def stream_head(seen):
    return unframed_head(seen, "content-type: text/event-stream")


class TestOpenConnections:
    def test_a_look_at_a_connection_does_not_hide_its_reset(self):
        """Guards against a check of other requests that makes half an answer whole."""

        async def script(seen, sock):
            await sock.sendall(unframed_head(seen) + b"half")
            await reset(sock)
            return False

        async def main():
            server = ScriptedUpstream(name="e1", script=script)
            await server.start()
            entry = upstream("e1", port=server.port)
            pool = ConnectionPool(id_header=ID_HEADER)
            connection = await pool.acquire(entry, fresh=True)
            await connection.send(REQUEST)
            await connection.receive_head("r1")
            body = await connection.receive_chunk()
            await curio.sleep(SETTLED_SECONDS)
            is_open = pool.has_open(entry, opened_until=connection.opened_at)
            try:
                end = await connection.receive_chunk()
            except ExchangeBroken as exc:
                end = type(exc)
            await connection.close()
            await server.stop()
            return body, is_open, end

        with curio.Kernel(taskcls=ContextTask) as kernel:
            assert kernel.run(main) == (b"half", False, ExchangeBroken)


class TestCrash:
    def test_streams_of_a_crashed_upstream_do_not_end_as_complete(self):
        """Guards against callers that get some events of a stream as all of them."""

        async def script(seen, sock):
            waiting.append(sock)
            if len(waiting) <= WAITING:
                await sock.sendall(stream_head(seen) + events(1, 2))
                await curio.sleep(30)
                return False
            # The process gets the first events of this stream and the resets of all
            # connections at once.
            sock._socket.send(stream_head(seen) + events(1, 1))
            for each in waiting:
                each.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, RESET_ON_CLOSE)
                each._socket.shutdown(_socket.SHUT_RD)
                each._socket.close()
            return False

        async def ask(fleet):
            try:
                return (await fleet.ask("/chat/1", x_deadline_ms="9000")).body
            except ExchangeBroken:
                return None

        async def scenario(fleet):
            tasks = [await curio.spawn(ask, fleet) for _ in range(WAITING)]
            while len(waiting) < WAITING:
                await curio.sleep(0.01)
            # Entries are heard of meanwhile, so open connections show that it is up.
            await curio.sleep(ENTRY_LAG_SECONDS + HEARD_SECONDS)
            tasks.append(await curio.spawn(ask, fleet))
            return [await task.join() for task in tasks]

        waiting = []
        answers = run_ingress(scenario, scripts={"e1": script, "u1": script})
        assert answers == [None] * (WAITING + 1)


class TestLongUploads:
    """An upstream answers before it has received the request, without a length."""

    @staticmethod
    def ask(path, close):
        """Return the status of the answer to a long request."""

        async def script(seen, sock):
            await sock.sendall(unframed_head(seen) + b"part")
            await close(sock)
            return False

        async def scenario(fleet):
            fleet.upstreams["u1"].reads_body = False
            answer = await fleet.ask(path, body=bytes(LONG_BYTES))
            return answer.status

        return run_ingress(scenario, scripts={"u1": script})

    @pytest.mark.parametrize("path", ["/filing/1", "/lookup/1"])
    @pytest.mark.parametrize("pause_seconds", [0.0, 0.05, 0.3])
    def test_a_reset_within_the_upload(self, path, pause_seconds):
        """Guards against part of an answer that its caller takes for the whole."""

        async def close(sock):
            await curio.sleep(pause_seconds)
            await reset(sock)

        assert self.ask(path, close) == 502

    @pytest.mark.parametrize("path", ["/filing/1", "/lookup/1"])
    @pytest.mark.parametrize("pause_seconds", [0.0, 0.05, 0.3])
    def test_an_end_before_the_reset(self, path, pause_seconds):
        """Guards against an end that hides the reset of a long request behind it."""

        async def close(sock):
            sock._socket.shutdown(_socket.SHUT_WR)
            await curio.sleep(pause_seconds)
            await reset(sock)

        assert self.ask(path, close) == 502

    def test_a_client_of_our_own(self):
        """Guards against the same in calls to the platform and to engines."""

        async def script(seen, sock):
            await sock.sendall(unframed_head(seen) + b"part")
            sock._socket.shutdown(_socket.SHUT_WR)
            return False

        async def main():
            server = ScriptedUpstream(name="u1", script=script, reads_body=False)
            await server.start()
            client = HttpClient(host=HOST, port=server.port)
            try:
                await client.request(
                    "POST",
                    "/a",
                    body=bytes(LONG_BYTES),
                    headers={ID_HEADER: "r1"},
                    timeout=5.0,
                )
            finally:
                await server.stop()

        with (
            curio.Kernel(taskcls=ContextTask) as kernel,
            pytest.raises(ExchangeBroken),
        ):
            kernel.run(main)
