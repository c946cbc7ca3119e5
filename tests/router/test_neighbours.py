"""Tests of the selection of routers and upstreams to link to."""

from collections import Counter

from ragwortkeel.configuration import Node, Upstream, UpstreamKind
from ragwortkeel.router.neighbours import (
    MIN_ROUTERS_PER_UPSTREAM,
    PEERS_IN_OTHER_ZONES,
    PEERS_IN_ZONE,
    UPSTREAM_LINKS_IN_OTHER_ZONES,
    UPSTREAM_LINKS_IN_ZONE,
    peers_to_link,
    upstreams_to_link,
)


def upstream(name, zone, back_end="assistant", retired=False):
    return Upstream(
        name=name,
        back_end=back_end,
        kind=UpstreamKind.MODEL,
        sidecar_address="127.0.0.1:1",
        zone=zone,
        retired=retired,
    )


def router(number, zone):
    return Node(
        incarnation=f"r{number}",
        role="router",
        zone=zone,
        address=f"10.0.0.{number}:7000",
        http_address="",
    )


class TestUpstreams:
    def test_a_small_fleet_is_linked_completely(self):
        known = {f"m{i}": upstream(f"m{i}", f"bkk-{'abc'[i % 3]}") for i in range(10)}
        linked = upstreams_to_link(known, address="10.0.0.1:7000", zone="bkk-a")
        assert linked == known

    def test_a_retired_upstream_is_not_linked(self):
        known = {"m": upstream("m", "a", retired=True)}
        assert upstreams_to_link(known, address="x", zone="a") == {}

    def test_a_large_fleet_is_linked_partially_and_evenly(self):
        zones = [f"z{i}" for i in range(25)]
        known = {f"m{i}": upstream(f"m{i}", zones[i % 25]) for i in range(2_500)}
        routers = [f"r{number}" for number in range(40)]
        links = Counter()
        for address in routers:
            linked = upstreams_to_link(
                known, address=address, zone="z0", routers=routers
            )
            in_zone = [name for name, found in linked.items() if found.zone == "z0"]
            assert UPSTREAM_LINKS_IN_ZONE <= len(in_zone) <= 3 * UPSTREAM_LINKS_IN_ZONE
            assert len(linked) - len(in_zone) == UPSTREAM_LINKS_IN_OTHER_ZONES
            links.update(in_zone)
        assert len(links) == 100
        assert min(links.values()) >= MIN_ROUTERS_PER_UPSTREAM


class TestPeers:
    def test_some_peers_are_in_the_zone_and_some_in_other_zones(self):
        nodes = [router(i, "a" if i < 20 else "b") for i in range(1, 40)]
        found = peers_to_link(nodes, address="10.0.0.1:7000", zone="a")
        assert len(found) == PEERS_IN_ZONE + PEERS_IN_OTHER_ZONES
        assert "10.0.0.1:7000" not in found
