"""One customer's tokens at one ingress process: its slice, its cap, its loans.

A slice is spent by requests straight to upstreams, which counts as one sidecar
called `DIRECT`; why it can't overspend whatever answers are lost is
`budget.ledger` and `budget.slice`.  What the cap is for is `budget.allowance`.
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
"""What a ledger calls the way to upstreams without a sidecar."""

GROWTH_DELAY_SECONDS = 5.5
"""A cap grows only from then on after the last write.  A killed process is back
and has taken its start's time within 2.5 s, and after a loss of power a jump of the
time of day of 3 s is allowed for: so an ordinary death costs the headroom alone."""

GROWTH_FACTOR = 1.5
"""How fast a cap grows then, against the demand: an outage has to be caught up
with, and its demand may be higher than that before it."""

MIN_GROWTH_PERIOD_SECONDS = 8.0
"""A cap grows by at least a typical request in so many seconds, the length of an
ordinary outage, for customers whose demand is not known yet."""

RIDE_OUT_SECONDS = 12.0
"""Outages of the platform to bridge with what is held.  Longer, and more is
stranded with processes that die in an outage; shorter, and callers are refused."""

EQUAL_FRACTION = 0.2
"""Of what is unspent, not shared by demand.  Customers stick to few processes, so
shares by demand leave least in the platform, where an outage locks it away; what
lies with the wrong process is lent."""

SLICES_FRACTION = 0.6
"""Of what is unspent, held in slices; the rest stays in the ledger.  A request mostly
needs a renewal for room in the cap anyway, and that takes the tokens along; with all
handed out to 21 processes no slice holds a request any more, and each has to be
pieced together from others' slices, two writes a piece."""

INITIAL_SLICE_FRACTION = 0.25
"""Of an equal share of what is unspent, held for a customer that has asked for
nothing yet: its first requests may come in an outage."""

INITIAL_HEADROOM_FRACTION = 0.01
"""Of what is unspent, the least that all processes' caps together leave room for:
the first callers of an outage are served, and no more is charged for nothing."""

INITIAL_GROWTH_FRACTION = 0.005
"""Of what is unspent, the least by which a cap grows in `LEAST_SECONDS`.  Room
from the start was charged for nothing at each death, for every customer; a caller
who lacks room gets it by the next renewal."""

MIN_SLICE_REQUESTS = 1.5
"""A slice holds this many requests of the process's mean size even for a customer
without demand: its first requests may come in an outage."""

REFILL_FRACTION = 0.6
"""A slice below this part of its target is filled up."""


@dataclass(frozen=True, kw_only=True)
class AccountReservation:
    """Tokens set aside for one request: some of loans, the rest of the slice."""

    customer: str
    tokens: int
    borrowed: int
    reservation: Reservation | None


class Account:
    """One customer's tokens at this process.

    Attributes
    ----------
    waiting_tokens : int
        Tokens of all requests that wait for room now, at their most.
    read_at : float
        Monotonic second of which `ledger` is known to be.
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
        self._meter = DemandMeter()
        self._selection_hash = _hash_fraction(f"{holder}/{customer}")

    @property
    def ledger_known(self) -> bool:
        """Whether the customer's ledger has been seen."""
        return self.ledger.prepaid > 0 or self.slice.in_ledger

    @property
    def free(self) -> int:
        """Tokens of the slice that can be set aside now."""
        return self.slice.free

    @property
    def held(self) -> int:
        """Tokens of loans and slice that no request has, within the cap or not."""
        return self._borrowed + max(0, self.slice.free)

    @property
    def held_elsewhere(self) -> int:
        """Unspent tokens in the slices of all other processes, gone ones too."""
        own = self.slice.granted - self.slice.spent
        outstanding = self.ledger.held - self.ledger.total_spent
        return max(0, outstanding - own)

    @property
    def available(self) -> int:
        """Tokens that a request may take now, loans and slice together."""
        return self._borrowed + max(0, min(self.slice.free, self.cap_headroom))

    @property
    def cap_headroom(self) -> int:
        """Untold spend that the cap still allows."""
        cap = self.slice.cap + self.slice.grown
        return max(0, cap - self.slice.exposure(DIRECT))

    def grow(self, elapsed_seconds: float) -> None:
        """Let the cap grow by the seconds since the last try to write."""
        self.slice.grown = int(self.slice.growth * growth_seconds(elapsed_seconds))

    def reserve(self, tokens: int) -> AccountReservation | None:
        """Set tokens aside, of loans first: they can't be given back."""
        borrowed = min(tokens, self._borrowed)
        reservation = None
        if tokens > borrowed:
            reservation = self.reserve_from_slice(tokens - borrowed)
            if reservation is None:
                return None
        self._borrowed -= borrowed
        return AccountReservation(
            customer=self._customer,
            tokens=tokens,
            borrowed=borrowed,
            reservation=reservation,
        )

    def in_demand(self, now: float) -> bool:
        """Whether requests ask for the customer's tokens, or did so lately."""
        return bool(self.waiting_tokens or self._meter.rate(now=now))

    def record_demand(self, tokens: int, now: float) -> None:
        """Count the demand, whether it is met or not."""
        self._meter.add(tokens=tokens, now=now)

    def settle(self, hold: AccountReservation, *, spent: int) -> None:
        """Replace what was set aside by what the request took."""
        spent = min(spent, hold.tokens)
        self._borrowed += max(0, hold.borrowed - spent)
        if hold.reservation is not None:
            spent_of_slice = max(0, spent - hold.borrowed)
            self.slice.settle(hold.reservation, spent=spent_of_slice)

    def charge_open(self) -> None:
        """Charge the open requests at their most and set nothing aside any more.

        For a stop that cuts them: what they still take is within what is charged.
        """
        self._open_charged = True
        for reservation in list(self.slice.open_by_id.values()):
            self.slice.settle(reservation, spent=reservation.tokens)

    def lendable_tokens(self, asker: SliceNeed, now: float) -> int:
        """Return the tokens that an asker should rather have."""
        return tokens_to_lend(free=max(0, self.free), own=self.need(now), asker=asker)

    def lend(self, asker: SliceNeed, now: float) -> int:
        """Charge a loan to the slice and return its tokens; 0 for none."""
        tokens = min(self.lendable_tokens(asker, now), self.cap_headroom, asker.lacking)
        hold = self.reserve_from_slice(tokens)
        if hold is None:
            return 0
        self.slice.settle(hold, spent=tokens)
        return tokens

    def reserve_from_slice(self, tokens: int) -> Reservation | None:
        """Set tokens of the slice aside, or return None."""
        if tokens <= 0 or self._open_charged:
            return None
        try:
            return self.slice.reserve(sidecar=DIRECT, tokens=tokens)
        except BudgetRefused:
            return None

    def recall(self, tokens: int) -> None:
        """Give so much back at the next renewal, for a process that lacks it.

        0 takes that back.
        """
        self._recalled = max(self._recalled, tokens) if tokens else 0

    @property
    def returning(self) -> bool:
        """Whether tokens for another process are still on their way back."""
        return bool(self._recalled)

    def borrow(self, tokens: int) -> None:
        """Add a loan that came in."""
        self._borrowed += tokens

    def need(self, now: float, mean_request_tokens: int = 0) -> SliceNeed:
        """Return what the sizing of slices looks at.

        `typical` is the mean size of a request of any customer.
        """
        unspent = max(0, self.ledger.prepaid - self.ledger.total_spent)
        holders = max(1, self.ledger.holders)
        starting = int(unspent / holders * INITIAL_SLICE_FRACTION)
        return SliceNeed(
            holding=max(0, self.slice.granted - self.slice.spent),
            demand=self._meter.rate(now=now),
            largest_request=max(
                starting, int(mean_request_tokens * MIN_SLICE_REQUESTS)
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
        """Prepare a renewal where one is due; return whether one is pending."""
        if self.slice.pending is not None:
            self.slice.propose(nonce=nonce, cap=0)
            return True
        self.ledger = ledger
        need = self.need(now, mean_request_tokens)
        holder = self.slice.router
        wanted_tokens = tokens_to_take(ledger, router=holder, need=need)
        give_back = self._give_back(ledger, need)
        if self._recalled:
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
        """Take over a pending renewal that has taken effect in the ledger."""
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
        """Return what to give back; nothing that a request here waits for."""
        give_back = tokens_to_give_back(ledger, router=self.slice.router, need=need)
        give_back = max(give_back, self._recalled)
        return min(give_back, max(0, self.free - self.waiting_tokens))

    def _cap(self, need: SliceNeed, headroom_seconds: float) -> int:
        """Return the untold spend to allow from now on, all told being settled.

        Requests that wait count whole: room that was left before this renewal is
        gone with it, and one that only gets what it missed is refused.
        """
        unspent = max(0, self.ledger.prepaid - self.ledger.total_spent)
        holders = max(1, self.ledger.holders)
        starting = int(unspent * INITIAL_HEADROOM_FRACTION / holders)
        headroom = max(starting, int(need.demand / 60 * headroom_seconds))
        return self.slice.reserved + headroom + self.waiting_tokens

    def _is_due(
        self, holding: int, wanted_tokens: int, give_back: int, cap: int
    ) -> bool:
        # Without a grant no peer may renew this slice, so an empty one is made too.
        if self.waiting_tokens or give_back or not self.slice.in_ledger:
            return True
        # The stamp of this write makes all caps count from now on: one that had
        # grown would be charged as if it had not.
        if self.slice.exposure(DIRECT) > self.slice.cap:
            return True
        if self.slice.unsettled or self.slice.cap > 2 * cap:
            return True
        return wanted_tokens > holding * (1 - REFILL_FRACTION) / REFILL_FRACTION


def _hash_fraction(name: str) -> float:
    """Return a number from 0 to 1 that a name always has."""
    digest = blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


def growth_seconds(seconds: float) -> float:
    """Return for how much of the time since a write a cap has been growing."""
    return max(0.0, seconds - GROWTH_DELAY_SECONDS)
