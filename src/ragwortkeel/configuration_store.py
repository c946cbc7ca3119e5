"""What a node knows of the configuration: the newest of each object, for good.

Objects are ordered by `rank`: gone before live, then by version.  A store only
ever replaces an object by one of higher rank, whatever order, delay or
repetition brings it, so it never reverts and any two stores that have seen the
same objects hold the same.  Beside the objects stands a tree of hashes, by
which two stores find what differs without sending what is equal.

Values stay as the platform's bytes; 250,000 profiles must fit beside the rest
of a node, and most are never looked at.
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
"""The kinds that every router holds whole."""

RETIRABLE = frozenset({PROFILES, UPSTREAMS})
"""Kinds that operators retire; others are deleted when their use ends."""

BRANCHES = 64
LEAVES_PER_BRANCH = 64
LEAVES = BRANCHES * LEAVES_PER_BRANCH
"""At 250,000 objects a leaf holds about 60, some 1.5 KB of names to compare."""

MAX_VERSION = 2**63
"""Versions are kept in eight bytes; a larger one is no platform's."""

_HEAD = Struct(">?Q")


class _Retirement(msgspec.Struct):
    retired: bool = False


_retirement_decoder = msgspec.json.Decoder(_Retirement)


class Rank(msgspec.Struct, frozen=True, order=True, array_like=True):
    """What decides between two states of one object; the higher one holds.

    A gone object outranks a live one of any version: a retirement cannot be
    undone by a change that crossed it, nor by an old copy from a cut-off peer.
    """

    gone: bool
    version: int


def rank_of(entry: VersionedObject) -> Rank:
    """Return the rank of an object as it travels."""
    return Rank(entry.gone or _is_retired(entry.kind, entry.value), entry.version)


def versioned_object(stored: Stored) -> VersionedObject:
    """Return the travelling form of what the platform showed."""
    return VersionedObject(
        kind=stored.kind, name=stored.name, version=stored.version, value=stored.value
    )


def tombstone(kind: str, name: str, version: int) -> VersionedObject:
    """Return the travelling form of a deletion."""
    return VersionedObject(kind=kind, name=name, version=version, value=b"", gone=True)


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """What a node has in force; `version` is None for what it does not hold."""

    revision: int
    version: int | None = None


def leaf_of(name: str) -> int:
    """Return the leaf of the hash tree that a name belongs to; the same anywhere."""
    return crc32(name.encode()) % LEAVES


class _Tree:
    """The objects of one kind by leaf, and the hashes over them."""

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
    """The newest known state of each object of the kinds it holds.

    Parameters
    ----------
    kinds : tuple of str
        Kinds to hold; objects of others are ignored.
    only : dict, optional
        For a kind held in part, the names to hold: a sidecar needs no other
        upstream than its own.

    Attributes
    ----------
    revision : int
        The highest version in force here; travels with every message.
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
        """Take in what is newer than what is held; return just that.

        Older, equal and repeated states change nothing, so late, gapped and
        reordered input cannot revert an object.
        """
        return [entry for entry in objects if self._merge_object(entry)]

    def get(self, kind: str, name: str) -> VersionedObject | None:
        """Return the newest known state of an object, gone ones included."""
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
        """Yield all objects of a kind, gone ones included, in no order."""
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
        """Return the hash over all objects of a kind; equal stores, equal hash."""
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
        """Return how many objects of a kind are known."""
        return self._tree_by_kind[kind].size

    def value_bytes(self, kind: str) -> int:
        """Return about how many bytes a list of a kind would bring."""
        return self._tree_by_kind[kind].value_bytes

    def _merge_object(self, entry: VersionedObject) -> bool:
        tree = self._tree_by_kind.get(entry.kind)
        if tree is None or not 0 <= entry.version < MAX_VERSION:
            return False
        if entry.kind in self.only and entry.name not in self.only[entry.kind]:
            return False
        held = tree.get(entry.name)
        rank = rank_of(entry)
        # The guard against reverting: a late watch, an old copy from a peer or
        # a repeated push would bring back a state that was replaced.
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
        # A value nobody can read is kept, so that its version is known; who
        # looks it up finds it unreadable.
        return False


def _unpack(kind: str, name: str, packed: bytes) -> VersionedObject:
    gone, version = _HEAD.unpack_from(packed)
    value = packed[_HEAD.size :]
    return VersionedObject(
        kind=kind, name=name, version=version, value=value, gone=gone
    )


def _hash(name: str, packed: bytes) -> int:
    # Rank and name settle the value, so it need not be hashed as well.
    digest = blake2b(packed[: _HEAD.size] + name.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
