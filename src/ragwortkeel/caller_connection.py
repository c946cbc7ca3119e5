"""The connection of one caller, from which the server reads requests.

Failures it guards against: reading must not keep the event loop, however fast a caller
sends and however small the chunks of a body are; and whatever is held of a caller
counts, so that it can be ended when room is short.
"""

import socket as _socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import curio
import h11
from curio.traps import _read_wait

from ragwortkeel.chunked_body import ChunkedBody
from ragwortkeel.exceptions import BadRequest, ExchangeBroken, NoRoom
from ragwortkeel.http_events import next_event, parsed_event
from ragwortkeel.policy.retry_delays import retry_delay
from ragwortkeel.received_bytes import CallerBytes, ReceivedBytes, Shortage
from ragwortkeel.usage_counters import ByteCounter

RETRY_SECONDS = 0.5
"""Delay that callers are asked for when there is no room for their request."""

CHUNKED_BLOCK_BYTES = 16 * 1024
"""Bytes of a chunked body that are parsed in one turn of the event loop."""

MAX_PIPELINED_BYTES = 64 * 1024
"""Bytes of pipelined requests read while one runs; more stay in the socket."""

HEAD_BLOCK_BYTES = 16 * 1024
PIPELINED_BLOCK_BYTES = 16 * 1024

ARRIVED_READ_SECONDS = 0.05
"""Time for reading what has arrived on a connection beyond a time limit."""

MAX_BUFFERED_HEAD_BYTES = 1024 * 1024
"""What the parser holds of a head; the server's own limit is reached before."""

SMALL_BLOCK_BYTES = 2 * 1024
"""Smaller blocks of a chunked body are parsed without waiting for a turn."""

_random = Random()


@dataclass(frozen=True, kw_only=True)
class HeadLimits:
    """Limits on the head of a request.

    Attributes
    ----------
    max_bytes : int
        Larger heads are refused with 431.
    seconds : float
        Time from the first bytes of a head to its end; slower ones are refused with
        408.
    """

    max_bytes: int = 16 * 1024
    seconds: float = 20.0


DEFAULT_HEAD_LIMITS = HeadLimits()


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
    account : ReceivedBytes
        Counts and bounds what is held of all callers.

    Attributes
    ----------
    conn : h11.Connection
        The state of the protocol; replaced at the end of a chunked body.
    received : CallerBytes
        What is held of this caller.
    is_refused : bool
        Whether a refusal of its incomplete request has been sent.
    """

    def __init__(
        self,
        *,
        sock,
        counter: ByteCounter,
        parsing: curio.Lock,
        account: ReceivedBytes,
    ) -> None:
        self.sock = sock
        self.conn = _new_connection()
        self._counter = counter
        self._parsing = parsing
        self._head: h11.Request | None = None
        self._body: ChunkedBody | None = None
        self._unparsed = b""
        self._has_piece = False
        self.is_refused = False
        self._is_reading_body = False
        self._content = bytearray()
        self._pipelined_bytes = 0
        self._account = account
        self.received = CallerBytes(account=account, end=self._end)

    def begin_wait(self) -> None:
        """Begin to wait for a request."""
        self._pipelined_bytes = 0
        self.received.begin_wait(self._buffered_bytes)

    @property
    def _buffered_bytes(self) -> int:
        """Bytes that h11 holds and has not parsed."""
        return len(self.conn.trailing_data[0])

    async def receive_head(self, limits: Callable[[], HeadLimits]):
        """Return the h11 event of the next head, or of the end of the connection.

        Parameters
        ----------
        limits : callable
            Returns the limits in force.

        Raises
        ------
        BadRequest
            The head is too large or too slow, or violates the protocol.
        ExchangeBroken
            The connection is lost.
        """
        event = self._parsed_head(limits)
        if event is h11.NEED_DATA and not self._buffered_bytes:
            event = await self._receive_head_block(limits)
        seconds = limit_seconds = limits().seconds
        while event is h11.NEED_DATA:
            async with curio.ignore_after(limit_seconds):
                return await self._receive_rest_of_head(limits)
            # A process that was late has not read yet what arrived in time.
            if limit_seconds < seconds or not self.has_unread():
                raise BadRequest(
                    status=408,
                    reason="head_too_slow",
                    detail="the head came too slowly",
                )
            limit_seconds = min(ARRIVED_READ_SECONDS, seconds / 2)
        return event

    async def _receive_rest_of_head(self, limits: Callable[[], HeadLimits]):
        while (event := await self._receive_head_block(limits)) is h11.NEED_DATA:
            pass
        return event

    async def _receive_head_block(self, limits: Callable[[], HeadLimits]):
        data = await self.receive(HEAD_BLOCK_BYTES)
        self.conn.receive_data(data)
        self.received.grow(len(data))
        return self._parsed_head(limits)

    def _parsed_head(self, limits: Callable[[], HeadLimits]):
        before = self._buffered_bytes
        event = parsed_event(self.conn)
        match event:
            case h11.Request():
                size = before - self._buffered_bytes
            case _:
                size = before if event is h11.NEED_DATA else 0
        if size > limits().max_bytes:
            raise BadRequest(
                status=431,
                reason="bad_http",
                detail=f"the head is larger than {limits().max_bytes} bytes",
            )
        return event

    async def receive(self, max_bytes: int) -> bytes:
        """Return at most `max_bytes` of what arrives next, nothing at the end.

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

    async def receive_body(self, head: h11.Request, *, max_bytes: int) -> bytes:
        """Return the body that follows a head.

        Raises
        ------
        BadRequest
            The body ends early, violates the protocol, has over `max_bytes`, or there
            is no room for it.
        ExchangeBroken
            The connection is lost.
        """
        self._begin_body(head)
        try:
            while (piece := await self._receive_piece()) is not None:
                if len(self._content) + len(piece) > max_bytes:
                    raise too_large(max_bytes)
                self._content += piece
                self.received.grow(len(piece))
                self._raise_if_ended()
            # It may have been ended while another task ran after the last piece.
            self._raise_if_ended()
            self.received.complete(len(self._content), self._buffered_bytes)
            return bytes(self._content)
        finally:
            self._is_reading_body = False
            self._content.clear()

    async def receive_pipelined(self) -> bool:
        """Keep what follows an open request; return whether the caller disconnects.

        False means that the rest is left unread until the request has ended.

        Raises
        ------
        ExchangeBroken
            The connection is lost.
        """
        while True:
            await _read_wait(self.sock._fileno)
            is_full = self._pipelined_bytes > MAX_PIPELINED_BYTES
            if (is_full or self._account.leaves_pipelined) and self._has_unread_bytes():
                return False
            data = await self.receive(PIPELINED_BLOCK_BYTES)
            if not data:
                return True
            # h11 buffers a pipelined request until the next cycle.
            self.conn.receive_data(data)
            self._pipelined_bytes += len(data)
            self.received.grow(len(data))

    def _begin_body(self, head: h11.Request) -> None:
        self._head = head
        self._has_piece = False
        self._is_reading_body = True
        is_chunked = (b"transfer-encoding", b"chunked") in head.headers
        self._body = ChunkedBody() if is_chunked else None
        self._unparsed = self.conn.trailing_data[0] if is_chunked else b""

    def _end(self, cause: Shortage) -> bool:
        """End the connection to make room; return whether it closes at once."""
        self._content.clear()
        raw = self.sock._socket
        is_asked = self._is_reading_body and not self.is_refused
        closes = cause is Shortage.DESCRIPTORS or not is_asked
        with suppress(OSError):
            if is_asked:
                self.is_refused = True
                raw.send(_no_room_response())
            # Without a shortage of descriptors the task that reads the body drops
            # what still arrives: a reset could overtake the refusal.
            raw.shutdown(_socket.SHUT_RDWR if closes else _socket.SHUT_WR)
        if not self._is_reading_body:
            self.conn = _new_connection()
        return closes

    def begin_request(self, head: h11.Request, length: int) -> None:
        """Begin a request whose head has been read and announces `length` bytes.

        Raises
        ------
        NoRoom
            There can be no room for its body.
        """
        self._is_reading_body = True
        self.received.begin_request(len(head.headers), self._buffered_bytes)
        if not self._account.can_hold(length):
            self.received.is_ended = True
            self._end(Shortage.MEMORY)
        self._raise_if_ended()

    def _raise_if_ended(self) -> None:
        if self.received.is_ended:
            raise NoRoom(detail="other requests hold the memory for requests")

    async def _receive_piece(self) -> bytes | None:
        """Return the next piece of the body, which may be empty; None at its end."""
        if self._has_piece:
            # A read of bytes that have arrived does not switch to another task.
            await curio.sleep(0)
        self._has_piece = True
        if self._body is not None:
            return await self._receive_block(self._body)
        event = await next_event(self.sock, self.conn, self._counter)
        self._raise_if_ended()
        match event:
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

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes wait in the socket, rather than an end or an error."""
        try:
            return bool(
                self.sock._socket.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
            )
        except OSError:
            return False

    async def _receive_block(self, body: ChunkedBody) -> bytes | None:
        if body.complete:
            self._end_chunked_body(body.rest)
            return None
        block = self._unparsed[:CHUNKED_BLOCK_BYTES]
        self._unparsed = self._unparsed[CHUNKED_BLOCK_BYTES:]
        if not block:
            await self._send_continue()
            block = await self.receive(CHUNKED_BLOCK_BYTES)
        self._raise_if_ended()
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
        self.conn = _new_connection()
        self.conn.receive_data(b"\r\n".join((*lines, b"", b"")) + rest + self._unparsed)
        while not isinstance(self.conn.next_event(), h11.EndOfMessage):
            pass


def _no_room_response() -> bytes:
    body = b'{"outcome":"not_run","reason":"no_room","status":503,"title":"no room"}'
    lines = [
        b"HTTP/1.1 503 ",
        b"content-type: application/problem+json",
        b"content-length: %d" % len(body),
        b"retry-after: %g" % retry_delay(RETRY_SECONDS, _random),
        b"connection: close",
    ]
    return b"\r\n".join((*lines, b"", body))


def too_large(max_bytes: int) -> BadRequest:
    """Return the error of a body that exceeds the limit."""
    return BadRequest(
        status=413, reason="body_too_large", detail=f"at most {max_bytes} bytes"
    )


def _cut_off() -> BadRequest:
    return BadRequest(status=400, reason="body_cut_off", detail="the body ended early")


def _new_connection() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_BUFFERED_HEAD_BYTES)
