"""How large a router's slice and its exposure cap should be.

Answers uneven and changing demand for one budget.  Slices too small run dry in
an outage; slices too large strand tokens with routers that nobody asks, which
is what an equal split does at the end of a budget.  So a router aims at a share of
all that is unspent, and at no more than its own demand in the outage to ride
out; what lies with the wrong router is lent.
"""

from dataclasses import dataclass

from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.configuration import Spread

RIDE_OUT_FACTOR_BY_SPREAD = {Spread.WIDE: 2.0, Spread.NARROW: 1.0}
"""Demand of the next outage against demand now; a doubling is ordinary."""

SLICES_FRACTION_BY_SPREAD = {Spread.WIDE: 1.0, Spread.NARROW: 0.5}
"""Part of the unspent tokens out in slices; the rest waits for shifts."""

EQUAL_FRACTION_BY_SPREAD = {Spread.WIDE: 1.0, Spread.NARROW: 0.3}
"""Part of the unspent tokens shared equally, not by demand.

A minute's demand is noisy: with 0.8, 0.9 and 1.0 an outage of the platform met
35, 20 and 11 false refusals (4 seeds of the bench, all handed out).  Idle routers
still get little, since no slice exceeds its own demand in an outage.
"""

CAP_SKEW_BY_SPREAD = {Spread.WIDE: 1.5, Spread.NARROW: 1.1}
"""How uneven the spend through a router's sidecars may be before one is full."""

MIN_CAP_REQUESTS = 4
"""A cap lets this many of the largest requests through one sidecar at least."""

LEDGER_SLICES_PER_HOLDER = 0.5
"""Useful slices that stay in the ledger for each holder, where the next renewal finds
them for whichever holder's caller needs them.  What is out in dozens of slices is only
together as much as one request needs."""

GIVE_BACK_FACTOR = 1.25
"""Give back only what is well above the target, so that slices don't swing."""

UNSPENT_FACTOR = 4
"""A peer that shows so many times what lacks has it free most likely, as
part of a slice is reserved by requests under way.  A guess, not measured."""

MAX_GIVERS_ASKED = 3
"""Enough to find tokens at the end of a budget; each ask may cost a write."""


@dataclass(frozen=True, kw_only=True)
class SliceNeed:
    """What sizing looks at, in tokens, tokens a minute and seconds.

    Attributes
    ----------
    holding : int
        Unspent tokens in the slice, reserved ones too.
    waiting : int
        Tokens that callers wait for at this moment.
    lacking : int
        Tokens missing for the smallest of them.
    handed_out : float or None
        In place of `SHARE_HANDED_OUT`; then what is shared equally goes to as many
        holders as can each hold a useful slice.
    useful : int
        Tokens below which a slice serves hardly a request.
    lot : float
        From 0 to 1, another for each router and profile: which holders those are.
    equal_part : float or None
        In place of `EQUAL_PART`, for routers that lend each other what they lack
        in an outage as well, so that only what all hold together matters.
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
        """Part of the unspent tokens that all slices together may hold."""
        if self.slices_fraction_override is None:
            return SLICES_FRACTION_BY_SPREAD[self.spread]
        return self.slices_fraction_override

    @property
    def equal_fraction(self) -> float:
        """Part of the unspent tokens that is not shared by demand."""
        return (
            EQUAL_FRACTION_BY_SPREAD[self.spread]
            if self.equal_fraction_override is None
            else self.equal_fraction_override
        )


def target_holding(ledger: Ledger, *, router: str, need: SliceNeed) -> int:
    """Return the unspent tokens that the router should hold, reserved ones too."""
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
    # A request above the target still has to pass while tokens are left.
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
    """Return this router's part of tokens that are shared equally.

    Pattern of load: dozens of routers and budgets of a few requests' size.  Equal
    parts would be too small for any request, and each would have to be pieced
    together from many of them; so fewer hold a part, and lend it in an outage.
    """
    if need.min_useful_tokens * count <= slice_tokens:
        return slice_tokens / count
    holders = max(1, int(slice_tokens / need.min_useful_tokens))
    return slice_tokens / holders if need.selection_hash < holders / count else 0.0


def tokens_to_take(ledger: Ledger, *, router: str, need: SliceNeed) -> int:
    """Return how many tokens to ask for now."""
    target = target_holding(ledger, router=router, need=need)
    return min(max(0, target - need.holding), ledger.rest)


def tokens_to_give_back(ledger: Ledger, *, router: str, need: SliceNeed) -> int:
    """Return how many tokens the router holds for nothing."""
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

    In an outage nothing settles, so all caps together must let the whole slice
    be spent, also when one sidecar gets several times its share.
    """
    fair_share = holding / max(1, sidecars)
    floor = MIN_CAP_REQUESTS * need.largest_request
    return max(int(fair_share * CAP_SKEW_BY_SPREAD[need.spread]), floor)


def tokens_to_lend(*, free: int, own: SliceNeed, asker: SliceNeed) -> int:
    """Return how many free tokens to hand to a router that has run dry.

    Where nobody waits here, both should hold the same for their demand
    afterwards, and the asker gets at least what it lacks.  Where callers wait
    here, none of them fits into `free`; without this rule two routers would each
    sit on tokens that the other's caller needs.  So tokens go where they serve a
    caller at once, or else to the one that lacks less.
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

    They hold most unspent tokens for their demand.  Several are asked at once,
    since what the ledger shows as unspent may be reserved; with `lacking`, only as
    many as hold a few times that, as each ask may cost a write.
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
