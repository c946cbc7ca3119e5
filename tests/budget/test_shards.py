"""Renewals that one process hands to another, which may be late or doubled."""

import msgspec
import pytest

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.delegation import apply_delegated
from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.shards import Shard, decode_shard, encode_shard
from ragwortkeel.exceptions import LedgerUnreadable, RenewalVoid
from ragwortkeel.messages import RenewalsWritten, WriteOutcome

CUSTOMER = "surco"


def reading(now):
    return Reading(monotonic=now, boot=now, wall=now)


def started(prepaid=10_000):
    """Return a process that has written once by itself, and the shard."""
    allowances = Allowances(holder="i/1", started=reading(0.0))
    shard = Shard().provisioned({CUSTOMER: prepaid}, revision=1)
    allowances.record_demand(CUSTOMER, 500, 0.5)
    shard = allowances.renewed(shard, reading(1.0))
    allowances.resolve(shard)
    return allowances, shard


def asks(allowances, now, tokens=2_000):
    allowances.account(CUSTOMER).waiting_tokens = tokens
    return allowances.delegate_renewals(reading(now), urgent=True)


def answer(shard, handed):
    grant = shard.ledger_by_customer[CUSTOMER].grants[handed.holder]
    return RenewalsWritten(
        boot=handed.stamp.boot,
        outcome=WriteOutcome.DONE,
        grant_by_customer={CUSTOMER: grant},
        summary_by_customer=shard.summaries(),
    )


def test_a_peer_writes_what_it_is_handed():
    allowances, shard = started()
    handed = asks(allowances, 2.0)
    shard = apply_delegated(shard, handed)
    allowances.receive_written(answer(shard, handed))
    assert allowances.account(CUSTOMER).reserve(2_000) is not None
    assert shard.stamp_by_holder["i/1"].boot == 2.0


def test_a_message_that_comes_late_changes_nothing():
    """A customer gets more than it paid for: tokens were given back twice.

    A process handed its renewal over, got no answer in time and wrote by itself;
    then the first message was written too.
    """
    allowances, shard = started()
    late = asks(allowances, 2.0)
    shard = allowances.renewed(shard, reading(2.1))
    allowances.resolve(shard)
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, late)


def test_the_same_renewal_in_two_messages_counts_once():
    allowances, shard = started()
    first = asks(allowances, 2.0)
    second = asks(allowances, 2.2)
    shard = apply_delegated(shard, first)
    granted = shard.ledger_by_customer[CUSTOMER].grants["i/1"].granted
    shard = apply_delegated(shard, second)
    assert shard.ledger_by_customer[CUSTOMER].grants["i/1"].granted == granted
    assert shard.stamp_by_holder["i/1"].boot == 2.2


def test_a_new_stamp_never_stands_beside_a_cap_that_was_outgrown():
    """A customer gets more than it paid for after a kill that followed an outage.

    The first message was written but its answer was lost; the process went on
    spending as its cap had grown, and said the same renewal again.  The second
    message renewed the stamp and left the cap as small as in the first.
    """
    allowances, shard = started()
    first = asks(allowances, 2.0)
    shard = apply_delegated(shard, first)
    account = allowances.account(CUSTOMER)
    account.waiting_tokens = 0
    allowances.grow(200.0)
    hold = account.reserve(account.available)
    assert hold is not None
    assert hold.tokens > first.renewal_by_customer[CUSTOMER].cap
    shard = apply_delegated(
        shard, allowances.delegate_renewals(reading(202.0), urgent=False)
    )
    cap = shard.ledger_by_customer[CUSTOMER].grants["i/1"].cap
    assert cap >= hold.tokens


@pytest.mark.parametrize("after", ["closed", "merged"])
def test_a_message_of_a_process_that_is_gone_revives_nothing(after):
    """Tokens are stranded: a stopped process's last message made its grant anew."""
    allowances, shard = started()
    late = asks(allowances, 2.0)
    if after == "closed":
        shard = allowances.closed(shard)
    else:
        successor = Allowances(holder="i/2", started=reading(3.0))
        shard = successor.charge_predecessors(shard)
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, late)


def test_nobody_renews_in_anothers_name():
    allowances, shard = started()
    handed = asks(allowances, 2.0)
    shard = msgspec.structs.replace(
        shard,
        stamp_by_holder=shard.stamp_by_holder | {"j/1": reading(0.5).stamp},
    )
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, msgspec.structs.replace(handed, holder="j/1"))


def starts(allowances, shard, now):
    allowances.resolve(shard)
    start = allowances.start(shard)
    return allowances.delegate_renewals(reading(now), urgent=False, start=start)


def test_a_process_without_a_start_does_not_come_in():
    _, shard = started()
    stranger = Allowances(holder="j/1", started=reading(0.0))
    stranger.resolve(shard)
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, stranger.delegate_renewals(reading(1.0), urgent=True))


def test_a_peer_writes_the_first_grants_of_a_process_that_is_outrun():
    """Callers of most processes are refused for good after all were restarted.

    One process wrote for those that had got their own first write through, thirty
    times a second, and no other got one through beside it.
    """
    _, shard = started()
    newcomer = Allowances(holder="j/1", started=reading(0.0))
    handed = starts(newcomer, shard, 5.0)
    shard = apply_delegated(shard, handed)
    newcomer.receive_written(answer(shard, handed))
    assert newcomer.account(CUSTOMER).free > 0
    assert not newcomer.lacks_grants([CUSTOMER])


def test_a_start_charges_the_predecessor_as_an_own_write_would():
    _, shard = started()
    by_itself = Allowances(holder="i/2", started=reading(9.0)).charge_predecessors(
        shard
    )
    successor = Allowances(holder="i/2", started=reading(9.0))
    by_a_peer = apply_delegated(shard, starts(successor, shard, 9.5))
    assert "i/1" not in by_a_peer.stamp_by_holder
    spent = by_a_peer.ledger_by_customer[CUSTOMER].spent
    assert spent == by_itself.ledger_by_customer[CUSTOMER].spent


def test_a_late_start_never_closes_a_living_process():
    """A customer gets more than it paid for: the grant of a running process is gone.

    A process handed its start over and was killed; its successor had written when
    the message came, and would have been taken for the dead one.
    """
    _, shard = started()
    killed = Allowances(holder="i/2", started=reading(9.0))
    late = starts(killed, shard, 9.5)
    alive = Allowances(holder="i/3", started=reading(11.0))
    shard = alive.charge_predecessors(shard)
    shard = alive.renewed(shard, reading(11.5))
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, late)


def test_a_budget_that_is_spent_gets_its_grant_too():
    """Calls of the platform never end after all processes were restarted.

    A customer's budget was spent, so nothing was due for it; without a grant of it
    each process went on writing by itself, twenty times a second.
    """
    _, shard = started()
    ledger = shard.ledger_by_customer[CUSTOMER]
    spent = msgspec.structs.replace(ledger, spent=ledger.prepaid, grants={})
    shard = msgspec.structs.replace(shard, ledger_by_customer={CUSTOMER: spent})
    allowances = Allowances(holder="j/1", started=reading(0.0))
    allowances.resolve(allowances.renewed(shard, reading(1.0)))
    assert not allowances.lacks_grants([CUSTOMER])


class TestPacked:
    def test_it_comes_back_as_it_was(self):
        _, shard = started()
        assert decode_shard(encode_shard(shard)) == shard

    def test_many_grants_take_a_third_of_their_size(self):
        _, shard = started()
        grants = {
            f"front-{n}/abcd": Grant(granted=n * 997, cap=n * 31, settled={"direct": n})
            for n in range(200)
        }
        ledger = msgspec.structs.replace(
            shard.ledger_by_customer[CUSTOMER], grants=grants
        )
        shard = msgspec.structs.replace(shard, ledger_by_customer={CUSTOMER: ledger})
        assert 3 * len(encode_shard(shard)) < len(msgspec.json.encode(shard))

    @pytest.mark.parametrize(
        "value", [b"", b"null", b"{}", b'{"packed":"!"}', b'{"packed":"aGVsbG8="}']
    )
    def test_what_is_no_shard_is_told_so(self, value):
        with pytest.raises(LedgerUnreadable):
            decode_shard(value)
