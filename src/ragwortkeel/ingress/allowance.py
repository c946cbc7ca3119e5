"""Customers' prepaid budgets as one ingress process holds them: slices and loans.

All customers' ledgers lie in a few objects of the platform (`Shard`), so that one
conditional write renews the slices of many.  A ledger's arithmetic, and why a
slice can't overspend whatever answers are lost, is `budget.ledger` and
`budget.slice`; here a slice is spent by requests straight to upstreams, which
counts as one sidecar called `DIRECT`.

What a dead process spent since it last told the ledger is not known.  Each
process therefore keeps its untold spend and open reservations under a cap that
stands in the ledger, and its successor on the same machine charges the cap.  A
fixed cap would have to hold a whole outage of the platform and would strand that
much at each kill; so it grows some time after the last write, at the rate of the
demand, and the successor charges what it can have grown to.  Both count to
the safe side: the process from its last *try* to write and by its slowest clock,
the successor up to its own start and by its fastest.  A process that is frozen,
cut off or killed thus can't lead to an overspend, and only its own successor ever
takes anything back.

A loan moves tokens between processes while the platform is away.  The lender
charges the whole loan as spent before it sends it, so a loan that is lost is
stranded, never spent twice.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from math import ceil
from typing import Self

import msgspec

from ragwortkeel.budget.demand import DemandMeter
from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.sizing import SliceNeed, to_give_back, to_lend, to_take
from ragwortkeel.budget.slice import Reservation, Slice
from ragwortkeel.configuration import Spread
from ragwortkeel.exceptions import BudgetRefused, LedgerUnreadable
from ragwortkeel.ingress.clocks import Reading, Stamp

SHARDS_KIND = "customer-ledgers"

DIRECT = "direct"
"""What a ledger calls the way to upstreams without a sidecar."""

HEADROOM_SECONDS = 1.2
"""Demand that a cap leaves room for at the least: two renewals of half a second,
as requests come in lumps.  All of it is charged for nothing where a process dies."""

HEADROOM_RENEWALS = 2.5
"""The same in renewals, for hours in which the platform is slow, or so many
processes write that each has to try again: a cap that holds less than the demand
until the next renewal refuses callers whose tokens are there."""

LONGEST_PAUSE_SECONDS = 3.0
"""A pause between renewals counts up to this; a longer one was an outage, which
the growth of the caps is for."""

PAUSE_WEIGHT = 0.4
"""Of the newest pause: a slow platform shows after two or three renewals."""

GROWTH_DELAY_SECONDS = 5.5
"""A cap grows only from then on after the last write.  A killed process is back
and has taken its start's time within 2.5 s, and after a loss of power a jump of the
time of day of 3 s is allowed for: so an ordinary death costs the headroom alone."""

GROWTH_FACTOR = 1.5
"""How fast a cap grows then, against the demand: an outage has to be caught up
with, and its demand may be higher than that before it."""

LEAST_SECONDS = 8.0
"""A cap grows by at least its least room in so many seconds, the length of an
ordinary outage, for customers whose demand is not known yet."""

USABLE_SHARE = 0.99
"""Of what is prepaid; the rest covers tokens that an upstream makes between the
last event a caller got and the close of a broken stream."""

RIDE_OUT_SECONDS = 12.0
"""Outages of the platform to bridge with what is held.  Longer, and more is
stranded with processes that die in an outage; shorter, and callers are refused."""

EQUAL_PART = 0.2
"""Of what is unspent, not shared by demand.  Customers stick to few processes, so
shares by demand leave least in the platform, where an outage locks it away; what
lies with the wrong process is lent."""

STARTING_SHARE = 0.25
"""Of an equal share of what is unspent, held for a customer that has asked for
nothing yet: its first requests may come in an outage."""

STARTING_CAP_SHARE = 0.005
"""Of what is unspent, the least that a cap allows: more is charged for nothing
when processes die, less refuses the first callers of an outage."""

TYPICAL_REQUESTS = 1.5
"""A slice holds this many requests of the process's mean size even for a customer
without demand: its first requests may come in an outage."""

LONGEST_AGE_SECONDS = 3600.0
"""From here on a dead process's grant is charged whole; its cap has long grown to
that, and no clock has to be believed for so long."""

TYPICAL_WEIGHT = 0.05
"""Of the newest request in the mean size: some twenty requests count."""

REFILL_SHARE = 0.6
"""A slice below this part of its target is filled up."""


class Shard(msgspec.Struct, frozen=True, kw_only=True):
    """Some customers' ledgers, and the configuration that set their budgets."""

    revision: int = 0
    ledger_by_customer: dict[str, Ledger] = {}
    stamp_by_holder: dict[str, Stamp] = {}

    def provisioned(self, prepaid_by_customer: dict[str, int], revision: int) -> Self:
        """Return the shard with the budgets of a configuration.

        Of an older configuration nothing is taken over: a process that lags
        would undo a top-up.
        """
        if revision <= self.revision:
            return self
        ledgers = dict(self.ledger_by_customer)
        for name, prepaid in prepaid_by_customer.items():
            ledger = ledgers.get(name, Ledger())
            usable = int(prepaid * USABLE_SHARE)
            ledgers[name] = msgspec.structs.replace(ledger, prepaid=usable)
        return msgspec.structs.replace(
            self, revision=revision, ledger_by_customer=ledgers
        )


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Shard)


def encode_shard(shard: Shard) -> bytes:
    """Return the value to keep in the platform."""
    return _encoder.encode(shard)


def decode_shard(value: bytes) -> Shard:
    """Return the shard; `LedgerUnreadable` where it is not one."""
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as exc:
        raise LedgerUnreadable(str(exc)) from exc


@dataclass(frozen=True, kw_only=True)
class Hold:
    """Tokens set aside for one request: some of loans, the rest of the slice."""

    customer: str
    tokens: int
    borrowed: int
    reservation: Reservation | None


class Account:
    """One customer's tokens at this process."""

    def __init__(self, *, customer: str, holder: str) -> None:
        self.slice = Slice(profile=customer, router=holder)
        self.ledger = Ledger()
        self.lacking = 0
        self._customer = customer
        self._borrowed = 0
        self._meter = DemandMeter()

    @property
    def free(self) -> int:
        """Tokens of the slice that can be set aside now."""
        return self.slice.free

    @property
    def available(self) -> int:
        """Tokens that a request may take now, loans and slice together."""
        return self._borrowed + max(0, min(self.slice.free, self.cap_room))

    @property
    def cap_room(self) -> int:
        """Untold spend that the cap still allows."""
        cap = self.slice.cap + self.slice.grown
        return max(0, cap - self.slice.exposure(DIRECT))

    def grow(self, silent: float) -> None:
        """Let the cap grow by the seconds since the last try to write."""
        self.slice.grown = int(self.slice.growth * _growing(silent))

    def reserve(self, tokens: int) -> Hold | None:
        """Set tokens aside, of loans first: they can't be given back."""
        borrowed = min(tokens, self._borrowed)
        reservation = None
        if tokens > borrowed:
            reservation = self.reserve_of_slice(tokens - borrowed)
            if reservation is None:
                return None
        self._borrowed -= borrowed
        return Hold(
            customer=self._customer,
            tokens=tokens,
            borrowed=borrowed,
            reservation=reservation,
        )

    def asked(self, tokens: int, now: float) -> None:
        """Count the demand, whether it is met or not."""
        self._meter.add(tokens=tokens, now=now)

    def settle(self, hold: Hold, *, spent: int) -> None:
        """Replace what was set aside by what the request took."""
        spent = min(spent, hold.tokens)
        self._borrowed += max(0, hold.borrowed - spent)
        if hold.reservation is not None:
            of_slice = max(0, spent - hold.borrowed)
            self.slice.settle(hold.reservation, spent=of_slice)

    def lend(self, asker: SliceNeed, now: float) -> int:
        """Charge a loan to the slice and return its tokens; 0 for none."""
        tokens = min(
            self.free,
            to_lend(free=max(0, self.free), own=self.need(now), asker=asker),
            asker.lacking,
        )
        hold = self.reserve_of_slice(tokens)
        if hold is None:
            return 0
        self.slice.settle(hold, spent=tokens)
        return tokens

    def reserve_of_slice(self, tokens: int) -> Reservation | None:
        """Set tokens of the slice aside, or return None."""
        if tokens <= 0:
            return None
        try:
            return self.slice.reserve(sidecar=DIRECT, tokens=tokens)
        except BudgetRefused:
            return None

    def borrow(self, tokens: int) -> None:
        """Add a loan that came in."""
        self._borrowed += tokens

    def need(self, now: float, typical: int = 0) -> SliceNeed:
        """Return what the sizing of slices looks at.

        `typical` is the mean size of a request of any customer.
        """
        unspent = max(0, self.ledger.prepaid - self.ledger.total_spent)
        holders = max(1, len(self.ledger.grants))
        starting = int(unspent / holders * STARTING_SHARE)
        return SliceNeed(
            holding=max(0, self.slice.granted - self.slice.spent),
            demand=self._meter.rate(now=now),
            largest_request=max(starting, int(typical * TYPICAL_REQUESTS)),
            waiting=self.lacking,
            lacking=self.lacking,
            ride_out_seconds=RIDE_OUT_SECONDS,
            spread=Spread.WIDE,
            equal_part=EQUAL_PART,
        )

    def propose(
        self,
        ledger: Ledger,
        *,
        nonce: str,
        typical: int,
        headroom_seconds: float,
        now: float,
    ) -> bool:
        """Prepare a renewal where one is due; return whether one is pending."""
        if self.slice.pending is not None:
            self.slice.propose(nonce=nonce, cap=0)
            return True
        self.ledger = ledger
        need = self.need(now, typical)
        holder = self.slice.router
        take = to_take(ledger, router=holder, need=need)
        give_back = to_give_back(ledger, router=holder, need=need)
        least = self._least_room(typical)
        cap = self._cap(need, least, headroom_seconds)
        if not self._due(need.holding, take, give_back, cap):
            return False
        self.slice.propose(
            nonce=nonce,
            sidecars=(DIRECT,),
            want=take,
            give_back=give_back,
            cap=cap,
            growth=int(GROWTH_FACTOR * need.demand / 60 + least / LEAST_SECONDS),
            demand=need.demand,
        )
        return True

    def resolve(self, ledger: Ledger) -> None:
        """Take over a pending renewal that has taken effect in the ledger."""
        self.ledger = ledger
        grant = ledger.grants.get(self.slice.router)
        if self.slice.owns(grant):
            self.slice.accept(grant)

    def _least_room(self, typical: int) -> int:
        unspent = max(0, self.ledger.prepaid - self.ledger.total_spent)
        return max(int(unspent * STARTING_CAP_SHARE), typical)

    def _cap(self, need: SliceNeed, least: int, headroom_seconds: float) -> int:
        """Return the untold spend to allow from now on, all told being settled."""
        headroom = int(need.demand / 60 * headroom_seconds)
        return self.slice.reserved + max(headroom, least) + self.lacking

    def _due(self, holding: int, take: int, give_back: int, cap: int) -> bool:
        if self.lacking or give_back:
            return True
        # The stamp of this write makes all caps count from now on: one that had
        # grown would be charged as if it had not.
        if self.slice.exposure(DIRECT) > self.slice.cap:
            return True
        if self.slice.unsettled or self.slice.cap > 2 * cap:
            return True
        return take > holding * (1 - REFILL_SHARE) / REFILL_SHARE


class Allowances:
    """All customers' accounts at one process, and their renewal.

    Parameters
    ----------
    holder : str
        Incarnation of this process; a start under the same name is another one.
    started : Reading
        The clocks at the start of this process.

    Examples
    --------
    >>> reading = Reading(monotonic=0.0, boot=0.0, wall=0.0)
    >>> allowances = Allowances(holder="ingress-1/a", started=reading)
    >>> shard = Shard().provisioned({"surco": 1000}, revision=1)
    >>> allowances.asked("surco", 100, 0.0)
    >>> renewed = allowances.renewed(shard, reading)
    >>> allowances.resolve(renewed)
    >>> allowances.account("surco").free > 100
    True
    """

    def __init__(self, *, holder: str, started: Reading) -> None:
        self.holder = holder
        self._started = started
        self._account_by_customer: dict[str, Account] = {}
        self._nonces = count(1)
        self._typical = 0.0
        self._pause = 0.0

    def account(self, customer: str) -> Account:
        """Return the customer's account."""
        account = self._account_by_customer.get(customer)
        if account is None:
            account = Account(customer=customer, holder=self.holder)
            self._account_by_customer[customer] = account
        return account

    @property
    def lacking(self) -> bool:
        """Whether a request waits for tokens."""
        return any(one.lacking for one in self._account_by_customer.values())

    def resolve(self, shard: Shard) -> None:
        """Take over from the platform's shard what has taken effect there."""
        for name, ledger in shard.ledger_by_customer.items():
            self.account(name).resolve(ledger)

    def asked(self, customer: str, tokens: int, now: float) -> None:
        """Count the demand of a request, whether it is met or not."""
        self.account(customer).asked(tokens, now)
        self._typical += (tokens - self._typical) * TYPICAL_WEIGHT

    def renewed_after(self, pause: float) -> None:
        """Note the seconds between two renewals that took effect."""
        pause = min(pause, LONGEST_PAUSE_SECONDS)
        self._pause += (pause - self._pause) * PAUSE_WEIGHT

    @property
    def headroom_seconds(self) -> float:
        """Demand that a cap leaves room for, in seconds."""
        return max(HEADROOM_SECONDS, HEADROOM_RENEWALS * self._pause)

    def grow(self, silent: float) -> None:
        """Let all caps grow by the seconds since the last try to write."""
        for account in self._account_by_customer.values():
            account.grow(silent)

    def renewed(self, shard: Shard, reading: Reading) -> Shard:
        """Return the shard with all renewals that are due and a new stamp."""
        ledgers = dict(shard.ledger_by_customer)
        typical = int(self._typical)
        for name, ledger in shard.ledger_by_customer.items():
            account = self.account(name)
            nonce = f"{self.holder}/{next(self._nonces)}"
            due = account.propose(
                ledger,
                nonce=nonce,
                typical=typical,
                headroom_seconds=self.headroom_seconds,
                now=reading.monotonic,
            )
            if due:
                ledgers[name] = ledger.renew(account.slice.pending)
        stamps = shard.stamp_by_holder | {self.holder: reading.stamp}
        return msgspec.structs.replace(
            shard, ledger_by_customer=ledgers, stamp_by_holder=stamps
        )

    def closed(self, shard: Shard) -> Shard:
        """Return the shard without this process's grants, its spend charged.

        Call it only when no request is open.
        """
        ledgers = dict(shard.ledger_by_customer)
        for name, account in self._account_by_customer.items():
            ledger = ledgers.get(name)
            if ledger is None or self.holder not in ledger.grants:
                continue
            pending = account.slice.pending
            if pending is not None:
                ledger = ledger.renew(pending)
                account.resolve(ledger)
            renewal = account.slice.propose(nonce=f"{self.holder}/end", cap=0)
            ledgers[name] = ledger.close(renewal)
        return msgspec.structs.replace(
            shard,
            ledger_by_customer=ledgers,
            stamp_by_holder=_without(shard.stamp_by_holder, self.holder),
        )

    def merged(self, shard: Shard) -> Shard:
        """Return the shard without the grants of earlier starts of this process."""
        for predecessor in self.predecessors(shard):
            holder, age = predecessor.holder, predecessor.age
            ledgers = {
                customer: _charged(ledger, holder, age=age)
                for customer, ledger in shard.ledger_by_customer.items()
            }
            shard = msgspec.structs.replace(
                shard,
                ledger_by_customer=ledgers,
                stamp_by_holder=_without(shard.stamp_by_holder, holder),
            )
        return shard

    def predecessors(self, shard: Shard) -> list["Predecessor"]:
        """Return the earlier starts of this process that still hold grants.

        Only one process of a name runs at a time, so they were dead when this one
        started: what counts is the age of their last write then, even where the
        platform can be read only much later.
        """
        node = _node(self.holder)
        holders = set(shard.stamp_by_holder)
        for ledger in shard.ledger_by_customer.values():
            holders |= ledger.grants.keys()
        dead = sorted(h for h in holders if _node(h) == node and h != self.holder)
        return [
            Predecessor(
                holder=holder,
                age=_age(shard.stamp_by_holder.get(holder), self._started),
                granted=_sum_over(shard, holder, lambda grant: grant.granted),
                told=_sum_over(shard, holder, lambda grant: grant.used),
            )
            for holder in dead
        ]


@dataclass(frozen=True, kw_only=True)
class Predecessor:
    """An earlier start of a process.

    `age` bounds the seconds from its last write to its death; `granted` are the
    tokens it held in all ledgers, `told` those it had told as spent.
    """

    holder: str
    age: float
    granted: int
    told: int


def _sum_over(shard: Shard, holder: str, tokens: Callable[[Grant], int]) -> int:
    ledgers = shard.ledger_by_customer.values()
    return sum(tokens(one.grants[holder]) for one in ledgers if holder in one.grants)


def _age(stamp: Stamp | None, reading: Reading) -> float:
    return float("inf") if stamp is None else stamp.age(reading.stamp)


def _charged(ledger: Ledger, holder: str, *, age: float) -> Ledger:
    """Return the ledger with a dead process's grant closed and charged."""
    grant = ledger.grants.get(holder)
    if grant is None:
        return ledger
    cap = grant.granted
    if age < LONGEST_AGE_SECONDS:
        cap = min(cap, grant.cap + ceil(grant.growth * _growing(age)))
    grants = ledger.grants | {holder: msgspec.structs.replace(grant, cap=cap)}
    ledger = msgspec.structs.replace(ledger, grants=grants)
    return ledger.seal(holder).write_off(router=holder, sidecar=DIRECT)


def _growing(seconds: float) -> float:
    """Return for how much of the time since a write a cap has been growing."""
    return max(0.0, seconds - GROWTH_DELAY_SECONDS)


def _node(holder: str) -> str:
    return holder.partition("/")[0]


def _without(stamps: dict[str, Stamp], holder: str) -> dict[str, Stamp]:
    return {name: stamp for name, stamp in stamps.items() if name != holder}
