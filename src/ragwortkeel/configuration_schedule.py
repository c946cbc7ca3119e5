"""When a process calls the platform for configuration: decisions without I/O.

The platform limits the rate of calls, where a waiting watch counts as one call, and
its limits grow more slowly than the fleet.  So only a few processes in each zone
watch; the others receive changes from them.  Digests carry the seconds since the
platform last confirmed the content to any process.  If that age grows too large, the
watchers have failed or are partitioned, and other processes watch in their place.
Watches are hints: the watchers' lists find the changes that watches skip.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from ragwortkeel.configuration_exchange import UNKNOWN

WATCHERS_PER_ZONE = 2
"""Two, so that one may fail or be partitioned; a third would only cost calls."""

WATCH_SECONDS = 5.0
"""Duration of one watch.

Its end confirms that nothing changed.  With 25 zones, two watchers each and four
kinds, this makes 40 calls a second.
"""

STALE_RANGE_SECONDS = (10.0, 20.0)
"""Range of the age of the content at which a process starts a fallback watch.

Two watches and the seconds that a digest takes to reach all processes fit in.  Each
process draws its own bound from the range, so that a few start first and their
confirmations keep the others from it.
"""

SIDECAR_STALE_FACTOR = 4.0
"""Factor on the stale bound of sidecars.

Sidecars receive confirmations some seconds later than routers, and there are ten
times as many of them.
"""

FALLBACK_WATCH_SECONDS = 60.0
"""Duration of fallback watching, before it is left to the zone's watchers again."""

FIRST_BACKOFF_SECONDS = 10.0
MAX_BACKOFF_SECONDS = 120.0
"""Range of the backoff after a fallback watch fails; it doubles each time.

While the platform is down, 1,000 processes with this backoff make 33 calls a second.
When it is available again, the first confirmation reaches most processes before
their next attempt.
"""

LIST_BYTES_PER_SECOND = 2_000
"""Rate of lists of one kind: a sixth of a process's bandwidth for control."""

MIN_LIST_SECONDS = 4.0
MAX_LIST_SECONDS = 6 * 3_600.0

PEER_WAIT_SECONDS = 5.0
"""How long a process that is no watcher waits for its peers before it lists."""

RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 5.0
"""Range of the backoff after a failed call.

Calls of ten processes at this rate do not keep a recovering platform overloaded.
"""

MAX_WAIT_SECONDS = 1.0
"""Longest wait; after it, changed peers or roles may require a call."""


def rendezvous(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the `count` members with the highest rendezvous hash for `key`.

    All processes that know the same members get the same result.  If a member
    leaves, only the keys that it was chosen for change.
    """

    def weight(member: str) -> bytes:
        return blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()

    return sorted(members, key=weight, reverse=True)[:count]


def list_seconds(value_bytes: int) -> float:
    """Return the seconds between two lists of a kind with values of this size."""
    seconds = value_bytes / LIST_BYTES_PER_SECOND
    return min(max(seconds, MIN_LIST_SECONDS), MAX_LIST_SECONDS)


@dataclass(frozen=True, kw_only=True)
class ListAll:
    """Decision to list the kind now."""


@dataclass(frozen=True, kw_only=True)
class Watch:
    """Decision to watch from `revision` for at most `seconds`; 0 does not wait."""

    revision: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Decision to make no call for `seconds`."""

    seconds: float


Action = ListAll | Watch | Wait


class FollowSchedule:
    """Schedule of the calls to the platform for one kind.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    random : random.Random
        Spreads the calls of many processes over time.
    patience : float
        Factor on the age at which a router starts a fallback watch.
    """

    def __init__(
        self, *, now: float, random: Random, stale_factor: float = 1.0
    ) -> None:
        self._random = random
        self._list_at = now
        self._retry_at = now
        self._fallback_from = now
        self._fallback_until = now
        self._backoff_seconds = FIRST_BACKOFF_SECONDS
        self._stale_factor = stale_factor
        self._stale_seconds = self._draw_stale_seconds()
        self._failures = 0
        self._incomplete_to = UNKNOWN
        self._wait_for_peers_until = now + PEER_WAIT_SECONDS

    def next_action(
        self,
        *,
        now: float,
        watching: bool,
        complete: int,
        peers_reachable: bool,
        age: float,
    ) -> Action:
        """Return the next action.

        Parameters
        ----------
        watching : bool
            Whether this process is one of its zone's watchers.
        complete : int
            Revision up to which the store is complete, or `UNKNOWN`.
        peers_reachable : bool
            Whether peers are reachable and can send the content instead.
        age : float
            Seconds since the platform confirmed the content, to this process or a
            peer.
        """
        if now < self._retry_at:
            return _wait(self._retry_at - now)
        incomplete = complete <= self._incomplete_to
        if (
            not watching
            and incomplete
            and peers_reachable
            and now < self._wait_for_peers_until
        ):
            return _wait(self._wait_for_peers_until - now)
        if incomplete:
            return ListAll()
        if not watching:
            self._start_fallback_if_stale(now, age)
            if now >= self._fallback_until:
                wait = max(self._stale_seconds - age, self._fallback_from - now)
                return _wait(wait)
        if now >= self._list_at:
            return ListAll()
        seconds = min(WATCH_SECONDS, self._list_at - now)
        return Watch(revision=complete, seconds=seconds)

    def record_list(self, *, now: float, value_bytes: int) -> None:
        """Record a complete list."""
        self._record_success()
        self._incomplete_to = UNKNOWN - 1
        self._list_at = now + list_seconds(value_bytes) * self._jitter()

    def record_watch(self, *, now: float, gap: bool, complete: int) -> None:
        """Record the end of a watch."""
        self._record_success()
        if gap:
            # Changes that the platform left out are in no later watch either:
            # only a list, or a peer that is complete beyond them, provides them.
            self._incomplete_to = complete
            self._wait_for_peers_until = now + PEER_WAIT_SECONDS * self._jitter()

    def record_failure(self, *, now: float) -> None:
        """Record a failed call, which increases the backoff up to a bound."""
        seconds = min(RETRY_SECONDS * 2**self._failures, MAX_RETRY_SECONDS)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = now + seconds * self._jitter()
        # A fallback watch ends at the first failure, with a growing backoff:
        # during an outage all processes are stale, and all would keep calling.
        if now < self._fallback_until:
            self._fallback_until = now
            self._fallback_from = now + self._backoff_seconds * self._jitter()
            self._backoff_seconds = min(self._backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    def _start_fallback_if_stale(self, now: float, age: float) -> None:
        # The zone's watchers have failed, or they or their peers are partitioned;
        # without a fallback, changes would arrive here late or never.
        if age >= self._stale_seconds and now >= self._fallback_from:
            self._fallback_until = now + FALLBACK_WATCH_SECONDS
            self._stale_seconds = self._draw_stale_seconds()

    def _draw_stale_seconds(self) -> float:
        return self._stale_factor * self._random.uniform(*STALE_RANGE_SECONDS)

    def _record_success(self) -> None:
        self._failures = 0
        self._backoff_seconds = FIRST_BACKOFF_SECONDS

    def _jitter(self) -> float:
        return self._random.uniform(0.5, 1.5)


def _wait(seconds: float) -> Wait:
    return Wait(seconds=min(seconds, MAX_WAIT_SECONDS))
