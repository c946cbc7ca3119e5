"""Upstreams of several software versions that serve side by side in one service."""

import contextlib
import socket
from contextlib import closing

import curio
import msgspec
import pytest
from deployments.ports import free_address
from tests.ingress.in_process import (
    END,
    KEY,
    REPORT_PATH,
    SETTLED_SECONDS,
    chunk,
    events,
    reset,
    run_ingress,
    start_relay,
    stream_head,
    stream_whole,
)

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.ingress.attempt import MAX_SILENCE_SECONDS
from ragwortkeel.ingress.configuration import UPSTREAMS_KIND, UpstreamState
from ragwortkeel.ingress.directory import ENTRY_LAG_SECONDS

STREAMS = 12
READ_SECONDS = 5.0
RELAY_SETTLED_SECONDS = 2.5
"""Longer than two heartbeats of a relay's link and an exchange after them."""


async def break_off(seen, sock):
    """Reset the connection after three events of a stream that begins here."""
    after = int(seen.headers.get("last-event-id", 0))
    if after:
        return await stream_whole(seen, sock)
    await sock.sendall(stream_head(seen) + chunk(events(1, 3)))
    await curio.sleep(0.02)
    await reset(sock)
    return False


async def begin_and_wait(seen, sock):
    """Send two events of a stream that begins here, then nothing more."""
    if "last-event-id" in seen.headers:
        return await stream_whole(seen, sock)
    await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
    await curio.sleep(30)
    return False


async def set_versions(fleet, version_by_upstream, **fields):
    """Write the entries of the upstreams with their versions."""
    for name, version in version_by_upstream.items():
        await fleet.register(fleet.upstreams[name], version=version, **fields)
    await curio.sleep(0.3)


async def begin_stream(fleet, request_id, *, process=0):
    """Begin a stream as a caller that reads two events; return its connection."""
    host, port = fleet.addresses[process].split(":")
    caller = socket.create_connection((host, int(port)))
    lines = [
        "POST /chat/1 HTTP/1.1",
        "host: app.example",
        f"x-request-id: {request_id}",
        "x-deadline-ms: 9000",
        f"authorization: Bearer {KEY}",
        "content-length: 1",
    ]
    caller.sendall("\r\n".join(lines).encode() + b"\r\n\r\nq")
    caller.setblocking(False)
    received = b""
    async with curio.timeout_after(READ_SECONDS):
        while b"id: 2\n" not in received:
            await curio.sleep(0.01)
            try:
                received += caller.recv(65536)
            except BlockingIOError:
                continue
    return caller


async def take_up(fleet, request_id, *, process=0):
    """Take up a stream after its second event, as its caller would."""
    return await fleet.ask(
        "/chat/1", process=process, last_event_id="2", x_resumes=request_id
    )


def continued_at(fleet):
    """Return the names of the upstreams that were asked to continue streams."""
    return {
        name
        for name, received in fleet.seen().items()
        if any("last-event-id" in each.headers for each in received)
    }


def reason_of(response):
    return msgspec.json.decode(response.body)["reason"]


class TestWithinOneResponse:
    def test_a_broken_stream_goes_on_at_its_own_version(self):
        """Guards against events of two software versions in one response."""

        async def scenario(fleet):
            await set_versions(fleet, {"e1": "v1", "e2": "v2", "e3": "v1"})
            bodies = []
            for _ in range(STREAMS):
                try:
                    bodies.append((await fleet.ask("/chat/1")).body)
                except ExchangeBroken:
                    bodies.append(None)
            return bodies, continued_at(fleet)

        scripts = {"e1": break_off, "e2": stream_whole, "e3": stream_whole}
        bodies, upstreams = run_ingress(scenario, scripts=scripts)
        assert upstreams <= {"e1", "e3"}
        assert bodies == [events(1, 5)] * STREAMS

    def test_a_broken_stream_ends_if_no_other_upstream_has_its_version(self):
        """Guards against a continuation at another version for lack of its own."""

        async def scenario(fleet):
            await set_versions(fleet, {"e1": "v1", "e2": "v2"})
            broken = 0
            for _ in range(STREAMS):
                try:
                    await fleet.ask("/chat/1")
                except ExchangeBroken:
                    broken += 1
            return broken, continued_at(fleet), fleet.seen()["e1"]

        scripts = {"e1": break_off, "e2": stream_whole}
        broken, upstreams, begun = run_ingress(scenario, scripts=scripts)
        assert upstreams == set()
        assert broken == len(begun) > 0

    def test_a_silent_upstream_is_not_left_if_no_other_has_its_version(self):
        """Guards against the end of a stream that its upstream would go on with."""

        async def pause(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await curio.sleep(MAX_SILENCE_SECONDS + 1.0)
            await sock.sendall(chunk(events(3, 5)) + END)
            return True

        async def scenario(fleet):
            await set_versions(fleet, {"e1": "v1", "e2": "v2"})
            return (await fleet.ask("/chat/1", x_deadline_ms="9000")).body

        scripts = dict.fromkeys(("e1", "e2"), pause)
        assert run_ingress(scenario, scripts=scripts) == events(1, 5)


class TestTakenUpByTheCaller:
    VERSIONS = {"e1": "v1", "e2": "v1", "e3": "v2", "e4": "v2"}
    SCRIPTS = dict.fromkeys(VERSIONS, begin_and_wait)

    @pytest.mark.parametrize("process", [0, 1, 2])
    def test_a_stream_goes_on_at_its_own_version(self, process):
        """Guards against a process that does not know which version began a stream."""

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            begun_by_request = await self.begin_streams(fleet)
            return await self.take_up_all(fleet, begun_by_request, process=process)

        pairs = run_ingress(scenario, scripts=self.SCRIPTS, processes=3)
        assert [begun for begun, _ in pairs] == [gone_on for _, gone_on in pairs]

    def test_a_stream_goes_on_after_the_process_that_began_it_has_ended(self):
        """Guards against versions that only the process knows which is gone."""

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            begun_by_request = await self.begin_streams(fleet)
            await fleet.tasks[0].cancel()
            return await self.take_up_all(fleet, begun_by_request, process=1)

        pairs = run_ingress(scenario, scripts=self.SCRIPTS, processes=3)
        assert [begun for begun, _ in pairs] == [gone_on for _, gone_on in pairs]

    async def begin_streams(self, fleet):
        """Begin streams at all upstreams; return the upstream of each request.

        One upstream of each version leaves after that.
        """
        await set_versions(fleet, self.VERSIONS)
        async with contextlib.AsyncExitStack() as stack:
            for number in range(STREAMS):
                stack.enter_context(closing(await begin_stream(fleet, f"b{number}")))
            await curio.sleep(0.2)
        begun_by_request = {
            f"b{number}": upstream_of(fleet, f"b{number}") for number in range(STREAMS)
        }
        assert set(begun_by_request.values()) == set(self.VERSIONS)
        leaving = {name: self.VERSIONS[name] for name in ("e1", "e3")}
        await set_versions(fleet, leaving, state=UpstreamState.LEAVING)
        return begun_by_request

    async def take_up_all(self, fleet, begun_by_request, *, process):
        """Take up the streams; return the versions that began and that continued."""
        pairs = []
        for request_id, begun_at in begun_by_request.items():
            answer = await take_up(fleet, request_id, process=process)
            assert (answer.status, answer.body) == (200, events(3, 5))
            gone_on_at = upstream_of(fleet, f"r{fleet.request_count}")
            pairs.append((self.VERSIONS[begun_at], self.VERSIONS[gone_on_at]))
        return pairs

    def test_a_stream_goes_on_at_its_own_version_at_the_third_try(self):
        """Guards against a version that is forgotten once a stream was taken up."""

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            begun_by_request = await self.begin_streams(fleet)
            await self.take_up_all(fleet, begun_by_request, process=1)
            return await self.take_up_all(fleet, begun_by_request, process=2)

        pairs = run_ingress(scenario, scripts=self.SCRIPTS, processes=3)
        assert [begun for begun, _ in pairs] == [gone_on for _, gone_on in pairs]

    def test_a_stream_whose_version_has_left_is_refused_at_once(self):
        """Guards against a wait, or another version, once a stream can't go on."""

        async def scenario(fleet):
            await set_versions(fleet, {"e1": "v1", "e2": "v2"})
            (await begin_stream(fleet, "begun")).close()
            begun_at = upstream_of(fleet, "begun")
            await set_versions(
                fleet,
                {begun_at: {"e1": "v1", "e2": "v2"}[begun_at]},
                state=UpstreamState.LEAVING,
            )
            return await take_up(fleet, "begun"), continued_at(fleet)

        scripts = {"e1": begin_and_wait, "e2": begin_and_wait}
        answer, upstreams = run_ingress(scenario, scripts=scripts)
        assert upstreams == set()
        assert (answer.status, reason_of(answer)) == (503, "version_unavailable")

    def test_after_a_restart_of_all_processes_nothing_is_guessed(self):
        """Guards against a guess after a loss of power, when nobody knows origins."""

        async def scenario(fleet):
            await set_versions(fleet, self.VERSIONS)
            (await begin_stream(fleet, "begun")).close()
            await fleet.tasks[0].cancel()
            worker = await fleet.start_worker("again", free_address(), ())
            while not fleet.is_ready(worker):
                await curio.sleep(0.01)
            return await take_up(fleet, "begun", process=1), continued_at(fleet)

        answer, upstreams = run_ingress(scenario, scripts=self.SCRIPTS)
        assert upstreams == set()
        assert (answer.status, reason_of(answer)) == (503, "version_unknown")

    @pytest.mark.parametrize("resumes", ["never-begun", ""])
    def test_a_stream_of_unknown_version_is_refused_while_several_serve(self, resumes):
        """Guards against a guess at the version of a stream that nobody knows."""

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            await set_versions(fleet, self.VERSIONS)
            return await take_up(fleet, resumes), continued_at(fleet)

        answer, upstreams = run_ingress(scenario, scripts=self.SCRIPTS, processes=2)
        assert upstreams == set()
        assert (answer.status, reason_of(answer)) == (503, "version_unknown")


class TestAllProcessesLost:
    """All ingress processes end at once, and start again at their addresses."""

    VERSIONS = TestTakenUpByTheCaller.VERSIONS
    SCRIPTS = TestTakenUpByTheCaller.SCRIPTS

    async def start_relays(self, fleet, count):
        """Start relays beside the fleet; return their tasks."""
        tasks = []
        for number in range(count):
            relay, task = await start_relay(fleet, f"relay-{number}")
            tasks.append(task)
            self.relays.append(relay)
        fleet.tasks += tasks
        await curio.sleep(RELAY_SETTLED_SECONDS)
        return tasks

    async def end_all(self, fleet):
        """End all ingress processes at once."""
        for task, worker in zip(fleet.tasks, fleet.workers, strict=False):
            await task.cancel()
            await worker._peers._endpoint.close()
        # The threads of zmq release the addresses a moment later.
        async with curio.timeout_after(READ_SECONDS):
            while not all(map(is_free, fleet.links)):
                await curio.sleep(0.01)

    async def restart_all(self, fleet):
        """Start all ingress processes again."""
        for number in range(fleet.count):
            worker = await fleet.start_worker(
                f"ingress-{number}", fleet.links[number], fleet.links
            )
            while not fleet.is_ready(worker):
                await curio.sleep(0.01)
        await curio.sleep(RELAY_SETTLED_SECONDS)

    async def begin_all(self, fleet, count=STREAMS):
        """Begin streams at both processes, which keep all upstreams busy."""
        async with contextlib.AsyncExitStack() as stack:
            for number in range(count):
                caller = await begin_stream(fleet, f"b{number}", process=number % 2)
                stack.enter_context(closing(caller))
            await curio.sleep(0.1)

    async def take_up_all(self, fleet, count=STREAMS):
        """Take up all streams at the new processes; return pairs of versions."""
        pairs = []
        for number in range(count):
            begun_at = upstream_of(fleet, f"b{number}")
            answer = await take_up(fleet, f"b{number}", process=2 + number % 2)
            gone_on_at = None
            if answer.status == 200:
                gone_on_at = upstream_of(fleet, f"r{fleet.request_count}")
            pairs.append((self.VERSIONS[begun_at], self.VERSIONS.get(gone_on_at)))
        return pairs

    def run(self, scenario):
        self.relays = []
        return run_ingress(scenario, scripts=self.SCRIPTS, processes=2)

    def test_streams_go_on_at_their_own_version(self):
        """Guards against streams that nobody can continue once all processes died."""

        async def scenario(fleet):
            await self.start_relays(fleet, 2)
            await set_versions(fleet, self.VERSIONS)
            await self.begin_all(fleet)
            await self.end_all(fleet)
            await self.restart_all(fleet)
            return await self.take_up_all(fleet)

        pairs = self.run(scenario)
        assert {begun for begun, _ in pairs} == {"v1", "v2"}
        assert [begun for begun, _ in pairs] == [gone_on for _, gone_on in pairs]

    def test_streams_go_on_after_the_relays_were_replaced_too(self):
        """Guards against origins that leave with the relays of a release."""

        async def scenario(fleet):
            tasks = await self.start_relays(fleet, 2)
            await set_versions(fleet, self.VERSIONS)
            await self.begin_all(fleet)
            await self.start_relays(fleet, 2)
            for relay, task in zip(self.relays[:2], tasks, strict=True):
                await relay.stop()
                await task.cancel()
            await self.end_all(fleet)
            await self.restart_all(fleet)
            return await self.take_up_all(fleet)

        pairs = self.run(scenario)
        assert [begun for begun, _ in pairs] == [gone_on for _, gone_on in pairs]

    def test_a_stream_of_an_upstream_that_started_again_meanwhile_is_refused(self):
        """Guards against an origin that the entry of an earlier start stated."""

        async def scenario(fleet):
            await self.start_relays(fleet, 1)
            await set_versions(fleet, {"e2": "v2"}, state=UpstreamState.LEAVING)
            await set_versions(fleet, {"e1": "v1", "e3": "v1", "e4": "v2"})
            (await begin_stream(fleet, "begun")).close()
            begun_at = upstream_of(fleet, "begun")
            await curio.sleep(0.1)
            await self.end_all(fleet)
            await fleet.register(
                fleet.upstreams[begun_at], version="v3", started_ms=2_000
            )
            await self.restart_all(fleet)
            return await take_up(fleet, "begun", process=2), continued_at(fleet)

        answer, upstreams = self.run(scenario)
        assert upstreams == set()
        assert (answer.status, reason_of(answer)) == (503, "version_unknown")


class TestRestartUnderTheSameName:
    """An upstream starts again at another version, and its entry is late."""

    async def begin_at_e1(self, fleet, *, others):
        """Begin a stream at e1, whose entry then states a later start as v2."""
        await set_versions(fleet, others, state=UpstreamState.LEAVING)
        await set_versions(fleet, {"e1": "v1"}, started_ms=1)
        caller = await begin_stream(fleet, "begun")
        assert upstream_of(fleet, "begun") == "e1"
        await set_versions(fleet, {"e1": "v2"}, started_ms=2)
        await set_versions(fleet, others, started_ms=2)
        return caller

    def test_a_stream_of_the_new_start_does_not_go_on_at_the_old_version(self):
        """Guards against an origin that was read from the entry of the last start."""

        async def scenario(fleet):
            caller = await self.begin_at_e1(fleet, others={"e2": "v1", "e3": "v2"})
            caller.close()
            return await take_up(fleet, "begun", process=1), continued_at(fleet)

        scripts = dict.fromkeys(("e1", "e2", "e3"), begin_and_wait)
        answer, upstreams = run_ingress(scenario, scripts=scripts, processes=2)
        assert upstreams == set()
        assert (answer.status, reason_of(answer)) == (503, "version_unknown")

    def test_a_stream_whose_first_event_comes_after_the_entry_is_not_certain(self):
        """Guards against the version that an upstream had when the request was sent."""
        begin_now = curio.Event()

        async def begin_later(seen, sock):
            await begin_now.wait()
            return await begin_and_wait(seen, sock)

        async def scenario(fleet):
            await set_versions(fleet, {"e2": "v1"}, state=UpstreamState.LEAVING)
            await set_versions(fleet, {"e1": "v1"}, started_ms=1)
            task = await curio.spawn(begin_stream, fleet, "begun")
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            await set_versions(fleet, {"e1": "v2"}, started_ms=2)
            await set_versions(fleet, {"e2": "v1"}, started_ms=2)
            await begin_now.set()
            (await task.join()).close()
            return await take_up(fleet, "begun"), continued_at(fleet)

        scripts = {"e1": begin_later, "e2": begin_and_wait}
        answer, upstreams = run_ingress(scenario, scripts=scripts)
        assert upstreams == set()
        assert (answer.status, reason_of(answer)) == (503, "version_unknown")

    def test_a_stream_begun_long_before_its_upstream_came_back_goes_on(self):
        """Guards against streams that a rolling release of upstreams makes unknown."""

        async def scenario(fleet):
            others = {"e2": "v1", "e3": "v2"}
            await set_versions(fleet, others, started_ms=1, state=UpstreamState.LEAVING)
            await set_versions(fleet, {"e1": "v1"}, started_ms=1)
            (await begin_stream(fleet, "begun")).close()
            assert upstream_of(fleet, "begun") == "e1"
            await curio.sleep(ENTRY_LAG_SECONDS + 0.5)
            await set_versions(fleet, {"e1": "v1"}, state=UpstreamState.LEAVING)
            await set_versions(fleet, others, started_ms=2)
            stored = await fleet.platform.get(UPSTREAMS_KIND, "e1")
            await fleet.platform.delete(UPSTREAMS_KIND, "e1", stored.version)
            while "e1" in fleet.workers[0]._directory.upstream_by_name:
                await curio.sleep(0.01)
            await set_versions(fleet, {"e1": "v2"}, started_ms=2)
            return await take_up(fleet, "begun"), continued_at(fleet)

        scripts = dict.fromkeys(("e1", "e2", "e3"), begin_and_wait)
        answer, upstreams = run_ingress(scenario, scripts=scripts, processes=2)
        assert (answer.status, answer.body) == (200, events(3, 5))
        assert upstreams == {"e2"}

    def test_a_stream_does_not_go_on_at_an_upstream_that_was_down(self):
        """Guards against the new software of an upstream whose entry is still old."""

        async def scenario(fleet):
            await set_versions(fleet, {"e1": "v1", "e2": "v2"}, started_ms=1)
            (await begin_stream(fleet, "begun")).close()
            begun_at = fleet.upstreams[upstream_of(fleet, "begun")]
            await begun_at.stop()
            await take_up(fleet, "begun")
            begun_at.sock = curio.network.tcp_server_socket("127.0.0.1", begun_at.port)
            begun_at.task = await curio.spawn(begun_at._accept, daemon=True)
            return await take_up(fleet, "begun"), continued_at(fleet)

        scripts = dict.fromkeys(("e1", "e2"), begin_and_wait)
        answer, upstreams = run_ingress(scenario, scripts=scripts)
        assert (answer.status, reason_of(answer)) == (503, "version_unavailable")
        assert upstreams == set()

    def test_a_stream_goes_on_after_all_connections_were_reset(self):
        """Guards against streams that are refused after a reset of an instance.

        Connections that are closed show no restart of their upstreams.
        """

        async def scenario(fleet):
            await set_versions(fleet, {"e1": "v1", "e2": "v2"}, started_ms=1)
            for _ in range(4):
                await fleet.ask("/chat/1")
            for server in fleet.upstreams.values():
                for sock in server.open_socks:
                    sock._socket.shutdown(socket.SHUT_RDWR)
            await curio.sleep(0.1)
            statuses = []
            for number in range(4):
                (await begin_stream(fleet, f"b{number}")).close()
                statuses.append((await take_up(fleet, f"b{number}")).status)
            return statuses

        scripts = {"e1": stream_whole, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts) == [200] * 4

    def test_it_does_not_go_on_within_its_response_either(self):
        """Guards against a response that the old version continues."""
        reset_now = curio.Event()

        async def break_off_later(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await reset_now.wait()
            await reset(sock)
            return False

        async def scenario(fleet):
            caller = await self.begin_at_e1(fleet, others={"e2": "v1"})
            await reset_now.set()
            await curio.sleep(0.3)
            caller.close()
            return continued_at(fleet)

        scripts = {"e1": break_off_later, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts) == set()


class TestLateEntry:
    """An upstream starts again under its name, and its entry stays as it was."""

    OPTIONS = {"upstream_report_path": REPORT_PATH}

    async def begin_streams(self, fleet, count):
        """Begin streams at e1; return their callers."""
        await set_versions(fleet, {"e2": "v1"}, state=UpstreamState.LEAVING)
        await set_versions(fleet, {"e1": "v1"}, started_ms=1)
        callers = [await begin_stream(fleet, f"b{number}") for number in range(count)]
        await set_versions(fleet, {"e2": "v1"}, started_ms=1)
        return callers

    async def stop_reading(self, callers):
        for caller in callers:
            caller.close()

    def test_a_stream_does_not_go_on_at_the_later_start(self):
        """Guards against events of a version that the entry does not name yet."""

        async def scenario(fleet):
            await self.stop_reading(await self.begin_streams(fleet, 1))
            await fleet.upstreams["e2"].start_again(2)
            await set_versions(fleet, {"e1": "v1"}, state=UpstreamState.LEAVING)
            answers = [await take_up(fleet, "b0") for _ in range(2)]
            return answers, continued_at(fleet)

        scripts = dict.fromkeys(("e1", "e2"), begin_and_wait)
        answers, upstreams = run_ingress(scenario, scripts=scripts, **self.OPTIONS)
        assert upstreams == set()
        reasons = [(each.status, reason_of(each)) for each in answers]
        assert reasons == [(503, "version_unavailable")] * 2

    def test_a_stream_goes_on_within_its_response_at_an_upstream_of_its_version(self):
        """Guards against a continuation at the later start, or at none."""
        reset_now = curio.Event()

        async def break_off_later(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await reset_now.wait()
            await reset(sock)
            return False

        async def scenario(fleet):
            [caller] = await self.begin_streams(fleet, 1)
            await set_versions(fleet, {"e3": "v1"}, started_ms=1)
            await fleet.upstreams["e2"].start_again(2)
            await reset_now.set()
            await curio.sleep(0.5)
            caller.close()
            return continued_at(fleet)

        scripts = {"e1": break_off_later, "e2": stream_whole, "e3": stream_whole}
        options = {"scripts": scripts, **self.OPTIONS}
        assert run_ingress(scenario, **options) == {"e3"}

    async def begin_at_the_later_start(self, fleet):
        """Begin a stream at e1, which started again; e2 is as its entry says."""
        await set_versions(fleet, {"e2": "v1"}, state=UpstreamState.LEAVING)
        await set_versions(fleet, {"e1": "v1"}, started_ms=1)
        await fleet.upstreams["e1"].start_again(2)
        caller = await begin_stream(fleet, "begun")
        await set_versions(fleet, {"e2": "v1"}, started_ms=1)
        return caller

    @pytest.mark.parametrize("process", [0, 1])
    def test_a_stream_that_begins_at_the_later_start_is_not_taken_up(self, process):
        """Guards against an origin that was read from the entry of the last start."""

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            (await self.begin_at_the_later_start(fleet)).close()
            await curio.sleep(0.1)
            answer = await take_up(fleet, "begun", process=process)
            return answer, continued_at(fleet)

        scripts = dict.fromkeys(("e1", "e2"), begin_and_wait)
        options = {"scripts": scripts, "processes": 2, **self.OPTIONS}
        answer, upstreams = run_ingress(scenario, **options)
        assert upstreams == set()
        assert (answer.status, reason_of(answer)) == (503, "version_unknown")

    def test_a_stream_that_begins_at_the_later_start_ends_with_its_run(self):
        """Guards against events of the earlier start after those of the later one."""
        reset_now = curio.Event()

        async def break_off_later(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await reset_now.wait()
            await reset(sock)
            return False

        async def scenario(fleet):
            caller = await self.begin_at_the_later_start(fleet)
            await reset_now.set()
            await curio.sleep(0.5)
            caller.close()
            return continued_at(fleet)

        scripts = {"e1": break_off_later, "e2": stream_whole}
        options = {"scripts": scripts, **self.OPTIONS}
        assert run_ingress(scenario, **options) == set()

    def test_streams_that_break_off_together_share_one_report(self):
        """Guards against a call for each stream of an upstream that crashed."""
        reset_now = curio.Event()

        async def break_off_later(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await reset_now.wait()
            await reset(sock)
            return False

        async def scenario(fleet):
            callers = await self.begin_streams(fleet, 3)
            reported = fleet.upstreams["e2"].reports
            await reset_now.set()
            await curio.sleep(0.5)
            await self.stop_reading(callers)
            resumed = len(fleet.seen()["e2"])
            return resumed, fleet.upstreams["e2"].reports - reported

        scripts = {"e1": break_off_later, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts, **self.OPTIONS) == (3, 1)

    def test_a_stream_goes_on_after_all_connections_were_reset(self):
        """Guards against streams that are refused after a reset of an instance."""

        async def scenario(fleet):
            await set_versions(fleet, {"e1": "v1", "e2": "v2"}, started_ms=1)
            statuses = []
            for number in range(4):
                (await begin_stream(fleet, f"b{number}")).close()
                for server in fleet.upstreams.values():
                    for sock in server.open_socks:
                        sock._socket.shutdown(socket.SHUT_RDWR)
                statuses.append((await take_up(fleet, f"b{number}")).status)
            return statuses

        scripts = {"e1": stream_whole, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts, **self.OPTIONS) == [200] * 4

    def test_a_stream_goes_on_at_an_upstream_that_is_said_to_have_been_down(self):
        """Guards against a refusal of what an upstream can surely continue."""

        async def scenario(fleet):
            await self.stop_reading(await self.begin_streams(fleet, 1))
            await set_versions(fleet, {"e1": "v1"}, state=UpstreamState.LEAVING)
            first = await take_up(fleet, "b0")
            fleet.workers[0]._dispatcher.record_possible_restart("e2")
            return first.status, (await take_up(fleet, "b0")).status

        async def go_on(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(3, 5)) + END)
            return True

        scripts = {"e1": begin_and_wait, "e2": go_on}
        assert run_ingress(scenario, scripts=scripts, **self.OPTIONS) == (200, 200)


def is_free(address):
    """Return whether a process can bind the address."""
    host, port = address.split(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, int(port)))
        except OSError:
            return False
    return True


def upstream_of(fleet, request_id):
    """Return the name of the upstream that ran the request."""
    [name] = [
        name
        for name, received in fleet.seen().items()
        if any(each.headers["x-request-id"] == request_id for each in received)
    ]
    return name
