"""The object of the platform that holds all customers' ledgers.

Many processes write it in turn, and each call is paid for.  A read that may be some
seconds old costs the platform a tenth of one that may not; it nearly always shows the
newest, and where not, the refusal of the write brings that along.
"""

from ragwortkeel.budget.shards import SHARDS_KIND, Shard, decode_shard, encode_shard
from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    OutcomeUnknown,
    VersionConflict,
)
from ragwortkeel.platform import Platform, Stored

SHARD_NAME = "shard-0"
"""One object holds a few hundred customers' ledgers in under a megabyte."""


class LedgerStore:
    """Reads the ledgers, and writes them at the version that was read.

    Attributes
    ----------
    outran : bool
        Whether the ledgers read last are of a later version than each write so far
        named: one that is still on its way will be refused.
    in_doubt : bool
        Whether a write may have been done, or may still be.
    """

    def __init__(self, *, platform: Platform) -> None:
        self.writes_superseded = False
        self.in_doubt = False
        self._platform = platform
        self._base: Stored | None = None
        self._conflicting: Stored | None = None
        self._own_write: Stored | None = None
        self._own_shard = Shard()
        self._newest_version_tried = 0

    def discard_conflict(self) -> None:
        """Drop what a refused write brought along, which is old after a while.

        A process that others write for may not read for minutes; with ledgers of so
        long ago each write of it is refused.
        """
        self._conflicting = None

    async def read(self, *, stale: bool = True, use_own_write: bool = False) -> Shard:
        """Return the ledgers, the newest known or, without `stale`, the newest.

        With `trusts_own` they are those of the own last write, without a call: for a
        process that writes for all others, so that nobody else has written since.
        """
        own_write = (
            self._own_write if use_own_write and self._conflicting is None else None
        )
        self._base = own_write or await self._read_newest(stale=stale)
        version = self._base.version if self._base is not None else 0
        self.writes_superseded = version > self._newest_version_tried
        if self.writes_superseded:
            self.in_doubt = False
        if self._base is None:
            return Shard()
        if self._base is self._own_write:
            return self._own_shard
        return decode_shard(self._base.value)

    async def write(self, shard: Shard) -> None:
        """Replace the ledgers that were read last.

        Raises
        ------
        VersionConflict, AlreadyExists, ObjectNotFound
            Another process wrote first.
        OutcomeUnknown, PlatformUnavailable
            As `Platform` says.
        """
        value = encode_shard(shard)
        version = self._base.version if self._base is not None else 0
        # Never back: an earlier write that named a later version may still be done.
        self._newest_version_tried = max(self._newest_version_tried, version)
        try:
            version = await self._store(value)
        except VersionConflict as exc:
            self._conflicting = exc.current
            raise
        except (AlreadyExists, ObjectNotFound):
            self._own_write = None
            raise
        except OutcomeUnknown:
            self._own_write = None
            self.in_doubt = True
            raise
        self.in_doubt = False
        self._own_write = Stored(
            kind=SHARDS_KIND, name=SHARD_NAME, value=value, version=version
        )
        self._own_shard = shard

    async def _read_newest(self, *, stale: bool) -> Stored | None:
        found, self._conflicting = self._conflicting, None
        if found is not None and stale:
            return found
        stored = await self._platform.get(SHARDS_KIND, SHARD_NAME, stale=stale)
        known = self._own_write
        if known is not None and (stored is None or stored.version < known.version):
            return known
        return stored

    async def _store(self, value: bytes) -> int:
        if self._base is None:
            return await self._platform.create(SHARDS_KIND, SHARD_NAME, value)
        return await self._platform.update(
            SHARDS_KIND, SHARD_NAME, value, self._base.version
        )
