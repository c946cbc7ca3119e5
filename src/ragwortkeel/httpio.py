"""HTTP/1.1 on curio through h11: a server for callers and a client for peers.

Bodies, header blocks and the time to send them are bounded, so that one slow
or oversized peer holds one connection and nothing else.
"""

import socket as _socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import curio
import h11

from ragwortkeel.exceptions import BadRequest, ConnectFailed, ExchangeBroken

MAX_BODY_BYTES = 4 * 1024 * 1024
"""A season's dossier fits with room to spare; more is refused with 413."""

REQUEST_READ_SECONDS = 20.0
"""A request that is not whole by then is refused with 408."""

KEEP_ALIVE_SECONDS = 60.0
CONNECT_SECONDS = 2.0
READ_CHUNK_BYTES = 64 * 1024
MAX_IDLE_CONNECTIONS = 32
LISTEN_BACKLOG = 1024


@dataclass(frozen=True, kw_only=True)
class Request:
    """One whole request as a handler sees it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Response:
    """One whole response as a client sees it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Responder:
    """What a handler answers through; it owns the connection meanwhile.

    Attributes
    ----------
    gone : curio.Event
        Set once the peer has closed its side: nobody waits for the answer.
    """

    def __init__(self, *, sock, conn: h11.Connection) -> None:
        self._sock = sock
        self._conn = conn
        self.gone = curio.Event()
        self.started = False

    async def respond(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole response."""
        fields = {"content-length": str(len(body))} | (headers or {})
        await self.start(status, fields)
        await self.send(body)
        await self.finish()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; without a length the body is chunked."""
        self.started = True
        fields = [(k.encode(), v.encode("latin-1")) for k, v in headers.items()]
        await self._write(h11.Response(status_code=status, headers=fields))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        if data:
            await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the end of the body, which tells the peer it has it whole."""
        await self._write(h11.EndOfMessage())

    async def abort(self) -> None:
        """Close without the end marker, so that the peer sees a broken body."""
        self._conn.send_failed()
        await self._sock.close()

    async def _write(self, event) -> None:
        data = self._conn.send(event)
        if data:
            try:
                await self._sock.sendall(data)
            except OSError as exc:
                await self.gone.set()
                raise ExchangeBroken(str(exc)) from exc


Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """A server whose accepting and whose open exchanges end separately.

    Parameters
    ----------
    host, port
        Where to listen; port 0 takes a free one, found in `port` after `open`.
    handler
        Called once a request is whole; may answer in pieces.
    max_body_bytes
        Larger bodies are refused with 413 and never reach the handler.

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
        read_seconds: float = REQUEST_READ_SECONDS,
    ) -> None:
        self.host = host
        self.port = port
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._read_seconds = read_seconds
        self._listener = None
        self._stopping = False
        self.open_exchanges = 0

    def open(self) -> None:
        """Bind the listening socket."""
        self._listener = curio.network.tcp_server_socket(
            self.host, self.port, backlog=LISTEN_BACKLOG
        )
        self.port = self._listener.getsockname()[1]

    async def serve(self) -> None:
        """Accept until `stop_accepting`; each connection is a task of its own."""
        async with curio.TaskGroup(wait=None) as group:
            while not self._stopping:
                try:
                    sock, _ = await self._listener.accept()
                except OSError:
                    break
                sock.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
                await group.spawn(self._connection, sock, daemon=True)
            await curio.sleep(0)

    async def stop_accepting(self) -> None:
        """Refuse new connections; open exchanges go on."""
        self._stopping = True
        if self._listener is not None:
            await self._listener.close()

    async def _connection(self, sock) -> None:
        conn = h11.Connection(h11.SERVER)
        async with sock:
            try:
                while await self._exchange(sock, conn):
                    conn.start_next_cycle()
            except (OSError, ExchangeBroken, h11.LocalProtocolError):
                return

    async def _exchange(self, sock, conn) -> bool:
        """Serve one request; return whether another may follow."""
        responder = Responder(sock=sock, conn=conn)
        try:
            request = await self._read_request(sock, conn)
        except BadRequest as exc:
            await self._refuse(responder, exc)
            return False
        if request is None:
            return False
        self.open_exchanges += 1
        watcher = await curio.spawn(_watch_peer, sock, conn, responder, daemon=True)
        try:
            await self._handler(request, responder)
        finally:
            self.open_exchanges -= 1
            await watcher.cancel()
        reusable = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        return reusable and not self._stopping and not responder.gone.is_set()

    async def _refuse(self, responder: Responder, exc: BadRequest) -> None:
        body = (
            b'{"outcome":"not_run","reason":"%s","status":%d,"title":"Bad request"}'
            % (exc.reason.encode(), exc.status)
        )
        headers = {"content-type": "application/problem+json", "connection": "close"}
        await responder.respond(exc.status, body, headers)

    async def _read_request(self, sock, conn) -> Request | None:
        head = await self._first_event(sock, conn)
        if head is None:
            return None
        try:
            async with curio.timeout_after(self._read_seconds):
                body = await self._read_body(sock, conn)
        except curio.TaskTimeout:
            raise BadRequest(
                status=408, reason="body_too_slow", detail="the body came too slowly"
            ) from None
        parts = urlsplit(head.target.decode("latin-1"))
        return Request(
            method=head.method.decode("latin-1"),
            path=parts.path,
            query=dict(parse_qsl(parts.query)),
            headers={k.decode(): v.decode("latin-1") for k, v in head.headers},
            body=body,
        )

    async def _first_event(self, sock, conn) -> h11.Request | None:
        try:
            async with curio.timeout_after(KEEP_ALIVE_SECONDS):
                event = await _next_event(sock, conn)
        except curio.TaskTimeout:
            return None
        except ExchangeBroken:
            return None
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self, sock, conn) -> bytes:
        pieces = []
        size = 0
        while True:
            event = await _next_event(sock, conn)
            match event:
                case h11.Data(data=data):
                    size += len(data)
                    if size > self._max_body_bytes:
                        raise BadRequest(
                            status=413,
                            reason="body_too_large",
                            detail=f"at most {self._max_body_bytes} bytes",
                        )
                    pieces.append(bytes(data))
                case h11.EndOfMessage():
                    return b"".join(pieces)
                case _:
                    raise BadRequest(
                        status=400, reason="body_cut_off", detail="the body ended early"
                    )


async def _next_event(sock, conn: h11.Connection):
    """Return the next h11 event, reading as needed."""
    while True:
        try:
            event = conn.next_event()
        except h11.RemoteProtocolError as exc:
            if conn.our_role is h11.CLIENT:
                raise ExchangeBroken(str(exc)) from exc
            raise BadRequest(
                status=exc.error_status_hint or 400,
                reason="bad_http",
                detail=str(exc),
            ) from exc
        if event is not h11.NEED_DATA:
            return event
        if conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await sock.sendall(conn.send(go_on))
        try:
            data = await sock.recv(READ_CHUNK_BYTES)
        except OSError as exc:
            raise ExchangeBroken(str(exc)) from exc
        conn.receive_data(data)


async def _watch_peer(sock, conn: h11.Connection, responder: Responder) -> None:
    """Notice a peer that leaves while its request runs."""
    try:
        while data := await sock.recv(READ_CHUNK_BYTES):
            # A pipelined request: h11 keeps it until the next cycle.
            conn.receive_data(data)
    except OSError:
        pass
    await responder.gone.set()


@dataclass(kw_only=True)
class StreamedResponse:
    """A response whose body is read piece by piece.

    Iterating ends only at the peer's end marker; a body that breaks off raises
    `ExchangeBroken`, so a truncated answer is never taken for a whole one.
    """

    status: int
    headers: dict[str, str]
    _sock: object = field(repr=False)
    _conn: h11.Connection = field(repr=False)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes."""
        while True:
            event = await _next_event(self._sock, self._conn)
            match event:
                case h11.Data(data=data):
                    yield bytes(data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise ExchangeBroken("the answer broke off")


class HttpClient:
    """A client of one server, with a small pool of kept connections.

    Errors are `ConnectFailed`, where the request certainly was not sent, and
    `ExchangeBroken`, where it may have been.

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
    ) -> Response:
        """Send a request and return its whole response.

        Raises
        ------
        ConnectFailed, ExchangeBroken
            A timeout counts as `ExchangeBroken`.
        """
        try:
            async with curio.timeout_after(timeout):
                stream = self.stream(method, target, body=body, headers=headers)
                async with stream as rv:
                    pieces = [piece async for piece in rv.pieces()]
        except curio.TaskTimeout as exc:
            raise ExchangeBroken(f"no answer within {timeout} s") from exc
        return Response(status=rv.status, headers=rv.headers, body=b"".join(pieces))

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ):
        """Send a request; yield its `StreamedResponse` once the head is there."""
        sock = self._take_idle() or await self._connect()
        conn = h11.Connection(h11.CLIENT)
        kept = False
        try:
            await self._send(sock, conn, method, target, body, headers or {})
            yield await self._read_head(sock, conn)
            kept = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        finally:
            if kept and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(sock)
            else:
                await sock.close()

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _connect(self):
        try:
            async with curio.timeout_after(self._connect_seconds):
                sock = await curio.open_connection(self.host, self.port)
        except (OSError, curio.TaskTimeout) as exc:
            raise ConnectFailed(f"{self.host}:{self.port}: {exc!r}") from exc
        sock.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
        return sock

    def _take_idle(self):
        while self._idle:
            sock = self._idle.pop()
            # A kept connection the server has closed meanwhile reads as ended;
            # sending on it would turn a sure failure into an unknown one.
            try:
                sock._socket.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
            except BlockingIOError:
                return sock
            except OSError:
                pass
            sock._socket.close()
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
        while isinstance(event, h11.InformationalResponse):
            event = await _next_event(sock, conn)
        if not isinstance(event, h11.Response):
            raise ExchangeBroken("the server closed without an answer")
        headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
        return StreamedResponse(
            status=event.status_code, headers=headers, _sock=sock, _conn=conn
        )
