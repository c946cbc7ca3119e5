"""The configuration store of a process: the newest known state of each object.

States of an object are ordered by `Rank`: a deleted or retired one is above a live
one, then the higher version is above the lower.  A store replaces an object only by
a state of higher rank, in whatever order and however often states arrive.  So it
never reverts, and two stores that received the same states have equal content.  A
hash tree lets two stores find the differences without sending what is equal.

Values are stored as the platform's bytes and decoded only on use: 250,000 profiles
have to fit into the memory of a process, and most are never used there.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from struct import Struct
from zlib import crc32

import msgspec

from ragwortkeel.configuration import (
    NODES,
    PROFILES,
    SEALS,
    UPSTREAMS,
)
from ragwortkeel.messages import VersionedObject
from ragwortkeel.platform import Stored

KINDS = (PROFILES, UPSTREAMS, NODES, SEALS)
"""The kinds of which every router stores all objects."""

RETIRABLE = frozenset({PROFILES, UPSTREAMS})
"""Kinds whose objects operators retire; objects of other kinds are deleted."""

BRANCHES = 64
LEAVES_PER_BRANCH = 64
LEAVES = BRANCHES * LEAVES_PER_BRANCH
"""Leaves of a hash tree.

With 250,000 objects, a leaf has about 60, so comparing it takes about 1.5 KB.
"""

MAX_VERSION = 2**63
"""Upper bound of versions; stored versions have eight bytes."""

_HEAD = Struct(">?Q")


class _Retirement(msgspec.Struct):
    retired: bool = False


_retirement_decoder = msgspec.json.Decoder(_Retirement)


class Rank(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The order of the states of one object; the highest is in force.

    `gone` marks a deleted or retired object.  It outranks a live state of any
    version, so that neither a concurrent change nor an old copy from a partitioned
    peer can undo a retirement.
    """

    gone: bool
    version: int


def rank_of(entry: VersionedObject) -> Rank:
    """Return the rank of an object."""
    return Rank(entry.gone or _is_retired(entry.kind, entry.value), entry.version)


def versioned_object(stored: Stored) -> VersionedObject:
    """Return the message form of an object of the platform."""
    return VersionedObject(
        kind=stored.kind, name=stored.name, version=stored.version, value=stored.value
    )


def tombstone(kind: str, name: str, version: int) -> VersionedObject:
    """Return the message form of a deletion."""
    return VersionedObject(kind=kind, name=name, version=version, value=b"", gone=True)


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an object in force at a process.

    `version` is None if the process does not store the object.
    """

    revision: int
    version: int | None = None


def leaf_of(name: str) -> int:
    """Return the leaf of a name in the hash tree; equal in all processes."""
    return crc32(name.encode()) % LEAVES


class _Tree:
    """The objects of one kind by leaf, with the hashes over them."""

    def __init__(self) -> None:
        self.packed_by_name_by_leaf: dict[int, dict[str, bytes]] = {}
        self.leaf_hashes = [0] * LEAVES
        self.branch_hashes = [0] * BRANCHES
        self.root = 0
        self.size = 0
        self.value_bytes = 0

    def leaf(self, leaf: int) -> dict[str, bytes]:
        return self.packed_by_name_by_leaf.get(leaf, {})

    def get(self, name: str) -> bytes | None:
        return self.leaf(leaf_of(name)).get(name)

    def put(self, name: str, packed: bytes) -> None:
        leaf = leaf_of(name)
        names = self.packed_by_name_by_leaf.setdefault(leaf, {})
        old = names.get(name)
        change = _hash(name, packed)
        if old is None:
            self.size += 1
        else:
            change ^= _hash(name, old)
            self.value_bytes -= len(old)
        self.value_bytes += len(packed)
        names[name] = packed
        self.leaf_hashes[leaf] ^= change
        self.branch_hashes[leaf // LEAVES_PER_BRANCH] ^= change
        self.root ^= change


class ConfigurationStore:
    """The newest known state of each object of some kinds.

    Parameters
    ----------
    kinds : tuple of str
        Kinds to store; objects of other kinds are ignored.
    only : dict, optional
        For a kind that is stored partially, the names to store: a sidecar needs
        only its own upstream.

    Attributes
    ----------
    revision : int
        The highest version in force here, sent with each message.
    """

    def __init__(
        self,
        *,
        kinds: tuple[str, ...] = KINDS,
        only: dict[str, frozenset[str]] | None = None,
    ) -> None:
        self.kinds = kinds
        self.only = only or {}
        self.full_kinds = tuple(kind for kind in kinds if kind not in self.only)
        self.revision = 0
        self._tree_by_kind = {kind: _Tree() for kind in kinds}

    def merge(self, objects: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Merge the objects of higher rank than the stored ones and return them.

        Older, equal and repeated states change nothing, so late, incomplete or
        reordered input cannot revert an object.
        """
        return [entry for entry in objects if self._merge_object(entry)]

    def get(self, kind: str, name: str) -> VersionedObject | None:
        """Return the newest known state of an object, also of a deleted one."""
        packed = self._tree_by_kind[kind].get(name)
        return None if packed is None else _unpack(kind, name, packed)

    def in_force(self, kind: str, name: str) -> InForce:
        """Return the version in force of an object, and the revision."""
        found = self.get(kind, name) if kind in self.kinds else None
        version = None if found is None else found.version
        return InForce(revision=self.revision, version=version)

    def rank(self, kind: str, name: str) -> Rank | None:
        """Return the rank of an object, or None where it is not known."""
        packed = self._tree_by_kind[kind].get(name)
        return None if packed is None else Rank(*_HEAD.unpack_from(packed))

    def objects(self, kind: str) -> Iterator[VersionedObject]:
        """Yield all objects of a kind, also deleted ones, in undefined order."""
        for leaf in list(self._tree_by_kind[kind].packed_by_name_by_leaf):
            yield from self.leaf(kind, leaf)

    def leaf(self, kind: str, leaf: int) -> Iterator[VersionedObject]:
        """Yield the objects of one leaf."""
        for name, packed in self._tree_by_kind[kind].leaf(leaf).items():
            yield _unpack(kind, name, packed)

    def leaf_ranks(self, kind: str, leaf: int) -> dict[str, Rank]:
        """Return the rank by name of the objects of one leaf."""
        names = self._tree_by_kind[kind].leaf(leaf)
        return {name: Rank(*_HEAD.unpack_from(entry)) for name, entry in names.items()}

    def root(self, kind: str) -> int:
        """Return the hash over all objects of a kind; equal in equal stores."""
        return self._tree_by_kind[kind].root

    def branch_hashes(self, kind: str) -> tuple[int, ...]:
        """Return the hash of each branch of a kind's tree."""
        return tuple(self._tree_by_kind[kind].branch_hashes)

    def leaf_hashes(self, kind: str, branch: int) -> tuple[int, ...]:
        """Return the hash of each leaf of one branch."""
        start = branch * LEAVES_PER_BRANCH
        hashes = self._tree_by_kind[kind].leaf_hashes
        return tuple(hashes[start : start + LEAVES_PER_BRANCH])

    def size(self, kind: str) -> int:
        """Return the number of objects of a kind, including deleted ones."""
        return self._tree_by_kind[kind].size

    def value_bytes(self, kind: str) -> int:
        """Return the approximate size of a list of a kind in bytes."""
        return self._tree_by_kind[kind].value_bytes

    def _merge_object(self, entry: VersionedObject) -> bool:
        tree = self._tree_by_kind.get(entry.kind)
        if tree is None or not 0 <= entry.version < MAX_VERSION:
            return False
        if entry.kind in self.only and entry.name not in self.only[entry.kind]:
            return False
        held = tree.get(entry.name)
        rank = rank_of(entry)
        # Guards against reverting: a late watch, an old copy from a peer or a
        # repeated push may contain a state that was replaced.
        if held is not None and rank <= Rank(*_HEAD.unpack_from(held)):
            return False
        tree.put(entry.name, _HEAD.pack(rank.gone, rank.version) + entry.value)
        self.revision = max(self.revision, rank.version)
        return True


def _is_retired(kind: str, value: bytes) -> bool:
    if kind not in RETIRABLE:
        return False
    try:
        return _retirement_decoder.decode(value).retired
    except msgspec.DecodeError:
        # An undecodable value is stored, so that its version is known; decoding
        # fails where it is used.
        return False


def _unpack(kind: str, name: str, packed: bytes) -> VersionedObject:
    gone, version = _HEAD.unpack_from(packed)
    value = packed[_HEAD.size :]
    return VersionedObject(
        kind=kind, name=name, version=version, value=value, gone=gone
    )


def _hash(name: str, packed: bytes) -> int:
    # Rank and name determine the value, so it need not be hashed.
    digest = blake2b(packed[: _HEAD.size] + name.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
