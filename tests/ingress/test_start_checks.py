"""Whether upstreams are the starts that their entries describe."""

from time import monotonic

import curio
import pytest
from curio.task import ContextTask
from tests.ingress.builders import upstream
from tests.ingress.in_process import (
    REPORT_PATH,
    ScriptedUpstream,
    answer_whole,
    report,
)

from ragwortkeel.http_client import MAX_REPORT_BYTES
from ragwortkeel.ingress.directory import ENTRY_LAG_SECONDS, Directory
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.start_checks import (
    REPORT_SECONDS,
    SHORT_WAIT_SECONDS,
    StartCheck,
    StartChecks,
)
from ragwortkeel.ingress.upstream_connection import ConnectionPool

MARGIN_SECONDS = 0.01
ENDLESS_REPORT_BLOCKS = 256
"""Half of what a client holds of a response without a bound of its own."""
JSON = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"


class World:
    """One upstream, and the checks of a process that knows its entry as `born` 1."""

    def __init__(self, *, report_path=REPORT_PATH):
        self.server = ScriptedUpstream(name="e1", script=answer_whole, started_ms=1)
        self.directory = Directory()
        self.connections = ConnectionPool(id_header=HeaderNames().request_id)
        self.checks = StartChecks(
            connections=self.connections,
            directory=self.directory,
            report_path=report_path,
        )

    async def start(self, started_ms=1):
        await self.server.start()
        self.entry = upstream("e1", port=self.server.port, started_ms=started_ms)
        self.directory.merge_entry("e1", self.entry, version=1, now=0.0)

    async def connect(self):
        """Open a connection; entries were heard of long after that."""
        connection = await self.connections.acquire(self.entry, fresh=True)
        heard_at = connection.opened_at + ENTRY_LAG_SECONDS + MARGIN_SECONDS
        self.directory.record_confirmation(revision=1, now=heard_at)
        return connection


def run(scenario, **options):
    """Return the result of ``await scenario(world)``."""

    async def main():
        world = World(**options)
        await world.start()
        async with curio.timeout_after(5.0):
            return await scenario(world)

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


class TestReports:
    @pytest.mark.parametrize(
        ("started_ms", "result"), [(1, StartCheck.SAME), (2, StartCheck.OTHER)]
    )
    def test_a_report_tells_starts_apart(self, started_ms, result):
        async def scenario(world):
            world.server.started_ms = started_ms
            return await world.checks.check(world.entry)

        assert run(scenario) is result

    def test_an_upstream_that_started_again_is_uncertain_for_all(self):
        """Guards against another stream that goes on there before its entry comes."""

        async def scenario(world):
            world.server.started_ms = 2
            before = world.directory.version_is_certain("e1", 1.0)
            await world.checks.check(world.entry)
            return before, world.directory.version_is_certain("e1", 1.0)

        assert run(scenario) == (True, False)

    @pytest.mark.parametrize(
        "body", [b"{}", b"[]", b"no JSON", b'{"born": "1"}', b'{"born": 1.5}']
    )
    def test_a_report_that_names_no_start_shows_nothing(self, body):
        """Guards against a start that is read out of anything else."""

        async def scenario(world):
            async def answer(sock):
                await sock.sendall(JSON % (len(body), body))
                return True

            world.server._serve_request = answer
            return await world.checks.check(world.entry)

        assert run(scenario) is StartCheck.UNKNOWN

    def test_a_report_of_an_upstream_that_is_silent_for_a_moment_is_waited_for(self):
        """Guards against streams that are refused where they used to go on."""

        async def scenario(world):
            async def answer(sock):
                await curio.sleep(REPORT_SECONDS / 2)
                await sock.sendall(report(1))
                return True

            world.server._serve_request = answer
            return await world.checks.may_continue_at(world.entry)

        assert run(scenario) is True

    def test_a_report_without_end_is_given_up(self):
        """Guards against reports that fill the memory until their time limit."""

        async def scenario(world):
            sent = []

            async def answer(sock):
                await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                for _ in range(ENDLESS_REPORT_BLOCKS):
                    await sock.sendall(bytes(MAX_REPORT_BYTES))
                    sent.append(sock)
                    await curio.sleep(0.001)
                return False

            world.server._serve_request = answer
            result = await world.checks.check(world.entry, seconds=REPORT_SECONDS)
            await curio.sleep(0.05)
            return result, len(sent)

        result, sent = run(scenario)
        assert result is StartCheck.UNKNOWN
        assert sent < ENDLESS_REPORT_BLOCKS

    @pytest.mark.parametrize("seconds", [SHORT_WAIT_SECONDS, REPORT_SECONDS])
    def test_a_report_that_does_not_come_is_not_waited_for_longer(self, seconds):
        """Guards against streams that wait for an upstream that stays silent."""

        async def scenario(world):
            async def answer(sock):
                await curio.sleep(5.0)

            world.server._serve_request = answer
            began_at = monotonic()
            result = await world.checks.check(world.entry, seconds=seconds)
            return result, monotonic() - began_at

        result, waited = run(scenario)
        assert result is StartCheck.UNKNOWN
        assert waited < seconds + 0.2

    def test_an_upstream_without_a_report_is_not_asked_again_at_once(self):
        """Guards against a call for each stream that looks for an upstream."""

        async def scenario(world):
            calls = []

            async def answer(sock):
                calls.append(sock)
                return False

            world.server._serve_request = answer
            results = [await world.checks.check(world.entry) for _ in range(3)]
            return results, len(calls)

        assert run(scenario) == ([StartCheck.UNKNOWN] * 3, 1)

    def test_checks_at_the_same_time_share_a_report(self):
        async def scenario(world):
            tasks = [
                await curio.spawn(world.checks.check, world.entry) for _ in range(8)
            ]
            return {await task.join() for task in tasks}, world.server.reports

        assert run(scenario) == ({StartCheck.SAME}, 1)

    def test_a_check_outlives_the_request_that_began_it(self):
        """Guards against streams that fail with the caller of another one."""

        async def scenario(world):
            first = await curio.spawn(world.checks.check, world.entry)
            second = await curio.spawn(world.checks.check, world.entry)
            await curio.sleep(0)
            await first.cancel()
            return await second.join()

        assert run(scenario) is StartCheck.SAME

    def test_without_reports_the_entry_decides(self):
        async def scenario(world):
            return await world.checks.may_continue_at(world.entry)

        assert run(scenario, report_path="") is True

    def test_an_entry_that_names_no_start_decides(self):
        """Guards against streams that no upstream may ever continue."""

        async def scenario(world):
            entry = upstream("e1", port=world.server.port, started_ms=0)
            return await world.checks.may_continue_at(entry)

        assert run(scenario) is True


class TestOpenConnections:
    def test_an_open_connection_shows_that_nothing_restarted(self):
        async def scenario(world):
            connection = await world.connect()
            shown = await world.checks.check(world.entry)
            return shown, world.server.reports, connection.is_open()

        assert run(scenario) == (StartCheck.SAME, 0, True)

    def test_a_connection_that_is_younger_than_late_entries_shows_nothing(self):
        """Guards against a connection to the later start under the old entry."""

        async def scenario(world):
            connection = await world.connect()
            heard_at = connection.opened_at + ENTRY_LAG_SECONDS - 0.1
            world.directory.record_confirmation(revision=1, now=heard_at)
            return world.checks.is_shown(world.entry)

        assert run(scenario) is False

    def test_a_connection_that_the_upstream_closed_shows_nothing(self):
        """Guards against a restart behind a connection that still looks idle."""

        async def scenario(world):
            connection = await world.connect()
            before = world.checks.is_shown(world.entry)
            await world.server.start_again(2)
            await curio.sleep(0.05)
            after = world.checks.is_shown(world.entry)
            await connection.close()
            return before, after

        assert run(scenario) == (True, False)

    def test_a_connection_that_was_closed_here_shows_nothing(self):
        async def scenario(world):
            await (await world.connect()).close()
            return world.checks.is_shown(world.entry)

        assert run(scenario) is False

    def test_a_later_connection_takes_over_from_an_older_one(self):
        """Guards against a report for each connection that replaces another."""

        async def scenario(world):
            older = await world.connect()
            await curio.sleep(2 * MARGIN_SECONDS)
            later = await world.connections.acquire(world.entry, fresh=True)
            shown = world.checks.is_shown(world.entry)
            await older.close()
            return shown, world.checks.is_shown(world.entry), later.is_open()

        assert run(scenario) == (True, True, True)

    def test_a_later_connection_alone_shows_nothing(self):
        """Guards against a later start whose connection takes over from the earlier."""

        async def scenario(world):
            older = await world.connect()
            await curio.sleep(2 * MARGIN_SECONDS)
            later = await world.connections.acquire(world.entry, fresh=True)
            await older.close()
            return world.checks.is_shown(world.entry), later.is_open()

        assert run(scenario) == (False, True)
