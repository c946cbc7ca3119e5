"""Replies of a process that writes the renewals of its peers.

A reply has only the ledgers that its receiver needs: all ledgers, sent to each of
dozens of processes twice a second, would fill the writer's link.
"""

from collections.abc import Iterator

from ragwortkeel.budget.delegation import apply_delegated
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import LedgerError, RouterSealed
from ragwortkeel.logs import log_error, log_info
from ragwortkeel.messages import HandedRenewals, RenewalsWritten, WriteOutcome


def apply_all_delegated(
    shard: Shard, delegated_by_holder: dict[str, HandedRenewals]
) -> tuple[Shard, set[str]]:
    """Return the shard with the peers' renewals, and the holders that were refused."""
    refused = set()
    for holder, delegated in delegated_by_holder.items():
        try:
            shard = apply_delegated(shard, delegated)
        except (LedgerError, RouterSealed) as exc:
            log_info("renewals_refused", holder=holder, error=str(exc))
            refused.add(holder)
        except Exception as exc:
            # What one peer sends costs neither this process nor its other peers.
            log_error("renewals_failed", holder=holder, error=repr(exc))
            refused.add(holder)
    return shard, refused


def written_replies(
    shard: Shard, delegated_by_holder: dict[str, HandedRenewals], refused: set[str]
) -> Iterator[tuple[str, RenewalsWritten]]:
    """Yield each holder and the reply to its renewals after a write that succeeded."""
    names = {
        name
        for delegated in delegated_by_holder.values()
        for name in customers_to_report(delegated, shard)
    }
    summary_by_customer = shard.summaries(names)
    for holder, delegated in delegated_by_holder.items():
        if holder in refused:
            yield holder, failure_reply(delegated, WriteOutcome.NOT_DONE)
            continue
        try:
            reply = success_reply(shard, delegated, summary_by_customer)
        except Exception as exc:
            # They were written, so only the ledgers can tell the holder what it has.
            log_error("renewals_failed", holder=holder, error=repr(exc))
            reply = failure_reply(delegated, WriteOutcome.UNKNOWN)
        yield holder, reply


def customers_to_report(delegated: HandedRenewals, shard: Shard) -> set[str]:
    """Return the customers whose ledgers the sender of the renewals needs."""
    if delegated.start is not None:
        return set(shard.ledger_by_customer)
    return {
        *delegated.renewal_by_customer,
        *delegated.wanted,
    } & shard.ledger_by_customer.keys()


def success_reply(
    shard: Shard, delegated: HandedRenewals, summary_by_customer: dict[str, Ledger]
) -> RenewalsWritten:
    """Return the reply to renewals that were written, with the ledgers it needs.

    A later start of the same process in the same write has charged and closed the
    grants of the earlier one, which had ended by then.
    """
    if delegated.holder not in shard.stamp_by_holder:
        log_info("renewals_superseded", holder=delegated.holder)
        return failure_reply(delegated, WriteOutcome.UNKNOWN)
    grant_by_customer = {
        customer: shard.ledger_by_customer[customer].grants[delegated.holder]
        for customer in delegated.renewal_by_customer
    }
    names = customers_to_report(delegated, shard)
    return RenewalsWritten(
        boot=delegated.stamp.boot,
        holder=delegated.holder,
        outcome=WriteOutcome.DONE,
        revision=shard.revision,
        grant_by_customer=grant_by_customer,
        summary_by_customer={name: summary_by_customer[name] for name in names},
    )


def failure_reply(delegated: HandedRenewals, outcome: WriteOutcome) -> RenewalsWritten:
    """Return the reply to renewals that were not written, with the reason."""
    return RenewalsWritten(
        boot=delegated.stamp.boot, holder=delegated.holder, outcome=outcome
    )
