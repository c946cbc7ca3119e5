"""Which new connections an overloaded instance closes before it reads a request.

Load pattern: for some seconds the balancer hands most new connections of a zone to one
instance, while callers open them more often.  Leaving the rotation would only move the
rush to a peer.  A refusal has to be read and written, and its caller waits before it
retries.  A connection that is closed unread costs next to nothing; its caller knows
that nothing ran and tries another instance at once.

Guard: while the peers have no room either, callers would return at once to instances
that are just as loaded.  Then requests are read and refused with a time to come back.
"""

from collections.abc import Sequence

from ragwortkeel.policy.overload import Level, Overload
from ragwortkeel.policy.zone_view import PeerReport

MAX_PEERS_UTILIZATION = 0.7
"""Highest mean utilization of the peers at which connections are left to them."""

FULL_FRACTION = 0.85
"""Fraction of the limit of open requests from which on connections are turned away; the
rest is for requests on the connections that callers have."""

ACCEPT_INTERVAL_SECONDS = 1.0
"""Longest time without an accepted connection.  An instance that is in the rotation
takes some, and learns by them when the overload has ended."""


class NewConnections:
    """Decides on each new connection, and counts those that are turned away.

    Attributes
    ----------
    turned_away : int
        Number of connections to close so far.
    """

    def __init__(self) -> None:
        self.turned_away = 0
        self._accepted_at = float("-inf")

    def accepts(
        self,
        overload: Overload,
        *,
        open_requests: int,
        peers: Sequence[PeerReport],
        now: float,
    ) -> bool:
        """Return whether to read requests of a connection that comes now.

        Parameters
        ----------
        open_requests : int
            Admitted requests without a final answer now, and connections without a
            request so far.
        peers : sequence of PeerReport
            Valid reports of the instances that the caller may reach next.
        now : float
            Monotonic seconds.
        """
        is_late = now - self._accepted_at >= ACCEPT_INTERVAL_SECONDS
        if is_late or not _is_full(overload, open_requests) or not _have_room(peers):
            self._accepted_at = now
            return True
        self.turned_away += 1
        return False


def _is_full(overload: Overload, open_requests: int) -> bool:
    if overload.level is not Level.OVERLOADED or overload.open_limit is None:
        return False
    return open_requests >= FULL_FRACTION * overload.open_limit


def _have_room(peers: Sequence[PeerReport]) -> bool:
    utilizations = [min(1.0, peer.utilization) for peer in peers if peer.in_rotation]
    if not utilizations:
        return False
    return sum(utilizations) / len(utilizations) <= MAX_PEERS_UTILIZATION
