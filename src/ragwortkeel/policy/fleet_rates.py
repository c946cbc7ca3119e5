"""How often an upstream may be sent a request, where the bound is on the whole fleet.

Patterns of load: an availability zone is taken back, a release replaces all upstreams
in turn, or crashed ones return cold; or an overloaded one announces a limit.  Each
looks idle, so all processes turn to it within the same second, and it crashes above a
few requests a second from all of them together.  The bound is on that sum, also while
processes are cut off from each other, so it can't rest on who is reachable now: each
process keeps to a share of the rate that depends only on the processes it has ever
heard of.

- `ChosenSenders`: a few of them, the same for all by rendezvous, have the whole rate.
  The sum then has few terms and hardly any chance in it.
- `EqualShare`: each has the same part, by the number of processes that the ledgers
  show.  That is for a process that has not heard of all others yet: it can't tell who
  is chosen.  It is also for a bound that other processes may not know of, or that
  nothing has confirmed lately: one that is not chosen would never find out.

A share is spent from a bucket that starts at a random level.  Full buckets of all
processes would be a burst of as many requests as there are processes.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from ragwortkeel.policy.choice import rendezvous

SENDERS_PER_UPSTREAM = 2
"""Processes that send to one cold upstream; one alone may be dead or lack callers."""

DISCOVERY_SECONDS = 0.5
"""After its start a process has not heard of the others yet and sends nothing to
bounded upstreams.  Longer would leave a fleet that starts with its upstreams idle."""


@dataclass(frozen=True, kw_only=True)
class FleetRate:
    """A bound on the requests that all processes together send to an upstream.

    Attributes
    ----------
    per_second : float
        Requests a second.
    senders : int
        Processes that share it where all are known.
    saved_seconds : float
        Of its share, what an idle sender saves up beyond one request.
    known_to_all : bool
        Whether all processes know of the bound.
    """

    per_second: float
    senders: int = SENDERS_PER_UPSTREAM
    burst_seconds: float = 0.0
    known_to_all: bool = True


@dataclass(frozen=True, kw_only=True)
class EqualShare:
    """One of so many processes that each send as often."""

    processes: int


@dataclass(frozen=True, kw_only=True)
class ChosenSenders:
    """One of the processes `names`, of which a few send to an upstream."""

    own: str
    names: frozenset[str]


Sharing = EqualShare | ChosenSenders


def sharing_among(
    *, own: str, others: frozenset[str], ledger_processes: int
) -> Sharing:
    """Return how a process shares the rate.

    Parameters
    ----------
    others : frozenset of str
        Names of all other processes that it has ever heard of.
    holders : int
        Processes that the ledgers show, starts that are gone among them.
    """
    if len(others) + 1 < ledger_processes:
        return EqualShare(processes=ledger_processes)
    return ChosenSenders(own=own, names=others)


def _equal_among_all(sharing: Sharing) -> EqualShare:
    match sharing:
        case EqualShare():
            return sharing
        case ChosenSenders(names=names):
            return EqualShare(processes=len(names) + 1)


def rate_fraction(
    sharing: Sharing, upstream: str, *, senders: int = SENDERS_PER_UPSTREAM
) -> float:
    """Return the part of the fleet's rate that this process has at an upstream."""
    match sharing:
        case EqualShare(processes=processes):
            return 1 / max(1, processes)
        case ChosenSenders(own=own, names=names):
            chosen = rendezvous(upstream, sorted(names | {own}))[:senders]
            return 1 / len(chosen) if own in chosen else 0.0


@dataclass(frozen=True, kw_only=True)
class _CachedFraction:
    """A part of the rate, kept as long as what it was worked out from."""

    sharing: Sharing
    senders: int
    fraction: float


@dataclass(kw_only=True)
class _Bucket:
    level: float
    updated_at: float


class FleetRates:
    """The requests that this process may send to upstreams with a bound.

    Parameters
    ----------
    sharing : callable
        Returns how the processes share a rate, as known now.
    random : random.Random
        Draws the level at which buckets start.
    started : float
        Monotonic second at which the process started.

    Examples
    --------
    >>> alone = FleetRates(
    ...     sharing=lambda: EqualShare(processes=1), random=Random(0), started=0.0
    ... )
    >>> rate = FleetRate(per_second=10.0)
    >>> alone.may_send("u1", rate, now=5.0)
    False
    >>> alone.may_send("u1", rate, now=5.1)
    True
    >>> alone.sent("u1")
    >>> alone.may_send("u1", rate, now=5.1)
    False
    """

    def __init__(
        self, *, sharing: Callable[[], Sharing], random: Random, started: float
    ) -> None:
        self._sharing = sharing
        self._random = random
        self._discovery_ends_at = started + DISCOVERY_SECONDS
        self._bucket_by_upstream: dict[str, _Bucket] = {}
        self._cached_fraction_by_upstream: dict[str, _CachedFraction] = {}

    def own_rate(self, upstream: str, rate: FleetRate) -> float:
        """Return this process's part of the rate, in requests a second."""
        sharing = self._sharing()
        if not rate.known_to_all:
            sharing = _equal_among_all(sharing)
        return rate.per_second * self._fraction(sharing, upstream, rate.senders)

    def may_send(self, upstream: str, rate: FleetRate, *, now: float) -> bool:
        """Whether the upstream may be sent one more request now."""
        return self.seconds_to_next(upstream, rate, now=now) <= 0.0

    def seconds_to_next(self, upstream: str, rate: FleetRate, *, now: float) -> float:
        """Return when it may be sent one more; infinite for another's to send."""
        if now < self._discovery_ends_at:
            return self._discovery_ends_at - now
        bucket = self._bucket_by_upstream.get(upstream)
        if bucket is None:
            bucket = _Bucket(level=self._random.random(), updated_at=now)
            self._bucket_by_upstream[upstream] = bucket
        own_rate = self.own_rate(upstream, rate)
        most = 1.0 + rate.burst_seconds * own_rate
        bucket.level = min(most, bucket.level + own_rate * (now - bucket.updated_at))
        bucket.updated_at = now
        if bucket.level >= 1.0:
            return 0.0
        return (1.0 - bucket.level) / own_rate if own_rate else inf

    def _fraction(self, sharing: Sharing, upstream: str, senders: int) -> float:
        # Ranking all processes of a large fleet for each request would be slow.
        known = self._cached_fraction_by_upstream.get(upstream)
        if known is None or (known.sharing, known.senders) != (sharing, senders):
            part = rate_fraction(sharing, upstream, senders=senders)
            known = _CachedFraction(sharing=sharing, senders=senders, fraction=part)
            self._cached_fraction_by_upstream[upstream] = known
        return known.fraction

    def record_sent(self, upstream: str) -> None:
        """Note that a request goes to an upstream with a bound."""
        self._bucket_by_upstream[upstream].level -= 1.0

    def remove(self, upstream: str) -> None:
        """Drop what was counted for an upstream without a bound."""
        self._bucket_by_upstream.pop(upstream, None)
        self._cached_fraction_by_upstream.pop(upstream, None)

    def retain(self, upstreams: Iterable[str]) -> None:
        """Drop what was counted for upstreams that are gone."""
        for name in self._bucket_by_upstream.keys() - set(upstreams):
            self.remove(name)
