"""Tests of the plain service stand-in's contract."""

import curio
import msgspec
import pytest
from curio.task import ContextTask

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.httpio import HttpClient, HttpServer
from ragwortkeel.standins.service import Executions, Service


def with_service(scenario, **switches):
    """Run `scenario(client)` against a service in this process."""

    async def main():
        server = HttpServer(host="127.0.0.1", port=0, handler=Service().handle)
        server.open()
        client = HttpClient(host="127.0.0.1", port=server.port)
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(server.serve)
            body = msgspec.json.encode(switches)
            await client.request("POST", "/switches", body=body, timeout=5)
            return await scenario(client)

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


async def call(client, body=b'{"claim":7}'):
    headers = {"x-request-id": "r1"}
    return await client.request("POST", "/calls", body=body, headers=headers, timeout=5)


async def executed(client):
    response = await client.request("GET", "/executions", timeout=5)
    executions = msgspec.json.decode(response.body, type=Executions)
    return executions.count_by_request_id


class TestCalls:
    def test_each_http_request_executes_once(self):
        async def scenario(client):
            first, second = await call(client), await call(client)
            assert first.status == second.status == 200
            return await executed(client)

        assert with_service(scenario) == {"r1": 2}

    def test_malformed_body_executes_nothing(self):
        async def scenario(client):
            assert (await call(client, b"{")).status == 400
            return await executed(client)

        assert with_service(scenario) == {}


class TestAnnouncements:
    def test_a_leaving_service_says_so_in_each_response(self):
        async def scenario(client):
            answers = [await call(client), await call(client, b"{")]
            return [answer.headers.get("x-leaving") for answer in answers]

        assert with_service(scenario, leaving=True) == ["1", "1"]

    def test_a_rejected_call_does_not_execute(self):
        async def scenario(client):
            answer = await call(client)
            assert (answer.status, answer.headers["retry-after"]) == (503, "1.5")
            return await executed(client)

        assert with_service(scenario, pause=1.5) == {}


class TestFaults:
    @pytest.mark.parametrize(
        ("switch", "count"), [("answer_lost", {"r1": 1}), ("down", {})]
    )
    def test_dropped_connection(self, switch, count):
        async def scenario(client):
            with pytest.raises(ExchangeBroken):
                await call(client)
            return await executed(client)

        assert with_service(scenario, **{switch: True}) == count
