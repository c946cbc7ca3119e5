"""Planned stops: no answer is cut off, and a late request is refused as not run."""

import curio
import msgspec
from tests.ingress.in_process import (
    END,
    KEY,
    answer_whole,
    chunk,
    events,
    ledger,
    run_ingress,
    stream_head,
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
            fleet.workers[0]._front.stopping = True
            return await fleet.ask("/filing/1"), fleet.seen()["u1"]

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
