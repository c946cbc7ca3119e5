"""Settlement of reservations, also for runs that no request waits for.

A reservation is settled only after evidence that its run spends nothing more:
the sidecar reports the cost, promises that the run never starts, or is replaced
by another incarnation.  Until then the tokens stay reserved.
"""

from math import inf

import curio

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.messages import FailureReason, RunReceipt
from ragwortkeel.router.attempt import (
    Attempt,
    AttemptEnd,
    Broken,
    Completed,
    Declined,
    Lost,
)
from ragwortkeel.router.calls import Call
from ragwortkeel.router.interfaces import Budgets, Receipts


class Settlement:
    """Settles the reservations of attempts.

    An attempt whose end is unknown is followed in the background and settled
    when it ends.

    Attributes
    ----------
    open_runs : int
        Number of runs followed in the background; a planned stop waits for them.

    .. versionadded:: 0.1
    """

    def __init__(self, *, budgets: Budgets, receipts: Receipts) -> None:
        self.open_runs = 0
        self._budgets = budgets
        self._receipts = receipts

    async def settle(
        self,
        reservation: Reservation,
        attempt: Attempt,
        end: AttemptEnd,
        call: Call,
    ) -> None:
        """Settle an attempt that has ended and write its receipt."""
        match end:
            case Completed(tokens=tokens):
                await self._charge(reservation, attempt, call, tokens, True)
            case Broken(tokens=tokens, reason=reason):
                # Tokens spent before the caller cancelled are billed; tokens
                # lost to a failure of the service are not.
                billable = reason == FailureReason.CANCELLED
                await self._charge(reservation, attempt, call, tokens, billable)
            case Declined():
                await self._budgets.settle(reservation, 0)
            case Lost():
                # The run ended with the sidecar's earlier incarnation.  Its
                # cost is unknown, so the whole reservation is charged.
                await self._budgets.settle(reservation, reservation.tokens)
        attempt.close()

    async def follow_in_background(
        self, reservation: Reservation, attempt: Attempt, call: Call, *, cancel: bool
    ) -> None:
        """Follow an open attempt in the background and settle it when it ends."""
        if cancel:
            await attempt.cancel()
        self.open_runs += 1
        await curio.spawn(self._follow, reservation, attempt, call, daemon=True)

    async def _follow(
        self, reservation: Reservation, attempt: Attempt, call: Call
    ) -> None:
        try:
            end = await attempt.follow(link_wait_seconds=lambda: inf)
            await self.settle(reservation, attempt, end, call)
        finally:
            self.open_runs -= 1

    async def _charge(
        self,
        reservation: Reservation,
        attempt: Attempt,
        call: Call,
        tokens: int,
        billable: bool,
    ) -> None:
        await self._budgets.settle(reservation, tokens)
        if not tokens:
            return
        receipt = RunReceipt(
            profile=call.profile,
            request_id=call.request_id,
            nonce=attempt.nonce,
            router=reservation.router,
            sidecar=attempt.sidecar,
            tokens=tokens,
            billable=billable,
        )
        await self._receipts.add(receipt)
