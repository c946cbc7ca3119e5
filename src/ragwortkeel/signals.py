"""Signals as messages to a curio task; curio 1.6 itself has nothing for them.

Python runs a handler only between two steps of its own, and a kernel that waits
for sockets takes none: the signal would be seen at the next timeout.  So the
interpreter writes the signal's number to a socket, on which a task waits.
"""

import signal
import socket

import curio

BUFFER_BYTES = 64


class SignalQueue:
    """An asynchronous context manager that catches signals.

    Parameters
    ----------
    numbers
        The signals to catch; their former handlers come back on exit.

    Examples
    --------
    >>> async with SignalQueue(signal.SIGTERM) as signals:
    ...     number = await signals.get()

    .. versionadded:: 0.1
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        self._numbers = numbers
        self._handlers = {}
        self._former_fd = -1
        self._receiver = None
        self._sender = None
        self._caught: list[int] = []

    async def __aenter__(self) -> "SignalQueue":
        receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        self._receiver = curio.io.Socket(receiver)
        self._former_fd = signal.set_wakeup_fd(
            self._sender.fileno(), warn_on_full_buffer=False
        )
        for number in self._numbers:
            self._handlers[number] = signal.signal(number, _ignore)
        return self

    async def __aexit__(self, *exc_info) -> None:
        for number, handler in self._handlers.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(self._former_fd)
        self._sender.close()
        await self._receiver.close()

    async def get(self) -> signal.Signals:
        """Return the next signal caught, in order."""
        while not self._caught:
            # Other signals that Python handles are written there as well.
            for number in await self._receiver.recv(BUFFER_BYTES):
                if number in self._numbers:
                    self._caught.append(number)
        return signal.Signals(self._caught.pop(0))


def _ignore(number: int, frame) -> None:
    """Let the wake-up descriptor carry the signal."""
