"""When a process asks a peer for a newer configuration."""

from random import Random

from ragwortkeel.ingress.catch_up import (
    ANSWER_TIMEOUT_SECONDS,
    WATCHER_GRACE_SECONDS,
    CatchUp,
)


def catch_up(**revision_by_peer):
    rv = CatchUp(random=Random(1))
    for peer, revision in revision_by_peer.items():
        rv.record_revision(peer, revision)
    return rv


def asked_peers(requests, own_revision, *seconds):
    chosen = [
        requests.next_request(own_revision=own_revision, now=now) for now in seconds
    ]
    return [request.peer if request else None for request in chosen]


class TestCatchUp:
    def test_nobody_is_asked_for_what_the_own_watch_brings(self):
        requests = catch_up(a=7)
        assert asked_peers(requests, 6, 0.0, WATCHER_GRACE_SECONDS / 2) == [None, None]
        assert asked_peers(requests, 7, WATCHER_GRACE_SECONDS * 2) == [None]

    def test_a_watch_that_brings_one_after_the_other_is_left_alone(self):
        """In a storm of changes a process is always a little behind some peer."""
        requests = catch_up(a=9)
        for own_revision in range(1, 8):
            assert asked_peers(
                requests, own_revision, own_revision * WATCHER_GRACE_SECONDS * 0.9
            ) == [None]

    def test_one_question_at_a_time(self):
        requests = catch_up(a=7, b=7, c=7)
        waits = [
            WATCHER_GRACE_SECONDS + share * ANSWER_TIMEOUT_SECONDS
            for share in (0, 0.1, 0.5, 0.9)
        ]
        first, *rest = asked_peers(requests, 6, 0.0, *waits)[1:]
        assert first is not None
        assert rest == [None, None, None]

    def test_a_peer_that_does_not_answer_is_left_for_another(self):
        """The peer was killed, or its own link is full."""
        requests = catch_up(a=7, b=7)
        second = WATCHER_GRACE_SECONDS + ANSWER_TIMEOUT_SECONDS + 0.01
        third = second + ANSWER_TIMEOUT_SECONDS + 0.01
        found = asked_peers(requests, 6, 0.0, WATCHER_GRACE_SECONDS, second, third)
        assert sorted(found[1:3]) == ["a", "b"]
        assert found[3] == found[1]

    def test_one_mute_peer_leaves_half_of_the_strictest_bound(self):
        """Changes are due within two seconds, of which the platform needs some."""
        assert WATCHER_GRACE_SECONDS + ANSWER_TIMEOUT_SECONDS <= 1.0

    def test_only_those_with_the_newest_are_asked(self):
        requests = catch_up(a=7, b=6, c=5)
        assert asked_peers(requests, 5, 0.0, WATCHER_GRACE_SECONDS) == [None, "a"]

    def test_a_lost_peer_is_not_asked(self):
        requests = catch_up(a=7)
        requests.remove("a")
        assert asked_peers(requests, 5, 0.0, WATCHER_GRACE_SECONDS) == [None, None]

    def test_processes_that_are_behind_don_t_all_ask_the_same(self):
        """All but a few are turned away by the platform, and the few are slow."""
        peers = {f"p{i}": 7 for i in range(8)}
        firsts = set()
        for seed in range(20):
            requests = CatchUp(random=Random(seed))
            for peer, revision in peers.items():
                requests.record_revision(peer, revision)
            firsts.add(asked_peers(requests, 6, 0.0, WATCHER_GRACE_SECONDS)[1])
        assert len(firsts) > 4
