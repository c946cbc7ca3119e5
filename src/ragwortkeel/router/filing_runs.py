"""The run of a filing at a sidecar, from its dispatch to its recorded outcome.

A run that has been dispatched outlives the request that started it: it is
followed in a task of its own, and its outcome is made durable even when nobody
waits for the answer any more.
"""

from contextlib import suppress

import curio
from msgspec.structs import replace

from ragwortkeel.budget.slice import Reservation
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.messages import (
    Dispatch,
    OutcomeDurable,
    RefusalReason,
    RunState,
    Tombstone,
    TombstoneResult,
)
from ragwortkeel.policy.facts import RequestFacts
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
from ragwortkeel.router.parts import Parts
from ragwortkeel.router.sinks import WholeSink
from ragwortkeel.runs.intent import (
    AskSidecar,
    Intent,
    Outcome,
    StoredIntent,
    Verdict,
    with_outcome,
)
from ragwortkeel.traces import traceparent_of

ASK_SECONDS = 1.0
"""A sidecar that is up answers in well under a millisecond."""


class FilingRuns:
    """Runs one must-not-repeat call at sidecars, as its filing decides."""

    def __init__(
        self,
        *,
        call: Call,
        version: int,
        facts: RequestFacts,
        parts: Parts,
        sink: WholeSink,
    ) -> None:
        self._call = call
        self._version = version
        self._facts = facts
        self._parts = parts
        self._sink = sink

    def attempt(self, upstream: str, nonce: str, sidecar: str) -> Attempt:
        """Return an attempt whose answer goes to the sink."""

        async def emit(data: bytes) -> None:
            await self._sink.write(data, rv.content_type)

        self._sink.restart()
        rv = Attempt(
            nonce=nonce,
            upstream=upstream,
            sidecar=sidecar,
            pool=self._parts.pool,
            emit=emit,
        )
        return rv

    async def ask(self, step: AskSidecar) -> RunState | None:
        """Have the sidecar promise never to run a nonce, unless it ran."""
        upstream = self._parts.pool.upstream_of(step.sidecar)
        if upstream is None:
            return None
        reader = self._parts.pool.subscribe(step.nonce, upstream)
        try:
            question = Tombstone(nonce=step.nonce, sidecar=step.sidecar)
            await self._parts.pool.send(upstream, question)
            async with curio.timeout_after(ASK_SECONDS):
                while True:
                    event = await reader.queue.get()
                    if isinstance(event, TombstoneResult):
                        return event.state
        except (LinkLost, curio.TaskTimeout):
            return None
        finally:
            self._parts.pool.unsubscribe(reader)

    async def run(
        self, held: StoredIntent, reservation: Reservation, *, alone: bool
    ) -> AttemptEnd:
        """Dispatch the intent, once, and return how it ended."""
        running = await curio.spawn(self._run, held, reservation, alone, daemon=True)
        return await running.join()

    async def _run(
        self, held: StoredIntent, reservation: Reservation, alone: bool
    ) -> AttemptEnd:
        intent = held.intent
        attempt = self.attempt(intent.upstream, intent.nonce, intent.sidecar)
        with self._parts.tracing.span(
            "dispatch", parent=self._call.traceparent, upstream=intent.upstream
        ) as span:
            order = build_dispatch(
                call=self._call,
                body=self._call.body,
                idempotent=False,
                version=self._version,
                facts=self._facts,
                attempt=attempt,
                reservation=reservation,
                parts=self._parts,
                traceparent=traceparent_of(span),
                alone=alone,
            )
            # Failure: paused since the intent was written, this router wakes to
            # fresh heartbeats and dispatches what a retry has taken over.  The
            # epoch from before the intent is too old by then.
            order = replace(order, epoch=intent.epoch)
            return await self._run_to_outcome(attempt, reservation, held, order)

    async def _run_to_outcome(
        self,
        attempt: Attempt,
        reservation: Reservation,
        held: StoredIntent,
        order: Dispatch,
    ) -> AttemptEnd:
        end = Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        if self._parts.is_current(reservation) and await attempt.open(order):
            end = await attempt.follow()
        if isinstance(end, Lost) and attempt.may_go_on:
            await self._parts.closing.abandon(
                reservation, attempt, self._call, cancel=False
            )
            return end
        await self._parts.closing.settle(reservation, attempt, end, self._call)
        await self.start_recording(end, held, attempt)
        return end

    async def start_recording(
        self, end: AttemptEnd, held: StoredIntent, attempt: Attempt
    ) -> None:
        """Make the outcome of a run durable in the background."""
        outcome = self._outcome(end)
        if outcome is not None:
            done = with_outcome(held.intent, outcome)
            await curio.spawn(self._record, done, held.version, attempt, daemon=True)

    async def _record(self, done: Intent, version: int, attempt: Attempt) -> None:
        """Make an outcome durable and tell the sidecar, which then may forget."""
        if await self._parts.intents.record(done, version):
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
        return None
