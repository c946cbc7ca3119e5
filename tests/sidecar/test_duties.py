"""When the sidecar writes what routers have not, and how it waits out an outage."""

from random import Random

import pytest
from sidecar_setup import dispatch

from ragwortkeel.messages import FailureReason, OutcomeDurable, ReceiptsDurable
from ragwortkeel.runs.intent import Verdict
from ragwortkeel.sidecar.admission import Admission
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.duties import (
    MAX_RETRY_SECONDS,
    OUTCOME_GRACE_SECONDS,
    RECEIPT_GRACE_SECONDS,
    STOPPING_RETRY_SECONDS,
    next_job,
    retry_pause,
)
from ragwortkeel.sidecar.effects import (
    AnswerBegun,
    AnswerEnded,
    AnswerPiece,
    RunBroken,
)
from ragwortkeel.sidecar.recorder import WriteOutcome, WriteReceipts


def core_after(end, *, idempotent=False):
    """Return a core whose one run ended at time 0."""
    core = SidecarCore(incarnation="s1-a", admission=Admission(upstream="u1"))
    core.admission.admitted = True
    core.on_message("p", "a", dispatch(idempotent=idempotent), 0.0)
    core.on_upstream(AnswerBegun(nonce="n1", status=200, content_type="t"), 0.0)
    core.on_upstream(AnswerPiece(nonce="n1", data=b"ok", tokens=3), 0.0)
    core.on_upstream(end, 0.0)
    return core


ENDED = AnswerEnded(nonce="n1", tokens=3)
BROKEN = RunBroken(nonce="n1", reason=FailureReason.CRASHED, tokens=3)


class TestWhatIsDue:
    def test_routers_get_time_to_write_themselves(self):
        core = core_after(ENDED)
        assert next_job(core, OUTCOME_GRACE_SECONDS - 0.1) is None
        assert isinstance(next_job(core, OUTCOME_GRACE_SECONDS), WriteOutcome)
        core.on_message("p", "a", OutcomeDurable(nonces=("n1",)), 0.0)
        assert next_job(core, RECEIPT_GRACE_SECONDS - 0.1) is None
        job = next_job(core, RECEIPT_GRACE_SECONDS)
        assert isinstance(job, WriteReceipts)
        core.on_message("p", "a", ReceiptsDurable(nonces=("n1",)), 0.0)
        assert next_job(core, 1e9) is None

    def test_stopping_sidecar_owes_everything_at_once(self):
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
    def test_outcome_tells_what_is_known(self, end, lost, verdict):
        core = core_after(end)
        if lost:
            core.outlet.answers.remove("n1")
        assert next_job(core, 1e9).outcome.verdict is verdict


class TestPauses:
    def test_platform_that_comes_back_is_not_met_by_all_at_once(self):
        """An outage ends; every sidecar has receipts that waited.

        Were they to try every tick, 10,000 sidecars would write 40,000 times a
        second to a platform that takes several hundred, and keep it down.
        """
        random = Random(7)
        pauses = [retry_pause(9, stopping=False, random=random) for _ in range(1000)]
        assert min(pauses) >= MAX_RETRY_SECONDS / 2
        assert max(pauses) <= MAX_RETRY_SECONDS
        tenths = {int(pause * 10) for pause in pauses}
        assert len(tenths) > 200

    def test_first_retries_come_soon_and_a_stop_does_not_wait(self):
        random = Random(7)
        assert retry_pause(1, stopping=False, random=random) <= 4.0
        pause = retry_pause(10**6, stopping=True, random=random)
        assert pause <= STOPPING_RETRY_SECONDS
