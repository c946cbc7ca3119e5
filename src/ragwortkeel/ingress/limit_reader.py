"""Reads, logs and counts the rate limits that upstreams announce in their responses."""

import re
from time import monotonic

from ragwortkeel.exceptions import LimitUnreadable
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.upstream_connection import ResponseHead
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.messages import AnnouncedLimit
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.announced_limits import AnnouncedLimits, LimitAnnouncement

MAX_LOGGED_CHARACTERS = 40
"""Longest part of an invalid header value in a log line."""

_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")


def read_limit(head: ResponseHead, header: str) -> float | None:
    """Return the limit that a response announces, in requests a second.

    None if the response has no such header.

    Raises
    ------
    LimitUnreadable
        The value is no decimal number, or there are two different values.
    """
    values = {value.strip() for name, value in head.fields if name == header}
    if not values:
        return None
    if len(values) > 1:
        raise LimitUnreadable(", ".join(sorted(values)))
    [value] = values
    if not _DECIMAL.fullmatch(value):
        raise LimitUnreadable(value)
    return float(value)


class LimitReader:
    """Collects the limits that upstreams announce to this process and its peers.

    Parameters
    ----------
    header : str
        Name of the response header with the requests a second that an upstream
        accepts from the whole fleet.

    Attributes
    ----------
    limits : AnnouncedLimits
        The limits in force.
    """

    def __init__(self, *, header: str, metrics: Metrics) -> None:
        self.limits = AnnouncedLimits()
        self._header = header
        self._metrics = metrics
        self._unreadable_upstreams: set[str] = set()
        self._started_ms_by_upstream: dict[str, int] = {}

    def receive_head(
        self, upstream: str, head: ResponseHead, *, sent_at: float
    ) -> None:
        """Read the limit in a response to a request that was sent at `sent_at`."""
        try:
            per_second = read_limit(head, self._header)
        except LimitUnreadable as exc:
            self._log_unreadable(upstream, str(exc))
            return
        self._unreadable_upstreams.discard(upstream)
        previous = self.limits.limit_of(upstream)
        if self.limits.record_answer(
            upstream, per_second, sent_at=sent_at, now=monotonic()
        ):
            self._log_change(upstream, previous, source="answer")

    def recent(self) -> dict[str, AnnouncedLimit]:
        """Return the limits that upstreams lately announced here, for peers."""
        now = monotonic()
        return {
            name: AnnouncedLimit(
                per_second=statement.per_second,
                age_seconds=round(now - statement.effective_at, 3),
            )
            for name, statement in self.limits.recent_own(now).items()
        }

    def merge(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Merge limits that upstreams announced to a peer."""
        now = monotonic()
        for name, reported in limit_by_upstream.items():
            previous = self.limits.limit_of(name)
            statement = LimitAnnouncement(
                per_second=reported.per_second,
                effective_at=now - reported.age_seconds,
                own=False,
            )
            if self.limits.merge(name, statement):
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
        self._unreadable_upstreams &= upstreams
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

    def _log_unreadable(self, upstream: str, value: str) -> None:
        if upstream in self._unreadable_upstreams:
            return
        self._unreadable_upstreams.add(upstream)
        log_warning(
            "upstream_limit_unreadable",
            upstream=upstream,
            value=value[:MAX_LOGGED_CHARACTERS],
        )
