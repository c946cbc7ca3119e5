"""Inputs and results of the load-management decisions.

All times are seconds of one monotonic clock, passed by the caller as `now`; no module
of this package reads a clock, a socket or a global random source.
"""

from dataclasses import dataclass
from enum import StrEnum

from ragwortkeel.configuration import ServiceClass


class Reason(StrEnum):
    """Why a request got no complete answer; the operators' page lists each value."""

    DEADLINE = "deadline"
    FIRST_TOKEN = "first_token"
    QUEUE_FULL = "queue_full"
    FAIR_SHARE = "fair_share"
    NO_UPSTREAM = "no_upstream"
    QUARANTINED = "quarantined"
    MUST_NOT_REPEAT = "must_not_repeat"
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS = "attempts"


class Failure(StrEnum):
    """How an attempt ended without a complete answer.

    `OVERLOADED` and `TURNED_AWAY` are answers of a sidecar that did not run the
    request: the first for lack of capacity, the second for any other reason.
    `UNREACHABLE` is a failed link, `CRASHED` an upstream that crashed while it ran the
    request, `ERROR` an answer that reports a server error (HTTP 5xx).
    """

    OVERLOADED = "overloaded"
    TURNED_AWAY = "turned_away"
    UNREACHABLE = "unreachable"
    CRASHED = "crashed"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True)
class RequestFacts:
    """One request as seen by the decisions.

    Attributes
    ----------
    request_id : str
        Identifies the request; a retry at another router has the same.  Only one
        request per id may be open at a router, so it includes the profile's name.
    profile, customer : str
        Owner of the request; estimates are per profile, fair shares per customer.
    service_class : ServiceClass
        Selects the queue, the deadline that binds, and whether it may be repeated.
    back_ends : tuple of str
        Back ends that may serve the request.
    deadline, first_token_deadline : float
        Monotonic seconds; the latter binds only the interactive class.
    cost : int
        Upper bound of the tokens (prompt and output); the unit of fair shares.
    prefix : str
        Key of the prompt prefix worth caching; empty for none.
    fingerprint : str
        Fingerprint of the body (see `quarantine.fingerprint`); empty skips
        quarantine.
    promised_first_token_seconds : float
        The profile's promise, for the upstream's adaptive limit.
    """

    request_id: str
    profile: str
    customer: str
    service_class: ServiceClass
    back_ends: tuple[str, ...]
    deadline: float
    first_token_deadline: float
    cost: int
    prefix: str = ""
    fingerprint: str = ""
    promised_first_token_seconds: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a second run is harmless."""
        return self.service_class is not ServiceClass.MUST_NOT_REPEAT


@dataclass(frozen=True, kw_only=True)
class UpstreamFacts:
    """One upstream that may receive requests now: linked, and in service."""

    name: str
    back_end: str
    zone: str


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load of an upstream as last reported by its sidecar, in requests.

    `limit` is the sidecar's adaptive limit; zero means that it has none yet.
    """

    upstream: str
    running: int
    waiting: int
    limit: int


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """Dispatch this request to this upstream now.

    `attempt` counts from 1.  With `alone` the sidecar waits for its running requests
    to end, then runs this one with no other beside it.
    """

    request: RequestFacts
    upstream: str
    attempt: int
    alone: bool = False


@dataclass(frozen=True, kw_only=True)
class Queued:
    """The request is queued; `Scheduler.next_decisions` assigns or refuses it later."""

    request: RequestFacts
    estimated_wait_seconds: float


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """The final answer, to be sent at once.

    `may_have_run` is true only after an attempt with an unknown outcome.
    `retry_after_seconds` is zero if a retry does not help.
    """

    request: RequestFacts
    reason: Reason
    retry_after_seconds: float
    may_have_run: bool = False


Decision = Assignment | Queued | Refusal
