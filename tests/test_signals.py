"""Tests of the delivery of signals to a waiting task."""

import os
import signal

import curio
from curio.task import ContextTask

from ragwortkeel.signals import SignalQueue


def run(main):
    async def bounded():
        async with curio.timeout_after(20):
            return await main()

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(bounded)


class TestSignalQueue:
    def test_a_signal_wakes_an_idle_kernel(self):
        """Guard against an idle daemon that does not stop at SIGTERM.

        Its kernel waits in the selector and without the socket would wake only at the
        next event.
        """

        async def main():
            async with SignalQueue(signal.SIGTERM) as signals:
                waiting = await curio.spawn(signals.get)
                await curio.sleep(0.05)
                os.kill(os.getpid(), signal.SIGTERM)
                return await waiting.join()

        assert run(main) is signal.SIGTERM

    def test_signals_are_queued_and_handlers_restored(self):
        before = signal.getsignal(signal.SIGUSR1)

        async def main():
            async with SignalQueue(signal.SIGTERM, signal.SIGUSR1) as signals:
                for number in (signal.SIGTERM, signal.SIGUSR1, signal.SIGTERM):
                    os.kill(os.getpid(), number)
                return [await signals.get() for _ in range(3)]

        assert run(main) == [signal.SIGTERM, signal.SIGUSR1, signal.SIGTERM]
        assert signal.getsignal(signal.SIGUSR1) is before
