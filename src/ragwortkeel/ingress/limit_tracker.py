"""Tracks, logs and counts the rate limits that upstreams announce."""

from time import monotonic

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.logs import log_info
from ragwortkeel.messages import AnnouncedLimit
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.announced_limits import AnnouncedLimits, LimitAnnouncement


class LimitTracker:
    """Collects the limits that upstreams announce to this process and its peers.

    Attributes
    ----------
    limits : AnnouncedLimits
        The limits in force.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.limits = AnnouncedLimits()
        self._metrics = metrics
        self._started_ms_by_upstream: dict[str, int] = {}

    def record_answer(
        self, upstream: str, per_second: float | None, *, sent_at: float
    ) -> None:
        """Record the limit in a response to a request that was sent at `sent_at`."""
        previous = self.limits.limit_of(upstream)
        if self.limits.record_answer(
            upstream, per_second, sent_at=sent_at, now=monotonic()
        ):
            self._log_change(upstream, previous, source="answer")

    def recent(self) -> dict[str, AnnouncedLimit]:
        """Return the limits that upstreams recently announced here, for peers."""
        now = monotonic()
        return {
            name: AnnouncedLimit(
                per_second=announcement.per_second,
                age_seconds=round(now - announcement.effective_at, 3),
            )
            for name, announcement in self.limits.recent_own(now).items()
        }

    def merge(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Merge limits that upstreams announced to a peer."""
        now = monotonic()
        for name, reported in limit_by_upstream.items():
            previous = self.limits.limit_of(name)
            announcement = LimitAnnouncement(
                per_second=reported.per_second,
                effective_at=now - reported.age_seconds,
                own=False,
            )
            if self.limits.merge(name, announcement):
                self._log_change(name, previous, source="peer")

    def record_start(self, upstream: Upstream) -> None:
        """Remove the limit that an upstream announced before its last restart."""
        known = self._started_ms_by_upstream.get(upstream.name)
        self._started_ms_by_upstream[upstream.name] = upstream.started_ms
        if known is None or upstream.started_ms <= known:
            return
        previous = self.limits.limit_of(upstream.name)
        self.limits.remove(upstream.name)
        if previous is not None:
            self._log_change(upstream.name, previous, source="restart")

    def retain(self, upstreams: set[str]) -> None:
        """Remove the limits of all other upstreams."""
        for removed in self.limits.retain(upstreams):
            self._metrics.set_announced_limit(name=removed, limit=None)
        for removed in self._started_ms_by_upstream.keys() - upstreams:
            del self._started_ms_by_upstream[removed]

    def _log_change(
        self, upstream: str, previous: float | None, *, source: str
    ) -> None:
        limit = self.limits.limit_of(upstream)
        log_info(
            "upstream_limit_changed",
            upstream=upstream,
            limit=limit,
            was=previous,
            source=source,
        )
        self._metrics.set_announced_limit(name=upstream, limit=limit)
