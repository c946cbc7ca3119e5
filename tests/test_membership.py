"""Tests of liveness from heartbeats and the platform's list, which may lag."""

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.configuration import NODES, Node
from ragwortkeel.configuration_store import tombstone
from ragwortkeel.membership import SILENCE_SECONDS, Liveness, Membership
from ragwortkeel.messages import VersionedObject
from ragwortkeel.platform import Instance
from ragwortkeel.registration import deregister, poll_list, register
from ragwortkeel.standins.local_platform import LocalPlatform


def node(name="r1", address="10.0.0.1:1", role="router"):
    return Node(
        incarnation=name, role=role, zone="a", address=address, http_address=address
    )


def instance(address="10.0.0.1:1", leaving=False):
    return Instance(name="i", address=address, role="router", zone="a", leaving=leaving)


LISTED, MISSING = [instance()], []


def liveness_after(*events):
    """Return the liveness at 20.0 s of a node registered at 0.0 s."""
    members = Membership()
    members.add(node())
    for at, event in events:
        match event:
            case "probe":
                members.record_probe("r1", at)
            case "heard":
                members.record_message("r1", at)
            case "leaving":
                members.record_message("r1", at, leaving=True)
            case list():
                members.merge_list(event, asked_at=at)
    return members.liveness("r1", 20.0)


class TestLiveness:
    @pytest.mark.parametrize(
        ("events", "expected"),
        [
            ([], Liveness.STARTING),
            ([(1, LISTED)], Liveness.LIVE),
            ([(1, MISSING)], Liveness.STARTING),
            ([(1, MISSING), (5, MISSING), (9, MISSING)], Liveness.STARTING),
            ([(19, "probe")], Liveness.STARTING),
            ([(19, "heard")], Liveness.LIVE),
            ([(19, "leaving")], Liveness.LEAVING),
            ([(1, [instance(leaving=True)])], Liveness.LEAVING),
            ([(19, "heard"), (19.5, MISSING)], Liveness.LIVE),
            ([(1, MISSING), (5, MISSING), (19, "heard")], Liveness.LIVE),
            ([(1, "heard"), (2, LISTED)], Liveness.SUSPECT),
            ([(1, "heard"), (2, MISSING)], Liveness.SUSPECT),
            ([(1, "heard"), (2, MISSING), (3, MISSING)], Liveness.SUSPECT),
            ([(1, "heard"), (2, MISSING), (4, MISSING)], Liveness.FAILED),
            ([(1, "heard"), (2, MISSING), (4, MISSING), (6, LISTED)], Liveness.SUSPECT),
            ([(1, "probe"), (2, MISSING), (4, MISSING)], Liveness.FAILED),
            ([(2, MISSING), (4, MISSING), (6, "probe")], Liveness.SUSPECT),
            (
                [(2, MISSING), (4, MISSING), (6, "heard"), (7, MISSING)],
                Liveness.SUSPECT,
            ),
        ],
    )
    def test_evidence(self, events, expected):
        assert liveness_after(*events) == expected

    def test_unchanging_list_fails_no_working_node(self):
        """Guard against sealing a working router that the list lacks.

        The platform's list stopped changing before the router started.  The router
        registers, serves callers and sends heartbeats, but is never listed.
        """
        beats = [(at, "heard") for at in range(20)]
        lists = [(at + 0.5, MISSING) for at in range(20)]
        assert (
            liveness_after(*sorted(beats + lists, key=lambda e: e[0])) == Liveness.LIVE
        )

    def test_address_of_a_later_incarnation(self):
        members = Membership()
        members.add(node("old"))
        members.record_message("old", 1.0)
        members.add(node("new"))
        members.merge_list(LISTED, asked_at=2.0)
        members.merge_list(LISTED, asked_at=5.0)
        assert members.liveness("old", 9.0) == Liveness.FAILED
        assert members.liveness("new", 9.0) == Liveness.LIVE

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["probe", "heard", LISTED, MISSING]), st.floats(0.1, 5)
            ),
            max_size=30,
        )
    )
    def test_failed_only_if_silent_and_missing(self, events):
        now = 0.0
        silent_since = misses = None
        members = Membership()
        members.add(node())
        for event, seconds in events:
            now += seconds
            match event:
                case "probe":
                    members.record_probe("r1", now)
                    silent_since = now if silent_since is None else silent_since
                case "heard":
                    members.record_message("r1", now)
                    silent_since, misses = now, 0
                case list():
                    members.merge_list(event, asked_at=now)
                    heard = silent_since is not None and silent_since < now
                    misses = (misses or 0) + 1 if event is MISSING and heard else 0
            if members.liveness("r1", now) is Liveness.FAILED:
                assert now - silent_since >= SILENCE_SECONDS
                assert misses >= 2


class TestResponsibility:
    def test_two_routers_act(self):
        names = [f"r{i}" for i in range(20)]
        acting = []
        for own in names:
            members = Membership()
            for i, name in enumerate(names):
                members.add(node(name, address=f"10.0.0.{i}:1"))
            members.add(node("dead", address="10.9.9.9:1"))
            members.record_probe("dead", 0.0)
            acting += [own] if members.is_responsible("dead", 9.0, own) else []
        assert len(acting) == 2

    def test_missing_node_without_a_link_is_probed(self):
        members = Membership()
        members.add(node())
        members.merge_list(MISSING, asked_at=1.0)
        assert members.nodes_to_probe() == [node()]
        members.record_probe("r1", 2.0)
        assert members.nodes_to_probe() == []

    def test_list_is_read_more_often_with_a_suspect(self):
        members = Membership()
        members.add(node())
        assert members.is_list_due(0.0)
        members.merge_list(LISTED, asked_at=0.0)
        assert not members.is_list_due(10.0)
        members.record_probe("r1", 1.0)
        assert members.is_list_due(10.0)


class TestRegistration:
    def test_objects_are_added_and_removed(self):
        members = Membership()
        value = msgspec.json.encode(node())
        registered = VersionedObject(kind=NODES, name="r1", version=1, value=value)
        unreadable = VersionedObject(kind=NODES, name="odd", version=2, value=b"?")
        members.apply([registered, unreadable])
        assert members.nodes(0.0, Liveness.STARTING) == [node()]
        members.apply([tombstone(NODES, "r1", 3)])
        assert members.liveness("r1", 0.0) is None

    @pytest.mark.parametrize("fault", ["down", "lost_answers"])
    def test_registers_through_faults(self, fault, monkeypatch):
        monkeypatch.setattr("ragwortkeel.registration.RETRY_SECONDS", 0.01)

        async def main():
            platform = LocalPlatform()
            setattr(platform.switches, fault, 1)
            task = await curio.spawn(register, platform, node())
            await curio.sleep(0.05)
            platform.switches.down = False
            await task.join()
            assert platform.peek(NODES, "r1")
            assert await deregister(platform, node())
            assert platform.peek(NODES, "r1") is None
            assert await deregister(platform, node())
            platform.switches.down = True
            assert not await deregister(platform, node())

        curio.run(main)

    def test_list_is_polled(self):
        async def main():
            platform = LocalPlatform()
            platform.set_live(LISTED)
            members = Membership()
            members.add(node())
            task = await curio.spawn(poll_list, platform, members)
            await curio.sleep(0.05)
            await task.cancel()
            assert members.liveness("r1", 0.0) is Liveness.LIVE
            assert platform.counts.reads == 1

        curio.run(main)
