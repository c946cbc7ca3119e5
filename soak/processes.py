"""The ingress processes and relays of a run."""

import signal
from time import monotonic

import curio
from deployments.fleet import HOST, Fleet, Program
from deployments.ports import free_port

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import HttpClient
from soak.callers import Target
from soak.faults import DisturbWay, Way
from soak.history import Exit, History, Span
from soak.upstreams import REPORT_PATH, zone_of
from soak.ways import PlatformWay

STOP_DEADLINE_SECONDS = 8.0
EXIT_MARGIN_SECONDS = 3.0
MAX_RELAY_FREEZE_SECONDS = 6.0
RELAY_STOP_SECONDS = (
    STOP_DEADLINE_SECONDS + MAX_RELAY_FREEZE_SECONDS + EXIT_MARGIN_SECONDS
)
PROBE_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
MISSED_PROBES = 2
MOMENTARY_WAYS = frozenset({Way.RESET, Way.SILENT_OPEN})
"""Disturbances of the connections that are open when they begin, and of no others."""
LINK_BYTES_PER_SECOND = 12_500_000
MEMORY_BYTES = 500_000_000


class IngressProcess:
    """One ingress process over all its starts, and the balancer's view of it."""

    def __init__(
        self, *, number: int, fleet: Fleet, way: PlatformWay, history: History
    ) -> None:
        self.name = f"ingress-{number}"
        self.address = f"{HOST}:{free_port()}"
        self.start_number = 0
        self.busy = False
        self._fleet = fleet
        self._way = way
        self._history = history
        self._http_port = free_port()
        self._metrics_port = free_port()
        self._link = LINK_BYTES_PER_SECOND * (10 if number == 0 else 1)
        self._zone = zone_of(number)
        self._peers: list[str] = []
        self._program: Program | None = None
        self._expected_up = False
        self._missed = MISSED_PROBES

    def begin(self, peers: list[str]) -> None:
        """Start the process for the first time."""
        self._peers = [peer for peer in peers if peer != self.address]
        self.start()

    @property
    def target(self) -> Target | None:
        """Where callers may send requests; None while out of rotation."""
        if self._missed >= MISSED_PROBES:
            return None
        return Target(process=self.name, start=self.start_number, port=self._http_port)

    @property
    def pid(self) -> int:
        """Process id of the current start."""
        return self._program.popen.pid

    def start(self) -> None:
        """Start the process, also again after it has ended."""
        self.start_number += 1
        self._program = self._fleet.ingress(
            self.name,
            zone=self._zone,
            address=self.address,
            http=f"{HOST}:{self._http_port}",
            metrics=f"{HOST}:{self._metrics_port}",
            platform=f"{HOST}:{self._way.port}",
            peers=self._peers,
            stop_deadline_seconds=STOP_DEADLINE_SECONDS,
            upstream_report_path=REPORT_PATH,
            capacity={
                "link_bytes_per_second": self._link,
                "memory_bytes": MEMORY_BYTES,
            },
        )
        self._expected_up = True

    async def probe(self) -> None:
        """Ask for readiness like a balancer until cancelled."""
        while True:
            self._check_alive()
            if await self._is_ready():
                self._missed = 0
                start = f"{self.name}/{self.start_number}"
                self._history.up_since_by_start.setdefault(start, monotonic())
            else:
                self._missed += 1
            await curio.sleep(PROBE_SECONDS)

    def _check_alive(self) -> None:
        code = self._program.popen.poll()
        if self._expected_up and code is not None:
            self._history.problems.append(
                f"{self.name} ended by itself with {code}: {self._program.log_tail()}"
            )
            self._expected_up = False

    async def _is_ready(self) -> bool:
        client = HttpClient(host=HOST, port=self._metrics_port)
        try:
            rv = await client.request("GET", "/readyz", timeout=PROBE_TIMEOUT_SECONDS)
        except (ConnectFailed, ExchangeBroken):
            return False
        finally:
            await client.close()
        return rv.status == 200

    async def kill(self, down_seconds: float) -> None:
        """Kill the process and start it again."""
        begins_at = monotonic()
        self._expected_up = False
        self._program.popen.kill()
        await self._wait_ended()
        await curio.sleep(down_seconds)
        self.start()
        self._record("kill", begins_at)

    async def stop(self) -> None:
        """Stop the process as planned; start it again."""
        await self.end()
        self.start()

    async def end(self) -> None:
        """Stop the process as planned."""
        begins_at = monotonic()
        self._expected_up = False
        self.send_term()
        async with curio.ignore_after(STOP_DEADLINE_SECONDS + EXIT_MARGIN_SECONDS):
            await self._wait_ended()
        code = self._program.popen.poll()
        self._history.exits.append(
            Exit(
                process=self.name,
                start=self.start_number,
                stopped_at=begins_at,
                ended_at=monotonic(),
                code=code,
            )
        )
        if code is None:
            self._program.popen.kill()
            await self._wait_ended()
        self._record("stop", begins_at)

    def send_term(self) -> None:
        """Send SIGTERM, which a process that stops already ignores."""
        self._program.send(signal.SIGTERM)

    async def freeze(self, seconds: float) -> None:
        """Let the process stand still."""
        begins_at = monotonic()
        self._program.send(signal.SIGSTOP)
        await curio.sleep(seconds)
        self._program.send(signal.SIGCONT)
        self._record("freeze", begins_at)

    def reload(self) -> None:
        """Tell the process to read its settings again."""
        self._program.send(signal.SIGHUP)
        now = monotonic()
        self._history.reloads.append(
            Span(process=self.name, cause="reload", begins_at=now, ends_at=now)
        )

    async def disturb_way(self, action: DisturbWay) -> None:
        """Disturb the connections to the platform."""
        begins_at = monotonic()
        await self._way.disturb(action.way)
        if action.way in MOMENTARY_WAYS:
            self._record(str(action.way), begins_at)
        await curio.sleep(action.seconds)
        self._way.end_disturbance()
        if action.way not in MOMENTARY_WAYS:
            self._record(str(action.way), begins_at)

    async def _wait_ended(self) -> None:
        while self._program.popen.poll() is None:
            await curio.sleep(0.02)

    def _record(self, cause: str, begins_at: float) -> None:
        self._history.spans.append(
            Span(
                process=self.name,
                cause=cause,
                begins_at=begins_at,
                ends_at=monotonic(),
            )
        )


class Relay:
    """One relay over all its starts; it reaches the platform directly."""

    def __init__(
        self, *, number: int, fleet: Fleet, peers: list[str], history: History
    ) -> None:
        self._name = f"relay-{number}"
        self._history = history
        self._start_number = 0
        self._settings = {
            "zone": zone_of(number),
            "address": f"{HOST}:{free_port()}",
            "metrics": f"{HOST}:{free_port()}",
            "peers": peers,
            "stop_deadline_seconds": STOP_DEADLINE_SECONDS,
        }
        self._fleet = fleet
        self._program: Program | None = None

    def start(self) -> None:
        """Start the process."""
        self._start_number += 1
        self._program = self._fleet.relay(self._name, **self._settings)

    async def kill(self, down_seconds: float) -> None:
        """Kill the process and start it again, unless it is down already."""
        if self._program is None:
            return
        begins_at = monotonic()
        program, self._program = self._program, None
        program.popen.kill()
        while program.popen.poll() is None:
            await curio.sleep(0.02)
        await curio.sleep(down_seconds)
        self.start()
        self._record("kill", begins_at)

    async def stop(self, down_seconds: float) -> None:
        """Stop the process as planned and start it again, unless it is down already."""
        if self._program is None:
            return
        begins_at = monotonic()
        program, self._program = self._program, None
        # One that stands still gets the signal when it goes on.
        program.send(signal.SIGTERM)
        async with curio.ignore_after(RELAY_STOP_SECONDS):
            while program.popen.poll() is None:
                await curio.sleep(0.02)
        code = program.popen.poll()
        self._history.exits.append(
            Exit(
                process=self._name,
                start=self._start_number,
                stopped_at=begins_at,
                ended_at=monotonic(),
                code=code,
            )
        )
        if code is None:
            program.kill()
        await curio.sleep(down_seconds)
        self.start()
        self._record("stop", begins_at)

    async def freeze(self, seconds: float) -> None:
        """Let the process stand still, unless it is down."""
        if self._program is None:
            return
        begins_at = monotonic()
        program = self._program
        program.send(signal.SIGSTOP)
        await curio.sleep(seconds)
        if program.popen.poll() is None:
            program.send(signal.SIGCONT)
        self._record("freeze", begins_at)

    def _record(self, cause: str, begins_at: float) -> None:
        self._history.relay_spans.append(
            Span(
                process=self._name,
                cause=cause,
                begins_at=begins_at,
                ends_at=monotonic(),
            )
        )
