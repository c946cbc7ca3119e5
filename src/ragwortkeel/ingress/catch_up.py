"""When a process requests the configuration from a peer, and from which one.

Pattern of load: the platform sends a change to every process within a fraction of a
second.  If each process forwarded it to all others, a fleet of n processes would carry
n² copies of the full configuration.  On the links of small instances the platform's
answers, the balancer's health checks and callers' data would queue behind them for
seconds.  Yet a process that the platform refuses depends on its peers.

So a configuration is sent only on request.  Every message carries the revision of its
sender; a process that stays behind requests the configuration from one peer, and from
another one only if the first gives no answer.
"""

from dataclasses import dataclass
from random import Random

WATCHER_GRACE_SECONDS = 0.25
"""How long a process that watches waits for the platform before it asks a peer.

On a link of 5 Mbit/s the platform's answer of 70 KB takes 0.1 seconds, and longer with
other traffic.  An unneeded copy costs 10 KB; a change may be due within 2 seconds.
"""

NON_WATCHER_GRACE_SECONDS = 0.05
"""How long a process that does not watch waits before it asks a peer, so that several
changes in quick succession need one request."""

ANSWER_TIMEOUT_SECONDS = 0.5
"""Time after which another peer is asked; over a busy link an answer takes about
0.2 seconds."""


@dataclass(frozen=True, kw_only=True)
class ConfigurationRequest:
    """A request to a peer for the revision that it has in force."""

    peer: str
    revision: int


class CatchUp:
    """The revisions that peers have in force, and the next request to one of them.

    Parameters
    ----------
    random : random.Random
        Chooses among the peers with the newest revision, so that processes ask
        different ones.

    Examples
    --------
    >>> catch_up = CatchUp(random=Random(0))
    >>> catch_up.record_revision("a", 7)
    >>> catch_up.next_request(own_revision=6, now=0.0)
    >>> catch_up.next_request(own_revision=6, now=WATCHER_GRACE_SECONDS)
    ConfigurationRequest(peer='a', revision=7)
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._revision_by_peer: dict[str, int] = {}
        self._own_revision = 0
        self._behind_since: float | None = None
        self._asked_peer: str | None = None
        self._asked_at = float("-inf")

    def record_revision(self, peer: str, revision: int) -> None:
        """Record the revision that a peer has in force; 0 for none."""
        self._revision_by_peer[peer] = revision

    def remove(self, peer: str) -> None:
        """Remove a peer whose link is down."""
        self._revision_by_peer.pop(peer, None)

    def next_request(
        self,
        *,
        own_revision: int,
        now: float,
        grace_seconds: float = WATCHER_GRACE_SECONDS,
    ) -> ConfigurationRequest | None:
        """Return the request to send at monotonic time `now`, or None.

        A returned request counts as sent.  `grace_seconds` is how long this process
        may stay behind before it asks a peer.
        """
        newest = max(self._revision_by_peer.values(), default=0)
        if newest <= own_revision:
            self._behind_since = None
            self._own_revision = own_revision
            return None
        if self._behind_since is None or own_revision > self._own_revision:
            # The source of the revision just applied may deliver the newest one too.
            self._behind_since = now
            self._asked_peer = None
            self._asked_at = float("-inf")
        self._own_revision = own_revision
        wait_seconds = (
            grace_seconds if self._asked_peer is None else ANSWER_TIMEOUT_SECONDS
        )
        if now - max(self._behind_since, self._asked_at) < wait_seconds:
            return None
        self._asked_peer = self._choose(newest)
        self._asked_at = now
        return ConfigurationRequest(peer=self._asked_peer, revision=newest)

    @property
    def is_behind(self) -> bool:
        """Whether a peer had a newer revision at the last call of `next_request`."""
        return self._behind_since is not None

    def _choose(self, newest: int) -> str:
        up_to_date = [
            candidate
            for candidate, revision in self._revision_by_peer.items()
            if revision == newest
        ]
        not_asked = [peer for peer in up_to_date if peer != self._asked_peer]
        return self._random.choice(not_asked or up_to_date)
