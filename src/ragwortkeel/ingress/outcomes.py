"""How a run at an upstream ended, as typed outcomes."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortkeel.ingress.upstream_connection import ResponseHead


class NotRunReason(StrEnum):
    """Why an upstream surely did not run a request."""

    UNREACHABLE = "unreachable"
    FULL = "full"
    OTHER_INSTANCE = "other_instance"


class BrokenReason(StrEnum):
    """Why nobody knows whether, or how far, a request ran."""

    CLOSED = "closed"
    DEADLINE = "deadline"
    SILENT = "silent"
    SPOILED = "spoiled"


@dataclass(frozen=True, kw_only=True)
class FullResponse:
    """The upstream's whole answer to a plain request."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, kw_only=True)
class StreamCompleted:
    """A stream went to its end and to the caller."""

    events: int


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The upstream did not run the request and never will."""

    reason: NotRunReason
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Broken:
    """The run broke off; it may have taken effect."""

    reason: BrokenReason
    detail: str = ""


Outcome = FullResponse | StreamCompleted | NotRun | Broken
