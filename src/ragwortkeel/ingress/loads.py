"""Load of an upstream: what processes assigned to it."""

from dataclasses import dataclass
from math import inf


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


class PeerLoads:
    """Loads that peers reported for one upstream, each until it expires.

    The sum is kept until a report arrives or expires: it is needed several times for
    each assignment, while reports of 28 peers arrive 35 times a second.
    """

    def __init__(self) -> None:
        self._by_process: dict[str, tuple[float, Load]] = {}
        self._total = NO_LOAD
        self._processes = 0
        self._other_processes = 0
        self._summed_at = inf
        self._summed_until = -inf

    def merge(self, process: str, load: Load, valid_until: float) -> None:
        """Replace the load of a peer."""
        self._by_process[process] = (valid_until, load)
        self._summed_until = -inf

    def total(self, now: float) -> Load:
        """Return the sum of the loads that are valid."""
        self._sum(now)
        return self._total

    def processes(self, now: float) -> int:
        """Return the number of peers whose valid load has running requests."""
        self._sum(now)
        return self._processes

    def other_processes(self, now: float) -> int:
        """Return the number of peers whose valid load has no running requests."""
        self._sum(now)
        return self._other_processes

    def _sum(self, now: float) -> None:
        if self._summed_at <= now < self._summed_until:
            return
        valid = [each for each in self._by_process.values() if now < each[0]]
        self._total = Load(
            running=sum(load.running for _, load in valid),
            memory_tokens=sum(load.memory_tokens for _, load in valid),
            unread_tokens=sum(load.unread_tokens for _, load in valid),
        )
        self._processes = sum(1 for _, load in valid if load.running)
        self._other_processes = len(valid) - self._processes
        self._summed_at = now
        self._summed_until = min((until for until, _ in valid), default=inf)
