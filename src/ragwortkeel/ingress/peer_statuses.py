"""Statuses of the peers' instances, valid for as long as the loads reported with them.

Failures it guards against: a peer reports a value that can't be true, and this process
would shed load or route by it; a peer is partitioned or gone, and its last report would
count for good.
"""

from dataclasses import dataclass
from math import inf, isfinite

import msgspec

from ragwortkeel.logs import log_warning
from ragwortkeel.messages import InstanceStatus

MAX_UTILIZATION = 10.0
"""Largest utilization that is accepted: ten times what the instance can carry."""

MAX_SLOWNESS = 100.0
"""Largest slowness of an upstream that is accepted."""

MAX_SAMPLES = 1_000_000.0
"""Largest number of samples of an upstream that is accepted."""

MAX_CUSTOMERS = 32
"""Customers in one report.  More would fill a link of 5 Mbit/s with reports."""

MAX_RUNNING = 1_000_000
"""Largest count of running requests of a customer that is accepted."""


@dataclass(frozen=True, kw_only=True)
class PeerStatus:
    """The last valid status of one peer.

    Attributes
    ----------
    received_at, valid_until : float
        Monotonic seconds.
    """

    node: str
    status: InstanceStatus
    received_at: float
    valid_until: float


class PeerStatuses:
    """The statuses that peers reported, by the name of their process."""

    def __init__(self) -> None:
        self._by_node: dict[str, PeerStatus] = {}
        self._unreadable_from: set[str] = set()

    def merge(
        self, node: str, status: InstanceStatus | None, *, now: float, seconds: float
    ) -> None:
        """Replace the status of a peer; None removes it.

        A value out of range is left out with one log line for each peer, until the
        peer sends a status without such values.
        """
        if status is None:
            self._by_node.pop(node, None)
            return
        valid = _without_invalid(status)
        if valid == status:
            self._unreadable_from.discard(node)
        elif node not in self._unreadable_from:
            self._unreadable_from.add(node)
            log_warning("peer_status_out_of_range", peer=node, status=status)
        self._by_node[node] = PeerStatus(
            node=node, status=valid, received_at=now, valid_until=now + seconds
        )

    def current(self, now: float) -> list[PeerStatus]:
        """Return the statuses that are still valid, and drop the others."""
        self._by_node = {
            node: peer for node, peer in self._by_node.items() if now < peer.valid_until
        }
        return list(self._by_node.values())


def _without_invalid(status: InstanceStatus) -> InstanceStatus:
    """Return the status with defaults in place of values out of range."""
    running = {
        customer: count
        for customer, count in status.running_by_customer.items()
        if 0 <= count <= MAX_RUNNING
    }
    slowness = {
        upstream: factor
        for upstream, factor in status.slowness_by_upstream.items()
        if isfinite(factor) and 1 / MAX_SLOWNESS <= factor <= MAX_SLOWNESS
    }
    samples = {
        upstream: count
        for upstream, count in status.samples_by_upstream.items()
        if upstream in slowness and isfinite(count) and 0.0 <= count <= MAX_SAMPLES
    }
    return msgspec.structs.replace(
        status,
        capacity=status.capacity if 0.0 <= status.capacity < inf else 0.0,
        utilization=_valid_utilization(status.utilization),
        departure_utilization=_valid_utilization(status.departure_utilization),
        running_by_customer=dict(list(running.items())[:MAX_CUSTOMERS]),
        slowness_by_upstream=slowness,
        samples_by_upstream=samples,
    )


def _valid_utilization(value: float) -> float:
    return value if isfinite(value) and 0.0 <= value <= MAX_UTILIZATION else 0.0
