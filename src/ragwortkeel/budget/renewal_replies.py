"""What a process that writes for others answers each of them.

An answer carries only the ledgers that its receiver has a use for: with all of them,
told to each of dozens of processes twice a second, the writer's link would be full.
"""

from ragwortkeel.budget.delegation import apply_delegated
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import LedgerError, RouterSealed
from ragwortkeel.logs import log_info
from ragwortkeel.messages import HandedRenewals, RenewalsWritten, WriteOutcome


def apply_all_delegated(
    shard: Shard, delegated_by_holder: dict[str, HandedRenewals]
) -> tuple[Shard, set[str]]:
    """Return the shard with the peers' renewals, and whose were refused."""
    refused = set()
    for holder, delegated in delegated_by_holder.items():
        try:
            shard = apply_delegated(shard, delegated)
        except (LedgerError, RouterSealed) as exc:
            log_info("renewals_refused", holder=holder, error=str(exc))
            refused.add(holder)
    return shard, refused


def customers_to_report(delegated: HandedRenewals, shard: Shard) -> set[str]:
    """Return the customers whose ledgers the sender has a use for."""
    if delegated.start is not None:
        return set(shard.ledger_by_customer)
    return {
        *delegated.renewal_by_customer,
        *delegated.wanted,
    } & shard.ledger_by_customer.keys()


def success_reply(
    shard: Shard, delegated: HandedRenewals, summary_by_customer: dict[str, Ledger]
) -> RenewalsWritten:
    """Return the answer, with the ledgers that its receiver has a use for."""
    grant_by_customer = {
        customer: shard.ledger_by_customer[customer].grants[delegated.holder]
        for customer in delegated.renewal_by_customer
    }
    names = customers_to_report(delegated, shard)
    return RenewalsWritten(
        boot=delegated.stamp.boot,
        outcome=WriteOutcome.DONE,
        revision=shard.revision,
        grant_by_customer=grant_by_customer,
        summary_by_customer={name: summary_by_customer[name] for name in names},
    )


def failure_reply(delegated: HandedRenewals, outcome: WriteOutcome) -> RenewalsWritten:
    """Return the answer to renewals that were not written, and why."""
    return RenewalsWritten(boot=delegated.stamp.boot, outcome=outcome)
