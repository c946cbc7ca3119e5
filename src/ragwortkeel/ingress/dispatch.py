"""Gives waiting requests their places, in order, as soon as there is room."""

from dataclasses import dataclass
from math import isfinite
from time import monotonic

import curio

from ragwortkeel.ingress.configuration import Service
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.placement import Job, OwnRates, Placed, Placement
from ragwortkeel.ingress.waiting import Waiter, WaitingRoom
from ragwortkeel.logs import log_info
from ragwortkeel.policy.admission import Turns

PLACING_SECONDS = 0.05
"""How often waiting requests are looked at even if nothing was released here:
other processes' work ends too, and is told about as often."""

LATE_TURN_SECONDS = 2 * PLACING_SECONDS
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
    seconds : float
        How long its turn would take from now, as far as one can tell.
    rate : float or None
        Where all upstreams announced a limit, the requests a second that this process
        may send.
    """

    waiting: int
    upstreams: int
    withheld: bool
    seconds: float
    rate: float | None = None


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
        self._placed_by_id: dict[str, Placed] = {}
        self._turn_by_id: dict[str, curio.Event] = {}
        self._service_by_name: dict[str, Service] = {}
        self._turns_by_service: dict[str, Turns] = {}

    async def acquire(
        self,
        job: Job,
        *,
        service: Service,
        latest_start: float,
        tried: frozenset[str] = frozenset(),
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
        if self._directory.withholds_all(service=service.name, regions=job.regions):
            return self._no_room(job)
        ahead = self.room.waiting_before(job)
        if not ahead:
            placed = self._try(job, service, tried)
            if placed is not None:
                return placed
        elif monotonic() + self._seconds_to_turn(job) > latest_start:
            return self._no_room(job)
        rates = self._own_rates(job, tried)
        latest_turn = latest_start - LATE_TURN_SECONDS
        if rates and monotonic() + rates.seconds_to_turn(ahead) > latest_turn:
            return self._no_room(job)
        return await self._wait(job, latest_start, tried)

    async def release(self, placed: Placed) -> None:
        """Give a place back and let the next one have it."""
        self._placement.release(placed)
        self.room.ended(placed.job)
        await self.place_waiting()

    def replaced(self, upstream: str) -> None:
        """Place nothing more at an upstream whose address another instance has."""
        if self._directory.record_replacement(upstream):
            log_info("upstream_replaced", upstream=upstream)

    async def place_waiting(self) -> None:
        """Give places to those who wait, as far as there is room."""
        for name in self.room.services():
            service = self._service_by_name[name]
            for waiter in self.room.in_order(name):
                placed = self._try(waiter.job, service, waiter.tried)
                if placed is None and waiter.job.regions is not None:
                    # Full at home; others may go elsewhere.
                    continue
                if placed is None:
                    break
                self._placed_by_id[waiter.job.request_id] = placed
                self.room.remove(waiter.job)
                self._turns(name).taken(0.0, monotonic())
                await self._turn_by_id[waiter.job.request_id].set()

    async def run(self) -> None:
        """Look after waiting requests until cancelled."""
        while True:
            await curio.sleep(PLACING_SECONDS)
            if len(self.room):
                await self.place_waiting()

    def _try(self, job: Job, service: Service, tried: frozenset[str]) -> Placed | None:
        placed = self._placement.choose(
            job,
            service=service,
            upstream_by_name=self._directory.usable(
                service=service.name, regions=job.regions
            ),
            tried=tried,
            now=monotonic(),
        )
        if placed is not None:
            self.room.started(job)
        return placed

    async def _wait(
        self, job: Job, latest_start: float, tried: frozenset[str]
    ) -> Placed | NoRoom:
        now = monotonic()
        turn = self._turn_by_id[job.request_id] = curio.Event()
        if job.service not in self.room.services():
            self._turns(job.service).waiting_from(now)
        self.room.add(
            Waiter(job=job, arrived_at=now, latest_start=latest_start, tried=tried)
        )
        try:
            async with curio.ignore_after(max(0.0, latest_start - now)):
                await turn.wait()
            placed = self._placed_by_id.pop(job.request_id, None)
            if placed is not None:
                return placed
            return self._no_room(job)
        finally:
            self.room.remove(job)
            self._turn_by_id.pop(job.request_id, None)
            left = self._placed_by_id.pop(job.request_id, None)
            if left is not None:
                # The caller left in the moment in which its turn came.
                self._placement.release(left)
                self.room.ended(job)

    def _no_room(self, job: Job) -> NoRoom:
        usable = self._directory.usable(service=job.service, regions=job.regions)
        withheld = self._directory.withholds_all(
            service=job.service, regions=job.regions
        )
        waiting = self.room.waiting_before(job)
        rates = self._own_rates(job, frozenset())
        seconds = self._seconds_to_turn(job)
        if rates is not None:
            to_rate = rates.seconds_to_turn(waiting)
            seconds = max(seconds, to_rate if isfinite(to_rate) else ELSEWHERE_SECONDS)
        return NoRoom(
            waiting=waiting,
            upstreams=len(usable),
            withheld=withheld,
            seconds=seconds,
            rate=rates.per_second if rates else None,
        )

    def _own_rates(self, job: Job, tried: frozenset[str]) -> OwnRates | None:
        usable = self._directory.usable(service=job.service, regions=job.regions)
        return self._placement.own_rates(
            service=self._service_by_name[job.service],
            upstreams=[one for name, one in usable.items() if name not in tried],
            now=monotonic(),
        )

    def _turns(self, service: str) -> Turns:
        return self._turns_by_service.setdefault(service, Turns())

    def _seconds_to_turn(self, job: Job) -> float:
        idle = job.service not in self.room.services()
        each = self._turns(job.service).seconds_each(0.0, idle=idle, now=monotonic())
        return each * (self.room.waiting_before(job) + 1)
