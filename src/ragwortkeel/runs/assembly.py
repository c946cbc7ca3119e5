"""Assembly of an answer from chunks that arrive late, twice or out of order.

The reader of a run (a router) adds every chunk to an `Assembly` and forwards only the
bytes that it releases.  An answer is complete once its end marker has arrived and all
bytes up to the marker's length have been released.
"""

from ragwortkeel.exceptions import RunError

MAX_BUFFERED_BYTES = 1024 * 1024
"""Maximum size of the chunks buffered behind a gap; beyond it a replay is cheaper."""


class AnswerMismatch(RunError):
    """Chunks and end marker contradict each other; the answer is unusable."""


class GapTooWide(RunError):
    """Too many bytes are buffered behind a gap; resume from `Assembly.length`."""


class Assembly:
    """One answer, assembled in order and without duplicates.

    Parameters
    ----------
    max_buffered_bytes : int
        Maximum size of the chunks buffered behind a gap.

    Attributes
    ----------
    length : int
        Bytes released so far; the offset of a `Resume`.
    """

    def __init__(self, *, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_buffered_bytes = max_buffered_bytes
        self._buffered_by_offset: dict[int, bytes] = {}
        self._buffered_bytes = 0
        self._end_offset: int | None = None
        self.length = 0

    @property
    def is_complete(self) -> bool:
        """Whether all bytes up to the end marker have been released."""
        return self._end_offset is not None and self.length == self._end_offset

    @property
    def has_gap(self) -> bool:
        """Whether bytes are missing that a replay would deliver."""
        if self._buffered_by_offset:
            return True
        return self._end_offset is not None and self.length < self._end_offset

    def add(self, offset: int, data: bytes) -> bytes:
        """Add a chunk and return the bytes that are next in order.

        Raises
        ------
        AnswerMismatch
            The chunk extends beyond the end marker.
        GapTooWide
            The buffer is full; the chunk was not stored.
        """
        if self._end_offset is not None and offset + len(data) > self._end_offset:
            raise AnswerMismatch("a chunk ends after the end of the answer")
        if offset > self.length:
            self._buffer(offset, data)
            return b""
        new_data = data[self.length - offset :]
        self.length += len(new_data)
        return new_data + self._release()

    def finish(self, length: int) -> None:
        """Record the end marker.

        Raises
        ------
        AnswerMismatch
            More bytes than `length` have arrived, or an earlier marker differs.
        """
        if self._end_offset not in (None, length):
            raise AnswerMismatch("two end markers differ in length")
        furthest = max(
            (offset + len(data) for offset, data in self._buffered_by_offset.items()),
            default=self.length,
        )
        if max(furthest, self.length) > length:
            raise AnswerMismatch(
                "the end marker is before the end of the received bytes"
            )
        self._end_offset = length

    def _buffer(self, offset: int, data: bytes) -> None:
        known = self._buffered_by_offset.get(offset, b"")
        if len(known) >= len(data):
            return
        if self._buffered_bytes + len(data) - len(known) > self._max_buffered_bytes:
            raise GapTooWide(f"gap at byte {self.length} is too wide to buffer")
        self._buffered_by_offset[offset] = data
        self._buffered_bytes += len(data) - len(known)

    def _release(self) -> bytes:
        released = []
        for offset in sorted(self._buffered_by_offset):
            if offset > self.length:
                break
            data = self._buffered_by_offset.pop(offset)
            self._buffered_bytes -= len(data)
            new_data = data[self.length - offset :]
            self.length += len(new_data)
            released.append(new_data)
        return b"".join(released)
