"""Who is told of which processes, and when."""

from time import monotonic

import curio
from tests.ingress.in_process import run_ingress

from ragwortkeel.ingress.introductions import (
    NEWS_SECONDS,
    Introduction,
    Introductions,
)


def introductions(*seeds):
    return Introductions(address="own:1", seeds=seeds, is_relay=False)


class TestIntroductions:
    def test_a_quiet_fleet_is_told_once(self):
        """Links of small instances carry the same list of addresses all day."""
        one = introductions("a:1", "b:1")
        assert one.due(0.0) == Introduction(addresses=("a:1", "b:1"))
        seconds = [one.due(0.1 * step) for step in range(1, 1000)]
        assert seconds == [None] * len(seconds)

    def test_news_are_told_alone_and_together(self):
        one = introductions("a:1")
        one.due(0.0)
        one.meet(Introduction(addresses=("b:1", "own:1"), relays=("b:1",)))
        one.meet(Introduction(addresses=("c:1",)))
        assert one.due(NEWS_SECONDS / 2) is None
        news = Introduction(addresses=("b:1", "c:1"), relays=("b:1",))
        assert one.due(NEWS_SECONDS) == news
        assert one.due(2 * NEWS_SECONDS) is None

    def test_a_fresh_link_is_told_all(self):
        one = introductions("a:1")
        one.due(0.0)
        one.meet(Introduction(addresses=("b:1",)))
        assert one.whole() == Introduction(addresses=("a:1", "b:1"))


class TestALostIntroduction:
    def test_the_whole_list_is_told_to_one_peer_now_and_then(self):
        """A process is never linked to by one of its peers.

        The message that named it was on a connection that broke and came back.
        """

        async def scenario(fleet):
            await curio.sleep(2 * NEWS_SECONDS)
            told = []
            fleet.workers[0]._peers._introductions.meet = told.append
            begun = monotonic()
            async with curio.timeout_after(10 * NEWS_SECONDS):
                while not any(len(one.addresses) > 1 for one in told):
                    await curio.sleep(0.01)
            return monotonic() - begun

        assert run_ingress(scenario, processes=2) < 5 * NEWS_SECONDS
