"""Writes of the recorder, also when they are repeated, raced or lost."""

import curio
import pytest
from msgspec.structs import replace
from sidecar_setup import run

from ragwortkeel.budget.receipt import decode_segment
from ragwortkeel.configuration import INTENTS, RECEIPTS
from ragwortkeel.messages import OutcomeDurable, ReceiptsDurable, RunReceipt
from ragwortkeel.runs import intent as intents
from ragwortkeel.runs.intent import SIDECAR_UNREACHABLE, Intent, Outcome, Verdict
from ragwortkeel.runs.journal import Run
from ragwortkeel.sidecar.recorder import (
    Recorder,
    WriteFailed,
    WriteOutcome,
    WriteReceipts,
)
from ragwortkeel.standins.local_platform import LocalPlatform

INTENT = Intent(
    profile="claims",
    request_id="k",
    fingerprint="f",
    nonce="n",
    sidecar="s1-a",
    upstream="u1",
    router="a",
)
NAME = intents.object_name("claims", "k")
RAN = Run(
    nonce="n",
    router="a",
    profile="claims",
    request_id="k",
    reservation=1,
    idempotent=False,
)
ANSWERED = Outcome(verdict=Verdict.ANSWERED, status=200, body=b"ok", tokens=1)
RECEIPT = RunReceipt(
    profile="claims", request_id="k", nonce="n", router="a", sidecar="s1-a", tokens=1
)


async def execute(platform, job):
    inbox = curio.Queue()
    recorder = Recorder(platform=platform, sidecar="s1-a", inbox=inbox)
    task = await curio.spawn(recorder.run, daemon=True)
    await recorder.jobs.put(job)
    rv = await inbox.get()
    await task.cancel()
    return rv


def outcome_after(found, *, down=False, lost=0):
    """Return the recorder's reply and the verdict then stored at the platform."""

    async def main():
        platform = LocalPlatform()
        if found is not None:
            await platform.create(INTENTS, NAME, intents.encode(found))
        platform.switches.down, platform.switches.lost_answers = down, lost
        reply = await execute(platform, WriteOutcome(run=RAN, outcome=ANSWERED))
        if lost:
            reply = await execute(platform, WriteOutcome(run=RAN, outcome=ANSWERED))
        platform.switches.down = False
        stored = await platform.get(INTENTS, NAME)
        outcome = stored and intents.decode(stored.value).outcome
        return type(reply), outcome and outcome.verdict

    return run(main)


def listed(reason):
    outcome = Outcome(verdict=Verdict.UNRESOLVED, reason=reason)
    return replace(INTENT, outcome=outcome)


class TestOutcomes:
    @pytest.mark.parametrize(
        ("found", "faults", "reply", "verdict"),
        [
            (INTENT, {}, OutcomeDurable, Verdict.ANSWERED),
            (INTENT, {"lost": 1}, OutcomeDurable, Verdict.ANSWERED),
            (INTENT, {"down": True}, WriteFailed, None),
            (listed(SIDECAR_UNREACHABLE), {}, OutcomeDurable, Verdict.ANSWERED),
            (listed("crashed"), {}, OutcomeDurable, Verdict.UNRESOLVED),
            (replace(INTENT, nonce="other"), {}, OutcomeDurable, None),
            (None, {}, OutcomeDurable, None),
        ],
    )
    def test_outcome_is_written_only_over_its_own_intent(
        self, found, faults, reply, verdict
    ):
        assert outcome_after(found, **faults) == (reply, verdict)


class TestReceipts:
    def test_segment_written_twice_is_stored_once(self):
        async def main():
            platform = LocalPlatform()
            job = WriteReceipts(receipts=(RECEIPT,))
            platform.switches.lost_answers = 1
            replies = [await execute(platform, job) for _ in range(3)]
            return replies, (await platform.list(RECEIPTS)).by_name

        replies, segments = run(main)
        assert [type(r) for r in replies] == [WriteFailed] + [ReceiptsDurable] * 2
        assert replies[-1].nonces == ("n",)
        (stored,) = segments.values()
        assert decode_segment(stored.value).receipts == (RECEIPT,)
