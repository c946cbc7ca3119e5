"""The processes of an availability zone, as one of them knows them from reports.

Failures it guards against: a process concludes from few or old reports that its zone
is small or empty; one wrong report hides the room of all others.
"""

from collections.abc import Sequence
from dataclasses import dataclass

KNOWN_SECONDS = 10.0
"""How long a peer counts as a process of the zone after its last valid report."""

MIN_ZONE_PROCESSES = 3
"""In a smaller zone nobody leaves: the rest could not carry the load."""

LARGER_CAPACITY_FACTOR = 3.0
"""How many times its own capacity a peer has to have for a process to leave for it."""


@dataclass(frozen=True, kw_only=True)
class PeerReport:
    """What a peer of the same zone last reported.

    Attributes
    ----------
    capacity : float
        Bytes a second that the peer's link carries; 0 if unknown.
    departure_utilization : float
        Utilization at which the peer left the rotation; 0 if it is in, or out for
        another cause than its load.
    age_seconds : float
        Time since the report was received; it is still valid.
    """

    node: str
    capacity: float = 0.0
    utilization: float
    overloaded: bool
    in_rotation: bool
    departure_utilization: float
    age_seconds: float


@dataclass(frozen=True, kw_only=True)
class ZoneView:
    """The processes of the zone as this process knows them.

    Attributes
    ----------
    heard : tuple of PeerReport
        Valid reports of peers, without this process.
    known : int
        Processes that reported within `KNOWN_SECONDS`, and this one.
    """

    heard: tuple[PeerReport, ...] = ()
    known: int = 1

    @property
    def peers_in(self) -> list[PeerReport]:
        """Peers in the rotation."""
        return [peer for peer in self.heard if peer.in_rotation]

    @property
    def peers_out(self) -> list[PeerReport]:
        """Peers that are not in the rotation, for whatever cause."""
        return [peer for peer in self.heard if not peer.in_rotation]

    @property
    def limit(self) -> int:
        """How many processes may be out.

        The balancer uses all processes of a zone if fewer than half are in rotation.
        """
        if self.known < MIN_ZONE_PROCESSES:
            return 0
        return self.known // 2

    def larger_peers_in(self, capacity: float) -> list[PeerReport]:
        """Return the peers in the rotation that carry far more than `capacity`."""
        if capacity <= 0.0:
            return []
        least = LARGER_CAPACITY_FACTOR * capacity
        return [peer for peer in self.peers_in if peer.capacity >= least]

    @property
    def utilization(self) -> float | None:
        """Mean utilization of the peers in the rotation; None without any.

        Each counts as at most 1.0, so that one wrong report can't raise it far.
        """
        peers = self.peers_in
        if not peers:
            return None
        return sum(min(1.0, peer.utilization) for peer in peers) / len(peers)


class ZonePeers:
    """Peers of one process that reported lately.

    Parameters
    ----------
    node : str
        Name of the process; a report of that name is ignored.

    Examples
    --------
    >>> ZonePeers(node="a").view([], 0.0)
    ZoneView(heard=(), known=1)
    """

    def __init__(self, *, node: str) -> None:
        self._node = node
        self._heard_at_by_node: dict[str, float] = {}

    def view(self, reports: Sequence[PeerReport], now: float) -> ZoneView:
        """Return the zone by the valid reports at monotonic `now`."""
        heard = tuple(peer for peer in reports if peer.node != self._node)
        self._heard_at_by_node |= {peer.node: now for peer in heard}
        self._heard_at_by_node = {
            node: heard_at
            for node, heard_at in self._heard_at_by_node.items()
            if now - heard_at <= KNOWN_SECONDS
        }
        return ZoneView(heard=heard, known=1 + len(self._heard_at_by_node))
