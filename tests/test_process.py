"""Tests of a daemon's process: the reload of its settings."""

import os
import signal

import curio
from curio.task import ContextTask
from deployments.ports import free_address

from ragwortkeel.configuration_store import InForce
from ragwortkeel.exceptions import SettingsError
from ragwortkeel.metrics import Metrics
from ragwortkeel.process import EXIT_CLEAN, Leftover, Process
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


def run_with_signals(*numbers, reload):
    """Send signals and then TERM to a process; return its exit code."""

    async def main():
        process = Process(
            worker=IdleWorker(),
            name="idle",
            metrics_address=free_address(),
            reload=reload,
        )
        task = await curio.spawn(process.main)
        for number in (*numbers, signal.SIGTERM):
            await curio.sleep(0.1)
            os.kill(os.getpid(), number)
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
            signal.SIGHUP, signal.SIGHUP, reload=lambda: reloads.append(1)
        )
        assert code == EXIT_CLEAN
        assert len(reloads) == 2

    def test_an_invalid_file_does_not_stop_the_process(self):
        def refuse():
            raise SettingsError(path="$", found="nothing", allowed="a file")

        assert run_with_signals(signal.SIGHUP, reload=refuse) == EXIT_CLEAN
