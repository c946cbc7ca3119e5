"""The object with the ledgers: few calls, and what a refusal lets conclude."""

import curio
import pytest

from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import OutcomeUnknown, VersionConflict
from ragwortkeel.ingress.ledger_store import LedgerStore
from ragwortkeel.standins.local_platform import LocalPlatform


def shard(prepaid):
    return Shard().provisioned({"surco": prepaid}, revision=1)


def with_two(scenario):
    """Run a scenario of two processes whose ledgers are the same object."""

    async def main():
        platform = LocalPlatform()
        one, other = (LedgerStore(platform=platform) for _ in range(2))
        await one.read()
        await one.write(shard(1))
        await other.read()
        return await scenario(platform, one, other)

    return curio.run(main)


class TestCalls:
    def test_a_refused_write_brings_what_another_wrote(self):
        async def scenario(platform, one, other):
            await one.read()
            await one.write(shard(2))
            with pytest.raises(VersionConflict):
                await other.write(shard(3))
            reads = platform.counts.reads
            found = await other.read()
            assert platform.counts.reads == reads
            return found, other.writes_superseded

        assert with_two(scenario) == (shard(2), True)

    def test_an_older_copy_than_the_own_write_is_not_taken(self):
        async def scenario(platform, one, other):
            async def lagging(kind, name, *, stale=False):
                return old

            old = await platform.get("customer-ledgers", "shard-0")
            await one.read()
            await one.write(shard(2))
            platform.get = lagging
            return await one.read()

        assert with_two(scenario) == shard(2)


class TestDoubt:
    def test_a_write_without_an_answer_is_in_doubt_until_another_version(self):
        """A customer gets more than it paid for.

        A write gave tokens back and its answer was lost; the process took that for
        refused and spent them, then the write was done after all.
        """

        async def scenario(platform, one, other):
            async def silent(kind, name, value, version):
                raise OutcomeUnknown("no answer")

            update, platform.update = platform.update, silent
            await one.read()
            with pytest.raises(OutcomeUnknown):
                await one.write(shard(2))
            platform.update = update
            await one.read()
            before = one.in_doubt, one.writes_superseded
            await other.write(shard(3))
            await one.read()
            return before, (one.in_doubt, one.writes_superseded)

        assert with_two(scenario) == ((True, False), (False, True))

    def test_a_write_that_was_done_without_an_answer_is_found(self):
        async def scenario(platform, one, other):
            platform.switches.lost_answers = 1
            await one.read()
            with pytest.raises(OutcomeUnknown):
                await one.write(shard(2))
            return await one.read(), one.in_doubt

        assert with_two(scenario) == (shard(2), False)


def test_an_older_read_does_not_make_a_late_write_void():
    """A customer gets more than it paid for: a write that was late is taken for void.

    Its answer was lost; then a lagging copy was read and a write on top of that
    refused, and what the refusal brought was later than *that* write only.
    """

    async def scenario(platform, one, other):
        await one.read()
        old = await platform.get("customer-ledgers", "shard-0")
        await other.read()
        await other.write(shard(2))
        newest = await platform.get("customer-ledgers", "shard-0")
        await one.read(stale=False)

        async def silent(*args):
            raise OutcomeUnknown("no answer")

        platform.update, update = silent, platform.update
        with pytest.raises(OutcomeUnknown):
            await one.write(shard(3))
        platform.update = update

        async def lagging(kind, name, *, stale=False):
            return old if stale else newest

        platform.get = lagging
        await one.read()
        with pytest.raises(VersionConflict):
            await one.write(shard(4))
        await one.read()
        return one.writes_superseded

    assert not with_two(scenario)
