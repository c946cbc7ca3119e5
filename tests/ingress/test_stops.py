"""Planned stops: no answer is cut off, and a late request is refused as not run."""

from dataclasses import replace
from time import monotonic

import curio
import msgspec
import pytest
from tests.ingress.in_process import (
    END,
    KEY,
    answer_whole,
    chunk,
    events,
    ledger,
    reset,
    run_ingress,
    stream_head,
    stream_whole,
)

from ragwortkeel.httpio import HttpClient
from ragwortkeel.ingress import worker


async def slow_stream(seen, sock):
    await sock.sendall(stream_head(seen))
    for i in range(1, 6):
        await sock.sendall(chunk(events(i, i)))
        await curio.sleep(0.7)
    await sock.sendall(END)
    return True


async def ask_with_long_deadline(fleet):
    return await fleet.ask("/review/1", x_deadline_ms="9000")


async def ask_with_long_deadline_and(fleet, headers):
    return await fleet.ask("/review/1", x_deadline_ms="9000", **headers)


class TestStops:
    def test_an_open_stream_completes(self):
        async def scenario(fleet):
            asking = await curio.spawn(ask_with_long_deadline, fleet)
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            leftover = await fleet.workers[0].stop()
            return leftover, (await asking.join()).body

        leftover, body = run_ingress(scenario, scripts={"e1": slow_stream})
        assert leftover.is_clean
        assert body == events(1, 5)

    def test_new_connections_are_served_until_the_balancer_has_noticed(self):
        async def scenario(fleet):
            stopping = await curio.spawn(fleet.workers[0].stop)
            await curio.sleep(0.5)
            ready = fleet.workers[0].ready
            answer = await fleet.ask("/lookup/1")
            await stopping.join()
            return ready, answer

        ready, answer = run_ingress(scenario)
        assert not ready
        assert answer.status == 200
        assert answer.headers["connection"] == "close"

    def test_a_late_request_on_an_open_connection_is_not_started(self):
        """Guards against a stream that a planned stop cuts off.

        A caller keeps its connection open and sends a request seconds after the stop
        began.  The process forwards the request and exits during the answer.
        """

        async def scenario(fleet):
            host, port = fleet.addresses[0].split(":")
            client = HttpClient(host=host, port=int(port))
            fields = {
                "host": "app.example",
                "x-request-id": "r1",
                "authorization": f"Bearer {KEY}",
            }
            await client.request("GET", "/lookup/1", headers=fields, timeout=2)
            # Accepted before the stop begins; its request would follow later.
            late = await curio.open_connection(host, int(port))
            stopping = await curio.spawn(fleet.workers[0].stop)
            await curio.sleep(2.9)
            data = await late.recv(100)
            await stopping.join()
            await client.close()
            return data, fleet.seen()["u1"]

        data, seen = run_ingress(scenario, scripts={"u1": answer_whole})
        assert data == b""
        assert len(seen) == 1

    def test_a_late_request_is_refused_as_not_run(self):
        async def scenario(fleet):
            stopping = await curio.spawn(fleet.workers[0].stop)
            await curio.sleep(0.1)
            fleet.workers[0]._open_requests.stop_plan = replace(
                fleet.workers[0]._open_requests.stop_plan, refuses_at=monotonic()
            )
            answer = await fleet.ask("/filing/1")
            await stopping.cancel()
            return answer, fleet.seen()["u1"]

        answer, seen = run_ingress(scenario)
        assert answer.status == 503
        assert msgspec.json.decode(answer.body)["outcome"] == "not_run"
        assert not seen

    def test_a_stop_that_cuts_off_a_request_returns_the_remaining_tokens(
        self, monkeypatch
    ):
        """Guards against requests that lack tokens which nobody has spent.

        A planned stop reaches its deadline with an open stream and returns none of its
        slices.  When the instance starts much later, the untouched grant has to be
        charged in full.
        """
        monkeypatch.setattr(worker, "BALANCER_NOTICE_SECONDS", 0.1)

        async def scenario(fleet):
            headers = {"x_token_bound": "40,60", "x_prompt_parts": "p:40"}
            asking = await curio.spawn(ask_with_long_deadline_and, fleet, headers)
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            stopping = fleet.workers[0]
            stopping._settings = msgspec.structs.replace(
                stopping._settings, stop_deadline_seconds=0.3
            )
            leftover = await stopping.stop()
            await asking.cancel()
            return leftover, await ledger(fleet)

        leftover, found = run_ingress(
            scenario, scripts={"e1": slow_stream}, prepaid=1_000
        )
        assert leftover.counts["requests"] == 1
        # At most the reservation of the request that was cut off is held or charged.
        assert found.prepaid - found.rest <= 100


class TestStopPlan:
    """One plan of the stop binds every wait of a request."""

    HEADERS = {"x_token_bound": "40,60", "x_prompt_parts": "p:40"}

    @pytest.fixture(autouse=True)
    def _short_notice(self, monkeypatch):
        monkeypatch.setattr(worker, "BALANCER_NOTICE_SECONDS", 0.1)

    def test_an_unused_connection_does_not_postpone_refusals(self):
        """Guards against late requests that are accepted, run and cut off."""

        async def scenario(fleet):
            kept = await open_caller(fleet)
            assert (await request_on(kept, "r1")).startswith(b"HTTP/1.1 200")
            unused = await open_caller(fleet)
            stopping = await curio.spawn(stop_within, fleet, 4.0)
            # Idle connections are closed only after the wait for the unused one.
            await curio.sleep(0.4)
            answer = await request_on(kept, "r2")
            await unused.close()
            await stopping.join()
            return answer, fleet.seen()["u1"]

        answer, seen = run_ingress(scenario)
        assert answer.startswith(b"HTTP/1.1 503")
        assert len(seen) == 1

    def test_a_queued_request_is_refused_before_the_process_ends(self):
        """Guards against requests that wait for room and get no answer."""

        async def scenario(fleet):
            asking = [
                await curio.spawn(ask_with_long_deadline_and, fleet, self.HEADERS)
                for _ in range(10)
            ]
            await curio.sleep(0.5)
            running = len(fleet.seen()["e1"])
            began_at = monotonic()
            stopping = await curio.spawn(stop_within, fleet, 6.0)
            refused = [(await task.join()).status for task in asking[running:]]
            waited = monotonic() - began_at
            statuses = [(await task.join()).status for task in asking[:running]]
            await stopping.join()
            return refused, waited, statuses, len(fleet.seen()["e1"])

        refused, waited, statuses, runs = run_ingress(
            scenario, scripts={"e1": slow_stream}
        )
        assert set(refused) == {503}
        assert waited < 1.0
        assert statuses == [200] * runs

    def test_a_run_that_is_expected_to_outlast_the_process_is_refused(self):
        """Guards against streams that begin shortly before a stop cuts them off."""

        async def scenario(fleet):
            times = fleet.workers[0]._front._components.run_times
            for _ in range(5):
                times.record("pool/stream", size=60, seconds=3.5)
            stopping = await curio.spawn(stop_within, fleet, 2.0)
            await curio.sleep(0.02)
            long = await fleet.ask("/review/1", **self.HEADERS)
            short = await fleet.ask("/lookup/1")
            await stopping.join()
            return long, short, fleet.seen()["e1"]

        long, short, runs = run_ingress(scenario)
        assert long.status == 503
        assert msgspec.json.decode(long.body)["outcome"] == "not_run"
        assert not runs
        assert short.status == 200

    def test_a_stream_that_an_upstream_breaks_off_in_a_stop_goes_on_elsewhere(self):
        """Guards against a stop that ends streams because they may take too long."""

        async def break_off(seen, sock):
            if "last-event-id" in seen.headers:
                return await stream_whole(seen, sock)
            await sock.sendall(stream_head(seen) + chunk(events(1, 3)))
            await curio.sleep(0.5)
            await reset(sock)
            return False

        async def scenario(fleet):
            asking = await curio.spawn(fleet.ask, "/chat/1")
            while not any(fleet.seen().values()):
                await curio.sleep(0.01)
            times = fleet.workers[0]._front._components.run_times
            for _ in range(5):
                times.record("pool/stream", size=1, seconds=3.5)
            stopping = await curio.spawn(stop_within, fleet, 3.0)
            answer = await asking.join()
            await stopping.join()
            return answer.body

        scripts = dict.fromkeys(("e1", "e2"), break_off)
        assert run_ingress(scenario, scripts=scripts) == events(1, 5)

    def test_a_run_without_an_answer_at_the_end_is_answered_as_unknown(self):
        """Guards against callers that get neither an answer nor an error."""

        async def never(seen, sock):
            await curio.sleep(30)
            return False

        async def scenario(fleet):
            asking = await curio.spawn(fleet.ask, "/filing/1")
            while not fleet.seen()["u1"]:
                await curio.sleep(0.01)
            leftover = await stop_within(fleet, 0.5)
            return leftover, await asking.join()

        leftover, answer = run_ingress(scenario, scripts={"u1": never})
        assert leftover.counts["requests"] == 1
        assert answer.status == 502
        assert msgspec.json.decode(answer.body)["outcome"] == "unknown"


async def stop_within(fleet, seconds):
    """Stop the first process with a deadline; return what it leaves."""
    stopping = fleet.workers[0]
    stopping._settings = msgspec.structs.replace(
        stopping._settings, stop_deadline_seconds=seconds
    )
    return await stopping.stop()


async def open_caller(fleet):
    """Open a connection to the first process and send nothing on it."""
    host, port = fleet.addresses[0].split(":")
    return await curio.open_connection(host, int(port))


async def request_on(caller, request_id):
    """Send a request on an open connection; return what comes back first."""
    lines = [
        "POST /lookup/1 HTTP/1.1",
        "host: app.example",
        f"x-request-id: {request_id}",
        f"authorization: Bearer {KEY}",
        "content-length: 1",
    ]
    await caller.sendall("\r\n".join(lines).encode() + b"\r\n\r\nq")
    async with curio.timeout_after(5):
        return await caller.recv(65536)
