"""Which processes are announced to peers, and when."""

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
    def test_unchanged_processes_are_announced_once(self):
        """Guards against links that always carry the same list of addresses."""
        known = introductions("a:1", "b:1")
        assert known.drain_update(0.0) == Introduction(addresses=("a:1", "b:1"))
        updates = [known.drain_update(0.1 * step) for step in range(1, 1000)]
        assert updates == [None] * len(updates)

    def test_new_processes_are_announced_together_and_without_the_others(self):
        known = introductions("a:1")
        known.drain_update(0.0)
        known.add(Introduction(addresses=("b:1", "own:1"), relays=("b:1",)))
        known.add(Introduction(addresses=("c:1",)))
        assert known.drain_update(ANNOUNCE_INTERVAL_SECONDS / 2) is None
        update = Introduction(addresses=("b:1", "c:1"), relays=("b:1",))
        assert known.drain_update(ANNOUNCE_INTERVAL_SECONDS) == update
        assert known.drain_update(2 * ANNOUNCE_INTERVAL_SECONDS) is None

    def test_a_snapshot_has_all_processes(self):
        known = introductions("a:1")
        known.drain_update(0.0)
        known.add(Introduction(addresses=("b:1",)))
        assert known.snapshot() == Introduction(addresses=("a:1", "b:1"))


class TestALostIntroduction:
    def test_one_peer_at_a_time_is_sent_the_full_list(self):
        """Guards against a process that one of its peers never links to.

        The message that names it is lost on a connection that breaks and returns.
        """

        async def scenario(fleet):
            await curio.sleep(2 * ANNOUNCE_INTERVAL_SECONDS)
            received = []
            fleet.workers[0]._peers._introductions.add = received.append
            started_at = monotonic()
            async with curio.timeout_after(10 * ANNOUNCE_INTERVAL_SECONDS):
                while not any(len(each.addresses) > 1 for each in received):
                    await curio.sleep(0.01)
            return monotonic() - started_at

        assert run_ingress(scenario, processes=2) < 5 * ANNOUNCE_INTERVAL_SECONDS
