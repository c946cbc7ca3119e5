"""What the requests of one router share, each part behind a small interface."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import Profile, Upstream
from ragwortkeel.messages import RunReceipt
from ragwortkeel.router.closing import Closing
from ragwortkeel.router.dispatcher import Dispatcher
from ragwortkeel.router.intents import IntentStore
from ragwortkeel.router.sidecars import SidecarPool
from ragwortkeel.traces import Tracing


class Budgets(Protocol):
    """What requests need of the budget keeper."""

    async def reserve(self, profile: str, tokens: int, sidecar: str) -> Reservation:
        """Set tokens aside; a `BudgetRefused` says when to come back."""

    async def settle(self, reservation: Reservation, spent: int) -> None:
        """Replace a reservation by what the run cost."""


class Receipts(Protocol):
    """What requests need of the receipts writer."""

    async def add(self, receipt: RunReceipt) -> None:
        """Take a receipt; it is durable some time later."""


class Directory(Protocol):
    """What requests need of the configuration in force."""

    def profile(self, name: str) -> tuple[Profile, int] | None:
        """Return a profile and its version, retired ones included."""

    def upstream(self, name: str) -> tuple[Upstream, int] | None:
        """Return an upstream and its version."""

    def upstreams_of(self, back_ends: tuple[str, ...]) -> list[str]:
        """Return the names of the upstreams of some back ends."""


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
    closing: Closing
    tracing: Tracing

    def is_current(self, reservation: Reservation) -> bool:
        """Whether a reservation may still be sent.

        Failure: the router is sealed and goes on under a new incarnation between
        a reservation and its dispatch; the run would be accounted to the new
        one, which never set its tokens aside, and be spent twice.
        """
        return reservation.router == self.incarnation()
