"""Processing of one idempotent request, from admission to its complete answer.

A request with an idempotency key is first answered from an earlier run, if a sidecar
has one.  Otherwise the request is admitted, reserves tokens and is run; after a failure
it is run again, at another upstream if possible.  An interrupted stream is resumed if
the next upstream supports that, and otherwise ends with an error event.
"""

from uuid import uuid4

import curio
import msgspec

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.exceptions import BudgetRefused, RunError
from ragwortkeel.messages import (
    Dispatch,
    FailureReason,
    RefusalReason,
    Resume,
    RunState,
)
from ragwortkeel.policy.facts import Assignment, Decision, Failure, RequestFacts
from ragwortkeel.policy.facts import Refusal as PolicyRefusal
from ragwortkeel.router.attempt import (
    RELINK_WAIT_SECONDS,
    Attempt,
    AttemptEnd,
    Broken,
    Completed,
    Declined,
    Lost,
)
from ragwortkeel.router.calls import Call
from ragwortkeel.router.components import Components
from ragwortkeel.router.dispatches import build_dispatch
from ragwortkeel.router.refusals import Outcome, Reason, Refusal
from ragwortkeel.router.sinks import Sink
from ragwortkeel.traces import traceparent_of


class KeyReused(RunError):
    """The idempotency key names an earlier request with another body."""


RERUN_WAIT_SECONDS = 1.0
"""Time to wait for a lost link while the caller has received nothing.

The link was silent for seconds before it counted as lost, so a run elsewhere is faster.
The first run is followed in the background, and cancelled if its request has no
idempotency key.
"""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that marks an upstream's failure; another upstream may succeed."""

MAX_LOCATE_SIDECARS = 16
"""Greatest number of sidecars that are asked for an earlier run.

Both current deployments have fewer sidecars.
"""


class Exchange:
    """Serves one idempotent call into a sink.

    `run` returns None once the answer is complete, or else the final refusal, which
    the caller of `run` sends.  If `run` is cancelled, the open run is followed to its
    end in the background; without an idempotency key no retry can use its answer, and
    it is cancelled at the sidecar.

    Attributes
    ----------
    may_have_run : bool
        Whether an upstream may have run the call.
    tokens : int
        Tokens spent by the run that gave the complete answer.
    """

    def __init__(
        self,
        *,
        call: Call,
        version: int,
        facts: RequestFacts,
        components: Components,
        sink: Sink,
    ) -> None:
        self._call = call
        self._version = version
        self._facts = facts
        self._components = components
        self._sink = sink
        self.may_have_run = False
        self.tokens = 0
        self._first_token_received = False
        self._started_at_version: str | None = None
        self._next_decision: Decision | None = None

    async def run(self) -> Refusal | None:
        """Serve the call; return its refusal, or None if it was answered."""
        try:
            if self._call.key_given and await self._replay():
                return None
        except KeyReused:
            return Refusal(outcome=Outcome.NOT_RUN, reason=Reason.KEY_REUSED)
        try:
            return await self._run_until_done()
        finally:
            # Has no effect on a request that has ended.
            await self._components.dispatcher.record_disconnect(self._facts.request_id)

    async def _replay(self) -> bool:
        """Answer from an earlier run of the request; return whether it was complete."""
        found = await self._find_run()
        if found is None:
            return False
        upstream, nonce = found
        attempt = self._new_attempt(upstream, nonce)
        if not await attempt.open(Resume(nonce=nonce, offset=0)):
            return False
        try:
            end = await attempt.follow()
        finally:
            attempt.close()
        if not isinstance(end, Completed):
            self.may_have_run = True
            self._sink.restart()
            return False
        await self._sink.finish(end.status, end.content_type)
        return True

    async def _find_run(self) -> tuple[str, str] | None:
        names = self._components.directory.upstreams_of(self._facts.back_ends)
        connected = [name for name in names if self._components.pool.is_up(name)]
        async with curio.TaskGroup(wait=all) as group:
            for name in connected[:MAX_LOCATE_SIDECARS]:
                await group.spawn(
                    self._components.pool.locate,
                    name,
                    self._call.profile,
                    self._call.request_id,
                )
        for name, located in zip(connected, group.results, strict=False):
            if located is None:
                continue
            if located.fingerprint not in ("", self._call.fingerprint):
                raise KeyReused(self._call.request_id)
            if located.state in (RunState.RUNNING, RunState.FINISHED):
                return name, located.nonce
        return None

    async def _run_until_done(self) -> Refusal | None:
        decision = await self._components.dispatcher.admit(self._facts)
        while isinstance(decision, Assignment):
            if self._sink.has_started and not self._can_resume(decision.upstream):
                # A run from the start would repeat what the caller already received.
                return _INTERRUPTED
            try:
                end = await self._attempt(decision)
            except BudgetRefused as exc:
                return self._budget_refusal(exc)
            if isinstance(end, Completed) and end.status < MIN_SERVER_ERROR_STATUS:
                await self._finish(end)
                return None
            self._sink.restart()
            decision = await self._decide_after(end)
        if decision is None:
            return Refusal(outcome=Outcome.FAILED, reason=Reason.UPSTREAM_FAILED)
        return refusal_of(decision, may_have_run=self.may_have_run)

    async def _decide_after(self, end: AttemptEnd) -> Assignment | PolicyRefusal | None:
        dispatcher = self._components.dispatcher
        decision, self._next_decision = self._next_decision, None
        if decision is not None:
            return await dispatcher.resolve(decision)
        return await dispatcher.retry(self._facts.request_id, failure_of(end))

    def _may_leave(self, attempt: Attempt) -> bool:
        """Decide whether to give up a run whose link is lost.

        The run may still end well, so another one has to be allowed first.
        """
        found = self._components.directory.upstream(attempt.upstream)
        if found is None or found[0].retired:
            return True
        if self._sink.has_started and not self._is_resumable(attempt):
            return False
        self._next_decision = self._components.dispatcher.leave(
            self._facts.request_id, Failure.UNREACHABLE
        )
        return self._next_decision is not None

    def _is_resumable(self, attempt: Attempt) -> bool:
        """Return whether another upstream can continue the answer."""
        names = self._components.directory.upstreams_of(self._facts.back_ends)
        return any(
            self._can_resume(name)
            for name in names
            if name != attempt.upstream and self._components.pool.is_up(name)
        )

    async def _finish(self, end: Completed) -> None:
        self.tokens = end.tokens
        await self._components.dispatcher.record_finish(self._facts.request_id)
        await self._sink.finish(end.status, end.content_type)

    async def _attempt(self, assignment: Assignment) -> AttemptEnd:
        upstream = assignment.upstream
        view = self._components.pool.views_by_upstream.get(upstream)
        if view is None or not view.link.up:
            return Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        attempt = self._new_attempt(upstream, uuid4().hex)
        self._first_token_received = False
        reservation = await self._components.budgets.reserve(
            self._call.profile, self._call.bound_tokens, attempt.sidecar
        )
        with self._components.tracing.span(
            "dispatch", parent=self._call.traceparent, upstream=upstream
        ) as span:
            dispatch = build_dispatch(
                call=self._call,
                body=self._body(),
                idempotent=True,
                version=self._version,
                facts=self._facts,
                attempt=attempt,
                reservation=reservation,
                components=self._components,
                traceparent=traceparent_of(span),
                alone=assignment.alone,
            )
            return await self._run_attempt(attempt, reservation, dispatch)

    async def _run_attempt(
        self, attempt: Attempt, reservation: Reservation, dispatch: Dispatch
    ) -> AttemptEnd:
        if not self._components.is_current(reservation):
            await self._components.budgets.settle(reservation, 0)
            return Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        # From here on, as a cancellation may come after the dispatch is sent.
        ran_before, self.may_have_run = self.may_have_run, True
        end: AttemptEnd | None = None
        try:
            if await attempt.open(dispatch):
                end = await attempt.follow(
                    link_wait_seconds=self._link_wait_seconds,
                    may_leave=lambda: self._may_leave(attempt),
                )
            else:
                end = Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        finally:
            await self._close(reservation, attempt, end)
        if isinstance(end, Declined):
            self.may_have_run = ran_before
        return end

    def _link_wait_seconds(self) -> float:
        return RELINK_WAIT_SECONDS if self._sink.has_started else RERUN_WAIT_SECONDS

    async def _close(
        self, reservation: Reservation, attempt: Attempt, end: AttemptEnd | None
    ) -> None:
        if end is None or (isinstance(end, Lost) and attempt.may_continue):
            # The request was abandoned, or the link was lost while the sidecar may
            # still be running it.
            stop = not self._call.key_given
            await self._components.settlement.follow_in_background(
                reservation, attempt, self._call, cancel=stop
            )
            return
        await self._components.settlement.settle(reservation, attempt, end, self._call)

    def _new_attempt(self, upstream: str, nonce: str) -> Attempt:
        async def emit(data: bytes) -> None:
            if not self._first_token_received:
                self._first_token_received = True
                await self._components.dispatcher.record_first_token(
                    self._facts.request_id
                )
            if rv.status < MIN_SERVER_ERROR_STATUS:
                if self._started_at_version is None:
                    self._started_at_version = software_version
                await self._sink.write(data, rv.content_type)

        found = self._components.directory.upstream(upstream)
        software_version = found[0].software_version if found is not None else ""
        rv = Attempt(
            nonce=nonce,
            upstream=upstream,
            sidecar=self._components.pool.views_by_upstream[upstream].incarnation,
            pool=self._components.pool,
            emit=emit,
        )
        return rv

    def _body(self) -> bytes:
        if not self._sink.tokens:
            return self._call.body
        fields = msgspec.json.decode(self._call.body)
        fields["resume_from_tokens"] = self._sink.tokens
        return msgspec.json.encode(fields)

    def _can_resume(self, upstream: str) -> bool:
        found = self._components.directory.upstream(upstream)
        if found is None or not found[0].resumes:
            return False
        return found[0].software_version == self._started_at_version

    def _budget_refusal(self, exc: BudgetRefused) -> Refusal:
        return Refusal(
            outcome=Outcome.FAILED if self.may_have_run else Outcome.NOT_RUN,
            reason=Reason(exc.reason),
            retry_after_seconds=exc.retry_after_seconds,
        )


_INTERRUPTED = Refusal(
    outcome=Outcome.FAILED,
    reason=Reason.UPSTREAM_FAILED,
    detail="the answer broke off and cannot be continued",
    retry_after_seconds=1.0,
)


def failure_of(end: AttemptEnd) -> Failure:
    """Return the scheduler's failure class of an attempt without a usable answer."""
    match end:
        case Declined(reason=RefusalReason.OVERLOADED):
            return Failure.OVERLOADED
        case Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE):
            return Failure.UNREACHABLE
        case Declined():
            return Failure.TURNED_AWAY
        case Broken(reason=FailureReason.CRASHED):
            return Failure.CRASHED
        case Broken() | Completed():
            return Failure.ERROR
        case Lost():
            return Failure.UNREACHABLE


def refusal_of(decision: PolicyRefusal, *, may_have_run: bool) -> Refusal:
    """Return the caller's refusal for a refusal of the scheduler."""
    ran = may_have_run or decision.may_have_run
    return Refusal(
        outcome=Outcome.FAILED if ran else Outcome.NOT_RUN,
        reason=Reason(decision.reason),
        retry_after_seconds=decision.retry_after_seconds,
    )
