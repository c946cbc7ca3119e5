"""Reservation and settlement of requests' tokens from a router's slices.

Requests call `reserve` and `settle`.  For each profile in use, one task settles,
renews and lends tokens in the background, by single conditional updates of the
profile's ledger.  An outage of the platform stops renewals but not admission: slices
are sized to last through it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from uuid import uuid4

import curio

from ragwortkeel.budget.sizing import best_givers
from ragwortkeel.budget.slice import Reservation
from ragwortkeel.exceptions import (
    BudgetRefused,
    LedgerError,
    LinkLost,
    RouterSealed,
)
from ragwortkeel.logs import log_warning
from ragwortkeel.messages import SliceRequest, SliceTransfer, SliceTransferred
from ragwortkeel.platform import Platform
from ragwortkeel.router.budget_account import Account, BudgetTerms, Loan, Waiter

REFRESH_INTERVAL_SECONDS = 1.0
"""Interval between two checks whether an account needs a write to its ledger.

While the platform is reachable, other routers see settled spend after about this time.
"""

IDLE_READ_INTERVAL_SECONDS = 5.0
"""Time after which an idle account reads its ledger again.

The ledger may contain a recall, a retirement or a top-up.
"""

MAX_WAIT_SECONDS = 1.0
"""Longest time that a caller waits for tokens.

A renewal takes milliseconds, a loan somewhat longer.
"""

WAITING_REFRESH_INTERVAL_SECONDS = 0.2
"""Interval between two attempts to obtain tokens while callers wait."""


@dataclass(frozen=True, kw_only=True)
class AccountRow:
    """State of an account for metrics and status; amounts are in tokens."""

    profile: str
    free: int
    reserved: int
    unsettled: int
    cap: int
    reachable: bool


class BudgetKeeper:
    """Reserves and settles the tokens of all profiles at one router.

    Parameters
    ----------
    platform : Platform
        Stores the ledgers.
    incarnation : str
        The router's incarnation; replaced after a seal.
    terms : callable
        Returns the `BudgetTerms` of a profile, or None if it is not configured.
    sidecars : callable
        Returns the sidecar incarnations that a profile may use now.
    reincarnate : async callable
        Called after this incarnation was sealed; returns the next one, under which
        the router sends from then on.  It must not suspend: reservations of one
        incarnation must not be sent under another.
    send : async callable
        Sends a message to the router of an incarnation; may raise `LinkLost`.
    clock : callable
        Returns monotonic seconds.
    observe : callable, optional
        Called with the outcome of each renewal, for metrics.
    wait_seconds : float, optional
        Longest time that `reserve` waits for tokens.

    Examples
    --------
    >>> reservation = await keeper.reserve("advisor-chat", 900, "s1-4c2e")
    >>> await keeper.settle(reservation, 412)

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        platform: Platform,
        incarnation: str,
        terms: Callable[[str], BudgetTerms | None],
        sidecars: Callable[[str], tuple[str, ...]],
        reincarnate: Callable[[], Awaitable[str]],
        send: Callable[[str, SliceRequest | SliceTransfer], Awaitable[None]],
        clock: Callable[[], float],
        observe: Callable[[str], None] = lambda outcome: None,
        wait_seconds: float = MAX_WAIT_SECONDS,
    ) -> None:
        self.incarnation = incarnation
        self._platform = platform
        self._terms = terms
        self._sidecars = sidecars
        self._reincarnate = reincarnate
        self._send = send
        self._clock = clock
        self._observe = observe
        self._wait_seconds = wait_seconds
        self._accounts_by_profile: dict[str, Account] = {}
        self._new_accounts: curio.Queue = curio.Queue()
        self._sealed_incarnations: curio.Queue = curio.Queue()

    async def run(self) -> None:
        """Renew all accounts until cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(self._replace_sealed_incarnations)
            while True:
                account = await self._new_accounts.get()
                await group.spawn(self._run_account, account)

    async def reserve(self, profile: str, tokens: int, sidecar: str) -> Reservation:
        """Reserve tokens for one attempt through a sidecar incarnation.

        If the slice refuses, waits for a renewal or a loan, unless the platform is
        unreachable.

        Raises
        ------
        BudgetExhausted, BudgetUnreachable, ExposureFull, SidecarNotNamed
            No tokens are reserved; `retry_after_seconds` holds the delay after
            which a retry may succeed.
        """
        account = await self._get_account(profile)
        account.meter.add(tokens=tokens, now=self._clock())
        try:
            return account.slice.reserve(sidecar=sidecar, tokens=tokens)
        except BudgetRefused as exc:
            if not account.reachable:
                raise account.refusal(exc, tokens=tokens) from exc
            waiter = Waiter(tokens=tokens, sidecar=sidecar, refusal=exc)
        return await self._wait_for_tokens(account, waiter)

    async def settle(self, reservation: Reservation, spent: int) -> None:
        """Replace a reservation with the tokens that its attempt spent.

        Call it only once the attempt certainly spends no more.  A reservation of a
        sealed incarnation is ignored: the seal collects its spend from the sidecars.
        """
        account = self._accounts_by_profile.get(reservation.profile)
        if account is None or account.slice.router != reservation.router:
            return
        account.slice.settle(reservation, spent=spent)
        for waiter in account.serve_waiters():
            await waiter.done.set()

    def remove_sidecar(self, sidecar: str) -> None:
        """Exclude a permanently stopped sidecar from all slices."""
        for account in self._accounts_by_profile.values():
            account.slice.drop(sidecar)

    async def receive_slice_request(self, router: str, request: SliceRequest) -> None:
        """Queue another router's request for tokens; a loan is reported to it."""
        account = self._accounts_by_profile.get(request.profile)
        if account is not None:
            account.requested_loans.append(Loan(router=router, tokens=request.tokens))
            await account.wake.set()

    async def receive_slice_transfer(self, transfer: SliceTransfer) -> SliceTransferred:
        """Wake the account's task, and return the acknowledgment of the transfer.

        The lender's write has already added the tokens to this router's grant.  The
        message only makes the account read its ledger sooner if callers wait, so that
        no tokens are lost with a lost message.
        """
        account = self._accounts_by_profile.get(transfer.profile)
        if account is not None:
            await account.wake.set()
        return SliceTransferred(transfer_id=transfer.transfer_id)

    async def return_slices(self) -> bool:
        """Settle and return all slices; return whether all were returned.

        Call it when no attempt is open and `run` is cancelled.  A slice that is not
        returned stays granted until another router seals this one.
        """
        accounts = list(self._accounts_by_profile.values())
        try:
            return all([await account.close() for account in accounts])
        except RouterSealed:
            return False

    def rows(self) -> list[AccountRow]:
        """Return all accounts for metrics."""
        return [_row(account) for account in self._accounts_by_profile.values()]

    async def _get_account(self, profile: str) -> Account:
        account = self._accounts_by_profile.get(profile)
        if account is None:
            account = self._new_account(profile)
            await self._new_accounts.put(account)
        return account

    def _new_account(self, profile: str) -> Account:
        account = Account(
            profile=profile,
            router=self.incarnation,
            platform=self._platform,
            terms=lambda: self._terms(profile),
            sidecars=lambda: self._sidecars(profile),
            nonce=lambda: uuid4().hex,
            clock=self._clock,
        )
        self._accounts_by_profile[profile] = account
        return account

    async def _wait_for_tokens(self, account: Account, waiter: Waiter) -> Reservation:
        account.waiters.append(waiter)
        await account.wake.set()
        accepted = False
        try:
            async with curio.ignore_after(self._wait_seconds):
                await waiter.done.wait()
            accepted = waiter.reservation is not None
        finally:
            # After a seal the waiter belongs to the next incarnation's account.
            account = self._accounts_by_profile.get(account.profile, account)
            account.waiters = [
                other for other in account.waiters if other is not waiter
            ]
            if waiter.reservation is not None and not accepted:
                # The caller was cancelled just after its tokens were reserved.
                await self.settle(waiter.reservation, 0)
        if not accepted:
            raise account.refusal(waiter.refusal, tokens=waiter.tokens)
        return waiter.reservation

    async def _run_account(self, account: Account) -> None:
        last_renewal_at = self._clock()
        while account is self._accounts_by_profile.get(account.profile):
            interval = (
                WAITING_REFRESH_INTERVAL_SECONDS
                if account.waiters
                else REFRESH_INTERVAL_SECONDS
            )
            async with curio.ignore_after(interval):
                await account.wake.wait()
            account.wake.clear()
            overdue = self._clock() - last_renewal_at >= IDLE_READ_INTERVAL_SECONDS
            if not (account.waiters or overdue or account.needs_write()):
                continue
            last_renewal_at = self._clock()
            await self._renew(account)

    async def _renew(self, account: Account) -> None:
        lent: list[Loan] = []
        try:
            lent = await account.renew()
        except RouterSealed:
            self._observe("sealed")
            await self._sealed_incarnations.put(account.slice.router)
            return
        except LedgerError as exc:
            # The ledger is full or unreadable.  The slice stays valid, the waiters
            # are refused later, and the next renewal retries.
            self._observe("refused")
            log_warning("ledger_refused", profile=account.profile, error=str(exc))
        else:
            self._observe("written" if account.reachable else "unreachable")
        for waiter in account.serve_waiters():
            await waiter.done.set()
        for waiter in account.waiters:
            if account.cannot_be_served(waiter):
                await waiter.done.set()
        await self._announce_loans(account, lent)
        if account.waiters and account.reachable:
            await self._request_tokens(account)

    async def _announce_loans(self, account: Account, lent: list[Loan]) -> None:
        for loan in lent:
            transfer = SliceTransfer(
                profile=account.profile, tokens=loan.tokens, transfer_id=uuid4().hex
            )
            await self._try_send(loan.router, transfer)

    async def _request_tokens(self, account: Account) -> None:
        router, lacking = account.slice.router, account.need().lacking
        if not lacking:
            return
        for giver in best_givers(account.ledger, router=router):
            request = SliceRequest(
                profile=account.profile,
                tokens=lacking,
                transfer_id=uuid4().hex,
            )
            await self._try_send(giver, request)

    async def _try_send(
        self, router: str, message: SliceRequest | SliceTransfer
    ) -> None:
        try:
            await self._send(router, message)
        except LinkLost:
            # Requests are repeated while callers wait.  A lost transfer message
            # only delays the next read of the ledger at the borrower.
            return

    async def _replace_sealed_incarnations(self) -> None:
        while True:
            sealed = await self._sealed_incarnations.get()
            if sealed != self.incarnation:
                continue
            # No account may use the sealed incarnation any longer: the seal treats
            # all its tokens as spent or returned.
            self.incarnation = await self._reincarnate()
            old, self._accounts_by_profile = self._accounts_by_profile, {}
            for account in old.values():
                await self._move_to_new_incarnation(account)

    async def _move_to_new_incarnation(self, old: Account) -> None:
        account = self._accounts_by_profile.get(old.profile)
        if account is None:
            account = self._new_account(old.profile)
            await self._new_accounts.put(account)
        account.meter = old.meter
        account.waiters += old.waiters
        await account.wake.set()


def _row(account: Account) -> AccountRow:
    return AccountRow(
        profile=account.profile,
        free=account.slice.free,
        reserved=account.slice.reserved,
        unsettled=account.slice.unsettled,
        cap=account.slice.cap,
        reachable=account.reachable,
    )
