"""Routers to compare: the product's scheduler and three common schemes."""

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
    """Interface of a router in the fleet simulation."""

    def offer(self, request: RequestFacts, now: float) -> list[FinalDecision]:
        """Offer a new request and return the final decisions."""

    def set_upstreams(
        self, upstreams: list[UpstreamFacts], now: float
    ) -> list[FinalDecision]:
        """Replace the upstreams that may receive requests."""

    def record_loads(
        self, reports: list[LoadReport], now: float
    ) -> list[FinalDecision]:
        """Record load reports of the sidecars."""

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token of an answer."""

    def record_finish(self, request_id: str, now: float) -> list[FinalDecision]:
        """Record the end of a request."""

    def record_failure(
        self, request_id: str, failure: Failure, now: float
    ) -> list[FinalDecision]:
        """Record a failed attempt."""

    def record_disconnect(
        self, request_id: str, now: float
    ) -> tuple[str | None, list[FinalDecision]]:
        """Record a disconnected caller; return the upstream to cancel at, if any."""

    def decide_due(self, now: float) -> list[FinalDecision]:
        """Return the decisions that are due."""

    def next_wake_at(self) -> float | None:
        """Return when `decide_due` has to be called next."""


@dataclass(frozen=True, kw_only=True)
class Scheme:
    """A kind of router and the features of its sidecars and engines."""

    name: str
    router: Callable[[list[UpstreamFacts], str, Random], Router]
    adaptive: bool = False
    priorities: bool = False


class SchedulerRouter:
    """Adapter of the product's scheduler to `Router`."""

    def __init__(
        self, scheduler: Scheduler, *, cancels: bool = True, affinity: bool = True
    ) -> None:
        self._scheduler = scheduler
        self._cancels = cancels
        self._affinity = affinity

    def offer(self, request: RequestFacts, now: float) -> list[FinalDecision]:
        """Offer a request and return the final decisions."""
        if not self._affinity:
            request = replace(request, prefix="")
        return self._append_due(self._scheduler.offer(request, now), now)

    def set_upstreams(
        self, upstreams: list[UpstreamFacts], now: float
    ) -> list[FinalDecision]:
        """Replace the upstreams and return the decisions that are due."""
        self._scheduler.set_upstreams(upstreams, now)
        return self.decide_due(now)

    def record_loads(
        self, reports: list[LoadReport], now: float
    ) -> list[FinalDecision]:
        """Record load reports and return the decisions that are due."""
        for report in reports:
            self._scheduler.record_load(report, now)
        return self.decide_due(now)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token of an answer."""
        self._scheduler.record_first_token(request_id, now)

    def record_finish(self, request_id: str, now: float) -> list[FinalDecision]:
        """Record the end of a request and return the decisions that are due."""
        self._scheduler.record_finish(request_id, now)
        return self.decide_due(now)

    def record_failure(
        self, request_id: str, failure: Failure, now: float
    ) -> list[FinalDecision]:
        """Record a failed attempt and return the final decisions."""
        return self._append_due(
            self._scheduler.record_failure(request_id, failure, now), now
        )

    def record_disconnect(
        self, request_id: str, now: float
    ) -> tuple[str | None, list[FinalDecision]]:
        """Record a disconnected caller; return the upstream to cancel at, if any."""
        if not self._cancels:
            return None, []
        upstream = self._scheduler.record_disconnect(request_id, now)
        return upstream, self.decide_due(now)

    def decide_due(self, now: float) -> list[FinalDecision]:
        """Return the decisions that are due."""
        return list(self._scheduler.next_decisions(now))

    def next_wake_at(self) -> float | None:
        """Return when the scheduler has to be called next."""
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
    """Return the product's scheme, with changed settings or disabled features."""
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
    """A request in flight at a `PlainRouter`."""

    request: RequestFacts
    upstream: str
    attempt: int


@dataclass(kw_only=True)
class PlainRouter:
    """Round robin or least connections, optionally with a fixed limit.

    With a limit, further requests wait in a queue, first in, first out, until the
    caller disconnects; a full queue refuses requests. A repeatable request that
    fails is attempted up to three times.
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
        """Append the request to the queue and return what can be sent."""
        queue = self.queue_by_pool.setdefault(request.back_ends, deque())
        if self.limit and len(queue) >= MAX_QUEUED_REQUESTS:
            return [_refusal(request, Reason.QUEUE_FULL)]
        queue.append(request)
        return self.decide_due(now)

    def set_upstreams(
        self, upstreams: list[UpstreamFacts], now: float
    ) -> list[FinalDecision]:
        """Replace the upstreams and return what can be sent."""
        self.upstreams = upstreams
        return self.decide_due(now)

    def record_loads(
        self, reports: list[LoadReport], now: float
    ) -> list[FinalDecision]:
        """Ignore load reports, which these schemes don't use."""
        return []

    def record_first_token(self, request_id: str, now: float) -> None:
        """Ignore the first token."""

    def record_finish(self, request_id: str, now: float) -> list[FinalDecision]:
        """Remove the request and return what can be sent."""
        self._end(request_id)
        return self.decide_due(now)

    def record_failure(
        self, request_id: str, failure: Failure, now: float
    ) -> list[FinalDecision]:
        """Retry at an upstream regardless of its load."""
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
        """Remove a queued request, and cancel a running one if enabled."""
        for pool, queue in self.queue_by_pool.items():
            kept = deque(r for r in queue if r.request_id != request_id)
            self.queue_by_pool[pool] = kept
        if not self.cancels:
            return None, []
        ended = self._end(request_id)
        return (ended.upstream if ended else None), self.decide_due(now)

    def decide_due(self, now: float) -> list[FinalDecision]:
        """Send queued requests within the limit, in order of arrival."""
        out: list[FinalDecision] = []
        for queue in self.queue_by_pool.values():
            while queue and self._has_headroom(queue[0]):
                out.append(self._send(queue.popleft(), 1))
        return out

    def next_wake_at(self) -> float | None:
        """Return None: callers of queued requests disconnect at their deadline."""
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
"""A common default for the queue length of a router."""

FIXED_LIMIT_REQUESTS = 8
"""Limit per upstream and router; three routers use at most 24 of 32 slots."""


def round_robin() -> Scheme:
    """Return round robin in order of arrival, without a limit or cancellation."""
    return Scheme(
        name="fifo_round_robin",
        router=lambda upstreams, zone, random: PlainRouter(
            upstreams=upstreams, by_load=False, cancels=False
        ),
    )


def least_connections(*, priorities: bool = False) -> Scheme:
    """Return least connections without a limit, optionally with priorities."""
    return Scheme(
        name="least_connections" + ("_priorities" if priorities else ""),
        router=lambda upstreams, zone, random: PlainRouter(
            upstreams=upstreams, by_load=True
        ),
        priorities=priorities,
    )


def fixed_limits() -> Scheme:
    """Return least connections with a fixed limit and a queue."""
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
