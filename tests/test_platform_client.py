"""Tests of the `Platform` protocol with the HTTP client and the stand-in."""

from contextlib import asynccontextmanager

import curio
import pytest

from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    ValueRefused,
    VersionConflict,
)
from ragwortkeel.httpio import HttpServer
from ragwortkeel.platform import MAX_VALUE_BYTES, Instance
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.standins.local_platform import LocalPlatform, Switches
from ragwortkeel.standins.platform import open_server

KIND = "profiles"


@asynccontextmanager
async def over_http(local):
    server, task = await open_server(host="127.0.0.1", port=0, platform=local)
    client = HttpPlatform(address=f"127.0.0.1:{server.port}", timeout=0.5)
    try:
        yield client
    finally:
        await client.close()
        await server.stop_accepting()
        await task.cancel()


@asynccontextmanager
async def in_process(local):
    yield local


@pytest.fixture(params=[in_process, over_http], ids=["local", "http"])
def run(request):
    """Run a scenario with a new platform, directly and over HTTP."""

    def run_scenario(scenario, **limits):
        async def main():
            local = LocalPlatform(**limits)
            async with request.param(local) as platform:
                await scenario(platform, local)

        curio.run(main)

    return run_scenario


class TestObjects:
    def test_versions_rise_and_writes_are_conditional(self, run):
        async def scenario(platform, local):
            first = await platform.create(KIND, "a/b c", b"\x001")
            stored = await platform.get(KIND, "a/b c")
            assert (stored.value, stored.version) == (b"\x001", first)
            second = await platform.update(KIND, "a/b c", b"2", first)
            assert second > first
            with pytest.raises(VersionConflict):
                await platform.update(KIND, "a/b c", b"3", first)
            with pytest.raises(AlreadyExists):
                await platform.create(KIND, "a/b c", b"4")
            await platform.delete(KIND, "a/b c", second)
            assert await platform.get(KIND, "a/b c") is None
            assert await platform.create(KIND, "a/b c", b"5") > second

        run(scenario)

    @pytest.mark.parametrize("method", ["update", "delete"])
    def test_conditional_write_of_a_missing_object(self, run, method):
        async def scenario(platform, local):
            arguments = (KIND, "a", b"1", 1) if method == "update" else (KIND, "a", 1)
            with pytest.raises(ObjectNotFound):
                await getattr(platform, method)(*arguments)

        run(scenario)

    def test_list_is_complete_over_pages(self, run, monkeypatch):
        monkeypatch.setattr("ragwortkeel.platform_client.PAGE_LIMIT", 3)

        async def scenario(platform, local):
            for i in range(8):
                await platform.create(KIND, f"x{i}", b"%d" % i)
            await platform.create(KIND, "y", b"")
            listing = await platform.list(KIND, "x")
            assert sorted(listing.by_name) == [f"x{i}" for i in range(8)]
            assert listing.revision == local.revision

        run(scenario)


class TestWatch:
    def test_changes_after_the_revision(self, run):
        async def scenario(platform, local):
            await platform.create(KIND, "old", b"")
            start = local.revision
            waiting = await curio.spawn(platform.watch, KIND, start, 5.0)
            version = await platform.create(KIND, "new", b"v")
            await platform.create("other", "n", b"")
            changes = await waiting.join()
            assert [c.name for c in changes.changes] == ["new"]
            assert changes.changes[0].stored.version == version
            await platform.delete(KIND, "new", version)
            later = await platform.watch(KIND, changes.revision, 5.0)
            assert [c.stored for c in later.changes] == [None]

        run(scenario)

    def test_watch_without_changes_ends(self, run):
        async def scenario(platform, local):
            changes = await platform.watch(KIND, 0, 0.01)
            assert changes.changes == () and not changes.gap
            assert local.counts.open_watches == 0

        run(scenario)

    def test_gap_after_truncated_history(self, run):
        async def scenario(platform, local):
            for i in range(4):
                await platform.create(KIND, f"x{i}", b"")
            assert (await platform.watch(KIND, 0, 1.0)).gap
            assert len((await platform.watch(KIND, 2, 1.0)).changes) == 2

        run(scenario, history_limit=2)

    def test_skipped_change_is_not_returned(self, run):
        async def scenario(platform, local):
            local.switches.watch_skips = 1
            await platform.create(KIND, "skipped", b"")
            await platform.create(KIND, "shown", b"")
            changes = await platform.watch(KIND, 0, 1.0)
            assert [c.name for c in changes.changes] == ["shown"]

        run(scenario)


class TestFaults:
    @pytest.mark.parametrize(
        ("method", "arguments"),
        [
            ("get", (KIND, "a")),
            ("list", (KIND,)),
            ("create", (KIND, "a", b"")),
            ("update", (KIND, "a", b"", 1)),
            ("delete", (KIND, "a", 1)),
            ("watch", (KIND, 0, 0.01)),
            ("live", ()),
        ],
    )
    def test_outage_changes_nothing(self, run, method, arguments):
        async def scenario(platform, local):
            local.switches.down = True
            with pytest.raises(PlatformUnavailable):
                await getattr(platform, method)(*arguments)
            assert local.revision == 0

        run(scenario)

    @pytest.mark.parametrize("method", ["create", "update", "delete"])
    def test_answer_lost_after_the_write(self, run, method):
        """A write whose response is lost has an unknown outcome.

        If the client reported that nothing changed, an operator would repeat a
        top-up; it cannot report success either, because the write may have failed.
        """

        async def scenario(platform, local):
            version = await platform.create(KIND, "a", b"1")
            arguments = {
                "create": (KIND, "b", b"2"),
                "update": (KIND, "a", b"2", version),
                "delete": (KIND, "a", version),
            }[method]
            local.switches.lost_answers = 1
            with pytest.raises(OutcomeUnknown):
                await getattr(platform, method)(*arguments)
            assert local.revision == version + 1

        run(scenario)

    def test_frozen_list(self, run):
        async def scenario(platform, local):
            one = Instance(
                name="r1", address="10.0.0.1:1", role="router", zone="a", leaving=False
            )
            local.set_live([one])
            local.switches.live_frozen = True
            local.set_live([])
            assert await platform.live() == {"r1": one}
            local.switches.live_frozen = False
            assert await platform.live() == {}

        run(scenario)


class TestOverHttpOnly:
    def test_refused_connection(self):
        async def main():
            client = HttpPlatform(address="127.0.0.1:1")
            with pytest.raises(PlatformUnavailable):
                await client.create(KIND, "a", b"")

        curio.run(main)

    def test_slow_write_has_unknown_outcome(self):
        async def main():
            local = LocalPlatform()
            local.switches = Switches(slow_seconds=5.0)
            async with over_http(local) as platform:
                with pytest.raises(PlatformUnavailable):
                    await platform.get(KIND, "a")
                with pytest.raises(OutcomeUnknown):
                    await platform.create(KIND, "a", b"")

        curio.run(main)

    def test_too_large_a_value_is_not_sent(self):
        async def main():
            client = HttpPlatform(address="127.0.0.1:1")
            with pytest.raises(ValueRefused):
                await client.create(KIND, "a", b"x" * (MAX_VALUE_BYTES + 1))

        curio.run(main)

    @pytest.mark.parametrize(
        ("status", "body", "on_read", "on_write"),
        [
            (200, b"nonsense", PlatformUnavailable, OutcomeUnknown),
            (200, b"{}", PlatformUnavailable, OutcomeUnknown),
            (429, b"", PlatformUnavailable, PlatformUnavailable),
            (500, b"", PlatformUnavailable, OutcomeUnknown),
            (503, b"", PlatformUnavailable, PlatformUnavailable),
            (504, b"", PlatformUnavailable, OutcomeUnknown),
            (413, b"", PlatformUnavailable, ValueRefused),
        ],
    )
    def test_unexpected_responses(self, status, body, on_read, on_write):
        async def handler(request, responder):
            await responder.respond(status, body)

        async def main():
            server = HttpServer(host="127.0.0.1", port=0, handler=handler)
            server.open()
            task = await curio.spawn(server.serve)
            client = HttpPlatform(address=f"127.0.0.1:{server.port}")
            for read in (client.get(KIND, "a"), client.list(KIND), client.live()):
                with pytest.raises(on_read):
                    await read
            with pytest.raises(on_write):
                await client.create(KIND, "a", b"")
            with pytest.raises(on_write):
                await client.update(KIND, "a", b"", 1)
            await client.close()
            await server.stop_accepting()
            await task.cancel()

        curio.run(main)
