"""Closes new connections unread while this instance is full and its peers are not."""

from collections.abc import Callable
from time import monotonic

from ragwortkeel.ingress.instance_monitor import InstanceMonitor
from ragwortkeel.ingress.peer_statuses import PeerStatus
from ragwortkeel.ingress.rotation_controller import peer_report
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.new_connections import NewConnections
from ragwortkeel.policy.zone_view import PeerReport

LOG_SECONDS = 1.0
"""Shortest time between two log lines on connections that were turned away."""


class ConnectionGate:
    """Decides on new connections by the own load and the peers' reports.

    Parameters
    ----------
    zone : str
        Availability zone of this process.  Callers that are turned away reach its other
        processes; if none is heard of, those of other zones count.
    monitor : InstanceMonitor
        Measures the load of this instance.
    statuses : callable
        Returns the peers' valid statuses at a monotonic time.
    """

    def __init__(
        self,
        *,
        zone: str,
        monitor: InstanceMonitor,
        statuses: Callable[[float], list[PeerStatus]],
        metrics: Metrics,
    ) -> None:
        self._zone = zone
        self._monitor = monitor
        self._statuses = statuses
        self._metrics = metrics
        self._connections = NewConnections()
        self._logged_at = float("-inf")
        self._logged_count = 0

    def accepts(self, waiting: int) -> bool:
        """Return whether to read requests of a connection that has just been made.

        `waiting` is the number of connections without a request so far.
        """
        if not self._monitor.is_limiting:
            return True
        now = monotonic()
        peers = self._peers(now)
        accepts = self._connections.accepts(
            self._monitor.overload,
            open_requests=self._monitor.open_requests + waiting,
            peers=peers,
            now=now,
        )
        if not accepts:
            self._metrics.record_turned_away()
            self._log(peers, now)
        return accepts

    def _peers(self, now: float) -> list[PeerReport]:
        statuses = self._statuses(now)
        near = [each for each in statuses if each.status.zone == self._zone]
        return [peer_report(each, now) for each in near or statuses]

    def _log(self, peers: list[PeerReport], now: float) -> None:
        if now - self._logged_at < LOG_SECONDS:
            return
        overload, count = self._monitor.overload, self._connections.turned_away
        log_info(
            "connections_turned_away",
            count=count - self._logged_count,
            open=self._monitor.open_requests,
            limit=overload.open_limit,
            utilization=round(overload.utilization, 3),
            peers=",".join(f"{peer.node}:{peer.utilization:.2f}" for peer in peers[:8]),
            age=round(max(peer.age_seconds for peer in peers), 3),
        )
        self._logged_at, self._logged_count = now, count
