"""Pattern of load: an upstream in need asks all processes together for less."""

from ragwortkeel.policy.announced_limits import (
    TOLD_SECONDS,
    AnnouncedLimits,
    Statement,
)


class TestNewestStatement:
    def test_an_answer_to_an_older_request_does_not_end_a_limit(self):
        """Guards against a limit that ends with a stream that began before it."""
        limits = AnnouncedLimits()
        limits.answered("u1", 1.2, sent_at=7.0, now=8.0)
        assert not limits.answered("u1", None, sent_at=7.5, now=8.5)
        assert limits.of("u1") == 1.2

    def test_the_answer_to_a_later_request_ends_it(self):
        limits = AnnouncedLimits()
        limits.answered("u1", 1.2, sent_at=7.0, now=8.0)
        assert limits.answered("u1", None, sent_at=8.1, now=8.5)
        assert limits.of("u1") is None

    def test_a_limit_may_change_with_each_answer(self):
        limits = AnnouncedLimits()
        for at, limit in enumerate([1.2, 0.0, 40.0, 1.2]):
            assert limits.answered("u1", limit, sent_at=at, now=at + 0.5)
            assert limits.of("u1") == limit

    def test_what_a_peer_heard_before_does_not_bring_an_ended_limit_back(self):
        """Guards against a limit that peers tell each other for ever."""
        limits = AnnouncedLimits()
        limits.answered("u1", 1.2, sent_at=7.0, now=8.0)
        limits.answered("u1", None, sent_at=9.0, now=9.1)
        assert not limits.take("u1", Statement(per_second=1.2, at=8.6))

    def test_upstreams_that_never_named_one_leave_nothing(self):
        limits = AnnouncedLimits()
        assert not limits.answered("u1", None, sent_at=1.0, now=1.0)
        assert not limits.recent(1.0)

    def test_peers_hear_of_an_end_too(self):
        limits = AnnouncedLimits()
        limits.answered("u1", 1.2, sent_at=7.0, now=8.0)
        limits.answered("u1", None, sent_at=9.0, now=9.1)
        assert limits.recent(9.2)["u1"].per_second is None
        assert not limits.recent(9.0 + TOLD_SECONDS)

    def test_upstreams_that_are_gone_are_forgotten(self):
        limits = AnnouncedLimits()
        limits.answered("u1", 1.2, sent_at=7.0, now=8.0)
        limits.keep(["u2"])
        assert limits.of("u1") is None
