"""One run of a request at one upstream, with its response forwarded to the caller.

Failures it guards against: an incomplete response, the response to another request, a
response without its signature, or bytes that are no response must never look like a
valid response.  A plain response is received in full before any of it goes to the
caller.  A stream is forwarded in complete events, and its end only if the upstream
marked it.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from time import monotonic

import curio

from ragwortkeel.exceptions import (
    CallerLeft,
    ConnectDelayed,
    ConnectFailed,
    ExchangeBroken,
)
from ragwortkeel.http_events import READ_CHUNK_BYTES, whole_number
from ragwortkeel.http_responder import Responder
from ragwortkeel.ingress.answer_bytes import HeldAnswer
from ragwortkeel.ingress.configuration import Route
from ragwortkeel.ingress.events import EventSplitter
from ragwortkeel.ingress.names import HOP_BY_HOP, HeaderNames
from ragwortkeel.ingress.outcomes import (
    Broken,
    BrokenReason,
    FullResponse,
    NotRun,
    NotRunReason,
    Outcome,
    StreamCompleted,
)
from ragwortkeel.ingress.placement import Assignment
from ragwortkeel.ingress.upstream_connection import (
    ConnectionPool,
    ResponseHead,
    UpstreamConnection,
    UpstreamRequest,
)
from ragwortkeel.policy.batching import ReadSchedule

EVENT_STREAM = "text/event-stream"

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Largest plain response, which is held in memory; a larger one counts as broken."""

MAX_SILENCE_SECONDS = 1.5
"""Pause in a resumable stream after which it is resumed at another upstream.

It is over twice the longest pause that callers count as on time, and less than the 2 s
after which they leave.
"""

MAX_FIRST_SILENCE_SECONDS = 3.0
"""Pause before the first event of a resumable stream after which it runs elsewhere.

It is longer than the pause between events, because the engine may be reading long
prompts.
"""

SILENCE_CHECK_SECONDS = 0.1
"""Interval at which a replacement for a silent upstream is looked for."""

REFUSAL_BODY_SECONDS = 0.2
"""Time for the body of a refusal, which is short and follows its head."""

LARGE_CHUNK_BYTES = 32 * 1024
"""Data of one read after which other tasks run."""

MISDIRECTED = 421


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request, to be sent to upstreams.

    Attributes
    ----------
    fields : tuple of pairs of str
        Headers as the caller sent them.
    deadline : float
        Monotonic second by which the response has to be complete.
    urgency : int or None
        Rank among the requests of an engine, 0 first; None omits the header.
    last_event : str
        Id of the last event that the caller received in an earlier request; may be
        empty.
    resumes : str
        Id of the request that brought the first event of a stream that the caller
        takes up; empty if it names none.
    """

    request_id: str
    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    route: Route
    deadline: float
    customer: str = ""
    urgency: int | None = None
    last_event: str = ""
    resumes: str = ""


class CallerResponse:
    """The response that the caller receives, over all runs of its request.

    Attributes
    ----------
    held : HeldAnswer
        Counts what was received for the caller and has not gone out.
    """

    def __init__(
        self, *, responder: Responder, last_event: str, held: HeldAnswer
    ) -> None:
        self.responder = responder
        self.held = held
        self.splitter = EventSplitter(last_id=whole_number(last_event))

    @property
    def started(self) -> bool:
        """Whether the head of the response was sent to the caller."""
        return self.responder.started


class Attempt:
    """Runs one request at one upstream.

    Parameters
    ----------
    obstacle : callable
        Returns why nothing may be sent to the upstream any more, None if it may.
    confirm_version : callable
        Returns whether the upstream that the connection leads to surely has the
        software version that the request needs.
    secure_replacement : callable
        Called with the connection to a silent upstream; returns whether all that a run
        at another one needs is held.  The silent one is left only then, since it may
        still answer.
    connection : UpstreamConnection or None
        An open connection to the upstream; None to take one from the pool.
    checks_deadline : bool
        Whether a request whose time limit has passed is not sent.
    on_head : callable
        Called with the head of a response and the monotonic second at which the request
        was sent, unless another instance responded.
    on_accepted : callable
        Called when a response shows that the upstream runs the request.
    on_first_event : callable
        Called when the response shows that the prompt has been read, and again for
        each later chunk of a stream.
    on_stream_started : callable
        Called just before the first events of a stream are sent to the caller.
    delivery_seconds : float
        Promised time from when an upstream makes an event until it is passed on; 0 if
        none is promised.

    Attributes
    ----------
    sent : bool
        Whether sending the request has begun, so that the upstream may run it.
    """

    def __init__(
        self,
        *,
        call: CallerRequest,
        assignment: Assignment,
        caller_response: CallerResponse,
        names: HeaderNames,
        connections: ConnectionPool,
        obstacle: Callable[[], NotRunReason | None],
        confirm_version: Callable[[], Awaitable[bool]],
        secure_replacement: Callable[[UpstreamConnection], Awaitable[bool]],
        on_head: Callable[[ResponseHead, float], None],
        on_accepted: Callable[[], None],
        on_first_event: Callable[[], None],
        on_stream_started: Callable[[], Awaitable[None]],
        delivery_seconds: float = 0.0,
        checks_deadline: bool = False,
        connection: UpstreamConnection | None = None,
    ) -> None:
        self._call = call
        self._assignment = assignment
        self._caller_response = caller_response
        self._names = names
        self._connections = connections
        self._obstacle = obstacle
        self._confirm_version = confirm_version
        self._secure_replacement = secure_replacement
        self._on_head = on_head
        self._on_accepted = on_accepted
        self._on_first_event = on_first_event
        self._on_stream_started = on_stream_started
        self._checks_deadline = checks_deadline
        self._open_connection = connection
        self._connection: UpstreamConnection | None = None
        self._sent_at = 0.0
        self._reads = ReadSchedule(delivery_seconds=delivery_seconds)
        self._max_silence_seconds = MAX_FIRST_SILENCE_SECONDS
        self._reading_since: float | None = None
        self._stream_head: ResponseHead | None = None
        self._has_events = False
        self.sent = False

    async def run(self) -> Outcome:
        """Run the request, then close the connection or return it to the pool.

        The connection to a silent upstream stays open until `resume` or `close`.

        Raises
        ------
        CallerLeft
            The connection to the caller is closed; `sent` tells whether the request
            was sent.
        """
        upstream = self._assignment.upstream
        fresh = not self._call.route.repeatable
        try:
            connection = self._open_connection or await self._connections.acquire(
                upstream, fresh=fresh
            )
        except ConnectDelayed as exc:
            return NotRun(reason=NotRunReason.CONNECT_DELAYED, detail=str(exc))
        except ConnectFailed as exc:
            return NotRun(reason=NotRunReason.UNREACHABLE, detail=str(exc))
        not_run = await self._why_not_sent(connection)
        if not_run is not None:
            await self._connections.release(upstream, connection)
            match not_run:
                case CallerLeft():
                    raise not_run
                case reason:
                    return NotRun(reason=reason)
        self._connection = connection
        return await self._use(self._send)

    async def resume(self) -> Outcome:
        """Go on with the run at an upstream that was silent.

        Raises
        ------
        CallerLeft
            The connection to the caller is closed.
        """
        return await self._use(self._receive_more)

    async def close(self) -> None:
        """End the run at an upstream that was silent."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    def cut_off(self) -> None:
        """Let the upstream stop at once, from another task."""
        if self._connection is not None:
            self._connection.cut_off()

    async def _why_not_sent(
        self, connection: UpstreamConnection
    ) -> NotRunReason | CallerLeft | None:
        """Return what became known during the connect and forbids to send."""
        is_confirmed: bool | None = None
        try:
            is_confirmed = await self._confirm_version()
        finally:
            if is_confirmed is None:
                await connection.close()
        if not is_confirmed:
            return NotRunReason.MAY_HAVE_RESTARTED
        if self._caller_response.responder.peer_disconnected():
            return CallerLeft(self._call.request_id)
        obstacle = self._obstacle()
        if obstacle is not None:
            return obstacle
        if self._checks_deadline and monotonic() >= self._call.deadline:
            return NotRunReason.TOO_LATE
        return None

    async def _use(
        self, exchange: Callable[[UpstreamConnection], Awaitable[Outcome]]
    ) -> Outcome:
        """Use the connection; keep it open only if the upstream is silent."""
        connection = self._connection
        held = self._caller_response.held
        held.begin(connection.cut_off)
        outcome: Outcome | None = None
        try:
            outcome = await self._within_deadline(exchange, connection)
            return outcome
        finally:
            match outcome:
                case Broken(reason=BrokenReason.SILENT):
                    pass
                case None | Broken():
                    held.drop()
                    await self.close()
                case _:
                    held.complete()
                    self._connection = None
                    await self._connections.release(
                        self._assignment.upstream, connection
                    )

    async def _within_deadline(
        self,
        exchange: Callable[[UpstreamConnection], Awaitable[Outcome]],
        connection: UpstreamConnection,
    ) -> Outcome:
        seconds_left = self._call.deadline - monotonic()
        try:
            async with curio.timeout_after(max(0.001, seconds_left)):
                return await exchange(connection)
        except curio.TaskTimeout:
            return Broken(reason=BrokenReason.DEADLINE)
        except ExchangeBroken as exc:
            responder = self._caller_response.responder
            if responder.ended or responder.disconnected.is_set():
                # The upstream is not to blame, and no other one should run it.
                raise CallerLeft(self._call.request_id) from exc
            if self._caller_response.held.is_ended:
                return Broken(reason=BrokenReason.NO_ROOM, detail=str(exc))
            return Broken(reason=BrokenReason.CLOSED, detail=str(exc))

    async def _send(self, connection: UpstreamConnection) -> Outcome:
        self.sent = True
        self._sent_at = monotonic()
        seconds_left = self._call.deadline - self._sent_at
        await connection.send(self._upstream_request(seconds_left))
        return await self._receive_response(connection)

    async def _receive_more(self, connection: UpstreamConnection) -> Outcome:
        if self._stream_head is None:
            return await self._receive_response(connection)
        return await self._relay_stream(connection, self._stream_head)

    async def _receive_response(self, connection: UpstreamConnection) -> Outcome:
        head = await self._receive_head(connection)
        if isinstance(head, Broken):
            return head
        if head.status != MISDIRECTED:
            self._on_head(head, self._sent_at)
        if head.status == MISDIRECTED or head.get(self._names.not_run):
            held = self._caller_response.held
            await _receive_refusal(connection, on_size=held.hold)
            held.drop()
            return _not_run(head)
        self._on_accepted()
        if head.get("content-encoding"):
            return Broken(
                reason=BrokenReason.SPOILED, detail="response has a content-encoding"
            )
        if head.status < 300 and not head.get(self._names.proof):
            return Broken(
                reason=BrokenReason.SPOILED, detail="response has no signature"
            )
        streams = head.get("content-type").startswith(EVENT_STREAM)
        if streams and head.status < 300:
            return await self._stream(connection, head)
        held = self._caller_response.held
        body = await _receive_body(connection, on_size=held.hold)
        self._on_first_event()
        return FullResponse(head=head, body=body)

    async def _receive_head(
        self, connection: UpstreamConnection
    ) -> ResponseHead | Broken:
        request_id = self._call.request_id
        if not self._call.route.resumable:
            return await connection.receive_head(request_id)
        while True:
            seconds = self._sent_at + MAX_FIRST_SILENCE_SECONDS - monotonic()
            try:
                async with curio.timeout_after(max(SILENCE_CHECK_SECONDS, seconds)):
                    return await connection.receive_head(request_id)
            except curio.TaskTimeout:
                if await self._secure_replacement(connection):
                    return Broken(reason=BrokenReason.SILENT)

    async def _stream(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome:
        self._caller_response.splitter.discard_partial_event()
        self._stream_head = head
        return await self._relay_stream(connection, head)

    async def _relay_stream(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome:
        outcome = None
        while outcome is None:
            outcome = await self._relay_until_interrupted(connection, head)
        return outcome

    async def _relay_until_interrupted(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome | None:
        """Forward events; return None to begin again with a new time limit.

        One timer runs over many chunks.  It ends only waits, which are begun again
        unless the upstream was silent for the whole time.
        """
        if not self._call.route.resumable:
            return await self._relay_events(connection, head)
        seconds = self._max_silence_seconds - self._silent_seconds()
        try:
            async with curio.timeout_after(max(SILENCE_CHECK_SECONDS, seconds)):
                return await self._relay_events(connection, head)
        except curio.TaskTimeout:
            is_silent = self._silent_seconds() >= self._max_silence_seconds
            if is_silent and await self._secure_replacement(connection):
                return Broken(reason=BrokenReason.SILENT)
            return None

    def _silent_seconds(self) -> float:
        """Return how long the upstream has sent no event while it was read from."""
        if self._reading_since is None:
            return 0.0
        return monotonic() - self._reading_since

    async def _relay_events(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> Outcome | None:
        """Forward events until the end, or until another limit of silence applies.

        All its waits may be ended and begun again.
        """
        splitter = self._caller_response.splitter
        chunk: bytes | None = b""
        while True:
            if len(chunk) >= LARGE_CHUNK_BYTES:
                await curio.sleep(0)
            await self._wait_until_readable()
            chunk = await connection.receive_chunk()
            if chunk is None:
                return await self._finish(head, b"")
            events = splitter.feed(chunk)
            if events:
                self._has_events = True
                # Bytes that complete no event are silence to the caller.
                self._reading_since = None
                self._on_first_event()
            if splitter.order_error is not None:
                await self._forward(head, events)
                raise splitter.order_error
            if connection.complete:
                return await self._finish(head, events)
            if events:
                await self._forward(head, events)
                self._reads.record_forwarded(len(chunk), monotonic())
            # Another run would go on after the events that were split off.
            self._caller_response.held.hold(splitter.buffered_bytes)
            if events and self._max_silence_seconds != MAX_SILENCE_SECONDS:
                self._max_silence_seconds = MAX_SILENCE_SECONDS
                return None

    async def _wait_until_readable(self) -> None:
        """Wait until the caller has room for more; this is no silence."""
        began_at = monotonic()
        # The next block may complete the event that is held so far.
        partial_bytes = self._caller_response.splitter.buffered_bytes
        await self._caller_response.responder.wait_for_room(
            READ_CHUNK_BYTES + partial_bytes
        )
        wait_seconds = self._reads.seconds_until_read(monotonic())
        if wait_seconds:
            await curio.sleep(wait_seconds)
        now = monotonic()
        if self._reading_since is None:
            self._reading_since = now
        else:
            self._reading_since += now - began_at

    async def _forward(
        self, head: ResponseHead, events: bytes, *, last: bool = False
    ) -> None:
        responder = self._caller_response.responder
        if not self._caller_response.started:
            await self._on_stream_started()
            fields = forwarded_fields(head)
            await responder.start_with(head.status, fields, events, last=last)
            return
        await responder.send_ready(events, last=last)

    async def _finish(self, head: ResponseHead, events: bytes) -> Outcome:
        """Forward the last events with the end marker."""
        is_framed = head.is_framed
        if self._caller_response.splitter.has_partial_event:
            if events:
                await self._forward(head, events)
            detail = "stream ended within an event"
            return Broken(reason=BrokenReason.CLOSED, detail=detail)
        if not is_framed and not self._has_events:
            detail = "stream ended before its first event"
            return Broken(reason=BrokenReason.CLOSED, detail=detail)
        await self._forward(head, events, last=True)
        return StreamCompleted(
            events=self._caller_response.splitter.events, is_framed=is_framed
        )

    def _upstream_request(self, seconds_left: float) -> UpstreamRequest:
        call, names = self._call, self._names
        fields = [(k, v) for k, v in call.fields if k not in names.dropped]
        fields.append((names.deadline, str(max(1, int(seconds_left * 1000)))))
        fields.append((names.expect_instance, self._assignment.upstream.name))
        if call.customer:
            fields.append((names.customer, call.customer))
        if call.urgency is not None:
            fields.append((names.urgency, str(call.urgency)))
        if self._caller_response.splitter.events:
            fields = [(k, v) for k, v in fields if k != names.last_event]
            fields.append(
                (names.last_event, str(self._caller_response.splitter.last_id))
            )
        return UpstreamRequest(
            method=call.method,
            target=call.target,
            fields=tuple(fields),
            body=call.body,
        )


def forwarded_fields(head: ResponseHead) -> list[tuple[str, str]]:
    """Return the headers of a response that are forwarded to the caller."""
    return [(k, v) for k, v in head.fields if k not in HOP_BY_HOP]


def _not_run(head: ResponseHead) -> NotRun:
    if head.status == MISDIRECTED:
        return NotRun(reason=NotRunReason.OTHER_INSTANCE)
    return NotRun(reason=NotRunReason.FULL, detail=str(head.status))


async def _receive_refusal(
    connection: UpstreamConnection, on_size: Callable[[int], None]
) -> None:
    """Read the body of a refusal, so that its connection can be used again."""
    # The head has said that nothing ran, however the body ends.
    with suppress(ExchangeBroken):
        async with curio.ignore_after(REFUSAL_BODY_SECONDS):
            await _receive_body(connection, on_size)


async def _receive_body(
    connection: UpstreamConnection, on_size: Callable[[int], None]
) -> bytes:
    """Return the whole body; `on_size` is called with what is held of it."""
    chunks = []
    size = 0
    while (chunk := await connection.receive_chunk()) is not None:
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise ExchangeBroken("response is too large")
        chunks.append(chunk)
        on_size(size)
        if len(chunk) >= LARGE_CHUNK_BYTES:
            # A read of bytes that have arrived does not switch to another task.
            await curio.sleep(0)
    return b"".join(chunks)
