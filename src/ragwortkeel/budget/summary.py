"""A ledger in few bytes: what its holders need to size their own slices.

A whole ledger grows with the processes that hold a part of it, and told to each of
them it grows with their square.  Holders look at sums over the others and at the few
that could give tokens; so those are named and the rest is one grant.
"""

import msgspec

from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.sizing import best_givers

OTHERS = "others"
"""What a summary calls all holders that it doesn't name."""


def summarize(ledger: Ledger) -> Ledger:
    """Return the ledger with its best givers named and all other grants as one."""
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
    """Return the summary as one holder sees it, its own grant apart.

    Parameters
    ----------
    grant : Grant or None
        The holder's grant in the ledger that was summarized; None for none.
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
