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

STALE_SECONDS = (10.0, 20.0)
"""A node whose content nobody confirmed for this long watches itself.  Two watch
ends and the seconds a digest takes to all fit in; each node draws its own bound,
so that a few begin and their word keeps the others from it."""

SIDECAR_PATIENCE = 4.0
"""Sidecars have it from routers, some seconds later, and are ten times as many."""

STAND_IN_SECONDS = 60.0
"""How long it then watches before it leaves it to the zone's watchers again."""

PAUSE_SECONDS = 10.0
MAX_PAUSE_SECONDS = 120.0
"""After a failure a stand-in pauses, longer each time.  While the platform is
down, 1,000 nodes that try this seldom make 33 calls a second, and when it is back
the word of the first spreads before most try."""

LIST_BYTES_PER_SECOND = 2_000
"""A sixth of what a node may spend on control."""

MIN_LIST_SECONDS = 4.0
MAX_LIST_SECONDS = 6 * 3_600.0

LEARN_SECONDS = 5.0
"""How long one that does not watch waits for its peers before it lists."""

RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 5.0
"""Ten nodes' calls at this pace do not hold down a platform that comes back."""

REST_SECONDS = 1.0
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
class Rest:
    """Ask nothing for `seconds`."""

    seconds: float


Step = ListAll | Watch | Rest


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

    def __init__(self, *, now: float, random: Random, patience: float = 1.0) -> None:
        self._random = random
        self._list_at = now
        self._retry_at = now
        self._stand_in_from = now
        self._stand_in_until = now
        self._pause = PAUSE_SECONDS
        self._patience = patience
        self._stale_seconds = self._draw_stale_seconds()
        self._failures = 0
        self._incomplete_to = UNKNOWN
        self._learn_until = now + LEARN_SECONDS

    def next(
        self,
        *,
        now: float,
        watching: bool,
        complete: int,
        peers_heard: bool,
        age: float,
    ) -> Step:
        """Return what to do.

        Parameters
        ----------
        watching : bool
            Whether this node is one of its zone's watchers.
        complete : int
            Revision up to which the store is complete, or `UNKNOWN`.
        peers_heard : bool
            Whether peers answer, from whom to learn instead.
        age : float
            Seconds since the platform confirmed the content, here or to a peer.
        """
        if now < self._retry_at:
            return _rest(self._retry_at - now)
        incomplete = complete <= self._incomplete_to
        if not watching and incomplete and peers_heard and now < self._learn_until:
            return _rest(self._learn_until - now)
        if incomplete:
            return ListAll()
        if not watching:
            self._consider_standing_in(now, age)
            if now >= self._stand_in_until:
                wait = max(self._stale_seconds - age, self._stand_in_from - now)
                return _rest(wait)
        if now >= self._list_at:
            return ListAll()
        seconds = min(WATCH_SECONDS, self._list_at - now)
        return Watch(revision=complete, seconds=seconds)

    def listed(self, *, now: float, value_bytes: int) -> None:
        """Note a list that was read whole."""
        self._succeeded()
        self._incomplete_to = UNKNOWN - 1
        self._list_at = now + list_seconds(value_bytes) * self._spread()

    def watched(self, *, now: float, gap: bool, complete: int) -> None:
        """Note the end of a watch."""
        self._succeeded()
        if gap:
            # What the platform forgot to tell is in no later watch either:
            # only a list, or a peer that is complete beyond it, makes it good.
            self._incomplete_to = complete
            self._learn_until = now + LEARN_SECONDS * self._spread()

    def failed(self, *, now: float) -> None:
        """Note a call that failed; the next waits longer, up to a bound."""
        seconds = min(RETRY_SECONDS * 2**self._failures, MAX_RETRY_SECONDS)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = now + seconds * self._spread()
        # Who stands in stops at the first failure and pauses longer each time:
        # in an outage everybody's content is stale, and all would go on trying.
        if now < self._stand_in_until:
            self._stand_in_until = now
            self._stand_in_from = now + self._pause * self._spread()
            self._pause = min(self._pause * 2, MAX_PAUSE_SECONDS)

    def _consider_standing_in(self, now: float, age: float) -> None:
        # The zone's watchers are dead, or they or their peers are cut off;
        # without this a change would come here late or not at all.
        if age >= self._stale_seconds and now >= self._stand_in_from:
            self._stand_in_until = now + STAND_IN_SECONDS
            self._stale_seconds = self._draw_stale_seconds()

    def _draw_stale_seconds(self) -> float:
        return self._patience * self._random.uniform(*STALE_SECONDS)

    def _succeeded(self) -> None:
        self._failures = 0
        self._pause = PAUSE_SECONDS

    def _spread(self) -> float:
        return self._random.uniform(0.5, 1.5)


def _rest(seconds: float) -> Rest:
    return Rest(seconds=min(seconds, REST_SECONDS))
