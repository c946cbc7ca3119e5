"""The time of day as the whole fleet knows it, between two bounds.

After a loss of power only the time of day tells how long ago a process wrote last,
and that of one instance may just have been set back or ahead by seconds.  Failure:
a dead process's spend is bounded too low and its customer gets more than it paid
for, or, with an allowance for any jump, far too high and callers are refused.  So
each process asks its peers for their time.  Of more than half of a fleet's clocks
one at least is right, hence the right time lies between the lowest and the highest.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ragwortkeel.budget.clocks import Reading, read_clocks
from ragwortkeel.messages import ClockAnswer

MIN_PEERS = 3
"""Fewer clocks may all be off by the same jump."""


@dataclass(frozen=True, kw_only=True)
class _Offset:
    """A peer's time of day less the boot clock here, in seconds, between bounds."""

    lowest: float
    highest: float


class FleetTime:
    """What this process knows of its peers' clocks.

    A peer's answer is between its question and its arrival by the boot clock here,
    so one that was delayed, or read late by a process that stood still, only makes
    the bounds wider.  An old answer stays good: what is kept is the offset to a
    clock that never jumps.

    Parameters
    ----------
    others : callable
        Returns how many other processes the fleet has.

    Examples
    --------
    >>> time = FleetTime(others=lambda: 3)
    >>> time.reading().latest is None
    True
    """

    def __init__(self, *, others: Callable[[], int]) -> None:
        self._peer_count = others
        self._offset_by_peer: dict[str, _Offset] = {}

    def answered(self, peer: str, answer: ClockAnswer, boot: float) -> None:
        """Take in a peer's answer that arrived at `boot` by the boot clock."""
        self._offset_by_peer[peer] = _Offset(
            lowest=answer.wall - boot, highest=answer.wall - answer.asked_at
        )

    def reading(self) -> Reading:
        """Return what all clocks show now, with the bounds if they are known."""
        return self.with_bounds(read_clocks())

    def with_bounds(self, reading: Reading) -> Reading:
        """Return the reading with the bounds if enough peers have answered."""
        offsets = self._offset_by_peer.values()
        answers = len(offsets)
        if answers < MIN_PEERS or 2 * (answers + 1) <= self._peer_count() + 1:
            return reading
        lowest = min(offset.lowest for offset in offsets)
        highest = max(offset.highest for offset in offsets)
        return replace(
            reading,
            earliest=min(reading.wall, reading.boot + lowest),
            latest=max(reading.wall, reading.boot + highest),
        )
