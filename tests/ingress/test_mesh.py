"""Which processes a process links to, in fleets of a few and of a thousand."""

from collections import Counter

import pytest

from ragwortkeel.ingress import mesh as mesh_module
from ragwortkeel.ingress.introductions import Introduction, Introductions
from ragwortkeel.ingress.mesh import (
    ADVERTISED_TO,
    HEARTBEAT_SECONDS,
    HEARTBEATS_PER_SECOND,
    RELAYS,
    SPARE_SECONDS,
    Mesh,
    by_rendezvous,
    first_up,
    idle_pause,
)

SIZES = (5, 68, 1000)


@pytest.fixture(autouse=True)
def _links_open_at_once(monkeypatch):
    monkeypatch.setattr(mesh_module, "OPENING_SECONDS", 0.0)


class FakeLink:
    def __init__(self, name):
        self.name = name
        self.up = True
        self.idle_seconds = 0.0


def routers(count):
    return tuple(f"10.1.{n // 250}.{n % 250}:1" for n in range(count))


def relays(count):
    return tuple(f"10.2.{n // 250}.{n % 250}:1" for n in range(count))


def mesh(*, own, ingress, beside, is_relay=False):
    known = Introductions(address=own, seeds=ingress, is_relay=is_relay)
    known.meet(Introduction(addresses=(*ingress, *beside), relays=beside))
    rv = Mesh(
        address=own,
        introductions=known,
        is_relay=is_relay,
        new_link=lambda address, heartbeat, silence: FakeLink(address),
    )
    while rv.missing():
        pass
    return rv


class TestRelays:
    def test_no_relay_carries_the_calls_of_more_than_a_few_processes(self):
        """In a cut of all entry instances one relay had the calls of every process.

        All sorted the relays by name; its link was full and all calls were late.
        """
        ingress, beside = routers(68), relays(60)
        first = Counter(
            mesh(own=own, ingress=ingress, beside=beside).platform_relays()[0].name
            for own in ingress
        )
        assert max(first.values()) <= 6
        assert len(first) >= 30

    def test_a_process_links_to_a_few_relays_however_many_there_are(self):
        for size in SIZES:
            own = routers(5)[0]
            links = mesh(own=own, ingress=routers(5), beside=relays(size))
            assert len(links.relays()) == min(size, RELAYS)

    def test_a_relay_links_to_a_few_processes_however_many_there_are(self):
        for size in SIZES:
            beside = relays(3)
            links = mesh(
                own=beside[0], ingress=routers(size), beside=beside, is_relay=True
            )
            assert links.link_by_address.keys() <= set(routers(size))
            assert len(links.link_by_address) == ADVERTISED_TO

    def test_a_dead_relay_is_replaced_by_the_next(self):
        """After some deaths a process has no way round a cut left."""
        links = mesh(own=routers(5)[0], ingress=routers(5), beside=relays(60))
        dead = links.platform_relays()[0]
        dead.up = False
        while links.missing():
            pass
        assert len(links.relays()) == RELAYS
        assert dead.name in links.link_by_address

    def test_a_link_is_closed_only_when_nothing_waits_on_it_any_more(self):
        links = mesh(own=routers(5)[0], ingress=routers(5), beside=relays(60))
        dead = links.platform_relays()[0]
        dead.up = False
        (spare,) = links.missing()
        dead.up = True
        assert links.spare(100.0) == []
        assert links.spare(100.0 + SPARE_SECONDS / 2) == []
        assert links.spare(100.0 + SPARE_SECONDS) == [spare.name]
        assert spare.name not in links.link_by_address

    def test_with_all_down_all_are_tried(self):
        order = by_rendezvous("own", relays(9))
        assert first_up(order, is_down=lambda name: True, count=RELAYS) == order

    def test_at_the_start_only_a_few_are_tried(self):
        """A process that had just started linked to all relays at once."""
        order = by_rendezvous("own", relays(60))
        assert len(first_up(order, is_down=lambda name: False, count=RELAYS)) == RELAYS


class TestHeartbeats:
    def test_a_process_sends_as_many_in_a_large_fleet_as_in_a_small_one(self):
        """Most of an idle fleet's processor time went into heartbeats.

        At one pace on each link they grow with the square of the processes.
        """
        for size in SIZES:
            links = size - 1
            sent = links / (HEARTBEAT_SECONDS + idle_pause(links))
            assert sent <= HEARTBEATS_PER_SECOND + 1e-9

    def test_the_writers_links_keep_the_full_pace(self):
        ingress = routers(68)
        links = mesh(own=ingress[0], ingress=ingress, beside=relays(60))
        links.set_pace(ingress[1:4])
        full = {
            name
            for name, link in links.link_by_address.items()
            if not link.idle_seconds
        }
        assert full == {*ingress[1:4], *links.relays()}
