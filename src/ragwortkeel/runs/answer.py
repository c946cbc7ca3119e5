"""Buffers of answers, from which a lost reader replays and follows.

An answer is kept from its first byte, so that a retry at another router can
read it from any offset.  Memory is bounded per answer and in all: finished
answers are dropped oldest first, running ones never.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortkeel.exceptions import RunError

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""As large as a request may be; a longer answer fails instead of growing."""

MAX_STORE_BYTES = 64 * 1024 * 1024
"""A quarter of a node's 256 MB."""

REPLAY_CHUNK_BYTES = 64 * 1024
"""One message of a replay; small enough not to delay other answers' tokens."""


NEARLY_FULL_FRACTION = 0.75
"""Share of the store held by answers that can't be dropped, beyond which no new
run should begin; the rest is room for those that run."""


class AnswerTooLarge(RunError):
    """An answer outgrew `MAX_ANSWER_BYTES`, or all of them their store."""


@dataclass(kw_only=True)
class Answer:
    """One answer: its head and the bytes so far."""

    status: int
    content_type: str
    data: bytearray = field(default_factory=bytearray)

    def chunks(self, offset: int) -> Iterator[tuple[int, bytes]]:
        """Yield (offset, bytes) from `offset` on, in messages of bounded size."""
        for start in range(offset, len(self.data), REPLAY_CHUNK_BYTES):
            yield start, bytes(self.data[start : start + REPLAY_CHUNK_BYTES])


class AnswerStore:
    """The answers of one sidecar by nonce.

    Parameters
    ----------
    max_bytes
        Total above which the oldest finished answers are dropped.
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
        """Bytes held in all answers together."""
        return self._bytes

    @property
    def is_nearly_full(self) -> bool:
        """Whether a new run should not begin for want of memory."""
        kept = self._bytes - self._droppable_bytes
        return kept > NEARLY_FULL_FRACTION * self._max_bytes

    def get(self, nonce: str) -> Answer | None:
        """Return the answer, or None where it has no head yet or was dropped."""
        return self._answer_by_nonce.get(nonce)

    def open(self, nonce: str, *, status: int, content_type: str) -> None:
        """Begin an answer."""
        self._answer_by_nonce[nonce] = Answer(status=status, content_type=content_type)

    def append(self, nonce: str, data: bytes) -> int:
        """Add bytes to a running answer and return their offset.

        Raises
        ------
        AnswerTooLarge
            Nothing was added.
        """
        answer = self._answer_by_nonce[nonce]
        offset = len(answer.data)
        if offset + len(data) > self._max_answer_bytes:
            raise AnswerTooLarge(f"more than {self._max_answer_bytes} bytes")
        self._free_bytes(len(data))
        answer.data += data
        self._bytes += len(data)
        return offset

    def finish(self, nonce: str, *, pinned: bool = False) -> None:
        """End an answer; unless pinned, it may be dropped when memory is short."""
        if not pinned:
            self.unpin(nonce)

    def unpin(self, nonce: str) -> None:
        """Let a finished answer be dropped when memory is short."""
        answer = self._answer_by_nonce.get(nonce)
        if answer is not None and nonce not in self._droppable:
            self._droppable[nonce] = None
            self._droppable_bytes += len(answer.data)

    def remove(self, nonce: str) -> None:
        """Forget an answer; harmless where there is none."""
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
                raise AnswerTooLarge("no room beside the answers still needed")
            self.remove(next(iter(self._droppable)))
