"""The tasks of runs in flight at the upstream, by nonce."""

import curio

from ragwortkeel.httpio import HttpClient
from ragwortkeel.messages import Dispatch
from ragwortkeel.sidecar.upstream import Report, UpstreamRun, cancel_at


class Runner:
    """Starts, stops and counts runs.

    Parameters
    ----------
    client
        The upstream's HTTP client.
    report
        Takes the events of every run.

    Attributes
    ----------
    fencing_number : int
        Sent with every order once the sidecar is registered.
    """

    def __init__(self, *, client: HttpClient, report: Report) -> None:
        self._client = client
        self._report = report
        self._tasks_by_nonce: dict[str, curio.Task] = {}
        self.fencing_number = 0

    async def start(self, dispatch: Dispatch) -> None:
        """Start a run in a task of its own."""
        run = UpstreamRun(
            client=self._client,
            dispatch=dispatch,
            fencing_number=self.fencing_number,
            report=self._report,
        )
        task = await curio.spawn(self._run, run, dispatch.nonce, daemon=True)
        self._tasks_by_nonce[dispatch.nonce] = task

    async def stop(self, nonce: str, request_id: str) -> None:
        """Close the run's connection and tell the upstream to stop."""
        task = self._tasks_by_nonce.pop(nonce, None)
        if task is not None:
            await task.cancel(blocking=False)
        await curio.spawn(
            cancel_at, self._client, request_id, self.fencing_number, daemon=True
        )

    async def stop_all(self) -> None:
        """Close every connection."""
        for task in list(self._tasks_by_nonce.values()):
            await task.cancel()

    async def _run(self, run: UpstreamRun, nonce: str) -> None:
        try:
            await run.run()
        finally:
            self._tasks_by_nonce.pop(nonce, None)
