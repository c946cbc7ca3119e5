"""What operators configure for an ingress, and what upstreams say of themselves.

One object holds the whole configuration, so that a version is in force as a
whole or not at all.  Each upstream instance keeps an entry of its own.
"""

from enum import StrEnum
from typing import Annotated, TypeVar

import msgspec

from ragwortkeel.exceptions import ConfigurationUnreadable

CONFIGURATION_KIND = "ingress"
CONFIGURATION_NAME = "main"
UPSTREAMS_KIND = "ingress-upstreams"
EVACUATIONS_KIND = "ingress-evacuations"
"""One object for each evacuated availability zone, by the zone's name."""

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]


class Repeats(StrEnum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Split(msgspec.Struct, frozen=True, kw_only=True):
    """One service's share of a route's requests."""

    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Which requests go to which service, and what their callers may expect.

    Attributes
    ----------
    prefix : str
        Begins and ends with a slash; the longest one that fits wins.
    timeout_seconds : float
        The final answer leaves by then, counted from the request's arrival.
    objective_seconds : float
        Time in which an answer (a stream's first event) is of full use.
    priority : int
        0 is served first.
    max_attempts : int
        Upstreams that may run one request.
    resumable : bool
        Whether a broken stream may go on at another upstream.
    gap_seconds : float
        Longest pause between a stream's events that callers take as on time.
    homes : tuple of str
        Regions whose upstreams may serve the route; empty for all.
    """

    name: str
    host: str
    prefix: str
    repeats: Repeats
    splits: tuple[Split, ...]
    timeout_seconds: Positive
    objective_seconds: Positive
    priority: int = 5
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    public: bool = False
    resumable: bool = False
    gap_seconds: float = 0.0
    homes: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a second run does no harm."""
        return self.repeats is Repeats.IDEMPOTENT or self.resumable


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """What a service's model engines are able to do.

    Attributes
    ----------
    slots : int
        Requests in one batch.
    memory_tokens : int
        Tokens of running requests and kept prompt parts together.
    event_tokens : int
        Tokens in one event of a stream.
    """

    slots: Count
    memory_tokens: Count
    event_tokens: Annotated[int, msgspec.Meta(ge=1)] = 1


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equal upstreams.

    Attributes
    ----------
    cold_seconds : float
        How long an upstream stays cold after its start, at the most.
    cold_per_second : float
        Requests a second that a cold one bears from the whole fleet; 0 for no bound.
    """

    name: str
    max_connections: Annotated[int, msgspec.Meta(ge=1)]
    engine: Engine | None = None
    cold_seconds: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """Who pays: API keys and one prepaid budget over all routes.

    `prepaid` counts prompt and answer tokens; None is no budget of tokens.  `homes`
    are the regions whose upstreams may serve the customer; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid: Count | None = None
    homes: tuple[str, ...] = ()


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, in bytes, and how long it may be idle."""

    max_body_bytes: Count = 4 * 1024 * 1024
    idle_seconds: Positive = 60.0


class IngressConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """The whole configuration; a higher `revision` replaces a lower one."""

    revision: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: Limits = Limits()


class UpstreamState(StrEnum):
    """Whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream instance, as it says of itself.

    Attributes
    ----------
    name : str
        Of the instance; an address may be used again by another one.
    slots : int
        Requests that it runs at once.
    started_ms : int
        Milliseconds of the wall clock at its start; tells a restart under the
        same name, after which it remembers nothing.
    cold_seconds : float
        How much longer it was to stay cold when it wrote this.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: Count
    state: UpstreamState
    started_ms: int = msgspec.field(default=0, name="born")
    cold_seconds: Annotated[float, msgspec.Meta(ge=0)] = 0.0


Decoded = TypeVar("Decoded")


def decode_value(value: bytes, cls: type[Decoded]) -> Decoded:
    """Return the value as `cls`.

    Raises
    ------
    ConfigurationUnreadable
        It is none; the text says what is wrong.
    """
    try:
        return msgspec.json.decode(value, type=cls)
    except msgspec.DecodeError as exc:
        raise ConfigurationUnreadable(str(exc)) from exc
