"""Decides when the next events of a stream are read, so that some come together.

One read and one write of several small events cost little more than those of one event.
"""

DELIVERY_RESERVE_SECONDS = 0.12
"""Part of the promised delivery time that is left for late timers and the link."""

MAX_HOLD_SECONDS = 0.25
"""Longest wait, whatever is promised; a longer one would hardly save more.

A close of the upstream is noticed with the next read, and callers leave after 2 s.
"""

READ_GRID_SECONDS = 0.01
"""Reads after a wait take place at multiples of this time.

The streams of a process then wake it together, and not each one by itself.
"""

SHORTEST_WAIT_SECONDS = 0.002
"""A wait that is shorter than this costs more than it saves."""

LARGE_BLOCK_BYTES = 16 * 1024
"""After a block of this size more is probably waiting, and it fills packets anyway."""


class ReadSchedule:
    """Schedule of the reads of one stream.

    Parameters
    ----------
    delivery_seconds : float
        Promised time from when an upstream makes an event until it is passed on; 0 if
        none is promised, so that nothing waits.
    """

    def __init__(self, *, delivery_seconds: float) -> None:
        hold_seconds = max(0.0, delivery_seconds - DELIVERY_RESERVE_SECONDS)
        self._hold_seconds = min(MAX_HOLD_SECONDS, hold_seconds)
        self._next_read_at = 0.0

    def record_forwarded(self, block_bytes: int, now: float) -> None:
        """Record that the events of a block of that size were passed on."""
        if self._hold_seconds and block_bytes < LARGE_BLOCK_BYTES:
            steps = (now + self._hold_seconds) // READ_GRID_SECONDS
            self._next_read_at = steps * READ_GRID_SECONDS

    def seconds_until_read(self, now: float) -> float:
        """Return how long to wait before the next read; 0 for no wait."""
        seconds = self._next_read_at - now
        return seconds if seconds >= SHORTEST_WAIT_SECONDS else 0.0
