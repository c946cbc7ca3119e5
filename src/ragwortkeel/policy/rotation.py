"""Whether a process asks the external balancer for new connections.

Load pattern: the balancer spreads callers by a hash.  One process gets several times
its share and is overloaded, while its peers in the zone are nearly idle.  A process
that fails its readiness probes gets no new connections, and its callers reach peers.

Failures it guards against: all processes of a zone leave together, and the balancer
then uses all of them; a process stays out while the others are overloaded; a process
joins and leaves again with each burst.

There is no leader: each process decides by the reports of its peers, which may be old
or wrong.  Guards use counts of these reports, and a process that hears too few peers is
in the rotation.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from ragwortkeel.policy.zone_view import PeerReport, ZonePeers, ZoneView

OVERLOADED_SECONDS = 0.5
"""Time that a process is overloaded before it leaves.  The balancer takes up to 2 s
more, and a burst lasts 3 to 7 s."""

HIGH_UTILIZATION = 0.9
"""Utilization at which a process leaves even if it is not overloaded yet."""

HIGH_SECONDS = 1.0
"""Time that the utilization is high before a process leaves for it."""

YIELD_SECONDS = 2.0
"""Time of overload before a process leaves although overloaded peers rank ahead of it
for the last places outside; by then they would have left and reported it."""

MIN_JOINED_SECONDS = 2.0
"""Shortest time in the rotation: the balancer probes once a second."""

MIN_OUT_SECONDS = 8.0
"""Time out of the rotation after a first departure.  The hash leads the same callers
back, so a shorter time would return the process into the same burst."""

MAX_OUT_SECONDS = 30.0

DEPARTURES_SECONDS = 60.0
"""Each further departure within this time doubles the time out of the rotation."""

MAX_PEERS_UTILIZATION = 0.7
"""Highest mean utilization of the peers at which a process leaves."""

MIN_SPARE_UTILIZATION = 0.2
"""How far the mean utilization of the peers has to be below the process's own."""

ZONE_LOADED_UTILIZATION = 0.85
"""Mean utilization of the peers in the rotation at which a process joins early."""

UNHEARD_SECONDS = 1.0
"""How long too few peers are heard before a process joins for it.  Reports that wait
unread after one late timer are read by then."""

EXCESS_SECONDS = 3.0
"""How long too many processes are out before the last that ranks within the limit
joins, and then the next.  Those beyond the limit don't join: they stop, or report
wrongly."""


UNEVEN_UTILIZATION = 0.75
"""Utilization of one process at which the zone's load counts as uneven.  Callers' waves
of a third more would overload it."""

UNEVEN_SECONDS = 30.0
"""How long after that the zone's load counts as uneven."""

MAX_LARGER_UTILIZATION = 0.5
"""Highest mean utilization of far larger peers at which a process leaves for them."""

LARGER_LOADED_UTILIZATION = 0.7
"""Mean utilization of far larger peers at which a process that left for them joins."""


class Reason(StrEnum):
    """Why a process is in the rotation, or out of it."""

    NORMAL_LOAD = "normal_load"
    OVERLOADED = "overloaded"
    HIGH_UTILIZATION = "high_utilization"
    LARGER_PEERS = "larger_peers"
    RECENTLY_JOINED = "recently_joined"
    SMALL_ZONE = "small_zone"
    PEERS_UNHEARD = "peers_unheard"
    FEW_PEERS_IN = "few_peers_in"
    ZONE_LOADED = "zone_loaded"
    LIMIT_REACHED = "limit_reached"
    TIME_OVER = "time_over"
    SWITCHED_OFF = "switched_off"


@dataclass(frozen=True, kw_only=True)
class OwnLoad:
    """Load of this process's instance.

    Attributes
    ----------
    capacity : float
        Bytes a second that the link of the instance carries; 0 if unknown.
    utilization : float
        Fraction of the event loop or the link in use, the larger of both.
    overloaded_since : float or None
        Monotonic seconds since which the instance is overloaded, None if it isn't.
    """

    utilization: float
    overloaded_since: float | None
    capacity: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Decision:
    """Whether the process is in the rotation, why, and by which inputs."""

    in_rotation: bool
    reason: Reason
    own: OwnLoad
    zone: ZoneView
    out_seconds: float


class Rotation:
    """Decides when one process leaves the balancer's rotation and joins it again.

    Parameters
    ----------
    node : str
        Name of this process, as its peers know it.

    Attributes
    ----------
    in_rotation : bool
        The last decision; true at the start.
    out_seconds : float
        How long the process stays out after the departures of the last minute.
    left_at : float
        Monotonic seconds of the last departure.
    departure_utilization : float
        Utilization at the departure; 0 while in the rotation.

    Examples
    --------
    >>> rotation = Rotation(node="a")
    >>> load = OwnLoad(utilization=1.0, overloaded_since=0.0)
    >>> rotation.update(load, [], 1.0).reason
    <Reason.NORMAL_LOAD: 'normal_load'>
    >>> rotation.update(load, [], 1.2).reason
    <Reason.PEERS_UNHEARD: 'peers_unheard'>
    """

    def __init__(self, *, node: str) -> None:
        self.in_rotation = True
        self.departure_utilization = 0.0
        self.left_at = float("-inf")
        self._node = node
        self._joined_at = float("-inf")
        self._departures: deque[float] = deque()
        self._peers = ZonePeers(node=node)
        self._loaded_since: float | None = None
        self._unheard_since: float | None = None
        self._excess_since: float | None = None
        self._uneven_at = float("-inf")
        self._left_reason = Reason.OVERLOADED

    def update(
        self, own: OwnLoad, reports: Sequence[PeerReport], now: float
    ) -> Decision:
        """Decide anew by the current load and the valid reports of the zone's peers.

        Parameters
        ----------
        reports
            Of peers of this process's zone; one of this process itself is ignored.
        now : float
            Monotonic seconds.
        """
        zone = self._peers.view(reports, now)
        if _is_uneven(own, zone):
            self._uneven_at = now
        if self.in_rotation:
            reason = self._reason_to_stay(own, zone, now)
            if reason is None:
                reason = self._leave(own, now)
        else:
            reason = self._reason_to_join(own, zone, now)
            if reason is None:
                reason = self._left_reason
            else:
                self._join(now)
        self._record_load(own, now)
        return self._decision(reason, own, zone)

    def switch_off(self, now: float) -> Decision:
        """Join at once."""
        self._join(now)
        own = OwnLoad(utilization=0.0, overloaded_since=None)
        return self._decision(Reason.SWITCHED_OFF, own, ZoneView())

    def _reason_to_stay(
        self, own: OwnLoad, zone: ZoneView, now: float
    ) -> Reason | None:
        """Return why the process stays in the rotation, None if it should leave."""
        is_loaded = self._load_cause(own, now) is not None
        if not is_loaded and not self._prefers_larger(own, zone, now):
            return Reason.NORMAL_LOAD
        if now - self._joined_at < MIN_JOINED_SECONDS:
            return Reason.RECENTLY_JOINED
        if (obstacle := _obstacle(zone)) is not None:
            return obstacle
        if not is_loaded:
            return self._reason_against_yielding(own, zone)
        if not _has_room(zone, own):
            return Reason.ZONE_LOADED
        own_rank = _rank(own.utilization, self._node)
        # One that left with a lower load joins in this process's place.
        out = sum(
            _rank(peer.departure_utilization, peer.node) < own_rank
            or not peer.departure_utilization
            for peer in zone.peers_out
        )
        ahead = sum(
            peer.overloaded and _rank(peer.utilization, peer.node) < own_rank
            for peer in zone.peers_in
        )
        loaded_seconds = now - _loaded_at(own, self._loaded_since)
        if out >= zone.limit:
            return Reason.LIMIT_REACHED
        if out + ahead >= zone.limit and loaded_seconds < YIELD_SECONDS:
            return Reason.LIMIT_REACHED
        return None

    def _load_cause(self, own: OwnLoad, now: float) -> Reason | None:
        if self._loaded_since is None:
            return None
        return _cause(own, self._loaded_since, now)

    def _prefers_larger(self, own: OwnLoad, zone: ZoneView, now: float) -> bool:
        """Return whether far larger peers have room while the zone's load is uneven.

        Pattern of load: one caller sends more than a small instance carries.  The
        balancer moves it from one small instance to the next, each of which is then
        overloaded, unless those in the rotation are mostly large.
        """
        if now - self._uneven_at > UNEVEN_SECONDS:
            return False
        larger = zone.larger_peers_in(own.capacity)
        limit = (
            MAX_LARGER_UTILIZATION if self.in_rotation else LARGER_LOADED_UTILIZATION
        )
        return bool(larger) and _mean_utilization(larger) < limit

    def _reason_against_yielding(self, own: OwnLoad, zone: ZoneView) -> Reason | None:
        """Return why a process that is not loaded stays, None if it should leave.

        Small processes leave in one order, the most utilized first, so that they don't
        all leave at once.
        """
        own_rank = _rank(round(own.utilization, 1), self._node)
        ahead = sum(
            _rank(round(peer.utilization, 1), peer.node) < own_rank
            for peer in zone.peers_in
            if zone.larger_peers_in(peer.capacity)
        )
        if len(zone.peers_out) + ahead >= zone.limit:
            return Reason.LIMIT_REACHED
        return None

    def _reason_to_join(
        self, own: OwnLoad, zone: ZoneView, now: float
    ) -> Reason | None:
        """Return why the process joins the rotation, None if it stays out."""
        obstacle = _obstacle(zone)
        if obstacle is not Reason.PEERS_UNHEARD:
            self._unheard_since = None
        elif self._unheard_since is None:
            self._unheard_since = now
        if obstacle is Reason.PEERS_UNHEARD:
            is_due = now - self._unheard_since >= UNHEARD_SECONDS
            return obstacle if is_due else None
        if obstacle is not None:
            return obstacle
        if zone.utilization >= ZONE_LOADED_UTILIZATION:
            return Reason.ZONE_LOADED
        if self._is_beyond_limit(zone, now):
            return Reason.LIMIT_REACHED
        if self._prefers_larger(own, zone, now):
            return None
        if self._left_reason is Reason.LARGER_PEERS:
            return Reason.TIME_OVER
        out_for = now - self.left_at
        may_wait = _is_loaded(own) and out_for < MAX_OUT_SECONDS
        if out_for >= self.out_seconds and not may_wait:
            return Reason.TIME_OVER
        return None

    def _is_beyond_limit(self, zone: ZoneView, now: float) -> bool:
        peers_out = zone.peers_out
        if len(peers_out) < zone.limit:
            self._excess_since = None
            return False
        if self._excess_since is None:
            self._excess_since = now
        # By the utilization at the departures, which doesn't change: each process would
        # see its own current value lower than the one that it reported last.
        own_rank = _rank(self.departure_utilization, self._node)
        ahead = sum(
            _rank(peer.departure_utilization, peer.node) < own_rank
            for peer in peers_out
        )
        if ahead >= zone.limit:
            return True
        excess_seconds = now - self._excess_since
        return excess_seconds >= EXCESS_SECONDS * (zone.limit - ahead)

    @property
    def out_seconds(self) -> float:
        """How long the process stays out after the departures of the last minute."""
        doublings = max(0, len(self._departures) - 1)
        return min(MAX_OUT_SECONDS, MIN_OUT_SECONDS * 2**doublings)

    def _leave(self, own: OwnLoad, now: float) -> Reason:
        reason = self._load_cause(own, now) or Reason.LARGER_PEERS
        self.in_rotation = False
        self._left_reason = reason
        # 0 would say that the process is out for another cause than load.
        self.departure_utilization = max(own.utilization, 0.01)
        self.left_at = now
        self._unheard_since = self._excess_since = None
        while self._departures and now - self._departures[0] > DEPARTURES_SECONDS:
            self._departures.popleft()
        if reason is not Reason.LARGER_PEERS:
            self._departures.append(now)
        return reason

    def _join(self, now: float) -> None:
        self.in_rotation = True
        self.departure_utilization = 0.0
        self._joined_at = now

    def _record_load(self, own: OwnLoad, now: float) -> None:
        # Recorded after the decision, so that the first update that sees a load, which
        # may come from one late timer, never decides by it.
        if not _is_loaded(own):
            self._loaded_since = None
        elif self._loaded_since is None:
            self._loaded_since = now

    def _decision(self, reason: Reason, own: OwnLoad, zone: ZoneView) -> Decision:
        return Decision(
            in_rotation=self.in_rotation,
            reason=reason,
            own=own,
            zone=zone,
            out_seconds=self.out_seconds,
        )


def _rank(utilization: float, node: str) -> tuple[float, str]:
    """Return the key of the order in which processes leave, lowest first."""
    return -utilization, node


def _is_loaded(own: OwnLoad) -> bool:
    return own.overloaded_since is not None or own.utilization >= HIGH_UTILIZATION


def _loaded_at(own: OwnLoad, loaded_since: float) -> float:
    if own.overloaded_since is None:
        return loaded_since
    return min(own.overloaded_since, loaded_since)


def _cause(own: OwnLoad, loaded_since: float, now: float) -> Reason | None:
    """Return the load that lasts long enough to leave for, None without such a load."""
    since = own.overloaded_since
    if since is not None and now - since >= OVERLOADED_SECONDS:
        return Reason.OVERLOADED
    if own.utilization >= HIGH_UTILIZATION and now - loaded_since >= HIGH_SECONDS:
        return Reason.HIGH_UTILIZATION
    return None


def _is_uneven(own: OwnLoad, zone: ZoneView) -> bool:
    """Return whether a process of the zone is highly utilized, or left for that."""
    return own.utilization >= UNEVEN_UTILIZATION or any(
        max(peer.utilization, peer.departure_utilization) >= UNEVEN_UTILIZATION
        for peer in zone.heard
    )


def _mean_utilization(peers: Sequence[PeerReport]) -> float:
    return sum(min(1.0, peer.utilization) for peer in peers) / len(peers)


def _obstacle(zone: ZoneView) -> Reason | None:
    """Return why no process of the zone may be out, as far as peers are heard."""
    heard = len(zone.heard)
    if not heard or 2 * heard < zone.known - 1:
        return Reason.PEERS_UNHEARD
    if not zone.limit:
        return Reason.SMALL_ZONE
    # One that left with a lower load joins when this process takes its place outside.
    if 2 * len(zone.peers_in) + 1 < heard:
        return Reason.FEW_PEERS_IN
    return None


def _has_room(zone: ZoneView, own: OwnLoad) -> bool:
    """Return whether the peers in the rotation can take over this process's load."""
    spare_after = 1.0 - 1.0 / len(zone.peers_in)
    highest = min(
        MAX_PEERS_UTILIZATION,
        spare_after,
        min(1.0, own.utilization) - MIN_SPARE_UTILIZATION,
    )
    return zone.utilization <= highest
