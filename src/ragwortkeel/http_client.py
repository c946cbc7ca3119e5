"""The HTTP client, whose errors show whether a request may have been sent."""

import socket as _socket
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
import h11

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_events import check_orderly_end, join_headers, next_event

CONNECT_SECONDS = 2.0
MAX_BODY_BYTES = 32 * 1024 * 1024
"""Largest body that `HttpClient.request` holds; pages of the platform are smaller."""

MAX_REPORT_BYTES = 64 * 1024
"""Largest report of an upstream."""

MAX_INTERIM_RESPONSES = 32
MAX_IDLE_CONNECTIONS = 32


@dataclass(frozen=True, kw_only=True)
class Response:
    """A complete response, as received by a client."""

    status: int
    headers: dict[str, str]
    body: bytes


class BodyPieces:
    """Iterator over the chunks of a body.

    It is no generator, so a reader may stop early without closing it.
    """

    def __init__(self, *, sock, conn: h11.Connection) -> None:
        self._sock = sock
        self._conn = conn

    def __aiter__(self) -> "BodyPieces":
        return self

    async def __anext__(self) -> bytes:
        match await _next_event(self._sock, self._conn):
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                raise StopAsyncIteration
            case _:
                raise ExchangeBroken("response body ended early")


@dataclass(kw_only=True)
class StreamedResponse:
    """A response whose body is read in chunks.

    Iteration ends only at the peer's end marker.  A body that ends early raises
    `ExchangeBroken`, so a truncated response never looks complete.
    """

    status: int
    headers: dict[str, str]
    _sock: object = field(repr=False)
    _conn: h11.Connection = field(repr=False)

    def chunks(self) -> BodyPieces:
        """Return an iterator over the chunks of the body as they arrive."""
        return BodyPieces(sock=self._sock, conn=self._conn)

    async def read(self, *, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        ExchangeBroken
            It is larger than `max_bytes`, or ends early.
        """
        chunks = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                raise ExchangeBroken(f"response body of over {max_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)


class HttpClient:
    """A client of one server, with a small pool of idle connections.

    Raises `ConnectFailed` if the request was certainly not sent, and
    `ExchangeBroken` if it may have been sent.

    Parameters
    ----------
    host
        An IP address.  Host names are not supported: resolving them blocks.

    .. versionadded:: 0.1
    """

    def __init__(
        self, *, host: str, port: int, connect_seconds: float = CONNECT_SECONDS
    ) -> None:
        self.host = host
        self.port = port
        self._connect_seconds = connect_seconds
        self._idle: deque = deque()

    async def request(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float,
        max_bytes: int | None = None,
    ) -> Response:
        """Send a request and return its complete response.

        Parameters
        ----------
        timeout : float
            Seconds for the whole exchange.
        max_bytes : int or None
            Largest body of the response; None for `MAX_BODY_BYTES`.

        Raises
        ------
        ConnectFailed, ExchangeBroken
            A timeout raises `ExchangeBroken`.
        """
        if max_bytes is None:
            max_bytes = MAX_BODY_BYTES
        try:
            async with curio.timeout_after(timeout):
                stream = self.stream(method, target, body=body, headers=headers)
                async with stream as rv:
                    content = await rv.read(max_bytes=max_bytes)
        except curio.TaskTimeout as exc:
            raise ExchangeBroken(f"no response within {timeout} s") from exc
        return Response(status=rv.status, headers=rv.headers, body=content)

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ):
        """Send a request; yield its `StreamedResponse` when the head is received."""
        sock = await self._take_idle() or await self._connect()
        conn = h11.Connection(h11.CLIENT)
        reusable = False
        try:
            await self._send(sock, conn, method, target, body, headers or {})
            yield await self._read_head(sock, conn)
            is_done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
            # Bytes beyond the response belong to no request.
            reusable = is_done and not conn.trailing_data[0]
        finally:
            if reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(sock)
            else:
                await sock.close()

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _connect(self):
        # curio.open_connection would resolve the host in a thread for each call.
        family = _socket.AF_INET6 if ":" in self.host else _socket.AF_INET
        try:
            sock = curio.socket.socket(family, _socket.SOCK_STREAM)
        except OSError as exc:
            raise ConnectFailed(f"no socket: {exc!r}") from exc
        connected = False
        try:
            async with curio.timeout_after(self._connect_seconds):
                await sock.connect((self.host, self.port))
            sock.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
            connected = True
        except (OSError, curio.TaskTimeout) as exc:
            raise ConnectFailed(f"{self.host}:{self.port}: {exc!r}") from exc
        finally:
            if not connected:
                await sock.close()
        return sock

    async def _take_idle(self):
        while self._idle:
            sock = self._idle.pop()
            # An idle connection that the server has closed reads as ended.  A
            # failure to send on it would not show whether the request was sent.
            try:
                sock._socket.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
            except BlockingIOError:
                return sock
            except OSError:
                pass
            await sock.close()
        return None

    async def _send(self, sock, conn, method, target, body, headers) -> None:
        fields = {
            "host": f"{self.host}:{self.port}",
            "content-length": str(len(body)),
        } | headers
        head = h11.Request(method=method, target=target, headers=list(fields.items()))
        data = conn.send(head)
        data += conn.send(h11.Data(data=body))
        data += conn.send(h11.EndOfMessage())
        try:
            await sock.sendall(data)
        except OSError as exc:
            raise ExchangeBroken(str(exc)) from exc

    async def _read_head(self, sock, conn) -> StreamedResponse:
        event = await _next_event(sock, conn)
        interim_count = 0
        while isinstance(event, h11.InformationalResponse):
            interim_count += 1
            if interim_count > MAX_INTERIM_RESPONSES:
                raise ExchangeBroken("too many interim responses")
            event = await _next_event(sock, conn)
        if not isinstance(event, h11.Response):
            raise ExchangeBroken("server closed the connection without a response")
        headers = join_headers(event.headers)
        return StreamedResponse(
            status=event.status_code, headers=headers, _sock=sock, _conn=conn
        )


async def _next_event(sock, conn):
    return await next_event(sock, conn, check_end=lambda: check_orderly_end(sock))
