"""When a process asks a peer for a newer configuration."""

from random import Random

from ragwortkeel.ingress.catch_up import ANSWER_SECONDS, GRACE_SECONDS, CatchUp


def catch_up(**revision_by_peer):
    rv = CatchUp(random=Random(1))
    for peer, revision in revision_by_peer.items():
        rv.heard(peer, revision)
    return rv


def asked(one, own, *seconds):
    questions = [one.ask(own=own, now=now) for now in seconds]
    return [question.peer if question else None for question in questions]


class TestCatchUp:
    def test_nobody_is_asked_for_what_the_own_watch_brings(self):
        one = catch_up(a=7)
        assert asked(one, 6, 0.0, GRACE_SECONDS / 2) == [None, None]
        assert asked(one, 7, GRACE_SECONDS * 2) == [None]

    def test_a_watch_that_brings_one_after_the_other_is_left_alone(self):
        """In a storm of changes a process is always a little behind some peer."""
        one = catch_up(a=9)
        for own in range(1, 8):
            assert asked(one, own, own * GRACE_SECONDS * 0.9) == [None]

    def test_one_question_at_a_time(self):
        one = catch_up(a=7, b=7, c=7)
        waits = [GRACE_SECONDS + share * ANSWER_SECONDS for share in (0, 0.1, 0.5, 0.9)]
        first, *rest = asked(one, 6, 0.0, *waits)[1:]
        assert first is not None
        assert rest == [None, None, None]

    def test_a_peer_that_does_not_answer_is_left_for_another(self):
        """The peer was killed, or its own link is full."""
        one = catch_up(a=7, b=7)
        second = GRACE_SECONDS + ANSWER_SECONDS + 0.01
        third = second + ANSWER_SECONDS + 0.01
        found = asked(one, 6, 0.0, GRACE_SECONDS, second, third)
        assert sorted(found[1:3]) == ["a", "b"]
        assert found[3] == found[1]

    def test_one_mute_peer_leaves_half_of_the_strictest_bound(self):
        """Changes are due within two seconds, of which the platform needs some."""
        assert GRACE_SECONDS + ANSWER_SECONDS <= 1.0

    def test_only_those_with_the_newest_are_asked(self):
        one = catch_up(a=7, b=6, c=5)
        assert asked(one, 5, 0.0, GRACE_SECONDS) == [None, "a"]

    def test_a_lost_peer_is_not_asked(self):
        one = catch_up(a=7)
        one.lost("a")
        assert asked(one, 5, 0.0, GRACE_SECONDS) == [None, None]

    def test_processes_that_are_behind_don_t_all_ask_the_same(self):
        """All but a few are turned away by the platform, and the few are slow."""
        peers = {f"p{i}": 7 for i in range(8)}
        firsts = set()
        for seed in range(20):
            one = CatchUp(random=Random(seed))
            for peer, revision in peers.items():
                one.heard(peer, revision)
            firsts.add(asked(one, 6, 0.0, GRACE_SECONDS)[1])
        assert len(firsts) > 4
