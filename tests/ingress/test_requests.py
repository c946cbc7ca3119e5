"""Requests forwarded to upstreams, and failures on the way there and back."""

from time import monotonic

import curio
import msgspec
import pytest
from tests.ingress.builders import route
from tests.ingress.in_process import (
    END,
    answer_whole,
    chunk,
    events,
    plain,
    reset,
    run_ingress,
    stream_head,
    stream_whole,
)

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.ingress.configuration import UpstreamState
from ragwortkeel.ingress.upstream_connection import FRESH_IDLE_SECONDS
from ragwortkeel.ingress.worker import RETRY_FRACTION, RETRY_RESERVE


def problem(response):
    return msgspec.json.decode(response.body)


class TestForwarding:
    def test_request_and_response_are_forwarded_unchanged(self):
        async def scenario(fleet):
            response = await fleet.ask(
                "/lookup/a%2Fb?x=1&x=2",
                method="PUT",
                body=b"\x00body",
                x_own="kept",
                x_customer="forged",
                connection="close",
            )
            return response, fleet.seen()["u1"]

        response, [received] = run_ingress(scenario)
        assert (response.status, response.body) == (200, b"ok")
        assert response.headers["x-upstream-proof"] == "p1"
        assert (received.method, received.target) == ("PUT", "/lookup/a%2Fb?x=1&x=2")
        assert received.body == b"\x00body"
        assert received.headers["x-own"] == "kept"
        assert received.headers["x-customer"] == "surco"
        assert received.headers["x-for-instance"] == "u1"
        assert "authorization" not in received.headers
        assert 2000 < int(received.headers["x-deadline-ms"]) <= 3000

    def test_a_failure_of_the_upstream_is_forwarded_unchanged(self):
        async def script(received, sock):
            await sock.sendall(plain(received, b"no", status="500 Oops"))
            return True

        async def scenario(fleet):
            return await fleet.ask("/filing/1")

        response = run_ingress(scenario, scripts={"u1": script})
        assert (response.status, response.body) == (500, b"no")

    def test_a_stream_is_forwarded_completely(self):
        async def scenario(fleet):
            return await fleet.ask("/review/1")

        response = run_ingress(scenario)
        assert response.body == events(1, 5)

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [("/other/", "key-1", 404), ("/lookup/", "stranger", 401)],
    )
    def test_requests_that_the_configuration_does_not_allow_are_refused(
        self, path, key, status
    ):
        async def scenario(fleet):
            return await fleet.ask(path, authorization=f"Bearer {key}"), fleet.seen()

        response, received = run_ingress(scenario)
        assert response.status == status
        assert problem(response)["outcome"] == "not_run"
        assert not received["u1"]


async def wrong_id(received, sock):
    await sock.sendall(plain(received, b"other's", echo="someone-else"))
    await sock.sendall(plain(received, b"own"))
    return True


async def unsigned(received, sock):
    await sock.sendall(plain(received, proof=False))
    return True


async def short(received, sock):
    await sock.sendall(plain(received, b"half-an-answer")[:-4])
    await sock.close()
    return False


async def garbage(received, sock):
    await sock.sendall(b"\x16\x03\x01 this is no answer\r\n\r\n")
    return True


async def encoded(received, sock):
    await sock.sendall(plain(received, extra="content-encoding: gzip"))
    return True


async def resets(received, sock):
    await reset(sock)
    return False


BROKEN_SCRIPTS = [unsigned, short, garbage, encoded, resets]


class TestStart:
    def test_a_process_without_a_configuration_sends_retry_after(self):
        """Guards against a 404 for a route that exists, on which the caller gives up.

        The process had just started and had no configuration yet.
        """

        async def scenario(fleet):
            fleet.workers[0]._front.table = None
            return await fleet.ask("/lookup/1")

        response = run_ingress(scenario)
        assert response.status == 503
        assert response.headers["retry-after"]


class TestInvalidResponses:
    @pytest.mark.parametrize("script", BROKEN_SCRIPTS)
    def test_a_non_idempotent_request_runs_once_and_its_result_is_unknown(self, script):
        """Guards against a claim that is filed twice.

        The response to the first filing was lost or invalid, and the ingress sent the
        filing again, or reported to the caller that it had not run.
        """

        async def scenario(fleet):
            return await fleet.ask("/filing/1"), fleet.seen()

        response, received = run_ingress(scenario, scripts={"u1": script, "u2": script})
        assert response.status == 502
        assert problem(response)["outcome"] == "unknown"
        assert "retry-after" not in response.headers
        assert sum(map(len, received.values())) == 1

    @pytest.mark.parametrize("script", BROKEN_SCRIPTS)
    def test_an_idempotent_request_goes_to_another_upstream(self, script):
        async def scenario(fleet):
            responses = [await fleet.ask("/lookup/1") for _ in range(3)]
            return [response.status for response in responses]

        scripts = {"u1": script, "u2": answer_whole}
        assert run_ingress(scenario, scripts=scripts) == [200, 200, 200]

    def test_the_response_to_another_request_is_skipped(self):
        """Guards against a caller that receives the response to another caller.

        The upstream sent an extra response, which arrived where the next one on the
        connection was due.
        """

        async def scenario(fleet):
            return await fleet.ask("/filing/1")

        response = run_ingress(scenario, scripts={"u1": wrong_id})
        assert response.body == b"own"

    def test_a_connection_with_bytes_left_over_is_not_used_again(self):
        async def script(received, sock):
            await sock.sendall(plain(received) + b"HTTP/1.1 200 OK\r\n")
            return True

        async def scenario(fleet):
            responses = [await fleet.ask("/filing/1") for _ in range(2)]
            statuses = [response.status for response in responses]
            return statuses, fleet.upstreams["u1"].connections

        # A filing must not run twice; a retry of a lookup would hide the failure.
        assert run_ingress(scenario, scripts={"u1": script}) == ([200, 200], 2)

    def test_a_non_idempotent_request_uses_no_connection_idle_for_long(self):
        """Guards against a claim of which it is unknown whether it was filed.

        It was sent on an idle connection that the upstream was just closing.
        """

        async def scenario(fleet):
            await fleet.ask("/filing/1")
            await curio.sleep(FRESH_IDLE_SECONDS + 0.1)
            await fleet.ask("/filing/2")
            return fleet.upstreams["u1"].connections

        assert run_ingress(scenario) == 2

    def test_an_idle_connection_that_was_closed_is_not_used(self):
        """Guards against the same failure if the close has arrived but was not read."""

        async def closes(received, sock):
            await sock.sendall(plain(received))
            await sock.close()
            return False

        async def scenario(fleet):
            statuses = []
            for i in range(3):
                statuses.append((await fleet.ask(f"/filing/{i}")).status)
                await curio.sleep(0.05)
            return statuses

        assert run_ingress(scenario, scripts={"u1": closes}) == [200] * 3

    def test_the_result_of_a_request_that_may_have_run_is_unknown(self):
        """Guards against a second run that a refusal caused.

        The first run broke off, no other upstream had headroom, and the refusal stated
        that the request had not run.
        """

        async def scenario(fleet):
            return await fleet.ask("/lookup/1")

        response = run_ingress(scenario, scripts={"u1": resets})
        assert response.status == 502
        assert problem(response)["outcome"] == "unknown"

    def test_idle_connections_are_used_again(self):
        async def scenario(fleet):
            for _ in range(3):
                await fleet.ask("/lookup/1")
            return fleet.upstreams["u1"].connections

        assert run_ingress(scenario) == 1


class TestRejectedRequests:
    @pytest.mark.parametrize("path", ["/lookup/1", "/filing/1"])
    def test_another_instance_at_the_address_causes_no_refusal(self, path):
        async def script(received, sock):
            answer = plain(received, status="421 Misdirected", proof=False)
            await sock.sendall(answer)
            return True

        async def scenario(fleet):
            return (await fleet.ask(path)).status

        scripts = {"u1": script, "u2": answer_whole}
        assert run_ingress(scenario, scripts=scripts) == 200

    def test_a_refusal_by_full_upstreams_has_a_retry_after(self):
        async def script(received, sock):
            answer = plain(
                received, status="503 Full", proof=False, extra="x-not-run: 1"
            )
            await sock.sendall(answer)
            return True

        async def scenario(fleet):
            return await fleet.ask("/filing/1")

        response = run_ingress(scenario, scripts={"u1": script, "u2": script})
        assert response.status == 503
        assert problem(response)["outcome"] == "not_run"
        assert float(response.headers["retry-after"]) > 0

    def test_a_leaving_upstream_gets_no_request(self):
        async def scenario(fleet):
            leaving = fleet.upstreams["u1"]
            await fleet.register(leaving, state=UpstreamState.LEAVING)
            while fleet.workers[0]._directory.is_usable("u1"):
                await curio.sleep(0.01)
            return (await fleet.ask("/lookup/1")), fleet.seen()

        response, received = run_ingress(scenario)
        assert response.status == 503
        assert not received["u1"]


class TestFailuresOfUpstreams:
    @staticmethod
    async def fails(received, sock):
        await sock.sendall(plain(received, b"no", status="500 Oops"))
        return True

    def test_an_idempotent_request_is_tried_at_another_upstream(self):
        async def scenario(fleet):
            return [(await fleet.ask("/lookup/1")).status for _ in range(4)]

        scripts = {"u1": self.fails, "u2": answer_whole}
        assert run_ingress(scenario, scripts=scripts) == [200] * 4

    def test_the_route_bounds_the_attempts_of_a_request(self):
        async def scenario(fleet):
            await fleet.ask("/lookup/1")
            return sum(map(len, fleet.seen().values()))

        scripts = dict.fromkeys(("u1", "u2", "u3"), resets)
        assert run_ingress(scenario, scripts=scripts) == 2

    def test_the_retry_budget_bounds_retries_if_all_requests_fail(self):
        """Guards against twice the requests at a service that fails all of them."""

        async def scenario(fleet):
            for i in range(20):
                await fleet.ask(f"/lookup/{i}")
            return sum(map(len, fleet.seen().values()))

        scripts = dict.fromkeys(("u1", "u2", "u3"), resets)
        most = 20 + RETRY_RESERVE + 20 * RETRY_FRACTION
        assert run_ingress(scenario, scripts=scripts) <= most

    def test_if_all_attempts_fail_the_caller_gets_the_upstreams_response(self):
        async def scenario(fleet):
            return await fleet.ask("/lookup/1"), fleet.seen()

        response, received = run_ingress(scenario, scripts={"u1": self.fails})
        assert (response.status, response.body) == (500, b"no")
        assert len(received["u1"]) == 1

    def test_a_non_idempotent_request_is_not_repeated(self):
        async def scenario(fleet):
            await fleet.ask("/filing/1")
            return fleet.seen()

        received = run_ingress(scenario, scripts={"u1": self.fails, "u2": self.fails})
        assert sum(map(len, received.values())) == 1


class TestStreams:
    def test_a_broken_stream_is_resumed_without_gap_or_repeat(self):
        """Guards against a stream that ends in the middle of an event.

        The upstream crashed within an event; another upstream continues the same
        response after the last complete event.
        """

        async def breaks(received, sock):
            data = stream_head(received) + chunk(events(1, 2) + b"id: 3\nda")
            await sock.sendall(data)
            await reset(sock)
            return False

        async def scenario(fleet):
            answers = [await fleet.ask("/chat/1") for _ in range(2)]
            return [answer.body for answer in answers]

        scripts = {"e1": breaks, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts) == [events(1, 5)] * 2

    def test_a_broken_non_idempotent_stream_is_aborted(self):
        async def breaks(received, sock):
            await sock.sendall(stream_head(received) + chunk(events(1, 2)))
            await curio.sleep(0.05)
            await reset(sock)
            return False

        async def scenario(fleet):
            with pytest.raises(ExchangeBroken):
                await fleet.ask("/review/1")
            return fleet.seen()

        received = run_ingress(scenario, scripts={"e1": breaks, "e2": breaks})
        assert sum(map(len, received.values())) == 1

    def test_a_stream_that_ends_within_an_event_is_aborted(self):
        """Guards against an incomplete stream that looks complete to the caller.

        The upstream ended its response correctly, but in the middle of an event.
        """

        async def cut_short(received, sock):
            data = events(1, 3) + b"id: 4\ndata: t"
            await sock.sendall(stream_head(received) + chunk(data) + END)
            return True

        async def scenario(fleet):
            with pytest.raises(ExchangeBroken):
                await fleet.ask("/review/1")

        run_ingress(scenario, scripts={"e1": cut_short})

    def test_a_repeated_event_is_not_forwarded(self):
        async def repeats(received, sock):
            data = chunk(events(1, 2)) + chunk(events(2, 3)) + END
            await sock.sendall(stream_head(received) + data)
            return True

        async def scenario(fleet):
            with pytest.raises(ExchangeBroken):
                await fleet.ask("/review/1")

        run_ingress(scenario, scripts={"e1": repeats})

    def test_a_silent_stream_is_resumed_elsewhere(self):
        async def pauses(received, sock):
            await sock.sendall(stream_head(received) + chunk(events(1, 2)))
            await curio.sleep(30)
            return False

        async def scenario(fleet):
            return (await fleet.ask("/chat/1", x_deadline_ms="9000")).body

        scripts = {"e1": pauses, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts) == events(1, 5)


class TestTime:
    def test_the_result_of_a_run_that_outlasts_its_deadline_is_unknown(self):
        async def hangs(received, sock):
            await curio.sleep(30)
            return False

        async def scenario(fleet):
            return await fleet.ask("/filing/1", x_deadline_ms="300")

        response = run_ingress(scenario, scripts={"u1": hangs})
        assert response.status == 504
        assert problem(response)["outcome"] == "unknown"

    def test_the_timeout_of_the_route_bounds_the_deadline_of_the_caller(self):
        """Guards against a request that outlasts the timeout of its route.

        The caller's own deadline is later than the timeout.
        """

        async def hangs(received, sock):
            await curio.sleep(30)
            return False

        async def scenario(fleet):
            begun = monotonic()
            response = await fleet.ask("/lookup/1", x_deadline_ms="9000")
            [received] = fleet.seen()["u1"]
            return response.status, monotonic() - begun, received

        routes = (route("lookup", "/lookup/", timeout_seconds=0.5),)
        status, took, received = run_ingress(
            scenario, scripts={"u1": hangs}, routes=routes
        )
        assert status == 504
        assert took < 2.0
        assert int(received.headers["x-deadline-ms"]) <= 500

    def test_work_is_dropped_before_its_response_has_started(self):
        """Guards against work for a caller that left while its prompt was read.

        No data was sent to the caller yet, so no failed send shows the close.
        """
        closed = curio.Event()

        async def waits_for_close(received, sock):
            if not await sock.recv(1):
                await closed.set()
            return False

        async def scenario(fleet):
            request = await curio.spawn(fleet.ask, "/review/1")
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            await request.cancel()
            async with curio.timeout_after(2):
                await closed.wait()

        run_ingress(scenario, scripts={"e1": waits_for_close})

    def test_work_of_a_caller_that_left_is_dropped(self):
        """Guards against work that delays other requests after its caller left.

        The caller closed its connection in the middle of its stream.
        """
        closed = curio.Event()

        async def streams_endlessly(received, sock):
            await sock.sendall(stream_head(received))
            try:
                while True:
                    await sock.sendall(chunk(b": wait\n\n"))
                    await curio.sleep(0.01)
            except OSError:
                await closed.set()
            return False

        async def scenario(fleet):
            request = await curio.spawn(fleet.ask, "/review/1")
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            await request.cancel()
            async with curio.timeout_after(2):
                await closed.wait()

        run_ingress(scenario, scripts={"e1": streams_endlessly})
