"""One connection to an upstream: a request out, its own answer back.

Failures it guards against:

- An answer to an earlier request comes late, where the next one is due.  The
  echoed request id tells it, and it is skipped.
- Bytes follow a whole answer.  They belong to no request, so the connection is
  not used again.
- The upstream closes a kept connection while a request is on its way to it:
  nobody knows whether it ran.  So a request that must not repeat only takes a
  connection that was used a moment ago.
"""

import socket as _socket
from dataclasses import dataclass
from time import monotonic

import curio
import h11

from ragwortkeel.exceptions import ConnectFailed, ConnectRefused, ExchangeBroken
from ragwortkeel.http_events import next_event
from ragwortkeel.ingress.configuration import Upstream

CONNECT_SECONDS = 0.4
"""Over a hundred round trips inside a region; a lost opening packet alone is sent
again after a second, and by then another upstream has answered."""

UNACKNOWLEDGED_MILLISECONDS = 2000
"""Sent bytes that nobody acknowledged for so long: the path is gone."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_PROBES = 3
"""A silent path to a working upstream shows after idle time plus the probes,
one a second: well before callers give a stream up."""

KEEP_ALIVE_SECONDS = 4.0
"""Idle time where the upstream names no other: under the shortest that servers
commonly use, 5 s."""

KEEP_ALIVE_MARGIN_SECONDS = 0.8
"""Off what the upstream names: it states whole seconds and counts its own."""

FRESH_SECONDS = 1.0
"""Idle time after which a connection may be about to close: the shortest
time-out that can be named is a whole second."""

MAX_IDLE = 24
"""Kept for each upstream; more than its share of most services' slots."""


@dataclass(frozen=True, kw_only=True)
class Head:
    """The head of an upstream's answer, names in lower case."""

    status: int
    fields: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """Return a header's value; empty where there is none."""
        for key, value in self.fields:
            if key == name:
                return value
        return ""


@dataclass(frozen=True, kw_only=True)
class Outgoing:
    """A request as it goes to an upstream."""

    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes


class UpstreamConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    id_header : str
        Header in which upstreams echo the id of a request.
    """

    def __init__(self, *, sock, id_header: str) -> None:
        self._sock = sock
        self._id_header = id_header
        self._conn = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._idle_seconds = KEEP_ALIVE_SECONDS
        self._used_at = monotonic()
        self._framed = True

    @classmethod
    async def open(cls, upstream: Upstream, *, id_header: str) -> "UpstreamConnection":
        """Connect; `ConnectFailed` where the request surely was not sent."""
        sock = curio.socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
        connected = False
        try:
            _set_options(sock)
            async with curio.timeout_after(CONNECT_SECONDS):
                await sock.connect((upstream.host, upstream.port))
            connected = True
        except ConnectionRefusedError as exc:
            raise ConnectRefused(f"{upstream.name}: {exc!r}") from exc
        except (OSError, curio.TaskTimeout) as exc:
            raise ConnectFailed(f"{upstream.name}: {exc!r}") from exc
        finally:
            if not connected:
                await sock.close()
        return cls(sock=sock, id_header=id_header)

    @property
    def idle_for(self) -> float:
        """Seconds since the last use."""
        return monotonic() - self._used_at

    @property
    def reusable(self) -> bool:
        """Whether the answer is whole and another request may follow."""
        done = self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        return done and not self._conn.trailing_data[0] and self._framed

    @property
    def expired(self) -> bool:
        """Whether the upstream may be closing it by now."""
        return self.idle_for > self._idle_seconds

    def is_silent(self) -> bool:
        """Whether nothing, no byte and no end, came while it was idle."""
        try:
            self._sock._socket.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send(self, outgoing: Outgoing) -> None:
        """Send the whole request."""
        if self._request is not None:
            self._conn.start_next_cycle()
        self._request = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=[
                *outgoing.fields,
                ("content-length", str(len(outgoing.body))),
            ],
        )
        data = self._conn.send(self._request)
        if outgoing.body:
            data += self._conn.send(h11.Data(data=outgoing.body))
        data += self._conn.send(h11.EndOfMessage())
        try:
            await self._sock.sendall(data)
        except OSError as exc:
            raise ExchangeBroken(str(exc)) from exc

    async def head(self, request_id: str) -> Head:
        """Return the head of this request's answer, skipping those of others."""
        while True:
            event = await next_event(self._sock, self._conn)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeBroken("closed without an answer")
            head = _head(event)
            echoed = head.get(self._id_header)
            if echoed == request_id:
                self._note(head)
                return head
            if not echoed:
                raise ExchangeBroken("an answer without the id of its request")
            await self._skip()

    async def piece(self) -> bytes | None:
        """Return the next bytes of the body; None at its end."""
        match await next_event(self._sock, self._conn):
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                self._used_at = monotonic()
                return None
            case _:
                raise ExchangeBroken("the answer broke off")

    async def close(self) -> None:
        """Close at once: an upstream drops the work of a closed connection."""
        await self._sock.close()

    async def _skip(self) -> None:
        """Read past another request's answer and wait for the own one again."""
        while await self.piece() is not None:
            pass
        rest, _ = self._conn.trailing_data
        # h11 takes one answer a request, so the request is told to it again.
        self._conn = h11.Connection(h11.CLIENT)
        self._conn.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        self._conn.send(h11.EndOfMessage())
        self._conn.receive_data(rest)

    def _note(self, head: Head) -> None:
        self._framed = bool(head.get("content-length") or head.get("transfer-encoding"))
        for item in head.get("keep-alive").split(","):
            name, _, value = item.strip().partition("=")
            if name == "timeout" and value.isdecimal():
                self._idle_seconds = max(0.0, int(value) - KEEP_ALIVE_MARGIN_SECONDS)


class UpstreamConnections:
    """Kept connections by upstream instance."""

    def __init__(self, *, id_header: str) -> None:
        self._id_header = id_header
        self._idle_by_upstream: dict[tuple[str, int], list[UpstreamConnection]] = {}

    async def take(self, upstream: Upstream, *, fresh: bool) -> UpstreamConnection:
        """Return a connection; with `fresh`, one that can't be about to close.

        Raises
        ------
        ConnectFailed
            There is none and none could be made.
        """
        idle = self._idle_by_upstream.get((upstream.name, upstream.started_ms), [])
        while idle:
            connection = idle.pop()
            stale = fresh and connection.idle_for > FRESH_SECONDS
            if not connection.expired and not stale and connection.is_silent():
                return connection
            await connection.close()
        return await UpstreamConnection.open(upstream, id_header=self._id_header)

    async def give_back(self, upstream: Upstream, connection: UpstreamConnection):
        """Keep a connection whose answer is whole; close any other."""
        idle = self._idle_by_upstream.setdefault(
            (upstream.name, upstream.started_ms), []
        )
        if connection.reusable and len(idle) < MAX_IDLE:
            idle.append(connection)
            return
        await connection.close()

    async def is_down(self, upstream: Upstream) -> bool:
        """Whether the upstream refuses a connection."""
        try:
            connection = await UpstreamConnection.open(
                upstream, id_header=self._id_header
            )
        except ConnectRefused:
            return True
        except ConnectFailed:
            return False
        await connection.close()
        return False

    async def sweep(self) -> None:
        """Close what has been idle for too long."""
        for key, idle in list(self._idle_by_upstream.items()):
            expired = [one for one in idle if one.expired]
            idle[:] = [one for one in idle if not one.expired]
            for connection in expired:
                await connection.close()
            if not idle:
                self._idle_by_upstream.pop(key, None)


def _head(event: h11.Response) -> Head:
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    )
    return Head(status=event.status_code, fields=fields)


def _set_options(sock) -> None:
    raw = sock._socket
    raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
    raw.setsockopt(_socket.SOL_SOCKET, _socket.SO_KEEPALIVE, 1)
    raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPINTVL, 1)
    raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(
        _socket.IPPROTO_TCP,
        _socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_MILLISECONDS,
    )
