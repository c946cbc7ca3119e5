"""One request that belongs to a route, from its reservation to its final answer."""

from dataclasses import dataclass
from time import monotonic

from ragwortkeel.budget.account import Hold
from ragwortkeel.exceptions import CallerLeft
from ragwortkeel.http_responder import Responder
from ragwortkeel.ingress.answers import (
    BROKEN,
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    NO_UPSTREAM,
    OVERLOADED,
    QUARANTINED,
    TIMED_OUT,
    UPSTREAMS_WITHHELD,
    Answer,
    returning,
    send_answer,
)
from ragwortkeel.ingress.attempt import Attempt, Call, Relay, passed_fields
from ragwortkeel.ingress.configuration import Customer, Route, Service
from ragwortkeel.ingress.dispatch import NoRoom
from ragwortkeel.ingress.front_components import FrontComponents
from ragwortkeel.ingress.outcomes import (
    Answered,
    Broken,
    BrokenReason,
    NotRun,
    NotRunReason,
    Outcome,
    Streamed,
)
from ragwortkeel.ingress.placement import Job, Placed
from ragwortkeel.ingress.usage import Usage
from ragwortkeel.logs import log_info
from ragwortkeel.policy.facts import Failure

MAX_TURNED_AWAY = 2
"""Sends that were turned away before a request is refused: each one is an arrival
at a busy service, and the third finds no more than the second."""

WAIT_SHARE = 0.5
"""Of the time left, spent waiting for a place at the most: the rest has to be
enough for the run."""

SERVER_ERROR = 500
"""An upstream's failures from here on may be gone at another one; what it says of
the request itself (4xx) is not."""


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """A request that belongs to a route and may be tried.

    `revision` is that of the configuration that decided so.
    """

    call: Call
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
    """Another upstream may still serve the request."""


_AGAIN = _TryAgain()


class Exchange:
    """One accepted request on its way through budget, places and runs.

    Parameters
    ----------
    parts : FrontComponents
        What requests share.
    to : Responder
        Where the answer goes.
    """

    def __init__(
        self, *, parts: FrontComponents, accepted: Accepted, to: Responder
    ) -> None:
        self._parts = parts
        self._accepted = accepted
        self._responder = to
        self._retries = parts.retries.of(accepted.service.name)
        self._relay = Relay(responder=to, last_event=accepted.call.last_event)
        self._runs = 0
        self._turned_away = 0
        self._first_after: float | None = None
        self._ran = False
        self._whole = False
        self._tried: frozenset[str] = frozenset()
        self._failure: tuple[Placed, Answered] | None = None

    async def run(self) -> None:
        """Bring the request to its final answer, unless its caller leaves before.

        Raises
        ------
        CallerLeft
            There is nobody to answer.
        """
        accepted = self._accepted
        self._check_caller("arrived")
        if self._parts.crashes.refuses(accepted.fingerprint):
            await self._answer(QUARANTINED)
            return
        hold = await self._reserve()
        if isinstance(hold, Answer):
            await self._answer(hold)
            return
        self._retries.earn()
        try:
            answer = await self._tries()
            if answer is not None:
                await self._answer(answer)
        finally:
            if hold is not None:
                spent = self._spent()
                self._parts.keeper.settle(hold, spent=spent)
                log_info(
                    "settled",
                    request=accepted.call.request_id,
                    customer=hold.customer,
                    reserved=hold.tokens,
                    spent=spent,
                )

    async def _reserve(self) -> Hold | Answer | None:
        accepted, keeper = self._accepted, self._parts.keeper
        customer, usage = accepted.customer, accepted.usage
        if customer is None or customer.prepaid is None or usage is None:
            return None
        seconds_left = accepted.call.deadline - monotonic()
        hold = await keeper.reserve(customer, usage.total, seconds_left=seconds_left)
        if hold is not None:
            return hold
        keeper.log_lack(accepted.call.request_id, customer, usage.total)
        if keeper.is_exhausted(customer, usage.total):
            return BUDGET_EXHAUSTED
        return returning(BUDGET_UNREACHABLE, keeper.seconds_to_tokens())

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
                await self._parts.dispatcher.release(placed)
            done = await self._conclude(placed, outcome)
            if not isinstance(done, _TryAgain):
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
        placed = await self._parts.dispatcher.acquire(
            accepted.job,
            service=accepted.service,
            latest_start=now + left * WAIT_SHARE,
            tried=self._tried,
        )
        if not isinstance(placed, NoRoom):
            return placed
        if self._ran:
            return BROKEN
        if placed.withheld:
            return UPSTREAMS_WITHHELD
        if not placed.upstreams:
            return NO_UPSTREAM
        log_info(
            "no_room",
            request=accepted.call.request_id,
            service=accepted.service.name,
            waiting=placed.waiting,
            upstreams=placed.upstreams,
            seconds=round(placed.seconds, 3),
            rate=placed.rate,
        )
        return returning(OVERLOADED, placed.seconds)

    async def _run_at(self, placed: Placed) -> Outcome:
        parts, accepted = self._parts, self._accepted
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
            configuration=accepted.revision,
        )
        attempt = Attempt(
            call=accepted.call,
            placed=placed,
            relay=self._relay,
            names=parts.names,
            connections=parts.connections,
            on_head=lambda head, sent_at: parts.stated_limits.note(
                placed.upstream.name, head, sent_at=sent_at
            ),
            on_first_event=lambda: self._begun(placed),
        )
        outcome: Outcome | None = None
        try:
            outcome = await attempt.run()
            return outcome
        except CallerLeft:
            self._log_left("placed")
            raise
        finally:
            # Left by its caller in the middle, it may have run as well.
            if attempt.sent and not isinstance(outcome, NotRun):
                self._ran = True
                self._runs += 1

    def _check_caller(self, stage: str) -> None:
        if self._responder.peer_left():
            self._log_left(stage)
            raise CallerLeft(self._accepted.call.request_id)

    def _log_left(self, stage: str) -> None:
        log_info(
            "caller_left",
            request=self._accepted.call.request_id,
            stage=stage,
            after=round(monotonic() - self._accepted.arrived_at, 3),
        )

    def _begun(self, placed: Placed) -> None:
        if not placed.begun:
            self._parts.placement.begun(placed)
            waited = monotonic() - self._accepted.arrived_at
            self._first_after = self._first_after or waited
            self._parts.metrics.first_token(
                service=self._accepted.route.repeats, seconds=waited
            )

    async def _conclude(
        self, placed: Placed, outcome: Outcome
    ) -> Answer | _TryAgain | None:
        """Return an own answer, None for one that was sent, or `_AGAIN`."""
        parts, name = self._parts, placed.upstream.name
        match outcome:
            case Answered(head=head) as answered:
                if head.status >= SERVER_ERROR and self._may_run_again("error"):
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
                    await parts.check_for_crash(
                        placed.upstream, self._accepted.fingerprint
                    )
                return self._after_broken(name, reason)

    def _after_not_run(self, name: str, reason: NotRunReason) -> Answer | _TryAgain:
        parts = self._parts
        if reason is not NotRunReason.FULL:
            parts.placement.failed(name, Failure.UNREACHABLE, monotonic())
        if reason is NotRunReason.OTHER_INSTANCE:
            parts.dispatcher.replaced(name)
        if reason is not NotRunReason.UNREACHABLE:
            self._turned_away += 1
        self._tried |= {name}
        if self._turned_away > MAX_TURNED_AWAY or self._time_left() <= 0:
            return BROKEN if self._ran else OVERLOADED
        if reason is NotRunReason.UNREACHABLE:
            # Nothing arrived there, so what is sent on is no repeat.
            self._log_retry(reason, allowed=True, charged=False)
        elif not self._take_retry(reason):
            return BROKEN if self._ran else OVERLOADED
        return _AGAIN

    def _after_broken(self, name: str, reason: BrokenReason) -> Answer | _TryAgain:
        self._tried |= {name}
        if reason is BrokenReason.DEADLINE:
            return TIMED_OUT
        self._parts.placement.failed(name, Failure.ERROR, monotonic())
        return _AGAIN if self._may_run_again(reason) else BROKEN

    def _may_run_again(self, cause: str) -> bool:
        """Whether another run is allowed, pays, and is in the budget of retries."""
        route = self._accepted.route
        if not route.repeatable or self._runs >= route.max_attempts:
            return False
        return self._time_left() > 0 and self._take_retry(cause)

    def _take_retry(self, cause: str) -> bool:
        """Spend one retry if there is one."""
        allowed = self._retries.take()
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
            saved=round(self._retries.saved, 2),
        )
        self._parts.metrics.retry_decided(service=service, cause=cause, allowed=allowed)

    def _time_left(self) -> float:
        return self._accepted.call.deadline - monotonic()

    def _succeeded(self, placed: Placed) -> None:
        self._parts.placement.succeeded(placed.upstream.name, monotonic())
        self._parts.crashes.finished(self._accepted.fingerprint)

    async def _broken_off(self, answer: Answer) -> Answer | None:
        """Break off an answer that has begun: it must not look whole."""
        if not self._relay.started:
            return answer
        self._parts.record_refusal(
            self._accepted.call.request_id,
            answer,
            route=self._accepted.route.name,
            waited=monotonic() - self._accepted.arrived_at,
            revision=self._accepted.revision,
        )
        await self._responder.abort()
        return None

    async def _answer(self, answer: Answer) -> None:
        self._parts.record_refusal(
            self._accepted.call.request_id,
            answer,
            route=self._accepted.route.name,
            waited=monotonic() - self._accepted.arrived_at,
            revision=self._accepted.revision,
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
        self._parts.metrics.request_ended(
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
        self._parts.metrics.attempt_failed(failure=reason)
