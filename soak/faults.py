"""The faults and changes of a run, drawn from one seed.

They come in series and overlap; only processes that are already stopped, killed or
frozen get no second fault of that sort.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import inf
from random import Random

VERSIONS = ("v1", "v2", "v3")
"""Software versions of upstreams; the first two serve from the start."""

MEAN_GAP_SECONDS = 1.3
MEAN_RESTART_GAP_SECONDS = 8.0
MEAN_RELAY_KILL_GAP_SECONDS = 10.0
MEAN_CRASHING_PROMPTS_GAP_SECONDS = 12.0
MEAN_RUSH_GAP_SECONDS = 12.0
MEAN_LEAVING_GAP_SECONDS = 4.0
MEAN_CUT_GAP_SECONDS = 14.0
MEAN_RELAY_FREEZE_GAP_SECONDS = 10.0
MEAN_PAUSE_GAP_SECONDS = 3.0
MEAN_IDLE_LIMIT_GAP_SECONDS = 6.0
MEAN_PLANNED_WORK_GAP_SECONDS = 6.0
MEAN_CROWDED_STOP_GAP_SECONDS = 7.0
MEAN_KILL_OF_ALL_GAP_SECONDS = 12.0
MEAN_RELAY_STOP_GAP_SECONDS = 8.0
MIN_LATE_SECONDS = 2.4
MAX_LATE_SECONDS = 3.6
"""When a stopping process begins to refuse, and what a balancer is late at most."""
IDLE_LIMITS_SECONDS = (1.0, 2.0, 4.0)
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 2.5
PAUSED_SERVICES = ("app", "pool")
RELAY_COUNT = 2
FIRST_FAULT_SECONDS = 3.0
QUIET_END_SECONDS = 6.0
"""Time without new faults at the end of a run, in which everything recovers."""


class Way(StrEnum):
    """What happens to the connections between a process and the platform."""

    SLOW_LINK = "slow_link"
    DELAY = "delay"
    SILENT = "silent"
    SILENT_OPEN = "silent_open"
    RESET = "reset"
    REFUSE = "refuse"
    ONE_WAY = "one_way"


class PlatformFault(StrEnum):
    """What happens to the platform for all processes."""

    DOWN = "down"
    SLOW = "slow"
    LOST_ANSWERS = "lost_answers"
    SKIPPED_CHANGE = "skipped_change"
    GAPS = "gaps"


@dataclass(frozen=True, kw_only=True)
class Kill:
    """A process is killed and starts again."""

    process: int
    down_seconds: float


@dataclass(frozen=True, kw_only=True)
class Stop:
    """A process is stopped as planned and starts again."""

    process: int


@dataclass(frozen=True, kw_only=True)
class UnusedConnection:
    """A connection that is opened and used only later, or never.

    Attributes
    ----------
    opened_at, used_at : float
        Seconds after the SIGTERM; infinite if it is never used.
    """

    opened_at: float
    used_at: float


@dataclass(frozen=True, kw_only=True)
class CrowdedStop:
    """A process is stopped as planned while callers do what makes that difficult.

    All times are seconds after the SIGTERM.

    Attributes
    ----------
    waiting : tuple of float
        When requests come for a service all of whose slots are taken; the first ones,
        before the stop, take them.
    late : tuple of float
        When long streams are sent on kept connections.
    unused : tuple of UnusedConnection
        Connections whose first request is a long stream.
    terms, reloads : tuple of float
        When SIGTERM is sent again, and SIGHUP.
    """

    process: int
    waiting: tuple[float, ...]
    late: tuple[float, ...]
    unused: tuple[UnusedConnection, ...]
    terms: tuple[float, ...]
    reloads: tuple[float, ...]


@dataclass(frozen=True, kw_only=True)
class KillAll:
    """All ingress processes are killed at once and start again; relays stay."""

    down_seconds: float


@dataclass(frozen=True, kw_only=True)
class StopRelay:
    """A relay is stopped as planned and starts again."""

    relay: int
    down_seconds: float


@dataclass(frozen=True, kw_only=True)
class Freeze:
    """A process stands still."""

    process: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Reload:
    """A process is told to read its settings again."""

    process: int


@dataclass(frozen=True, kw_only=True)
class DisturbWay:
    """The connections between a process and the platform are disturbed."""

    process: int
    way: Way
    seconds: float


@dataclass(frozen=True, kw_only=True)
class DisturbPlatform:
    """The platform is disturbed."""

    fault: PlatformFault
    seconds: float


@dataclass(frozen=True, kw_only=True)
class ReplaceUpstream:
    """An upstream leaves and another one takes its place."""


@dataclass(frozen=True, kw_only=True)
class Leave:
    """An upstream leaves and serves on for a while; another one takes its place.

    Unless it says so, its entry is removed and nothing else tells of it.
    """

    says_so: bool
    seconds: float


@dataclass(frozen=True, kw_only=True)
class CutOff:
    """All processes are cut off from the platform and the relays, which are well."""

    seconds: float


@dataclass(frozen=True, kw_only=True)
class FreezeRelay:
    """A relay stands still while its connections stay open."""

    relay: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class CrashUpstream:
    """An upstream resets its connections and accepts none for a while."""

    seconds: float


@dataclass(frozen=True, kw_only=True)
class RestartUpstream:
    """An engine goes down and starts again under its name, at another version.

    Its entry is written when it accepts requests again, so that for a moment, or for
    an outage of the platform, the old entry names the old version.
    """

    seconds: float
    version: str


@dataclass(frozen=True, kw_only=True)
class PauseUpstreams:
    """Sound upstreams of a service send nothing for a moment and go on.

    Their connections stay open and new ones are accepted.

    Attributes
    ----------
    number : int or None
        Which of the service's upstreams, from the oldest on; None for all of them.
    """

    service: str
    number: int | None
    seconds: float


@dataclass(frozen=True, kw_only=True)
class KillRelay:
    """A relay is killed and starts again."""

    relay: int
    down_seconds: float


@dataclass(frozen=True, kw_only=True)
class SendCrashingPrompts:
    """Requests come whose prompts hold a block that crashes each engine."""

    block: str
    seconds: float
    per_second: float


@dataclass(frozen=True, kw_only=True)
class Rush:
    """The balancer hands most new connections to one process.

    Callers open more of them meanwhile.
    """

    process: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class ChangeRoutes:
    """Routes are added; a large number makes the configuration large."""

    count: int


@dataclass(frozen=True, kw_only=True)
class RemoveRoute:
    """A route that was added is removed."""


@dataclass(frozen=True, kw_only=True)
class RevokeKey:
    """An API key is taken away and a new one added."""


@dataclass(frozen=True, kw_only=True)
class ChangeIdleLimit:
    """The time that connections may stay idle is raised or lowered."""

    seconds: float


Action = (
    Kill
    | Stop
    | CrowdedStop
    | KillAll
    | StopRelay
    | Freeze
    | Reload
    | DisturbWay
    | DisturbPlatform
    | ReplaceUpstream
    | Leave
    | CutOff
    | FreezeRelay
    | CrashUpstream
    | RestartUpstream
    | PauseUpstreams
    | KillRelay
    | SendCrashingPrompts
    | Rush
    | ChangeRoutes
    | RemoveRoute
    | RevokeKey
    | ChangeIdleLimit
)


@dataclass(frozen=True, kw_only=True)
class Scheduled:
    """An action and when it begins, in seconds from the start of a run."""

    at: float
    action: Action


def draw_schedule(
    *,
    seed: int,
    seconds: float,
    processes: int,
    share: float = 1.0,
    cuts: bool = True,
    pauses: bool = True,
    stops: bool = True,
) -> list[Scheduled]:
    """Return the actions of a run.

    Parameters
    ----------
    share : float
        Share of the actions that are played, other than those of the switches below.
        With fewer of them processes are in touch for longer, and so bound by more.
    cuts : bool
        Whether all processes are cut off at times, relays stand still, and upstreams
        leave often.
    pauses : bool
        Whether sound upstreams are silent for a moment at times, and work is planned
        beside it: the limit of idle connections changes, processes stop and reload.
    stops : bool
        Whether processes stop while callers do what makes that difficult, relays stop,
        and all processes are killed at once at times.
    """
    random = Random(f"soak {seed}")
    schedule = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - QUIET_END_SECONDS:
        schedule.append(Scheduled(at=at, action=_draw_action(random, processes)))
        at += random.expovariate(1 / MEAN_GAP_SECONDS)
    schedule += _draw_restarts(seed, seconds) + _draw_relay_kills(seed, seconds)
    schedule += _draw_crashing_prompts(seed, seconds)
    schedule += _draw_rushes(seed, seconds, processes)
    played = Random(f"share {seed}")
    schedule = [each for each in schedule if played.random() < share]
    if cuts:
        schedule += _draw_leavings(seed, seconds) + _draw_cuts(seed, seconds)
        schedule += _draw_relay_freezes(seed, seconds)
    if pauses:
        schedule += _draw_pauses(seed, seconds) + _draw_idle_limits(seed, seconds)
        schedule += _draw_planned_work(seed, seconds, processes)
    if stops:
        schedule += _draw_crowded_stops(seed, seconds, processes)
        schedule += _draw_kills_of_all(seed, seconds)
        schedule += _draw_relay_stops(seed, seconds)
    return sorted(schedule, key=lambda scheduled: scheduled.at)


def _draw_restarts(seed: int, seconds: float) -> list[Scheduled]:
    """Return restarts of engines at other versions, drawn apart from the rest.

    So the other actions of a seed are those of the soak before it had versions.
    """
    random = Random(f"versions {seed}")
    restarts = []
    at = FIRST_FAULT_SECONDS + random.expovariate(1 / MEAN_RESTART_GAP_SECONDS)
    while at < seconds - QUIET_END_SECONDS:
        action = RestartUpstream(
            seconds=round(random.uniform(0.2, 2.0), 2), version=random.choice(VERSIONS)
        )
        restarts.append(Scheduled(at=at, action=action))
        at += random.expovariate(1 / MEAN_RESTART_GAP_SECONDS)
    return restarts


def _draw_relay_kills(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"relays {seed}")
    kills = []
    at = FIRST_FAULT_SECONDS + random.expovariate(1 / MEAN_RELAY_KILL_GAP_SECONDS)
    while at < seconds - QUIET_END_SECONDS:
        action = KillRelay(
            relay=random.randrange(RELAY_COUNT),
            down_seconds=round(random.uniform(0.2, 3.0), 2),
        )
        kills.append(Scheduled(at=at, action=action))
        at += random.expovariate(1 / MEAN_RELAY_KILL_GAP_SECONDS)
    return kills


def _draw_crashing_prompts(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"crashing prompts {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_CRASHING_PROMPTS_GAP_SECONDS)
    return [
        Scheduled(
            at=at,
            action=SendCrashingPrompts(
                block=f"bad-{number}",
                seconds=round(random.uniform(4.0, 12.0), 2),
                per_second=random.choice((0.5, 4.0, 15.0)),
            ),
        )
        for number, at in enumerate(times)
    ]


def _draw_rushes(seed: int, seconds: float, processes: int) -> list[Scheduled]:
    random = Random(f"rushes {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_RUSH_GAP_SECONDS)
    return [
        Scheduled(
            at=at,
            action=Rush(
                process=random.randrange(processes),
                seconds=round(random.uniform(3.0, 8.0), 2),
            ),
        )
        for at in times
    ]


def _draw_leavings(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"leavings {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_LEAVING_GAP_SECONDS)
    return [
        Scheduled(
            at=at,
            action=Leave(
                says_so=random.random() < 0.5,
                seconds=round(random.uniform(6.0, 14.0), 2),
            ),
        )
        for at in times
    ]


def _draw_cuts(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"cuts {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_CUT_GAP_SECONDS)
    return [
        Scheduled(at=at, action=CutOff(seconds=round(random.uniform(2.0, 6.0), 2)))
        for at in times
    ]


def _draw_relay_freezes(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"relay freezes {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_RELAY_FREEZE_GAP_SECONDS)
    return [
        Scheduled(
            at=at,
            action=FreezeRelay(
                relay=random.randrange(RELAY_COUNT),
                seconds=round(random.uniform(1.0, 5.0), 2),
            ),
        )
        for at in times
    ]


def _draw_pauses(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"pauses {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_PAUSE_GAP_SECONDS)
    return [
        Scheduled(
            at=at,
            action=PauseUpstreams(
                service=random.choice(PAUSED_SERVICES),
                number=random.choice((None, random.randrange(4))),
                seconds=round(random.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS), 2),
            ),
        )
        for at in times
    ]


def _draw_idle_limits(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"idle limits {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_IDLE_LIMIT_GAP_SECONDS)
    return [
        Scheduled(
            at=at, action=ChangeIdleLimit(seconds=random.choice(IDLE_LIMITS_SECONDS))
        )
        for at in times
    ]


def _draw_planned_work(seed: int, seconds: float, processes: int) -> list[Scheduled]:
    random = Random(f"planned work {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_PLANNED_WORK_GAP_SECONDS)
    return [
        Scheduled(
            at=at,
            action=random.choice((Stop, Reload))(process=random.randrange(processes)),
        )
        for at in times
    ]


def _draw_crowded_stops(seed: int, seconds: float, processes: int) -> list[Scheduled]:
    random = Random(f"crowded stops {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_CROWDED_STOP_GAP_SECONDS)
    return [
        Scheduled(at=at, action=_draw_crowded_stop(random, processes)) for at in times
    ]


def _draw_crowded_stop(random: Random, processes: int) -> CrowdedStop:
    def draw(count: int, least: float, most: float) -> tuple[float, ...]:
        return tuple(
            sorted(round(random.uniform(least, most), 2) for _ in range(count))
        )

    unused = tuple(
        UnusedConnection(
            opened_at=round(random.uniform(-0.5, 2.3), 2),
            used_at=random.choice(
                (inf, round(random.uniform(MIN_LATE_SECONDS, MAX_LATE_SECONDS), 2))
            ),
        )
        for _ in range(random.randrange(5))
    )
    return CrowdedStop(
        process=random.randrange(processes),
        waiting=draw(6, -0.5, -0.1) + draw(random.randrange(8), 0.0, 2.5),
        late=draw(random.randrange(1, 7), MIN_LATE_SECONDS, MAX_LATE_SECONDS),
        unused=unused,
        terms=draw(random.randrange(2), 0.3, 3.0),
        reloads=draw(random.randrange(4), -0.4, 3.0),
    )


def _draw_kills_of_all(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"kills of all {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_KILL_OF_ALL_GAP_SECONDS)
    return [
        Scheduled(
            at=at, action=KillAll(down_seconds=round(random.uniform(0.0, 1.0), 2))
        )
        for at in times
    ]


def _draw_relay_stops(seed: int, seconds: float) -> list[Scheduled]:
    random = Random(f"relay stops {seed}")
    times = _draw_times(random, seconds, mean_gap=MEAN_RELAY_STOP_GAP_SECONDS)
    return [
        Scheduled(
            at=at,
            action=StopRelay(
                relay=random.randrange(RELAY_COUNT),
                down_seconds=round(random.uniform(0.0, 3.0), 2),
            ),
        )
        for at in times
    ]


def _draw_times(random: Random, seconds: float, *, mean_gap: float) -> list[float]:
    times = []
    at = FIRST_FAULT_SECONDS + random.expovariate(1 / mean_gap)
    while at < seconds - QUIET_END_SECONDS:
        times.append(at)
        at += random.expovariate(1 / mean_gap)
    return times


def _draw_action(random: Random, processes: int) -> Action:
    process = random.randrange(processes)
    span = round(random.uniform(0.5, 4.0), 2)
    table = (
        (2, lambda: Kill(process=process, down_seconds=span / 2)),
        (2, lambda: Stop(process=process)),
        (1, lambda: Freeze(process=process, seconds=span)),
        (1, lambda: Reload(process=process)),
        (3, lambda: _draw_way(random, process, span)),
        (2, lambda: _draw_platform_fault(random, span)),
        (2, ReplaceUpstream),
        (1, lambda: CrashUpstream(seconds=span / 2)),
        (3, lambda: ChangeRoutes(count=random.choice((1, 1, 3, 1500)))),
        (1, RemoveRoute),
        (2, RevokeKey),
    )
    weights = [weight for weight, _ in table]
    [(_, draw)] = random.choices(table, weights)
    return draw()


def _draw_way(random: Random, process: int, span: float) -> DisturbWay:
    return DisturbWay(process=process, way=random.choice(list(Way)), seconds=span)


def _draw_platform_fault(random: Random, span: float) -> DisturbPlatform:
    return DisturbPlatform(fault=random.choice(list(PlatformFault)), seconds=span)
