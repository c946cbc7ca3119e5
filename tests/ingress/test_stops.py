"""Planned stops: nothing is cut, and what comes too late is told so."""

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


async def ask_patiently(fleet):
    return await fleet.ask("/review/1", x_deadline_ms="9000")


async def ask_patiently_with(fleet, headers):
    return await fleet.ask("/review/1", x_deadline_ms="9000", **headers)


class TestStops:
    def test_an_open_stream_ends_whole(self):
        async def scenario(fleet):
            asking = await curio.spawn(ask_patiently, fleet)
            while not fleet.seen()["e1"]:
                await curio.sleep(0.01)
            leftover = await fleet.workers[0].stop()
            return leftover, (await asking.join()).body

        leftover, body = run_ingress(scenario, scripts={"e1": slow_stream})
        assert leftover.clean
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

    def test_a_request_on_a_kept_connection_near_the_end_is_not_begun_and_cut(self):
        """A caller's stream is cut by a planned stop.

        It kept its connection and sent the request seconds after the stop began;
        the process passed it on and exited in the middle of the answer.
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
            # Accepted before the stop, but its request comes after.
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

    def test_what_comes_too_late_is_told_that_it_did_not_run(self):
        async def scenario(fleet):
            fleet.workers[0]._front.stopping = True
            return await fleet.ask("/filing/1"), fleet.seen()["u1"]

        answer, seen = run_ingress(scenario)
        assert answer.status == 503
        assert msgspec.json.decode(answer.body)["outcome"] == "not_run"
        assert not seen

    def test_a_stop_that_cuts_one_request_gives_back_what_others_may_spend(
        self, monkeypatch
    ):
        """Callers are refused for want of tokens that nobody has spent.

        A planned stop reached its deadline with one stream open and gave back none of
        its slices.  The machine was away for a while; its next start found a grant
        untouched for so long that it had to be charged whole.
        """
        monkeypatch.setattr(worker, "BALANCER_SECONDS", 0.1)

        async def scenario(fleet):
            headers = {"x_token_bound": "40,60", "x_prompt_parts": "p:40"}
            asking = await curio.spawn(ask_patiently_with, fleet, headers)
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
        # What the cut request reserved is all that may be held or charged.
        assert found.prepaid - found.rest <= 100
