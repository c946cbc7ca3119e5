"""Accepts callers' requests: chooses the route, the customer and the service."""

from collections.abc import Callable
from hashlib import blake2b
from time import monotonic

from ragwortkeel.http_events import whole_number
from ragwortkeel.http_responder import Request, Responder
from ragwortkeel.ingress.attempt import CallerRequest
from ragwortkeel.ingress.configuration import Customer, Route
from ragwortkeel.ingress.error_responses import (
    BAD_REQUEST,
    CONFIGURATION_BEHIND,
    INSTANCE_OVERLOADED,
    NO_CONFIGURATION,
    NO_ROUTE,
    NO_UPSTREAM,
    STOPPING,
    UNKNOWN_KEY,
    ErrorResponse,
    send_error,
    send_refusal,
    with_spread,
)
from ragwortkeel.ingress.exchange import AcceptedRequest, Exchange
from ragwortkeel.ingress.front_components import FrontComponents
from ragwortkeel.ingress.instance_monitor import InstanceMonitor
from ragwortkeel.ingress.placement import Job
from ragwortkeel.ingress.routing import (
    NoRoute,
    Routed,
    RoutingTable,
    UnknownKey,
    split_service,
)
from ragwortkeel.ingress.usage import parse_prompt_blocks, parse_usage

BEARER = "bearer "
LOWEST_URGENCY = 9
DEFAULT_DEADLINE_SECONDS = 60.0


class Front:
    """Handles requests; the HTTP server calls `handle` for each.

    Parameters
    ----------
    components : FrontComponents
        The components that all requests share.
    monitor : InstanceMonitor or None
        Decides which requests are admitted; None admits all.
    is_behind : callable
        Returns whether a peer has a newer configuration in force.

    Attributes
    ----------
    table : RoutingTable or None
        The routes of the configuration in force, None before the first one.
    """

    def __init__(
        self,
        *,
        components: FrontComponents,
        monitor: InstanceMonitor | None = None,
        is_behind: Callable[[], bool] = lambda: False,
    ) -> None:
        self.table: RoutingTable | None = None
        self._components = components
        self._names = components.names
        self._monitor = monitor
        self._is_behind = is_behind

    async def refuse(self, request: Request, responder: Responder) -> bool:
        """Refuse a request that an overloaded instance can't serve in time.

        Return whether it was refused.  The HTTP server asks before `handle`, so that a
        refusal costs no task, reservation or place in a queue.
        """
        monitor, table = self._monitor, self.table
        if monitor is None or not monitor.is_limiting:
            return False
        if table is None or self._is_refusing:
            return False
        match self._route(request):
            case Routed(route=route, customer=customer):
                if monitor.admits(_priority(route, customer)):
                    return False
            case _:
                return False
        self._components.record_refusal(
            request.headers.get(self._names.request_id, ""),
            INSTANCE_OVERLOADED,
            route=route.name,
            waited=monotonic() - request.arrived_at,
            revision=table.configuration.revision,
        )
        await send_refusal(responder, with_spread(INSTANCE_OVERLOADED))
        return True

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve or refuse one request."""
        match self._accept(request):
            case AcceptedRequest() as accepted:
                exchange = Exchange(
                    components=self._components, accepted=accepted, to=responder
                )
                await self._run(exchange)
            case ErrorResponse() as answer:
                request_id = request.headers.get(self._names.request_id, "")
                table = self.table
                revision = table.configuration.revision if table else None
                self._components.record_refusal(
                    request_id, answer, route="", waited=0.0, revision=revision
                )
                await send_error(responder, answer)

    @property
    def _is_refusing(self) -> bool:
        """Whether new requests are refused, because a planned stop might cut them."""
        plan = self._components.open_requests.stop_plan
        return plan is not None and monotonic() >= plan.refuses_at

    async def _run(self, exchange: Exchange) -> None:
        if self._monitor is None:
            await exchange.run()
            return
        self._monitor.open_requests += 1
        try:
            await exchange.run()
        finally:
            self._monitor.open_requests -= 1

    def _route(self, request: Request) -> Routed | NoRoute | UnknownKey:
        headers = request.headers
        return self.table.route(
            host=headers.get("host", ""),
            path=request.target.partition("?")[0],
            key=_api_key(headers.get("authorization", "")),
        )

    def _accept(self, request: Request) -> AcceptedRequest | ErrorResponse:
        if self.table is None:
            return NO_CONFIGURATION
        if self._is_refusing:
            return STOPPING
        match self._route(request):
            case NoRoute() | UnknownKey() if self._is_behind():
                # The newer configuration may have the route or the key, and a caller
                # does not retry after a 404 or 401.
                return with_spread(CONFIGURATION_BEHIND)
            case NoRoute():
                return NO_ROUTE
            case UnknownKey():
                return UNKNOWN_KEY
            case Routed(route=route, customer=customer):
                return self._accept_routed(request, route, customer)

    def _accept_routed(
        self, request: Request, route: Route, customer: Customer | None
    ) -> AcceptedRequest | ErrorResponse:
        names, headers = self._names, request.headers
        request_id = headers.get(names.request_id, "")
        # A stream that is taken up goes to the service that began it.
        resumes = headers.get(names.resumes, "")
        service = self.table.service_by_name.get(
            split_service(route, resumes or request_id)
        )
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
            prompt_blocks=parse_prompt_blocks(headers.get(names.parts, "")),
            prompt_tokens=usage.prompt_tokens if usage else 0,
            memory_tokens=usage.total_tokens if usage else 0,
            regions=_regions(route, customer),
        )
        timeout = min(_deadline(headers.get(names.deadline)), route.timeout_seconds)
        call = CallerRequest(
            request_id=request_id,
            method=request.method,
            target=request.target,
            fields=request.fields,
            body=request.body,
            route=route,
            deadline=request.arrived_at + timeout,
            customer=job.customer,
            urgency=min(LOWEST_URGENCY, job.priority) if service.engine else None,
            last_event=headers.get(names.last_event, ""),
            resumes=resumes,
        )
        return AcceptedRequest(
            call=call,
            job=job,
            service=service,
            route=route,
            customer=customer,
            usage=usage,
            fingerprint=_fingerprint(request, job.customer),
            arrived_at=request.arrived_at,
            revision=self.table.configuration.revision,
        )


def _regions(route: Route, customer: Customer | None) -> frozenset[str] | None:
    """Return the regions that may serve the request, None for all.

    If both the route and the customer have homes, these are the common ones.
    """
    home_sets = [
        regions
        for regions in (route.homes, customer.homes if customer else ())
        if regions
    ]
    if not home_sets:
        return None
    return frozenset.intersection(*map(frozenset, home_sets))


def _api_key(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER):
        return ""
    return authorization[len(BEARER) :].strip()


def _priority(route: Route, customer: Customer | None) -> int:
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _deadline(text: str | None) -> float:
    milliseconds = whole_number(text.strip()) if text is not None else None
    return DEFAULT_DEADLINE_SECONDS if milliseconds is None else milliseconds / 1000


def _fingerprint(request: Request, customer: str) -> str:
    digest = blake2b(request.target.encode(), digest_size=16)
    digest.update(customer.encode())
    digest.update(request.body)
    return digest.hexdigest()
