"""How many bytes a process's links carry, by kind of message.

Pattern of load: a message that goes to every peer costs as many copies as there are
processes.  On a link of a few Mbit/s some dozens of large ones hold up all that is
behind them, the platform's answers and the callers' too, and nothing fails: messages
only come late.  The counts here tell which kind of message fills a link.
"""

from collections import Counter
from dataclasses import dataclass

from ragwortkeel.messages import AnyMessage

MAX_REPORTED_KINDS = 4
"""Named in one report, the largest ones; the rest is in the metrics."""


@dataclass(frozen=True, kw_only=True)
class TrafficReport:
    """Bytes since the last report, by kind of message."""

    sent_bytes_by_kind: dict[str, int]
    received_bytes_by_kind: dict[str, int]

    @property
    def sent_bytes(self) -> int:
        """Bytes that were sent."""
        return sum(self.sent_bytes_by_kind.values())

    @property
    def received_bytes(self) -> int:
        """Bytes that were heard."""
        return sum(self.received_bytes_by_kind.values())


class Traffic:
    """Counts what the links of one process send and hear.

    Examples
    --------
    >>> traffic = Traffic()
    >>> traffic.record_sent(Heartbeat(), 60)
    >>> traffic.drain_report().sent_bytes_by_kind
    {'Heartbeat': 60}
    """

    def __init__(self) -> None:
        self._sent_bytes_by_kind: Counter[str] = Counter()
        self._received_bytes_by_kind: Counter[str] = Counter()

    def record_sent(self, message: AnyMessage, size: int) -> None:
        """Count a message that was sent."""
        self._sent_bytes_by_kind[type(message).__name__] += size

    def record_received(self, message: AnyMessage, size: int) -> None:
        """Count a message that was heard."""
        self._received_bytes_by_kind[type(message).__name__] += size

    def drain_report(self) -> TrafficReport:
        """Return the counts since the last call."""
        report = TrafficReport(
            sent_bytes_by_kind=dict(self._sent_bytes_by_kind),
            received_bytes_by_kind=dict(self._received_bytes_by_kind),
        )
        self._sent_bytes_by_kind.clear()
        self._received_bytes_by_kind.clear()
        return report


def format_largest(bytes_by_kind: dict[str, int]) -> str:
    """Return the kinds with the most bytes as one word, the largest first."""
    kinds = Counter(bytes_by_kind).most_common(MAX_REPORTED_KINDS)
    return ",".join(f"{kind}:{size}" for kind, size in kinds)
