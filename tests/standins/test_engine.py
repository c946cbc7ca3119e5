"""Tests of the engine stand-in's contract."""

import curio
import msgspec
import pytest
from curio.task import ContextTask

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.httpio import HttpClient, HttpServer
from ragwortkeel.standins.engine import Engine
from ragwortkeel.standins.engine_answers import count_tokens, expected_answer
from ragwortkeel.standins.engine_batch import BatchSpeed

FAST = BatchSpeed(token_seconds=0.0005)


def body_of(prompt="hello", **fields):
    messages = [{"role": "user", "content": prompt}]
    return msgspec.json.encode({"model": "m", "messages": messages} | fields)


def with_engine(scenario, speed=FAST, **switches):
    """Run `scenario(client, engine)` against an engine in this process."""

    async def main():
        engine = Engine(speed=speed, load_lag=0.01)
        server = HttpServer(host="127.0.0.1", port=0, handler=engine.handle)
        server.open()
        client = HttpClient(host="127.0.0.1", port=server.port)
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(engine.run)
            await group.spawn(server.serve)
            body = msgspec.json.encode(switches)
            await client.request("POST", "/switches", body=body, timeout=5)
            return await scenario(client, engine)

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


async def complete(client, body, **headers):
    wire_headers = {key.replace("_", "-"): value for key, value in headers.items()}
    return await client.request(
        "POST", "/v1/chat/completions", body=body, headers=wire_headers, timeout=10
    )


def events_of(response):
    lines = response.body.decode().split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


def text_of(events):
    frames = [msgspec.json.decode(event) for event in events]
    return "".join(f["choices"][0]["delta"].get("content", "") for f in frames)


class TestAnswers:
    def test_complete_answer_contains_usage(self):
        async def scenario(client, _):
            return await complete(client, body_of("สวัสดี"))

        answer = msgspec.json.decode(with_engine(scenario).body)
        text = answer["choices"][0]["message"]["content"]
        assert text == expected_answer("สวัสดี")
        assert answer["usage"]["prompt_tokens"] == count_tokens("สวัสดี") == 5
        assert answer["usage"]["completion_tokens"] == len(text) // 4

    def test_stream_has_one_token_per_event_then_usage_then_done(self):
        async def scenario(client, _):
            return await complete(client, body_of(stream=True, max_tokens=5))

        *tokens, last, done = events_of(with_engine(scenario))
        assert done == "[DONE]"
        assert text_of(tokens) == expected_answer("hello", 5)
        assert len(tokens) == 5
        frame = msgspec.json.decode(last)
        assert frame["usage"]["completion_tokens"] == 5
        assert frame["choices"][0]["finish_reason"] == "length"

    def test_resumed_stream_continues_at_the_given_token(self):
        async def scenario(client, _):
            return await complete(client, body_of(stream=True, resume_from_tokens=7))

        *tokens, last, _ = events_of(with_engine(scenario))
        assert text_of(tokens) == expected_answer("hello")[7 * 4 :]
        usage = msgspec.json.decode(last)["usage"]
        assert usage["completion_tokens"] == len(expected_answer("hello")) // 4

    @pytest.mark.parametrize("body", [b"", b"[]", b'{"messages":3}', b'{"a":'])
    def test_malformed_request_is_refused(self, body):
        async def scenario(client, _):
            return await complete(client, body)

        assert with_engine(scenario).status == 400


class TestControl:
    @pytest.mark.parametrize(("check", "status"), [(True, 409), (False, 200)])
    def test_older_fencing_number(self, check, status):
        async def scenario(client, _):
            newer = await complete(client, body_of(), x_fencing_number="5")
            older = await complete(client, body_of(), x_fencing_number="4")
            return newer.status, older.status

        assert with_engine(scenario, check_fencing=check) == (200, status)

    def test_cancel_ends_the_stream_with_its_usage(self):
        async def scenario(client, engine):
            body = body_of("answer_tokens=100000", stream=True, max_tokens=100_000)
            task = await curio.spawn(complete(client, body, x_request_id="r1"))
            while not engine.batch.load.running:
                await curio.sleep(0.001)
            cancelled = await client.request("POST", "/v1/cancel/r1", timeout=5)
            assert cancelled.status == 200
            return await curio.timeout_after(10, task.join)

        *_, last, done = events_of(with_engine(scenario))
        frame = msgspec.json.decode(last)
        assert done == "[DONE]"
        assert frame["choices"][0]["finish_reason"] == "cancelled"
        assert frame["usage"]["completion_tokens"] < 100_000

    def test_disconnected_caller_frees_its_slot(self):
        async def scenario(client, engine):
            body = body_of("answer_tokens=100000", stream=True, max_tokens=100_000)
            target = "/v1/chat/completions"
            async with (
                client.stream("POST", target, body=body) as answer,
                curio.meta.finalize(answer.chunks()) as chunks,
            ):
                await anext(chunks)
            async with curio.timeout_after(10):
                while engine.batch.load.running:
                    await curio.sleep(0.001)

        with_engine(scenario)

    def test_higher_priority_leaves_the_queue_first(self):
        async def scenario(client, engine):
            order = []

            async def complete_and_record(name, priority):
                await complete(client, body_of(name), x_priority=str(priority))
                order.append(name)

            async with curio.TaskGroup() as group:
                await group.spawn(complete_and_record, "first", 0)
                while not engine.batch.load.running:
                    await curio.sleep(0.001)
                for waiting, (name, priority) in enumerate((("low", 0), ("high", 5))):
                    await group.spawn(complete_and_record, name, priority)
                    while engine.batch.load.waiting <= waiting:
                        await curio.sleep(0.0001)
            return order

        speed = BatchSpeed(token_seconds=0.005, max_running=1)
        assert with_engine(scenario, speed) == ["first", "high", "low"]


class TestFaults:
    def test_ignored_limit_overruns(self):
        async def scenario(client, _):
            return await complete(client, body_of(max_tokens=3))

        answer = msgspec.json.decode(with_engine(scenario, ignore_max_tokens=True).body)
        assert answer["usage"]["completion_tokens"] > 3

    def test_truncated_stream_has_no_end_marker(self):
        async def scenario(client, _):
            return await complete(client, body_of(stream=True))

        events = events_of(with_engine(scenario, truncate=2))
        assert len(events) == 2

    def test_silent_engine_accepts_the_request_and_never_answers(self):
        async def scenario(client, _):
            target = "/v1/chat/completions"
            with pytest.raises(ExchangeBroken):
                await client.request("POST", target, body=body_of(), timeout=0.2)
            counts = await client.request("GET", "/executions", timeout=5)
            return sum(msgspec.json.decode(counts.body).values())

        assert with_engine(scenario, silent=True) == 1


class TestAnnouncements:
    def test_a_leaving_engine_says_so_in_each_response(self):
        async def scenario(client, _):
            answers = [
                await complete(client, body_of(stream=True)),
                await complete(client, b"{"),
                await client.request("GET", "/load", timeout=5),
            ]
            return [answer.headers.get("x-leaving") for answer in answers]

        assert with_engine(scenario, leaving=True) == ["1", "1", "1"]

    def test_a_rejected_request_does_not_run(self):
        async def scenario(client, engine):
            answer = await complete(client, body_of(), x_request_id="r1")
            executions = await client.request("GET", "/executions", timeout=5)
            return answer.status, answer.headers["retry-after"], executions.body

        assert with_engine(scenario, pause=1.5) == (503, "1.5", b"{}")
