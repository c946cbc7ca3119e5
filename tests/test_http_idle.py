"""Failures of the HTTP server that leave a whole request without an answer."""

import signal
from contextlib import contextmanager
from time import sleep

import curio
import pytest
from tests.ingress.in_process import (
    END,
    KEY,
    chunk,
    events,
    run_ingress,
    stream_head,
)
from tests.test_httpio import echo, exchange, post, with_server

from ragwortkeel import http_server
from ragwortkeel.caller_connection import CallerConnection
from ragwortkeel.exceptions import CallerLeft, ExchangeBroken
from ragwortkeel.ingress import worker
from ragwortkeel.metrics import Metrics


@pytest.fixture
def lines(monkeypatch):
    """Return the list of the lines of level warning about unanswered requests."""
    found = []

    class Line:
        def __init__(self, event, **_):
            self.event = event

        def record(self, **fields):
            found.append({"event": self.event} | fields)

    monkeypatch.setattr(http_server, "CountedLine", Line)
    return found


def handler_with(fault):
    """Return a handler that echoes, except for requests of the target ``/fault``."""

    async def handler(request, responder):
        await (fault if request.target == "/fault" else echo)(request, responder)

    return handler


async def lose_upstream(request, responder):
    raise ExchangeBroken("an upstream's")


async def lose_link(request, responder):
    raise ConnectionResetError("a link's")


async def send_malformed(request, responder):
    await responder.respond(200, b"", {"x-bad": "a\nb"})


async def send_unencodable(request, responder):
    await responder.respond(200, b"", {"x-bad": "\u2603"})


async def send_nothing(request, responder):
    pass


async def send_half(request, responder):
    await responder.start(200, {})
    await responder.send(b"half")


async def see_caller_leave(request, responder):
    await responder.disconnected.wait()
    raise CallerLeft("left")


class TestUnansweredRequests:
    @pytest.mark.parametrize(
        "fault",
        [lose_upstream, lose_link, send_malformed, send_unencodable, send_nothing],
    )
    def test_fault_before_the_response_gives_500(self, fault):
        """Guards against a connection that closes without an answer."""

        async def scenario(_, client):
            return await client.request("GET", "/fault", timeout=5)

        response = with_server(scenario, handler_with(fault))
        assert response.status == 500
        assert b'"outcome":"unknown"' in response.body

    def test_response_without_an_end_is_logged_and_counted(self, lines):
        """Guards against an answer cut off by a fault of our own without any trace."""
        metrics = Metrics()

        async def scenario(server, _):
            return await exchange(server.port, post(b"", target="/fault"))

        record = metrics.record_unanswered
        answer = with_server(scenario, handler_with(send_half), on_unanswered=record)
        assert not answer.endswith(b"0\r\n\r\n")
        assert b'requests_unanswered_total{cause="own"} 1.0' in metrics.render()
        (line,) = lines
        assert line.pop("after") < 1.0
        assert line == {
            "event": "request_unanswered",
            "target": "/fault",
            "stage": "response",
            "error": "the handler returned",
            "started": True,
            "ended_by": "own",
        }

    @pytest.mark.parametrize("cancels", [True, False])
    def test_caller_that_leaves_is_no_fault_of_the_server(self, lines, cancels):
        """Guards against lines and counts of faults for callers that leave."""
        causes = []

        async def scenario(server, _):
            sock = await curio.open_connection("127.0.0.1", server.port)
            await sock.sendall(post(b"", target="/fault"))
            await curio.sleep(0.05)
            await sock.close()
            while not causes:
                await curio.sleep(0.01)

        settings = {"cancels_disconnected": cancels, "on_unanswered": causes.append}
        with_server(scenario, handler_with(see_caller_leave), **settings)
        assert (causes, lines) == (["peer"], [])

    def test_answered_requests_are_not_recorded(self, lines):
        """Guards against a count of lost requests that includes answered ones."""
        causes = []

        async def scenario(server, _):
            sent = post(b"one", target="/crash") + post(b"two", target="/slow")
            await exchange(server.port, sent + post(b"", "Connection: close"))
            await exchange(server.port, post(b"", target="/abort"))

        with_server(scenario, on_unanswered=causes.append)
        assert (causes, lines) == ([], [])


async def kept_connections(server, count):
    """Return connections that have had one answer and wait for the next request."""
    socks = []
    for _ in range(count):
        sock = await curio.open_connection("127.0.0.1", server.port)
        await sock.sendall(post(b"first"))
        assert (await sock.recv(999)).endswith(b"first")
        socks.append(sock)
    # Until the server waits for the next request on the last one.
    await curio.sleep(0.02)
    return socks


async def received(sock):
    """Return what has arrived at a caller; an end or a reset is empty."""
    try:
        return await sock.recv(999)
    except OSError:
        return b""


@contextmanager
def frozen(seconds, *, requests):
    """Freeze the process while it waits for events, after bytes were sent to it.

    Its event loop then finds that time limits have passed before it looks for bytes.
    """

    def freeze(*_):
        for sock, sent in requests.items():
            sock._socket.send(sent)
        sleep(seconds)

    was = signal.signal(signal.SIGALRM, freeze)
    try:
        signal.setitimer(signal.ITIMER_REAL, 0.05)
        yield
    finally:
        signal.signal(signal.SIGALRM, was)


class TestIdleLimit:
    @pytest.mark.parametrize(("was", "limit"), [(0.2, 0.8), (3600.0, 0.05)])
    def test_the_limit_in_force_counts_for_waiting_connections(self, was, limit):
        """Guards against a close, or none, by a limit that is no longer in force."""

        async def scenario(server, _):
            (sock,) = await kept_connections(server, 1)
            server.keep_alive_seconds = limit
            await curio.sleep(0.6)
            if was > limit:
                async with curio.timeout_after(2):
                    return await received(sock)
            await sock.sendall(post(b"second"))
            return await received(sock)

        answer = with_server(scenario, keep_alive_seconds=was)
        assert answer == b"" if was > limit else answer.endswith(b"second")

    @pytest.mark.parametrize(
        ("sent", "count", "answered"),
        [(post(b"q"), 20, b"HTTP/1.1 200"), (post(b"q")[:20], 1, b"HTTP/1.1 408")],
        ids=["whole", "part"],
    )
    def test_a_frozen_process_reads_before_it_closes(self, sent, count, answered):
        """Guards against requests that came within the limit and are closed unread."""

        async def scenario(server, _):
            socks = await kept_connections(server, count)
            with frozen(0.4, requests=dict.fromkeys(socks, sent)):
                return [await received(sock) for sock in socks]

        answers = with_server(scenario, keep_alive_seconds=0.2)
        assert [a for a in answers if not a.startswith(answered)] == []


class TestPlannedStop:
    def test_a_request_that_has_arrived_is_answered(self):
        """Guards against a stop that closes connections with unread requests."""

        async def scenario(server, _):
            idle, *socks = await kept_connections(server, 11)
            for sock in socks:
                sock._socket.send(post(b"second"))
            await server.close_idle()
            # The process may end as soon as no exchange is open.
            while server.open_exchanges:
                await curio.sleep(0.001)
            return await received(idle), [sock._socket.recv(999) for sock in socks]

        end, answers = with_server(scenario)
        assert end == b""
        assert [a for a in answers if not a.endswith(b"second")] == []

    def test_a_request_that_crosses_the_close_does_not_run(self, lines, monkeypatch):
        """Guards against requests that run although nobody can get their answers."""
        # As if it arrived between the look for bytes and the close.
        monkeypatch.setattr(CallerConnection, "has_received", lambda caller: False)
        handled, causes = [], []

        async def fault(request, responder):
            handled.append(request)

        async def scenario(server, _):
            (sock,) = await kept_connections(server, 1)
            sock._socket.send(post(b"", target="/fault"))
            await server.close_idle()
            return await received(sock)

        handler = handler_with(fault)
        assert with_server(scenario, handler, on_unanswered=causes.append) == b""
        assert [line["stage"] for line in lines] == ["closing"]
        assert (handled, causes) == ([], ["own"])

    def test_connections_of_streams_from_before_the_stop_are_closed(self, monkeypatch):
        """Guards against kept connections that are open as a stopped process ends."""
        monkeypatch.setattr(worker, "BALANCER_NOTICE_SECONDS", 0.1)
        fields = ("X-Request-Id: r1", f"Authorization: Bearer {KEY}")
        request = post(b"", *fields, target="/review/1")
        request = request.replace(b"Host: x", b"Host: app.example")

        async def stream(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 1)))
            await curio.sleep(0.8)
            await sock.sendall(chunk(events(2, 2)) + END)
            return True

        async def scenario(fleet):
            host, port = fleet.addresses[0].split(":")
            idle = await curio.open_connection(host, int(port))
            reused = await curio.open_connection(host, int(port))
            for sock in idle, reused:
                await sock.sendall(request)
                while b"200" not in await received(sock):
                    pass
            stopping = await curio.spawn(fleet.workers[0].stop)
            for sock in idle, reused:
                while not (await received(sock)).endswith(b"0\r\n\r\n"):
                    pass
            reused._socket.send(request)
            await stopping.join()
            return [sock._socket.recv(999) for sock in (idle, reused)]

        end, refusal = run_ingress(scenario, scripts={"e1": stream})
        assert end == b""
        assert refusal.startswith(b"HTTP/1.1 503")
