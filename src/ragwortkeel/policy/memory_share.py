"""Memory of an engine that one process may use while others assign beside it.

Failure it guards against: an engine whose requests exceed its memory crashes, or evicts
running requests in the middle of their streams.  Reports of loads are up to 0.8 s old
in a fleet of 29 processes, so all processes see the same free memory and each of them
would use it.

- Up to a fill of `UNSHARED_FRACTION`, a process uses what is free.  What others assign
  meanwhile fits into the rest.
- Beyond it, a process uses its share: what is free, divided by the processes that have
  requests there.  The share bounds by how much the load of the process may exceed the
  one that its peers know.  So the loads of all processes add up to the memory at most,
  and a process may always replace a request of its own that ended.
- A process without a request there may assign one, as its share may be smaller than any
  request.  Where all such processes together could exceed what is free, a draw decides
  in each second which of them do, so that about as much is assigned as is free.

The size of a request is its prompt and its largest answer.  A shorter expected length
is not used: an answer that turns out longer would crash the engine.
"""

from collections import deque
from dataclasses import dataclass
from math import ceil

MAX_MEMORY_FRACTION = 0.92
"""Fraction of an engine's memory that running requests may fill at their largest size.

The remaining 8% absorbs requests that other processes assigned after their last report.
"""

UNSHARED_FRACTION = 0.25
"""Fill of an engine's memory up to which a process uses what is free.

In trials, 29 processes at 6 or 18 engines filled one to 1.2 to 1.4 of its memory with
0.75, and to 1.4 with 0.5: within a round of reports all of them choose the engine that
looked idle.  With 0.25 no engine was above 0.92.
"""

REPORT_ROUND_SECONDS = 1.0
"""Time until all peers have heard of a change; a round of reports takes 0.8 s with 29
processes."""

REPORTS_IN_ROUND = 6
"""Latest reports of a process, one each 0.2 s; a peer may know only one of them."""


class ReportedTokens:
    """Tokens of one engine that a process reported to its peers lately."""

    def __init__(self) -> None:
        self._reported: deque[int] = deque(maxlen=REPORTS_IN_ROUND)

    def record(self, tokens: int) -> None:
        """Record a report to some of the peers."""
        self._reported.append(tokens)

    def growth(self, tokens: int) -> int:
        """Return by how much the tokens exceed what any peer may know; may be negative.

        It is negative after the end of requests that all peers still count.
        """
        return tokens - min(self._reported, default=0)


@dataclass(frozen=True, kw_only=True)
class MemoryUse:
    """Use of an engine's memory as one process knows it.

    Attributes
    ----------
    memory_tokens, used_tokens : int
        Size of the memory, and what requests of all processes use.
    running, own_running : int
        Requests of all processes, and of this one.
    growth_tokens : int
        Tokens of this process's requests beyond those that its peers know of; negative
        if some of these ended.
    processes : int
        Processes that have requests at the engine, this one included.
    other_processes : int
        Peers that serve requests but have none at the engine.
    """

    memory_tokens: int
    used_tokens: int
    running: int
    own_running: int = 0
    growth_tokens: int = 0
    processes: int = 1
    other_processes: int = 0

    @property
    def free_tokens(self) -> float:
        """Tokens that further requests of all processes may use."""
        return self.memory_tokens * MAX_MEMORY_FRACTION - self.used_tokens

    def has_room(
        self, tokens: int, *, undivided: bool = False, draw: float = 0.0
    ) -> bool:
        """Return whether a request of so many tokens fits.

        An idle engine has room for any request: a larger one would never run.

        Parameters
        ----------
        undivided : bool
            Whether the peers leave what is free to this request.
        draw : float
            Number from 0 to 1 that is independent of those of the peers.
        """
        if self.running == 0:
            return True
        if tokens > self.free_tokens:
            return False
        if undivided or self.processes <= 1:
            return True
        if self.used_tokens + tokens <= self.memory_tokens * UNSHARED_FRACTION:
            return True
        if not self.own_running and self.growth_tokens >= 0:
            return draw * tokens * (1 + self.other_processes) <= self.free_tokens
        share = (self.free_tokens + self.growth_tokens) / self.processes
        return self.growth_tokens + tokens <= share

    def missing(self, tokens: int) -> int:
        """Return how many tokens have to become free for a request; 0 if it fits."""
        if self.has_room(tokens, draw=1.0):
            return 0
        return max(1, min(ceil(tokens - self.free_tokens), self.used_tokens))
