"""One profile's budget at one router: its slice, its waiting callers, its refills.

An account's state is touched only between two awaits of its one task, except
for `try_reserve` and `settle`, which await nothing.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import curio
import msgspec

from ragwortkeel.budget.demand import DemandMeter
from ragwortkeel.budget.grant import Renewal
from ragwortkeel.budget.ledger import Ledger, decode_ledger, encode_ledger
from ragwortkeel.budget.refresh import SliceRefresh
from ragwortkeel.budget.sizing import (
    SliceNeed,
    exposure_cap,
    tokens_to_give_back,
    tokens_to_lend,
    tokens_to_take,
)
from ragwortkeel.budget.slice import Reservation, Slice
from ragwortkeel.configuration import LEDGERS, Spread
from ragwortkeel.exceptions import (
    BudgetExhausted,
    BudgetRefused,
    BudgetUnreachable,
    LedgerError,
    LedgerUnreadable,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    RouterSealed,
    VersionConflict,
)
from ragwortkeel.platform import Platform

ATTEMPTS = 8
"""Lost races in one refresh: routers of a busy profile write at the same time."""

EXHAUSTED_RETRY_SECONDS = 60.0
"""A spent budget changes by an operator's top-up, not by waiting."""

OUTAGE_RETRY_SECONDS = 5.0
"""An outage is over in seconds or in minutes; this finds the short ones."""


@dataclass(frozen=True, kw_only=True)
class BudgetTerms:
    """What the keeper has to know of a profile.

    Attributes
    ----------
    largest_request : int
        Tokens of the largest reservation to expect.
    """

    spread: Spread
    ride_out_seconds: float
    largest_request: int


_GONE = BudgetTerms(spread=Spread.NARROW, ride_out_seconds=1.0, largest_request=0)
"""Of a profile that is not configured any more: hold nothing for it."""


@dataclass(kw_only=True)
class Waiter:
    """A caller that waits for a refill; `done` says that its answer is there."""

    tokens: int
    sidecar: str
    refusal: BudgetRefused
    done: curio.Event = field(default_factory=curio.Event)
    reservation: Reservation | None = None


@dataclass(frozen=True, kw_only=True)
class Loan:
    """Another router's wish for the tokens that it lacks."""

    router: str
    tokens: int


class Account:
    """A profile's slice with all that keeps it filled.

    Parameters
    ----------
    terms : callable
        Returns the profile's `BudgetTerms` as they are now.
    sidecars : callable
        Returns the sidecar incarnations that the profile may use now.
    nonce : callable
        Returns a string that no other write carries.
    """

    def __init__(
        self,
        *,
        profile: str,
        router: str,
        platform: Platform,
        terms: Callable[[], BudgetTerms | None],
        sidecars: Callable[[], tuple[str, ...]],
        nonce: Callable[[], str],
        clock: Callable[[], float],
    ) -> None:
        self.profile = profile
        self.refresh = SliceRefresh(slice_=Slice(profile=profile, router=router))
        self.meter = DemandMeter()
        self.waiting: list[Waiter] = []
        self.loans: list[Loan] = []
        self.ledger = Ledger()
        self.reachable = True
        self.wake = curio.Event()
        self._platform = platform
        self._terms = terms
        self._sidecars = sidecars
        self._nonce = nonce
        self._clock = clock

    @property
    def slice(self) -> Slice:
        """The slice itself."""
        return self.refresh.slice

    def need(self) -> SliceNeed:
        """Return what slice sizes are worked out from."""
        terms = self._terms() or _GONE
        # A request above what the terms expect raises the cap while it waits.
        waiting = [waiter.tokens for waiter in self.waiting]
        return SliceNeed(
            holding=self.slice.free + self.slice.reserved,
            demand=self.meter.rate(now=self._clock()),
            largest_request=max([terms.largest_request, *waiting]),
            waiting=sum(waiting),
            lacking=self._lacking(),
            ride_out_seconds=terms.ride_out_seconds,
            spread=terms.spread,
        )

    def worth_writing(self) -> bool:
        """Whether a write to the ledger would change anything that matters."""
        slice_, router = self.slice, self.slice.router
        if slice_.pending or slice_.unsettled or self.loans:
            return True
        if not set(self._sidecars()) <= slice_.named:
            return True
        need = self.need()
        if tokens_to_give_back(self.ledger, router=router, need=need):
            return True
        take = tokens_to_take(self.ledger, router=router, need=need)
        # A slice well below its target is worth a write, a few tokens are not.
        return take > (0 if self.waiting else need.holding // 4)

    def hopeless(self, waiter: Waiter) -> bool:
        """Whether waiting longer can't help."""
        if not self.reachable:
            return True
        return waiter.tokens > self.ledger.prepaid - self.ledger.total_spent

    async def renew(self) -> list[Loan]:
        """Bring slice and ledger in step; return the loans that were granted.

        Raises
        ------
        RouterSealed
            The router has to go on under another incarnation.
        """
        granted: list[Loan] = []
        for _ in range(ATTEMPTS):
            try:
                if await self._renew_once(granted):
                    self.reachable = True
                    break
            except PlatformUnavailable:
                self.reachable = False
                break
        return granted

    async def close(self) -> bool:
        """Settle everything and end the grant; return whether that is done.

        A slice with open attempts stays: it ends by a seal.
        """
        if self.slice.open_by_id:
            return False
        for _ in range(ATTEMPTS):
            try:
                if await self._close_once():
                    return True
            except PlatformUnavailable:
                return False
            except RouterSealed:
                # Sealed, or closed by a write of ours whose answer was lost.
                return True
        return False

    def serve_waiting(self) -> list[Waiter]:
        """Reserve for all waiters that fit now and return them."""
        served = [waiter for waiter in self.waiting if self._fits(waiter)]
        self.waiting = [one for one in self.waiting if one.reservation is None]
        return served

    def refusal(self, found: BudgetRefused, *, tokens: int) -> BudgetRefused:
        """Return what to tell a caller whom the slice has refused these tokens."""
        spent = tokens > self.ledger.prepaid - self.ledger.total_spent
        if not self.reachable:
            kind, seconds = BudgetUnreachable, OUTAGE_RETRY_SECONDS
        elif spent or isinstance(found, BudgetExhausted):
            kind, seconds = BudgetExhausted, EXHAUSTED_RETRY_SECONDS
        else:
            return found
        return kind(
            profile=self.profile,
            tokens_left=found.tokens_left,
            retry_after_seconds=seconds,
        )

    def _lacking(self) -> int:
        smallest = min((waiter.tokens for waiter in self.waiting), default=0)
        return max(0, smallest - max(0, self.slice.free))

    def _fits(self, waiter: Waiter) -> bool:
        try:
            waiter.reservation = self.slice.reserve(
                sidecar=waiter.sidecar, tokens=waiter.tokens
            )
        except BudgetRefused as exc:
            waiter.refusal = exc
            return False
        return True

    async def _renew_once(self, granted: list[Loan]) -> bool:
        version = await self._read()
        if version is None or not self.worth_writing():
            return True
        renewal = self._propose(granted)
        try:
            ledger = self.ledger.renew(renewal)
        except LedgerError:
            self.refresh.record_refused()
            raise
        if not await self._write(ledger, version):
            granted.clear()
            return False
        self.ledger = ledger
        self.refresh.record_written(ledger)
        return True

    async def _close_once(self) -> bool:
        version = await self._read()
        if version is None or not self.slice.in_ledger:
            return True
        if self.slice.pending is not None:
            ledger = self.ledger.renew(self.slice.pending)
            if await self._write(ledger, version):
                self.refresh.record_written(ledger)
            return False
        last = self.slice.propose(nonce=self._nonce(), cap=0)
        return await self._write(self.ledger.close(last), version)

    async def _read(self) -> int | None:
        stored = await self._platform.get(LEDGERS, self.profile)
        if stored is None:
            self.ledger = Ledger()
            return None
        try:
            self.ledger = decode_ledger(stored.value)
        except msgspec.DecodeError as exc:
            raise LedgerUnreadable(f"{self.profile}: {exc}") from exc
        self.refresh.read(self.ledger, version=stored.version)
        return stored.version

    async def _write(self, ledger: Ledger, version: int) -> bool:
        value = encode_ledger(ledger)
        try:
            await self._platform.update(LEDGERS, self.profile, value, version)
        except (VersionConflict, ObjectNotFound):
            self.refresh.record_refused()
            return False
        except PlatformUnavailable:
            self.refresh.record_refused()
            raise
        except (OutcomeUnknown, curio.CancelledError) as exc:
            # It may land even now: the next read tells, and until then nothing
            # of what it gives back is spent.
            self.refresh.record_unknown(version=version)
            if isinstance(exc, curio.CancelledError):
                raise
            return False
        return True

    def _propose(self, granted: list[Loan]) -> Renewal:
        need, router = self.need(), self.slice.router
        loan = self._lend(need)
        give_back = tokens_to_give_back(self.ledger, router=router, need=need)
        want = tokens_to_take(self.ledger, router=router, need=need)
        if loan is not None:
            granted.append(loan)
            give_back, want = loan.tokens, 0
        sidecars = self._sidecars()
        cap = exposure_cap(
            holding=need.holding + want, sidecars=len(sidecars), need=need
        )
        return self.slice.propose(
            nonce=self._nonce(),
            sidecars=sidecars,
            want=want,
            give_back=give_back,
            give_to=loan.router if loan else "",
            cap=cap,
            demand=need.demand,
        )

    def _lend(self, need: SliceNeed) -> Loan | None:
        while self.loans and self.slice.pending is None:
            loan = self.loans.pop(0)
            grant = self.ledger.grants.get(loan.router)
            if grant is None:
                continue
            asker = SliceNeed(
                holding=max(0, grant.granted - grant.used),
                demand=grant.demand,
                largest_request=need.largest_request,
                lacking=loan.tokens,
                ride_out_seconds=need.ride_out_seconds,
                spread=need.spread,
            )
            tokens = tokens_to_lend(free=self.slice.free, own=need, asker=asker)
            if tokens:
                return Loan(router=loan.router, tokens=tokens)
        return None
