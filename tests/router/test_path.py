"""The whole path in one kernel: caller, router, sidecar, upstream and back."""

import msgspec
import pytest

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
    events = [e.removeprefix(b"data: ") for e in stream.split(b"\n\n") if e]
    frames = [msgspec.json.decode(e) for e in events if e != b"[DONE]"]
    deltas = [frame["choices"][0]["delta"] for frame in frames]
    return [delta["content"] for delta in deltas if "content" in delta]


def texts_of_whole(body):
    text = msgspec.json.decode(body)["choices"][0]["message"]["content"]
    return text.split()


class TestAnswers:
    def test_a_whole_answer_is_billed_what_it_cost(self):
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

    def test_one_key_with_two_questions_gets_no_answer_of_the_first(self):
        async def scenario(fleet):
            other = QUESTION | {"max_tokens": 5}
            await fleet.ask(CHAT_PATH, QUESTION, idempotency_key="k")
            return await fleet.ask(CHAT_PATH, other, idempotency_key="k")

        response = run_fleet(scenario)
        assert problem_of(response)["reason"] == "key_reused"

    def test_a_retry_replays_and_is_not_billed_again(self):
        """A caller's connection breaks; it sends the request again.

        The first run had ended, so the answer is replayed from the sidecar, the
        same bytes, and the bill shows the request once.
        """

        async def scenario(fleet):
            asked = QUESTION | {"stream": True}
            first = await fleet.ask(CHAT_PATH, asked, idempotency_key="k")
            again = await fleet.ask(CHAT_PATH, asked, idempotency_key="k")
            return first, again, await fleet.receipts()

        first, again, receipts = run_fleet(scenario)
        assert first.body == again.body
        assert len(receipts) == 1


class TestBrokenAnswers:
    def test_a_truncated_stream_is_never_shown_as_whole(self):
        """A farmer reads half an answer and takes it for all of it.

        The engine closed its stream early, as if it were whole.  It cannot go
        on from there, so the caller gets an explicit error event.
        """

        async def scenario(fleet):
            await fleet.switch("m1", truncate=3)
            return await fleet.ask(CHAT_PATH, QUESTION | {"stream": True})

        body = run_fleet(scenario).body
        assert body.count(b'"content"') == 3
        assert b"[DONE]" not in body
        last = body.rsplit(b"event: error\ndata: ", 1)[1]
        assert msgspec.json.decode(last)["outcome"] == "failed"

    def test_a_stream_goes_on_elsewhere_from_the_tokens_already_sent(self):
        """The same fault where the engines can go on from a given token.

        Another engine continues, and the caller sees one whole answer, the same
        as without the fault.
        """

        async def scenario(fleet):
            asked = QUESTION | {"stream": True}
            whole = await fleet.ask(CHAT_PATH, asked, idempotency_key="a")
            ran_at = [n for n in fleet.engine_names if await fleet.runs(n)]
            await fleet.switch(ran_at[0], truncate=3)
            return whole, await fleet.ask(CHAT_PATH, asked, idempotency_key="b")

        whole, resumed = run_fleet(scenario, engines=2, resumes=True)
        assert texts_of(resumed.body) == texts_of(whole.body)
        assert resumed.body.endswith(b"data: [DONE]\n\n")

    def test_the_end_of_a_continued_stream_is_not_replayed_as_the_whole(self):
        """A paralegal's retry shows only the last sentences of a summary.

        The first stream had gone on at another engine after a fault; that
        engine's sidecar holds only the end of the answer, under the same key.
        """

        async def scenario(fleet):
            asked = QUESTION | {"stream": True}
            whole = await fleet.ask(CHAT_PATH, asked)
            for name in fleet.engine_names:
                await fleet.switch(name, truncate=3)
            continued = await fleet.ask(CHAT_PATH, asked, idempotency_key="b")
            for name in fleet.engine_names:
                await fleet.switch(name, truncate=0)
            again = await fleet.ask(CHAT_PATH, asked, idempotency_key="b")
            return whole, continued, again

        whole, continued, again = run_fleet(scenario, engines=2, resumes=True)
        assert texts_of(continued.body) == texts_of(whole.body)
        assert texts_of(again.body) == texts_of(whole.body)

    def test_a_replay_that_breaks_off_is_not_begun_again(self):
        """A farmer on the phone hears the first sentences of an answer twice.

        A retry read along with the run of its first copy; that run broke off,
        and the request was run again from the start behind what was sent.
        """

        async def scenario(fleet):
            await fleet.switch("m1", slow=20.0, truncate=6, can_resume=False)
            asked = QUESTION | {"stream": True}
            body = msgspec.json.encode(asked)
            key = {"idempotency-key": "k"}
            stream = fleet.client.stream("POST", CHAT_PATH, body=body, headers=key)
            async with stream as answer:
                async for _ in answer.pieces():
                    break
            return await fleet.ask(CHAT_PATH, asked, idempotency_key="k")

        body = run_fleet(scenario).body
        tokens, error = body.split(b"event: error", 1)
        texts = texts_of(tokens)
        assert 0 < len(texts) <= 6
        assert len(set(texts)) == len(texts)
        assert b"[DONE]" not in body

    def test_a_truncated_whole_answer_is_run_again(self):
        async def scenario(fleet):
            await fleet.switch("m1", truncate=3)
            return await fleet.ask(CHAT_PATH, QUESTION)

        response = run_fleet(scenario, engines=2)
        assert response.status == 200
        assert len(texts_of_whole(response.body)) == 8


class TestLeavingCallers:
    def test_work_of_a_caller_that_left_is_cancelled(self):
        """Callers give up under load and their work goes on to fill the engines.

        Nobody can come back for an answer without a key, so its run is stopped
        and charged only for the tokens that it took.
        """

        async def scenario(fleet):
            await fleet.switch("m1", slow=50.0)
            asked = QUESTION | {"stream": True, "max_tokens": 1000}
            body = msgspec.json.encode(asked)
            async with fleet.client.stream("POST", CHAT_PATH, body=body) as answer:
                async for _ in answer.pieces():
                    break
            await until(lambda: not fleet.router.settlement.open_runs)
            await until(lambda: not fleet.row(CHAT).reserved)
            return await fleet.receipts()

        (receipt,) = run_fleet(scenario)
        assert 0 < receipt.tokens < 1000
        assert receipt.billable


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

    @pytest.mark.parametrize("cause", ["retired_profile", "stopping"])
    def test_the_retry_of_a_filing_that_ran_is_never_told_not_run(self, cause):
        """A farmer is audited: the clerk was told `not_run` and filed anew.

        The filing had run; its retry met a router in a planned stop, or a
        profile retired since, and was turned away without a look at its intent.
        """

        async def scenario(fleet):
            await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            if cause == "stopping":
                fleet.router.gateway.stopping = True
            else:
                await fleet.retire(FILING)
            named = await fleet.ask(FILING_PATH, {"claim": 7}, idempotency_key="c")
            return named, await fleet.ask(FILING_PATH, {"claim": 8})

        named, unnamed = run_fleet(scenario)
        assert problem_of(named)["reason"] == cause
        assert problem_of(named)["outcome"] == "unknown"
        assert problem_of(unnamed)["outcome"] == "not_run"

    def test_a_streamed_question_that_must_not_repeat_is_answered_whole(self):
        async def scenario(fleet):
            asked = QUESTION | {"stream": True, "model": FILING.name}
            return await fleet.ask(CHAT_PATH, asked, idempotency_key="c")

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


class TestSealedRouter:
    def test_tokens_reserved_under_a_sealed_name_are_not_sent_under_the_next(self):
        """A budget is overspent by what was in the router when it was sealed.

        The router had set tokens aside, was found sealed, and went on under a
        new incarnation; the run then counted for the new one, which had never
        set its tokens aside.
        """

        async def scenario(fleet):
            keeper = fleet.router.budgeting.keeper
            reserve, reserved = keeper.reserve, []

            async def sealed_meanwhile(*asked):
                reserved.append(await reserve(*asked))
                if len(reserved) == 1:
                    await fleet.top_up(CHAT, 10 * PREPAID_TOKENS)
                    await keeper._sealed.put(keeper.incarnation)
                    before = keeper.incarnation
                    await until(lambda: keeper.incarnation != before)
                return reserved[-1]

            keeper.reserve = sealed_meanwhile
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
    def test_bad_input_is_told_and_billed_nothing(self, path, body, status, reason):
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
