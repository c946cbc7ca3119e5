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

GRACE_SECONDS = 0.25
"""How long a process behind its peers leaves it to its own watch: on a link of
5 Mbit/s the platform's answer with 70 KB takes 0.1 s, behind others more.  A copy too
many is 10 KB; changes may be due within two seconds."""

UNWATCHED_GRACE_SECONDS = 0.05
"""The same for a process that does not watch: changes in quick succession are asked
for together."""

ANSWER_SECONDS = 0.5
"""After which another peer is asked; an answer over a busy link takes some 0.2 s."""


@dataclass(frozen=True, kw_only=True)
class Question:
    """Ask this peer; `heard` is the revision that it has in force."""

    peer: str
    heard: int


class CatchUp:
    """What peers have in force, and whom to ask for it.

    Parameters
    ----------
    random : random.Random
        Chooses among the peers that have the newest, so that not all ask the same.

    Examples
    --------
    >>> catch_up = CatchUp(random=Random(0))
    >>> catch_up.heard("a", 7)
    >>> catch_up.ask(own=6, now=0.0)
    >>> catch_up.ask(own=6, now=GRACE_SECONDS)
    Question(peer='a', heard=7)
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._revision_by_peer: dict[str, int] = {}
        self._own = 0
        self._behind_since: float | None = None
        self._asked: str | None = None
        self._asked_at = float("-inf")

    def heard(self, peer: str, revision: int) -> None:
        """Note which revision a peer has in force; 0 for none."""
        self._revision_by_peer[peer] = revision

    def lost(self, peer: str) -> None:
        """Forget a peer that is no longer heard."""
        self._revision_by_peer.pop(peer, None)

    def ask(
        self, *, own: int, now: float, grace: float = GRACE_SECONDS
    ) -> Question | None:
        """Return whom to ask at this monotonic second, None for nobody.

        A question that is returned counts as asked.  `grace` is how long to leave it
        to the own watch, in seconds.
        """
        newest = max(self._revision_by_peer.values(), default=0)
        if newest <= own:
            self._behind_since = None
            self._own = own
            return None
        if self._behind_since is None or own > self._own:
            # What has just brought a newer one may bring the newest too.
            self._behind_since = now
            self._asked = None
            self._asked_at = float("-inf")
        self._own = own
        patience = grace if self._asked is None else ANSWER_SECONDS
        if now - max(self._behind_since, self._asked_at) < patience:
            return None
        self._asked = self._choose(newest)
        self._asked_at = now
        return Question(peer=self._asked, heard=newest)

    @property
    def behind(self) -> bool:
        """Whether a peer had a newer one when `ask` was called last."""
        return self._behind_since is not None

    def _choose(self, newest: int) -> str:
        having = [p for p, one in self._revision_by_peer.items() if one == newest]
        others = [peer for peer in having if peer != self._asked]
        return self._random.choice(others or having)
