"""What a sidecar owes the platform, and when it sees to it itself.

Routers write receipts and outcomes.  A router that died or was cut off writes
neither, so what stays open for a while is written from here; both writes are
harmless when they are made twice.
"""

from ragwortkeel.messages import Failed, Finished
from ragwortkeel.runs.intent import Outcome, Verdict
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.recorder import (
    MAX_SEGMENT_RECEIPTS,
    RecorderJob,
    WriteOutcome,
    WriteReceipts,
)

RECEIPT_GRACE_SECONDS = 30.0
"""Routers write receipts in batches every few seconds; later ones are stuck."""

OUTCOME_GRACE_SECONDS = 5.0
"""A router writes an outcome at once; a retry may come soon after its death."""


def next_job(core: SidecarCore, now: float) -> RecorderJob | None:
    """Return the most urgent write that is due, None where nothing is.

    A sidecar that is stopping owes everything at once.
    """
    hurry = core.admission.stopping
    outcome_grace = 0.0 if hurry else OUTCOME_GRACE_SECONDS
    for run in core.journal.undecided_before(now - outcome_grace):
        return WriteOutcome(run=run, outcome=outcome_of(core, run.nonce))
    receipt_grace = 0.0 if hurry else RECEIPT_GRACE_SECONDS
    receipts = core.journal.receipts_before(now - receipt_grace, MAX_SEGMENT_RECEIPTS)
    return WriteReceipts(receipts=receipts) if receipts else None


def outcome_of(core: SidecarCore, nonce: str) -> Outcome:
    """Return what an intent should say of an ended run.

    A run that broke off may have taken effect, so it waits for an operator.
    """
    ended = core.outlet.ended(nonce)
    answer = core.outlet.answers.get(nonce)
    match ended:
        case Failed(reason=reason, tokens=tokens):
            return Outcome(verdict=Verdict.UNRESOLVED, reason=reason, tokens=tokens)
        case Finished(tokens=tokens) if answer is not None:
            return Outcome(
                verdict=Verdict.ANSWERED,
                status=ended.status,
                content_type=ended.content_type,
                body=bytes(answer.data),
                tokens=tokens,
            )
    return Outcome(verdict=Verdict.RAN)
