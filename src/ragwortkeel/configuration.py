"""The configuration objects that the platform stores.

An object that was read from the platform carries its version.  Versions only
increase, and a process never replaces an object with an older version of it.
"""

from enum import StrEnum
from typing import Annotated

import msgspec

PROFILES = "profiles"
UPSTREAMS = "upstreams"
NODES = "nodes"
SEALS = "seals"
LEDGERS = "ledgers"
INTENTS = "intents"
RECEIPTS = "receipts"
FENCES = "fences"

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Tokens = Annotated[int, msgspec.Meta(ge=0)]


class ServiceClass(StrEnum):
    """The service that a profile promises to its callers."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    MUST_NOT_REPEAT = "must_not_repeat"


class Spread(StrEnum):
    """How a budget is spread over routers.

    `WIDE` gives the routers larger slices, which last for longer outages: for
    budgets where a false refusal costs more than overspend.  `NARROW` gives them
    smaller slices: for budgets where overspend costs more.  Neither changes what
    the profile promises.
    """

    WIDE = "wide"
    NARROW = "narrow"


class UpstreamState(StrEnum):
    """The state that an operator sets for an upstream."""

    SERVING = "serving"
    DRAINING = "draining"


class UpstreamKind(StrEnum):
    """The kind of an upstream: a model engine or a plain service."""

    MODEL = "model"
    SERVICE = "service"


class Profile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A named profile: its customer, the promised service and the back ends.

    `call_tokens` is the cost in tokens of one call of a plain service.
    """

    name: Name
    customer: Name
    service: ServiceClass
    deadline_seconds: PositiveSeconds
    first_token_seconds: PositiveSeconds
    back_ends: tuple[Name, ...]
    max_output_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1024
    call_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1
    spread: Spread = Spread.WIDE
    ride_out_seconds: PositiveSeconds = 600.0
    retired: bool = False


class Upstream(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """One instance of a back end, with the address of its sidecar.

    `resumes` is set if the engine can continue an answer after the tokens that an
    engine of the same `software_version` has already produced; an empty version is
    one like any other.  Fields with defaults are not stored, since processes that
    don't know a field refuse the object.
    """

    name: Name
    back_end: Name
    kind: UpstreamKind
    sidecar_address: str
    zone: str
    resumes: bool = False
    software_version: str = ""
    state: UpstreamState = UpstreamState.SERVING
    retired: bool = False


class Role(StrEnum):
    """The role of a process in the fleet."""

    ROUTER = "router"
    SIDECAR = "sidecar"


class Node(msgspec.Struct, frozen=True, kw_only=True):
    """The registration of a running router or sidecar."""

    incarnation: str
    role: Role
    zone: str
    address: str
    http_address: str
    upstream: str = ""
