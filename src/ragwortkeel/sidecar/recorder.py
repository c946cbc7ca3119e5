"""Writing receipts and outcomes to the platform, where a router does not.

A router that died or lost its way would leave bills and intents open; the
sidecar beside the run knows both, so it writes them itself after a while.
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
    """Write how a must-not-repeat run ended into its intent."""

    run: Run
    outcome: intents.Outcome


@dataclass(frozen=True, kw_only=True)
class WriteFailed:
    """The platform did not take a job; the tick tries again."""

    job: WriteReceipts | WriteOutcome


RecorderJob = WriteReceipts | WriteOutcome


class Recorder:
    """The task that writes; one job at a time, each safe to repeat.

    Parameters
    ----------
    sidecar
        Incarnation that names the segments.
    inbox
        Takes `ReceiptsDurable`, `OutcomeDurable` or `WriteFailed` for each job.
    """

    def __init__(self, *, platform: Platform, sidecar: str, inbox: curio.Queue) -> None:
        self._platform = platform
        self._sidecar = sidecar
        self._inbox = inbox
        self.jobs: curio.Queue = curio.Queue()

    async def run(self) -> None:
        """Take jobs until cancelled."""
        while True:
            job = await self.jobs.get()
            try:
                done = await self._do(job)
            except PlatformError:
                done = WriteFailed(job=job)
            await self._inbox.put(done)

    async def _do(self, job: RecorderJob) -> ReceiptsDurable | OutcomeDurable:
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
                # An earlier try took effect, and only its answer was lost.
                continue

    async def _write_outcome(self, run: Run, outcome: intents.Outcome) -> None:
        name = intents.object_name(run.profile, run.request_id)
        while True:
            stored = await self._platform.get(INTENTS, name)
            if stored is None:
                return
            try:
                held = intents.decode(stored.value)
            except intents.IntentUnreadable as exc:
                # Nobody can read it, so that no retry can run; the sidecar
                # must not fall over it for good.
                log_error("intent_unreadable", name=name, error=str(exc))
                return
            if not intents.may_settle(held, run.nonce):
                return
            value = intents.encode(intents.with_outcome(held, outcome))
            try:
                await self._platform.update(INTENTS, name, value, stored.version)
            except VersionConflict:
                continue
            return
