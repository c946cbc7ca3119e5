"""Stand-ins and helpers that the scripts of this review share.

The store, the servers and the clients run inside the script's own process.  The
project's programs run as separate processes, with the commands of the deploy file.
All addresses are loopback addresses: each machine has one of its own in 127.0.0.0/8.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import traceback
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(os.environ.get("REVIEW_ROOT", Path(__file__).resolve().parent.parent))
STORE_IP = "127.0.0.1"
PORT_COUNT = 16
LONGEST_SECONDS = 115
CANNOT_RUN = 2
ZONES = ("port-louis", "curepipe", "grand-baie")
REGION = "mu-island"
HOST = "ficu95.example"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began

    def line(self, text):
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write one line, and print it too."""
        self.line(text)
        print(text, flush=True)


@dataclass
class Message:
    """One HTTP request or answer."""

    first: str
    headers: dict
    body: bytes = b""


async def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(first, {k.strip().lower(): v.strip() for k, _, v in pairs})


async def read_request(reader):
    """Return one whole request with a length or in chunks, None at the end."""
    message = await read_head(reader)
    if message is None:
        return None
    message.body = await read_body(reader, message.headers)
    return message


async def read_body(reader, headers):
    """Return a whole body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readline()).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


def answer_bytes(status, body=b"", headers=None):
    """Return a whole answer with a length."""
    fields = {"Content-Length": str(len(body))} | (headers or {})
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, and one revision counter."""

    def __init__(self, record):
        self.writes_at = []
        self._writers = set()
        self._record = record
        self._revision = 100
        self._objects = {}
        self._events = []
        self._changed = asyncio.Condition()
        self._server = None
        self.address = ""

    async def open(self):
        """Listen on a free port, or again on the port of before."""
        port = int(self.address.partition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, STORE_IP, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{STORE_IP}:{port}"

    def go_down(self):
        """Reset all connections, and new ones until `open` is called again."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def put(self, kind, name, spec_text):
        """Write an object as the operator or a server does; `spec_text` is JSON."""
        await self._store(kind, name, spec_text)
        self._record.line(f"store: {kind}/{name} acknowledged at {self._revision}")

    async def remove(self, kind, name):
        """Remove an object."""
        text = self._objects.pop((kind, name))
        await self._add_event(kind, text, deleted=True)

    async def _store(self, kind, name, spec_text):
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "created": 1}
        metadata |= {"finalizers": [], "deletionPending": False}
        text = f'{{"metadata":{json.dumps(metadata)},"spec":{spec_text},"status":null}}'
        self._objects[kind, name] = text
        await self._add_event(kind, text, deleted=False, counted=True)
        return text

    async def _add_event(self, kind, text, *, deleted, counted=False):
        self._revision += not counted
        event = f'{{"deleted":{json.dumps(deleted)},"object":{text}}}'
        async with self._changed:
            self._events.append((self._revision, kind, event))
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, text = await self._answer(request)
                kind = {"Content-Type": "application/json"}
                writer.write(answer_bytes(status, text.encode(), kind))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/ragwortkeel/objects/").partition("/")
        kind, name = unquote(kind), unquote(name)
        if method == "GET":
            return await self._read(kind, name, query)
        return await self._write(method, kind, name, request.body)

    async def _read(self, kind, name, query):
        if name:
            text = self._objects.get((kind, name))
            return (200, text) if text is not None else (404, "{}")
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        items = [text for (each, _), text in self._objects.items() if each == kind]
        body = f'{{"items":[{",".join(items)}],"hasMore":false,"at":{self._revision}}}'
        return 200, body

    async def _watch(self, kind, since, query):
        ends_at = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [e for r, k, e in self._events if k == kind and r > since]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                at = self._revision
                return 200, f'{{"events":[{",".join(events)}],"at":{at}}}'
            async with self._changed:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)

    async def _write(self, method, kind, name, body):
        document = json.loads(body)
        name = name or document["metadata"]["name"]
        known = self._objects.get((kind, name))
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, "{}"
        revision = document["metadata"].get("revision")
        if method == "PUT" and revision != json.loads(known)["metadata"]["revision"]:
            return 409, known
        self.writes_at.append(time.monotonic())
        return 200, await self._store(kind, name, json.dumps(document["spec"]))


@dataclass
class Server:
    """A server of one service, which registers itself in the store.

    With `event_tokens` it is a model server: it answers with a stream of events.
    """

    record: Record
    store: Store
    name: str
    service: str
    ip: str
    slots: int = 64
    work_s: float = 0.0
    event_tokens: int = 0
    zone: str = "port-louis"
    address: str = ""
    runs: list = field(default_factory=list)
    tokens_by_tenant: dict = field(default_factory=dict)

    async def open(self):
        """Listen on a free port and register."""
        server = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = f"{self.ip}:{server.sockets[0].getsockname()[1]}"
        self.born = int(time.time() * 1000)
        await self.register("ready")

    async def register(self, state):
        """Write the entry of this server."""
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }
        await self.store.put("servers", self.name, json.dumps(spec))

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        headers, request_id = request.headers, request.headers.get("request-id", "")
        common = {"Request-Id": request_id, "Instance-Id": self.name}
        if request.first.split(" ")[1] == "/health":
            writer.write(answer_bytes(200, b"", common))
            return
        if not request_id:
            writer.write(answer_bytes(400, b"", common | {"Not-Executed": "1"}))
            return
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", common))
            return
        self.runs.append(request_id)
        self.record.line(f"server {self.name} runs {request_id}")
        common["Server-Seal"] = f"seal.{request_id}"
        if self.event_tokens:
            await self._stream(headers, common, writer)
            return
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, b"done " + request_id.encode(), common))

    async def _stream(self, headers, common, writer):
        prompt, _, most = headers["token-usage"].partition(",")
        tenant = headers.get("tenant", "")
        self._count(tenant, int(prompt))
        fields = common | {"Content-Type": "text/event-stream"}
        fields |= {"Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in fields.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, int(most) // self.event_tokens + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            self._count(tenant, self.event_tokens)
        writer.write(b"0\r\n\r\n")

    def _count(self, tenant, tokens):
        self.tokens_by_tenant[tenant] = self.tokens_by_tenant.get(tenant, 0) + tokens


class Connection:
    """A client's connection, which it may keep for many requests."""

    def __init__(self, record, address):
        self._record = record
        self._host, _, port = address.partition(":")
        self._port = int(port)
        self._streams = None

    async def request(self, request_id, path, *, method="GET", headers=None, limit=5.0):
        """Send a request; return its status, or how it ended without an answer."""
        self._record.line(f"client sends {request_id} to {self._host}")
        try:
            outcome = await asyncio.wait_for(
                self._exchange(request_id, path, method, headers or {}, limit), limit
            )
        except TimeoutError:
            outcome = "timeout"
        except (ConnectionError, asyncio.IncompleteReadError):
            outcome = "closed"
        except OSError:
            outcome = "no connection"
        if not isinstance(outcome, int):
            self.close()
        self._record.line(f"client gets {outcome} for {request_id}")
        return outcome

    async def _exchange(self, request_id, path, method, headers, limit):
        if self._streams is None:
            try:
                opened = asyncio.open_connection(self._host, self._port)
                self._streams = await opened
            except ConnectionError:
                return "no connection"
        reader, writer = self._streams
        fields = {"Host": HOST, "Request-Id": request_id}
        fields |= {"Deadline-Ms": str(int(limit * 1000)), "Content-Length": "0"}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in (fields | headers).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await writer.drain()
        answer = await read_head(reader)
        if answer is None:
            return "closed"
        await read_body(reader, answer.headers)
        status = int(answer.first.split(" ")[1])
        if status < 300 and not answer.headers.get("server-seal"):
            return "unsigned"
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return status

    def close(self):
        """Close the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def free_port(ips, count=1):
    """Return the first of `count` ports in a row that are free on all addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            first = probe.getsockname()[1]
        if first + count < 65000 and _all_free(ips, range(first, first + count)):
            return first


def _all_free(ips, ports):
    try:
        for ip in ips:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((ip, port))
    except OSError:
        return False
    return True


class Machine:
    """A machine with one process of the project."""

    def __init__(self, fleet, role, name, ip):
        self.name = name
        self.ip = ip
        self.front = f"{ip}:{fleet.front_port}"
        self.ready_address = f"{ip}:{fleet.ready_port}"
        self._fleet = fleet
        self._role = role
        self._settings = Path(fleet.folder) / f"{name}.conf"
        self._settings.write_text(fleet.settings(self, role), encoding="utf-8")
        self._process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        if self._process is not None:
            text = self._settings.read_text("utf-8")
            text = text.replace("bootstrap=true", "bootstrap=false")
            self._settings.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"][self._role]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {"RAGWORTKEEL_BOOT": str(self._settings)}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with open(Path(self._fleet.folder) / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )
        self._fleet.record.line(f"process of {self.name} starts")

    def send(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def ended(self):
        """Return the exit code of a process that ended by itself, or None."""
        return None if self._process is None else self._process.poll()

    def log(self):
        """Return what the processes of this machine have written."""
        path = Path(self._fleet.folder) / f"{self.name}.log"
        return path.read_text("utf-8", errors="replace")


class Fleet:
    """The machines of a small deployment; use as a context manager."""

    def __init__(self, record, store, *, fronts=2, relays=2):
        self.record = record
        self._store = store
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        ips = [f"127.0.1.{number + 1}" for number in range(fronts)]
        side_ips = [f"127.0.2.{number + 1}" for number in range(relays)]
        self.front_port = free_port(ips)
        self.ready_port = free_port(ips)
        self.control_port = free_port(ips)
        self.first_port = free_port(ips + side_ips, PORT_COUNT)
        self._seeds = ",".join(f"{ip}:{self.control_port}" for ip in ips[:3])
        zones = list(ZONES)
        self._zone_by_ip = {ip: zones[n % 3] for n, ip in enumerate(ips)}
        self._zone_by_ip |= {ip: zones[n % 3] for n, ip in enumerate(side_ips)}
        self.fronts = [
            Machine(self, "ingress", f"front-{n + 1}", ip) for n, ip in enumerate(ips)
        ]
        self.relays = [
            Machine(self, "relay", f"side-{n + 1}", ip) for n, ip in enumerate(side_ips)
        ]

    def settings(self, machine, role):
        """Return a settings file as the platform writes it."""
        is_front = role == "ingress"
        lines = [
            f"nodeName={machine.name}",
            f"role={role}",
            f"machineClass={'front' if is_front else 'side'}",
            f"serves={'front,control' if is_front else ''}",
            f"ip={machine.ip}",
            f"zone={self._zone_by_ip[machine.ip]}",
            f"region={REGION}",
            *(f"zones.{zone}={REGION}" for zone in ZONES),
            f"portRange={self.first_port},{self.first_port + PORT_COUNT - 1}",
            f"seeds={self._seeds}",
            "bootstrap=true",
            "countsTowardLoss=false",
            "limits.cpuShare=0.817",
            "limits.cores=1",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "limits.linkMbps=1000.0",
            "limits.diskMb=0",
            "discovery=platform",
            "entry=virtual_ip",
            "heartbeatMs=1200",
            *BOUNDS,
            f"platform.address={self._store.address}",
            "platform.form=objects",
            "platform.writesPerS=1200",
            "platform.readsPerS=6000",
            "platform.historyS=20",
            "platform.valueBytes=1048576",
        ]
        if is_front:
            lines += [
                f"listen.front={machine.front}",
                f"listen.ready={machine.ready_address}",
                f"listen.control={machine.ip}:{self.control_port}",
            ]
        return "\n".join(lines) + "\n"

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for machine in [*self.fronts, *self.relays]:
            if os.environ.get("KEEP_LOGS"):
                target = Path(os.environ["KEEP_LOGS"]) / f"{machine.name}.log"
                if (Path(self.folder) / f"{machine.name}.log").exists():
                    target.write_text(machine.log(), encoding="utf-8")
            machine.kill()
        self._temporary.cleanup()

    def start(self):
        """Start all processes."""
        for machine in [*self.relays, *self.fronts]:
            machine.start()

    async def wait_ready(self, seconds=20.0):
        """Wait until all fronts say that they are ready; return whether they do."""
        ends_at = time.monotonic() + seconds
        waiting = list(self.fronts)
        while waiting and time.monotonic() < ends_at:
            waiting = [each for each in waiting if not await self.is_ready(each)]
            await asyncio.sleep(0.1)
        return not waiting

    async def is_ready(self, machine):
        """Return whether a front answers its readiness probe with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                machine.ip, int(machine.ready_address.partition(":")[2])
            )
        except OSError:
            return False
        try:
            probe = f"GET /ragwortkeel/ready HTTP/1.1\r\nHost: {machine.ip}\r\n\r\n"
            writer.write(probe.encode())
            answer = await asyncio.wait_for(read_head(reader), 1.0)
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return answer is not None and answer.first.split(" ")[1] == "200"


BOUNDS = (
    "bounds.seedLagS=3",
    "bounds.reuseAfterS=2",
    "bounds.stableWindowMs=4000",
    "bounds.ackMs=6000",
    "bounds.catchUpS=6",
    "bounds.drainMs=3000",
    "bounds.graceS=8",
    "bounds.lossSlackMs=200",
    "bounds.configMs=3000",
    "bounds.downgradeSlackMs=250",
    "bounds.stretchMaxMs=6000",
    "bounds.strictRevoke=false",
    "bounds.revokeMs=5000",
    "bounds.budgetRatio=0.2",
    "bounds.budgetWindowS=10",
    "bounds.budgetSlack=98",
    "bounds.recoveryS=15",
    "bounds.passMs=200",
    "bounds.reuseWindowS=10",
    "bounds.settle_ms=1500",
)


def configuration(*, prepaid_by_tenant):
    """Return the operator's configuration: a model service and a plain one."""
    tenants = [
        {"name": name, "apiKeys": [f"key-{name}"], "prepaid": prepaid}
        for name, prepaid in prepaid_by_tenant.items()
    ]
    common = {"host": HOST, "priority": 1, "sessionAffinity": False}
    routes = [
        common
        | {"name": "r-chat", "pathPrefix": "/chat/", "kind": "stream"}
        | {"timeoutMs": 12000, "targetLatencyMs": 500, "service": "pool"}
        | {"maxAttempts": 1, "public": False, "resumable": False, "gapTargetMs": 600},
        common
        | {"name": "r-status", "pathPrefix": "/status/", "kind": "idempotent"}
        | {"timeoutMs": 5000, "targetLatencyMs": 200, "service": "app"}
        | {"maxAttempts": 2, "public": True},
    ]
    engine = {"slots": 64, "kvCapacityTokens": 508599, "stride": 6}
    services = [
        {"name": "pool", "healthPath": "/health", "maxConnections": 360}
        | {"protocol": "h1", "tls": False, "engine": engine},
        {"name": "app", "healthPath": "/health", "maxConnections": 96}
        | {"protocol": "h1", "tls": False},
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 10000, "idleTimeoutMs": 60000}
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def run(main):
    """Run a script's main coroutine within its time; return its exit code."""
    loop = asyncio.new_event_loop()
    task = loop.create_task(asyncio.wait_for(main(), LONGEST_SECONDS))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return loop.run_until_complete(task)
    except asyncio.CancelledError:
        print("the case was stopped", flush=True)
    except TimeoutError:
        print("the case took too long to run", flush=True)
    except Exception:
        traceback.print_exc()
    return CANNOT_RUN
