"""Which processes watch the platform, and whether another one has fallen behind.

Pattern of load: each watch that waits is a call that is paid for, and each change
answers the watches of all processes at once, with a copy for each of them.  So a few
processes watch, the first of those that hear each other in one order of names, and
pass changes on.  Nobody is elected: who hears none of them watches by itself, and one
that is told of a change it has not got reads it from the platform.
"""

from collections.abc import Iterable

from ragwortkeel.ingress.mesh import by_rendezvous

WATCHERS = 6
"""Of those that hear each other; so many hardly ever die in the same second."""

SHARERS = 2
"""Of those that watch, the first ones; only they pass changes on unasked."""

LAG_SECONDS = 0.5
"""For so long a change may be on its way from the processes that watch."""

_ORDER = "watchers"


def watchers(names: Iterable[str]) -> list[str]:
    """Return which of the processes watch."""
    return by_rendezvous(_ORDER, names)[:WATCHERS]


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
    >>> feed.listed(revision=7, newest=5)
    >>> feed.passed_on(since=6, revision=9), feed.complete
    (True, 9)
    >>> feed.passed_on(since=12, revision=13), feed.complete
    (False, 9)
    """

    def __init__(self) -> None:
        self.complete = 0
        self.newest = 0
        self._since = 0
        self._heard = 0
        self._behind_since: float | None = None

    def listed(self, *, revision: int, newest: int) -> None:
        """Note a list of a revision, and the newest change that it shows."""
        self.complete = max(self.complete, revision)
        self._since = max(self._since, revision)
        self.newest = max(self.newest, newest)

    def watched(self, *, revision: int, newest: int) -> int:
        """Note what a watch brought; return since when these changes follow on."""
        since = self._since
        self.complete = max(self.complete, revision)
        if newest:
            self.newest = max(self.newest, newest)
            self._since = max(self._since, newest)
        return since

    def passed_on(self, *, since: int, revision: int) -> bool:
        """Note changes that a peer passed on; return whether none is missing."""
        self.newest = max(self.newest, revision)
        if since > self.complete:
            self.heard(revision)
            return False
        self.complete = max(self.complete, revision)
        self._since = max(self._since, revision)
        return True

    def heard(self, newest: int) -> None:
        """Note the newest change that a peer knows of."""
        self._heard = max(self._heard, newest)

    def lags(self, now: float) -> bool:
        """Whether a change that a peer knows of has been missing for too long."""
        if self._heard <= self.complete:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= LAG_SECONDS
