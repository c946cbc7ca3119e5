"""The adaptive limit of the upstream, fed with what first tokens tell."""

from ragwortkeel.policy.limits import AdaptiveLimit, Sample

OVERSHOOT_FACTOR = 1.25
OVERSHOOT_RUNS = 2
"""Routers act on reports that lag, several at once: refusing at the limit itself
would send requests back and forth while the upstream has room."""


class UpstreamLimit:
    """Times each run to its first piece and moves the limit by it."""

    def __init__(self) -> None:
        self._limit = AdaptiveLimit()
        self._open_by_nonce: dict[str, tuple[float, float]] = {}

    @property
    def limit(self) -> int:
        """Runs at once that routers should keep below."""
        return self._limit.limit

    @property
    def max_runs(self) -> int:
        """Runs at once from which on dispatches are refused as overloaded."""
        return int(self.limit * OVERSHOOT_FACTOR) + OVERSHOOT_RUNS

    def record_start(self, nonce: str, promised_seconds: float, now: float) -> None:
        """Note a run that goes to the upstream; no promise binds where 0."""
        self._open_by_nonce[nonce] = (now, promised_seconds)

    def record_first_chunk(
        self, nonce: str, *, running: int, queued: bool, now: float
    ) -> None:
        """Note the first piece of an answer; later ones change nothing."""
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
        """Forget a run that ended without an answer."""
        self._open_by_nonce.pop(nonce, None)
