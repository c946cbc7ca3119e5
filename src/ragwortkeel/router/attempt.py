"""One run of a request at one sidecar, followed to its end.

The link under a run may go silent and be replaced in the middle of an answer;
the run goes on at the sidecar meanwhile, so the attempt resumes from the first
byte it misses.  How it ended is one of the `AttemptEnd` classes, each of which
says whether anything can have run.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import curio

from ragwortkeel.exceptions import LinkLost
from ragwortkeel.links import LinkDown, LinkUp
from ragwortkeel.messages import (
    AnyMessage,
    Cancel,
    Chunk,
    Failed,
    Finished,
    RefusalReason,
    Refused,
    Resume,
    RunState,
    Started,
    Tombstone,
    TombstoneResult,
)
from ragwortkeel.router.sidecars import SidecarPool, Subscription
from ragwortkeel.runs.assembly import Assembly, GapTooWide

RELINK_SECONDS = 8.0
"""Two silences found and one reconnection; then the sidecar counts as lost."""


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The answer is whole."""

    status: int
    content_type: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class Declined:
    """The run did not happen and never will under this nonce."""

    reason: RefusalReason
    retry_after_seconds: float = 0.0
    refused: Refused | None = None


@dataclass(frozen=True, kw_only=True)
class Broken:
    """The run ended without a whole answer after `tokens` were spent."""

    reason: str
    tokens: int
    may_have_run: bool


@dataclass(frozen=True, kw_only=True)
class Lost:
    """Nothing more is known of the run; it may have happened or go on."""


AttemptEnd = Completed | Declined | Broken | Lost

Emit = Callable[[bytes], Awaitable[None]]


class Attempt:
    """Follows one nonce at one sidecar.

    Parameters
    ----------
    nonce, upstream, sidecar
        The run, where it is, and the incarnation expected there.
    pool
        The links to send through and to hear from.
    emit
        Awaited with each piece of the answer, in order and without gaps.

    Attributes
    ----------
    status : int
        Of the answer, once it has begun; 0 before.
    content_type : str
        Of the answer, once it has begun.
    """

    def __init__(
        self, *, nonce: str, upstream: str, sidecar: str, pool: SidecarPool, emit: Emit
    ) -> None:
        self.nonce = nonce
        self.upstream = upstream
        self.sidecar = sidecar
        self.assembly = Assembly()
        self._pool = pool
        self._emit = emit
        self._heard = False
        self._reader: Subscription | None = None
        self.status = 0
        self.content_type = ""

    @property
    def may_go_on(self) -> bool:
        """Whether the sidecar that had the run may still be there."""
        view = self._pool.views_by_upstream.get(self.upstream)
        return view is not None and view.incarnation == self.sidecar

    async def open(self, first: AnyMessage) -> bool:
        """Send `first` (a dispatch or a resume); False if it never left."""
        self._reader = self._pool.subscribe(self.nonce, self.upstream)
        try:
            await self._pool.send(self.upstream, first)
        except LinkLost:
            self.close()
            return False
        return True

    async def follow(
        self, *, patience: Callable[[], float] = lambda: RELINK_SECONDS
    ) -> AttemptEnd:
        """Follow to the end; may be cancelled and called again.

        Parameters
        ----------
        patience
            Returns the seconds to wait for a lost link, asked when it is lost.
        """
        while True:
            event = await self._reader.queue.get()
            if isinstance(event, LinkDown):
                event = await self._await_link(patience())
            if event is None or not self.may_go_on:
                return Lost()
            end = await self._take(event)
            if end is not None:
                return end

    async def cancel(self) -> None:
        """Ask the sidecar to stop the run; its end still arrives."""
        self._emit = _discard
        with suppress(LinkLost):
            await self._pool.send(self.upstream, Cancel(nonce=self.nonce))

    def close(self) -> None:
        """Stop hearing of the run, if it was ever opened."""
        if self._reader is not None:
            self._pool.unsubscribe(self._reader)

    async def _take(self, event) -> AttemptEnd | None:
        match event:
            case LinkUp():
                await self._ask_again()
            case Started(status=status, content_type=content_type):
                self._heard = True
                self.status = status
                self.content_type = content_type
            case Chunk(offset=offset, data=data):
                self._heard = True
                await self._add(offset, data)
            case Finished():
                self._heard = True
                return await self._finish(event)
            case Refused(reason=reason, retry_after_seconds=after):
                return Declined(reason=reason, retry_after_seconds=after, refused=event)
            case Failed(reason=reason, tokens=tokens, may_have_run=ran):
                return Broken(reason=reason, tokens=tokens, may_have_run=ran)
            case TombstoneResult(state=state):
                return await self._after_tombstone(state)
        return None

    async def _add(self, offset: int, data: bytes) -> None:
        try:
            piece = self.assembly.add(offset, data)
        except GapTooWide:
            await self._resume()
            return
        if piece:
            await self._emit(piece)

    async def _finish(self, finished: Finished) -> AttemptEnd | None:
        self.assembly.finish(finished.length)
        # An answer is whole by its length, not by its end message: pieces may
        # have been lost with a replaced connection.
        if not self.assembly.is_complete:
            await self._resume()
            return None
        return Completed(
            status=finished.status,
            content_type=finished.content_type,
            tokens=finished.tokens,
        )

    async def _await_link(self, seconds: float) -> LinkUp | None:
        """Wait for the link to come back; None when it stays away."""
        try:
            async with curio.timeout_after(seconds):
                while True:
                    event = await self._reader.queue.get()
                    if isinstance(event, LinkUp):
                        return event
        except curio.TaskTimeout:
            return None

    async def _ask_again(self) -> None:
        """Resume, or settle that a dispatch nobody confirmed will never run."""
        if self._heard:
            await self._resume()
            return
        with suppress(LinkLost):
            question = Tombstone(nonce=self.nonce, sidecar=self.sidecar)
            await self._pool.send(self.upstream, question)

    async def _resume(self) -> None:
        message = Resume(nonce=self.nonce, offset=self.assembly.length)
        with suppress(LinkLost):
            await self._pool.send(self.upstream, message)

    async def _after_tombstone(self, state: RunState) -> AttemptEnd | None:
        if state is RunState.TOMBSTONED:
            return Declined(reason=RefusalReason.TOMBSTONED)
        if state is RunState.UNSEEN:
            # Another incarnation answered, which can promise nothing.
            return Lost()
        self._heard = True
        await self._resume()
        return None


async def _discard(_data: bytes) -> None:
    """Drop an answer that nobody waits for any more."""
