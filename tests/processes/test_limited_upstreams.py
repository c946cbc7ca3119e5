"""Tests of an announced rate limit that several ingress processes share."""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

import curio
import msgspec
from deployments.fleet import HOST, send_request
from tests.ingress.builders import configuration, upstream

from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAMS_KIND,
)
from ragwortkeel.platform_client import HttpPlatform

LIMIT_PER_SECOND = 1.2
WINDOW_SECONDS = 4.0
MAX_IN_WINDOW_REQUESTS = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
ANNOUNCEMENT_SECONDS = 0.5
STARTUP_SECONDS = 2.0
PROCESSES = 3
ROUNDS = 60
ROUND_INTERVAL_SECONDS = 0.1
REQUEST_INTERVAL_SECONDS = PROCESSES / LIMIT_PER_SECOND
SELECTION_SECONDS = 1.0


@contextmanager
def serving(limit=None):
    """Serve as an upstream; yield its port and the arrival times of requests."""
    arrived = []

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            arrived.append(time.monotonic())
            self.rfile.read(int(self.headers["content-length"]))
            self.send_response(200)
            self.send_header("content-length", "2")
            self.send_header("x-request-id", self.headers["x-request-id"])
            self.send_header("x-upstream-proof", "p1")
            if limit is not None:
                self.send_header("x-rate-limit", str(limit))
            self.end_headers()
            self.wfile.write(b"ok")

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer((HOST, 0), Handler)
    thread = Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.server_port, arrived
    finally:
        server.shutdown()
        server.server_close()


async def write(address, value_by_object):
    platform = HttpPlatform(address=address)
    for (kind, name), value in value_by_object.items():
        await platform.create(kind, name, msgspec.json.encode(value))


def max_in_window(arrived):
    return max(
        sum(first <= at < first + WINDOW_SECONDS for at in arrived) for first in arrived
    )


def test_processes_share_an_announced_limit(fleet):
    """Guards against processes that each use the full limit of an upstream."""

    def lookup(number):
        process = processes[number % PROCESSES]
        headers = {
            "host": "app.example",
            "x-request-id": f"r{number}",
            "x-deadline-ms": "3000",
            "authorization": "Bearer key-1",
        }
        return send_request(
            process.ports["http"], "POST", "/lookup/1", "q", headers
        ).status

    fleet.platform()
    with ExitStack() as stack, ThreadPoolExecutor(24) as pool:
        limited, arrived = stack.enter_context(serving(LIMIT_PER_SECOND))
        unlimited = [stack.enter_context(serving())[0] for _ in range(2)]
        value_by_object = {
            (UPSTREAMS_KIND, f"u{number}"): upstream(f"u{number}", port=port)
            for number, port in enumerate([limited, *unlimited])
        }
        value_by_object[CONFIGURATION_KIND, CONFIGURATION_NAME] = configuration()
        curio.run(write, f"{HOST}:{fleet.platform_port}", value_by_object)
        processes = fleet.ingresses(PROCESSES)
        fleet.wait_ready(*processes)
        time.sleep(STARTUP_SECONDS)
        begun = time.monotonic()
        answers = []
        for round_number in range(ROUNDS):
            numbers = range(round_number * PROCESSES, (round_number + 1) * PROCESSES)
            answers += [pool.submit(lookup, number) for number in numbers]
            time.sleep(ROUND_INTERVAL_SECONDS)
        assert {answer.result() for answer in answers} == {200}
    late = [at for at in arrived if at >= begun + ANNOUNCEMENT_SECONDS]
    assert max_in_window(late) <= MAX_IN_WINDOW_REQUESTS
    last_due = (
        begun
        + ROUNDS * ROUND_INTERVAL_SECONDS
        - REQUEST_INTERVAL_SECONDS
        - SELECTION_SECONDS
    )
    assert late[-1] > last_due
