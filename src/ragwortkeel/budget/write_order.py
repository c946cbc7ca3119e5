"""Which process writes the ledgers next, and for whom.

Pattern of load: dozens of processes renew their slices twice a second in one object
by conditional writes.  Each write voids all others that were prepared beside it, so
the tries grow with the square of the processes: with 21 of them most had not got a
write through 14 s after their start.

So whoever writes takes the others' renewals along, and a process that was renewed by
somebody else's write has no reason to write itself.  All go by one order of names:
the first of those that hear each other writes each `RENEWAL_INTERVAL_SECONDS`, the
second only after `RANK_DELAY_SECONDS` more without a renewal, and so on.  Nobody is
elected and nobody
has to agree: two that write at once, as in a partition, cost a refused write, and one
that is killed, frozen or cut off is stood in for after a step.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import lru_cache
from hashlib import blake2b
from random import Random

RENEWAL_INTERVAL_SECONDS = 0.5
"""Between renewals.  A cap holds the demand of two, and is charged for nothing
where a process dies."""

RANK_DELAY_SECONDS = 0.15
"""How much later the next process in the order writes: several times what a write
takes with the calls for renewals before it, 45 ms."""

LATENCY_CLASS_SECONDS = 0.04
"""Writes that take less count as equally quick: 5 to 20 ms, straight or through a
peer.  Each step of the order is as much slower."""

FALLBACK_WRITES_PER_SECOND = 8.0
"""Of all processes together that are not the first in the order."""

UNREACHABLE_LATENCY_CLASS = 9
"""Of a process that does not reach the platform, behind all that do."""

SLOW_LATENCY_CLASS = 4
"""From here on a write is slower than an instance or its link makes it: 0.16 s."""

MIN_SLOW_WRITERS = 2
"""So many processes that write so slowly show that the platform is slow."""

MIN_BACKOFF_SECONDS = 0.02
"""After a write that was refused as another came first; a write takes about 10 ms."""

MAX_BACKOFF_SECONDS = 0.6
"""The pause doubles up to here: dozens of processes that start at once and must each
write once share the object with few collisions then."""


@dataclass(frozen=True, kw_only=True)
class Writer:
    """A process that may write for others.

    Attributes
    ----------
    latency_class : int
        How slowly it writes, as `latency_class_of` says; unlike instances and links
        differ by ten times, and a slow writer is outrun by every other one.
    """

    name: str
    latency_class: int = 0

    @property
    def sort_key(self) -> tuple[int, bytes]:
        """Where it stands in the order; by hash of the name among equally quick ones.

        Names often sort by availability zone, and one zone's processes would then be
        the first of all.
        """
        return self.latency_class, _name_hash(self.name)


def latency_class_of(write_seconds: float, *, reachable: bool) -> int:
    """Return how slow a process is that needs so long for a write; 0 is quick."""
    if not reachable:
        return UNREACHABLE_LATENCY_CLASS
    return min(
        UNREACHABLE_LATENCY_CLASS - 1, int(write_seconds / LATENCY_CLASS_SECONDS)
    )


def rank_of(writer: Writer, others: Iterable[Writer]) -> int:
    """Return how many of the others come before this process."""
    own, *ranked = _equalize_slow_writers([writer, *others])
    return sum(1 for other in ranked if other.sort_key < own.sort_key)


def first_writer(writers: Iterable[Writer]) -> Writer | None:
    """Return the process that writes for these, or None where there are none."""
    ranked = _equalize_slow_writers(writers)
    return min(ranked, key=lambda writer: writer.sort_key, default=None)


def _equalize_slow_writers(writers: Iterable[Writer]) -> list[Writer]:
    """Return the writers as equally quick, where the platform is what is slow.

    Pattern of load: the platform takes a quarter of a second.  Only who writes has
    measured that, so each would be followed by one that has not written yet, which
    has to find its way to the platform and to read the ledgers first.
    """
    writers = list(writers)
    slow = [
        one.latency_class
        for one in writers
        if SLOW_LATENCY_CLASS <= one.latency_class < UNREACHABLE_LATENCY_CLASS
    ]
    if len(slow) < MIN_SLOW_WRITERS:
        return writers
    return [
        replace(one, latency_class=max(one.latency_class, *slow)) for one in writers
    ]


def write_delay(rank: int, *, rank_delay_seconds: float = RANK_DELAY_SECONDS) -> float:
    """Return the seconds since its last renewal after which a process writes."""
    return RENEWAL_INTERVAL_SECONDS + rank * rank_delay_seconds


class FallbackWriter:
    """When a process writes that is not the first, once nobody answers it.

    Pattern of load: the platform, the way to it or the first process is slow while
    callers wait for tokens everywhere.  If each process then wrote by itself, the
    writes would void each other, each refusal would bring all ledgers along, and what
    was slow would stay so for as long as callers come.  So each waits for a random part
    of a time that grows with the fleet, and whoever is answered meanwhile writes
    nothing: the fleet's writes stay at about `FALLBACK_WRITES_PER_SECOND` however many
    processes it has.

    Examples
    --------
    >>> stand_in = FallbackWriter(random=Random(0))
    >>> stand_in.may_write(processes=68, now=0.0)
    False
    >>> stand_in.may_write(processes=68, now=2 * 68 / FALLBACK_WRITES_PER_SECOND)
    True
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._writes_at: float | None = None

    def may_write(self, *, processes: int, now: float) -> bool:
        """Whether to write at this second; a write that is allowed counts as made."""
        if self._writes_at is None:
            longest = 2 * processes / FALLBACK_WRITES_PER_SECOND
            self._writes_at = now + longest * self._random.random()
        if now < self._writes_at:
            return False
        self._writes_at = None
        return True

    def reset(self) -> None:
        """Note that another process writes for this one."""
        self._writes_at = None


def backoff_seconds(refusals: int, random: Random) -> float:
    """Return how long to wait after so many refused writes in a row."""
    longest = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2**refusals)
    return longest * random.random()


@lru_cache(maxsize=4096)
def _name_hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()
