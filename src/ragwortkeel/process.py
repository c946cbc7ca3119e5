"""Frame of every daemon of the fleet: start, probes, reload, stop.

SIGTERM or SIGINT begins a planned stop: the process reports that it is not ready,
finishes the work in flight, makes its records durable and exits with 0.  A SIGINT
during the stop, as from an operator at a terminal, or the deadline ends it at once;
unfinished work is logged and the exit code is 1.  A further SIGTERM changes nothing:
supervisors and scripts repeat it, and SIGKILL is there for those that can't wait.
"""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import curio
from curio.task import ContextTask

from ragwortkeel.configuration_store import InForce
from ragwortkeel.exceptions import SettingsError
from ragwortkeel.lifecycle import ChartName, Lifecycle
from ragwortkeel.logs import Level, configure_logs, log_error, log_info, log_warning
from ragwortkeel.metrics import Metrics
from ragwortkeel.probes import Probes, Readiness
from ragwortkeel.settings import Address, LogLevel
from ragwortkeel.signals import SignalQueue
from ragwortkeel.traces import Tracing
from ragwortkeel.usage_counters import MeasuredSelector

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

EXIT_CLEAN = 0
EXIT_FAILED = 1

READY_POLL_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True)
class Leftover:
    """Unfinished work after a stop, by kind; all counts are 0 after a clean stop."""

    counts: dict[str, int]

    @property
    def is_clean(self) -> bool:
        """Whether the stop finished all work."""
        return not any(self.counts.values())


class Worker(Protocol):
    """Interface of a daemon's work, which `Process` runs."""

    metrics: Metrics
    tracing: Tracing

    def open(self) -> None:
        """Bind the sockets."""

    async def run(self) -> None:
        """Run until cancelled or failed."""

    @property
    def ready(self) -> bool:
        """Whether the worker accepts requests."""

    async def stop(self) -> Leftover:
        """Finish the work in flight, make records durable, return unfinished work."""

    def in_force(self, kind: str, name: str) -> InForce:
        """Return the version of an object that is in force here."""


class Process:
    """Runner of a worker, from the start to the exit code.

    Parameters
    ----------
    worker
        Work of the daemon.
    name
        Name of this process in log lines.
    metrics_address
        ``ip:port`` of the probes.
    ready_path
        Path of the readiness probe that the balancer requests.
    reload
        Called at each SIGHUP, which announces that the settings file has changed.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        worker: Worker,
        name: str,
        metrics_address: str,
        ready_path: str = "/readyz",
        reload: Callable[[], None] = lambda: None,
    ) -> None:
        self._reload = reload
        self._worker = worker
        self._name = name
        self._lifecycle = Lifecycle(
            chart=ChartName.DAEMON, observer=self._log_transition
        )
        probes = Probes(
            metrics=worker.metrics,
            tracing=worker.tracing,
            readiness=self._readiness,
            in_force=worker.in_force,
            ready_path=ready_path,
        )
        address = Address.parse(metrics_address)
        self._probes = probes.server(host=address.host, port=address.port)

    async def main(self) -> int:
        """Run the worker and return the exit code of the process."""
        async with SignalQueue(*_SIGNALS) as signals:
            try:
                self._worker.open()
                self._probes.open()
            except OSError as exc:
                self._lifecycle.fire("fail")
                log_error("cannot_listen", node=self._name, error=str(exc))
                return EXIT_FAILED
            self._lifecycle.fire("opened")
            return await self._run_worker(signals)

    async def _run_worker(self, signals) -> int:
        probe_task = await curio.spawn(self._probes.serve, daemon=True)
        ready_task = await curio.spawn(self._watch_ready, daemon=True)
        worker_task = await curio.spawn(self._worker.run, daemon=True)
        try:
            stop_requested = await _ends_first(
                lambda: self._stop_signal(signals), worker_task.wait
            )
            if not stop_requested:
                return self._fail(worker_task)
            return await self._stop(signals)
        finally:
            for task in (ready_task, worker_task, probe_task):
                await task.cancel()

    async def _stop_signal(self, signals) -> None:
        """Wait for a signal that ends the process; reload at each SIGHUP."""
        while await signals.get() is signal.SIGHUP:
            self._reload_settings()

    async def _interruption(self, signals) -> None:
        """Wait for a signal that cuts a planned stop short."""
        while (number := await signals.get()) is not signal.SIGINT:
            log_info("signal_during_stop", node=self._name, signal=number.name)
            if number is signal.SIGHUP:
                self._reload_settings()

    def _reload_settings(self) -> None:
        log_info("settings_reload", node=self._name)
        try:
            self._reload()
        except SettingsError as exc:
            # The former settings stay in force: an invalid file stops a process
            # only at its start.
            log_error("settings_refused", node=self._name, error=str(exc))

    async def _stop(self, signals) -> int:
        self._lifecycle.fire("stop")
        stop_task = await curio.spawn(self._worker.stop, daemon=True)
        finished = await _ends_first(
            stop_task.wait, lambda: self._interruption(signals)
        )
        if not finished:
            await stop_task.cancel()
            log_warning("stop_cut_short", node=self._name)
            return EXIT_FAILED
        leftover = stop_task.result
        if self._lifecycle.can("drained"):
            self._lifecycle.fire("drained")
        self._lifecycle.fire("flushed" if leftover.is_clean else "deadline")
        if not leftover.is_clean:
            log_warning("stop_left_over", node=self._name, **leftover.counts)
            return EXIT_FAILED
        return EXIT_CLEAN

    def _fail(self, worker_task: curio.Task) -> int:
        self._lifecycle.fire("fail")
        log_error("worker_failed", node=self._name, error=repr(worker_task.exception))
        return EXIT_FAILED

    async def _watch_ready(self) -> None:
        while not self._worker.ready:
            await curio.sleep(READY_POLL_SECONDS)
        if self._lifecycle.can("learned"):
            self._lifecycle.fire("learned")

    def _readiness(self) -> Readiness:
        return Readiness(ready=self._worker.ready, state=self._lifecycle.state)

    def _log_transition(self, source: str, event: str, target: str) -> None:
        log_info("daemon_state", node=self._name, was=source, why=event, now=target)


async def _ends_first(preferred, other) -> bool:
    """Run both calls until one ends; return whether it was the preferred one."""
    async with curio.TaskGroup(wait=any) as group:
        first = await group.spawn(preferred)
        await group.spawn(other)
    return group.completed is first


_LEVELS = {
    LogLevel.DEBUG: Level.DEBUG,
    LogLevel.INFO: Level.INFO,
    LogLevel.WARNING: Level.WARNING,
    LogLevel.ERROR: Level.ERROR,
}


def run_process(new_process: Callable[[], Process], *, level: LogLevel) -> int:
    """Run a process in a curio kernel of its own and return its exit code.

    Each `ContextTask` has its own context.  Plain curio tasks share one context, so
    fields of one request's log lines and spans would show up in those of another.
    """
    configure_logs(level=_LEVELS[level])
    with curio.Kernel(taskcls=ContextTask, selector=MeasuredSelector()) as kernel:
        return kernel.run(new_process().main)
