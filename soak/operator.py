"""The operator: the configuration, the upstreams' entries, and what callers know."""

from time import monotonic

import curio
import msgspec

from ragwortkeel.exceptions import OutcomeUnknown, PlatformError
from ragwortkeel.ingress.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    UPSTREAMS_KIND,
    Customer,
    Engine,
    IngressConfiguration,
    Limits,
    Repeats,
    Service,
    Split,
    Upstream,
    UpstreamState,
)
from ragwortkeel.ingress.configuration import Route as ConfiguredRoute
from ragwortkeel.platform import Platform
from soak.callers import APP_HOST, Choices, Route
from soak.history import Change, History, Kind
from soak.idle_limits import IdleLimits
from soak.upstreams import HOST, RecordingUpstream

RETRY_SECONDS = 0.3
ROUTE_SECONDS = 3.0
LONG_ROUTE_SECONDS = 20.0
"""Longer than a planned stop, so that only the stop itself ends a request in it."""
MAX_ROUTES = 3_500
"""Routes whose configuration fits into one object of the platform."""
USED_NEW_ROUTES = 3
"""Routes that callers use of those that one change adds."""

_REPEATS_BY_KIND = {
    Kind.LOOKUP: Repeats.IDEMPOTENT,
    Kind.FILING: Repeats.ONCE,
    Kind.CHAT: Repeats.STREAM,
    Kind.DRAFT: Repeats.STREAM,
    Kind.LONG: Repeats.STREAM,
}
BASE_ROUTES = (
    Route(name="lookup", path="/lookup/1", kind=Kind.LOOKUP),
    Route(name="filing", path="/filing/1", kind=Kind.FILING),
    Route(name="chat", path="/chat/1", kind=Kind.CHAT),
    Route(name="draft", path="/draft/1", kind=Kind.DRAFT),
)
LONG_ROUTE = Route(name="long", path="/long/1", kind=Kind.LONG)
SCARCE_ROUTE = Route(name="scarce", path="/scarce/1", kind=Kind.LONG)
"""Its service has few slots, so that requests wait for them."""
LONG_SLOTS = 64
SCARCE_SLOTS = 4
STOP_ROUTES = (LONG_ROUTE, SCARCE_ROUTE)
SERVICES = (
    Service(name="app", max_connections=96),
    Service(
        name="pool",
        max_connections=96,
        engine=Engine(slots=16, memory_tokens=100_000, event_tokens=6),
    ),
)
STOP_SERVICES = tuple(
    Service(
        name=route.name,
        max_connections=96,
        engine=Engine(slots=slots, memory_tokens=100_000, event_tokens=6),
    )
    for route, slots in ((LONG_ROUTE, LONG_SLOTS), (SCARCE_ROUTE, SCARCE_SLOTS))
)


class Operator:
    """Writes changes until the platform confirms them, and records them.

    Parameters
    ----------
    platform : Platform
        Reached without a proxy; fails only while the platform itself does.
    stops : bool
        Whether there are the routes and services of crowded stops.
    """

    def __init__(
        self, *, platform: Platform, history: History, stops: bool = False
    ) -> None:
        self._limits = Limits()
        self.choices = Choices(
            routes=list(BASE_ROUTES),
            keys=[],
            revoked_keys=[],
            idle_limits=IdleLimits(seconds=self._limits.idle_seconds),
        )
        self._platform = platform
        self._history = history
        self._routes = list(BASE_ROUTES + STOP_ROUTES if stops else BASE_ROUTES)
        self._services = SERVICES + STOP_SERVICES if stops else SERVICES
        self._added: list[Route] = []
        self._keys_by_customer = {
            name: [f"{name}-key-0"] for name in history.prepaid_by_customer
        }
        self._revision = 0
        self._key_count = 0
        self._route_count = 0
        self._lock = curio.Lock()
        self.choices.keys = [
            (key, name) for name, keys in self._keys_by_customer.items() for key in keys
        ]

    async def apply(self) -> None:
        """Write the first configuration."""
        async with self._lock:
            await self._apply()

    async def add_routes(self, count: int) -> None:
        """Add lookup routes; callers use some of them from then on."""
        async with self._lock:
            count = min(count, MAX_ROUTES - len(self._routes))
            numbers = range(self._route_count, self._route_count + count)
            self._route_count += count
            new = [
                Route(name=f"new-{n}", path=f"/lookup-{n}/1", kind=Kind.LOOKUP)
                for n in numbers
            ]
            self._routes += new
            used = new[-USED_NEW_ROUTES:]
            self._added += used
            self.choices.routes += used
            await self._apply(adds=frozenset(route.name for route in used))

    async def remove_route(self) -> None:
        """Remove the route that was added first; callers go on using it."""
        async with self._lock:
            if self._added:
                route = self._added.pop(0)
                self._routes.remove(route)
                await self._apply(removes=frozenset({route.name}))

    async def revoke_key(self) -> None:
        """Replace a customer's key; callers go on using the old one too."""
        async with self._lock:
            self._key_count += 1
            names = sorted(self._keys_by_customer)
            name = names[self._key_count % len(names)]
            new = f"{name}-key-{self._key_count}"
            keys = self._keys_by_customer[name]
            removed = keys.pop(0)
            keys.append(new)
            self.choices.keys.remove((removed, name))
            self.choices.keys.append((new, name))
            self.choices.revoked_keys.append((removed, name))
            await self._apply(adds=frozenset({new}), removes=frozenset({removed}))

    async def change_idle_limit(self, seconds: float) -> None:
        """Change how long connections may stay idle."""
        async with self._lock:
            self._limits = Limits(idle_seconds=seconds)
            self.choices.idle_limits.send(seconds)
            await self._apply()
            self.choices.idle_limits.confirm(monotonic())

    async def register(self, upstream: RecordingUpstream) -> None:
        """Write the entry of an upstream that has started.

        One that was leaving before goes on leaving.
        """
        state = UpstreamState.LEAVING if upstream.leaving else UpstreamState.READY
        await self._write_entry(upstream, state)

    async def remove(self, upstream: RecordingUpstream) -> None:
        """Remove the entry of an upstream that has crashed."""
        while True:
            try:
                stored = await self._platform.get(UPSTREAMS_KIND, upstream.name)
                if stored is not None:
                    await self._platform.delete(
                        UPSTREAMS_KIND, upstream.name, stored.version
                    )
                return
            except (PlatformError, OutcomeUnknown):
                await curio.sleep(RETRY_SECONDS)

    async def remove_leaving(self, upstream: RecordingUpstream) -> None:
        """Remove the entry of an upstream that leaves without a word."""
        sent_at = monotonic()
        await self.remove(upstream)
        change = Change(sent_at=sent_at, confirmed_at=monotonic(), leaves=upstream.name)
        self._history.changes.append(change)

    async def announce_leaving(self, upstream: RecordingUpstream) -> None:
        """Write that an upstream leaves."""
        sent_at = monotonic()
        await self._write_entry(upstream, UpstreamState.LEAVING)
        change = Change(sent_at=sent_at, confirmed_at=monotonic(), leaves=upstream.name)
        self._history.changes.append(change)

    async def _write_entry(
        self, upstream: RecordingUpstream, state: UpstreamState
    ) -> None:
        entry = Upstream(
            name=upstream.name,
            service=upstream.service,
            host=HOST,
            port=upstream.port,
            zone=upstream.zone,
            slots=upstream.slots,
            state=state,
            started_ms=upstream.started_ms,
            version=upstream.version,
        )
        await self._write(UPSTREAMS_KIND, upstream.name, msgspec.json.encode(entry))

    async def _apply(
        self,
        adds: frozenset[str] = frozenset(),
        removes: frozenset[str] = frozenset(),
    ) -> None:
        self._revision += 1
        self._history.changed |= adds | removes
        configuration = IngressConfiguration(
            revision=self._revision,
            routes=tuple(_configured(route) for route in self._routes),
            services=self._services,
            limits=self._limits,
            customers=tuple(
                Customer(
                    name=name,
                    keys=tuple(self._keys_by_customer[name]),
                    prepaid=prepaid,
                )
                for name, prepaid in self._history.prepaid_by_customer.items()
            ),
        )
        sent_at = monotonic()
        await self._write(
            CONFIGURATION_KIND, CONFIGURATION_NAME, msgspec.json.encode(configuration)
        )
        self._history.changes.append(
            Change(
                sent_at=sent_at,
                confirmed_at=monotonic(),
                revision=self._revision,
                adds=adds,
                removes=removes,
            )
        )

    async def _write(self, kind: str, name: str, value: bytes) -> None:
        while True:
            try:
                stored = await self._platform.get(kind, name)
                if stored is None:
                    await self._platform.create(kind, name, value)
                elif stored.value != value:
                    await self._platform.update(kind, name, value, stored.version)
                return
            except (PlatformError, OutcomeUnknown):
                await curio.sleep(RETRY_SECONDS)


def _configured(route: Route) -> ConfiguredRoute:
    is_long = route.kind is Kind.LONG
    service = "pool" if route.kind in (Kind.CHAT, Kind.DRAFT) else "app"
    return ConfiguredRoute(
        name=route.name,
        host=APP_HOST,
        prefix=route.path.removesuffix("1"),
        repeats=_REPEATS_BY_KIND[route.kind],
        splits=(Split(service=route.name if is_long else service),),
        timeout_seconds=LONG_ROUTE_SECONDS if is_long else ROUTE_SECONDS,
        objective_seconds=0.5,
        max_attempts=2,
        resumable=route.kind is Kind.DRAFT,
    )
