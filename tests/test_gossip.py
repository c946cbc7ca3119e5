"""Tests of the gossip tasks with an in-memory platform and in-memory links."""

from contextlib import asynccontextmanager
from random import Random

import curio
import msgspec
import pytest

from ragwortkeel.configuration import NODES, PROFILES, SEALS, UPSTREAMS
from ragwortkeel.configuration_exchange import UNKNOWN
from ragwortkeel.configuration_store import KINDS, ConfigurationStore
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.gossip import ExchangePeers, FromPeer, Gossip, Watched
from ragwortkeel.platform import Changes
from ragwortkeel.standins.local_platform import LocalPlatform

IN_FORCE_SECONDS = 20.0
"""Timeout of a test that hangs."""


class Fleet:
    """Gossip processes by name, each with all others as exchange peers."""

    def __init__(self, platform):
        self.platform = platform
        self.gossip_by_name = {}
        self.tasks = {}
        self.partitioned = set()

    async def start(self, name, zone="a", **options):
        store = options.pop("store", None) or ConfigurationStore()

        async def send(peer, message):
            if (
                name in self.partitioned
                or peer in self.partitioned
                or peer not in self.gossip_by_name
            ):
                raise LinkLost(peer)
            envelope = FromPeer(peer=name, revision=store.revision, message=message)
            await self.gossip_by_name[peer].inbox.put(envelope)

        gossip = Gossip(
            name=name,
            zone=zone,
            platform=self.platform,
            store=store,
            send=send,
            random=Random(name),
            **options,
        )
        self.gossip_by_name[name] = gossip
        self.tasks[name] = await curio.spawn(gossip.run)
        await self.send_exchange_peers()
        return store

    async def send_exchange_peers(self):
        for name, gossip in self.gossip_by_name.items():
            others = tuple(one for one in self.gossip_by_name if one != name)
            exchange_peers = ExchangePeers(addresses=others, zone_members=others)
            await gossip.inbox.put(exchange_peers)

    async def stop(self):
        for task in self.tasks.values():
            await task.cancel()


@asynccontextmanager
async def fleet():
    one = Fleet(LocalPlatform())
    try:
        yield one
    finally:
        await one.stop()


async def until(condition):
    async with curio.timeout_after(IN_FORCE_SECONDS):
        while not condition():
            await curio.sleep(0.02)


def run(scenario):
    async def main():
        async with fleet() as one:
            await scenario(one)

    curio.run(main)


class TestInForce:
    def test_change_reaches_all_and_two_watch(self):
        async def scenario(fleet):
            stores = [await fleet.start(f"r{i}") for i in range(5)]
            version = await fleet.platform.create(PROFILES, "chat", b"{}")
            await until(lambda: all(one.rank(PROFILES, "chat") for one in stores))
            assert {one.rank(PROFILES, "chat").version for one in stores} == {version}
            await until(lambda: fleet.platform.counts.open_watches == 2 * len(KINDS))
            assert all(one.complete() for one in fleet.gossip_by_name.values())

        run(scenario)

    def test_start_while_the_platform_is_down(self):
        """A router that starts during an outage receives profiles from its peers.

        It has no stored state and the platform does not answer, but its callers
        use the profiles.
        """

        async def scenario(fleet):
            await fleet.platform.create(PROFILES, "chat", b"{}")
            old = await fleet.start("old")
            await until(lambda: old.size(PROFILES) == 1)
            fleet.platform.switches.down = True
            new = await fleet.start("new")
            await until(lambda: new.size(PROFILES) == 1)
            await until(fleet.gossip_by_name["new"].complete)

        run(scenario)

    def test_partitioned_process_catches_up(self):
        async def scenario(fleet):
            ahead = await fleet.start("r1")
            behind = await fleet.start("r2", follows=False)
            await until(lambda: fleet.gossip_by_name["r2"].complete())
            fleet.partitioned.add("r2")
            for i in range(300):
                await fleet.platform.create(PROFILES, f"p{i}", b"{}")
            await until(lambda: ahead.size(PROFILES) == 300)
            fleet.platform.switches.down = True
            assert behind.size(PROFILES) < 300
            fleet.partitioned.clear()
            await until(lambda: behind.size(PROFILES) == 300)

        run(scenario)

    def test_listener_receives_each_object_once(self):
        async def scenario(fleet):
            received = []

            async def listener(objects):
                received.extend(one.name for one in objects)

            await fleet.start("r1")
            store = await fleet.start("r2", listener=listener)
            await fleet.platform.create(PROFILES, "chat", b"{}")
            await until(lambda: store.size(PROFILES) == 1)
            await curio.sleep(0.5)
            assert received == ["chat"]

        run(scenario)


class TestDeletions:
    @pytest.mark.parametrize(
        ("kind", "is_deleted"), [(NODES, True), (SEALS, True), (PROFILES, False)]
    )
    @pytest.mark.parametrize("skips", [0, 1])
    def test_objects_of_operators_are_not_deleted(self, kind, is_deleted, skips):
        async def scenario(fleet):
            store = await fleet.start("r1")
            version = await fleet.platform.create(kind, "x", b"{}")
            await until(lambda: store.rank(kind, "x"))
            fleet.platform.switches.watch_skips = skips
            await fleet.platform.delete(kind, "x", version)
            if is_deleted:
                await until(lambda: store.rank(kind, "x").gone)
            else:
                await curio.sleep(0.3)
                assert not store.rank(kind, "x").gone

        run(scenario)


class TestSidecar:
    def test_receives_its_upstream_and_seals_from_a_router(self):
        async def scenario(fleet):
            await fleet.start("r1")
            only = ConfigurationStore(
                kinds=(UPSTREAMS, SEALS), only={UPSTREAMS: frozenset({"own"})}
            )
            version = await fleet.platform.create(UPSTREAMS, "own", b"{}")
            await fleet.platform.create(UPSTREAMS, "other", b"{}")
            await fleet.start("s1", store=only, follows=False)
            await until(lambda: only.rank(UPSTREAMS, "own"))
            draining = msgspec.json.encode({"state": "draining"})
            await fleet.platform.update(UPSTREAMS, "own", draining, version)
            await fleet.platform.create(SEALS, "r9", b"{}")
            await until(lambda: only.get(UPSTREAMS, "own").value == draining)
            await until(lambda: only.rank(SEALS, "r9"))
            assert only.size(UPSTREAMS) == 1

        run(scenario)

    def test_refresh_is_bounded(self):
        async def scenario(fleet):
            store = await fleet.start("r1", follows=False)
            await fleet.platform.create(PROFILES, "new", b"{}")
            gossip = fleet.gossip_by_name["r1"]
            assert await gossip.refresh(PROFILES, "new")
            assert store.rank(PROFILES, "new")
            reads = fleet.platform.counts.reads
            assert not await gossip.refresh(PROFILES, "no-such")
            assert fleet.platform.counts.reads == reads

        run(scenario)


class TestGaps:
    def test_a_gap_makes_nothing_complete(self):
        """A watch with a gap does not make the content complete.

        Otherwise the process would forward this to its peers, and none of them
        would list the changes that the platform left out.
        """

        async def scenario(fleet):
            fleet.platform.switches.down = True
            await fleet.start("r1")
            gossip = fleet.gossip_by_name["r1"]
            gap = Changes(changes=(), revision=9, gap=True)
            event = Watched(kind=PROFILES, changes=gap)
            await gossip.inbox.put(event)
            await event.applied.wait()
            assert gossip.exchange.complete_by_kind[PROFILES] == UNKNOWN

        run(scenario)


class TestFallback:
    def test_fallback_for_stopped_watchers(self, monkeypatch):
        """Other processes watch if both watchers of a zone stop but stay registered.

        By the list of members they still are the zone's watchers; without a
        fallback nobody would receive a change from the platform.
        """
        monkeypatch.setattr(
            "ragwortkeel.configuration_schedule.STALE_RANGE_SECONDS", (0.5, 1.0)
        )

        async def scenario(fleet):
            stores = {
                name: await fleet.start(name) for name in ("r1", "r2", "r3", "r4")
            }
            gossips = fleet.gossip_by_name
            await until(lambda: all(one.complete() for one in gossips.values()))
            await until(lambda: sum(one.watching for one in gossips.values()) == 2)
            for name in [one for one in stores if gossips[one].watching]:
                await fleet.tasks.pop(name).cancel()
                fleet.partitioned.add(name)
                del stores[name]
            await fleet.platform.create(PROFILES, "chat", b"{}")
            await until(
                lambda: all(one.rank(PROFILES, "chat") for one in stores.values())
            )

        run(scenario)
