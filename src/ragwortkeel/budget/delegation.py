"""Renewals that one process delegates and a peer writes.

They must not undo newer figures.  That would happen if a message was delayed, or if its
sender stopped waiting and wrote by itself before the peer wrote the message; tokens
that were given back and granted again would be spent twice.  So of each holder only a
later stamp is accepted.

A holder without a stamp in the shard has never written, was stopped, or crashed and was
charged by its successor.  Its renewals are accepted only with a `Start`, and only if
that names all other starts of the same process in the shard, as an unnamed one may be
live.
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
    """Return the shard with the renewals that a peer delegated.

    Raises
    ------
    RenewalVoid
        The renewals can never be written, by any process.
    LedgerError, RouterSealed
        A grant doesn't allow a renewal.
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
    """Return the shard with the earlier starts of a process charged and closed."""
    started = Reading(
        monotonic=0.0, boot=start.boot, wall=start.wall, latest=start.latest
    )
    stopped = find_predecessors(shard, holder=holder, started=started)
    if any(entry.holder not in start.predecessors for entry in stopped):
        raise RenewalVoid(holder=holder)
    return close_predecessors(shard, stopped)


def _renew_once(ledger: Ledger, renewal: Renewal) -> Ledger:
    """Return the ledger with a renewal that it may contain already.

    If it does, the sender got no reply and may have spent more than the recorded cap
    since.  Under the new stamp the cap has to cover that spend.
    """
    grant = ledger.grants.get(renewal.router)
    if grant is None or grant.nonce != renewal.nonce:
        return ledger.renew(renewal)
    grant = msgspec.structs.replace(grant, cap=max(grant.cap, renewal.cap))
    return msgspec.structs.replace(
        ledger, grants=ledger.grants | {renewal.router: grant}
    )
