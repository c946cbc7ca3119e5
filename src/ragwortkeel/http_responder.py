"""The request and the responder that an HTTP handler receives."""

import socket as _socket
from contextlib import suppress
from dataclasses import dataclass

import curio
import h11

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.usage_counters import ByteCounter


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
    closing : bool
        Whether the response asks the peer to close the connection.
    ended : bool
        Whether `end` has ended the exchange.
    """

    def __init__(
        self, *, sock, conn: h11.Connection, counter: ByteCounter | None = None
    ) -> None:
        self._sock = sock
        self._conn = conn
        self._counter = counter or ByteCounter()
        self.bodiless = False
        self.disconnected = curio.Event()
        self.started = False
        self.closing = False
        self.ended = False

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
        events = [self._head(status, fields)]
        if body and not self.bodiless:
            events.append(h11.Data(data=body))
        await self._write(*events, h11.EndOfMessage())

    async def refuse(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Send a complete response and have the connection closed.

        It takes less processor time than `respond`, because the response passes no
        checks: status and headers must be valid as they are.
        """
        await self._send(self._unchecked(status, body, headers))

    def end(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        """End the exchange from another task, without waiting for its own.

        A response that has not started is sent, as far as the socket takes it at once;
        one that has started is cut off.  Whatever the exchange sends later fails.
        """
        started, self.ended = self.started, True
        with suppress(OSError):
            if not started:
                self._sock._socket.send(self._unchecked(status, body, headers))
            # The task that detects disconnects sees this and cancels the handler.
            self._sock._socket.shutdown(_socket.SHUT_RDWR)

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

    async def start_with(
        self, status: int, headers: list[tuple[str, str]], data: bytes
    ) -> None:
        """Send status, headers and the first chunk of the body in one write."""
        events = [self._head(status, headers)]
        if data and not self.bodiless:
            events.append(h11.Data(data=data))
        await self._write(*events)

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body, or nothing for a HEAD request."""
        if data and not self.bodiless:
            await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end marker, by which the peer sees that the body is complete."""
        await self._write(h11.EndOfMessage())

    async def abort(self) -> None:
        """Close without the end marker, so that the peer sees a truncated body."""
        self._conn.send_failed()
        # Closing the socket would free its descriptor while the task that detects
        # disconnects waits on it: the next connection gets the same number, and
        # curio wakes the wrong task or none.  After a shutdown that task ends by
        # itself, and the connection's own task closes the socket.
        with suppress(OSError):
            await self._sock.shutdown(_socket.SHUT_RDWR)

    def _head(
        self, status: int, headers: dict[str, str] | list[tuple[str, str]]
    ) -> h11.Response:
        self.started = True
        pairs = list(headers.items() if isinstance(headers, dict) else headers)
        if self.closing:
            pairs.append(("connection", "close"))
        fields = [(k.encode(), v.encode("latin-1")) for k, v in pairs]
        return h11.Response(status_code=status, headers=fields)

    async def _write(self, *events) -> None:
        data = b"".join([self._conn.send(event) for event in events])
        if data:
            await self._send(data)

    async def _send(self, data: bytes) -> None:
        if self.ended:
            raise ExchangeBroken("the exchange has been ended")
        try:
            self._counter.record_sent(len(data))
            await self._sock.sendall(data)
        except OSError as exc:
            await self.disconnected.set()
            raise ExchangeBroken(str(exc)) from exc
