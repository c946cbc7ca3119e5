"""Short summaries of ledgers, by which holders size their own slices.

A full ledger grows with the number of its holders, and sent to each of them it takes
traffic that grows with the square.  Holders need only sums over all others and the few
that can give tokens.  So a summary names these few and adds all others up in one grant.
"""

import msgspec

from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.sizing import best_givers

OTHERS = "others"
"""Name in a summary for all holders that it doesn't name."""


def summarize(ledger: Ledger) -> Ledger:
    """Return the ledger with the best givers named and all other grants in one."""
    named = set(best_givers(ledger, router=""))
    rest = [grant for name, grant in ledger.grants.items() if name not in named]
    grants = {name: ledger.grants[name] for name in named}
    if rest:
        grants[OTHERS] = Grant(
            granted=sum(grant.held for grant in rest),
            folded=sum(grant.used for grant in rest),
            demand=sum(grant.demand for grant in rest),
            holders=len(rest),
        )
    return msgspec.structs.replace(ledger, grants=grants, operations=())


def restore_own_grant(summary: Ledger, *, router: str, grant: Grant | None) -> Ledger:
    """Return the summary for one holder, with its own grant named.

    Parameters
    ----------
    grant : Grant or None
        The holder's grant in the summarized ledger; None if it has none.
    """
    if grant is None or router in summary.grants:
        return summary
    grants = dict(summary.grants)
    others = grants.pop(OTHERS, None)
    if others is not None and others.holders > 1:
        grants[OTHERS] = msgspec.structs.replace(
            others,
            granted=max(0, others.granted - grant.held),
            folded=max(0, others.folded - grant.used),
            demand=max(0, others.demand - grant.demand),
            holders=others.holders - 1,
        )
    grants[router] = grant
    return msgspec.structs.replace(summary, grants=grants)
