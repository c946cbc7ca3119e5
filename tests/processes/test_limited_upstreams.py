"""An upstream announces a rate limit; ingress processes of their own keep it."""

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

LIMIT = 1.2
WINDOW_SECONDS = 4.0
MOST_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5
TOLD_SECONDS = 0.5
SETTLED_SECONDS = 2.0
PROCESSES = 3
ROUNDS = 60
PAUSE_SECONDS = 0.1
PART_SECONDS = PROCESSES / LIMIT
CHOSEN_SECONDS = 1.0


@contextmanager
def serving(limit=None):
    """Serve as an upstream; yield its port and when requests arrived."""
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


async def write(address, value_by_place):
    platform = HttpPlatform(address=address)
    for (kind, name), value in value_by_place.items():
        await platform.create(kind, name, msgspec.json.encode(value))


def most_in_a_window(arrived):
    return max(
        sum(first <= at < first + WINDOW_SECONDS for at in arrived) for first in arrived
    )


def test_processes_of_their_own_keep_an_announced_limit_together(fleet):
    """Guards against processes that each use an upstream's whole limit."""

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
        limited, arrived = stack.enter_context(serving(LIMIT))
        others = [stack.enter_context(serving())[0] for _ in range(2)]
        value_by_place = {
            (UPSTREAMS_KIND, f"u{number}"): upstream(f"u{number}", port=port)
            for number, port in enumerate([limited, *others])
        }
        value_by_place[CONFIGURATION_KIND, CONFIGURATION_NAME] = configuration()
        curio.run(write, f"{HOST}:{fleet.platform_port}", value_by_place)
        processes = fleet.ingresses(PROCESSES)
        fleet.wait_ready(*processes)
        time.sleep(SETTLED_SECONDS)
        begun = time.monotonic()
        answers = []
        for round_number in range(ROUNDS):
            numbers = range(round_number * PROCESSES, (round_number + 1) * PROCESSES)
            answers += [pool.submit(lookup, number) for number in numbers]
            time.sleep(PAUSE_SECONDS)
        assert {answer.result() for answer in answers} == {200}
    late = [at for at in arrived if at >= begun + TOLD_SECONDS]
    assert most_in_a_window(late) <= MOST_IN_WINDOW
    last_due = begun + ROUNDS * PAUSE_SECONDS - PART_SECONDS - CHOSEN_SECONDS
    assert late[-1] > last_due
