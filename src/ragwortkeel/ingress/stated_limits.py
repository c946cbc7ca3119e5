"""What upstreams state of their rate limits: read from answers, logged and counted."""

import re
from time import monotonic

from ragwortkeel.exceptions import LimitUnreadable
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.upstream_connection import Head
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.messages import AnnouncedLimit
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.announced_limits import AnnouncedLimits, Statement

LOGGED_CHARACTERS = 40
"""Of a value that can't be read."""

_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")


def read_limit(head: Head, header: str) -> float | None:
    """Return the limit that an answer names, in requests a second; None for none.

    Raises
    ------
    LimitUnreadable
        It is no decimal number, or there are two.
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


class StatedLimits:
    """Takes in what answers say of their upstreams' limits.

    Parameters
    ----------
    header : str
        In an upstream's answer, the requests a second that it takes from the fleet.
    """

    def __init__(self, *, header: str, metrics: Metrics) -> None:
        self.limits = AnnouncedLimits()
        self._header = header
        self._metrics = metrics
        self._unreadable: set[str] = set()
        self._born_by_upstream: dict[str, int] = {}

    def note(self, upstream: str, head: Head, *, sent_at: float) -> None:
        """Take in the head of an answer to a request sent at that second."""
        try:
            per_second = read_limit(head, self._header)
        except LimitUnreadable as exc:
            self._log_unreadable(upstream, str(exc))
            return
        self._unreadable.discard(upstream)
        was = self.limits.of(upstream)
        if self.limits.answered(upstream, per_second, sent_at=sent_at, now=monotonic()):
            self._log_change(upstream, was, source="answer")

    def recent(self) -> dict[str, AnnouncedLimit]:
        """Return what answers to this process said lately, for its peers."""
        now = monotonic()
        return {
            name: AnnouncedLimit(
                per_second=statement.per_second,
                age_seconds=round(now - statement.at, 3),
            )
            for name, statement in self.limits.recent(now).items()
        }

    def merge(self, limit_by_upstream: dict[str, AnnouncedLimit]) -> None:
        """Take in what answers to a peer said."""
        now = monotonic()
        for name, reported in limit_by_upstream.items():
            was = self.limits.of(name)
            statement = Statement(
                per_second=reported.per_second, at=now - reported.age_seconds, own=False
            )
            if self.limits.take(name, statement):
                self._log_change(name, was, source="peer")

    def note_instance(self, upstream: Upstream) -> None:
        """Drop what an earlier instance of that name said."""
        known = self._born_by_upstream.get(upstream.name)
        self._born_by_upstream[upstream.name] = upstream.started_ms
        if known is None or upstream.started_ms <= known:
            return
        was = self.limits.of(upstream.name)
        self.limits.forget(upstream.name)
        if was is not None:
            self._log_change(upstream.name, was, source="restart")

    def keep(self, upstreams: set[str]) -> None:
        """Drop what upstreams said that are gone."""
        for gone in self.limits.keep(upstreams):
            self._metrics.upstream_announced(name=gone, limit=None)
        self._unreadable &= upstreams
        for gone in self._born_by_upstream.keys() - upstreams:
            del self._born_by_upstream[gone]

    def _log_change(self, upstream: str, was: float | None, *, source: str) -> None:
        limit = self.limits.of(upstream)
        log_info(
            "upstream_limit_changed",
            upstream=upstream,
            limit=limit,
            was=was,
            source=source,
        )
        self._metrics.upstream_announced(name=upstream, limit=limit)

    def _log_unreadable(self, upstream: str, value: str) -> None:
        if upstream in self._unreadable:
            return
        self._unreadable.add(upstream)
        log_warning(
            "upstream_limit_unreadable",
            upstream=upstream,
            value=value[:LOGGED_CHARACTERS],
        )
