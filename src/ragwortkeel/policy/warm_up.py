"""Slow start: how often a cold upstream may be sent a request.

Pattern of load: an availability zone is taken back, a release replaces all upstreams
in turn, or crashed ones return.  Each looks idle, so all processes turn to it within
the same second, and it crashes again above a few requests a second from all of them
together.  The bound is on that sum, also while processes are cut off from each other,
so it can't rest on who is reachable now: each process keeps to a share of the rate
that depends only on the processes it has ever heard of.

- `ChosenSenders`: a few of them, the same for all by rendezvous, have the whole rate.
  The sum then has few terms and hardly any chance in it.
- `EqualShare`: each has the same part, by the number of processes that the ledgers
  show.  That is for a process that has not heard of all others yet: it can't tell who
  is chosen.  It is also for an upstream of which only one process may think that it is
  cold, after a failed connection: one that is not chosen would never find out.

A share is spent from a bucket of one request that starts at a random level.  Full
buckets of all processes would be a burst of as many requests as there are processes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ragwortkeel.policy.choice import rendezvous

SENDERS = 2
"""Processes that send to one cold upstream; one alone may be dead or lack callers."""

LEARNING_SECONDS = 0.5
"""After its start a process has not heard of the others yet and sends nothing to cold
upstreams.  Longer would leave a fleet that starts with its upstreams idle."""


@dataclass(frozen=True, kw_only=True)
class EqualShare:
    """One of so many processes that each send as often."""

    processes: int


@dataclass(frozen=True, kw_only=True)
class ChosenSenders:
    """One of the processes `names`, of which `SENDERS` send to an upstream."""

    own: str
    names: frozenset[str]


Sharing = EqualShare | ChosenSenders


def sharing_among(*, own: str, others: frozenset[str], holders: int) -> Sharing:
    """Return how a process shares the rate.

    Parameters
    ----------
    others : frozenset of str
        Names of all other processes that it has ever heard of.
    holders : int
        Processes that the ledgers show, starts that are gone among them.
    """
    if len(others) + 1 < holders:
        return EqualShare(processes=holders)
    return ChosenSenders(own=own, names=others)


def _equal_among_all(sharing: Sharing) -> EqualShare:
    match sharing:
        case EqualShare():
            return sharing
        case ChosenSenders(names=names):
            return EqualShare(processes=len(names) + 1)


def share_of_rate(sharing: Sharing, upstream: str) -> float:
    """Return the part of the fleet's rate that this process has at an upstream."""
    match sharing:
        case EqualShare(processes=processes):
            return 1 / max(1, processes)
        case ChosenSenders(own=own, names=names):
            chosen = rendezvous(upstream, sorted(names | {own}))[:SENDERS]
            return 1 / len(chosen) if own in chosen else 0.0


@dataclass(kw_only=True)
class _Bucket:
    level: float
    at: float


class WarmUp:
    """The requests that this process may send to cold upstreams.

    Parameters
    ----------
    sharing : callable
        Returns how the processes share the rate, as known now.
    random : random.Random
        Draws the level at which buckets start.
    started : float
        Monotonic second at which the process started.

    Examples
    --------
    >>> alone = WarmUp(
    ...     sharing=lambda: EqualShare(processes=1), random=Random(0), started=0.0
    ... )
    >>> alone.may_send("u1", per_second=10.0, now=5.0)
    False
    >>> alone.may_send("u1", per_second=10.0, now=5.1)
    True
    >>> alone.sent("u1")
    >>> alone.may_send("u1", per_second=10.0, now=5.1)
    False
    """

    def __init__(
        self, *, sharing: Callable[[], Sharing], random: Random, started: float
    ) -> None:
        self._sharing = sharing
        self._random = random
        self._learned_at = started + LEARNING_SECONDS
        self._bucket_by_upstream: dict[str, _Bucket] = {}

    def may_send(
        self, upstream: str, *, per_second: float, now: float, told: bool = True
    ) -> bool:
        """Whether a cold upstream may be sent one more request now.

        `told` is whether its entry says that it is cold, so that all processes know.
        """
        if now < self._learned_at:
            return False
        bucket = self._bucket_by_upstream.get(upstream)
        if bucket is None:
            bucket = _Bucket(level=self._random.random(), at=now)
            self._bucket_by_upstream[upstream] = bucket
        sharing = self._sharing() if told else _equal_among_all(self._sharing())
        rate = per_second * share_of_rate(sharing, upstream)
        bucket.level = min(1.0, bucket.level + rate * (now - bucket.at))
        bucket.at = now
        return bucket.level >= 1.0

    def sent(self, upstream: str) -> None:
        """Note that a request goes to a cold upstream."""
        self._bucket_by_upstream[upstream].level -= 1.0

    def forget(self, upstream: str) -> None:
        """Drop what was counted for an upstream that is warm or gone."""
        self._bucket_by_upstream.pop(upstream, None)
