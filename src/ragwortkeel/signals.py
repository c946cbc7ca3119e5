"""Delivery of signals to a curio task, which curio 1.6 does not support itself.

Python runs a signal handler only between two byte code instructions, and a kernel that
waits for sockets executes none, so that the handler would run only at the next timeout.
Therefore the interpreter writes the number of the signal to a socket that a task reads.
"""

import signal
import socket

import curio

BUFFER_BYTES = 64


class SignalQueue:
    """Asynchronous context manager that catches signals.

    Parameters
    ----------
    numbers
        Signals to catch; their former handlers are restored on exit.  One that is
        blocked and pending is caught too.

    Examples
    --------
    >>> async def wait_for_term():
    ...     async with SignalQueue(signal.SIGTERM) as signals:
    ...         return await signals.get()

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
        signal.pthread_sigmask(signal.SIG_UNBLOCK, self._numbers)
        return self

    async def __aexit__(self, *exc_info) -> None:
        for number, handler in self._handlers.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(self._former_fd)
        self._sender.close()
        await self._receiver.close()

    async def get(self) -> signal.Signals:
        """Wait for the next signal and return it, in the order of arrival."""
        while not self._caught:
            # The interpreter also writes the other signals that Python handles.
            for number in await self._receiver.recv(BUFFER_BYTES):
                if number in self._numbers:
                    self._caught.append(number)
        return signal.Signals(self._caught.pop(0))


def _ignore(number: int, frame) -> None:
    """Do nothing; the signal is read from the wake-up descriptor."""
