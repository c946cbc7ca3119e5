"""Requests that wait for room at a service, and who goes first.

Pattern of load: a burst, one customer that sends many times its usual, and short
work behind long.  Urgent requests go first; among equals the customer that has
fewest running here; then the one that came first.  Without the second rule one
customer's burst makes all others wait behind it.

Who can't be served in time is told at once: a request whose turn can't come
before `latest_start` leaves the queue with a refusal, not with its deadline.
"""

from collections import Counter
from dataclasses import dataclass

from ragwortkeel.ingress.placement import Job


@dataclass(frozen=True, kw_only=True)
class Waiter:
    """One request that waits.

    Attributes
    ----------
    latest_start : float
        Monotonic second after which a start is of no use to the caller.
    tried_upstreams : frozenset of str
        Upstreams that it was at already.
    """

    job: Job
    arrived_at: float
    latest_start: float
    tried_upstreams: frozenset[str] = frozenset()


class WaitingRoom:
    """The waiting requests of each service, and what runs for each customer."""

    def __init__(self) -> None:
        self._queued_by_service: dict[str, dict[str, Waiter]] = {}
        self._running_by_customer: Counter[str] = Counter()

    def __len__(self) -> int:
        return sum(len(queued) for queued in self._queued_by_service.values())

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        queued = self._queued_by_service.setdefault(waiter.job.service, {})
        queued[waiter.job.request_id] = waiter

    def remove(self, job: Job) -> None:
        """Take a request out that was placed, refused or left by its caller."""
        self._queued_by_service.get(job.service, {}).pop(job.request_id, None)

    def record_started(self, job: Job) -> None:
        """Note that a customer's request runs."""
        self._running_by_customer[job.customer] += 1

    def record_ended(self, job: Job) -> None:
        """Note that it does not any more."""
        self._running_by_customer[job.customer] -= 1
        if not self._running_by_customer[job.customer]:
            del self._running_by_customer[job.customer]

    def services(self) -> list[str]:
        """Return the services for which requests wait."""
        return [name for name, queued in self._queued_by_service.items() if queued]

    def queued_ahead(self, job: Job) -> int:
        """Return how many requests of the service go before this one."""
        queued = self._queued_by_service.get(job.service, {}).values()
        return sum(1 for one in queued if one.job.priority <= job.priority)

    def in_order(self, service: str) -> list[Waiter]:
        """Return the service's waiting requests, the next one first."""
        queued = self._queued_by_service.get(service, {}).values()
        return sorted(queued, key=self._rank)

    def _rank(self, waiter: Waiter) -> tuple[int, int, float]:
        running = self._running_by_customer[waiter.job.customer]
        return waiter.job.priority, running, waiter.arrived_at
