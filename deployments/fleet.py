"""Starts each program as a separate process on free loopback ports.

Tests don't depend on the speed of the machine: they wait for a condition, with a
timeout that only a hung process reaches.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from dataclasses import dataclass, field

import h11

from deployments.ports import HOST, free_port

TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.02
LOG_TAIL_BYTES = 3000
COMMAND_LINE = "from ragwortkeel.cli import main; main()"


def wait_until(condition, description, timeout_seconds=TIMEOUT_SECONDS):
    """Poll `condition` until it returns a true value, and return that value.

    Connection and HTTP errors count as false, because a process may not listen yet.
    """
    end = time.monotonic() + timeout_seconds
    while time.monotonic() < end:
        try:
            if rv := condition():
                return rv
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"never: {description}")


@dataclass(kw_only=True)
class Program:
    """A process that this module started, with its log file and ports."""

    name: str
    popen: subprocess.Popen
    log: str
    ports: dict = field(default_factory=dict)

    def send(self, number):
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process and wait until it has exited."""
        self.popen.kill()
        self.popen.wait(TIMEOUT_SECONDS)

    def terminate(self):
        """Send SIGTERM, wait for the process and return its exit code."""
        self.popen.terminate()
        return self.popen.wait(TIMEOUT_SECONDS)

    @contextmanager
    def frozen(self):
        """Suspend the process during a ``with`` block."""
        self.send(signal.SIGSTOP)
        try:
            yield
        finally:
            self.send(signal.SIGCONT)

    def log_tail(self):
        """Return the last bytes of the log."""
        with open(self.log, "rb") as file:
            file.seek(0, os.SEEK_END)
            file.seek(max(0, file.tell() - LOG_TAIL_BYTES))
            return file.read().decode(errors="replace")


@dataclass(frozen=True, kw_only=True)
class Answer:
    """A complete HTTP answer."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        """The body, decoded from JSON."""
        return json.loads(self.body)


def send_request(port, method, path, body=None, headers=None, timeout=TIMEOUT_SECONDS):
    """Send a request and return its complete answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(status=response.status, headers=fields, body=response.read())
    finally:
        connection.close()


class IncompleteAnswer(Exception):
    """Raised when an answer ends before the end marker of its body."""


class Stream:
    """A streamed answer that a test reads event by event."""

    def __init__(self, port, path, body, headers=None):
        data = json.dumps(body).encode()
        fields = {"host": HOST, "content-length": str(len(data))} | (headers or {})
        self._sock = socket.create_connection((HOST, port), TIMEOUT_SECONDS)
        self._conn = h11.Connection(h11.CLIENT)
        head = h11.Request(method="POST", target=path, headers=list(fields.items()))
        self._sock.sendall(self._conn.send(head) + self._conn.send(h11.Data(data=data)))
        head = self._next()
        self.status = head.status_code

    def _next(self):
        while (event := self._conn.next_event()) is h11.NEED_DATA:
            try:
                self._conn.receive_data(self._sock.recv(65536))
            except ConnectionError as exc:
                raise IncompleteAnswer from exc
        return event

    def events(self):
        """Yield events until the end, or raise `IncompleteAnswer`."""
        buffer = b""
        try:
            while isinstance(event := self._next(), h11.Data):
                *lines, buffer = (buffer + bytes(event.data)).split(b"\n\n")
                for line in lines:
                    yield line.removeprefix(b"data: ").decode()
        except h11.RemoteProtocolError as exc:
            raise IncompleteAnswer from exc
        if not isinstance(event, h11.EndOfMessage):
            raise IncompleteAnswer

    def close(self):
        """Close the connection."""
        self._sock.close()


def send_without_waiting(port, path, body, headers):
    """Send a request and return its open connection without reading the answer."""
    data = json.dumps(body).encode()
    fields = {"host": HOST, "content-length": str(len(data))} | headers
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    sock = socket.create_connection((HOST, port), TIMEOUT_SECONDS)
    sock.sendall(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
    return sock


def answer_text(events):
    """Return the text of an answer from its events."""
    frames = [json.loads(event) for event in events if event != "[DONE]"]
    return "".join(f["choices"][0]["delta"].get("content", "") for f in frames)


class Fleet:
    """The processes that one test or benchmark starts."""

    def __init__(self, directory):
        self._directory = directory
        self.by_name = {}
        self.platform_port = 0

    def start(self, name, module, *arguments, **ports):
        """Start ``python -m module arguments`` and return its `Program`."""
        known = self.by_name.get(name)
        ended = known is None or known.popen.poll() is not None
        assert ended, f"{name} is already running"
        log = str(self._directory / f"{name}.log")
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with open(log, "ab") as file:
            popen = subprocess.Popen(command, stdout=file, stderr=file)
        rv = Program(name=name, popen=popen, log=log, ports=ports)
        self.by_name[name] = rv
        return rv

    def platform(self):
        """Start the platform."""
        self.platform_port = self.platform_port or free_port()
        return self._standin("platform", "platform", self.platform_port)

    def engine(self, name="engine", **options):
        """Start a model engine."""
        return self._standin(name, "engine", free_port(), **options)

    def service(self, name="service"):
        """Start a plain service."""
        return self._standin(name, "service", free_port())

    def _standin(self, name, kind, port, **options):
        flags = [f"--{key}={value}" for key, value in options.items()]
        module = "ragwortkeel.standins.command"
        rv = self.start(name, module, kind, "--port", port, *flags, http=port)
        wait_until(lambda: accepts_connections(port), f"{name} listens")
        return rv

    def sidecar(self, name, upstream, kind="model", **extra):
        """Start the sidecar of an engine or service."""
        settings = {
            "upstream": name,
            "upstream_address": f"{HOST}:{upstream.ports['http']}",
            "upstream_kind": kind,
        }
        return self._daemon("sidecar", name, settings | extra)

    def router(self, name, **extra):
        """Start a router."""
        return self._daemon("router", name, {"http": f"{HOST}:{free_port()}"} | extra)

    def ingress(self, name, **settings):
        """Start an ingress process; a later start of the same name may reuse ports."""
        defaults = {"http": f"{HOST}:{free_port()}"}
        return self._daemon("ingress", name, defaults | settings)

    def relay(self, name, **settings):
        """Start a relay; a later start of the same name may reuse ports."""
        return self._daemon("relay", name, settings)

    def ingresses(self, count):
        """Start ingress processes, each with the others as peers."""
        addresses = [f"{HOST}:{free_port()}" for _ in range(count)]
        return [
            self._daemon(
                "ingress",
                f"ingress-{number}",
                {
                    "address": address,
                    "http": f"{HOST}:{free_port()}",
                    "peers": [other for other in addresses if other != address],
                },
            )
            for number, address in enumerate(addresses)
        ]

    def _daemon(self, role, name, settings):
        settings = {
            "name": name,
            "zone": "zone-a",
            "address": f"{HOST}:{free_port()}",
            "metrics": f"{HOST}:{free_port()}",
            "platform": f"{HOST}:{self.platform_port}",
        } | settings
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        keys = ("http", "metrics", "address")
        ports = {k: int(settings[k].split(":")[1]) for k in keys if k in settings}
        arguments = (role, "--settings", path)
        return self.start(name, "ragwortkeeld", *arguments, **ports)

    def forwarder(self, name, target_port):
        """Start a TCP forwarder to a loopback port."""
        port = free_port()
        module = "deployments.forwarder"
        rv = self.start(name, module, HOST, port, HOST, target_port, tcp=port)
        wait_until(lambda: accepts_connections(port), f"{name} listens")
        return rv

    def set_switches(self, program, **switches):
        """Set the fault switches of a stand-in."""
        answer = send_request(program.ports["http"], "POST", "/switches", switches)
        assert answer.status == 200, answer.body

    def executions(self, program):
        """Return the executions that an upstream reports."""
        return send_request(program.ports["http"], "GET", "/executions").json

    def command(self, *arguments):
        """Run the operators' command line and return its decoded JSON output."""
        popen = self.start_command(*arguments)
        output, errors = popen.communicate(timeout=TIMEOUT_SECONDS)
        assert popen.returncode == 0, (arguments, errors.decode())
        return json.loads(output)

    def start_command(self, *arguments):
        """Start the operators' command line without waiting for it."""
        command = [sys.executable, "-c", COMMAND_LINE]
        command += [f"--platform={HOST}:{self.platform_port}", "--json=True"]
        command += map(str, arguments)
        pipe = subprocess.PIPE
        return subprocess.Popen(command, stdout=pipe, stderr=pipe)

    def wait_ready(self, *programs):
        """Wait until all the daemons are ready."""
        for program in programs:
            wait_until(lambda p=program: is_ready(p), f"{program.name} ready")

    def close(self):
        """Kill all running processes of this fleet and wait for them."""
        for program in self.by_name.values():
            if program.popen.poll() is None:
                program.send(signal.SIGCONT)
                program.popen.kill()
        for program in self.by_name.values():
            program.popen.wait(TIMEOUT_SECONDS)

    def log_tails(self):
        """Return the ends of all logs, for the report of a failed test."""
        return "\n".join(f"== {p.name}\n{p.log_tail()}" for p in self.by_name.values())


def accepts_connections(port):
    """Return True if a process listens on a port, or raise `OSError`."""
    with socket.create_connection((HOST, port), 1):
        return True


def is_ready(program):
    """Return whether a daemon reports that it is ready."""
    return (
        send_request(program.ports["metrics"], "GET", "/readyz", timeout=2).status
        == 200
    )
