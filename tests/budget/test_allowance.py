"""Sizes of slices and caps of ingress processes."""

from ragwortkeel.budget.account import YIELD_SECONDS
from ragwortkeel.budget.allowance import (
    HEADROOM_RENEWALS,
    HEADROOM_SECONDS,
    LONGEST_RENEWAL_SECONDS,
    Allowances,
)
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.shards import Shard

PREPAID = 1_000_000


def reading(now):
    return Reading(monotonic=now, boot=now, wall=now)


def busy(renewal_seconds, *, seconds=20, per_second=1000):
    """Return allowances and shard after even demand with renewals of this duration."""
    allowances = Allowances(holder="i/1", started=reading(0.0))
    shard = Shard().provisioned({"surco": PREPAID}, revision=1)
    for second in range(1, seconds):
        allowances.record_demand("surco", per_second, float(second))
        allowances.record_renewal_seconds(renewal_seconds)
        shard = allowances.renewed(shard, reading(float(second)))
        allowances.resolve(shard)
    return allowances, shard


class TestCaps:
    def test_a_fast_platform_needs_little_headroom(self):
        allowances, _ = busy(0.02)
        assert allowances.headroom_seconds == HEADROOM_SECONDS

    def test_a_slow_platform_gets_caps_that_last_until_the_next_renewal(self):
        """Guards against refusals for seconds although the slice has the tokens.

        On a slow platform, with four processes that write to one ledger, a renewal
        takes 2 s and the cap covers the demand of 1 s.
        """
        # The demand is well above the minimum headroom of every cap, which would
        # otherwise pass the test alone.
        allowances, _ = busy(2.0, per_second=10_000)
        account = allowances.account("surco")
        assert account.cap_headroom >= 2 * 2.0 * 10_000
        assert account.free >= account.cap_headroom

    def test_a_request_that_waits_for_headroom_gets_it_by_one_renewal(self):
        """Guards against a refusal although tokens are available.

        The cap has headroom for most of a large request.  A renewal that adds only the
        shortfall to a new cap leaves less headroom than before.
        """
        allowances, shard = busy(0.5, per_second=10_000)
        account = allowances.account("surco")
        large_request_tokens = account.cap_headroom + 500
        assert large_request_tokens < account.free
        assert account.reserve(large_request_tokens) is None
        account.waiting_tokens = large_request_tokens
        allowances.resolve(allowances.renewed(shard, reading(20.0)))
        assert account.reserve(large_request_tokens) is not None

    def test_tokens_that_a_request_waits_for_are_not_given_back(self):
        """Guards against a renewal that gives back tokens a waiting request needs."""
        allowances, shard = busy(0.5)
        account = allowances.account("surco")
        account.waiting_tokens = account.free
        late = reading(400.0)
        shard = allowances.renewed(shard, late)
        allowances.resolve(shard)
        assert account.reserve(account.waiting_tokens) is not None

    def test_an_outage_does_not_count_as_a_slow_renewal(self):
        allowances, _ = busy(60.0)
        longest = HEADROOM_RENEWALS * LONGEST_RENEWAL_SECONDS
        assert allowances.headroom_seconds <= longest


class TestSlices:
    def test_a_customer_without_demand_has_tokens_for_an_outage(self):
        allowances, shard = busy(0.5)
        assert allowances.account("surco").free > 0
        other = Shard().provisioned({"maule": PREPAID}, revision=1)
        allowances = Allowances(holder="i/1", started=reading(0.0))
        allowances.resolve(allowances.renewed(other, reading(1.0)))
        assert allowances.account("maule").free > 0

    def test_tokens_that_another_process_lacks_are_given_back(self):
        """Guards against refusals at one process while another holds free tokens."""
        allowances, shard = busy(0.5)
        account = allowances.account("surco")
        rest_before = shard.ledger_by_customer["surco"].rest
        account.recall(account.free)
        recalled = account.free
        shard = allowances.renewed(shard, reading(20.0))
        allowances.resolve(shard)
        assert shard.ledger_by_customer["surco"].rest == rest_before + recalled
        assert not account.returning

    def test_tokens_given_back_are_left_to_the_process_that_lacks_them(self):
        """Guards against tokens that go back and forth while a peer waits for them."""
        allowances, shard = busy(0.5)
        account = allowances.account("surco")
        account.recall(account.free)
        shard = allowances.renewed(shard, reading(20.0))
        allowances.resolve(shard)
        rest = shard.ledger_by_customer["surco"].rest
        shard = allowances.renewed(shard, reading(20.0 + YIELD_SECONDS / 2))
        allowances.resolve(shard)
        assert shard.ledger_by_customer["surco"].rest == rest
        account.waiting_tokens = 500
        shard = allowances.renewed(shard, reading(20.1 + YIELD_SECONDS / 2))
        allowances.resolve(shard)
        assert account.reserve(500) is not None
        account.waiting_tokens = 0
        shard = allowances.renewed(shard, reading(20.2 + YIELD_SECONDS))
        assert shard.ledger_by_customer["surco"].rest < rest - 500

    def test_an_older_configuration_does_not_undo_a_top_up(self):
        _, shard = busy(0.5)
        topped = shard.provisioned({"surco": 2 * PREPAID}, revision=3)
        assert topped.provisioned({"surco": PREPAID}, revision=2) == topped
