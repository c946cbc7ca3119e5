"""Sinks that send an answer to the caller, streamed or as one body.

A stream contains only complete events, so that another upstream can continue an
interrupted run after the last event.  An answer that can't be continued ends
with an error event, so that the caller doesn't mistake it for a complete one.
"""

import re
from collections.abc import Callable
from contextlib import suppress
from time import monotonic

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.httpio import Responder
from ragwortkeel.router.refusals import (
    Refusal,
    problem_body,
    problem_headers,
    status_of,
)

EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"
TOKEN_PATTERN = re.compile(rb'"content":\s*"(?!")')
"""Matches the content of each event that carries a token.  The first event of an
engine has empty content; if it were counted, a resumed stream would skip a
token."""

HEADER_REQUEST_ID = "idempotency-key"
HEADER_TRACE = "traceparent"


class EventSplitter:
    """Splits a byte stream into complete server-sent events and counts tokens."""

    def __init__(self) -> None:
        self._partial_event = b""
        self.tokens = 0

    def add(self, data: bytes) -> bytes:
        """Return the events that are complete now and store the partial one."""
        events, end, self._partial_event = (self._partial_event + data).rpartition(
            EVENT_END
        )
        self.tokens += len(TOKEN_PATTERN.findall(events))
        return events + end

    def drain_partial_event(self) -> bytes:
        """Return and clear the remainder at the end of a complete answer."""
        rv, self._partial_event = self._partial_event, b""
        return rv

    def discard_partial_event(self) -> None:
        """Discard the partial event of an interrupted run."""
        self._partial_event = b""


class StreamSink:
    """Streams an answer to the caller.

    Attributes
    ----------
    started_at : float or None
        Time of the first data sent to the caller, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        responder: Responder,
        request_id: str,
        traceparent: str = "",
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.started_at: float | None = None
        self._responder = responder
        self._request_id = request_id
        self._headers = _headers_of(request_id, traceparent)
        self._clock = clock
        self._splitter = EventSplitter()
        self._plain_chunks: list[bytes] = []

    @property
    def has_started(self) -> bool:
        """Whether the answer's head is sent, so that no status can follow."""
        return self.started_at is not None

    @property
    def tokens(self) -> int:
        """Number of tokens sent to the caller."""
        return self._splitter.tokens

    async def write(self, data: bytes, content_type: str) -> None:
        """Send the events that `data` completes."""
        if not content_type.startswith(EVENT_STREAM):
            # Engines refuse a stream request with a plain body.
            self._plain_chunks.append(data)
            return
        await self._send_events(self._splitter.add(data))

    async def _send_events(self, data: bytes) -> None:
        if not data:
            return
        if not self.has_started:
            self.started_at = self._clock()
            headers = self._headers | {
                "content-type": EVENT_STREAM,
                "cache-control": "no-store",
            }
            await self._send(self._responder.start(200, headers))
        await self._send(self._responder.send(data))

    def restart(self) -> None:
        """Prepare for another run, which continues after the tokens sent."""
        self._splitter.discard_partial_event()
        self._plain_chunks.clear()

    async def finish(self, status: int, content_type: str) -> None:
        """Complete the answer."""
        # The last event of an engine may lack the empty line at its end.
        await self._send_events(self._splitter.drain_partial_event())
        if not self.has_started:
            headers = self._headers | {"content-type": content_type}
            body = b"".join(self._plain_chunks)
            await self._send(self._responder.respond(status, body, headers))
            return
        await self._send(self._responder.finish())

    async def refuse(self, refusal: Refusal) -> None:
        """End the answer with a refusal, or with an error event if it has started."""
        if not self.has_started:
            await _respond_problem(
                self._responder, refusal, self._request_id, self._headers
            )
            return
        problem = problem_body(refusal, self._request_id)
        await self._send(self._responder.send(b"event: error\ndata: " + problem))
        await self._send(self._responder.send(EVENT_END))
        await self._send(self._responder.finish())

    async def _send(self, sending) -> None:
        # The caller may have disconnected; its run continues for a retry.
        with suppress(ExchangeBroken):
            await sending


class BufferedSink:
    """Collects an answer and sends it when it is complete."""

    def __init__(
        self,
        *,
        responder: Responder,
        request_id: str,
        traceparent: str = "",
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.started_at: float | None = None
        self.has_started = False
        self.tokens = 0
        self._responder = responder
        self._request_id = request_id
        self._headers = _headers_of(request_id, traceparent)
        self._chunks: list[bytes] = []

    async def write(self, data: bytes, content_type: str) -> None:
        """Add a chunk to the answer."""
        self._chunks.append(data)

    def restart(self) -> None:
        """Discard the chunks of an interrupted run."""
        self._chunks.clear()

    @property
    def body(self) -> bytes:
        """The collected answer."""
        return b"".join(self._chunks)

    async def finish(self, status: int, content_type: str) -> None:
        """Send the collected answer."""
        headers = self._headers | {"content-type": content_type}
        with suppress(ExchangeBroken):
            await self._responder.respond(status, self.body, headers)

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal instead of the answer."""
        await _respond_problem(
            self._responder, refusal, self._request_id, self._headers
        )


Sink = StreamSink | BufferedSink


def _headers_of(request_id: str, traceparent: str) -> dict[str, str]:
    rv = {HEADER_REQUEST_ID: request_id, HEADER_TRACE: traceparent}
    return {name: value for name, value in rv.items() if value}


async def _respond_problem(
    responder: Responder,
    refusal: Refusal,
    request_id: str,
    headers: dict[str, str],
) -> None:
    body = problem_body(refusal, request_id)
    fields = headers | problem_headers(refusal)
    with suppress(ExchangeBroken):
        await responder.respond(status_of(refusal), body, fields)
