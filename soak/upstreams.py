"""Upstreams that record what they run, with faults of their own."""

import socket as _socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from time import monotonic, time
from zlib import crc32

import curio
import h11

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.http_events import join_headers, next_event
from ragwortkeel.ingress.names import HeaderNames
from soak.history import History, Run

HOST = "127.0.0.1"
NAMES = HeaderNames()
PROOF = "p1"
REPORT_PATH = "/report"
"""Where upstreams state their start."""
ZONES = ("zone-a", "zone-b", "zone-c")
BAD_BLOCK_PREFIX = "bad-"
COMMON_BLOCK = "common"
"""First block of all prompts, sound or not."""
STREAM_EVENTS = 8
LONG_EVENTS = 98
LONG_PATHS = (b"/long/", b"/scarce/")
EVENT_SECONDS = 0.05
SLOTS = 16
WORK_SECONDS = 0.02
FAILED_SHARE = 0.01
"""Share of requests whose connection is reset after they began to run."""
HUNDRED = 100
CUT_DRAFT_SHARE = 0.15
"""Share of drafts whose connection is reset between two events."""


def zone_of(number: int) -> str:
    """Return the availability zone of a process or an upstream."""
    return ZONES[number % len(ZONES)]


def own_body(request_id: str) -> bytes:
    """Return the body of the answer to a request that is no stream."""
    return f"answer to {request_id}".encode()


class RecordingUpstream:
    """A server that runs requests of one service.

    Attributes
    ----------
    version : str
        Version of its software, which its events name.
    leaving : bool
        Whether its answers announce that it leaves.
    slots : int
        Requests that it runs at once, by its entry.
    unframed : float
        Share of streams that end with their connection, without a length or chunks.
    removed : bool
        Whether it leaves without a word, so that it writes no entry any more.
    on_bad_block : callable
        Called with the block and the request id when a request has a block that crashes
        engines; restarts this one.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        service: str,
        version: str,
        history: History,
        seed: int,
        slots: int = SLOTS,
        unframed: float = 0.0,
        on_bad_block: Callable[["RecordingUpstream", str, str], Awaitable[None]],
    ) -> None:
        self._on_bad_block = on_bad_block
        self.name = name
        self.zone = zone
        self.service = service
        self.version = version
        self.leaving = False
        self.removed = False
        self.started_ms = int(time() * 1000)
        self.slots = slots
        self.unframed = unframed
        self._history = history
        self._random = Random(f"{name} {seed}")
        self._crashed = False
        self._silent_until = 0.0
        self._task_by_sock: dict[object, curio.Task] = {}
        self._running_by_sock: dict[object, str] = {}

    async def start(self) -> None:
        """Listen at a free port."""
        self._sock = curio.network.tcp_server_socket(HOST, 0)
        self.port = self._sock.getsockname()[1]
        self._task = await curio.spawn(
            curio.network.run_server, self._sock, self._serve, daemon=True
        )

    async def stop(self) -> None:
        """Stop accepting connections, and reset the open ones."""
        await self._task.cancel()
        await self._reset_all()

    async def go_down(self) -> None:
        """Reset all connections, with nothing at the port from then on."""
        # Cancelling the server ends the tasks of its connections.
        self._record_cut_requests()
        if self.unframed:
            # An orderly end would look like that of a whole stream.
            for sock in self._task_by_sock:
                _reset_on_close(sock)
        await self._task.cancel()
        await self._sock.close()
        await self._reset_all()

    async def crash(self, seconds: float) -> None:
        """Reset all connections, and each new one for some seconds."""
        self._crashed = True
        await self._reset_all()
        await curio.sleep(seconds)
        self._crashed = False

    def pause(self, seconds: float) -> None:
        """Send nothing for some seconds, on open and new connections."""
        self._silent_until = max(self._silent_until, monotonic() + seconds)

    async def _wait_for_pause(self) -> None:
        while (left := self._silent_until - monotonic()) > 0:
            await curio.sleep(left)

    async def restart(self, seconds: float, *, version: str) -> None:
        """Go down, with nothing at the port, and come back at another version."""
        await self.go_down()
        await curio.sleep(seconds)
        self.version = version
        self.started_ms = int(time() * 1000)
        self._sock = curio.network.tcp_server_socket(HOST, self.port)
        self._task = await curio.spawn(
            curio.network.run_server, self._sock, self._serve, daemon=True
        )

    def _record_cut_requests(self) -> None:
        self._history.cut_requests |= set(self._running_by_sock.values())

    async def _reset_all(self) -> None:
        self._record_cut_requests()
        for sock, task in list(self._task_by_sock.items()):
            _reset_on_close(sock)
            await task.cancel()

    async def _serve(self, sock, _address) -> None:
        if self._crashed:
            _reset_on_close(sock)
            return
        self._task_by_sock[sock] = await curio.current_task()
        try:
            while await self._serve_request(sock):
                pass
        except (OSError, ExchangeBroken):
            pass  # The ingress closed the connection, or this upstream crashed.
        finally:
            del self._task_by_sock[sock]
            self._running_by_sock.pop(sock, None)

    async def _serve_request(self, sock) -> bool:
        conn = h11.Connection(h11.SERVER)
        try:
            head = await next_event(sock, conn)
            if not isinstance(head, h11.Request):
                return False
            while isinstance(await next_event(sock, conn), h11.Data):
                pass
        except h11.RemoteProtocolError:
            return False
        if head.target.decode() == REPORT_PATH:
            await self._report(sock, conn)
            return True
        return await self._serve_run(sock, conn, head)

    async def _serve_run(self, sock, conn: h11.Connection, head: h11.Request) -> bool:
        """Run a request; return whether the connection is open."""
        headers = join_headers(head.headers)
        request_id = headers[NAMES.request_id]
        fields = [(NAMES.request_id, request_id)]
        if self.leaving:
            fields.append((NAMES.leaving, "1"))
        if headers.get(NAMES.expect_instance) != self.name:
            fields += [(NAMES.not_run, "1"), ("content-length", "0")]
            await self._wait_for_pause()
            await sock.sendall(conn.send(_response(421, fields)))
            await sock.sendall(conn.send(h11.EndOfMessage()))
            return True
        bad_block = _bad_block(headers)
        if bad_block:
            await self._on_bad_block(self, bad_block, request_id)
            _reset_on_close(sock)
            return False
        fails = self._random.random() < FAILED_SHARE
        run = Run(
            request_id=request_id,
            upstream=self.name,
            at=monotonic(),
            broken_by_upstream=fails,
        )
        self._history.runs.append(run)
        if fails:
            _reset_on_close(sock)
            return False
        fields.append((NAMES.proof, PROOF))
        self._running_by_sock[sock] = request_id
        if head.target.startswith((b"/chat/", *LONG_PATHS)):
            is_long = head.target.startswith(LONG_PATHS)
            is_open = await self._stream_whole(
                sock, conn, fields, request_id, is_long=is_long
            )
            self._running_by_sock.pop(sock, None)
            return is_open
        if head.target.startswith(b"/draft/"):
            return await self._serve_draft(sock, conn, headers, fields)
        await curio.sleep(WORK_SECONDS)
        await self._wait_for_pause()
        body = own_body(request_id)
        fields.append(("content-length", str(len(body))))
        data = conn.send(_response(200, fields)) + conn.send(h11.Data(data=body))
        await sock.sendall(data + conn.send(h11.EndOfMessage()))
        del self._running_by_sock[sock]
        return True

    async def _stream_whole(
        self,
        sock,
        conn: h11.Connection,
        fields: list,
        request_id: str,
        *,
        is_long: bool,
    ) -> bool:
        """Send a stream; return whether the connection is open."""
        count = LONG_EVENTS if is_long else STREAM_EVENTS
        try:
            return await self._stream(
                sock, conn, fields, f"{request_id}-", after=0, count=count
            )
        finally:
            self._history.run_ended_at_by_id[request_id] = monotonic()

    async def _report(self, sock, conn: h11.Connection) -> None:
        """State which start of the upstream this is."""
        await self._wait_for_pause()
        body = b'{"born":%d}' % self.started_ms
        fields = [("content-length", str(len(body)))]
        data = conn.send(_response(200, fields)) + conn.send(h11.Data(data=body))
        await sock.sendall(data + conn.send(h11.EndOfMessage()))

    async def _serve_draft(
        self, sock, conn: h11.Connection, headers: dict[str, str], fields: list
    ) -> bool:
        """Send a draft whole or up to a cut; return whether the connection is open."""
        after = int(headers.get(NAMES.last_event, 0))
        cut_at = None
        if self._random.random() < CUT_DRAFT_SHARE:
            cut_at = self._random.randint(after + 1, STREAM_EVENTS)
            self._history.cut_requests.add(headers[NAMES.request_id])
        is_open = await self._stream(
            sock, conn, fields, f"{self.version} ", after=after, cut_at=cut_at
        )
        self._running_by_sock.pop(sock, None)
        return is_open

    async def _stream(
        self,
        sock,
        conn: h11.Connection,
        fields: list,
        prefix: str,
        *,
        after: int,
        cut_at: int | None = None,
        count: int = STREAM_EVENTS,
    ) -> bool:
        """Send events up to a cut or the end; return whether the connection is open."""
        fields.append(("content-type", "text/event-stream"))
        is_unframed = self._is_unframed(dict(fields)[NAMES.request_id])
        if is_unframed:
            head = _unframed_head(fields)
        else:
            fields.append(("transfer-encoding", "chunked"))
            head = conn.send(_response(200, fields))
        await self._wait_for_pause()
        await sock.sendall(head)
        due_at = monotonic()
        for number in range(after + 1, count + 1):
            # Late wakes don't add up, so that a long stream has a known length.
            due_at = max(due_at + EVENT_SECONDS, monotonic())
            await curio.sleep(max(0.0, due_at - monotonic()))
            if number == cut_at:
                _reset_on_close(sock)
                return False
            await self._wait_for_pause()
            event = f"id: {number}\ndata: {prefix}{number}\n\n".encode()
            if not is_unframed:
                event = conn.send(h11.Data(data=event))
            await sock.sendall(event)
        if is_unframed:
            return False
        await sock.sendall(conn.send(h11.EndOfMessage()))
        return True

    def _is_unframed(self, request_id: str) -> bool:
        return crc32(request_id.encode()) % HUNDRED < self.unframed * HUNDRED


def _unframed_head(fields: list) -> bytes:
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join((*lines, "connection: close", "", "")).encode()


def _bad_block(headers: dict[str, str]) -> str:
    """Return the block of a prompt that crashes engines; empty if there is none."""
    blocks = headers.get(NAMES.parts, "").split(",")
    ids = [block.partition(":")[0] for block in blocks]
    return next((each for each in ids if each.startswith(BAD_BLOCK_PREFIX)), "")


def stream_events(request_id: str, *, count: int = STREAM_EVENTS) -> bytes:
    """Return the whole body of the stream for a request."""
    return b"".join(
        f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
        for number in range(1, count + 1)
    )


def draft_events(body: bytes) -> tuple[tuple[int, str], ...]:
    """Return the ids and versions of the complete events of a draft."""
    events = []
    for event in body.split(b"\n\n")[:-1]:
        id_line, data_line = event.decode().split("\n")
        version = data_line.removeprefix("data: ").split(" ")[0]
        events.append((int(id_line.removeprefix("id: ")), version))
    return tuple(events)


def _response(status: int, fields: list) -> h11.Response:
    return h11.Response(status_code=status, headers=fields)


def _reset_on_close(sock) -> None:
    """Let the connection end with a TCP reset when its task closes it."""
    with suppress(OSError):
        sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
