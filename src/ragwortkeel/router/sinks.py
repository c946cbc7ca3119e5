"""Where an answer goes: a stream to the caller, or a whole body at the end.

A stream passes on only whole events, so that a run which breaks off can be
continued by another upstream without a torn event in between, and an answer
that cannot be continued ends with an explicit error event, never by just
stopping.
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
"""Stands in each event that carries a token, and in no other: engines begin with
an empty one, and counted, it would make a resumed stream skip a token."""

HEADER_REQUEST_ID = "idempotency-key"
HEADER_TRACE = "traceparent"


class EventSplitter:
    """Cuts a byte stream into whole server-sent events and counts tokens."""

    def __init__(self) -> None:
        self._partial_event = b""
        self.tokens = 0

    def add(self, data: bytes) -> bytes:
        """Return what is whole now; the torn rest waits."""
        events, end, self._partial_event = (self._partial_event + data).rpartition(
            EVENT_END
        )
        self.tokens += len(TOKEN_PATTERN.findall(events))
        return events + end

    def drain_partial_event(self) -> bytes:
        """Return what is left at the end of a whole answer."""
        rv, self._partial_event = self._partial_event, b""
        return rv

    def discard_partial_event(self) -> None:
        """Forget a torn event: its run will not go on."""
        self._partial_event = b""


class StreamSink:
    """Streams an answer to the caller as it comes.

    Attributes
    ----------
    started_at : float or None
        When the caller got the first part, in monotonic seconds.
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
        """Whether the caller has part of the answer, so that no problem fits."""
        return self.started_at is not None

    @property
    def tokens(self) -> int:
        """Tokens passed on so far."""
        return self._splitter.tokens

    async def write(self, data: bytes, content_type: str) -> None:
        """Pass on what is whole."""
        if not content_type.startswith(EVENT_STREAM):
            # An engine refuses a stream request by a plain answer.
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
        """Expect a run that goes on after the tokens already passed on."""
        self._splitter.discard_partial_event()
        self._plain_chunks.clear()

    async def finish(self, status: int, content_type: str) -> None:
        """End the answer, which is whole."""
        # Engines may end their last event otherwise than by an empty line.
        await self._send_events(self._splitter.drain_partial_event())
        if not self.has_started:
            headers = self._headers | {"content-type": content_type}
            body = b"".join(self._plain_chunks)
            await self._send(self._responder.respond(status, body, headers))
            return
        await self._send(self._responder.finish())

    async def refuse(self, refusal: Refusal) -> None:
        """End the answer by a refusal, or by an error event once begun."""
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
        # The caller may be gone while its run goes on for a later retry.
        with suppress(ExchangeBroken):
            await sending


class BufferedSink:
    """Collects an answer and sends it once it is whole."""

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
        """Keep a piece."""
        self._chunks.append(data)

    def restart(self) -> None:
        """Forget the pieces of a run that broke off."""
        self._chunks.clear()

    @property
    def body(self) -> bytes:
        """What has been collected."""
        return b"".join(self._chunks)

    async def finish(self, status: int, content_type: str) -> None:
        """Send the answer."""
        headers = self._headers | {"content-type": content_type}
        with suppress(ExchangeBroken):
            await self._responder.respond(status, self.body, headers)

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal instead."""
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
