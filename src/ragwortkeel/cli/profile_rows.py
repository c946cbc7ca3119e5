"""Format profiles and budgets for operators."""

import msgspec

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.cli.budgets import BudgetRow, budget_row
from ragwortkeel.cli.objects import VersionedObject
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.configuration import Profile


class ProfileRow(msgspec.Struct, frozen=True, kw_only=True):
    """A listed profile; callers of a profile without a budget are refused."""

    profile: Profile
    version: int
    budget: BudgetRow | None = None


class BudgetChange(msgspec.Struct, frozen=True, kw_only=True):
    """A changed budget, and the id for repeating the change safely."""

    budget: BudgetRow
    operation_id: str


def budget_result(name: str, ledger: Ledger, operation_id: str) -> Result:
    """Return the result of a command that changed a budget."""
    row = budget_row(name, ledger)
    text = (
        f"budget of {name}: {row.prepaid} prepaid, {row.spent} spent, {row.rest} free"
    )
    if row.recall_to is not None:
        text += f", to be lowered to {row.recall_to} as slices come back"
    data = BudgetChange(budget=row, operation_id=operation_id)
    return Result(data=data, text=text)


def profile_row(current: VersionedObject[Profile], ledger: Ledger | None) -> ProfileRow:
    """Return the row of a profile, with its budget if there is a ledger."""
    name = current.value.name
    budget = None if ledger is None else budget_row(name, ledger)
    return ProfileRow(profile=current.value, version=current.version, budget=budget)


def profile_table(rows: list[ProfileRow]) -> str:
    """Return profiles as a table."""
    cells = [
        [
            row.profile.name,
            row.profile.customer,
            row.profile.service,
            f"{row.profile.deadline_seconds:g}",
            ",".join(row.profile.back_ends),
            "retired" if row.profile.retired else "active",
            row.budget.prepaid if row.budget else "none",
            row.budget.spent if row.budget else "none",
            row.version,
        ]
        for row in rows
    ]
    headings = (
        "name",
        "customer",
        "service",
        "deadline s",
        "back ends",
        "state",
        "prepaid",
        "spent",
        "version",
    )
    return format_table(headings, cells)
