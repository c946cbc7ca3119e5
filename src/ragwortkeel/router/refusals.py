"""Refusals of requests, and the HTTP problem documents that report them.

A refusal is final.  Its outcome states only what is certain: ``not_run`` if nothing
ran, ``failed`` if a run did not succeed, and ``unknown`` if a run may have happened.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

import msgspec

PROBLEM_TYPE = "application/problem+json"


class Outcome(StrEnum):
    """What is certain about the runs of a refused request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Reason(StrEnum):
    """Why a request was refused; docs/operators/overload.md explains each."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_PROFILE = "unknown_profile"
    RETIRED_PROFILE = "retired_profile"
    KEY_REUSED = "key_reused"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNREACHABLE = "budget_unreachable"
    EXPOSURE_FULL = "exposure_full"
    SIDECAR_NOT_NAMED = "sidecar_not_named"
    NO_UPSTREAM = "no_upstream"
    DEADLINE = "deadline"
    FIRST_TOKEN = "first_token"
    QUEUE_FULL = "queue_full"
    FAIR_SHARE = "fair_share"
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS = "attempts"
    MUST_NOT_REPEAT = "must_not_repeat"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CONTENDED = "contended"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    ANSWER_LOST = "answer_lost"
    AWAITS_OPERATOR = "awaits_operator"
    RUN_FAILED = "run_failed"
    SIDECAR_GONE = "sidecar_gone"
    UPSTREAM_FAILED = "upstream_failed"
    INTERNAL = "internal"


_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_PROFILE: 404,
    Reason.RETIRED_PROFILE: 410,
    Reason.KEY_REUSED: 422,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.DEADLINE: 504,
    Reason.FIRST_TOKEN: 429,
    Reason.QUEUE_FULL: 429,
    Reason.FAIR_SHARE: 429,
    Reason.MUST_NOT_REPEAT: 409,
    Reason.QUARANTINED: 422,
    Reason.ANSWER_LOST: 502,
    Reason.AWAITS_OPERATOR: 409,
    Reason.RUN_FAILED: 409,
    Reason.SIDECAR_GONE: 409,
    Reason.UPSTREAM_FAILED: 502,
    Reason.INTERNAL: 500,
}

UNAVAILABLE_STATUS = 503
"""Status for all other reasons: the fleet may be able to serve the request later."""


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """The final result of a request that gets no complete answer.

    Attributes
    ----------
    detail : str
        Explanation for the caller.
    retry_after_seconds : float
        Delay before a retry; 0 if a retry cannot help.
    status : int
        HTTP status to use instead of the reason's; 0 for none.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ""
    retry_after_seconds: float = 0.0
    status: int = 0


class _Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """RFC 9457 problem document."""

    title: str
    status: int
    outcome: str
    reason: str
    request_id: str
    detail: str = ""


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return refusal.status or _STATUS_BY_REASON.get(refusal.reason, UNAVAILABLE_STATUS)


def problem_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the problem document of a refusal."""
    problem = _Problem(
        title=refusal.reason.replace("_", " "),
        status=status_of(refusal),
        outcome=refusal.outcome,
        reason=refusal.reason,
        request_id=request_id,
        detail=refusal.detail,
    )
    return msgspec.json.encode(problem)


def problem_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers that go with `problem_body`."""
    rv = {"content-type": PROBLEM_TYPE}
    if refusal.retry_after_seconds > 0:
        rv["retry-after"] = str(ceil(refusal.retry_after_seconds))
    return rv
