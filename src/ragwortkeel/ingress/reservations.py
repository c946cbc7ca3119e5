"""Reservations of upstreams for queued requests: begun, claimed, logged and counted."""

from ragwortkeel.ingress.configuration import Service
from ragwortkeel.ingress.memory_claims import MemoryClaims
from ragwortkeel.ingress.placement import Job
from ragwortkeel.ingress.request_queue import QueuedRequest, RequestQueue
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.head_reservation import (
    NOTHING_WITHHELD,
    HeadReservations,
    Reservation,
    ReservationChange,
)

LINES_PER_SECOND = 4
"""Limit of log lines: a saturated service changes its reservation very often."""


class Reservations:
    """The reservations of one process.

    Parameters
    ----------
    queue : RequestQueue
        Holds the requests that have the reservations.
    claims : MemoryClaims
        Tells the peers of reservations that last.
    metrics : Metrics or None
        Counts what happens to reservations.
    """

    def __init__(
        self, *, queue: RequestQueue, claims: MemoryClaims, metrics: Metrics | None
    ) -> None:
        self._queue = queue
        self._claims = claims
        self._metrics = metrics
        self._heads = HeadReservations()
        self._log_second = 0
        self._log_lines = 0
        self._left_out = 0

    def is_holder(self, job: Job) -> bool:
        """Return whether an upstream is reserved for the request."""
        held = self._heads.of(job.service)
        return held is not None and held.request_id == job.request_id

    def withheld(self, job: Job) -> frozenset[str]:
        """Return the upstreams that are reserved for another request."""
        held = self._heads.of(job.service)
        if held is None:
            return NOTHING_WITHHELD
        return self._heads.withheld(
            service=job.service,
            request_id=job.request_id,
            priority=job.priority,
            goes_first=self._queue.goes_before(job, held.request_id),
        )

    def reserve(
        self,
        queued_request: QueuedRequest,
        service: Service,
        missing_tokens_by_upstream: dict[str, int],
        now: float,
    ) -> None:
        """Reserve an upstream for a request that fits nowhere, or keep the one it has.

        If its upstream is gone, ejected or evacuated, another one is reserved.
        """
        job = queued_request.job
        changes = self._heads.reserve(
            service=job.service,
            request_id=job.request_id,
            priority=job.priority,
            memory_tokens=job.memory_tokens,
            queued_at=queued_request.arrived_at,
            missing_tokens_by_upstream=missing_tokens_by_upstream,
            now=now,
        )
        for change, reservation in changes:
            self._record(change, reservation, now)
        held = self._heads.of(job.service)
        if held is None:
            self._claims.remove(job.service)
        elif service.engine is not None:
            memory_tokens = service.engine.memory_tokens
            self._claims.update(held, memory_tokens=memory_tokens, now=now)

    def end(self, job: Job, change: ReservationChange, now: float) -> None:
        """End the reservation of a request that was assigned, refused or left."""
        held = self._heads.end(service=job.service, request_id=job.request_id)
        if held is not None:
            self._claims.remove(job.service)
            self._record(change, held, now)

    def _record(
        self, change: ReservationChange, reservation: Reservation, now: float
    ) -> None:
        if self._metrics is not None:
            self._metrics.record_head_reservation(change=change)
        if int(now) != self._log_second:
            self._log_second, self._log_lines = int(now), 0
        if self._log_lines >= LINES_PER_SECOND:
            self._left_out += 1
            return
        self._log_lines += 1
        log_info(
            "head_reserved",
            change=change,
            request=reservation.request_id,
            service=reservation.service,
            upstream=reservation.upstream,
            priority=reservation.priority,
            missing=reservation.missing_tokens,
            waited=round(now - reservation.queued_at, 3),
            left_out=self._left_out,
        )
        self._left_out = 0
