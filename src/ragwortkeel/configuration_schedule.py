"""When a node asks the platform, and which nodes do: decisions without I/O.

The platform counts each call, a waiting watch as one, and its rates grow more
slowly than the fleet.  So a few nodes in each zone watch; the others learn from
them.  Digests carry how long ago the platform was heard, by anyone: where that
grows old the watchers are dead or cut off, and others stand in for them.
Watches are hints: what they skip is found by the lists of the watchers.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from ragwortkeel.configuration_exchange import UNKNOWN

WATCHERS_PER_ZONE = 2
"""One may die or be cut off at any moment; a third would only cost calls."""

WATCH_SECONDS = 5.0
"""How long one watch waits.  Its end confirms that nothing changed: with 25 zones,
two watchers and four kinds these are 40 calls a second."""

STALE_RANGE_SECONDS = (10.0, 20.0)
"""A node whose content nobody confirmed for this long watches itself.  Two watch
ends and the seconds a digest takes to all fit in; each node draws its own bound,
so that a few begin and their word keeps the others from it."""

SIDECAR_STALE_FACTOR = 4.0
"""Sidecars have it from routers, some seconds later, and are ten times as many."""

FALLBACK_WATCH_SECONDS = 60.0
"""How long it then watches before it leaves it to the zone's watchers again."""

FIRST_BACKOFF_SECONDS = 10.0
MAX_BACKOFF_SECONDS = 120.0
"""After a failure a stand-in pauses, longer each time.  While the platform is
down, 1,000 nodes that try this seldom make 33 calls a second, and when it is back
the word of the first spreads before most try."""

LIST_BYTES_PER_SECOND = 2_000
"""A sixth of what a node may spend on control."""

MIN_LIST_SECONDS = 4.0
MAX_LIST_SECONDS = 6 * 3_600.0

PEER_WAIT_SECONDS = 5.0
"""How long one that does not watch waits for its peers before it lists."""

RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 5.0
"""Ten nodes' calls at this pace do not hold down a platform that comes back."""

MAX_WAIT_SECONDS = 1.0
"""The longest rest: by then peers, roles or the clock may ask for a call."""


def rendezvous(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the `count` members that come first for `key`.

    All that know the same members agree, and one that leaves moves only what
    was its own.
    """

    def weight(member: str) -> bytes:
        return blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()

    return sorted(members, key=weight, reverse=True)[:count]


def list_seconds(value_bytes: int) -> float:
    """Return the seconds between two lists of a kind of this size."""
    seconds = value_bytes / LIST_BYTES_PER_SECOND
    return min(max(seconds, MIN_LIST_SECONDS), MAX_LIST_SECONDS)


@dataclass(frozen=True, kw_only=True)
class ListAll:
    """List the kind now."""


@dataclass(frozen=True, kw_only=True)
class Watch:
    """Watch from `revision` for at most `seconds`; 0 only looks."""

    revision: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Ask nothing for `seconds`."""

    seconds: float


Action = ListAll | Watch | Wait


class FollowSchedule:
    """The next call to the platform for one kind.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    random : random.Random
        Spreads the calls of many nodes.
    patience : float
        By how much longer than a router this node bears stale content.
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
        """Return what to do.

        Parameters
        ----------
        watching : bool
            Whether this node is one of its zone's watchers.
        complete : int
            Revision up to which the store is complete, or `UNKNOWN`.
        peers_reachable : bool
            Whether peers answer, from whom to learn instead.
        age : float
            Seconds since the platform confirmed the content, here or to a peer.
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
        """Note a list that was read whole."""
        self._record_success()
        self._incomplete_to = UNKNOWN - 1
        self._list_at = now + list_seconds(value_bytes) * self._jitter()

    def record_watch(self, *, now: float, gap: bool, complete: int) -> None:
        """Note the end of a watch."""
        self._record_success()
        if gap:
            # What the platform forgot to tell is in no later watch either:
            # only a list, or a peer that is complete beyond it, makes it good.
            self._incomplete_to = complete
            self._wait_for_peers_until = now + PEER_WAIT_SECONDS * self._jitter()

    def record_failure(self, *, now: float) -> None:
        """Note a call that failed; the next waits longer, up to a bound."""
        seconds = min(RETRY_SECONDS * 2**self._failures, MAX_RETRY_SECONDS)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = now + seconds * self._jitter()
        # Who stands in stops at the first failure and pauses longer each time:
        # in an outage everybody's content is stale, and all would go on trying.
        if now < self._fallback_until:
            self._fallback_until = now
            self._fallback_from = now + self._backoff_seconds * self._jitter()
            self._backoff_seconds = min(self._backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    def _start_fallback_if_stale(self, now: float, age: float) -> None:
        # The zone's watchers are dead, or they or their peers are cut off;
        # without this a change would come here late or not at all.
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
