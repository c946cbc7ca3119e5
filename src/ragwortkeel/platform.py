"""The narrow interface to the platform; nothing above it knows its wire format.

The platform keeps objects of a *kind* under a *name*, each with a value (bytes,
at most ``MAX_VALUE_BYTES``) and a version that changes with each write.  All
that has to last or be agreed on goes through this interface.

Versions and revisions count the same writes: a later write of any object has a
higher version, also where the object was deleted and made anew, and a list or
watch at a revision shows every version up to it.
"""

from dataclasses import dataclass
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000
"""The platform refuses larger values."""


@dataclass(frozen=True, kw_only=True)
class Stored:
    """One object as read from the platform."""

    kind: str
    name: str
    value: bytes
    version: int


@dataclass(frozen=True, kw_only=True)
class Listing:
    """Objects of one kind, and the revision from which a watch can go on."""

    by_name: dict[str, Stored]
    revision: int


@dataclass(frozen=True, kw_only=True)
class Change:
    """One change seen by a watch; `stored` is None for a deletion."""

    name: str
    version: int
    stored: Stored | None


@dataclass(frozen=True, kw_only=True)
class Changes:
    """What a watch returned; after a gap the watcher must list again.

    Watches may be late and may skip changes: a reader treats them as hints to
    converge sooner, and lists now and then all the same.
    """

    changes: tuple[Change, ...]
    revision: int
    gap: bool


@dataclass(frozen=True, kw_only=True)
class Instance:
    """One row of the platform's lagging list of instances."""

    name: str
    address: str
    role: str
    zone: str
    leaving: bool


class Platform(Protocol):
    """What the fleet needs of the platform.

    Every call may raise `PlatformUnavailable` (certainly nothing changed).
    Writes may raise `OutcomeUnknown`: the caller re-reads, and a nonce in the
    value tells whether the write was its own.
    """

    async def get(self, kind: str, name: str, *, stale: bool = False) -> Stored | None:
        """Return the object, or None where there is none.

        With `stale` it may be some seconds old, which costs the platform less: for
        readers whose conditional write finds that out.
        """

    async def list(self, kind: str, prefix: str = "") -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""

    async def create(self, kind: str, name: str, value: bytes) -> int:
        """Create the object and return its version; else `AlreadyExists`."""

    async def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace the object at `version`; else `VersionConflict`."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object at `version`; else `VersionConflict`."""

    async def watch(self, kind: str, revision: int, timeout: float) -> Changes:
        """Wait at most `timeout` seconds for changes after `revision`."""

    async def live(self) -> dict[str, Instance]:
        """Return the lagging list of live and leaving instances, by name."""
