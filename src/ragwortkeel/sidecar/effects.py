"""Effects that the sidecar's core requests, and events of the upstream."""

from dataclasses import dataclass

from ragwortkeel.messages import AnyMessage, Dispatch, FailureReason, RefusalReason

Peer = str
"""Identity of a router's link, assigned by the endpoint."""


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message to a peer; a disconnected peer is no error."""

    peer: Peer
    message: AnyMessage


@dataclass(frozen=True, kw_only=True)
class StartRun:
    """Send this request to the upstream and report `UpstreamEvent`s."""

    dispatch: Dispatch


@dataclass(frozen=True, kw_only=True)
class CancelRun:
    """Ask the upstream to stop a run; events report its end."""

    nonce: str
    request_id: str


@dataclass(frozen=True, kw_only=True)
class StopRun:
    """Abort a run that the core has already recorded as ended."""

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
    """Bytes of the answer; `tokens` bounds what may have been spent so far."""

    nonce: str
    data: bytes
    tokens: int


@dataclass(frozen=True, kw_only=True)
class AnswerCompleted:
    """The answer is complete and cost `tokens`."""

    nonce: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RunDeclined:
    """The upstream certainly did not run the request.

    `retry_after_seconds` is the pause that it asked for, 0 for none.
    """

    nonce: str
    reason: RefusalReason
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RunBroken:
    """The run failed after it may have begun; `tokens` bounds its cost.

    `retry_after_seconds` is the pause that the upstream asked for, 0 for none.
    """

    nonce: str
    reason: FailureReason
    tokens: int
    retry_after_seconds: float = 0.0


UpstreamEvent = AnswerStarted | AnswerChunk | AnswerCompleted | RunDeclined | RunBroken
