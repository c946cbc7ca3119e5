"""The connection of one caller, from which the server reads requests.

Failures it guards against: reading must not keep the event loop, however fast a caller
sends and however small the chunks of a body are.
"""

import socket as _socket

import curio
import h11

from ragwortkeel.chunked_body import ChunkedBody
from ragwortkeel.exceptions import BadRequest, ExchangeBroken
from ragwortkeel.http_events import READ_CHUNK_BYTES, next_event
from ragwortkeel.usage_counters import ByteCounter

CHUNKED_BLOCK_BYTES = 16 * 1024
"""Bytes of a chunked body that are parsed in one turn of the event loop."""

SMALL_BLOCK_BYTES = 2 * 1024
"""Smaller blocks of a chunked body are parsed without waiting for a turn."""


class CallerConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    sock : curio.io.Socket
        The caller's socket.
    counter : ByteCounter
        Counts what is read.
    parsing : curio.Lock
        Held while a large block of a chunked body is parsed, so that a turn of the
        event loop parses one of them.

    Attributes
    ----------
    conn : h11.Connection
        The state of the protocol; replaced at the end of a chunked body.
    """

    def __init__(self, *, sock, counter: ByteCounter, parsing: curio.Lock) -> None:
        self.sock = sock
        self.conn = h11.Connection(h11.SERVER)
        self._counter = counter
        self._parsing = parsing
        self._head: h11.Request | None = None
        self._body: ChunkedBody | None = None
        self._unparsed = b""
        self._has_piece = False

    async def next_event(self):
        """Return the next h11 event; see `http_events.next_event`."""
        return await next_event(self.sock, self.conn, self._counter)

    async def receive(self, max_bytes: int = READ_CHUNK_BYTES) -> bytes:
        """Return what arrives next, empty at the end.

        Raises
        ------
        ExchangeBroken
            The connection is lost.
        """
        try:
            data = await self.sock.recv(max_bytes)
        except OSError as exc:
            raise ExchangeBroken(str(exc)) from exc
        self._counter.record_received(len(data))
        return data

    def begin_body(self, head: h11.Request) -> None:
        """Begin to read the body that follows a head."""
        self._head = head
        self._has_piece = False
        is_chunked = (b"transfer-encoding", b"chunked") in head.headers
        self._body = ChunkedBody() if is_chunked else None
        self._unparsed = self.conn.trailing_data[0] if is_chunked else b""

    async def receive_piece(self) -> bytes | None:
        """Return the next piece of the body, which may be empty; None at its end.

        Raises
        ------
        BadRequest
            The body ends early or violates the protocol.
        ExchangeBroken
            The connection is lost.
        """
        if self._has_piece:
            # A read of bytes that have arrived does not switch to another task.
            await curio.sleep(0)
        self._has_piece = True
        if self._body is not None:
            return await self._receive_block(self._body)
        match await self.next_event():
            case h11.Data(data=data):
                return data
            case h11.EndOfMessage():
                return None
            case _:
                raise _cut_off()

    def has_received(self) -> bool:
        """Return whether bytes of a request have arrived, read or not, or an end."""
        return bool(self.conn.trailing_data[0]) or self.has_unread()

    def has_unread(self) -> bool:
        """Return whether a read would not wait: for bytes, an end or an error."""
        try:
            self.sock._socket.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def _receive_block(self, body: ChunkedBody) -> bytes | None:
        if body.complete:
            self._end_chunked_body(body.rest)
            return None
        block = self._unparsed[:CHUNKED_BLOCK_BYTES]
        self._unparsed = self._unparsed[CHUNKED_BLOCK_BYTES:]
        if not block:
            await self._send_continue()
            block = await self.receive(CHUNKED_BLOCK_BYTES)
        if not block:
            raise _cut_off()
        if len(block) <= SMALL_BLOCK_BYTES:
            data = body.feed(block)
        else:
            async with self._parsing:
                data = body.feed(block)
                await curio.sleep(0)
        if body.error is not None:
            raise BadRequest(status=400, reason="bad_http", detail=str(body.error))
        return data

    async def _send_continue(self) -> None:
        if self.conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self.sock.sendall(self.conn.send(go_on))

    def _end_chunked_body(self, rest: bytes) -> None:
        """Replace the h11 connection, which has not seen the body, by one that has."""
        fields = [field for field in self._head.headers if field[0] == b"connection"]
        lines = [
            b"%b / HTTP/%b" % (self._head.method, self._head.http_version),
            b"host: -",
            b"content-length: 0",
            *(b"%b: %b" % field for field in fields),
        ]
        self.conn = h11.Connection(h11.SERVER)
        self.conn.receive_data(b"\r\n".join((*lines, b"", b"")) + rest + self._unparsed)
        while not isinstance(self.conn.next_event(), h11.EndOfMessage):
            pass


def _cut_off() -> BadRequest:
    return BadRequest(status=400, reason="body_cut_off", detail="the body ended early")
