"""The status of this instance, which its rotation and its peers decide by."""

from ragwortkeel.ingress.fleet_fairness import FleetFairness
from ragwortkeel.ingress.instance_monitor import InstanceMonitor
from ragwortkeel.ingress.request_queue import RequestQueue
from ragwortkeel.ingress.speed_tracker import SpeedTracker
from ragwortkeel.messages import InstanceStatus
from ragwortkeel.policy.overload import Level
from ragwortkeel.policy.rotation import OwnLoad
from ragwortkeel.settings import IngressSettings


class StatusReport:
    """Puts the status together from the parts that measure it.

    Parameters
    ----------
    settings : IngressSettings
        Settings of this process.
    monitor : InstanceMonitor or None
        Measures the load; None without a stated capacity, and then nothing is reported.
    speeds : SpeedTracker or None
        Measures upstreams; None if they are not measured.
    fairness : FleetFairness
        Adds the running requests of customers.
    queue : RequestQueue
        The queue of this process.
    """

    def __init__(
        self,
        *,
        settings: IngressSettings,
        monitor: InstanceMonitor | None,
        speeds: SpeedTracker | None,
        fairness: FleetFairness,
        queue: RequestQueue,
    ) -> None:
        self._settings = settings
        self._monitor = monitor
        self._speeds = speeds
        self._fairness = fairness
        self._queue = queue

    def own_load(self) -> OwnLoad:
        """Return the load of this instance; without a stated capacity it is 0."""
        if self._monitor is None:
            return OwnLoad(utilization=0.0, overloaded_since=None)
        overload = self._monitor.overload
        is_overloaded = overload.level is Level.OVERLOADED
        return OwnLoad(
            capacity=self._settings.capacity.link_bytes_per_second,
            utilization=round(overload.utilization, 2),
            overloaded_since=overload.since_at if is_overloaded else None,
        )

    def status(
        self, *, in_rotation: bool, departure_utilization: float
    ) -> InstanceStatus | None:
        """Return the status as peers are sent it, None without a stated capacity."""
        if self._monitor is None:
            return None
        measured = self._speeds.own_report() if self._speeds else None
        load = self.own_load()
        status = InstanceStatus(
            zone=self._settings.zone,
            capacity=load.capacity,
            watches_by_capacity=True,
            utilization=load.utilization,
            overloaded=load.overloaded_since is not None,
            in_rotation=in_rotation,
            departure_utilization=departure_utilization,
            slowness_by_upstream=measured.slowness_by_upstream if measured else {},
            samples_by_upstream=measured.samples_by_upstream if measured else {},
        )
        return self._fairness.add_to(status, self._queue)
