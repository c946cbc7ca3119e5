"""Follows the configuration and the upstreams' entries in the platform.

Failures it guards against: a watch goes silent with its connection open (a short
wait and a time-out of its own show it), history is gone (it lists again), and an
answer from a lagging copy shows the past (versions only go up).
"""

from collections.abc import Awaitable, Callable
from time import monotonic

import curio

from ragwortkeel.exceptions import ConfigurationUnreadable, PlatformUnavailable
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAMS_KIND,
    IngressConfiguration,
    Upstream,
    decode_value,
)
from ragwortkeel.ingress.directory import Directory, Moved
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.platform import Platform, Stored

WATCH_SECONDS = 3.0
"""A watch waits this long.  A silent one shows after that and the client's own
time-out; each wait is a call that is paid for."""

RETRY_SECONDS = 0.4
"""Pause after a failed call."""

ConfigurationTaker = Callable[[IngressConfiguration, bytes], Awaitable[None]]
MovesTaker = Callable[[list[Moved]], Awaitable[None]]


class _Follower:
    """Lists a kind, then watches it, for ever."""

    def __init__(self, *, platform: Platform, kind: str) -> None:
        self._platform = platform
        self._kind = kind
        self._reachable = True
        self.seen = False

    async def run(self) -> None:
        """Follow until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    revision = await self._list()
                else:
                    revision = await self._watch(revision)
                self._note_reachable(True, "")
            except PlatformUnavailable as exc:
                self._note_reachable(False, str(exc))
                await curio.sleep(RETRY_SECONDS)

    async def _list(self) -> int:
        listing = await self._platform.list(self._kind)
        await self._listed(listing.by_name, listing.revision)
        self.seen = True
        return listing.revision

    async def _watch(self, revision: int) -> int | None:
        changes = await self._platform.watch(self._kind, revision, WATCH_SECONDS)
        if changes.gap:
            log_info("history_lost", kind=self._kind, revision=revision)
            return None
        for change in changes.changes:
            await self._changed(change.name, change.version, change.stored)
        return max(revision, changes.revision)

    def _note_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            log_info("dependency_regained", dependency=self._kind)
            return
        log_warning("dependency_lost", dependency=self._kind, error=error)

    async def _listed(self, by_name: dict[str, Stored], revision: int) -> None:
        raise NotImplementedError

    async def _changed(self, name: str, version: int, stored: Stored | None) -> None:
        raise NotImplementedError


class ConfigurationFollower(_Follower):
    """Follows the one object of the configuration."""

    def __init__(self, *, platform: Platform, take: ConfigurationTaker) -> None:
        super().__init__(platform=platform, kind=CONFIGURATION_KIND)
        self._take = take

    async def _listed(self, by_name: dict[str, Stored], revision: int) -> None:
        stored = by_name.get(CONFIGURATION_NAME)
        if stored is not None:
            await self._changed(stored.name, stored.version, stored)

    async def _changed(self, name: str, version: int, stored: Stored | None) -> None:
        if name != CONFIGURATION_NAME or stored is None:
            return
        try:
            configuration = decode_value(stored.value, IngressConfiguration)
        except ConfigurationUnreadable as exc:
            log_warning("configuration_unreadable", version=version, error=str(exc))
            return
        await self._take(configuration, stored.value)


class UpstreamFollower(_Follower):
    """Follows the upstreams' entries."""

    def __init__(
        self, *, platform: Platform, directory: Directory, take: MovesTaker
    ) -> None:
        super().__init__(platform=platform, kind=UPSTREAMS_KIND)
        self._directory = directory
        self._take = take

    async def expire(self) -> None:
        """Give up entries that did not come back after an outage."""
        await self._take(self._directory.expire(monotonic()))

    def _note_reachable(self, reachable: bool, error: str) -> None:
        if not (reachable and self._reachable):
            # In the outage, and on the first answer after it.
            self._directory.lost_platform(monotonic())
        super()._note_reachable(reachable, error)

    async def _list(self) -> int:
        if not self._reachable:
            self._directory.lost_platform(monotonic())
        return await super()._list()

    async def _watch(self, revision: int) -> int | None:
        if not self._reachable:
            self._directory.lost_platform(monotonic())
        return await super()._watch(revision)

    async def _listed(self, by_name: dict[str, Stored], revision: int) -> None:
        readable = {}
        for name, stored in by_name.items():
            upstream = _upstream(stored)
            if upstream is not None:
                readable[name] = (stored.version, upstream)
        moves = self._directory.listed(readable, revision=revision, now=monotonic())
        await self._take(moves)

    async def _changed(self, name: str, version: int, stored: Stored | None) -> None:
        upstream = None if stored is None else _upstream(stored)
        now = monotonic()
        if upstream is None:
            moves = self._directory.vanished(name, version=version, now=now)
        else:
            moves = self._directory.written(name, upstream, version=version, now=now)
        await self._take(moves)


def _upstream(stored: Stored) -> Upstream | None:
    try:
        return decode_value(stored.value, Upstream)
    except ConfigurationUnreadable as exc:
        # Another writer's entry names no upstream; the others hold.
        log_warning("entry_unreadable", name=stored.name, error=str(exc))
        return None
