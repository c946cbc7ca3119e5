"""Reading tokens and the end marker out of an answer while it passes through."""

import msgspec

DATA_PREFIX = b"data:"
DONE = b"[DONE]"


class _Usage(msgspec.Struct):
    total_tokens: int


class _Answer(msgspec.Struct):
    usage: _Usage | None = None


class _Limits(msgspec.Struct):
    max_tokens: int = 0


def usage_of(body: bytes) -> int | None:
    """Return the tokens that a JSON answer says it cost, None where it does not."""
    try:
        answer = msgspec.json.decode(body, type=_Answer)
    except msgspec.DecodeError:
        return None
    return None if answer.usage is None else answer.usage.total_tokens


def prompt_bound_of(body: bytes, reservation: int) -> int:
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
    events : int
        Data events so far; an engine sends one a token.
    total : int or None
        Tokens by the stream's own usage, once it came.
    done : bool
        Whether the end marker came; without it the answer is truncated.
    """

    def __init__(self) -> None:
        self.events = 0
        self.total: int | None = None
        self.done = False
        self._line = b""

    def feed(self, data: bytes) -> None:
        """Take the next bytes, however they are cut."""
        *lines, self._line = (self._line + data).split(b"\n")
        for line in lines:
            self._take(line.strip())

    def _take(self, line: bytes) -> None:
        if not line.startswith(DATA_PREFIX):
            return
        payload = line[len(DATA_PREFIX) :].strip()
        if payload == DONE:
            self.done = True
            return
        usage = usage_of(payload) if b'"usage"' in payload else None
        if usage is None:
            self.events += 1
        else:
            self.total = usage
