"""Renewals that one process hands over and another writes.

Failure it guards against: a message that was held up, or whose sender gave up waiting
and wrote by itself, is written later and undoes newer figures; tokens that were given
back and taken by others are then spent twice.  So of one holder only a later stamp is
taken.  A holder without a stamp here has never written, was stopped, or is dead and
charged by its successor; it comes in by a `Start` only, and not past another start of
the same process that its sender has not heard of: that one may be alive.
"""

import msgspec

from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.grant import Renewal
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.predecessors import close_predecessors, find_predecessors
from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import RenewalVoid
from ragwortkeel.messages import HandedRenewals, Start


def apply_delegated(shard: Shard, delegated: HandedRenewals) -> Shard:
    """Return the shard with what another process handed over.

    Raises
    ------
    RenewalVoid
        It will never be written, by whomever.
    LedgerError, RouterSealed
        A grant does not allow it.
    """
    holder = delegated.holder
    last_stamp = shard.stamp_by_holder.get(holder)
    if last_stamp is None and delegated.start is None:
        raise RenewalVoid(holder=holder)
    if last_stamp is not None and delegated.stamp.boot <= last_stamp.boot:
        raise RenewalVoid(holder=holder)
    if delegated.start is not None:
        shard = _with_predecessors_charged(shard, holder, delegated.start)
    ledgers = dict(shard.ledger_by_customer)
    for customer, renewal in delegated.renewal_by_customer.items():
        ledger = ledgers.get(customer)
        if ledger is None or renewal.router != holder:
            raise RenewalVoid(holder=holder)
        ledgers[customer] = _renew_once(ledger, renewal)
    return msgspec.structs.replace(
        shard,
        ledger_by_customer=ledgers,
        stamp_by_holder=shard.stamp_by_holder | {holder: delegated.stamp},
    )


def _with_predecessors_charged(shard: Shard, holder: str, start: Start) -> Shard:
    """Return the shard with a process's earlier starts charged."""
    started = Reading(
        monotonic=0.0, boot=start.boot, wall=start.wall, latest=start.latest
    )
    stopped = find_predecessors(shard, holder=holder, started=started)
    if any(one.holder not in start.predecessors for one in stopped):
        raise RenewalVoid(holder=holder)
    return close_predecessors(shard, stopped)


def _renew_once(ledger: Ledger, renewal: Renewal) -> Ledger:
    """Return the ledger with a renewal that it may hold already.

    Where it does, its sender did not hear so and may have spent more since than its
    cap here: under the new stamp the cap has to cover that.
    """
    grant = ledger.grants.get(renewal.router)
    if grant is None or grant.nonce != renewal.nonce:
        return ledger.renew(renewal)
    grant = msgspec.structs.replace(grant, cap=max(grant.cap, renewal.cap))
    return msgspec.structs.replace(
        ledger, grants=ledger.grants | {renewal.router: grant}
    )
