"""When a process requests the configuration from a peer, and from which one."""

from random import Random

from ragwortkeel.ingress.catch_up import (
    ANSWER_TIMEOUT_SECONDS,
    WATCHER_GRACE_SECONDS,
    CatchUp,
)


def new_catch_up(**revision_by_peer):
    rv = CatchUp(random=Random(1))
    for peer, revision in revision_by_peer.items():
        rv.record_revision(peer, revision)
    return rv


def asked_peers(catch_up, own_revision, *seconds):
    requests = [
        catch_up.next_request(own_revision=own_revision, now=now) for now in seconds
    ]
    return [request.peer if request else None for request in requests]


class TestCatchUp:
    def test_no_peer_is_asked_within_the_grace_period_or_when_up_to_date(self):
        catch_up = new_catch_up(a=7)
        assert asked_peers(catch_up, 6, 0.0, WATCHER_GRACE_SECONDS / 2) == [None, None]
        assert asked_peers(catch_up, 7, WATCHER_GRACE_SECONDS * 2) == [None]

    def test_no_peer_is_asked_while_newer_revisions_keep_arriving(self):
        """Guards against copies that a watch makes unnecessary.

        During a series of changes a process is always slightly behind some peer.
        """
        catch_up = new_catch_up(a=9)
        for own_revision in range(1, 8):
            assert asked_peers(
                catch_up, own_revision, own_revision * WATCHER_GRACE_SECONDS * 0.9
            ) == [None]

    def test_no_second_peer_is_asked_before_the_answer_timeout(self):
        catch_up = new_catch_up(a=7, b=7, c=7)
        waits = [
            WATCHER_GRACE_SECONDS + fraction * ANSWER_TIMEOUT_SECONDS
            for fraction in (0, 0.1, 0.5, 0.9)
        ]
        first, *rest = asked_peers(catch_up, 6, 0.0, *waits)[1:]
        assert first is not None
        assert rest == [None, None, None]

    def test_another_peer_is_asked_after_the_answer_timeout(self):
        """Guards against a configuration that never arrives.

        The asked peer has crashed, or its link is full.
        """
        catch_up = new_catch_up(a=7, b=7)
        second = WATCHER_GRACE_SECONDS + ANSWER_TIMEOUT_SECONDS + 0.01
        third = second + ANSWER_TIMEOUT_SECONDS + 0.01
        peers = asked_peers(catch_up, 6, 0.0, WATCHER_GRACE_SECONDS, second, third)
        assert sorted(peers[1:3]) == ["a", "b"]
        assert peers[3] == peers[1]

    def test_an_unresponsive_peer_delays_a_change_by_one_second_at_most(self):
        """Changes are due within 2 seconds, and the platform needs some of them."""
        assert WATCHER_GRACE_SECONDS + ANSWER_TIMEOUT_SECONDS <= 1.0

    def test_only_peers_with_the_newest_revision_are_asked(self):
        catch_up = new_catch_up(a=7, b=6, c=5)
        assert asked_peers(catch_up, 5, 0.0, WATCHER_GRACE_SECONDS) == [None, "a"]

    def test_a_removed_peer_is_not_asked(self):
        catch_up = new_catch_up(a=7)
        catch_up.remove("a")
        assert asked_peers(catch_up, 5, 0.0, WATCHER_GRACE_SECONDS) == [None, None]

    def test_different_processes_ask_different_peers(self):
        """Guards against an overloaded peer.

        The platform refuses all processes but a few, and these answer slowly.
        """
        revision_by_peer = {f"p{i}": 7 for i in range(8)}
        first_peers = set()
        for seed in range(20):
            catch_up = CatchUp(random=Random(seed))
            for peer, revision in revision_by_peer.items():
                catch_up.record_revision(peer, revision)
            first_peers.add(asked_peers(catch_up, 6, 0.0, WATCHER_GRACE_SECONDS)[1])
        assert len(first_peers) > 4
