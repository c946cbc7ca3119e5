"""Serves callers: one request from its arrival to its final answer."""

from dataclasses import dataclass
from hashlib import blake2b
from time import monotonic

import curio

from ragwortkeel.http_responder import Request, Responder
from ragwortkeel.ingress.allowance import Hold
from ragwortkeel.ingress.answers import (
    BAD_REQUEST,
    BROKEN,
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    NO_CONFIGURATION,
    NO_ROUTE,
    NO_UPSTREAM,
    OVERLOADED,
    QUARANTINED,
    STOPPING,
    TIMED_OUT,
    UNKNOWN_KEY,
    Answer,
    Result,
    send_answer,
)
from ragwortkeel.ingress.attempt import Attempt, Call, Relay, passed_fields
from ragwortkeel.ingress.budget_keeper import BudgetKeeper
from ragwortkeel.ingress.configuration import Customer, Route, Service, Upstream
from ragwortkeel.ingress.crashes import CrashWatch
from ragwortkeel.ingress.dispatch import Dispatcher, NoRoom
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.outcomes import (
    Answered,
    Broken,
    BrokenReason,
    NotRun,
    NotRunReason,
    Outcome,
    Streamed,
)
from ragwortkeel.ingress.placement import Job, Placed, Placement
from ragwortkeel.ingress.routing import (
    NoRoute,
    Routed,
    RoutingTable,
    UnknownKey,
    split_service,
)
from ragwortkeel.ingress.upstream_connection import UpstreamConnections
from ragwortkeel.ingress.usage import Usage, parse_parts, parse_usage
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.retries import RetryBudget

RETRY_SHARE = 0.12
"""Of first attempts.  The fleet as a whole may add a fifth; each process keeps
below, as its own count of first attempts may run behind."""

RETRY_RESERVE = 6.0
"""Retries saved up by a quiet process: four of them stay under what the fleet may
add at once."""

MAX_TURNED_AWAY = 2
"""Sends that were turned away before a request is refused: each one is an arrival
at a busy service, and the third finds no more than the second."""

WAIT_SHARE = 0.5
"""Of the time left, spent waiting for a place at the most: the rest has to be
enough for the run."""

SERVER_ERROR = 500
"""An upstream's failures from here on may be gone at another one; what it says of
the request itself (4xx) is not."""

BEARER = "bearer "
LOWEST_URGENCY = 9
DEFAULT_DEADLINE_SECONDS = 60.0


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """A request that belongs to a route and may be tried."""

    call: Call
    job: Job
    service: Service
    route: Route
    customer: Customer | None
    usage: Usage | None
    fingerprint: str
    arrived_at: float


class Front:
    """Handles requests; the HTTP server calls `handle` for each.

    Parameters
    ----------
    names : HeaderNames
        What callers and upstreams call their headers.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop is so far that a new request could be cut.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        dispatcher: Dispatcher,
        placement: Placement,
        keeper: BudgetKeeper,
        crashes: CrashWatch,
        metrics: Metrics,
    ) -> None:
        self.table: RoutingTable | None = None
        self.stopping = False
        self.connections = UpstreamConnections(id_header=names.request_id)
        self._names = names
        self._dispatcher = dispatcher
        self._placement = placement
        self._keeper = keeper
        self._crashes = crashes
        self._metrics = metrics
        self._retries = RetryBudget(share=RETRY_SHARE, reserve=RETRY_RESERVE)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one request."""
        match self._accept(request):
            case Accepted() as accepted:
                await _Exchange(front=self, accepted=accepted, to=responder).run()
            case Answer() as answer:
                request_id = request.headers.get(self._names.request_id, "")
                self.refused(request_id, answer, route="", waited=0.0)
                await send_answer(responder, answer)

    def refused(
        self, request_id: str, answer: Answer, *, route: str, waited: float
    ) -> None:
        """Log and count an answer of the ingress's own."""
        table = self.table
        log_info(
            "refused",
            request=request_id,
            route=route,
            status=answer.status,
            reason=answer.reason,
            outcome=answer.result,
            waited=round(waited, 3),
            configuration=table.configuration.revision if table else None,
        )
        self._metrics.request_ended(
            service="", outcome=answer.result, reason=answer.reason
        )

    async def suspect(self, upstream: Upstream, fingerprint: str) -> None:
        """Look, beside the request, whether an upstream that broke off is down."""
        self._crashes.broken(upstream, fingerprint)
        await curio.spawn(self._look_at, upstream, daemon=True)

    async def _look_at(self, upstream: Upstream) -> None:
        if await self.connections.is_down(upstream):
            self._crashes.down(upstream)
            self._placement.failed(upstream.name, Failure.CRASHED, monotonic())

    def _accept(self, request: Request) -> Accepted | Answer:
        if self.table is None:
            return NO_CONFIGURATION
        if self.stopping:
            return STOPPING
        headers = request.headers
        routing = self.table.route(
            host=headers.get("host", ""),
            path=request.target.partition("?")[0],
            key=_key(headers.get("authorization", "")),
        )
        match routing:
            case NoRoute():
                return NO_ROUTE
            case UnknownKey():
                return UNKNOWN_KEY
            case Routed(route=route, customer=customer):
                return self._routed(request, route, customer)

    def _routed(
        self, request: Request, route: Route, customer: Customer | None
    ) -> Accepted | Answer:
        names, headers = self._names, request.headers
        request_id = headers.get(names.request_id, "")
        service = self.table.service_by_name.get(split_service(route, request_id))
        if service is None:
            return NO_UPSTREAM
        if not request_id:
            return BAD_REQUEST
        usage = parse_usage(headers.get(names.usage, ""))
        job = Job(
            request_id=request_id,
            service=service.name,
            priority=_priority(route, customer),
            customer=customer.name if customer else "",
            parts=parse_parts(headers.get(names.parts, "")),
            prompt_tokens=usage.prompt_tokens if usage else 0,
            memory_tokens=usage.total if usage else 0,
        )
        patience = min(_deadline(headers.get(names.deadline)), route.timeout_seconds)
        call = Call(
            request_id=request_id,
            method=request.method,
            target=request.target,
            fields=request.fields,
            body=request.body,
            route=route,
            deadline=request.arrived_at + patience,
            customer=job.customer,
            urgency=min(LOWEST_URGENCY, job.priority) if service.engine else None,
            last_event=headers.get(names.last_event, ""),
        )
        return Accepted(
            call=call,
            job=job,
            service=service,
            route=route,
            customer=customer,
            usage=usage,
            fingerprint=_fingerprint(request, job.customer),
            arrived_at=request.arrived_at,
        )


class _Exchange:
    """One accepted request on its way through budget, places and runs."""

    def __init__(self, *, front: Front, accepted: Accepted, to: Responder) -> None:
        self._front = front
        self._accepted = accepted
        self._responder = to
        self._relay = Relay(responder=to, last_event=accepted.call.last_event)
        self._runs = 0
        self._turned_away = 0
        self._first_after: float | None = None
        self._ran = False
        self._whole = False
        self._tried: frozenset[str] = frozenset()
        self._failure: tuple[Placed, Answered] | None = None

    async def run(self) -> None:
        """Bring the request to its final answer."""
        accepted = self._accepted
        if self._front._crashes.refuses(accepted.fingerprint):
            await self._answer(QUARANTINED)
            return
        hold = await self._reserve()
        if isinstance(hold, Answer):
            await self._answer(hold)
            return
        self._front._retries.earn()
        try:
            answer = await self._tries()
            if answer is not None:
                await self._answer(answer)
        finally:
            if hold is not None:
                spent = self._spent()
                self._front._keeper.settle(hold, spent=spent)
                log_info(
                    "settled",
                    request=accepted.call.request_id,
                    customer=hold.customer,
                    reserved=hold.tokens,
                    spent=spent,
                )

    async def _reserve(self) -> Hold | Answer | None:
        accepted, keeper = self._accepted, self._front._keeper
        customer, usage = accepted.customer, accepted.usage
        if customer is None or customer.prepaid is None or usage is None:
            return None
        hold = await keeper.reserve(customer, usage.total)
        if hold is not None:
            return hold
        keeper.log_lack(accepted.call.request_id, customer, usage.total)
        if keeper.is_exhausted(customer, usage.total):
            return BUDGET_EXHAUSTED
        return BUDGET_UNREACHABLE

    def _spent(self) -> int:
        if not self._ran:
            return 0
        engine = self._accepted.service.engine
        return self._accepted.usage.cost(
            events=self._relay.cutter.events,
            event_tokens=engine.event_tokens if engine else 1,
            whole=self._whole,
        )

    async def _tries(self) -> Answer | None:
        """Try upstreams until there is a final answer; return an own one."""
        while True:
            placed = await self._place()
            if isinstance(placed, Answer):
                return await self._give_up(placed)
            try:
                outcome = await self._run_at(placed)
            finally:
                await self._front._dispatcher.release(placed)
            done = await self._conclude(placed, outcome)
            if done is not _AGAIN:
                return await self._give_up(done) if done else None

    async def _give_up(self, answer: Answer) -> Answer | None:
        if self._failure is not None:
            # The upstream's own failure tells the caller more than ours would.
            await self._pass_on(*self._failure)
            return None
        return await self._broken_off(answer)

    async def _pass_on(self, placed: Placed, answered: Answered) -> None:
        head = answered.head
        fields = passed_fields(head)
        await self._responder.respond(head.status, answered.body, fields)
        self._ended(placed, status=head.status)

    async def _place(self) -> Placed | Answer:
        accepted, now = self._accepted, monotonic()
        left = accepted.call.deadline - now
        placed = await self._front._dispatcher.acquire(
            accepted.job,
            service=accepted.service,
            latest_start=now + left * WAIT_SHARE,
            tried=self._tried,
        )
        if not isinstance(placed, NoRoom):
            return placed
        if self._ran:
            return BROKEN
        return OVERLOADED if placed.upstreams else NO_UPSTREAM

    async def _run_at(self, placed: Placed) -> Outcome:
        front, accepted = self._front, self._accepted
        log_info(
            "dispatched",
            request=accepted.call.request_id,
            route=accepted.route.name,
            upstream=placed.upstream.name,
            run=self._runs + 1,
            unread=placed.unread_tokens,
            running=placed.load.running,
            unread_there=placed.load.unread_tokens,
            waited=round(monotonic() - accepted.arrived_at, 3),
            configuration=front.table.configuration.revision,
        )
        attempt = Attempt(
            call=accepted.call,
            placed=placed,
            relay=self._relay,
            names=front._names,
            connections=front.connections,
            on_first_event=lambda: self._begun(placed),
        )
        outcome: Outcome | None = None
        try:
            outcome = await attempt.run()
            return outcome
        finally:
            # Left by its caller in the middle, it may have run as well.
            if attempt.sent and not isinstance(outcome, NotRun):
                self._ran = True
                self._runs += 1

    def _begun(self, placed: Placed) -> None:
        if not placed.begun:
            self._front._placement.begun(placed)
            waited = monotonic() - self._accepted.arrived_at
            self._first_after = self._first_after or waited
            self._front._metrics.first_token(
                service=self._accepted.route.repeats, seconds=waited
            )

    async def _conclude(self, placed: Placed, outcome: Outcome):
        """Return an own answer, None for an answer that was sent, or `_AGAIN`."""
        front, name = self._front, placed.upstream.name
        match outcome:
            case Answered(head=head) as answered:
                if head.status >= SERVER_ERROR and self._may_run_again():
                    self._log_failure(placed, "error", str(head.status))
                    self._failure = placed, answered
                    self._tried |= {name}
                    return _AGAIN
                self._succeeded(placed)
                await self._pass_on(placed, answered)
                return None
            case Streamed():
                self._whole = True
                self._succeeded(placed)
                self._ended(placed, status=200)
                return None
            case NotRun(reason=reason, detail=detail):
                self._log_failure(placed, reason, detail)
                return self._after_not_run(name, reason)
            case Broken(reason=reason, detail=detail):
                self._log_failure(placed, reason, detail)
                if reason is BrokenReason.CLOSED:
                    await front.suspect(placed.upstream, self._accepted.fingerprint)
                return self._after_broken(name, reason)

    def _after_not_run(self, name: str, reason: NotRunReason):
        front = self._front
        if reason is not NotRunReason.FULL:
            front._placement.failed(name, Failure.UNREACHABLE, monotonic())
        if reason is not NotRunReason.UNREACHABLE:
            self._turned_away += 1
        self._tried |= {name}
        if self._turned_away > MAX_TURNED_AWAY or self._time_left() <= 0:
            return BROKEN if self._ran else OVERLOADED
        if reason is NotRunReason.FULL and not front._retries.take():
            return BROKEN if self._ran else OVERLOADED
        return _AGAIN

    def _after_broken(self, name: str, reason: BrokenReason):
        self._tried |= {name}
        if reason is BrokenReason.DEADLINE:
            return TIMED_OUT
        self._front._placement.failed(name, Failure.ERROR, monotonic())
        return _AGAIN if self._may_run_again() else BROKEN

    def _may_run_again(self) -> bool:
        """Whether another run is allowed, pays, and is in the budget of retries."""
        route = self._accepted.route
        if not route.repeatable or self._runs >= route.max_attempts:
            return False
        return self._time_left() > 0 and self._front._retries.take()

    def _time_left(self) -> float:
        return self._accepted.call.deadline - monotonic()

    def _succeeded(self, placed: Placed) -> None:
        self._front._placement.ejections.succeeded(placed.upstream.name)
        self._front._crashes.finished(self._accepted.fingerprint)

    async def _broken_off(self, answer: Answer) -> Answer | None:
        """Break off an answer that has begun: it must not look whole."""
        if not self._relay.started:
            return answer
        self._front.refused(
            self._accepted.call.request_id,
            answer,
            route=self._accepted.route.name,
            waited=monotonic() - self._accepted.arrived_at,
        )
        await self._responder.abort()
        return None

    async def _answer(self, answer: Answer) -> None:
        self._front.refused(
            self._accepted.call.request_id,
            answer,
            route=self._accepted.route.name,
            waited=monotonic() - self._accepted.arrived_at,
        )
        await send_answer(self._responder, answer)

    def _ended(self, placed: Placed, *, status: int) -> None:
        accepted = self._accepted
        log_info(
            "served",
            request=accepted.call.request_id,
            upstream=placed.upstream.name,
            status=status,
            events=self._relay.cutter.events,
            first=round(self._first_after or 0.0, 3),
            took=round(monotonic() - accepted.arrived_at, 3),
        )
        self._front._metrics.request_ended(
            service=accepted.route.repeats, outcome="ok", reason=""
        )

    def _log_failure(self, placed: Placed, reason: str, detail: str) -> None:
        log_info(
            "run_failed",
            request=self._accepted.call.request_id,
            upstream=placed.upstream.name,
            reason=reason,
            detail=detail,
            events=self._relay.cutter.events,
            after=round(monotonic() - self._accepted.arrived_at, 3),
        )
        self._front._metrics.attempt_failed(failure=reason)


_AGAIN = Answer(status=0, reason="again", result=Result.NOT_RUN)


def _key(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER):
        return ""
    return authorization[len(BEARER) :].strip()


def _priority(route: Route, customer: Customer | None) -> int:
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _deadline(text: str | None) -> float:
    if text is None or not text.strip().isdecimal():
        return DEFAULT_DEADLINE_SECONDS
    return int(text) / 1000


def _fingerprint(request: Request, customer: str) -> str:
    digest = blake2b(request.target.encode(), digest_size=16)
    digest.update(customer.encode())
    digest.update(request.body)
    return digest.hexdigest()
