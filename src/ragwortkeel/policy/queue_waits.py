"""Estimated waits in the queue of one service, by priority.

Pattern of load: a burst of requests of the least urgent priority, and then some of the
most urgent one.  Requests leave the queue in the order of their priority, so an urgent
request waits only for those of at least its own urgency, at the rate at which these
leave.  With one rate for all priorities, a burst that stalls gets urgent requests
refused that would start at once.
"""

from collections.abc import Collection

from ragwortkeel.policy.admission import DequeueIntervals


class QueueWaits:
    """Intervals at which requests of each priority, or a more urgent one, leave."""

    def __init__(self) -> None:
        self._intervals_by_priority: dict[int, DequeueIntervals] = {}

    def record_queued(
        self, priority: int, *, queued_priorities: Collection[int], now: float
    ) -> None:
        """Record that a request enters the queue.

        Parameters
        ----------
        queued_priorities : collection of int
            Priorities of the requests that were queued before.
        """
        if priority not in self._intervals_by_priority:
            intervals = self._intervals_by_priority[priority] = DequeueIntervals()
            intervals.record_queue_start(now)
        first = min(queued_priorities, default=None)
        for each, intervals in self._intervals_by_priority.items():
            if each >= priority and (first is None or first > each):
                intervals.record_queue_start(now)

    def record_dequeue(self, priority: int, now: float) -> None:
        """Record that a request was assigned to an upstream."""
        for each, intervals in self._intervals_by_priority.items():
            if each >= priority:
                intervals.record_dequeue(0.0, now)

    def seconds(self, priority: int, *, ahead: int, now: float) -> float:
        """Return the estimated wait; 0 before a request of the priority was queued.

        Parameters
        ----------
        ahead : int
            Queued requests of the same or a more urgent priority.
        """
        intervals = self._intervals_by_priority.get(priority)
        if intervals is None:
            return 0.0
        return intervals.mean_seconds(0.0, idle=not ahead, now=now) * (ahead + 1)
