"""How a slice and its ledger keep in step over lost answers, without I/O.

The owner reads the ledger, asks for the next value, writes it on condition of
the version it read, and says how the write ended.  A write whose answer is lost
may still land later.  It names a version, so it can't land once the object has
moved on; until then the same renewal is written again and nothing of what it
gives back is used.
"""

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.slice import Slice
from ragwortkeel.exceptions import RouterSealed


class SliceRefresh:
    """The order of reads and writes of one slice.

    Parameters
    ----------
    slice_ : Slice
        The slice to keep in step; its owner uses it between the calls.
    """

    def __init__(self, *, slice_: Slice) -> None:
        self.slice = slice_
        self._newest_unknown_version: int | None = None

    def read(self, ledger: Ledger, *, version: int) -> None:
        """Take in what the platform holds, before a write.

        Raises
        ------
        RouterSealed
            Nothing can be settled any more under this incarnation.
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
        """Note that the pending renewal is in this ledger."""
        self._newest_unknown_version = None
        self.slice.accept(ledger.grants[self.slice.router])

    def record_refused(self) -> None:
        """Note that the last write certainly did not happen."""
        if self._newest_unknown_version is None:
            self.slice.withdraw()

    def record_unknown(self, *, version: int) -> None:
        """Note that the last write, on condition of `version`, may have happened."""
        newest_unknown = self._newest_unknown_version
        self._newest_unknown_version = (
            version if newest_unknown is None else max(newest_unknown, version)
        )
