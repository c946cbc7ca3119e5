"""What the requests of one router share."""

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
class Parts:
    """The shared parts of a router.

    Attributes
    ----------
    incarnation
        Returns the router's incarnation, which changes once it is sealed.
    clock
        Monotonic seconds.
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
        """Whether a reservation may still be sent.

        Failure: the router is sealed and goes on under a new incarnation between
        a reservation and its dispatch; the run would be accounted to the new
        one, which never set its tokens aside, and be spent twice.
        """
        return reservation.router == self.incarnation()
