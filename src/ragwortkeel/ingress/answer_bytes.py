"""The bytes of upstreams' answers that a process holds until they can go out.

Failure it guards against: upstreams in trouble send answers without end, each within
the limit of one, and together they use up the memory of the process.

Where room is short, the incomplete answer ends that holds most.  Complete answers are
delivered.
"""

from collections.abc import Callable

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.logs import CountedLine

MEMORY_FRACTION = 1 / 8
"""Part of the memory of a process that holds answers."""

DEFAULT_MAX_BYTES = 32 * 1024 * 1024
"""Bound of a process whose memory is not stated."""

LINE_SECONDS = 1.0


class AnswerBytes:
    """The bytes that a process holds of answers, and their bound.

    Parameters
    ----------
    max_bytes : int
        Bound of all answers together.  A single answer may exceed it.
    on_ended : callable
        Called for each answer that is ended.

    Attributes
    ----------
    total : int
        Bytes held at present.
    """

    def __init__(
        self,
        *,
        max_bytes: int = DEFAULT_MAX_BYTES,
        on_ended: Callable[[], None] = lambda: None,
    ) -> None:
        self.total = 0
        self._max_bytes = max_bytes
        self._on_ended = on_ended
        self._line = CountedLine("answer_ended", interval_seconds=LINE_SECONDS)
        self._holding: set[HeldAnswer] = set()

    def record(self, answer: "HeldAnswer", size: int) -> None:
        """Record what is held of an answer; end others, or it, beyond the bound."""
        grows = size > answer.size
        self._set_size(answer, size)
        while grows and self.total > self._max_bytes and len(self._holding) > 1:
            found = [each for each in self._holding if each.incomplete_bytes]
            if not found:
                break
            self._end(max(found, key=lambda each: each.incomplete_bytes))

    def _set_size(self, answer: "HeldAnswer", size: int) -> None:
        self.total += size - answer.size
        answer.size = size
        if size:
            self._holding.add(answer)
        else:
            self._holding.discard(answer)

    def _end(self, answer: "HeldAnswer") -> None:
        self._line.record(
            request=answer.request_id,
            held=answer.incomplete_bytes,
            answers=len(self._holding),
            total=self.total,
            bound=self._max_bytes,
        )
        self._on_ended()
        self._set_size(answer, answer.size - answer.incomplete_bytes)
        answer.end()


class HeldAnswer:
    """What is held of the answers to one request, over all its runs.

    Parameters
    ----------
    account : AnswerBytes
        Where it counts.
    request_id : str
        Names the request in log lines.

    Attributes
    ----------
    size : int
        Bytes held.
    is_ended : bool
        Whether the account has ended the answer of the present run.
    """

    def __init__(self, *, account: AnswerBytes, request_id: str) -> None:
        self.size = 0
        self.request_id = request_id
        self.is_ended = False
        self._account = account
        self._complete_bytes = 0
        self._cut_off: Callable[[], None] = lambda: None

    @property
    def incomplete_bytes(self) -> int:
        """Bytes of an answer that has not ended."""
        return self.size - self._complete_bytes

    def begin(self, cut_off: Callable[[], None]) -> None:
        """Begin, or go on, to read an answer, which `cut_off` ends without waiting."""
        self.is_ended = False
        self._cut_off = cut_off

    def hold(self, incomplete_bytes: int) -> None:
        """Record what is held of an incomplete answer.

        Raises
        ------
        ExchangeBroken
            The account has ended the answer.
        """
        size = self._complete_bytes + incomplete_bytes
        if size != self.size and not self.is_ended:
            self._account.record(self, size)
        if self.is_ended:
            raise ExchangeBroken("ended to make room for other answers")

    def drop(self) -> None:
        """Record that the incomplete answer is no longer held."""
        self._account.record(self, self._complete_bytes)

    def complete(self) -> None:
        """Record that the answer is complete, and is held until `close`."""
        self._complete_bytes = self.size

    def end(self) -> None:
        """End the answer, whose bytes no longer count."""
        self.is_ended = True
        self._cut_off()

    def close(self) -> None:
        """Leave the account."""
        self._account.record(self, 0)
