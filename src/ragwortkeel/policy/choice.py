"""Choice of an upstream: few candidates, least loaded of two, prefix affinity.

Load patterns: many routers with lagged load reports, a few prompt prefixes that
account for most of the load, and callers that retry at another router.

- The candidates are the first few upstreams in rendezvous order of the prefix (or
  of the request id).  Otherwise a router that receives a retry would not know which
  sidecars may hold its run, and a prefix would be cold on every upstream.
- Among the candidates the less loaded of two random ones is chosen.  Choosing the
  least loaded of all sends the requests of every router to the upstream that looked
  idle in the last report; round robin keeps sending to a slow upstream.
- A prefix goes to its first candidate unless that is much busier than the mean
  (`LOAD_BOUND_FRACTION`).  Without the bound one frequent prefix overloads one
  upstream.
- Reports lag, so a router replaces its own load in a report by its current load
  (`LoadEstimate`).  Otherwise it sends a whole burst to one upstream before the
  next report arrives.
- Requests without a prefix prefer the router's own zone within the same bound.
  Zones are well under a millisecond apart, so this saves no time; it avoids traffic
  between zones and its exposure to partitions.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

CANDIDATE_COUNT = 3
"""Candidates of one request: few enough to ask all of them on a retry, enough to lose
one and still draw two."""

LOAD_BOUND_FRACTION = 0.5
"""Fraction of the idle capacity by which a prefix's first upstream may be busier than
the mean.  The bound is wide at low load, where a cache hit is the only gain, and close
to zero in a saturated fleet, where balance matters more."""

HISTORY_SECONDS = 10.0
"""Age of the oldest own load that is retained.  A link whose reports lag by more is
about to be closed."""


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """One upstream as seen by the choice; load and limit in requests.

    `claimed` is the number of requests that other routers are expected to add.
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
        """Load as a fraction of the limit, including the request to assign."""
        return (self.load + 1.0) / max(self.limit, 1e-9)


class LoadEstimate:
    """Load of one upstream: the last report, corrected by own requests since then.

    A report counts the requests of this and of other routers some time ago.  The
    router knows its own requests exactly, then and now, so only the others' requests
    are taken from the report.

    Parameters
    ----------
    apply_correction : bool
        False uses reports unchanged, to measure the effect of the correction.
    """

    def __init__(self, *, apply_correction: bool = True) -> None:
        self._corrects = apply_correction
        self.own = 0
        self._others_reported = 0.0
        self._own_reported = 0
        self._changes: deque[tuple[float, int]] = deque()

    def record_start(self, now: float) -> None:
        """Count one more own request on the upstream."""
        self._change_own(1, now)

    def record_end(self, now: float) -> None:
        """Count one own request less."""
        self._change_own(-1, now)

    def record_report(self, total: int, taken_at: float) -> None:
        """Replace the last report by one of `total` requests at `taken_at`."""
        while len(self._changes) > 1 and self._changes[1][0] <= taken_at:
            self._changes.popleft()
        own_at_report = 0
        if self._changes and self._changes[0][0] <= taken_at:
            own_at_report = self._changes[0][1]
        self._others_reported = float(max(0, total - own_at_report))
        self._own_reported = own_at_report

    def assume_full(self, limit: float) -> None:
        """Assume that there is no headroom until the next report."""
        self._others_reported = max(self._others_reported, limit - self.own)

    @property
    def load(self) -> float:
        """Requests running or queued on the upstream, from this and other routers."""
        if not self._corrects:
            return self._others_reported + self._own_reported
        return self._others_reported + self.own

    def claimed_by_others(self, limit: float) -> float:
        """Return the requests of the headroom that other routers are expected to use.

        All routers see the same headroom in the same report.  If each used all of it,
        an upstream would receive several times its headroom after each report.  So each
        router uses the fraction that it has of the load.  A router without load there
        may add one request, because a router that has just started has no load
        anywhere.
        """
        reported = self._own_reported + self._others_reported
        own_fraction = (self._own_reported + 1.0) / (reported + 1.0)
        headroom = max(0.0, limit - reported)
        if self._own_reported:
            return (1.0 - own_fraction) * headroom
        return min((1.0 - own_fraction) * headroom, max(0.0, headroom - 1.0))

    def _change_own(self, change: int, now: float) -> None:
        self.own += change
        self._changes.append((now, self.own))
        while self._changes[0][0] < now - HISTORY_SECONDS and len(self._changes) > 1:
            self._changes.popleft()


def rendezvous(key: str, names: Sequence[str]) -> list[str]:
    """Return `names` in the order in which `key` prefers them.

    Every router computes the same order.  An upstream that joins or leaves moves
    only the keys for which it ranks first.
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
    """Return the upstream for one request, or None if none has headroom.

    Parameters
    ----------
    ordered : sequence of Candidate
        All usable upstreams in rendezvous order of the request.
    prefix : str
        Empty for a request without a prefix worth caching.
    zone : str
        The router's own zone; empty for no preference.
    random : random.Random
        Source of the two random candidates.
    preferred_count, bound : int, float
        See `CANDIDATE_COUNT` and `LOAD_BOUND_FRACTION`.
    """
    preferred = [
        candidate for candidate in ordered[:preferred_count] if candidate.has_headroom
    ]
    if not preferred:
        # All preferred upstreams are full: any other upstream beats a refusal.
        preferred = [
            candidate
            for candidate in ordered[preferred_count:]
            if candidate.has_headroom
        ]
    if not preferred:
        return None
    if prefix and _within(preferred[0], ordered, bound):
        return preferred[0]
    if not prefix:
        own = [c for c in preferred if c.zone == zone and _within(c, ordered, bound)]
        preferred = own or preferred
    pair = preferred if len(preferred) <= 2 else random.sample(preferred, 2)
    return min(pair, key=lambda candidate: candidate.utilisation)


def _within(candidate: Candidate, ordered: Sequence[Candidate], bound: float) -> bool:
    """Return whether a candidate's utilisation is within the bound of the mean."""
    mean = sum(each.utilisation for each in ordered) / len(ordered)
    return candidate.utilisation <= mean + bound * max(0.0, 1.0 - mean)
