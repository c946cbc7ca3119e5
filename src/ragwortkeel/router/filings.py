"""A request that must not repeat, such as a claim filing or a mailbox hold.

An intent is durable in the platform before anything is dispatched, and its
outcome after; `ragwortkeel.runs.intent` decides every step.  A run that has
been dispatched is never cut off: if the caller leaves or its deadline passes,
the run is followed to its end in the background and its outcome recorded.
"""

from contextlib import suppress
from uuid import uuid4

import curio
import msgspec

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.configuration import INTENTS, Profile
from ragwortkeel.exceptions import (
    AlreadyExists,
    BudgetRefused,
    LinkLost,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
)
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
    decode,
    encode,
    fingerprint_of,
    name_of,
    with_outcome,
    without_platform,
)

ASK_SECONDS = 1.0
"""A sidecar that is up answers in well under a millisecond."""

OUTCOME_RETRY_SECONDS = 1.0
OUTCOME_TRIES = 30
"""The sidecar keeps what it ran and records it as well; this is the fast way."""


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
        self._call = call
        self._profile = profile
        self._version = version
        self._facts = facts
        self._parts = parts
        self._sink = sink
        self._name = name_of(call.profile, call.request_id)
        self._held: Held | None = None
        self._assignment: Assignment | None = None
        self._reservation: Reservation | None = None
        self._written: Intent | None = None
        self._rounds = 0
        self.may_have_run = call.key_given

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
        decision: Decision = Create(intent=self._wanted())
        if self._call.key_given:
            decision = ReadAgain()
        while True:
            match decision:
                case Create(intent=intent):
                    decision = await self._write(intent, None)
                case TakeOver(intent=intent, version=version):
                    decision = await self._write(intent, version)
                case ReadAgain():
                    decision = await self._read()
                case AskSidecar():
                    state = await self._ask(decision)
                    decision = after_tombstone(self._wanted(), self._held, state)
                case Go(intent=intent):
                    decision = await self._go(intent)
                case Follow():
                    decision = await self._follow(decision)
                case Answer(outcome=outcome):
                    await self._answer(outcome)
                    return None
                case Refuse():
                    await self._list_if_asked(decision)
                    return _refusal(decision)
                case Refusal():
                    return decision
                case None:
                    return None

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

    async def _read(self) -> Decision:
        try:
            stored = await self._parts.platform.get(INTENTS, self._name)
        except PlatformError:
            return without_platform(first=not self._call.key_given)
        self._held = None
        if stored is not None:
            self._held = Held(intent=decode(stored.value), version=stored.version)
        wanted = self._written or self._wanted()
        rv = after_read(wanted, self._held)
        if self._rounds and isinstance(rv, TakeOver):
            # Since this attempt began, another one of the same key was told
            # `not_run`; running now would make that a lie.
            return self._not_run(Reason.CONTENDED, 1.0)
        return rv

    async def _make_sure(self, refusal: Refusal) -> Refusal:
        """Return `not_run` only once no other attempt of the key can run.

        Failure: a caller gives up on a slow router and tries another, which is
        full and says `not_run`; the caller files anew under another key, and
        the slow router then runs the first.  The record written here makes the
        slow router's create or update fail, and it finds the refusal.
        """
        if not self._call.key_given or refusal.reason is Reason.KEY_REUSED:
            return refusal
        if refusal.reason is Reason.CONTENDED:
            return refusal
        base = self._held.intent if self._held else self._wanted()
        version = self._held.version if self._held else None
        fresh = msgspec.structs.replace(base, nonce=uuid4().hex)
        result, _ = await self._put(after_refusal(fresh), version)
        if result is WriteResult.WRITTEN:
            return refusal
        return Refusal(
            outcome=CallerOutcome.UNKNOWN,
            reason=refusal.reason,
            retry_after_seconds=max(refusal.retry_after_seconds, 1.0),
        )

    async def _write(self, intent: Intent, version: int | None) -> Decision:
        """Choose a sidecar, then write the intent that names it."""
        refusal = await self._prepare()
        if refusal is not None:
            return refusal
        view = self._parts.pool.views_by_upstream[self._assignment.upstream]
        intent = msgspec.structs.replace(
            intent,
            nonce=uuid4().hex,
            sidecar=view.incarnation,
            upstream=self._assignment.upstream,
        )
        self._written = intent
        self._rounds += 1
        result, new_version = await self._put(intent, version)
        if result is WriteResult.WRITTEN:
            self._held = Held(intent=intent, version=new_version)
        first = not self._call.key_given
        return after_write(intent, result, first=first, rounds=self._rounds)

    async def _put(
        self, intent: Intent, version: int | None
    ) -> tuple[WriteResult, int]:
        value = encode(intent)
        try:
            if version is None:
                rv = await self._parts.platform.create(INTENTS, self._name, value)
            else:
                rv = await self._parts.platform.update(
                    INTENTS, self._name, value, version
                )
        except (AlreadyExists, VersionConflict, ObjectNotFound):
            return WriteResult.CONFLICT, 0
        except OutcomeUnknown:
            return WriteResult.OPEN, 0
        except PlatformUnavailable:
            return WriteResult.UNAVAILABLE, 0
        return WriteResult.WRITTEN, rv

    async def _prepare(self) -> Refusal | None:
        """Be admitted to an upstream and set its tokens aside."""
        if self._assignment is None:
            decision = await self._parts.dispatcher.admit(self._facts)
            if not isinstance(decision, Assignment):
                return refusal_of(decision, may_have_run=False)
            self._assignment = decision
        if self._reservation is None:
            view = self._parts.pool.views_by_upstream.get(self._assignment.upstream)
            if view is None:
                return self._not_run(Reason.NO_UPSTREAM, 1.0)
            try:
                self._reservation = await self._parts.budgets.reserve(
                    self._call.profile, self._call.bound, view.incarnation
                )
            except BudgetRefused as exc:
                return self._not_run(Reason(exc.reason), exc.retry_after_seconds)
        return None

    def _not_run(self, reason: Reason, retry_after_seconds: float) -> Refusal:
        return Refusal(
            outcome=CallerOutcome.NOT_RUN,
            reason=reason,
            retry_after_seconds=retry_after_seconds,
        )

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

    async def _go(self, intent: Intent) -> Decision | Refusal | None:
        """Dispatch, once; the run outlives this request."""
        self.may_have_run = True
        attempt = self._attempt(intent.upstream, intent.nonce, intent.sidecar)
        reservation, self._reservation = self._reservation, None
        running = await curio.spawn(
            self._run_to_outcome, intent, attempt, reservation, daemon=True
        )
        end = await running.join()
        match end:
            case Completed():
                await self._parts.dispatcher.finished(self._facts.request_id)
                await self._sink.finish(end.status, end.content_type)
                return None
            case Declined() | Broken(may_have_run=False):
                return await self._elsewhere(end)
        return _refusal(_unknown_after(end))

    async def _run_to_outcome(
        self, intent: Intent, attempt: Attempt, reservation: Reservation
    ) -> AttemptEnd:
        version = self._held.version
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
        if await attempt.open(order):
            end = await attempt.follow()
        else:
            end = Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        if isinstance(end, Lost) and attempt.may_go_on:
            await self._parts.closing.abandon(
                reservation, attempt, self._call, cancel=False
            )
            return end
        await self._parts.closing.settle(reservation, attempt, end, self._call)
        outcome = self._outcome(end)
        if outcome is not None:
            done = with_outcome(intent, outcome)
            await curio.spawn(self._record, done, version, attempt, daemon=True)
        return end

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
                return Outcome(
                    verdict=Verdict.UNRESOLVED, reason=reason, tokens=tokens
                )
            case Lost():
                return Outcome(verdict=Verdict.UNRESOLVED, reason="sidecar_gone")
        return None

    async def _record(self, done: Intent, version: int, attempt: Attempt) -> None:
        """Make an outcome durable and tell the sidecar, which then may forget."""
        for _ in range(OUTCOME_TRIES):
            result, _ = await self._put(done, version)
            if result in (WriteResult.WRITTEN, WriteResult.CONFLICT):
                break
            await curio.sleep(OUTCOME_RETRY_SECONDS)
        if result is WriteResult.WRITTEN:
            message = OutcomeDurable(nonces=(done.nonce,))
            with suppress(LinkLost):
                await self._parts.pool.send(attempt.upstream, message)

    async def _elsewhere(self, end: Declined | Broken) -> Decision | Refusal:
        """Take the intent over for another sidecar: this one promised not to run."""
        self.may_have_run = self._call.key_given
        refused, version = self._held.intent, self._held.version
        decision = await self._parts.dispatcher.retry(
            self._facts.request_id, failure_of(end)
        )
        if not isinstance(decision, Assignment):
            if decision is None:
                return self._not_run(Reason.NO_UPSTREAM, 1.0)
            return refusal_of(decision, may_have_run=False)
        self._assignment = decision
        return TakeOver(intent=refused, version=version)

    async def _follow(self, decision: Follow) -> Decision | Refusal | None:
        """Give the caller the answer of a run that an earlier attempt started."""
        upstream = self._parts.pool.upstream_of(decision.sidecar)
        if upstream is None:
            return _refusal(_unknown_after(Lost()))
        attempt = self._attempt(upstream, decision.nonce, decision.sidecar)
        if not await attempt.open(Resume(nonce=decision.nonce, offset=0)):
            return _refusal(_unknown_after(Lost()))
        try:
            end = await attempt.follow()
        finally:
            attempt.close()
        if not isinstance(end, Completed):
            return _refusal(_unknown_after(end))
        done = with_outcome(self._held.intent, self._outcome(end))
        await curio.spawn(
            self._record, done, self._held.version, attempt, daemon=True
        )
        await self._sink.finish(end.status, end.content_type)
        return None

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

    async def _answer(self, outcome: Outcome) -> None:
        await self._sink.write(outcome.body, outcome.content_type)
        await self._sink.finish(outcome.status, outcome.content_type)

    async def _list_if_asked(self, decision: Refuse) -> None:
        if not decision.list_for_operators or self._held is None:
            return
        outcome = Outcome(verdict=Verdict.UNRESOLVED, reason=decision.reason)
        await self._put(with_outcome(self._held.intent, outcome), self._held.version)


def _unknown_after(end: AttemptEnd) -> Refuse:
    reason = Reason.RUN_FAILED if isinstance(end, Broken) else Reason.SIDECAR_GONE
    return Refuse(status=409, outcome=CallerOutcome.UNKNOWN, reason=reason)


RETRY_SECONDS_BY_REASON = {
    Reason.PLATFORM_UNAVAILABLE: 10.0,
    Reason.CONTENDED: 1.0,
    Reason.SIDECAR_GONE: 10.0,
}
"""Where coming back helps; an operator has to decide the rest."""


def _refusal(decision: Refuse) -> Refusal:
    reason = Reason(decision.reason)
    return Refusal(
        outcome=CallerOutcome(decision.outcome),
        reason=reason,
        retry_after_seconds=RETRY_SECONDS_BY_REASON.get(reason, 0.0),
        status=decision.status,
    )
