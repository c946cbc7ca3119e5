"""The outcome of a request's run at an upstream."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortkeel.ingress.upstream_connection import ResponseHead


class NotRunReason(StrEnum):
    """Why a request certainly did not run at an upstream."""

    UNREACHABLE = "unreachable"
    CONNECT_DELAYED = "connect_delayed"
    FULL = "full"
    OTHER_INSTANCE = "other_instance"
    PAUSED = "paused"
    TOO_LATE = "too_late"
    MAY_HAVE_RESTARTED = "may_have_restarted"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"


class BrokenReason(StrEnum):
    """Why it is unknown whether, or how far, a request ran."""

    CLOSED = "closed"
    DEADLINE = "deadline"
    SILENT = "silent"
    SPOILED = "spoiled"
    NO_ROOM = "no_room"


@dataclass(frozen=True, kw_only=True)
class FullResponse:
    """A complete response of the upstream that is not a stream."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, kw_only=True)
class StreamCompleted:
    """A stream was forwarded to the caller up to its end.

    Attributes
    ----------
    events : int
        Events forwarded, over all runs of the request.
    is_framed : bool
        Whether the upstream marked the end; otherwise the closed connection did, as a
        crash does as well.
    """

    events: int
    is_framed: bool = True


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The upstream did not run the request and will not run it later."""

    reason: NotRunReason
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Broken:
    """The run broke off; it may have had effects."""

    reason: BrokenReason
    detail: str = ""


Outcome = FullResponse | StreamCompleted | NotRun | Broken
