"""Token counts and end marker of an answer, read while it is forwarded."""

import msgspec

from ragwortkeel.exceptions import ExchangeBroken

MAX_LINE_BYTES = 1024 * 1024
DATA_PREFIX = b"data:"
DONE = b"[DONE]"
CANCELLED = "cancelled"
STALE_FENCING_NUMBER = "stale_fencing_number"


class _Usage(msgspec.Struct):
    total_tokens: int


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Answer(msgspec.Struct):
    """The fields that are read of a complete answer or of one stream event."""

    usage: _Usage | None = None
    choices: tuple[_Choice, ...] = ()

    @property
    def cancelled(self) -> bool:
        """Whether the engine stopped on request."""
        return any(choice.finish_reason == CANCELLED for choice in self.choices)


class _Error(msgspec.Struct):
    type: str = ""


class _Refusal(msgspec.Struct):
    error: _Error


class _Limits(msgspec.Struct):
    max_tokens: int = 0


class DocumentUsage:
    """Token count and state of an answer that is one JSON document.

    Attributes
    ----------
    token_count : int or None
        Tokens of the answer's `usage` field, None without it.
    cancelled : bool
        Whether the answer was cancelled and must not be shown as complete.
    """

    def __init__(self, body: bytes) -> None:
        try:
            answer = msgspec.json.decode(body, type=_Answer)
        except msgspec.DecodeError:
            answer = _Answer()
        self.token_count = None if answer.usage is None else answer.usage.total_tokens
        self.cancelled = answer.cancelled


def is_stale_fencing_refusal(body: bytes) -> bool:
    """Return whether a refusal body reports a stale fencing number."""
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.DecodeError:
        return False
    return refusal.error.type == STALE_FENCING_NUMBER


def prompt_token_bound(body: bytes, reservation: int) -> int:
    """Return the tokens that the reservation sets aside for the prompt.

    The other tokens are the output limit in the body.  Without one the full
    reservation counts for the prompt, which can only overestimate the cost.
    """
    try:
        limits = msgspec.json.decode(body, type=_Limits)
    except msgspec.DecodeError:
        return reservation
    return max(reservation - max(limits.max_tokens, 0), 0)


class StreamUsage:
    """Token count and end marker of a server-sent event stream.

    Attributes
    ----------
    content_events : int
        Events with content so far; an engine sends one event per token.
    token_count : int or None
        Tokens of the stream's `usage` field, None before it arrives.
    done : bool
        Whether the end marker arrived; without it the answer is truncated.
    cancelled : bool
        Whether the answer was cancelled and must not be shown as complete.
    """

    def __init__(self) -> None:
        self.content_events = 0
        self.token_count: int | None = None
        self.done = False
        self.cancelled = False
        self._line = b""

    def feed(self, data: bytes) -> None:
        """Parse the next bytes, which may end anywhere in a line.

        Raises
        ------
        ExchangeBroken
            A line is longer than `MAX_LINE_BYTES`.
        """
        *lines, self._line = (self._line + data).split(b"\n")
        if len(self._line) > MAX_LINE_BYTES:
            raise ExchangeBroken(f"a line of over {MAX_LINE_BYTES} bytes in a stream")
        for line in lines:
            self._parse_line(line.strip())

    def _parse_line(self, line: bytes) -> None:
        if not line.startswith(DATA_PREFIX):
            return
        payload = line[len(DATA_PREFIX) :].strip()
        if payload == DONE:
            self.done = True
            return
        try:
            event = msgspec.json.decode(payload, type=_Answer)
        except msgspec.DecodeError:
            # An undecodable event counts as content: a token bound that is too
            # high is safe.
            self.content_events += 1
            return
        self.cancelled = self.cancelled or event.cancelled
        if event.usage is not None:
            self.token_count = event.usage.total_tokens
        # Events that contain only a role or a finish reason carry no token.
        if any(c.delta is not None and c.delta.content for c in event.choices):
            self.content_events += 1
