"""Calls of the platform through a peer, while this process can't reach it.

In a partition some or all ingress instances are disconnected from the platform while
others, or the small instances beside the upstreams, still reach it.  Without relayed
calls budgets could not be renewed, changes would not be received, and callers would be
refused until the partition ends.

Calls are direct as long as that works.  After a failure they go through a peer, until a
probe shows that the platform is reachable again.  A relayed call has the same outcomes
as a direct one; in particular a write whose answer is lost, between the platform and
the peer or between the peer and this process, raises `OutcomeUnknown`.
"""

from collections.abc import Awaitable, Callable
from itertools import count
from time import monotonic
from typing import Protocol

import curio

from ragwortkeel.exceptions import (
    AlreadyExists,
    LinkLost,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    ReadUnanswered,
    ValueRefused,
    VersionConflict,
)
from ragwortkeel.exceptions import PlatformError as ClientError
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.messages import (
    PlatformAnswer,
    PlatformCall,
    PlatformError,
    PlatformOperation,
    VersionedObject,
)
from ragwortkeel.platform import Change, Changes, Instance, Listing, Platform, Stored

ANSWER_TIMEOUT_SECONDS = 0.9
"""Timeout of a relayed call, in addition to the call's own wait.

The relay's call of the platform times out after 0.6 s, and the transmission takes a few
milliseconds.
"""

PROBE_SECONDS = 0.3
"""Interval of a watcher's probes while direct calls fail.

After a cut a process has to know within a second what it missed.
"""

NON_WATCHER_PROBE_SECONDS = 1.0
"""Interval of the other processes' probes; each one is a call that is paid for."""

PROBE_TIMEOUT_SECONDS = 0.4
"""Time limit of a probe; a packet that was lost in a cut is repeated only later."""

AVOID_SECONDS = 2.0
"""How long a relay that can't reach the platform is not used."""

MAX_RELAYS_TRIED = 2
"""Number of relays that one call tries; if two can't reach the platform, it is
probably down."""

_ERROR_BY_CLASS: dict[type[ClientError], PlatformError] = {
    PlatformUnavailable: PlatformError.UNAVAILABLE,
    OutcomeUnknown: PlatformError.UNKNOWN,
    AlreadyExists: PlatformError.EXISTS,
    ObjectNotFound: PlatformError.NOT_FOUND,
    ValueRefused: PlatformError.REFUSED,
}
_CLASS_BY_ERROR = {error: cls for cls, error in _ERROR_BY_CLASS.items()}

_READS = frozenset(
    {PlatformOperation.GET, PlatformOperation.LIST, PlatformOperation.WATCH}
)


class Relay(Protocol):
    """A link to a peer that may relay calls."""

    name: str

    async def send(self, message: PlatformCall) -> None:
        """Send a call; raise `LinkLost` if that is not possible."""


class RelayedPlatform:
    """A `Platform` whose calls are direct, or through a peer when those fail.

    Parameters
    ----------
    direct : Platform
        The platform, called directly.
    relays : callable
        Returns the links to peers that may relay, in order of preference.
    is_watcher : callable
        Returns whether this process watches the platform on behalf of others.
    """

    def __init__(
        self,
        *,
        direct: Platform,
        relays: Callable[[], list[Relay]],
        is_watcher: Callable[[], bool] = lambda: True,
    ) -> None:
        self._direct = direct
        self._relays = relays
        self._is_watcher = is_watcher
        self._call_ids = count(1)
        self._answer_by_id: dict[int, PlatformAnswer | None] = {}
        self._arrived_by_id: dict[int, curio.Event] = {}
        self._read_ids: set[int] = set()
        self._avoided_until_by_relay: dict[str, float] = {}
        self._direct_failed = False
        self._probe_at = 0.0

    async def get(self, kind: str, name: str, *, stale: bool = False) -> Stored | None:
        """Return the object, None if there is none; only a direct call may be stale."""
        answer = await self._call(
            lambda: _get(self._direct, kind, name, stale=stale),
            operation=PlatformOperation.GET,
            kind=kind,
            name=name,
        )
        return _decode_stored(answer.objects[0]) if answer.objects else None

    async def list(self, kind: str, prefix: str = "") -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""
        answer = await self._call(
            lambda: _list(self._direct, kind, prefix),
            operation=PlatformOperation.LIST,
            kind=kind,
            name=prefix,
        )
        by_name = {found.name: _decode_stored(found) for found in answer.objects}
        return Listing(by_name=by_name, revision=answer.version)

    async def create(self, kind: str, name: str, value: bytes) -> int:
        """Create the object and return its version, or raise `AlreadyExists`."""
        answer = await self._call(
            lambda: _create(self._direct, kind, name, value),
            operation=PlatformOperation.CREATE,
            kind=kind,
            name=name,
            value=value,
        )
        return answer.version

    async def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace the object at `version`, or raise `VersionConflict`."""
        answer = await self._call(
            lambda: _update(self._direct, kind, name, value, version),
            operation=PlatformOperation.UPDATE,
            kind=kind,
            name=name,
            value=value,
            version=version,
        )
        return answer.version

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object at `version`, only by a direct call."""
        await self._direct.delete(kind, name, version)

    async def watch(self, kind: str, revision: int, timeout: float) -> Changes:
        """Wait at most `timeout` seconds for changes after `revision`."""
        answer = await self._call(
            lambda: self._watch_directly(kind, revision, timeout),
            operation=PlatformOperation.WATCH,
            kind=kind,
            version=revision,
            seconds=timeout,
        )
        changes = tuple(decode_change(found) for found in answer.objects)
        return Changes(changes=changes, revision=answer.version, gap=answer.gap)

    async def _watch_directly(
        self, kind: str, revision: int, seconds: float
    ) -> PlatformAnswer:
        try:
            return await _watch(self._direct, kind, revision, seconds)
        except ReadUnanswered:
            # The connection may have gone silent, or the platform may have cut off the
            # watch, while new connections work.
            return await _watch(self._direct, kind, revision, 0.0)

    async def live(self) -> dict[str, Instance]:
        """Return the list of instances, only by a direct call."""
        return await self._direct.live()

    async def receive_answer(self, answer: PlatformAnswer) -> None:
        """Receive a relay's answer; drop it if its call has timed out."""
        arrived = self._arrived_by_id.get(answer.call_id)
        if arrived is not None:
            self._answer_by_id[answer.call_id] = answer
            await arrived.set()

    async def run(self) -> None:
        """Probe the platform while direct calls fail, until cancelled."""
        while True:
            is_watcher = self._is_watcher()
            await curio.sleep(
                PROBE_SECONDS if is_watcher else NON_WATCHER_PROBE_SECONDS
            )
            if self._direct_failed:
                await self._probe_direct()

    async def _probe_direct(self) -> None:
        try:
            async with curio.timeout_after(PROBE_TIMEOUT_SECONDS):
                # Any answer shows that the platform is reachable; there is no such
                # object.
                await self._direct.get("looks", "look")
        except (PlatformUnavailable, curio.TaskTimeout):
            return
        self._direct_failed = False
        log_info("dependency_regained", dependency="platform", way="direct")
        for call_id, arrived in list(self._arrived_by_id.items()):
            if call_id in self._read_ids:
                await arrived.set()

    async def _call(
        self, direct: Callable[[], Awaitable[PlatformAnswer]], **fields
    ) -> PlatformAnswer:
        if not self._direct_failed or not self._relays():
            try:
                return await direct()
            except OutcomeUnknown as exc:
                # A write without an answer mostly indicates a partition.  The caller
                # reads before it repeats the write, and a direct read would hang too.
                self._record_direct_failure(str(exc))
                raise
            except PlatformUnavailable as exc:
                self._record_direct_failure(str(exc))
                # A watch that waits at each peer would return long after the end of an
                # outage of the platform.
                fields |= {"seconds": 0.0}
        call = PlatformCall(call_id=next(self._call_ids), **fields)
        try:
            return await self._call_through_peers(call)
        except PlatformUnavailable:
            if self._direct_failed or call.operation not in _READS:
                raise
            # The platform was reached directly while relays did not answer.
            return await direct()

    def _record_direct_failure(self, error: str) -> None:
        if not self._direct_failed:
            self._direct_failed = True
            log_warning(
                "dependency_lost", dependency="platform", way="direct", error=error
            )

    async def _call_through_peers(self, call: PlatformCall) -> PlatformAnswer:
        now = monotonic()
        relays = [
            relay
            for relay in self._relays()
            if self._avoided_until_by_relay.get(relay.name, 0.0) <= now
        ]
        for relay in relays[:MAX_RELAYS_TRIED]:
            answer = await self._call_through(relay, call)
            if answer.error is not PlatformError.UNAVAILABLE:
                return _raise_error(call, answer)
            if not self._direct_failed and call.operation in _READS:
                break
            self._avoided_until_by_relay[relay.name] = monotonic() + AVOID_SECONDS
        raise PlatformUnavailable("platform unreachable directly and through peers")

    async def _call_through(self, relay: Relay, call: PlatformCall) -> PlatformAnswer:
        """Return the relay's answer, or the error that its absence implies."""
        arrived = self._arrived_by_id[call.call_id] = curio.Event()
        if call.operation in _READS:
            self._read_ids.add(call.call_id)
        try:
            await relay.send(call)
            async with curio.ignore_after(ANSWER_TIMEOUT_SECONDS + call.seconds):
                await arrived.wait()
        except LinkLost:
            return _error_answer(call, PlatformError.UNAVAILABLE)
        finally:
            del self._arrived_by_id[call.call_id]
            self._read_ids.discard(call.call_id)
            answer = self._answer_by_id.pop(call.call_id, None)
        if answer is not None:
            return answer
        if call.operation in _READS:
            return _error_answer(call, PlatformError.UNAVAILABLE)
        return _error_answer(call, PlatformError.UNKNOWN)


async def execute_call(platform: Platform, call: PlatformCall) -> PlatformAnswer:
    """Execute a peer's call and return its answer, also for platform errors."""
    try:
        answer = await _execute(platform, call)
    except VersionConflict as exc:
        objects = () if exc.current is None else (_encode_stored(exc.current),)
        return PlatformAnswer(
            call_id=call.call_id, error=PlatformError.CONFLICT, objects=objects
        )
    except ClientError as exc:
        error = _ERROR_BY_CLASS.get(type(exc), PlatformError.UNAVAILABLE)
        return _error_answer(call, error)
    return PlatformAnswer(
        call_id=call.call_id,
        objects=answer.objects,
        version=answer.version,
        gap=answer.gap,
    )


async def _execute(platform: Platform, call: PlatformCall) -> PlatformAnswer:
    match call.operation:
        case PlatformOperation.GET:
            return await _get(platform, call.kind, call.name)
        case PlatformOperation.LIST:
            return await _list(platform, call.kind, call.name)
        case PlatformOperation.WATCH:
            return await _watch(platform, call.kind, call.version, call.seconds)
        case PlatformOperation.CREATE:
            return await _create(platform, call.kind, call.name, call.value)
        case PlatformOperation.UPDATE:
            return await _update(
                platform, call.kind, call.name, call.value, call.version
            )


async def _get(
    platform: Platform, kind: str, name: str, *, stale: bool = False
) -> PlatformAnswer:
    stored = await platform.get(kind, name, stale=stale)
    objects = () if stored is None else (_encode_stored(stored),)
    return PlatformAnswer(call_id=0, objects=objects)


async def _list(platform: Platform, kind: str, prefix: str) -> PlatformAnswer:
    listing = await platform.list(kind, prefix)
    objects = tuple(_encode_stored(stored) for stored in listing.by_name.values())
    return PlatformAnswer(call_id=0, objects=objects, version=listing.revision)


async def _watch(
    platform: Platform, kind: str, revision: int, seconds: float
) -> PlatformAnswer:
    changes = await platform.watch(kind, revision, seconds)
    return PlatformAnswer(
        call_id=0,
        objects=tuple(encode_change(kind, change) for change in changes.changes),
        version=changes.revision,
        gap=changes.gap,
    )


async def _create(
    platform: Platform, kind: str, name: str, value: bytes
) -> PlatformAnswer:
    version = await platform.create(kind, name, value)
    return PlatformAnswer(call_id=0, version=version)


async def _update(
    platform: Platform, kind: str, name: str, value: bytes, version: int
) -> PlatformAnswer:
    written = await platform.update(kind, name, value, version)
    return PlatformAnswer(call_id=0, version=written)


def _encode_stored(stored: Stored) -> VersionedObject:
    return VersionedObject(
        kind=stored.kind, name=stored.name, version=stored.version, value=stored.value
    )


def encode_change(kind: str, change: Change) -> VersionedObject:
    """Return a change as the object that is sent over a link."""
    if change.stored is not None:
        return _encode_stored(change.stored)
    return VersionedObject(
        kind=kind, name=change.name, version=change.version, value=b"", gone=True
    )


def _decode_stored(found: VersionedObject) -> Stored:
    return Stored(
        kind=found.kind, name=found.name, value=found.value, version=found.version
    )


def decode_change(found: VersionedObject) -> Change:
    """Return the change that an object received over a link stands for."""
    return Change(
        name=found.name,
        version=found.version,
        stored=None if found.gone else _decode_stored(found),
    )


def _error_answer(call: PlatformCall, error: PlatformError) -> PlatformAnswer:
    return PlatformAnswer(call_id=call.call_id, error=error)


def _raise_error(call: PlatformCall, answer: PlatformAnswer) -> PlatformAnswer:
    if answer.error is not PlatformError.NONE and call.operation in _READS:
        raise PlatformUnavailable(f"a peer answered a read with {answer.error}")
    if answer.error is PlatformError.CONFLICT:
        current = _decode_stored(answer.objects[0]) if answer.objects else None
        raise VersionConflict("platform call through a peer", current=current)
    cls = _CLASS_BY_ERROR.get(answer.error)
    if cls is not None:
        raise cls("platform call through a peer")
    return answer
