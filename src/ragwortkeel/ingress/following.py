"""Followers of the configuration, the upstreams' entries and the evacuations.

Only some processes of a fleet watch the platform, see `ingress.watching`.  They forward
changes of entries and evacuations to each other and to the other processes, which
request a newer configuration from a peer.

Failures it guards against:

- A watch gets no answer while its connection stays open: watches are short, and the
  client times out soon after.
- The platform has dropped its history: the follower lists again.
- A lagging replica answers with an old state: versions never decrease.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
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
from ragwortkeel.ingress.directory import Directory, DirectoryChange
from ragwortkeel.ingress.evacuations import evacuated_zones
from ragwortkeel.ingress.relaying import decode_change, encode_change
from ragwortkeel.ingress.watching import Feed
from ragwortkeel.logs import log_debug, log_info, log_warning
from ragwortkeel.messages import EvacuatedZones, UpstreamChanges
from ragwortkeel.platform import Change, Platform, Stored

WATCH_TIMEOUT_SECONDS = 1.0
"""How long a watch waits for changes.

With the delay after a batch, the time limit of a call and a second read, a change is
known within 2 s although the watch hangs; that is the bound on requests to an upstream
that leaves and on a new configuration.  Shorter waits cost more calls, which are paid
for.
"""

EVACUATION_WATCH_TIMEOUT_SECONDS = 3.0
"""How long a watch of the evacuations waits, which peers' reports state as well."""

RETRY_DELAY_SECONDS = 0.4
"""Delay after a failed call."""

BATCH_DELAY_SECONDS = 0.3
"""Delay after a watch that returned changes.

A release or a crash of several upstreams is dozens of changes, and each of them would
answer the watches of all watchers at once.
"""

MIN_EXPIRY_SECONDS = 2.0
"""Shortest outage of the platform in which entries of live upstreams may expire.

They expire after three intervals without a write, one of which may lie before the
outage; upstreams write about once a second.
"""

WATCHER_CHECK_SECONDS = 0.1
"""Interval at which a process that does not watch checks whether it has to."""


class UpdateSource(StrEnum):
    """How a process learned of changes of upstreams' entries."""

    LISTING = "listing"
    WATCH = "watch"
    PEER = "peer"
    GRACE_ENDED = "grace_ended"
    CLAIM_REFUTED = "claim_refuted"


@dataclass(frozen=True, kw_only=True)
class Update:
    """How and when changes of upstreams' entries became known.

    Attributes
    ----------
    revision : int
        The platform's revision of the newest change.
    age_seconds : float
        Seconds since the entries were known to be complete before.
    """

    source: UpdateSource
    revision: int
    age_seconds: float


ConfigurationCallback = Callable[[IngressConfiguration, bytes], Awaitable[None]]
DirectoryChangesCallback = Callable[[list[DirectoryChange], Update], Awaitable[None]]
UpstreamChangesCallback = Callable[[UpstreamChanges], Awaitable[None]]
ZonesCallback = Callable[[EvacuatedZones], Awaitable[None]]


class _Follower:
    """Lists a kind, then watches it, until cancelled.

    Parameters
    ----------
    is_watcher : callable
        Returns whether this process has to watch; if not, peers forward changes.

    Attributes
    ----------
    has_listed : bool
        Whether the first listing is complete.
    """

    _batches_changes = False
    """Whether changes are so frequent that `BATCH_DELAY_SECONDS` saves calls."""

    _watch_timeout_seconds = WATCH_TIMEOUT_SECONDS

    def __init__(
        self, *, platform: Platform, kind: str, is_watcher: Callable[[], bool]
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._is_watcher = is_watcher
        self._reachable = True
        self._called_at = float("-inf")
        self.has_listed = False

    async def run(self) -> None:
        """Follow until cancelled."""
        revision: int | None = None
        while True:
            self._called_at = monotonic()
            try:
                if revision is None:
                    revision = await self._list()
                elif self._is_watcher():
                    revision = await self._watch(revision, self._watch_seconds())
                else:
                    revision = await self._wait_as_non_watcher(revision)
                    continue
                self._record_reachable(True, "")
            except PlatformUnavailable as exc:
                self._record_reachable(False, str(exc))
                await curio.sleep(RETRY_DELAY_SECONDS)

    def _watch_seconds(self) -> float:
        """Return how long the next watch waits for changes.

        It does not wait while the platform is unreachable, because an attempt that
        gets no answer ends only after its wait, and the platform may return before.
        """
        return self._watch_timeout_seconds if self._reachable else 0.0

    async def _list(self) -> int:
        listing = await self._platform.list(self._kind)
        await self._merge_listing(listing.by_name, listing.revision)
        self.has_listed = True
        return listing.revision

    async def _watch(self, revision: int, seconds: float) -> int | None:
        since = self._last_change_revision()
        changes = await self._platform.watch(self._kind, revision, seconds)
        if changes.gap:
            log_info("history_lost", kind=self._kind, revision=revision)
            return None
        for change in changes.changes:
            await self._merge_change(change.name, change.version, change.stored)
        revision = max(revision, changes.revision)
        await self._handle_watched(changes.changes, revision=revision, since=since)
        if changes.changes and self._batches_changes:
            await curio.sleep(BATCH_DELAY_SECONDS)
        return revision

    async def _wait_as_non_watcher(self, revision: int) -> int:
        """Wait for forwarded changes; return the revision to watch from."""
        await curio.sleep(WATCHER_CHECK_SECONDS)
        return revision

    def _last_change_revision(self) -> int:
        """Return the revision of the last change that is known, 0 if not tracked."""
        return 0

    async def _handle_watched(
        self, changes: tuple[Change, ...], *, revision: int, since: int
    ) -> None:
        """Forward what a watch returned: all changes after `since` up to `revision`."""

    def _record_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            log_info("dependency_regained", dependency=self._kind)
            return
        log_warning("dependency_lost", dependency=self._kind, error=error)

    async def _merge_listing(self, by_name: dict[str, Stored], revision: int) -> None:
        raise NotImplementedError

    async def _merge_change(
        self, name: str, version: int, stored: Stored | None
    ) -> None:
        raise NotImplementedError


class ConfigurationFollower(_Follower):
    """Follows the configuration object.

    Parameters
    ----------
    apply : callable
        Applies a configuration, given with its encoded form.
    newest_revision : callable
        Returns the newest revision that this process or a peer has in force.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        apply: ConfigurationCallback,
        is_watcher: Callable[[], bool],
        newest_revision: Callable[[], int],
    ) -> None:
        super().__init__(
            platform=platform, kind=CONFIGURATION_KIND, is_watcher=is_watcher
        )
        self._apply = apply
        self._newest_revision = newest_revision
        self._read_revision = 0

    async def _watch(self, revision: int, seconds: float) -> int | None:
        newest = self._newest_revision()
        if newest > self._read_revision:
            # A watch returns the whole configuration once for each missed version.
            self._read_revision = newest
            return await self._list()
        return await super()._watch(revision, seconds)

    async def _merge_listing(self, by_name: dict[str, Stored], revision: int) -> None:
        stored = by_name.get(CONFIGURATION_NAME)
        if stored is not None:
            await self._merge_change(stored.name, stored.version, stored)

    async def _merge_change(
        self, name: str, version: int, stored: Stored | None
    ) -> None:
        if name != CONFIGURATION_NAME or stored is None:
            return
        try:
            configuration = decode_value(stored.value, IngressConfiguration)
        except ConfigurationUnreadable as exc:
            log_warning("configuration_unreadable", version=version, error=str(exc))
            return
        self._read_revision = max(self._read_revision, configuration.revision)
        await self._apply(configuration, stored.value)


class UpstreamFollower(_Follower):
    """Follows the upstreams' entries.

    Parameters
    ----------
    directory : Directory
        Merges the entries.
    apply : callable
        Applies the resulting changes of the directory.
    forward : callable
        Sends changes of entries to the processes that don't watch.
    """

    _batches_changes = True

    def __init__(
        self,
        *,
        platform: Platform,
        directory: Directory,
        apply: DirectoryChangesCallback,
        is_watcher: Callable[[], bool],
        forward: UpstreamChangesCallback,
    ) -> None:
        super().__init__(platform=platform, kind=UPSTREAMS_KIND, is_watcher=is_watcher)
        self._directory = directory
        self._apply = apply
        self._forward = forward
        self._feed = Feed()
        self._outage_began_at: float | None = None
        self._outage_lasted_until = 0.0

    @property
    def newest_revision(self) -> int:
        """Revision of the newest change that is known here."""
        return self._feed.newest_revision

    def receive_newest_revision(self, revision: int) -> None:
        """Record the revision of the newest change that a peer knows."""
        self._feed.record_peer_revision(revision)

    async def receive_changes(self, message: UpstreamChanges) -> None:
        """Merge changes from a process that watches."""
        now = monotonic()
        self._directory.record_outage(now, seconds=message.lapse_seconds)
        self._directory.record_outage(
            now, seconds=message.late_seconds, entries_expire=False
        )
        for change in map(decode_change, message.objects):
            await self._merge_from(UpdateSource.PEER, change)
        is_complete = self._feed.record_forwarded(
            since=message.since, revision=message.revision
        )
        if is_complete:
            self._record_confirmation()
        else:
            log_info(
                "upstream_change_missing",
                complete=self._feed.complete_revision,
                since=message.since,
                revision=message.revision,
            )

    async def read_missing(self) -> None:
        """Read changes that a peer knows and this process lacks, until cancelled.

        It does not wait for the pending watch, which may hang.
        """
        while True:
            await curio.sleep(WATCHER_CHECK_SECONDS)
            if not self._feed.is_lagging(monotonic()):
                continue
            # There may have been an outage that this process did not notice.
            now = monotonic()
            self._record_outage(now, seconds=self._feed.behind_seconds(now))
            complete = self._feed.complete_revision
            log_info("upstreams_behind", complete=complete)
            try:
                if await self._watch(complete, 0.0) is None:
                    await self._list()
            except PlatformUnavailable as exc:
                log_debug("upstreams_not_read", error=str(exc))
            await curio.sleep(RETRY_DELAY_SECONDS)

    async def expire(self) -> None:
        """Delete entries not written again after an outage; restore displaced ones."""
        now = monotonic()
        update = self._update(UpdateSource.GRACE_ENDED, 0, now)
        await self._apply(self._directory.expire(now), update)
        restored = self._directory.restore_displaced()
        if restored:
            update = self._update(UpdateSource.CLAIM_REFUTED, 0, now)
            await self._apply(restored, update)

    def _record_reachable(self, reachable: bool, error: str) -> None:
        if reachable:
            self._outage_began_at = None
        else:
            if self._outage_began_at is None:
                self._outage_began_at = self._called_at
            self._outage_lasted_until = monotonic()
            self._extend_outage()
        super()._record_reachable(reachable, error)

    def _extend_outage(self) -> None:
        """Record the outage that the calls before this one met, if there is one."""
        if self._outage_began_at is not None:
            seconds = monotonic() - self._outage_began_at
            self._record_outage(self._outage_lasted_until, seconds=seconds)

    def _record_outage(self, now: float, *, seconds: float) -> None:
        """Record an outage that has lasted so long."""
        self._directory.record_outage(now, entries_expire=seconds >= MIN_EXPIRY_SECONDS)

    async def _list(self) -> int:
        self._extend_outage()
        return await super()._list()

    async def _watch(self, revision: int, seconds: float) -> int | None:
        self._extend_outage()
        # Peers may have forwarded changes meanwhile.
        revision = max(revision, self._feed.complete_revision)
        return await super()._watch(revision, seconds)

    def _last_change_revision(self) -> int:
        return self._feed.last_change_revision

    async def _handle_watched(
        self, changes: tuple[Change, ...], *, revision: int, since: int
    ) -> None:
        newest = max((change.version for change in changes), default=0)
        self._feed.record_watch(revision=revision, newest=newest)
        self._record_confirmation()
        if not changes or not self._is_watcher():
            return
        await self._forward(
            UpstreamChanges(
                since=since,
                revision=newest,
                objects=tuple(encode_change(self._kind, entry) for entry in changes),
                lapse_seconds=self._directory.grace_seconds_left(monotonic()),
                late_seconds=self._directory.outage_seconds_left(monotonic()),
            )
        )

    async def _merge_listing(self, by_name: dict[str, Stored], revision: int) -> None:
        readable = {}
        for name, stored in by_name.items():
            upstream = _decode_upstream(stored)
            if upstream is not None:
                readable[name] = (stored.version, upstream)
        now = monotonic()
        update = self._update(UpdateSource.LISTING, revision, now)
        changes = self._directory.merge_listing(readable, revision=revision, now=now)
        newest = max((stored.version for stored in by_name.values()), default=0)
        self._feed.record_listing(revision=revision, newest=newest)
        self._record_confirmation()
        await self._apply(changes, update)

    async def _merge_change(
        self, name: str, version: int, stored: Stored | None
    ) -> None:
        change = Change(name=name, version=version, stored=stored)
        await self._merge_from(UpdateSource.WATCH, change)

    async def _merge_from(self, source: UpdateSource, change: Change) -> None:
        name, version, now = change.name, change.version, monotonic()
        upstream = None if change.stored is None else _decode_upstream(change.stored)
        update = self._update(source, version, now)
        if upstream is None:
            changes = self._record_deletion(name, version, now)
        else:
            changes = self._directory.merge_entry(
                name, upstream, version=version, now=now
            )
        await self._apply(changes, update)

    def _record_deletion(
        self, name: str, version: int, now: float
    ) -> list[DirectoryChange]:
        was_held = self._directory.removal_held_seconds(name, now) > 0.0
        changes = self._directory.record_deletion(name, version=version, now=now)
        held_seconds = self._directory.removal_held_seconds(name, now)
        if held_seconds and not was_held:
            log_info(
                "upstream_removal_held",
                upstream=name,
                revision=version,
                seconds=round(held_seconds, 3),
            )
        return changes

    def _update(self, source: UpdateSource, revision: int, now: float) -> Update:
        age_seconds = self._directory.age_seconds(now)
        return Update(source=source, revision=revision, age_seconds=age_seconds)

    def _record_confirmation(self) -> None:
        self._directory.record_confirmation(
            revision=self._feed.complete_revision, now=monotonic()
        )


class EvacuationFollower(_Follower):
    """Follows which availability zones are evacuated.

    An entry counts by its name, even if its value is unreadable: requests sent to a
    zone under evacuation do more harm than a zone without requests.

    Parameters
    ----------
    apply : callable
        Applies the full set of evacuated zones.
    forward : callable
        Sends the set to the processes that don't watch.
    """

    _watch_timeout_seconds = EVACUATION_WATCH_TIMEOUT_SECONDS

    def __init__(
        self,
        *,
        platform: Platform,
        apply: ZonesCallback,
        forward: ZonesCallback,
        is_watcher: Callable[[], bool],
    ) -> None:
        super().__init__(
            platform=platform, kind=EVACUATIONS_KIND, is_watcher=is_watcher
        )
        self._apply = apply
        self._forward = forward
        self._zones: set[str] = set()

    async def _merge_listing(self, by_name: dict[str, Stored], revision: int) -> None:
        self._zones = set(by_name)
        await self._apply(evacuated_zones(self._zones, revision))

    async def _merge_change(
        self, name: str, version: int, stored: Stored | None
    ) -> None:
        if stored is None:
            self._zones.discard(name)
        else:
            self._zones.add(name)

    async def _handle_watched(
        self, changes: tuple[Change, ...], *, revision: int, since: int
    ) -> None:
        if not changes:
            return
        evacuated = evacuated_zones(self._zones, revision)
        await self._apply(evacuated)
        await self._forward(evacuated)


def _decode_upstream(stored: Stored) -> Upstream | None:
    try:
        return decode_value(stored.value, Upstream)
    except ConfigurationUnreadable as exc:
        # Skipped: an unreadable entry must not affect the other upstreams.
        log_warning("entry_unreadable", name=stored.name, error=str(exc))
        return None
