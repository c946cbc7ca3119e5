"""Gives waiting requests their places, in order, as soon as there is room."""

from dataclasses import dataclass
from math import isfinite
from time import monotonic

import curio

from ragwortkeel.ingress.configuration import Service
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.placement import Job, OwnSendRate, Placed, Placement
from ragwortkeel.ingress.waiting import Waiter, WaitingRoom
from ragwortkeel.logs import log_info
from ragwortkeel.policy.admission import Turns

QUEUE_CHECK_SECONDS = 0.05
"""How often waiting requests are looked at even if nothing was released here:
other processes' work ends too, and is told about as often."""

MAX_DISPATCH_DELAY_SECONDS = 2 * QUEUE_CHECK_SECONDS
"""A turn may be noticed so late: a request that would have it just in time is not held
for it."""

ELSEWHERE_SECONDS = 1.0
"""When to come back where all that limited upstreams take is other processes' to send:
the caller's next connection is likely to meet one of them."""


@dataclass(frozen=True, kw_only=True)
class NoRoom:
    """The request got no place in time, or could not have; it did not run.

    Attributes
    ----------
    upstreams : int
        Those that could have got it.
    withheld : bool
        Whether there are others that must not: evacuated ones, or away from home.
    wait_seconds : float
        How long its turn would take from now, as far as one can tell.
    own_per_second : float or None
        Where all upstreams announced a limit, the requests a second that this process
        may send.
    """

    queued: int
    upstreams: int
    withheld: bool
    wait_seconds: float
    own_per_second: float | None = None


class Dispatcher:
    """Hands out places at upstreams.

    Parameters
    ----------
    directory, placement
        Which upstreams there are, and which of them is best.
    """

    def __init__(self, *, directory: Directory, placement: Placement) -> None:
        self.room = WaitingRoom()
        self._directory = directory
        self._placement = placement
        self._assignment_by_request_id: dict[str, Placed] = {}
        self._assigned_by_request_id: dict[str, curio.Event] = {}
        self._service_by_name: dict[str, Service] = {}
        self._turns_by_service: dict[str, Turns] = {}

    async def acquire(
        self,
        job: Job,
        *,
        service: Service,
        latest_start: float,
        tried_upstreams: frozenset[str] = frozenset(),
    ) -> Placed | NoRoom:
        """Return a place for the request, which `release` has to give back.

        Pattern of load: a service is full and more wait for it than it can serve in
        their time.  Whoever's turn can't come before `latest_start` is told at once,
        by how often turns came lately: held until then, it could not come back.  The
        first in line always waits, or no turn would ever correct the estimate.

        So is whoever may go to none of the upstreams there are, as in an evacuation of
        all availability zones: nobody knows how long that lasts.  And so is who would
        wait too long for its part of the limits that all upstreams announced.
        """
        self._service_by_name[service.name] = service
        if self._directory.withholds(service=service.name, regions=job.regions):
            return self._not_assigned(job)
        ahead = self.room.queued_ahead(job)
        if not ahead:
            placed = self._try_assign(job, service, tried_upstreams)
            if placed is not None:
                return placed
        elif monotonic() + self._estimated_wait_seconds(job) > latest_start:
            return self._not_assigned(job)
        send_rate = self._own_send_rate(job, tried_upstreams)
        latest_send = latest_start - MAX_DISPATCH_DELAY_SECONDS
        if (
            send_rate
            and monotonic() + send_rate.seconds_until_send(ahead) > latest_send
        ):
            return self._not_assigned(job)
        return await self._wait(job, latest_start, tried_upstreams)

    async def release(self, placed: Placed) -> None:
        """Give a place back and let the next one have it."""
        self._placement.release(placed)
        self.room.record_ended(placed.job)
        await self.place_waiting()

    def replaced(self, upstream: str) -> None:
        """Place nothing more at an upstream whose address another instance has."""
        if self._directory.replaced(upstream):
            log_info("upstream_replaced", upstream=upstream)

    async def place_waiting(self) -> None:
        """Give places to those who wait, as far as there is room."""
        for name in self.room.services():
            service = self._service_by_name[name]
            for waiter in self.room.in_order(name):
                placed = self._try_assign(waiter.job, service, waiter.tried_upstreams)
                if placed is None and waiter.job.regions is not None:
                    # Full at home; others may go elsewhere.
                    continue
                if placed is None:
                    break
                self._assignment_by_request_id[waiter.job.request_id] = placed
                self.room.remove(waiter.job)
                self._turns(name).taken(0.0, monotonic())
                await self._assigned_by_request_id[waiter.job.request_id].set()

    async def run(self) -> None:
        """Look after waiting requests until cancelled."""
        while True:
            await curio.sleep(QUEUE_CHECK_SECONDS)
            if len(self.room):
                await self.place_waiting()

    def _try_assign(
        self, job: Job, service: Service, tried_upstreams: frozenset[str]
    ) -> Placed | None:
        placed = self._placement.assign(
            job,
            service=service,
            upstream_by_name=self._directory.usable(
                service=service.name, regions=job.regions
            ),
            tried_upstreams=tried_upstreams,
            now=monotonic(),
        )
        if placed is not None:
            self.room.record_started(job)
        return placed

    async def _wait(
        self, job: Job, latest_start: float, tried_upstreams: frozenset[str]
    ) -> Placed | NoRoom:
        now = monotonic()
        assigned = self._assigned_by_request_id[job.request_id] = curio.Event()
        if job.service not in self.room.services():
            self._turns(job.service).waiting_from(now)
        self.room.add(
            Waiter(
                job=job,
                arrived_at=now,
                latest_start=latest_start,
                tried_upstreams=tried_upstreams,
            )
        )
        try:
            async with curio.ignore_after(max(0.0, latest_start - now)):
                await assigned.wait()
            placed = self._assignment_by_request_id.pop(job.request_id, None)
            if placed is not None:
                return placed
            return self._not_assigned(job)
        finally:
            self.room.remove(job)
            self._assigned_by_request_id.pop(job.request_id, None)
            unclaimed = self._assignment_by_request_id.pop(job.request_id, None)
            if unclaimed is not None:
                # The caller left in the moment in which its turn came.
                self._placement.release(unclaimed)
                self.room.record_ended(job)

    def _not_assigned(self, job: Job) -> NoRoom:
        usable = self._directory.usable(service=job.service, regions=job.regions)
        withheld = self._directory.withholds(service=job.service, regions=job.regions)
        queued = self.room.queued_ahead(job)
        send_rate = self._own_send_rate(job, frozenset())
        seconds = self._estimated_wait_seconds(job)
        if send_rate is not None:
            rate_wait_seconds = send_rate.seconds_until_send(queued)
            seconds = max(
                seconds,
                rate_wait_seconds if isfinite(rate_wait_seconds) else ELSEWHERE_SECONDS,
            )
        return NoRoom(
            queued=queued,
            upstreams=len(usable),
            withheld=withheld,
            wait_seconds=seconds,
            own_per_second=send_rate.per_second if send_rate else None,
        )

    def _own_send_rate(
        self, job: Job, tried_upstreams: frozenset[str]
    ) -> OwnSendRate | None:
        usable = self._directory.usable(service=job.service, regions=job.regions)
        return self._placement.own_send_rate(
            service=self._service_by_name[job.service],
            upstreams=[
                upstream
                for name, upstream in usable.items()
                if name not in tried_upstreams
            ],
            now=monotonic(),
        )

    def _turns(self, service: str) -> Turns:
        return self._turns_by_service.setdefault(service, Turns())

    def _estimated_wait_seconds(self, job: Job) -> float:
        idle = job.service not in self.room.services()
        each = self._turns(job.service).seconds_each(0.0, idle=idle, now=monotonic())
        return each * (self.room.queued_ahead(job) + 1)
