"""Putting an answer together from chunks that come late, twice or out of order.

The reader of a run (a router) gives every chunk to an `Assembly` and passes on
only what it releases.  An answer is whole only when its end marker has come and
every byte up to the marker's length has been released.
"""

from ragwortkeel.exceptions import RunError

MAX_WAITING_BYTES = 1024 * 1024
"""Chunks ahead of a gap; beyond this it is cheaper to ask for a replay."""


class AnswerMismatch(RunError):
    """Chunks and end marker contradict each other; the answer is unusable."""


class GapTooWide(RunError):
    """Too much waits behind a gap; resume from `Assembly.length`."""


class Assembly:
    """One answer as it comes together, in order and without repeats.

    Attributes
    ----------
    length : int
        Bytes released so far; where a `Resume` goes on.
    """

    def __init__(self, *, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting_by_offset: dict[int, bytes] = {}
        self._waiting_bytes = 0
        self._end_offset: int | None = None
        self.length = 0

    @property
    def is_complete(self) -> bool:
        """Whether everything up to the end marker has been released."""
        return self._end_offset is not None and self.length == self._end_offset

    @property
    def has_gap(self) -> bool:
        """Whether bytes are missing that a replay would bring."""
        if self._waiting_by_offset:
            return True
        return self._end_offset is not None and self.length < self._end_offset

    def add(self, offset: int, data: bytes) -> bytes:
        """Take a chunk and return the bytes that are now next in order.

        Raises
        ------
        AnswerMismatch
            The chunk reaches beyond the end marker.
        GapTooWide
            The chunk was not kept.
        """
        if self._end_offset is not None and offset + len(data) > self._end_offset:
            raise AnswerMismatch("a chunk lies beyond the end of the answer")
        if offset > self.length:
            self._buffer(offset, data)
            return b""
        fresh = data[self.length - offset :]
        self.length += len(fresh)
        return fresh + self._release()

    def finish(self, length: int) -> None:
        """Take the end marker.

        Raises
        ------
        AnswerMismatch
            More bytes than `length` have come, or another length was marked.
        """
        if self._end_offset not in (None, length):
            raise AnswerMismatch("two end markers differ")
        furthest = max(
            (offset + len(data) for offset, data in self._waiting_by_offset.items()),
            default=self.length,
        )
        if max(furthest, self.length) > length:
            raise AnswerMismatch("the end marker lies before the end of the bytes")
        self._end_offset = length

    def _buffer(self, offset: int, data: bytes) -> None:
        known = self._waiting_by_offset.get(offset, b"")
        if len(known) >= len(data):
            return
        if self._waiting_bytes + len(data) - len(known) > self._max_waiting_bytes:
            raise GapTooWide(f"waiting for the bytes from {self.length} on")
        self._waiting_by_offset[offset] = data
        self._waiting_bytes += len(data) - len(known)

    def _release(self) -> bytes:
        released = []
        for offset in sorted(self._waiting_by_offset):
            if offset > self.length:
                break
            data = self._waiting_by_offset.pop(offset)
            self._waiting_bytes -= len(data)
            fresh = data[self.length - offset :]
            self.length += len(fresh)
            released.append(fresh)
        return b"".join(released)
