"""One request from its caller to an upstream and back, and what may go wrong."""

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


class TestRelay:
    def test_request_and_answer_pass_unchanged(self):
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

        response, [seen] = run_ingress(scenario)
        assert (response.status, response.body) == (200, b"ok")
        assert response.headers["x-upstream-proof"] == "p1"
        assert (seen.method, seen.target) == ("PUT", "/lookup/a%2Fb?x=1&x=2")
        assert seen.body == b"\x00body"
        assert seen.headers["x-own"] == "kept"
        assert seen.headers["x-customer"] == "surco"
        assert seen.headers["x-for-instance"] == "u1"
        assert "authorization" not in seen.headers
        assert 2000 < int(seen.headers["x-deadline-ms"]) <= 3000

    def test_a_failure_of_the_upstream_passes_as_it_is(self):
        async def script(seen, sock):
            await sock.sendall(plain(seen, b"no", status="500 Oops"))
            return True

        async def scenario(fleet):
            return await fleet.ask("/filing/1")

        response = run_ingress(scenario, scripts={"u1": script})
        assert (response.status, response.body) == (500, b"no")

    def test_a_stream_passes_whole(self):
        async def scenario(fleet):
            return await fleet.ask("/review/1")

        response = run_ingress(scenario)
        assert response.body == events(1, 5)

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [("/other/", "key-1", 404), ("/lookup/", "stranger", 401)],
    )
    def test_what_the_configuration_does_not_allow_is_refused(self, path, key, status):
        async def scenario(fleet):
            return await fleet.ask(path, authorization=f"Bearer {key}"), fleet.seen()

        response, seen = run_ingress(scenario)
        assert response.status == status
        assert problem(response)["outcome"] == "not_run"
        assert not seen["u1"]


async def wrong_id(seen, sock):
    await sock.sendall(plain(seen, b"other's", echo="someone-else"))
    await sock.sendall(plain(seen, b"own"))
    return True


async def unsigned(seen, sock):
    await sock.sendall(plain(seen, proof=False))
    return True


async def short(seen, sock):
    await sock.sendall(plain(seen, b"half-an-answer")[:-4])
    await sock.close()
    return False


async def garbage(seen, sock):
    await sock.sendall(b"\x16\x03\x01 this is no answer\r\n\r\n")
    return True


async def encoded(seen, sock):
    await sock.sendall(plain(seen, extra="content-encoding: gzip"))
    return True


async def nothing(seen, sock):
    await reset(sock)
    return False


BROKEN = [unsigned, short, garbage, encoded, nothing]


class TestStart:
    def test_a_process_without_a_configuration_tells_to_come_back(self):
        """A caller gives up on a 404 though its route is there.

        It met a process that had just started and knew no configuration yet.
        """

        async def scenario(fleet):
            fleet.workers[0]._front.table = None
            return await fleet.ask("/lookup/1")

        response = run_ingress(scenario)
        assert response.status == 503
        assert response.headers["retry-after"]


class TestSpoiledAnswers:
    @pytest.mark.parametrize("script", BROKEN)
    def test_a_request_that_must_not_repeat_is_told_unknown_and_runs_once(self, script):
        """A farmer is audited: a claim was filed twice.

        The answer to the first filing was lost or spoiled; the router sent the
        filing again, or told its caller that it had not run.
        """

        async def scenario(fleet):
            return await fleet.ask("/filing/1"), fleet.seen()

        response, seen = run_ingress(scenario, scripts={"u1": script, "u2": script})
        assert response.status == 502
        assert problem(response)["outcome"] == "unknown"
        assert "retry-after" not in response.headers
        assert sum(map(len, seen.values())) == 1

    @pytest.mark.parametrize("script", BROKEN)
    def test_an_idempotent_one_goes_to_another_upstream(self, script):
        async def scenario(fleet):
            responses = [await fleet.ask("/lookup/1") for _ in range(3)]
            return [response.status for response in responses]

        scripts = {"u1": script, "u2": answer_whole}
        assert run_ingress(scenario, scripts=scripts) == [200, 200, 200]

    def test_anothers_answer_is_skipped(self):
        """A caller sees another caller's answer.

        The upstream sent an extra answer, which arrived where the next one on
        that connection was due.
        """

        async def scenario(fleet):
            return await fleet.ask("/filing/1")

        response = run_ingress(scenario, scripts={"u1": wrong_id})
        assert response.body == b"own"

    def test_a_connection_with_bytes_left_over_is_not_used_again(self):
        async def script(seen, sock):
            await sock.sendall(plain(seen) + b"HTTP/1.1 200 OK\r\n")
            return True

        async def scenario(fleet):
            responses = [await fleet.ask("/filing/1") for _ in range(2)]
            statuses = [response.status for response in responses]
            return statuses, fleet.upstreams["u1"].connections

        # One that must not repeat: a lookup would hide it by a second try.
        assert run_ingress(scenario, scripts={"u1": script}) == ([200, 200], 2)

    def test_one_that_must_not_repeat_takes_no_connection_that_was_idle_for_long(self):
        """A caller is told that nobody knows whether its claim was filed.

        The claim went out on a kept connection that the upstream was just closing.
        """

        async def scenario(fleet):
            await fleet.ask("/filing/1")
            await curio.sleep(FRESH_IDLE_SECONDS + 0.1)
            await fleet.ask("/filing/2")
            return fleet.upstreams["u1"].connections

        assert run_ingress(scenario) == 2

    def test_a_kept_connection_that_was_closed_meanwhile_is_not_used(self):
        """The same; the close had come and nobody had looked."""

        async def closes(seen, sock):
            await sock.sendall(plain(seen))
            await sock.close()
            return False

        async def scenario(fleet):
            statuses = []
            for i in range(3):
                statuses.append((await fleet.ask(f"/filing/{i}")).status)
                await curio.sleep(0.05)
            return statuses

        assert run_ingress(scenario, scripts={"u1": closes}) == [200] * 3

    def test_what_may_have_run_is_never_told_not_run(self):
        """A caller comes back and its lookup runs again though it need not.

        The first run broke off, no other upstream had room, and the refusal said
        that the request had not run.
        """

        async def scenario(fleet):
            return await fleet.ask("/lookup/1")

        response = run_ingress(scenario, scripts={"u1": nothing})
        assert response.status == 502
        assert problem(response)["outcome"] == "unknown"

    def test_kept_connections_are_used_again(self):
        async def scenario(fleet):
            for _ in range(3):
                await fleet.ask("/lookup/1")
            return fleet.upstreams["u1"].connections

        assert run_ingress(scenario) == 1


class TestTurnedAway:
    @pytest.mark.parametrize("path", ["/lookup/1", "/filing/1"])
    def test_another_instance_at_the_address_is_no_reason_to_refuse(self, path):
        async def script(seen, sock):
            answer = plain(seen, status="421 Misdirected", proof=False)
            await sock.sendall(answer)
            return True

        async def scenario(fleet):
            return (await fleet.ask(path)).status

        scripts = {"u1": script, "u2": answer_whole}
        assert run_ingress(scenario, scripts=scripts) == 200

    def test_full_everywhere_is_a_refusal_that_says_when_to_come_back(self):
        async def script(seen, sock):
            answer = plain(seen, status="503 Full", proof=False, extra="x-not-run: 1")
            await sock.sendall(answer)
            return True

        async def scenario(fleet):
            return await fleet.ask("/filing/1")

        response = run_ingress(scenario, scripts={"u1": script, "u2": script})
        assert response.status == 503
        assert problem(response)["outcome"] == "not_run"
        assert float(response.headers["retry-after"]) > 0

    def test_a_leaving_upstream_gets_nothing(self):
        async def scenario(fleet):
            leaving = fleet.upstreams["u1"]
            await fleet.register(leaving, state=UpstreamState.LEAVING)
            while fleet.workers[0]._directory.is_usable("u1"):
                await curio.sleep(0.01)
            return (await fleet.ask("/lookup/1")), fleet.seen()

        response, seen = run_ingress(scenario)
        assert response.status == 503
        assert not seen["u1"]


class TestFailuresOfUpstreams:
    @staticmethod
    async def fails(seen, sock):
        await sock.sendall(plain(seen, b"no", status="500 Oops"))
        return True

    def test_an_idempotent_request_is_tried_at_another_upstream(self):
        async def scenario(fleet):
            return [(await fleet.ask("/lookup/1")).status for _ in range(4)]

        scripts = {"u1": self.fails, "u2": answer_whole}
        assert run_ingress(scenario, scripts=scripts) == [200] * 4

    def test_a_request_goes_to_no_more_upstreams_than_its_route_allows(self):
        async def scenario(fleet):
            await fleet.ask("/lookup/1")
            return sum(map(len, fleet.seen().values()))

        scripts = dict.fromkeys(("u1", "u2", "u3"), nothing)
        assert run_ingress(scenario, scripts=scripts) == 2

    def test_retries_end_where_most_requests_fail(self):
        """A service that fails for all is asked twice as often as its callers ask."""

        async def scenario(fleet):
            for i in range(20):
                await fleet.ask(f"/lookup/{i}")
            return sum(map(len, fleet.seen().values()))

        scripts = dict.fromkeys(("u1", "u2", "u3"), nothing)
        most = 20 + RETRY_RESERVE + 20 * RETRY_FRACTION
        assert run_ingress(scenario, scripts=scripts) <= most

    def test_where_all_fail_the_caller_gets_the_upstreams_answer(self):
        async def scenario(fleet):
            return await fleet.ask("/lookup/1"), fleet.seen()

        response, seen = run_ingress(scenario, scripts={"u1": self.fails})
        assert (response.status, response.body) == (500, b"no")
        assert len(seen["u1"]) == 1

    def test_one_that_must_not_repeat_is_not(self):
        async def scenario(fleet):
            await fleet.ask("/filing/1")
            return fleet.seen()

        seen = run_ingress(scenario, scripts={"u1": self.fails, "u2": self.fails})
        assert sum(map(len, seen.values())) == 1


class TestStreams:
    def test_a_broken_stream_goes_on_elsewhere_without_gap_or_repeat(self):
        """An advisor's answer stops in the middle of a word.

        The upstream crashed within an event; another one goes on behind the last
        whole event, in the same response.
        """

        async def breaks(seen, sock):
            data = stream_head(seen) + chunk(events(1, 2) + b"id: 3\nda")
            await sock.sendall(data)
            await reset(sock)
            return False

        async def scenario(fleet):
            answers = [await fleet.ask("/chat/1") for _ in range(2)]
            return [answer.body for answer in answers]

        scripts = {"e1": breaks, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts) == [events(1, 5)] * 2

    def test_one_that_must_not_repeat_ends_broken_not_whole(self):
        async def breaks(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await curio.sleep(0.05)
            await reset(sock)
            return False

        async def scenario(fleet):
            with pytest.raises(ExchangeBroken):
                await fleet.ask("/review/1")
            return fleet.seen()

        seen = run_ingress(scenario, scripts={"e1": breaks, "e2": breaks})
        assert sum(map(len, seen.values())) == 1

    def test_a_stream_that_ends_within_an_event_is_not_whole(self):
        """A caller takes half of its dossier for all of it.

        The upstream ended its answer in due form in the middle of an event.
        """

        async def cut_short(seen, sock):
            data = events(1, 3) + b"id: 4\ndata: t"
            await sock.sendall(stream_head(seen) + chunk(data) + END)
            return True

        async def scenario(fleet):
            with pytest.raises(ExchangeBroken):
                await fleet.ask("/review/1")

        run_ingress(scenario, scripts={"e1": cut_short})

    def test_a_repeated_event_is_never_passed_on(self):
        async def repeats(seen, sock):
            data = chunk(events(1, 2)) + chunk(events(2, 3)) + END
            await sock.sendall(stream_head(seen) + data)
            return True

        async def scenario(fleet):
            with pytest.raises(ExchangeBroken):
                await fleet.ask("/review/1")

        run_ingress(scenario, scripts={"e1": repeats})

    def test_a_silent_stream_goes_on_elsewhere(self):
        async def falls_silent(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await curio.sleep(30)
            return False

        async def scenario(fleet):
            return (await fleet.ask("/chat/1", x_deadline_ms="9000")).body

        scripts = {"e1": falls_silent, "e2": stream_whole}
        assert run_ingress(scenario, scripts=scripts) == events(1, 5)


class TestTime:
    def test_a_run_that_outlasts_the_route_is_told_unknown_in_time(self):
        async def hangs(seen, sock):
            await curio.sleep(30)
            return False

        async def scenario(fleet):
            return await fleet.ask("/filing/1", x_deadline_ms="300")

        response = run_ingress(scenario, scripts={"u1": hangs})
        assert response.status == 504
        assert problem(response)["outcome"] == "unknown"

    def test_the_time_of_the_route_ends_a_request_that_would_wait_longer(self):
        """A caller waits for ten seconds where the operator allows half a second.

        Its own deadline was later, and only that was looked at.
        """

        async def hangs(seen, sock):
            await curio.sleep(30)
            return False

        async def scenario(fleet):
            begun = monotonic()
            response = await fleet.ask("/lookup/1", x_deadline_ms="9000")
            [seen] = fleet.seen()["u1"]
            return response.status, monotonic() - begun, seen

        routes = (route("lookup", "/lookup/", timeout_seconds=0.5),)
        status, took, seen = run_ingress(scenario, scripts={"u1": hangs}, routes=routes)
        assert status == 504
        assert took < 2.0
        assert int(seen.headers["x-deadline-ms"]) <= 500

    def test_work_is_dropped_before_its_answer_has_begun(self):
        """The same as below; the caller left while its prompt was still read.

        Nothing was sent to it yet, so no failed send told of the close.
        """
        closed = curio.Event()

        async def reads_on(seen, sock):
            if not await sock.recv(1):
                await closed.set()
            return False

        async def scenario(fleet):
            asking = await curio.spawn(fleet.ask, "/review/1")
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            await asking.cancel()
            async with curio.timeout_after(2):
                await closed.wait()

        run_ingress(scenario, scripts={"e1": reads_on})

    def test_the_upstream_drops_the_work_of_a_caller_that_left(self):
        """Servers go on with work that nobody waits for, and others wait for them.

        The caller closed its connection in the middle of its stream.
        """
        closed = curio.Event()

        async def endless(seen, sock):
            await sock.sendall(stream_head(seen))
            try:
                while True:
                    await sock.sendall(chunk(b": wait\n\n"))
                    await curio.sleep(0.01)
            except OSError:
                await closed.set()
            return False

        async def scenario(fleet):
            asking = await curio.spawn(fleet.ask, "/review/1")
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            await asking.cancel()
            async with curio.timeout_after(2):
                await closed.wait()

        run_ingress(scenario, scripts={"e1": endless})
