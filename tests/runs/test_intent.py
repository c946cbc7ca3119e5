"""Decisions of a retry, as tables; filings drive them in the machine's tests."""

import pytest
from msgspec.structs import replace

from ragwortkeel.messages import RefusalReason, RunState
from ragwortkeel.runs import intent as intents
from ragwortkeel.runs.filing import Filing, ReadIntent, WriteNotRun
from ragwortkeel.runs.intent import (
    MAX_STORED_ANSWER_BYTES,
    MAX_WRITE_ATTEMPTS,
    SIDECAR_UNREACHABLE,
    AskSidecar,
    Create,
    DispatchRun,
    Intent,
    IntentUnreadable,
    Outcome,
    Refuse,
    ResumeRun,
    ReturnOutcome,
    StoredIntent,
    TakeOver,
    Verdict,
    WriteResult,
)

WANTED = Intent(
    profile="claims",
    request_id="k",
    fingerprint="f",
    nonce="mine",
    sidecar="s1-b",
    upstream="u1",
    router="a",
)
THEIRS = replace(WANTED, nonce="theirs", sidecar="s2-a")


def held(outcome=None, **changes):
    return StoredIntent(intent=replace(THEIRS, outcome=outcome, **changes), version=7)


class TestAfterRead:
    @pytest.mark.parametrize(
        ("found", "step"),
        [
            (None, Create),
            (held(fingerprint="other"), Refuse),
            (held(nonce="mine"), DispatchRun),
            (held(), AskSidecar),
            (held(Outcome(verdict=Verdict.ANSWERED)), ReturnOutcome),
            (held(Outcome(verdict=Verdict.RAN)), Refuse),
            (held(Outcome(verdict=Verdict.NOT_RUN)), TakeOver),
            (held(Outcome(verdict=Verdict.UNRESOLVED, reason="crashed")), Refuse),
            (
                held(Outcome(verdict=Verdict.UNRESOLVED, reason=SIDECAR_UNREACHABLE)),
                AskSidecar,
            ),
        ],
    )
    def test_each_state_has_one_step(self, found, step):
        assert isinstance(intents.after_read(WANTED, found), step)

    def test_reused_key_is_a_clear_client_error(self):
        refuse = intents.after_read(WANTED, held(fingerprint="other"))
        assert (refuse.status, refuse.reason) == (422, "key_reused")


class TestAfterTombstone:
    @pytest.mark.parametrize(
        ("state", "step"),
        [
            (RunState.RUNNING, ResumeRun),
            (RunState.FINISHED, ResumeRun),
            (RunState.TOMBSTONED, TakeOver),
            (RunState.FAILED, Refuse),
            (RunState.UNSEEN, Refuse),
            (None, Refuse),
        ],
    )
    def test_only_a_promise_lets_a_retry_run(self, state, step):
        decision = intents.after_tombstone(WANTED, held(), state)
        assert isinstance(decision, step)
        if step is Refuse:
            assert decision.outcome == "unknown"
            assert decision.list_for_operators
        if step is TakeOver:
            assert decision.version == 7


class TestWithoutPlatform:
    @pytest.mark.parametrize(
        ("first", "outcome"), [(True, "not_run"), (False, "unknown")]
    )
    def test_not_run_only_where_nothing_can_have_run(self, first, outcome):
        """A filing ran, its router died, and the retry meets an outage.

        Told `not_run`, the clerk would file by hand, and the claim is in twice.
        """
        filing = Filing(wanted=WANTED, first=first)
        filing.on_unreadable()
        assert filing.step.outcome == outcome


class TestWrites:
    @pytest.mark.parametrize(
        ("result", "step"),
        [
            (WriteResult.WRITTEN, DispatchRun),
            (WriteResult.CONFLICT, ReadIntent),
            (WriteResult.OPEN, ReadIntent),
            (WriteResult.UNAVAILABLE, Refuse),
        ],
    )
    def test_only_a_write_that_took_effect_dispatches(self, result, step):
        filing = Filing(wanted=WANTED, first=False)
        filing.on_read(None)
        filing.on_write(result, 8)
        assert isinstance(filing.step, step)

    def test_lost_races_end(self):
        filing = Filing(wanted=WANTED, first=False)
        for _ in range(MAX_WRITE_ATTEMPTS):
            filing.on_read(None)
            filing.on_write(WriteResult.CONFLICT)
        assert filing.step.reason == "contended"


class TestRefusals:
    def sent(self, *, sends=1, first=False):
        filing = Filing(wanted=WANTED, first=first)
        filing.on_read(None)
        filing.on_write(WriteResult.WRITTEN, 8)
        for _ in range(sends):
            filing.on_sent()
        return filing

    @pytest.mark.parametrize(
        ("result", "outcome"),
        [(WriteResult.WRITTEN, "not_run"), (WriteResult.UNAVAILABLE, "unknown")],
    )
    def test_not_run_is_written_before_it_is_said(self, result, outcome):
        filing = self.sent()
        filing.on_refused(RefusalReason.DRAINING, None)
        assert isinstance(filing.step, WriteNotRun)
        assert filing.step.intent.outcome.verdict is Verdict.NOT_RUN
        filing.on_release(result)
        assert filing.step.outcome == outcome

    def test_refusal_can_move_the_filing_elsewhere(self):
        filing = self.sent()
        other = replace(WANTED, nonce="other", sidecar="s2-a")
        filing.on_refused(RefusalReason.DRAINING, other)
        assert filing.step == TakeOver(intent=other, version=8)

    def test_second_copy_refused_by_a_successor_proves_nothing(self):
        """A filing runs, its sidecar restarts, the router sends it once more.

        The successor refuses it as meant for another incarnation, and the
        caller was told `not_run` of a claim that had been filed.
        """
        filing = self.sent(sends=2, first=True)
        filing.on_refused(RefusalReason.WRONG_INCARNATION, None)
        assert filing.step.outcome == "unknown"

    def test_first_attempt_that_was_lost_is_not_sure_any_more(self):
        """A filing ran, its outcome is durable, its sidecar has let go of it.

        Its router, which heard nothing, gets the promise that it never runs and
        finds the platform gone; `not_run` would be a lie.
        """
        filing = self.sent(first=True)
        filing.on_disconnected(replace(WANTED, nonce="other"))
        filing.on_tombstone(RunState.TOMBSTONED)
        assert filing.step.version == 8
        filing.on_write(WriteResult.UNAVAILABLE)
        assert filing.step.outcome == "unknown"

    @pytest.mark.parametrize(("sends", "outcome"), [(1, "not_run"), (2, "unknown")])
    def test_refusal_of_a_second_copy_is_not_sure_without_the_platform(
        self, sends, outcome
    ):
        filing = self.sent(sends=sends, first=True)
        filing.on_refused(RefusalReason.STALE_EPOCH, None)
        filing.on_release(WriteResult.UNAVAILABLE)
        assert filing.step.outcome == outcome


class TestStoredForm:
    def test_round_trip_and_garbage(self):
        assert intents.decode(intents.encode(THEIRS)) == THEIRS
        with pytest.raises(IntentUnreadable):
            intents.decode(b"{}")

    def test_large_answer_is_left_out_but_not_the_fact(self):
        body = b"x" * (MAX_STORED_ANSWER_BYTES + 1)
        done = intents.with_outcome(
            THEIRS, Outcome(verdict=Verdict.ANSWERED, body=body, tokens=3)
        )
        assert (done.outcome.verdict, done.outcome.tokens) == (Verdict.RAN, 3)

    @pytest.mark.parametrize("key", ["k", "../x y/é", "k" * 5_000])
    def test_any_key_makes_a_legal_name(self, key):
        name = intents.object_name("claims", key)
        assert name.startswith("claims.")
        assert len(name) == len("claims.") + 64
