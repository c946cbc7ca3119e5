"""One customer's tokens at one ingress process: slice, cap and loans.

Requests spend the slice directly at upstreams, which the ledger records as one sidecar
called `DIRECT`.  `budget.ledger` and `budget.slice` explain why the slice can't
be overspent when answers are lost, `budget.allowance` explains the cap.
"""

from dataclasses import dataclass
from hashlib import blake2b

from ragwortkeel.budget.demand import DemandMeter
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.sizing import (
    SliceNeed,
    tokens_to_give_back,
    tokens_to_lend,
    tokens_to_take,
)
from ragwortkeel.budget.slice import Reservation, Slice
from ragwortkeel.configuration import Spread
from ragwortkeel.exceptions import BudgetRefused

DIRECT = "direct"
"""Name in the ledger for spend at upstreams without a sidecar."""

GROWTH_FACTOR = 1.5
"""Growth rate of a cap as a multiple of the demand.

The cap has to catch up with the demand since the outage began, and demand may rise
during the outage.
"""

MIN_GROWTH_PERIOD_SECONDS = 8.0
"""Period in which a cap grows by at least one request of mean size.

It is the length of an ordinary outage and serves customers without known demand.
"""

RIDE_OUT_SECONDS = 12.0
"""Length of an outage of the platform that a slice covers.

A longer one strands more tokens at processes that crash in an outage; a shorter one
refuses more callers.
"""

EQUAL_FRACTION = 0.2
"""Fraction of the tokens in slices that is shared equally, not by demand.

Customers use few processes each, so shares by demand leave least in the platform, where
an outage makes tokens unreachable.  Tokens at the wrong process are lent.
"""

SLICES_FRACTION = 0.6
"""Fraction of the unspent tokens that slices hold; the ledger holds the others.

Most requests need a renewal for headroom in the cap anyway, and it takes the tokens as
well.  With all tokens in the slices of 21 processes, no slice covers a request, and
each request needs tokens of several slices, at two writes for each slice.
"""

INITIAL_SLICE_FRACTION = 0.25
"""Fraction of an equal share of the unspent tokens to hold without demand.

The first requests of a customer may arrive in an outage.
"""

INITIAL_HEADROOM_FRACTION = 0.01
"""Fraction of the unspent tokens that all caps together leave as headroom at least.

It serves the first callers of an outage.  More would be charged without use when a
process crashes.
"""

INITIAL_GROWTH_FRACTION = 0.005
"""Fraction of the unspent tokens by which a cap grows at least.

It grows by this much in `MIN_GROWTH_PERIOD_SECONDS`.  Headroom from the start would be
charged without use at each crash, for every customer; a caller without headroom gets
it by the next renewal.
"""

MIN_SLICE_REQUESTS = 1.5
"""Size of a slice without demand, in requests of the process's mean size.

The first requests of a customer may arrive in an outage.
"""

REFILL_FRACTION = 0.6
"""Fraction of its target below which a slice is filled up."""

YIELD_SECONDS = 2.0
"""Time for which tokens that were given back for another process are left to it, longer
than its renewal takes at a slow platform."""


@dataclass(frozen=True, kw_only=True)
class AccountReservation:
    """Tokens set aside for one request, from loans first and then from the slice."""

    customer: str
    tokens: int
    borrowed: int
    slice_reservation: Reservation | None


class Account:
    """One customer's tokens at this process.

    Attributes
    ----------
    waiting_tokens : int
        Upper bound of the tokens of all requests that wait for a reservation.
    read_at : float
        Monotonic second at which `ledger` was read.
    """

    def __init__(self, *, customer: str, holder: str) -> None:
        self.slice = Slice(profile=customer, router=holder)
        self.ledger = Ledger()
        self.waiting_tokens = 0
        self.read_at = float("-inf")
        self._open_charged = False
        self._customer = customer
        self._borrowed = 0
        self._recalled = 0
        self._yields_until = float("-inf")
        self._meter = DemandMeter()
        self._selection_hash = _hash_fraction(f"{holder}/{customer}")

    @property
    def ledger_known(self) -> bool:
        """Whether the customer's ledger has been read."""
        return self.ledger.prepaid > 0 or self.slice.in_ledger

    @property
    def free(self) -> int:
        """Tokens of the slice that are neither spent nor reserved."""
        return self.slice.free

    @property
    def held(self) -> int:
        """Unreserved tokens of loans and slice, within the cap or not."""
        return self._borrowed + max(0, self.slice.free)

    @property
    def held_elsewhere(self) -> int:
        """Unspent tokens in the slices of all other processes, also of stopped ones."""
        own = self.slice.granted - self.slice.spent
        outstanding = self.ledger.held - self.ledger.total_spent
        return max(0, outstanding - own)

    @property
    def available(self) -> int:
        """Tokens of loans and slice that a request can reserve now."""
        return self._borrowed + max(0, min(self.slice.free, self.cap_headroom))

    @property
    def cap_headroom(self) -> int:
        """Unreported spend that the cap still allows."""
        return max(0, self.slice.exposure_limit - self.slice.exposure(DIRECT))

    def grow(self, elapsed_seconds: float) -> None:
        """Set the growth of the cap by the seconds since the last attempt to write."""
        self.slice.unrenewed_seconds = elapsed_seconds

    def reserve(self, tokens: int) -> AccountReservation | None:
        """Reserve tokens, from loans first, as those can't be given back."""
        borrowed = min(tokens, self._borrowed)
        slice_reservation = None
        if tokens > borrowed:
            slice_reservation = self.reserve_from_slice(tokens - borrowed)
            if slice_reservation is None:
                return None
        self._borrowed -= borrowed
        return AccountReservation(
            customer=self._customer,
            tokens=tokens,
            borrowed=borrowed,
            slice_reservation=slice_reservation,
        )

    def in_demand(self, now: float) -> bool:
        """Return whether requests need the customer's tokens or recently did."""
        return bool(self.waiting_tokens or self._meter.rate(now=now))

    def record_demand(self, tokens: int, now: float) -> None:
        """Add a request's tokens to the demand, whether it is served or refused."""
        self._meter.add(tokens=tokens, now=now)

    def settle(self, reservation: AccountReservation, *, spent: int) -> None:
        """Replace a reservation by the tokens that the request spent."""
        spent = min(spent, reservation.tokens)
        self._borrowed += max(0, reservation.borrowed - spent)
        if reservation.slice_reservation is not None:
            spent_of_slice = max(0, spent - reservation.borrowed)
            self.slice.settle(reservation.slice_reservation, spent=spent_of_slice)

    def begin_again(self, holder: str) -> None:
        """Hold nothing of the slice any more, under a new incarnation of the process.

        Another process has closed the grant and charged for whatever was spent or is
        reserved of it.  Loans were charged to their lenders and stay.
        """
        self.slice = Slice(profile=self._customer, router=holder)
        self._recalled = 0

    def charge_open(self) -> None:
        """Charge open requests their reservations and refuse further reservations.

        A stop of the process cuts these requests; whatever they still spend is within
        the charge.
        """
        self._open_charged = True
        for reservation in list(self.slice.open_by_id.values()):
            self.slice.settle(reservation, spent=reservation.tokens)

    def lendable_tokens(self, borrower: SliceNeed, now: float) -> int:
        """Return how many tokens to move to the process that asks for them."""
        return tokens_to_lend(
            free=max(0, self.free), own=self.slice_need(now), borrower=borrower
        )

    def lend(self, borrower: SliceNeed, now: float) -> int:
        """Charge a loan to the slice and return its tokens; 0 if there is no loan."""
        tokens = min(
            self.lendable_tokens(borrower, now), self.cap_headroom, borrower.lacking
        )
        reservation = self.reserve_from_slice(tokens)
        if reservation is None:
            return 0
        self.slice.settle(reservation, spent=tokens)
        return tokens

    def reserve_from_slice(self, tokens: int) -> Reservation | None:
        """Reserve tokens of the slice, or return None."""
        if tokens <= 0 or self._open_charged:
            return None
        try:
            return self.slice.reserve(sidecar=DIRECT, tokens=tokens)
        except BudgetRefused:
            return None

    def recall(self, tokens: int) -> None:
        """Give back these tokens at the next renewal, for a process that lacks them.

        Zero cancels an earlier recall.
        """
        self._recalled = max(self._recalled, tokens) if tokens else 0

    @property
    def returning(self) -> bool:
        """Whether tokens that another process lacks are still to be given back."""
        return bool(self._recalled)

    def borrow(self, tokens: int) -> None:
        """Add the tokens of a loan that was received."""
        self._borrowed += tokens

    def slice_need(self, now: float, mean_request_tokens: int = 0) -> SliceNeed:
        """Return the figures by which `budget.sizing` sizes the slice.

        `mean_request_tokens` is the mean size of a request of any customer.
        """
        unspent = max(0, self.ledger.prepaid - self.ledger.total_spent)
        holders = max(1, self.ledger.holders)
        initial_tokens = int(unspent / holders * INITIAL_SLICE_FRACTION)
        return SliceNeed(
            holding=max(0, self.slice.granted - self.slice.spent),
            demand=self._meter.rate(now=now),
            largest_request=max(
                initial_tokens, int(mean_request_tokens * MIN_SLICE_REQUESTS)
            ),
            waiting=max(0, self.waiting_tokens - self.held),
            lacking=max(0, self.waiting_tokens - self.available),
            ride_out_seconds=RIDE_OUT_SECONDS,
            spread=Spread.WIDE,
            equal_fraction_override=EQUAL_FRACTION,
            slices_fraction_override=SLICES_FRACTION,
            min_useful_tokens=int(mean_request_tokens * MIN_SLICE_REQUESTS),
            selection_hash=self._selection_hash,
        )

    def propose(
        self,
        ledger: Ledger,
        *,
        nonce: str,
        mean_request_tokens: int,
        headroom_seconds: float,
        now: float,
    ) -> bool:
        """Prepare a renewal if one is due, and return whether one is pending."""
        if self.slice.pending is not None:
            self.slice.propose(nonce=nonce, cap=0)
            return True
        self.ledger = ledger
        need = self.slice_need(now, mean_request_tokens)
        holder = self.slice.router
        wanted_tokens = tokens_to_take(ledger, router=holder, need=need)
        give_back = self._give_back(ledger, need)
        if self._recalled:
            self._yields_until = now + YIELD_SECONDS
        if self._recalled or (now < self._yields_until and not self.waiting_tokens):
            wanted_tokens = 0
        min_growth = self._min_growth(mean_request_tokens)
        cap = self._cap(need, headroom_seconds)
        if not self._is_due(need.holding, wanted_tokens, give_back, cap):
            return False
        self.slice.propose(
            nonce=nonce,
            sidecars=(DIRECT,),
            want=wanted_tokens,
            give_back=give_back,
            cap=cap,
            growth=int(
                GROWTH_FACTOR * need.demand / 60
                + min_growth / MIN_GROWTH_PERIOD_SECONDS
            ),
            demand=need.demand,
        )
        return True

    def resolve(self, ledger: Ledger) -> None:
        """Accept the pending renewal if it has taken effect in the ledger."""
        self.ledger = ledger
        grant = ledger.grants.get(self.slice.router)
        if self.slice.is_applied_in(grant):
            if self.slice.pending.give_back:
                self._recalled = 0
            self.slice.accept(grant)

    def _min_growth(self, mean_request_tokens: int) -> int:
        unspent = max(0, self.ledger.prepaid - self.ledger.total_spent)
        return max(int(unspent * INITIAL_GROWTH_FRACTION), mean_request_tokens)

    def _give_back(self, ledger: Ledger, need: SliceNeed) -> int:
        """Return the tokens to give back, without those that requests here wait for."""
        give_back = tokens_to_give_back(ledger, router=self.slice.router, need=need)
        give_back = max(give_back, self._recalled)
        return min(give_back, max(0, self.free - self.waiting_tokens))

    def _cap(self, need: SliceNeed, headroom_seconds: float) -> int:
        """Return the unreported spend to allow once this renewal has settled all spend.

        Waiting requests count with all their tokens, as the renewal also ends the
        headroom of the earlier cap.  A cap that covered only their shortfall would
        refuse them.
        """
        unspent = max(0, self.ledger.prepaid - self.ledger.total_spent)
        holders = max(1, self.ledger.holders)
        min_headroom = int(unspent * INITIAL_HEADROOM_FRACTION / holders)
        headroom = max(min_headroom, int(need.demand / 60 * headroom_seconds))
        return self.slice.reserved + headroom + self.waiting_tokens

    def _is_due(
        self, holding: int, wanted_tokens: int, give_back: int, cap: int
    ) -> bool:
        # Peers can renew a slice only if it has a grant, even an empty one.
        if self.waiting_tokens or give_back or not self.slice.in_ledger:
            return True
        # The stamp of this write restarts the growth of all caps, so exposure beyond
        # a cap that was not renewed with it would not be charged.
        if self.slice.exposure(DIRECT) > self.slice.cap:
            return True
        if self.slice.unsettled or self.slice.cap > 2 * cap:
            return True
        return wanted_tokens > holding * (1 - REFILL_FRACTION) / REFILL_FRACTION


def _hash_fraction(name: str) -> float:
    """Return a number from 0 to 1 that depends on the name only."""
    digest = blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
