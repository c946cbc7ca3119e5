"""The adaptive concurrency limit of the upstream, set by times to first token."""

from ragwortkeel.policy.limits import AdaptiveLimit, Sample

OVERSHOOT_FACTOR = 1.25
OVERSHOOT_RUNS = 2
"""Runs beyond the limit that are still accepted.

Several routers act on reports that lag.  Refusals at the limit itself would send
requests back and forth while the upstream has headroom.
"""


class UpstreamLimit:
    """Measures the time of each run to its first chunk and adapts the limit."""

    def __init__(self) -> None:
        self._limit = AdaptiveLimit()
        self._open_by_nonce: dict[str, tuple[float, float]] = {}

    @property
    def limit(self) -> int:
        """Number of concurrent runs that routers should stay below."""
        return self._limit.limit

    @property
    def max_runs(self) -> int:
        """Number of concurrent runs from which on dispatches are refused."""
        return int(self.limit * OVERSHOOT_FACTOR) + OVERSHOOT_RUNS

    def record_start(self, nonce: str, promised_seconds: float, now: float) -> None:
        """Record a run that is sent to the upstream; 0 stands for no promise."""
        self._open_by_nonce[nonce] = (now, promised_seconds)

    def record_first_chunk(
        self, nonce: str, *, running: int, queued: bool, now: float
    ) -> None:
        """Record the first chunk of an answer; later chunks change nothing."""
        timed = self._open_by_nonce.pop(nonce, None)
        if timed is None:
            return
        started_at, promised_seconds = timed
        sample = Sample(
            first_token_seconds=now - started_at,
            promised_seconds=promised_seconds,
            queued=queued,
        )
        self._limit.observe(sample, running=running, now=now)

    def record_end(self, nonce: str) -> None:
        """Remove a run that ended, also without an answer."""
        self._open_by_nonce.pop(nonce, None)
