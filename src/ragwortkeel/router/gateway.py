"""Receives callers' HTTP requests and sends their answers or refusals."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from itertools import count

import curio

from ragwortkeel.configuration import PROFILES, Profile, ServiceClass
from ragwortkeel.exceptions import BadRequest
from ragwortkeel.httpio import Request, Responder
from ragwortkeel.logs import log_error
from ragwortkeel.policy.facts import RequestFacts
from ragwortkeel.policy.stop_plan import StopPlan
from ragwortkeel.router.calls import KEY_HEADER, Call, ChatCall, parse_call, profile_of
from ragwortkeel.router.components import Components
from ragwortkeel.router.exchange import Exchange
from ragwortkeel.router.filings import FilingExchange
from ragwortkeel.router.observer import EndedRequest
from ragwortkeel.router.refusals import Outcome, Reason, Refusal
from ragwortkeel.router.sinks import BufferedSink, Sink, StreamSink
from ragwortkeel.traces import traceparent_of

STOPPING_RETRY_SECONDS = 1.0
"""Delay that callers are asked for during a planned stop.

The balancer sends the retry to another entry instance.
"""

STOP_CHECK_SECONDS = 0.05


@dataclass(kw_only=True)
class _Open:
    """A request that is being served.

    Attributes
    ----------
    is_stopped : bool
        Whether a planned stop ended it.
    """

    exchange: Exchange | FilingExchange
    deadline: float
    serving: curio.Task
    is_stopped: bool = False

    async def stop(self) -> None:
        """End the request, because the process stops."""
        if not (self.is_stopped or self.serving.terminated):
            self.is_stopped = True
            await self.serving.cancel(blocking=False)


class Gateway:
    """Serves callers' HTTP requests.

    Parameters
    ----------
    components : Components
        The components that all requests share.
    observe : callable
        Called with an `EndedRequest` for each request that has ended.
    refresh : async callable
        Requests the newest version of an object, by kind and name, if its rate limit
        allows; returns whether it was requested.

    Attributes
    ----------
    stop_plan : StopPlan or None
        Set once the process stops.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        components: Components,
        observe: Callable[[EndedRequest], None],
        refresh: Callable[[str, str], Awaitable[bool]],
    ) -> None:
        self.stop_plan: StopPlan | None = None
        self._open_by_id: dict[str, _Open] = {}
        self._components = components
        self._observe = observe
        self._refresh = refresh
        self._serials = count(1)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request; this is the handler of an `HttpServer`."""
        started_at = self._components.clock()
        try:
            found = await self._parse(request)
        except BadRequest as exc:
            refusal = _malformed_refusal(exc)
            await BufferedSink(responder=responder, request_id="").refuse(refusal)
            return
        if isinstance(found, Refusal):
            await BufferedSink(responder=responder, request_id="").refuse(found)
            return
        call, profile, version = found
        with self._components.tracing.span("request", parent=call.traceparent) as span:
            call = replace(call, traceparent=traceparent_of(span))
            facts = self._facts(call, profile)
            sink = self._new_sink(call, facts, responder)
            exchange = self._new_exchange(call, version, facts, sink)
            refusal = await self._serve(exchange, profile, facts, responder)
            if refusal is not None:
                await sink.refuse(refusal)
        self._observe(
            EndedRequest(
                call=call,
                profile=profile,
                refusal=refusal,
                seconds=self._components.clock() - started_at,
                tokens=exchange.tokens,
                first_token_seconds=sink.started_at and sink.started_at - started_at,
            )
        )

    @property
    def stopping(self) -> bool:
        """Whether a planned stop refuses new requests, also on open connections."""
        plan = self.stop_plan
        return plan is not None and self._components.clock() >= plan.refuses_at

    async def refuse_late_starts(self) -> None:
        """Refuse requests that may not end in a stop any more, until cancelled."""
        while True:
            for request in list(self._open_by_id.values()):
                if not self._may_begin(request):
                    await request.stop()
            await curio.sleep(STOP_CHECK_SECONDS)

    async def end_all(self) -> None:
        """Answer what is open at the end of a stop with what is certain of it."""
        for request in list(self._open_by_id.values()):
            await request.stop()

    def _may_begin(self, request: "_Open") -> bool:
        """Return whether a request has begun to run, or still may.

        Its deadline is the only bound on the length of its run.
        """
        plan = self.stop_plan
        if request.exchange.may_have_run or request.deadline <= plan.ends_at:
            return True
        return plan.may_begin(now=self._components.clock(), run_seconds=None)

    async def _parse(self, request: Request) -> tuple[Call, Profile, int] | Refusal:
        name = profile_of(request)
        found = self._components.directory.profile(name)
        if found is None and await self._refresh(PROFILES, name):
            # The profile is new, and its change had not reached this router.
            found = self._components.directory.profile(name)
        if found is None:
            return Refusal(outcome=Outcome.NOT_RUN, reason=Reason.UNKNOWN_PROFILE)
        profile, version = found
        if self.stopping:
            return _unread_refusal(
                request, profile, Reason.STOPPING, STOPPING_RETRY_SECONDS
            )
        if profile.retired:
            return _unread_refusal(request, profile, Reason.RETIRED_PROFILE)
        return parse_call(request, profile), profile, version

    def _new_sink(self, call: Call, facts: RequestFacts, responder: Responder) -> Sink:
        # The outcome of a filing records its complete answer, so it is collected first.
        streams = call.stream and facts.repeatable
        cls = StreamSink if streams else BufferedSink
        return cls(
            responder=responder,
            request_id=call.request_id,
            traceparent=call.traceparent,
            clock=self._components.clock,
        )

    def _new_exchange(
        self, call: Call, version: int, facts: RequestFacts, sink: Sink
    ) -> Exchange | FilingExchange:
        if not facts.repeatable:
            return FilingExchange(
                call=call,
                version=version,
                facts=facts,
                components=self._components,
                sink=sink,
            )
        return Exchange(
            call=call,
            version=version,
            facts=facts,
            components=self._components,
            sink=sink,
        )

    def _facts(self, call: Call, profile: Profile) -> RequestFacts:
        now = self._components.clock()
        return RequestFacts(
            request_id=f"{call.request_id}#{next(self._serials)}",
            profile=profile.name,
            customer=profile.customer,
            service_class=profile.service,
            back_ends=profile.back_ends,
            deadline=now + profile.deadline_seconds,
            first_token_deadline=now + profile.first_token_seconds,
            cost=call.bound_tokens,
            prefix=call.kind.prefix if isinstance(call.kind, ChatCall) else "",
            fingerprint=call.fingerprint,
            promised_first_token_seconds=profile.first_token_seconds,
        )

    async def _serve(
        self,
        exchange: Exchange | FilingExchange,
        profile: Profile,
        facts: RequestFacts,
        responder: Responder,
    ) -> Refusal | None:
        """Run the request to its end, unless a deadline, a stop or its caller ends it.

        Returns
        -------
        Refusal or None
            None if the request was answered or its caller left.
        """
        try:
            async with (
                curio.timeout_after(profile.deadline_seconds),
                curio.TaskGroup(wait=any) as group,
            ):
                serving = await group.spawn(exchange.run)
                opened = _Open(
                    exchange=exchange, deadline=facts.deadline, serving=serving
                )
                self._open_by_id[facts.request_id] = opened
                await group.spawn(responder.disconnected.wait)
        except curio.TaskTimeout:
            return _interrupted_refusal(exchange, Reason.DEADLINE)
        finally:
            self._open_by_id.pop(facts.request_id, None)
        if opened.is_stopped:
            return _interrupted_refusal(exchange, Reason.STOPPING)
        if group.completed is not serving:
            return None
        if serving.exception is not None:
            log_error("request_broke", error=repr(serving.exception))
            return _interrupted_refusal(exchange, Reason.INTERNAL)
        return serving.result


def _unread_refusal(
    request: Request,
    profile: Profile,
    reason: Reason,
    retry_after_seconds: float = 0.0,
) -> Refusal:
    """Return the refusal of a request whose intent is not read.

    A keyed request that must not repeat may have run before the router began to stop
    or its profile was retired.  Its intent would show that, so the outcome of this
    retry is `unknown`, not `not_run`.
    """
    must_not_repeat = profile.service is ServiceClass.MUST_NOT_REPEAT
    may_have_run = must_not_repeat and KEY_HEADER in request.headers
    return Refusal(
        outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )


def _interrupted_refusal(
    exchange: Exchange | FilingExchange, reason: Reason
) -> Refusal:
    """Return the refusal of a request that was interrupted while it was served."""
    outcome = Outcome.UNKNOWN if exchange.may_have_run else Outcome.NOT_RUN
    return Refusal(outcome=outcome, reason=reason, retry_after_seconds=1.0)


def _malformed_refusal(exc: BadRequest) -> Refusal:
    return Refusal(
        outcome=Outcome.NOT_RUN,
        reason=Reason.BAD_REQUEST,
        detail=f"{exc.reason}: {exc.detail}",
        status=exc.status,
    )
