"""Memory of an engine that requests may use.

Failure it guards against: an engine whose requests exceed its memory crashes, or evicts
running requests in the middle of their streams.
"""

from dataclasses import dataclass
from math import ceil

MAX_MEMORY_FRACTION = 0.92
"""Fraction of an engine's memory that running requests may fill at their largest size.

The remaining 8% absorbs requests that other processes assigned after their last report.
"""


@dataclass(frozen=True, kw_only=True)
class MemoryUse:
    """What the requests of all processes use of an engine's memory, in tokens."""

    memory_tokens: int
    used_tokens: int
    running: int

    @property
    def free_tokens(self) -> float:
        """Tokens that further requests may use."""
        return self.memory_tokens * MAX_MEMORY_FRACTION - self.used_tokens

    def has_room(self, tokens: int) -> bool:
        """Return whether a request of so many tokens fits.

        An idle engine has room for any request: a larger one would never run.
        """
        return tokens <= self.free_tokens or self.running == 0

    def missing(self, tokens: int) -> int:
        """Return how many tokens have to become free for a request; 0 if it fits."""
        if self.has_room(tokens):
            return 0
        return max(1, min(ceil(tokens - self.free_tokens), self.used_tokens))
