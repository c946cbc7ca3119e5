"""A request that must not repeat, such as a claim filing or a mailbox hold.

The intent is durable in the platform before the run is dispatched, and the
outcome is recorded after it.  `ragwortkeel.runs.intent` decides each step.  A
dispatched run is never interrupted: if the caller disconnects or the deadline
passes, a background task follows the run and records its outcome.
"""

from uuid import uuid4

from msgspec.structs import replace

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.exceptions import BudgetRefused, PlatformError
from ragwortkeel.messages import (
    RefusalReason,
    Resume,
)
from ragwortkeel.policy.facts import Assignment, RequestFacts
from ragwortkeel.router.attempt import (
    AttemptEnd,
    Broken,
    Completed,
    Declined,
    Lost,
)
from ragwortkeel.router.calls import Call
from ragwortkeel.router.components import Components
from ragwortkeel.router.exchange import failure_of, refusal_of
from ragwortkeel.router.filing_runs import FilingRuns
from ragwortkeel.router.refusals import Outcome as CallerOutcome
from ragwortkeel.router.refusals import Reason, Refusal
from ragwortkeel.router.sinks import BufferedSink
from ragwortkeel.runs.filing import Filing, ReadIntent, WriteNotRun
from ragwortkeel.runs.intent import (
    AskSidecar,
    Create,
    DispatchRun,
    Intent,
    Outcome,
    Refuse,
    ResumeRun,
    ReturnOutcome,
    TakeOver,
    Verdict,
    WriteResult,
    after_refusal,
    fingerprint_of,
    with_outcome,
)

SHORT_RETRY_SECONDS = 1.0
"""After this delay a concurrent attempt has ended or is recorded as running."""

RETRY_SECONDS_BY_REASON = {
    Reason.PLATFORM_UNAVAILABLE: 10.0,
    Reason.CONTENDED: SHORT_RETRY_SECONDS,
    Reason.REFUSED_BY_UPSTREAM: SHORT_RETRY_SECONDS,
    Reason.SIDECAR_GONE: 10.0,
}
"""Reasons for which a retry can succeed; an operator resolves the others."""


class FilingExchange:
    """Serves one call that must not repeat.

    `run` returns None once the answer is sent to the sink, else the final
    refusal.

    Attributes
    ----------
    may_have_run : bool
        Whether the outcome `not_run` may be false: the call was dispatched, or
        the caller sent a key and another attempt with it may be running.
    """

    def __init__(
        self,
        *,
        call: Call,
        version: int,
        facts: RequestFacts,
        parts: Components,
        sink: BufferedSink,
    ) -> None:
        self.may_have_run = call.key_given
        self.tokens = 0
        self._call = call
        self._facts = facts
        self._parts = parts
        self._intents = parts.intents
        self._sink = sink
        self._filing = Filing(wanted=self._new_intent(), first=not call.key_given)
        if not call.key_given:
            # No other attempt has a key generated here, so no intent is stored.
            self._filing.on_read(None)
        self._runs = FilingRuns(
            call=call, version=version, facts=facts, parts=parts, sink=sink
        )
        self._has_written = False
        self._assignment: Assignment | None = None
        self._reservation: Reservation | None = None

    async def run(self) -> Refusal | None:
        """Serve the call and return None, or the refusal to send."""
        try:
            refusal = await self._decide()
            if refusal is not None and refusal.outcome is CallerOutcome.NOT_RUN:
                return await self._confirm_not_run(refusal)
            return refusal
        finally:
            if self._reservation is not None:
                await self._parts.budgets.settle(self._reservation, 0)
            await self._parts.dispatcher.record_disconnect(self._facts.request_id)

    async def _decide(self) -> Refusal | None:
        while True:
            match self._filing.step:
                case ReturnOutcome(outcome=outcome):
                    return await self._send_outcome(outcome)
                case ResumeRun() as step:
                    return await self._resume(step)
                case Refuse() as step:
                    await self._record_unresolved(step)
                    return _refusal(step)
                case DispatchRun():
                    end = await self._dispatch()
                    if isinstance(end, Completed):
                        return await self._finish(end)
                    refusal = await self._handle_failed_run(end)
                case step:
                    refusal = await self._execute(step)
            if refusal is not None:
                return refusal

    async def _execute(
        self, step: ReadIntent | Create | TakeOver | AskSidecar | WriteNotRun
    ) -> Refusal | None:
        """Execute one step and return None, or the refusal that ends the call."""
        match step:
            case ReadIntent():
                await self._read()
            case Create():
                return await self._write(None)
            case TakeOver(version=version):
                return await self._write(version)
            case AskSidecar():
                self._filing.on_tombstone(await self._runs.request_tombstone(step))
            case WriteNotRun(intent=intent, version=version):
                result, _ = await self._intents.write(intent, version)
                self._filing.on_release(result)
        return None

    def _new_intent(self) -> Intent:
        """Return an intent with a new nonce; `_write` sets its sidecar."""
        return Intent(
            profile=self._call.profile,
            request_id=self._call.request_id,
            fingerprint=fingerprint_of(self._call.target, self._call.body),
            nonce=uuid4().hex,
            sidecar="",
            upstream="",
            router=self._parts.incarnation(),
        )

    async def _read(self) -> None:
        try:
            current = await self._intents.read(
                self._call.profile, self._call.request_id
            )
        except PlatformError:
            self._filing.on_unreadable()
            return
        self._filing.on_read(current)

    async def _confirm_not_run(self, refusal: Refusal) -> Refusal:
        """Return the `not_run` refusal once no other attempt of the key can run.

        Failure: a caller times out at a slow router and retries at one with a
        full queue, which refuses with `not_run`.  The caller files again with
        another key, and the slow router then runs the first request.  The
        intent written here makes the slow router's create or update fail; the
        slow router then reads the refusal.
        """
        if not self._call.key_given or refusal.reason in _CONFIRMED_REASONS:
            return refusal
        current = self._filing.stored
        base = current.intent if current else self._new_intent()
        not_run_intent = replace(base, nonce=uuid4().hex)
        result, _ = await self._intents.write(
            after_refusal(not_run_intent), current.version if current else None
        )
        if result is WriteResult.WRITTEN:
            return refusal
        return Refusal(
            outcome=CallerOutcome.UNKNOWN,
            reason=refusal.reason,
            retry_after_seconds=max(refusal.retry_after_seconds, SHORT_RETRY_SECONDS),
        )

    async def _write(self, version: int | None) -> Refusal | None:
        """Select a sidecar and write the intent with its name."""
        if version is not None and self._has_written and self._stored_is_not_run():
            # Another attempt with this key was refused with `not_run` since this
            # attempt wrote its intent, so the call must not run any more.
            return _not_run(Reason.CONTENDED, SHORT_RETRY_SECONDS)
        refusal = await self._prepare()
        if refusal is not None:
            return refusal
        view = self._parts.pool.views_by_upstream.get(self._assignment.upstream)
        self._filing.wanted = replace(
            self._filing.wanted,
            sidecar=self._reservation.sidecar,
            upstream=self._assignment.upstream,
            epoch=0 if view is None else view.load.epoch,
        )
        self._has_written = True
        result, new_version = await self._intents.write(self._filing.wanted, version)
        self._filing.on_write(result, new_version)
        return None

    def _stored_is_not_run(self) -> bool:
        outcome = self._filing.stored.intent.outcome
        return outcome is not None and outcome.verdict is Verdict.NOT_RUN

    async def _prepare(self) -> Refusal | None:
        """Wait for admission to an upstream and reserve tokens.

        Return the refusal if either fails.
        """
        if self._assignment is None:
            decision = await self._parts.dispatcher.admit(self._facts)
            if not isinstance(decision, Assignment):
                return refusal_of(decision, may_have_run=False)
            self._assignment = decision
        if self._reservation is not None:
            return None
        view = self._parts.pool.views_by_upstream.get(self._assignment.upstream)
        if view is None:
            return _not_run(Reason.NO_UPSTREAM, SHORT_RETRY_SECONDS)
        try:
            self._reservation = await self._parts.budgets.reserve(
                self._call.profile, self._call.bound_tokens, view.incarnation
            )
        except BudgetRefused as exc:
            return _not_run(Reason(exc.reason), exc.retry_after_seconds)
        return None

    async def _dispatch(self) -> AttemptEnd:
        """Dispatch the stored intent; its run may outlast this request."""
        self.may_have_run = True
        self._filing.on_sent()
        reservation, self._reservation = self._reservation, None
        return await self._runs.run(
            self._filing.stored, reservation, alone=self._assignment.alone
        )

    async def _finish(self, end: Completed) -> None:
        self.tokens = end.tokens
        await self._parts.dispatcher.record_finish(self._facts.request_id)
        await self._sink.finish(end.status, end.content_type)

    async def _handle_failed_run(self, end: Declined | Broken | Lost) -> Refusal | None:
        match end:
            case Declined(reason=reason):
                other_intent = await self._admit_elsewhere(end)
                self._filing.on_refused(reason, other_intent)
            case Broken(may_have_run=False):
                other_intent = await self._admit_elsewhere(end)
                self._filing.on_refused(
                    RefusalReason.UPSTREAM_UNREACHABLE, other_intent
                )
            case Lost():
                self._filing.on_disconnected(self._new_intent())
            case Broken():
                return _outcome_unknown(Reason.RUN_FAILED)
        return None

    async def _admit_elsewhere(self, end: Declined | Broken) -> Intent | None:
        """Return an intent for another upstream, None if the scheduler has none.

        The present upstream never runs the nonce.
        """
        self.may_have_run = self._call.key_given
        decision = await self._parts.dispatcher.retry(
            self._facts.request_id, failure_of(end)
        )
        if not isinstance(decision, Assignment):
            return None
        self._assignment = decision
        return self._new_intent()

    async def _resume(self, step: ResumeRun) -> Refusal | None:
        """Send the caller the answer of a run that an earlier attempt started."""
        upstream = self._parts.pool.upstream_of(step.sidecar)
        if upstream is None:
            return _outcome_unknown(Reason.SIDECAR_GONE)
        attempt = self._runs.new_attempt(upstream, step.nonce, step.sidecar)
        if not await attempt.open(Resume(nonce=step.nonce, offset=0)):
            return _outcome_unknown(Reason.SIDECAR_GONE)
        try:
            end = await attempt.follow()
        finally:
            attempt.close()
        if not isinstance(end, Completed):
            return _outcome_unknown(Reason.RUN_FAILED)
        await self._runs.start_recording(end, self._filing.stored, attempt)
        await self._sink.finish(end.status, end.content_type)
        return None

    async def _send_outcome(self, outcome: Outcome) -> None:
        await self._sink.write(outcome.body, outcome.content_type)
        await self._sink.finish(outcome.status, outcome.content_type)

    async def _record_unresolved(self, step: Refuse) -> None:
        current = self._filing.stored
        if not step.list_for_operators or current is None:
            return
        outcome = Outcome(verdict=Verdict.UNRESOLVED, reason=step.reason)
        await self._intents.write(
            with_outcome(current.intent, outcome), current.version
        )


_CONFIRMED_REASONS = (Reason.KEY_REUSED, Reason.REFUSED_BY_UPSTREAM)
"""Reasons for which the stored intent proves that this request never ran."""


def _not_run(reason: Reason, retry_after_seconds: float) -> Refusal:
    return Refusal(
        outcome=CallerOutcome.NOT_RUN,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )


def _outcome_unknown(reason: Reason) -> Refusal:
    refuse = Refuse(status=409, outcome=CallerOutcome.UNKNOWN, reason=reason)
    return _refusal(refuse)


def _refusal(step: Refuse) -> Refusal:
    reason = Reason(step.reason)
    return Refusal(
        outcome=CallerOutcome(step.outcome),
        reason=reason,
        retry_after_seconds=RETRY_SECONDS_BY_REASON.get(reason, 0.0),
        status=step.status,
    )
