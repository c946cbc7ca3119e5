"""Choice of an upstream: few candidates, least loaded of two, prefix affinity.

Patterns of load: many routers with lagged load reports, a few prompt prefixes
that take most of the load, and callers that ask again at another router.

- Candidates are the first few upstreams in rendezvous order of the prefix (or
  of the request id).  Without that, a retry at another router could not know
  which sidecars may hold its run, and a prefix would be cold everywhere.
- Among them the less loaded of two drawn at random.  Taking the least loaded of
  all makes every router run to the one upstream that looked idle in the last
  report; round robin keeps feeding a slow one.
- A prefix goes to its first candidate while that is not much busier than the
  mean (`LOAD_BOUND_FRACTION`).  Without the bound one hot prefix overloads one
  upstream.
- Reports lag, so a router replaces its own part of a report by what it knows
  now (`LoadEstimate`).  Without that it sends a whole burst to one upstream
  before the next report comes.
- Without a prefix, the own zone goes first within the same bound.  Zones are
  well under a millisecond apart, so it saves no time; it keeps work off the
  links between zones, and out of reach of their partitions.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

CANDIDATE_COUNT = 3
"""Few enough to ask them all on a retry, enough to lose one and draw two."""

LOAD_BOUND_FRACTION = 0.5
"""A prefix's first upstream may be busier than the mean by this part of what is
idle: a lot in quiet times, when a hit is all there is to gain, and nothing in a
saturated fleet, where balance is worth more."""

HISTORY_SECONDS = 10.0
"""Reports older than this come from a link that is about to be given up."""


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """One upstream as the choice sees it; load and room in requests.

    `claimed` is what the other routers are expected to take of the free room.
    """

    name: str
    zone: str
    load: float
    limit: float
    claimed: float = 0.0

    @property
    def has_headroom(self) -> bool:
        """Whether one more request fits."""
        return self.load + self.claimed + 1.0 <= self.limit

    @property
    def utilisation(self) -> float:
        """Load as a share of the room, the request to place included."""
        return (self.load + 1.0) / max(self.limit, 1e-9)


class LoadEstimate:
    """One upstream's load: the last report, corrected by own work since.

    A report counts own and other routers' work as it was some time ago.  What
    the own part was then and is now is known exactly, so only the rest is taken
    from the report.

    Parameters
    ----------
    corrects : bool
        False takes reports as they are, to measure what the correction buys.
    """

    def __init__(self, *, apply_correction: bool = True) -> None:
        self._corrects = apply_correction
        self.own = 0
        self._others_reported = 0.0
        self._own_reported = 0
        self._changes: deque[tuple[float, int]] = deque()

    def record_start(self, now: float) -> None:
        """Count one more request of one's own there."""
        self._change_own(1, now)

    def record_end(self, now: float) -> None:
        """Count one less."""
        self._change_own(-1, now)

    def record_report(self, total: int, taken_at: float) -> None:
        """Take over a report of `total` requests there at `taken_at`."""
        while len(self._changes) > 1 and self._changes[1][0] <= taken_at:
            self._changes.popleft()
        own_then = 0
        if self._changes and self._changes[0][0] <= taken_at:
            own_then = self._changes[0][1]
        self._others_reported = float(max(0, total - own_then))
        self._own_reported = own_then

    def assume_full(self, limit: float) -> None:
        """Believe that there is no room until the next report."""
        self._others_reported = max(self._others_reported, limit - self.own)

    @property
    def load(self) -> float:
        """Requests running or waiting there, own and others'."""
        if not self._corrects:
            return self._others_reported + self._own_reported
        return self._others_reported + self.own

    def claimed_by_others(self, limit: float) -> float:
        """Return how much of the free room other routers are to take.

        All routers see the same free room in the same report.  If each took all
        of it, an upstream would be sent several times what it has places for,
        after each report; so each takes the part that it has of the load.  One
        that has nothing there may take one place: a router just started has no
        part anywhere.
        """
        reported = self._own_reported + self._others_reported
        part = (self._own_reported + 1.0) / (reported + 1.0)
        free = max(0.0, limit - reported)
        if self._own_reported:
            return (1.0 - part) * free
        return min((1.0 - part) * free, max(0.0, free - 1.0))

    def _change_own(self, change: int, now: float) -> None:
        self.own += change
        self._changes.append((now, self.own))
        while self._changes[0][0] < now - HISTORY_SECONDS and len(self._changes) > 1:
            self._changes.popleft()


def rendezvous(key: str, names: Sequence[str]) -> list[str]:
    """Return `names` in the order in which `key` prefers them.

    Every router computes the same order, and an upstream that joins or leaves
    moves only the keys that it wins or held.
    """
    salt = blake2b(key.encode(), digest_size=16).digest()

    def rank(name: str) -> bytes:
        return blake2b(name.encode(), digest_size=8, key=salt).digest()

    return sorted(names, key=rank)


def choose(
    *,
    ordered: Sequence[Candidate],
    prefix: str,
    zone: str,
    random: Random,
    preferred_count: int = CANDIDATE_COUNT,
    bound: float = LOAD_BOUND_FRACTION,
) -> Candidate | None:
    """Return the upstream for one request, or None where none has room.

    Parameters
    ----------
    ordered : sequence of Candidate
        All usable upstreams in rendezvous order of the request.
    prefix : str
        Empty for a request without a prefix worth keeping together.
    zone : str
        The router's own zone; empty for no preference.
    random : random.Random
        Draws the two.
    preferred_count, bound : int, float
        See `CANDIDATE_COUNT` and `LOAD_BOUND_FRACTION`.
    """
    near = [
        candidate for candidate in ordered[:preferred_count] if candidate.has_headroom
    ]
    if not near:
        # All of the few are full: a run elsewhere beats a refusal.
        near = [
            candidate
            for candidate in ordered[preferred_count:]
            if candidate.has_headroom
        ]
    if not near:
        return None
    if prefix and _within(near[0], ordered, bound):
        return near[0]
    if not prefix:
        own = [c for c in near if c.zone == zone and _within(c, ordered, bound)]
        near = own or near
    pair = near if len(near) <= 2 else random.sample(near, 2)
    return min(pair, key=lambda candidate: candidate.utilisation)


def _within(home: Candidate, ordered: Sequence[Candidate], bound: float) -> bool:
    """Tell whether the first choice is busy within the bound of the mean."""
    mean = sum(candidate.utilisation for candidate in ordered) / len(ordered)
    return home.utilisation <= mean + bound * max(0.0, 1.0 - mean)
