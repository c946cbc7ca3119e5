"""Which peers count when an overloaded process turns new connections away."""

from dataclasses import dataclass
from time import monotonic

import pytest

from ragwortkeel.ingress.connection_gate import ConnectionGate
from ragwortkeel.ingress.peer_statuses import PeerStatus
from ragwortkeel.messages import InstanceStatus
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.overload import Level, Overload


@dataclass
class FullInstance:
    """An instance with as many open requests as its limit allows."""

    is_limiting: bool = True
    open_requests: int = 10
    overload: Overload = Overload(
        level=Level.OVERLOADED, utilization=1.0, open_limit=10
    )


def status(zone, utilization):
    return PeerStatus(
        node=f"{zone}-{utilization}",
        status=InstanceStatus(zone=zone, utilization=utilization, in_rotation=True),
        received_at=monotonic(),
        valid_until=monotonic() + 5.0,
    )


def accepts(*statuses, instance=None):
    """Return the decision on a connection right after one that was accepted."""
    gate = ConnectionGate(
        zone="a",
        monitor=instance or FullInstance(),
        statuses=lambda now: list(statuses),
        metrics=Metrics(),
    )
    gate.accepts(0)
    return gate.accepts(0)


@pytest.mark.parametrize(
    ("statuses", "accepted"),
    [
        ((status("a", 0.2), status("b", 1.0)), False),
        ((status("a", 1.0), status("b", 0.2)), True),
        ((status("b", 0.2), status("c", 0.4)), False),
        ((), True),
    ],
    ids=["room in the zone", "zone full", "no other process in the zone", "alone"],
)
def test_callers_are_sent_only_where_they_find_room(statuses, accepted):
    """Guards against callers that are sent to processes as loaded as this one."""
    assert accepts(*statuses) is accepted


def test_a_process_that_is_not_overloaded_accepts_all():
    instance = FullInstance(is_limiting=False)
    assert accepts(status("a", 0.2), instance=instance)
