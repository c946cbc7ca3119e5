"""The bodies of the stand-in platform's HTTP interface.

Only `platform_client` and the stand-in's server know them.
"""

import msgspec

from ragwortkeel.platform import Change, Changes, Instance, Stored

VERSION_HEADER = "x-version"
IF_MATCH_HEADER = "if-match"

PAGE_LIMIT = 1_000
"""Objects on one page of a list; keeps an answer to about a megabyte."""


class Written(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a write that took effect."""

    version: int


class ObjectBody(msgspec.Struct, frozen=True, kw_only=True):
    """One object of a list or a change."""

    name: str
    version: int
    value: bytes

    @classmethod
    def of(cls, stored: Stored) -> "ObjectBody":
        """Return the wire form of `stored`."""
        return cls(name=stored.name, version=stored.version, value=stored.value)

    def stored(self, kind: str) -> Stored:
        """Return the object as the interface shows it."""
        return Stored(kind=kind, name=self.name, value=self.value, version=self.version)


class ListPage(msgspec.Struct, frozen=True, kw_only=True):
    """One page of a list, in order of name; `more` follow the last one."""

    objects: tuple[ObjectBody, ...]
    revision: int
    more: bool


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True):
    """One change; without `value` the object was deleted."""

    name: str
    version: int
    value: bytes | None

    @classmethod
    def of(cls, change: Change) -> "ChangeBody":
        """Return the wire form of `change`."""
        value = None if change.stored is None else change.stored.value
        return cls(name=change.name, version=change.version, value=value)

    def change(self, kind: str) -> Change:
        """Return the change as the interface shows it."""
        stored = None
        if self.value is not None:
            stored = Stored(
                kind=kind, name=self.name, value=self.value, version=self.version
            )
        return Change(name=self.name, version=self.version, stored=stored)


class ChangesBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a watch."""

    changes: tuple[ChangeBody, ...]
    revision: int
    gap: bool

    @classmethod
    def of(cls, changes: Changes) -> "ChangesBody":
        """Return the wire form of `changes`."""
        return cls(
            changes=tuple(ChangeBody.of(one) for one in changes.changes),
            revision=changes.revision,
            gap=changes.gap,
        )


class LiveBody(msgspec.Struct, frozen=True, kw_only=True):
    """The list of instances."""

    instances: tuple[Instance, ...]


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Why a call was refused."""

    error: str
