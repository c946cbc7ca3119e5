"""Ingress processes in one kernel, with upstreams that follow a test's scripts."""

import socket as _socket
from dataclasses import dataclass, field

import curio
import h11
import msgspec
from curio.task import ContextTask
from deployments.ports import HOST, free_address, free_port
from soak.ways import PlatformWay
from tests.ingress.builders import configuration, route, upstream

from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.http_events import join_headers, next_event
from ragwortkeel.httpio import HttpClient
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAMS_KIND,
    Customer,
    Engine,
    Repeats,
    Service,
    Split,
)
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.relay_worker import RelayWorker
from ragwortkeel.ingress.worker import IngressWorker
from ragwortkeel.messages import VersionedObject
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.settings import IngressSettings, RelaySettings
from ragwortkeel.standins.local_platform import LocalPlatform
from ragwortkeel.standins.platform import open_server

NAMES = HeaderNames()
KEY = "key-1"
SCENARIO_TIMEOUT_SECONDS = 20.0
RESET_ON_CLOSE = b"\x01\0\0\0\0\0\0\0"
"""Value of SO_LINGER with which a close resets the connection."""
CALL_SECONDS = 0.6
"""Time limit of a platform call where each process has its own way to it."""
REPORT_PATH = "/report"
SETTLED_SECONDS = 1.5
"""Longer than the links need to come up and to exchange what each process knows."""
ROUTES = (
    route("lookup", "/lookup/", max_attempts=2),
    route("filing", "/filing/", repeats=Repeats.ONCE),
    route(
        "chat",
        "/chat/",
        repeats=Repeats.STREAM,
        resumable=True,
        max_attempts=2,
        splits=(Split(service="pool"),),
    ),
    route(
        "review",
        "/review/",
        repeats=Repeats.STREAM,
        splits=(Split(service="pool"),),
    ),
)
SERVICES = (
    Service(name="app", max_connections=96),
    Service(
        name="pool",
        max_connections=96,
        engine=Engine(slots=8, memory_tokens=100_000, event_tokens=6),
    ),
)


def run_ingress(scenario, **options):
    """Start a fleet, return the result of ``await scenario(fleet)``, stop the fleet."""

    async def main():
        fleet = IngressFleet(**options)
        await fleet.start()
        try:
            async with curio.timeout_after(SCENARIO_TIMEOUT_SECONDS):
                return await scenario(fleet)
        finally:
            await fleet.stop()

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as an upstream received it."""

    method: str
    target: str
    headers: dict
    body: bytes


@dataclass
class ScriptedUpstream:
    """A server that passes each request to `script(seen, sock)`.

    The script writes raw bytes, so it can break any rule of the protocol.  It is called
    before the body is read unless the upstream `reads_body`.
    """

    name: str
    service: str = "app"
    script: object = None
    seen: list = field(default_factory=list)
    connections: int = 0
    sock: object = None
    task: object = None
    open_socks: list = field(default_factory=list)
    serving: list = field(default_factory=list)
    started_ms: int = 0
    reports: int = 0
    reads_body: bool = True

    async def start(self, port=0):
        self.sock = curio.network.tcp_server_socket("127.0.0.1", port)
        self.port = self.sock.getsockname()[1]
        self.task = await curio.spawn(self._accept, daemon=True)

    async def stop(self):
        await self.task.cancel()
        await self.sock.close()
        for sock in list(self.open_socks):
            await sock.close()

    async def _accept(self):
        while True:
            sock, _ = await self.sock.accept()
            self.connections += 1
            self.open_socks.append(sock)
            self.serving.append(await curio.spawn(self._serve, sock, daemon=True))

    async def crash(self):
        """Refuse new connections and reset the open ones, as a killed process does.

        The caller may be the script of one of them, whose connection is reset once it
        returns False.
        """
        await self.task.cancel()
        await self.sock.close()
        for sock in self.open_socks:
            sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, RESET_ON_CLOSE)
        current = await curio.current_task()
        for task in self.serving:
            if task is not current:
                await task.cancel(blocking=False)

    async def start_again(self, started_ms):
        """Close all connections and listen at the same port, as a later start."""
        await self.stop()
        self.started_ms = started_ms
        await self.start(self.port)

    async def _serve(self, sock):
        try:
            while await self._serve_request(sock):
                pass
        except OSError:
            pass
        finally:
            self.open_socks.remove(sock)
            await sock.close()

    async def _serve_request(self, sock):
        conn = h11.Connection(h11.SERVER)
        head = await next_event(sock, conn)
        if not isinstance(head, h11.Request):
            return False
        body = b""
        while self.reads_body:
            event = await next_event(sock, conn)
            if not isinstance(event, h11.Data):
                break
            body += bytes(event.data)
        seen = ReceivedRequest(
            method=head.method.decode(),
            target=head.target.decode(),
            headers=join_headers(head.headers),
            body=body,
        )
        if seen.target == REPORT_PATH:
            self.reports += 1
            await sock.sendall(report(self.started_ms))
            return True
        self.seen.append(seen)
        return await self.script(seen, sock)


def report(started_ms):
    """Return the bytes of an upstream's report, which states its start."""
    body = msgspec.json.encode({"born": started_ms, "running": 0})
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def plain(seen, body=b"ok", *, status="200 OK", echo=None, proof=True, extra=""):
    """Return the bytes of a complete answer that is no stream."""
    lines = [f"HTTP/1.1 {status}", f"content-length: {len(body)}"]
    lines.append(f"x-request-id: {echo or seen.headers['x-request-id']}")
    if proof:
        lines.append("x-upstream-proof: p1")
    if extra:
        lines.append(extra)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(seen):
    """Return the head of a chunked event stream."""
    return (
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        f"x-request-id: {seen.headers['x-request-id']}\r\nx-upstream-proof: p1\r\n"
        "transfer-encoding: chunked\r\n\r\n"
    ).encode()


def events(first, last):
    """Return the events with the ids `first` to `last`."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: t%d\n\n" % (i, i) for i in numbers)


def chunk(data):
    """Return the data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


END = b"0\r\n\r\n"


async def answer_whole(seen, sock):
    await sock.sendall(plain(seen))
    return True


async def stream_whole(seen, sock):
    after = int(seen.headers.get("last-event-id", 0))
    await sock.sendall(stream_head(seen) + chunk(events(after + 1, 5)) + END)
    return True


async def reset(sock):
    """Close the connection with a TCP reset."""
    sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, RESET_ON_CLOSE)
    await sock.close()


class IngressFleet:
    """The processes, the platform and the upstreams of one test."""

    def __init__(
        self,
        *,
        scripts=None,
        processes=1,
        prepaid=None,
        routes=ROUTES,
        has_ways=False,
        **settings,
    ):
        scripts = scripts or {"u1": answer_whole, "e1": stream_whole}
        self.platform = LocalPlatform()
        self.has_ways = has_ways
        self.ways = []
        self.upstreams = {
            name: ScriptedUpstream(
                name=name,
                service="pool" if name.startswith("e") else "app",
                script=script,
            )
            for name, script in scripts.items()
        }
        self.customers = (Customer(name="surco", keys=(KEY,), prepaid=prepaid),)
        self.routes = routes
        self.revision = 0
        self.count = processes
        self.settings = settings
        self.workers = []
        self.addresses = []
        self.links = ()
        self.tasks = []
        self.request_count = 0

    async def start(self):
        for server in self.upstreams.values():
            await server.start()
            await self.register(server)
        await self.configure()
        if self.has_ways:
            self.platform_port = free_port()
            _, task = await open_server(
                host=HOST, port=self.platform_port, platform=self.platform
            )
            self.tasks.append(task)
        self.links = tuple(free_address() for _ in range(self.count))
        for i in range(self.count):
            await self.start_worker(f"ingress-{i}", self.links[i], self.links)
        while not all(self.is_ready(worker) for worker in self.workers):
            await curio.sleep(0.01)

    def is_ready(self, worker):
        """Return whether the process is ready and knows all upstreams."""
        known = worker._directory.upstream_by_name
        return worker.ready and len(known) == len(self.upstreams)

    async def connect_platform(self):
        """Return the platform for one more process, over its own way if it has one."""
        if not self.has_ways:
            return self.platform
        way = PlatformWay(target_port=self.platform_port)
        await way.start()
        self.ways.append(way)
        return HttpPlatform(address=f"{HOST}:{way.port}", timeout=CALL_SECONDS)

    async def start_worker(self, name, link, links):
        address = free_address()
        worker = IngressWorker(
            settings=IngressSettings(
                name=name,
                zone="a",
                address=link,
                http=address,
                metrics=free_address(),
                platform="127.0.0.1:9",
                peers=links,
                stop_deadline_seconds=8,
                **self.settings,
            ),
            platform=await self.connect_platform(),
            names=NAMES,
        )
        worker.open()
        self.workers.append(worker)
        self.addresses.append(address)
        self.tasks.append(await curio.spawn(worker.run, daemon=True))
        return worker

    async def stop(self):
        for task in self.tasks:
            await task.cancel()
        for server in self.upstreams.values():
            await server.stop()

    async def register(self, server, **fields):
        fields = {"slots": 6, "started_ms": server.started_ms} | fields
        server.started_ms = fields["started_ms"]
        entry = upstream(
            server.name, service=server.service, port=server.port, **fields
        )
        await self.write(UPSTREAMS_KIND, server.name, msgspec.json.encode(entry))

    async def configure(self, **fields):
        self.revision += 1
        value = configuration(
            self.revision,
            **{
                "routes": self.routes,
                "services": SERVICES,
                "customers": self.customers,
            }
            | fields,
        )
        await self.write(
            CONFIGURATION_KIND, CONFIGURATION_NAME, msgspec.json.encode(value)
        )

    async def write(self, kind, name, value):
        stored = await self.platform.get(kind, name)
        if stored is None:
            await self.platform.create(kind, name, value)
            return
        await self.platform.update(kind, name, value, stored.version)

    async def ask(self, path, *, process=0, method="POST", body=b"q", **headers):
        """Send one request and return its response."""
        self.request_count += 1
        host, port = self.addresses[process].split(":")
        client = HttpClient(host=host, port=int(port))
        fields = {
            "host": "app.example",
            "x-request-id": f"r{self.request_count}",
            "x-deadline-ms": "3000",
            "authorization": f"Bearer {KEY}",
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            return await client.request(
                method, path, body=body, headers=fields, timeout=10.0
            )
        finally:
            await client.close()

    def seen(self):
        """Return the requests that the upstreams received, by upstream."""
        return {name: server.seen for name, server in self.upstreams.items()}


async def start_relay(fleet, name="relay-0"):
    """Start a relay beside the fleet; return it and its task."""
    relay = RelayWorker(
        settings=RelaySettings(
            name=name,
            zone="a",
            address=free_address(),
            metrics=free_address(),
            platform="127.0.0.1:9",
            peers=fleet.links,
        ),
        platform=fleet.platform,
    )
    relay.open()
    return relay, await curio.spawn(relay.run, daemon=True)


def configuration_value(fleet, revision):
    """Return the fleet's configuration as the platform stores it."""
    value = configuration(
        revision, routes=ROUTES, services=SERVICES, customers=fleet.customers
    )
    return msgspec.json.encode(value)


def configuration_object(fleet, revision):
    """Return the fleet's configuration as peers send it."""
    return VersionedObject(
        kind=CONFIGURATION_KIND,
        name=CONFIGURATION_NAME,
        version=revision,
        value=configuration_value(fleet, revision),
    )


async def wait_for_revision(worker, revision):
    """Wait until the process has the revision in force; return its revision."""
    async with curio.timeout_after(5):
        while worker.revision() < revision:
            await curio.sleep(0.01)
    return worker.revision()


async def ledger(fleet):
    """Return the customer's ledger as the platform stores it."""
    stored = await fleet.platform.get(SHARDS_KIND, SHARD_NAME)
    return decode_shard(stored.value).ledger_by_customer["surco"]
