"""Assigns each request to its route, customer and service.

A traffic split depends on a hash of the request id instead of chance, so that each
ingress process sends the same request to the same service.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from ragwortkeel.ingress.configuration import (
    Customer,
    IngressConfiguration,
    Route,
    Service,
)


@dataclass(frozen=True, kw_only=True)
class NoRoute:
    """No route matches the host and path."""


@dataclass(frozen=True, kw_only=True)
class UnknownKey:
    """The route requires an API key, and the request has no known one."""


@dataclass(frozen=True, kw_only=True)
class Routed:
    """The request may be served.

    Attributes
    ----------
    customer : Customer or None
        Customer whose API key the request has; None on a public route.
    """

    route: Route
    customer: Customer | None


Routing = NoRoute | UnknownKey | Routed


class RoutingTable:
    """One configuration, indexed by host, API key and names.

    Examples
    --------
    >>> table = RoutingTable(configuration=IngressConfiguration(revision=1))
    >>> table.route(host="a.example", path="/x/", key="")
    NoRoute()
    """

    def __init__(self, *, configuration: IngressConfiguration) -> None:
        self.configuration = configuration
        self.service_by_name: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.customer_by_name = {
            customer.name: customer for customer in configuration.customers
        }
        self._customer_by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }
        routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        self._routes_by_host = {
            host: _HostRoutes(routes) for host, routes in routes_by_host.items()
        }

    def route(self, *, host: str, path: str, key: str) -> Routing:
        """Return the route and customer of a request, or why there is none."""
        routes = self._routes_by_host.get(host.lower().partition(":")[0])
        route = routes.longest_match(path) if routes else None
        return NoRoute() if route is None else self._admit(route, key)

    def _admit(self, route: Route, key: str) -> Routing:
        customer = self._customer_by_key.get(key)
        requires_key = bool(self.customer_by_name) and not route.public
        if requires_key and customer is None:
            return UnknownKey()
        return Routed(route=route, customer=None if route.public else customer)


class _HostRoutes:
    """The routes of one host; finding one takes a lookup for each length of prefix.

    Pattern of load: one host with thousands of routes, where comparing a path with each
    prefix would take longer than the rest of a small request.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        # Of two routes with the same prefix the first one counts.
        self._route_by_prefix = {route.prefix: route for route in reversed(routes)}
        self._lengths = sorted({len(route.prefix) for route in routes}, reverse=True)

    def longest_match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None if none is."""
        for length in self._lengths:
            route = self._route_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def split_service(route: Route, request_id: str) -> str:
    """Return the name of the service that the traffic split selects."""
    total = sum(split.weight for split in route.splits)
    if total <= 0:
        return route.splits[0].service
    digest = blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest) / 2**64 * total
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.service
    return route.splits[-1].service
