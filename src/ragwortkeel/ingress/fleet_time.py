"""Fleet time: lower and upper bounds of the time of day, from the peers' clocks.

After a loss of power only the time of day shows how long ago a process wrote last, and
the clock of one instance may just have been set back or ahead by seconds.  The bound of
a crashed process's spend would be too low, so that its customer gets more than it paid
for.  With an allowance for any jump it would be far too high, and callers are refused.
So each process requests its peers' time of day.  More than half of the clocks of a
fleet include a right one, hence the right time lies between the lowest and the highest.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ragwortkeel.budget.clocks import Reading, read_clocks
from ragwortkeel.messages import ClockAnswer

MIN_PEERS = 3
"""Least number of peers' clocks; fewer may all be wrong by the same jump."""


@dataclass(frozen=True, kw_only=True)
class _Offset:
    """A peer's time of day less the boot clock here, in seconds, between bounds."""

    lowest: float
    highest: float


class FleetTime:
    """The offsets of peers' clocks to the boot clock of this instance.

    A peer reads its clock between the request and the arrival of its answer here, so an
    answer that was delayed, or read late by a suspended process, only widens the
    bounds.  An old answer stays valid: the boot clock never jumps.

    Parameters
    ----------
    peer_count : callable
        Returns the number of other processes of the fleet.

    Examples
    --------
    >>> time = FleetTime(peer_count=lambda: 3)
    >>> time.reading().latest is None
    True
    """

    def __init__(self, *, peer_count: Callable[[], int]) -> None:
        self._peer_count = peer_count
        self._offset_by_peer: dict[str, _Offset] = {}

    def receive_answer(self, peer: str, answer: ClockAnswer, boot: float) -> None:
        """Receive a peer's answer that arrived at `boot` seconds of the boot clock."""
        self._offset_by_peer[peer] = _Offset(
            lowest=answer.wall - boot, highest=answer.wall - answer.asked_at
        )

    def reading(self) -> Reading:
        """Return a reading of all clocks now, with the bounds if they are known."""
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
