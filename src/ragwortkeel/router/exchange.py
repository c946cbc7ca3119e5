"""One idempotent request on its way, from admission to its whole answer.

Stages: find a run that an earlier router started, be admitted, reserve, run,
and on a failure run again elsewhere.  A stream that broke off goes on where it
stopped, if the upstream can do that; otherwise it ends with an error event.
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
from ragwortkeel.policy.facts import Assignment, Failure, RequestFacts
from ragwortkeel.policy.facts import Refusal as PolicyRefusal
from ragwortkeel.router.attempt import (
    RELINK_SECONDS,
    Attempt,
    AttemptEnd,
    Broken,
    Completed,
    Declined,
    Lost,
)
from ragwortkeel.router.calls import Call
from ragwortkeel.router.dispatches import build_dispatch
from ragwortkeel.router.parts import Parts
from ragwortkeel.router.refusals import Outcome, Reason, Refusal
from ragwortkeel.router.sinks import Sink
from ragwortkeel.traces import traceparent_of


class KeyReused(RunError):
    """The idempotency key names an earlier request with another body."""


RERUN_SECONDS = 1.0
"""A caller that has nothing yet is served elsewhere rather than wait for a link
that was silent for seconds already; the first run is cancelled when it is found."""

SERVER_ERROR = 500
"""From here on an answer blames the upstream, and another may do better."""

LOCATE_LIMIT = 16
"""Sidecars asked for an earlier run; more than either deployment of today has."""


class Exchange:
    """Serves one idempotent call into a sink.

    `run` returns None once the answer is whole, else the final refusal, which
    the owner sends.  Cancelling `run` follows the open run to its end in the
    background and, where nobody can come back for it, stops it.
    """

    def __init__(
        self,
        *,
        call: Call,
        version: int,
        facts: RequestFacts,
        parts: Parts,
        sink: Sink,
    ) -> None:
        self._call = call
        self._version = version
        self._facts = facts
        self._parts = parts
        self._sink = sink
        self.may_have_run = False
        self.tokens = 0
        self._heard_first = False

    async def run(self) -> Refusal | None:
        """Serve the call."""
        try:
            if self._call.key_given and await self._replay():
                return None
        except KeyReused:
            return Refusal(outcome=Outcome.NOT_RUN, reason=Reason.KEY_REUSED)
        try:
            return await self._run_until_done()
        finally:
            # A no-op for a request that has ended.
            await self._parts.dispatcher.left(self._facts.request_id)

    async def _replay(self) -> bool:
        """Answer from a run that an earlier attempt of the caller started."""
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
        names = self._parts.directory.upstreams_of(self._facts.back_ends)
        asked = [name for name in names if self._parts.pool.is_up(name)]
        async with curio.TaskGroup(wait=all) as group:
            for name in asked[:LOCATE_LIMIT]:
                await group.spawn(
                    self._parts.pool.locate,
                    name,
                    self._call.profile,
                    self._call.request_id,
                )
        for name, located in zip(asked, group.results, strict=False):
            if located is None:
                continue
            if located.fingerprint not in ("", self._call.fingerprint):
                raise KeyReused(self._call.request_id)
            if located.state in (RunState.RUNNING, RunState.FINISHED):
                return name, located.nonce
        return None

    async def _run_until_done(self) -> Refusal | None:
        decision = await self._parts.dispatcher.admit(self._facts)
        while isinstance(decision, Assignment):
            if self._sink.has_started and not self._can_go_on(decision.upstream):
                # From its start again, the answer would follow what was sent.
                return _BROKEN_OFF
            try:
                end = await self._attempt(decision)
            except BudgetRefused as exc:
                return self._budget_refusal(exc)
            if isinstance(end, Completed) and end.status < SERVER_ERROR:
                await self._finish(end)
                return None
            self._sink.restart()
            decision = await self._parts.dispatcher.retry(
                self._facts.request_id, failure_of(end)
            )
        if decision is None:
            return Refusal(outcome=Outcome.FAILED, reason=Reason.UPSTREAM_FAILED)
        return refusal_of(decision, may_have_run=self.may_have_run)

    async def _finish(self, end: Completed) -> None:
        self.tokens = end.tokens
        await self._parts.dispatcher.finished(self._facts.request_id)
        await self._sink.finish(end.status, end.content_type)

    async def _attempt(self, assignment: Assignment) -> AttemptEnd:
        upstream = assignment.upstream
        view = self._parts.pool.views_by_upstream.get(upstream)
        if view is None or not view.link.up:
            return Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        attempt = self._new_attempt(upstream, uuid4().hex)
        self._heard_first = False
        reservation = await self._parts.budgets.reserve(
            self._call.profile, self._call.bound, attempt.sidecar
        )
        with self._parts.tracing.span(
            "dispatch", parent=self._call.traceparent, upstream=upstream
        ) as span:
            order = build_dispatch(
                call=self._call,
                body=self._body(),
                idempotent=True,
                version=self._version,
                facts=self._facts,
                attempt=attempt,
                reservation=reservation,
                parts=self._parts,
                traceparent=traceparent_of(span),
                alone=assignment.alone,
            )
            return await self._run_attempt(attempt, reservation, order)

    async def _run_attempt(
        self, attempt: Attempt, reservation: Reservation, order: Dispatch
    ) -> AttemptEnd:
        current = self._parts.is_current(reservation)
        if not current or not await attempt.open(order):
            await self._parts.budgets.settle(reservation, 0)
            return Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        ran_before, self.may_have_run = self.may_have_run, True
        end: AttemptEnd | None = None
        try:
            end = await attempt.follow(patience=self._patience)
        finally:
            await self._close(reservation, attempt, end)
        if isinstance(end, Declined):
            self.may_have_run = ran_before
        return end

    def _patience(self) -> float:
        return RELINK_SECONDS if self._sink.has_started else RERUN_SECONDS

    async def _close(
        self, reservation: Reservation, attempt: Attempt, end: AttemptEnd | None
    ) -> None:
        if end is None or (isinstance(end, Lost) and attempt.may_go_on):
            # Given up on, or cut off while the sidecar may still be running it.
            stop = not self._call.key_given
            await self._parts.closing.follow_in_background(
                reservation, attempt, self._call, cancel=stop
            )
            return
        await self._parts.closing.settle(reservation, attempt, end, self._call)

    def _new_attempt(self, upstream: str, nonce: str) -> Attempt:
        async def emit(data: bytes) -> None:
            if not self._heard_first:
                self._heard_first = True
                await self._parts.dispatcher.first_token(self._facts.request_id)
            if rv.status < SERVER_ERROR:
                await self._sink.write(data, rv.content_type)

        rv = Attempt(
            nonce=nonce,
            upstream=upstream,
            sidecar=self._parts.pool.views_by_upstream[upstream].incarnation,
            pool=self._parts.pool,
            emit=emit,
        )
        return rv

    def _body(self) -> bytes:
        if not self._sink.tokens:
            return self._call.body
        fields = msgspec.json.decode(self._call.body)
        fields["resume_from_tokens"] = self._sink.tokens
        return msgspec.json.encode(fields)

    def _can_go_on(self, upstream: str) -> bool:
        found = self._parts.directory.upstream(upstream)
        return found is not None and found[0].resumes

    def _budget_refusal(self, exc: BudgetRefused) -> Refusal:
        return Refusal(
            outcome=Outcome.FAILED if self.may_have_run else Outcome.NOT_RUN,
            reason=Reason(exc.reason),
            retry_after_seconds=exc.retry_after_seconds,
        )


_BROKEN_OFF = Refusal(
    outcome=Outcome.FAILED,
    reason=Reason.UPSTREAM_FAILED,
    detail="the answer broke off and cannot be continued",
    retry_after_seconds=1.0,
)


def failure_of(end: AttemptEnd) -> Failure:
    """Return how the scheduler counts an attempt without a usable answer."""
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
    """Return the caller's refusal for the scheduler's."""
    ran = may_have_run or decision.may_have_run
    return Refusal(
        outcome=Outcome.FAILED if ran else Outcome.NOT_RUN,
        reason=Reason(decision.reason),
        retry_after_seconds=decision.retry_after_seconds,
    )
