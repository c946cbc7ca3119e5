"""Delegated renewals, which may be late or repeated, and the stored form of shards."""

from contextlib import suppress

import msgspec
import pytest

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading, Stamp
from ragwortkeel.budget.delegation import apply_delegated
from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.shards import Shard, decode_shard, encode_shard
from ragwortkeel.exceptions import LedgerError, LedgerUnreadable, RenewalVoid
from ragwortkeel.messages import RenewalsWritten, WriteOutcome

CUSTOMER = "surco"


def reading(now):
    return Reading(monotonic=now, boot=now, wall=now)


def started(prepaid=10_000):
    """Return the allowances of a process after its first write, and the shard."""
    allowances = Allowances(holder="i/1", started=reading(0.0))
    shard = Shard().provisioned({CUSTOMER: prepaid}, revision=1)
    allowances.record_demand(CUSTOMER, 500, 0.5)
    shard = allowances.renewed(shard, reading(1.0))
    allowances.resolve(shard)
    return allowances, shard


def delegate(allowances, now, tokens=2_000):
    allowances.account(CUSTOMER).waiting_tokens = tokens
    return allowances.delegate_renewals(reading(now), urgent=True)


def reply(shard, delegated):
    grant = shard.ledger_by_customer[CUSTOMER].grants[delegated.holder]
    return RenewalsWritten(
        boot=delegated.stamp.boot,
        outcome=WriteOutcome.DONE,
        grant_by_customer={CUSTOMER: grant},
        summary_by_customer=shard.summaries(),
    )


def test_a_peer_writes_delegated_renewals():
    allowances, shard = started()
    delegated = delegate(allowances, 2.0)
    shard = apply_delegated(shard, delegated)
    allowances.receive_written(reply(shard, delegated))
    assert allowances.account(CUSTOMER).reserve(2_000) is not None
    assert shard.stamp_by_holder["i/1"].boot == 2.0


def test_a_late_message_changes_nothing():
    """Guards against an overspend by tokens that are given back twice.

    A process delegates its renewal, gets no reply in time and writes by itself; then
    the peer writes the message too.
    """
    allowances, shard = started()
    late_message = delegate(allowances, 2.0)
    shard = allowances.renewed(shard, reading(2.1))
    allowances.resolve(shard)
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, late_message)


def test_a_renewal_in_two_messages_counts_once():
    allowances, shard = started()
    first = delegate(allowances, 2.0)
    second = delegate(allowances, 2.2)
    shard = apply_delegated(shard, first)
    granted = shard.ledger_by_customer[CUSTOMER].grants["i/1"].granted
    shard = apply_delegated(shard, second)
    assert shard.ledger_by_customer[CUSTOMER].grants["i/1"].granted == granted
    assert shard.stamp_by_holder["i/1"].boot == 2.2


def test_the_cap_under_a_new_stamp_covers_the_exposure():
    """Guards against an overspend after a kill that follows an outage.

    The first message is written but the reply is lost.  The process spends beyond the
    cap in it, as the cap grows, and delegates the same renewal again.  The second
    message renews the stamp and must not leave the cap of the first one.
    """
    allowances, shard = started()
    first = delegate(allowances, 2.0)
    shard = apply_delegated(shard, first)
    account = allowances.account(CUSTOMER)
    account.waiting_tokens = 0
    allowances.grow(200.0)
    reservation = account.reserve(account.available)
    assert reservation is not None
    assert reservation.tokens > first.renewal_by_customer[CUSTOMER].cap
    shard = apply_delegated(
        shard, allowances.delegate_renewals(reading(202.0), urgent=False)
    )
    cap = shard.ledger_by_customer[CUSTOMER].grants["i/1"].cap
    assert cap >= reservation.tokens


@pytest.mark.parametrize("after", ["closed", "merged"])
def test_a_message_of_a_stopped_process_creates_no_grant(after):
    """Guards against stranded tokens in a grant that no live process holds."""
    allowances, shard = started()
    late_message = delegate(allowances, 2.0)
    if after == "closed":
        shard = allowances.closed(shard)
    else:
        successor = Allowances(holder="i/2", started=reading(3.0))
        shard = successor.charge_predecessors(shard)
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, late_message)


def test_a_process_can_not_renew_for_another_holder():
    allowances, shard = started()
    delegated = delegate(allowances, 2.0)
    shard = msgspec.structs.replace(
        shard,
        stamp_by_holder=shard.stamp_by_holder | {"j/1": reading(0.5).stamp},
    )
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, msgspec.structs.replace(delegated, holder="j/1"))


def delegate_start(allowances, shard, now):
    allowances.resolve(shard)
    start = allowances.start(shard)
    return allowances.delegate_renewals(reading(now), urgent=False, start=start)


def test_a_first_renewal_without_a_start_is_void():
    _, shard = started()
    newcomer = Allowances(holder="j/1", started=reading(0.0))
    newcomer.resolve(shard)
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, newcomer.delegate_renewals(reading(1.0), urgent=True))


def test_a_peer_writes_the_first_grants_of_a_process():
    """Guards against lasting refusals at most processes after a restart of all.

    One process writes for all that have completed a first write, thirty times a second,
    so that no other process can complete its own first write.
    """
    _, shard = started()
    newcomer = Allowances(holder="j/1", started=reading(0.0))
    delegated = delegate_start(newcomer, shard, 5.0)
    shard = apply_delegated(shard, delegated)
    newcomer.receive_written(reply(shard, delegated))
    assert newcomer.account(CUSTOMER).free > 0
    assert not newcomer.lacks_grants([CUSTOMER])


def test_a_delegated_start_charges_the_predecessor_like_an_own_write():
    _, shard = started()
    by_own_write = Allowances(holder="i/2", started=reading(9.0)).charge_predecessors(
        shard
    )
    successor = Allowances(holder="i/2", started=reading(9.0))
    by_peer = apply_delegated(shard, delegate_start(successor, shard, 9.5))
    assert "i/1" not in by_peer.stamp_by_holder
    spent = by_peer.ledger_by_customer[CUSTOMER].spent
    assert spent == by_own_write.ledger_by_customer[CUSTOMER].spent


def test_a_late_start_never_closes_a_live_process():
    """Guards against an overspend through a running process whose grant is closed.

    A process delegates its start and is killed, and its successor writes before the
    message arrives.  The message must not treat the successor as a stopped process.
    """
    _, shard = started()
    killed = Allowances(holder="i/2", started=reading(9.0))
    late_message = delegate_start(killed, shard, 9.5)
    live = Allowances(holder="i/3", started=reading(11.0))
    shard = live.charge_predecessors(shard)
    shard = live.renewed(shard, reading(11.5))
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, late_message)


def test_a_spent_budget_gets_a_grant_too():
    """Guards against endless calls of the platform after a restart of all processes.

    For a customer with a spent budget no tokens are due, and without a grant each
    process would continue to write by itself, twenty times a second.
    """
    _, shard = started()
    ledger = shard.ledger_by_customer[CUSTOMER]
    spent = msgspec.structs.replace(ledger, spent=ledger.prepaid, grants={})
    shard = msgspec.structs.replace(shard, ledger_by_customer={CUSTOMER: spent})
    allowances = Allowances(holder="j/1", started=reading(0.0))
    allowances.resolve(allowances.renewed(shard, reading(1.0)))
    assert not allowances.lacks_grants([CUSTOMER])


class TestEncoding:
    def test_a_decoded_shard_equals_the_encoded_one(self):
        _, shard = started()
        assert decode_shard(encode_shard(shard)) == shard

    def test_many_grants_are_compressed_to_a_third(self):
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
    def test_a_value_that_is_no_shard_raises(self, value):
        with pytest.raises(LedgerUnreadable):
            decode_shard(value)


NAN, INFINITY = float("nan"), float("inf")


@pytest.mark.parametrize(
    "stamp",
    [
        Stamp(boot=NAN, wall=2.0),
        Stamp(boot=2.0, wall=INFINITY),
        Stamp(boot=2.0, wall=2.0, earliest=NAN),
    ],
    ids=["boot", "wall", "earliest"],
)
def test_a_stamp_that_is_no_number_is_refused(stamp):
    """Guards against ledgers that no process can read any more.

    JSON has no such numbers, so the stored stamp would be null.
    """
    allowances, shard = started()
    delegated = msgspec.structs.replace(delegate(allowances, 2.0), stamp=stamp)
    with pytest.raises(RenewalVoid):
        apply_delegated(shard, delegated)


class TestNumbersOfRenewals:
    """A renewal whose numbers can't be true is refused, whoever delegated it."""

    @pytest.mark.parametrize("field", ["give_back", "want", "cap", "growth", "demand"])
    @pytest.mark.parametrize("number", [-1, -(2**63), 2**63 - 1])
    def test_the_ledgers_stay_readable(self, field, number):
        """Guards against tokens, or ledgers, that a peer's wrong number creates."""
        allowances, shard = started()
        delegated = delegate(allowances, 2.0)
        renewal = msgspec.structs.replace(
            delegated.renewal_by_customer[CUSTOMER], **{field: number}
        )
        delegated = msgspec.structs.replace(
            delegated, renewal_by_customer={CUSTOMER: renewal}
        )
        with suppress(LedgerError):
            shard = apply_delegated(shard, delegated)
        found = decode_shard(encode_shard(shard)).ledger_by_customer[CUSTOMER]
        assert 0 <= found.held <= found.prepaid
        assert found.total_spent >= 0
