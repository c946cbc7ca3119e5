"""One connection to an upstream, which sends a request and receives its response.

Failures it guards against:

- The response to an earlier request arrives late, where the next one is due.  It is
  recognised by the echoed request id and skipped.
- Bytes follow a complete response.  They belong to no request, so the connection is not
  used again.
- The upstream closes an idle connection while a request is on its way to it, so that it
  is unknown whether the request ran.  A request that must not run twice therefore only
  uses a connection that was in use a moment ago.
- Interim responses, or responses to other requests, come without end where the response
  is due.  Only so many bytes of them are skipped.
- The upstream resets the connection within a response that ends with its connection,
  and a look at the connection by another task takes the socket's error.  The error is
  kept, so that the response does not look complete.
"""

import socket as _socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import monotonic
from weakref import WeakSet

import curio
import h11

from ragwortkeel.chunked_body import ChunkedBody
from ragwortkeel.exceptions import (
    ConnectDelayed,
    ConnectFailed,
    ConnectRefused,
    ExchangeBroken,
)
from ragwortkeel.http_events import (
    READ_CHUNK_BYTES,
    check_orderly_end,
    next_event,
    whole_number,
)
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.send_buffer import HeldBytes, SendBuffer
from ragwortkeel.usage_counters import ByteCounter

CONNECT_SECONDS = 0.4
"""Time limit of a connect, over a hundred round trips inside a region.

TCP repeats a lost SYN only after 1 s; by then another upstream has responded.
"""

OVERLOADED_CONNECT_SECONDS = 1.2
"""Time limit of a connect while the own instance is overloaded.

Packets then wait at the instance's link, and timers fire late: with the usual limit
most connects fail, each is tried at the next upstream, and no upstream is to blame.
"""

MAX_UNACKNOWLEDGED_MILLISECONDS = 2000
"""Age of unacknowledged bytes at which TCP drops the connection as unreachable."""

TCP_KEEPALIVE_IDLE_SECONDS = 1
TCP_KEEPALIVE_PROBES = 3
"""An unreachable upstream is detected after the idle time and the probes, 1 s apart.

Callers wait longer than that for a stream.
"""

DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Longest idle time of a connection if the upstream states no timeout.

Less than 5 s, the shortest timeout that servers commonly use.
"""

KEEP_ALIVE_MARGIN_SECONDS = 0.8
"""Subtracted from the timeout that the upstream states.

The upstream states whole seconds and counts from its own last use.
"""

MAX_COPIED_BYTES = 64 * 1024
"""Largest body that is copied behind its head, to send both in one write."""

MAX_SKIPPED_BYTES = 1024 * 1024
"""Bytes of interim responses and of other requests' responses that are skipped before a
response; a late response of usual size is smaller."""

SKIPPED_HEAD_BYTES = 1024
"""What the head of a skipped response counts as."""

FRESH_IDLE_SECONDS = 1.0
"""Idle time after which a connection may be about to close.

1 s is the shortest timeout that an upstream can state.
"""

MAX_IDLE_CONNECTIONS = 24
"""Idle connections kept for each upstream.

In most services this exceeds the share of one process in the upstream's slots.
"""


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """The head of an upstream's response, with header names in lower case."""

    status: int
    fields: tuple[tuple[str, str], ...]

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body is marked, by a length or by chunks."""
        return bool(self.get("content-length") or self.get("transfer-encoding"))

    def get(self, name: str) -> str:
        """Return the first value of a header; empty if it is missing."""
        for key, value in self.fields:
            if key == name:
                return value
        return ""


@dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """A request in the form in which it is sent to an upstream."""

    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes


class UpstreamConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    id_header : str
        Name of the header in which upstreams echo the request id.
    held : HeldBytes
        Counts and bounds the bytes held for upstreams that read slowly.

    Attributes
    ----------
    opened_at : float
        Monotonic second at which it was opened.
    """

    def __init__(
        self,
        *,
        sock,
        id_header: str,
        held: HeldBytes,
        counter: ByteCounter | None = None,
    ) -> None:
        self._sock = sock
        self._counter = counter or ByteCounter()
        self._buffer = SendBuffer(
            sock=sock, held=held, peer="upstream", counter=self._counter
        )
        self._id_header = id_header
        self._conn = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self._used_at = monotonic()
        self._closed = False
        self._socket_error = ""
        self.opened_at = self._used_at
        self._framed = True
        self._chunked: ChunkedBody | None = None
        self._first_data = b""
        self._is_skipping = False
        self._skipped_bytes = 0

    @classmethod
    async def open(
        cls,
        upstream: Upstream,
        *,
        id_header: str,
        held: HeldBytes,
        counter: ByteCounter | None = None,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> "UpstreamConnection":
        """Connect to an upstream.

        Raises
        ------
        ConnectFailed
            There is no connection, so the request was not sent.
        """
        try:
            sock = curio.socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
        except OSError as exc:
            # The process is out of descriptors.
            raise ConnectDelayed(f"{upstream.name}: {exc!r}") from exc
        connected = False
        try:
            _set_options(sock)
            async with curio.timeout_after(connect_seconds):
                await sock.connect((upstream.host, upstream.port))
            connected = True
        except ConnectionRefusedError as exc:
            raise ConnectRefused(f"{upstream.name}: {exc!r}") from exc
        except curio.TaskTimeout as exc:
            if connect_seconds > CONNECT_SECONDS:
                # The own instance is overloaded, which is no fault of the upstream.
                raise ConnectDelayed(f"{upstream.name}: {exc!r}") from exc
            raise ConnectFailed(f"{upstream.name}: {exc!r}") from exc
        except OSError as exc:
            raise ConnectFailed(f"{upstream.name}: {exc!r}") from exc
        finally:
            if not connected:
                await sock.close()
        return cls(sock=sock, id_header=id_header, held=held, counter=counter)

    @property
    def idle_seconds(self) -> float:
        """Seconds since the connection was opened or a response was complete."""
        return monotonic() - self._used_at

    @property
    def reusable(self) -> bool:
        """Whether the response is complete and another request may follow."""
        done = self._conn.our_state is h11.DONE
        if self._chunked is not None:
            return done and self._chunked.complete and not self._chunked.rest
        done = done and self._conn.their_state is h11.DONE
        return done and not self._conn.trailing_data[0] and self._framed

    @property
    def expired(self) -> bool:
        """Whether the upstream may have closed the connection by now."""
        return self.idle_seconds > self._keep_alive_seconds

    def is_quiet(self) -> bool:
        """Return whether neither data nor a close arrived on the idle connection."""
        return self._peek() is None

    def is_open(self) -> bool:
        """Return whether neither side has closed the connection, whatever arrived."""
        return not self._closed and self._peek() != b""

    def _peek(self) -> bytes | None:
        """Return the next byte that arrived, None if none did, empty after a close."""
        try:
            return self._sock._socket.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError as exc:
            # A socket reports an error once and reads as ended from then on.
            self._socket_error = self._socket_error or str(exc)
            return b""

    def _check_end(self) -> None:
        if self._socket_error:
            raise ExchangeBroken(self._socket_error)
        check_orderly_end(self._sock)

    async def send(self, outgoing: UpstreamRequest) -> None:
        """Send the request."""
        if self._chunked is not None:
            self._conn = h11.Connection(h11.CLIENT)
            self._chunked = None
        elif self._request is not None:
            self._conn.start_next_cycle()
        self._request = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=[
                *outgoing.fields,
                ("content-length", str(len(outgoing.body))),
            ],
        )
        head = self._conn.send(self._request)
        body = b""
        if outgoing.body:
            body = self._conn.send(h11.Data(data=outgoing.body))
        # A body with a length has no end marker.
        self._conn.send(h11.EndOfMessage())
        self._skipped_bytes = 0
        if len(body) > MAX_COPIED_BYTES:
            await self._buffer.write(head)
            await self._buffer.write(body)
        else:
            await self._buffer.write(head + body)
        if self._buffer.held_bytes:
            await self._buffer.drain()

    async def receive_head(self, request_id: str) -> ResponseHead:
        """Return the head of this request's response, and skip other responses.

        A call that was cancelled may be repeated.
        """
        while True:
            if self._is_skipping:
                await self._skip_response()
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._count_skipped(SKIPPED_HEAD_BYTES)
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeBroken("connection closed before a response")
            head = _response_head(event)
            echoed = head.get(self._id_header)
            if echoed == request_id:
                self._record_head(head)
                if self._has_chunked_body(head):
                    self._start_chunked_body()
                return head
            if not echoed:
                raise ExchangeBroken("response does not echo the request id")
            self._is_skipping = True

    @property
    def complete(self) -> bool:
        """Whether all chunks of the body were returned and its end was received."""
        return self._chunked is not None and self._chunked.complete

    async def receive_chunk(self) -> bytes | None:
        """Return the next data of the body, which may be none; None at its end."""
        if self._chunked is not None:
            return await self._receive_block(self._chunked)
        match await self._next_event():
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                self._used_at = monotonic()
                return None
            case _:
                raise ExchangeBroken("connection closed within a response")

    async def _next_event(self):
        return await next_event(
            self._sock, self._conn, self._counter, check_end=self._check_end
        )

    async def _receive_block(self, body: ChunkedBody) -> bytes | None:
        """Return the data of all chunks that one read returns."""
        if self._first_data:
            data, self._first_data = self._first_data, b""
            return data
        if body.complete:
            return None
        if body.error is not None:
            raise body.error
        try:
            block = await self._sock.recv(READ_CHUNK_BYTES)
        except OSError as exc:
            raise ExchangeBroken(str(exc)) from exc
        if not block:
            raise ExchangeBroken("connection closed within a response")
        self._counter.record_received(len(block))
        data = body.feed(block)
        if body.complete:
            self._used_at = monotonic()
        return data

    def cut_off(self) -> None:
        """Shut the connection down from another task; its own task closes it."""
        self._socket_error = self._socket_error or "the request has been ended"
        self._buffer.end("the request has been ended")

    async def close(self) -> None:
        """Close at once, so that the upstream stops working on the request."""
        self._closed = True
        await self._buffer.close()
        await self._sock.close()

    async def _skip_response(self) -> None:
        """Read to the end of another request's response and expect the next one."""
        while (chunk := await self.receive_chunk()) is not None:
            self._count_skipped(len(chunk))
        self._count_skipped(SKIPPED_HEAD_BYTES)
        rest, _ = self._conn.trailing_data
        # h11 accepts one response per request, so a new h11 connection is given a
        # placeholder request, which is not sent.
        self._conn = h11.Connection(h11.CLIENT)
        self._conn.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        self._conn.send(h11.EndOfMessage())
        self._conn.receive_data(rest)
        self._is_skipping = False

    def _count_skipped(self, size: int) -> None:
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise ExchangeBroken(f"over {MAX_SKIPPED_BYTES} bytes before the response")

    def _has_chunked_body(self, head: ResponseHead) -> bool:
        bodiless = self._request.method == b"HEAD" or head.status in (204, 304)
        return head.get("transfer-encoding").lower() == "chunked" and not bodiless

    def _start_chunked_body(self) -> None:
        """Parse the body without h11, beginning with what was read with the head."""
        self._chunked = ChunkedBody()
        self._first_data = self._chunked.feed(self._conn.trailing_data[0])
        self._used_at = monotonic()

    def _record_head(self, head: ResponseHead) -> None:
        self._framed = head.is_framed
        for item in head.get("keep-alive").split(","):
            name, _, value = item.strip().partition("=")
            seconds = whole_number(value)
            if name == "timeout" and seconds is not None:
                self._keep_alive_seconds = max(0.0, seconds - KEEP_ALIVE_MARGIN_SECONDS)


class ConnectionPool:
    """A pool of idle connections for each upstream instance.

    Parameters
    ----------
    is_overloaded
        Returns whether the own instance is overloaded, so that connects take longer.
    on_refused
        Called with the name of an upstream that refused a connection, as one does that
        is down.  A connection that times out or is reset shows nothing of the kind.
    """

    def __init__(
        self,
        *,
        id_header: str,
        held: HeldBytes | None = None,
        counter: ByteCounter | None = None,
        is_overloaded: Callable[[], bool] = lambda: False,
        on_refused: Callable[[str], Awaitable[None]] | None = None,
    ) -> None:
        self.is_overloaded = is_overloaded
        self._on_refused = on_refused
        self._id_header = id_header
        self._counter = counter
        self._held = held or HeldBytes()
        self._idle_by_upstream: dict[tuple[str, int], list[UpstreamConnection]] = {}
        self._open_by_upstream: dict[tuple[str, int], WeakSet[UpstreamConnection]] = {}

    async def acquire(self, upstream: Upstream, *, fresh: bool) -> UpstreamConnection:
        """Return an idle connection or open one.

        Parameters
        ----------
        fresh : bool
            Whether to exclude idle connections that may be about to close.

        Raises
        ------
        ConnectFailed
            There is no idle connection, and none could be opened.
        """
        idle = self._idle_by_upstream.get((upstream.name, upstream.started_ms), [])
        while idle:
            connection = idle.pop()
            stale = fresh and connection.idle_seconds > FRESH_IDLE_SECONDS
            if not connection.expired and not stale and connection.is_quiet():
                return connection
            await connection.close()
        seconds = (
            OVERLOADED_CONNECT_SECONDS if self.is_overloaded() else CONNECT_SECONDS
        )
        return await self._open(upstream, connect_seconds=seconds)

    async def release(self, upstream: Upstream, connection: UpstreamConnection):
        """Return a reusable connection to the pool; close any other."""
        idle = self._idle_by_upstream.setdefault(
            (upstream.name, upstream.started_ms), []
        )
        if connection.reusable and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
            return
        await connection.close()

    def has_open(self, upstream: Upstream, *, opened_until: float) -> bool:
        """Return whether a connection that was opened until then is still open."""
        key = upstream.name, upstream.started_ms
        return any(
            connection.opened_at <= opened_until and connection.is_open()
            for connection in self._open_by_upstream.get(key, ())
        )

    async def refuses_connection(self, upstream: Upstream) -> bool:
        """Return whether the upstream refuses connections."""
        try:
            connection = await self._open(upstream)
        except ConnectRefused:
            return True
        except ConnectFailed:
            return False
        await connection.close()
        return False

    async def _open(
        self, upstream: Upstream, *, connect_seconds: float = CONNECT_SECONDS
    ) -> UpstreamConnection:
        try:
            connection = await UpstreamConnection.open(
                upstream,
                id_header=self._id_header,
                held=self._held,
                counter=self._counter,
                connect_seconds=connect_seconds,
            )
        except ConnectRefused:
            if self._on_refused is not None:
                await self._on_refused(upstream.name)
            raise
        key = upstream.name, upstream.started_ms
        self._open_by_upstream.setdefault(key, WeakSet()).add(connection)
        return connection

    async def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        for key, idle in list(self._idle_by_upstream.items()):
            expired = [pooled for pooled in idle if pooled.expired]
            idle[:] = [pooled for pooled in idle if not pooled.expired]
            for connection in expired:
                await connection.close()
            if not idle:
                self._idle_by_upstream.pop(key, None)
        for key, connections in list(self._open_by_upstream.items()):
            if not connections:
                self._open_by_upstream.pop(key, None)


def _response_head(event: h11.Response) -> ResponseHead:
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    )
    return ResponseHead(status=event.status_code, fields=fields)


def _set_options(sock) -> None:
    raw = sock._socket
    raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
    raw.setsockopt(_socket.SOL_SOCKET, _socket.SO_KEEPALIVE, 1)
    raw.setsockopt(
        _socket.IPPROTO_TCP, _socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_SECONDS
    )
    raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPINTVL, 1)
    raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    raw.setsockopt(
        _socket.IPPROTO_TCP,
        _socket.TCP_USER_TIMEOUT,
        MAX_UNACKNOWLEDGED_MILLISECONDS,
    )
