"""How a follower of the upstreams' entries handles frequent changes and outages."""

from math import ceil
from time import monotonic

import curio
import msgspec
import pytest
from tests.ingress.builders import configuration, upstream

from ragwortkeel.exceptions import PlatformUnavailable
from ragwortkeel.ingress import following
from ragwortkeel.ingress.configuration import CONFIGURATION_KIND, CONFIGURATION_NAME
from ragwortkeel.ingress.directory import OUTAGE_GRACE_SECONDS, Directory
from ragwortkeel.ingress.following import (
    BATCH_DELAY_SECONDS,
    WATCH_TIMEOUT_SECONDS,
    WATCHER_CHECK_SECONDS,
    ConfigurationFollower,
    UpstreamFollower,
)
from ragwortkeel.ingress.load_reports import REPORT_SECONDS
from ragwortkeel.ingress.mesh import HEARTBEAT_SECONDS
from ragwortkeel.ingress.watching import LAG_GRACE_SECONDS
from ragwortkeel.platform import Change, Changes, Listing, Stored
from ragwortkeel.policy.timeouts import MIN_TIMEOUT_SECONDS

NAME = "u1"


class _End(Exception):
    """Raised at the end of a scripted run."""


class ScriptedPlatform:
    """Answers watches with a test's answers, in their order, on its own clock."""

    def __init__(self, *watches):
        self.now = 100.0
        self._watches = list(watches)

    async def list(self, kind):
        value = msgspec.json.encode(upstream(NAME))
        stored = Stored(kind=kind, name=NAME, value=value, version=5)
        return Listing(by_name={NAME: stored}, revision=5)

    async def watch(self, kind, revision, timeout):
        if not self._watches:
            raise _End
        return self._watches.pop(0)(self)


def unavailable(platform):
    raise PlatformUnavailable("unreachable")


def unavailable_for_long(platform):
    """Fail after a time in which live upstreams' entries may expire."""
    platform.now += 4.0
    unavailable(platform)


def empty_after_timeout(platform):
    """Answer after the watch's timeout, without changes."""
    platform.now += WATCH_TIMEOUT_SECONDS
    return Changes(changes=(), revision=6, gap=False)


WATCHES_IN_GRACE = ceil(OUTAGE_GRACE_SECONDS / WATCH_TIMEOUT_SECONDS)
"""Watches without changes that last as long as entries may be missing."""


def empty_soon(platform):
    """Answer soon and without changes, as a platform does right after an outage."""
    platform.now += 0.1
    return Changes(changes=(), revision=6, gap=False)


def deleted(platform):
    platform.now += 0.3
    change = Change(name=NAME, version=7, stored=None)
    return Changes(changes=(change,), revision=7, gap=False)


class ChangingPlatform(ScriptedPlatform):
    """Changes every `CHANGE_SECONDS`; a watch is answered at the next change."""

    CHANGE_SECONDS = 0.01

    def __init__(self, *, seconds):
        super().__init__()
        self.call_count = 0
        self._ends_at = monotonic() + seconds
        self._started_at = monotonic()

    async def watch(self, kind, revision, timeout):
        self.call_count += 1
        await curio.sleep(self.CHANGE_SECONDS)
        if monotonic() > self._ends_at:
            raise _End
        newest = 5 + int((monotonic() - self._started_at) / self.CHANGE_SECONDS)
        value = msgspec.json.encode(upstream(NAME, slots=newest))
        stored = Stored(kind=kind, name=NAME, value=value, version=newest)
        change = Change(name=NAME, version=newest, stored=stored)
        return Changes(changes=(change,), revision=newest, gap=False)


def test_changes_in_quick_succession_share_a_watch():
    """Guards against a call of each watcher for each of many changes."""

    async def ignore(*changes):
        pass

    platform = ChangingPlatform(seconds=1.0)
    follower = UpstreamFollower(
        platform=platform,
        directory=Directory(),
        apply=ignore,
        is_watcher=lambda: True,
        forward=ignore,
    )
    with pytest.raises(_End):
        curio.run(follower.run)
    assert platform.call_count <= 1.0 / BATCH_DELAY_SECONDS + 2


def follow(monkeypatch, *watches):
    """Return the directory after these watches, and the platform's time."""
    return follow_platform(monkeypatch, ScriptedPlatform(*watches))


def follow_platform(monkeypatch, platform):
    """Return the directory after the run, and the platform's time."""
    directory = Directory()
    monkeypatch.setattr(following, "monotonic", lambda: platform.now)
    monkeypatch.setattr(following, "RETRY_DELAY_SECONDS", 0.0)
    monkeypatch.setattr(following, "BATCH_DELAY_SECONDS", 0.0)

    async def ignore(*changes):
        pass

    follower = UpstreamFollower(
        platform=platform,
        directory=directory,
        apply=ignore,
        is_watcher=lambda: True,
        forward=ignore,
    )
    with pytest.raises(_End):
        curio.run(follower.run)
    return directory, platform.now


def test_a_deletion_long_after_an_outage_counts_at_once(monkeypatch):
    """Guards against requests to an upstream for 2 seconds after its deletion.

    The first answer after an outage is that of a watch that waited for changes, so the
    outage seems to last until that answer.
    """
    watches = [empty_after_timeout] * WATCHES_IN_GRACE
    directory, _ = follow(monkeypatch, unavailable_for_long, *watches, deleted)
    assert not directory.is_usable(NAME)


def test_a_deletion_right_after_an_outage_counts_after_the_grace_period(monkeypatch):
    """Guards against a platform that returns without its entries after an outage."""
    directory, now = follow(monkeypatch, unavailable_for_long, empty_soon, deleted)
    assert directory.is_usable(NAME)
    assert directory.expire(now + OUTAGE_GRACE_SECONDS)
    assert not directory.is_usable(NAME)


def test_a_deletion_after_one_failed_call_counts_at_once(monkeypatch):
    """Guards against requests to an upstream that is gone, after a lost answer.

    No entry expires in so short a time.
    """
    directory, _ = follow(monkeypatch, unavailable, empty_soon, deleted)
    assert not directory.is_usable(NAME)


def test_calls_that_fail_now_and_then_hold_no_deletion(monkeypatch):
    """Guards against a deletion that each failed call puts off again."""
    watches = [unavailable_for_long, empty_soon, deleted]
    watches += [empty_after_timeout, unavailable] * 3 + [empty_soon]
    directory, now = follow(monkeypatch, *watches)
    directory.expire(now)
    assert not directory.is_usable(NAME)


class VersionedPlatform:
    """Holds versions of the configuration; a watch returns each that is newer.

    Attributes
    ----------
    read_count : int
        Copies of the configuration that calls have returned.
    """

    def __init__(self):
        self.read_count = 0
        self.versions = []

    def add(self, revision):
        value = msgspec.json.encode(configuration(revision))
        fields = {"kind": CONFIGURATION_KIND, "name": CONFIGURATION_NAME}
        self.versions.append(Stored(value=value, version=revision, **fields))

    async def list(self, kind):
        self.read_count += 1
        newest = self.versions[-1]
        return Listing(by_name={newest.name: newest}, revision=newest.version)

    async def watch(self, kind, revision, timeout):
        newest = self.versions[-1].version
        newer = [stored for stored in self.versions if stored.version > revision]
        self.read_count += len(newer)
        if not newer:
            await curio.sleep(0.05)
        changes = tuple(
            Change(name=stored.name, version=stored.version, stored=stored)
            for stored in newer
        )
        return Changes(changes=changes, revision=newest, gap=False)


class Fleet:
    """What a process has in force, knows of its peers, and whether it watches."""

    def __init__(self):
        self.in_force = 0
        self.peers_have = 0
        self.is_watcher = False

    async def apply(self, new, value):
        self.in_force = max(self.in_force, new.revision)

    def newest_revision(self):
        return max(self.in_force, self.peers_have)


def follow_versions(scenario):
    """Return the copies that the follower read during `scenario(fleet, platform)`."""

    async def main():
        fleet, platform = Fleet(), VersionedPlatform()
        platform.add(1)
        follower = ConfigurationFollower(
            platform=platform,
            apply=fleet.apply,
            is_watcher=lambda: fleet.is_watcher,
            newest_revision=fleet.newest_revision,
        )
        task = await curio.spawn(follower.run, daemon=True)
        while not fleet.in_force:
            await curio.sleep(0.01)
        read_before = platform.read_count
        await scenario(fleet, platform)
        await task.cancel()
        return platform.read_count - read_before

    return curio.run(main)


class TestNewWatcher:
    def test_a_new_watcher_reads_one_version_and_then_watches(self):
        """Guards against a full link after a watcher has died.

        The next watcher got the changes from its peers, and reads each of them again.
        """

        async def scenario(fleet, platform):
            for revision in range(2, 6):
                platform.add(revision)
                fleet.in_force = revision
            fleet.is_watcher = True
            await curio.sleep(0.4)

        assert follow_versions(scenario) <= 1

    def test_a_new_watcher_that_lacks_no_version_reads_none(self):
        async def scenario(fleet, platform):
            fleet.is_watcher = True
            await curio.sleep(0.4)

        assert follow_versions(scenario) == 0

    def test_a_revision_that_only_peers_have_is_looked_for_once(self):
        """Guards against listings without end where the platform lags or lost it."""

        async def scenario(fleet, platform):
            fleet.is_watcher = True
            fleet.peers_have = 9
            await curio.sleep(0.4)

        assert follow_versions(scenario) == 1

    def test_changes_after_the_listing_are_watched(self):
        async def scenario(fleet, platform):
            platform.add(2)
            fleet.in_force = 2
            fleet.is_watcher = True
            await curio.sleep(0.3)
            platform.add(3)
            async with curio.timeout_after(2):
                while fleet.in_force < 3:
                    await curio.sleep(0.01)

        assert follow_versions(scenario) == 2


class SilentPlatform(ScriptedPlatform):
    """Answers no call in an outage; some seconds after it, deletes the entry.

    A call in the outage ends with the timeouts of two relays, each of which waits for
    the watch and then for an answer.
    """

    RETURNS_AT = 112.0
    DELETED_AT = RETURNS_AT + 3.0
    RELAY_TIMEOUT_SECONDS = 0.9

    def __init__(self, *, now):
        super().__init__()
        self.now = now

    async def watch(self, kind, revision, timeout):
        if self.now < self.RETURNS_AT:
            self.now += 2 * (timeout + self.RELAY_TIMEOUT_SECONDS)
            unavailable(self)
        if self.now + timeout < self.DELETED_AT:
            self.now += timeout or 0.01
            return Changes(changes=(), revision=6, gap=False)
        if revision >= 7:
            raise _End
        self.now = max(self.now, self.DELETED_AT)
        return deleted(self)


DRAIN_SECONDS = 2.0
"""The users' bound on requests to an upstream whose entry was deleted."""

PLATFORM_ANSWER_SECONDS = 0.1
"""Answer of a platform that is well, over the slowest links of the users' pages."""


def test_a_change_is_known_in_time_although_the_watch_hangs():
    """Guards against one of these times growing beyond the users' bound."""
    hanging_watch = WATCH_TIMEOUT_SECONDS + MIN_TIMEOUT_SECONDS
    second_read = PLATFORM_ANSWER_SECONDS
    known = BATCH_DELAY_SECONDS + hanging_watch + second_read
    assert known < DRAIN_SECONDS


def test_a_change_that_a_peer_knows_is_known_in_time():
    """Guards against one of these times growing beyond the users' bound."""
    report = HEARTBEAT_SECONDS + REPORT_SECONDS
    known = report + LAG_GRACE_SECONDS + WATCHER_CHECK_SECONDS + MIN_TIMEOUT_SECONDS
    assert known < DRAIN_SECONDS


@pytest.mark.parametrize("outage_phase", [step * 0.7 for step in range(12)])
def test_a_deletion_after_an_outage_counts_in_time(monkeypatch, outage_phase):
    """Guards against requests to an upstream that left, 3 seconds after its deletion.

    A watch that began in the outage still waits for relays when the platform is back,
    so the outage seems to last longer than it did.
    """
    platform = SilentPlatform(now=104.0 - outage_phase)
    directory, now = follow_platform(monkeypatch, platform)
    assert now <= platform.DELETED_AT + DRAIN_SECONDS
    directory.expire(platform.DELETED_AT + DRAIN_SECONDS)
    assert not directory.is_usable(NAME)
