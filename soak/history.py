"""What callers, upstreams and operators saw in one run, for the checks after it.

All times are monotonic seconds of the soak's own process.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf


class Kind(StrEnum):
    """What a request asks for, by its route."""

    LOOKUP = "lookup"
    FILING = "filing"
    CHAT = "chat"
    DRAFT = "draft"
    """A stream that callers take up if it breaks off."""
    LONG = "long"
    """A stream that lasts for most of a planned stop."""


STREAM_KINDS = frozenset({Kind.CHAT, Kind.DRAFT, Kind.LONG})


@dataclass(frozen=True, kw_only=True)
class Request:
    """A request as its caller sent it.

    Attributes
    ----------
    process : str
        Ingress process that the request was sent to.
    start : int
        Number of that process's start, from 1 on.
    route, key : str
        Name of the route, and the API key.
    time_limit_seconds : float or None
        Its own time limit; None for that of the history.
    """

    request_id: str
    kind: Kind
    process: str
    start: int
    route: str
    key: str
    customer: str
    sent_at: float
    time_limit_seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class Answer:
    """How a request ended for its caller.

    Attributes
    ----------
    status : int
        Status of the complete answer; 0 if the connection failed before its end.
    outcome : str
        What a refusal of the ingress says, empty for answers of upstreams.
    is_own : bool
        Whether a success is the whole answer to this request, with an upstream's proof.
    connected : bool
        Whether the request may have been sent.
    events : int
        Events of a stream that were received.
    stream : str
        Id of the first request for a draft, over all requests that take it up.
    after : int
        Id of the last event of the draft that the caller had before.
    draft : tuple of (int, str)
        Ids of the events of a draft, and the software versions that wrote them.
    left : bool
        Whether the caller closed its connection itself.
    idle_seconds : float or None
        How long the connection had been idle; None for the first request on it.
    """

    request: Request
    ended_at: float
    status: int
    outcome: str = ""
    reason: str = ""
    is_own: bool = True
    connected: bool = True
    events: int = 0
    stream: str = ""
    after: int = 0
    draft: tuple[tuple[int, str], ...] = ()
    left: bool = False
    idle_seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class Serving:
    """A time in which an engine of a version was ready."""

    upstream: str
    version: str
    begins_at: float
    ends_at: float = inf


@dataclass(frozen=True, kw_only=True)
class Run:
    """A request that an upstream began to run."""

    request_id: str
    upstream: str
    at: float
    broken_by_upstream: bool = False


@dataclass(frozen=True, kw_only=True)
class BadArrival:
    """A request with a block that crashes engines, as it reached one."""

    block: str
    request: Request
    at: float


@dataclass(frozen=True, kw_only=True)
class Span:
    """A time in which something was disturbed; `process` is empty for all of them."""

    process: str
    cause: str
    begins_at: float
    ends_at: float = inf


@dataclass(frozen=True, kw_only=True)
class Exit:
    """The end of a process after a TERM.

    Attributes
    ----------
    start : int
        Number of the start that ended.
    code : int or None
        Exit code; None if it did not end in time and was killed.
    """

    process: str
    start: int
    stopped_at: float
    ended_at: float
    code: int | None


@dataclass(frozen=True, kw_only=True)
class Change:
    """A confirmed change by an operator.

    Attributes
    ----------
    adds, removes : frozenset of str
        Routes and API keys that are valid, or no longer valid, from then on.
    leaves : str
        Upstream that gets nothing new from then on.
    """

    sent_at: float
    confirmed_at: float
    revision: int = 0
    adds: frozenset[str] = frozenset()
    removes: frozenset[str] = frozenset()
    leaves: str = ""


@dataclass(kw_only=True)
class History:
    """Everything that one run recorded.

    Attributes
    ----------
    up_since_by_start : dict of str to float
        When a start of a process, as ``PROCESS/NUMBER``, was first ready.
    bad_arrivals : list of BadArrival
        Requests that crash engines.
    bad_crashes_by_block, bad_until_by_block : dict
        When engines crashed under each block, and until when requests with it came.
    rushes : list of Span
        Times in which one process got most new connections.
    cut_requests : set of str
        Requests that an upstream ran when it went down.
    reloads : list of Span
        When a process was told to read its settings again.
    time_limit_seconds : float
        Time after which a request may end without an answer, by the callers' deadline
        or the timeout of the routes.
    stop_deadline_seconds : float
        Longest time of a planned stop.
    run_ended_at_by_id : dict of str to float
        When the runs of streams that aren't taken up ended, whole or broken off.
    kills_of_all : list of Span
        From the kill of all processes at once until all were started again.
    relay_spans : list of Span
        Times in which a relay stood still, was down or stopped.
    changed : set of str
        Routes and API keys of changes that were sent, confirmed or not.
    problems : list of str
        What the run itself noticed, such as a process that ended by itself.
    """

    prepaid_by_customer: dict[str, int]
    prompt_tokens: int
    event_tokens: int
    answers: list[Answer] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    serving: list[Serving] = field(default_factory=list)
    rushes: list[Span] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    up_since_by_start: dict[str, float] = field(default_factory=dict)
    spent_by_customer: dict[str, int] = field(default_factory=dict)
    bad_arrivals: list[BadArrival] = field(default_factory=list)
    bad_crashes_by_block: dict[str, list[float]] = field(default_factory=dict)
    bad_until_by_block: dict[str, float] = field(default_factory=dict)
    reloads: list[Span] = field(default_factory=list)
    time_limit_seconds: float = inf
    stop_deadline_seconds: float = inf
    run_ended_at_by_id: dict[str, float] = field(default_factory=dict)
    kills_of_all: list[Span] = field(default_factory=list)
    relay_spans: list[Span] = field(default_factory=list)
    cut_requests: set[str] = field(default_factory=set)
    changed: set[str] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)

    def up_since(self, process: str, start: int) -> float | None:
        """Return when a start of a process was first ready; None if it never was."""
        return self.up_since_by_start.get(f"{process}/{start}")

    def is_calm(self, process: str, begins_at: float, ends_at: float) -> bool:
        """Return whether nothing disturbed a process or the platform meanwhile."""
        return not any(
            span.process in ("", process)
            and span.begins_at <= ends_at
            and span.ends_at >= begins_at
            for span in self.spans
        )
