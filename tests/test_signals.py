"""Signals reach a task that waits, and handlers come back."""

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
    def test_signal_wakes_a_kernel_that_has_nothing_to_do(self):
        """A daemon is told to stop while no request comes.

        Its kernel sleeps in the selector; without the socket it would go on
        sleeping until something else happens.
        """

        async def main():
            async with SignalQueue(signal.SIGTERM) as signals:
                waiting = await curio.spawn(signals.get)
                await curio.sleep(0.05)
                os.kill(os.getpid(), signal.SIGTERM)
                return await waiting.join()

        assert run(main) is signal.SIGTERM

    def test_each_signal_is_kept_until_asked_for_and_handlers_come_back(self):
        before = signal.getsignal(signal.SIGUSR1)

        async def main():
            async with SignalQueue(signal.SIGTERM, signal.SIGUSR1) as signals:
                for number in (signal.SIGTERM, signal.SIGUSR1, signal.SIGTERM):
                    os.kill(os.getpid(), number)
                return [await signals.get() for _ in range(3)]

        assert run(main) == [signal.SIGTERM, signal.SIGUSR1, signal.SIGTERM]
        assert signal.getsignal(signal.SIGUSR1) is before
