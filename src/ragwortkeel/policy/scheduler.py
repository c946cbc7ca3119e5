"""The decisions of one router, combined in one object without I/O.

The router's task reports events and executes the returned decisions; the scheduler
owns no socket, task or clock.  The modules `quarantine`, `admission`, `queueing`,
`upstreams` and `retries` describe the components.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.admission import (
    CompletionIntervals,
    DequeueIntervals,
    ServiceTimes,
    queue_retry_delay,
)
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
from ragwortkeel.policy.quarantine import Crash, Quarantine, Verdict
from ragwortkeel.policy.queueing import FairQueue, QueuedRequest
from ragwortkeel.policy.retries import MAX_ATTEMPTS, RetryBudgets
from ragwortkeel.policy.settings import Mechanism, SchedulerSettings
from ragwortkeel.policy.upstreams import UpstreamTable

NO_UPSTREAM_RETRY_SECONDS = 2.0
"""Retry delay without an upstream; a restarted upstream is linked again after about
that time."""


_ISOLATING_VERDICTS = frozenset({Verdict.ALONE, Verdict.REFUSE})


@dataclass(frozen=True, kw_only=True)
class _Running:
    """A dispatched request that has not ended."""

    queued: QueuedRequest
    upstream: str
    dispatched_at: float
    first_token_seen: bool = False


class Scheduler:
    """Admission, queueing, refusal and assignment of the requests of one router.

    After each call that may create headroom or displace a request (all but
    `record_first_token` and `next_wake_at`) the router calls `next_decisions` and
    executes the result, and again at `next_wake_at`.

    Parameters
    ----------
    zone : str
        The router's own zone.
    random : random.Random
        Random source, seeded by the caller.
    settings : SchedulerSettings, optional
        Thresholds other than the defaults.

    Examples
    --------
    >>> scheduler = Scheduler(zone="a", random=Random(1))
    >>> upstream = UpstreamFacts(name="m1", back_end="model", zone="a")
    >>> scheduler.set_upstreams([upstream], now=0.0)
    >>> request = RequestFacts(
    ...     request_id="r1",
    ...     profile="chat",
    ...     customer="coop",
    ...     service_class=ServiceClass.INTERACTIVE,
    ...     back_ends=("model",),
    ...     deadline=20.0,
    ...     first_token_deadline=1.5,
    ...     cost=400,
    ... )
    >>> scheduler.offer(request, now=0.0).upstream
    'm1'
    >>> scheduler.record_first_token("r1", now=0.4)
    >>> scheduler.record_finish("r1", now=3.0)
    >>> scheduler.next_decisions(now=3.0)
    ()
    """

    def __init__(
        self,
        *,
        zone: str,
        random: Random,
        settings: SchedulerSettings | None = None,
    ) -> None:
        self._settings = settings or SchedulerSettings()
        self._random = random
        self._upstreams = UpstreamTable(
            zone=zone, random=random, settings=self._settings
        )
        self._queue_by_pool: dict[tuple[str, ...], FairQueue] = {}
        self._dequeue_intervals_by_queue: dict[
            tuple[tuple[str, ...], ServiceClass], DequeueIntervals
        ] = {}
        self._alone_by_id: dict[str, QueuedRequest] = {}
        self._running_by_id: dict[str, _Running] = {}
        self._refusals: list[Refusal] = []
        self._retries = RetryBudgets(retry_fraction=self._settings.retry_fraction)
        self._quarantine = Quarantine()
        self._service_times = ServiceTimes()
        self._completion_intervals = CompletionIntervals()

    def set_upstreams(self, upstreams: Iterable[UpstreamFacts], now: float) -> None:
        """Replace the upstreams that may receive new requests."""
        self._upstreams.replace_upstreams(upstreams, now)

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record a sidecar's report of its upstream's load."""
        self._upstreams.record_load(report, now)

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Record an upstream's crash; return whether it is new and to be forwarded."""
        return self._quarantine.record_crash(crash, now)

    def offer(self, request: RequestFacts, now: float) -> Decision:
        """Decide on a new request; `next_decisions` follows up a `Queued` one."""
        self._retries.get(request.back_ends).record_first_attempt()
        latest_start, _ = self._service_times.latest_start(request)
        return self._decide(
            QueuedRequest(request=request, latest_start=latest_start), now
        )

    def next_decisions(self, now: float) -> tuple[Assignment | Refusal, ...]:
        """Return the requests to dispatch or refuse now."""
        decisions: list[Assignment | Refusal] = []
        for back_ends, queue in self._queue_by_pool.items():
            self._refusals += [self._refuse_late(w) for w in queue.pop_expired(now)]
            if len(queue) and not self._upstreams.serving(back_ends):
                self._refusals += [_no_upstream(each) for each in queue.clear()]
            decisions += self._dispatch_from(queue, now)
        decisions += self._dispatch_alone(now)
        decisions += self._refusals
        self._refusals = []
        return tuple(decisions)

    def next_wake_at(self) -> float | None:
        """Return the time by which `next_decisions` must be called; None if never."""
        times = [queue.next_expiry_at() for queue in self._queue_by_pool.values()]
        times += [queued.latest_start for queued in self._alone_by_id.values()]
        return min((each for each in times if each is not None), default=None)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token (or the complete answer) of a running request."""
        running = self._running_by_id.get(request_id)
        if running is None or running.first_token_seen:
            return
        self._running_by_id[request_id] = replace(running, first_token_seen=True)
        seconds = now - running.dispatched_at
        self._service_times.record_first_token(running.queued.request, seconds)
        self._upstreams.record_success(running.upstream, now)

    def record_finish(self, request_id: str, now: float) -> None:
        """Record that a request ended with its complete answer."""
        self.record_first_token(request_id, now)
        running = self._remove_running(request_id, now)
        if running is None:
            return
        request = running.queued.request
        seconds = now - running.dispatched_at
        self._service_times.record_duration(request, seconds)
        self._completion_intervals.record_duration(request.back_ends, seconds)
        self._quarantine.record_finish(request.fingerprint)

    def record_disconnect(self, request_id: str, now: float) -> str | None:
        """Record that the caller disconnected; return the upstream to cancel at."""
        if self._alone_by_id.pop(request_id, None):
            return None
        if any(queue.remove(request_id) for queue in self._queue_by_pool.values()):
            return None
        running = self._remove_running(request_id, now)
        if running is None:
            return None
        self._upstreams.record_no_verdict(running.upstream, now)
        return running.upstream

    def record_failure(
        self, request_id: str, failure: Failure, now: float
    ) -> Decision | None:
        """Record a failed attempt; decide whether the request gets another.

        Report an upstream's crash by `record_crash` first; otherwise a suspect would be
        retried like any other request.

        Returns
        -------
        Decision or None
            None if the request is not running (its caller disconnected).
        """
        running = self._remove_running(request_id, now)
        if running is None:
            return None
        self._upstreams.record_failure(running.upstream, failure, now)
        return self._after_failure(running, failure, now)

    def leave(self, request_id: str, failure: Failure, now: float) -> Decision | None:
        """Record a failed attempt that may still end well, if another one may follow.

        Returns
        -------
        Decision or None
            As of `record_failure`; None if the request would be refused, or if no
            upstream but its own serves its back ends.  Nothing is recorded then.
        """
        running = self._running_by_id.get(request_id)
        if running is None or not self._may_follow(running, now):
            return None
        return self.record_failure(request_id, failure, now)

    def _may_follow(self, running: _Running, now: float) -> bool:
        """Return whether another attempt would be dispatched or queued."""
        queued, request = running.queued, running.queued.request
        if not request.repeatable or queued.attempt >= MAX_ATTEMPTS:
            return False
        if not self._retries.get(request.back_ends).has_retry:
            return False
        if self._quarantine.verdict(request.fingerprint) in _ISOLATING_VERDICTS:
            return False
        if not set(self._upstreams.serving(request.back_ends)) - {running.upstream}:
            return False
        if now > request.deadline:
            return False
        queue = self._queue(request.back_ends)
        if not queue.length(request.service_class):
            avoid = queued.tried_upstreams | {running.upstream}
            if self._upstreams.choose_upstream(request, avoid=avoid, now=now):
                return True
        latest_start, _ = self._service_times.latest_start(request)
        is_in_time = now + self._wait_seconds(queue, request, now) <= latest_start
        return is_in_time and len(queue) < self._settings.max_queued_requests

    def _after_failure(
        self, running: _Running, failure: Failure, now: float
    ) -> Decision:
        did_not_run = failure in (Failure.OVERLOADED, Failure.TURNED_AWAY)
        queued = replace(
            running.queued,
            tried_upstreams=running.queued.tried_upstreams | {running.upstream},
            may_have_run=running.queued.may_have_run or not did_not_run,
        )
        if failure is Failure.OVERLOADED:
            return self._decide(queued, now)
        if not did_not_run and not queued.request.repeatable:
            return _final(queued, Reason.MUST_NOT_REPEAT)
        if queued.attempt >= MAX_ATTEMPTS:
            return _final(queued, Reason.ATTEMPTS)
        retries = self._retries.get(queued.request.back_ends)
        if not did_not_run and not retries.try_spend():
            return self._refuse(queued, Reason.RETRY_BUDGET, 1.0)
        return self._decide(replace(queued, attempt=queued.attempt + 1), now)

    def _decide(self, queued: QueuedRequest, now: float) -> Decision:
        request = queued.request
        verdict = self._quarantine.verdict(request.fingerprint)
        if verdict is Verdict.REFUSE:
            return _final(queued, Reason.QUARANTINED)
        if not self._upstreams.serving(request.back_ends):
            return _no_upstream(queued)
        if now > request.deadline:
            return _final(queued, Reason.DEADLINE)
        if verdict is Verdict.ALONE:
            self._alone_by_id[request.request_id] = queued
            return Queued(request=request, estimated_wait_seconds=0.0)
        queue = self._queue(request.back_ends)
        if not queue.length(request.service_class):
            assignment = self._assign(queued, now)
            if assignment:
                return assignment
        return self._enqueue(queue, queued, now)

    def _enqueue(self, queue: FairQueue, queued: QueuedRequest, now: float) -> Decision:
        request = queued.request
        wait_seconds = self._wait_seconds(queue, request, now)
        latest_start, reason = self._service_times.latest_start(request)
        excess_seconds = now + wait_seconds - latest_start
        if excess_seconds > 0.0:
            return self._refuse(queued, reason, excess_seconds)
        if not queue.length(request.service_class):
            self._dequeue_intervals(request).record_queue_start(now)
        displaced = queue.push(replace(queued, latest_start=latest_start))
        if displaced and displaced.request is request:
            return self._refuse(queued, Reason.QUEUE_FULL, wait_seconds)
        if displaced:
            refusal = self._refuse(displaced, Reason.FAIR_SHARE, wait_seconds)
            self._refusals.append(refusal)
        return Queued(request=request, estimated_wait_seconds=wait_seconds)

    def _wait_seconds(
        self, queue: FairQueue, request: RequestFacts, now: float
    ) -> float:
        if not self._settings.uses(Mechanism.ESTIMATED_WAIT):
            return 0.0
        requests_ahead = queue.requests_ahead(request) + 1.0
        fallback = self._completion_intervals.seconds_per_completion(request.back_ends)
        idle = not queue.length(request.service_class)
        intervals = self._dequeue_intervals(request)
        return requests_ahead * intervals.mean_seconds(fallback, idle=idle, now=now)

    def _dequeue_intervals(self, request: RequestFacts) -> DequeueIntervals:
        key = (request.back_ends, request.service_class)
        return self._dequeue_intervals_by_queue.setdefault(key, DequeueIntervals())

    def _dispatch_from(self, queue: FairQueue, now: float) -> list[Assignment]:
        """Assign the queued requests of each class while an upstream has headroom."""
        assignments: list[Assignment] = []
        open_services = {s for s in ServiceClass if queue.length(s)}
        while open_services:
            queued = queue.peek(open_services)
            if queued is None:
                break
            if self._isolate_or_refuse(queue, queued):
                continue
            assignment = self._assign(queued, now)
            if assignment is None:
                open_services.discard(queued.request.service_class)
                continue
            queue.pop(queued)
            fallback = self._completion_intervals.seconds_per_completion(
                queued.request.back_ends
            )
            self._dequeue_intervals(queued.request).record_dequeue(fallback, now)
            assignments.append(assignment)
        return assignments

    def _isolate_or_refuse(self, queue: FairQueue, queued: QueuedRequest) -> bool:
        """Remove a queued request that is to run alone or be refused.

        Return whether the request was removed.
        """
        request = queued.request
        match self._quarantine.verdict(request.fingerprint):
            case Verdict.REFUSE:
                self._refusals.append(_final(queued, Reason.QUARANTINED))
            case Verdict.ALONE:
                self._alone_by_id[request.request_id] = queued
            case _:
                return False
        queue.remove(request.request_id)
        return True

    def _dispatch_alone(self, now: float) -> list[Assignment]:
        assignments: list[Assignment] = []
        for request_id, queued in list(self._alone_by_id.items()):
            if queued.latest_start < now:
                del self._alone_by_id[request_id]
                self._refusals.append(self._refuse_late(queued))
                continue
            upstream = self._upstreams.choose_for_isolation(queued.request, now)
            if upstream is None:
                continue
            del self._alone_by_id[request_id]
            assignments.append(self._start(queued, upstream, alone=True, now=now))
        return assignments

    def _assign(self, queued: QueuedRequest, now: float) -> Assignment | None:
        request = queued.request
        avoid = queued.tried_upstreams
        if self._quarantine.verdict(request.fingerprint) is Verdict.SUSPECT:
            avoid |= self._upstreams_with_suspects()
        upstream = self._upstreams.choose_upstream(request, avoid=avoid, now=now)
        if upstream is None:
            return None
        return self._start(queued, upstream, alone=False, now=now)

    def _upstreams_with_suspects(self) -> frozenset[str]:
        """Return the upstreams that run suspects.

        If two suspects of one crash ran on one upstream and it crashed too, both would
        have run during two crashes, though only one is the cause.
        """
        return frozenset(
            running.upstream
            for running in self._running_by_id.values()
            if self._quarantine.verdict(running.queued.request.fingerprint)
            is Verdict.SUSPECT
        )

    def _start(
        self, queued: QueuedRequest, upstream: str, *, alone: bool, now: float
    ) -> Assignment:
        request = queued.request
        self._running_by_id[request.request_id] = _Running(
            queued=queued, upstream=upstream, dispatched_at=now
        )
        self._completion_intervals.record_start(request.back_ends)
        self._upstreams.record_start(request.request_id, upstream, alone=alone, now=now)
        return Assignment(
            request=request, upstream=upstream, attempt=queued.attempt, alone=alone
        )

    def _remove_running(self, request_id: str, now: float) -> _Running | None:
        running = self._running_by_id.pop(request_id, None)
        if running is None:
            return None
        self._completion_intervals.record_end(running.queued.request.back_ends)
        self._upstreams.record_end(request_id, running.upstream, now)
        return running

    def _queue(self, back_ends: tuple[str, ...]) -> FairQueue:
        queue = self._queue_by_pool.get(back_ends)
        if queue is None:
            settings = self._settings
            queue = FairQueue(
                max_requests=settings.max_queued_requests,
                fair=settings.uses(Mechanism.FAIR_SHARES),
            )
            self._queue_by_pool[back_ends] = queue
        return queue

    def _refuse_late(self, queued: QueuedRequest) -> Refusal:
        _, reason = self._service_times.latest_start(queued.request)
        return self._refuse(queued, reason, 0.0)

    def _refuse(
        self, queued: QueuedRequest, reason: Reason, wait_seconds: float
    ) -> Refusal:
        seconds = queue_retry_delay(wait_seconds, self._random)
        return _final(queued, reason, retry_after_seconds=seconds)


def _final(
    queued: QueuedRequest, reason: Reason, *, retry_after_seconds: float = 0.0
) -> Refusal:
    return Refusal(
        request=queued.request,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
        may_have_run=queued.may_have_run,
    )


def _no_upstream(queued: QueuedRequest) -> Refusal:
    return _final(
        queued, Reason.NO_UPSTREAM, retry_after_seconds=NO_UPSTREAM_RETRY_SECONDS
    )
