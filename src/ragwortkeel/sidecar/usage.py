"""Reading tokens and the end marker out of an answer while it passes through."""

import msgspec

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
    """What is looked at of a whole answer or of one event of a stream."""

    usage: _Usage | None = None
    choices: tuple[_Choice, ...] = ()

    @property
    def cancelled(self) -> bool:
        """Whether the engine stopped because it was told to."""
        return any(choice.finish_reason == CANCELLED for choice in self.choices)


class _Error(msgspec.Struct):
    type: str = ""


class _Refusal(msgspec.Struct):
    error: _Error


class _Limits(msgspec.Struct):
    max_tokens: int = 0


class DocumentUsage:
    """Tokens and end of an answer that comes as one JSON document.

    Attributes
    ----------
    token_count : int or None
        Tokens by the answer's own usage, None where it has none.
    cancelled : bool
        Whether it was cut short on request: never to be shown as whole.
    """

    def __init__(self, body: bytes) -> None:
        try:
            answer = msgspec.json.decode(body, type=_Answer)
        except msgspec.DecodeError:
            answer = _Answer()
        self.token_count = None if answer.usage is None else answer.usage.total_tokens
        self.cancelled = answer.cancelled


def is_stale_fencing_refusal(body: bytes) -> bool:
    """Whether an engine's refusal says that the fencing number is old."""
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.DecodeError:
        return False
    return refusal.error.type == STALE_FENCING_NUMBER


def prompt_token_bound(body: bytes, reservation: int) -> int:
    """Return what the reservation sets aside for the prompt.

    The rest is the output limit that the body gives the engine; a body without
    one leaves everything to the prompt, which only counts too much.
    """
    try:
        limits = msgspec.json.decode(body, type=_Limits)
    except msgspec.DecodeError:
        return reservation
    return max(reservation - max(limits.max_tokens, 0), 0)


class StreamUsage:
    """Tokens and end marker of a server-sent event stream.

    Attributes
    ----------
    content_events : int
        Events with content so far; an engine sends one a token.
    token_count : int or None
        Tokens by the stream's own usage, once it came.
    done : bool
        Whether the end marker came; without it the answer is truncated.
    cancelled : bool
        Whether it was cut short on request: never to be shown as whole.
    """

    def __init__(self) -> None:
        self.content_events = 0
        self.token_count: int | None = None
        self.done = False
        self.cancelled = False
        self._line = b""

    def feed(self, data: bytes) -> None:
        """Take the next bytes, however they are cut."""
        *lines, self._line = (self._line + data).split(b"\n")
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
            # Counted, because too many is the safe side.
            self.content_events += 1
            return
        self.cancelled = self.cancelled or event.cancelled
        if event.usage is not None:
            self.token_count = event.usage.total_tokens
        # Events that only name a role or an end carry no token.
        if any(c.delta is not None and c.delta.content for c in event.choices):
            self.content_events += 1
