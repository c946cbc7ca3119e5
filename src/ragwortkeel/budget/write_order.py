"""The order in which processes write the ledgers.

Dozens of processes renew their slices twice a second in one object by conditional
writes.  Each write makes all other writes that are prepared at the same time fail, so
attempts grow with the square of the number of processes: with 21 processes that all
write, most have not completed a write 14 s after their start.

So one process writes the renewals of all, and a process that was renewed by it doesn't
write.  All processes use the same order of names: the first of those that are connected
writes each `RENEWAL_INTERVAL_SECONDS`, the second only after `RANK_DELAY_SECONDS` more
without a renewal, and so on.  This needs no election and no agreement: two processes
that write at once, as in a partition, cost a refused write, and when the first one is
killed, suspended or disconnected, the next one writes after a rank delay.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import lru_cache
from hashlib import blake2b
from random import Random

RENEWAL_INTERVAL_SECONDS = 0.5
"""Interval between renewals.

The headroom of a cap covers at least the demand of one interval, and a crash of the
process charges it without use.
"""

RANK_DELAY_SECONDS = 0.15
"""Delay of each further process in the order.

It is several times the 45 ms that a write takes with the request for renewals before
it.
"""

LATENCY_CLASS_SECONDS = 0.04
"""Range of write durations that share a latency class.

The first class covers writes of 5 to 20 ms, direct or through a peer.
"""

FALLBACK_WRITES_PER_SECOND = 8.0
"""Rate of writes of all processes together that aren't the first in the order."""

UNREACHABLE_LATENCY_CLASS = 9
"""Class of a process that can't reach the platform, after all that can."""

SLOW_LATENCY_CLASS = 4
"""Class, from 0.16 s on, that a slow instance or link alone does not explain."""

MIN_SLOW_WRITERS = 2
"""Number of processes in slow classes that shows that the platform itself is slow."""

MIN_BACKOFF_SECONDS = 0.02
"""Longest backoff after the first write that lost to another one.

A write takes about 10 ms.
"""

MAX_BACKOFF_SECONDS = 0.6
"""Longest backoff after many writes in a row that lost to another one.

With it, dozens of processes that start at once and each have to write collide rarely.
"""


@dataclass(frozen=True, kw_only=True)
class Writer:
    """A process that may write for its peers.

    Attributes
    ----------
    latency_class : int
        Class of its write duration, see `latency_class_of`.  Instances and links differ
        by a factor of ten, and the writes of a slow writer lose to all others.
    """

    name: str
    latency_class: int = 0

    @property
    def sort_key(self) -> tuple[int, bytes]:
        """Sort key in the order: the latency class, then a hash of the name.

        Names often sort by availability zone, so without the hash the processes of one
        zone would come before all others.
        """
        return self.latency_class, _name_hash(self.name)


def latency_class_of(write_seconds: float, *, reachable: bool) -> int:
    """Return the latency class of a process by its write duration; 0 is the fastest."""
    if not reachable:
        return UNREACHABLE_LATENCY_CLASS
    return min(
        UNREACHABLE_LATENCY_CLASS - 1, int(write_seconds / LATENCY_CLASS_SECONDS)
    )


def rank_of(writer: Writer, others: Iterable[Writer]) -> int:
    """Return how many of the other processes come before this one in the order."""
    own, *ranked = _equalize_slow_writers([writer, *others])
    return sum(1 for other in ranked if other.sort_key < own.sort_key)


def first_writer(writers: Iterable[Writer]) -> Writer | None:
    """Return the first process in the order, or None without any process."""
    ranked = _equalize_slow_writers(writers)
    return min(ranked, key=lambda writer: writer.sort_key, default=None)


def _equalize_slow_writers(writers: Iterable[Writer]) -> list[Writer]:
    """Return the writers, all as slow as the slowest reachable one on a slow platform.

    Only a process that writes measures a slow platform.  By its measured class it would
    be replaced by a process that has not written yet and first has to connect to the
    platform and to read the ledgers, and so on through all processes.
    """
    writers = list(writers)
    slow = [
        entry.latency_class
        for entry in writers
        if SLOW_LATENCY_CLASS <= entry.latency_class < UNREACHABLE_LATENCY_CLASS
    ]
    if len(slow) < MIN_SLOW_WRITERS:
        return writers
    return [
        replace(entry, latency_class=max(entry.latency_class, *slow))
        for entry in writers
    ]


def write_delay(rank: int, *, rank_delay_seconds: float = RANK_DELAY_SECONDS) -> float:
    """Return how many seconds after its last renewal a process of this rank writes."""
    return RENEWAL_INTERVAL_SECONDS + rank * rank_delay_seconds


class FallbackWriter:
    """Decides when a process writes that isn't the first and that gets no reply.

    The platform, the link to it or the first writer may be slow while callers wait for
    tokens at all processes.  If each process then wrote, the writes would make each
    other fail, each refusal would transfer all ledgers, and the slowness would last.
    So each process waits for a random fraction of a time that grows with the fleet, and
    writes only if it gets no reply meanwhile.  The writes of the fleet stay at about
    `FALLBACK_WRITES_PER_SECOND` for any number of processes.

    Examples
    --------
    >>> fallback_writer = FallbackWriter(random=Random(0))
    >>> fallback_writer.may_write(processes=68, now=0.0)
    False
    >>> fallback_writer.may_write(processes=68, now=2 * 68 / FALLBACK_WRITES_PER_SECOND)
    True
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._writes_at: float | None = None

    def may_write(self, *, processes: int, now: float) -> bool:
        """Return whether to write now; after True the next wait begins."""
        if self._writes_at is None:
            longest = 2 * processes / FALLBACK_WRITES_PER_SECOND
            self._writes_at = now + longest * self._random.random()
        if now < self._writes_at:
            return False
        self._writes_at = None
        return True

    def reset(self) -> None:
        """Restart the wait, as another process writes for this one."""
        self._writes_at = None


def backoff_seconds(refusals: int, random: Random) -> float:
    """Return the seconds to wait after refused writes in a row, a random backoff."""
    longest = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2**refusals)
    return longest * random.random()


@lru_cache(maxsize=4096)
def _name_hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()
