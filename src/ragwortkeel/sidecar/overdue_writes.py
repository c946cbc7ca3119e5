"""Writes of receipts and outcomes that routers have not made in time.

Routers write receipts and outcomes.  A crashed or disconnected router writes
neither, so the sidecar writes what is still open after a grace period.  Both writes
are idempotent.
"""

from random import Random

from ragwortkeel.budget.receipt import MAX_SEGMENT_RECEIPTS
from ragwortkeel.messages import Failed, Finished
from ragwortkeel.runs.intent import Outcome, Verdict
from ragwortkeel.sidecar.core import SidecarCore
from ragwortkeel.sidecar.recorder import (
    RecorderJob,
    WriteOutcome,
    WriteReceipts,
)

RECEIPT_GRACE_SECONDS = 30.0
"""Age from which on the sidecar writes a receipt; routers need a few seconds."""

OUTCOME_GRACE_SECONDS = 5.0
"""Age from which on the sidecar writes an outcome.

Routers write outcomes at once, and a retry may follow a router crash soon.
"""

MAX_DOUBLINGS = 10
INITIAL_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 60.0
"""Bound of the backoff while the platform accepts no writes.

Failure prevented: an outage ends, 10,000 sidecars with pending receipts write within
the same second, and the platform fails again.  Long random backoffs spread the writes
over a minute, in which the writes of the routers make most of them needless.
"""

MAX_STOPPING_BACKOFF_SECONDS = 1.0


def backoff_seconds(failures: int, *, stopping: bool, random: Random) -> float:
    """Return the seconds to wait after this number of consecutive failed writes."""
    max_seconds = MAX_STOPPING_BACKOFF_SECONDS if stopping else MAX_BACKOFF_SECONDS
    seconds = min(
        INITIAL_BACKOFF_SECONDS * 2 ** min(failures, MAX_DOUBLINGS), max_seconds
    )
    return seconds * random.uniform(0.5, 1.0)


class OverdueWrites:
    """Selects one write at a time, and backs off while the platform accepts none.

    Parameters
    ----------
    core
        Holds the journal and the answers.
    random
        Spreads the backoffs of many sidecars.
    """

    def __init__(self, *, core: SidecarCore, random: Random) -> None:
        self._core = core
        self._random = random
        self._busy = False
        self._failures = 0
        self._backoff_until = 0.0

    def next_write(self, now: float) -> RecorderJob | None:
        """Return the write that is due now, or None."""
        if self._busy or now < self._backoff_until:
            return None
        job = next_job(self._core, now)
        self._busy = job is not None
        return job

    def record_success(self) -> None:
        """Record that the last write took effect."""
        self._busy = False
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Record that the last write failed, and start a backoff."""
        self._busy = False
        self._failures += 1
        stopping = self._core.admission.stopping
        backoff = backoff_seconds(
            self._failures, stopping=stopping, random=self._random
        )
        self._backoff_until = now + backoff

    def end_backoff(self) -> None:
        """End the backoff, as the sidecar is stopping."""
        self._backoff_until = 0.0


def next_job(core: SidecarCore, now: float) -> RecorderJob | None:
    """Return the most urgent write that is due, or None.

    In a stopping sidecar every open write is due at once.
    """
    is_stopping = core.admission.stopping
    outcome_grace = 0.0 if is_stopping else OUTCOME_GRACE_SECONDS
    for run in core.journal.undecided_before(now - outcome_grace):
        return WriteOutcome(run=run, outcome=outcome_of(core, run.nonce))
    receipt_grace = 0.0 if is_stopping else RECEIPT_GRACE_SECONDS
    receipts = core.journal.receipts_before(now - receipt_grace, MAX_SEGMENT_RECEIPTS)
    return WriteReceipts(receipts=receipts) if receipts else None


def outcome_of(core: SidecarCore, nonce: str) -> Outcome:
    """Return the outcome of an ended run for its intent.

    A failed run may have taken effect, so it is left to an operator.
    """
    ended = core.answer_streams.end_of(nonce)
    answer = core.answer_streams.answers.get(nonce)
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
