"""Clients that keep to no limits, at real processes with little memory.

The bounds are those of the machine that a test's settings describe.  A crowd has a
fixed size and sends each byte once.
"""

import resource
from contextlib import ExitStack, contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Event, Thread

import curio
import msgspec
import pytest
from deployments.fleet import HOST, send_request, wait_until
from tests.ingress.builders import configuration, route, upstream
from tests.processes.crowd import (
    PIECE_BYTES,
    Crowd,
    chunked,
    open_descriptors,
    peak_memory_bytes,
    pieces,
)
from tests.processes.upstream_server import look_up, serving

from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAMS_KIND,
    Limits,
    Service,
    Split,
)
from ragwortkeel.platform_client import HttpPlatform

MEMORY_BYTES = 96_000_000
MAX_DESCRIPTORS = 256
LINK_BYTES_PER_SECOND = 125_000_000
MAX_BODY_BYTES = 4 * 1024 * 1024
SMALL_MAX_BODY_BYTES = 256 * 1024
CROWD = 24
COMPLETE = 2
CONNECTIONS = 300
PIPELINING = 600
PIPELINED_BYTES = 128 * 1024
BEYOND_LIMIT_BYTES = 16 * MAX_BODY_BYTES
LAST_CHUNK = b"0\r\n\r\n"

ROUTER_MEMORY_BYTES = 256_000_000
"""What a node may use, by docs/CAPACITY.md; routers have no setting for it."""

ROUTER_CROWD = 64
UNKNOWN_CALL = {"model": "none", "messages": [{"role": "user", "content": "x"}]}


def head(path="/lookup/1", request_id="c1", **fields):
    lines = {
        "host": "app.example",
        "x-request-id": request_id,
        "x-deadline-ms": "60000",
        "authorization": "Bearer key-1",
    } | {name.replace("_", "-"): value for name, value in fields.items()}
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"POST {path} HTTP/1.1\r\n{text}\r\n".encode()


def heads(count, **fields):
    return [head(request_id=f"c{number}", **fields) for number in range(count)]


@contextmanager
def holding():
    """Serve as an upstream that neither reads a body nor answers until the end."""
    ended = Event()

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            ended.wait()
            self.close_connection = True

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer((HOST, 0), Handler)
    server.daemon_threads = True
    Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server.server_port
    finally:
        ended.set()
        server.shutdown()
        server.server_close()


async def write_objects(platform_port, ports_by_service, max_body_bytes):
    platform = HttpPlatform(address=f"{HOST}:{platform_port}")
    for service, port in ports_by_service.items():
        entry = upstream(f"{service}-1", service=service, port=port)
        await platform.create(UPSTREAMS_KIND, entry.name, msgspec.json.encode(entry))
    value = configuration(
        routes=(
            route(),
            route("held", "/held/", splits=(Split(service="holding"),)),
        ),
        services=tuple(
            Service(name=service, max_connections=96) for service in ports_by_service
        ),
        limits=Limits(max_body_bytes=max_body_bytes),
    )
    await platform.create(
        CONFIGURATION_KIND, CONFIGURATION_NAME, msgspec.json.encode(value)
    )


def limit_descriptors(program):
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    resource.prlimit(program.popen.pid, resource.RLIMIT_NOFILE, limits)


@contextmanager
def small_ingress(fleet, *, max_body_bytes=MAX_BODY_BYTES):
    """Start an ingress process on a small machine; yield it."""
    with ExitStack() as stack:
        app, _ = stack.enter_context(serving())
        ports_by_service = {"app": app, "holding": stack.enter_context(holding())}
        fleet.platform()
        curio.run(write_objects, fleet.platform_port, ports_by_service, max_body_bytes)
        process = fleet.ingress(
            "ingress",
            capacity={
                "link_bytes_per_second": LINK_BYTES_PER_SECOND,
                "memory_bytes": MEMORY_BYTES,
            },
        )
        fleet.wait_ready(process)
        wait_until(lambda: look_up(process, "first") == 200, "the upstream is known")
        yield process


def check_sound(process, *, memory_bytes=MEMORY_BYTES, ask=None):
    """Check an ordinary request, and what the process has used until then."""
    ask = ask or (lambda: look_up(process, "ordinary") == 200)
    wait_until(ask, "an ordinary request is answered")
    assert process.popen.poll() is None
    assert peak_memory_bytes(process) <= memory_bytes
    assert open_descriptors(process) < MAX_DESCRIPTORS


def place(process, crowd, requests, piece_bytes=PIECE_BYTES):
    """Send the requests of a crowd in turn, and wait until they are read."""
    connections = crowd.connect(len(requests))
    assert len(connections) == len(requests)
    crowd.send_in_turn(
        [
            (sock, pieces(data, piece_bytes))
            for sock, data in zip(connections, requests, strict=True)
        ]
    )
    wait_until(crowd.is_read, "the process reads what has arrived")
    return connections


def short_of_end(begins, body, end):
    """Return requests of which the first ones are complete; the others lack a byte."""
    whole = [begin + body + end for begin in begins[:COMPLETE]]
    return whole + [(begin + body + end)[:-1] for begin in begins[COMPLETE:]]


class TestBodiesOfLegalSize:
    def test_whole_bodies_that_wait_for_an_upstream(self, fleet):
        """Guards against whole bodies that together exceed the memory."""
        body = bytes(MAX_BODY_BYTES)
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            fields = {"path": "/held/1", "content_length": str(len(body))}
            place(process, crowd, [each + body for each in heads(CROWD, **fields)])
            check_sound(process)

    @pytest.mark.parametrize("piece_bytes", [MAX_BODY_BYTES, PIECE_BYTES])
    def test_bodies_that_stop_short_of_their_end(self, fleet, piece_bytes):
        """Guards against incomplete bodies that together exceed the memory."""
        body = bytes(MAX_BODY_BYTES)
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            begins = heads(CROWD, content_length=str(len(body)))
            place(process, crowd, short_of_end(begins, body, b""), piece_bytes)
            check_sound(process)

    def test_large_chunks_that_stop_short_of_their_end(self, fleet):
        """Guards against incomplete chunked bodies that exceed the memory."""
        body = chunked(bytes(MAX_BODY_BYTES), PIECE_BYTES)
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            begins = heads(CROWD, transfer_encoding="chunked")
            place(process, crowd, short_of_end(begins, body, LAST_CHUNK))
            check_sound(process)

    def test_very_small_chunks_that_stop_short_of_their_end(self, fleet):
        """Guards against chunks that take a multiple of their size in memory."""
        body = chunked(b"ab" * (SMALL_MAX_BODY_BYTES // 2), 2)
        with (
            small_ingress(fleet, max_body_bytes=SMALL_MAX_BODY_BYTES) as process,
            Crowd(process.ports["http"]) as crowd,
        ):
            begins = heads(CROWD, transfer_encoding="chunked")
            place(process, crowd, short_of_end(begins, body, LAST_CHUNK))
            check_sound(process)


class TestBodiesBeyondTheLimit:
    def test_announced(self, fleet):
        """Guards against bodies that are sent on after their refusal."""
        body = bytes(BEYOND_LIMIT_BYTES)
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            fields = {"content_length": str(len(body))}
            place(process, crowd, [each + body for each in heads(CROWD, **fields)])
            check_sound(process)

    def test_just_sent(self, fleet):
        """Guards against bodies that are held until they exceed the limit."""
        body = chunked(bytes(BEYOND_LIMIT_BYTES), PIECE_BYTES)
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            fields = {"transfer_encoding": "chunked"}
            place(process, crowd, [each + body for each in heads(CROWD, **fields)])
            check_sound(process)


class TestConnections:
    @pytest.mark.parametrize(
        "begin",
        [b"", b"POST /lookup/1 HTTP/1.1\r\nhost: a", head(content_length="9") + b"8"],
        ids=["nothing", "part of a head", "part of a body"],
    )
    def test_more_connections_than_descriptors(self, fleet, begin):
        """Guards against a crowd that takes all descriptors and stays."""
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            limit_descriptors(process)
            connections = crowd.connect(CONNECTIONS)
            crowd.send_in_turn([(sock, iter([begin])) for sock in connections])
            check_sound(process)

    def test_pipelined_bytes(self, fleet):
        """Guards against bytes behind open requests that exceed the memory."""
        fields = {"path": "/held/1", "content_length": "1"}
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            requests = [each + b"q" for each in heads(PIPELINING, **fields)]
            connections = place(process, crowd, requests)
            behind = head(path="/held/2", x=("x" * 8192)) * (PIPELINED_BYTES // 8192)
            for sock in connections:
                sock.setblocking(False)
                crowd.send_in_turn([(sock, iter([behind]))])
            wait_until(lambda: look_up(process, "ordinary") == 200, "an answer")
            assert process.popen.poll() is None
            assert peak_memory_bytes(process) <= MEMORY_BYTES


class TestSingleRequest:
    @pytest.mark.parametrize("chunk_bytes", [None, PIECE_BYTES, 2, 1])
    def test_a_request_of_legal_size_is_served(self, fleet, chunk_bytes):
        """Guards against a bound that a request inside the limits meets in calm."""
        body = b"ab" * (MAX_BODY_BYTES // 2)
        with small_ingress(fleet) as process, Crowd(process.ports["http"]) as crowd:
            if chunk_bytes is None:
                data = head(content_length=str(len(body))) + body
            else:
                data = head(transfer_encoding="chunked") + chunked(body, chunk_bytes)
                data += LAST_CHUNK
            (sock,) = place(process, crowd, [data])
            assert sock.recv(PIECE_BYTES).startswith(b"HTTP/1.1 200 ")
            check_sound(process)


class TestRouter:
    def test_bodies_that_stop_short_of_their_end(self, fleet):
        """Guards against incomplete bodies that together exceed a router's memory."""
        fleet.platform()
        router = fleet.router("router")
        fleet.wait_ready(router)
        body = bytes(MAX_BODY_BYTES - 1)
        begin = head(path="/v1/chat/completions", content_length=str(MAX_BODY_BYTES))

        def ask():
            answer = send_request(
                router.ports["http"], "POST", "/v1/chat/completions", UNKNOWN_CALL
            )
            return answer.status == 404

        with Crowd(router.ports["http"]) as crowd:
            place(router, crowd, [begin + body] * ROUTER_CROWD)
            check_sound(router, memory_bytes=ROUTER_MEMORY_BYTES, ask=ask)
