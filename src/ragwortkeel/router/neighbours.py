"""Selection of the routers and upstreams that a router links to.

A full mesh of 1,000 routers would have a million links between routers and ten
million to sidecars.  A few peers in the own zone and a few in other zones spread
each change to all routers within two seconds, and peers remain if any one zone
fails.  Of each back end a router links to a subset of the upstreams, most of them
in its own zone.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

from ragwortkeel.configuration import Node, Role, Upstream
from ragwortkeel.configuration_schedule import rendezvous

PEERS_IN_ZONE = 4
PEERS_IN_OTHER_ZONES = 2
"""All six links together carry about 1 KB of heartbeats per second."""

UPSTREAM_LINKS_IN_ZONE = 8
UPSTREAM_LINKS_IN_OTHER_ZONES = 2
"""Links to the upstreams of one back end.  Each router of both current deployments
links to all upstreams.  A link costs about 150 us of processor time per second; in
a fleet of the target size with four back ends a router has about 60 links
(docs/CAPACITY.md)."""

MIN_ROUTERS_PER_UPSTREAM = 2
"""Two, because one router may fail or restart at any moment."""


def zone_router_addresses(nodes: Iterable[Node], zone: str) -> tuple[str, ...]:
    """Return the addresses of the routers in a zone."""
    return tuple(
        node.address for node in nodes if node.role == Role.ROUTER and node.zone == zone
    )


def peers_to_link(nodes: Iterable[Node], *, address: str, zone: str) -> set[str]:
    """Return the addresses of the routers that the router at `address` links to."""
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
    """Return the upstreams that the router at `address` links to.

    The selection is the same after each restart.

    Parameters
    ----------
    routers
        Addresses of the zone's routers.  At least `MIN_ROUTERS_PER_UPSTREAM` of
        them link to each upstream of the zone.  If each router selected its
        upstreams independently, one upstream in thirty would have no link and
        receive no requests.
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
            # In a small fleet each router links to all zones, so that requests
            # continue if the upstreams of its own zone fail.
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
