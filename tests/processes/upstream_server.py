"""An upstream as a server of its own, for tests with ingress processes."""

import time
from contextlib import contextmanager
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

STARTUP_SECONDS = 2.0


@contextmanager
def serving(headers=None, *, status=200):
    """Serve as an upstream; yield its port, and the ids and times of requests."""
    arrivals = []

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            request_id = self.headers["x-request-id"]
            arrivals.append((request_id, time.monotonic()))
            self.rfile.read(int(self.headers["content-length"]))
            self.send_response(status)
            self.send_header("content-length", "2")
            self.send_header("x-request-id", request_id)
            self.send_header("x-upstream-proof", "p1")
            for name, value in (headers or {}).items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(b"ok")

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer((HOST, 0), Handler)
    thread = Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.server_port, arrivals
    finally:
        server.shutdown()
        server.server_close()


def start_ingresses(fleet, *, count, ports):
    """Start a platform with the upstreams at these ports, and ingress processes."""

    async def write():
        platform = HttpPlatform(address=f"{HOST}:{fleet.platform_port}")
        for number, port in enumerate(ports):
            value = msgspec.json.encode(upstream(f"u{number}", port=port))
            await platform.create(UPSTREAMS_KIND, f"u{number}", value)
        value = msgspec.json.encode(configuration())
        await platform.create(CONFIGURATION_KIND, CONFIGURATION_NAME, value)

    fleet.platform()
    curio.run(write)
    processes = fleet.ingresses(count)
    fleet.wait_ready(*processes)
    time.sleep(STARTUP_SECONDS)
    return processes


def look_up(process, request_id):
    """Send a lookup to a process and return the status of its response."""
    headers = {
        "host": "app.example",
        "x-request-id": request_id,
        "x-deadline-ms": "3000",
        "authorization": "Bearer key-1",
    }
    port = process.ports["http"]
    return send_request(port, "POST", "/lookup/1", "q", headers).status
