import math

import msgspec

from ragwortkeel.ingress.peer_statuses import MAX_CUSTOMERS, PeerStatuses
from ragwortkeel.messages import IngressState, InstanceStatus


def _merged(status: InstanceStatus) -> InstanceStatus:
    statuses = PeerStatuses()
    statuses.merge("peer", status, now=0.0, seconds=2.0)
    return statuses.current(1.0)[0].status


def test_values_out_of_range_are_left_out_and_the_rest_is_used():
    """Guards against routing or shedding load by a value that can't be true."""
    status = InstanceStatus(
        zone="a",
        utilization=-1.0,
        in_rotation=False,
        departure_utilization=math.inf,
        running_by_customer={"surco": -3, "cla": 4},
        slowness_by_upstream={"u1": math.nan, "u2": 0.0, "u3": 1.5},
    )
    assert _merged(status) == InstanceStatus(
        zone="a",
        in_rotation=False,
        running_by_customer={"cla": 4},
        slowness_by_upstream={"u3": 1.5},
    )


def test_a_report_with_too_many_customers_is_cut():
    """Guards against a report that makes a process keep unbounded state."""
    status = InstanceStatus(running_by_customer={f"c{n}": 1 for n in range(1000)})
    assert len(_merged(status).running_by_customer) == MAX_CUSTOMERS


def test_a_status_ends_with_its_validity():
    """Guards against deciding for good by the last report of a peer that is gone."""
    statuses = PeerStatuses()
    statuses.merge("peer", InstanceStatus(utilization=0.9), now=0.0, seconds=2.0)
    assert statuses.current(2.0) == []


def test_a_peer_of_an_older_build_has_no_status():
    """Guards against a message of an older build that can't be read."""
    older = b'{"type":"IngressState","node":"a","address":"","addresses":[],'
    older += b'"relays":[],"load_by_upstream":{}}'
    assert msgspec.json.decode(older, type=IngressState).status is None
