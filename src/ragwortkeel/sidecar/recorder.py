"""Writing receipts and outcomes to the platform where the router has not.

A crashed or disconnected router leaves bills and intents open.  The sidecar of the
run has the data of both and writes them after a grace period.
"""

from dataclasses import dataclass

import curio

from ragwortkeel.budget.receipt import encode_segment, segments
from ragwortkeel.configuration import INTENTS, RECEIPTS
from ragwortkeel.exceptions import (
    AlreadyExists,
    PlatformError,
    VersionConflict,
)
from ragwortkeel.logs import log_error
from ragwortkeel.messages import OutcomeDurable, ReceiptsDurable, RunReceipt
from ragwortkeel.platform import Platform
from ragwortkeel.runs import intent as intents
from ragwortkeel.runs.journal import Run


@dataclass(frozen=True, kw_only=True)
class WriteReceipts:
    """Make these receipts durable."""

    receipts: tuple[RunReceipt, ...]


@dataclass(frozen=True, kw_only=True)
class WriteOutcome:
    """Write the outcome of a must-not-repeat run into its intent."""

    run: Run
    outcome: intents.Outcome


@dataclass(frozen=True, kw_only=True)
class WriteFailed:
    """The platform failed to execute a job; a later tick retries it."""

    job: WriteReceipts | WriteOutcome


RecorderJob = WriteReceipts | WriteOutcome


class Recorder:
    """Executes write jobs one at a time; each is idempotent.

    Parameters
    ----------
    sidecar
        Incarnation of this sidecar, the writer in segment names.
    inbox
        Receives `ReceiptsDurable`, `OutcomeDurable` or `WriteFailed` for each job.
    """

    def __init__(self, *, platform: Platform, sidecar: str, inbox: curio.Queue) -> None:
        self._platform = platform
        self._sidecar = sidecar
        self._inbox = inbox
        self.jobs: curio.Queue = curio.Queue()

    async def run(self) -> None:
        """Execute jobs until cancelled."""
        while True:
            job = await self.jobs.get()
            try:
                done = await self._execute(job)
            except PlatformError:
                done = WriteFailed(job=job)
            await self._inbox.put(done)

    async def _execute(self, job: RecorderJob) -> ReceiptsDurable | OutcomeDurable:
        match job:
            case WriteReceipts(receipts=receipts):
                await self._write_segments(receipts)
                return ReceiptsDurable(nonces=tuple(r.nonce for r in receipts))
            case WriteOutcome(run=run, outcome=outcome):
                await self._write_outcome(run, outcome)
                return OutcomeDurable(nonces=(run.nonce,))

    async def _write_segments(self, receipts: tuple[RunReceipt, ...]) -> None:
        for segment in segments(writer=self._sidecar, receipts=receipts):
            value = encode_segment(segment)
            try:
                await self._platform.create(RECEIPTS, segment.name, value)
            except AlreadyExists:
                # An earlier attempt took effect and only its answer was lost.
                continue

    async def _write_outcome(self, run: Run, outcome: intents.Outcome) -> None:
        name = intents.object_name(run.profile, run.request_id)
        while True:
            stored = await self._platform.get(INTENTS, name)
            if stored is None:
                return
            try:
                intent = intents.decode(stored.value)
            except intents.IntentUnreadable as exc:
                # No router can read it either, so no retry can run.  The
                # sidecar must not fail on it again and again.
                log_error("intent_unreadable", name=name, error=str(exc))
                return
            if not intents.may_settle(intent, run.nonce):
                return
            value = intents.encode(intents.with_outcome(intent, outcome))
            try:
                await self._platform.update(INTENTS, name, value, stored.version)
            except VersionConflict:
                continue
            return
