"""Splits a stream into complete events, checks their order and counts them.

Failures it guards against: an upstream breaks off in the middle of an event, and the
caller would receive an incomplete one; a resumed run repeats or omits an event, and the
caller would receive it twice or miss it.
"""

from ragwortkeel.exceptions import ExchangeBroken

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    """Splits the bytes of all runs of a request into complete events.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller received; None if it received none.

    Attributes
    ----------
    events : int
        Complete events with an id so far, over all runs of the request.
    """

    def __init__(self, *, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Append data; return the events that are complete now.

        Raises
        ------
        ExchangeBroken
            The id of an event does not follow the id before it.
        """
        data = self._buffer + data.replace(b"\r\n", b"\n")
        end = data.rfind(_END)
        if end < 0:
            self._buffer = data
            return b""
        complete, self._buffer = data[: end + 2], data[end + 2 :]
        for event in complete[:-2].split(_END):
            self._check_order(event)
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Whether the data so far ends within an event."""
        return bool(self._buffer.strip())

    def discard_partial_event(self) -> None:
        """Discard the incomplete event that a broken run left."""
        self._buffer = b""

    def _check_order(self, event: bytes) -> None:
        event_id = _event_id(event)
        if event_id is None:
            return
        if self.last_id is not None and event_id != self.last_id + 1:
            raise ExchangeBroken(f"event {event_id} follows event {self.last_id}")
        self.last_id = event_id
        self.events += 1


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
