"""Counts of the bytes on a process's links, by kind of message.

A message to every peer is sent once for each process of the fleet.  On a link of a few
Mbit/s some dozens of large messages delay everything queued behind them, including
answers of the platform and to callers, without any error.  The counts show which kind
of message fills a link.
"""

from collections import Counter
from dataclasses import dataclass

from ragwortkeel.messages import AnyMessage
from ragwortkeel.usage_counters import ByteCounter

MAX_REPORTED_KINDS = 4
"""Number of kinds in a log line, those with the most bytes; metrics have all kinds."""


@dataclass(frozen=True, kw_only=True)
class TrafficReport:
    """Bytes on links since the last report, by kind of message."""

    sent_bytes_by_kind: dict[str, int]
    received_bytes_by_kind: dict[str, int]

    @property
    def sent_bytes(self) -> int:
        """Total bytes sent."""
        return sum(self.sent_bytes_by_kind.values())

    @property
    def received_bytes(self) -> int:
        """Total bytes received."""
        return sum(self.received_bytes_by_kind.values())


class Traffic:
    """Counter of the bytes that the links of one process send and receive.

    Parameters
    ----------
    counter : ByteCounter or None
        Counts the bytes of all sockets of the process, if given.

    Examples
    --------
    >>> from ragwortkeel.messages import Heartbeat
    >>> traffic = Traffic()
    >>> traffic.record_sent(Heartbeat(), 60)
    >>> traffic.drain_report().sent_bytes_by_kind
    {'Heartbeat': 60}
    """

    def __init__(self, *, counter: ByteCounter | None = None) -> None:
        self._counter = counter or ByteCounter()
        self._sent_bytes_by_kind: Counter[str] = Counter()
        self._received_bytes_by_kind: Counter[str] = Counter()

    def record_sent(self, message: AnyMessage, size: int) -> None:
        """Count the bytes of a message that was sent."""
        self._counter.record_sent(size)
        self._sent_bytes_by_kind[type(message).__name__] += size

    def record_received(self, message: AnyMessage, size: int) -> None:
        """Count the bytes of a message that was received."""
        self._counter.record_received(size)
        self._received_bytes_by_kind[type(message).__name__] += size

    def drain_report(self) -> TrafficReport:
        """Return the counts since the last call and reset them."""
        report = TrafficReport(
            sent_bytes_by_kind=dict(self._sent_bytes_by_kind),
            received_bytes_by_kind=dict(self._received_bytes_by_kind),
        )
        self._sent_bytes_by_kind.clear()
        self._received_bytes_by_kind.clear()
        return report


def format_largest(bytes_by_kind: dict[str, int]) -> str:
    """Return the kinds with the most bytes as ``kind:bytes,...``, largest first."""
    kinds = Counter(bytes_by_kind).most_common(MAX_REPORTED_KINDS)
    return ",".join(f"{kind}:{size}" for kind, size in kinds)
