"""What the sidecar's core asks of its tasks, and what the upstream tells it."""

from dataclasses import dataclass

from ragwortkeel.messages import AnyMessage, Dispatch, FailureReason, RefusalReason

Peer = str
"""Identity of a router's link, as the endpoint names it."""


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message to a peer; a peer that is gone is no error."""

    peer: Peer
    message: AnyMessage


@dataclass(frozen=True, kw_only=True)
class StartRun:
    """Send this request to the upstream and report `UpstreamEvent`s."""

    dispatch: Dispatch


@dataclass(frozen=True, kw_only=True)
class CancelRun:
    """Ask the upstream to stop a run; its end is reported like any other."""

    nonce: str
    request_id: str


@dataclass(frozen=True, kw_only=True)
class StopRun:
    """Cut a run off; it has ended already as far as the core goes."""

    nonce: str
    request_id: str


Effect = Send | StartRun | CancelRun | StopRun


@dataclass(frozen=True, kw_only=True)
class AnswerStarted:
    """The upstream has sent the head of its answer."""

    nonce: str
    status: int
    content_type: str


@dataclass(frozen=True, kw_only=True)
class AnswerChunk:
    """Bytes of the answer; `tokens` is the most that may be spent so far."""

    nonce: str
    data: bytes
    tokens: int


@dataclass(frozen=True, kw_only=True)
class AnswerCompleted:
    """The answer is whole and cost `tokens`."""

    nonce: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RunDeclined:
    """The upstream certainly did not run the request."""

    nonce: str
    reason: RefusalReason
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RunBroken:
    """The upstream failed after it may have begun; `tokens` is a bound."""

    nonce: str
    reason: FailureReason
    tokens: int


UpstreamEvent = AnswerStarted | AnswerChunk | AnswerCompleted | RunDeclined | RunBroken
