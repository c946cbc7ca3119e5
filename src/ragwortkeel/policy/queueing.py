"""A short, bounded queue: service classes and customers' fair shares.

Patterns of load: a burst; a customer that sends more than all others; long work
among short.  One first-in-first-out line lets a large customer's burst delay
every small one, keeps work that is already too late at its head, and puts an
advisor's chat behind an archive's summaries.

- Classes share equally, by tokens, so none starves.  What interactive work needs
  beyond that it has from the places that batch work leaves free and from the
  engines' priorities.
- Customers of a class share equally, by tokens: ten long requests weigh as much
  as a hundred short ones.  Inside a customer it is first come, first served.
- A full class makes room by turning away the last request of the customer that
  waits with the most, so that a flood turns away its own sender.
- A request that can no longer make it leaves at that moment, with its answer.

Weights for the classes and earliest deadline first inside a customer were tried
and dropped: neither bought anything (docs/measurements/load.md).
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import RequestFacts

MAX_QUEUED_REQUESTS = 256
"""Requests of a class that wait at one router.  The estimated wait bounds the
queue long before, and keeps interactive lines to a few; this bounds the memory
(16 MB for bodies of 64 KB).  With 64, trials with much batch work refused up to
three requests in ten that had time to wait."""


@dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A request that is to be dispatched, by `latest_start` at the latest.

    `tried` are the upstreams where earlier attempts failed, and `may_have_run`
    tells whether any of those may have run it.
    """

    request: RequestFacts
    latest_start: float
    attempt: int = 1
    tried_upstreams: frozenset[str] = frozenset()
    may_have_run: bool = False


@dataclass(kw_only=True)
class _Flow:
    """One customer's requests of one class, and the tokens it was served."""

    served_tokens: float
    requests: deque[QueuedRequest] = field(default_factory=deque)


@dataclass(kw_only=True)
class _ClassQueue:
    """One class: its customers' flows, and how far its service has come.

    `floor` is what the customer served last had been served: where one that was
    idle joins.  Without it an idle customer would save up service, and then
    take the queue for itself.
    """

    served_tokens: float = 0.0
    floor_tokens: float = 0.0
    size: int = 0
    flow_by_customer: dict[str, _Flow] = field(default_factory=dict)

    def flow(self, customer: str) -> _Flow:
        """Return the customer's flow, new where it has none."""
        return self.flow_by_customer.setdefault(
            customer, _Flow(served_tokens=self.floor_tokens)
        )

    def active_flows(self) -> list[_Flow]:
        """Return the flows that have requests."""
        return [flow for flow in self.flow_by_customer.values() if flow.requests]


class FairQueue:
    """What waits for one set of back ends at one router.

    Parameters
    ----------
    max_waiting : int
        Requests of one class at the most.
    fair : bool
        False only to measure what customers' shares buy.
    """

    def __init__(
        self, *, max_requests: int = MAX_QUEUED_REQUESTS, fair: bool = True
    ) -> None:
        self._max_requests = max_requests
        self._fair = fair
        self._queue_by_class = {service: _ClassQueue() for service in ServiceClass}
        self._floor_tokens = 0.0
        self._queued_by_id: dict[str, QueuedRequest] = {}
        self._by_latest_start: list[tuple[float, int, QueuedRequest]] = []
        self._order = count()

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def length(self, service: ServiceClass) -> int:
        """Return how many of a class wait."""
        return self._queue_by_class[service].size

    def requests_ahead(self, request: RequestFacts) -> float:
        """Return about how many of its class will go before a new request."""
        flows = self._queue_by_class[request.service_class].flow_by_customer
        customer = self._customer(request)
        own = len(flows[customer].requests) if customer in flows else 0
        others = (flow for name, flow in flows.items() if name != customer)
        return float(own + sum(min(len(f.requests), own + 1) for f in others))

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one turned away for it, if any.

        The one turned away may be the new one itself.
        """
        line = self._queue_by_class[waiting.request.service_class]
        if line.size == 0:
            line.served_tokens = max(line.served_tokens, self._floor_tokens)
        line.flow(self._customer(waiting.request)).requests.append(waiting)
        line.size += 1
        self._queued_by_id[waiting.request.request_id] = waiting
        entry = (waiting.latest_start, next(self._order), waiting)
        heappush(self._by_latest_start, entry)
        if line.size <= self._max_requests:
            return None
        return self._displace(line)

    def peek(self, services: Collection[ServiceClass]) -> QueuedRequest | None:
        """Return the next request among these classes."""
        lines = [self._queue_by_class[s] for s in services if self.length(s)]
        if not lines:
            return None
        line = min(lines, key=lambda each: each.served_tokens)
        return min(line.active_flows(), key=lambda flow: flow.served_tokens).requests[0]

    def pop(self, waiting: QueuedRequest) -> None:
        """Take the request that `peek` returned out, and charge its customer."""
        request = waiting.request
        line = self._queue_by_class[request.service_class]
        flow = line.flow(self._customer(request))
        self._floor_tokens = max(self._floor_tokens, line.served_tokens)
        line.floor_tokens = max(line.floor_tokens, flow.served_tokens)
        line.served_tokens += request.cost
        flow.served_tokens += request.cost
        self._remove(waiting)

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Take out what can no longer make it."""
        late: list[QueuedRequest] = []
        while (first := self._first_to_expire()) and first.latest_start < now:
            self._remove(first)
            late.append(first)
        return late

    def next_expiry_at(self) -> float | None:
        """Return when the first one has to start; None for an empty queue."""
        first = self._first_to_expire()
        return first.latest_start if first else None

    def remove(self, request_id: str) -> bool:
        """Take one request out, whose caller left; return whether it waited."""
        waiting = self._queued_by_id.get(request_id)
        if waiting is None:
            return False
        self._remove(waiting)
        return True

    def clear(self) -> list[QueuedRequest]:
        """Take all out."""
        everything = list(self._queued_by_id.values())
        for waiting in everything:
            self._remove(waiting)
        return everything

    def _customer(self, request: RequestFacts) -> str:
        return request.customer if self._fair else ""

    def _first_to_expire(self) -> QueuedRequest | None:
        while self._by_latest_start:
            waiting = self._by_latest_start[0][2]
            if self._queued_by_id.get(waiting.request.request_id) is waiting:
                return waiting
            heappop(self._by_latest_start)
        return None

    def _displace(self, line: _ClassQueue) -> QueuedRequest:
        longest = max(line.active_flows(), key=lambda flow: len(flow.requests))
        last = longest.requests[-1]
        self._remove(last)
        return last

    def _remove(self, waiting: QueuedRequest) -> None:
        request = waiting.request
        del self._queued_by_id[request.request_id]
        line = self._queue_by_class[request.service_class]
        line.size -= 1
        customer = self._customer(request)
        flow = line.flow_by_customer[customer]
        flow.requests.remove(waiting)
        if not flow.requests and flow.served_tokens <= line.floor_tokens:
            del line.flow_by_customer[customer]
        if line.size == 0:
            line.flow_by_customer.clear()
