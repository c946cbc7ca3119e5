"""One HTTP exchange as a handler sees it: the request, and a way to answer."""

import socket as _socket
from contextlib import suppress
from dataclasses import dataclass

import curio
import h11

from ragwortkeel.exceptions import ExchangeBroken


@dataclass(frozen=True, kw_only=True)
class Request:
    """One whole request as a handler sees it.

    Attributes
    ----------
    headers : dict of str to str
        By name in lower case; a repeated one is joined.
    target : str
        Path and query as they came.
    fields : tuple of pairs of str
        The headers as they came, in order.
    arrived_at : float
        Monotonic second at which its head was there.
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
    """What a handler answers through; it owns the connection meanwhile.

    Attributes
    ----------
    gone : curio.Event
        Set once the peer has closed its side: nobody waits for the answer.
    started : bool
        Whether the head of the answer was sent.
    bodiless : bool
        Whether the request was a HEAD, whose answer has no body.
    closing : bool
        Whether the answer tells the peer that no other request may follow.
    """

    def __init__(self, *, sock, conn: h11.Connection) -> None:
        self._sock = sock
        self._conn = conn
        self.bodiless = False
        self.disconnected = curio.Event()
        self.started = False
        self.closing = False

    def peer_disconnected(self) -> bool:
        """Whether the peer has closed its side, read or not yet read here.

        The task that watches the peer runs only when the loop comes to it: a process
        that is late with its sockets would work on for a peer that is gone.
        """
        if self.disconnected.is_set():
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
        """Send a whole response; a list of headers may name one several times."""
        fields: dict[str, str] | list[tuple[str, str]]
        if isinstance(headers, list):
            fields = [("content-length", str(len(body))), *headers]
        else:
            fields = {"content-length": str(len(body))} | (headers or {})
        events = [self._head(status, fields)]
        if body and not self.bodiless:
            events.append(h11.Data(data=body))
        await self._write(*events, h11.EndOfMessage())

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; without a length the body is chunked."""
        await self._write(self._head(status, headers))

    async def start_with(
        self, status: int, headers: list[tuple[str, str]], data: bytes
    ) -> None:
        """Send status, headers and the first piece of the body in one write."""
        events = [self._head(status, headers)]
        if data and not self.bodiless:
            events.append(h11.Data(data=data))
        await self._write(*events)

    async def send(self, data: bytes) -> None:
        """Send a piece of the body; nothing in answer to a HEAD request."""
        if data and not self.bodiless:
            await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the end of the body, which tells the peer it has it whole."""
        await self._write(h11.EndOfMessage())

    async def abort(self) -> None:
        """Close without the end marker, so that the peer sees a broken body."""
        self._conn.send_failed()
        # Closing here would free the descriptor while the task that watches the
        # peer waits on it: the next connection gets the same number, and curio
        # wakes the wrong task or none.  Shut down, the watcher ends by itself and
        # the connection's own task closes.
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
            try:
                await self._sock.sendall(data)
            except OSError as exc:
                await self.disconnected.set()
                raise ExchangeBroken(str(exc)) from exc
