"""Decisions on prompt blocks in the platform."""

from time import time

import curio
import msgspec
import pytest
from curio.task import ContextTask

from ragwortkeel.exceptions import PlatformUnavailable, ValueRefused
from ragwortkeel.ingress.block_store import (
    BLOCKS_KIND,
    RETRY_SECONDS,
    BlockStore,
    StoredDecision,
    object_name,
)
from ragwortkeel.policy.block_quarantine import RETENTION_SECONDS, Decision
from ragwortkeel.policy.crash_evidence import Accusation
from ragwortkeel.standins.local_platform import LocalPlatform

NOW_MS = int(time() * 1000)
REFUSED = Decision(block="bad", stamp=NOW_MS)
ACCUSATION = Accusation(
    crash_ids=frozenset({"u1/5/0"}), requests=frozenset({"f1"}), waves=1, depth=0
)


def run(scenario, platform=None):
    """Run ``scenario(store, platform)`` beside the store's writer."""

    async def main():
        shared = platform or LocalPlatform()
        store = BlockStore(platform=shared, node="n", is_watcher=lambda: True)
        writing = await curio.spawn(store.write, daemon=True)
        try:
            async with curio.timeout_after(10):
                return await scenario(store, shared)
        finally:
            await writing.cancel()

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


async def stored_decision(platform, *, stamp=0):
    """Return the stored decision once it is as late as `stamp`."""
    while True:
        try:
            stored = await platform.get(BLOCKS_KIND, object_name("bad"))
        except PlatformUnavailable:
            stored = None
        if stored is not None:
            value = msgspec.json.decode(stored.value, type=StoredDecision)
            if value.stamp >= stamp:
                return value
        await curio.sleep(0.01)


async def first_read(store):
    """Return what a process that starts now reads."""
    read = []
    following = await curio.spawn(store.follow, read.append, daemon=True)
    while not read:
        await curio.sleep(0.01)
    await following.cancel()
    return list(read[0])


def test_a_decision_outlives_its_process():
    """Guards against a loss of power of all processes, after which nobody knows."""

    async def scenario(store, platform):
        await store.save(REFUSED, ACCUSATION)
        value = await stored_decision(platform)
        later = BlockStore(platform=platform, node="m", is_watcher=lambda: False)
        return value, await first_read(later)

    value, read = run(scenario)
    assert read == [REFUSED]
    assert (value.crashes, value.requests) == (("u1/5/0",), ("f1",))


@pytest.mark.parametrize("fault", [{"down": True}, {"lost_answers": 1}])
def test_a_decision_is_written_in_spite_of_a_fault_of_the_platform(fault):
    async def scenario(store, platform):
        for name, value in fault.items():
            setattr(platform.switches, name, value)
        await store.save(REFUSED, ACCUSATION)
        await curio.sleep(RETRY_SECONDS / 2)
        platform.switches.down = False
        return await stored_decision(platform)

    assert run(scenario).block == "bad"


class RefusingPlatform(LocalPlatform):
    """A platform that refuses each create of a decision, and each delete, once."""

    def __init__(self):
        super().__init__()
        self.refuses_create = self.refuses_delete = True

    async def create(self, kind, name, value):
        if self.refuses_create:
            self.refuses_create = False
            raise ValueRefused("status 400")
        return await super().create(kind, name, value)

    async def delete(self, kind, name, version):
        if self.refuses_delete:
            self.refuses_delete = False
            raise ValueRefused("status 400")
        await super().delete(kind, name, version)


def test_a_refused_write_stops_neither_later_writes_nor_reads():
    """Guards against a process that ends as the platform refuses one decision."""

    async def scenario(store, platform):
        stamp = NOW_MS - int(RETENTION_SECONDS * 1000) - 1
        for decision in (Decision(block="refused", stamp=NOW_MS), REFUSED):
            await store.save(decision, None)
        await stored_decision(platform)
        old = StoredDecision(block="old", stamp=stamp)
        await platform.create(BLOCKS_KIND, "old", msgspec.json.encode(old))
        return await first_read(store)

    assert run(scenario, RefusingPlatform()) == [REFUSED]


def test_a_later_decision_replaces_an_earlier_one_and_not_the_reverse():
    """Guards against a process that takes an operator's release back."""

    async def scenario(store, platform):
        release = Decision(block="bad", stamp=NOW_MS + 1, refused=False)
        for decision in (REFUSED, release, REFUSED):
            await store.save(decision, None)
        await stored_decision(platform, stamp=release.stamp)
        await curio.sleep(RETRY_SECONDS)
        return await first_read(store)

    (decision,) = run(scenario)
    assert not decision.refused


def test_decisions_that_are_too_old_are_deleted():
    async def scenario(store, platform):
        stamp = NOW_MS - int(RETENTION_SECONDS * 1000) - 1
        await store.save(Decision(block="bad", stamp=stamp), None)
        await stored_decision(platform)
        return await first_read(store), (await platform.list(BLOCKS_KIND)).by_name

    assert run(scenario) == ([], {})


def test_objects_that_cannot_be_read_hide_no_others():
    async def scenario(store, platform):
        await platform.create(BLOCKS_KIND, "foreign", b"{")
        await store.save(REFUSED, None)
        await stored_decision(platform)
        return await first_read(store)

    assert run(scenario) == [REFUSED]
