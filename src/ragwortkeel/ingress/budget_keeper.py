"""Reserves and settles the tokens of requests, from slices, renewals and loans.

A request that lacks tokens asks for a renewal, waits a moment for what the platform
or a peer gives, and is refused at once when neither can.
"""

from collections.abc import Awaitable, Callable
from time import monotonic

from ragwortkeel.budget.account import RIDE_OUT_SECONDS, Account, Hold
from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading, read_clocks
from ragwortkeel.budget.sizing import SliceNeed
from ragwortkeel.configuration import Spread
from ragwortkeel.ingress.configuration import Customer
from ragwortkeel.ingress.renewals import Group, Renewals
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.logs import log_info
from ragwortkeel.messages import LoanRequest, TokenLoan
from ragwortkeel.platform import Platform

RENEWAL_WAIT_SECONDS = 0.7
"""How long a request waits for tokens that the platform may give: it answers in
4 ms, on slow days in 250.  Where all processes are cut off from it, the writer finds
out after 0.25 s, who handed over to it after 0.2 s more, and then peers carry the
calls; a refusal would bring the caller back later than that, and only once."""

RENEWAL_WAIT_FRACTION = 0.2
"""Of the time that a caller has left, if that is longer: with a slow platform behind a
cut a renewal takes a second and more, and a caller with ten is better served late than
sent away."""

LOAN_WAIT_SECONDS = 0.06
"""How long it waits for a loan: peers answer in 2 ms, and whoever has tokens
answers at once."""

RECALL_WAIT_SECONDS = 0.12
"""How long it waits for tokens that a peer gives back to the ledger: two renewals,
15 ms each, and a second try of both."""

SETTLING_SECONDS = 0.7
"""In which a good part of the running requests end and settle: most take 0.1 to 2 s."""

MAX_LEDGER_AGE_SECONDS = 2.5
"""A ledger read so lately tells what is left of a budget."""


class BudgetKeeper:
    """Reserves and settles tokens.

    Parameters
    ----------
    platform : Platform
        Where the ledgers lie.
    ask_peers : callable
        Asks the other processes for a loan of tokens for a customer.
    group : Group
        The processes that write renewals for each other.
    clocks : callable
        Returns a reading of all clocks, with what the fleet knows of the time.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        holder: str,
        ask_peers: Callable[[str, Account], Awaitable[None]],
        group: Group,
        clocks: Callable[[], Reading] = read_clocks,
    ) -> None:
        self.allowances = Allowances(holder=holder, started=clocks())
        self.renewals = Renewals(
            platform=platform, allowances=self.allowances, clocks=clocks, group=group
        )
        self._ask_peers = ask_peers

    def configure(self, table: RoutingTable) -> None:
        """Take over the budgets of a configuration at the next renewal."""
        self.renewals.configure(table)

    async def reserve(
        self, customer: Customer, tokens: int, *, seconds_left: float = 0.0
    ) -> Hold | None:
        """Set tokens aside, or return None where they are not to be had now.

        `seconds_left` is how long the caller waits for its whole answer.
        """
        account = self.allowances.account(customer.name)
        self.allowances.asked(customer.name, tokens, monotonic())
        hold = account.reserve(tokens)
        if hold is None:
            self.renewals.grow()
            hold = account.reserve(tokens)
        if hold is None:
            wait = max(RENEWAL_WAIT_SECONDS, RENEWAL_WAIT_FRACTION * seconds_left)
            hold = await self._reserve_after_wait(account, customer, tokens, wait)
        return hold

    def settle(self, hold: Hold, *, spent: int) -> None:
        """Replace what was set aside by what the request took."""
        self.allowances.account(hold.customer).settle(hold, spent=spent)

    def is_exhausted(self, customer: Customer, tokens: int) -> bool:
        """Whether the budget surely can't cover a request of this size."""
        account = self.allowances.account(customer.name)
        if monotonic() - account.read_at > MAX_LEDGER_AGE_SECONDS:
            return False
        ledger = account.ledger
        return ledger.prepaid - ledger.total_spent < tokens

    def seconds_to_tokens(self) -> float:
        """Return when a caller who lacks tokens may find some, in seconds.

        In an outage that is when the caps begin to grow; else requests that run now
        give back what they don't take.
        """
        if not self.renewals.reachable:
            return self.renewals.seconds_to_growth
        return SETTLING_SECONDS

    def log_lack(self, request_id: str, customer: Customer, tokens: int) -> None:
        """Log what a refusal for lack of tokens was decided by."""
        account = self.allowances.account(customer.name)
        age = monotonic() - account.read_at
        log_info(
            "tokens_lacking",
            request=request_id,
            customer=customer.name,
            needed=tokens,
            free=account.free,
            available=account.available,
            cap_room=account.cap_room,
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
        """Give all slices back; a request that is still open is charged at its most."""
        return await self.renewals.close()

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Help a peer that lacks tokens.

        They go back to the ledger while that is reachable.  A loan is stranded
        with a borrower that dies and fits only into the cap here, so it is for
        outages.
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
            returned = await self._recall(account, account.spare(borrower, monotonic()))
            if returned:
                log_info("slice_recalled", customer=request.customer, tokens=returned)
                return TokenLoan(customer=request.customer, returned=returned)
        tokens = account.lend(borrower, monotonic())
        if tokens:
            log_info("loan_granted", customer=request.customer, tokens=tokens)
        return TokenLoan(customer=request.customer, tokens=tokens)

    async def _recall(self, account: Account, tokens: int) -> int:
        """Give tokens back by a renewal; return how many, 0 if that fails."""
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

    async def borrowed(self, loan: TokenLoan) -> None:
        """Take in what a peer did for the requests that wait here."""
        self.allowances.account(loan.customer).borrow(loan.tokens)
        if loan.returned:
            await self.renewals.wake()
        await self.renewals.changed()

    async def _reserve_after_wait(
        self, account: Account, customer: Customer, tokens: int, wait: float
    ) -> Hold | None:
        account.waiting += tokens
        try:
            if self.renewals.reachable:
                hold = await self._wait_for_renewal(account, tokens, wait)
                if hold is not None or self.is_exhausted(customer, tokens):
                    return hold
            await self._ask_peers(customer.name, account)
            return await self._wait_for_loan(account, tokens)
        finally:
            account.waiting -= tokens

    async def _wait_for_renewal(
        self, account: Account, tokens: int, seconds: float
    ) -> Hold | None:
        """Wait for tokens; return sooner once the platform has none left.

        Another request may take the room of a renewal first, so one that still
        waits asks for the next.
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

    async def _wait_for_loan(self, account: Account, tokens: int) -> Hold | None:
        seconds = RECALL_WAIT_SECONDS if self.renewals.reachable else LOAN_WAIT_SECONDS
        deadline = monotonic() + seconds
        hold = None
        while hold is None and monotonic() < deadline:
            hold = await self._reserve_after_change(account, tokens, deadline)
        return hold

    async def _reserve_after_change(
        self, account: Account, tokens: int, until: float
    ) -> Hold | None:
        """Wait for the next renewal or loan, and try to set the tokens aside."""
        await self.renewals.wait_for_change(until)
        return account.reserve(tokens)
