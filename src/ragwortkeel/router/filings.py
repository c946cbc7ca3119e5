"""A request that must not repeat, such as a claim filing or a mailbox hold.

An intent is durable in the platform before anything is dispatched, and its
outcome after; `ragwortkeel.runs.intent` decides every step.  A run that has
been dispatched is never cut off: if the caller leaves or its deadline passes,
the run is followed to its end in the background and its outcome recorded.
"""

from contextlib import suppress
from dataclasses import dataclass
from uuid import uuid4

import curio
from msgspec.structs import replace

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import Profile
from ragwortkeel.exceptions import BudgetRefused, LinkLost, PlatformError
from ragwortkeel.messages import (
    OutcomeDurable,
    RefusalReason,
    Resume,
    RunState,
    Tombstone,
    TombstoneResult,
)
from ragwortkeel.policy.facts import Assignment, RequestFacts
from ragwortkeel.router.attempt import (
    Attempt,
    AttemptEnd,
    Broken,
    Completed,
    Declined,
    Lost,
)
from ragwortkeel.router.calls import Call
from ragwortkeel.router.dispatches import build_dispatch
from ragwortkeel.router.exchange import failure_of, refusal_of
from ragwortkeel.router.parts import Parts
from ragwortkeel.router.refusals import Outcome as CallerOutcome
from ragwortkeel.router.refusals import Reason, Refusal
from ragwortkeel.router.sinks import WholeSink
from ragwortkeel.runs.intent import (
    Answer,
    AskSidecar,
    Create,
    Decision,
    Follow,
    Go,
    Held,
    Intent,
    Outcome,
    ReadAgain,
    Refuse,
    TakeOver,
    Verdict,
    WriteResult,
    after_read,
    after_refusal,
    after_tombstone,
    after_write,
    fingerprint_of,
    with_outcome,
    without_platform,
)

ASK_SECONDS = 1.0
"""A sidecar that is up answers in well under a millisecond."""

CONTENDED_RETRY_SECONDS = 1.0
"""By then the other attempt of the key has ended or is found running."""

RETRY_SECONDS_BY_REASON = {
    Reason.PLATFORM_UNAVAILABLE: 10.0,
    Reason.CONTENDED: CONTENDED_RETRY_SECONDS,
    Reason.SIDECAR_GONE: 10.0,
}
"""Where coming back helps; an operator has to decide the rest."""


@dataclass(frozen=True, kw_only=True)
class _Ended:
    """The caller has its answer, or gets this refusal."""

    refusal: Refusal | None = None


class Filing:
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
        profile: Profile,
        version: int,
        facts: RequestFacts,
        parts: Parts,
        sink: WholeSink,
    ) -> None:
        self.may_have_run = call.key_given
        self._call = call
        self._profile = profile
        self._version = version
        self._facts = facts
        self._parts = parts
        self._intents = parts.intents
        self._sink = sink
        self._held: Held | None = None
        self._written: Intent | None = None
        self._rounds = 0
        self._assignment: Assignment | None = None
        self._reservation: Reservation | None = None

    async def run(self) -> Refusal | None:
        """Serve the call."""
        try:
            refusal = (await self._decide()).refusal
            if refusal is not None and refusal.outcome is CallerOutcome.NOT_RUN:
                return await self._make_sure(refusal)
            return refusal
        finally:
            if self._reservation is not None:
                await self._parts.budgets.settle(self._reservation, 0)
            await self._parts.dispatcher.left(self._facts.request_id)

    async def _decide(self) -> _Ended:
        step: Decision | _Ended = Create(intent=self._wanted())
        if self._call.key_given:
            step = ReadAgain()
        while not isinstance(step, _Ended):
            step = await self._take(step)
        return step

    async def _take(self, decision: Decision) -> Decision | _Ended:
        match decision:
            case Create(intent=intent):
                return await self._write(intent, None)
            case TakeOver(intent=intent, version=version):
                return await self._write(intent, version)
            case ReadAgain():
                return await self._read()
            case AskSidecar():
                state = await self._ask(decision)
                return after_tombstone(self._wanted(), self._held, state)
            case Go(intent=intent):
                return await self._go(intent)
            case Follow():
                return await self._follow(decision)
            case Answer(outcome=outcome):
                return await self._answer(outcome)
            case Refuse():
                await self._list_if_asked(decision)
                return _ended(decision)

    def _wanted(self) -> Intent:
        """Return the intent of this attempt; its sidecar is chosen when written."""
        return Intent(
            profile=self._call.profile,
            request_id=self._call.request_id,
            fingerprint=fingerprint_of(self._call.target, self._call.body),
            nonce=uuid4().hex,
            sidecar="",
            upstream="",
            router=self._parts.incarnation(),
        )

    async def _read(self) -> Decision | _Ended:
        try:
            self._held = await self._intents.read(
                self._call.profile, self._call.request_id
            )
        except PlatformError:
            return without_platform(first=not self._call.key_given)
        rv = after_read(self._written or self._wanted(), self._held)
        if self._rounds and isinstance(rv, TakeOver):
            # Since this attempt began, another one of the same key was told
            # `not_run`; running now would make that a lie.
            return _not_run(Reason.CONTENDED, CONTENDED_RETRY_SECONDS)
        return rv

    async def _make_sure(self, refusal: Refusal) -> Refusal:
        """Return `not_run` only once no other attempt of the key can run.

        Failure: a caller gives up on a slow router and tries another, which is
        full and says `not_run`; the caller files anew under another key, and
        the slow router then runs the first.  The record written here makes the
        slow router's create or update fail, and it finds the refusal.
        """
        if not self._call.key_given:
            return refusal
        if refusal.reason in (Reason.KEY_REUSED, Reason.CONTENDED):
            return refusal
        base = self._held.intent if self._held else self._wanted()
        version = self._held.version if self._held else None
        fresh = replace(base, nonce=uuid4().hex)
        result, _ = await self._intents.write(after_refusal(fresh), version)
        if result is WriteResult.WRITTEN:
            return refusal
        return Refusal(
            outcome=CallerOutcome.UNKNOWN,
            reason=refusal.reason,
            retry_after_seconds=max(
                refusal.retry_after_seconds, CONTENDED_RETRY_SECONDS
            ),
        )

    async def _write(self, intent: Intent, version: int | None) -> Decision | _Ended:
        """Choose a sidecar, then write the intent that names it."""
        refused = await self._prepare()
        if refused is not None:
            return refused
        intent = replace(
            intent,
            nonce=uuid4().hex,
            sidecar=self._reservation.sidecar,
            upstream=self._assignment.upstream,
        )
        self._written = intent
        self._rounds += 1
        result, new_version = await self._intents.write(intent, version)
        if result is WriteResult.WRITTEN:
            self._held = Held(intent=intent, version=new_version)
        first = not self._call.key_given
        return after_write(intent, result, first=first, rounds=self._rounds)

    async def _prepare(self) -> _Ended | None:
        """Be admitted to an upstream and set its tokens aside."""
        if self._assignment is None:
            decision = await self._parts.dispatcher.admit(self._facts)
            if not isinstance(decision, Assignment):
                return _Ended(refusal=refusal_of(decision, may_have_run=False))
            self._assignment = decision
        if self._reservation is not None:
            return None
        view = self._parts.pool.views_by_upstream.get(self._assignment.upstream)
        if view is None:
            return _not_run(Reason.NO_UPSTREAM, CONTENDED_RETRY_SECONDS)
        try:
            self._reservation = await self._parts.budgets.reserve(
                self._call.profile, self._call.bound, view.incarnation
            )
        except BudgetRefused as exc:
            return _not_run(Reason(exc.reason), exc.retry_after_seconds)
        return None

    async def _ask(self, decision: AskSidecar) -> RunState | None:
        """Have the sidecar promise never to run a nonce, unless it ran."""
        upstream = self._parts.pool.upstream_of(decision.sidecar)
        if upstream is None:
            return None
        reader = self._parts.pool.subscribe(decision.nonce, upstream)
        try:
            await self._parts.pool.send(upstream, Tombstone(nonce=decision.nonce))
            async with curio.timeout_after(ASK_SECONDS):
                while True:
                    event = await reader.queue.get()
                    if isinstance(event, TombstoneResult):
                        return event.state
        except (LinkLost, curio.TaskTimeout):
            return None
        finally:
            self._parts.pool.unsubscribe(reader)

    async def _go(self, intent: Intent) -> Decision | _Ended:
        """Dispatch, once; the run outlives this request."""
        self.may_have_run = True
        reservation, self._reservation = self._reservation, None
        attempt = self._attempt(intent.upstream, intent.nonce, intent.sidecar)
        running = await curio.spawn(
            self._run_to_outcome, attempt, reservation, self._held, daemon=True
        )
        end = await running.join()
        match end:
            case Completed():
                await self._parts.dispatcher.finished(self._facts.request_id)
                await self._sink.finish(end.status, end.content_type)
                return _Ended()
            case Declined() | Broken(may_have_run=False):
                return await self._elsewhere(end)
        return _unknown_after(end)

    async def _run_to_outcome(
        self, attempt: Attempt, reservation: Reservation, held: Held
    ) -> AttemptEnd:
        order = build_dispatch(
            call=self._call,
            body=self._call.body,
            idempotent=False,
            version=self._version,
            facts=self._facts,
            attempt=attempt,
            reservation=reservation,
            parts=self._parts,
        )
        end = Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        if await attempt.open(order):
            end = await attempt.follow()
        if isinstance(end, Lost) and attempt.may_go_on:
            await self._parts.closing.abandon(
                reservation, attempt, self._call, cancel=False
            )
            return end
        await self._parts.closing.settle(reservation, attempt, end, self._call)
        await self._start_recording(end, held, attempt)
        return end

    async def _start_recording(
        self, end: AttemptEnd, held: Held, attempt: Attempt
    ) -> None:
        outcome = self._outcome(end)
        if outcome is not None:
            done = with_outcome(held.intent, outcome)
            await curio.spawn(self._record, done, held.version, attempt, daemon=True)

    async def _record(self, done: Intent, version: int, attempt: Attempt) -> None:
        """Make an outcome durable and tell the sidecar, which then may forget."""
        if await self._intents.record(done, version):
            message = OutcomeDurable(nonces=(done.nonce,))
            with suppress(LinkLost):
                await self._parts.pool.send(attempt.upstream, message)

    def _outcome(self, end: AttemptEnd) -> Outcome | None:
        match end:
            case Completed(status=status, content_type=content_type, tokens=tokens):
                return Outcome(
                    verdict=Verdict.ANSWERED,
                    status=status,
                    content_type=content_type,
                    body=self._sink.body,
                    tokens=tokens,
                )
            case Broken(may_have_run=True, reason=reason, tokens=tokens):
                return Outcome(verdict=Verdict.UNRESOLVED, reason=reason, tokens=tokens)
            case Lost():
                return Outcome(verdict=Verdict.UNRESOLVED, reason=Reason.SIDECAR_GONE)
        return None

    async def _elsewhere(self, end: Declined | Broken) -> Decision | _Ended:
        """Take the intent over for another sidecar: this one will never run it."""
        self.may_have_run = self._call.key_given
        decision = await self._parts.dispatcher.retry(
            self._facts.request_id, failure_of(end)
        )
        if decision is None:
            return _not_run(Reason.NO_UPSTREAM, CONTENDED_RETRY_SECONDS)
        if not isinstance(decision, Assignment):
            return _Ended(refusal=refusal_of(decision, may_have_run=False))
        self._assignment = decision
        return TakeOver(intent=self._held.intent, version=self._held.version)

    async def _follow(self, decision: Follow) -> _Ended:
        """Give the caller the answer of a run that an earlier attempt started."""
        upstream = self._parts.pool.upstream_of(decision.sidecar)
        if upstream is None:
            return _unknown_after(Lost())
        attempt = self._attempt(upstream, decision.nonce, decision.sidecar)
        if not await attempt.open(Resume(nonce=decision.nonce, offset=0)):
            return _unknown_after(Lost())
        try:
            end = await attempt.follow()
        finally:
            attempt.close()
        if not isinstance(end, Completed):
            return _unknown_after(end)
        await self._start_recording(end, self._held, attempt)
        await self._sink.finish(end.status, end.content_type)
        return _Ended()

    def _attempt(self, upstream: str, nonce: str, sidecar: str) -> Attempt:
        async def emit(data: bytes) -> None:
            await self._sink.write(data, rv.content_type)

        rv = Attempt(
            nonce=nonce,
            upstream=upstream,
            sidecar=sidecar,
            pool=self._parts.pool,
            emit=emit,
        )
        return rv

    async def _answer(self, outcome: Outcome) -> _Ended:
        await self._sink.write(outcome.body, outcome.content_type)
        await self._sink.finish(outcome.status, outcome.content_type)
        return _Ended()

    async def _list_if_asked(self, decision: Refuse) -> None:
        if not decision.list_for_operators or self._held is None:
            return
        outcome = Outcome(verdict=Verdict.UNRESOLVED, reason=decision.reason)
        listed = with_outcome(self._held.intent, outcome)
        await self._intents.write(listed, self._held.version)


def _not_run(reason: Reason, retry_after_seconds: float) -> _Ended:
    refusal = Refusal(
        outcome=CallerOutcome.NOT_RUN,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )
    return _Ended(refusal=refusal)


def _unknown_after(end: AttemptEnd) -> _Ended:
    reason = Reason.RUN_FAILED if isinstance(end, Broken) else Reason.SIDECAR_GONE
    return _ended(Refuse(status=409, outcome=CallerOutcome.UNKNOWN, reason=reason))


def _ended(decision: Refuse) -> _Ended:
    reason = Reason(decision.reason)
    refusal = Refusal(
        outcome=CallerOutcome(decision.outcome),
        reason=reason,
        retry_after_seconds=RETRY_SECONDS_BY_REASON.get(reason, 0.0),
        status=decision.status,
    )
    return _Ended(refusal=refusal)
