"""Bytes on their way to a peer that its socket has not accepted yet.

Failures it guards against: a peer that reads slowly must not delay reading from the
upstream, which cuts off an answer that stays unread; many such peers must not use up
the memory of the process; and a time limit that ends a wait must not lose or repeat
bytes.
"""

import socket as _socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import curio
from curio.traps import _write_wait

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.logs import CountedLine
from ragwortkeel.usage_counters import ByteCounter

MAX_CONNECTION_BYTES = 256 * 1024
"""Bytes held for one slow reader before reading on its behalf stops."""

MEMORY_FRACTION = 1 / 8
"""Part of the memory of a process that is held for all slow readers together."""

LINE_SECONDS = 1.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class HeldBytes:
    """The bytes that a process holds for slow readers, and their bounds.

    Parameters
    ----------
    memory_bytes : int or None
        Memory of the process; None for no bound, and a writer that then waits until
        its peer has accepted everything.
    on_ended : callable
        Called for each slow reader whose connection is ended.

    Attributes
    ----------
    total : int
        Bytes held at present.
    max_connection_bytes : int
        Bytes that may be held for one connection before its writer waits.
    """

    def __init__(
        self,
        *,
        memory_bytes: int | None = None,
        on_ended: Callable[[], None] = lambda: None,
    ) -> None:
        self.total = 0
        self.max_connection_bytes = MAX_CONNECTION_BYTES if memory_bytes else 0
        self._max_bytes = int(memory_bytes * MEMORY_FRACTION) if memory_bytes else None
        self._on_ended = on_ended
        self._line = CountedLine("slow_reader_ended", interval_seconds=LINE_SECONDS)
        self._holding: set[SendBuffer] = set()

    def record(self, buffer: "SendBuffer", difference: int) -> None:
        """Record that a buffer holds more or less; end readers beyond the bound."""
        self.total += difference
        if buffer.held_bytes:
            self._holding.add(buffer)
        else:
            self._holding.discard(buffer)
        while self._max_bytes is not None and self.total > self._max_bytes:
            self.end(max(self._holding, key=lambda held: held.held_bytes), "memory")

    def end(self, buffer: "SendBuffer", reason: str) -> None:
        """End the connection of a slow reader, so that its answer looks incomplete."""
        self._line.record(
            reason=reason,
            peer=buffer.peer,
            held=buffer.held_bytes,
            total=self.total,
            bound=self._max_bytes,
        )
        self._on_ended()
        buffer.end("ended as a slow reader")


class SendBuffer:
    """Sends bytes in order; a task exists only while the socket accepts no more.

    Parameters
    ----------
    sock : curio.io.Socket
        The peer's socket.
    held : HeldBytes
        Counts and bounds what all buffers of the process hold.
    peer : str
        What the peer is, for log lines.
    counter : ByteCounter or None
        Counts what the socket accepts.

    Attributes
    ----------
    held_bytes : int
        Bytes that the socket has not accepted yet.
    must_reset : bool
        Whether what is sent ends with the connection, so that it would look complete
        if `end` did not reset the connection.
    """

    def __init__(
        self, *, sock, held: HeldBytes, peer: str, counter: ByteCounter | None = None
    ) -> None:
        self.peer = peer
        self.must_reset = False
        self._counter = counter or ByteCounter()
        self.held_bytes = 0
        self._sock = sock
        self._held = held
        self._blocks: deque[memoryview] = deque()
        self._sender: curio.Task | None = None
        self._error = ""
        self._changed = curio.Event()

    async def write(self, data: bytes) -> None:
        """Send what the socket accepts and hold the rest; never waits.

        Raises
        ------
        ExchangeBroken
            The connection is lost, or was ended as that of a slow reader.
        """
        self._raise_if_lost()
        rest = memoryview(data)
        if not self._blocks:
            try:
                sent = self._sock._socket.send(data)
                self._counter.record_sent(sent)
                rest = rest[sent:]
            except BlockingIOError:
                pass
            except OSError as exc:
                raise ExchangeBroken(str(exc)) from exc
            if not rest:
                return
        self._blocks.append(rest)
        self._count(len(rest))
        self._raise_if_lost()
        if self._sender is None:
            self._sender = await curio.spawn(self._send_held, daemon=True)

    async def wait_for_room(self, max_held_bytes: int = 0) -> None:
        """Wait until at most `max_held_bytes` are held.

        Raises
        ------
        ExchangeBroken
            The connection is lost, or was ended as that of a slow reader.
        """
        while self.held_bytes > max_held_bytes and not self._error:
            self._changed.clear()
            await self._changed.wait()
        self._raise_if_lost()

    async def drain(self, stall_seconds: float | None = None) -> None:
        """Wait until nothing is held.

        Parameters
        ----------
        stall_seconds : float or None
            End the connection if the peer reads nothing for this time.

        Raises
        ------
        ExchangeBroken
            The connection is lost, or was ended as that of a slow reader.
        """
        while self.held_bytes and not self._error:
            held_before = self.held_bytes
            if stall_seconds is None:
                await self.wait_for_room()
                continue
            async with curio.ignore_after(stall_seconds):
                await self.wait_for_room()
            if self.held_bytes == held_before:
                self._held.end(self, "stalled")
        self._raise_if_lost()

    def end(self, error: str, *, last: bytes = b"") -> None:
        """Drop what is held and shut the connection down, without waiting.

        Parameters
        ----------
        error : str
            What those who wait or write later are told.
        last : bytes
            Sent before, as far as the socket accepts it at once, if nothing is held.
        """
        raw = self._sock._socket
        if last and not self._blocks and not self._error:
            with suppress(OSError):
                self._counter.record_sent(raw.send(last))
        self._error = self._error or error
        if self.must_reset or self._blocks:
            # Without it the system would go on to send what it holds itself.
            with suppress(OSError):
                raw.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, _RESET_ON_CLOSE)
        with suppress(OSError):
            # Wakes the tasks that wait for the socket; its owner closes it.  Shutting
            # down both sides would send an end before the reset.
            raw.shutdown(_socket.SHUT_RD if self.must_reset else _socket.SHUT_RDWR)
        self._drop()

    async def close(self) -> None:
        """Drop what is held; needed before the socket is closed."""
        if self._sender is not None:
            await self._sender.cancel()
        self._drop()

    async def _send_held(self) -> None:
        try:
            while self._blocks:
                await _write_wait(self._sock._fileno)
                # `end` may have been called before this task runs again.
                if self._error:
                    break
                block = self._blocks[0]
                try:
                    sent = self._sock._socket.send(block)
                except BlockingIOError:
                    continue
                self._counter.record_sent(sent)
                if sent < len(block):
                    self._blocks[0] = block[sent:]
                else:
                    self._blocks.popleft()
                self._count(-sent)
                await self._changed.set()
        except OSError as exc:
            self._error = self._error or str(exc)
        finally:
            self._sender = None
            await self._changed.set()

    def _count(self, difference: int) -> None:
        self.held_bytes += difference
        self._held.record(self, difference)

    def _drop(self) -> None:
        self._blocks.clear()
        if self.held_bytes:
            self._count(-self.held_bytes)

    def _raise_if_lost(self) -> None:
        if self._error:
            raise ExchangeBroken(self._error)
