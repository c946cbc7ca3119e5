"""Which processes a process links to, in fleets of a few and of a thousand."""

from collections import Counter

import pytest

from ragwortkeel.ingress import mesh as mesh_module
from ragwortkeel.ingress.introductions import Introduction, Introductions
from ragwortkeel.ingress.mesh import (
    HEARTBEAT_SECONDS,
    HEARTBEATS_PER_SECOND,
    INGRESS_LINKS_PER_RELAY,
    RELAY_LINKS_PER_INGRESS,
    UNNEEDED_LINK_SECONDS,
    Mesh,
    first_live,
    heartbeat_idle_seconds,
    rendezvous_order,
)

SIZES = (5, 68, 1000)


@pytest.fixture(autouse=True)
def _links_open_at_once(monkeypatch):
    monkeypatch.setattr(mesh_module, "CONNECT_GRACE_SECONDS", 0.0)


class FakeLink:
    def __init__(self, name):
        self.name = name
        self.up = True
        self.idle_seconds = 0.0


def routers(count):
    return tuple(f"10.1.{n // 250}.{n % 250}:1" for n in range(count))


def relays(count):
    return tuple(f"10.2.{n // 250}.{n % 250}:1" for n in range(count))


def mesh(*, own, router_addresses, relay_addresses, is_relay=False):
    known_processes = Introductions(
        address=own, seeds=router_addresses, is_relay=is_relay
    )
    known_processes.add(
        Introduction(
            addresses=(*router_addresses, *relay_addresses), relays=relay_addresses
        )
    )
    rv = Mesh(
        address=own,
        introductions=known_processes,
        is_relay=is_relay,
        new_link=lambda address, heartbeat, silence: FakeLink(address),
    )
    while rv.add_missing():
        pass
    return rv


class TestRelays:
    def test_no_relay_carries_the_calls_of_more_than_a_few_processes(self):
        """In a cut of all entry instances one relay had the calls of every process.

        All sorted the relays by name; its link was full and all calls were late.
        """
        router_addresses, relay_addresses = routers(68), relays(60)
        process_count_by_relay = Counter(
            mesh(
                own=own,
                router_addresses=router_addresses,
                relay_addresses=relay_addresses,
            )
            .platform_relays()[0]
            .name
            for own in router_addresses
        )
        assert max(process_count_by_relay.values()) <= 6
        assert len(process_count_by_relay) >= 30

    def test_a_process_links_to_a_few_relays_however_many_there_are(self):
        for size in SIZES:
            own = routers(5)[0]
            links = mesh(
                own=own, router_addresses=routers(5), relay_addresses=relays(size)
            )
            assert len(links.relay_links()) == min(size, RELAY_LINKS_PER_INGRESS)

    def test_a_relay_links_to_a_few_processes_however_many_there_are(self):
        for size in SIZES:
            relay_addresses = relays(3)
            links = mesh(
                own=relay_addresses[0],
                router_addresses=routers(size),
                relay_addresses=relay_addresses,
                is_relay=True,
            )
            assert links.link_by_address.keys() <= set(routers(size))
            assert len(links.link_by_address) == INGRESS_LINKS_PER_RELAY

    def test_a_dead_relay_is_replaced_by_the_next(self):
        """After some deaths a process has no way round a cut left."""
        links = mesh(
            own=routers(5)[0], router_addresses=routers(5), relay_addresses=relays(60)
        )
        stopped = links.platform_relays()[0]
        stopped.up = False
        while links.add_missing():
            pass
        assert len(links.relay_links()) == RELAY_LINKS_PER_INGRESS
        assert stopped.name in links.link_by_address

    def test_a_link_is_closed_only_when_nothing_waits_on_it_any_more(self):
        links = mesh(
            own=routers(5)[0], router_addresses=routers(5), relay_addresses=relays(60)
        )
        stopped = links.platform_relays()[0]
        stopped.up = False
        (unneeded,) = links.add_missing()
        stopped.up = True
        assert links.remove_unneeded(100.0) == []
        assert links.remove_unneeded(100.0 + UNNEEDED_LINK_SECONDS / 2) == []
        assert links.remove_unneeded(100.0 + UNNEEDED_LINK_SECONDS) == [unneeded.name]
        assert unneeded.name not in links.link_by_address

    def test_with_all_down_all_are_tried(self):
        order = rendezvous_order("own", relays(9))
        assert (
            first_live(order, is_down=lambda name: True, count=RELAY_LINKS_PER_INGRESS)
            == order
        )

    def test_at_the_start_only_a_few_are_tried(self):
        """A process that had just started linked to all relays at once."""
        order = rendezvous_order("own", relays(60))
        assert (
            len(
                first_live(
                    order, is_down=lambda name: False, count=RELAY_LINKS_PER_INGRESS
                )
            )
            == RELAY_LINKS_PER_INGRESS
        )


class TestHeartbeats:
    def test_a_process_sends_as_many_in_a_large_fleet_as_in_a_small_one(self):
        """Most of an idle fleet's processor time went into heartbeats.

        At one pace on each link they grow with the square of the processes.
        """
        for size in SIZES:
            links = size - 1
            heartbeats_per_second = links / (
                HEARTBEAT_SECONDS + heartbeat_idle_seconds(links)
            )
            assert heartbeats_per_second <= HEARTBEATS_PER_SECOND + 1e-9

    def test_the_writers_links_keep_the_full_pace(self):
        router_addresses = routers(68)
        links = mesh(
            own=router_addresses[0],
            router_addresses=router_addresses,
            relay_addresses=relays(60),
        )
        links.set_heartbeat_pace(router_addresses[1:4])
        at_full_pace = {
            name
            for name, link in links.link_by_address.items()
            if not link.idle_seconds
        }
        assert at_full_pace == {*router_addresses[1:4], *links.relay_links()}
