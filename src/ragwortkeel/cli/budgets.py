"""Change budgets for operators, each operation exactly once.

Routers update ledgers continuously, so a write that meets a version conflict is
retried.  Retries are safe because each operation carries an id: an operation that
already took effect changes nothing when it is applied again.
"""

from collections.abc import Callable
from dataclasses import dataclass
from uuid import uuid4

import msgspec

from ragwortkeel.budget.ledger import Ledger, decode_ledger, encode_ledger
from ragwortkeel.cli.objects import list_kind, unavailable_error
from ragwortkeel.configuration import LEDGERS
from ragwortkeel.exceptions import (
    AlreadyExists,
    BudgetCommitted,
    BudgetError,
    CommandConflict,
    CommandError,
    CommandUncertain,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from ragwortkeel.platform import Platform, Stored

MAX_WRITE_ATTEMPTS = 30
"""Bounds the attempts at one change.  Up to 1,000 routers write a busy ledger
several times a second, so most attempts meet a version conflict."""

Transition = Callable[[Ledger], Ledger]


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True):
    """A profile's budget in tokens.

    `held` tokens are spent or committed; `rest` tokens can still be granted.
    """

    profile: str
    prepaid: int
    spent: int
    held: int
    rest: int
    recall_to: int | None
    retired: bool


@dataclass(frozen=True, kw_only=True)
class LedgerChange:
    """A ledger after an operation, and the id for repeating the operation safely."""

    ledger: Ledger
    operation_id: str


class Budgets:
    """The ledgers of all profiles."""

    def __init__(self, *, platform: Platform) -> None:
        self._platform = platform

    async def find(self, profile: str) -> Ledger | None:
        """Return the ledger of `profile`, or None if there is none."""
        stored = await self._read(profile)
        return None if stored is None else _decode(stored)

    async def all(self) -> dict[str, Ledger]:
        """Return all ledgers, by name of the profile."""
        listing = await list_kind(self._platform, LEDGERS)
        return {name: _decode(stored) for name, stored in listing.by_name.items()}

    async def top_up(
        self, profile: str, tokens: int, operation_id: str = ""
    ) -> LedgerChange:
        """Add prepaid tokens, and create the ledger if it does not exist."""
        operation_id = operation_id or await self._new_id(profile)
        ledger = await self._apply(
            profile,
            lambda current: current.top_up(tokens=tokens, operation_id=operation_id),
            operation_id,
        )
        return LedgerChange(ledger=ledger, operation_id=operation_id)

    async def lower(
        self, profile: str, tokens: int, operation_id: str = ""
    ) -> LedgerChange:
        """Subtract uncommitted prepaid tokens, or raise `CommandError`."""
        operation_id = operation_id or await self._new_id(profile)
        ledger = await self._apply(
            profile,
            lambda current: current.lower(tokens=tokens, operation_id=operation_id),
            operation_id,
        )
        return LedgerChange(ledger=ledger, operation_id=operation_id)

    async def recall(self, profile: str, to: int) -> Ledger:
        """Lower the prepaid tokens to `to` as routers return their slices."""
        return await self._apply(profile, lambda current: current.recall(to=to), "")

    async def retire(self, profile: str) -> Ledger:
        """Retire the ledger, so that routers get no further grants."""
        return await self._apply(profile, lambda current: current.retire(), "")

    async def _new_id(self, profile: str) -> str:
        ledger = await self.find(profile) or Ledger()
        return ledger.operation_id(uuid4().hex[:12])

    async def _apply(
        self, profile: str, transition: Transition, operation_id: str
    ) -> Ledger:
        maybe_written = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                return await self._apply_once(profile, transition)
            except (VersionConflict, AlreadyExists, ObjectNotFound):
                continue
            except OutcomeUnknown:
                # The ledger records operation ids: the next attempt reads it and
                # changes nothing if this write took effect.
                maybe_written = True
            except PlatformUnavailable as exc:
                if maybe_written:
                    raise _uncertain_error(profile, operation_id) from exc
                raise unavailable_error(exc) from exc
            except BudgetError as exc:
                raise _refusal_error(profile, exc) from exc
        if maybe_written:
            raise _uncertain_error(profile, operation_id)
        raise CommandConflict(
            f"the budget of {profile} changes too often to update it; nothing was "
            "written: run this again"
        )

    async def _apply_once(self, profile: str, transition: Transition) -> Ledger:
        stored = await self._platform.get(LEDGERS, profile)
        if stored is None:
            ledger = transition(Ledger())
            value = encode_ledger(ledger)
            await self._platform.create(LEDGERS, profile, value)
            return ledger
        before = _decode(stored)
        ledger = transition(before)
        if ledger != before:
            value = encode_ledger(ledger)
            await self._platform.update(LEDGERS, profile, value, stored.version)
        return ledger

    async def _read(self, profile: str) -> Stored | None:
        try:
            return await self._platform.get(LEDGERS, profile)
        except PlatformUnavailable as exc:
            raise unavailable_error(exc) from exc


def budget_row(profile: str, ledger: Ledger) -> BudgetRow:
    """Return the row that shows a ledger to operators."""
    return BudgetRow(
        profile=profile,
        prepaid=ledger.prepaid,
        spent=ledger.total_spent,
        held=ledger.held,
        rest=ledger.rest,
        recall_to=ledger.recall_to,
        retired=ledger.retired,
    )


def _decode(stored: Stored) -> Ledger:
    try:
        return decode_ledger(stored.value)
    except msgspec.DecodeError as exc:
        raise CommandError(
            f"the budget of {stored.name} cannot be decoded by this release: {exc}"
        ) from exc


def _refusal_error(profile: str, exc: BudgetError) -> CommandError:
    if isinstance(exc, BudgetCommitted):
        return CommandError(
            f"budget of {profile}: {exc}; add --recall to lower it as soon as the "
            f"routers give back, but not below {exc.spent}, which are spent"
        )
    return CommandError(f"budget of {profile}: {exc}")


def _uncertain_error(profile: str, operation_id: str) -> CommandUncertain:
    repeat = f" with --operation-id {operation_id}" if operation_id else ""
    return CommandUncertain(
        f"the platform's answer was lost: the budget of {profile} may or may not be "
        f"changed; run this again{repeat}, which never takes effect twice"
    )
