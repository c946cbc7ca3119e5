"""The bodies of the HTTP interface of the stand-in platform.

Only `platform_client` and the stand-in's server use them.
"""

import msgspec

from ragwortkeel.platform import Change, Changes, Instance, Stored

VERSION_HEADER = "x-version"
IF_MATCH_HEADER = "if-match"

PAGE_LIMIT = 1_000
"""Maximum objects on one page of a list, for responses of about a megabyte."""


class Written(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a write that took effect."""

    version: int


class ObjectBody(msgspec.Struct, frozen=True, kw_only=True):
    """An object of a list."""

    name: str
    version: int
    value: bytes

    @classmethod
    def of(cls, stored: Stored) -> "ObjectBody":
        """Return the wire form of `stored`."""
        return cls(name=stored.name, version=stored.version, value=stored.value)

    def stored(self, kind: str) -> Stored:
        """Return the object in the form of the `Platform` interface."""
        return Stored(kind=kind, name=self.name, value=self.value, version=self.version)


class ListPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of a list in the order of names; `more` is set if others follow."""

    objects: tuple[ObjectBody, ...]
    revision: int
    more: bool


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True):
    """A change; `value` is None if the object was deleted."""

    name: str
    version: int
    value: bytes | None

    @classmethod
    def of(cls, change: Change) -> "ChangeBody":
        """Return the wire form of `change`."""
        value = None if change.stored is None else change.stored.value
        return cls(name=change.name, version=change.version, value=value)

    def change(self, kind: str) -> Change:
        """Return the change in the form of the `Platform` interface."""
        stored = None
        if self.value is not None:
            stored = Stored(
                kind=kind, name=self.name, value=self.value, version=self.version
            )
        return Change(name=self.name, version=self.version, stored=stored)


class ChangesBody(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a watch."""

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
    """Response with the list of instances."""

    instances: tuple[Instance, ...]


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a call was refused."""

    error: str
