"""Estimated waits in the queue of one service, by priority and size.

Patterns of load: a burst of requests of the least urgent priority, and then some of the
most urgent one; large requests that small ones pass.  An urgent request waits only for
those of at least its own urgency, at the rate at which these leave.  With one rate for
all priorities, a burst that stalls gets urgent requests refused that would start at
once.  In the same way, room for a large request appears at the rate at which requests
of at least its size leave.  With one rate for all sizes, small requests that pass make
the queue look fast, and large ones are held until it is too late for their callers.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ragwortkeel.policy.admission import DequeueIntervals


@dataclass(frozen=True, kw_only=True)
class Rank:
    """Priority and size of a request, as far as its wait depends on them.

    Attributes
    ----------
    size_class : int
        Sizes of one class differ by less than a factor of four.
    """

    priority: int
    size_class: int = 0

    def includes(self, other: "Rank") -> bool:
        """Return whether the other one is as urgent and as large, or more."""
        return other.priority <= self.priority and other.size_class >= self.size_class


def rank_of(priority: int, memory_tokens: int) -> Rank:
    """Return the rank of a request that needs so many tokens of memory."""
    return Rank(priority=priority, size_class=(memory_tokens.bit_length() + 1) // 2)


class QueueWaits:
    """Intervals at which requests of each rank, or one that it includes, leave."""

    def __init__(self) -> None:
        self._intervals_by_rank: dict[Rank, DequeueIntervals] = {}

    def record_queued(
        self, rank: Rank, *, queued: Collection[Rank], now: float
    ) -> None:
        """Record that a request enters the queue.

        Parameters
        ----------
        queued : collection of Rank
            Ranks of the requests that were queued before.
        """
        if rank not in self._intervals_by_rank:
            intervals = self._intervals_by_rank[rank] = DequeueIntervals()
            intervals.record_queue_start(now)
        for each, intervals in self._intervals_by_rank.items():
            if each.includes(rank) and not any(each.includes(one) for one in queued):
                intervals.record_queue_start(now)

    def record_dequeue(self, rank: Rank, now: float) -> None:
        """Record that a request was assigned to an upstream."""
        for each, intervals in self._intervals_by_rank.items():
            if each.includes(rank):
                intervals.record_dequeue(0.0, now)

    def seconds(self, rank: Rank, *, ahead: int, now: float) -> float:
        """Return the estimated wait; 0 before a request of the rank was queued.

        Parameters
        ----------
        ahead : int
            Queued requests of ranks that this one includes.
        """
        intervals = self._intervals_by_rank.get(rank)
        if intervals is None:
            return 0.0
        return intervals.mean_seconds(0.0, idle=not ahead, now=now) * (ahead + 1)
