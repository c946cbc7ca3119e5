"""The run of a filing at a sidecar, from its dispatch to its recorded outcome.

A dispatched run continues after the request that started it ends.  A separate
task follows the run and makes its outcome durable, even if no caller waits for
the answer.
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
from ragwortkeel.router.components import Components
from ragwortkeel.router.dispatches import build_dispatch
from ragwortkeel.router.sinks import BufferedSink
from ragwortkeel.runs.intent import (
    AskSidecar,
    Intent,
    Outcome,
    StoredIntent,
    Verdict,
    with_outcome,
)
from ragwortkeel.traces import traceparent_of

TOMBSTONE_TIMEOUT_SECONDS = 1.0
"""Time to wait for the answer to a tombstone.

A reachable sidecar answers in well under a millisecond.
"""

RESOLVE_SECONDS = 2.0
"""Time left to a request for finding and recording what became of a lost run."""


class FilingRuns:
    """Runs one must-not-repeat call at the sidecars that its filing selects."""

    def __init__(
        self,
        *,
        call: Call,
        version: int,
        facts: RequestFacts,
        components: Components,
        sink: BufferedSink,
    ) -> None:
        self._call = call
        self._version = version
        self._facts = facts
        self._components = components
        self._sink = sink

    def new_attempt(self, upstream: str, nonce: str, sidecar: str) -> Attempt:
        """Return an attempt that writes its answer to the sink."""

        async def emit(data: bytes) -> None:
            await self._sink.write(data, rv.content_type)

        self._sink.restart()
        rv = Attempt(
            nonce=nonce,
            upstream=upstream,
            sidecar=sidecar,
            pool=self._components.pool,
            emit=emit,
        )
        return rv

    async def request_tombstone(self, step: AskSidecar) -> RunState | None:
        """Ask the sidecar never to run a nonce, and return the state of its run.

        Return None if the sidecar is unreachable.
        """
        upstream = self._components.pool.upstream_of(step.sidecar)
        if upstream is None:
            return None
        reader = self._components.pool.subscribe(step.nonce, upstream)
        try:
            message = Tombstone(nonce=step.nonce, sidecar=step.sidecar)
            await self._components.pool.send(upstream, message)
            async with curio.timeout_after(TOMBSTONE_TIMEOUT_SECONDS):
                while True:
                    event = await reader.queue.get()
                    if isinstance(event, TombstoneResult):
                        return event.state
        except (LinkLost, curio.TaskTimeout):
            return None
        finally:
            self._components.pool.unsubscribe(reader)

    async def run(
        self, stored: StoredIntent, reservation: Reservation, *, alone: bool
    ) -> AttemptEnd:
        """Dispatch the stored intent once and return how the run ended."""
        task = await curio.spawn(self._run, stored, reservation, alone, daemon=True)
        return await task.join()

    async def _run(
        self, stored: StoredIntent, reservation: Reservation, alone: bool
    ) -> AttemptEnd:
        intent = stored.intent
        attempt = self.new_attempt(intent.upstream, intent.nonce, intent.sidecar)
        with self._components.tracing.span(
            "dispatch", parent=self._call.traceparent, upstream=intent.upstream
        ) as span:
            dispatch = build_dispatch(
                call=self._call,
                body=self._call.body,
                idempotent=False,
                version=self._version,
                facts=self._facts,
                attempt=attempt,
                reservation=reservation,
                components=self._components,
                traceparent=traceparent_of(span),
                alone=alone,
            )
            # Failure: this router is paused after it wrote the intent, and a
            # retry takes the intent over.  After the pause the router receives
            # new heartbeats and would dispatch a second run.  The sidecar
            # rejects it, because the epoch stored in the intent has expired.
            dispatch = replace(dispatch, epoch=intent.epoch)
            return await self._run_to_outcome(attempt, reservation, stored, dispatch)

    async def _run_to_outcome(
        self,
        attempt: Attempt,
        reservation: Reservation,
        stored: StoredIntent,
        dispatch: Dispatch,
    ) -> AttemptEnd:
        end = Declined(reason=RefusalReason.UPSTREAM_UNREACHABLE)
        if self._components.is_current(reservation) and await attempt.open(dispatch):
            end = await attempt.follow(may_leave=self._must_resolve)
        if isinstance(end, Lost) and attempt.may_continue:
            await self._components.settlement.follow_in_background(
                reservation, attempt, self._call, cancel=False
            )
            return end
        await self._components.settlement.settle(reservation, attempt, end, self._call)
        await self.start_recording(end, stored, attempt)
        return end

    def _must_resolve(self) -> bool:
        """Return whether a run without a link is given up.

        Nothing may run the call again, so the run is followed as long as possible.
        """
        return self._components.clock() >= self._facts.deadline - RESOLVE_SECONDS

    async def start_recording(
        self, end: AttemptEnd, stored: StoredIntent, attempt: Attempt
    ) -> None:
        """Start a task that makes the outcome of a run durable."""
        outcome = self._outcome_of(end)
        if outcome is not None:
            final_intent = with_outcome(stored.intent, outcome)
            await curio.spawn(
                self._record, final_intent, stored.version, attempt, daemon=True
            )

    async def _record(self, intent: Intent, version: int, attempt: Attempt) -> None:
        """Make an outcome durable and notify the sidecar, which may then drop it."""
        if await self._components.intents.record(intent, version):
            message = OutcomeDurable(nonces=(intent.nonce,))
            with suppress(LinkLost):
                await self._components.pool.send(attempt.upstream, message)

    def _outcome_of(self, end: AttemptEnd) -> Outcome | None:
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
