"""One attempt at a request that must not repeat, as steps without I/O.

The router executes the current step and reports its result, until the step is
`ReturnOutcome`, `Refuse` or `ResumeRun`.  At `DispatchRun` it calls `on_sent` and
sends the dispatch; afterwards it calls `on_refused` or `on_disconnected`, or
receives the answer.
"""

from dataclasses import dataclass

from ragwortkeel.messages import RefusalReason, RunState
from ragwortkeel.runs.intent import (
    MAX_WRITE_ATTEMPTS,
    AskSidecar,
    Create,
    Decision,
    DispatchRun,
    Intent,
    ReadAgain,
    Refuse,
    ResumeRun,
    ReturnOutcome,
    StoredIntent,
    TakeOver,
    WriteResult,
    after_read,
    after_refusal,
    after_tombstone,
    after_write,
    without_platform,
)


@dataclass(frozen=True, kw_only=True)
class ReadIntent:
    """Read the intent under the key, then call `on_read` or `on_unreadable`."""


@dataclass(frozen=True, kw_only=True)
class WriteNotRun:
    """Replace the intent at `version` by this `NOT_RUN` one, then call `on_release`."""

    intent: Intent
    version: int


Step = (
    ReadIntent
    | Create
    | TakeOver
    | AskSidecar
    | DispatchRun
    | WriteNotRun
    | ResumeRun
    | ReturnOutcome
    | Refuse
)

FINAL_STEPS = (ResumeRun, ReturnOutcome, Refuse)
"""Steps after which no decision is left."""


REFUSALS_OF_RESTARTED_SIDECARS = frozenset(
    {RefusalReason.WRONG_INCARNATION, RefusalReason.TOMBSTONED}
)
"""Reasons with which a new incarnation refuses dispatches to the one before.

It refuses the first copy as for another incarnation, and tombstones the nonce, so that
it refuses all further copies as tombstoned.
"""


class Filing:
    """The steps of one attempt.

    Parameters
    ----------
    wanted : Intent
        The intent of this attempt; its nonce is unique.
    first : bool
        Whether no other attempt under this key can exist, for example because the
        router generated the key itself.

    Attributes
    ----------
    step : Step
        The next step to execute.
    stored : StoredIntent or None
        The intent as last read or written.
    """

    def __init__(self, *, wanted: Intent, first: bool) -> None:
        self.wanted = wanted
        self.step: Step = ReadIntent()
        self.stored: StoredIntent | None = None
        self._first = first
        self._write_attempts = 0
        self._dispatch_count = 0

    @property
    def is_final(self) -> bool:
        """Whether no decision is left."""
        return isinstance(self.step, FINAL_STEPS)

    def on_read(self, stored: StoredIntent | None) -> None:
        """Continue with the intent that the platform has under the key."""
        self.stored = stored
        self._continue(after_read(self.wanted, stored))

    def on_unreadable(self) -> None:
        """Continue without the intent, which can't be read from the platform."""
        self._continue(without_platform(first=self._first))

    def on_tombstone(self, state: RunState | None) -> None:
        """Continue with the sidecar's answer; None if it stopped or is unreachable."""
        self._continue(after_tombstone(self.wanted, self.stored, state))

    def on_write(self, result: WriteResult, version: int = 0) -> None:
        """Continue with the result of the intent's write, and its new version."""
        self._write_attempts += 1
        if result is WriteResult.WRITTEN:
            self.stored = StoredIntent(intent=self.wanted, version=version)
        self._continue(
            after_write(
                self.wanted,
                result,
                first=self._first,
                write_attempts=self._write_attempts,
            )
        )

    def on_sent(self) -> None:
        """Record that the dispatch is being sent, for the first time or again."""
        self._dispatch_count += 1
        if self._dispatch_count > 1:
            # An earlier copy may have run, so only the platform knows the outcome.
            self._first = False

    def on_refused(self, reason: RefusalReason, other: Intent | None) -> None:
        """Continue after the sidecar refused the dispatch.

        Parameters
        ----------
        reason : RefusalReason
            As in `Refused`.
        other : Intent or None
            An intent with a new nonce for another sidecar; None to refuse the request.
        """
        if reason in REFUSALS_OF_RESTARTED_SIDECARS and self._dispatch_count > 1:
            # Failure: the first copy ran at a sidecar that has restarted since.  The
            # new incarnation's refusals of later ones prove nothing about the first.
            self._continue(after_tombstone(self.wanted, self.stored, None))
            return
        if other is None:
            self.step = WriteNotRun(
                intent=after_refusal(self.stored.intent), version=self.stored.version
            )
            return
        self._replace_intent(other)
        self.step = TakeOver(intent=other, version=self.stored.version)

    def on_release(self, result: WriteResult) -> None:
        """Continue with the result of the `NOT_RUN` write.

        Failure: between the sidecar's refusal and the answer to the caller, a retry
        takes the intent over and runs, so that `not_run` would be wrong.  A successful
        write over the version of this attempt shows that no retry did so.
        """
        self._write_attempts += 1
        if result is WriteResult.CONFLICT and self._write_attempts < MAX_WRITE_ATTEMPTS:
            self.step = ReadIntent()
            return
        is_sure = result is WriteResult.WRITTEN or self._first
        self.step = Refuse(
            status=503,
            outcome="not_run" if is_sure else "unknown",
            reason="refused_by_upstream",
        )

    def on_disconnected(self, wanted: Intent) -> None:
        """Continue after the dispatched sidecar disconnected without an answer.

        `wanted` is an intent with a new nonce, in case the old nonce never ran.
        """
        lost = self.stored.intent
        # Failure: the request ran, its outcome is durable and the sidecar has
        # discarded the run, so it answers `TOMBSTONED`.  If the platform is
        # unavailable then, `not_run` would be wrong; only the conditional update
        # decides.
        self._first = False
        self._replace_intent(wanted)
        self.step = AskSidecar(sidecar=lost.sidecar, nonce=lost.nonce)

    def _replace_intent(self, intent: Intent) -> None:
        self.wanted = intent
        self._dispatch_count = 0

    def _continue(self, decision: Decision) -> None:
        self.step = ReadIntent() if isinstance(decision, ReadAgain) else decision
