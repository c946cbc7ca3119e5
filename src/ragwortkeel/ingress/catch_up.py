"""When a process asks a peer for the configuration, and which peer.

Pattern of load: a change reaches every process from the platform within a fraction of
a second.  Were each of them to hand it on to all, a fleet of n processes would carry
n² copies of the whole configuration, and on the links of small instances the
platform's answers, the balancer's looks and callers' bytes would wait behind them for
seconds.  Yet a process that the platform turns away has nobody but its peers.

So nobody sends a configuration unasked.  Every message tells its sender's revision;
a process that stays behind what it hears asks one peer, and another one only where
that gave no answer.
"""

from dataclasses import dataclass
from random import Random

WATCHER_GRACE_SECONDS = 0.25
"""How long a process behind its peers leaves it to its own watch: on a link of
5 Mbit/s the platform's answer with 70 KB takes 0.1 s, behind others more.  A copy too
many is 10 KB; changes may be due within two seconds."""

NON_WATCHER_GRACE_SECONDS = 0.05
"""The same for a process that does not watch: changes in quick succession are asked
for together."""

ANSWER_TIMEOUT_SECONDS = 0.5
"""After which another peer is asked; an answer over a busy link takes some 0.2 s."""


@dataclass(frozen=True, kw_only=True)
class ConfigurationRequest:
    """Ask this peer; `revision` is the one that it has in force."""

    peer: str
    revision: int


class CatchUp:
    """What peers have in force, and whom to ask for it.

    Parameters
    ----------
    random : random.Random
        Chooses among the peers that have the newest, so that not all ask the same.

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
        """Note which revision a peer has in force; 0 for none."""
        self._revision_by_peer[peer] = revision

    def remove(self, peer: str) -> None:
        """Forget a peer that is no longer heard."""
        self._revision_by_peer.pop(peer, None)

    def next_request(
        self,
        *,
        own_revision: int,
        now: float,
        grace_seconds: float = WATCHER_GRACE_SECONDS,
    ) -> ConfigurationRequest | None:
        """Return whom to ask at this monotonic second, None for nobody.

        A question that is returned counts as asked.  `grace` is how long to leave it
        to the own watch, in seconds.
        """
        newest = max(self._revision_by_peer.values(), default=0)
        if newest <= own_revision:
            self._behind_since = None
            self._own_revision = own_revision
            return None
        if self._behind_since is None or own_revision > self._own_revision:
            # What has just brought a newer one may bring the newest too.
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
        """Whether a peer had a newer one when `next_request` was called last."""
        return self._behind_since is not None

    def _choose(self, newest: int) -> str:
        up_to_date = [
            candidate
            for candidate, revision in self._revision_by_peer.items()
            if revision == newest
        ]
        not_asked = [peer for peer in up_to_date if peer != self._asked_peer]
        return self._random.choice(not_asked or up_to_date)
