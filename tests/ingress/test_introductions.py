"""Who is told of which processes, and when."""

from time import monotonic

import curio
from tests.ingress.in_process import run_ingress

from ragwortkeel.ingress.introductions import (
    ANNOUNCE_INTERVAL_SECONDS,
    Introduction,
    Introductions,
)


def introductions(*seeds):
    return Introductions(address="own:1", seeds=seeds, is_relay=False)


class TestIntroductions:
    def test_a_quiet_fleet_is_told_once(self):
        """Links of small instances carry the same list of addresses all day."""
        known = introductions("a:1", "b:1")
        assert known.drain_update(0.0) == Introduction(addresses=("a:1", "b:1"))
        updates = [known.drain_update(0.1 * step) for step in range(1, 1000)]
        assert updates == [None] * len(updates)

    def test_news_are_told_alone_and_together(self):
        known = introductions("a:1")
        known.drain_update(0.0)
        known.add(Introduction(addresses=("b:1", "own:1"), relays=("b:1",)))
        known.add(Introduction(addresses=("c:1",)))
        assert known.drain_update(ANNOUNCE_INTERVAL_SECONDS / 2) is None
        update = Introduction(addresses=("b:1", "c:1"), relays=("b:1",))
        assert known.drain_update(ANNOUNCE_INTERVAL_SECONDS) == update
        assert known.drain_update(2 * ANNOUNCE_INTERVAL_SECONDS) is None

    def test_a_fresh_link_is_told_all(self):
        known = introductions("a:1")
        known.drain_update(0.0)
        known.add(Introduction(addresses=("b:1",)))
        assert known.snapshot() == Introduction(addresses=("a:1", "b:1"))


class TestALostIntroduction:
    def test_the_whole_list_is_told_to_one_peer_now_and_then(self):
        """A process is never linked to by one of its peers.

        The message that named it was on a connection that broke and came back.
        """

        async def scenario(fleet):
            await curio.sleep(2 * ANNOUNCE_INTERVAL_SECONDS)
            received = []
            fleet.workers[0]._peers._introductions.add = received.append
            begun = monotonic()
            async with curio.timeout_after(10 * ANNOUNCE_INTERVAL_SECONDS):
                while not any(len(known.addresses) > 1 for known in received):
                    await curio.sleep(0.01)
            return monotonic() - begun

        assert run_ingress(scenario, processes=2) < 5 * ANNOUNCE_INTERVAL_SECONDS
