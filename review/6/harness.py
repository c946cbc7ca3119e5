"""A small deployment on loopback addresses: store, servers, clients and processes.

The store and the servers speak what PROTOCOL.md says.  Every machine has a loopback
address of its own, and reaches the store at a port of its own, so that the store can
turn single machines away.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
OBJECTS = "/ragwortkeel/objects"
HOST = "site.example"
HEARTBEAT_SECONDS = 1.2
BEGUN = time.monotonic()
_processes = []


def record(*words):
    """Write a line to record.txt, with the seconds since the start."""
    seconds = time.monotonic() - BEGUN
    with open(HERE / "record.txt", "a", encoding="utf-8") as file:
        file.write(f"{seconds:8.3f} {' '.join(map(str, words))}\n")


class Cut(Exception):
    """A connection ended before a complete message."""


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise Cut(repr(exc)) from exc
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        elif length := int(headers.get("content-length", "0")):
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as exc:
        raise Cut(f"after {len(body)} bytes of the body: {exc!r}") from exc
    return first, headers, body


def message(first, headers, body=b""):
    """Return an HTTP message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


def answer(status, value):
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    first = f"HTTP/1.1 {status} {REASONS[status]}"
    return message(first, {"Content-Type": "application/json"}, body)


class Store:
    """The platform's store: objects by kind and name, with one revision counter.

    `gate(machine, method, kind, body)` is called for each call of a machine and
    returns None to serve it, or "silent" to leave it without an answer and undone.
    """

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.gate = lambda machine, method, kind, body: None

    def put(self, kind, name, spec):
        """Write an object as the operator or a server does."""
        stored = self.objects.setdefault(kind, {}).get(name)
        if stored is not None and stored["spec"] == spec:
            return stored
        self.revision += 1
        created = stored["metadata"]["created"] if stored else self.revision
        document = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = document
        self._record(kind, document, False)
        return document

    def delete(self, kind, name):
        """Remove an object."""
        document = self.objects.get(kind, {}).pop(name, None)
        if document is not None:
            self.revision += 1
            metadata = document["metadata"] | {"revision": self.revision}
            self._record(kind, document | {"metadata": metadata}, True)

    def _record(self, kind, document, deleted):
        self.events.append(
            (self.revision, kind, {"object": document, "deleted": deleted})
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, machine, host, port):
        """Serve one machine at a port of its own."""

        async def handle(reader, writer):
            try:
                while True:
                    first, _, body = await read_message(reader)
                    method, target, _ = first.split(" ", 2)
                    kind = unquote(target[len(OBJECTS) + 1 :].split("?")[0])
                    kind = kind.split("/")[0]
                    if self.gate(machine, method, kind, body) == "silent":
                        # Reads on, so that the caller sees an open connection.
                        while await reader.read(65536):
                            pass
                        return
                    status, value = await self._answer(method, target, body)
                    if self.gate(machine, method + " answer", kind, body) == "silent":
                        while await reader.read(65536):
                            pass
                        return
                    writer.write(answer(status, value))
                    await writer.drain()
            except (Cut, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        return await asyncio.start_server(handle, host, port, limit=2**22)

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        by_name = self.objects.setdefault(parts[0], {})
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in query:
            return await self._watch(parts[0], query)
        if method == "GET" and name is None:
            names = sorted(each for each in by_name if each > query.get("afterRev", ""))
            items = [by_name[each] for each in names]
            return 200, {"items": items, "hasMore": False, "at": self.revision}
        if method == "GET":
            return (200, by_name[name]) if name in by_name else (404, {})
        if method == "POST":
            sent = json.loads(body)
            name = sent["metadata"]["name"]
            if name in by_name:
                return 409, by_name[name]
            return 201, self.put(parts[0], name, sent["spec"])
        if name not in by_name:
            return 404, {}
        metadata = json.loads(body)["metadata"] if body else query
        revision = int(metadata.get("revision", 0))
        if revision and revision != by_name[name]["metadata"]["revision"]:
            return 409, by_name[name]
        if method == "DELETE":
            self.delete(parts[0], name)
            return 200, {}
        return 200, self.put(parts[0], name, json.loads(body)["spec"])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = [
                event
                for revision, each, event in self.events
                if each == kind and revision > since
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Server:
    """A server of a service that registers itself and records what it runs.

    `work(request_id, headers, body)` is awaited while the request holds a slot, and
    returns the body of the answer, or a list of (seconds, event) for a stream.
    """

    def __init__(self, *, name, service, zone, slots, work, store):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work, self.store = slots, work, store
        self.running = 0
        self.runs = []
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self._sequence = 0
        self._writers = set()

    async def start(self, host, port):
        """Serve and write the entry until cancelled."""
        self.address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._handle, host, port, limit=2**23)
        self._beats = asyncio.create_task(self._beat())

    def entry(self):
        """Return what the server says of itself."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    def crash(self):
        """Reset all connections and stop listening; the entry stays for a while."""
        record(self.name, "crashes")
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            self.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _handle(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self._serve(first, headers, body, reader, writer)
        except (Cut, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, first, headers, body, reader, writer):
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id, "Instance-Id": self.name}
        if first.startswith("GET /health"):
            writer.write(message("HTTP/1.1 200 OK", echo))
            return
        expected = headers.get("expect-instance", self.name)
        if expected != self.name or self.running >= self.slots:
            status = 421 if expected != self.name else 503
            record(self.name, "refused", request_id, status)
            first = f"HTTP/1.1 {status} {REASONS[status]}"
            writer.write(message(first, echo | {"Not-Executed": "1"}))
            return
        self.running += 1
        self.runs.append((time.monotonic(), request_id, headers, first))
        record(self.name, "runs", request_id, headers.get("tenant", "-"))
        try:
            result = await self.work(request_id, headers, body)
            echo["Server-Seal"] = f"seal.{self.name}.{request_id}"
            if isinstance(result, bytes):
                writer.write(message("HTTP/1.1 200 OK", echo, result))
                await writer.drain()
                return
            head = echo | {
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head.items())]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            for seconds, event in result:
                await asyncio.sleep(seconds)
                if writer.is_closing() or reader.at_eof():
                    raise Cut("the caller has left")
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


class Machine:
    """A machine with one process of a role, started as the deploy file says."""

    def __init__(self, *, name, role, zone, ip, site):
        self.name, self.role, self.zone, self.ip, self.site = name, role, zone, ip, site
        self.process = None
        self.starts = 0

    def start(self):
        """Start the process with the settings in effect now."""
        self.starts += 1
        folder = self.site.folder
        settings = folder / f"{self.name}.conf"
        settings.write_text(self.site.settings(self))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["RAGWORTKEEL_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONUNBUFFERED"] = "1"
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/start.py", self.role],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        _processes.append(self.process)
        record(self.name, "started", f"start {self.starts}")

    def kill(self, number=signal.SIGKILL):
        """Send the process a signal."""
        record(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    @property
    def exit_code(self):
        """The exit code of the process, None while it runs."""
        return self.process.poll()

    def log_lines(self, *words):
        """Return the lines of the log that contain all words."""
        path = self.site.folder / f"{self.name}.log"
        text = path.read_text(errors="replace") if path.exists() else ""
        return [line for line in text.splitlines() if all(w in line for w in words)]


class Site:
    """The deployment: its machines, store and ports."""

    def __init__(self, *, fronts, sides, zones=3):
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store()
        self.zones = [f"zone-{'abc'[number]}" for number in range(zones)]
        network = random.randrange(20, 250)
        self._ips = (f"127.{network}.7.{number}" for number in range(1, 250))
        self.fronts = [self._machine("front", "ingress", n) for n in range(fronts)]
        self.sides = [self._machine("side", "relay", n) for n in range(sides)]
        self.machines = self.fronts + self.sides
        self.servers = []
        self.store_ip = next(self._ips)
        self.base = self._free_base()
        self.bootstrap = True

    def _machine(self, kind, role, number):
        zone = self.zones[number % len(self.zones)]
        name = f"{kind}-{zone}-{1 + number // len(self.zones)}"
        return Machine(name=name, role=role, zone=zone, ip=next(self._ips), site=self)

    def _free_base(self):
        """Return the first of 64 ports that are free at all addresses."""
        ips = [machine.ip for machine in self.machines] + [self.store_ip]
        for _ in range(50):
            base = random.randrange(10000, 30000)
            try:
                for ip in ips:
                    for port in range(base, base + 64):
                        with socket.socket() as sock:
                            sock.bind((ip, port))
                return base
            except OSError:
                continue
        raise SystemExit(2)

    def settings(self, machine):
        """Return the settings file of a machine, as DEPLOY.md shows it."""
        port = self.base
        number = self.machines.index(machine)
        seeds = ",".join(f"{each.ip}:{port + 3}" for each in self.fronts[:3])
        lines = {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": machine.name.split("-")[0],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "region",
            **{f"zones.{zone}": "region" for zone in self.zones},
            "portRange": f"{port + 10},{port + 20}",
            "seeds": seeds,
            "bootstrap": str(self.bootstrap).lower(),
            "limits.cpuShare": 0.817,
            "limits.cores": 1,
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": 1200,
            "bounds.stableWindowMs": 3000,
            "bounds.drainMs": 2000,
            "bounds.graceS": 8,
            "bounds.configMs": 2000,
            "bounds.passMs": 120,
            "platform.address": f"{self.store_ip}:{port + 24 + number}",
            "platform.form": "objects",
            "platform.valueBytes": 1048576,
        }
        if machine.role == "ingress":
            lines |= {
                "listen.front": f"{machine.ip}:{port + 1}",
                "listen.ready": f"{machine.ip}:{port + 2}",
                "listen.control": f"{machine.ip}:{port + 3}",
            }
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    async def open(self):
        """Open the ports of the store."""
        for number, machine in enumerate(self.machines):
            port = self.base + 24 + number
            await self.store.serve(machine, self.store_ip, port)

    async def add_server(self, **fields):
        """Start a server; it listens at the next free address."""
        server = Server(store=self.store, **fields)
        await server.start(next(self._ips), self.base + 5)
        self.servers.append(server)
        return server

    async def wait_ready(self, machine, seconds=20.0):
        """Wait until a machine reports that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready(machine):
                return True
            await asyncio.sleep(0.02)
        return False

    async def is_ready(self, machine):
        """Return whether a machine answers its probe with 200."""
        try:
            reader, writer = await asyncio.open_connection(machine.ip, self.base + 2)
            writer.write(b"GET /ragwortkeel/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _, _ = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return " 200 " in first
        except (OSError, Cut, TimeoutError):
            return False

    def close(self):
        """End all processes that were started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()


class Client:
    """A client with one kept connection to one front machine."""

    serial = 0

    def __init__(self, site, machine):
        self.site, self.machine = site, machine
        self.reader = self.writer = None
        self.on_connection = 0

    async def request(self, path, *, method="POST", headers=None, body=b"", wait=5.0):
        """Send a request; return its id, and the status or what ended it."""
        Client.serial += 1
        request_id = f"{random.getrandbits(32):08x}{Client.serial:08x}"
        fields = {"Host": HOST, "Request-Id": request_id} | (headers or {})
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(
                        self.machine.ip, self.site.base + 1, limit=2**23
                    ),
                    1.0,
                )
                self.on_connection = 0
        except (OSError, TimeoutError):
            return request_id, "no connection", b""
        self.on_connection += 1
        kept = "kept" if self.on_connection > 1 else "new"
        record("client", "sends", request_id, method, path, self.machine.name, kept)
        try:
            first = f"{method} {path} HTTP/1.1"
            self.writer.write(message(first, fields, body))
            await self.writer.drain()
            first, got, data = await asyncio.wait_for(read_message(self.reader), wait)
        except (Cut, ConnectionError, TimeoutError) as exc:
            self.close()
            end = "deadline" if isinstance(exc, TimeoutError) else "cut"
            record("client", "gets", request_id, end, f"({exc!r})")
            return request_id, end, b""
        status = int(first.split(" ")[1])
        seal = got.get("server-seal", "none")
        record("client", "gets", request_id, status, f"seal {seal}", len(data))
        if got.get("connection", "").lower() == "close":
            self.close()
        return request_id, status, data

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def configuration(*, version, routes, services, tenants=(), idle_ms=15000):
    """Return the object config/main."""
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": idle_ms,
        },
        "tenants": list(tenants),
    }


def route(name, prefix, kind, service, **fields):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sessionAffinity": False,
        "resumable": False,
    } | fields


def _stop(number, frame):
    """End the case; the processes that it started are ended on the way."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise SystemExit(2)


def main(play):
    """Run a case within 115 seconds; exit with what it returns, 2 on any fault."""
    signal.signal(signal.SIGTERM, _stop)
    (HERE / "record.txt").write_text("")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(play(trouble), 112))
    except TimeoutError:
        record("the case took too long")
    except Exception as exc:
        record("the case failed:", repr(exc))
        raise
    finally:
        for process in _processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        record("exit code", code)
    sys.exit(code)
