"""Bytes on their way to a peer that its socket has not accepted yet.

Failures it guards against: a peer that reads slowly must not delay reading from the
upstream, which cuts off an answer that stays unread; and a time limit that ends a wait
must not lose or repeat bytes.
"""

from collections import deque

import curio

from ragwortkeel.exceptions import ExchangeBroken


class SendBuffer:
    """Sends bytes in order; a task exists only while the socket accepts no more.

    Parameters
    ----------
    sock : curio.io.Socket
        The peer's socket.

    Attributes
    ----------
    held_bytes : int
        Bytes that the socket has not accepted yet.
    """

    def __init__(self, *, sock) -> None:
        self.held_bytes = 0
        self._sock = sock
        self._blocks: deque[memoryview] = deque()
        self._sender: curio.Task | None = None
        self._error: OSError | None = None
        self._changed = curio.Event()

    async def write(self, data: bytes) -> None:
        """Send what the socket accepts and hold the rest; never waits.

        Raises
        ------
        ExchangeBroken
            The connection is lost.
        """
        self._raise_if_lost()
        if not self._blocks:
            try:
                sent = self._sock._socket.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as exc:
                raise ExchangeBroken(str(exc)) from exc
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._blocks.append(memoryview(data))
        self.held_bytes += len(data)
        if self._sender is None:
            self._sender = await curio.spawn(self._send_held, daemon=True)

    async def wait_for_room(self, max_held_bytes: int = 0) -> None:
        """Wait until at most `max_held_bytes` are held.

        Raises
        ------
        ExchangeBroken
            The connection is lost.
        """
        while self.held_bytes > max_held_bytes and self._error is None:
            self._changed.clear()
            await self._changed.wait()
        self._raise_if_lost()

    async def close(self) -> None:
        """Drop what is held; needed before the socket is closed."""
        if self._sender is not None:
            await self._sender.cancel()
        self._blocks.clear()
        self.held_bytes = 0

    async def _send_held(self) -> None:
        try:
            while self._blocks:
                block = self._blocks[0]
                sent = await self._sock.send(block)
                self.held_bytes -= sent
                if sent < len(block):
                    self._blocks[0] = block[sent:]
                else:
                    self._blocks.popleft()
                await self._changed.set()
        except OSError as exc:
            self._error = exc
            await self._changed.set()
        finally:
            self._sender = None

    def _raise_if_lost(self) -> None:
        if self._error is not None:
            raise ExchangeBroken(str(self._error)) from self._error
