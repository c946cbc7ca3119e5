"""Upstreams that send bytes without end, at a real process with little memory.

The bounds are those of the machine that a test's settings describe.  A crowd of
callers has a fixed size, and each answer a fixed length.
"""

import select
import socket
from contextlib import ExitStack, contextmanager, suppress
from threading import Thread

import curio
import msgspec
import pytest
from deployments.fleet import HOST, TIMEOUT_SECONDS, wait_until
from tests.ingress.builders import configuration, route, upstream
from tests.processes.crowd import Crowd
from tests.processes.test_clients_outside_limits import (
    LINK_BYTES_PER_SECOND,
    MEMORY_BYTES,
    check_sound,
    heads,
)
from tests.processes.upstream_server import look_up, serving

from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAMS_KIND,
    Service,
    Split,
)
from ragwortkeel.platform_client import HttpPlatform

CROWD = 24
ANSWER_BYTES = 8 * 1024 * 1024 - 1
STREAM_CROWD = 60
EVENT_BYTES = 1024 * 1024 - 1024
SLOTS = 96
PIECE_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
LENGTH = f"content-length: {ANSWER_BYTES + 1}"
CHUNKED = "transfer-encoding: chunked"
STREAM = "content-type: text/event-stream"
ONE_CHUNK = b"%x\r\n" % (ANSWER_BYTES + 1)
SMALL_CHUNK = b"400\r\n" + bytes(1024) + b"\r\n"


class Faulty:
    """A server whose answers begin, go on to a fixed length and never end.

    Attributes
    ----------
    finished : set of str
        Requests whose answer was sent, or whose connection was closed before.
    """

    def __init__(self, fields, begin, block, size):
        self.finished = set()
        self._fields = fields
        self._begin = begin
        self._block = block
        self._size = size
        self._listener = socket.create_server((HOST, 0), backlog=SLOTS)
        self._open = []
        self.port = self._listener.getsockname()[1]

    def __enter__(self):
        Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        for sock in [self._listener, *self._open]:
            sock.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self._open.append(sock)
                Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock):
        request_id = ""
        with suppress(OSError):
            sock.settimeout(TIMEOUT_SECONDS)
            request = b""
            while b"\r\n\r\n" not in request:
                request += sock.recv(READ_BYTES)
            found = dict(
                line.split(": ", 1) for line in request.decode().split("\r\n")[1:-2]
            )
            request_id = found["x-request-id"]
            lines = ["HTTP/1.1 200 OK", f"x-request-id: {request_id}"]
            lines += ["x-upstream-proof: p1", *self._fields, "", ""]
            sock.sendall("\r\n".join(lines).encode() + self._begin)
            for _ in range(self._size // len(self._block)):
                sock.sendall(self._block)
        self.finished.add(request_id)


async def write_objects(platform_port, ports_by_service):
    platform = HttpPlatform(address=f"{HOST}:{platform_port}")
    for service, port in ports_by_service.items():
        entry = upstream(f"{service}-1", service=service, port=port, slots=SLOTS)
        await platform.create(UPSTREAMS_KIND, entry.name, msgspec.json.encode(entry))
    value = configuration(
        routes=(
            route(),
            route(
                "faulty",
                "/faulty/",
                splits=(Split(service="faulty"),),
                timeout_seconds=60.0,
            ),
        ),
        services=tuple(
            Service(name=service, max_connections=SLOTS) for service in ports_by_service
        ),
    )
    await platform.create(
        CONFIGURATION_KIND, CONFIGURATION_NAME, msgspec.json.encode(value)
    )


@contextmanager
def small_ingress(fleet, faulty):
    """Start an ingress process on a small machine, with a sound and a faulty one."""
    with ExitStack() as stack:
        app, _ = stack.enter_context(serving())
        stack.enter_context(faulty)
        fleet.platform()
        ports_by_service = {"app": app, "faulty": faulty.port}
        curio.run(write_objects, fleet.platform_port, ports_by_service)
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


def check_crowd(fleet, faulty, count):
    """Ask for as many answers at once, and check the process once all were sent."""
    with small_ingress(fleet, faulty) as process, Crowd(process.ports["http"]) as crowd:
        requests = heads(count, path="/faulty/1", content_length="0")
        connections = crowd.connect(count)
        assert len(connections) == count
        for sock, request in zip(connections, requests, strict=True):
            sock.sendall(request)
        unsettled = dict(zip(connections, (f"c{i}" for i in range(count)), strict=True))

        def is_settled():
            answered, _, _ = select.select(list(unsettled), [], [], 0)
            for sock, request_id in list(unsettled.items()):
                if sock in answered or request_id in faulty.finished:
                    del unsettled[sock]
            return not unsettled

        wait_until(is_settled, "each answer was sent, or its caller has another")
        check_sound(process)


@pytest.mark.parametrize(
    ("field", "begin", "block"),
    [
        (LENGTH, b"", bytes(PIECE_BYTES)),
        (CHUNKED, ONE_CHUNK, bytes(PIECE_BYTES)),
        (CHUNKED, b"", SMALL_CHUNK),
        ("x-a: b", b"", bytes(PIECE_BYTES)),
        ("x-not-run: 1", b"", bytes(PIECE_BYTES)),
    ],
    ids=[
        "with a length",
        "in one chunk",
        "in small chunks",
        "without a length",
        "of a refusal",
    ],
)
def test_bodies_that_stop_short_of_their_end(fleet, field, begin, block):
    """Guards against incomplete answers that together exceed the memory."""
    check_crowd(fleet, Faulty([field], begin, block, ANSWER_BYTES), CROWD)


def test_events_that_stop_short_of_their_end(fleet):
    """Guards against incomplete events that together exceed the memory."""
    fields = [STREAM, CHUNKED]
    block = b"400\r\n" + b"x" * 1024 + b"\r\n"
    begin = b"d\r\nid: 1\ndata: x\r\n"
    check_crowd(fleet, Faulty(fields, begin, block, EVENT_BYTES), STREAM_CROWD)
