"""Request rates to an upstream that are bounded for the fleet as a unit.

Load patterns: an availability zone returns to service, a release replaces all
upstreams in turn, crashed upstreams return cold, or an overloaded upstream announces
a limit.  Such an upstream looks idle, so all processes send to it within the same
second, and it crashes above a few requests per second from all of them together.  The
bound is on that sum and has to hold during a partition too, so it can't depend on
which peers are reachable: each process uses a fraction of the rate that depends only
on the processes that it has discovered since its start.

- `ChosenSenders`: a few processes, the same for all by rendezvous, share the full
  rate.  The sum then has few terms and hardly varies.
- `EqualShare`: each process has the same fraction, by the number of processes that
  the ledgers list.  It applies until a process has discovered all others, because it
  can't determine the chosen senders before.  It also applies to a bound that other
  processes may not know, or that was not confirmed lately: processes that are not
  chosen would never receive its end.

A fraction of the rate is spent from a token bucket with a random initial level.  Full
buckets in all processes would allow a burst of one request per process.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from ragwortkeel.policy.choice import rendezvous

SENDERS_PER_UPSTREAM = 2
"""Processes that send to one cold upstream; a single one may have stopped or lack
callers."""

DISCOVERY_SECONDS = 0.5
"""Time after the start in which a process discovers the others and sends nothing to
bounded upstreams.  A longer time would leave a fleet idle that starts together with
its upstreams."""


@dataclass(frozen=True, kw_only=True)
class FleetRate:
    """A bound on the requests that all processes together send to an upstream.

    Attributes
    ----------
    per_second : float
        Requests per second.
    senders : int
        Processes that share the rate once all are known.
    burst_seconds : float
        Seconds of its rate that an idle sender accumulates beyond one request.
    known_to_all : bool
        Whether all processes know the bound.
    """

    per_second: float
    senders: int = SENDERS_PER_UPSTREAM
    burst_seconds: float = 0.0
    known_to_all: bool = True


@dataclass(frozen=True, kw_only=True)
class OwnSendRate:
    """Rate of one process at a service whose upstreams all announced a limit.

    Attributes
    ----------
    per_second : float
        Requests a second to all upstreams of the service together.
    seconds_to_next : float
        Seconds until the process may send one more request; infinite if other
        processes share all of the limits.
    """

    per_second: float
    seconds_to_next: float

    def seconds_until_send(self, ahead: int) -> float:
        """Return the seconds until a request may be sent, with `ahead` before it."""
        if not ahead:
            return self.seconds_to_next
        if not self.per_second:
            return inf
        return self.seconds_to_next + ahead / self.per_second


@dataclass(frozen=True, kw_only=True)
class EqualShare:
    """Sharing of a rate among `processes` that each use the same fraction."""

    processes: int


@dataclass(frozen=True, kw_only=True)
class ChosenSenders:
    """Sharing of a rate among a few senders, chosen from `own` and `others`.

    `own` is this process, `others` are the other processes.
    """

    own: str
    others: frozenset[str]


Sharing = EqualShare | ChosenSenders


def sharing_among(
    *, own: str, others: frozenset[str], ledger_processes: int
) -> Sharing:
    """Return how a process shares the rate.

    Parameters
    ----------
    others : frozenset of str
        Names of all other processes discovered since the start.
    ledger_processes : int
        Processes that the ledgers list, including stopped ones.
    """
    if len(others) + 1 < ledger_processes:
        return EqualShare(processes=ledger_processes)
    return ChosenSenders(own=own, others=others)


def _equal_among_all(sharing: Sharing) -> EqualShare:
    match sharing:
        case EqualShare():
            return sharing
        case ChosenSenders(others=others):
            return EqualShare(processes=len(others) + 1)


def rate_fraction(
    sharing: Sharing, upstream: str, *, senders: int = SENDERS_PER_UPSTREAM
) -> float:
    """Return the fraction of the fleet's rate that this process may use."""
    match sharing:
        case EqualShare(processes=processes):
            return 1 / max(1, processes)
        case ChosenSenders(own=own, others=others):
            chosen = rendezvous(upstream, sorted(others | {own}))[:senders]
            return 1 / len(chosen) if own in chosen else 0.0


@dataclass(frozen=True, kw_only=True)
class _CachedFraction:
    """A fraction of the rate with the inputs it was computed from."""

    sharing: Sharing
    senders: int
    fraction: float


@dataclass(kw_only=True)
class _Bucket:
    level: float
    updated_at: float


class FleetRates:
    """Requests that this process may send to upstreams with a bound.

    Parameters
    ----------
    sharing : callable
        Returns how the processes currently share a rate.
    random : random.Random
        Source of the initial bucket levels.
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
    >>> alone.record_sent("u1")
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
        """Return the rate that this process may use, in requests per second."""
        sharing = self._sharing()
        if not rate.known_to_all:
            sharing = _equal_among_all(sharing)
        return rate.per_second * self._fraction(sharing, upstream, rate.senders)

    def may_send(self, upstream: str, rate: FleetRate, *, now: float) -> bool:
        """Return whether the upstream may receive one more request now."""
        return self.seconds_to_next(upstream, rate, now=now) <= 0.0

    def seconds_to_next(self, upstream: str, rate: FleetRate, *, now: float) -> float:
        """Return the seconds until the next request; infinite if not a sender."""
        if now < self._discovery_ends_at:
            return self._discovery_ends_at - now
        bucket = self._bucket_by_upstream.get(upstream)
        if bucket is None:
            bucket = _Bucket(level=self._random.random(), updated_at=now)
            self._bucket_by_upstream[upstream] = bucket
        own_rate = self.own_rate(upstream, rate)
        max_level = 1.0 + rate.burst_seconds * own_rate
        bucket.level = min(
            max_level, bucket.level + own_rate * (now - bucket.updated_at)
        )
        bucket.updated_at = now
        if bucket.level >= 1.0:
            return 0.0
        return (1.0 - bucket.level) / own_rate if own_rate else inf

    def _fraction(self, sharing: Sharing, upstream: str, senders: int) -> float:
        # Ranking all processes of a large fleet on each request would be slow.
        cached = self._cached_fraction_by_upstream.get(upstream)
        if cached is None or (cached.sharing, cached.senders) != (sharing, senders):
            fraction = rate_fraction(sharing, upstream, senders=senders)
            cached = _CachedFraction(
                sharing=sharing, senders=senders, fraction=fraction
            )
            self._cached_fraction_by_upstream[upstream] = cached
        return cached.fraction

    def record_sent(self, upstream: str) -> None:
        """Record a request to an upstream with a bound."""
        self._bucket_by_upstream[upstream].level -= 1.0

    def remove(self, upstream: str) -> None:
        """Remove an upstream that no longer has a bound."""
        self._bucket_by_upstream.pop(upstream, None)
        self._cached_fraction_by_upstream.pop(upstream, None)

    def retain(self, upstreams: Iterable[str]) -> None:
        """Retain only these upstreams."""
        for name in self._bucket_by_upstream.keys() - set(upstreams):
            self.remove(name)
