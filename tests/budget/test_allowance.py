"""Sizes of slices and caps, and what they answer."""

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


def busy(took, *, seconds=20, per_second=1000):
    """Return an account after seconds of even demand; renewals take so long."""
    allowances = Allowances(holder="i/1", started=reading(0.0))
    shard = Shard().provisioned({"surco": PREPAID}, revision=1)
    for second in range(1, seconds):
        allowances.record_demand("surco", per_second, float(second))
        allowances.record_renewal_seconds(took)
        shard = allowances.renewed(shard, reading(float(second)))
        allowances.resolve(shard)
    return allowances, shard


class TestCaps:
    def test_a_quick_platform_needs_little_room(self):
        allowances, _ = busy(0.02)
        assert allowances.headroom_seconds == HEADROOM_SECONDS

    def test_a_slow_platform_gets_caps_that_last_until_the_next_renewal(self):
        """Callers are refused for seconds although their tokens lie in the slice.

        The platform was slow and four processes wrote to one ledger; each renewal
        took two seconds, and the cap held the demand of one.
        """
        # Well above the least room that every cap has, or that alone would do.
        allowances, _ = busy(2.0, per_second=10_000)
        account = allowances.account("surco")
        assert account.cap_headroom >= 2 * 2.0 * 10_000
        assert account.free >= account.cap_headroom

    def test_a_request_that_waits_for_room_gets_it_by_one_renewal(self):
        """A caller is refused though the platform answers and its tokens are there.

        The cap left room for most of a large request.  The renewal added only what
        was missing, to a cap counted anew, which left less room than before.
        """
        allowances, shard = busy(0.5, per_second=10_000)
        account = allowances.account("surco")
        large = account.cap_headroom + 500
        assert large < account.free
        assert account.reserve(large) is None
        account.waiting_tokens = large
        allowances.resolve(allowances.renewed(shard, reading(20.0)))
        assert account.reserve(large) is not None

    def test_nothing_is_given_back_that_a_request_waits_for(self):
        """The same, once more: the slice gave back what was to be set aside."""
        allowances, shard = busy(0.5)
        account = allowances.account("surco")
        account.waiting_tokens = account.free
        late = reading(400.0)
        shard = allowances.renewed(shard, late)
        allowances.resolve(shard)
        assert account.reserve(account.waiting_tokens) is not None

    def test_an_outage_counts_as_no_slow_renewal(self):
        allowances, _ = busy(60.0)
        longest = HEADROOM_RENEWALS * LONGEST_RENEWAL_SECONDS
        assert allowances.headroom_seconds <= longest


class TestSlices:
    def test_a_customer_without_demand_has_something_for_an_outage(self):
        allowances, shard = busy(0.5)
        assert allowances.account("surco").free > 0
        other = Shard().provisioned({"maule": PREPAID}, revision=1)
        allowances = Allowances(holder="i/1", started=reading(0.0))
        allowances.resolve(allowances.renewed(other, reading(1.0)))
        assert allowances.account("maule").free > 0

    def test_what_another_process_lacks_goes_back(self):
        """Callers of one process are refused while another sits on the tokens."""
        allowances, shard = busy(0.5)
        account = allowances.account("surco")
        rest = shard.ledger_by_customer["surco"].rest
        account.recall(account.free)
        recalled = account.free
        shard = allowances.renewed(shard, reading(20.0))
        allowances.resolve(shard)
        assert shard.ledger_by_customer["surco"].rest == rest + recalled
        assert not account.returning

    def test_an_older_configuration_undoes_no_top_up(self):
        _, shard = busy(0.5)
        topped = shard.provisioned({"surco": 2 * PREPAID}, revision=3)
        assert topped.provisioned({"surco": PREPAID}, revision=2) == topped
