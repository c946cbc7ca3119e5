"""New connections of an overloaded instance while its peers have room, or have none."""

import pytest

from ragwortkeel.policy.new_connections import (
    ACCEPT_INTERVAL_SECONDS,
    MAX_PEERS_UTILIZATION,
    NewConnections,
)
from ragwortkeel.policy.overload import Level, Overload
from ragwortkeel.policy.zone_view import PeerReport

FULL = Overload(level=Level.OVERLOADED, utilization=1.0, open_limit=10)


def peer(utilization=0.2, *, in_rotation=True):
    return PeerReport(
        node=f"peer-{utilization}",
        utilization=utilization,
        overloaded=utilization > 0.9,
        in_rotation=in_rotation,
        departure_utilization=0.0,
        age_seconds=0.1,
    )


PEERS_WITH_ROOM = (peer(), peer(0.5))


def accepted(
    overload=FULL, *, open_requests=10, peers=PEERS_WITH_ROOM, count=100, seconds=1.0
):
    """Return how many of the connections that come within some seconds are accepted."""
    connections = NewConnections()
    return sum(
        connections.accepts(
            overload,
            open_requests=open_requests,
            peers=peers,
            now=seconds * number / count,
        )
        for number in range(count)
    )


def test_a_rush_to_one_instance_is_left_to_peers_with_room():
    """Guards against a rush that one instance reads and refuses for seconds."""
    assert accepted(count=100, seconds=3 * ACCEPT_INTERVAL_SECONDS) == 3


@pytest.mark.parametrize(
    "peers",
    [(), (peer(MAX_PEERS_UTILIZATION + 0.1),), (peer(in_rotation=False),)],
    ids=["unheard", "loaded", "out of the rotation"],
)
def test_connections_are_accepted_while_no_peer_has_room(peers):
    """Guards against callers that run in circles between loaded instances."""
    assert accepted(peers=peers) == 100


@pytest.mark.parametrize(
    ("overload", "open_requests"),
    [
        (Overload(level=Level.BUSY, utilization=0.8), 50),
        (Overload(level=Level.OVERLOADED, utilization=1.0), 50),
        (FULL, 8),
    ],
    ids=["busy", "nothing refused yet", "below the limit"],
)
def test_an_instance_with_room_accepts_all(overload, open_requests):
    assert accepted(overload, open_requests=open_requests) == 100
