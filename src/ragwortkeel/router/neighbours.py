"""Which routers and sidecars a router is linked to: a few, so the fleet can grow.

With everybody linked to everybody, 1,000 routers would keep a million links among
themselves and ten million to sidecars.  A few partners in the own zone and a few
elsewhere carry every change to all within a second or two, and whichever zone is
lost, partners remain.  Of each back end a router links to a part, own zone first.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

from ragwortkeel.configuration import Node, Role, Upstream
from ragwortkeel.configuration_schedule import rendezvous

PEERS_IN_ZONE = 4
PEERS_IN_OTHER_ZONES = 2
"""Six links of a heartbeat a second each way cost about 1 KB a second."""

UPSTREAM_LINKS_IN_ZONE = 8
UPSTREAM_LINKS_IN_OTHER_ZONES = 2
"""Upstreams of one back end.  Both deployments of today are linked whole.  A link
costs some 150 us of a core a second; at the target, with four back ends, these
keep a router's links near sixty (docs/CAPACITY.md)."""

MIN_ROUTERS_PER_UPSTREAM = 2
"""One of them may be dead or restarting at any moment."""


def zone_router_addresses(nodes: Iterable[Node], zone: str) -> tuple[str, ...]:
    """Return the addresses of the routers of a zone."""
    return tuple(
        node.address for node in nodes if node.role == Role.ROUTER and node.zone == zone
    )


def peers_to_link(nodes: Iterable[Node], *, address: str, zone: str) -> set[str]:
    """Return the addresses of the routers to keep links to."""
    routers = [
        router
        for router in nodes
        if router.role == Role.ROUTER and router.address != address
    ]
    in_zone = {node.address for node in routers if node.zone == zone}
    elsewhere = {node.address for node in routers} - in_zone
    rv = set(rendezvous(address, in_zone, PEERS_IN_ZONE))
    return rv | set(rendezvous(address, elsewhere, PEERS_IN_OTHER_ZONES))


def upstreams_to_link(
    upstreams_by_name: Mapping[str, Upstream],
    *,
    address: str,
    zone: str,
    routers: Collection[str] = (),
) -> dict[str, Upstream]:
    """Return the upstreams to keep links to, the same after every restart.

    Parameters
    ----------
    routers
        Addresses of the zone's routers.  Each upstream of the zone is linked by
        at least `MIN_ROUTERS_PER_UPSTREAM` of them: chosen by the routers alone,
        one in thirty would be linked by none and stand idle.
    """
    names_by_group: dict[tuple[str, bool], list[str]] = defaultdict(list)
    for name, upstream in upstreams_by_name.items():
        if not upstream.retired:
            group = upstream.back_end, upstream.zone == zone
            names_by_group[group].append(name)
    rv = {}
    for (_, in_zone), names in names_by_group.items():
        count = UPSTREAM_LINKS_IN_ZONE if in_zone else UPSTREAM_LINKS_IN_OTHER_ZONES
        if not in_zone and len(names) <= UPSTREAM_LINKS_IN_ZONE:
            # A small fleet spans its zones, so that losing one costs no caller.
            count = UPSTREAM_LINKS_IN_ZONE
        chosen = set(rendezvous(address, names, count))
        if in_zone:
            chosen |= {
                candidate
                for candidate in names
                if _is_chosen_for(address, candidate, routers)
            }
        rv |= {name: upstreams_by_name[name] for name in sorted(chosen)}
    return rv


def _is_chosen_for(address: str, upstream: str, routers: Collection[str]) -> bool:
    return address in rendezvous(upstream, routers, MIN_ROUTERS_PER_UPSTREAM)
