"""What requests need of the parts they share, so that tests can stand in for them."""

from typing import Protocol

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import Profile, Upstream
from ragwortkeel.messages import RunReceipt


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
