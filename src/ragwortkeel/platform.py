"""The interface to the platform, independent of its wire format.

The platform stores objects by *kind* and *name*.  Each has a value (bytes, at most
``MAX_VALUE_BYTES``) and a version that changes with each write.  All state that has
to be durable or agreed between processes is stored there.

Versions and revisions count the same writes.  A later write of any object has a
higher version, also if the object was deleted and created again, and a list or watch
at a revision contains every version up to it.
"""

from dataclasses import dataclass
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value; the platform refuses larger ones."""


@dataclass(frozen=True, kw_only=True)
class Stored:
    """An object as read from the platform."""

    kind: str
    name: str
    value: bytes
    version: int


@dataclass(frozen=True, kw_only=True)
class Listing:
    """Objects of one kind, and the revision from which a watch can continue."""

    by_name: dict[str, Stored]
    revision: int


@dataclass(frozen=True, kw_only=True)
class Change:
    """A change returned by a watch; `stored` is None for a deletion."""

    name: str
    version: int
    stored: Stored | None


@dataclass(frozen=True, kw_only=True)
class Changes:
    """The result of a watch; after a gap, the kind has to be listed again.

    Watches may be late and may skip changes.  Readers use them only to converge
    sooner, and still list regularly.
    """

    changes: tuple[Change, ...]
    revision: int
    gap: bool


@dataclass(frozen=True, kw_only=True)
class Instance:
    """An entry of the platform's list of instances, which may be outdated."""

    name: str
    address: str
    role: str
    zone: str
    leaving: bool


class Platform(Protocol):
    """The operations that the fleet uses of the platform.

    Every call may raise `PlatformUnavailable`; then certainly nothing changed.
    Writes may raise `OutcomeUnknown`: the caller reads the object again and
    recognizes its own write by a nonce in the value.
    """

    async def get(self, kind: str, name: str, *, stale: bool = False) -> Stored | None:
        """Return the object, or None if it does not exist.

        With `stale` it may be some seconds old, which costs the platform less.
        This is for readers whose conditional write detects an old version.
        """

    async def list(self, kind: str, prefix: str = "") -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""

    async def create(self, kind: str, name: str, value: bytes) -> int:
        """Create the object and return its version, or raise `AlreadyExists`."""

    async def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace the object at `version`, or raise `VersionConflict`."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object at `version`, or raise `VersionConflict`."""

    async def watch(self, kind: str, revision: int, timeout: float) -> Changes:
        """Wait at most `timeout` seconds for changes after `revision`."""

    async def live(self) -> dict[str, Instance]:
        """Return live and leaving instances by name; the list may be outdated."""
