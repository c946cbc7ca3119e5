"""A profile's prepaid budget as one object in the platform.

The ledger is stored under kind ``ledgers`` by the profile's name and changes only by
conditional updates.  Each transition here is pure: it returns a new ledger, or raises
and leaves the old one unchanged.  In every ledger, the spend plus the tokens that
grants hold never exceed the prepaid tokens.

A settlement and a seal of the same router update the same object, so they are ordered.
A sealed router can't settle any more, and so can't free exposure that the seal has
counted.
"""

from typing import Self

import msgspec

from ragwortkeel.budget.grant import Grant, Renewal
from ragwortkeel.exceptions import (
    BudgetCommitted,
    BudgetRetired,
    InvalidOperation,
    LedgerFull,
    RouterSealed,
    StaleOperation,
)

MAX_KEPT_OPERATIONS = 1024
"""Operation ids that a ledger stores: years of top-ups in about 60 KB."""

MAX_NAMED_SIDECARS = 8000
"""Sidecars that all grants of one ledger may name together.

With the longest names they take 640 KB, less than the platform's limit of 1 MB.
"""


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the prepaid tokens that was applied."""

    operation_id: str
    tokens: int


class Ledger(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Prepaid, spent and granted tokens of one profile.

    Attributes
    ----------
    spent : int
        Spend of closed grants; `total_spent` has the spend of open grants too.
    operations : tuple of Operation
        The latest changes of `prepaid`, oldest first.
    operation_count, operation_floor : int
        Number of all changes so far, and the count below which ids are refused.
    recall_to : int or None
        Prepaid tokens after a recall that waits for slices to be given back.
    retired : bool
        Whether no more tokens are granted.

    Examples
    --------
    >>> ledger = Ledger()
    >>> ledger = ledger.top_up(tokens=100, operation_id=ledger.operation_id("a"))
    >>> ledger.rest
    100

    .. versionadded:: 0.1
    """

    prepaid: int = 0
    spent: int = 0
    grants: dict[str, Grant] = {}
    operations: tuple[Operation, ...] = ()
    operation_count: int = 0
    operation_floor: int = 0
    recall_to: int | None = None
    retired: bool = False

    @property
    def held(self) -> int:
        """Tokens that are spent or held by grants."""
        return self.spent + sum(grant.held for grant in self.grants.values())

    @property
    def total_spent(self) -> int:
        """Tokens known to be spent, those of open grants included."""
        return self.spent + sum(grant.used for grant in self.grants.values())

    @property
    def holders(self) -> int:
        """Number of router incarnations with a grant."""
        return sum(grant.holders for grant in self.grants.values())

    @property
    def rest(self) -> int:
        """Tokens that can still be granted."""
        if self.retired:
            return 0
        limit = self.prepaid if self.recall_to is None else self.recall_to
        return max(0, limit - self.held)

    def operation_id(self, nonce: str) -> str:
        """Return an id for a new change of the prepaid tokens.

        Create it once, from a ledger that was just read, and use it for every retry.
        """
        return f"{self.operation_count}.{nonce}"

    def top_up(self, *, tokens: int, operation_id: str) -> Self:
        """Return the ledger with prepaid tokens added; idempotent by operation id."""
        return self._change_prepaid(tokens, operation_id)

    def lower(self, *, tokens: int, operation_id: str) -> Self:
        """Return the ledger with fewer prepaid tokens; idempotent by operation id.

        Raises
        ------
        BudgetCommitted
            Too many tokens are spent or held by grants; `recall` can wait for them.
        """
        if not self._is_applied(operation_id) and self.prepaid - tokens < self.held:
            lowerable = max(0, self.prepaid - self.held)
            raise BudgetCommitted(lowerable_tokens=lowerable, spent=self.total_spent)
        return self._change_prepaid(-tokens, operation_id)

    def recall(self, *, to: int) -> Self:
        """Return the ledger with a recall of its prepaid tokens to `to`.

        They are lowered once enough slices are given back.  Until then nothing is
        granted beyond `to`, and routers give back what they don't need.  The call is
        idempotent; with `to` at the prepaid tokens or above it cancels a recall.

        Raises
        ------
        BudgetCommitted
            More than `to` is spent already.
        """
        if to < self.total_spent:
            lowerable = max(0, self.prepaid - self.total_spent)
            raise BudgetCommitted(lowerable_tokens=lowerable, spent=self.total_spent)
        if to >= self.prepaid:
            return msgspec.structs.replace(self, recall_to=None)
        return self._replace(recall_to=to)

    def retire(self) -> Self:
        """Return the ledger without further grants or top-ups.

        Granted tokens may still be spent or given back.
        """
        return msgspec.structs.replace(self, retired=True)

    def renew(self, renewal: Renewal) -> Self:
        """Return the ledger with one router's grant renewed.

        Spend is settled first, then tokens are given back, then tokens are granted.
        The router may get fewer tokens than it wants.
        """
        if renewal.first and renewal.router not in self.grants:
            grant = Grant()
        else:
            grant = self._open_grant(renewal.router)
        ledger = self._with_grant(renewal.router, grant.renewed(renewal))
        ledger = ledger._with_returned(renewal)
        ledger = ledger._with_tokens_added(
            renewal.router, min(renewal.want, ledger.rest)
        )
        named_sidecars = sum(len(entry.settled) for entry in ledger.grants.values())
        if named_sidecars > MAX_NAMED_SIDECARS:
            raise LedgerFull(f"ledger names more than {MAX_NAMED_SIDECARS} sidecars")
        return ledger

    def close(self, renewal: Renewal) -> Self:
        """Return the ledger without the grant of a router that stops.

        Call it only when the router has no open reservations.  The call is idempotent:
        without a grant the ledger is unchanged.
        """
        if renewal.router not in self.grants:
            return self
        grant = self._open_grant(renewal.router).renewed(renewal)
        return self._without_grant(renewal.router, grant.used)

    def seal(self, router: str) -> Self:
        """Return the ledger with a router sealed.

        Renewals of the router are refused, and its grant holds only what it can have
        spent.  This is safe before any sidecar has received the seal: the router can't
        settle any more, so its spend through each named sidecar stays within the cap,
        whether it has crashed, is suspended or is only partitioned.
        """
        grant = self.grants.get(router)
        if grant is None or grant.sealed:
            return self
        grant = msgspec.structs.replace(grant, sealed=True)
        return self._close_if_final(router, grant)

    def report(self, *, router: str, sidecar: str, tokens: int) -> Self:
        """Return the ledger with a sidecar's exact spend in place of its bound.

        Only grants of sealed routers change.
        """
        grant = self.grants.get(router)
        if grant is None or not grant.sealed:
            return self
        return self._close_if_final(router, grant.reported(sidecar, tokens))

    def write_off(self, *, router: str, sidecar: str) -> Self:
        """Return the ledger with a deleted sidecar marked to be charged its bound.

        The charge is made when the grant closes.  An earlier one could use tokens of
        the grant that another sidecar has yet to report.
        """
        grant = self.grants.get(router)
        if grant is None or not grant.sealed or sidecar not in grant.settled:
            return self
        gone = tuple(sorted({*grant.gone, sidecar}))
        grant = msgspec.structs.replace(grant, gone=gone)
        return self._close_if_final(router, grant)

    def _open_grant(self, router: str) -> Grant:
        grant = self.grants.get(router)
        if grant is None or grant.sealed:
            raise RouterSealed(router=router)
        return grant

    def _with_returned(self, renewal: Renewal) -> Self:
        """Return the ledger with the returned tokens added to the router in `give_to`.

        Without an open grant of that router they can be granted to any router.
        """
        recipient = self.grants.get(renewal.give_to)
        if recipient is None or recipient.sealed:
            return self
        return self._with_tokens_added(
            renewal.give_to, min(renewal.give_back, self.rest)
        )

    def _with_tokens_added(self, router: str, tokens: int) -> Self:
        grant = self.grants[router]
        grant = msgspec.structs.replace(grant, granted=grant.granted + tokens)
        return self._with_grant(router, grant)

    def _close_if_final(self, router: str, grant: Grant) -> Self:
        if set(grant.settled) <= set(grant.gone):
            return self._without_grant(router, grant.held)
        return self._with_grant(router, grant)

    def _with_grant(self, router: str, grant: Grant) -> Self:
        return self._replace(grants=self.grants | {router: grant})

    def _without_grant(self, router: str, spent: int) -> Self:
        grants = {name: grant for name, grant in self.grants.items() if name != router}
        return self._replace(grants=grants, spent=self.spent + spent)

    def _replace(self, **changes) -> Self:
        ledger = msgspec.structs.replace(self, **changes)
        if ledger.recall_to is None or ledger.held > ledger.recall_to:
            return ledger
        return msgspec.structs.replace(ledger, prepaid=ledger.recall_to, recall_to=None)

    def _is_applied(self, operation_id: str) -> bool:
        return any(
            operation.operation_id == operation_id for operation in self.operations
        )

    def _change_prepaid(self, tokens: int, operation_id: str) -> Self:
        if self._is_applied(operation_id):
            return self
        if self.retired:
            raise BudgetRetired("a retired profile can't be topped up or lowered")
        # An id contains the operation count at its creation.  The floor is above that
        # of each id that was removed, so a late retry of a removed id is refused
        # instead of being applied twice.
        if _operation_count_of(operation_id) < self.operation_floor:
            raise StaleOperation(
                f"operation id {operation_id} is too old to tell whether it was applied"
            )
        operation = Operation(operation_id=operation_id, tokens=tokens)
        kept = (*self.operations, operation)
        removed = kept[:-MAX_KEPT_OPERATIONS]
        floor = max(
            (_operation_count_of(entry.operation_id) + 1 for entry in removed),
            default=0,
        )
        recall_to = self.recall_to
        if recall_to is not None:
            recall_to += tokens
        return self._replace(
            prepaid=self.prepaid + tokens,
            recall_to=recall_to,
            operations=kept[-MAX_KEPT_OPERATIONS:],
            operation_count=self.operation_count + 1,
            operation_floor=max(self.operation_floor, floor),
        )


def _operation_count_of(operation_id: str) -> int:
    count, _, nonce = operation_id.partition(".")
    if not nonce or not count.isdecimal():
        raise InvalidOperation(f"{operation_id!r} is no operation id")
    return int(count)


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Ledger)


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the ledger as the platform stores it."""
    return _encoder.encode(ledger)


def decode_ledger(value: bytes) -> Ledger:
    """Return the ledger that the platform stores as this value.

    Raises
    ------
    msgspec.DecodeError
        The value is no ledger.
    """
    return _decoder.decode(value)
