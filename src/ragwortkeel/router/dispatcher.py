"""Admission of requests to upstreams: delivers the scheduler's decisions.

The scheduler decides without waiting.  The dispatcher holds the queued requests,
delivers each decision to its request, and calls the scheduler again when the next
decision is due.
"""

from collections.abc import Callable
from time import monotonic

import curio

from ragwortkeel.policy.facts import (
    Assignment,
    Decision,
    Failure,
    LoadReport,
    Queued,
    Refusal,
    RequestFacts,
    UpstreamFacts,
)
from ragwortkeel.policy.quarantine import Crash
from ragwortkeel.policy.scheduler import Scheduler
from ragwortkeel.router.observer import Observer

IDLE_WAKE_SECONDS = 1.0
"""Longest time between two queries for due decisions.

It also applies if the scheduler names no time for the next decision.
"""


class Dispatcher:
    """Admits requests to upstreams as the scheduler decides.

    Parameters
    ----------
    scheduler : Scheduler
        Makes the decisions; nothing else may use it.
    observer : Observer
        Records each assignment, refusal and failed attempt.
    clock : callable
        Returns monotonic seconds.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        observer: Observer,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._scheduler = scheduler
        self._observer = observer
        self._clock = clock
        self._queue_by_request_id: dict[str, curio.Queue] = {}
        self._queued_changed = curio.Event()

    async def admit(self, facts: RequestFacts) -> Assignment | Refusal:
        """Return the request's assignment to an upstream, or its final refusal."""
        return await self.resolve(self._scheduler.offer(facts, self._clock()))

    async def retry(
        self, request_id: str, failure: Failure
    ) -> Assignment | Refusal | None:
        """Record a failed attempt; return the next assignment or final refusal.

        Returns
        -------
        Assignment or Refusal or None
            None if the request is not running, as after its caller left.
        """
        self._observer.record_attempt_failure(request_id, failure)
        decision = self._scheduler.record_failure(request_id, failure, self._clock())
        return None if decision is None else await self.resolve(decision)

    def leave(self, request_id: str, failure: Failure) -> Decision | None:
        """Record a failed attempt unless the request would be refused.

        Returns
        -------
        Decision or None
            The decision to `resolve`; None if nothing was recorded.
        """
        decision = self._scheduler.leave(request_id, failure, self._clock())
        if decision is None:
            return None
        self._observer.record_attempt_failure(request_id, failure)
        if isinstance(decision, Queued):
            self._queue_by_request_id[request_id] = curio.Queue()
        return decision

    async def resolve(self, decision: Decision) -> Assignment | Refusal:
        """Return the assignment or final refusal that a decision leads to."""
        started_at = self._clock()
        if isinstance(decision, Queued):
            decision = await self._wait_for_decision(decision)
        self._observer.record_decision(decision, self._clock() - started_at)
        return decision

    async def record_first_token(self, request_id: str) -> None:
        """Record that a request's answer has begun."""
        self._scheduler.record_first_token(request_id, self._clock())

    async def record_finish(self, request_id: str) -> None:
        """Record that a request received its complete answer."""
        self._scheduler.record_finish(request_id, self._clock())
        await self._deliver_decisions()

    async def record_disconnect(self, request_id: str) -> None:
        """Remove a request that is no longer served, unless it has ended."""
        self._queue_by_request_id.pop(request_id, None)
        self._scheduler.record_disconnect(request_id, self._clock())
        await self._deliver_decisions()

    async def record_crash(self, crash: Crash) -> bool:
        """Record an upstream's crash; return whether it was unknown before."""
        return self._scheduler.record_crash(crash, self._clock())

    async def set_upstreams(self, upstreams: list[UpstreamFacts]) -> None:
        """Set the upstreams that may receive requests."""
        self._scheduler.set_upstreams(upstreams, self._clock())
        await self._deliver_decisions()

    async def record_load(self, report: LoadReport) -> None:
        """Record the load that a sidecar reports."""
        self._scheduler.record_load(report, self._clock())
        await self._deliver_decisions()

    async def run(self) -> None:
        """Deliver due decisions until cancelled."""
        while True:
            await self._deliver_decisions()
            wake_at = self._scheduler.next_wake_at()
            seconds = IDLE_WAKE_SECONDS
            if wake_at is not None:
                seconds = min(max(wake_at - self._clock(), 0.001), seconds)
            try:
                async with curio.timeout_after(seconds):
                    await self._queued_changed.wait()
            except curio.TaskTimeout:
                continue
            self._queued_changed.clear()

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue_by_request_id)

    async def _wait_for_decision(self, decision: Queued) -> Assignment | Refusal:
        request_id = decision.request.request_id
        queue = self._queue_by_request_id.setdefault(request_id, curio.Queue())
        await self._queued_changed.set()
        try:
            return await queue.get()
        finally:
            self._queue_by_request_id.pop(request_id, None)

    async def _deliver_decisions(self) -> None:
        for decision in self._scheduler.next_decisions(self._clock()):
            queue = self._queue_by_request_id.get(decision.request.request_id)
            if queue is not None:
                await queue.put(decision)
