"""What a process that writes for others answers each of them.

An answer carries only the ledgers that its receiver has a use for: with all of them,
told to each of dozens of processes twice a second, the writer's link would be full.
"""

from ragwortkeel.budget.handing import joined
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import LedgerError, RouterSealed
from ragwortkeel.logs import log_info
from ragwortkeel.messages import HandedRenewals, RenewalsWritten, WriteOutcome


def joined_by_all(
    shard: Shard, handed_by_holder: dict[str, HandedRenewals]
) -> tuple[Shard, set[str]]:
    """Return the shard with the peers' renewals, and whose were refused."""
    refused = set()
    for holder, handed in handed_by_holder.items():
        try:
            shard = joined(shard, handed)
        except (LedgerError, RouterSealed) as exc:
            log_info("renewals_refused", holder=holder, error=str(exc))
            refused.add(holder)
    return shard, refused


def customers_seen_by(handed: HandedRenewals, shard: Shard) -> set[str]:
    """Return the customers whose ledgers the sender has a use for."""
    if handed.start is not None:
        return set(shard.ledger_by_customer)
    return {
        *handed.renewal_by_customer,
        *handed.wanted,
    } & shard.ledger_by_customer.keys()


def answered(
    shard: Shard, handed: HandedRenewals, summary_by_customer: dict[str, Ledger]
) -> RenewalsWritten:
    """Return the answer, with the ledgers that its receiver has a use for."""
    grant_by_customer = {
        customer: shard.ledger_by_customer[customer].grants[handed.holder]
        for customer in handed.renewal_by_customer
    }
    names = customers_seen_by(handed, shard)
    return RenewalsWritten(
        boot=handed.stamp.boot,
        outcome=WriteOutcome.DONE,
        revision=shard.revision,
        grant_by_customer=grant_by_customer,
        summary_by_customer={name: summary_by_customer[name] for name in names},
    )


def not_done(handed: HandedRenewals, outcome: WriteOutcome) -> RenewalsWritten:
    """Return the answer to renewals that were not written, and why."""
    return RenewalsWritten(boot=handed.stamp.boot, outcome=outcome)
