"""The queue of requests for each service, and the order in which they are assigned.

Pattern of load: a burst, one customer that sends many times its usual rate, and short
requests behind long ones.  Requests of the most urgent priority go first; among those,
requests of the customer with the fewest running requests here, or in the fleet if peers
report theirs; then the one that arrived first.  Without the second rule, a burst of one
customer delays all others.

A request that is not assigned before its `latest_start` is refused then, so that its
caller gets an answer before the deadline.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import inf
from types import MappingProxyType

from ragwortkeel.ingress.placement import Job
from ragwortkeel.policy.head_reservation import Search
from ragwortkeel.policy.queue_waits import Rank

NO_REQUESTS: Mapping[str, int] = MappingProxyType({})


@dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """One request in the queue of its service.

    Attributes
    ----------
    latest_start : float
        Monotonic second after which the request is not worth starting.
    tried_upstreams : frozenset of str
        Upstreams to exclude because the request was sent to them before.
    """

    job: Job
    arrived_at: float
    latest_start: float
    tried_upstreams: frozenset[str] = frozenset()


def search_for(job: Job, excluded_upstreams: frozenset[str]) -> Search:
    """Return the bounds within which an upstream is searched for the request."""
    return Search(
        regions=job.regions,
        excluded_upstreams=excluded_upstreams,
        memory_tokens=job.memory_tokens,
        version=job.version,
    )


class RequestQueue:
    """The queue of each service, and the running requests of each customer.

    Parameters
    ----------
    peer_running : callable
        Returns the running requests of customers at the peers; the default is none.
    """

    def __init__(
        self, *, peer_running: Callable[[], Mapping[str, int]] = lambda: NO_REQUESTS
    ) -> None:
        self._peer_running = peer_running
        self._queued_by_service: dict[str, dict[str, QueuedRequest]] = {}
        self._ranks_by_service: dict[str, Counter[Rank]] = {}
        self._running_by_customer: Counter[str] = Counter()

    def __len__(self) -> int:
        return sum(len(queued) for queued in self._queued_by_service.values())

    def add(self, queued_request: QueuedRequest) -> None:
        """Append a request to the queue of its service."""
        job = queued_request.job
        queued = self._queued_by_service.setdefault(job.service, {})
        queued[job.request_id] = queued_request
        self._ranks_by_service.setdefault(job.service, Counter())[job.rank] += 1

    def remove(self, job: Job) -> None:
        """Remove a request that was assigned, refused or abandoned by its caller."""
        queued = self._queued_by_service.get(job.service, {})
        if queued.pop(job.request_id, None) is None:
            return
        ranks = self._ranks_by_service[job.service]
        ranks[job.rank] -= 1
        if not ranks[job.rank]:
            del ranks[job.rank]

    def record_started(self, job: Job) -> None:
        """Add one to the running requests of the customer."""
        self._running_by_customer[job.customer] += 1

    def record_ended(self, job: Job) -> None:
        """Subtract one from the running requests of the customer."""
        self._running_by_customer[job.customer] -= 1
        if not self._running_by_customer[job.customer]:
            del self._running_by_customer[job.customer]

    def running_by_customer(self) -> Mapping[str, int]:
        """Return the running requests of each customer at this process."""
        return self._running_by_customer

    def services(self) -> list[str]:
        """Return the names of the services that have queued requests."""
        return [name for name, queued in self._queued_by_service.items() if queued]

    def queued_ahead(self, job: Job) -> int:
        """Return the number of queued requests of the service that go first.

        These are all of the same or a more urgent priority.
        """
        queued = self._queued_by_service.get(job.service, {}).values()
        return sum(1 for other in queued if other.job.priority <= job.priority)

    def queued_ranks(self, service: str) -> set[Rank]:
        """Return the ranks of the queued requests of the service."""
        return set(self._ranks_by_service.get(service, ()))

    def ranked_ahead(self, job: Job) -> int:
        """Return the queued requests that are as urgent and as large, or more."""
        ranks = self._ranks_by_service.get(job.service, {})
        return sum(count for rank, count in ranks.items() if job.rank.includes(rank))

    def queued_by_priority(self) -> dict[int, int]:
        """Return the number of queued requests of each priority."""
        return Counter(
            queued_request.job.priority
            for queued in self._queued_by_service.values()
            for queued_request in queued.values()
        )

    def waits_behind(self, job: Job, excluded_upstreams: frozenset[str]) -> bool:
        """Return whether a queued request that goes first takes any room for this one.

        It needs no more memory than this one and may use all upstreams that this one
        may use.
        """
        search = search_for(job, excluded_upstreams)
        queued = self._queued_by_service.get(job.service, {}).values()
        return any(
            other.job.priority <= job.priority
            and other.job.memory_tokens <= job.memory_tokens
            and search_for(other.job, other.tried_upstreams).covers(search)
            for other in queued
        )

    def goes_before(self, job: Job, request_id: str) -> bool:
        """Return whether a request goes before a queued one of its service.

        A request that is not queued counts as one that arrives now.
        """
        queued = self._queued_by_service.get(job.service, {})
        other = queued.get(request_id)
        if other is None:
            return True
        own = queued.get(job.request_id) or QueuedRequest(
            job=job, arrived_at=inf, latest_start=inf
        )
        peer_running = self._peer_running()
        return self._rank(own, peer_running) < self._rank(other, peer_running)

    def in_order(self, service: str) -> list[QueuedRequest]:
        """Return the queued requests of the service, the next one first."""
        queued = self._queued_by_service.get(service, {}).values()
        peer_running = self._peer_running()
        return sorted(queued, key=lambda each: self._rank(each, peer_running))

    def _rank(
        self, queued_request: QueuedRequest, peer_running: Mapping[str, int]
    ) -> tuple[int, int, float]:
        customer = queued_request.job.customer
        running = self._running_by_customer[customer] + peer_running.get(customer, 0)
        return queued_request.job.priority, running, queued_request.arrived_at
