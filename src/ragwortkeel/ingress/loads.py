"""Load of an upstream: what processes assigned to it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Load:
    """Requests and tokens that one process has assigned to one upstream."""

    running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(
            running=self.running + other.running,
            memory_tokens=self.memory_tokens + other.memory_tokens,
            unread_tokens=self.unread_tokens + other.unread_tokens,
        )


NO_LOAD = Load()
