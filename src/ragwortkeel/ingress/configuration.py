"""The configuration of an ingress by operators, and the entries of upstreams.

One object holds the full configuration, so that a revision is in force completely or
not at all.  Each upstream instance writes an entry of its own.
"""

from enum import StrEnum
from typing import Annotated, TypeVar

import msgspec

from ragwortkeel.exceptions import ConfigurationUnreadable

CONFIGURATION_KIND = "ingress"
CONFIGURATION_NAME = "main"
UPSTREAMS_KIND = "ingress-upstreams"
EVACUATIONS_KIND = "ingress-evacuations"
"""Kind with one object for each evacuated availability zone, named as the zone."""

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]

MAX_SLOTS = 100_000
"""Slots that no upstream has; a huge number can't be part of a load's fraction."""


class Repeats(StrEnum):
    """Whether and how a request of a route may run a second time."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Split(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its weight in the split of a route's requests."""

    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A host and path prefix, its services, and the promises to its callers.

    Attributes
    ----------
    prefix : str
        Path prefix that begins and ends with a slash; the longest match wins.
    timeout_seconds : float
        Time from a request's arrival until its final answer has to be sent.
    objective_seconds : float
        Time in which an answer, or the first event of a stream, has its full value.
    priority : int
        Priority of the requests; 0 is the highest.
    max_attempts : int
        Number of upstreams that may run one request.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether another upstream may continue a broken stream.
    gap_seconds : float
        Longest gap between the events of a stream that callers accept as on time.
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
        """Whether a request may run a second time without harm."""
        return self.repeats is Repeats.IDEMPOTENT or self.resumable


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """The capacity of the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests in one batch.
    memory_tokens : int
        Tokens of running requests and of the prefix cache together.
    event_tokens : int
        Tokens in one event of a stream.
    """

    slots: Count
    memory_tokens: Count
    event_tokens: Annotated[int, msgspec.Meta(ge=1)] = 1


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of upstreams that can serve the same requests.

    Attributes
    ----------
    max_connections : int
        Connections that one upstream accepts.
    cold_seconds : float
        Longest time that an upstream stays cold after its start.
    cold_per_second : float
        Requests per second from the whole fleet that a cold upstream can serve; 0 for
        no limit.
    """

    name: str
    max_connections: Annotated[int, msgspec.Meta(ge=1)]
    engine: Engine | None = None
    cold_seconds: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_per_second: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer with its API keys and one prepaid budget for all routes.

    Attributes
    ----------
    prepaid : int or None
        Prompt and answer tokens in the budget; None if there is no token budget.
    homes : tuple of str
        Regions whose upstreams may serve the customer; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid: Count | None = None
    homes: tuple[str, ...] = ()


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or stay idle.

    Attributes
    ----------
    head_seconds : float
        Longest time from the first bytes of a request's head to its end.
    """

    max_body_bytes: Count = 4 * 1024 * 1024
    idle_seconds: Positive = 60.0
    max_head_bytes: Count = 16 * 1024
    head_seconds: Positive = 20.0


class IngressConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """The full configuration; a higher `revision` replaces a lower one."""

    revision: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: Limits = Limits()


class UpstreamState(StrEnum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """The entry of one upstream instance, as the instance writes it.

    Attributes
    ----------
    name : str
        Name of the instance; another instance may later use the same address.
    slots : int
        Requests that it runs at the same time.
    started_ms : int
        Wall clock time of its start in milliseconds, stored as ``born``.  After a
        restart under the same name its prefix cache is empty.
    cold_seconds : float
        Cold time that was left when it wrote the entry.
    version : str
        Version of its software; empty if it states none.  Versions have no order.
    """

    name: str
    service: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: UpstreamState
    started_ms: UnixMilliseconds = msgspec.field(default=0, name="born")
    cold_seconds: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    version: str = ""


Decoded = TypeVar("Decoded")


def decode_value(value: bytes, cls: type[Decoded]) -> Decoded:
    """Return the decoded value.

    Raises
    ------
    ConfigurationUnreadable
        The value does not decode as `cls`; the message names the error.
    """
    try:
        return msgspec.json.decode(value, type=cls)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise ConfigurationUnreadable(str(exc)) from exc
