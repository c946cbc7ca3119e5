"""Processes that are gone for good, and processes that were only thought to be."""

import curio
import pytest
from tests.ingress.test_renewals import CUSTOMER, run_two

from ragwortkeel.budget import gone_holders
from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.ingress import renewals
from ragwortkeel.ingress.ledger_store import SHARD_NAME

GONE_SECONDS = 0.6


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(gone_holders, "GONE_SECONDS", GONE_SECONDS)
    monkeypatch.setattr(renewals, "CLOSED_DOUBT_SECONDS", GONE_SECONDS / 2)


async def holders(platform):
    """Return who holds grants of the customer."""
    stored = await platform.get(SHARDS_KIND, SHARD_NAME)
    return set(decode_shard(stored.value).ledger_by_customer[CUSTOMER].grants)


async def until_closed(platform, holder):
    while holder in await holders(platform):
        await curio.sleep(0.05)


def test_tokens_of_a_process_that_never_returns_are_granted_again():
    """Guards against refusals for good of a customer after the loss of a process."""

    async def scenario(platform, first, second):
        await second.served(20_000)
        gone = second.allowances.holder
        assert gone in await holders(platform)
        await second.task.cancel()
        first.peers.peer = None
        await until_closed(platform, gone)
        await first.served(60_000)
        return gone in await holders(platform)

    assert not run_two(scenario)


@pytest.mark.parametrize("delegates", [True, False])
def test_a_process_whose_grants_were_closed_renews_again(delegates):
    """Guards against a process that refuses its callers for good after a partition."""

    async def scenario(platform, first, second):
        await second.served(1_000)
        before = second.allowances.holder
        await second.task.cancel()
        first.peers.peer = None
        await until_closed(platform, before)
        first.peers.peer = second.renewals
        if not delegates:
            second.peers.own_rank = 0
        second.task = await curio.spawn(second.renewals.run, daemon=True)
        await second.served(5_000)
        return before, second.allowances.holder, await holders(platform)

    before, after, found = run_two(scenario)
    assert after != before
    assert found & {before, after} == {after}
