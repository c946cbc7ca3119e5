"""Error responses of the ingress, with their reason and when to retry."""

from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

import msgspec

from ragwortkeel.http_responder import Responder
from ragwortkeel.policy.retry_delays import SPREAD_FRACTION, retry_delay

PROBLEM_TYPE = "application/problem+json"


class Result(StrEnum):
    """What a caller may conclude about its request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class ErrorResponse:
    """A final response that the ingress itself sends.

    Attributes
    ----------
    retry_after_seconds : float or None
        Value of the Retry-After header; None if a retry would not help.
    """

    status: int
    reason: str
    result: Result
    retry_after_seconds: float | None = None


class _Problem(msgspec.Struct, frozen=True, kw_only=True):
    status: int
    title: str
    outcome: Result
    reason: str


NO_CONFIGURATION = ErrorResponse(
    status=503,
    reason="no_configuration",
    result=Result.NOT_RUN,
    retry_after_seconds=0.5,
)
CONFIGURATION_BEHIND = ErrorResponse(
    status=503,
    reason="configuration_behind",
    result=Result.NOT_RUN,
    retry_after_seconds=0.3,
)
NO_ROUTE = ErrorResponse(status=404, reason="no_route", result=Result.NOT_RUN)
UNKNOWN_KEY = ErrorResponse(status=401, reason="unknown_key", result=Result.NOT_RUN)
BAD_REQUEST = ErrorResponse(status=400, reason="bad_headers", result=Result.NOT_RUN)
BUDGET_EXHAUSTED = ErrorResponse(
    status=402, reason="budget_exhausted", result=Result.NOT_RUN
)
BUDGET_UNREACHABLE = ErrorResponse(
    status=503,
    reason="budget_unreachable",
    result=Result.NOT_RUN,
    retry_after_seconds=0.7,
)
QUARANTINED = ErrorResponse(status=503, reason="quarantined", result=Result.NOT_RUN)
"""No Retry-After, because the request would be refused again."""
NO_UPSTREAM = ErrorResponse(
    status=503, reason="no_upstream", result=Result.NOT_RUN, retry_after_seconds=0.6
)
UPSTREAMS_WITHHELD = ErrorResponse(
    status=503,
    reason="upstreams_withheld",
    result=Result.NOT_RUN,
    retry_after_seconds=1.0,
)
VERSION_UNAVAILABLE = ErrorResponse(
    status=503,
    reason="version_unavailable",
    result=Result.NOT_RUN,
    retry_after_seconds=1.0,
)
VERSION_UNKNOWN = ErrorResponse(
    status=503,
    reason="version_unknown",
    result=Result.NOT_RUN,
    retry_after_seconds=0.5,
)
OVERLOADED = ErrorResponse(
    status=503, reason="overloaded", result=Result.NOT_RUN, retry_after_seconds=0.8
)
STOPPING = ErrorResponse(
    status=503, reason="stopping", result=Result.NOT_RUN, retry_after_seconds=0.05
)
INSTANCE_OVERLOADED = ErrorResponse(
    status=503,
    reason="instance_overloaded",
    result=Result.NOT_RUN,
    retry_after_seconds=0.1,
)
STOPPED = ErrorResponse(status=502, reason="process_stopped", result=Result.UNKNOWN)
"""For a request that was sent to an upstream and not answered when its process ends."""
TIMED_OUT = ErrorResponse(status=504, reason="timed_out", result=Result.UNKNOWN)
BROKEN = ErrorResponse(status=502, reason="upstream_broke_off", result=Result.UNKNOWN)


_random = Random()


def with_retry_after(error: ErrorResponse, seconds: float) -> ErrorResponse:
    """Return the error with a Retry-After of about `seconds`, spread at random."""
    return replace(error, retry_after_seconds=retry_delay(seconds, _random))


def with_spread(error: ErrorResponse) -> ErrorResponse:
    """Return the error with its own Retry-After, spread at random."""
    spread = 1.0 + SPREAD_FRACTION * _random.random()
    return replace(
        error, retry_after_seconds=round(error.retry_after_seconds * spread, 3)
    )


async def send_error(responder: Responder, error: ErrorResponse) -> None:
    """Send the error as a problem document; the connection stays usable."""
    await responder.respond(error.status, *_content(error))


async def send_refusal(responder: Responder, error: ErrorResponse) -> None:
    """Send the error as a problem document and close the connection.

    The caller's next attempt opens a connection, which mostly reaches another instance.
    """
    await responder.refuse(error.status, *_content(error))


def end_with_error(responder: Responder, error: ErrorResponse) -> None:
    """End an exchange from another task with the error, and close its connection."""
    responder.end(error.status, *_content(error))


def _content(error: ErrorResponse) -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of a problem document."""
    problem = _Problem(
        status=error.status,
        title=error.reason.replace("_", " "),
        outcome=error.result,
        reason=error.reason,
    )
    headers = {"content-type": PROBLEM_TYPE}
    if error.retry_after_seconds is not None:
        headers["retry-after"] = f"{error.retry_after_seconds:g}"
    return msgspec.json.encode(problem), headers
