"""The object of the platform that holds all customers' ledgers.

Many processes write it, and each call is paid for.  A read that may be some seconds
stale costs the platform a tenth of one that may not.  It nearly always returns the
newest version; otherwise the refusal of the following write returns it.
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
"""Name of the object: it holds a few hundred customers' ledgers in under 1 MB."""


class LedgerStore:
    """Reads the ledgers, and writes them at the version that was read.

    Attributes
    ----------
    writes_superseded : bool
        Whether the ledgers read last are of a later version than any that an own write
        was conditional on: a write that is still in transit will be refused.
    in_doubt : bool
        Whether a write with an unknown outcome may have succeeded or may still.
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
        """Discard the ledgers that came with a refused write.

        A process whose peers write for it may not read for minutes.  A write that
        started from ledgers of that age would be refused.
        """
        self._conflicting = None

    async def read(self, *, stale: bool = True, use_own_write: bool = False) -> Shard:
        """Return the ledgers, possibly outdated ones if `stale` is true.

        With `use_own_write` they are those of the last own write, without a call.  That
        suits a process that writes for all others, so that none of them has written
        since.
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
        """Replace the ledgers, on the condition that they are those read last.

        Raises
        ------
        VersionConflict, AlreadyExists, ObjectNotFound
            Another process wrote first.
        OutcomeUnknown, PlatformUnavailable
            The same as for `Platform.update`.
        """
        value = encode_shard(shard)
        version = self._base.version if self._base is not None else 0
        # It never decreases: an earlier write, conditional on a later version, may
        # still succeed.
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
