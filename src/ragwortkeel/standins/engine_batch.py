"""The continuous batch of the engine stand-in: one task steps all running streams.

A step produces one token for each running stream; its duration grows with their
number.  Further generations are queued, highest priority first.
"""

import heapq
from dataclasses import dataclass, field
from itertools import count

import curio


@dataclass(frozen=True, kw_only=True)
class BatchSpeed:
    """Duration of the steps of a batch, and its maximum number of streams."""

    token_seconds: float = 0.002
    growth: float = 0.05
    max_running: int = 32

    def step_seconds(self, running: int, slowdown: float) -> float:
        """Return the duration of a step with `running` streams."""
        return self.token_seconds * (1.0 + self.growth * running) * slowdown


@dataclass(kw_only=True, eq=False)
class Generation:
    """One stream in the batch.

    `ready` receives True for each token, and False if the stream is cancelled.
    """

    request_id: str
    remaining: int
    priority: int = 0
    cancelled: bool = False
    ready: curio.Queue = field(default_factory=curio.Queue)


@dataclass(frozen=True, kw_only=True)
class Load:
    """Numbers of running and waiting generations, and the maximum running."""

    running: int = 0
    waiting: int = 0
    limit: int = 0


class Batch:
    """Steps generations; only the task that runs `run` changes its state."""

    def __init__(self, *, speed: BatchSpeed) -> None:
        self.speed = speed
        self.slowdown = 1.0
        self._running: list[Generation] = []
        self._waiting: list[tuple[int, int, Generation]] = []
        self._arrivals = curio.Queue()
        self._sequence = count()

    @property
    def load(self) -> Load:
        """The current load."""
        return Load(
            running=len(self._running),
            waiting=len(self._waiting) + self._arrivals.qsize(),
            limit=self.speed.max_running,
        )

    async def submit(self, generation: Generation) -> None:
        """Queue a generation for the batch."""
        await self._arrivals.put(generation)

    async def run(self) -> None:
        """Step the batch until cancelled; wait while there is no generation."""
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
