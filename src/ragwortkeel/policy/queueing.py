"""Bounded queue with service classes and fair shares for customers.

Load patterns: a burst; a customer that sends more than all others; long requests among
short ones.  A single first-in-first-out queue delays every small customer by a large
customer's burst, holds requests at its head that are already too late, and orders
interactive chats behind batch summaries.

- Classes share equally, by tokens, so none starves.  Interactive work gets additional
  capacity from the headroom that batch work leaves free and from the engines'
  priorities.
- Customers of a class share equally, by tokens: ten long requests weigh as much as a
  hundred short ones.  The requests of one customer are served in order of arrival.
- A full class displaces the last request of the customer with the most queued
  requests, so that a flood displaces its own sender's requests.
- A request that can't be served in time any more leaves the queue at that moment and
  is refused.

Weights for the classes and earliest-deadline-first order within a customer bring no
improvement (docs/measurements/load.md).
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import RequestFacts

MAX_QUEUED_REQUESTS = 256
"""Queued requests of a class at one router.  The estimated wait bounds the queue much
earlier, for interactive work at a few requests; this limit bounds the memory (16 MB
for bodies of 64 KB).  A limit of 64 refuses up to 30% of the requests that have time
to wait under heavy batch load."""


@dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A request that has to be dispatched by `latest_start`.

    `tried_upstreams` are those where earlier attempts failed, and `may_have_run` is
    whether any of these attempts may have run the request.
    """

    request: RequestFacts
    latest_start: float
    attempt: int = 1
    tried_upstreams: frozenset[str] = frozenset()
    may_have_run: bool = False


@dataclass(kw_only=True)
class _Flow:
    """One customer's requests of one class, and the tokens served to it."""

    served_tokens: float
    requests: deque[QueuedRequest] = field(default_factory=deque)


@dataclass(kw_only=True)
class _ClassQueue:
    """The flows of one class, by customer, and the tokens served to the class.

    `floor_tokens` are the tokens that had been served to the customer served last.
    A customer that was idle starts from there; otherwise it would accumulate credit
    and then monopolise the queue.
    """

    served_tokens: float = 0.0
    floor_tokens: float = 0.0
    size: int = 0
    flow_by_customer: dict[str, _Flow] = field(default_factory=dict)

    def flow(self, customer: str) -> _Flow:
        """Return the customer's flow, creating it if needed."""
        return self.flow_by_customer.setdefault(
            customer, _Flow(served_tokens=self.floor_tokens)
        )

    def active_flows(self) -> list[_Flow]:
        """Return the flows with queued requests."""
        return [flow for flow in self.flow_by_customer.values() if flow.requests]


class FairQueue:
    """Requests queued for one set of back ends at one router.

    Parameters
    ----------
    max_requests : int
        Maximum number of requests of one class.
    fair : bool
        False only to measure the effect of fair shares.
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
        """Return the number of queued requests of a class."""
        return self._queue_by_class[service].size

    def requests_ahead(self, request: RequestFacts) -> float:
        """Return about how many requests of the class precede a new request."""
        flows = self._queue_by_class[request.service_class].flow_by_customer
        customer = self._customer(request)
        own = len(flows[customer].requests) if customer in flows else 0
        others = (flow for name, flow in flows.items() if name != customer)
        return float(own + sum(min(len(f.requests), own + 1) for f in others))

    def push(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the request displaced by it, if any.

        The displaced request may be the new one.
        """
        class_queue = self._queue_by_class[queued.request.service_class]
        if class_queue.size == 0:
            class_queue.served_tokens = max(
                class_queue.served_tokens, self._floor_tokens
            )
        class_queue.flow(self._customer(queued.request)).requests.append(queued)
        class_queue.size += 1
        self._queued_by_id[queued.request.request_id] = queued
        entry = (queued.latest_start, next(self._order), queued)
        heappush(self._by_latest_start, entry)
        if class_queue.size <= self._max_requests:
            return None
        return self._displace(class_queue)

    def peek(self, services: Collection[ServiceClass]) -> QueuedRequest | None:
        """Return the next request among these classes."""
        class_queues = [self._queue_by_class[s] for s in services if self.length(s)]
        if not class_queues:
            return None
        class_queue = min(class_queues, key=lambda each: each.served_tokens)
        return min(
            class_queue.active_flows(), key=lambda flow: flow.served_tokens
        ).requests[0]

    def pop(self, queued: QueuedRequest) -> None:
        """Remove the request that `peek` returned, and charge its customer."""
        request = queued.request
        class_queue = self._queue_by_class[request.service_class]
        flow = class_queue.flow(self._customer(request))
        self._floor_tokens = max(self._floor_tokens, class_queue.served_tokens)
        class_queue.floor_tokens = max(class_queue.floor_tokens, flow.served_tokens)
        class_queue.served_tokens += request.cost
        flow.served_tokens += request.cost
        self._remove(queued)

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can't be served in time any more."""
        expired: list[QueuedRequest] = []
        while (first := self._first_to_expire()) and first.latest_start < now:
            self._remove(first)
            expired.append(first)
        return expired

    def next_expiry_at(self) -> float | None:
        """Return the earliest `latest_start`; None for an empty queue."""
        first = self._first_to_expire()
        return first.latest_start if first else None

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it was queued."""
        queued = self._queued_by_id.get(request_id)
        if queued is None:
            return False
        self._remove(queued)
        return True

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        removed = list(self._queued_by_id.values())
        for queued in removed:
            self._remove(queued)
        return removed

    def _customer(self, request: RequestFacts) -> str:
        return request.customer if self._fair else ""

    def _first_to_expire(self) -> QueuedRequest | None:
        while self._by_latest_start:
            queued = self._by_latest_start[0][2]
            if self._queued_by_id.get(queued.request.request_id) is queued:
                return queued
            heappop(self._by_latest_start)
        return None

    def _displace(self, class_queue: _ClassQueue) -> QueuedRequest:
        longest_flow = max(
            class_queue.active_flows(), key=lambda flow: len(flow.requests)
        )
        last = longest_flow.requests[-1]
        self._remove(last)
        return last

    def _remove(self, queued: QueuedRequest) -> None:
        request = queued.request
        del self._queued_by_id[request.request_id]
        class_queue = self._queue_by_class[request.service_class]
        class_queue.size -= 1
        customer = self._customer(request)
        flow = class_queue.flow_by_customer[customer]
        flow.requests.remove(queued)
        if not flow.requests and flow.served_tokens <= class_queue.floor_tokens:
            del class_queue.flow_by_customer[customer]
        if class_queue.size == 0:
            class_queue.flow_by_customer.clear()
