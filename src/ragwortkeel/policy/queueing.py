"""A short, bounded queue: service classes, customers' fair shares, deadlines.

Patterns of load: a burst; a customer that sends more than all others; long work
among short.  One first-in-first-out line lets a large customer's burst delay
every small one, keeps work that is already too late at its head, and puts an
advisor's chat behind an archive's summaries.

- Classes share by weight, so batch work is slowed but never starved.
- Customers of a class share equally, by tokens: ten long requests weigh as much
  as a hundred short ones.
- Inside a customer the request that must start first goes first.
- A full class makes room by turning away the last request of the customer that
  waits with the most, so that a flood turns away its own sender.
- A request that can no longer make it leaves at that moment, with its answer.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import RequestFacts

MAX_WAITING = 256
"""Requests of a class that wait at one router.  The estimated wait bounds the
queue long before, and keeps interactive lines to a few; this bounds the memory
(16 MB at the usual 64 KB).  With 64, a tenth of batch work that had minutes to
spare was refused."""

WEIGHTS_BY_CLASS = {
    ServiceClass.INTERACTIVE: 16.0,
    ServiceClass.MUST_NOT_REPEAT: 4.0,
    ServiceClass.BATCH: 1.0,
}
"""Interactive promises are in seconds, batch ones in minutes; filings are few,
cheap and dear to lose."""


@dataclass(frozen=True, kw_only=True)
class Waiting:
    """A request that is to be dispatched, by `latest_start` at the latest.

    `tried` are the upstreams where earlier attempts failed, and `may_have_run`
    tells whether any of those may have run it.
    """

    request: RequestFacts
    latest_start: float
    attempt: int = 1
    tried: frozenset[str] = frozenset()
    may_have_run: bool = False


@dataclass(kw_only=True)
class _Flow:
    """One customer's requests of one class, and the tokens it was served."""

    served: float
    heap: list[tuple[float, int, Waiting]] = field(default_factory=list)


@dataclass(kw_only=True)
class _Line:
    """One class: its customers' flows and how far its service has come."""

    weight: float
    served: float = 0.0
    floor: float = 0.0
    size: int = 0
    flows_by_customer: dict[str, _Flow] = field(default_factory=dict)


class FairQueue:
    """What waits for one set of back ends at one router.

    Parameters
    ----------
    max_waiting : int
        Requests of one class at the most.
    weighted, fair, earliest_first : bool
        False only to measure what class weights, customers' shares and the order
        inside a customer buy.
    """

    def __init__(
        self,
        *,
        max_waiting: int = MAX_WAITING,
        weighted: bool = True,
        fair: bool = True,
        earliest_first: bool = True,
    ) -> None:
        self._max_waiting = max_waiting
        self._fair = fair
        self._earliest_first = earliest_first
        self._lines = {
            service: _Line(weight=weight if weighted else 1.0)
            for service, weight in WEIGHTS_BY_CLASS.items()
        }
        self._floor = 0.0
        self._live_by_id: dict[str, Waiting] = {}
        self._by_latest_start: list[tuple[float, int, Waiting]] = []
        self._order = count()

    def __len__(self) -> int:
        return len(self._live_by_id)

    def waiting(self, service: ServiceClass) -> int:
        """Return how many of a class wait."""
        return self._lines[service].size

    def ahead(self, request: RequestFacts) -> float:
        """Return about how many of its class will go before a new request."""
        line = self._lines[request.service]
        own = self._flow_size(line, request.customer)
        ahead = float(own)
        for customer, flow in line.flows_by_customer.items():
            if customer != self._customer(request):
                ahead += min(len(flow.heap), own + 1)
        return ahead

    def push(self, waiting: Waiting) -> Waiting | None:
        """Add a request; return the one turned away for it, if any.

        The one turned away may be the new one itself.
        """
        request = waiting.request
        line = self._lines[request.service]
        flow = self._flow(line, self._customer(request))
        order = next(self._order)
        rank = waiting.latest_start if self._earliest_first else 0.0
        heappush(flow.heap, (rank, order, waiting))
        heappush(self._by_latest_start, (waiting.latest_start, order, waiting))
        line.size += 1
        self._live_by_id[request.request_id] = waiting
        if line.size <= self._max_waiting:
            return None
        return self._displace(line)

    def peek(self, services: Collection[ServiceClass]) -> Waiting | None:
        """Return the next request among these classes."""
        lines = [self._lines[s] for s in services if self._lines[s].size]
        if not lines:
            return None
        line = min(lines, key=lambda each: each.served)
        flows = (flow for flow in line.flows_by_customer.values() if flow.heap)
        return min(flows, key=lambda each: each.served).heap[0][2]

    def take(self, waiting: Waiting) -> None:
        """Take the request that `peek` returned out, and charge its customer."""
        line = self._lines[waiting.request.service]
        flow = line.flows_by_customer[self._customer(waiting.request)]
        heappop(flow.heap)
        self._charge(line, flow, waiting.request)
        self._drop(line, waiting)

    def expired(self, now: float) -> list[Waiting]:
        """Take out what can no longer make it."""
        late: list[Waiting] = []
        while self._by_latest_start:
            latest_start, _, waiting = self._by_latest_start[0]
            live = self._live_by_id.get(waiting.request.request_id) is waiting
            if live and latest_start >= now:
                break
            heappop(self._by_latest_start)
            if live:
                self._take_out(waiting)
                late.append(waiting)
        return late

    def next_expiry(self) -> float | None:
        """Return when the first one has to start; None for an empty queue."""
        while self._by_latest_start:
            latest_start, _, waiting = self._by_latest_start[0]
            if self._live_by_id.get(waiting.request.request_id) is waiting:
                return latest_start
            heappop(self._by_latest_start)
        return None

    def remove(self, request_id: str) -> bool:
        """Take one request out, whose caller left; return whether it waited."""
        waiting = self._live_by_id.get(request_id)
        if waiting is None:
            return False
        self._take_out(waiting)
        return True

    def clear(self) -> list[Waiting]:
        """Take all out."""
        everything = list(self._live_by_id.values())
        for waiting in everything:
            self._take_out(waiting)
        return everything

    def _customer(self, request: RequestFacts) -> str:
        return request.customer if self._fair else ""

    def _flow(self, line: _Line, customer: str) -> _Flow:
        """Return the flow; one that was idle starts level with the rest.

        Without the floor an idle customer would save up service and then take
        the queue for itself.
        """
        if line.size == 0:
            line.served = max(line.served, self._floor)
        flow = line.flows_by_customer.get(customer)
        if flow is None:
            flow = _Flow(served=line.floor)
            line.flows_by_customer[customer] = flow
        return flow

    def _flow_size(self, line: _Line, customer: str) -> int:
        flow = line.flows_by_customer.get(customer if self._fair else "")
        return len(flow.heap) if flow else 0

    def _charge(self, line: _Line, flow: _Flow, request: RequestFacts) -> None:
        self._floor = max(self._floor, line.served)
        line.floor = max(line.floor, flow.served)
        line.served += request.cost / line.weight
        flow.served += request.cost

    def _displace(self, line: _Line) -> Waiting:
        longest = max(line.flows_by_customer.values(), key=lambda f: len(f.heap))
        _, _, last = max(longest.heap)
        self._take_out(last)
        return last

    def _take_out(self, waiting: Waiting) -> None:
        line = self._lines[waiting.request.service]
        flow = line.flows_by_customer[self._customer(waiting.request)]
        flow.heap = [entry for entry in flow.heap if entry[2] is not waiting]
        flow.heap.sort()
        self._drop(line, waiting)

    def _drop(self, line: _Line, waiting: Waiting) -> None:
        line.size -= 1
        del self._live_by_id[waiting.request.request_id]
        customer = self._customer(waiting.request)
        flow = line.flows_by_customer[customer]
        if not flow.heap and flow.served <= line.floor:
            del line.flows_by_customer[customer]
        if line.size == 0:
            line.flows_by_customer.clear()
