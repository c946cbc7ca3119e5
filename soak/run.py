"""One run: starts the processes, applies the schedule and returns the history."""

from collections.abc import Callable
from dataclasses import replace
from math import inf
from random import Random
from time import monotonic

import curio
import msgspec
from deployments.fleet import HOST, Fleet

from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
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
from soak.crowds import Crowd, LazyCaller
from soak.faults import (
    QUIET_END_SECONDS,
    RELAY_COUNT,
    VERSIONS,
    Action,
    ChangeIdleLimit,
    ChangeRoutes,
    CrashUpstream,
    CrowdedStop,
    CutOff,
    DisturbPlatform,
    DisturbWay,
    Freeze,
    FreezeRelay,
    Kill,
    KillAll,
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
    StopRelay,
    Way,
    draw_schedule,
)
from soak.history import BadArrival, History, Kind, Serving, Span
from soak.operator import BASE_ROUTES, ROUTE_SECONDS, STOP_SERVICES, Operator
from soak.processes import (
    PROBE_SECONDS,
    STOP_DEADLINE_SECONDS,
    IngressProcess,
    Relay,
)
from soak.upstreams import SLOTS, RecordingUpstream, zone_of
from soak.ways import PlatformWay

EVENT_TOKENS = 6
PREPAID_BY_CUSTOMER = {"large": 100_000_000, "small": 60_000}
"""The budget of the one is never used up; that of the other is, within a run."""
STREAM_CUSTOMER = "large"

CALLERS_PER_PROCESS = 4
STREAM_CALLERS_PER_PROCESS = 10
"""Callers of streams beside pauses, so that more of them fall silent together than a
process has retries."""
LAZY_CALLERS_PER_PROCESS = 2
LAZY_CALLER_NUMBER = 1_000
CROWD_CALLER_NUMBER = 2_000
VERSIONS_BY_SERVICE = {
    "app": ("v1", "v1", "v1"),
    "pool": ("v1", "v2", "v1", "v2"),
}
START_SECONDS = 30.0
LEAVE_SECONDS = 6.0
SETTLE_SECONDS = 1.0
CRASHED_SECONDS = 2.0
"""Time until another engine starts in place of a crashed one."""
RUSH_FACTOR = 9
MEAN_REQUESTS_IN_RUSH = 3


class Run:
    """The processes, callers and upstreams of one run.

    Parameters
    ----------
    fleet : Fleet
        Starts the processes; the caller closes it.
    share, cuts, pauses, stops, unframed : float, bool, bool, bool, float
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
        stops: bool = True,
        unframed: float = 0.0,
    ) -> None:
        self._seed = seed
        self._unframed = unframed
        self._share = share
        self._cuts = cuts
        self._pauses = pauses
        self._stops = stops
        self._crowd_count = 0
        self._is_killing_all = False
        self._quiet_at = inf
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
            stop_deadline_seconds=STOP_DEADLINE_SECONDS,
        )

    async def run(self) -> History:
        """Play the run and return what was recorded."""
        self._program = self._fleet.platform()
        address = f"{HOST}:{self._fleet.platform_port}"
        self._platform = HttpPlatform(address=address)
        self._operator = Operator(
            platform=self._platform, history=self.history, stops=self._stops
        )
        async with self._tasks:
            await self._start()
            await self._play()
            await self._settle()
        return self.history

    async def _start(self) -> None:
        await self._start_upstreams()
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
            Relay(number=number, fleet=self._fleet, peers=peers, history=self.history)
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
        await self._start_callers()

    async def _start_upstreams(self) -> None:
        for service, versions in VERSIONS_BY_SERVICE.items():
            for version in versions:
                await self._add_upstream(service, version)
        if self._stops:
            # Apart from those that leave, restart or crash.
            for service in STOP_SERVICES:
                await self._create_upstream(
                    service.name, VERSIONS[0], slots=service.engine.slots
                )

    async def _start_callers(self) -> None:
        self._callers = [
            await self._spawn(self._caller(number).run)
            for number in range(self._count * CALLERS_PER_PROCESS)
        ]
        if self._pauses:
            self._callers += [
                await self._spawn(self._stream_caller(number).run)
                for number in range(self._count * STREAM_CALLERS_PER_PROCESS)
            ]
        if self._stops:
            self._callers += [
                await self._spawn(self._lazy_caller(number).run)
                for number in range(self._count * LAZY_CALLERS_PER_PROCESS)
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
            stops=self._stops,
        )
        started_at = monotonic()
        self._quiet_at = started_at + self._seconds - QUIET_END_SECONDS
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

    def _lazy_caller(self, number: int) -> LazyCaller:
        return LazyCaller(
            number=number,
            seed=self._seed,
            targets=self._targets,
            caller=self._caller(LAZY_CALLER_NUMBER + number, customer=STREAM_CUSTOMER),
            routes=BASE_ROUTES,
        )

    def _caller(self, number: int, **fields: object) -> Caller:
        return Caller(
            number=number,
            seed=self._seed,
            targets=self._targets,
            mean_requests=self._mean_requests,
            choices=self._operator.choices,
            idles=self._pauses,
            patient=self._stops,
            history=self.history,
            **fields,
        )

    async def _apply(self, action: Action) -> None:
        match action:
            case Kill() | Stop() | CrowdedStop() | Freeze() | Reload():
                await self._disturb_process(action)
            case KillAll(down_seconds=seconds):
                await self._kill_all(seconds)
            case DisturbWay(process=number):
                await self._processes[number].disturb_way(action)
            case DisturbPlatform() | CutOff():
                await self._disturb_platform(action)
            case ReplaceUpstream() | Leave() | CrashUpstream() | RestartUpstream():
                await self._disturb_upstream(action)
            case PauseUpstreams():
                self._pause_upstreams(action)
            case KillRelay() | StopRelay() | FreezeRelay():
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

    async def _disturb_relay(self, action: KillRelay | StopRelay | FreezeRelay) -> None:
        match action:
            case KillRelay(relay=number, down_seconds=seconds):
                await self._relays[number].kill(seconds)
            case StopRelay(relay=number, down_seconds=seconds):
                await self._relays[number].stop(seconds)
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

    async def _kill_all(self, down_seconds: float) -> None:
        """Kill all processes at once, when none of them is busy."""
        if self._is_killing_all:
            return
        self._is_killing_all = True
        claimed = []
        try:
            for process in self._processes:
                while process.busy:
                    await curio.sleep(PROBE_SECONDS)
                process.busy = True
                claimed.append(process)
            if monotonic() < self._quiet_at:
                begins_at = monotonic()
                async with curio.TaskGroup() as group:
                    for process in self._processes:
                        await group.spawn(process.kill, down_seconds)
                self.history.kills_of_all.append(
                    Span(
                        process="",
                        cause="kill of all",
                        begins_at=begins_at,
                        ends_at=monotonic(),
                    )
                )
        finally:
            for process in claimed:
                process.busy = False
            self._is_killing_all = False

    async def _stop_crowded(self, process: IngressProcess, action: CrowdedStop) -> None:
        target = process.target
        if target is None:
            return
        number = CROWD_CALLER_NUMBER + self._crowd_count
        self._crowd_count += 1
        crowd = Crowd(
            action=action,
            target=target,
            caller=self._caller(number, customer=STREAM_CUSTOMER),
        )
        await crowd.play(process)

    async def _disturb_process(
        self, action: Kill | Stop | CrowdedStop | Freeze | Reload
    ) -> None:
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
                case CrowdedStop():
                    await self._stop_crowded(process, action)
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
        upstream = await self._create_upstream(service, version)
        self._upstreams.append(upstream)
        self._record_serving(upstream, ready=True)

    async def _create_upstream(
        self, service: str, version: str, *, slots: int = SLOTS
    ) -> RecordingUpstream:
        """Start an upstream and write its entry."""
        upstream = RecordingUpstream(
            name=f"u{self._upstream_count}",
            zone=zone_of(self._upstream_count),
            service=service,
            version=version,
            history=self.history,
            seed=self._seed,
            slots=slots,
            unframed=self._unframed,
            on_bad_block=self._receive_bad_block,
        )
        self._upstream_count += 1
        await upstream.start()
        await self._operator.register(upstream)
        return upstream

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
