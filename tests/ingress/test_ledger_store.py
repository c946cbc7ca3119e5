"""The object with the ledgers: number of calls, and outcomes of writes."""

import curio
import pytest

from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import OutcomeUnknown, VersionConflict
from ragwortkeel.ingress.ledger_store import LedgerStore
from ragwortkeel.standins.local_platform import LocalPlatform


def shard(prepaid):
    return Shard().provisioned({"surco": prepaid}, revision=1)


def with_two(scenario):
    """Run a scenario of two processes that share one object with ledgers."""

    async def main():
        platform = LocalPlatform()
        first, second = (LedgerStore(platform=platform) for _ in range(2))
        await first.read()
        await first.write(shard(1))
        await second.read()
        return await scenario(platform, first, second)

    return curio.run(main)


class TestCalls:
    def test_a_refusal_includes_the_ledgers_of_the_other_write(self):
        async def scenario(platform, first, second):
            await first.read()
            await first.write(shard(2))
            with pytest.raises(VersionConflict):
                await second.write(shard(3))
            reads = platform.counts.reads
            found = await second.read()
            assert platform.counts.reads == reads
            return found, second.writes_superseded

        assert with_two(scenario) == (shard(2), True)

    def test_a_copy_older_than_the_own_write_is_ignored(self):
        async def scenario(platform, first, second):
            async def lagging(kind, name, *, stale=False):
                return old

            old = await platform.get("customer-ledgers", "shard-0")
            await first.read()
            await first.write(shard(2))
            platform.get = lagging
            return await first.read()

        assert with_two(scenario) == shard(2)


class TestDoubt:
    def test_a_write_without_an_answer_is_in_doubt_until_another_version(self):
        """Guards against tokens that are returned to the ledger and spent as well.

        A write returns tokens and its answer is lost.  The process must not spend them
        as if the write had been refused: it may succeed later.
        """

        async def scenario(platform, first, second):
            async def silent(kind, name, value, version):
                raise OutcomeUnknown("no answer")

            update, platform.update = platform.update, silent
            await first.read()
            with pytest.raises(OutcomeUnknown):
                await first.write(shard(2))
            platform.update = update
            await first.read()
            before = first.in_doubt, first.writes_superseded
            await second.write(shard(3))
            await first.read()
            return before, (first.in_doubt, first.writes_superseded)

        assert with_two(scenario) == ((True, False), (False, True))

    def test_a_successful_write_without_an_answer_is_detected(self):
        async def scenario(platform, first, second):
            platform.switches.lost_answers = 1
            await first.read()
            with pytest.raises(OutcomeUnknown):
                await first.write(shard(2))
            return await first.read(), first.in_doubt

        assert with_two(scenario) == (shard(2), False)


def test_an_older_read_does_not_supersede_a_late_write():
    """Guards against overspending when a late write counts as refused.

    The answer of the write is lost.  Then an outdated copy is read and a write that is
    conditional on it refused.  The ledgers that come with the refusal are of a later
    version than that of the second write only.
    """

    async def scenario(platform, first, second):
        await first.read()
        old = await platform.get("customer-ledgers", "shard-0")
        await second.read()
        await second.write(shard(2))
        newest = await platform.get("customer-ledgers", "shard-0")
        await first.read(stale=False)

        async def silent(*args):
            raise OutcomeUnknown("no answer")

        platform.update, update = silent, platform.update
        with pytest.raises(OutcomeUnknown):
            await first.write(shard(3))
        platform.update = update

        async def lagging(kind, name, *, stale=False):
            return old if stale else newest

        platform.get = lagging
        await first.read()
        with pytest.raises(VersionConflict):
            await first.write(shard(4))
        await first.read()
        return first.writes_superseded

    assert not with_two(scenario)
