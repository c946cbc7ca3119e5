"""Decisions of a retry, as tables; the state machine's tests run whole filings."""

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

OWN = Intent(
    profile="claims",
    request_id="k",
    fingerprint="f",
    nonce="mine",
    sidecar="s1-b",
    upstream="u1",
    router="a",
)
OTHER = replace(OWN, nonce="theirs", sidecar="s2-a")


def stored(outcome=None, **changes):
    return StoredIntent(intent=replace(OTHER, outcome=outcome, **changes), version=7)


class TestAfterRead:
    @pytest.mark.parametrize(
        ("found", "step"),
        [
            (None, Create),
            (stored(fingerprint="other"), Refuse),
            (stored(nonce="mine"), DispatchRun),
            (stored(), AskSidecar),
            (stored(Outcome(verdict=Verdict.ANSWERED)), ReturnOutcome),
            (stored(Outcome(verdict=Verdict.RAN)), Refuse),
            (stored(Outcome(verdict=Verdict.NOT_RUN)), TakeOver),
            (stored(Outcome(verdict=Verdict.UNRESOLVED, reason="crashed")), Refuse),
            (
                stored(Outcome(verdict=Verdict.UNRESOLVED, reason=SIDECAR_UNREACHABLE)),
                AskSidecar,
            ),
        ],
    )
    def test_step_by_state(self, found, step):
        assert isinstance(intents.after_read(OWN, found), step)

    def test_reused_key_is_a_client_error(self):
        refuse = intents.after_read(OWN, stored(fingerprint="other"))
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
    def test_only_a_tombstone_allows_a_retry(self, state, step):
        decision = intents.after_tombstone(OWN, stored(), state)
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
    def test_not_run_only_for_first_attempt(self, first, outcome):
        """Guards against `not_run` for a request that ran.

        The request ran, its router crashed, and the retry coincides with an outage.
        After `not_run` the caller would repeat the request.
        """
        filing = Filing(wanted=OWN, first=first)
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
    def test_only_a_successful_write_dispatches(self, result, step):
        filing = Filing(wanted=OWN, first=False)
        filing.on_read(None)
        filing.on_write(result, 8)
        assert isinstance(filing.step, step)

    def test_conflicts_are_bounded(self):
        filing = Filing(wanted=OWN, first=False)
        for _ in range(MAX_WRITE_ATTEMPTS):
            filing.on_read(None)
            filing.on_write(WriteResult.CONFLICT)
        assert filing.step.reason == "contended"


class TestRefusals:
    def sent(self, *, sends=1, first=False):
        filing = Filing(wanted=OWN, first=first)
        filing.on_read(None)
        filing.on_write(WriteResult.WRITTEN, 8)
        for _ in range(sends):
            filing.on_sent()
        return filing

    @pytest.mark.parametrize(
        ("result", "outcome"),
        [(WriteResult.WRITTEN, "not_run"), (WriteResult.UNAVAILABLE, "unknown")],
    )
    def test_not_run_is_written_before_it_is_returned(self, result, outcome):
        filing = self.sent()
        filing.on_refused(RefusalReason.DRAINING, None)
        assert isinstance(filing.step, WriteNotRun)
        assert filing.step.intent.outcome.verdict is Verdict.NOT_RUN
        filing.on_release(result)
        assert filing.step.outcome == outcome

    def test_refusal_can_move_to_another_sidecar(self):
        filing = self.sent()
        other = replace(OWN, nonce="other", sidecar="s2-a")
        filing.on_refused(RefusalReason.DRAINING, other)
        assert filing.step == TakeOver(intent=other, version=8)

    def test_second_copy_refused_by_new_incarnation_is_unknown(self):
        """Guards against `not_run` for a request that ran before its sidecar restarted.

        The router sends the dispatch again, and the new incarnation refuses it as meant
        for another one.
        """
        filing = self.sent(sends=2, first=True)
        filing.on_refused(RefusalReason.WRONG_INCARNATION, None)
        assert filing.step.outcome == "unknown"

    def test_disconnected_first_attempt_is_unknown(self):
        """Guards against `not_run` for a request with a durable outcome.

        Its sidecar has discarded the run, so its router, which received no answer, gets
        the promise that it never runs, and finds the platform unavailable.
        """
        filing = self.sent(first=True)
        filing.on_disconnected(replace(OWN, nonce="other"))
        filing.on_tombstone(RunState.TOMBSTONED)
        assert filing.step.version == 8
        filing.on_write(WriteResult.UNAVAILABLE)
        assert filing.step.outcome == "unknown"

    @pytest.mark.parametrize(("sends", "outcome"), [(1, "not_run"), (2, "unknown")])
    def test_refused_second_copy_is_unknown_without_platform(self, sends, outcome):
        filing = self.sent(sends=sends, first=True)
        filing.on_refused(RefusalReason.STALE_EPOCH, None)
        filing.on_release(WriteResult.UNAVAILABLE)
        assert filing.step.outcome == outcome


class TestStoredForm:
    def test_round_trip_and_garbage(self):
        assert intents.decode(intents.encode(OTHER)) == OTHER
        with pytest.raises(IntentUnreadable):
            intents.decode(b"{}")

    def test_large_answer_is_left_out(self):
        body = b"x" * (MAX_STORED_ANSWER_BYTES + 1)
        done = intents.with_outcome(
            OTHER, Outcome(verdict=Verdict.ANSWERED, body=body, tokens=3)
        )
        assert (done.outcome.verdict, done.outcome.tokens) == (Verdict.RAN, 3)

    @pytest.mark.parametrize("key", ["k", "../x y/é", "k" * 5_000])
    def test_any_key_makes_a_legal_name(self, key):
        name = intents.object_name("claims", key)
        assert name.startswith("claims.")
        assert len(name) == len("claims.") + 64
