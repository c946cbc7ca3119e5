"""A request that must not repeat, such as a claim filing or a mailbox hold.

An intent is durable in the platform before anything is dispatched, and its
outcome after; `ragwortkeel.runs.intent` decides every step.  A run that has
been dispatched is never cut off: if the caller leaves or its deadline passes,
the run is followed to its end in the background and its outcome recorded.
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
from ragwortkeel.router.exchange import failure_of, refusal_of
from ragwortkeel.router.filing_runs import FilingRuns
from ragwortkeel.router.parts import Parts
from ragwortkeel.router.refusals import Outcome as CallerOutcome
from ragwortkeel.router.refusals import Reason, Refusal
from ragwortkeel.router.sinks import WholeSink
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

SOON_SECONDS = 1.0
"""By then the other attempt of the key has ended or is found running."""

RETRY_SECONDS_BY_REASON = {
    Reason.PLATFORM_UNAVAILABLE: 10.0,
    Reason.CONTENDED: SOON_SECONDS,
    Reason.REFUSED_BY_UPSTREAM: SOON_SECONDS,
    Reason.SIDECAR_GONE: 10.0,
}
"""Where coming back helps; an operator has to decide the rest."""


class FilingExchange:
    """Serves one call that must not repeat into a sink.

    `run` returns None once the answer is sent, else the final refusal.

    Attributes
    ----------
    may_have_run : bool
        Whether `not_run` could be a lie: something was dispatched, or the
        caller named the request and another attempt of it may be under way.
    """

    def __init__(
        self,
        *,
        call: Call,
        version: int,
        facts: RequestFacts,
        parts: Parts,
        sink: WholeSink,
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
            # Nobody else knows a key minted here, so there is nothing to read.
            self._filing.on_read(None)
        self._runs = FilingRuns(
            call=call, version=version, facts=facts, parts=parts, sink=sink
        )
        self._wrote = False
        self._assignment: Assignment | None = None
        self._reservation: Reservation | None = None

    async def run(self) -> Refusal | None:
        """Serve the call."""
        try:
            refusal = await self._decide()
            if refusal is not None and refusal.outcome is CallerOutcome.NOT_RUN:
                return await self._make_sure(refusal)
            return refusal
        finally:
            if self._reservation is not None:
                await self._parts.budgets.settle(self._reservation, 0)
            await self._parts.dispatcher.left(self._facts.request_id)

    async def _decide(self) -> Refusal | None:
        while True:
            match self._filing.step:
                case ReturnOutcome(outcome=outcome):
                    return await self._answer(outcome)
                case ResumeRun() as step:
                    return await self._follow(step)
                case Refuse() as step:
                    await self._list_if_asked(step)
                    return _refusal(step)
                case DispatchRun():
                    end = await self._go()
                    if isinstance(end, Completed):
                        return await self._finish(end)
                    refusal = await self._after(end)
                case step:
                    refusal = await self._take(step)
            if refusal is not None:
                return refusal

    async def _take(
        self, step: ReadIntent | Create | TakeOver | AskSidecar | WriteNotRun
    ) -> Refusal | None:
        """Carry out one step; return a refusal that the steps do not know of."""
        match step:
            case ReadIntent():
                await self._read()
            case Create():
                return await self._write(None)
            case TakeOver(version=version):
                return await self._write(version)
            case AskSidecar():
                self._filing.on_tombstone(await self._runs.ask(step))
            case WriteNotRun(intent=intent, version=version):
                result, _ = await self._intents.write(intent, version)
                self._filing.on_release(result)
        return None

    def _new_intent(self) -> Intent:
        """Return an intent for this attempt; its sidecar is chosen when written."""
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
            held = await self._intents.read(self._call.profile, self._call.request_id)
        except PlatformError:
            self._filing.on_unreadable()
            return
        self._filing.on_read(held)

    async def _make_sure(self, refusal: Refusal) -> Refusal:
        """Return `not_run` only once no other attempt of the key can run.

        Failure: a caller gives up on a slow router and tries another, which is
        full and says `not_run`; the caller files anew under another key, and
        the slow router then runs the first.  The record written here makes the
        slow router's create or update fail, and it finds the refusal.
        """
        if not self._call.key_given or refusal.reason in _ALREADY_SURE:
            return refusal
        held = self._filing.stored
        base = held.intent if held else self._new_intent()
        fresh = replace(base, nonce=uuid4().hex)
        result, _ = await self._intents.write(
            after_refusal(fresh), held.version if held else None
        )
        if result is WriteResult.WRITTEN:
            return refusal
        return Refusal(
            outcome=CallerOutcome.UNKNOWN,
            reason=refusal.reason,
            retry_after_seconds=max(refusal.retry_after_seconds, SOON_SECONDS),
        )

    async def _write(self, version: int | None) -> Refusal | None:
        """Choose a sidecar, then write the intent that names it."""
        if version is not None and self._wrote and self._found_released():
            # Since this attempt began, another one of the same key was told
            # `not_run`; running now would make that a lie.
            return _not_run(Reason.CONTENDED, SOON_SECONDS)
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
        self._wrote = True
        result, new_version = await self._intents.write(self._filing.wanted, version)
        self._filing.on_write(result, new_version)
        return None

    def _found_released(self) -> bool:
        outcome = self._filing.stored.intent.outcome
        return outcome is not None and outcome.verdict is Verdict.NOT_RUN

    async def _prepare(self) -> Refusal | None:
        """Be admitted to an upstream and set its tokens aside."""
        if self._assignment is None:
            decision = await self._parts.dispatcher.admit(self._facts)
            if not isinstance(decision, Assignment):
                return refusal_of(decision, may_have_run=False)
            self._assignment = decision
        if self._reservation is not None:
            return None
        view = self._parts.pool.views_by_upstream.get(self._assignment.upstream)
        if view is None:
            return _not_run(Reason.NO_UPSTREAM, SOON_SECONDS)
        try:
            self._reservation = await self._parts.budgets.reserve(
                self._call.profile, self._call.bound, view.incarnation
            )
        except BudgetRefused as exc:
            return _not_run(Reason(exc.reason), exc.retry_after_seconds)
        return None

    async def _go(self) -> AttemptEnd:
        """Dispatch, once; the run outlives this request."""
        self.may_have_run = True
        self._filing.on_sent()
        reservation, self._reservation = self._reservation, None
        return await self._runs.run(
            self._filing.stored, reservation, alone=self._assignment.alone
        )

    async def _finish(self, end: Completed) -> None:
        self.tokens = end.tokens
        await self._parts.dispatcher.finished(self._facts.request_id)
        await self._sink.finish(end.status, end.content_type)

    async def _after(self, end: Declined | Broken | Lost) -> Refusal | None:
        match end:
            case Declined(reason=reason):
                other = await self._elsewhere(end)
                self._filing.on_refused(reason, other)
            case Broken(may_have_run=False):
                other = await self._elsewhere(end)
                self._filing.on_refused(RefusalReason.UPSTREAM_UNREACHABLE, other)
            case Lost():
                self._filing.on_disconnected(self._new_intent())
            case Broken():
                return _unknown(Reason.RUN_FAILED)
        return None

    async def _elsewhere(self, end: Declined | Broken) -> Intent | None:
        """Be admitted to another upstream; this one will never run the nonce."""
        self.may_have_run = self._call.key_given
        decision = await self._parts.dispatcher.retry(
            self._facts.request_id, failure_of(end)
        )
        if not isinstance(decision, Assignment):
            return None
        self._assignment = decision
        return self._new_intent()

    async def _follow(self, step: ResumeRun) -> Refusal | None:
        """Give the caller the answer of a run that an earlier attempt started."""
        upstream = self._parts.pool.upstream_of(step.sidecar)
        if upstream is None:
            return _unknown(Reason.SIDECAR_GONE)
        attempt = self._runs.attempt(upstream, step.nonce, step.sidecar)
        if not await attempt.open(Resume(nonce=step.nonce, offset=0)):
            return _unknown(Reason.SIDECAR_GONE)
        try:
            end = await attempt.follow()
        finally:
            attempt.close()
        if not isinstance(end, Completed):
            return _unknown(Reason.RUN_FAILED)
        await self._runs.start_recording(end, self._filing.stored, attempt)
        await self._sink.finish(end.status, end.content_type)
        return None

    async def _answer(self, outcome: Outcome) -> None:
        await self._sink.write(outcome.body, outcome.content_type)
        await self._sink.finish(outcome.status, outcome.content_type)

    async def _list_if_asked(self, step: Refuse) -> None:
        held = self._filing.stored
        if not step.list_for_operators or held is None:
            return
        outcome = Outcome(verdict=Verdict.UNRESOLVED, reason=step.reason)
        await self._intents.write(with_outcome(held.intent, outcome), held.version)


_ALREADY_SURE = (Reason.KEY_REUSED, Reason.REFUSED_BY_UPSTREAM)
"""Refusals that rest on a record in the platform, or on another caller's body."""


def _not_run(reason: Reason, retry_after_seconds: float) -> Refusal:
    return Refusal(
        outcome=CallerOutcome.NOT_RUN,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )


def _unknown(reason: Reason) -> Refusal:
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
