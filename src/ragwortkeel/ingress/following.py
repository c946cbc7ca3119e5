"""Follows the configuration, the upstreams' entries and evacuations in the platform.

Only some processes of a fleet watch, see `ingress.watching`; the others are sent the
entries' changes and evacuations by them and ask a peer for a newer configuration.

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
    EVACUATIONS_KIND,
    UPSTREAMS_KIND,
    IngressConfiguration,
    Upstream,
    decode_value,
)
from ragwortkeel.ingress.directory import Directory, Moved
from ragwortkeel.ingress.evacuations import evacuated_zones
from ragwortkeel.ingress.relaying import decode_change, encode_change
from ragwortkeel.ingress.watching import Feed
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.messages import EvacuatedZones, UpstreamChanges
from ragwortkeel.platform import Change, Platform, Stored

WATCH_SECONDS = 3.0
"""A watch waits this long.  A silent one shows after that and the client's own
time-out; each wait is a call that is paid for."""

RETRY_SECONDS = 0.4
"""Pause after a failed call."""

GATHER_SECONDS = 0.3
"""Pause after a watch that brought changes: a release or a crash of several upstreams
is dozens of them, and each would answer the watches of all that watch at once."""

ACCEPT_SECONDS = 0.9
"""A call that is answered was taken up within so long, straight or through a peer: a
watch may then wait for seconds more."""

LOOK_SECONDS = 0.1
"""How often a process that does not watch looks whether it has to."""

ConfigurationTaker = Callable[[IngressConfiguration, bytes], Awaitable[None]]
MovesTaker = Callable[[list[Moved]], Awaitable[None]]
ChangesSharer = Callable[[UpstreamChanges], Awaitable[None]]
ZonesTaker = Callable[[EvacuatedZones], Awaitable[None]]


class _Follower:
    """Lists a kind, then watches it, for ever.

    Parameters
    ----------
    watches : callable
        Returns whether this process is to watch, or its peers keep it up to date.
    """

    _gathers = False
    """Whether changes come so often that several are worth waiting for."""

    def __init__(
        self, *, platform: Platform, kind: str, watches: Callable[[], bool]
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._watches = watches
        self._reachable = True
        self._begun_at = float("-inf")
        self.seen = False

    async def run(self) -> None:
        """Follow until cancelled."""
        revision: int | None = None
        while True:
            self._begun_at = monotonic()
            try:
                if revision is None:
                    revision = await self._list()
                elif self._watches():
                    revision = await self._watch(revision, WATCH_SECONDS)
                else:
                    revision = await self._follow_peers(revision)
                    continue
                self._note_reachable(True, "")
            except PlatformUnavailable as exc:
                self._note_reachable(False, str(exc))
                await curio.sleep(RETRY_SECONDS)

    async def _list(self) -> int:
        listing = await self._platform.list(self._kind)
        await self._listed(listing.by_name, listing.revision)
        self.seen = True
        return listing.revision

    async def _watch(self, revision: int, seconds: float) -> int | None:
        changes = await self._platform.watch(self._kind, revision, seconds)
        if changes.gap:
            log_info("history_lost", kind=self._kind, revision=revision)
            return None
        for change in changes.changes:
            await self._changed(change.name, change.version, change.stored)
        revision = max(revision, changes.revision)
        await self._watched(changes.changes, revision)
        if changes.changes and self._gathers:
            await curio.sleep(GATHER_SECONDS)
        return revision

    async def _follow_peers(self, revision: int) -> int | None:
        """Wait a moment; return the revision to watch from."""
        await curio.sleep(LOOK_SECONDS)
        return revision

    async def _watched(self, changes: tuple[Change, ...], revision: int) -> None:
        """Pass on what a watch brought."""

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

    def __init__(
        self,
        *,
        platform: Platform,
        take: ConfigurationTaker,
        watches: Callable[[], bool],
    ) -> None:
        super().__init__(platform=platform, kind=CONFIGURATION_KIND, watches=watches)
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
    """Follows the upstreams' entries.

    Parameters
    ----------
    share : callable
        Sends changes to the processes that don't watch.
    """

    _gathers = True

    def __init__(
        self,
        *,
        platform: Platform,
        directory: Directory,
        take: MovesTaker,
        watches: Callable[[], bool],
        share: ChangesSharer,
    ) -> None:
        super().__init__(platform=platform, kind=UPSTREAMS_KIND, watches=watches)
        self._directory = directory
        self._take = take
        self._share = share
        self._feed = Feed()

    @property
    def newest(self) -> int:
        """Revision of the newest change that this process knows of."""
        return self._feed.newest

    def heard_newest(self, revision: int) -> None:
        """Note the newest change that a peer knows of."""
        self._feed.heard(revision)

    async def heard(self, message: UpstreamChanges) -> None:
        """Take in changes from a process that watches."""
        now = monotonic()
        self._directory.lost_platform(now, seconds=message.lapse_seconds)
        for change in map(decode_change, message.objects):
            await self._changed(change.name, change.version, change.stored)
        whole = self._feed.passed_on(since=message.since, revision=message.revision)
        if not whole:
            log_info(
                "upstream_change_missing",
                complete=self._feed.complete,
                since=message.since,
                revision=message.revision,
            )

    async def expire(self) -> None:
        """Give up entries that did not come back after an outage."""
        await self._take(self._directory.expire(monotonic()))

    def _note_reachable(self, reachable: bool, error: str) -> None:
        now = monotonic()
        if not reachable:
            self._directory.lost_platform(now)
        elif not self._reachable:
            back_at = min(now, self._begun_at + ACCEPT_SECONDS)
            self._directory.lost_platform(back_at)
        super()._note_reachable(reachable, error)

    async def _list(self) -> int:
        if not self._reachable:
            self._directory.lost_platform(monotonic())
        return await super()._list()

    async def _watch(self, revision: int, seconds: float) -> int | None:
        if not self._reachable:
            self._directory.lost_platform(monotonic())
        return await super()._watch(revision, seconds)

    async def _follow_peers(self, revision: int) -> int | None:
        revision = await super()._follow_peers(revision)
        if not self._feed.lags(monotonic()):
            return max(revision, self._feed.complete)
        # Entries may be missing after an outage that this process did not notice.
        self._directory.lost_platform(monotonic())
        log_info("upstreams_behind", complete=self._feed.complete)
        return await self._watch(revision, 0.0)

    async def _watched(self, changes: tuple[Change, ...], revision: int) -> None:
        newest = max((change.version for change in changes), default=0)
        since = self._feed.watched(revision=revision, newest=newest)
        if not changes or not self._watches():
            return
        await self._share(
            UpstreamChanges(
                since=since,
                revision=newest,
                objects=tuple(encode_change(self._kind, one) for one in changes),
                lapse_seconds=self._directory.lapse_seconds(monotonic()),
            )
        )

    async def _listed(self, by_name: dict[str, Stored], revision: int) -> None:
        readable = {}
        for name, stored in by_name.items():
            upstream = _upstream(stored)
            if upstream is not None:
                readable[name] = (stored.version, upstream)
        moves = self._directory.listed(readable, revision=revision, now=monotonic())
        newest = max((stored.version for stored in by_name.values()), default=0)
        self._feed.listed(revision=revision, newest=newest)
        await self._take(moves)

    async def _changed(self, name: str, version: int, stored: Stored | None) -> None:
        upstream = None if stored is None else _upstream(stored)
        now = monotonic()
        if upstream is None:
            moves = self._directory.vanished(name, version=version, now=now)
        else:
            moves = self._directory.written(name, upstream, version=version, now=now)
        await self._take(moves)


class EvacuationFollower(_Follower):
    """Follows which availability zones are evacuated.

    An entry counts by its name alone, whether it can be read or not: sending on to a
    zone that somebody empties does more harm than sparing one.

    Parameters
    ----------
    take, share : callable
        Take the whole set of zones here, and send it to the processes that don't
        watch.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        take: ZonesTaker,
        share: ZonesTaker,
        watches: Callable[[], bool],
    ) -> None:
        super().__init__(platform=platform, kind=EVACUATIONS_KIND, watches=watches)
        self._take = take
        self._share = share
        self._zones: set[str] = set()

    async def _listed(self, by_name: dict[str, Stored], revision: int) -> None:
        self._zones = set(by_name)
        await self._take(evacuated_zones(self._zones, revision))

    async def _changed(self, name: str, version: int, stored: Stored | None) -> None:
        if stored is None:
            self._zones.discard(name)
        else:
            self._zones.add(name)

    async def _watched(self, changes: tuple[Change, ...], revision: int) -> None:
        if not changes:
            return
        found = evacuated_zones(self._zones, revision)
        await self._take(found)
        await self._share(found)


def _upstream(stored: Stored) -> Upstream | None:
    try:
        return decode_value(stored.value, Upstream)
    except ConfigurationUnreadable as exc:
        # Another writer's entry names no upstream; the others hold.
        log_warning("entry_unreadable", name=stored.name, error=str(exc))
        return None
