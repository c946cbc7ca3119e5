"""Buffers of answers, which replay an answer to a reader after a lost connection.

A buffer holds its answer from the first byte, so that a retry at another router can
read from any offset.  Memory is bounded per answer and in total: finished answers are
removed oldest first, running ones never.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortkeel.exceptions import RunError

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Maximum size of an answer, the same as of a request; a longer answer fails."""

MAX_STORE_BYTES = 64 * 1024 * 1024
"""Maximum size of all answers, a quarter of the 256 MB of an instance."""

REPLAY_CHUNK_BYTES = 64 * 1024
"""Size of one replay message, small enough not to delay the tokens of other answers."""


NEARLY_FULL_FRACTION = 0.75
"""Fraction of the store, held by answers that can't be removed, above which no new run
should begin; the rest is for the runs in progress."""


class AnswerTooLarge(RunError):
    """An answer exceeds `max_answer_bytes`, or all answers exceed the store."""


@dataclass(kw_only=True)
class Answer:
    """One answer: its head and the bytes received so far."""

    status: int
    content_type: str
    data: bytearray = field(default_factory=bytearray)

    def chunks(self, offset: int) -> Iterator[tuple[int, bytes]]:
        """Yield (offset, bytes) from `offset` on, in chunks of bounded size."""
        for start in range(offset, len(self.data), REPLAY_CHUNK_BYTES):
            yield start, bytes(self.data[start : start + REPLAY_CHUNK_BYTES])


class AnswerStore:
    """The answers of one sidecar, by nonce.

    Parameters
    ----------
    max_bytes : int
        Total size above which the oldest finished answers are removed.
    max_answer_bytes : int
        Maximum size of one answer.
    """

    def __init__(
        self,
        *,
        max_bytes: int = MAX_STORE_BYTES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._max_bytes = max_bytes
        self._max_answer_bytes = max_answer_bytes
        self._answer_by_nonce: dict[str, Answer] = {}
        self._droppable: dict[str, None] = {}
        self._bytes = 0
        self._droppable_bytes = 0

    def __len__(self) -> int:
        return len(self._answer_by_nonce)

    @property
    def size(self) -> int:
        """Size of all answers in bytes."""
        return self._bytes

    @property
    def is_nearly_full(self) -> bool:
        """Whether new runs should not begin because memory is short."""
        needed = self._bytes - self._droppable_bytes
        return needed > NEARLY_FULL_FRACTION * self._max_bytes

    def get(self, nonce: str) -> Answer | None:
        """Return the answer; None if it has no head yet or was removed."""
        return self._answer_by_nonce.get(nonce)

    def open(self, nonce: str, *, status: int, content_type: str) -> None:
        """Create an answer."""
        self._answer_by_nonce[nonce] = Answer(status=status, content_type=content_type)

    def append(self, nonce: str, data: bytes) -> int:
        """Append bytes to a running answer and return their offset.

        Raises
        ------
        AnswerTooLarge
            A limit would be exceeded; nothing was appended.
        """
        answer = self._answer_by_nonce[nonce]
        offset = len(answer.data)
        if offset + len(data) > self._max_answer_bytes:
            raise AnswerTooLarge(f"answer exceeds {self._max_answer_bytes} bytes")
        self._free_bytes(len(data))
        answer.data += data
        self._bytes += len(data)
        return offset

    def finish(self, nonce: str, *, pinned: bool = False) -> None:
        """End an answer; unless pinned, it may be removed when memory is short."""
        if not pinned:
            self.unpin(nonce)

    def unpin(self, nonce: str) -> None:
        """Allow the removal of a finished answer when memory is short."""
        answer = self._answer_by_nonce.get(nonce)
        if answer is not None and nonce not in self._droppable:
            self._droppable[nonce] = None
            self._droppable_bytes += len(answer.data)

    def remove(self, nonce: str) -> None:
        """Remove an answer; no effect if there is none."""
        answer = self._answer_by_nonce.pop(nonce, None)
        if answer is None:
            return
        self._bytes -= len(answer.data)
        if nonce in self._droppable:
            del self._droppable[nonce]
            self._droppable_bytes -= len(answer.data)

    def _free_bytes(self, size: int) -> None:
        while self._bytes + size > self._max_bytes:
            if not self._droppable:
                raise AnswerTooLarge("answer store is full of answers in use")
            self.remove(next(iter(self._droppable)))
