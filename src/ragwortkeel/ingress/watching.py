"""Which processes watch the platform, and whether another one has fallen behind.

Pattern of load: each watch that waits is a call that is paid for, and each change
answers the watches of all processes at once, with a copy for each of them.  So a few
processes watch, the first of those that hear each other in one order of names, and
pass changes on.  Nobody is elected: who hears none of them watches by itself, and one
that is told of a change it has not got reads it from the platform.
"""

from collections.abc import Iterable

from ragwortkeel.ingress.mesh import rendezvous_order

WATCHER_COUNT = 6
"""Of those that hear each other; so many hardly ever die in the same second."""

FORWARDER_COUNT = 2
"""Of those that watch, the first ones; only they pass changes on unasked."""

LAG_GRACE_SECONDS = 0.5
"""For so long a change may be on its way from the processes that watch."""

_ORDER = "watchers"


def select_watchers(names: Iterable[str]) -> list[str]:
    """Return which of the processes watch."""
    return rendezvous_order(_ORDER, names)[:WATCHER_COUNT]


class Feed:
    """How complete the changes are that one process has taken in.

    Attributes
    ----------
    complete : int
        Revision up to which every change has been taken in.
    newest : int
        Revision of the newest change seen here, for the peers.

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
        self._last_change_revision = 0
        self._peer_revision = 0
        self._behind_since: float | None = None

    def record_listing(self, *, revision: int, newest: int) -> None:
        """Note a list of a revision, and the newest change that it shows."""
        self.complete_revision = max(self.complete_revision, revision)
        self._last_change_revision = max(self._last_change_revision, revision)
        self.newest_revision = max(self.newest_revision, newest)

    def record_watch(self, *, revision: int, newest: int) -> int:
        """Note what a watch brought; return since when these changes follow on."""
        since = self._last_change_revision
        self.complete_revision = max(self.complete_revision, revision)
        if newest:
            self.newest_revision = max(self.newest_revision, newest)
            self._last_change_revision = max(self._last_change_revision, newest)
        return since

    def record_forwarded(self, *, since: int, revision: int) -> bool:
        """Note changes that a peer passed on; return whether none is missing."""
        self.newest_revision = max(self.newest_revision, revision)
        if since > self.complete_revision:
            self.record_peer_revision(revision)
            return False
        self.complete_revision = max(self.complete_revision, revision)
        self._last_change_revision = max(self._last_change_revision, revision)
        return True

    def record_peer_revision(self, newest: int) -> None:
        """Note the newest change that a peer knows of."""
        self._peer_revision = max(self._peer_revision, newest)

    def is_lagging(self, now: float) -> bool:
        """Whether a change that a peer knows of has been missing for too long."""
        if self._peer_revision <= self.complete_revision:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= LAG_GRACE_SECONDS
