"""Which routers a router talks with: a few, so that the fleet can grow.

Pattern: with everybody linked to everybody, 1,000 routers would keep a million
links.  A few partners in the own zone and a few elsewhere carry every change to
all within a second or two, and whichever zone is lost, partners remain.
"""

from collections.abc import Iterable

from ragwortkeel.configuration import Node
from ragwortkeel.configuration_schedule import rendezvous

ROUTER_ROLE = "router"
SIDECAR_ROLE = "sidecar"

PARTNERS_IN_ZONE = 4
PARTNERS_ELSEWHERE = 2
"""Six links of a heartbeat a second each way cost about 1 KB a second."""


def zone_members(nodes: Iterable[Node], zone: str) -> tuple[str, ...]:
    """Return the addresses of the routers of a zone."""
    return tuple(
        node.address for node in nodes if node.role == ROUTER_ROLE and node.zone == zone
    )


def partners(nodes: Iterable[Node], *, address: str, zone: str) -> set[str]:
    """Return the addresses of the routers to keep links to."""
    others = [n for n in nodes if n.role == ROUTER_ROLE and n.address != address]
    near = {node.address for node in others if node.zone == zone}
    far = {node.address for node in others} - near
    rv = set(rendezvous(address, near, PARTNERS_IN_ZONE))
    return rv | set(rendezvous(address, far, PARTNERS_ELSEWHERE))
