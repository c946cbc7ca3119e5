"""The callers' side: HTTP requests in, whole answers or refusals out."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from itertools import count

import curio

from ragwortkeel.configuration import PROFILES, Profile, ServiceClass
from ragwortkeel.exceptions import BadRequest
from ragwortkeel.httpio import Request, Responder
from ragwortkeel.logs import log_error
from ragwortkeel.policy.facts import RequestFacts
from ragwortkeel.router.calls import KEY_HEADER, Call, ChatCall, parse_call, profile_of
from ragwortkeel.router.exchange import Exchange
from ragwortkeel.router.filings import FilingExchange
from ragwortkeel.router.observer import Observed
from ragwortkeel.router.parts import Parts
from ragwortkeel.router.refusals import Outcome, Reason, Refusal
from ragwortkeel.router.sinks import Sink, StreamSink, WholeSink
from ragwortkeel.traces import traceparent_of

STOPPING_RETRY_SECONDS = 1.0
"""The balancer has another entry instance; it need only be asked again."""


class Gateway:
    """Serves callers' HTTP requests.

    Parameters
    ----------
    parts
        What the requests share.
    observe
        Called with each `Observed`.
    refresh
        Looks for something newer of one object, by kind and name; returns
        whether it was asked for.

    Attributes
    ----------
    stopping : bool
        Set on a planned stop; requests on kept connections are then refused.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        parts: Parts,
        observe: Callable[[Observed], None],
        refresh: Callable[[str, str], Awaitable[bool]],
    ) -> None:
        self.stopping = False
        self._parts = parts
        self._observe = observe
        self._refresh = refresh
        self._serials = count(1)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request; the handler of an `HttpServer`."""
        started = self._parts.clock()
        try:
            found = await self._find(request)
        except BadRequest as exc:
            refusal = _refusal_of_bad(exc)
            await WholeSink(responder=responder, request_id="").refuse(refusal)
            return
        if isinstance(found, Refusal):
            await WholeSink(responder=responder, request_id="").refuse(found)
            return
        call, profile, version = found
        with self._parts.tracing.span("request", parent=call.traceparent) as span:
            call = replace(call, traceparent=traceparent_of(span))
            facts = self._facts(call, profile)
            sink = self._new_sink(call, facts, responder)
            served = self._new_server(call, version, facts, sink)
            refusal = await self._serve(served, profile, responder)
            if refusal is not None:
                await sink.refuse(refusal)
        self._observe(
            Observed(
                call=call,
                profile=profile,
                refusal=refusal,
                seconds=self._parts.clock() - started,
                tokens=served.tokens,
                first_token_seconds=sink.begun_at and sink.begun_at - started,
            )
        )

    async def _find(self, request: Request) -> tuple[Call, Profile, int] | Refusal:
        name = profile_of(request)
        found = self._parts.directory.profile(name)
        if found is None and await self._refresh(PROFILES, name):
            # Created a moment ago, and its change is still on its way here.
            found = self._parts.directory.profile(name)
        if found is None:
            return Refusal(outcome=Outcome.NOT_RUN, reason=Reason.UNKNOWN_PROFILE)
        profile, version = found
        if self.stopping:
            return _turn_away(request, profile, Reason.STOPPING, STOPPING_RETRY_SECONDS)
        if profile.retired:
            return _turn_away(request, profile, Reason.RETIRED_PROFILE)
        return parse_call(request, profile), profile, version

    def _new_sink(self, call: Call, facts: RequestFacts, responder: Responder) -> Sink:
        # The answer of a filing is recorded whole before anything else.
        streams = call.stream and facts.repeatable
        cls = StreamSink if streams else WholeSink
        return cls(
            responder=responder,
            request_id=call.request_id,
            traceparent=call.traceparent,
            clock=self._parts.clock,
        )

    def _new_server(
        self, call: Call, version: int, facts: RequestFacts, sink: Sink
    ) -> Exchange | FilingExchange:
        if not facts.repeatable:
            return FilingExchange(
                call=call, version=version, facts=facts, parts=self._parts, sink=sink
            )
        return Exchange(
            call=call, version=version, facts=facts, parts=self._parts, sink=sink
        )

    def _facts(self, call: Call, profile: Profile) -> RequestFacts:
        now = self._parts.clock()
        return RequestFacts(
            request_id=f"{call.request_id}#{next(self._serials)}",
            profile=profile.name,
            customer=profile.customer,
            service_class=profile.service,
            back_ends=profile.back_ends,
            deadline=now + profile.deadline_seconds,
            first_token_deadline=now + profile.first_token_seconds,
            cost=call.bound,
            prefix=call.kind.prefix if isinstance(call.kind, ChatCall) else "",
            fingerprint=call.fingerprint,
            promised_first_token_seconds=profile.first_token_seconds,
        )

    async def _serve(
        self, served: Exchange | FilingExchange, profile: Profile, responder: Responder
    ) -> Refusal | None:
        """Run the request until it ends, its deadline passes or its caller leaves."""
        try:
            async with (
                curio.timeout_after(profile.deadline_seconds),
                curio.TaskGroup(wait=any) as group,
            ):
                serving = await group.spawn(served.run)
                await group.spawn(responder.gone.wait)
        except curio.TaskTimeout:
            return _stopped(served, Reason.DEADLINE)
        if group.completed is not serving:
            return None
        if serving.exception is not None:
            log_error("request_broke", error=repr(serving.exception))
            return _stopped(served, Reason.INTERNAL)
        return serving.result


def _turn_away(
    request: Request,
    profile: Profile,
    reason: Reason,
    retry_after_seconds: float = 0.0,
) -> Refusal:
    """Return the refusal of a request that is not looked into.

    Failure: a filing ran, and its retry meets a stopping router or a profile that
    was retired since; `not_run` would be a lie, as its intent was not read.
    """
    must_not_repeat = profile.service is ServiceClass.MUST_NOT_REPEAT
    unsure = must_not_repeat and KEY_HEADER in request.headers
    return Refusal(
        outcome=Outcome.UNKNOWN if unsure else Outcome.NOT_RUN,
        reason=reason,
        retry_after_seconds=retry_after_seconds,
    )


def _stopped(served: Exchange | FilingExchange, reason: Reason) -> Refusal:
    """Return the refusal of a request that was cut short while it was served."""
    outcome = Outcome.UNKNOWN if served.may_have_run else Outcome.NOT_RUN
    return Refusal(outcome=outcome, reason=reason, retry_after_seconds=1.0)


def _refusal_of_bad(exc: BadRequest) -> Refusal:
    return Refusal(
        outcome=Outcome.NOT_RUN,
        reason=Reason.BAD_REQUEST,
        detail=f"{exc.reason}: {exc.detail}",
        status=exc.status,
    )
