"""The platform's object service in memory, with switches for its failures.

It guarantees no more than the interface: one revision counts all writes, the version
of an object is the revision of its last write, and the history for watches is bounded,
so that a watch from an older revision reports a gap.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import curio
import msgspec

from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from ragwortkeel.platform import Change, Changes, Instance, Listing, Stored

HISTORY_LIMIT_CHANGES = 10_000
"""Changes stored for watches: those of a third of a day at the design size."""


class Switches(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Failures that a test can switch on; all are off by default.

    Attributes
    ----------
    down : bool
        Fail every call.
    slow_seconds : float
        Delay before each call is processed, in seconds.
    lost_answers : int
        Number of next writes that take effect and lose their answer.
    watch_late_seconds : float
        Delay before a watch reports its changes, in seconds.
    watch_skips : int
        Number of next changes that no watch reports.
    watch_gaps : bool
        Every watch reports a gap.
    live_frozen : bool
        The list of instances does not change.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lost_answers: int = 0
    watch_late_seconds: float = 0.0
    watch_skips: int = 0
    watch_gaps: bool = False
    live_frozen: bool = False


class Counts(msgspec.Struct, kw_only=True):
    """Numbers of calls, and of watches that are open now."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    open_watches: int = 0


@dataclass(frozen=True, kw_only=True)
class _Event:
    revision: int
    kind: str
    change: Change
    hidden: bool


class LocalPlatform:
    """A `Platform` in memory, shared by the tasks of a test.

    Attributes
    ----------
    switches : Switches
        Failures in effect; can be changed at any time.
    counts : Counts
        Calls that the platform would count towards the caller's rate limit.
    """

    def __init__(self, *, history_limit: int = HISTORY_LIMIT_CHANGES) -> None:
        self.switches = Switches()
        self.counts = Counts()
        self.revision = 0
        self._by_name_by_kind: dict[str, dict[str, Stored]] = {}
        self._history: deque[_Event] = deque()
        self._history_limit = history_limit
        self._last_dropped_revision = 0
        self._change_condition = curio.Condition()
        self._instances_by_name: dict[str, Instance] = {}
        self._listed_by_name: dict[str, Instance] = {}

    async def get(self, kind: str, name: str, *, stale: bool = False) -> Stored | None:
        """Return the object, or None if there is none.

        The interface allows an object some seconds old with `stale`, which costs the
        platform less; this stand-in always returns the current one.
        """
        self.counts.reads += 1
        await self._call()
        return self._objects(kind).get(name)

    async def list(self, kind: str, prefix: str = "") -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""
        self.counts.reads += 1
        await self._call()
        by_name = {
            name: stored
            for name, stored in self._objects(kind).items()
            if name.startswith(prefix)
        }
        return Listing(by_name=by_name, revision=self.revision)

    async def create(self, kind: str, name: str, value: bytes) -> int:
        """Create the object and return its version, or raise `AlreadyExists`."""
        self.counts.writes += 1
        await self._call()
        if name in self._objects(kind):
            raise AlreadyExists(f"{kind}/{name}")
        return await self._store(kind, name, value)

    async def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace the object at `version`, or raise `VersionConflict`."""
        self.counts.writes += 1
        await self._call()
        self._check(kind, name, version)
        return await self._store(kind, name, value)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object at `version`, or raise `VersionConflict`."""
        self.counts.writes += 1
        await self._call()
        self._check(kind, name, version)
        del self._objects(kind)[name]
        await self._record(kind, name, None)

    async def watch(self, kind: str, revision: int, timeout: float) -> Changes:
        """Wait at most `timeout` seconds for changes after `revision`."""
        self.counts.watches += 1
        self.counts.open_watches += 1
        try:
            await self._call()
            if timeout > 0:
                async with curio.ignore_after(timeout):
                    await self._wait(kind, revision)
            if self.switches.watch_late_seconds:
                await curio.sleep(self.switches.watch_late_seconds)
            # An outage that began during the wait ends the watch.
            self._raise_if_down()
            return self._changes(kind, revision)
        finally:
            self.counts.open_watches -= 1

    async def live(self) -> dict[str, Instance]:
        """Return the listed instances by name; a frozen list does not change."""
        self.counts.reads += 1
        await self._call()
        if not self.switches.live_frozen:
            self._listed_by_name = dict(self._instances_by_name)
        return dict(self._listed_by_name)

    def set_live(self, instances: Iterable[Instance]) -> None:
        """Set the instances; a frozen list shows them once it is unfrozen."""
        self._instances_by_name = {instance.name: instance for instance in instances}
        if not self.switches.live_frozen:
            self._listed_by_name = self._instances_by_name

    def peek(self, kind: str, name: str) -> Stored | None:
        """Return an object without counting a call or applying switches."""
        return self._objects(kind).get(name)

    def put(self, kind: str, name: str, value: bytes) -> None:
        """Store an object without counting a call or notifying watches."""
        self.revision += 1
        self._objects(kind)[name] = Stored(
            kind=kind, name=name, value=value, version=self.revision
        )

    def _objects(self, kind: str) -> dict[str, Stored]:
        return self._by_name_by_kind.setdefault(kind, {})

    async def _call(self) -> None:
        if self.switches.slow_seconds:
            await curio.sleep(self.switches.slow_seconds)
        self._raise_if_down()

    def _raise_if_down(self) -> None:
        if self.switches.down:
            raise PlatformUnavailable("the platform is down")

    def _check(self, kind: str, name: str, version: int) -> None:
        found = self._objects(kind).get(name)
        if found is None:
            raise ObjectNotFound(f"{kind}/{name}")
        if found.version != version:
            raise VersionConflict(
                f"{kind}/{name}: {found.version} is not {version}", current=found
            )

    async def _store(self, kind: str, name: str, value: bytes) -> int:
        stored = Stored(kind=kind, name=name, value=value, version=self.revision + 1)
        self._objects(kind)[name] = stored
        await self._record(kind, name, stored)
        return stored.version

    async def _record(self, kind: str, name: str, stored: Stored | None) -> None:
        self.revision += 1
        hidden = self.switches.watch_skips > 0
        if hidden:
            self.switches.watch_skips -= 1
        change = Change(name=name, version=self.revision, stored=stored)
        self._history.append(
            _Event(revision=self.revision, kind=kind, change=change, hidden=hidden)
        )
        if len(self._history) > self._history_limit:
            self._last_dropped_revision = self._history.popleft().revision
        lost = self.switches.lost_answers > 0
        if lost:
            self.switches.lost_answers -= 1
        async with self._change_condition:
            await self._change_condition.notify_all()
        if lost:
            raise OutcomeUnknown("the answer was lost")

    async def _wait(self, kind: str, revision: int) -> None:
        async with self._change_condition:
            while not self._changes(kind, revision).changes:
                if self._has_gap(revision):
                    return
                await self._change_condition.wait()

    def _has_gap(self, revision: int) -> bool:
        return self.switches.watch_gaps or revision < self._last_dropped_revision

    def _changes(self, kind: str, revision: int) -> Changes:
        if self._has_gap(revision):
            return Changes(changes=(), revision=self.revision, gap=True)
        seen = tuple(
            event.change
            for event in self._history
            if event.revision > revision and event.kind == kind and not event.hidden
        )
        return Changes(changes=seen, revision=self.revision, gap=False)
