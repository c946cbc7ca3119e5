"""Tracks the upstreams that reject a request and ask this process for a pause."""

from time import monotonic

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.pauses import Pauses


class PauseTracker:
    """Collects, logs and counts the pauses that upstreams ask for.

    Attributes
    ----------
    pauses : Pauses
        The pauses in force.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.pauses = Pauses()
        self._metrics = metrics

    def record_answer(
        self, upstream: Upstream, seconds: float, *, sent_at: float
    ) -> None:
        """Record the pause in a response to a request that was sent at `sent_at`.

        `seconds` is 0 if the response asks for none.
        """
        instance = upstream.name, upstream.started_ms
        if not seconds:
            if self.pauses.record_accepted(instance, sent_at=sent_at):
                log_info("upstream_pause_ended", upstream=upstream.name)
            return
        if self.pauses.record_pause(instance, seconds, now=monotonic()):
            self._metrics.record_announcement(announcement="pause")
            log_info(
                "upstream_asked_for_pause", upstream=upstream.name, seconds=seconds
            )

    def retain(self, upstreams: set[str]) -> None:
        """Forget the pauses of all other upstreams."""
        self.pauses.retain(upstreams)
