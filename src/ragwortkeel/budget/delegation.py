"""Renewals that one process delegates and a peer writes.

Delegated renewals must not undo newer figures.  A delayed message would do so, and so
would one whose sender stopped waiting and wrote by itself before the peer did; tokens
that were given back and granted again would be spent twice.  So a holder's renewals are
accepted only with a later stamp than that in the shard.

A holder without a stamp in the shard has never written, was stopped, or crashed and was
charged by its successor.  Its renewals are accepted only with a `Start`, and only if
the `Start` names all other starts of the same process in the shard, as an unnamed one
may be live.
"""

from math import isfinite

import msgspec

from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.grant import Renewal
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.predecessors import close_predecessors, find_predecessors
from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import RenewalVoid
from ragwortkeel.messages import HandedRenewals, Start

MAX_TOKENS = 2**53
"""Limit of a renewal's numbers, far above any budget."""


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
    if not _has_possible_numbers(delegated):
        raise RenewalVoid(holder=holder)
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


def _has_possible_numbers(delegated: HandedRenewals) -> bool:
    """Return whether all clocks are finite and all counts of tokens are possible.

    The ledgers would keep what one peer sends for all processes.  JSON has no numbers
    that are not finite, and no process could read the ledgers with one.
    """
    stamp, start = delegated.stamp, delegated.start
    clocks = [stamp.boot, stamp.wall, stamp.earliest]
    if start is not None:
        clocks += [start.boot, start.wall, start.latest]
    tokens = [
        number
        for entry in delegated.renewal_by_customer.values()
        for number in (
            *(entry.want, entry.give_back, entry.cap, entry.growth, entry.demand),
            *entry.settled.values(),
        )
    ]
    return all(clock is None or isfinite(clock) for clock in clocks) and all(
        0 <= number <= MAX_TOKENS for number in tokens
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
