"""Reservation and settlement of requests' tokens, from slices, renewals and loans.

A request that lacks tokens requests a renewal and waits for tokens from the platform or
a peer.  It is refused once neither can provide them.
"""

from collections.abc import Awaitable, Callable
from time import monotonic

from ragwortkeel.budget.account import RIDE_OUT_SECONDS, Account, AccountReservation
from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading, read_clocks
from ragwortkeel.budget.sizing import SliceNeed
from ragwortkeel.configuration import Spread
from ragwortkeel.ingress.configuration import Customer
from ragwortkeel.ingress.renewals import RenewalPeers, Renewals
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.logs import log_info
from ragwortkeel.messages import LoanRequest, TokenLoan
from ragwortkeel.platform import Platform

RENEWAL_WAIT_SECONDS = 0.7
"""How long a request waits at least for a renewal.

The platform answers in 4 ms, or in 250 ms while it is slow.  When all processes are
disconnected from it, the writer detects that after 0.25 s and the processes that
delegated to it 0.2 s later; then relays carry the calls.  After a refusal the caller
would retry later than that, and only once.
"""

RENEWAL_WAIT_FRACTION = 0.2
"""Fraction of the caller's remaining time that a request waits, if that is longer.

Through a relay to a slow platform a renewal takes 1 s and more; a caller with 10 s
left is better served late than refused.
"""

LOAN_WAIT_SECONDS = 0.06
"""How long a request waits for a loan.  Peers with tokens answer within 2 ms."""

RECALL_WAIT_SECONDS = 0.12
"""How long a request waits for tokens that a peer returns to the ledger.

That takes two renewals of 15 ms each, and a second attempt at both.
"""

SETTLING_SECONDS = 0.7
"""Time until many of the running requests are settled: most take 0.1 to 2 s."""

MAX_LEDGER_AGE_SECONDS = 2.5
"""Greatest age of a ledger that still decides whether a budget is exhausted."""


class BudgetKeeper:
    """Reserves and settles tokens.

    Parameters
    ----------
    platform : Platform
        Stores the ledgers.
    ask_peers : callable
        Requests a loan of tokens for a customer from peers.
    peers : RenewalPeers
        The processes that write renewals for each other.
    clocks : callable
        Returns a reading of all clocks, with the bounds of fleet time.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        holder: str,
        ask_peers: Callable[[str, Account], Awaitable[None]],
        peers: RenewalPeers,
        clocks: Callable[[], Reading] = read_clocks,
    ) -> None:
        self.allowances = Allowances(holder=holder, started=clocks())
        self.renewals = Renewals(
            platform=platform, allowances=self.allowances, clocks=clocks, peers=peers
        )
        self._ask_peers = ask_peers

    def configure(self, table: RoutingTable) -> None:
        """Set the configuration whose budgets the next renewal applies."""
        self.renewals.configure(table)

    async def reserve(
        self, customer: Customer, tokens: int, *, seconds_left: float = 0.0
    ) -> AccountReservation | None:
        """Reserve tokens, or return None if they are not available in time.

        `seconds_left` is the time until the caller's deadline.
        """
        account = self.allowances.account(customer.name)
        self.allowances.record_demand(customer.name, tokens, monotonic())
        hold = account.reserve(tokens)
        if hold is None:
            self.renewals.grow()
            hold = account.reserve(tokens)
        if hold is None:
            wait = max(RENEWAL_WAIT_SECONDS, RENEWAL_WAIT_FRACTION * seconds_left)
            hold = await self._reserve_after_wait(account, customer, tokens, wait)
        return hold

    def settle(self, hold: AccountReservation, *, spent: int) -> None:
        """Replace a reservation by the tokens that the request spent."""
        self.allowances.account(hold.customer).settle(hold, spent=spent)

    def is_exhausted(self, customer: Customer, tokens: int) -> bool:
        """Return whether the budget certainly can't cover a request of this size."""
        account = self.allowances.account(customer.name)
        if monotonic() - account.read_at > MAX_LEDGER_AGE_SECONDS:
            return False
        ledger = account.ledger
        return ledger.prepaid - ledger.total_spent < tokens

    def seconds_until_tokens(self) -> float:
        """Return the seconds until tokens may be available for a refused caller.

        In an outage that is when the caps begin to grow.  Otherwise running requests
        return the tokens that they don't spend.
        """
        if not self.renewals.reachable:
            return self.renewals.seconds_to_growth
        return SETTLING_SECONDS

    def log_shortage(self, request_id: str, customer: Customer, tokens: int) -> None:
        """Log the figures behind a refusal for lack of tokens."""
        account = self.allowances.account(customer.name)
        age = monotonic() - account.read_at
        log_info(
            "tokens_lacking",
            request=request_id,
            customer=customer.name,
            needed=tokens,
            free=account.free,
            available=account.available,
            cap_room=account.cap_headroom,
            reserved=account.slice.reserved,
            unspent=account.ledger.prepaid - account.ledger.total_spent,
            in_ledger=account.ledger.rest,
            held_elsewhere=account.held_elsewhere,
            ledger_age=round(age, 2) if self.renewals.predecessors_charged else None,
            reachable=self.renewals.reachable,
        )

    async def run(self) -> None:
        """Renew slices until cancelled."""
        await self.renewals.run()

    async def close(self) -> bool:
        """Return all slices; a request that is still open is charged its maximum."""
        return await self.renewals.close()

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Return or lend tokens for a peer that lacks them.

        While the ledger is reachable the tokens are returned to it.  A loan is for
        outages: it is limited by the cap here, and lost if the borrower crashes.
        """
        self.renewals.grow()
        account = self.allowances.account(request.customer)
        borrower = SliceNeed(
            holding=request.holding,
            demand=request.demand,
            largest_request=request.largest_request,
            lacking=request.lacking,
            ride_out_seconds=RIDE_OUT_SECONDS,
            spread=Spread.WIDE,
        )
        if self.renewals.reachable:
            returned = await self._recall(
                account, account.lendable_tokens(borrower, monotonic())
            )
            if returned:
                log_info("slice_recalled", customer=request.customer, tokens=returned)
                return TokenLoan(customer=request.customer, returned=returned)
        tokens = account.lend(borrower, monotonic())
        if tokens:
            log_info("loan_granted", customer=request.customer, tokens=tokens)
        return TokenLoan(customer=request.customer, tokens=tokens)

    async def _recall(self, account: Account, tokens: int) -> int:
        """Return tokens to the ledger by a renewal; return how many, 0 on failure."""
        if not tokens:
            return 0
        account.recall(tokens)
        deadline = monotonic() + RECALL_WAIT_SECONDS
        while account.returning and self.renewals.reachable and monotonic() < deadline:
            await self.renewals.wake()
            await self.renewals.wait_for_change(deadline)
        if account.returning:
            account.recall(0)
            return 0
        return tokens

    async def receive_loan(self, loan: TokenLoan) -> None:
        """Receive a peer's loan, or its notice of tokens returned to the ledger."""
        self.allowances.account(loan.customer).borrow(loan.tokens)
        if loan.returned:
            await self.renewals.wake()
        await self.renewals.notify_waiters()

    async def _reserve_after_wait(
        self, account: Account, customer: Customer, tokens: int, wait: float
    ) -> AccountReservation | None:
        account.waiting_tokens += tokens
        try:
            if self.renewals.reachable:
                hold = await self._wait_for_renewal(account, tokens, wait)
                if hold is not None or self.is_exhausted(customer, tokens):
                    return hold
            await self._ask_peers(customer.name, account)
            return await self._wait_for_loan(account, tokens)
        finally:
            account.waiting_tokens -= tokens

    async def _wait_for_renewal(
        self, account: Account, tokens: int, seconds: float
    ) -> AccountReservation | None:
        """Wait for tokens of a renewal, at most until the ledger has none left.

        Another request may reserve the tokens of a renewal first, so a request that
        still waits requests another one.
        """
        begun = monotonic()
        deadline = begun + seconds
        while self.renewals.reachable and monotonic() < deadline:
            await self.renewals.wake()
            hold = await self._reserve_after_change(account, tokens, deadline)
            if hold is not None:
                return hold
            is_short = account.held < tokens
            if is_short and account.read_at >= begun and not account.ledger.rest:
                return None
        return None

    async def _wait_for_loan(
        self, account: Account, tokens: int
    ) -> AccountReservation | None:
        seconds = RECALL_WAIT_SECONDS if self.renewals.reachable else LOAN_WAIT_SECONDS
        deadline = monotonic() + seconds
        hold = None
        while hold is None and monotonic() < deadline:
            hold = await self._reserve_after_change(account, tokens, deadline)
        return hold

    async def _reserve_after_change(
        self, account: Account, tokens: int, until: float
    ) -> AccountReservation | None:
        """Wait for the next renewal or loan, then try to reserve the tokens."""
        await self.renewals.wait_for_change(until)
        return account.reserve(tokens)
