"""Sizes of a router's slice and of its exposure cap.

Demand for one budget is uneven and changes.  Slices that are too small are used up in
an outage; slices that are too large strand tokens at routers without requests, as an
equal split does at the end of a budget.  So a router aims at a share of all unspent
tokens, but at no more than its own demand during the outage to cover.  Routers lend
each other tokens that the wrong one holds.
"""

from dataclasses import dataclass

from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.configuration import Spread

RIDE_OUT_FACTOR_BY_SPREAD = {Spread.WIDE: 2.0, Spread.NARROW: 1.0}
"""Demand in the next outage as a multiple of the demand now; doubling is common."""

SLICES_FRACTION_BY_SPREAD = {Spread.WIDE: 1.0, Spread.NARROW: 0.5}
"""Fraction of the unspent tokens that slices hold.

The ledger holds the others, for shifts of the demand.
"""

EQUAL_FRACTION_BY_SPREAD = {Spread.WIDE: 1.0, Spread.NARROW: 0.3}
"""Fraction of the tokens in slices that is shared equally, not by demand.

The demand of a minute is noisy, and an outage of the platform causes more false
refusals the more tokens follow it: 11, 20 and 35 at fractions of 1.0, 0.9 and 0.8, in
four benchmark runs.  Idle routers still hold few tokens, as no slice exceeds its
router's demand in an outage.
"""

CAP_SKEW_BY_SPREAD = {Spread.WIDE: 1.5, Spread.NARROW: 1.1}
"""Cap of a sidecar as a multiple of an equal share of the slice.

It is how uneven the spend through a router's sidecars may be.
"""

MIN_CAP_REQUESTS = 4
"""Smallest cap of one sidecar, in requests of the largest size."""

LEDGER_SLICES_PER_HOLDER = 0.5
"""Slices of the smallest useful size that stay in the ledger, for each holder.

There the next renewal of any holder can get them.  Tokens spread over dozens of slices
would cover a request only together.
"""

GIVE_BACK_FACTOR = 1.25
"""Multiple of its target above which a slice gives tokens back.

The margin prevents oscillation.
"""

UNSPENT_FACTOR = 4
"""Unspent tokens to find before no more peers are asked, as a multiple of the need.

Running requests have reserved some of the tokens that a ledger shows as unspent.
"""

MAX_GIVERS_ASKED = 3
"""Most peers to ask for tokens at once.

Three find tokens at the end of a budget, and each request to a peer may cost a write.
"""


@dataclass(frozen=True, kw_only=True)
class SliceNeed:
    """A router's state and settings for sizing, in tokens, tokens a minute and seconds.

    Attributes
    ----------
    holding : int
        Unspent tokens in the slice, reserved ones included.
    demand : int
        Recent demand in tokens a minute.
    waiting : int
        Tokens that waiting callers need.
    lacking : int
        Tokens missing for the smallest waiting request.
    slices_fraction_override : float or None
        Replaces `SLICES_FRACTION_BY_SPREAD`.  Equally shared tokens then go to only so
        many holders that each holds a useful slice.
    min_useful_tokens : int
        Size below which a slice serves hardly any request.
    selection_hash : float
        Number from 0 to 1 by router and profile, which selects these holders.
    equal_fraction_override : float or None
        Replaces `EQUAL_FRACTION_BY_SPREAD`, for routers that lend each other tokens in
        an outage too, so that only the tokens of all of them together matter.
    """

    holding: int
    demand: int
    largest_request: int
    waiting: int = 0
    lacking: int = 0
    ride_out_seconds: float
    spread: Spread
    equal_fraction_override: float | None = None
    slices_fraction_override: float | None = None
    min_useful_tokens: int = 0
    selection_hash: float = 0.0

    @property
    def slices_fraction(self) -> float:
        """Fraction of the unspent tokens that all slices together may hold."""
        if self.slices_fraction_override is None:
            return SLICES_FRACTION_BY_SPREAD[self.spread]
        return self.slices_fraction_override

    @property
    def equal_fraction(self) -> float:
        """Fraction of the unspent tokens in slices that is not shared by demand."""
        return (
            EQUAL_FRACTION_BY_SPREAD[self.spread]
            if self.equal_fraction_override is None
            else self.equal_fraction_override
        )


def target_holding(ledger: Ledger, *, router: str, need: SliceNeed) -> int:
    """Return the unspent tokens that a router should hold, reserved ones included."""
    unspent = max(0, ledger.prepaid - ledger.total_spent)
    others = sum(
        grant.demand for name, grant in ledger.grants.items() if name != router
    )
    count = ledger.holders + (router not in ledger.grants)
    demand_fraction = need.demand / max(1, need.demand + others)
    equal_weight = need.equal_fraction
    slice_tokens = unspent * need.slices_fraction
    if need.slices_fraction_override is not None:
        ledger_tokens = count * LEDGER_SLICES_PER_HOLDER * need.min_useful_tokens
        slice_tokens = max(0.0, min(slice_tokens, unspent - ledger_tokens))
    equal_slice = _equal_slice(slice_tokens, count, need)
    outage_tokens = need.demand / 60 * need.ride_out_seconds
    target = min(
        equal_weight * equal_slice
        + (1 - equal_weight) * demand_fraction * slice_tokens,
        outage_tokens * RIDE_OUT_FACTOR_BY_SPREAD[need.spread],
    )
    # A request larger than the target must be served while tokens are unspent.
    floor = need.largest_request
    if need.slices_fraction_override is not None:
        floor = min(floor, int(equal_slice))
        if target < need.min_useful_tokens:
            target = 0
    target = max(int(target), floor)
    if need.waiting:
        return max(target, need.holding + need.waiting)
    return target


def _equal_slice(slice_tokens: float, count: int, need: SliceNeed) -> float:
    """Return this router's share of tokens that are shared equally.

    With dozens of routers and a budget of a few requests, equal shares would be too
    small for any request, and each request would need tokens of many routers.  So fewer
    routers hold a share and lend it in an outage.
    """
    if need.min_useful_tokens * count <= slice_tokens:
        return slice_tokens / count
    holders = max(1, int(slice_tokens / need.min_useful_tokens))
    return slice_tokens / holders if need.selection_hash < holders / count else 0.0


def tokens_to_take(ledger: Ledger, *, router: str, need: SliceNeed) -> int:
    """Return how many tokens to request from the ledger."""
    target = target_holding(ledger, router=router, need=need)
    return min(max(0, target - need.holding), ledger.rest)


def tokens_to_give_back(ledger: Ledger, *, router: str, need: SliceNeed) -> int:
    """Return how many tokens the router holds without need."""
    if ledger.retired:
        return need.holding
    if need.waiting:
        return 0
    target = target_holding(ledger, router=router, need=need)
    if ledger.recall_to is not None:
        missing = max(0, ledger.held - ledger.recall_to)
        return max(missing, need.holding - target)
    if need.holding <= target * GIVE_BACK_FACTOR:
        return 0
    return need.holding - target


def exposure_cap(*, holding: int, sidecars: int, need: SliceNeed) -> int:
    """Return the unsettled spend to allow through one sidecar.

    In an outage nothing is settled, so the caps together must allow the full slice to
    be spent, even if one sidecar gets more than its share.
    """
    fair_share = holding / max(1, sidecars)
    floor = MIN_CAP_REQUESTS * need.largest_request
    return max(int(fair_share * CAP_SKEW_BY_SPREAD[need.spread]), floor)


def tokens_to_lend(*, free: int, own: SliceNeed, asker: SliceNeed) -> int:
    """Return how many free tokens to transfer to a router that lacks tokens.

    Without waiting callers here, both routers should then hold equal tokens for their
    demand, and the asker gets at least what it lacks.

    With waiting callers here, none of their requests fits into `free`.  Two routers
    could each hold tokens that a caller of the other needs, so the tokens go to the
    asker if they serve a caller there at once, or if the asker lacks less.
    """
    if own.lacking:
        is_enough = asker.lacking <= free
        return (
            min(free, asker.lacking) if is_enough or asker.lacking < own.lacking else 0
        )
    total = own.holding + asker.holding
    demand_fraction = asker.demand / max(1, own.demand + asker.demand)
    even = int(total * demand_fraction) - asker.holding
    return max(0, min(free, max(even, asker.lacking)))


def _can_give(grant: Grant) -> bool:
    return grant.holders == 1 and not grant.sealed and grant.granted > grant.used


def best_givers(
    ledger: Ledger, *, router: str, lacking: int | None = None
) -> list[str]:
    """Return the routers to ask for tokens, the best one first.

    They have the most unspent tokens for their demand.  There are several, as unspent
    tokens may be reserved.  With `lacking` they are only so many that they hold
    `UNSPENT_FACTOR` times these tokens, as each request may cost a write.
    """
    spare = {
        name: (grant.granted - grant.used) / (1 + grant.demand)
        for name, grant in ledger.grants.items()
        if name != router and _can_give(grant)
    }
    givers = sorted(spare, key=spare.__getitem__, reverse=True)[:MAX_GIVERS_ASKED]
    if lacking is None:
        return givers
    chosen, unspent = [], 0
    for name in givers:
        chosen.append(name)
        unspent += ledger.grants[name].granted - ledger.grants[name].used
        if unspent >= UNSPENT_FACTOR * lacking:
            break
    return chosen
