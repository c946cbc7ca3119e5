"""What the decisions under load know: requests, upstreams, answers, failures.

All times are seconds of one monotonic clock, passed in by the caller as `now`;
no module of this package reads a clock, a socket or a global random source.
"""

from dataclasses import dataclass
from enum import StrEnum

from ragwortkeel.configuration import ServiceClass


class Reason(StrEnum):
    """Why a request got no (whole) answer; the operators' page lists each."""

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
    """How an attempt ended without a whole answer.

    `OVERLOADED` and `TURNED_AWAY` are answers of a sidecar that did not run the
    request: the first for lack of room, the second for any other reason.
    `UNREACHABLE` is a link that failed, `CRASHED` an upstream that died with the
    request on it, `ERROR` an answer that blames the upstream (HTTP 5xx).
    """

    OVERLOADED = "overloaded"
    TURNED_AWAY = "turned_away"
    UNREACHABLE = "unreachable"
    CRASHED = "crashed"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True)
class RequestFacts:
    """One request as the decisions see it.

    Attributes
    ----------
    request_id : str
        Names the request; a retry at another router carries the same.  Only one
        of a name may be open at a router, so it includes the profile's name.
    profile, customer : str
        Whose it is; estimates are kept by profile, fair shares by customer.
    back_ends : tuple of str
        Back ends that may serve it.
    deadline, first_token_by : float
        Monotonic seconds; the latter binds only the interactive class.
    cost : int
        Tokens that it may take (prompt and output); the unit of fair shares.
    prefix : str
        Key of the prompt prefix worth keeping together; empty for none.
    fingerprint : str
        Of the body (see `quarantine.fingerprint`); empty skips quarantine.
    first_token_seconds : float
        The profile's promise itself, for the upstream's limit.
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
        """Whether a second run would be harmless."""
        return self.service_class is not ServiceClass.MUST_NOT_REPEAT


@dataclass(frozen=True, kw_only=True)
class UpstreamFacts:
    """One upstream that may be given work now: linked, and in service."""

    name: str
    back_end: str
    zone: str


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """What a sidecar last said of its upstream's load, in requests.

    `limit` is the sidecar's adaptive limit; zero means that it has none yet.
    """

    upstream: str
    running: int
    waiting: int
    limit: int


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """Dispatch this request to this upstream now.

    `attempt` counts from 1.  With `alone` the sidecar lets running work end,
    then runs this request with nothing beside it.
    """

    request: RequestFacts
    upstream: str
    attempt: int
    alone: bool = False


@dataclass(frozen=True, kw_only=True)
class Queued:
    """The request waits; `next` will hand it out or refuse it."""

    request: RequestFacts
    estimated_wait_seconds: float


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """The final answer, to be sent at once.

    `may_have_run` is true only after an attempt whose outcome is not known.
    `retry_after_seconds` is zero where coming back does not help.
    """

    request: RequestFacts
    reason: Reason
    retry_after_seconds: float
    may_have_run: bool = False


Decision = Assignment | Queued | Refusal
