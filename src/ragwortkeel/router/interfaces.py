"""Protocols of the components that requests share; tests implement them as well."""

from typing import Protocol

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import Profile, Upstream
from ragwortkeel.messages import RunReceipt


class Budgets(Protocol):
    """The methods of the budget keeper that requests use."""

    async def reserve(self, profile: str, tokens: int, sidecar: str) -> Reservation:
        """Reserve tokens, or raise `BudgetRefused` with the delay before a retry."""

    async def settle(self, reservation: Reservation, spent: int) -> None:
        """Replace a reservation with the tokens that the run spent."""


class Receipts(Protocol):
    """The methods of the receipt writer that requests use."""

    async def add(self, receipt: RunReceipt) -> None:
        """Queue a receipt, which becomes durable later."""


class Directory(Protocol):
    """The methods of the configuration in force that requests use."""

    def profile(self, name: str) -> tuple[Profile, int] | None:
        """Return a profile, which may be retired, and its version."""

    def upstream(self, name: str) -> tuple[Upstream, int] | None:
        """Return an upstream and its version."""

    def upstreams_of(self, back_ends: tuple[str, ...]) -> list[str]:
        """Return the names of the upstreams of some back ends."""
