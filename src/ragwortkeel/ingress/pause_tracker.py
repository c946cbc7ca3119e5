"""Tracks the upstreams that reject a request and ask this process for a pause."""

from time import monotonic

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics


class PauseTracker:
    """Logs and counts the pauses that upstreams ask for."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._end_by_upstream: dict[str, float] = {}

    def record_answer(self, upstream: Upstream, seconds: float) -> None:
        """Record that the upstream wants no request for so many seconds."""
        now = monotonic()
        ends_at = self._end_by_upstream.get(upstream.name, now)
        self._end_by_upstream[upstream.name] = max(ends_at, now + seconds)
        if ends_at > now:
            return
        self._metrics.record_announcement(announcement="pause")
        log_info("upstream_asked_for_pause", upstream=upstream.name, seconds=seconds)

    def retain(self, upstreams: set[str]) -> None:
        """Forget the pauses of all other upstreams."""
        for removed in self._end_by_upstream.keys() - upstreams:
            del self._end_by_upstream[removed]
