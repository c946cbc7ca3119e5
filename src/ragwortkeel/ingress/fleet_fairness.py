"""Running requests of customers in the fleet, which decide between them in a queue.

Pattern of load: one customer sends through all processes, another through one.  By the
counts of one process, the customer that fills the whole fleet looks small at each.

Failures it guards against: a peer's counts that are old, wrong or missing.  Counts are
valid for as long as the loads of the same report, values out of range are left out, and
a process that hears no counts orders by its own.
"""

from collections import Counter
from collections.abc import Callable, Mapping

import msgspec

from ragwortkeel.ingress.peer_statuses import MAX_CUSTOMERS, PeerStatuses
from ragwortkeel.ingress.request_queue import NO_REQUESTS, RequestQueue
from ragwortkeel.messages import InstanceStatus

REFRESH_SECONDS = 0.1
"""Age up to which the sum over peers is used again: reports come each 0.2 to 0.8 s, and
a busy process orders its queue hundreds of times a second."""


class FleetFairness:
    """Sums the counts of the peers, and adds its own to the status of the instance.

    Parameters
    ----------
    enabled : bool
        Whether the counts of peers decide and are exchanged.
    statuses : PeerStatuses
        The valid statuses of the peers.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, *, enabled: bool, statuses: PeerStatuses, clock: Callable[[], float]
    ) -> None:
        self._enabled = enabled
        self._statuses = statuses
        self._clock = clock
        self._peer_running: Mapping[str, int] = NO_REQUESTS
        self._summed_at = float("-inf")

    def peer_running(self) -> Mapping[str, int]:
        """Return the running requests of customers at the peers heard recently."""
        now = self._clock()
        if self._enabled and now - self._summed_at >= REFRESH_SECONDS:
            summed: Counter[str] = Counter()
            for peer in self._statuses.current(now):
                summed.update(peer.status.running_by_customer)
            self._peer_running, self._summed_at = summed, now
        return self._peer_running

    def add_to(self, status: InstanceStatus, queue: RequestQueue) -> InstanceStatus:
        """Add the counts of this process, if they decide at any process.

        They do while requests are queued here, or at a peer whose valid status has
        `has_queue`.  The counts of a peer don't show a queue: it may send them only
        because of another one, and then the fleet would never stop sending them.
        """
        if not self._enabled:
            return status
        has_queue = len(queue) > 0
        if not has_queue and not any(
            peer.status.has_queue for peer in self._statuses.current(self._clock())
        ):
            return status
        running = sorted(
            queue.running_by_customer().items(), key=lambda each: (-each[1], each[0])
        )
        return msgspec.structs.replace(
            status,
            has_queue=has_queue,
            running_by_customer=dict(running[:MAX_CUSTOMERS]),
        )
