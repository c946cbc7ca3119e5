"""Which peers a process links to, in fleets of 5 to 1000 processes."""

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


def make_ingress_addresses(count):
    return tuple(f"10.1.{n // 250}.{n % 250}:1" for n in range(count))


def make_relay_addresses(count):
    return tuple(f"10.2.{n // 250}.{n % 250}:1" for n in range(count))


def make_mesh(*, own, ingress_addresses, relay_addresses, is_relay=False):
    known_processes = Introductions(
        address=own, seeds=ingress_addresses, is_relay=is_relay
    )
    known_processes.add(
        Introduction(
            addresses=(*ingress_addresses, *relay_addresses), relays=relay_addresses
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
        """Guards against a relay whose link is full in a partition.

        If all ingress processes sort the relays by name, the first relay gets the
        platform calls of all of them, and all calls are late.
        """
        ingress_addresses, relay_addresses = (
            make_ingress_addresses(68),
            make_relay_addresses(60),
        )
        process_count_by_relay = Counter(
            make_mesh(
                own=own,
                ingress_addresses=ingress_addresses,
                relay_addresses=relay_addresses,
            )
            .platform_relays()[0]
            .name
            for own in ingress_addresses
        )
        assert max(process_count_by_relay.values()) <= 6
        assert len(process_count_by_relay) >= 30

    def test_a_process_links_to_a_few_relays_however_many_there_are(self):
        for size in SIZES:
            own = make_ingress_addresses(5)[0]
            links = make_mesh(
                own=own,
                ingress_addresses=make_ingress_addresses(5),
                relay_addresses=make_relay_addresses(size),
            )
            assert len(links.relay_links()) == min(size, RELAY_LINKS_PER_INGRESS)

    def test_a_relay_links_to_a_few_processes_however_many_there_are(self):
        for size in SIZES:
            relay_addresses = make_relay_addresses(3)
            links = make_mesh(
                own=relay_addresses[0],
                ingress_addresses=make_ingress_addresses(size),
                relay_addresses=relay_addresses,
                is_relay=True,
            )
            assert links.link_by_address.keys() <= set(make_ingress_addresses(size))
            assert len(links.link_by_address) == INGRESS_LINKS_PER_RELAY

    def test_a_relay_that_is_down_is_replaced_by_the_next(self):
        """Guards against a process that cannot relay calls after some relays failed."""
        links = make_mesh(
            own=make_ingress_addresses(5)[0],
            ingress_addresses=make_ingress_addresses(5),
            relay_addresses=make_relay_addresses(60),
        )
        down = links.platform_relays()[0]
        down.up = False
        while links.add_missing():
            pass
        assert len(links.relay_links()) == RELAY_LINKS_PER_INGRESS
        assert down.name in links.link_by_address

    def test_an_unneeded_link_is_closed_only_after_its_calls_can_have_ended(self):
        links = make_mesh(
            own=make_ingress_addresses(5)[0],
            ingress_addresses=make_ingress_addresses(5),
            relay_addresses=make_relay_addresses(60),
        )
        down = links.platform_relays()[0]
        down.up = False
        (unneeded,) = links.add_missing()
        down.up = True
        assert links.remove_unneeded(100.0) == []
        assert links.remove_unneeded(100.0 + UNNEEDED_LINK_SECONDS / 2) == []
        assert links.remove_unneeded(100.0 + UNNEEDED_LINK_SECONDS) == [unneeded.name]
        assert unneeded.name not in links.link_by_address

    def test_with_all_relays_down_a_process_links_to_all(self):
        order = rendezvous_order("own", make_relay_addresses(9))
        assert (
            first_live(order, is_down=lambda name: True, count=RELAY_LINKS_PER_INGRESS)
            == order
        )

    def test_at_the_start_a_process_links_to_a_few_relays(self):
        """Guards against a new process that links to all relays at once."""
        order = rendezvous_order("own", make_relay_addresses(60))
        assert (
            len(
                first_live(
                    order, is_down=lambda name: False, count=RELAY_LINKS_PER_INGRESS
                )
            )
            == RELAY_LINKS_PER_INGRESS
        )


class TestHeartbeats:
    def test_the_heartbeats_of_a_process_do_not_grow_with_the_fleet(self):
        """Guards against an idle fleet whose processors are busy with heartbeats.

        At one pace on each link, heartbeats grow with the square of the processes.
        """
        for size in SIZES:
            links = size - 1
            heartbeats_per_second = links / (
                HEARTBEAT_SECONDS + heartbeat_idle_seconds(links)
            )
            assert heartbeats_per_second <= HEARTBEATS_PER_SECOND + 1e-9

    def test_links_to_writers_and_relays_keep_the_full_pace(self):
        ingress_addresses = make_ingress_addresses(68)
        links = make_mesh(
            own=ingress_addresses[0],
            ingress_addresses=ingress_addresses,
            relay_addresses=make_relay_addresses(60),
        )
        links.set_heartbeat_pace(ingress_addresses[1:4])
        at_full_pace = {
            name
            for name, link in links.link_by_address.items()
            if not link.idle_seconds
        }
        assert at_full_pace == {*ingress_addresses[1:4], *links.relay_links()}
