"""What a sidecar owes the platform, and when it sees to it itself.

Routers write receipts and outcomes.  A router that died or was cut off writes
neither, so what stays open for a while is written from here; both writes are
harmless when they are made twice.
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
"""Routers write receipts in batches every few seconds; later ones are stuck."""

OUTCOME_GRACE_SECONDS = 5.0
"""A router writes an outcome at once; a retry may come soon after its death."""

MAX_DOUBLINGS = 10
INITIAL_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 60.0
"""Up to these pauses grow while the platform takes no writes.

Failure: an outage ends and ten thousand sidecars, each with receipts that waited,
write again within the same second, and the platform goes down anew.  Pauses
that have grown and differ spread them over a minute; meanwhile the routers'
own writes make most of these needless.
"""

MAX_STOPPING_BACKOFF_SECONDS = 1.0


def backoff_seconds(failures: int, *, stopping: bool, random: Random) -> float:
    """Return the seconds to wait after so many failed writes in a row."""
    max_seconds = MAX_STOPPING_BACKOFF_SECONDS if stopping else MAX_BACKOFF_SECONDS
    seconds = min(
        INITIAL_BACKOFF_SECONDS * 2 ** min(failures, MAX_DOUBLINGS), max_seconds
    )
    return seconds * random.uniform(0.5, 1.0)


class OverdueWrites:
    """Gives out one write at a time, and pauses while the platform takes none.

    Parameters
    ----------
    core
        Knows what is owed.
    random
        Spreads the pauses of many sidecars.
    """

    def __init__(self, *, core: SidecarCore, random: Random) -> None:
        self._core = core
        self._random = random
        self._busy = False
        self._failures = 0
        self._backoff_until = 0.0

    def next_write(self, now: float) -> RecorderJob | None:
        """Return the write to make now, None where none is due."""
        if self._busy or now < self._backoff_until:
            return None
        job = next_job(self._core, now)
        self._busy = job is not None
        return job

    def record_success(self) -> None:
        """Note that the last write took effect."""
        self._busy = False
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Note that the platform did not take the last write."""
        self._busy = False
        self._failures += 1
        stopping = self._core.admission.stopping
        backoff = backoff_seconds(
            self._failures, stopping=stopping, random=self._random
        )
        self._backoff_until = now + backoff

    def end_backoff(self) -> None:
        """End a pause: the sidecar is stopping."""
        self._backoff_until = 0.0


def next_job(core: SidecarCore, now: float) -> RecorderJob | None:
    """Return the most urgent write that is due, None where nothing is.

    A sidecar that is stopping owes everything at once.
    """
    is_stopping = core.admission.stopping
    outcome_grace = 0.0 if is_stopping else OUTCOME_GRACE_SECONDS
    for run in core.journal.undecided_before(now - outcome_grace):
        return WriteOutcome(run=run, outcome=outcome_of(core, run.nonce))
    receipt_grace = 0.0 if is_stopping else RECEIPT_GRACE_SECONDS
    receipts = core.journal.receipts_before(now - receipt_grace, MAX_SEGMENT_RECEIPTS)
    return WriteReceipts(receipts=receipts) if receipts else None


def outcome_of(core: SidecarCore, nonce: str) -> Outcome:
    """Return what an intent should say of an ended run.

    A run that broke off may have taken effect, so it waits for an operator.
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
