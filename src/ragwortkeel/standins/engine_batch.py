"""The engine stand-in's continuous batch: one task steps all running streams.

A step yields one token to each stream of the batch and takes longer the more
streams there are; what does not fit waits, highest priority first.
"""

import heapq
from dataclasses import dataclass, field
from itertools import count

import curio


@dataclass(frozen=True, kw_only=True)
class BatchSpeed:
    """How fast a batch steps and how many streams it holds."""

    token_seconds: float = 0.002
    growth: float = 0.05
    max_running: int = 32

    def step_seconds(self, running: int, slowdown: float) -> float:
        """Return how long a step takes with so many streams."""
        return self.token_seconds * (1.0 + self.growth * running) * slowdown


@dataclass(kw_only=True, eq=False)
class Generation:
    """One stream through the batch; `ready` holds a true for each token due."""

    request_id: str
    remaining: int
    priority: int = 0
    cancelled: bool = False
    ready: curio.Queue = field(default_factory=curio.Queue)


@dataclass(frozen=True, kw_only=True)
class Load:
    """How full a batch was when last looked at."""

    running: int = 0
    waiting: int = 0
    limit: int = 0


class Batch:
    """Steps generations; its state belongs to the task that runs `run`."""

    def __init__(self, *, speed: BatchSpeed) -> None:
        self.speed = speed
        self.slowdown = 1.0
        self._running: list[Generation] = []
        self._waiting: list[tuple[int, int, Generation]] = []
        self._arrivals = curio.Queue()
        self._sequence = count()

    @property
    def load(self) -> Load:
        """The load right now."""
        return Load(
            running=len(self._running),
            waiting=len(self._waiting) + self._arrivals.qsize(),
            limit=self.speed.max_running,
        )

    async def submit(self, generation: Generation) -> None:
        """Queue a generation for the batch."""
        await self._arrivals.put(generation)

    async def run(self) -> None:
        """Step for ever, sleeping while there is nothing to do."""
        while True:
            await self._queue_arrivals()
            self._start_waiting()
            duration = self.speed.step_seconds(len(self._running), self.slowdown)
            await curio.sleep(duration)
            for generation in self._running:
                await self._step(generation)
            self._running = [g for g in self._running if g.remaining > 0]

    async def _queue_arrivals(self) -> None:
        idle = not self._running and not self._waiting
        while idle or not self._arrivals.empty():
            generation = await self._arrivals.get()
            entry = (-generation.priority, next(self._sequence), generation)
            heapq.heappush(self._waiting, entry)
            idle = False

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.speed.max_running:
            *_, generation = heapq.heappop(self._waiting)
            self._running.append(generation)

    async def _step(self, generation: Generation) -> None:
        if generation.cancelled:
            generation.remaining = 0
            await generation.ready.put(False)
            return
        generation.remaining -= 1
        await generation.ready.put(True)
