"""A model of an upstream: continuous batching, prefix cache, priorities.

Between events all sequences decode at one rate, which falls with their number.
Prompts are read in chunks, by priority and then one after the other, and slow
decoding meanwhile.  A plain
service is the same with no prompt and as many slots as it has workers.
"""

from collections import OrderedDict
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count


@dataclass(frozen=True, kw_only=True)
class EngineKind:
    """Speed and size of an upstream; seconds and tokens."""

    slots: int
    memory_tokens: int
    cache_tokens: int
    prefill_rate: float
    step_seconds: float
    step_seconds_per_sequence: float
    streams: bool


MODEL = EngineKind(
    slots=32,
    memory_tokens=160_000,
    cache_tokens=40_000,
    prefill_rate=8_000.0,
    step_seconds=0.012,
    step_seconds_per_sequence=0.0006,
    streams=True,
)
SERVICE = EngineKind(
    slots=8,
    memory_tokens=1_000_000,
    cache_tokens=0,
    prefill_rate=1e9,
    step_seconds=0.01,
    step_seconds_per_sequence=0.0,
    streams=False,
)

PREFILL_DECODE_FACTOR = 0.6
"""Decoding speed while a prompt is read in chunks beside it."""


@dataclass(kw_only=True, eq=False)
class Job:
    """One dispatched request at an upstream."""

    job_id: str
    prompt: int
    prefix: str
    prefix_tokens: int
    output: int
    priority: int = 0
    unread_tokens: float = 0.0
    ends_at: float = 0.0
    state: str = "waiting"


@dataclass(frozen=True, kw_only=True)
class FirstToken:
    """The job's first token (or whole answer) is there."""

    job: Job


@dataclass(frozen=True, kw_only=True)
class Finished:
    """The job is done."""

    job: Job


class PrefixCache:
    """Least recently used prefixes within a bound of tokens."""

    def __init__(self, *, tokens: int) -> None:
        self._max_tokens = tokens
        self._cached_tokens = 0
        self._tokens_by_prefix: OrderedDict[str, int] = OrderedDict()

    def use(self, prefix: str, tokens: int) -> int:
        """Return how many tokens are cached, and cache the prefix."""
        if not prefix or tokens > self._max_tokens:
            return 0
        hit = self._tokens_by_prefix.pop(prefix, 0)
        self._tokens_by_prefix[prefix] = tokens
        self._cached_tokens += tokens - hit
        while self._cached_tokens > self._max_tokens:
            _, size = self._tokens_by_prefix.popitem(last=False)
            self._cached_tokens -= size
        return min(hit, tokens)

    def contains(self, prefix: str) -> bool:
        """Tell whether the prefix is cached."""
        return prefix in self._tokens_by_prefix


class Engine:
    """One upstream; `advance` to a time before anything else at that time."""

    def __init__(self, *, kind: EngineKind, speed: float = 1.0) -> None:
        self.kind = kind
        self.speed = speed
        self.version = 0
        self.hit_tokens = 0
        self.prefix_tokens = 0
        self.cache = PrefixCache(tokens=kind.cache_tokens)
        self._jobs_by_id: dict[str, Job] = {}
        self._waiting: list[tuple[int, int, Job]] = []
        self._reading: list[Job] = []
        self._decoding: list[tuple[float, int, Job]] = []
        self._used_memory_tokens = 0
        self._decoded_tokens = 0.0
        self._now = 0.0
        self._order = count()

    @property
    def running(self) -> int:
        """Jobs in the batch."""
        return len(self._reading) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Jobs the engine has not started."""
        return len(self._jobs_by_id) - self.running

    def submit(self, job: Job) -> None:
        """Take a job in."""
        self.version += 1
        self._jobs_by_id[job.job_id] = job
        heappush(self._waiting, (job.priority, next(self._order), job))
        self._fill()

    def cancel(self, job_id: str) -> None:
        """Stop a job."""
        job = self._jobs_by_id.pop(job_id, None)
        if job is None:
            return
        self.version += 1
        match job.state:
            case "waiting":
                self._waiting = [
                    entry for entry in self._waiting if entry[2] is not job
                ]
                heapify(self._waiting)
            case "reading":
                self._reading.remove(job)
                self._used_memory_tokens -= job.prompt + job.output
            case "decoding":
                self._decoding = [e for e in self._decoding if e[2] is not job]
                heapify(self._decoding)
                self._used_memory_tokens -= job.prompt + job.output
        self._fill()

    def crash(self) -> None:
        """Crash: all jobs and the cache are gone."""
        self.version += 1
        self._jobs_by_id.clear()
        self._waiting, self._reading, self._decoding = [], [], []
        self._used_memory_tokens = 0
        self.cache = PrefixCache(tokens=self.kind.cache_tokens)

    def advance(self, now: float) -> None:
        """Let time pass up to `now`."""
        seconds, self._now = now - self._now, now
        if seconds <= 0.0:
            return
        self._decoded_tokens += seconds * self._decode_rate()
        if self._reading:
            self._reading[0].unread_tokens -= seconds * self._read_rate()

    def next_event(self) -> float | None:
        """Return when something ends next, if nothing else comes."""
        times = []
        if self._reading:
            times.append(max(0.0, self._reading[0].unread_tokens) / self._read_rate())
        if self._decoding:
            left = max(0.0, self._decoding[0][0] - self._decoded_tokens)
            times.append(left / self._decode_rate())
        return self._now + min(times) + 1e-9 if times else None

    def collect(self) -> list[FirstToken | Finished]:
        """Return what has ended by now."""
        out: list[FirstToken | Finished] = []
        while self._reading and self._reading[0].unread_tokens <= 1e-6:
            job = self._reading.pop(0)
            job.state = "decoding"
            job.ends_at = self._decoded_tokens + job.output
            heappush(self._decoding, (job.ends_at, next(self._order), job))
            if self.kind.streams:
                out.append(FirstToken(job=job))
        while self._decoding and self._decoding[0][0] <= self._decoded_tokens + 1e-6:
            _, _, job = heappop(self._decoding)
            self._used_memory_tokens -= job.prompt + job.output
            del self._jobs_by_id[job.job_id]
            out.append(Finished(job=job))
        if out:
            self.version += 1
            self._fill()
        return out

    def could_serve(
        self, job: Job, first_token_seconds: float, total_seconds: float
    ) -> bool:
        """Tell whether a job sent now would be in time, if nothing else came."""
        if self._waiting or not self._fits(job):
            return False
        hit = job.prefix_tokens if self.cache.contains(job.prefix) else 0
        queued = sum(
            entry.unread_tokens
            for entry in self._reading
            if entry.priority <= job.priority
        )
        reading = (queued + job.prompt - hit) / self._read_rate()
        step = self.kind.step_seconds + self.kind.step_seconds_per_sequence * (
            self.running + 1
        )
        decoding = job.output * step / self.speed / PREFILL_DECODE_FACTOR
        first = reading if self.kind.streams else reading + decoding
        return first <= first_token_seconds and reading + decoding <= total_seconds

    def _fits(self, job: Job) -> bool:
        memory = self._used_memory_tokens + job.prompt + job.output
        return self.running < self.kind.slots and memory <= self.kind.memory_tokens

    def _fill(self) -> None:
        while self._waiting and self._fits(self._waiting[0][2]):
            _, _, job = heappop(self._waiting)
            hit = self.cache.use(job.prefix, job.prefix_tokens)
            self.hit_tokens += hit
            self.prefix_tokens += job.prefix_tokens
            job.unread_tokens = float(job.prompt - hit)
            job.state = "reading"
            self._used_memory_tokens += job.prompt + job.output
            self._reading.append(job)
            self._reading.sort(key=lambda entry: entry.priority)

    def _read_rate(self) -> float:
        return self.kind.prefill_rate * self.speed

    def _decode_rate(self) -> float:
        running = len(self._decoding)
        step = self.kind.step_seconds + self.kind.step_seconds_per_sequence * running
        return self.speed / step * (PREFILL_DECODE_FACTOR if self._reading else 1.0)
