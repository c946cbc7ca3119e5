"""Ends requests whose time limit has passed or whose caller has left, on a late loop.

Failure it guards against: on an event loop with many ready tasks, the timer of a
request and the task that detects a disconnect run only turns later.  The caller then
gets its answer long after the time limit, and the upstream goes on for a caller that
has left.  One sweep ends such requests at their sockets, whatever their own tasks wait
for: a queue, tokens, a connection, or an upstream.  It runs in a task of its own and
also within long turns of the event loop, from the tasks that handle events.
"""

from collections.abc import Callable
from time import monotonic

import curio

from ragwortkeel.ingress.open_requests import OpenRequests

SWEEP_SECONDS = 0.1

GRACE_SECONDS = 0.1
"""Time after the time limit that is left to the request's own timer, unless the event
loop is late.  The timer leaves the connection usable."""


class RequestSweep:
    """The sweep that ends some of the open requests.

    Parameters
    ----------
    open_requests : OpenRequests
        The requests that it may end.
    is_late : callable
        Returns whether the event loop is late, so that the sweep has to check for
        callers that have left.
    """

    def __init__(
        self, *, open_requests: OpenRequests, is_late: Callable[[], bool]
    ) -> None:
        self._open_requests = open_requests
        self._is_late = is_late
        self._due_at = 0.0

    def sweep_if_due(self) -> None:
        """Sweep unless the last sweep was a moment ago; cheap enough for each event."""
        now = monotonic()
        if now < self._due_at:
            return
        self._due_at = now + SWEEP_SECONDS
        is_late = self._is_late()
        ends_before = now if is_late else now - GRACE_SECONDS
        for request in self._open_requests:
            if request.deadline < ends_before:
                self._open_requests.discard(request)
                request.end_late()
            elif is_late and request.caller_has_left():
                self._open_requests.discard(request)
                request.end_left()

    async def run(self) -> None:
        """Sweep regularly until cancelled."""
        pause_seconds = SWEEP_SECONDS
        while True:
            began_at = monotonic()
            await curio.sleep(pause_seconds)
            # On a late event loop a timer that is set in one turn is not due in the
            # next; without one the task runs in each turn.
            is_late = monotonic() - began_at > 2 * SWEEP_SECONDS
            pause_seconds = 0.0 if is_late else SWEEP_SECONDS
            self.sweep_if_due()
