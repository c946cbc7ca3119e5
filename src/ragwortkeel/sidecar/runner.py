"""Tasks of the runs in flight at the upstream, by nonce."""

from dataclasses import dataclass

import curio
from msgspec.structs import replace
from opentelemetry.trace import Span

from ragwortkeel.httpio import HttpClient
from ragwortkeel.logs import log_error
from ragwortkeel.messages import Dispatch, FailureReason
from ragwortkeel.sidecar.upstream import (
    CANCEL_TIMEOUT_SECONDS,
    ReportEvent,
    UpstreamRun,
    cancel_request,
)
from ragwortkeel.traces import Tracing, traceparent_of


@dataclass(frozen=True, kw_only=True)
class _Running:
    run: UpstreamRun
    task: curio.Task


class Runner:
    """Starts, cancels and stops runs.

    Parameters
    ----------
    client
        The upstream's HTTP client.
    report
        Receives the events of every run.
    tracing
        Starts a span for each run.

    Attributes
    ----------
    fencing_number : int
        Sent with every request once the sidecar is registered.
    """

    def __init__(
        self, *, client: HttpClient, report: ReportEvent, tracing: Tracing
    ) -> None:
        self._client = client
        self._report = report
        self._tracing = tracing
        self._running_by_nonce: dict[str, _Running] = {}
        self.fencing_number = 0

    async def start(self, dispatch: Dispatch) -> None:
        """Start a run in a task of its own."""
        span = self._tracing.start(
            "run", parent=dispatch.traceparent, profile=dispatch.profile
        )
        run = UpstreamRun(
            client=self._client,
            dispatch=replace(dispatch, traceparent=traceparent_of(span)),
            fencing_number=self.fencing_number,
            report=self._report,
        )
        task = await curio.spawn(self._run, run, dispatch.nonce, span, daemon=True)
        self._running_by_nonce[dispatch.nonce] = _Running(run=run, task=task)

    async def cancel(self, nonce: str, request_id: str) -> None:
        """Ask the upstream to end a run, so that it reports the cost."""
        if nonce in self._running_by_nonce:
            await curio.spawn(self._cancel, nonce, request_id, daemon=True)

    async def stop(self, nonce: str, request_id: str) -> None:
        """Close the run's connection and ask the upstream to stop."""
        running = self._running_by_nonce.pop(nonce, None)
        if running is None:
            return
        await running.task.cancel(blocking=False)
        await curio.spawn(
            cancel_request, self._client, request_id, self.fencing_number, daemon=True
        )

    async def stop_all(self) -> None:
        """Close every connection."""
        for running in list(self._running_by_nonce.values()):
            await running.task.cancel()

    async def _cancel(self, nonce: str, request_id: str) -> None:
        await cancel_request(self._client, request_id, self.fencing_number)
        await curio.sleep(CANCEL_TIMEOUT_SECONDS)
        running = self._running_by_nonce.pop(nonce, None)
        if running is not None:
            # The engine ignored the request: abort, at the bound of the cost.
            await running.task.cancel()
            await running.run.report_broken(FailureReason.CANCELLED)

    async def _run(self, run: UpstreamRun, nonce: str, span: Span) -> None:
        try:
            await run.run()
        except Exception as exc:
            # An exception must not leave a caller waiting forever.
            log_error("run_crashed", nonce=nonce, error=repr(exc))
            await run.report_broken(FailureReason.UPSTREAM_ERROR)
        finally:
            span.end()
            self._running_by_nonce.pop(nonce, None)
