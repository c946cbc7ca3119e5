"""What operators configure, as it is kept in the platform.

Every object carries the platform's version of it once read; versions only go
up, and a node never replaces an object by an older one.
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
    """The service a caller may expect."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    MUST_NOT_REPEAT = "must_not_repeat"


class Spread(StrEnum):
    """How a budget is spread over routers; never changes the promise.

    `WIDE` keeps larger slices for longer outages (false refusals cost more);
    `NARROW` keeps little outstanding (overspend costs more).
    """

    WIDE = "wide"
    NARROW = "narrow"


class UpstreamState(StrEnum):
    """What an operator wants of an upstream."""

    SERVING = "serving"
    DRAINING = "draining"


class UpstreamKind(StrEnum):
    """What an upstream is."""

    MODEL = "model"
    SERVICE = "service"


class Profile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A named profile: whose it is, which service it promises, where it may run.

    `call_tokens` is what one call of a plain service costs.
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


class Upstream(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One instance of a back end, and the address of the sidecar beside it.

    `resumes` says that its engine can go on after tokens already produced.
    """

    name: Name
    back_end: Name
    kind: UpstreamKind
    sidecar_address: str
    zone: str
    resumes: bool = False
    state: UpstreamState = UpstreamState.SERVING
    retired: bool = False


class Role(StrEnum):
    """What a node of the fleet is."""

    ROUTER = "router"
    SIDECAR = "sidecar"


class Node(msgspec.Struct, frozen=True, kw_only=True):
    """A running router or sidecar, as it registers itself."""

    incarnation: str
    role: Role
    zone: str
    address: str
    http_address: str
    upstream: str = ""
