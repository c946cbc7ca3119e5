"""The whole path in one kernel: caller, router, sidecar, upstream and back."""

import msgspec
import pytest

from ragwortkeel.router.calls import CHAT_PATH

from .in_process import run_fleet

QUESTION = {
    "model": "advisor-chat",
    "messages": [{"role": "user", "content": "Is my invoice eligible?"}],
    "max_tokens": 8,
}
FILING_PATH = "/v1/profiles/claim-filing/calls"


def problem_of(response):
    assert response.headers["content-type"] == "application/problem+json"
    return msgspec.json.decode(response.body)


class TestAnswers:
    def test_a_whole_answer_is_billed_what_it_cost(self):
        async def scenario(fleet):
            response = await fleet.ask(CHAT_PATH, QUESTION)
            await fleet.keeper.flush()
            return response, await fleet.keeper.durable.get()

        response, receipts = run_fleet(scenario)
        usage = msgspec.json.decode(response.body)["usage"]
        assert response.status == 200
        assert [r.tokens for r in receipts] == [usage["total_tokens"]]

    def test_a_stream_ends_with_its_end_marker(self):
        async def scenario(fleet):
            return await fleet.ask(CHAT_PATH, QUESTION | {"stream": True})

        response = run_fleet(scenario)
        assert response.headers["content-type"] == "text/event-stream"
        assert response.body.endswith(b"data: [DONE]\n\n")
        assert response.body.count(b'"content"') == 8

    def test_a_retry_replays_and_is_not_billed_again(self):
        """A caller's connection breaks; it sends the request again.

        The first run had ended, so the answer is replayed from the sidecar, the
        same bytes, and the bill shows the request once.
        """

        async def scenario(fleet):
            asked = QUESTION | {"stream": True}
            first = await fleet.ask(CHAT_PATH, asked, idempotency_key="k")
            again = await fleet.ask(CHAT_PATH, asked, idempotency_key="k")
            await fleet.keeper.flush()
            return first, again, await fleet.keeper.durable.get()

        first, again, receipts = run_fleet(scenario)
        assert first.body == again.body
        assert len(receipts) == 1


class TestFilings:
    def test_the_same_key_files_once(self):
        async def scenario(fleet):
            first = await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            again = await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            return first, again, await fleet.runs("c1")

        first, again, runs = run_fleet(scenario)
        assert first.status == 200
        assert first.body == again.body
        assert runs == 1

    def test_one_key_with_two_bodies_is_refused(self):
        async def scenario(fleet):
            await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            return await fleet.ask(FILING_PATH, {"claim": 8}, idempotency_key="c")

        response = run_fleet(scenario)
        assert (response.status, problem_of(response)["outcome"]) == (422, "not_run")

    def test_without_the_platform_a_new_filing_is_refused_at_once(self):
        """A filing during an outage of the platform waits and then times out.

        No intent can be written, so nothing may run: the caller is told at
        once, and when to come back.
        """

        async def scenario(fleet):
            await fleet.ask(FILING_PATH, {"claim": 1})
            fleet.platform.switches.down = True
            refused = await fleet.ask(FILING_PATH, {"claim": 7})
            fleet.platform.switches.down = False
            return refused, await fleet.runs("c1")

        response, runs = run_fleet(scenario)
        assert problem_of(response)["outcome"] == "not_run"
        assert int(response.headers["retry-after"]) > 0
        assert runs == 1


class TestRefusals:
    @pytest.mark.parametrize(
        ("path", "body", "status", "reason"),
        [
            (CHAT_PATH, QUESTION | {"model": "nobody"}, 404, "unknown_profile"),
            (CHAT_PATH, {"model": "advisor-chat"}, 400, "bad_request"),
            (CHAT_PATH, [], 400, "bad_request"),
            ("/v1/profiles/nobody/calls", {}, 404, "unknown_profile"),
            ("/v1/nothing", {}, 404, "bad_request"),
        ],
    )
    def test_bad_input_is_told_and_billed_nothing(self, path, body, status, reason):
        async def scenario(fleet):
            return await fleet.ask(path, body), await fleet.keeper.flush()

        response, waiting = run_fleet(scenario)
        assert (response.status, problem_of(response)["reason"]) == (status, reason)
        assert waiting == 0

    def test_a_request_beyond_the_budget_is_not_run(self):
        async def scenario(fleet):
            content = "x" * 20_000
            body = QUESTION | {"messages": [{"role": "user", "content": content}]}
            return await fleet.ask(CHAT_PATH, body)

        response = run_fleet(scenario)
        assert response.status == 402
        assert problem_of(response)["outcome"] == "not_run"
