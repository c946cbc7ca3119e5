"""One run: starts the processes, applies the schedule and returns the history."""

import signal
from collections.abc import Callable
from dataclasses import replace
from random import Random
from time import monotonic

import curio
import msgspec
from deployments.fleet import HOST, Fleet, Program
from deployments.ports import free_port

from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import HttpClient
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.platform_client import HttpPlatform
from soak.bad_prompts import BadCallers
from soak.callers import (
    DEADLINE_SECONDS,
    MEAN_REQUESTS_PER_PROCESS,
    PROMPT_TOKENS,
    Caller,
    Target,
)
from soak.faults import (
    RELAY_COUNT,
    VERSIONS,
    Action,
    ChangeIdleLimit,
    ChangeRoutes,
    CrashUpstream,
    CutOff,
    DisturbPlatform,
    DisturbWay,
    Freeze,
    FreezeRelay,
    Kill,
    KillRelay,
    Leave,
    PauseUpstreams,
    PlatformFault,
    Reload,
    RemoveRoute,
    ReplaceUpstream,
    RestartUpstream,
    RevokeKey,
    Rush,
    SendCrashingPrompts,
    Stop,
    Way,
    draw_schedule,
)
from soak.history import BadArrival, Exit, History, Kind, Serving, Span
from soak.operator import ROUTE_SECONDS, Operator
from soak.upstreams import REPORT_PATH, RecordingUpstream, zone_of
from soak.ways import PlatformWay

EVENT_TOKENS = 6
PREPAID_BY_CUSTOMER = {"large": 100_000_000, "small": 60_000}
"""The budget of the one is never used up; that of the other is, within a run."""
STREAM_CUSTOMER = "large"

CALLERS_PER_PROCESS = 4
STREAM_CALLERS_PER_PROCESS = 10
"""Callers of streams beside pauses, so that more of them fall silent together than a
process has retries."""
VERSIONS_BY_SERVICE = {
    "app": ("v1", "v1", "v1"),
    "pool": ("v1", "v2", "v1", "v2"),
}
STOP_DEADLINE_SECONDS = 8.0
EXIT_MARGIN_SECONDS = 3.0
PROBE_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
MISSED_PROBES = 2
MOMENTARY_WAYS = frozenset({Way.RESET, Way.SILENT_OPEN})
"""Disturbances of the connections that are open when they begin, and of no others."""
START_SECONDS = 30.0
LEAVE_SECONDS = 6.0
LINK_BYTES_PER_SECOND = 12_500_000
MEMORY_BYTES = 500_000_000
SETTLE_SECONDS = 1.0
CRASHED_SECONDS = 2.0
"""Time until another engine starts in place of a crashed one."""
RUSH_FACTOR = 9
MEAN_REQUESTS_IN_RUSH = 3


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
        self._start()

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

    def _start(self) -> None:
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
        self._start()
        self._record("kill", begins_at)

    async def stop(self) -> None:
        """Stop the process as planned; start it again."""
        await self.end()
        self._start()

    async def end(self) -> None:
        """Stop the process as planned."""
        begins_at = monotonic()
        self._expected_up = False
        self._program.send(signal.SIGTERM)
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

    def __init__(self, *, number: int, fleet: Fleet, peers: list[str]) -> None:
        self._name = f"relay-{number}"
        self._settings = {
            "zone": zone_of(number),
            "address": f"{HOST}:{free_port()}",
            "metrics": f"{HOST}:{free_port()}",
            "peers": peers,
        }
        self._fleet = fleet
        self._program: Program | None = None

    def start(self) -> None:
        """Start the process."""
        self._program = self._fleet.relay(self._name, **self._settings)

    async def kill(self, down_seconds: float) -> None:
        """Kill the process and start it again, unless it is down already."""
        if self._program is None:
            return
        program, self._program = self._program, None
        program.popen.kill()
        while program.popen.poll() is None:
            await curio.sleep(0.02)
        await curio.sleep(down_seconds)
        self.start()

    async def freeze(self, seconds: float) -> None:
        """Let the process stand still, unless it is down."""
        if self._program is None:
            return
        program = self._program
        program.send(signal.SIGSTOP)
        await curio.sleep(seconds)
        if program.popen.poll() is None:
            program.send(signal.SIGCONT)


class Run:
    """The processes, callers and upstreams of one run.

    Parameters
    ----------
    fleet : Fleet
        Starts the processes; the caller closes it.
    share, cuts, pauses : float, bool, bool
        Which faults are played, see `soak.faults.draw_schedule`.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        processes: int,
        fleet: Fleet,
        share: float = 1.0,
        cuts: bool = True,
        pauses: bool = True,
    ) -> None:
        self._seed = seed
        self._share = share
        self._cuts = cuts
        self._pauses = pauses
        self._random = Random(f"releases {seed}")
        self._seconds = seconds
        self._fleet = fleet
        self._count = processes
        self._tasks = curio.TaskGroup(wait=None)
        self._upstreams: list[RecordingUpstream] = []
        self._upstream_count = 0
        self._restarting: set[str] = set()
        self._down: set[RecordingUpstream] = set()
        self._hot_process: int | None = None
        self._bad_callers = BadCallers(
            seed=seed, targets=self._targets, key=self._draw_valid_key
        )
        self.history = History(
            prepaid_by_customer=dict(PREPAID_BY_CUSTOMER),
            prompt_tokens=PROMPT_TOKENS,
            event_tokens=EVENT_TOKENS,
            time_limit_seconds=min(DEADLINE_SECONDS, ROUTE_SECONDS),
        )

    async def run(self) -> History:
        """Play the run and return what was recorded."""
        self._program = self._fleet.platform()
        address = f"{HOST}:{self._fleet.platform_port}"
        self._platform = HttpPlatform(address=address)
        self._operator = Operator(platform=self._platform, history=self.history)
        async with self._tasks:
            await self._start()
            await self._play()
            await self._settle()
        return self.history

    async def _start(self) -> None:
        for service, versions in VERSIONS_BY_SERVICE.items():
            for version in versions:
                await self._add_upstream(service, version)
        await self._operator.apply()
        ways = [
            PlatformWay(target_port=self._fleet.platform_port)
            for _ in range(self._count)
        ]
        for way in ways:
            await way.start()
        self._processes = [
            IngressProcess(
                number=number, fleet=self._fleet, way=way, history=self.history
            )
            for number, way in enumerate(ways)
        ]
        peers = [process.address for process in self._processes]
        self._relays = [
            Relay(number=number, fleet=self._fleet, peers=peers)
            for number in range(RELAY_COUNT)
        ]
        for relay in self._relays:
            relay.start()
        for process in self._processes:
            process.begin(peers)
            await self._spawn(process.probe)
        async with curio.timeout_after(START_SECONDS):
            while len(self._targets()) < self._count:
                await curio.sleep(PROBE_SECONDS)
        self._callers = [
            await self._spawn(self._caller(number).run)
            for number in range(self._count * CALLERS_PER_PROCESS)
        ]
        if self._pauses:
            self._callers += [
                await self._spawn(self._stream_caller(number).run)
                for number in range(self._count * STREAM_CALLERS_PER_PROCESS)
            ]

    async def _spawn(self, function: Callable, *arguments: object) -> curio.Task:
        return await self._tasks.spawn(self._guard, function, *arguments, daemon=True)

    async def _guard(self, function: Callable, *arguments: object) -> None:
        """Record the failure of a task of the soak itself as a problem."""
        try:
            await function(*arguments)
        except Exception as exc:
            self.history.problems.append(f"{function.__qualname__}: {exc!r}")
            raise

    async def _play(self) -> None:
        schedule = draw_schedule(
            seed=self._seed,
            seconds=self._seconds,
            processes=self._count,
            share=self._share,
            cuts=self._cuts,
            pauses=self._pauses,
        )
        started_at = monotonic()
        for scheduled in schedule:
            await curio.sleep(max(0.0, started_at + scheduled.at - monotonic()))
            await self._spawn(self._apply, scheduled.action)
        await curio.sleep(max(0.0, started_at + self._seconds - monotonic()))

    async def _settle(self) -> None:
        """End the callers, stop all processes and read the ledgers."""
        for caller in self._callers:
            await caller.cancel()
        async with curio.timeout_after(START_SECONDS):
            while any(process.busy for process in self._processes):
                await curio.sleep(PROBE_SECONDS)
        # A start charges its predecessors with its first renewal.
        await curio.sleep(SETTLE_SECONDS)
        async with curio.TaskGroup() as group:
            for process in self._processes:
                await group.spawn(process.end)
        stored = await self._platform.get(SHARDS_KIND, SHARD_NAME)
        for name, ledger in decode_shard(stored.value).ledger_by_customer.items():
            self.history.spent_by_customer[name] = ledger.total_spent

    def _targets(self) -> list[Target]:
        """Return the processes in the rotation, by their shares of new connections."""
        targets = [p.target for p in self._processes if p.target is not None]
        if self._hot_process is None or not targets:
            return targets
        number = self._hot_process % self._count
        hot = self._processes[number].target or targets[0]
        return targets + [hot] * RUSH_FACTOR * len(targets)

    def _mean_requests(self) -> int:
        is_rush = self._hot_process is not None
        return MEAN_REQUESTS_IN_RUSH if is_rush else MEAN_REQUESTS_PER_PROCESS

    def _draw_valid_key(self) -> tuple[str, str]:
        return self._random.choice(self._operator.choices.keys)

    def _stream_caller(self, number: int) -> Caller:
        first = self._count * CALLERS_PER_PROCESS
        return self._caller(first + number, kind=Kind.DRAFT, customer=STREAM_CUSTOMER)

    def _caller(self, number: int, **fields: object) -> Caller:
        return Caller(
            number=number,
            seed=self._seed,
            targets=self._targets,
            mean_requests=self._mean_requests,
            choices=self._operator.choices,
            idles=self._pauses,
            history=self.history,
            **fields,
        )

    async def _apply(self, action: Action) -> None:
        match action:
            case Kill() | Stop() | Freeze() | Reload():
                await self._disturb_process(action)
            case DisturbWay(process=number):
                await self._processes[number].disturb_way(action)
            case DisturbPlatform() | CutOff():
                await self._disturb_platform(action)
            case ReplaceUpstream() | Leave() | CrashUpstream() | RestartUpstream():
                await self._disturb_upstream(action)
            case PauseUpstreams():
                self._pause_upstreams(action)
            case KillRelay() | FreezeRelay():
                await self._disturb_relay(action)
            case SendCrashingPrompts() | Rush():
                await self._change_load(action)
            case ChangeRoutes() | RemoveRoute() | RevokeKey() | ChangeIdleLimit():
                await self._change_configuration(action)

    async def _change_configuration(
        self, action: ChangeRoutes | RemoveRoute | RevokeKey | ChangeIdleLimit
    ) -> None:
        match action:
            case ChangeRoutes(count=count):
                await self._operator.add_routes(count)
            case RemoveRoute():
                await self._operator.remove_route()
            case RevokeKey():
                await self._operator.revoke_key()
            case ChangeIdleLimit(seconds=seconds):
                await self._operator.change_idle_limit(seconds)

    async def _disturb_relay(self, action: KillRelay | FreezeRelay) -> None:
        match action:
            case KillRelay(relay=number, down_seconds=seconds):
                await self._relays[number].kill(seconds)
            case FreezeRelay(relay=number, seconds=seconds):
                await self._relays[number].freeze(seconds)

    async def _cut_off(self, seconds: float) -> None:
        async with curio.TaskGroup() as group:
            for number, process in enumerate(self._processes):
                cut = DisturbWay(process=number, way=Way.SILENT, seconds=seconds)
                await group.spawn(process.disturb_way, cut)
            for relay in self._relays:
                await group.spawn(relay.freeze, seconds)

    async def _change_load(self, action: SendCrashingPrompts | Rush) -> None:
        match action:
            case SendCrashingPrompts(block=block):
                await self._bad_callers.run(action)
                self.history.bad_until_by_block[block] = monotonic()
            case Rush(process=number, seconds=seconds):
                if self._hot_process is not None:
                    return
                begins_at = monotonic()
                self._hot_process = number
                await curio.sleep(seconds)
                self._hot_process = None
                span = Span(
                    process="", cause="", begins_at=begins_at, ends_at=monotonic()
                )
                self.history.rushes.append(span)

    async def _receive_bad_block(
        self, engine: RecordingUpstream, block: str, request_id: str
    ) -> None:
        """Crash an engine, and let another one start in its place later."""
        now, history = monotonic(), self.history
        request = self._bad_callers.request_by_id[request_id]
        history.bad_arrivals.append(BadArrival(block=block, request=request, at=now))
        if engine in self._down:
            return
        self._down.add(engine)
        history.bad_crashes_by_block.setdefault(block, []).append(now)
        await self._spawn(self._crash_engine, engine)

    async def _crash_engine(self, engine: RecordingUpstream) -> None:
        self._record_serving(engine, ready=False)
        is_leaving = engine not in self._upstreams
        if not is_leaving:
            self._upstreams.remove(engine)
        await engine.go_down()
        await curio.sleep(CRASHED_SECONDS)
        if not is_leaving:
            await self._add_upstream(engine.service, engine.version)
        await self._operator.remove(engine)

    async def _disturb_upstream(
        self, action: ReplaceUpstream | Leave | CrashUpstream | RestartUpstream
    ) -> None:
        match action:
            case ReplaceUpstream():
                leave = Leave(says_so=True, seconds=LEAVE_SECONDS)
                await self._replace_upstream(self._random.choice(VERSIONS), leave)
            case Leave():
                # Drawn apart, so that replacements keep the versions of their seeds.
                await self._replace_upstream(VERSIONS[0], action)
            case CrashUpstream(seconds=seconds):
                upstream = self._upstreams[0]
                self._record_serving(upstream, ready=False)
                await upstream.crash(seconds)
                self._record_serving(upstream, ready=True)
            case RestartUpstream(seconds=seconds, version=version):
                await self._restart_engine(seconds, version)

    async def _disturb_process(self, action: Kill | Stop | Freeze | Reload) -> None:
        process = self._processes[action.process]
        if process.busy:
            return
        process.busy = True
        try:
            match action:
                case Kill(down_seconds=seconds):
                    await process.kill(seconds)
                case Stop():
                    await process.stop()
                case Freeze(seconds=seconds):
                    await process.freeze(seconds)
                case Reload():
                    process.reload()
        finally:
            process.busy = False

    async def _disturb_platform(self, action: DisturbPlatform | CutOff) -> None:
        match action:
            case CutOff(seconds=seconds):
                await self._cut_off(seconds)
            case DisturbPlatform():
                await self._switch_fault(action)

    async def _switch_fault(self, action: DisturbPlatform) -> None:
        switches = {
            PlatformFault.DOWN: {"down": True},
            PlatformFault.SLOW: {"slow_seconds": 0.25},
            PlatformFault.LOST_ANSWERS: {"lost_answers": 3},
            PlatformFault.SKIPPED_CHANGE: {"watch_skips": 1},
            PlatformFault.GAPS: {"watch_gaps": True},
        }
        begins_at = monotonic()
        await self._switch(switches[action.fault])
        await curio.sleep(action.seconds)
        await self._switch({})
        span = Span(
            process="",
            cause=str(action.fault),
            begins_at=begins_at,
            ends_at=monotonic(),
        )
        self.history.spans.append(span)

    async def _switch(self, switches: dict[str, object]) -> None:
        client = HttpClient(host=HOST, port=self._fleet.platform_port)
        try:
            body = msgspec.json.encode(switches)
            await client.request("POST", "/switches", body=body, timeout=5.0)
        finally:
            await client.close()

    async def _add_upstream(self, service: str, version: str) -> None:
        upstream = RecordingUpstream(
            name=f"u{self._upstream_count}",
            zone=zone_of(self._upstream_count),
            service=service,
            version=version,
            history=self.history,
            seed=self._seed,
            on_bad_block=self._receive_bad_block,
        )
        self._upstream_count += 1
        await upstream.start()
        await self._operator.register(upstream)
        self._upstreams.append(upstream)
        self._record_serving(upstream, ready=True)

    def _pause_upstreams(self, action: PauseUpstreams) -> None:
        paused = [each for each in self._upstreams if each.service == action.service]
        if action.number is not None and paused:
            paused = [paused[action.number % len(paused)]]
        for upstream in paused:
            upstream.pause(action.seconds)

    async def _restart_engine(self, seconds: float, version: str) -> None:
        engines = (each for each in self._upstreams if each.service == "pool")
        engine = next(engines, None)
        if engine is None or engine.name in self._restarting:
            # Its entry would name whichever of both versions is written last.
            return
        self._restarting.add(engine.name)
        self._record_serving(engine, ready=False)
        await engine.restart(seconds, version=version)
        if not engine.removed:
            await self._operator.register(engine)
        self._restarting.discard(engine.name)
        self._record_serving(engine, ready=True)

    def _record_serving(self, upstream: RecordingUpstream, *, ready: bool) -> None:
        """Record that an engine is ready from now on, or that it is not."""
        now, serving = monotonic(), self.history.serving
        if upstream.service != "pool":
            return
        for index, each in enumerate(serving):
            if each.upstream == upstream.name and each.ends_at > now:
                serving[index] = replace(each, ends_at=now)
        if ready:
            serving.append(
                Serving(upstream=upstream.name, version=upstream.version, begins_at=now)
            )

    async def _replace_upstream(self, version: str, leave: Leave) -> None:
        """Let the oldest upstream leave after its successor is ready."""
        old = self._upstreams.pop(0)
        await self._add_upstream(old.service, version)
        old.leaving = leave.says_so
        old.removed = not leave.says_so
        self._record_serving(old, ready=False)
        if leave.says_so:
            await self._operator.announce_leaving(old)
        else:
            await self._operator.remove_leaving(old)
        await curio.sleep(leave.seconds)
        if old not in self._down:
            await old.stop()
