"""Memory of an engine that one process may use while others assign beside it.

Failure it guards against: an engine whose requests exceed its memory crashes, or evicts
running requests in the middle of their streams.  Reports of loads are up to 0.8 s old
in a fleet of 29 processes, so all processes see the same free memory and each of them
would use it.

- Up to a fill of `UNSHARED_FRACTION`, a process uses what is free.  What others assign
  meanwhile fits into the rest.
- Beyond it, a process uses its share: what is free, divided by the processes that have
  requests there.  What it assigned since its peers' last reports counts against the
  share, so that the shares used within one round of reports add up to what is free.
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

UNSHARED_FRACTION = 0.75
"""Fill of an engine's memory up to which a process uses what is free.

A quarter of the memory holds more than a fleet assigns to one engine in a round of
reports.
"""

REPORT_ROUND_SECONDS = 1.0
"""Time until all peers have heard of an assignment; a round of reports takes 0.8 s with
29 processes."""


class RecentTokens:
    """Tokens that a process assigned to an engine and its peers may not know of."""

    def __init__(self) -> None:
        self._assigned: deque[tuple[float, int]] = deque()

    def add(self, tokens: int, now: float) -> None:
        """Record an assignment."""
        self._discard_known(now)
        self._assigned.append((now, tokens))

    def remove(self, tokens: int) -> None:
        """Record that a request of so many tokens ended, if it was a recent one."""
        for entry in self._assigned:
            if entry[1] == tokens:
                self._assigned.remove(entry)
                return

    def total(self, now: float) -> int:
        """Return the tokens assigned within the last round of reports."""
        self._discard_known(now)
        return sum(tokens for _, tokens in self._assigned)

    def _discard_known(self, now: float) -> None:
        while self._assigned and self._assigned[0][0] <= now - REPORT_ROUND_SECONDS:
            self._assigned.popleft()


@dataclass(frozen=True, kw_only=True)
class MemoryUse:
    """Use of an engine's memory as one process knows it.

    Attributes
    ----------
    memory_tokens, used_tokens : int
        Size of the memory, and what requests of all processes use.
    running, own_running : int
        Requests of all processes, and of this one.
    recent_tokens : int
        Tokens that this process assigned and its peers may not know of.
    processes : int
        Processes that have requests at the engine, this one included.
    other_processes : int
        Peers that serve requests but have none at the engine.
    """

    memory_tokens: int
    used_tokens: int
    running: int
    own_running: int = 0
    recent_tokens: int = 0
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
        if not self.own_running:
            return draw * tokens * (1 + self.other_processes) <= self.free_tokens
        share = (self.free_tokens + self.recent_tokens) / self.processes
        return self.recent_tokens + tokens <= share

    def missing(self, tokens: int) -> int:
        """Return how many tokens have to become free for a request; 0 if it fits."""
        if self.has_room(tokens, draw=1.0):
            return 0
        return max(1, min(ceil(tokens - self.free_tokens), self.used_tokens))
