"""The requests of a process that have no final answer yet, and what a stop ends.

Failure it guards against: a planned stop cuts off a request that waits for a queue,
tokens, the origin of its stream or a connection, each with a time limit of its own.
Whatever a request waits for, the stop ends it at its sockets, by one plan.
"""

from collections.abc import Iterator
from typing import Protocol

import curio

from ragwortkeel.policy.stop_plan import StopPlan

STOP_CHECK_SECONDS = 0.05


class OpenRequest(Protocol):
    """A request that a sweep or a planned stop may end."""

    deadline: float

    def caller_has_left(self) -> bool:
        """Return whether the caller has closed its connection, checking the socket."""

    def end_left(self) -> None:
        """End the request of a caller that has left."""

    def end_late(self) -> None:
        """End the request because its time limit has passed."""

    def may_begin(self, plan: StopPlan) -> bool:
        """Return whether it was sent to an upstream, or still may be."""

    def end_stopped(self, plan: StopPlan) -> None:
        """End the request because the process stops."""


class OpenRequests:
    """The open requests, in the order in which they were added.

    Attributes
    ----------
    stop_plan : StopPlan or None
        Set once the process stops.
    """

    def __init__(self) -> None:
        self.stop_plan: StopPlan | None = None
        self._by_id: dict[int, OpenRequest] = {}

    def __iter__(self) -> Iterator[OpenRequest]:
        """Return an iterator over the requests; they may end meanwhile."""
        return iter(list(self._by_id.values()))

    def add(self, request: OpenRequest) -> None:
        """Include a request."""
        self._by_id[id(request)] = request

    def discard(self, request: OpenRequest) -> None:
        """Leave out a request that has ended or whose final answer is being sent."""
        self._by_id.pop(id(request), None)

    async def refuse_late_starts(self) -> None:
        """Refuse requests that can't begin in time any more, until cancelled."""
        while True:
            for request in self:
                if not request.may_begin(self.stop_plan):
                    self._end_stopped(request)
            await curio.sleep(STOP_CHECK_SECONDS)

    def end_all(self) -> None:
        """End what is open at the end of a stop."""
        for request in self:
            self._end_stopped(request)

    def _end_stopped(self, request: OpenRequest) -> None:
        self.discard(request)
        request.end_stopped(self.stop_plan)
