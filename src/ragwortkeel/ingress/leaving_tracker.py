"""Tracks the upstreams that announce in their responses that they leave.

Failure it guards against: the platform cannot store the entry of an upstream that
leaves, or stores it late, so that requests are sent there until its exit cuts them off.
"""

from dataclasses import dataclass
from time import monotonic

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.directory import Directory, DirectoryChange
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics


@dataclass(frozen=True, kw_only=True)
class _OwnAnnouncement:
    """An announcement in a response to this process.

    `announced_at` is a monotonic second.
    """

    started_ms: int
    announced_at: float


class LeavingTracker:
    """Marks upstreams as leaving that announced it here or to a peer.

    Parameters
    ----------
    directory : Directory
        Excludes the upstreams from new requests.
    """

    def __init__(self, *, directory: Directory, metrics: Metrics) -> None:
        self._directory = directory
        self._metrics = metrics
        self._own_by_upstream: dict[str, _OwnAnnouncement] = {}

    def record_answer(self, upstream: Upstream) -> None:
        """Record that a response of the upstream announced that it leaves."""
        known = self._own_by_upstream.get(upstream.name)
        if known is not None and known.started_ms >= upstream.started_ms:
            return
        self._own_by_upstream[upstream.name] = _OwnAnnouncement(
            started_ms=upstream.started_ms, announced_at=monotonic()
        )
        self._metrics.record_announcement(announcement="leaving")
        self._record(upstream.name, upstream.started_ms, source="answer")

    def recent(self, *, seconds: float) -> dict[str, int]:
        """Return the announcements of the last seconds to this process, for peers.

        Returns
        -------
        dict of str to int
            By upstream, the Unix millisecond at which the leaving instance started.
        """
        since = monotonic() - seconds
        return {
            name: own.started_ms
            for name, own in self._own_by_upstream.items()
            if own.announced_at >= since
        }

    def merge(self, started_ms_by_upstream: dict[str, int]) -> None:
        """Merge announcements that upstreams made to a peer."""
        for name, started_ms in started_ms_by_upstream.items():
            self._record(name, started_ms, source="peer")

    def retain(self, upstreams: set[str]) -> None:
        """Forget what all other upstreams announced; the directory still knows it."""
        for removed in self._own_by_upstream.keys() - upstreams:
            del self._own_by_upstream[removed]

    def _record(self, name: str, started_ms: int, *, source: str) -> None:
        for change in self._directory.record_leaving(name, started_ms=started_ms):
            _log_change(change, started_ms, source=source)


def _log_change(change: DirectoryChange, started_ms: int, *, source: str) -> None:
    log_info(
        "upstream_announced_leaving",
        upstream=change.name,
        started=started_ms,
        was_usable=change.was_usable,
        source=source,
    )
