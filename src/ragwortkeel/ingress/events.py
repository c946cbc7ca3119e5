"""Splits a stream into complete events, checks their order and counts them.

Failures it guards against: an upstream breaks off in the middle of an event, and the
caller would receive an incomplete one; a resumed run repeats or omits an event, and the
caller would receive it twice or miss it; an upstream sends bytes without an event and
without end, and they would fill the memory.
"""

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.http_events import MAX_DIGITS, whole_number

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event, and most bytes of events without an id between two that have one."""

_EVENT_END = b"\n\n"
_CRLF_EVENT_END = b"\n\r\n"
_TAIL_BYTES = len(_CRLF_EVENT_END) - 1
_ID_FIELD = b"id:"


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
    buffered_bytes : int
        Bytes of the event that is not complete yet.
    order_error : ExchangeBroken or None
        Set if an event after those that were returned is out of order.
    """

    def __init__(self, *, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.events = 0
        self.order_error: ExchangeBroken | None = None
        self.buffered_bytes = 0
        self._parts: list[bytes] = []
        self._tail = b""
        self._bytes_without_id = 0

    def feed(self, data: bytes) -> bytes:
        """Append data; return the events that are complete now and in order.

        Raises
        ------
        ExchangeBroken
            The id of the first event is not the previous id plus 1, or there are more
            than `MAX_EVENT_BYTES` without an event that has an id.
        """
        if self.order_error is not None:
            raise self.order_error
        if self._parts and not self._may_end(data):
            return self._keep(data)
        if self._parts:
            data = b"".join([*self._parts, data])
            self._drop_parts()
        if b"\r" in data:
            # After joining, as a block may end between the two.
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(_EVENT_END)
        if end < 0:
            return self._keep(data)
        complete, rest = data[: end + 2], data[end + 2 :]
        if rest:
            self._keep(rest)
        position = 0
        for event in complete[:-2].split(_EVENT_END):
            error = self._check_order(event)
            if error is not None:
                if not position:
                    raise error
                self.order_error = error
                return complete[:position]
            position += len(event) + len(_EVENT_END)
        return complete

    def _may_end(self, data: bytes) -> bool:
        """Return whether the incomplete event may end in the data that follow it."""
        joint = self._tail + data
        return _EVENT_END in joint or _CRLF_EVENT_END in joint

    def _keep(self, data: bytes) -> bytes:
        """Keep data of an incomplete event; return none."""
        self._parts.append(data)
        self._tail = (self._tail + data)[-_TAIL_BYTES:]
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_EVENT_BYTES:
            raise ExchangeBroken(f"an event of over {MAX_EVENT_BYTES} bytes")
        return b""

    def _drop_parts(self) -> None:
        self._parts.clear()
        self._tail = b""
        self.buffered_bytes = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the data so far ends within an event."""
        return any(part.strip() for part in self._parts)

    def discard_partial_event(self) -> None:
        """Discard the incomplete event that a broken run left."""
        self._drop_parts()
        self._bytes_without_id = 0
        self.order_error = None

    def _check_order(self, event: bytes) -> ExchangeBroken | None:
        text = _event_id(event)
        event_id = whole_number(text)
        if len(text) > MAX_DIGITS:
            return ExchangeBroken(f"an event id of {len(text)} bytes")
        if event_id is None:
            self._bytes_without_id += len(event) + len(_EVENT_END)
            if self._bytes_without_id > MAX_EVENT_BYTES:
                return ExchangeBroken(f"over {MAX_EVENT_BYTES} bytes without an id")
            return None
        self._bytes_without_id = 0
        if self.last_id is not None and event_id != self.last_id + 1:
            return ExchangeBroken(f"event {event_id} follows event {self.last_id}")
        self.last_id = event_id
        self.events += 1
        return None


def _event_id(event: bytes) -> bytes:
    """Return the value of the first id field; empty if there is none."""
    start = 0 if event.startswith(_ID_FIELD) else event.find(b"\n" + _ID_FIELD) + 1
    if not start and not event.startswith(_ID_FIELD):
        return b""
    end = event.find(b"\n", start)
    return event[start + len(_ID_FIELD) : end if end >= 0 else None].strip()
