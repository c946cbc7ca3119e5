"""One profile's budget at one router: its slice, waiting callers and renewals.

One task renews an account.  Other tasks change it only between two awaits of that
task: they reserve, settle, and add or remove waiters and loans.
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
    LedgerFull,
    LedgerUnreadable,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    RouterSealed,
    ValueRefused,
    VersionConflict,
)
from ragwortkeel.platform import Platform

MAX_WRITE_ATTEMPTS = 8
"""Greatest number of attempts to write the ledger in one renewal.

Routers of a busy profile write at the same time, and only one of these writes succeeds.
"""

EXHAUSTED_RETRY_SECONDS = 60.0
"""Delay that a refused caller is asked for when the budget is spent.

Only an operator's top-up changes that, so early retries are useless.
"""

OUTAGE_RETRY_SECONDS = 5.0
"""Delay that a refused caller is asked for while the platform is unreachable.

Outages last seconds or minutes; the delay suits the short ones.
"""


@dataclass(frozen=True, kw_only=True)
class BudgetTerms:
    """The settings of a profile that determine the size of its slices.

    Attributes
    ----------
    largest_request : int
        Tokens of the largest expected reservation.
    """

    spread: Spread
    ride_out_seconds: float
    largest_request: int


_UNCONFIGURED_TERMS = BudgetTerms(
    spread=Spread.NARROW, ride_out_seconds=1.0, largest_request=0
)
"""Terms of a profile that is no longer configured: its slice should be empty."""


@dataclass(kw_only=True)
class Waiter:
    """A caller that waits for tokens; `done` is set once it is served or refused."""

    tokens: int
    sidecar: str
    refusal: BudgetRefused
    done: curio.Event = field(default_factory=curio.Event)
    reservation: Reservation | None = None


@dataclass(frozen=True, kw_only=True)
class Loan:
    """Tokens that another router requests, or that it is lent."""

    router: str
    tokens: int


class Account:
    """A profile's slice, its waiting callers, and the writes that renew it.

    Parameters
    ----------
    terms : callable
        Returns the profile's current `BudgetTerms`, or None if it is not configured.
    sidecars : callable
        Returns the sidecar incarnations that the profile may use now.
    nonce : callable
        Returns a string that is unique to one write.
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
        self.waiters: list[Waiter] = []
        self.requested_loans: list[Loan] = []
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
        """The slice from which requests reserve tokens."""
        return self.refresh.slice

    def need(self) -> SliceNeed:
        """Return the figures from which slice sizes are computed."""
        terms = self._terms() or _UNCONFIGURED_TERMS
        # A request larger than the terms expect raises the cap while it waits.
        waiting_tokens = [waiter.tokens for waiter in self.waiters]
        return SliceNeed(
            holding=self.slice.free + self.slice.reserved,
            demand=self.meter.rate(now=self._clock()),
            largest_request=max([terms.largest_request, *waiting_tokens]),
            waiting=sum(waiting_tokens),
            lacking=self._lacking_tokens(),
            ride_out_seconds=terms.ride_out_seconds,
            spread=terms.spread,
        )

    def needs_write(self) -> bool:
        """Return whether the ledger has to be written."""
        slice_, router = self.slice, self.slice.router
        if slice_.pending or slice_.unsettled or self.requested_loans:
            return True
        if not set(self._sidecars()) <= slice_.named:
            return True
        need = self.need()
        if tokens_to_give_back(self.ledger, router=router, need=need):
            return True
        want = tokens_to_take(self.ledger, router=router, need=need)
        # Without waiting callers, a write has to add over a quarter of the slice; fewer
        # tokens are not worth a write.
        return want > (0 if self.waiters else need.holding // 4)

    def cannot_be_served(self, waiter: Waiter) -> bool:
        """Return whether more waiting cannot provide the waiter's tokens."""
        if not self.reachable:
            return True
        return waiter.tokens > self.ledger.prepaid - self.ledger.total_spent

    async def renew(self) -> list[Loan]:
        """Synchronize the slice with the ledger; return the loans made to peers.

        Raises
        ------
        RouterSealed
            The router needs another incarnation.
        LedgerError
            The ledger is unreadable or rejects the renewal.
        """
        lent: list[Loan] = []
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                if await self._renew_once(lent):
                    self.reachable = True
                    break
            except PlatformUnavailable:
                self.reachable = False
                break
        return lent

    async def close(self) -> bool:
        """Settle all spend and end the grant; return whether it is closed or sealed.

        The grant of a slice with open attempts stays until a seal ends it.
        """
        if self.slice.open_by_id:
            return False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                if await self._close_once():
                    return True
            except (PlatformUnavailable, LedgerError):
                return False
            except RouterSealed:
                # Sealed, or closed by an earlier write whose answer was lost.
                return True
        return False

    def serve_waiters(self) -> list[Waiter]:
        """Reserve tokens for all waiters that the slice can serve; return them."""
        served = [waiter for waiter in self.waiters if self._try_reserve(waiter)]
        self.waiters = [other for other in self.waiters if other.reservation is None]
        return served

    def refusal(self, slice_refusal: BudgetRefused, *, tokens: int) -> BudgetRefused:
        """Return the error for a caller that the slice refused these tokens."""
        spent = tokens > self.ledger.prepaid - self.ledger.total_spent
        if not self.reachable:
            kind, seconds = BudgetUnreachable, OUTAGE_RETRY_SECONDS
        elif spent or isinstance(slice_refusal, BudgetExhausted):
            kind, seconds = BudgetExhausted, EXHAUSTED_RETRY_SECONDS
        else:
            return slice_refusal
        return kind(
            profile=self.profile,
            tokens_left=slice_refusal.tokens_left,
            retry_after_seconds=seconds,
        )

    def _lacking_tokens(self) -> int:
        smallest = min((waiter.tokens for waiter in self.waiters), default=0)
        return max(0, smallest - max(0, self.slice.free))

    def _try_reserve(self, waiter: Waiter) -> bool:
        try:
            waiter.reservation = self.slice.reserve(
                sidecar=waiter.sidecar, tokens=waiter.tokens
            )
        except BudgetRefused as exc:
            waiter.refusal = exc
            return False
        return True

    async def _renew_once(self, lent: list[Loan]) -> bool:
        version = await self._read()
        if version is None or not self.needs_write():
            return True
        renewal = self._propose(lent)
        try:
            ledger = self.ledger.renew(renewal)
        except LedgerError:
            self.refresh.record_refused()
            raise
        if not await self._write(ledger, version):
            lent.clear()
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
        except ValueRefused as exc:
            self.refresh.record_refused()
            raise LedgerFull(f"{self.profile}: {exc}") from exc
        except (OutcomeUnknown, curio.CancelledError) as exc:
            # The write may still take effect.  The next read shows whether it did;
            # until then the tokens that it returns are not spent.
            self.refresh.record_unknown(version=version)
            if isinstance(exc, curio.CancelledError):
                raise
            return False
        return True

    def _propose(self, lent: list[Loan]) -> Renewal:
        need, router = self.need(), self.slice.router
        loan = self._next_loan(need)
        give_back = tokens_to_give_back(self.ledger, router=router, need=need)
        want = tokens_to_take(self.ledger, router=router, need=need)
        if loan is not None:
            lent.append(loan)
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

    def _next_loan(self, need: SliceNeed) -> Loan | None:
        while self.requested_loans and self.slice.pending is None:
            loan = self.requested_loans.pop(0)
            grant = self.ledger.grants.get(loan.router)
            if grant is None:
                continue
            borrower = SliceNeed(
                holding=max(0, grant.granted - grant.used),
                demand=grant.demand,
                largest_request=need.largest_request,
                lacking=loan.tokens,
                ride_out_seconds=need.ride_out_seconds,
                spread=need.spread,
            )
            tokens = tokens_to_lend(free=self.slice.free, own=need, borrower=borrower)
            if tokens:
                return Loan(router=loan.router, tokens=tokens)
        return None
