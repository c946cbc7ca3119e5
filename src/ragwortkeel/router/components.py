"""Components that all requests of a router share."""

from collections.abc import Callable
from dataclasses import dataclass

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.router.dispatcher import Dispatcher
from ragwortkeel.router.intents import IntentStore
from ragwortkeel.router.interfaces import Budgets, Directory, Receipts
from ragwortkeel.router.settlement import Settlement
from ragwortkeel.router.sidecars import SidecarPool
from ragwortkeel.traces import Tracing


@dataclass(frozen=True, kw_only=True)
class Components:
    """Components that all requests of a router share.

    Attributes
    ----------
    incarnation : callable
        Returns the router's incarnation, which changes after a seal.
    clock : callable
        Returns monotonic seconds.
    """

    incarnation: Callable[[], str]
    clock: Callable[[], float]
    intents: IntentStore
    directory: Directory
    dispatcher: Dispatcher
    pool: SidecarPool
    budgets: Budgets
    receipts: Receipts
    closing: Settlement
    tracing: Tracing

    def is_current(self, reservation: Reservation) -> bool:
        """Return whether a reservation may still be sent.

        The router may be sealed and change its incarnation between a reservation and
        its dispatch.  The run would then count for the new incarnation, which did not
        reserve its tokens, and the tokens would be spent twice.
        """
        return reservation.router == self.incarnation()
