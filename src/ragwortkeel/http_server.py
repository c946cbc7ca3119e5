"""The HTTP server: buffers requests, limits peers and calls a handler."""

import itertools
import socket as _socket
from collections.abc import Awaitable, Callable
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from math import ceil
from time import monotonic
from urllib.parse import parse_qsl, urlsplit

import curio
import h11

from ragwortkeel.caller_connection import (
    ARRIVED_READ_SECONDS,
    DEFAULT_HEAD_LIMITS,
    CallerConnection,
    HeadLimits,
    too_large,
)
from ragwortkeel.exceptions import BadRequest, CallerLeft, ExchangeBroken
from ragwortkeel.http_events import READ_CHUNK_BYTES, join_headers
from ragwortkeel.http_responder import Request, Responder
from ragwortkeel.logs import CountedLine, log_debug, log_error, log_warning
from ragwortkeel.received_bytes import ReceivedBytes
from ragwortkeel.send_buffer import HeldBytes
from ragwortkeel.usage_counters import ByteCounter

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Larger bodies are refused with 413; the largest usual documents are smaller."""

REQUEST_READ_SECONDS = 20.0
"""A request whose body is incomplete after this time is refused with 408."""

KEEP_ALIVE_SECONDS = 60.0
LISTEN_BACKLOG = 1024
READ_AT_ONCE_SECONDS = 0.002
"""A read that takes less has found its data there."""

LINGER_SECONDS = 2.0
"""How long a refused peer may continue to send before the connection closes."""

ACCEPT_RETRY_SECONDS = 0.1
ACCEPTED_AT_ONCE = 16
"""Connections accepted in one turn of the event loop."""

IDLE_CHECK_SECONDS = 0.5
STOP_POLL_SECONDS = 0.02
FIRST_REQUEST_SECONDS = 1.0
"""How long a planned stop waits for the first request on new connections."""

UNANSWERED_LINE_SECONDS = 1.0
MAX_LOGGED_CHARACTERS = 200

PROBLEM_TYPE = "application/problem+json"


Handler = Callable[[Request, Responder], Awaitable[None]]


@dataclass(kw_only=True)
class _IdleConnection:
    """A connection without a request since the monotonic time `since`."""

    caller: CallerConnection
    since: float
    is_closed: bool = False

    def close(self) -> bool:
        """Close unless bytes of a request have arrived; return whether it closed."""
        # Without a task switch between the check and the shutdown.
        if self.is_closed or self.caller.has_received():
            return False
        self.is_closed = True
        with suppress(OSError):
            # Wakes the task that waits for a request.
            self.caller.sock._socket.shutdown(_socket.SHUT_RDWR)
        return True


class HttpServer:
    """A server that can stop accepting while open exchanges continue.

    Parameters
    ----------
    host, port
        Address to listen on.  Port 0 selects a free port, which is in `port` after
        `open`.
    handler
        Called when a request is complete; may send its response in chunks.
    max_body_bytes
        Larger bodies are refused with 413 and never reach the handler.
    head_limits
        Limits on the heads of requests.
    read_seconds
        Maximum time for receiving the body of a request, in seconds.
    keep_alive_seconds
        Maximum time for which a connection may wait for its next request, in seconds.
    cancels_disconnected
        Whether the handler is cancelled when its caller has closed the connection.
    refuse
        Called before `handler`; returns whether it has answered the request.  Such a
        request costs no task.
    counter
        Counts the bytes of callers, if given.
    stall_seconds
        Ends a connection whose peer reads nothing of a ready response for this time.
    held
        Counts and bounds the bytes held for peers that read slowly.
    received
        Counts and bounds the bytes held of peers' requests.
    arrived_at
        Returns the monotonic second after which the events that tasks handle now
        arrived, if given.  Without it a request arrives when its head is read.
    accepts
        Called for each new connection with the number of those without a request so
        far, if given.  Returns whether to read its requests; otherwise it is closed.
    on_unanswered
        Called for each whole request whose connection ends without a complete answer,
        with who ended it: ``peer`` or ``own``.  Not for answers that the handler ends.

    Attributes
    ----------
    keep_alive_seconds, max_body_bytes, head_limits
        The parameters; may be changed while the server runs.  A changed
        `keep_alive_seconds` counts for connections that wait already, too.
    closes_connections : bool
        Whether each response asks the peer to close its connection, so that the peer
        opens a new one; may be changed while the server runs.
    open_exchanges : int
        Number of requests whose exchange has started and not ended.

    Examples
    --------
    >>> server = HttpServer(host="127.0.0.1", port=0, handler=handler)
    >>> server.open()
    >>> task = await curio.spawn(server.serve)

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: Handler,
        max_body_bytes: int = MAX_BODY_BYTES,
        head_limits: HeadLimits = DEFAULT_HEAD_LIMITS,
        read_seconds: float = REQUEST_READ_SECONDS,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
        cancels_disconnected: bool = False,
        refuse: Callable[[Request, Responder], Awaitable[bool]] | None = None,
        counter: ByteCounter | None = None,
        stall_seconds: float | None = None,
        held: HeldBytes | None = None,
        received: ReceivedBytes | None = None,
        arrived_at: Callable[[], float] | None = None,
        accepts: Callable[[int], bool] | None = None,
        on_unanswered: Callable[[str], None] = lambda ended_by: None,
    ) -> None:
        self.host = host
        self.port = port
        self.open_exchanges = 0
        self._handler = handler
        self.max_body_bytes = max_body_bytes
        self.head_limits = head_limits
        self._read_seconds = read_seconds
        self.keep_alive_seconds = keep_alive_seconds
        self._cancels_disconnected = cancels_disconnected
        self._refuse = refuse
        self._counter = counter or ByteCounter()
        self._stall_seconds = stall_seconds
        self._held = held or HeldBytes()
        self._received = received or ReceivedBytes()
        self._arrived_at = arrived_at
        self._accepts = accepts
        self._on_unanswered = on_unanswered
        self._unanswered_line = CountedLine(
            "request_unanswered", interval_seconds=UNANSWERED_LINE_SECONDS
        )
        self._connections_before_request = 0
        self.closes_connections = False
        self._idle_by_socket: dict[object, _IdleConnection] = {}
        self._listener = None
        self._acceptor = None
        self._connections = curio.TaskGroup(wait=None)
        self._parsing = curio.Lock()
        self._stopping_since: float | None = None

    def open(self) -> None:
        """Bind the listening socket."""
        self._listener = curio.network.tcp_server_socket(
            self.host, self.port, backlog=LISTEN_BACKLOG
        )
        self.port = self._listener.getsockname()[1]

    async def serve(self) -> None:
        """Serve until cancelled; cancelling ends the open exchanges.

        A planned stop first calls `stop_accepting`, then waits until
        `open_exchanges` is 0.
        """
        async with self._connections:
            self._acceptor = await curio.spawn(self._accept)
            try:
                await self._close_expired()
            finally:
                await self._close_listener()

    def begin_closing(self) -> None:
        """Ask each peer to close its connection with the next response.

        New connections are still accepted: a balancer that checks once a second
        continues to open them for a while, and a closed port would refuse them.
        """
        if self._stopping_since is None:
            self._stopping_since = monotonic()

    async def stop_accepting(self) -> None:
        """Refuse new connections; open exchanges continue.

        On return, the first requests on all connections accepted before have
        started, or `FIRST_REQUEST_SECONDS` have passed.
        """
        self.begin_closing()
        await self._close_listener()
        waited = 0.0
        while self._connections_before_request and waited < FIRST_REQUEST_SECONDS:
            await curio.sleep(STOP_POLL_SECONDS)
            waited += STOP_POLL_SECONDS

    async def close_idle(self, *, wait_seconds: float = FIRST_REQUEST_SECONDS) -> None:
        """Close the connections on which no bytes of a request have arrived.

        Otherwise a peer might send a request just before the end of a planned
        stop, too late to complete.  On return, the exchanges of requests that have
        arrived are open, or `wait_seconds` have passed.
        """
        waiting = list(self._idle_by_socket.values())
        received = [idle for idle in waiting if not idle.close()]
        waited = 0.0
        while (
            any(self._idle_by_socket.get(idle.caller.sock) is idle for idle in received)
            and waited < wait_seconds
        ):
            await curio.sleep(STOP_POLL_SECONDS)
            waited += STOP_POLL_SECONDS

    async def close_finished(self, *, deadline: float) -> None:
        """Close the connections whose exchanges have ended since `close_idle`.

        On return, the exchanges of requests that have arrived on them have ended, or
        the monotonic time `deadline` or `FIRST_REQUEST_SECONDS` have passed.
        """
        ends_at = min(deadline, monotonic() + FIRST_REQUEST_SECONDS)
        await self.close_idle(wait_seconds=ends_at - monotonic())
        while self.open_exchanges and monotonic() < ends_at:
            await curio.sleep(STOP_POLL_SECONDS)

    def close_longest_idle(self, *, idle_seconds: float, fraction: float) -> int:
        """Close some of the connections that have been idle for `idle_seconds`.

        A connection on which bytes of a request have arrived, even if they are still
        unread, stays open.

        Parameters
        ----------
        fraction : float
            How many of the idle connections to close, rounded up; those that have been
            idle longest come first.

        Returns
        -------
        int
            Number of connections closed.
        """
        idle_since = monotonic() - idle_seconds
        # Connections become idle in the order of the dictionary.
        found = [
            idle
            for idle in self._idle_by_socket.values()
            if idle.since <= idle_since and not idle.is_closed
        ]
        chosen = found[: ceil(fraction * len(self._idle_by_socket))]
        return sum(idle.close() for idle in chosen)

    async def _close_expired(self) -> None:
        """Close idle connections that are beyond a limit lowered since they wait."""
        while True:
            await curio.sleep(IDLE_CHECK_SECONDS)
            for idle in self._idle_by_socket.values():
                if self._idle_seconds_left(idle) > 0.0:
                    break
                idle.close()

    def _idle_seconds_left(self, idle: _IdleConnection) -> float:
        """Return how long the limit in force allows a connection to wait."""
        return idle.since + self.keep_alive_seconds - monotonic()

    async def _close_listener(self) -> None:
        # The accepting task has to end before the listener is closed; otherwise
        # it would wait forever on a freed descriptor.
        if self._acceptor is not None:
            await self._acceptor.cancel()
        if self._listener is not None:
            await self._accept_pending()
            await self._listener.close()
            self._listener = None

    async def _accept(self) -> None:
        for count in itertools.count(1):
            if count % ACCEPTED_AT_ONCE == 0:
                # Accepting a connection of the backlog does not switch tasks.
                await curio.sleep(0)
            try:
                sock, _ = await self._listener.accept()
            except OSError as exc:
                # The process is out of descriptors, or the peer disconnected
                # early.  Such an error must not stop the server from accepting.
                log_warning("accept_failed", error=str(exc))
                self._received.end_one()
                await curio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            await self._start_connection(sock)

    async def _accept_pending(self) -> None:
        """Accept the connections in the backlog of the listener."""
        # Closing the listener resets the connections in its backlog.  Callers that
        # sent requests on them would not know whether these ran.
        with suppress(OSError):
            while True:
                sock, _ = self._listener._socket.accept()
                await self._start_connection(curio.io.Socket(sock))

    async def _start_connection(self, sock) -> None:
        waiting = self._connections_before_request
        if self._accepts is not None and not self._accepts(waiting):
            await sock.close()
            return
        if not self._received.make_place():
            log_debug("connection_refused", cause="descriptors")
            await sock.close()
            return
        with suppress(OSError):
            sock.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
        self._connections_before_request += 1
        accepted_at = self._arrived_at() if self._arrived_at else None
        await self._connections.spawn(self._connection, sock, accepted_at, daemon=True)

    async def _connection(self, sock, accepted_at: float | None) -> None:
        caller = CallerConnection(
            sock=sock,
            counter=self._counter,
            parsing=self._parsing,
            account=self._received,
        )
        arrivals = _Arrivals(self._arrived_at, accepted_at)
        try:
            head = await self._read_first_head(caller)
            while head and await self._exchange(caller, head, arrivals.next()):
                caller.conn.start_next_cycle()
                arrivals.begin_wait()
                head = await self._read_head(caller)
        except BadRequest as exc:
            with suppress(OSError, ExchangeBroken):
                await _refuse(caller, self._responder(caller), exc)
        except (OSError, ExchangeBroken):
            # A whole request on the lost connection has been recorded.
            pass
        except h11.LocalProtocolError as exc:
            log_error("connection_failed", error=repr(exc))
        finally:
            caller.received.close()
            await sock.close()

    def _responder(self, caller: CallerConnection) -> Responder:
        return Responder(
            sock=caller.sock,
            conn=caller.conn,
            counter=self._counter,
            held=self._held,
            stall_seconds=self._stall_seconds,
        )

    async def _read_first_head(self, caller: CallerConnection) -> h11.Request | None:
        try:
            return await self._read_head(caller)
        finally:
            self._connections_before_request -= 1

    async def _exchange(
        self, caller: CallerConnection, head: h11.Request, arrived_at: float
    ) -> bool:
        """Serve one request; return whether another may follow."""
        self.open_exchanges += 1
        try:
            request = await self._read_request(caller, head, arrived_at)
            responder = self._responder(caller)
            await self._run_handler(caller, request, responder)
        finally:
            self.open_exchanges -= 1
        conn = caller.conn
        reusable = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        is_lost = responder.ended or responder.disconnected.is_set()
        return reusable and not is_lost

    async def _run_handler(
        self, caller: CallerConnection, request: Request, responder: Responder
    ) -> None:
        responder.bodiless = request.method == "HEAD"
        stopping = self._stopping_since is not None
        responder.closing = lambda: stopping or self.closes_connections
        try:
            with self._recording_unanswered(request, responder):
                if not await self._call(self._refuse, request, responder):
                    await self._run_watched(caller, request, responder)
        finally:
            await responder.close_buffer()

    @contextmanager
    def _recording_unanswered(self, request: Request, responder: Responder):
        """Record if the block ends, or fails, before the request is answered."""
        read_at = monotonic()
        error = "the handler returned"
        try:
            yield
        except BaseException as exc:
            error = repr(exc)
            raise
        finally:
            # Whoever calls `end` or `abort` logs the reason.
            is_ended = responder.ended or responder.aborted
            if not responder.is_answered and not is_ended:
                self._record_unanswered(
                    target=request.target,
                    stage="response" if responder.started else "handler",
                    error=error,
                    started=responder.started,
                    after=round(monotonic() - read_at, 3),
                    ended_by="peer" if responder.peer_disconnected() else "own",
                )

    def _record_unanswered(
        self, *, target: str, ended_by: str, **fields: object
    ) -> None:
        self._on_unanswered(ended_by)
        fields |= {"target": target[:MAX_LOGGED_CHARACTERS], "ended_by": ended_by}
        if self._stopping_since is not None:
            stopping_seconds = monotonic() - self._stopping_since
            fields["stopping_for"] = round(stopping_seconds, 3)
        if ended_by == "peer":
            # Callers that leave are usual, and many may leave at once.
            log_debug("request_unanswered", **fields)
        else:
            self._unanswered_line.record(**fields)

    async def _run_watched(
        self, caller: CallerConnection, request: Request, responder: Responder
    ) -> None:
        handler_task = (
            await curio.current_task() if self._cancels_disconnected else None
        )
        watcher = await curio.spawn(
            _detect_disconnect,
            caller,
            responder,
            handler_task,
            daemon=True,
        )
        try:
            await self._call(self._handler, request, responder)
            if not responder.started and not responder.peer_disconnected():
                log_error("handler_failed", path=request.path, error="no response")
                await _report_fault(responder)
            # A ready response is delivered even if the peer reads it late.
            await responder.drain()
        finally:
            await watcher.cancel()

    async def _call(
        self,
        function: Handler | Callable[[Request, Responder], Awaitable[bool]] | None,
        request: Request,
        responder: Responder,
    ) -> bool:
        """Return what the function returns, and True if it failed."""
        if function is None:
            return False
        try:
            return await function(request, responder)
        except Exception as exc:
            if _is_loss_of_caller(exc, responder):
                raise
            # The caller of a failed handler must receive an error, never a
            # response that looks complete; other connections must not be affected.
            log_error("handler_failed", path=request.path, error=repr(exc))
            await _report_fault(responder)
            return True

    async def _read_head(self, caller: CallerConnection) -> h11.Request | None:
        """Return the head of the next request, or None if the peer sends none."""
        caller.begin_wait()
        idle = _IdleConnection(caller=caller, since=monotonic())
        self._idle_by_socket[caller.sock] = idle
        try:
            event = await self._first_event(idle)
        except ExchangeBroken:
            return None
        finally:
            del self._idle_by_socket[caller.sock]
        if not isinstance(event, h11.Request):
            return None
        # A request that crossed the shutdown can't be answered, so it must not run.
        if idle.is_closed or caller.received.is_ended:
            self._record_unanswered(
                target=event.target.decode("latin-1"),
                stage="closing",
                error="arrived after the idle connection was closed",
                started=False,
                after=0.0,
                ended_by="own",
            )
            return None
        return event

    async def _first_event(self, idle: _IdleConnection):
        """Return the first event of the next request, None if it is not to come."""
        while True:
            seconds = max(self._idle_seconds_left(idle), ARRIVED_READ_SECONDS)
            async with curio.ignore_after(seconds):
                return await idle.caller.receive_head(lambda: self.head_limits)
            # The limit may have been raised during the wait, and a process that was
            # frozen has not read yet what arrived before the limit.
            if self._idle_seconds_left(idle) > 0.0 or idle.caller.has_unread():
                continue
            if idle.close():
                return None
            if idle.caller.conn.trailing_data[0]:
                raise BadRequest(
                    status=408,
                    reason="head_too_slow",
                    detail="the head came too slowly",
                )

    async def _read_request(
        self, caller: CallerConnection, head: h11.Request, arrived_at: float
    ) -> Request:
        url = _split_target(head)
        headers = join_headers(head.headers)
        self._check_length(caller, head, int(headers.get("content-length", "0")))
        try:
            async with curio.timeout_after(self._read_seconds):
                body = await caller.receive_body(head, max_bytes=self.max_body_bytes)
        except curio.TaskTimeout:
            raise BadRequest(
                status=408, reason="body_too_slow", detail="the body came too slowly"
            ) from None
        return Request(
            method=head.method.decode("latin-1"),
            path=url.path,
            query=dict(parse_qsl(url.query)),
            headers=headers,
            body=body,
            target=head.target.decode("latin-1"),
            fields=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in head.headers
            ),
            arrived_at=arrived_at,
        )

    def _check_length(
        self, caller: CallerConnection, head: h11.Request, length: int
    ) -> None:
        """Refuse a body from its head if it is too large or there is no room."""
        if length > self.max_body_bytes:
            raise too_large(self.max_body_bytes)
        caller.begin_request(head, length)


class _Arrivals:
    """When the heads of requests on one connection arrived, in monotonic seconds.

    A head that was there as soon as it was read arrived at the latest when the wait for
    it began: with the connection, or while the response before it was sent.
    """

    def __init__(
        self, arrived_at: Callable[[], float] | None, accepted_at: float | None
    ) -> None:
        self._arrived_at = arrived_at
        self._earliest_at = accepted_at
        self._wait_began_at = monotonic()

    def begin_wait(self) -> None:
        """Begin to wait for the next head."""
        self._earliest_at = self._wait_began_at = monotonic()

    def next(self) -> float:
        """Return when the head that has just been read arrived."""
        now = monotonic()
        if self._arrived_at is None:
            return now
        if now - self._wait_began_at < READ_AT_ONCE_SECONDS:
            return self._earliest_at
        return max(self._arrived_at(), self._wait_began_at)


def _split_target(head: h11.Request):
    try:
        return urlsplit(head.target.decode("latin-1"))
    except ValueError as exc:
        raise BadRequest(status=400, reason="bad_target", detail=str(exc)) from exc


async def _refuse(
    caller: CallerConnection, responder: Responder, exc: BadRequest
) -> None:
    # What was read of the request is dropped.
    caller.begin_wait()
    if not caller.is_refused:
        await _send_refusal(responder, exc)
    await _linger(caller.sock)


async def _send_refusal(responder: Responder, exc: BadRequest) -> None:
    body = b'{"outcome":"not_run","reason":"%s","status":%d,"title":"Bad request"}' % (
        exc.reason.encode(),
        exc.status,
    )
    headers = {"content-type": PROBLEM_TYPE, "connection": "close"}
    try:
        await responder.respond(exc.status, body, headers)
    finally:
        await responder.close_buffer()


async def _linger(sock) -> None:
    """Read and drop what the peer sends, for up to `LINGER_SECONDS`."""
    # Closing with unread bytes resets the connection, and the reset can overtake
    # the refusal: the caller would see an error without its reason.
    await sock.shutdown(_socket.SHUT_WR)
    try:
        async with curio.timeout_after(LINGER_SECONDS):
            while await sock.recv(READ_CHUNK_BYTES):
                # A read of bytes that have arrived does not check the time limit.
                await curio.sleep(0)
    except curio.TaskTimeout:
        pass


async def _report_fault(responder: Responder) -> None:
    if responder.started:
        await responder.abort()
        return
    body = b'{"outcome":"unknown","reason":"internal_error","status":500}'
    headers = {"content-type": PROBLEM_TYPE}
    try:
        await responder.respond(500, body, headers)
    except h11.LocalProtocolError:
        # After a malformed response h11 sends nothing more.
        await responder.refuse(500, body, headers)


def _is_loss_of_caller(exc: Exception, responder: Responder) -> bool:
    """Return whether a handler failed because its caller is lost."""
    # Connections to others fail with the same errors.
    match exc:
        case CallerLeft():
            return True
        case OSError() | ExchangeBroken():
            return responder.peer_disconnected()
        case _:
            return False


async def _detect_disconnect(
    caller: CallerConnection,
    responder: Responder,
    handler_task: curio.Task | None,
) -> None:
    """Detect that the peer disconnects during its request; cancel the handler."""
    try:
        if not await caller.receive_pipelined():
            return
    except ExchangeBroken:
        pass
    await responder.disconnected.set()
    if handler_task is not None:
        await handler_task.cancel(blocking=False)
