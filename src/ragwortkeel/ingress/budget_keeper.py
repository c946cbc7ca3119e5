"""Keeps the slices of all customers filled, against the platform and the peers.

One task owns the writes.  A request that lacks tokens wakes it, waits a moment
for what the platform or a peer gives, and is refused at once when neither can.
"""

from collections.abc import Awaitable, Callable
from time import monotonic

import curio

from ragwortkeel.budget.sizing import SliceNeed
from ragwortkeel.configuration import Spread
from ragwortkeel.exceptions import (
    AlreadyExists,
    LedgerError,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    RouterSealed,
    VersionConflict,
)
from ragwortkeel.ingress.account import RIDE_OUT_SECONDS, Account, Hold
from ragwortkeel.ingress.allowance import Allowances
from ragwortkeel.ingress.clocks import Reading, read_clocks
from ragwortkeel.ingress.configuration import Customer
from ragwortkeel.ingress.ledger_store import LedgerStore
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.ingress.shards import Shard
from ragwortkeel.logs import log_debug, log_error, log_info, log_warning
from ragwortkeel.messages import LoanRequest, TokenLoan
from ragwortkeel.platform import Platform

TICK_SECONDS = 0.5
"""Between renewals.  A cap holds the demand of two, and is charged for nothing
where a process dies; 30 processes use a twentieth of the writes that the platform
allows them."""

RETRY_SECONDS = 0.4
"""Pause after a failed call: each call is paid for, also in an outage."""

LACK_WAIT_SECONDS = 0.25
"""How long a request waits for tokens that the platform may give: it answers in
4 ms, on slow days in 250."""

LOAN_WAIT_SECONDS = 0.06
"""How long it waits for a loan: peers answer in 2 ms, and whoever has tokens
answers at once."""

RETURN_WAIT_SECONDS = 0.12
"""How long it waits for tokens that a peer gives back to the ledger: two renewals,
15 ms each, and a second try of both."""

CLOCKS_WAIT_SECONDS = 1.5
"""How long a start after a loss of power waits for the clocks of its peers, which
may start at the same time: it takes them a second.  Without them up to three
seconds of demand are charged for nothing."""

FRESH_SECONDS = 2.5
"""A ledger read so lately tells what is left of a budget."""


class BudgetKeeper:
    """Reserves and settles tokens, and renews slices.

    Parameters
    ----------
    platform : Platform
        Where the ledgers lie.
    ask_peers : callable
        Asks the other processes for a loan of tokens for a customer.
    clocks : callable
        Returns a reading of all clocks, with what the fleet knows of the time.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        holder: str,
        ask_peers: Callable[[str, Account], Awaitable[None]],
        clocks: Callable[[], Reading] = read_clocks,
    ) -> None:
        self.allowances = Allowances(holder=holder, started=clocks())
        self._clocks = clocks
        self._merges_by = monotonic() + CLOCKS_WAIT_SECONDS
        self._ledgers = LedgerStore(platform=platform)
        self._ask_peers = ask_peers
        self._table: RoutingTable | None = None
        self._read_at = float("-inf")
        self._renewing_since: float | None = None
        self._merged = False
        self._tried_at: Reading | None = None
        self._woken = curio.Event()
        self._renewed = curio.Event()
        self._reachable = True

    def configure(self, table: RoutingTable) -> None:
        """Take over the budgets of a configuration at the next renewal."""
        self._table = table

    async def reserve(self, customer: Customer, tokens: int) -> Hold | None:
        """Set tokens aside, or return None where they are not to be had now."""
        account = self.allowances.account(customer.name)
        self.allowances.asked(customer.name, tokens, monotonic())
        hold = account.reserve(tokens)
        if hold is None:
            self._grow()
            hold = account.reserve(tokens)
        if hold is None:
            hold = await self._reserve_late(account, customer, tokens)
        return hold

    def settle(self, hold: Hold, *, spent: int) -> None:
        """Replace what was set aside by what the request took."""
        self.allowances.account(hold.customer).settle(hold, spent=spent)

    def is_exhausted(self, customer: Customer, tokens: int) -> bool:
        """Whether the budget surely can't cover a request of this size."""
        if monotonic() - self._read_at > FRESH_SECONDS:
            return False
        ledger = self.allowances.account(customer.name).ledger
        return ledger.prepaid - ledger.total_spent < tokens

    def log_lack(self, request_id: str, customer: Customer, tokens: int) -> None:
        """Log what a refusal for lack of tokens was decided by."""
        account = self.allowances.account(customer.name)
        age = monotonic() - self._read_at
        log_info(
            "tokens_lacking",
            request=request_id,
            customer=customer.name,
            needed=tokens,
            free=account.free,
            available=account.available,
            cap_room=account.cap_room,
            unspent=account.ledger.prepaid - account.ledger.total_spent,
            ledger_age=round(age, 2) if self._merged else None,
            reachable=self._reachable,
        )

    async def run(self) -> None:
        """Renew slices until cancelled."""
        while True:
            pause = TICK_SECONDS
            if self._table is not None and not await self._renew():
                pause = RETRY_SECONDS
            await self._pause(pause)

    async def close(self) -> bool:
        """Give all slices back; call it once no request is open."""
        try:
            shard = await self._ledgers.read(stale=False)
            self.allowances.resolve(shard)
            await self._ledgers.write(self.allowances.closed(shard))
        except (PlatformUnavailable, OutcomeUnknown, VersionConflict) as exc:
            # What was held stays charged, which is safe; only less is left.
            log_warning("slices_not_returned", error=str(exc))
            return False
        log_info("slices_returned", holder=self.allowances.holder)
        return True

    async def lend(self, request: LoanRequest) -> TokenLoan:
        """Help a peer that lacks tokens.

        They go back to the ledger while that is reachable.  A loan is stranded
        with a borrower that dies and fits only into the cap here, so it is for
        outages.
        """
        self._grow()
        account = self.allowances.account(request.customer)
        asker = SliceNeed(
            holding=request.holding,
            demand=request.demand,
            largest_request=request.largest_request,
            lacking=request.lacking,
            ride_out_seconds=RIDE_OUT_SECONDS,
            spread=Spread.WIDE,
        )
        if self._reachable:
            returned = await self._return(account, account.spare(asker, monotonic()))
            if returned:
                log_info("slice_recalled", customer=request.customer, tokens=returned)
                return TokenLoan(customer=request.customer, returned=returned)
        tokens = account.lend(asker, monotonic())
        if tokens:
            log_info("loan_granted", customer=request.customer, tokens=tokens)
        return TokenLoan(customer=request.customer, tokens=tokens)

    async def _return(self, account: Account, tokens: int) -> int:
        """Give tokens back by a renewal; return how many, 0 if that fails."""
        if not tokens:
            return 0
        account.recall(tokens)
        waits_until = monotonic() + RETURN_WAIT_SECONDS
        while account.returning and self._reachable and monotonic() < waits_until:
            await self._woken.set()
            await self._next_change(waits_until)
        if account.returning:
            account.recall(0)
            return 0
        return tokens

    async def borrowed(self, loan: TokenLoan) -> None:
        """Take in what a peer did for the requests that wait here."""
        self.allowances.account(loan.customer).borrow(loan.tokens)
        if loan.returned:
            await self._woken.set()
        await self._renewed.set()

    async def _reserve_late(
        self, account: Account, customer: Customer, tokens: int
    ) -> Hold | None:
        account.waiting += tokens
        try:
            if self._reachable:
                hold = await self._wait_for_platform(account, tokens)
                if hold is not None or self.is_exhausted(customer, tokens):
                    return hold
            await self._ask_peers(customer.name, account)
            return await self._wait_for_loan(account, tokens)
        finally:
            account.waiting -= tokens

    async def _wait_for_platform(self, account: Account, tokens: int) -> Hold | None:
        """Wait for tokens; return sooner once the platform has none left.

        Another request may take the room of a renewal first, so one that still
        waits asks for the next.
        """
        begun = monotonic()
        waits_until = begun + LACK_WAIT_SECONDS
        while self._reachable and monotonic() < waits_until:
            await self._woken.set()
            hold = await self._wait(account, tokens, waits_until)
            if hold is not None:
                return hold
            lacks = account.held < tokens
            if lacks and self._read_at >= begun and not account.ledger.rest:
                return None
        return None

    async def _wait_for_loan(self, account: Account, tokens: int) -> Hold | None:
        seconds = RETURN_WAIT_SECONDS if self._reachable else LOAN_WAIT_SECONDS
        waits_until = monotonic() + seconds
        hold = None
        while hold is None and monotonic() < waits_until:
            hold = await self._wait(account, tokens, waits_until)
        return hold

    async def _wait(self, account: Account, tokens: int, until: float) -> Hold | None:
        """Wait for the next renewal or loan, and try to set the tokens aside."""
        await self._next_change(until)
        return account.reserve(tokens)

    async def _next_change(self, until: float) -> None:
        self._renewed.clear()
        async with curio.ignore_after(max(0.0, until - monotonic())):
            await self._renewed.wait()

    async def _pause(self, seconds: float) -> None:
        async with curio.ignore_after(seconds):
            await self._woken.wait()
        self._woken.clear()

    def _grow(self) -> None:
        """Let the caps grow with the time since the last try to write."""
        if self._tried_at is not None:
            self.allowances.grow(self._clocks().surely_since(self._tried_at))

    async def _renew(self) -> bool:
        try:
            await self._renew_once()
        except PlatformUnavailable as exc:
            self._renewing_since = None
            if not self._ledgers.in_doubt:
                # Nothing was written, so tokens on their way back are still here:
                # callers need them in an outage.
                self.allowances.withdraw()
            self._note_reachable(False, str(exc))
            return False
        except VersionConflict as exc:
            log_debug("renewal_repeated", error=repr(exc))
            await self._woken.set()
            return True
        except (AlreadyExists, ObjectNotFound, OutcomeUnknown) as exc:
            # The ledger itself tells what holds, so look again at once.
            log_info("renewal_repeated", error=repr(exc))
            await self._woken.set()
            return True
        except (LedgerError, RouterSealed) as exc:
            log_error("renewal_failed", error=repr(exc))
            return False
        finally:
            await self._renewed.set()
        self._note_reachable(True, "")
        return True

    async def _renew_once(self) -> None:
        if self._renewing_since is None:
            self._renewing_since = monotonic()
        shard = await self._ledgers.read()
        self.allowances.resolve(shard)
        if self._ledgers.outran:
            # A renewal made from an older ledger asks for what is no longer there.
            self.allowances.withdraw()
        reading = self._clocks()
        renewed = shard.provisioned(
            _prepaid(self._table), self._table.configuration.revision
        )
        merges = not self._merged and self._may_merge(renewed, reading)
        if merges:
            self._log_predecessors(renewed)
            renewed = self.allowances.merged(renewed)
        renewed = self.allowances.renewed(renewed, reading)
        # Counted from the try: a write whose answer is lost may have put its
        # stamp there, and a successor would trust the cap for longer.
        self._tried_at = reading
        await self._ledgers.write(renewed)
        self.allowances.resolve(renewed)
        self._merged = self._merged or merges
        self.allowances.renewed_after(monotonic() - self._renewing_since)
        self._renewing_since = None
        self._read_at = reading.monotonic

    def _may_merge(self, shard: Shard, reading: Reading) -> bool:
        """Whether to charge predecessors now, or wait for the peers' clocks."""
        self.allowances.know_time(reading)
        return monotonic() >= self._merges_by or not self.allowances.lacks_time(shard)

    def _log_predecessors(self, shard: Shard) -> None:
        merged = self.allowances.merged(shard)
        unspent = _unspent(merged)
        for one in self.allowances.predecessors(shard):
            log_info(
                "predecessor_charged",
                holder=one.holder,
                last_write_age=one.age,
                granted=one.granted,
                told=one.told,
                unspent_before=_unspent(shard),
                unspent_after=unspent,
                prepaid=sum(one.prepaid for one in shard.ledger_by_customer.values()),
            )

    def _note_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            log_info("dependency_regained", dependency="ledgers")
        else:
            log_warning("dependency_lost", dependency="ledgers", error=error)


def _unspent(shard: Shard) -> int:
    ledgers = shard.ledger_by_customer.values()
    return sum(ledger.prepaid - ledger.total_spent for ledger in ledgers)


def _prepaid(table: RoutingTable) -> dict[str, int]:
    return {
        name: customer.prepaid
        for name, customer in table.customer_by_name.items()
        if customer.prepaid is not None
    }
