"""Synchronisation of a slice with its ledger when answers are lost, without I/O.

The owner reads the ledger, computes the next value, writes it on condition of the
version that it read, and records the outcome.  A write whose answer is lost may still
be applied later, until the object has a newer version.  Until then the same renewal is
written again, and the tokens that it gives back are not spent.
"""

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.slice import Slice
from ragwortkeel.exceptions import RouterSealed


class SliceRefresh:
    """The reads and writes of the ledger for one slice, in their order.

    Parameters
    ----------
    slice_ : Slice
        The slice to synchronise; its owner uses it between the calls.
    """

    def __init__(self, *, slice_: Slice) -> None:
        self.slice = slice_
        self._newest_unknown_version: int | None = None

    def read(self, ledger: Ledger, *, version: int) -> None:
        """Apply the ledger that was read from the platform, before a write.

        Raises
        ------
        RouterSealed
            This incarnation can't settle any more.
        """
        grant = ledger.grants.get(self.slice.router)
        if grant is None and self.slice.in_ledger:
            raise RouterSealed(router=self.slice.router)
        if grant is not None and grant.sealed:
            raise RouterSealed(router=self.slice.router)
        if self.slice.pending is None:
            if grant is not None and self.slice.in_ledger:
                self.slice.receive(grant)
            return
        if self.slice.is_applied_in(grant):
            self.record_written(ledger)
        elif (
            self._newest_unknown_version is None
            or version > self._newest_unknown_version
        ):
            self._newest_unknown_version = None
            self.slice.withdraw()

    def record_written(self, ledger: Ledger) -> None:
        """Record that the pending renewal took effect in this ledger."""
        self._newest_unknown_version = None
        self.slice.accept(ledger.grants[self.slice.router])

    def record_refused(self) -> None:
        """Record that the last write was not applied and never will be."""
        if self._newest_unknown_version is None:
            self.slice.withdraw()

    def record_unknown(self, *, version: int) -> None:
        """Record that the last write, on condition of `version`, may be applied."""
        newest_unknown = self._newest_unknown_version
        self._newest_unknown_version = (
            version if newest_unknown is None else max(newest_unknown, version)
        )
