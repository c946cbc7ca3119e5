"""The task side of the scheduler: requests wait here for their turn.

The scheduler decides and never waits; the dispatcher hands its decisions to the
requests they are about, and calls it again when the next decision is due.
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
"""Looks for decisions at least this often, in case none was announced."""


class Dispatcher:
    """Admits requests to upstreams as the scheduler decides.

    Parameters
    ----------
    scheduler
        The decisions; used by this object alone.
    observer
        Told of each assignment or refusal and of each failed attempt.
    clock
        Monotonic seconds.

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
        self._waiting_by_id: dict[str, curio.Queue] = {}
        self._changed = curio.Event()

    async def admit(self, facts: RequestFacts) -> Assignment | Refusal:
        """Return where to run the request, or its final refusal."""
        return await self._settle(self._scheduler.offer(facts, self._clock()))

    async def retry(
        self, request_id: str, failure: Failure
    ) -> Assignment | Refusal | None:
        """Return where to run the request after a failed attempt, if at all."""
        self._observer.attempt_failed(request_id, failure)
        decision = self._scheduler.record_failure(request_id, failure, self._clock())
        return None if decision is None else await self._settle(decision)

    async def first_token(self, request_id: str) -> None:
        """Note that a request's answer has begun."""
        self._scheduler.record_first_token(request_id, self._clock())

    async def finished(self, request_id: str) -> None:
        """Note that a request got its whole answer."""
        self._scheduler.record_finish(request_id, self._clock())
        await self._pump()

    async def left(self, request_id: str) -> None:
        """Note that a request is of no more interest."""
        self._waiting_by_id.pop(request_id, None)
        self._scheduler.record_disconnect(request_id, self._clock())
        await self._pump()

    async def crashed(self, crash: Crash) -> bool:
        """Note an upstream's crash; return whether it was news."""
        return self._scheduler.record_crash(crash, self._clock())

    async def upstreams_changed(self, upstreams: list[UpstreamFacts]) -> None:
        """Note which upstreams may be given work."""
        self._scheduler.set_upstreams(upstreams, self._clock())
        await self._pump()

    async def report(self, report: LoadReport) -> None:
        """Note a sidecar's load."""
        self._scheduler.record_load(report, self._clock())
        await self._pump()

    async def run(self) -> None:
        """Make due decisions until cancelled."""
        while True:
            await self._pump()
            wake = self._scheduler.next_wake_at()
            seconds = IDLE_WAKE_SECONDS
            if wake is not None:
                seconds = min(max(wake - self._clock(), 0.001), seconds)
            try:
                async with curio.timeout_after(seconds):
                    await self._changed.wait()
            except curio.TaskTimeout:
                continue
            self._changed.clear()

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._waiting_by_id)

    async def _settle(self, decision: Decision) -> Assignment | Refusal:
        started = self._clock()
        if isinstance(decision, Queued):
            decision = await self._wait(decision)
        self._observer.decided(decision, self._clock() - started)
        return decision

    async def _wait(self, decision: Queued) -> Assignment | Refusal:
        request_id = decision.request.request_id
        queue = curio.Queue()
        self._waiting_by_id[request_id] = queue
        await self._changed.set()
        try:
            return await queue.get()
        finally:
            self._waiting_by_id.pop(request_id, None)

    async def _pump(self) -> None:
        for decision in self._scheduler.next_decisions(self._clock()):
            queue = self._waiting_by_id.get(decision.request.request_id)
            if queue is not None:
                await queue.put(decision)
