"""Which processes watch the platform, and how a process detects missing changes.

Pattern of load: each pending watch is a call that is paid for, and each change answers
all watches at once, with a copy for each.  So only a few processes watch and forward
changes to the others: the first of the mutually reachable ones in an order that all
share.  Instances with larger links come first, since a copy of a large configuration
fills a small link for seconds.  There is no election.  A process that reaches no peer
watches the platform itself, and one that lacks a change which a peer knows reads it
there.

Failure it guards against: the watch of a process hangs, so that it uses entries that
are out of date although its peers have newer ones.  So watchers forward changes to each
other as well, and a process that lacks a change reads it beside its pending watch.
"""

from collections.abc import Iterable, Mapping
from math import isfinite

from ragwortkeel.ingress.mesh import rendezvous_order
from ragwortkeel.messages import InstanceStatus

WATCHER_COUNT = 6
"""Processes that watch, among those that reach each other; a failure of all of them
within the same second is unlikely."""

FORWARDER_COUNT = 2
"""Watchers, the first in the order, that forward changes to all processes; the others
forward them only to watchers."""

LAG_GRACE_SECONDS = 0.5
"""How long a change may take from a watcher before it counts as missing."""

_ORDER = "watchers"


def select_watchers(
    names: Iterable[str], *, capacity_by_name: Mapping[str, float]
) -> list[str]:
    """Return the names of the processes that watch.

    Parameters
    ----------
    capacity_by_name : mapping of str to float
        Bytes a second that the links of the instances carry, where that is known.
    """
    order = rendezvous_order(_ORDER, names)
    order.sort(key=lambda name: capacity_by_name.get(name, 0.0), reverse=True)
    return order[:WATCHER_COUNT]


class WatcherOrder:
    """Which of the processes that one process reaches watch.

    The order by links holds only while all of them state that they know it.  Otherwise
    a fleet of two builds could have no watcher, as each build leaves it to the other.

    Parameters
    ----------
    name : str
        Name of this process.
    link_capacity : float
        Bytes a second that the link of its instance carries; 0 if unknown.
    """

    def __init__(self, *, name: str, link_capacity: float) -> None:
        self._name = name
        self._capacity_by_name = {name: link_capacity} if link_capacity else {}

    def record_status(self, peer: str, status: InstanceStatus | None) -> None:
        """Record the capacity that a peer states; it holds until the next statement."""
        self._capacity_by_name.pop(peer, None)
        if status is None or not status.watches_by_capacity:
            return
        if isfinite(status.capacity) and status.capacity > 0:
            self._capacity_by_name[peer] = status.capacity

    def watchers(self, reachable: Iterable[str]) -> list[str]:
        """Return which of this process and the reachable ones watch."""
        names = [self._name, *reachable]
        if self._capacity_by_name.keys() >= set(names):
            return select_watchers(names, capacity_by_name=self._capacity_by_name)
        return select_watchers(names, capacity_by_name={})


class Feed:
    """Tracks up to which revision one process has all changes.

    Attributes
    ----------
    complete_revision : int
        Revision up to which every change is known here.
    newest_revision : int
        Revision of the newest change that is known here, which peers are sent.
    last_change_revision : int
        Revision of the last change up to which every change is known here.

    Examples
    --------
    >>> feed = Feed()
    >>> feed.record_listing(revision=7, newest=5)
    >>> feed.record_forwarded(since=6, revision=9), feed.complete_revision
    (True, 9)
    >>> feed.record_forwarded(since=12, revision=13), feed.complete_revision
    (False, 9)
    """

    def __init__(self) -> None:
        self.complete_revision = 0
        self.newest_revision = 0
        self.last_change_revision = 0
        self._peer_revision = 0
        self._behind_since: float | None = None

    def record_listing(self, *, revision: int, newest: int) -> None:
        """Record a listing at a revision and the newest change in it."""
        self.complete_revision = max(self.complete_revision, revision)
        self.last_change_revision = max(self.last_change_revision, revision)
        self.newest_revision = max(self.newest_revision, newest)

    def record_watch(self, *, revision: int, newest: int) -> None:
        """Record what a watch returned."""
        self.complete_revision = max(self.complete_revision, revision)
        if newest:
            self.newest_revision = max(self.newest_revision, newest)
            self.last_change_revision = max(self.last_change_revision, newest)

    def record_forwarded(self, *, since: int, revision: int) -> bool:
        """Record changes that a peer forwarded; return whether none is missing."""
        self.newest_revision = max(self.newest_revision, revision)
        if since > self.complete_revision:
            self.record_peer_revision(revision)
            return False
        self.complete_revision = max(self.complete_revision, revision)
        self.last_change_revision = max(self.last_change_revision, revision)
        return True

    def record_peer_revision(self, newest: int) -> None:
        """Record the revision of the newest change that a peer knows."""
        self._peer_revision = max(self._peer_revision, newest)

    def behind_seconds(self, now: float) -> float:
        """Return for how long a change that a peer knows has been missing here."""
        if self._peer_revision <= self.complete_revision:
            self._behind_since = None
            return 0.0
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since

    def is_lagging(self, now: float) -> bool:
        """Return whether a change that a peer knows has been missing for too long."""
        return self.behind_seconds(now) >= LAG_GRACE_SECONDS
