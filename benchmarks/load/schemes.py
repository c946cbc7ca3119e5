"""Routers under comparison: ours, and three that are common elsewhere."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Protocol

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import (
    Assignment,
    Decision,
    Failure,
    LoadReport,
    Queued,
    Reason,
    Refusal,
    RequestFacts,
    UpstreamFacts,
)
from ragwortkeel.policy.scheduler import Scheduler
from ragwortkeel.policy.settings import Mechanism, SchedulerSettings

FinalDecision = Assignment | Refusal


class Router(Protocol):
    """What the fleet model asks of one router."""

    def offer(self, request: RequestFacts, now: float) -> list[FinalDecision]:
        """Take a new request."""

    def set_upstreams(
        self, upstreams: list[UpstreamFacts], now: float
    ) -> list[FinalDecision]:
        """Take over the upstreams that may be given new work."""

    def record_loads(
        self, reports: list[LoadReport], now: float
    ) -> list[FinalDecision]:
        """Take load reports."""

    def record_first_token(self, request_id: str, now: float) -> None:
        """Note a first token."""

    def record_finish(self, request_id: str, now: float) -> list[FinalDecision]:
        """Note an end."""

    def record_failure(
        self, request_id: str, failure: Failure, now: float
    ) -> list[FinalDecision]:
        """Note a failed attempt."""

    def record_disconnect(
        self, request_id: str, now: float
    ) -> tuple[str | None, list[FinalDecision]]:
        """Note a caller that hung up; the first is where to cancel."""

    def decide_due(self, now: float) -> list[FinalDecision]:
        """Do what time brings."""

    def next_wake_at(self) -> float | None:
        """Return when to decide_due next."""


@dataclass(frozen=True, kw_only=True)
class Scheme:
    """A kind of router, and what it has its sidecars and engines do."""

    name: str
    router: Callable[[list[UpstreamFacts], str, Random], Router]
    adaptive: bool = False
    priorities: bool = False


class SchedulerRouter:
    """The scheduler of the product, with its calls in the right order."""

    def __init__(
        self, scheduler: Scheduler, *, cancels: bool = True, affinity: bool = True
    ) -> None:
        self._scheduler = scheduler
        self._cancels = cancels
        self._affinity = affinity

    def offer(self, request: RequestFacts, now: float) -> list[FinalDecision]:
        """Offer, and hand out what that decides."""
        if not self._affinity:
            request = replace(request, prefix="")
        return self._append_due(self._scheduler.offer(request, now), now)

    def set_upstreams(
        self, upstreams: list[UpstreamFacts], now: float
    ) -> list[FinalDecision]:
        """Pass it on, and hand out what that decides."""
        self._scheduler.set_upstreams(upstreams, now)
        return self.decide_due(now)

    def record_loads(
        self, reports: list[LoadReport], now: float
    ) -> list[FinalDecision]:
        """Report, and hand out what there is room for."""
        for report in reports:
            self._scheduler.record_load(report, now)
        return self.decide_due(now)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Pass it on."""
        self._scheduler.record_first_token(request_id, now)

    def record_finish(self, request_id: str, now: float) -> list[FinalDecision]:
        """Pass it on, and fill the place."""
        self._scheduler.record_finish(request_id, now)
        return self.decide_due(now)

    def record_failure(
        self, request_id: str, failure: Failure, now: float
    ) -> list[FinalDecision]:
        """Pass it on, and hand out what that decides."""
        return self._append_due(
            self._scheduler.record_failure(request_id, failure, now), now
        )

    def record_disconnect(
        self, request_id: str, now: float
    ) -> tuple[str | None, list[FinalDecision]]:
        """Pass it on, and fill the place."""
        if not self._cancels:
            return None, []
        upstream = self._scheduler.record_disconnect(request_id, now)
        return upstream, self.decide_due(now)

    def decide_due(self, now: float) -> list[FinalDecision]:
        """Hand out what is due."""
        return list(self._scheduler.next_decisions(now))

    def next_wake_at(self) -> float | None:
        """Pass it on."""
        return self._scheduler.next_wake_at()

    def _append_due(self, decision: Decision | None, now: float) -> list[FinalDecision]:
        out = self.decide_due(now)
        match decision:
            case None | Queued():
                return out
            case _:
                return [decision, *out]


def ours(
    name: str,
    *,
    settings: SchedulerSettings,
    disabled: Mechanism | None = None,
    fixed_limit: int = 0,
    affinity: bool = True,
    zones: bool = True,
    priorities: bool = True,
    cancels: bool = True,
    **thresholds: float,
) -> Scheme:
    """Return our scheme, with what is to be left out or set otherwise."""
    settings = replace(settings, **thresholds)
    if disabled:
        settings = replace(settings, disabled=frozenset([disabled]))
    if fixed_limit:
        settings = replace(settings, initial_limit=fixed_limit)

    def router(
        upstreams: list[UpstreamFacts], zone: str, random: Random
    ) -> SchedulerRouter:
        scheduler = Scheduler(
            zone=zone if zones else "", random=random, settings=settings
        )
        scheduler.set_upstreams(upstreams, 0.0)
        return SchedulerRouter(scheduler, cancels=cancels, affinity=affinity)

    return Scheme(
        name=name, router=router, adaptive=not fixed_limit, priorities=priorities
    )


@dataclass(kw_only=True)
class _OpenRequest:
    """A request that a plain router has in flight."""

    request: RequestFacts
    upstream: str
    attempt: int


@dataclass(kw_only=True)
class PlainRouter:
    """Round robin or least connections, with or without a fixed limit.

    With a limit the rest waits first in, first out, until the caller hangs up;
    a full queue refuses.  A failed repeatable request is
    tried up to three times.
    """

    upstreams: list[UpstreamFacts]
    by_load: bool
    limit: int = 0
    cancels: bool = True
    open_by_id: dict[str, _OpenRequest] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)
    queue_by_pool: dict[tuple[str, ...], deque[RequestFacts]] = field(
        default_factory=dict
    )
    next_index: int = 0

    def offer(self, request: RequestFacts, now: float) -> list[FinalDecision]:
        """Dispatch, or append to the queue."""
        queue = self.queue_by_pool.setdefault(request.back_ends, deque())
        if self.limit and len(queue) >= MAX_QUEUED_REQUESTS:
            return [_refusal(request, Reason.QUEUE_FULL)]
        queue.append(request)
        return self.decide_due(now)

    def set_upstreams(
        self, upstreams: list[UpstreamFacts], now: float
    ) -> list[FinalDecision]:
        """Take them over."""
        self.upstreams = upstreams
        return self.decide_due(now)

    def record_loads(
        self, reports: list[LoadReport], now: float
    ) -> list[FinalDecision]:
        """Ignore it: none of these uses reports."""
        return []

    def record_first_token(self, request_id: str, now: float) -> None:
        """Ignore it."""

    def record_finish(self, request_id: str, now: float) -> list[FinalDecision]:
        """Free the place."""
        self._end(request_id)
        return self.decide_due(now)

    def record_failure(
        self, request_id: str, failure: Failure, now: float
    ) -> list[FinalDecision]:
        """Try again elsewhere, whatever the load."""
        ended = self._end(request_id)
        if ended is None:
            return []
        request = ended.request
        if request.service_class is ServiceClass.MUST_NOT_REPEAT or ended.attempt >= 3:
            return [_refusal(request, Reason.ATTEMPTS, may_have_run=True)]
        return [self._send(request, ended.attempt + 1)]

    def record_disconnect(
        self, request_id: str, now: float
    ) -> tuple[str | None, list[FinalDecision]]:
        """Cancel where that is done."""
        for pool, queue in self.queue_by_pool.items():
            kept = deque(r for r in queue if r.request_id != request_id)
            self.queue_by_pool[pool] = kept
        if not self.cancels:
            return None, []
        ended = self._end(request_id)
        return (ended.upstream if ended else None), self.decide_due(now)

    def decide_due(self, now: float) -> list[FinalDecision]:
        """Send what there is room for, in order of arrival."""
        out: list[FinalDecision] = []
        for queue in self.queue_by_pool.values():
            while queue and self._has_headroom(queue[0]):
                out.append(self._send(queue.popleft(), 1))
        return out

    def next_wake_at(self) -> float | None:
        """Return None: those in the queue hang up at their deadline."""
        return None

    def _pool(self, request: RequestFacts) -> list[str]:
        return [u.name for u in self.upstreams if u.back_end in request.back_ends]

    def _has_headroom(self, request: RequestFacts) -> bool:
        if not self.limit:
            return True
        loads = (self.in_flight.get(name, 0) for name in self._pool(request))
        return min(loads) < self.limit

    def _send(self, request: RequestFacts, attempt: int) -> Assignment:
        pool = self._pool(request)
        self.next_index += 1
        rotated = (
            pool[self.next_index % len(pool) :] + pool[: self.next_index % len(pool)]
        )
        name = rotated[0]
        if self.by_load:
            name = min(rotated, key=lambda each: self.in_flight.get(each, 0))
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.open_by_id[request.request_id] = _OpenRequest(
            request=request, upstream=name, attempt=attempt
        )
        return Assignment(request=request, upstream=name, attempt=attempt)

    def _end(self, request_id: str) -> _OpenRequest | None:
        ended = self.open_by_id.pop(request_id, None)
        if ended:
            self.in_flight[ended.upstream] -= 1
        return ended


MAX_QUEUED_REQUESTS = 200
"""A common default for a router's queue."""

FIXED_LIMIT_REQUESTS = 8
"""In flight at each upstream from each of three routers: 24 of 32 slots."""


def round_robin() -> Scheme:
    """First in, first out, round robin, no limit, nothing cancelled."""
    return Scheme(
        name="fifo_round_robin",
        router=lambda upstreams, zone, random: PlainRouter(
            upstreams=upstreams, by_load=False, cancels=False
        ),
    )


def least_connections(*, priorities: bool = False) -> Scheme:
    """Fewest of one's own in flight, no limit; the engine may know classes."""
    return Scheme(
        name="least_connections" + ("_priorities" if priorities else ""),
        router=lambda upstreams, zone, random: PlainRouter(
            upstreams=upstreams, by_load=True
        ),
        priorities=priorities,
    )


def fixed_limits() -> Scheme:
    """Least connections within a fixed limit, and a queue behind it."""
    return Scheme(
        name="fixed_limits",
        router=lambda upstreams, zone, random: PlainRouter(
            upstreams=upstreams, by_load=True, limit=FIXED_LIMIT_REQUESTS
        ),
    )


def _refusal(
    request: RequestFacts, reason: Reason, *, may_have_run: bool = False
) -> Refusal:
    return Refusal(
        request=request,
        reason=reason,
        retry_after_seconds=0.0,
        may_have_run=may_have_run,
    )
