"""Failures and load patterns of one overloaded instance: refusals and measurements."""

import socket
import threading
import time

import curio
import msgspec
from curio.task import ContextTask
from tests.ingress.in_process import IngressFleet, answer_whole, run_ingress
from tests.ingress.test_callers_that_leave import raw_request

from ragwortkeel.exceptions import ConnectDelayed
from ragwortkeel.ingress.upstream_connection import (
    OVERLOADED_CONNECT_SECONDS,
    ConnectionPool,
    UpstreamConnection,
)
from ragwortkeel.policy.overload import Level
from ragwortkeel.settings import InstanceCapacity
from ragwortkeel.usage_counters import MeasuredSelector

CAPACITY = InstanceCapacity(link_bytes_per_second=625_000, memory_bytes=200_000_000)


async def overload(worker):
    """Keep the event loop busy until the process limits its open requests."""
    while worker._monitor.overload.open_limit is None:
        time.sleep(0.4)
        await curio.sleep(0)


class TestRefusal:
    def test_an_overloaded_instance_refuses_before_it_reserves(self):
        """Guards against work for a request that is refused in the end."""

        async def scenario(fleet):
            worker = fleet.workers[0]
            await overload(worker)
            worker._monitor.open_requests += 1_000
            answer = await fleet.ask("/lookup/a")
            worker._monitor.open_requests -= 1_000
            return answer, fleet.seen()["u1"], worker.instance_status()

        answer, seen, status = run_measured(scenario, capacity=CAPACITY)
        headers = {name.lower(): value for name, value in answer.headers.items()}
        problem = msgspec.json.decode(answer.body)
        assert answer.status == 503
        assert problem["reason"] == "instance_overloaded"
        assert problem["outcome"] == "not_run"
        assert 0.1 <= float(headers["retry-after"]) <= 0.15
        assert headers["connection"] == "close"
        assert seen == []
        assert status.overloaded
        assert status.utilization > 0.9

    def test_a_request_after_the_overload_is_served(self):
        """Guards against a monitor that fails, or an instance that stays overloaded."""

        async def scenario(fleet):
            worker = fleet.workers[0]
            await overload(worker)
            while worker._monitor.overload.level is not Level.NORMAL:
                await curio.sleep(0.1)
            return (await fleet.ask("/lookup/a")).status

        assert run_measured(scenario, capacity=CAPACITY) == 200

    def test_without_a_capacity_nothing_is_measured_or_refused(self):
        async def scenario(fleet):
            answer = await fleet.ask("/lookup/a")
            return answer.status, fleet.workers[0].instance_status()

        assert run_ingress(scenario) == (200, None)


def run_measured(scenario, upstream=None, **options):
    """Run a fleet as `run_ingress`, in a kernel that measures its event loop."""

    async def main():
        fleet = IngressFleet(scripts={"u1": answer_whole}, **options)
        if upstream is not None:
            fleet.upstreams = {"u1": upstream}
        await fleet.start()
        try:
            async with curio.timeout_after(10):
                return await scenario(fleet)
        finally:
            fleet.spins = False
            await fleet.stop()

    with curio.Kernel(taskcls=ContextTask, selector=MeasuredSelector()) as kernel:
        return kernel.run(main)


class TestMeasurement:
    def test_open_requests_and_bytes_are_counted(self):
        """Guards against a limit that counts requests which have ended."""
        opened = []

        async def answer_with_count(seen, sock):
            opened.append(monitors[0].open_requests)
            return await answer_whole(seen, sock)

        monitors = []

        async def scenario(fleet):
            fleet.upstreams["u1"].script = answer_with_count
            monitors.append(fleet.workers[0]._monitor)
            counter = monitors[0]._counter
            before = counter.sent_bytes, counter.received_bytes
            await fleet.ask("/lookup/a", body=b"q" * 5_000)
            after = counter.sent_bytes, counter.received_bytes
            return monitors[0].open_requests, before, after

        left, before, after = run_measured(scenario, capacity=CAPACITY)
        assert opened == [1]
        assert left == 0
        assert all(new - old > 5_000 for old, new in zip(before, after, strict=True))

    def test_waiting_is_not_busy(self):
        selector = MeasuredSelector()

        async def main():
            await curio.sleep(0.1)
            time.sleep(0.05)
            await curio.sleep(0)
            return selector.waiting_seconds, selector.drain_longest_turn()

        with curio.Kernel(selector=selector) as kernel:
            waited, longest = kernel.run(main)
        assert 0.09 <= waited < 0.15
        assert longest >= 0.05


class SilentUpstream:
    """An upstream in threads of its own that never answers."""

    name, service, seen, started_ms = "u1", "app", (), 0

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.runs = []
        threading.Thread(target=self._accept, daemon=True).start()

    async def start(self):
        pass

    async def stop(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock:
            if sock.recv(65_536):
                began_at = time.monotonic()
                try:
                    sock.recv(65_536)
                finally:
                    self.runs.append((began_at, time.monotonic()))


async def spin(fleet):
    while fleet.spins:
        time.sleep(0.001)
        await curio.sleep(0)


async def start_spinning(fleet, turn_seconds):
    """Fill the event loop with ready tasks, so that each turn takes that long."""
    fleet.spins = True
    for _ in range(round(turn_seconds / 0.00106)):
        await curio.spawn(spin, fleet, daemon=True)


def time_of_answer(address, limit_ms, answers):
    """Send a request and note how long its answer takes, and its status line."""
    host, port = address.split(":")
    request = raw_request("/lookup/a", "r1").replace(b"3000", b"%d" % limit_ms)
    with socket.create_connection((host, int(port))) as sock:
        sent_at = time.monotonic()
        sock.sendall(request)
        answer = sock.recv(65_536)
        answers.append((time.monotonic() - sent_at, answer))


class TestLateProcess:
    def test_a_time_limit_ends_its_request_on_a_late_event_loop(self):
        """Guards against an answer 0.5 s after the time limit of the request."""
        upstream, answers = SilentUpstream(), []

        async def scenario(fleet):
            await start_spinning(fleet, 0.3)
            arguments = fleet.addresses[0], 2_500, answers
            threading.Thread(target=time_of_answer, args=arguments).start()
            while not answers:
                await curio.sleep(0)

        run_measured(scenario, upstream=upstream, capacity=CAPACITY)
        assert b" 504 " in answers[0][1].split(b"\r\n")[0]
        assert 2.0 < answers[0][0] < 3.0

    def test_a_run_ends_with_its_caller_on_a_late_event_loop(self):
        """Guards against a run that goes on for 0.5 s after its caller has left."""
        upstream, left_at = SilentUpstream(), []

        async def scenario(fleet):
            host, port = fleet.addresses[0].split(":")
            caller = socket.create_connection((host, int(port)))
            caller.sendall(raw_request("/lookup/a", "r1"))
            await curio.sleep(0.3)
            await start_spinning(fleet, 0.3)
            await curio.sleep(1.0)
            caller.close()
            left_at.append(time.monotonic())
            while not upstream.runs:
                await curio.sleep(0)

        run_measured(scenario, upstream=upstream, capacity=CAPACITY)
        assert upstream.runs[0][1] - left_at[0] < 0.5

    def test_a_request_that_is_queued_ends_with_its_time_limit(self):
        """Guards against a queued request that a late event loop holds for longer."""
        answers = []

        async def scenario(fleet):
            worker = fleet.workers[0]
            worker._placement.assign = lambda *args, **kwargs: None
            await start_spinning(fleet, 0.3)
            arguments = fleet.addresses[0], 1_500, answers
            threading.Thread(target=time_of_answer, args=arguments).start()
            while not answers:
                await curio.sleep(0)
            return len(worker._dispatcher.queue)

        run_measured(scenario, upstream=SilentUpstream(), capacity=CAPACITY)
        assert b" 503 " in answers[0][1].split(b"\r\n")[0]
        assert answers[0][0] < 2.0

    def test_nothing_is_sent_after_the_time_limit(self, monkeypatch):
        """Guards against a send whose answer would come too late in any case."""
        original_acquire = ConnectionPool.acquire

        async def acquire_late(self, upstream, *, fresh):
            connection = await original_acquire(self, upstream, fresh=fresh)
            await curio.sleep(0.25)
            return connection

        async def scenario(fleet):
            monkeypatch.setattr(ConnectionPool, "acquire", acquire_late)
            answer = await fleet.ask("/lookup/a", **{"x-deadline-ms": "200"})
            await curio.sleep(0.3)
            return answer.status, fleet.seen()["u1"]

        assert run_measured(scenario, capacity=CAPACITY) == (503, [])


class TestConnects:
    def test_a_late_connect_of_an_overloaded_instance_blames_no_upstream(
        self, monkeypatch
    ):
        """Guards against upstreams that are ejected for this instance's full link."""

        async def never_connects(upstream, *, connect_seconds, **_):
            connects.append(connect_seconds)
            raise ConnectDelayed(upstream.name)

        async def scenario(fleet):
            worker = fleet.workers[0]
            monkeypatch.setattr(worker._connections, "is_overloaded", lambda: True)
            monkeypatch.setattr(UpstreamConnection, "open", never_connects)
            monkeypatch.setattr(worker._placement, "record_failure", failures.append)
            return (await fleet.ask("/lookup/a")).status

        connects, failures = [], []
        assert run_ingress(scenario) == 503
        assert connects[0] == OVERLOADED_CONNECT_SECONDS
        assert failures == []
