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
  it still has to read for others, and `RUNNING_REQUEST_COST_TOKENS` for each request
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
from ragwortkeel.ingress.prefixes import PREFIX_CACHE_FRACTION, Part, PrefixMemory
from ragwortkeel.policy.announced_limits import AnnouncedLimits
from ragwortkeel.policy.ejection import Ejections
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.fleet_rates import EqualShare, FleetRate, FleetRates

RUNNING_REQUEST_COST_TOKENS = 250
"""Each running request slows the others' steps; over an answer of 300 tokens
that is about the time of reading this many (measured on the engines' sheet:
0.1 ms a step against 57 tokens read in a millisecond, halved as answers end)."""

MAX_MEMORY_FRACTION = 0.92
"""Of an engine's memory, filled by running requests at their largest; the rest
absorbs what other processes have placed since they last told."""

OTHER_ZONE_COST_REQUESTS = 0.05
"""Of one request: breaks ties towards the own zone, where no byte is charged."""

SHARED_TOKEN_COST_FACTOR = 4.0
"""Cost of reading a shared token that another engine holds, against one that has
to be read anyway: beside its time it takes the memory of parts in use, and the
engine's other requests wait for it too."""

PLAIN_QUEUE_FRACTION = 1.0
"""Of a plain upstream's slots, placed there beyond them by all processes together
(one alone never has more there than slots): it queues a few more, and most of what
counts as running is on its way there or back.  With the slots alone one upstream that
was busy for 1.2 requests at a time counted as full: slow processes hold a place for
0.2 s around 22 ms of work, and loads are told up to half a second late."""

MAX_CONNECTIONS_FRACTION = 0.8
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
    def affinity_block_id(self) -> str:
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
class OwnSendRate:
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

    def seconds_until_send(self, ahead: int) -> float:
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

    since_at: float = 0.0
    seconds: float = 0.0
    unreachable: bool = False
    known_to_peers: bool = True

    def is_cold(self, service: Service, now: float) -> bool:
        """Whether it is cold now; a longer time than the service's is no use."""
        if self.unreachable:
            return True
        return now < self.since_at + min(self.seconds, service.cold_seconds)


_WARM = _Cold()


@dataclass(kw_only=True)
class _UpstreamRecord:
    """What is known of one upstream."""

    running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0
    started: int | None = None
    prefix_cache: PrefixMemory | None = None
    peer_load_by_process: dict[str, tuple[float, Load]] = field(default_factory=dict)
    cold: _Cold = _WARM

    @property
    def own_load(self) -> Load:
        return Load(
            running=self.running,
            memory_tokens=self.memory_tokens,
            unread_tokens=self.unread_tokens,
        )

    def total_load(self, now: float) -> Load:
        rv = self.own_load
        for valid_until, load in self.peer_load_by_process.values():
            if now < valid_until:
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
        self._rates = rates or _sole_sender_rates()
        self._limits = limits or AnnouncedLimits()
        self._record_by_upstream: dict[str, _UpstreamRecord] = {}
        self._new_blocks_by_upstream: dict[str, dict[int, int]] = {}

    def assign(
        self,
        job: Job,
        *,
        service: Service,
        upstream_by_name: dict[str, Upstream],
        tried_upstreams: frozenset[str] = frozenset(),
        now: float,
    ) -> Placed | None:
        """Place the request, or return None where no upstream has room.

        Parameters
        ----------
        upstream_by_name : dict
            The service's upstreams that may get new work.
        tried_upstreams : frozenset of str
            Upstreams to leave out, as the request was there already.
        now : float
            Monotonic seconds.
        """
        names = [name for name in upstream_by_name if name not in tried_upstreams]
        usable = self.ejections.usable(names, now)
        cost: Callable[[Upstream], float]
        if service.engine is None:
            cost = self._plain_cost(job, now)
        else:
            cost = self._engine_cost(job, names, now)
        with_headroom = [
            upstream_by_name[name]
            for name in usable
            if self._has_headroom(upstream_by_name[name], service, job, now)
            and self._may_send_one_more(upstream_by_name[name], service, now)
        ]
        if not with_headroom:
            return None
        return self._assign(min(with_headroom, key=cost), service, job, now)

    def own_send_rate(
        self, *, service: Service, upstreams: Iterable[Upstream], now: float
    ) -> OwnSendRate | None:
        """Return what this process may send where all upstreams announced a limit.

        None where one has not, or is only cold: that passes within seconds.
        """
        upstreams = list(upstreams)
        if not upstreams or any(self._limits.of(u.name) is None for u in upstreams):
            return None
        pairs = [(u, self._rate_limit(u, service, now)) for u in upstreams]
        return OwnSendRate(
            per_second=sum(self._rates.own_rate(u.name, rate) for u, rate in pairs),
            seconds_to_next=min(
                self._rates.seconds_to_next(u.name, rate, now=now) for u, rate in pairs
            ),
        )

    def begun(self, placed: Placed) -> None:
        """Note the first token: the prompt has been read."""
        if not placed.begun:
            placed.begun = True
            self._record(placed.upstream).unread_tokens -= placed.unread_tokens

    def release(self, placed: Placed) -> None:
        """Take the request's place back, however it ended."""
        self.begun(placed)
        record = self._record(placed.upstream)
        record.running -= 1
        record.memory_tokens -= placed.job.memory_tokens

    def failed(self, upstream: str, failure: Failure, now: float) -> bool:
        """Note a failure; return whether the upstream is left alone now."""
        if failure in _MAY_HAVE_RESTARTED and upstream in self._record_by_upstream:
            self._record_by_upstream[upstream].cold = _Cold(
                unreachable=True, known_to_peers=False
            )
        return self.ejections.failed(upstream, failure, now)

    def succeeded(self, upstream: str, now: float) -> None:
        """Note an answer of the upstream's own."""
        record = self._record_by_upstream.get(upstream)
        if record is not None and record.cold.unreachable:
            record.cold = _Cold(
                since_at=now, seconds=float("inf"), known_to_peers=False
            )
        self.ejections.succeeded(upstream)

    def note_cold(self, upstream: str, seconds: float, now: float) -> None:
        """Take an upstream for cold for so long from now; 0 for warm."""
        record = self._record_by_upstream.setdefault(upstream, _UpstreamRecord())
        record.cold = _Cold(since_at=now, seconds=seconds)
        if not seconds and self._limits.of(upstream) is None:
            self._rates.forget(upstream)

    def forget(self, upstream: str) -> None:
        """Drop what a restarted or gone upstream no longer holds."""
        record = self._record_by_upstream.get(upstream)
        if record is not None:
            record.prefix_cache = None

    def own_loads(self) -> dict[str, Load]:
        """Return what this process has at each upstream, for its peers."""
        return {
            name: record.own_load
            for name, record in self._record_by_upstream.items()
            if record.running
        }

    def news(self) -> dict[str, dict[int, int]]:
        """Return the shared parts that upstreams began to read since the last call.

        By upstream, tokens by chain; see `PrefixMemory`.
        """
        news, self._new_blocks_by_upstream = self._new_blocks_by_upstream, {}
        return news

    def all_parts(self) -> dict[str, dict[int, int]]:
        """Return all shared parts that upstreams hold, for a process that is new."""
        return {
            name: record.prefix_cache.shared_blocks()
            for name, record in self._record_by_upstream.items()
            if record.prefix_cache is not None
        }

    def heard_parts(self, upstream: str, tokens_by_chain: dict[int, int]) -> None:
        """Take in which shared parts another process let an upstream read."""
        record = self._record_by_upstream.setdefault(upstream, _UpstreamRecord())
        record.prefix_cache = record.prefix_cache or PrefixMemory(capacity_tokens=None)
        record.prefix_cache.merge(tokens_by_chain)

    def heard(
        self, process: str, load_by_upstream: dict[str, Load], valid_until: float
    ) -> None:
        """Take in what another process has at each upstream until that second."""
        for name in load_by_upstream:
            self._record_by_upstream.setdefault(name, _UpstreamRecord())
        for name, record in self._record_by_upstream.items():
            load = load_by_upstream.get(name, NO_LOAD)
            record.peer_load_by_process[process] = (valid_until, load)

    def keep(self, upstreams: set[str]) -> None:
        """Forget upstreams that are gone and hold no own work."""
        self.ejections.keep(upstreams)
        self._rates.keep(upstreams)
        self._record_by_upstream = {
            name: record
            for name, record in self._record_by_upstream.items()
            if name in upstreams or record.running
        }

    def _record(self, upstream: Upstream) -> _UpstreamRecord:
        record = self._record_by_upstream.setdefault(upstream.name, _UpstreamRecord())
        if record.started != upstream.born:
            # What peers told before this process knew the upstream still holds.
            if record.started is not None:
                record.prefix_cache = None
            record.started = upstream.born
        return record

    def _has_headroom(
        self, upstream: Upstream, service: Service, job: Job, now: float
    ) -> bool:
        total = self._record(upstream).total_load(now)
        connections = int(service.max_connections * MAX_CONNECTIONS_FRACTION)
        if service.engine is None:
            own = self._record(upstream).running
            max_running = int(upstream.slots * (1 + PLAIN_QUEUE_FRACTION))
            return own < upstream.slots and total.running < min(
                max_running, connections
            )
        if total.running >= min(upstream.slots, connections):
            return False
        free_tokens = (
            service.engine.memory_tokens * MAX_MEMORY_FRACTION - total.memory_tokens
        )
        return job.memory_tokens <= free_tokens or total.running == 0

    def _may_send_one_more(
        self, upstream: Upstream, service: Service, now: float
    ) -> bool:
        """Whether the upstream has no bound, or is due a request of this process."""
        rate = self._rate_limit(upstream, service, now)
        return rate is None or self._rates.may_send(upstream.name, rate, now=now)

    def _rate_limit(
        self, upstream: Upstream, service: Service, now: float
    ) -> FleetRate | None:
        """Return the bound on the upstream's requests, of several the least."""
        announced = self._limits.rate(upstream.name, now)
        cold = self._record(upstream).cold
        if not service.cold_per_second or not cold.is_cold(service, now):
            return announced
        bound = FleetRate(
            per_second=service.cold_per_second, known_to_all=cold.known_to_peers
        )
        if announced is not None and announced.per_second < bound.per_second:
            return announced
        return bound

    def _plain_cost(self, job: Job, now: float) -> Callable[[Upstream], float]:
        def cost(upstream: Upstream) -> tuple[float, int]:
            total = self._record(upstream).total_load(now)
            used = (total.running + self._other_zone_cost(upstream)) / max(
                1, upstream.slots
            )
            return used, _rendezvous(job.request_id, upstream.name)

        return cost

    def _engine_cost(
        self, job: Job, names: list[str], now: float
    ) -> Callable[[Upstream], float]:
        first = max(
            names, key=lambda n: _rendezvous(job.affinity_block_id, n), default=""
        )
        shared = sum(part.tokens for part in job.parts[:-1])
        if any(self._cached_tokens(name, job) >= shared for name in names):
            # Somebody has placed it, so nothing has to be guessed.
            first = ""

        def cost(upstream: Upstream) -> float:
            record = self._record(upstream)
            total = record.total_load(now)
            held = (
                record.prefix_cache.cached_tokens(job.parts)
                if record.prefix_cache
                else 0
            )
            if job.affinity_block_id and upstream.name == first:
                # Another process is likely to have placed it there.
                held = max(held, shared)
            missing = max(0, job.prompt_tokens - held)
            missing += max(0, shared - held) * (SHARED_TOKEN_COST_FACTOR - 1)
            running = (
                total.running + self._other_zone_cost(upstream)
            ) * RUNNING_REQUEST_COST_TOKENS
            return missing + total.unread_tokens + running

        return cost

    def _cached_tokens(self, name: str, job: Job) -> int:
        record = self._record_by_upstream.get(name)
        if record is None or record.prefix_cache is None:
            return 0
        return record.prefix_cache.cached_tokens(job.parts)

    def _other_zone_cost(self, upstream: Upstream) -> float:
        return 0.0 if upstream.zone == self._zone else OTHER_ZONE_COST_REQUESTS

    def _assign(
        self, upstream: Upstream, service: Service, job: Job, now: float
    ) -> Placed:
        record = self._record(upstream)
        unread = job.prompt_tokens
        if service.engine is not None:
            record.prefix_cache = _resized(record.prefix_cache, service.engine)
            unread = max(0, unread - record.prefix_cache.cached_tokens(job.parts))
            new = record.prefix_cache.record_read(job.parts)
            if new:
                self._new_blocks_by_upstream.setdefault(upstream.name, {}).update(new)
        load = record.total_load(now)
        record.running += 1
        record.memory_tokens += job.memory_tokens
        record.unread_tokens += unread
        if self._rate_limit(upstream, service, now) is not None:
            self._rates.sent(upstream.name)
        self.ejections.assigned(upstream.name, now)
        return Placed(upstream=upstream, job=job, unread_tokens=unread, load=load)


def _sole_sender_rates() -> FleetRates:
    return FleetRates(
        sharing=lambda: EqualShare(processes=1), random=Random(), started=float("-inf")
    )


def _resized(memory: PrefixMemory | None, engine: Engine) -> PrefixMemory:
    memory = memory or PrefixMemory(capacity_tokens=None)
    memory.capacity_tokens = int(engine.memory_tokens * PREFIX_CACHE_FRACTION)
    return memory


def _rendezvous(key: str, name: str) -> int:
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)
