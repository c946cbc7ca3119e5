"""What every daemon of the fleet does around its work: start, probes, reload, stop.

A TERM begins a planned stop: not ready, finish what is in flight, make durable
what must last, exit 0.  A second signal, or the deadline, ends it at once; what
was cut off is logged and the exit code is 1.
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

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

EXIT_CLEAN = 0
EXIT_FAILED = 1

READY_POLL_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True)
class Leftover:
    """What a stop left undone, by kind; all zero after a clean one."""

    counts: dict[str, int]

    @property
    def is_clean(self) -> bool:
        """Whether nothing was left."""
        return not any(self.counts.values())


class Worker(Protocol):
    """The work of a daemon, as its process drives it."""

    metrics: Metrics
    tracing: Tracing

    def open(self) -> None:
        """Bind the sockets."""

    async def run(self) -> None:
        """Work until cancelled or failed."""

    @property
    def ready(self) -> bool:
        """Whether work is taken."""

    async def stop(self) -> Leftover:
        """Finish what is in flight and make durable what must last."""

    def in_force(self, kind: str, name: str) -> InForce:
        """Return what is in force here of an object."""


class Process:
    """Runs a worker from start to exit code.

    Parameters
    ----------
    worker
        What the daemon does.
    name
        Of this node, in logs.
    metrics_address
        ``ip:port`` of the probes.
    ready_path
        Path on it that the balancer asks.
    reload
        Called at each HUP, which says that the settings have changed.

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
        """Return the exit code once everything is over."""
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
        probing = await curio.spawn(self._probes.serve, daemon=True)
        watching = await curio.spawn(self._watch_ready, daemon=True)
        working = await curio.spawn(self._worker.run, daemon=True)
        try:
            stop_requested = await _ends_first(
                lambda: self._stop_signal(signals), working.wait
            )
            if not stop_requested:
                return self._fail(working)
            return await self._stop(signals)
        finally:
            for task in (watching, working, probing):
                await task.cancel()

    async def _stop_signal(self, signals) -> None:
        """Wait for a signal that ends the process; a HUP reloads."""
        while await signals.get() is signal.SIGHUP:
            self._reload_settings()

    def _reload_settings(self) -> None:
        log_info("settings_reload", node=self._name)
        try:
            self._reload()
        except SettingsError as exc:
            # What is in force holds: a broken file must not stop a process that
            # works, as it would at a start.
            log_error("settings_refused", node=self._name, error=str(exc))

    async def _stop(self, signals) -> int:
        self._lifecycle.fire("stop")
        stopping = await curio.spawn(self._worker.stop, daemon=True)
        finished = await _ends_first(stopping.wait, lambda: self._stop_signal(signals))
        if not finished:
            await stopping.cancel()
            log_warning("stop_cut_short", node=self._name)
            return EXIT_FAILED
        leftover = stopping.result
        if self._lifecycle.can("drained"):
            self._lifecycle.fire("drained")
        self._lifecycle.fire("flushed" if leftover.is_clean else "deadline")
        if not leftover.is_clean:
            log_warning("stop_left_over", node=self._name, **leftover.counts)
            return EXIT_FAILED
        return EXIT_CLEAN

    def _fail(self, working: curio.Task) -> int:
        self._lifecycle.fire("fail")
        log_error("worker_failed", node=self._name, error=repr(working.exception))
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
    """Wait for either call; return whether the preferred one ended first."""
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
    """Run a process in a kernel of its own and return its exit code.

    Plain curio tasks share one context, so that a log's or span's fields would
    show up in another request; `ContextTask` keeps them apart.
    """
    configure_logs(level=_LEVELS[level])
    with curio.Kernel(taskcls=ContextTask) as kernel:
        return kernel.run(new_process().main)
