"""Runs that a request has given up on, followed until their cost is known.

A reservation may be replaced by a figure only on evidence: the sidecar says
what the run cost, or promises that it never runs, or is gone for good.  Until
then the tokens stay set aside, because the run may still be spending them.
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
    """Settles attempts, at once where their end is known and later where not.

    Attributes
    ----------
    open_runs : int
        Runs still followed in the background; a planned stop waits for them.

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
        """Settle an attempt that has ended, and keep its receipt."""
        match end:
            case Completed(tokens=tokens):
                await self._charge(reservation, attempt, call, tokens, True)
            case Broken(tokens=tokens, reason=reason):
                # What a caller that left had already taken is billed; what a
                # fault of ours cost is not.
                billable = reason == FailureReason.CANCELLED
                await self._charge(reservation, attempt, call, tokens, billable)
            case Declined():
                await self._budgets.settle(reservation, 0)
            case Lost():
                # Another incarnation answers, so the run died with the old one;
                # how far it came nobody knows: the bound is charged.
                await self._budgets.settle(reservation, reservation.tokens)
        attempt.close()

    async def follow_in_background(
        self, reservation: Reservation, attempt: Attempt, call: Call, *, cancel: bool
    ) -> None:
        """Follow an open attempt to its end in the background."""
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
