"""A profile's prepaid budget as one object in the platform.

The ledger is kept under kind ``ledgers`` by the profile's name and changes only
by conditional updates.  Each transition here is pure: it returns a new ledger
or raises and leaves the old one.  The invariant of every ledger is that what is
spent plus what the grants hold never exceeds what is prepaid.

A settle and a seal of the same router are updates of the same object, so one
of them comes first: a router that was sealed can't settle any more and so can't
free exposure that the seal has already counted.
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
"""Operation ids a ledger remembers: years of top-ups in about 60 KB."""

MAX_NAMED_SIDECARS = 8000
"""Over all grants of one ledger: 640 KB with the longest names, under 1 MB."""


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the prepaid tokens that was applied."""

    operation_id: str
    tokens: int


class Ledger(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What is prepaid, spent and granted under one profile, in tokens.

    Attributes
    ----------
    spent : int
        Spend of grants that are closed; see `total_spent` for all of it.
    operations : tuple of Operation
        The latest changes of `prepaid`, oldest first.
    operation_count, operation_floor : int
        How many there ever were; ids made before the floor are refused.
    recall_to : int or None
        A lowering that waits for slices to come back.

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
        """Tokens spent or committed."""
        return self.spent + sum(grant.held for grant in self.grants.values())

    @property
    def total_spent(self) -> int:
        """Tokens known to be spent, in open grants too."""
        return self.spent + sum(grant.used for grant in self.grants.values())

    @property
    def holders(self) -> int:
        """Router incarnations that hold a grant."""
        return sum(grant.holders for grant in self.grants.values())

    @property
    def rest(self) -> int:
        """Tokens that a router may still take."""
        if self.retired:
            return 0
        limit = self.prepaid if self.recall_to is None else self.recall_to
        return max(0, limit - self.held)

    def operation_id(self, nonce: str) -> str:
        """Return an id for a new change of the prepaid tokens.

        Make it once, from a ledger just read, and use it for every retry.
        """
        return f"{self.operation_count}.{nonce}"

    def top_up(self, *, tokens: int, operation_id: str) -> Self:
        """Add prepaid tokens; a repeated operation changes nothing."""
        return self._change_prepaid(tokens, operation_id)

    def lower(self, *, tokens: int, operation_id: str) -> Self:
        """Take prepaid tokens off, at once or not at all.

        Raises
        ------
        BudgetCommitted
            What is spent or committed does not allow it; see `recall`.
        """
        if not self._is_applied(operation_id) and self.prepaid - tokens < self.held:
            lowerable = max(0, self.prepaid - self.held)
            raise BudgetCommitted(lowerable_tokens=lowerable, spent=self.total_spent)
        return self._change_prepaid(-tokens, operation_id)

    def recall(self, *, to: int) -> Self:
        """Lower the prepaid tokens to `to` as soon as enough slices are back.

        Until then nothing is granted beyond it, and routers give back what they
        don't need.  Saying it twice changes nothing.
        """
        if to < self.total_spent:
            lowerable = max(0, self.prepaid - self.total_spent)
            raise BudgetCommitted(lowerable_tokens=lowerable, spent=self.total_spent)
        if to >= self.prepaid:
            return msgspec.structs.replace(self, recall_to=None)
        return self._replace(recall_to=to)

    def retire(self) -> Self:
        """Grant nothing more; what is out may still be spent or come back."""
        return msgspec.structs.replace(self, retired=True)

    def renew(self, renewal: Renewal) -> Self:
        """Settle, give back and take for one router, in this order.

        The router gets what is there, which may be less than it wants.
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
            raise LedgerFull(f"over {MAX_NAMED_SIDECARS} sidecars named")
        return ledger

    def close(self, renewal: Renewal) -> Self:
        """End the grant of a router that has nothing open and stops.

        A grant that is gone already was closed by the same call before.
        """
        if renewal.router not in self.grants:
            return self
        grant = self._open_grant(renewal.router).renewed(renewal)
        return self._without_grant(renewal.router, grant.used)

    def seal(self, router: str) -> Self:
        """Take no more of this router; hold only what it can have spent.

        This is safe before any sidecar has heard of the seal: from here on the
        router can't settle, so through each named sidecar it stays under the
        cap, whether it is dead, paused or only cut off.
        """
        grant = self.grants.get(router)
        if grant is None or grant.sealed:
            return self
        grant = msgspec.structs.replace(grant, sealed=True)
        return self._close_if_final(router, grant)

    def report(self, *, router: str, sidecar: str, tokens: int) -> Self:
        """Replace the bound of a sealed sidecar by its exact cumulative spend."""
        grant = self.grants.get(router)
        if grant is None or not grant.sealed:
            return self
        return self._close_if_final(router, grant.reported(sidecar, tokens))

    def write_off(self, *, router: str, sidecar: str) -> Self:
        """Charge the bound for good: this sidecar is gone with its upstream.

        The charge is made when the grant closes.  Earlier, the bound could take
        what another sidecar has yet to report, and the sum would exceed the
        grant.
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
        """Hand what a router gave back on; without a taker it joins the rest."""
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
            raise BudgetRetired("the profile is retired")
        # The id carries how many operations there were when it was made.  Ids
        # leave the list only together with all ids that are as old, so a late
        # retry of one that has left is refused instead of adding twice.
        if _operation_count_of(operation_id) < self.operation_floor:
            raise StaleOperation(f"{operation_id} is too old to tell")
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
    """Return the value to keep in the platform."""
    return _encoder.encode(ledger)


def decode_ledger(value: bytes) -> Ledger:
    """Return the ledger; `msgspec.DecodeError` where it is not one."""
    return _decoder.decode(value)
