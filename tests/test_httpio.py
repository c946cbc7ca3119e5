"""Tests of the HTTP server and client, mainly of faults of peers."""

import errno
import socket

import curio
import pytest
from curio.task import ContextTask

from ragwortkeel import http_client
from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.httpio import HttpClient, HttpServer

MAX_BODY = 10_000
PATIENCE = 20


async def echo(request, responder):
    match request.path:
        case "/crash":
            raise RuntimeError("a fault in the handler")
        case "/half-crash":
            await responder.start(200, {})
            await responder.send(b"half")
            raise RuntimeError("a fault in the handler")
        case "/abort":
            await responder.start(200, {})
            await responder.send(b"half")
            await responder.abort()
        case "/wait":
            await responder.disconnected.wait()
        case "/slow":
            await responder.start(200, {})
            for _ in range(10):
                await curio.sleep(0.02)
                await responder.send(b"piece ")
            await responder.finish()
        case "/headers":
            await responder.respond(200, repr(sorted(request.headers.items())).encode())
        case _:
            await responder.respond(200, request.body or b"empty")


def run(main):
    async def bounded():
        async with curio.timeout_after(PATIENCE):
            return await main()

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(bounded)


def with_server(scenario, handler=echo, **settings):
    """Run `scenario(server, client)` with a server in this process."""

    async def main():
        server = HttpServer(
            host="127.0.0.1",
            port=0,
            handler=handler,
            max_body_bytes=MAX_BODY,
            **settings,
        )
        server.open()
        client = HttpClient(host="127.0.0.1", port=server.port)
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(server.serve)
            result = await scenario(server, client)
            # After a fault of a peer, the server still serves other peers.
            assert (await client.request("GET", "/", timeout=5)).body == b"empty"
            await client.close()
            return result

    return run(main)


async def exchange(port, sent, *, half_close=False):
    """Send raw bytes and return all received bytes."""
    sock = await curio.open_connection("127.0.0.1", port)
    received = b""
    try:
        await sock.sendall(sent)
        if half_close:
            await sock.shutdown(socket.SHUT_WR)
        while data := await sock.recv(65536):
            received += data
    except OSError:
        received += b"RESET"
    await sock.close()
    return received


def post(body, *fields, target="/", length=None):
    length = len(body) if length is None else length
    lines = [f"POST {target} HTTP/1.1", "Host: x", f"Content-Length: {length}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class TestBadRequests:
    @pytest.mark.parametrize(
        ("sent", "status", "reason"),
        [
            (b"nonsense\r\n\r\n", b"400", b"bad_http"),
            (b"GET / HTTP/1.1\r\n\r\n", b"400", b"bad_http"),
            (b"GET / HTTP/1.1\r\nHost x\r\n\r\n", b"400", b"bad_http"),
            (b"GET /\x00 HTTP/1.1\r\nHost: x\r\n\r\n", b"400", b"bad_http"),
            (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n", b"400", b"bad_http"),
            (b"GET //[ HTTP/1.1\r\nHost: x\r\n\r\n", b"400", b"bad_target"),
            (post(b"x", length="-1"), b"400", b"bad_http"),
            (post(b"x", length="one"), b"400", b"bad_http"),
            (post(b"x", "Content-Length: 2"), b"400", b"bad_http"),
            (post(b"", "X: " + "x" * 100_000), b"431", b"bad_http"),
            (post(b"x" * (MAX_BODY + 1)), b"413", b"body_too_large"),
            (post(b"", length=10**12), b"413", b"body_too_large"),
            (post(b"x" * 2_000_000), b"413", b"body_too_large"),
        ],
    )
    def test_bad_request_is_refused_with_its_status(self, sent, status, reason):
        async def scenario(server, _):
            return await exchange(server.port, sent)

        answer = with_server(scenario)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert b'"reason":"' + reason + b'"' in answer
        assert b'"outcome":"not_run"' in answer
        assert b"RESET" not in answer

    @pytest.mark.parametrize(
        "sent",
        [
            post(b"abc", length=100),
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
            b"GET / HT",
            b"",
        ],
    )
    def test_truncated_request_reaches_no_handler(self, sent):
        seen = []

        async def handler(request, responder):
            if request.method == "POST":
                seen.append(request)
            await echo(request, responder)

        async def scenario(server, _):
            return await exchange(server.port, sent, half_close=True)

        answer = with_server(scenario, handler)
        assert answer == b"" or answer.startswith(b"HTTP/1.1 400")
        assert seen == []

    def test_slow_body_is_refused_and_delays_no_other_request(self):
        async def scenario(server, _):
            return await exchange(server.port, post(b"abc", length=100))

        answer = with_server(scenario, read_seconds=0.1)
        assert answer.startswith(b"HTTP/1.1 408")
        assert b"body_too_slow" in answer

    def test_slow_head_is_refused(self):
        async def scenario(server, _):
            return await exchange(server.port, b"POST / HTTP/1.1\r\nHo")

        answer = with_server(scenario, keep_alive_seconds=0.1)
        assert answer.startswith(b"HTTP/1.1 408")

    def test_idle_connection_is_closed_without_a_response(self):
        async def scenario(server, _):
            return await exchange(server.port, b"")

        assert with_server(scenario, keep_alive_seconds=0.1) == b""


class TestGoodRequests:
    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario(server, _):
            sent = post(b"one") + post(b"two") + post(b"three", "Connection: close")
            return await exchange(server.port, sent)

        answer = with_server(scenario)
        assert answer.count(b"HTTP/1.1 200") == 3
        assert answer.index(b"one") < answer.index(b"two") < answer.index(b"three")

    def test_flood_of_pipelined_bytes_stays_in_the_socket(self):
        """A caller that sends endlessly during its request uses bounded memory.

        The bytes stay in the socket, whose buffers are bounded, so that its
        sending stalls.
        """

        async def scenario(server, _):
            sock = await curio.open_connection("127.0.0.1", server.port)
            await sock.sendall(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
            sent = 0
            try:
                async with curio.timeout_after(1):
                    while sent < 64_000_000:
                        sent += await sock.send(b"x" * 1_000_000)
            except curio.TaskTimeout:
                pass
            await sock.close()
            return sent

        assert with_server(scenario) < 64_000_000

    def test_expected_continue_is_sent(self):
        async def scenario(server, _):
            fields = ("Expect: 100-continue", "Connection: close")
            return await exchange(server.port, post(b"body", *fields))

        answer = with_server(scenario)
        assert b"HTTP/1.1 200" in answer
        assert answer.endswith(b"body")

    def test_head_request_gets_no_body(self):
        async def scenario(server, _):
            sent = b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n"
            last = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            return await exchange(server.port, sent + last)

        answer = with_server(scenario)
        assert answer.count(b"HTTP/1.1 200") == 2
        assert answer.count(b"\r\n\r\nempty") == 1

    def test_repeated_header_is_joined(self):
        async def scenario(server, _):
            fields = ("X-A: 1", "X-A: 2", "Connection: close")
            return await exchange(server.port, post(b"", *fields, target="/headers"))

        assert b"('x-a', '1, 2')" in with_server(scenario)


class TestHandlers:
    def test_handler_failure_before_the_response_gives_500(self):
        async def scenario(_, client):
            return await client.request("GET", "/crash", timeout=5)

        response = with_server(scenario)
        assert response.status == 500
        assert b'"outcome":"unknown"' in response.body

    def test_a_failure_of_the_early_refusal_gives_500(self):
        """Guards against a caller that gets no answer, and a failure without a log."""

        async def refuse(request, responder):
            if request.path == "/refused":
                raise ValueError("fault")
            return False

        async def scenario(_, client):
            return await client.request("GET", "/refused", timeout=5)

        response = with_server(scenario, refuse=refuse)
        assert response.status == 500
        assert b'"outcome":"unknown"' in response.body

    @pytest.mark.parametrize("path", ["/half-crash", "/abort"])
    def test_handler_failure_within_the_response_is_visible(self, path):
        """A truncated response must never look complete.

        The handler fails after it has sent a chunk; the connection has to close
        without the end marker of the body.
        """

        async def scenario(_, client):
            with pytest.raises(ExchangeBroken):
                await client.request("GET", path, timeout=5)

        with_server(scenario)

    def test_aborts_do_not_harm_connections_that_reuse_their_descriptor(self):
        """Guards against requests that hang or fail after an aborted exchange.

        If an abort freed a descriptor while a task waits on it, the next
        connection would get the same number, and curio would confuse the two.
        """

        async def scenario(_, client):
            async def many(path):
                for _ in range(50):
                    try:
                        await client.request("POST", path, body=b"x", timeout=5)
                    except ExchangeBroken:
                        assert path == "/abort"

            async with curio.TaskGroup() as group:
                for path in ("/abort", "/echo", "/abort", "/echo"):
                    await group.spawn(many, path)
            return [task.result for task in group.tasks]

        with_server(scenario)

    def test_disconnected_peer_is_detected(self):
        left = curio.Event()

        async def handler(request, responder):
            await echo(request, responder)
            if request.path == "/wait":
                await left.set()

        async def scenario(server, _):
            sock = await curio.open_connection("127.0.0.1", server.port)
            await sock.sendall(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
            await curio.sleep(0.05)
            await sock.close()
            await left.wait()

        with_server(scenario, handler)


class TestStop:
    def test_open_exchange_completes_and_new_connections_are_refused(self):
        """A planned stop during a streamed response.

        The response has to complete, and new connections are refused immediately.
        """

        async def main():
            server = HttpServer(host="127.0.0.1", port=0, handler=echo)
            server.open()
            client = HttpClient(host="127.0.0.1", port=server.port)
            serving = await curio.spawn(server.serve)
            idle_client = HttpClient(host="127.0.0.1", port=server.port)
            await idle_client.request("GET", "/", timeout=5)
            asking = await curio.spawn(_ask_slow, client)
            while not server.open_exchanges:
                await curio.sleep(0.001)
            await server.stop_accepting()
            late = HttpClient(host="127.0.0.1", port=server.port)
            with pytest.raises(ConnectFailed):
                await late.request("GET", "/", timeout=5)
            idle_response = await idle_client.request("GET", "/", timeout=5)
            assert idle_response.headers["connection"] == "close"
            response = await asking.join()
            await drained(server, serving)
            return response

        assert run(main).body == b"piece " * 10

    def test_request_waiting_to_be_accepted_is_served(self):
        """Guards against a reset of a request that was sent just before a stop.

        Its connection is in the backlog of the listener, and closing the listener
        resets such connections with the requests sent on them.
        """

        async def main():
            server = HttpServer(host="127.0.0.1", port=0, handler=echo)
            server.open()
            serving = await curio.spawn(server.serve)
            while server._acceptor is None or server._acceptor.state != "READ_WAIT":
                await curio.sleep(0.001)
            raws = []
            for _ in range(20):
                raws.append(socket.create_connection(("127.0.0.1", server.port)))
                raws[-1].sendall(post(b"early"))
            await server.stop_accepting()
            socks = [curio.io.Socket(raw) for raw in raws]
            answers = [await sock.recv(65536) for sock in socks]
            await drained(server, serving)
            for sock in socks:
                await sock.close()
            return answers

        assert all(a.startswith(b"HTTP/1.1 200") for a in run(main))

    def test_request_with_incomplete_body_counts_as_open(self):
        async def main():
            server = HttpServer(host="127.0.0.1", port=0, handler=echo)
            server.open()
            serving = await curio.spawn(server.serve)
            sock = await curio.open_connection("127.0.0.1", server.port)
            await sock.sendall(post(b"ab", length=4))
            while not server.open_exchanges:
                await curio.sleep(0.001)
            await server.stop_accepting()
            await sock.sendall(b"cd")
            answer = b""
            while data := await sock.recv(65536):
                answer += data
            await drained(server, serving)
            await sock.close()
            return answer

        assert run(main).endswith(b"abcd")


async def drained(server, serving):
    while server.open_exchanges:
        await curio.sleep(0.001)
    await serving.cancel()


async def _ask_slow(client):
    return await client.request("GET", "/slow", timeout=10)


def with_raw_server(scenario, answer):
    """Run `scenario(client)` with a server that answers with these bytes."""

    async def serve_one(sock, _):
        await sock.recv(65536)
        await sock.sendall(answer)
        await sock.close()

    async def main():
        listener = curio.network.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        client = HttpClient(host="127.0.0.1", port=port)
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(curio.network.run_server, listener, serve_one)
            return await scenario(client)

    return run(main)


class TestTurnedAwayConnections:
    def test_a_connection_that_is_not_accepted_is_closed_unread(self):
        """Guards against callers that can't tell whether their request was read."""
        accepts = iter([False, False, True])
        handled = []

        async def handler(request, responder):
            handled.append(request.body)
            await echo(request, responder)

        async def scenario(server, client):
            answers = [await exchange(server.port, post(b"x")) for _ in range(2)]
            return answers, list(handled)

        answers, seen = with_server(
            scenario, handler=handler, accepts=lambda waiting: next(accepts)
        )
        assert set(answers) <= {b"", b"RESET"}
        assert seen == []


class TestClosingConnections:
    def test_kept_connection_gets_its_whole_answer_and_is_asked_to_close(self):
        """Guards against an answer that is cut off when the process leaves rotation."""

        async def scenario(server, _):
            request = post(b"", target="/wait-a-moment")
            asking = await curio.spawn(exchange, server.port, post(b"q") + request)
            await entered.wait()
            server.closes_connections = True
            return await asking.join()

        entered = curio.Event()

        async def handler(request, responder):
            if request.path == "/wait-a-moment":
                await entered.set()
                await curio.sleep(0.1)
            await echo(request, responder)

        answers = with_server(scenario, handler).split(b"HTTP/1.1 200")
        assert [b"connection: close" in answer.lower() for answer in answers[1:]] == [
            False,
            True,
        ]
        assert answers[2].endswith(b"empty")

    def test_idle_connections_close_unless_bytes_of_a_request_arrived(self):
        """Guards against a request that was sent and is dropped unanswered."""

        async def scenario(server, _):
            host = "127.0.0.1"
            idle = [await curio.open_connection(host, server.port) for _ in range(3)]
            unread = await curio.open_connection(host, server.port)
            begun = await curio.open_connection(host, server.port)
            await begun.sendall(post(b"q")[:20])
            await curio.sleep(0.1)
            # The kernel doesn't run the server before the next await that blocks.
            unread._socket.send(post(b"q"))
            limits = {"idle_seconds": 0.05, "fraction": 0.4}
            closed = [server.close_longest_idle(**limits) for _ in range(3)]
            fresh = await curio.open_connection(host, server.port)
            await curio.sleep(0.01)
            closed.append(server.close_longest_idle(**limits))
            ends = [await sock.recv(10) for sock in idle]
            await begun.sendall(post(b"q")[20:])
            await fresh.sendall(post(b"q"))
            return closed, ends, [await s.recv(99) for s in (unread, begun, fresh)]

        closed, ends, answers = with_server(scenario)
        assert closed == [2, 1, 0, 0]
        assert ends == [b"", b"", b""]
        assert all(answer.endswith(b"q") for answer in answers)


class TestClient:
    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ],
    )
    def test_truncated_response_is_broken(self, answer):
        async def scenario(client):
            with pytest.raises(ExchangeBroken):
                await client.request("GET", "/", timeout=5)

        with_raw_server(scenario, answer)

    def test_informational_responses_are_skipped(self):
        async def scenario(client):
            return await client.request("GET", "/", timeout=5)

        head = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
        answer = with_raw_server(scenario, head + b"Content-Length: 2\r\n\r\nok")
        assert answer.body == b"ok"

    def test_informational_responses_without_end_are_given_up(self):
        """Guards against a server that keeps a caller waiting for its response."""

        async def scenario(client):
            with pytest.raises(ExchangeBroken, match="interim"):
                await client.request("GET", "/", timeout=5)

        with_raw_server(scenario, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000)

    def test_a_body_without_end_is_given_up(self, monkeypatch):
        """Guards against a server whose response fills the memory."""
        monkeypatch.setattr(http_client, "MAX_BODY_BYTES", 100_000)

        async def scenario(client):
            with pytest.raises(ExchangeBroken, match="over 100000 bytes"):
                await client.request("GET", "/", timeout=5)

        with_raw_server(scenario, b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1_000_000)

    def test_a_connection_with_bytes_beyond_the_response_is_not_reused(self):
        """Guards against bytes of no response that the next one would begin with."""

        async def scenario(client):
            answer = await client.request("GET", "/", timeout=5)
            return answer.body, len(client._idle)

        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokrest"
        assert with_raw_server(scenario, answer) == (b"ok", 0)

    def test_refused_connection_means_not_sent(self):
        async def main():
            client = HttpClient(host="127.0.0.1", port=1)
            with pytest.raises(ConnectFailed):
                await client.request("GET", "/", timeout=5)

        run(main)

    def test_no_free_descriptor_means_not_sent(self, monkeypatch):
        """Guards against the end of a process that has too many connections."""

        def raise_emfile(*args):
            raise OSError(errno.EMFILE, "Too many open files")

        async def main():
            monkeypatch.setattr(curio.socket, "socket", raise_emfile)
            with pytest.raises(ConnectFailed, match="Too many open files"):
                await HttpClient(host="127.0.0.1", port=1).request(
                    "GET", "/", timeout=5
                )

        run(main)

    def test_request_without_response_times_out(self):
        async def scenario(_, client):
            with pytest.raises(ExchangeBroken):
                await client.request("GET", "/wait", timeout=0.1)

        with_server(scenario)

    def test_closed_idle_connection_is_not_reused(self):
        async def scenario(_, client):
            assert (await client.request("GET", "/", timeout=5)).status == 200
            await curio.sleep(0.3)
            assert (await client.request("GET", "/", timeout=5)).status == 200

        with_server(scenario, keep_alive_seconds=0.1)

    def test_connection_is_not_reused_after_an_early_stop_of_the_reader(self):
        async def scenario(_, client):
            async with client.stream("GET", "/slow") as answer:
                async for _ in answer.chunks():
                    break
            assert (await client.request("GET", "/", timeout=5)).body == b"empty"

        with_server(scenario)
