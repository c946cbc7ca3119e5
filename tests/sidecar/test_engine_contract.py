"""The sidecar with the engine stand-in, with one fault switched on at a time."""

import curio
import msgspec
import pytest
from sidecar_setup import Router, dispatch, run, sidecar_beside

from ragwortkeel.httpio import HttpServer
from ragwortkeel.messages import (
    Cancel,
    Chunk,
    Failed,
    FailureReason,
    Finished,
    RefusalReason,
    Refused,
)
from ragwortkeel.standins.engine import Engine
from ragwortkeel.standins.engine_answers import usage_of
from ragwortkeel.standins.engine_batch import BatchSpeed

PROMPT = "answer_tokens=40 diesel"
LIMIT = 50
PROMPT_TOKENS = usage_of(PROMPT, 0).total_tokens
ENDS = (Finished, Failed, Refused)


class EngineUpstream:
    """The engine stand-in with the attributes that `sidecar_beside` expects."""

    def __init__(self, **switches):
        self.engine = Engine(speed=BatchSpeed(token_seconds=0.005))
        values = msgspec.structs.asdict(self.engine.switches) | switches
        self.engine.switches = type(self.engine.switches)(**values)
        self.server = HttpServer(host="127.0.0.1", port=0, handler=self.engine.handle)


def order(**changes):
    fields = {
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": LIMIT,
        "stream": changes.get("stream", True),
    }
    body = msgspec.json.encode(fields)
    return dispatch(body=body, reservation=PROMPT_TOKENS + LIMIT, **changes)


def serve(upstream, *, cancel=False, **changes):
    """Return the messages that a router receives for one run."""

    async def main():
        engine = await curio.spawn(upstream.engine.run, daemon=True)
        async with sidecar_beside(upstream) as (sidecar, *_):
            router = Router(address=sidecar.address)
            await router.open()
            await router.link.send(order(**changes))
            before = []
            if cancel:
                before = await router.until(Chunk)
                await router.link.send(Cancel(nonce="n1"))
            messages = before + await router.until(*ENDS)
        await engine.cancel()
        return messages

    return run(main)


class TestEngine:
    @pytest.mark.parametrize("stream", [True, False])
    def test_complete_answer_costs_the_tokens_reported_by_the_engine(self, stream):
        *_, end = serve(EngineUpstream(), stream=stream)
        assert isinstance(end, Finished)
        assert end.tokens == PROMPT_TOKENS + 40

    @pytest.mark.parametrize(
        ("switches", "reason"),
        [
            ({"truncate": 5}, FailureReason.TRUNCATED),
            ({"ignore_max_tokens": True}, FailureReason.RESERVATION_OUTRUN),
            ({"silent": True}, FailureReason.DEADLINE),
        ],
    )
    def test_faulty_engine_never_yields_a_complete_answer(self, switches, reason):
        *_, end = serve(EngineUpstream(**switches), budget_seconds=2.0)
        assert isinstance(end, Failed)
        assert end.reason == reason
        assert end.tokens <= PROMPT_TOKENS + LIMIT

    def test_cancelled_run_ends_soon_at_its_true_cost(self):
        *_, end = serve(EngineUpstream(), cancel=True)
        assert end.reason == FailureReason.CANCELLED
        assert PROMPT_TOKENS < end.tokens < PROMPT_TOKENS + 40

    def test_engine_refuses_an_older_fencing_number(self):
        """A sidecar is replaced while it still runs, and routers still use it.

        The engine has received the successor's fencing number and refuses; the
        router has to receive a refusal.
        """
        upstream = EngineUpstream(check_fencing=True)
        upstream.engine._highest_fencing_number = 7
        *_, end = serve(upstream)
        assert end.reason is RefusalReason.WRONG_INCARNATION
        assert upstream.engine._executions == {}
