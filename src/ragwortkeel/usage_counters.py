"""Counters of what a process uses: bytes on its sockets, and time of its event loop."""

from selectors import DefaultSelector
from time import monotonic

TIMER_SLACK_SECONDS = 0.002
"""A wait may exceed its time limit by this; the selector rounds up to milliseconds."""

MIN_WAIT_SECONDS = 0.001
"""Shorter calls of the selector found events that were there already."""


class ByteCounter:
    """Bytes and writes on the sockets of a process.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Payload since the start.
    sends, receives : int
        Number of writes and reads since the start.
    """

    __slots__ = ("received_bytes", "receives", "sends", "sent_bytes")

    def __init__(self) -> None:
        self.sent_bytes = self.received_bytes = self.sends = self.receives = 0

    def record_sent(self, size: int) -> None:
        """Count one write."""
        self.sent_bytes += size
        self.sends += 1

    def record_received(self, size: int) -> None:
        """Count one read."""
        self.received_bytes += size
        self.receives += 1


class MeasuredSelector(DefaultSelector):
    """The default selector, measuring how long the event loop waits in it.

    Time beyond the time limit of a wait does not count as waiting: the process was not
    given the processor, or was frozen.

    Attributes
    ----------
    waiting_seconds : float
        Time spent waiting since the start.
    arrived_after : float
        Monotonic second after which the events of this turn arrived.
    """

    def __init__(self) -> None:
        super().__init__()
        self.waiting_seconds = 0.0
        self._returned_at = self.arrived_after = monotonic()
        self._longest_turn_seconds = 0.0

    def select(self, timeout=None):
        """Wait for events, as the default selector does."""
        called_at = monotonic()
        turn_seconds = called_at - self._returned_at
        if turn_seconds > self._longest_turn_seconds:
            self._longest_turn_seconds = turn_seconds
        events = super().select(timeout)
        waited = monotonic() - called_at
        returned_at = called_at + waited
        # Events end a wait as they arrive; without a wait, they arrived in the turn.
        has_waited = waited > MIN_WAIT_SECONDS
        self.arrived_after = returned_at if has_waited else self._returned_at
        self._returned_at = returned_at
        if timeout is None or timeout > 0.0:
            if timeout is not None and waited > timeout + TIMER_SLACK_SECONDS:
                waited = timeout
            self.waiting_seconds += waited
        return events

    def drain_longest_turn(self) -> float:
        """Return the longest turn of the event loop since the last call, in seconds."""
        longest, self._longest_turn_seconds = self._longest_turn_seconds, 0.0
        return longest
