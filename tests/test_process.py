"""Tests of a daemon's process: the reload of its settings, and its stop."""

import os
import signal

import curio
from curio.task import ContextTask
from deployments.ports import free_address

from ragwortkeel.configuration_store import InForce
from ragwortkeel.exceptions import SettingsError
from ragwortkeel.metrics import Metrics
from ragwortkeel.process import EXIT_CLEAN, EXIT_FAILED, Leftover, Process
from ragwortkeel.traces import Tracing


class IdleWorker:
    ready = True

    def __init__(self):
        self.metrics = Metrics()
        self.tracing = Tracing(node="idle")

    def open(self):
        pass

    async def run(self):
        await curio.Event().wait()

    async def stop(self):
        return Leftover(counts={})

    def in_force(self, kind, name):
        return InForce(revision=0)


class HeldWorker(IdleWorker):
    """A worker whose stop waits until it is released."""

    def __init__(self):
        super().__init__()
        self.released = curio.Event()

    async def stop(self):
        await self.released.wait()
        return Leftover(counts={})


def run_with_signals(*numbers, reload=lambda: None, worker=None):
    """Send signals to a process; return its exit code.

    A held worker is released after the last one.
    """
    worker = worker or IdleWorker()

    async def main():
        process = Process(
            worker=worker,
            name="idle",
            metrics_address=free_address(),
            reload=reload,
        )
        task = await curio.spawn(process.main)
        for number in numbers:
            await curio.sleep(0.1)
            os.kill(os.getpid(), number)
        if isinstance(worker, HeldWorker):
            await curio.sleep(0.1)
            await worker.released.set()
        return await task.join()

    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(main)


class TestReload:
    def test_a_hup_reloads_and_the_process_continues(self):
        """Guard against a fleet that stops when its settings files change.

        The change is announced by SIGHUP, which ends a process that does not handle it.
        """
        reloads = []
        code = run_with_signals(
            signal.SIGHUP,
            signal.SIGHUP,
            signal.SIGTERM,
            reload=lambda: reloads.append(1),
        )
        assert code == EXIT_CLEAN
        assert len(reloads) == 2

    def test_an_invalid_file_does_not_stop_the_process(self):
        def refuse():
            raise SettingsError(path="$", found="nothing", allowed="a file")

        code = run_with_signals(signal.SIGHUP, signal.SIGTERM, reload=refuse)
        assert code == EXIT_CLEAN


class TestStop:
    def test_a_second_term_does_not_cut_a_planned_stop_short(self):
        """Guards against answers that are cut off as a supervisor repeats SIGTERM."""
        code = run_with_signals(
            signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, worker=HeldWorker()
        )
        assert code == EXIT_CLEAN

    def test_an_interrupt_cuts_a_planned_stop_short(self):
        """Guards against a process that an operator at a terminal can't end."""
        code = run_with_signals(signal.SIGTERM, signal.SIGINT, worker=HeldWorker())
        assert code == EXIT_FAILED
