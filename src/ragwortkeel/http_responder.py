"""The request and the responder that an HTTP handler receives."""

import socket as _socket
from collections.abc import Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import curio
import h11

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.http_events import READ_CHUNK_BYTES
from ragwortkeel.send_buffer import HeldBytes, SendBuffer
from ragwortkeel.usage_counters import ByteCounter

ABORT_DRAIN_SECONDS = 0.3
"""How long an aborted response may still be sent; its request ends within 0.5 s."""

_CHUNKED = b"\r\ntransfer-encoding: chunked\r\n"
_LENGTH = b"\r\ncontent-length: "


@dataclass(frozen=True, kw_only=True)
class Request:
    """A complete request.

    Attributes
    ----------
    headers : dict of str to str
        Values by lower-case name; values of a repeated header are joined.
    target : str
        Path and query as received.
    fields : tuple of pairs of str
        The headers as received, in order.
    arrived_at : float
        Monotonic seconds at which its head was received.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""
    fields: tuple[tuple[str, str], ...] = ()
    arrived_at: float = 0.0


class Responder:
    """Sends the response of a handler, and owns the connection until then.

    Attributes
    ----------
    disconnected : curio.Event
        Set when the peer has closed its side and no longer waits for the response.
    started : bool
        Whether sending the head of the response began.
    bodiless : bool
        Whether the request is a HEAD request, whose response has no body.
    closing : callable returning bool
        Whether the response asks the peer to close the connection; called when the
        head of the response is sent.
    ended : bool
        Whether `end` or `end_unanswered` has ended the exchange.
    aborted : bool
        Whether `abort` has ended the response.
    """

    def __init__(
        self,
        *,
        sock,
        conn: h11.Connection,
        counter: ByteCounter | None = None,
        held: HeldBytes | None = None,
        stall_seconds: float | None = None,
    ) -> None:
        self._sock = sock
        self._conn = conn
        self.bodiless = False
        self.disconnected = curio.Event()
        self.started = False
        self.closing: Callable[[], bool] = lambda: False
        self.ended = False
        self.aborted = False
        self._is_complete = False
        self._chunked = False
        self._held = held or HeldBytes()
        self._stall_seconds = stall_seconds
        self._buffer = SendBuffer(
            sock=sock, held=self._held, peer="caller", counter=counter
        )

    @property
    def is_answered(self) -> bool:
        """Whether the socket has accepted a complete response."""
        return self._is_complete and not self._buffer.held_bytes

    def peer_disconnected(self) -> bool:
        """Return whether the peer has closed its side, checking the socket.

        A busy process may be late in running the task that detects a disconnect;
        without this check it would continue to work for a disconnected peer.
        """
        if self.ended or self.disconnected.is_set():
            return True
        try:
            peeked = self._sock._socket.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not peeked

    async def respond(
        self,
        status: int,
        body: bytes,
        headers: dict[str, str] | list[tuple[str, str]] | None = None,
    ) -> None:
        """Send a complete response; a list of headers may repeat a name."""
        fields: dict[str, str] | list[tuple[str, str]]
        if isinstance(headers, list):
            fields = [("content-length", str(len(body))), *headers]
        else:
            fields = {"content-length": str(len(body))} | (headers or {})
        data = self._head(status, fields) + self._encode(body)
        await self._write(data + self._conn.send(h11.EndOfMessage()), last=True)
        await self.drain()

    async def refuse(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Send a complete response and have the connection closed.

        It takes less processor time than `respond`, because the response passes no
        checks: status and headers must be valid as they are.
        """
        self._raise_if_ended()
        await self._write(self._unchecked(status, body, headers), last=True)
        await self.drain()

    def end(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        """End the exchange from another task, without waiting for its own.

        A response that has not started is sent, as far as the socket takes it at once;
        one that has started is cut off.  Whatever the exchange sends later fails.
        """
        last = b"" if self.started else self._unchecked(status, body, headers)
        self._end(last)

    def end_unanswered(self) -> None:
        """End the exchange of a peer that has left, without a response."""
        self._end(b"")

    def _end(self, last: bytes) -> None:
        self.ended = True
        # The task that detects disconnects sees the shutdown and cancels the handler.
        self._buffer.end("the exchange has been ended", last=last)

    def _unchecked(self, status: int, body: bytes, headers: dict[str, str]) -> bytes:
        self.started = True
        fields = {"content-length": str(len(body))} | headers | {"connection": "close"}
        lines = [f"HTTP/1.1 {status} \r\n"]
        lines += [f"{name}: {value}\r\n" for name, value in fields.items()]
        head = "".join((*lines, "\r\n")).encode("latin-1")
        return head if self.bodiless else head + body

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; without content-length the body is chunked."""
        await self._write(self._head(status, headers))
        await self.drain()

    async def start_with(
        self,
        status: int,
        headers: list[tuple[str, str]],
        data: bytes,
        *,
        last: bool = False,
    ) -> None:
        """Send status, headers and the first chunk of the body in one write.

        Never waits for the peer.  With `last` the end marker follows the chunk.
        """
        head = self._head(status, headers)
        await self._write(head + self._body(data, last), last=last)

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body, or nothing for a HEAD request."""
        await self.send_ready(data)
        await self.drain()

    async def send_ready(self, data: bytes, *, last: bool = False) -> None:
        """Send a chunk of the body, and hold what the socket does not accept.

        Never waits for the peer.  With `last` the end marker follows the chunk.
        """
        await self._write(self._body(data, last), last=last)

    async def finish(self) -> None:
        """Send the end marker, by which the peer sees that the body is complete."""
        self._raise_if_ended()
        await self._write(self._conn.send(h11.EndOfMessage()), last=True)
        await self.drain()

    async def wait_for_room(self, next_bytes: int = READ_CHUNK_BYTES) -> None:
        """Wait until the bytes held for the peer are within their bound.

        Parameters
        ----------
        next_bytes : int
            Most bytes that are about to be sent, for which there has to be room.

        Raises
        ------
        ExchangeBroken
            The connection is lost.
        """
        if self._buffer.held_bytes:
            bound = self._held.max_connection_bytes - next_bytes
            async with self._noting_loss():
                await self._buffer.wait_for_room(max(0, bound))

    async def drain(self) -> None:
        """Wait until the socket has accepted all bytes.

        Raises
        ------
        ExchangeBroken
            The connection is lost.
        """
        if self._buffer.held_bytes:
            async with self._noting_loss():
                await self._buffer.drain(self._stall_seconds)

    async def close_buffer(self) -> None:
        """Drop bytes that are still held; needed before the socket is closed."""
        await self._buffer.close()

    async def abort(self, drain_seconds: float = ABORT_DRAIN_SECONDS) -> None:
        """Close without the end marker, so that the peer sees a truncated body.

        What is held for the peer is sent first, for at most `drain_seconds`.
        """
        self.aborted = True
        self._conn.send_failed()
        if self._buffer.held_bytes:
            with suppress(ExchangeBroken):
                async with curio.ignore_after(drain_seconds):
                    await self._buffer.wait_for_room()
        await self._buffer.close()
        # Closing the socket would free its descriptor while the task that detects
        # disconnects waits on it: the next connection gets the same number, and
        # curio wakes the wrong task or none.  After a shutdown that task ends by
        # itself, and the connection's own task closes the socket.
        self._buffer.end("the response has been aborted")

    def _head(
        self, status: int, headers: dict[str, str] | list[tuple[str, str]]
    ) -> bytes:
        self._raise_if_ended()
        pairs = list(headers.items() if isinstance(headers, dict) else headers)
        if self.closing():
            pairs.append(("connection", "close"))
        fields = [(k.encode(), v.encode("latin-1")) for k, v in pairs]
        data = self._conn.send(h11.Response(status_code=status, headers=fields))
        # Only now, since h11 refuses a malformed head.
        self.started = True
        lower = data.lower()
        self._chunked = _CHUNKED in lower
        is_framed = self._chunked or _LENGTH in lower
        self._buffer.must_reset = not (is_framed or self.bodiless)
        return data

    def _body(self, data: bytes, last: bool) -> bytes:
        self._raise_if_ended()
        encoded = self._encode(data)
        return encoded + self._conn.send(h11.EndOfMessage()) if last else encoded

    def _encode(self, data: bytes) -> bytes:
        if not data or self.bodiless:
            return b""
        if self._chunked:
            # What h11 would send; its own call costs more than the write.
            return b"%x\r\n%b\r\n" % (len(data), data)
        return self._conn.send(h11.Data(data=data))

    async def _write(self, data: bytes, *, last: bool = False) -> None:
        if data:
            try:
                await self._buffer.write(data)
            except ExchangeBroken:
                await self.disconnected.set()
                raise
        self._is_complete = self._is_complete or last

    def _raise_if_ended(self) -> None:
        # Before h11, which has not seen the response of `end` and would report a fault.
        if self.ended:
            raise ExchangeBroken("the exchange has been ended")

    @asynccontextmanager
    async def _noting_loss(self):
        try:
            yield
        except ExchangeBroken:
            self._is_complete = False
            await self.disconnected.set()
            raise
