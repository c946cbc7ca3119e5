"""Where a request goes: room first, then the least time to its first token.

Patterns of load: long prompts beside short ones, prefixes that most prompts
share, several ingress processes that choose at the same moment, and upstreams
that fail fast and so look idle.

- An upstream has room while its slots, its memory and its connections hold one
  more request, counted at its largest, own work and what the other ingress
  processes told of theirs.  Without the bound on memory engines evict running
  requests in the middle of their streams.
- Among those with room the cheapest wins.  For an engine the cost is the tokens
  it has to read before the first one comes: what it lacks of this prompt, what
  it still has to read for others, and `RUNNING_COST_TOKENS` for each request
  that runs.  Without the first term shared parts are read again at each engine;
  without the others one hot prefix overloads one engine.
- A prefix nobody has placed yet goes to its first engine in rendezvous order:
  ingress processes agree on it without a message.  Where load made one choose
  another engine it tells its peers, or each of them would have the shared parts read
  once more, and all of them again after each restart.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf
from random import Random

from ragwortkeel.ingress.configuration import Engine, Service, Upstream
from ragwortkeel.ingress.prefixes import KEPT_SHARE, Part, PrefixMemory
from ragwortkeel.policy.announced_limits import AnnouncedLimits
from ragwortkeel.policy.ejection import Ejections
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.fleet_rates import EqualShare, FleetRate, FleetRates

RUNNING_COST_TOKENS = 250
"""Each running request slows the others' steps; over an answer of 300 tokens
that is about the time of reading this many (measured on the engines' sheet:
0.1 ms a step against 57 tokens read in a millisecond, halved as answers end)."""

MEMORY_SHARE = 0.92
"""Of an engine's memory, filled by running requests at their largest; the rest
absorbs what other processes have placed since they last told."""

OUTSIDE_ZONE_COST = 0.05
"""Of one request: breaks ties towards the own zone, where no byte is charged."""

SHARED_WEIGHT = 4.0
"""Cost of reading a shared token that another engine holds, against one that has
to be read anyway: beside its time it takes the memory of parts in use, and the
engine's other requests wait for it too."""

PLAIN_QUEUE_SHARE = 1.0
"""Of a plain upstream's slots, placed there beyond them by all processes together
(one alone never has more there than slots): it queues a few more, and most of what
counts as running is on its way there or back.  With the slots alone one upstream that
was busy for 1.2 requests at a time counted as full: slow processes hold a place for
0.2 s around 22 ms of work, and loads are told up to half a second late."""

CONNECTION_SHARE = 0.8
"""Of an upstream's connections; the rest is for health checks and late closes."""


@dataclass(frozen=True, kw_only=True)
class Job:
    """One request as the placement sees it.

    Attributes
    ----------
    memory_tokens : int
        Prompt and largest answer.
    regions : frozenset of str or None
        Where it may run; None for everywhere.
    """

    request_id: str
    service: str
    priority: int
    customer: str
    parts: tuple[Part, ...] = ()
    prompt_tokens: int = 0
    memory_tokens: int = 0
    regions: frozenset[str] | None = None

    @property
    def affinity(self) -> str:
        """The last part that others share: the last one is the request's own."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


@dataclass(frozen=True, kw_only=True)
class Load:
    """What one process has at one upstream, in requests and tokens."""

    running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(
            running=self.running + other.running,
            memory_tokens=self.memory_tokens + other.memory_tokens,
            unread_tokens=self.unread_tokens + other.unread_tokens,
        )


NO_LOAD = Load()

_MAY_HAVE_RESTARTED = frozenset({Failure.UNREACHABLE, Failure.CRASHED})


@dataclass(kw_only=True)
class Placed:
    """A request's place at an upstream, until `Placement.release`.

    `load` is what was known to be there when it was chosen.
    """

    upstream: Upstream
    job: Job
    unread_tokens: int
    load: Load
    begun: bool = False


@dataclass(frozen=True, kw_only=True)
class OwnRates:
    """What one process may send to a service whose upstreams all announced a limit.

    Attributes
    ----------
    per_second : float
        Requests a second, to all of them.
    seconds_to_next : float
        When it may send one more; infinite where all is others' to send.
    """

    per_second: float
    seconds_to_next: float

    def seconds_to_turn(self, ahead: int) -> float:
        """Return when a request may be sent that has so many before it."""
        if not ahead:
            return self.seconds_to_next
        if not self.per_second:
            return inf
        return self.seconds_to_next + ahead / self.per_second


@dataclass(frozen=True, kw_only=True)
class _Cold:
    """An upstream that is cold for `seconds` from the monotonic second `at`.

    One that was not reached may have restarted since, so it stays cold for as long as
    its service says after it is reached again.  `told` is whether its entry says so.
    """

    at: float = 0.0
    seconds: float = 0.0
    unreached: bool = False
    told: bool = True

    def holds(self, service: Service, now: float) -> bool:
        """Whether it is cold now; a longer time than the service's is no use."""
        if self.unreached:
            return True
        return now < self.at + min(self.seconds, service.cold_seconds)


WARM = _Cold()


@dataclass(kw_only=True)
class _State:
    """What is known of one upstream."""

    running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0
    born: int | None = None
    memory: PrefixMemory | None = None
    others_by_node: dict[str, tuple[float, Load]] = field(default_factory=dict)
    cold: _Cold = WARM

    @property
    def own(self) -> Load:
        return Load(
            running=self.running,
            memory_tokens=self.memory_tokens,
            unread_tokens=self.unread_tokens,
        )

    def total(self, now: float) -> Load:
        rv = self.own
        for holds_until, load in self.others_by_node.values():
            if now < holds_until:
                rv = rv + load
        return rv


class Placement:
    """Chooses upstreams and counts what is placed at each.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
    ejections : Ejections
        Which upstreams fail.
    rates : FleetRates
        How often upstreams with a bound on the fleet may be sent a request.
    limits : AnnouncedLimits
        The bounds that upstreams themselves have named.
    """

    def __init__(
        self,
        *,
        zone: str,
        ejections: Ejections | None = None,
        rates: FleetRates | None = None,
        limits: AnnouncedLimits | None = None,
    ) -> None:
        self._zone = zone
        self.ejections = ejections or Ejections()
        self._rates = rates or _sole_sender()
        self._limits = limits or AnnouncedLimits()
        self._state_by_name: dict[str, _State] = {}
        self._news_by_name: dict[str, dict[int, int]] = {}

    def choose(
        self,
        job: Job,
        *,
        service: Service,
        upstream_by_name: dict[str, Upstream],
        tried: frozenset[str] = frozenset(),
        now: float,
    ) -> Placed | None:
        """Place the request, or return None where no upstream has room.

        Parameters
        ----------
        upstream_by_name : dict
            The service's upstreams that may get new work.
        tried : frozenset of str
            Upstreams to leave out, as the request was there already.
        now : float
            Monotonic seconds.
        """
        names = [name for name in upstream_by_name if name not in tried]
        usable = self.ejections.usable(names, now)
        cost: Callable[[Upstream], float]
        if service.engine is None:
            cost = self._plain_cost(job, now)
        else:
            cost = self._engine_cost(job, names, now)
        with_room = [
            upstream_by_name[name]
            for name in usable
            if self._has_room(upstream_by_name[name], service, job, now)
            and self._bears_one_more(upstream_by_name[name], service, now)
        ]
        if not with_room:
            return None
        return self._place(min(with_room, key=cost), service, job, now)

    def own_rates(
        self, *, service: Service, upstreams: Iterable[Upstream], now: float
    ) -> OwnRates | None:
        """Return what this process may send where all upstreams announced a limit.

        None where one has not, or is only cold: that passes within seconds.
        """
        upstreams = list(upstreams)
        if not upstreams or any(self._limits.of(u.name) is None for u in upstreams):
            return None
        pairs = [(u, self._rate(u, service, now)) for u in upstreams]
        return OwnRates(
            per_second=sum(self._rates.own_rate(u.name, rate) for u, rate in pairs),
            seconds_to_next=min(
                self._rates.seconds_to_next(u.name, rate, now=now) for u, rate in pairs
            ),
        )

    def begun(self, placed: Placed) -> None:
        """Note the first token: the prompt has been read."""
        if not placed.begun:
            placed.begun = True
            self._state(placed.upstream).unread_tokens -= placed.unread_tokens

    def release(self, placed: Placed) -> None:
        """Take the request's place back, however it ended."""
        self.begun(placed)
        state = self._state(placed.upstream)
        state.running -= 1
        state.memory_tokens -= placed.job.memory_tokens

    def failed(self, upstream: str, failure: Failure, now: float) -> bool:
        """Note a failure; return whether the upstream is left alone now."""
        if failure in _MAY_HAVE_RESTARTED and upstream in self._state_by_name:
            self._state_by_name[upstream].cold = _Cold(unreached=True, told=False)
        return self.ejections.failed(upstream, failure, now)

    def succeeded(self, upstream: str, now: float) -> None:
        """Note an answer of the upstream's own."""
        state = self._state_by_name.get(upstream)
        if state is not None and state.cold.unreached:
            state.cold = _Cold(at=now, seconds=float("inf"), told=False)
        self.ejections.succeeded(upstream)

    def note_cold(self, upstream: str, seconds: float, now: float) -> None:
        """Take an upstream for cold for so long from now; 0 for warm."""
        state = self._state_by_name.setdefault(upstream, _State())
        state.cold = _Cold(at=now, seconds=seconds)
        if not seconds and self._limits.of(upstream) is None:
            self._rates.forget(upstream)

    def forget(self, upstream: str) -> None:
        """Drop what a restarted or gone upstream no longer holds."""
        state = self._state_by_name.get(upstream)
        if state is not None:
            state.memory = None

    def own_loads(self) -> dict[str, Load]:
        """Return what this process has at each upstream, for its peers."""
        return {
            name: state.own
            for name, state in self._state_by_name.items()
            if state.running
        }

    def news(self) -> dict[str, dict[int, int]]:
        """Return the shared parts that upstreams began to read since the last call.

        By upstream, tokens by chain; see `PrefixMemory`.
        """
        news, self._news_by_name = self._news_by_name, {}
        return news

    def all_parts(self) -> dict[str, dict[int, int]]:
        """Return all shared parts that upstreams hold, for a process that is new."""
        return {
            name: state.memory.shared()
            for name, state in self._state_by_name.items()
            if state.memory is not None
        }

    def heard_parts(self, upstream: str, tokens_by_chain: dict[int, int]) -> None:
        """Take in which shared parts another process let an upstream read."""
        state = self._state_by_name.setdefault(upstream, _State())
        state.memory = state.memory or PrefixMemory(capacity_tokens=None)
        state.memory.heard(tokens_by_chain)

    def heard(
        self, node: str, load_by_upstream: dict[str, Load], holds_until: float
    ) -> None:
        """Take in what another process has at each upstream until that second."""
        for name in load_by_upstream:
            self._state_by_name.setdefault(name, _State())
        for name, state in self._state_by_name.items():
            load = load_by_upstream.get(name, NO_LOAD)
            state.others_by_node[node] = (holds_until, load)

    def keep(self, upstreams: set[str]) -> None:
        """Forget upstreams that are gone and hold no own work."""
        self.ejections.keep(upstreams)
        self._rates.keep(upstreams)
        self._state_by_name = {
            name: state
            for name, state in self._state_by_name.items()
            if name in upstreams or state.running
        }

    def _state(self, upstream: Upstream) -> _State:
        state = self._state_by_name.setdefault(upstream.name, _State())
        if state.born != upstream.started_ms:
            # What peers told before this process knew the upstream still holds.
            if state.born is not None:
                state.memory = None
            state.born = upstream.started_ms
        return state

    def _has_room(
        self, upstream: Upstream, service: Service, job: Job, now: float
    ) -> bool:
        total = self._state(upstream).total(now)
        connections = int(service.max_connections * CONNECTION_SHARE)
        if service.engine is None:
            own = self._state(upstream).running
            places = int(upstream.slots * (1 + PLAIN_QUEUE_SHARE))
            return own < upstream.slots and total.running < min(places, connections)
        if total.running >= min(upstream.slots, connections):
            return False
        room = service.engine.memory_tokens * MEMORY_SHARE - total.memory_tokens
        return job.memory_tokens <= room or total.running == 0

    def _bears_one_more(self, upstream: Upstream, service: Service, now: float) -> bool:
        """Whether the upstream has no bound, or is due a request of this process."""
        rate = self._rate(upstream, service, now)
        return rate is None or self._rates.may_send(upstream.name, rate, now=now)

    def _rate(
        self, upstream: Upstream, service: Service, now: float
    ) -> FleetRate | None:
        """Return the bound on the upstream's requests, of several the least."""
        announced = self._limits.rate(upstream.name, now)
        cold = self._state(upstream).cold
        if not service.cold_per_second or not cold.holds(service, now):
            return announced
        bound = FleetRate(per_second=service.cold_per_second, known_to_all=cold.told)
        if announced is not None and announced.per_second < bound.per_second:
            return announced
        return bound

    def _plain_cost(self, job: Job, now: float) -> Callable[[Upstream], float]:
        def cost(upstream: Upstream) -> tuple[float, int]:
            total = self._state(upstream).total(now)
            used = (total.running + self._outside(upstream)) / max(1, upstream.slots)
            return used, _rendezvous(job.request_id, upstream.name)

        return cost

    def _engine_cost(
        self, job: Job, names: list[str], now: float
    ) -> Callable[[Upstream], float]:
        first = max(names, key=lambda n: _rendezvous(job.affinity, n), default="")
        shared = sum(part.tokens for part in job.parts[:-1])
        if any(self._held(name, job) >= shared for name in names):
            # Somebody has placed it, so nothing has to be guessed.
            first = ""

        def cost(upstream: Upstream) -> float:
            state = self._state(upstream)
            total = state.total(now)
            held = state.memory.held(job.parts) if state.memory else 0
            if job.affinity and upstream.name == first:
                # Another process is likely to have placed it there.
                held = max(held, shared)
            missing = max(0, job.prompt_tokens - held)
            missing += max(0, shared - held) * (SHARED_WEIGHT - 1)
            running = (total.running + self._outside(upstream)) * RUNNING_COST_TOKENS
            return missing + total.unread_tokens + running

        return cost

    def _held(self, name: str, job: Job) -> int:
        state = self._state_by_name.get(name)
        if state is None or state.memory is None:
            return 0
        return state.memory.held(job.parts)

    def _outside(self, upstream: Upstream) -> float:
        return 0.0 if upstream.zone == self._zone else OUTSIDE_ZONE_COST

    def _place(
        self, upstream: Upstream, service: Service, job: Job, now: float
    ) -> Placed:
        state = self._state(upstream)
        unread = job.prompt_tokens
        if service.engine is not None:
            state.memory = _sized(state.memory, service.engine)
            unread = max(0, unread - state.memory.held(job.parts))
            new = state.memory.read(job.parts)
            if new:
                self._news_by_name.setdefault(upstream.name, {}).update(new)
        load = state.total(now)
        state.running += 1
        state.memory_tokens += job.memory_tokens
        state.unread_tokens += unread
        if self._rate(upstream, service, now) is not None:
            self._rates.sent(upstream.name)
        self.ejections.assigned(upstream.name, now)
        return Placed(upstream=upstream, job=job, unread_tokens=unread, load=load)


def _sole_sender() -> FleetRates:
    return FleetRates(
        sharing=lambda: EqualShare(processes=1), random=Random(), started=float("-inf")
    )


def _sized(memory: PrefixMemory | None, engine: Engine) -> PrefixMemory:
    memory = memory or PrefixMemory(capacity_tokens=None)
    memory.capacity_tokens = int(engine.memory_tokens * KEPT_SHARE)
    return memory


def _rendezvous(key: str, name: str) -> int:
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)
