"""How outages of the platform show to a process that follows the upstreams' entries."""

from time import monotonic

import curio
import msgspec
import pytest
from tests.ingress.builders import upstream

from ragwortkeel.exceptions import PlatformUnavailable
from ragwortkeel.ingress import following
from ragwortkeel.ingress.directory import OUTAGE_GRACE_SECONDS, Directory
from ragwortkeel.ingress.following import (
    BATCH_DELAY_SECONDS,
    WATCH_TIMEOUT_SECONDS,
    UpstreamFollower,
)
from ragwortkeel.platform import Change, Changes, Listing, Stored

NAME = "u1"


class _End(Exception):
    """Ends a scripted run."""


class ScriptedPlatform:
    """Answers one watch after the other as a test says, on a clock of its own."""

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
    raise PlatformUnavailable("cut off")


def quiet(platform):
    """Wait for as long as a watch does, and bring nothing."""
    platform.now += WATCH_TIMEOUT_SECONDS
    return Changes(changes=(), revision=6, gap=False)


def slow_and_quiet(platform):
    """Bring nothing at once, as a platform that has just come back."""
    platform.now += 0.1
    return Changes(changes=(), revision=6, gap=False)


def gone(platform):
    platform.now += 0.3
    change = Change(name=NAME, version=7, stored=None)
    return Changes(changes=(change,), revision=7, gap=False)


class ChangingPlatform(ScriptedPlatform):
    """Has a change each so often, and answers a watch as soon as there is one."""

    CHANGE_SECONDS = 0.01

    def __init__(self, *, seconds):
        super().__init__()
        self.calls = 0
        self._ends_at = monotonic() + seconds
        self._begun_at = monotonic()

    async def watch(self, kind, revision, timeout):
        self.calls += 1
        await curio.sleep(self.CHANGE_SECONDS)
        if monotonic() > self._ends_at:
            raise _End
        newest = 5 + int((monotonic() - self._begun_at) / self.CHANGE_SECONDS)
        value = msgspec.json.encode(upstream(NAME, slots=newest))
        stored = Stored(kind=kind, name=NAME, value=value, version=newest)
        change = Change(name=NAME, version=newest, stored=stored)
        return Changes(changes=(change,), revision=newest, gap=False)


def test_changes_in_quick_succession_are_gathered():
    """Guards against a call of the platform by all that watch for each of them."""

    async def ignore(found):
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
    assert platform.calls <= 1.0 / BATCH_DELAY_SECONDS + 2


def follow(monkeypatch, *watches):
    """Return the directory after these watches, and the time by their clock."""
    platform, directory = ScriptedPlatform(*watches), Directory()
    monkeypatch.setattr(following, "monotonic", lambda: platform.now)
    monkeypatch.setattr(following, "RETRY_DELAY_SECONDS", 0.0)
    monkeypatch.setattr(following, "BATCH_DELAY_SECONDS", 0.0)

    async def ignore(found):
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


def test_an_entry_that_vanishes_long_after_an_outage_is_gone_at_once(monkeypatch):
    """Requests went to an upstream for two seconds after it had left.

    The first answer after a cut was that of a watch that had waited three seconds for
    a change; the outage counted as having lasted until then.
    """
    directory, _ = follow(monkeypatch, unavailable, quiet, gone)
    assert not directory.is_usable(NAME)


def test_an_entry_that_vanishes_right_after_an_outage_may_come_back(monkeypatch):
    """All upstreams look gone when the platform returns without their entries."""
    directory, now = follow(monkeypatch, unavailable, slow_and_quiet, gone)
    assert directory.is_usable(NAME)
    assert directory.expire(now + OUTAGE_GRACE_SECONDS)
    assert not directory.is_usable(NAME)
