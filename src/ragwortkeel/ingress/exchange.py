"""One request that matched a route, from its reservation to its final response."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from time import monotonic

import curio

from ragwortkeel.budget.account import AccountReservation
from ragwortkeel.exceptions import CallerLeft
from ragwortkeel.http_responder import ABORT_DRAIN_SECONDS, Responder
from ragwortkeel.ingress.answer_bytes import HeldAnswer
from ragwortkeel.ingress.attempt import (
    Attempt,
    CallerRequest,
    CallerResponse,
    forwarded_fields,
)
from ragwortkeel.ingress.configuration import Customer, Route, Service, Upstream
from ragwortkeel.ingress.crashes import BrokenRun
from ragwortkeel.ingress.dispatch import NotAssigned
from ragwortkeel.ingress.error_responses import (
    BROKEN,
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    INSTANCE_OVERLOADED,
    NO_UPSTREAM,
    OVERLOADED,
    QUARANTINED,
    STOPPED,
    STOPPING,
    TIMED_OUT,
    UPSTREAMS_WITHHELD,
    VERSION_UNAVAILABLE,
    VERSION_UNKNOWN,
    ErrorResponse,
    end_with_error,
    send_error,
    with_retry_after,
)
from ragwortkeel.ingress.front_components import FrontComponents
from ragwortkeel.ingress.origin_exchange import Found, NotFound
from ragwortkeel.ingress.outcomes import (
    Broken,
    BrokenReason,
    FullResponse,
    NotRun,
    NotRunReason,
    Outcome,
    StreamCompleted,
)
from ragwortkeel.ingress.placement import Assignment, Job
from ragwortkeel.ingress.prefixes import shared_block_ids
from ragwortkeel.ingress.replacement import Lack, Replacement, Replacements
from ragwortkeel.ingress.speed_tracker import AnswerTimer
from ragwortkeel.ingress.start_checks import (
    REPORT_SECONDS,
    SHORT_WAIT_SECONDS,
    StartCheck,
)
from ragwortkeel.ingress.upstream_connection import ResponseHead, UpstreamConnection
from ragwortkeel.ingress.usage import Usage
from ragwortkeel.logs import log_info
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.stop_plan import StopPlan
from ragwortkeel.policy.stream_origins import Origin, stream_key

MAX_REJECTED_SENDS = 2
"""Number of rejected sends after which a request may still be sent once more.

Each send adds load to a busy service, and a later one finds no more headroom than the
ones before.
"""

MAX_QUEUE_TIME_FRACTION = 0.5
"""Fraction of the time left that a request may be queued for.

The rest has to be enough for its run.
"""

MAX_OVERLAP_SECONDS = 0.3
"""Time in which a replacement may turn the request away before the silent run ends.

A full upstream answers at once.
"""

MAX_LOGGED_CHARACTERS = 64
"""Characters of the request id in a caller's `resumes` header that a line contains."""

ERROR_STATUS = 400
"""Lowest status of a response that is no answer to the request."""

SERVER_ERROR_STATUS = 500
"""Lowest status of a failure that another upstream may not have.

A 4xx status is about the request itself and would be the same at each upstream.
"""


@dataclass(frozen=True, kw_only=True)
class AcceptedRequest:
    """A request that matched a route and may run.

    Attributes
    ----------
    fingerprint : str
        Hash of target, customer and body, which identifies the request in the
        quarantine.
    arrived_at : float
        Monotonic second at which the request arrived.
    revision : int
        Revision of the configuration that accepted the request.
    """

    call: CallerRequest
    job: Job
    service: Service
    route: Route
    customer: Customer | None
    usage: Usage | None
    fingerprint: str
    arrived_at: float
    revision: int


@dataclass(frozen=True, kw_only=True)
class _TryAgain:
    """The request may run at another upstream."""


_AGAIN = _TryAgain()

_OUTCOME_BY_SOURCE = {"own": "own", "sole_version": "sole_version"}


@dataclass(kw_only=True, eq=False)
class _Run:
    """A run of the request at one upstream.

    Attributes
    ----------
    is_left : bool
        Whether a silent upstream was told to stop.
    is_counted : bool
        Whether the run counts among the attempts of the request.
    """

    assignment: Assignment
    attempt: Attempt
    is_left: bool = False
    is_counted: bool = False


class Exchange:
    """Reserves tokens for one accepted request, runs it and sends the response.

    Parameters
    ----------
    components : FrontComponents
        Objects that all requests share.
    to : Responder
        Sends the response to the caller.
    """

    def __init__(
        self, *, components: FrontComponents, accepted: AcceptedRequest, to: Responder
    ) -> None:
        self._components = components
        self._accepted = accepted
        self._responder = to
        self._retries = components.retries.get(accepted.service.name)
        self._held_answer = HeldAnswer(
            account=components.answers, request_id=accepted.call.request_id
        )
        self._caller_response = CallerResponse(
            responder=to, last_event=accepted.call.last_event, held=self._held_answer
        )
        self._runs = 0
        self._rejected_sends = 0
        self._first_token_seconds: float | None = None
        self._answered_since: float | None = None
        self._may_have_run = False
        self._complete = False
        self._job = accepted.job
        self._blocks = shared_block_ids(accepted.job.prompt_blocks)
        self._tried_upstreams: frozenset[str] = frozenset()
        self._upstream_failure: tuple[Assignment, FullResponse] | None = None
        self._attempt: Attempt | None = None
        self._replacements = Replacements(
            dispatcher=components.dispatcher,
            placement=components.placement,
            connections=components.connections,
            retries=self._retries,
            obstacle=self._obstacle,
        )
        self._replacement: Replacement | None = None
        self._open_runs: list[_Run] = []
        self._silent_run: _Run | None = None
        self._lack: Lack | None = None
        self.deadline = accepted.call.deadline

    async def run(self) -> None:
        """Run the request and send its final response.

        Raises
        ------
        CallerLeft
            The caller closed its connection before the response.
        """
        if self._components.sweep is not None:
            self._components.sweep.sweep_if_due()
        self._components.open_requests.add(self)
        try:
            await self._run()
        finally:
            self._components.open_requests.discard(self)
            self._held_answer.close()
            replacement = self._take_replacement()
            if replacement is not None:
                await self._replacements.drop(replacement)

    def caller_has_left(self) -> bool:
        """Return whether the caller has closed its connection, checking the socket."""
        return self._responder.peer_disconnected()

    def end_left(self) -> None:
        """End the request at its sockets, because its caller has left."""
        self._log_caller_left("swept")
        self._responder.end_unanswered()
        self._cut_off()

    def end_late(self) -> None:
        """End the request at its sockets, because its time limit has passed."""
        self._end(TIMED_OUT if self._was_sent else INSTANCE_OVERLOADED)

    def may_begin(self, plan: StopPlan) -> bool:
        """Return whether a stop leaves time for its run, or that has begun."""
        # Without another run, a request whose run broke off has failed for certain.
        return self._was_sent or plan.may_begin(
            now=monotonic(), run_seconds=self._expected_run_seconds()
        )

    def end_stopped(self, plan: StopPlan) -> None:
        """End the request at its sockets, because the process stops."""
        accepted = self._accepted
        log_info(
            "ended_by_stop",
            request=accepted.call.request_id,
            stage=self._stage(),
            arrived=round(accepted.arrived_at - plan.began_at, 3),
            events=self._caller_response.splitter.events,
            expected=self._expected_run_seconds(),
        )
        self._end(STOPPED if self._was_sent else STOPPING)

    @property
    def _was_sent(self) -> bool:
        """Whether an upstream may run, or may have run, the request."""
        return self._may_have_run or (self._attempt is not None and self._attempt.sent)

    def _stage(self) -> str:
        if self._caller_response.started:
            return "answering"
        return "sent" if self._was_sent else "waiting"

    def _expected_run_seconds(self) -> float | None:
        return self._components.run_times.expected_seconds(
            self._run_kind(), size=self._run_size()
        )

    def _run_kind(self) -> str:
        return f"{self._accepted.service.name}/{self._accepted.route.repeats}"

    def _run_size(self) -> int:
        """Return the tokens that the answer lacks at most, 1 without a bound."""
        usage, engine = self._accepted.usage, self._accepted.service.engine
        if usage is None:
            return 1
        event_tokens = engine.event_tokens if engine else 1
        received = self._caller_response.splitter.events * event_tokens
        return max(1, usage.answer_tokens - received)

    def _end(self, error: ErrorResponse) -> None:
        if self._caller_response.started:
            self._record_cut_off(error)
        else:
            self._record_refusal(error)
        end_with_error(self._responder, error)
        self._cut_off()

    def _cut_off(self) -> None:
        if self._attempt is not None:
            self._attempt.cut_off()

    async def _run(self) -> None:
        accepted = self._accepted
        self._raise_if_caller_left("arrived")
        if self._components.sweep is not None and self._seconds_left() <= 0.0:
            await self._send_error(INSTANCE_OVERLOADED)
            return
        if self._is_quarantined():
            await self._send_error(QUARANTINED)
            return
        if accepted.call.last_event and accepted.route.resumable:
            error = await self._bind_to_origin()
            if error is not None:
                await self._send_error(error)
                return
        reservation = await self._reserve()
        if isinstance(reservation, ErrorResponse):
            await self._send_error(reservation)
            return
        self._retries.record_first_attempt()
        try:
            error = await self._run_until_answered()
            if error is not None:
                await self._send_error(error)
        finally:
            if reservation is not None:
                spent = self._spent_tokens()
                self._components.keeper.settle(reservation, spent=spent)
                log_info(
                    "settled",
                    request=accepted.call.request_id,
                    customer=reservation.customer,
                    reserved=reservation.tokens,
                    spent=spent,
                )

    async def _bind_to_origin(self) -> ErrorResponse | None:
        """Bind a stream that the caller takes up to the version that began it.

        Return an error if no upstream may continue it for certain.
        """
        accepted = self._accepted
        service = accepted.service.name
        found = await self._components.origins.find(self._stream_key(), service=service)
        log_info(
            "stream_taken_up",
            request=accepted.call.request_id,
            resumes=accepted.call.resumes[:MAX_LOGGED_CHARACTERS],
            service=service,
            **_origin_fields(found),
        )
        match found:
            case Found(origin=origin, source=source):
                outcome = _OUTCOME_BY_SOURCE.get(source, "peer")
                self._job = replace(self._job, version=origin.version)
                can_continue = origin.service == service and (
                    not self._components.dispatcher.lacks_version(self._job)
                )
                error = None if can_continue else VERSION_UNAVAILABLE
            case NotFound():
                outcome, error = "unknown", VERSION_UNKNOWN
        self._components.metrics.record_stream_taken_up(origin=outcome)
        return error

    def _stream_key(self) -> int:
        call = self._accepted.call
        first_id = call.resumes or call.request_id
        return stream_key(customer=call.customer, request_id=first_id)

    async def _reserve(self) -> AccountReservation | ErrorResponse | None:
        accepted, keeper = self._accepted, self._components.keeper
        customer, usage = accepted.customer, accepted.usage
        if customer is None or customer.prepaid is None or usage is None:
            return None
        seconds_left = accepted.call.deadline - monotonic()
        reservation = await keeper.reserve(
            customer, usage.total_tokens, seconds_left=seconds_left
        )
        if reservation is not None:
            return reservation
        keeper.log_shortage(accepted.call.request_id, customer, usage.total_tokens)
        if keeper.is_exhausted(customer, usage.total_tokens):
            return BUDGET_EXHAUSTED
        return with_retry_after(BUDGET_UNREACHABLE, keeper.seconds_until_tokens())

    def _spent_tokens(self) -> int:
        if not self._may_have_run:
            return 0
        engine = self._accepted.service.engine
        return self._accepted.usage.cost(
            events=self._caller_response.splitter.events,
            event_tokens=engine.event_tokens if engine else 1,
            complete=self._complete,
        )

    async def _run_until_answered(self) -> ErrorResponse | None:
        """Run at upstreams until a response is final; return an error left to send."""
        try:
            while True:
                run = await self._next_run()
                if isinstance(run, ErrorResponse):
                    return await self._give_up(run)
                outcome = await self._follow(run, run.attempt.run)
                if self._silent_run is not None:
                    run, outcome = await self._choose_run(run, outcome)
                if _is_silent(outcome):
                    self._silent_run = run
                else:
                    await self._end_run(run)
                done = await self._handle_outcome(run.assignment, outcome)
                if not isinstance(done, _TryAgain):
                    return await self._give_up(done) if done else None
                self._components.open_requests.add(self)
        finally:
            for run in tuple(self._open_runs):
                if run.assignment.is_probe:
                    name = run.assignment.upstream.name
                    self._components.placement.record_no_verdict(name, monotonic())
                await self._end_run(run)

    async def _next_run(self) -> _Run | ErrorResponse:
        """Return a run at the replacement of a silent upstream, or at any."""
        replacement = self._take_replacement()
        if replacement is not None:
            return self._new_run(replacement.assignment, replacement.connection)
        assignment = await self._acquire()
        if isinstance(assignment, ErrorResponse):
            return assignment
        return self._new_run(assignment, None)

    async def _choose_run(self, run: _Run, outcome: Outcome) -> tuple[_Run, Outcome]:
        """Go on at the silent upstream if its replacement has not run the request.

        Return the run that is kept, and its outcome.
        """
        silent, self._silent_run = self._silent_run, None
        if silent.is_left or not _may_not_have_run(outcome):
            await self._end_run(silent)
            return run, outcome
        await self._end_run(run)
        await self._record_failed_replacement(run.assignment, outcome)
        log_info(
            "silent_upstream_resumed",
            request=self._accepted.call.request_id,
            upstream=silent.assignment.upstream.name,
            instead_of=run.assignment.upstream.name,
        )
        return silent, await self._follow(silent, silent.attempt.resume)

    async def _end_run(self, run: _Run) -> None:
        """Close the connection of a run and give its place back."""
        self._open_runs.remove(run)
        await run.attempt.close()
        await self._components.dispatcher.release(run.assignment)

    async def _record_failed_replacement(
        self, assignment: Assignment, outcome: NotRun | Broken
    ) -> None:
        name = assignment.upstream.name
        self._tried_upstreams |= {name}
        self._log_failure(assignment, outcome.reason, outcome.detail)
        match outcome:
            case NotRun(reason=reason):
                self._record_not_run(name, reason)
            case Broken():
                self._components.placement.record_failure(
                    name, Failure.ERROR, monotonic()
                )
                await self._components.crashes.record_broken_run(
                    assignment.upstream, self._broken_run()
                )

    def _leave_silent_run(self) -> None:
        """Let a silent upstream stop, as another one runs the request."""
        if self._silent_run is not None:
            self._silent_run.is_left = True
            self._silent_run.attempt.cut_off()

    async def _end_overlap(self, run: _Run) -> None:
        await curio.sleep(MAX_OVERLAP_SECONDS)
        async with curio.disable_cancellation():
            if self._silent_run is run:
                self._silent_run = None
                await self._end_run(run)

    async def _give_up(self, error: ErrorResponse) -> ErrorResponse | None:
        if self._upstream_failure is not None and not self._caller_response.started:
            # The upstream's response says more than one of the ingress would.
            await self._forward(*self._upstream_failure)
            return None
        return await self._abort_if_started(error)

    async def _forward(self, assignment: Assignment, response: FullResponse) -> None:
        head = response.head
        fields = forwarded_fields(head)
        await self._responder.respond(head.status, response.body, fields)
        self._log_served(assignment, status=head.status, is_framed=head.is_framed)

    async def _acquire(self) -> Assignment | ErrorResponse:
        accepted, now = self._accepted, monotonic()
        stop_plan = self._components.open_requests.stop_plan
        if stop_plan is not None and not self.may_begin(stop_plan):
            return STOPPING
        seconds_left = accepted.call.deadline - now
        acquired = await self._components.dispatcher.acquire(
            self._job,
            service=accepted.service,
            latest_start=now + seconds_left * MAX_QUEUE_TIME_FRACTION,
            tried_upstreams=self._tried_upstreams,
        )
        if not isinstance(acquired, NotAssigned):
            return acquired
        if self._may_have_run:
            return BROKEN
        if acquired.withheld:
            return UPSTREAMS_WITHHELD
        if acquired.lacks_version:
            return VERSION_UNAVAILABLE
        if not acquired.upstreams:
            return NO_UPSTREAM
        log_info(
            "no_room",
            request=accepted.call.request_id,
            service=accepted.service.name,
            waiting=acquired.queued,
            upstreams=acquired.upstreams,
            seconds=round(acquired.wait_seconds, 3),
            rate=acquired.own_per_second,
        )
        return with_retry_after(OVERLOADED, acquired.wait_seconds)

    def _new_run(
        self, assignment: Assignment, connection: UpstreamConnection | None
    ) -> _Run:
        components, accepted = self._components, self._accepted
        log_info(
            "dispatched",
            request=accepted.call.request_id,
            route=accepted.route.name,
            upstream=assignment.upstream.name,
            run=self._runs + 1,
            unread=assignment.unread_tokens,
            running=assignment.load.running,
            unread_there=assignment.load.unread_tokens,
            waited=round(monotonic() - accepted.arrived_at, 3),
            configuration=accepted.revision,
            version=assignment.upstream.version,
            **components.dispatcher.entries_fields(),
            **self._resumption_fields(),
        )
        answer = AnswerTimer(
            assignment=assignment,
            is_engine=accepted.service.engine is not None,
            tracker=components.speeds,
        )

        def receive_head(head: ResponseHead, sent_at: float) -> None:
            answer.receive_head(head, sent_at)
            components.announcements.receive_head(
                assignment.upstream, head, sent_at=sent_at
            )

        self._answered_since = None
        self._lack = None

        def receive_event() -> None:
            self._lack = None
            answer.receive_event()
            if self._answered_since is None:
                self._answered_since = monotonic()
            self._record_first_token(assignment)

        attempt = Attempt(
            call=accepted.call,
            assignment=assignment,
            caller_response=self._caller_response,
            names=components.names,
            connections=components.connections,
            obstacle=lambda: self._obstacle(assignment),
            confirm_version=partial(self._confirm_version, assignment),
            secure_replacement=partial(self._secure_replacement, assignment),
            connection=connection,
            on_head=receive_head,
            on_accepted=self._leave_silent_run,
            on_first_event=receive_event,
            on_stream_started=lambda: self._record_stream_started(assignment),
            checks_deadline=components.sweep is not None,
            delivery_seconds=components.event_delivery_seconds,
        )
        run = _Run(assignment=assignment, attempt=attempt)
        self._open_runs.append(run)
        return run

    async def _follow(
        self, run: _Run, follow: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Run or resume an attempt, and note whether the request may have run."""
        attempt = self._attempt = run.attempt
        timer: curio.Task | None = None
        if self._silent_run is not None:
            timer = await curio.spawn(self._end_overlap, self._silent_run, daemon=True)
        outcome: Outcome | None = None
        size, began_at = self._run_size(), monotonic()
        try:
            outcome = await follow()
            if isinstance(outcome, FullResponse | StreamCompleted):
                # A ready answer is delivered even if it is late.
                self._components.open_requests.discard(self)
                self._record_run_time(outcome, size, monotonic() - began_at)
            return outcome
        except CallerLeft:
            if not self._responder.ended:
                self._log_caller_left("placed")
            raise
        finally:
            self._attempt = None
            # A request that is cancelled after sending may have run as well.
            if attempt.sent and not run.is_counted and not isinstance(outcome, NotRun):
                run.is_counted = self._may_have_run = True
                self._runs += 1
            if timer is not None:
                await timer.cancel()

    def _record_run_time(
        self, outcome: FullResponse | StreamCompleted, size: int, seconds: float
    ) -> None:
        match outcome:
            case FullResponse(head=head) if head.status >= ERROR_STATUS:
                return
        # How much a stream that was taken up lacked is not known.
        if not self._accepted.call.last_event:
            self._components.run_times.record(
                self._run_kind(), size=size, seconds=seconds
            )

    def _obstacle(self, assignment: Assignment) -> NotRunReason | None:
        """Return why the request may not be sent to its upstream, None if it may."""
        components, upstream = self._components, assignment.upstream
        if not components.dispatcher.accepts(upstream):
            return NotRunReason.LEAVING
        if components.placement.is_paused(upstream, monotonic()):
            return NotRunReason.PAUSED
        if self._is_quarantined():
            return NotRunReason.QUARANTINED
        if not components.dispatcher.may_continue_at(assignment.job, upstream):
            return NotRunReason.MAY_HAVE_RESTARTED
        return None

    async def _confirm_version(self, assignment: Assignment) -> bool:
        """Return whether an upstream may get the request, by its software version."""
        if assignment.job.version is None:
            return True
        # A silent upstream is left before a report that is late would come.
        is_held = self._silent_run is not None
        seconds = SHORT_WAIT_SECONDS if is_held else REPORT_SECONDS
        return await self._components.starts.may_continue_at(
            assignment.upstream, seconds=seconds
        )

    def _resumption_fields(self) -> dict[str, object]:
        """Return the log fields of a run that continues a stream; none for others."""
        last_id = self._caller_response.splitter.last_id
        if last_id is None:
            return {}
        resumes = self._accepted.call.resumes[:MAX_LOGGED_CHARACTERS]
        return {"after": last_id, "resumes": resumes}

    def _raise_if_caller_left(self, stage: str) -> None:
        if self._responder.peer_disconnected():
            self._log_caller_left(stage)
            raise CallerLeft(self._accepted.call.request_id)

    def _log_caller_left(self, stage: str) -> None:
        log_info(
            "caller_left",
            request=self._accepted.call.request_id,
            stage=stage,
            after=round(monotonic() - self._accepted.arrived_at, 3),
        )

    async def _secure_replacement(
        self, assignment: Assignment, silent: UpstreamConnection
    ) -> bool:
        """Return whether a silent upstream may be left for one that is held."""
        accepted, name = self._accepted, assignment.upstream.name
        tried_upstreams = self._tried_upstreams | {name}
        if self._lack is None:
            # New requests go elsewhere also while this one stays.
            self._components.placement.record_failure(name, Failure.ERROR, monotonic())
        found = self._lack_besides_room(tried_upstreams)
        if found is None:
            found = await self._replacements.secure(
                self._job,
                service=accepted.service,
                tried_upstreams=tried_upstreams,
                silent=silent,
            )
        match found:
            case Replacement():
                self._replacement = found
                self._log_retry(BrokenReason.SILENT, allowed=True, charged=True)
                return True
            case Lack() if found is not self._lack:
                self._lack = found
                self._log_silent_upstream_kept(assignment, found)
        return False

    def _lack_besides_room(self, tried_upstreams: frozenset[str]) -> Lack | None:
        """Return what forbids another run of a stream, apart from room and retries."""
        components = self._components
        if self._runs + 1 >= self._accepted.route.max_attempts:
            return Lack.ATTEMPTS
        if components.crashes.is_suspect(self._blocks):
            return Lack.SUSPECT
        is_ambiguous = components.origins.is_ambiguous(self._stream_key())
        if self._caller_response.started and is_ambiguous:
            return Lack.VERSION
        if components.dispatcher.lacks_version(self._job, tried_upstreams):
            return Lack.VERSION
        return None

    def _take_replacement(self) -> Replacement | None:
        replacement, self._replacement = self._replacement, None
        return replacement

    def _log_silent_upstream_kept(self, assignment: Assignment, lack: Lack) -> None:
        log_info(
            "silent_upstream_kept",
            request=self._accepted.call.request_id,
            upstream=assignment.upstream.name,
            lacks=lack,
            events=self._caller_response.splitter.events,
            after=round(monotonic() - self._accepted.arrived_at, 3),
        )
        self._components.metrics.record_decision(
            decision="silent_upstream_kept", reason=lack
        )

    async def _record_stream_started(self, assignment: Assignment) -> None:
        """Bind the stream to the version whose events its caller is about to get."""
        upstream = assignment.upstream
        self._job = replace(self._job, version=upstream.version)
        if self._accepted.route.resumable:
            origin = None
            if await self._has_version_of_entry(upstream):
                origin = Origin(service=upstream.service, version=upstream.version)
            await self._components.origins.record(
                self._stream_key(), origin, upstream=upstream.name
            )

    async def _has_version_of_entry(self, upstream: Upstream) -> bool:
        """Return whether a stream that begins at an upstream is of its entry's version.

        An upstream that does not tell its start counts as unchanged.
        """
        if not self._components.dispatcher.is_certain(upstream):
            return False
        start = await self._components.starts.check(upstream)
        # Its entry may have been written anew meanwhile.
        is_certain = self._components.dispatcher.is_certain(upstream)
        return is_certain and start is not StartCheck.OTHER

    def _record_first_token(self, assignment: Assignment) -> None:
        if self._components.sweep is not None:
            self._components.sweep.sweep_if_due()
        if not assignment.prompt_read:
            self._components.placement.record_first_token(assignment)
            waited = monotonic() - self._accepted.arrived_at
            self._first_token_seconds = self._first_token_seconds or waited
            self._components.metrics.record_first_token(
                service=self._accepted.route.repeats, seconds=waited
            )

    async def _handle_outcome(
        self, assignment: Assignment, outcome: Outcome
    ) -> ErrorResponse | _TryAgain | None:
        """Return an error to send, None after a final response, or `_AGAIN`."""
        components, name = self._components, assignment.upstream.name
        if self._responder.ended:
            # The sweep has ended the run, so its outcome says nothing of the upstream.
            raise CallerLeft(self._accepted.call.request_id)
        match outcome:
            case FullResponse(head=head) if self._caller_response.started:
                self._log_failure(assignment, "error", str(head.status))
                self._tried_upstreams |= {name}
                return _AGAIN if self._may_run_again("error") else BROKEN
            case FullResponse(head=head) as response:
                if head.status >= SERVER_ERROR_STATUS and self._may_run_again("error"):
                    self._log_failure(assignment, "error", str(head.status))
                    self._upstream_failure = assignment, response
                    self._tried_upstreams |= {name}
                    return _AGAIN
                is_answer = head.status < ERROR_STATUS and head.is_framed
                await self._record_success(assignment, is_answer=is_answer)
                await self._forward(assignment, response)
                return None
            case StreamCompleted(is_framed=is_framed):
                self._complete = True
                await self._record_success(assignment, is_answer=is_framed)
                self._log_served(assignment, status=200, is_framed=is_framed)
                return None
            case NotRun(reason=reason, detail=detail):
                self._log_failure(assignment, reason, detail)
                return self._after_not_run(name, reason)
            case Broken(reason=reason, detail=detail):
                self._log_failure(assignment, reason, detail)
                if reason is BrokenReason.CLOSED:
                    await components.crashes.record_broken_run(
                        assignment.upstream, self._broken_run()
                    )
                return self._after_broken(name, reason)

    def _is_quarantined(self) -> bool:
        accepted = self._accepted
        return self._components.crashes.refuses(
            accepted.call.request_id, accepted.fingerprint, self._blocks
        )

    def _broken_run(self) -> BrokenRun:
        accepted, now = self._accepted, monotonic()
        answered_since = self._answered_since
        return BrokenRun(
            request_id=accepted.call.request_id,
            fingerprint=accepted.fingerprint,
            blocks=self._blocks,
            answered_seconds=0.0 if answered_since is None else now - answered_since,
            broken_at=now,
        )

    def _after_not_run(
        self, name: str, reason: NotRunReason
    ) -> ErrorResponse | _TryAgain:
        was_sent = reason in (NotRunReason.FULL, NotRunReason.OTHER_INSTANCE)
        self._record_not_run(name, reason)
        if was_sent:
            self._rejected_sends += 1
        self._tried_upstreams |= {name}
        if reason is NotRunReason.QUARANTINED:
            return BROKEN if self._may_have_run else QUARANTINED
        if self._rejected_sends > MAX_REJECTED_SENDS or self._seconds_left() <= 0:
            return BROKEN if self._may_have_run else OVERLOADED
        if self._lacks_version():
            return BROKEN if self._may_have_run else VERSION_UNAVAILABLE
        if not was_sent:
            # Nothing reached the upstream, so sending elsewhere is no repetition.
            self._log_retry(reason, allowed=True, charged=False)
        elif not self._spend_retry(reason):
            return BROKEN if self._may_have_run else OVERLOADED
        return _AGAIN

    def _record_not_run(self, name: str, reason: NotRunReason) -> None:
        placement, now = self._components.placement, monotonic()
        match reason:
            case NotRunReason.UNREACHABLE | NotRunReason.OTHER_INSTANCE:
                placement.record_failure(name, Failure.UNREACHABLE, now)
            case _:
                placement.record_no_verdict(name, now)
        if reason is NotRunReason.OTHER_INSTANCE:
            self._components.dispatcher.record_replaced(name)

    def _after_broken(
        self, name: str, reason: BrokenReason
    ) -> ErrorResponse | _TryAgain:
        self._tried_upstreams |= {name}
        if reason is BrokenReason.DEADLINE:
            return TIMED_OUT
        if reason is BrokenReason.SILENT:
            return _AGAIN
        self._components.placement.record_failure(name, Failure.ERROR, monotonic())
        return _AGAIN if self._may_run_again(reason) else BROKEN

    def _may_run_again(self, cause: str) -> bool:
        """Return whether route, deadline and retry budget allow another run.

        If so, one retry is spent.
        """
        route = self._accepted.route
        if not route.repeatable or self._runs >= route.max_attempts:
            return False
        if self._components.crashes.is_suspect(self._blocks):
            self._log_retry(f"suspect_{cause}", allowed=False, charged=False)
            return False
        if self._lacks_version():
            return False
        return self._seconds_left() > 0 and self._spend_retry(cause)

    def _lacks_version(self) -> bool:
        """Return whether a started stream has no upstream left to continue it."""
        components = self._components
        is_ambiguous = components.origins.is_ambiguous(self._stream_key())
        lacks = self._caller_response.started and is_ambiguous
        lacks = lacks or components.dispatcher.lacks_version(
            self._job, self._tried_upstreams
        )
        if lacks:
            log_info(
                "stream_not_continued",
                request=self._accepted.call.request_id,
                service=self._accepted.service.name,
                version=self._job.version,
                ambiguous=is_ambiguous,
                tried=len(self._tried_upstreams),
                events=self._caller_response.splitter.events,
            )
        return lacks

    def _spend_retry(self, cause: str) -> bool:
        """Spend one retry of the service; return whether there was one."""
        allowed = self._retries.try_spend()
        self._log_retry(cause, allowed=allowed, charged=allowed)
        return allowed

    def _log_retry(self, cause: str, *, allowed: bool, charged: bool) -> None:
        service = self._accepted.service.name
        log_info(
            "retry_decided",
            request=self._accepted.call.request_id,
            service=service,
            cause=cause,
            allowed=allowed,
            charged=charged,
            saved=round(self._retries.available_retries, 2),
        )
        self._components.metrics.record_retry_decision(
            service=service, cause=cause, allowed=allowed
        )

    def _seconds_left(self) -> float:
        return self._accepted.call.deadline - monotonic()

    async def _record_success(self, assignment: Assignment, *, is_answer: bool) -> None:
        """Record a response.

        `is_answer` tells whether it shows that the request crashes no upstream.
        """
        self._components.placement.record_success(assignment.upstream.name, monotonic())
        if is_answer:
            await self._components.crashes.record_answer(
                self._accepted.fingerprint, self._blocks
            )

    async def _abort_if_started(self, error: ErrorResponse) -> ErrorResponse | None:
        """Abort a response that has started, so that it does not look complete.

        Return the error if nothing was sent yet.
        """
        if not self._caller_response.started:
            return error
        self._components.open_requests.discard(self)
        self._record_cut_off(error)
        # What was received whole is still delivered if the time limit allows it.
        await self._responder.abort(max(ABORT_DRAIN_SECONDS, self._seconds_left()))
        return None

    async def _send_error(self, error: ErrorResponse) -> None:
        if self._responder.ended:
            raise CallerLeft(self._accepted.call.request_id)
        self._components.open_requests.discard(self)
        self._record_refusal(error)
        await send_error(self._responder, error)

    def _record_refusal(self, error: ErrorResponse) -> None:
        self._components.record_refusal(
            self._accepted.call.request_id,
            error,
            route=self._accepted.route.name,
            waited=monotonic() - self._accepted.arrived_at,
            revision=self._accepted.revision,
        )

    def _record_cut_off(self, error: ErrorResponse) -> None:
        self._components.record_cut_off(
            self._accepted.call.request_id,
            error,
            route=self._accepted.route.name,
            events=self._caller_response.splitter.events,
            waited=monotonic() - self._accepted.arrived_at,
            revision=self._accepted.revision,
        )

    def _log_served(
        self, assignment: Assignment, *, status: int, is_framed: bool
    ) -> None:
        accepted = self._accepted
        log_info(
            "served",
            request=accepted.call.request_id,
            upstream=assignment.upstream.name,
            status=status,
            framed=is_framed,
            events=self._caller_response.splitter.events,
            first=round(self._first_token_seconds or 0.0, 3),
            took=round(monotonic() - accepted.arrived_at, 3),
        )
        self._components.metrics.record_request(
            service=accepted.route.repeats, outcome="ok", reason=""
        )

    def _log_failure(self, assignment: Assignment, reason: str, detail: str) -> None:
        log_info(
            "run_failed",
            request=self._accepted.call.request_id,
            upstream=assignment.upstream.name,
            reason=reason,
            detail=detail,
            events=self._caller_response.splitter.events,
            after=round(monotonic() - self._accepted.arrived_at, 3),
        )
        self._components.metrics.record_attempt_failure(failure=reason)


def _is_silent(outcome: Outcome) -> bool:
    return isinstance(outcome, Broken) and outcome.reason is BrokenReason.SILENT


def _may_not_have_run(outcome: Outcome) -> bool:
    """Return whether an upstream turned a request away or closed its connection."""
    match outcome:
        case NotRun() | Broken(reason=BrokenReason.CLOSED):
            return True
        case _:
            return False


def _origin_fields(found: Found | NotFound) -> dict[str, object]:
    """Return what a log line says of the origin of a stream."""
    match found:
        case Found(origin=origin, source=source, age_seconds=age_seconds):
            return {
                "version": origin.version,
                "source": source,
                "age": round(age_seconds, 3),
            }
        case NotFound(answers=answers, asked=asked, versions=versions):
            return {
                "source": "unknown",
                "asked": asked,
                "answers": answers,
                "versions": ",".join(sorted(versions)),
                "followed": round(found.followed_seconds, 1),
            }
