"""Tests of the exchange of messages between configuration stores."""

from math import inf
from random import Random

import pytest

from ragwortkeel.configuration import PROFILES
from ragwortkeel.configuration_exchange import (
    MAX_PUSHED_BATCH_OBJECTS,
    PUSH_BYTES,
    Exchange,
)
from ragwortkeel.configuration_store import ConfigurationStore
from ragwortkeel.messages import (
    ConfigurationBranches,
    ConfigurationDigest,
    ConfigurationLeaves,
    ConfigurationPull,
    ConfigurationPush,
    ConfigurationRanks,
    VersionedObject,
)


def made(name, version):
    return VersionedObject(kind=PROFILES, name=name, version=version, value=b"{}")


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def exchange(clock, *addresses):
    rv = Exchange(store=ConfigurationStore(), random=Random(1), clock=clock)
    rv.exchange_peers = addresses
    return rv


class TestAge:
    @pytest.mark.parametrize(("equal", "age"), [(True, 5.0), (False, inf)])
    def test_confirmation_of_the_platform_is_forwarded(self, equal, age):
        clock = Clock()
        one, other, last = (exchange(clock) for _ in range(3))
        one.merge_objects([made("chat", 7)])
        one.record_complete(PROFILES, 7)
        other.merge_objects([made("chat", 7 if equal else 6)])
        last.merge_objects([made("chat", 7)])
        clock.now = 2.0
        other.receive("one", one.digest())
        clock.now = 5.0
        last.receive("other", other.digest())
        assert other.age(PROFILES) == last.age(PROFILES) == age
        assert last.complete_by_kind[PROFILES] == (7 if equal else -1)

    def test_older_confirmation_is_ignored(self):
        clock = Clock()
        one, other = exchange(clock), exchange(clock)
        one.record_complete(PROFILES, 0)
        clock.now = 3.0
        other.record_complete(PROFILES, 0)
        other.receive("one", one.digest())
        assert other.age(PROFILES) == 0.0


class TestStartInAnOutage:
    def test_unregistered_process_becomes_complete(self):
        """A router that starts while the platform is down becomes complete.

        It cannot register, so no other router sends it digests.  It sends a digest
        to a peer from its settings and receives all objects; the answers must also
        confirm that its content is complete.
        """
        clock = Clock()
        old, new = exchange(clock), exchange(clock, "old")
        old.merge_objects([made("chat", 7)])
        for kind in old.store.kinds:
            old.record_complete(kind, 7)
        clock.now = 60.0
        digests = 0
        for _ in range(3):
            in_transit = [("old", send.message) for send in new.next_digest()]
            while in_transit and digests <= 5:
                to, message = in_transit.pop(0)
                digests += isinstance(message, ConfigurationDigest)
                target, back = (old, "new") if to == "old" else (new, "old")
                sends = target.receive(back, message)
                in_transit += [(back, send.message) for send in sends]
        assert new.store.rank(PROFILES, "chat")
        assert set(new.complete_by_kind.values()) == {7}
        assert new.age(PROFILES) == 60.0
        assert digests <= 5, "equal stores must not answer each other endlessly"


class TestDigestPeer:
    def test_peer_furthest_ahead_gets_one_digest(self):
        one = exchange(Clock(), "p1", "p2", "p3")
        one.record_revision("far", 9)
        one.record_revision("near", 5)
        assert [send.peer for send in one.next_digest()] == ["far"]
        assert [send.peer for send in one.next_digest()][0].startswith("p")

    def test_revision_received_meanwhile_is_not_requested(self):
        one = exchange(Clock(), "p1")
        one.record_revision("far", 9)
        one.merge_objects([made("chat", 9)])
        assert [send.peer for send in one.next_digest()] == ["p1"]


class TestPushes:
    def test_only_small_batches_are_pushed(self):
        one = exchange(Clock(), "p1")
        one.merge_objects(made(f"p{i}", i) for i in range(MAX_PUSHED_BATCH_OBJECTS + 1))
        assert one.next_pushes() == []
        one.merge_objects([made("chat", 999)])
        assert [send.message.objects for send in one.next_pushes()] == [
            (made("chat", 999),)
        ]

    def test_senders_of_digests_receive_pushes(self):
        one, sender = exchange(Clock()), exchange(Clock())
        one.receive("caller", sender.digest())
        one.merge_objects([made("chat", 1)])
        assert [send.peer for send in one.next_pushes()] == ["caller"]


class TestInvalidMessages:
    @pytest.mark.parametrize(
        "message",
        [
            ConfigurationBranches(kind="odd", hashes=()),
            ConfigurationBranches(kind=PROFILES, hashes=(1,)),
            ConfigurationLeaves(kind=PROFILES, branch=-1, hashes=(0,) * 64),
            ConfigurationLeaves(kind=PROFILES, branch=99, hashes=(0,) * 64),
            ConfigurationLeaves(kind=PROFILES, branch=0, hashes=(1,)),
            ConfigurationRanks(kind="odd", leaves=(1,), ranks={}),
            ConfigurationRanks(kind=PROFILES, leaves=(-1, 10**6), ranks={}),
            ConfigurationPull(kind="odd", ranks={"a": (False, 1)}),
            ConfigurationPull(kind=PROFILES, ranks={"none": (False, 1)}),
            ConfigurationPush(objects=(), more=True),
        ],
    )
    def test_invalid_message_has_no_answer(self, message):
        assert exchange(Clock()).receive("peer", message) == []


class TestPages:
    def test_an_empty_store_is_filled_page_by_page(self):
        value = b'{"pad":"%s"}' % (b"x" * 1000)
        full = Exchange(store=ConfigurationStore(), random=Random(1))
        full.store.merge(
            VersionedObject(kind=PROFILES, name=f"p{i}", version=i, value=value)
            for i in range(500)
        )
        empty = Exchange(store=ConfigurationStore(), random=Random(2))
        empty.exchange_peers = ("full",)
        largest = 0
        for _ in range(2_000):
            in_transit = [("full", one.message) for one in empty.next_digest()]
            while in_transit:
                to, message = in_transit.pop()
                if isinstance(message, ConfigurationPush):
                    size = sum(len(one.value) for one in message.objects)
                    largest = max(largest, size)
                target = full if to == "full" else empty
                back = "empty" if to == "full" else "full"
                in_transit += [
                    (back, one.message) for one in target.receive(to, message)
                ]
            if empty.store.root(PROFILES) == full.store.root(PROFILES):
                break
        assert empty.store.size(PROFILES) == 500
        assert largest <= PUSH_BYTES
