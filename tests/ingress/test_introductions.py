"""Who is told of which processes, and when."""

from ragwortkeel.ingress.introductions import (
    NEWS_SECONDS,
    WHOLE_SECONDS,
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
        seconds = [one.due(0.1 * step) for step in range(1, int(10 * WHOLE_SECONDS))]
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

    def test_all_are_told_again_now_and_then(self):
        """A process is never linked to.

        The message that named it was on a connection that broke and came back.
        """
        one = introductions("a:1")
        one.due(0.0)
        assert one.due(WHOLE_SECONDS) == one.whole()

    def test_a_fresh_link_is_told_all(self):
        one = introductions("a:1")
        one.due(0.0)
        one.meet(Introduction(addresses=("b:1",)))
        assert one.whole() == Introduction(addresses=("a:1", "b:1"))
