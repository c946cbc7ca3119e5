"""Assigns requests to upstreams: headroom first, then least time to the first token.

Patterns of load: long prompts beside short ones, prefixes that most prompts share,
several ingress processes that choose at the same moment, and upstreams that fail fast
and therefore look idle.

- An upstream has headroom while its slots, memory and connections can hold one more
  request.  The request counts with its largest answer; the load of the upstream is
  that of this process plus what other ingress processes last reported.  Without the
  memory bound, engines evict running requests in the middle of their streams.
- Among the upstreams with headroom, the cheapest wins.  The cost of an engine is
  counted in tokens that it has to read before the first token of the answer: those of
  this prompt that it has not cached, those still to be read for other requests, and
  `RUNNING_REQUEST_COST_TOKENS` for each running request.  Without the first term, each
  engine reads the shared prefixes again; without the others, one popular prefix
  overloads one engine.
- A prefix that no engine has cached goes to its first engine in rendezvous order, so
  that ingress processes agree on it without a message.  Load may make a process choose
  another engine, so processes report to their peers which shared prompt blocks an
  engine began to read.  Otherwise each peer would have them read once more, and all
  of them again after each restart.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from random import Random

from ragwortkeel.ingress.configuration import Engine, Service, Upstream
from ragwortkeel.ingress.loads import NO_LOAD, Load, PeerLoads
from ragwortkeel.ingress.memory_claims import MemoryClaims
from ragwortkeel.ingress.prefixes import PREFIX_CACHE_FRACTION, PrefixCache, PromptBlock
from ragwortkeel.policy.announced_limits import AnnouncedLimits
from ragwortkeel.policy.ejection import Ejections
from ragwortkeel.policy.engine_cost import engine_cost, plain_cost
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.fleet_rates import (
    EqualShare,
    FleetRate,
    FleetRates,
    OwnSendRate,
)
from ragwortkeel.policy.memory_share import MemoryUse, ReportedTokens
from ragwortkeel.policy.pauses import Instance, Pauses
from ragwortkeel.policy.queue_waits import Rank, rank_of
from ragwortkeel.policy.slots import max_plain_running, usable_connections
from ragwortkeel.policy.upstream_speed import UpstreamSpeeds


@dataclass(frozen=True, kw_only=True)
class Job:
    """What decides which upstream a request is assigned to.

    Attributes
    ----------
    memory_tokens : int
        Tokens of the prompt and of the largest answer together.
    regions : frozenset of str or None
        Regions in which the request may run; None for all regions.
    version : str or None
        Software version that began the stream which the request continues; no other
        version may continue it.  None for a request that may run at any version.
    """

    request_id: str
    service: str
    priority: int
    customer: str
    prompt_blocks: tuple[PromptBlock, ...] = ()
    prompt_tokens: int = 0
    memory_tokens: int = 0
    regions: frozenset[str] | None = None
    version: str | None = None

    @cached_property
    def rank(self) -> Rank:
        """What the wait of the request depends on."""
        return rank_of(self.priority, self.memory_tokens)

    @property
    def affinity_block_id(self) -> str:
        """Id of the last shared block of the prompt; empty if there is none.

        The last block of a prompt is not shared with other requests.
        """
        return self.prompt_blocks[-2].block_id if len(self.prompt_blocks) > 1 else ""


_MAY_HAVE_RESTARTED = frozenset({Failure.UNREACHABLE, Failure.CRASHED})


@dataclass(kw_only=True)
class Assignment:
    """The assignment of a request to an upstream, until `Placement.release`.

    Attributes
    ----------
    load : Load
        Known load of the upstream, of all processes, just before the assignment.
    prompt_read : bool
        Whether the first token was received, so that the prompt has been read.
    is_probe : bool
        Whether the upstream is ejected until this request succeeds there.
    """

    upstream: Upstream
    job: Job
    unread_tokens: int
    load: Load
    prompt_read: bool = False
    is_probe: bool = False


@dataclass(frozen=True, kw_only=True)
class _Cold:
    """A cold period of an upstream.

    An unreachable upstream may have restarted, so it is cold until it is reached again
    and for the `cold_seconds` of its service after that.

    Attributes
    ----------
    since_at : float
        Monotonic second at which the period begins.
    seconds : float
        Length of the period; 0 for a warm upstream.
    known_to_peers : bool
        Whether the entry of the upstream states the period, so that all processes know
        of it.
    """

    since_at: float = 0.0
    seconds: float = 0.0
    unreachable: bool = False
    known_to_peers: bool = True

    def is_cold(self, service: Service, now: float) -> bool:
        """Return whether the upstream is cold now.

        The period is at most the `cold_seconds` of the service.
        """
        if self.unreachable:
            return True
        return now < self.since_at + min(self.seconds, service.cold_seconds)


_WARM = _Cold()


@dataclass(kw_only=True)
class _UpstreamRecord:
    """What this process knows about one upstream."""

    running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0
    started_ms: int | None = None
    prefix_cache: PrefixCache | None = None
    peers: PeerLoads = field(default_factory=PeerLoads)
    reported: ReportedTokens = field(default_factory=ReportedTokens)
    cold: _Cold = _WARM

    @property
    def own_load(self) -> Load:
        return Load(
            running=self.running,
            memory_tokens=self.memory_tokens,
            unread_tokens=self.unread_tokens,
        )

    def total_load(self, now: float) -> Load:
        return self.own_load + self.peers.total(now)


class Placement:
    """Assigns requests to upstreams and counts the load of each upstream.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
    ejections : Ejections
        Health of each upstream.
    rates : FleetRates
        Requests that this process may send to upstreams with a fleet-wide rate limit.
    limits : AnnouncedLimits
        Rate limits that upstreams announced.
    pauses : Pauses
        Pauses that upstreams asked this process for.
    speeds : UpstreamSpeeds or None
        Measured slowness of each upstream; None if it must not decide.
    shares_memory : bool
        Whether processes divide what is free of an engine; see `policy.memory_share`.
    """

    def __init__(
        self,
        *,
        zone: str,
        ejections: Ejections | None = None,
        rates: FleetRates | None = None,
        limits: AnnouncedLimits | None = None,
        pauses: Pauses | None = None,
        speeds: UpstreamSpeeds | None = None,
        shares_memory: bool = False,
    ) -> None:
        self._zone = zone
        self._speeds = speeds
        self.ejections = ejections or Ejections()
        self._rates = rates or _sole_sender_rates()
        self._limits = limits or AnnouncedLimits()
        self._pauses = pauses or Pauses()
        self._shares_memory = shares_memory
        self.claims = MemoryClaims()
        self._record_by_upstream: dict[str, _UpstreamRecord] = {}
        self._new_blocks_by_upstream: dict[str, dict[int, int]] = {}

    def assign(
        self,
        job: Job,
        *,
        service: Service,
        upstream_by_name: dict[str, Upstream],
        tried_upstreams: frozenset[str] = frozenset(),
        withheld: frozenset[str] = frozenset(),
        now: float,
    ) -> Assignment | None:
        """Assign the request to an upstream; return None if none has headroom.

        Parameters
        ----------
        upstream_by_name : dict
            Upstreams of the service that accept new requests.
        tried_upstreams : frozenset of str
            Upstreams to exclude because the request was sent to them before.
        withheld : frozenset of str
            Upstreams reserved for another request.  They count as usable, so that no
            ejected upstream is used in their place.
        now : float
            Monotonic seconds.
        """
        names = self._unpaused(upstream_by_name, tried_upstreams, now)
        usable = self.ejections.usable(names, now)
        cost: Callable[[Upstream], float]
        if service.engine is None:
            cost = self._plain_cost(job, now)
        else:
            cost = self._engine_cost(job, names, now)
        with_headroom = [
            upstream_by_name[name]
            for name in usable
            if name not in withheld
            and self._has_headroom(upstream_by_name[name], service, job, now)
            and self._may_send_one_more(upstream_by_name[name], service, now)
        ]
        if not with_headroom:
            return None
        return self._assign(min(with_headroom, key=cost), service, job, now)

    def missing_tokens(
        self,
        job: Job,
        *,
        service: Service,
        upstream_by_name: dict[str, Upstream],
        tried_upstreams: frozenset[str] = frozenset(),
        now: float,
    ) -> dict[str, int]:
        """Return the tokens that each engine lacks which may run the request."""
        if service.engine is None:
            return {}
        names = self._unpaused(upstream_by_name, tried_upstreams, now)
        return {
            name: self._memory(upstream_by_name[name], service.engine, now).missing(
                job.memory_tokens
            )
            for name in self.ejections.usable(names, now)
        }

    def own_send_rate(
        self, *, service: Service, upstreams: Iterable[Upstream], now: float
    ) -> OwnSendRate | None:
        """Return the rate of this process; None unless all upstreams have a limit.

        Only announced limits count, as cold periods end within seconds.
        """
        upstreams = list(upstreams)
        if not upstreams or any(
            self._limits.limit_of(u.name) is None for u in upstreams
        ):
            return None
        pairs = [(u, self._rate_limit(u, service, now)) for u in upstreams]
        return OwnSendRate(
            per_second=sum(self._rates.own_rate(u.name, rate) for u, rate in pairs),
            seconds_to_next=min(
                self._rates.seconds_to_next(u.name, rate, now=now) for u, rate in pairs
            ),
        )

    def pause_seconds(self, upstreams: Iterable[Upstream], now: float) -> float:
        """Return the seconds until the first of the upstreams ends its pause.

        0 if there are no upstreams or one of them has not asked for a pause.
        """
        return min(
            (self._pauses.seconds_left(_instance(u), now=now) for u in upstreams),
            default=0.0,
        )

    def is_paused(self, upstream: Upstream, now: float) -> bool:
        """Return whether a pause forbids to send even an assigned request."""
        return self._pauses.is_paused(_instance(upstream), now=now)

    def record_first_token(self, assignment: Assignment) -> None:
        """Record the first token, which shows that the prompt has been read."""
        if not assignment.prompt_read:
            assignment.prompt_read = True
            self._record(assignment.upstream).unread_tokens -= assignment.unread_tokens

    def release(self, assignment: Assignment) -> None:
        """Remove the request from the load of its upstream, however it ended."""
        self.record_first_token(assignment)
        record = self._record(assignment.upstream)
        record.running -= 1
        record.memory_tokens -= assignment.job.memory_tokens

    def record_failure(self, upstream: str, failure: Failure, now: float) -> bool:
        """Record a failure; return whether it ejected the upstream."""
        if failure in _MAY_HAVE_RESTARTED and upstream in self._record_by_upstream:
            self._record_by_upstream[upstream].cold = _Cold(
                unreachable=True, known_to_peers=False
            )
        return self.ejections.record_failure(upstream, failure, now)

    def record_no_verdict(self, upstream: str, now: float) -> None:
        """Record that an assigned request shows neither a failure nor a success."""
        self.ejections.record_no_verdict(upstream, now)

    def record_success(self, upstream: str, now: float) -> None:
        """Record a response that the upstream itself sent."""
        record = self._record_by_upstream.get(upstream)
        if record is not None and record.cold.unreachable:
            record.cold = _Cold(
                since_at=now, seconds=float("inf"), known_to_peers=False
            )
        self.ejections.record_success(upstream)

    def set_cold(self, upstream: str, seconds: float, now: float) -> None:
        """Mark an upstream as cold for `seconds` from now; 0 marks it as warm."""
        record = self._record_by_upstream.setdefault(upstream, _UpstreamRecord())
        record.cold = _Cold(since_at=now, seconds=seconds)
        if not seconds and self._limits.limit_of(upstream) is None:
            self._rates.remove(upstream)

    def discard_prefix_cache(self, upstream: str) -> None:
        """Drop the modelled prefix cache of a restarted or removed upstream."""
        record = self._record_by_upstream.get(upstream)
        if record is not None:
            record.prefix_cache = None

    def own_loads(self) -> dict[str, Load]:
        """Return the load of this process at each upstream, for a report to peers."""
        for record in self._record_by_upstream.values():
            record.reported.record(record.memory_tokens)
        loads = {
            name: record.own_load
            for name, record in self._record_by_upstream.items()
            if record.running
        }
        return self.claims.added_to(loads)

    def drain_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return and clear the shared blocks that upstreams began to read.

        Returns
        -------
        dict
            By upstream, the tokens of each block by its prefix hash.
        """
        new_blocks, self._new_blocks_by_upstream = self._new_blocks_by_upstream, {}
        return new_blocks

    def all_prompt_blocks(self) -> dict[str, dict[int, int]]:
        """Return all shared blocks that upstreams have cached, for a new process."""
        return {
            name: record.prefix_cache.shared_blocks()
            for name, record in self._record_by_upstream.items()
            if record.prefix_cache is not None
        }

    def merge_prompt_blocks(
        self, upstream: str, tokens_by_prefix_hash: dict[int, int]
    ) -> None:
        """Merge shared blocks that an upstream read for another process."""
        record = self._record_by_upstream.setdefault(upstream, _UpstreamRecord())
        record.prefix_cache = record.prefix_cache or PrefixCache(capacity_tokens=None)
        record.prefix_cache.merge(tokens_by_prefix_hash)

    def merge_loads(
        self, process: str, load_by_upstream: dict[str, Load], valid_until: float
    ) -> None:
        """Merge the loads of another process, which expire at `valid_until`."""
        for name in load_by_upstream:
            self._record_by_upstream.setdefault(name, _UpstreamRecord())
        for name, record in self._record_by_upstream.items():
            load = load_by_upstream.get(name, NO_LOAD)
            record.peers.merge(process, load, valid_until)

    def retain(self, upstreams: set[str]) -> None:
        """Drop the other upstreams, except those that run requests of this process."""
        self.ejections.retain(upstreams)
        self._rates.retain(upstreams)
        self._record_by_upstream = {
            name: record
            for name, record in self._record_by_upstream.items()
            if name in upstreams or record.running
        }

    def _record(self, upstream: Upstream) -> _UpstreamRecord:
        record = self._record_by_upstream.setdefault(upstream.name, _UpstreamRecord())
        if record.started_ms != upstream.started_ms:
            # Blocks that peers reported before the upstream was known here stay valid.
            if record.started_ms is not None:
                record.prefix_cache = None
            record.started_ms = upstream.started_ms
        return record

    def _has_headroom(
        self, upstream: Upstream, service: Service, job: Job, now: float
    ) -> bool:
        total = self._record(upstream).total_load(now)
        connections = usable_connections(service.max_connections)
        if service.engine is None:
            own = self._record(upstream).running
            running = min(max_plain_running(upstream.slots), connections)
            return own < upstream.slots and total.running < running
        if total.running >= min(upstream.slots, connections):
            return False
        is_known = self.claims.is_known(job.request_id, upstream.name, now)
        memory = self._memory(upstream, service.engine, now)
        draw = 0.0
        if self._shares_memory:
            draw = _rendezvous(f"{job.request_id}/{int(now)}", upstream.name) / 2**64
        return memory.has_room(job.memory_tokens, undivided=is_known, draw=draw)

    def _memory(self, upstream: Upstream, engine: Engine, now: float) -> MemoryUse:
        record = self._record(upstream)
        total = record.total_load(now)
        return MemoryUse(
            memory_tokens=engine.memory_tokens,
            used_tokens=total.memory_tokens,
            running=total.running,
            own_running=record.running,
            growth_tokens=record.reported.growth(record.memory_tokens),
            processes=1 + record.peers.processes(now) if self._shares_memory else 1,
            other_processes=record.peers.other_processes(now),
        )

    def _unpaused(
        self, upstream_by_name: dict[str, Upstream], tried: frozenset[str], now: float
    ) -> list[str]:
        return [
            name
            for name, upstream in upstream_by_name.items()
            if name not in tried and self._pauses.may_send(_instance(upstream), now=now)
        ]

    def _may_send_one_more(
        self, upstream: Upstream, service: Service, now: float
    ) -> bool:
        """Return whether no rate limit forbids one more request to the upstream."""
        rate = self._rate_limit(upstream, service, now)
        return rate is None or self._rates.may_send(upstream.name, rate, now=now)

    def _rate_limit(
        self, upstream: Upstream, service: Service, now: float
    ) -> FleetRate | None:
        """Return the lowest rate limit of the upstream; None if it has none."""
        announced = self._limits.fleet_rate(upstream.name, now)
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
            used = plain_cost(
                running=self._record(upstream).total_load(now).running,
                slots=upstream.slots,
                own_zone=upstream.zone == self._zone,
                slowness=self._slowness(upstream),
            )
            return used, _rendezvous(job.request_id, upstream.name)

        return cost

    def _engine_cost(
        self, job: Job, names: list[str], now: float
    ) -> Callable[[Upstream], float]:
        first = max(
            names, key=lambda n: _rendezvous(job.affinity_block_id, n), default=""
        )
        shared = sum(block.tokens for block in job.prompt_blocks[:-1])
        if any(self._cached_tokens(name, job) >= shared for name in names):
            # An engine has cached the shared blocks, so none has to be predicted.
            first = ""

        def cost(upstream: Upstream) -> float:
            record = self._record(upstream)
            total = record.total_load(now)
            held = (
                record.prefix_cache.cached_tokens(job.prompt_blocks)
                if record.prefix_cache
                else 0
            )
            if job.affinity_block_id and upstream.name == first:
                # Another process has probably assigned the prefix to this engine.
                held = max(held, shared)
            return engine_cost(
                prompt_tokens=job.prompt_tokens,
                shared_tokens=shared,
                held_tokens=held,
                unread_tokens=total.unread_tokens,
                running=total.running,
                own_zone=upstream.zone == self._zone,
                slowness=self._slowness(upstream),
            )

        return cost

    def _cached_tokens(self, name: str, job: Job) -> int:
        record = self._record_by_upstream.get(name)
        if record is None or record.prefix_cache is None:
            return 0
        return record.prefix_cache.cached_tokens(job.prompt_blocks)

    def _slowness(self, upstream: Upstream) -> float | None:
        return self._speeds.factor(_instance(upstream)) if self._speeds else None

    def _assign(
        self, upstream: Upstream, service: Service, job: Job, now: float
    ) -> Assignment:
        record = self._record(upstream)
        unread = job.prompt_tokens
        if service.engine is not None:
            record.prefix_cache = _resized(record.prefix_cache, service.engine)
            unread = max(
                0, unread - record.prefix_cache.cached_tokens(job.prompt_blocks)
            )
            new_tokens_by_prefix_hash = record.prefix_cache.record_read(
                job.prompt_blocks
            )
            if new_tokens_by_prefix_hash:
                self._new_blocks_by_upstream.setdefault(upstream.name, {}).update(
                    new_tokens_by_prefix_hash
                )
        load = record.total_load(now)
        record.running += 1
        record.memory_tokens += job.memory_tokens
        record.unread_tokens += unread
        if self._rate_limit(upstream, service, now) is not None:
            self._rates.record_sent(upstream.name)
        self._pauses.record_sent(_instance(upstream), now=now)
        is_probe = self.ejections.record_assignment(upstream.name, now)
        return Assignment(
            upstream=upstream,
            job=job,
            unread_tokens=unread,
            load=load,
            is_probe=is_probe,
        )


def _instance(upstream: Upstream) -> Instance:
    return upstream.name, upstream.started_ms


def _sole_sender_rates() -> FleetRates:
    return FleetRates(
        sharing=lambda: EqualShare(processes=1), random=Random(), started=float("-inf")
    )


def _resized(cache: PrefixCache | None, engine: Engine) -> PrefixCache:
    cache = cache or PrefixCache(capacity_tokens=None)
    cache.capacity_tokens = int(engine.memory_tokens * PREFIX_CACHE_FRACTION)
    return cache


def _rendezvous(key: str, name: str) -> int:
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)
