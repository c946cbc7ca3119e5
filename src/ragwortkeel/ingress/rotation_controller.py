"""Leaves the balancer's rotation and joins it again, as `policy.rotation` decides."""

from collections.abc import Callable
from time import monotonic

import curio

from ragwortkeel.http_server import HttpServer
from ragwortkeel.ingress.peer_statuses import PeerStatus
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.rotation import Decision, OwnLoad, Rotation
from ragwortkeel.policy.zone_view import PeerReport
from ragwortkeel.settings import IngressSettings

STEP_SECONDS = 0.2
"""Interval between two decisions."""

BALANCER_PROBE_SECONDS = 2.0
"""Time after a departure in which idle connections stay open.  The balancer still sends
new connections here, so callers would come back."""

IDLE_SECONDS = 1.0
"""Shortest idle time of a connection that is closed; a caller that sends one request
after another has sent the next one by then."""

CLOSED_FRACTION = 0.1
"""Fraction of the idle connections that one step closes, so that callers don't open all
their new connections at once."""


class RotationController:
    """Decides by the current load and reports, and applies the decision.

    Parameters
    ----------
    settings : IngressSettings
        Settings at the start.  Without a capacity, peers get no status of this process
        and could not count it, so it never leaves.
    own_load
        Returns the load of this instance.
    statuses
        Returns the peers' valid statuses at a monotonic time.
    is_serving
        Returns whether the process has a configuration and no planned stop began.
        Nothing is decided otherwise.
    server : HttpServer
        Server for callers, whose connections are closed while out of the rotation.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        *,
        settings: IngressSettings,
        own_load: Callable[[], OwnLoad],
        statuses: Callable[[float], list[PeerStatus]],
        is_serving: Callable[[], bool],
        server: HttpServer,
        metrics: Metrics,
    ) -> None:
        self._zone = settings.zone
        self._has_capacity = settings.capacity is not None
        self._own_load = own_load
        self._statuses = statuses
        self._is_serving = is_serving
        self._server = server
        self._metrics = metrics
        self._rotation = Rotation(node=settings.name)
        self._is_on = False
        self.reload(settings)

    @property
    def in_rotation(self) -> bool:
        """Whether the load of this instance lets it take new connections."""
        return self._rotation.in_rotation

    @property
    def departure_utilization(self) -> float:
        """Utilization at which the process left; 0 while it is in the rotation."""
        return self._rotation.departure_utilization

    def reload(self, settings: IngressSettings) -> None:
        """Switch the part on or off; switched off, the process joins at once."""
        self._is_on = settings.leaves_rotation and self._has_capacity
        if not self._is_on and not self.in_rotation:
            self._apply(self._rotation.switch_off(monotonic()))

    async def run(self) -> None:
        """Decide every `STEP_SECONDS` until cancelled."""
        while True:
            self.step(monotonic())
            await curio.sleep(STEP_SECONDS)

    def step(self, now: float) -> None:
        """Decide once, and close a few idle connections while out of the rotation."""
        if not self._is_on or not self._is_serving():
            return
        was_in_rotation = self.in_rotation
        decision = self._rotation.update(self._own_load(), self._reports(now), now)
        if decision.in_rotation is not was_in_rotation:
            self._apply(decision)
        left_for = now - self._rotation.left_at
        if not self.in_rotation and left_for >= BALANCER_PROBE_SECONDS:
            self._server.close_longest_idle(
                idle_seconds=IDLE_SECONDS, fraction=CLOSED_FRACTION
            )

    def _reports(self, now: float) -> list[PeerReport]:
        return [
            peer_report(peer, now)
            for peer in self._statuses(now)
            if peer.status.zone == self._zone
        ]

    def _apply(self, decision: Decision) -> None:
        self._server.closes_connections = not decision.in_rotation
        self._metrics.set_in_rotation(in_rotation=decision.in_rotation)
        if decision.in_rotation:
            log_info("rotation_joined", **_log_fields(decision))
        else:
            self._metrics.record_rotation_departure()
            log_info("rotation_left", **_log_fields(decision))


def peer_report(peer: PeerStatus, now: float) -> PeerReport:
    """Return what the last status of a peer says at a monotonic time."""
    return PeerReport(
        node=peer.node,
        capacity=peer.status.capacity,
        utilization=peer.status.utilization,
        overloaded=peer.status.overloaded,
        in_rotation=peer.status.in_rotation,
        departure_utilization=peer.status.departure_utilization,
        age_seconds=now - peer.received_at,
    )


def _log_fields(decision: Decision) -> dict[str, object]:
    zone = decision.zone
    ages = [peer.age_seconds for peer in zone.heard]
    return {
        "reason": decision.reason,
        "utilization": round(decision.own.utilization, 3),
        "peers_utilization": zone.utilization and round(zone.utilization, 3),
        "peers_in": len(zone.peers_in),
        "peers_out": len(zone.peers_out),
        "known": zone.known,
        "newest_report_seconds": round(min(ages), 3) if ages else None,
        "oldest_report_seconds": round(max(ages), 3) if ages else None,
        "out_seconds": decision.out_seconds,
    }
