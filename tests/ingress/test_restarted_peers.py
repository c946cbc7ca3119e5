"""Renewals and their outcomes across starts of the processes that exchange them."""

import curio
import pytest
from tests.ingress.test_renewals import CUSTOMER, PATIENCE, Process

from ragwortkeel.budget import renewal_replies
from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import read_clocks
from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.messages import RenewalsWritten, WriteOutcome
from ragwortkeel.standins.local_platform import LocalPlatform


def run_writer(scenario):
    """Run a scenario with one process that writes, and a start of another."""

    async def main():
        platform = LocalPlatform()
        writer = Process(platform, name="a", rank=0)
        await writer.start()
        try:
            async with curio.timeout_after(PATIENCE):
                return await scenario(platform, writer)
        finally:
            await writer.task.cancel()

    return curio.run(main)


async def read_shard(platform):
    """Return the ledgers as the platform stores them."""
    return decode_shard((await platform.get(SHARDS_KIND, SHARD_NAME)).value)


def started_again(shard, holder):
    """Return the allowances and the renewals of a process's new start."""
    allowances = Allowances(holder=holder, started=read_clocks())
    allowances.resolve(shard)
    allowances.account(CUSTOMER).waiting_tokens = 100
    delegated = allowances.delegate_renewals(
        read_clocks(), urgent=True, start=allowances.start(shard)
    )
    return allowances, delegated


async def outcomes(writer, count):
    """Wait for outcomes that the writer has sent; return them."""
    while len(writer.peers.outcomes) < count and not writer.task.terminated:
        await curio.sleep(0.01)
    return [answer.outcome for answer in writer.peers.outcomes]


def test_renewals_of_two_starts_of_a_process_in_one_write_end_no_process():
    """Guards against a writer that ends as a peer was killed and started again."""

    async def scenario(platform, writer):
        first, delegated = started_again(await read_shard(platform), "b/1")
        await writer.renewals.receive_renewals(delegated)
        await outcomes(writer, 1)
        shard = await read_shard(platform)
        first.resolve(shard)
        first.account(CUSTOMER).waiting_tokens = 5_000
        late = first.delegate_renewals(read_clocks(), urgent=True)
        _, delegated = started_again(shard, "b/2")
        writer.peers.outcomes.clear()
        await writer.renewals.receive_renewals(late)
        await writer.renewals.receive_renewals(delegated)
        found = await outcomes(writer, 2)
        return found, await read_shard(platform), writer.task.terminated

    found, shard, ended = run_writer(scenario)
    assert not ended
    assert found == [WriteOutcome.UNKNOWN, WriteOutcome.DONE]
    assert shard.ledger_by_customer[CUSTOMER].grants.keys() >= {"b/2"}
    assert "b/1" not in shard.stamp_by_holder


class TestFaultyRenewals:
    @pytest.mark.parametrize(
        ("step", "outcome"),
        [
            ("apply_delegated", WriteOutcome.NOT_DONE),
            ("success_reply", WriteOutcome.UNKNOWN),
        ],
    )
    def test_they_cost_their_sender_only(self, monkeypatch, step, outcome):
        """Guards against a writer that ends by an error in the renewals of one peer."""
        original = getattr(renewal_replies, step)

        def fail_for_b(*args):
            if any(getattr(value, "holder", "") == "b/1" for value in args):
                raise KeyError("a fault")
            return original(*args)

        monkeypatch.setattr(renewal_replies, step, fail_for_b)

        async def scenario(platform, writer):
            shard = await read_shard(platform)
            for holder in ("b/1", "c/1"):
                _, delegated = started_again(shard, holder)
                await writer.renewals.receive_renewals(delegated)
            await outcomes(writer, 2)
            found = {each.holder: each.outcome for each in writer.peers.outcomes}
            stored = await read_shard(platform)
            return found, stored.stamp_by_holder.keys(), writer.task.terminated

        found, stored, ended = run_writer(scenario)
        assert not ended
        assert found == {"b/1": outcome, "c/1": WriteOutcome.DONE}
        assert ("b/1" in stored) == (outcome is WriteOutcome.UNKNOWN)
        assert "c/1" in stored


class TestOutcomesOfAnotherStart:
    """Both starts count their nonces from 1, so only the holder tells them apart."""

    def answers(self, holder):
        """Return a process's free tokens and reachability after an answer to `holder`.

        The answer grants all tokens, with the nonce of a renewal that is pending here
        and was not written.
        """

        async def scenario(platform, writer):
            await writer.task.cancel()
            account = writer.account
            account.waiting_tokens = 90_000
            shard = await read_shard(platform)
            writer.allowances.resolve(shard)
            delegated = writer.renewals.receive_renewal_call()
            pending = delegated.renewal_by_customer[CUSTOMER]
            ledger = shard.ledger_by_customer[CUSTOMER].renew(pending)
            done = RenewalsWritten(
                boot=delegated.stamp.boot - 1.0,
                holder=holder,
                outcome=WriteOutcome.DONE,
                grant_by_customer={CUSTOMER: ledger.grants["a/1"]},
                summary_by_customer={CUSTOMER: ledger},
            )
            down = RenewalsWritten(
                boot=delegated.stamp.boot - 1.0,
                holder=holder,
                outcome=WriteOutcome.UNREACHABLE,
            )
            before = account.free
            await writer.renewals.receive_renewals_written(done)
            await writer.renewals.receive_renewals_written(down)
            return account.free - before, writer.renewals.reachable

        return run_writer(scenario)

    @pytest.mark.parametrize("holder", ["a/0", ""], ids=["named", "older build"])
    def test_they_change_nothing(self, holder):
        """Guards against tokens that were granted to an earlier start of a process."""
        assert self.answers(holder) == (0, True)

    def test_the_same_answers_to_this_start_change_both(self):
        tokens, reachable = self.answers("a/1")
        assert tokens > 0
        assert not reachable
