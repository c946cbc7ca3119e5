"""Overdue writes of receipts and outcomes, and the backoff during an outage."""

from random import Random

import pytest
from sidecar_setup import dispatch

from ragwortkeel.messages import FailureReason, OutcomeDurable, ReceiptsDurable
from ragwortkeel.runs.intent import Verdict
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.effects import (
    AnswerChunk,
    AnswerCompleted,
    AnswerStarted,
    RunBroken,
)
from ragwortkeel.sidecar.overdue_writes import (
    MAX_BACKOFF_SECONDS,
    MAX_STOPPING_BACKOFF_SECONDS,
    OUTCOME_GRACE_SECONDS,
    RECEIPT_GRACE_SECONDS,
    backoff_seconds,
    next_job,
)
from ragwortkeel.sidecar.recorder import WriteOutcome, WriteReceipts


def core_after(end, *, idempotent=False):
    """Return a core whose one run ended at time 0."""
    core = SidecarCore(incarnation="s1-a", admission=Admission(upstream="u1"))
    core.admission.admitted = True
    core.on_message("p", "a", dispatch(idempotent=idempotent), 0.0)
    core.on_upstream(AnswerStarted(nonce="n1", status=200, content_type="t"), 0.0)
    core.on_upstream(AnswerChunk(nonce="n1", data=b"ok", tokens=3), 0.0)
    core.on_upstream(end, 0.0)
    return core


ENDED = AnswerCompleted(nonce="n1", tokens=3)
BROKEN = RunBroken(nonce="n1", reason=FailureReason.CRASHED, tokens=3)


class TestWhatIsDue:
    def test_writes_are_due_only_after_the_grace_period(self):
        core = core_after(ENDED)
        assert next_job(core, OUTCOME_GRACE_SECONDS - 0.1) is None
        assert isinstance(next_job(core, OUTCOME_GRACE_SECONDS), WriteOutcome)
        core.on_message("p", "a", OutcomeDurable(nonces=("n1",)), 0.0)
        assert next_job(core, RECEIPT_GRACE_SECONDS - 0.1) is None
        job = next_job(core, RECEIPT_GRACE_SECONDS)
        assert isinstance(job, WriteReceipts)
        core.on_message("p", "a", ReceiptsDurable(nonces=("n1",)), 0.0)
        assert next_job(core, 1e9) is None

    def test_stopping_sidecar_writes_everything_at_once(self):
        core = core_after(ENDED, idempotent=True)
        core.admission.stopping = True
        assert isinstance(next_job(core, 0.0), WriteReceipts)

    @pytest.mark.parametrize(
        ("end", "lost", "verdict"),
        [
            (ENDED, False, Verdict.ANSWERED),
            (ENDED, True, Verdict.RAN),
            (BROKEN, False, Verdict.UNRESOLVED),
        ],
    )
    def test_outcome_states_the_known_result(self, end, lost, verdict):
        core = core_after(end)
        if lost:
            core.answer_streams.answers.remove("n1")
        assert next_job(core, 1e9).outcome.verdict is verdict


class TestBackoff:
    def test_retries_after_an_outage_are_spread(self):
        """An outage ends while every sidecar has pending receipts.

        If each retried every tick, 10,000 sidecars would make 40,000 writes a
        second at a platform that handles several hundred, and keep it down.
        """
        random = Random(7)
        backoffs = [
            backoff_seconds(9, stopping=False, random=random) for _ in range(1000)
        ]
        assert min(backoffs) >= MAX_BACKOFF_SECONDS / 2
        assert max(backoffs) <= MAX_BACKOFF_SECONDS
        tenths = {int(backoff * 10) for backoff in backoffs}
        assert len(tenths) > 200

    def test_first_backoffs_are_short_and_a_stop_bounds_them(self):
        random = Random(7)
        assert backoff_seconds(1, stopping=False, random=random) <= 4.0
        backoff = backoff_seconds(10**6, stopping=True, random=random)
        assert backoff <= MAX_STOPPING_BACKOFF_SECONDS
