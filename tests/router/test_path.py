"""Tests of the path from caller to upstream and back, in one kernel."""

from time import monotonic

import msgspec
import pytest

from ragwortkeel.policy.stop_plan import StopPlan
from ragwortkeel.router.calls import CHAT_PATH

from .in_process import CHAT, FILING, PREPAID_TOKENS, run_fleet, until

QUESTION = {
    "model": "advisor-chat",
    "messages": [{"role": "user", "content": "Is my invoice eligible?"}],
    "max_tokens": 8,
}
FILING_PATH = "/v1/profiles/claim-filing/calls"


def problem_of(response):
    assert response.headers["content-type"] == "application/problem+json"
    return msgspec.json.decode(response.body)


def texts_of(stream):
    events = [event.removeprefix(b"data: ") for event in stream.split(b"\n\n") if event]
    frames = [msgspec.json.decode(event) for event in events if event != b"[DONE]"]
    deltas = [frame["choices"][0]["delta"] for frame in frames]
    return [delta["content"] for delta in deltas if "content" in delta]


def texts_of_body(body):
    text = msgspec.json.decode(body)["choices"][0]["message"]["content"]
    return text.split()


class TestAnswers:
    def test_a_complete_answer_is_billed_its_tokens(self):
        async def scenario(fleet):
            response = await fleet.ask(CHAT_PATH, QUESTION)
            return response, await fleet.receipts()

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

    def test_a_key_reused_with_another_body_is_refused(self):
        async def scenario(fleet):
            other = QUESTION | {"max_tokens": 5}
            await fleet.ask(CHAT_PATH, QUESTION, idempotency_key="k")
            return await fleet.ask(CHAT_PATH, other, idempotency_key="k")

        response = run_fleet(scenario)
        assert problem_of(response)["reason"] == "key_reused"

    def test_a_retry_replays_and_is_not_billed_again(self):
        """Guards against a second charge when a caller repeats an ended request.

        The sidecar replays the same bytes, and there is one receipt.
        """

        async def scenario(fleet):
            request = QUESTION | {"stream": True}
            first = await fleet.ask(CHAT_PATH, request, idempotency_key="k")
            again = await fleet.ask(CHAT_PATH, request, idempotency_key="k")
            return first, again, await fleet.receipts()

        first, again, receipts = run_fleet(scenario)
        assert first.body == again.body
        assert len(receipts) == 1


class TestBrokenAnswers:
    def test_a_truncated_stream_is_never_shown_as_complete(self):
        """Guards against half an answer that looks complete to the caller.

        The engine closes its stream early and cannot resume it, so the stream ends
        with an error event.
        """

        async def scenario(fleet):
            await fleet.switch("m1", truncate=3)
            return await fleet.ask(CHAT_PATH, QUESTION | {"stream": True})

        body = run_fleet(scenario).body
        assert body.count(b'"content"') == 3
        assert b"[DONE]" not in body
        last = body.rsplit(b"event: error\ndata: ", 1)[1]
        assert msgspec.json.decode(last)["outcome"] == "failed"

    def test_a_stream_resumes_elsewhere_after_the_tokens_already_sent(self):
        """Guards against lost or repeated tokens when another engine resumes.

        The engine closes its stream early, and the engines can resume from a given
        token.  The caller gets the same answer as without the fault.
        """

        async def scenario(fleet):
            request = QUESTION | {"stream": True}
            complete = await fleet.ask(CHAT_PATH, request, idempotency_key="a")
            ran_at = [n for n in fleet.engine_names if await fleet.runs(n)]
            await fleet.switch(ran_at[0], truncate=3)
            return complete, await fleet.ask(CHAT_PATH, request, idempotency_key="b")

        complete, resumed = run_fleet(scenario, engines=2, resumes=True)
        assert texts_of(resumed.body) == texts_of(complete.body)
        assert resumed.body.endswith(b"data: [DONE]\n\n")

    def test_a_stream_does_not_resume_at_another_software_version(self):
        """Guards against an answer whose parts come from two versions of an engine."""

        async def scenario(fleet):
            request = QUESTION | {"stream": True}
            for name in fleet.engine_names:
                await fleet.switch(name, truncate=3)
            return await fleet.ask(CHAT_PATH, request)

        versions = {"m1": "v1", "m2": "v2"}
        answer = run_fleet(scenario, engines=2, resumes=True, versions=versions)
        assert answer.body.count(b'"content"') == 3
        last = answer.body.rsplit(b"event: error\ndata: ", 1)[1]
        assert msgspec.json.decode(last)["outcome"] == "failed"

    def test_a_resumed_run_is_not_replayed_as_the_complete_answer(self):
        """Guards against a replay that contains only the end of an answer.

        The first stream was resumed at another engine after a fault.  That engine's
        sidecar stores only the end of the answer, under the same key.
        """

        async def scenario(fleet):
            request = QUESTION | {"stream": True}
            complete = await fleet.ask(CHAT_PATH, request)
            for name in fleet.engine_names:
                await fleet.switch(name, truncate=3)
            continued = await fleet.ask(CHAT_PATH, request, idempotency_key="b")
            for name in fleet.engine_names:
                await fleet.switch(name, truncate=0)
            again = await fleet.ask(CHAT_PATH, request, idempotency_key="b")
            return complete, continued, again

        complete, continued, again = run_fleet(scenario, engines=2, resumes=True)
        assert texts_of(continued.body) == texts_of(complete.body)
        assert texts_of(again.body) == texts_of(complete.body)

    def test_an_interrupted_replay_is_not_restarted(self):
        """Guards against an answer whose beginning is sent twice.

        A retry replays the run of the first request, which is still running.  When that
        run is interrupted, another run from the start would repeat what was sent.
        """

        async def scenario(fleet):
            await fleet.switch("m1", slow=20.0, truncate=6, can_resume=False)
            request = QUESTION | {"stream": True}
            body = msgspec.json.encode(request)
            key = {"idempotency-key": "k"}
            stream = fleet.client.stream("POST", CHAT_PATH, body=body, headers=key)
            async with stream as answer:
                async for _ in answer.chunks():
                    break
            return await fleet.ask(CHAT_PATH, request, idempotency_key="k")

        body = run_fleet(scenario).body
        tokens, error = body.split(b"event: error", 1)
        texts = texts_of(tokens)
        assert 0 < len(texts) <= 6
        assert len(set(texts)) == len(texts)
        assert b"[DONE]" not in body

    def test_a_truncated_answer_without_a_stream_is_run_again(self):
        async def scenario(fleet):
            await fleet.switch("m1", truncate=3)
            return await fleet.ask(CHAT_PATH, QUESTION)

        response = run_fleet(scenario, engines=2)
        assert response.status == 200
        assert len(texts_of_body(response.body)) == 8


class TestLeavingCallers:
    def test_work_of_a_caller_that_left_is_cancelled(self):
        """Guards against engines that are busy with answers nobody waits for.

        A run without a key cannot be replayed, so it is cancelled when its caller
        leaves, and only the tokens spent until then are charged.
        """

        async def scenario(fleet):
            await fleet.switch("m1", slow=50.0)
            request = QUESTION | {"stream": True, "max_tokens": 1000}
            body = msgspec.json.encode(request)
            async with fleet.client.stream("POST", CHAT_PATH, body=body) as answer:
                async for _ in answer.chunks():
                    break
            await until(lambda: not fleet.router.settlement.open_runs)
            await until(lambda: not fleet.row(CHAT).reserved)
            return await fleet.receipts()

        (receipt,) = run_fleet(scenario)
        assert 0 < receipt.tokens < 1000
        assert receipt.billable


class TestFilings:
    def test_a_repeated_key_is_filed_once(self):
        async def scenario(fleet):
            first = await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            again = await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            return first, again, await fleet.runs("c1")

        first, again, runs = run_fleet(scenario)
        assert first.status == 200
        assert first.body == again.body
        assert runs == 1

    @pytest.mark.parametrize("cause", ["retired_profile", "stopping"])
    def test_the_retry_of_a_filing_that_ran_is_never_refused_as_not_run(self, cause):
        """Guards against `not_run` for a filing that ran, and so against a second one.

        The retry arrives during a planned stop of the router, or after the profile was
        retired, and is refused before its intent is read.
        """

        async def scenario(fleet):
            await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            if cause == "stopping":
                fleet.router.gateway.stop_plan = StopPlan.starting(
                    monotonic(), seconds=60.0, accepting_seconds=0.0
                )
            else:
                await fleet.retire(FILING)
            named = await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            return named, await fleet.ask(FILING_PATH, {"claim": 8})

        named, unnamed = run_fleet(scenario)
        assert problem_of(named)["reason"] == cause
        assert problem_of(named)["outcome"] == "unknown"
        assert problem_of(unnamed)["outcome"] == "not_run"

    def test_a_streamed_request_that_must_not_repeat_gets_a_complete_answer(self):
        async def scenario(fleet):
            request = QUESTION | {"stream": True, "model": FILING.name}
            return await fleet.ask(CHAT_PATH, request, idempotency_key="c")

        response = run_fleet(scenario, filing_back_end="assistant")
        assert response.status == 200
        assert response.body.endswith(b"data: [DONE]\n\n")

    def test_one_key_with_two_bodies_is_refused(self):
        async def scenario(fleet):
            await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            return await fleet.ask(FILING_PATH, {"claim": 8}, idempotency_key="c")

        response = run_fleet(scenario)
        assert (response.status, problem_of(response)["outcome"]) == (422, "not_run")

    def test_without_the_platform_a_new_filing_is_refused_at_once(self):
        """Guards against a filing that waits until its timeout during an outage.

        Without the platform no intent can be written, so nothing may run.  The caller
        is refused at once, with the delay before a retry.
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


class TestSealedRouter:
    def test_a_reservation_of_a_sealed_incarnation_is_not_sent_under_the_next(self):
        """Guards against a budget overspent by requests open during a seal.

        The router reserves tokens, is sealed, and continues under a new incarnation.
        The run would count for the new incarnation, which did not reserve its tokens.
        """

        async def scenario(fleet):
            keeper = fleet.router.budgeting.keeper
            reserve, reserved = keeper.reserve, []

            async def reserve_and_seal(*arguments):
                reserved.append(await reserve(*arguments))
                if len(reserved) == 1:
                    await fleet.top_up(CHAT, 10 * PREPAID_TOKENS)
                    await keeper._sealed_incarnations.put(keeper.incarnation)
                    before = keeper.incarnation
                    await until(lambda: keeper.incarnation != before)
                return reserved[-1]

            keeper.reserve = reserve_and_seal
            response = await fleet.ask(CHAT_PATH, QUESTION)
            return response, reserved, await fleet.receipts()

        response, reserved, receipts = run_fleet(scenario)
        assert response.status == 200
        assert len(reserved) == 2
        assert [receipt.router for receipt in receipts] == [reserved[1].router]


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
    def test_bad_input_is_refused_and_not_billed(self, path, body, status, reason):
        async def scenario(fleet):
            return await fleet.ask(path, body), await fleet.receipts()

        response, receipts = run_fleet(scenario)
        assert (response.status, problem_of(response)["reason"]) == (status, reason)
        assert receipts == []

    def test_a_request_beyond_the_budget_is_not_run(self):
        async def scenario(fleet):
            content = "x" * 20_000
            body = QUESTION | {"messages": [{"role": "user", "content": content}]}
            return await fleet.ask(CHAT_PATH, body)

        response = run_fleet(scenario)
        assert response.status == 402
        assert problem_of(response)["outcome"] == "not_run"
