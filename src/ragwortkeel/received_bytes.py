"""What callers' connections hold: bytes received, and descriptors.

Failures it guards against: many callers, each within the limits of one request, must
not use up the memory or the descriptors of the process together; and callers that send
part of a request and stop must not keep others out.

Where room is short, the connection ends for which the product of bytes held and time
held is largest: one that holds much and makes no progress goes before one that holds
little or has just begun.  Only callers whose request is incomplete are ended.
"""

from collections.abc import Callable
from enum import StrEnum
from math import inf
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit
from time import monotonic

from ragwortkeel.logs import CountedLine

MEMORY_FRACTION = 1 / 4
"""Part of the memory of a process that holds requests of callers."""

DEFAULT_MAX_BYTES = 64 * 1024 * 1024
"""Bound of a process whose memory is not stated."""

LARGE_BYTES = 64 * 1024
LARGE_FRACTION = 3 / 4
"""Part of the bound that requests of over `LARGE_BYTES` may use; the rest is kept for
smaller ones."""

PIPELINED_FRACTION = 1 / 2
"""Part of the bound beyond which requests behind an open one are left unread."""

DESCRIPTOR_FRACTION = 1 / 2
"""Part of the descriptors that callers' connections may use; an open request needs one
more for its upstream."""

CONNECTION_BYTES = 8 * 1024
"""What a connection takes without a request, with its task and its parser."""

FIELD_BYTES = 512
"""What a header field takes, as received and as forwarded."""

LINE_SECONDS = 1.0


class Shortage(StrEnum):
    """Why a connection is ended."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


def max_connections(max_descriptors: float = inf) -> float:
    """Return how many connections of callers the limit of descriptors allows.

    Parameters
    ----------
    max_descriptors : float
        A stated limit; that of the system counts as well.
    """
    try:
        limit = getrlimit(RLIMIT_NOFILE)[0]
    except OSError:
        limit = RLIM_INFINITY
    if limit != RLIM_INFINITY:
        max_descriptors = min(max_descriptors, limit)
    return max_descriptors * DESCRIPTOR_FRACTION


class ReceivedBytes:
    """The bytes that a process holds of its callers' requests, and their bound.

    Parameters
    ----------
    max_bytes : int
        Bound of all callers together.  A single large request may exceed it.
    max_connections : callable
        Returns the bound of the number of connections.
    on_ended : callable
        Called for each connection that is ended, with the cause.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    total : int
        Bytes held at present.
    """

    def __init__(
        self,
        *,
        max_bytes: int = DEFAULT_MAX_BYTES,
        max_connections: Callable[[], float] = max_connections,
        on_ended: Callable[[Shortage], None] = lambda cause: None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.total = 0
        self.clock = clock
        self._max_bytes = max_bytes
        self._max_large_bytes = int(max_bytes * LARGE_FRACTION)
        self._max_connections = max_connections
        self._on_ended = on_ended
        self._line = CountedLine("caller_ended", interval_seconds=LINE_SECONDS)
        self._callers: set[CallerBytes] = set()
        self._large: set[CallerBytes] = set()
        self._large_total = 0

    @property
    def leaves_pipelined(self) -> bool:
        """Whether requests behind an open one are to be left unread."""
        return self.total > self._max_bytes * PIPELINED_FRACTION

    def can_hold(self, length: int) -> bool:
        """Return whether there is or can be room for a request of this length."""
        if length <= LARGE_BYTES:
            return True
        complete = sum(each.size for each in self._large if not each.may_end)
        return not complete or complete + length <= self._max_large_bytes

    def make_place(self) -> bool:
        """Return whether there is a place for a new connection; may end another."""
        bound = self._max_connections()
        if len(self._callers) < bound:
            return True
        open_count = sum(not each.is_closing for each in self._callers)
        return open_count < bound or self.end_one()

    def end_one(self) -> bool:
        """Close an incomplete connection, as descriptors are short."""
        found = {each for each in self._callers if not each.is_closing}
        return self._end_costliest(found, Shortage.DESCRIPTORS)

    def add(self, caller: "CallerBytes") -> None:
        """Include a new connection."""
        self._callers.add(caller)

    def discard(self, caller: "CallerBytes") -> None:
        """Leave out a connection that is closed."""
        self.record(caller, 0)
        self._callers.discard(caller)

    def record(self, caller: "CallerBytes", size: int) -> None:
        """Record what is held of a caller; end others, or it, beyond the bound."""
        grows = size > caller.size
        self._set_size(caller, size)
        if not grows:
            return
        while self._large_total > self._max_large_bytes and len(self._large) > 1:
            if not self._end_costliest(_not_ended(self._large), Shortage.MEMORY):
                break
        while self.total > self._max_bytes:
            is_alone = self._large == {caller}
            exempt = {caller} if is_alone else set()
            found = _not_ended(self._callers - exempt)
            if not self._end_costliest(found, Shortage.MEMORY):
                break

    def _set_size(self, caller: "CallerBytes", size: int) -> None:
        self.total += size - caller.size
        if caller in self._large:
            self._large.discard(caller)
            self._large_total -= caller.size
        caller.size = size
        if size > LARGE_BYTES:
            self._large.add(caller)
            self._large_total += size

    def _end_costliest(self, callers: "set[CallerBytes]", cause: Shortage) -> bool:
        """End one of the callers; return whether there was one that may end."""
        now = self.clock()
        found = [each for each in callers if each.may_end]
        if not found:
            return False
        # One that was refused before and is still open is of no use to its caller.
        costliest = max(
            found, key=lambda each: (each.is_ended, each.size * (now - each.since))
        )
        self._line.record(
            cause=cause,
            held=costliest.size,
            seconds=round(now - costliest.since, 3),
            callers=len(self._callers),
            total=self.total,
            large=self._large_total,
            bound=self._max_bytes,
        )
        self._on_ended(cause)
        costliest.is_closing = costliest.end(cause)
        costliest.is_ended = True
        self._set_size(costliest, CONNECTION_BYTES)
        return True


def _not_ended(callers: "set[CallerBytes]") -> "set[CallerBytes]":
    return {each for each in callers if not each.is_ended}


class CallerBytes:
    """What is held of the requests of one connection.

    Parameters
    ----------
    account : ReceivedBytes
        Where it counts.
    end : callable
        Called with the cause; ends the connection without waiting, and returns whether
        it closes at once.

    Attributes
    ----------
    size : int
        Bytes held.
    since : float
        Monotonic second at which the wait for the present request began, or at which
        its first bytes arrived.
    may_end : bool
        Whether the request is incomplete, so that nothing is lost by ending it.
    is_ended : bool
        Whether the account has ended the connection.
    is_closing : bool
        Whether it closes without waiting for the caller.
    """

    def __init__(
        self, *, account: ReceivedBytes, end: Callable[[Shortage], bool]
    ) -> None:
        self.size = 0
        self.since = account.clock()
        self.may_end = True
        self.is_ended = False
        self.is_closing = False
        self.end = end
        self._head_bytes = 0
        self._account = account
        account.add(self)
        account.record(self, CONNECTION_BYTES)

    def begin_wait(self, buffered_bytes: int) -> None:
        """Begin to wait for a request, of which some bytes may have been read."""
        self.since = self._account.clock()
        self.may_end = True
        self._account.record(self, CONNECTION_BYTES + buffered_bytes)

    def begin_request(self, field_count: int, buffered_bytes: int) -> None:
        """Begin to read the body of a request whose head has been read."""
        self.since = self._account.clock()
        self._head_bytes = CONNECTION_BYTES + FIELD_BYTES * field_count
        self._account.record(self, self._head_bytes + buffered_bytes)

    def grow(self, size: int) -> None:
        """Record that more bytes are held; may end this connection."""
        self._account.record(self, self.size + size)

    def complete(self, body_bytes: int, buffered_bytes: int) -> None:
        """Record that the request is complete, and is held until it has ended."""
        self.may_end = False
        size = self._head_bytes + body_bytes + buffered_bytes
        self._account.record(self, size)

    def close(self) -> None:
        """Leave the account."""
        self._account.discard(self)
