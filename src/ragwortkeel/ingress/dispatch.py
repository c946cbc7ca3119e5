"""Assigns queued requests to upstreams, in order, as soon as there is headroom.

A request that fits nowhere holds back those behind it at one upstream only, which is
reserved for it; see `policy.head_reservation`.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import isfinite
from time import monotonic

import curio

from ragwortkeel.ingress.configuration import Service, Upstream
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.placement import Assignment, Job, Placement
from ragwortkeel.ingress.request_queue import (
    NO_REQUESTS,
    QueuedRequest,
    RequestQueue,
    search_for,
)
from ragwortkeel.ingress.reservations import Reservations
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.fleet_rates import OwnSendRate
from ragwortkeel.policy.head_reservation import ReservationChange, Search
from ragwortkeel.policy.queue_waits import QueueWaits

QUEUE_CHECK_SECONDS = 0.05
"""Interval at which the queue is checked even if no request ended here.

Requests of other processes end too, and peers report their loads about as often.
"""

FULL_RECHECK_SECONDS = 0.1
"""Time after a failed search in which requests that must not wait are not assigned."""

MAX_DISPATCH_DELAY_SECONDS = 2 * QUEUE_CHECK_SECONDS
"""Longest time from when a rate limit allows a queued request until it is sent.

A request that could miss its latest start by this delay is refused at once.
"""

RETRY_ELSEWHERE_SECONDS = 1.0
"""Estimated wait if other processes may send all that the upstreams' rate limits allow.

The next connection of the caller probably reaches one of those processes.
"""


@dataclass(frozen=True, kw_only=True)
class NotAssigned:
    """The request could not be assigned to an upstream in time; it did not run.

    Attributes
    ----------
    queued : int
        Queued requests that go first.
    upstreams : int
        Upstreams to which the request could be assigned.
    withheld : bool
        Whether the service has ready upstreams, but all of them are evacuated or
        outside the request's regions.
    lacks_version : bool
        Whether no untried upstream of the request's software version takes work.
    wait_seconds : float
        Estimated seconds until the request could be assigned.
    own_per_second : float or None
        Requests a second that this process may send if all upstreams announced a
        limit; None otherwise.
    """

    queued: int
    upstreams: int
    withheld: bool
    wait_seconds: float
    lacks_version: bool = False
    own_per_second: float | None = None


class Dispatcher:
    """Assigns requests to upstreams, or queues them until one has headroom.

    Parameters
    ----------
    directory : Directory
        The upstreams of each service.
    placement : Placement
        Chooses one of them.
    metrics : Metrics or None
        Counts the reservations of upstreams.
    peer_running : callable
        Returns the running requests of customers at the peers; the default is none.
    has_not_restarted : callable
        Returns whether an upstream is known not to have started again since its entry
        was written, whatever happened meanwhile.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        placement: Placement,
        metrics: Metrics | None = None,
        peer_running: Callable[[], Mapping[str, int]] = lambda: NO_REQUESTS,
        has_not_restarted: Callable[[Upstream], bool] = lambda upstream: False,
    ) -> None:
        self._has_not_restarted = has_not_restarted
        self.queue = RequestQueue(peer_running=peer_running)
        self._directory = directory
        self._placement = placement
        self._reservations = Reservations(
            queue=self.queue, claims=placement.claims, metrics=metrics
        )
        self._assignment_by_request_id: dict[str, Assignment] = {}
        self._assigned_by_request_id: dict[str, curio.Event] = {}
        self._service_by_name: dict[str, Service] = {}
        self._waits_by_service: dict[str, QueueWaits] = {}
        self._full_until_by_key: dict[tuple[str, str | None], float] = {}

    async def acquire(
        self,
        job: Job,
        *,
        service: Service,
        latest_start: float,
        tried_upstreams: frozenset[str] = frozenset(),
    ) -> Assignment | NotAssigned:
        """Assign the request to an upstream; `release` has to end the assignment.

        Pattern of load: a service is full, and more requests are queued for it than it
        can serve before their deadlines.  A request that is not expected to start
        before `latest_start` is refused at once, because a caller that is held until
        then has no time left to retry.  The estimate rests on the rate at which
        requests as urgent and as large, or more, left the queue recently.  The first
        one of these always waits; otherwise none would leave the queue to correct the
        estimate.

        Pattern of load: one giant request is queued, and small ones arrive.  They don't
        wait for it, but only for queued requests that would take the same room.

        Other requests are refused at once: one that must not use any of the ready
        upstreams, as when all availability zones are evacuated for an unknown time; one
        whose upstreams all leave, or all those of the software version that it needs;
        and one that would wait too long for this process's share of the limits that all
        upstreams announced, or for the end of the pauses that all of them asked for.

        Parameters
        ----------
        latest_start : float
            Monotonic second after which the request is not worth starting.
        tried_upstreams : frozenset of str
            Upstreams to exclude because the request was sent to them before.
        """
        self._service_by_name[service.name] = service
        if self._directory.withholds_all(service=service.name, regions=job.regions):
            return self._not_assigned(job)
        if self.lacks_version(job, tried_upstreams):
            return self._not_assigned(job, lacks_version=True)
        assignment = await self._assign_at_once(job, service, tried_upstreams)
        if assignment is not None:
            return assignment
        ahead = self.queue.queued_ahead(job)
        is_first = not (ahead and self.queue.ranked_ahead(job))
        expected_start = monotonic() + self._estimated_wait_seconds(job)
        if not is_first and expected_start > latest_start:
            return self._not_assigned(job)
        if self._directory.all_leave(service=service.name):
            return self._not_assigned(job)
        if self._must_wait_beyond(latest_start, job, tried_upstreams, ahead):
            return self._not_assigned(job)
        return await self._wait(job, latest_start, tried_upstreams)

    async def acquire_at_once(
        self, job: Job, *, service: Service, tried_upstreams: frozenset[str]
    ) -> Assignment | None:
        """Assign the request unless it would be refused or have to wait.

        Pattern of load: hundreds of streams look for room at a full service again and
        again.  After a search that failed the next ones of the service and software
        version fail at once for a moment.  `release` has to end the assignment.
        """
        self._service_by_name[service.name] = service
        key = service.name, job.version
        now = monotonic()
        if now < self._full_until_by_key.get(key, 0.0):
            return None
        if self._directory.withholds_all(service=service.name, regions=job.regions):
            return None
        if self.lacks_version(job, tried_upstreams):
            return None
        assignment = await self._assign_at_once(job, service, tried_upstreams)
        if assignment is None:
            self._full_until_by_key[key] = now + FULL_RECHECK_SECONDS
        return assignment

    async def _assign_at_once(
        self, job: Job, service: Service, tried_upstreams: frozenset[str]
    ) -> Assignment | None:
        ahead = self.queue.queued_ahead(job)
        if ahead:
            if self.queue.waits_behind(job, tried_upstreams):
                return None
            await self._assign_in_order(service.name)
            ahead = self.queue.queued_ahead(job)
        assignment = self._try_assign(job, service, tried_upstreams)
        if assignment is not None and ahead:
            self._waits(service.name).record_dequeue(job.rank, monotonic())
        return assignment

    async def release(self, assignment: Assignment) -> None:
        """End an assignment and assign queued requests to the freed upstream."""
        self._placement.release(assignment)
        self.queue.record_ended(assignment.job)
        await self.assign_queued()

    def lacks_version(
        self, job: Job, tried_upstreams: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether the request needs a software version that no upstream has.

        Upstreams that were tried, or that take no new requests, don't count.
        """
        if job.version is None:
            return False
        return not self._upstream_by_name(job).keys() - tried_upstreams

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether new requests may still be sent to an upstream."""
        return self._directory.is_usable(upstream.name)

    def is_certain(self, upstream: Upstream) -> bool:
        """Return whether an upstream surely runs the version of this entry of it."""
        current = self._directory.get(upstream.name)
        if current is not None and current.version != upstream.version:
            return False
        is_certain = self._directory.version_is_certain(upstream.name, monotonic())
        return is_certain or (current is not None and self._has_not_restarted(current))

    def entries_fields(self) -> dict[str, object]:
        """Return what a log line says of the entries that an assignment is based on."""
        age_seconds = self._directory.age_seconds(monotonic())
        return {
            "entries": self._directory.confirmed_revision,
            "entries_age": round(age_seconds, 3),
        }

    def record_replaced(self, upstream: str) -> None:
        """Stop using an upstream whose address now belongs to another instance."""
        if self._directory.record_replacement(upstream):
            log_info("upstream_replaced", upstream=upstream)

    async def assign_queued(self) -> None:
        """Assign queued requests in order, as far as there is headroom."""
        for name in self.queue.services():
            if self._directory.all_leave(service=name):
                await self._refuse_queued(name)
                continue
            await self._assign_in_order(name)

    async def _assign_in_order(self, name: str) -> None:
        """Assign queued requests of the service, as far as there is headroom.

        A request for which a search that failed before leaves no upstream is skipped,
        since a pass over hundreds of requests has to stay cheap.
        """
        service = self._service_by_name[name]
        failed: list[Search] = []
        for queued_request in self.queue.in_order(name):
            job, tried_upstreams = queued_request.job, queued_request.tried_upstreams
            if self.lacks_version(job, tried_upstreams):
                await self._assigned_by_request_id[job.request_id].set()
                continue
            if self._is_covered(queued_request, failed):
                continue
            assignment = self._try_assign(job, service, tried_upstreams)
            if assignment is None:
                failed.append(self._record_failed_search(queued_request, service))
                continue
            self._assignment_by_request_id[job.request_id] = assignment
            self.queue.remove(job)
            now = monotonic()
            self._reservations.end(job, ReservationChange.ASSIGNED, now)
            self._waits(name).record_dequeue(job.rank, now)
            await self._assigned_by_request_id[job.request_id].set()

    def _is_covered(self, queued_request: QueuedRequest, failed: list[Search]) -> bool:
        """Return whether a search that failed shows that the request fits nowhere.

        The holder of the reservation is always tried: others can't use its upstream.
        """
        job, tried_upstreams = queued_request.job, queued_request.tried_upstreams
        smaller = [each for each in failed if each.memory_tokens <= job.memory_tokens]
        if not smaller or self._reservations.is_holder(job):
            return False
        if smaller[0].is_unbounded:
            return True
        search = search_for(job, tried_upstreams)
        if any(each.covers(search) for each in smaller):
            return True
        search = search_for(job, tried_upstreams | self._reservations.withheld(job))
        return any(each.covers(search) for each in smaller)

    def _record_failed_search(
        self, queued_request: QueuedRequest, service: Service
    ) -> Search:
        """Reserve an upstream if none is reserved; return which requests fit nowhere.

        These are all that need more than is free at any upstream.
        """
        job, now = queued_request.job, monotonic()
        missing_tokens_by_upstream = self._placement.missing_tokens(
            job,
            service=service,
            upstream_by_name=self._upstream_by_name(job),
            tried_upstreams=queued_request.tried_upstreams,
            now=now,
        )
        self._reservations.reserve(
            queued_request, service, missing_tokens_by_upstream, now
        )
        fewest = min(missing_tokens_by_upstream.values(), default=0)
        return Search(
            regions=job.regions,
            excluded_upstreams=queued_request.tried_upstreams
            | self._reservations.withheld(job),
            memory_tokens=job.memory_tokens - max(0, fewest - 1),
            version=job.version,
        )

    async def _refuse_queued(self, service: str) -> None:
        """End the wait of the service's queued requests without an assignment."""
        for queued_request in self.queue.in_order(service):
            await self._assigned_by_request_id[queued_request.job.request_id].set()

    async def run(self) -> None:
        """Check the queue regularly until cancelled."""
        while True:
            await curio.sleep(QUEUE_CHECK_SECONDS)
            if len(self.queue):
                await self.assign_queued()

    def _try_assign(
        self, job: Job, service: Service, tried_upstreams: frozenset[str]
    ) -> Assignment | None:
        assignment = self._placement.assign(
            job,
            service=service,
            upstream_by_name=self._upstream_by_name(job),
            tried_upstreams=tried_upstreams,
            withheld=self._reservations.withheld(job),
            now=monotonic(),
        )
        if assignment is not None:
            self.queue.record_started(job)
        return assignment

    async def _wait(
        self, job: Job, latest_start: float, tried_upstreams: frozenset[str]
    ) -> Assignment | NotAssigned:
        now = monotonic()
        assigned = self._assigned_by_request_id[job.request_id] = curio.Event()
        self._waits(job.service).record_queued(
            job.rank, queued=self.queue.queued_ranks(job.service), now=now
        )
        self.queue.add(
            QueuedRequest(
                job=job,
                arrived_at=now,
                latest_start=latest_start,
                tried_upstreams=tried_upstreams,
            )
        )
        try:
            async with curio.ignore_after(max(0.0, latest_start - now)):
                await assigned.wait()
            assignment = self._assignment_by_request_id.pop(job.request_id, None)
            if assignment is not None:
                return assignment
            lacks_version = self.lacks_version(job, tried_upstreams)
            return self._not_assigned(job, lacks_version=lacks_version)
        finally:
            self.queue.remove(job)
            self._reservations.end(job, ReservationChange.REMOVED, monotonic())
            self._assigned_by_request_id.pop(job.request_id, None)
            unclaimed = self._assignment_by_request_id.pop(job.request_id, None)
            if unclaimed is not None:
                # The request was assigned just as its caller left.
                self._placement.release(unclaimed)
                self.queue.record_ended(job)

    def _not_assigned(self, job: Job, *, lacks_version: bool = False) -> NotAssigned:
        usable = self._usable(job)
        withheld = self._directory.withholds_all(
            service=job.service, regions=job.regions
        )
        queued = self.queue.queued_ahead(job)
        send_rate = self._own_send_rate(job, usable)
        send_seconds = self._seconds_until_send(job, usable, queued)
        if not isfinite(send_seconds):
            send_seconds = RETRY_ELSEWHERE_SECONDS
        seconds = max(self._estimated_wait_seconds(job), send_seconds)
        return NotAssigned(
            queued=queued,
            upstreams=len(usable),
            withheld=withheld,
            wait_seconds=seconds,
            lacks_version=lacks_version,
            own_per_second=send_rate.per_second if send_rate else None,
        )

    def may_continue_at(self, job: Job, upstream: Upstream) -> bool:
        """Return whether an upstream surely has the version that the request needs."""
        return job.version is None or self.is_certain(upstream)

    def record_possible_restart(self, upstream: str) -> None:
        """Continue no stream at an upstream until its entry is certain again."""
        now = monotonic()
        if self._directory.version_is_certain(upstream, now):
            log_info("upstream_may_have_restarted", upstream=upstream)
        self._directory.record_possible_restart(upstream, now)

    def _upstream_by_name(self, job: Job) -> dict[str, Upstream]:
        usable = self._directory.usable(
            service=job.service, regions=job.regions, version=job.version
        )
        if job.version is None:
            return usable
        return {
            name: upstream
            for name, upstream in usable.items()
            if self.may_continue_at(job, upstream)
        }

    def _usable(
        self, job: Job, tried_upstreams: frozenset[str] = frozenset()
    ) -> list[Upstream]:
        usable = self._upstream_by_name(job)
        return [
            upstream for name, upstream in usable.items() if name not in tried_upstreams
        ]

    def _must_wait_beyond(
        self,
        latest_start: float,
        job: Job,
        tried_upstreams: frozenset[str],
        ahead: int,
    ) -> bool:
        """Return whether limits or pauses forbid to send the request in time."""
        untried = self._usable(job, tried_upstreams)
        if not untried:
            # No upstream is left but those that rejected the request and now pause.
            return self._placement.pause_seconds(self._usable(job), monotonic()) > 0.0
        latest_send = latest_start - MAX_DISPATCH_DELAY_SECONDS
        return monotonic() + self._seconds_until_send(job, untried, ahead) > latest_send

    def _seconds_until_send(
        self, job: Job, upstreams: list[Upstream], ahead: int
    ) -> float:
        """Return the seconds until limits and pauses allow the request to be sent."""
        send_rate = self._own_send_rate(job, upstreams)
        return max(
            send_rate.seconds_until_send(ahead) if send_rate else 0.0,
            self._placement.pause_seconds(upstreams, monotonic()),
        )

    def _own_send_rate(self, job: Job, upstreams: list[Upstream]) -> OwnSendRate | None:
        return self._placement.own_send_rate(
            service=self._service_by_name[job.service],
            upstreams=upstreams,
            now=monotonic(),
        )

    def _waits(self, service: str) -> QueueWaits:
        return self._waits_by_service.setdefault(service, QueueWaits())

    def _estimated_wait_seconds(self, job: Job) -> float:
        return self._waits(job.service).seconds(
            job.rank, ahead=self.queue.ranked_ahead(job), now=monotonic()
        )
