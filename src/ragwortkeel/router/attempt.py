"""One run of a request at one sidecar, followed to its end.

The link to the sidecar may be lost and replaced in the middle of an answer.  The run
continues at the sidecar meanwhile, and the attempt resumes from the first missing byte.
The result is one of the `AttemptEnd` classes, each of which determines whether anything
can have run.
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

RELINK_WAIT_SECONDS = 8.0
"""Time to wait for a lost link before the run counts as lost.

It covers two detections of a silent link and one reconnection.
"""

LEAVE_CHECK_SECONDS = 0.1
"""Interval at which a run without a link is asked to be left."""


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The run ended with a complete answer."""

    status: int
    content_type: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class Declined:
    """Nothing ran, and nothing will ever run under this nonce."""

    reason: RefusalReason
    retry_after_seconds: float = 0.0
    refused: Refused | None = None


@dataclass(frozen=True, kw_only=True)
class Broken:
    """The run ended without a complete answer after it spent `tokens`."""

    reason: str
    tokens: int
    may_have_run: bool


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The outcome of the run is unknown; it may have ended or may continue."""


AttemptEnd = Completed | Declined | Broken | Lost

Emit = Callable[[bytes], Awaitable[None]]


class Attempt:
    """Follows the run of one nonce at one sidecar.

    Parameters
    ----------
    nonce : str
        Identifies the run.
    upstream : str
        The upstream where it runs.
    sidecar : str
        The expected incarnation of the upstream's sidecar.
    pool : SidecarPool
        The links to the sidecars.
    emit : async callable
        Called with each chunk of the answer, in order and without gaps.

    Attributes
    ----------
    status : int
        HTTP status of the answer; 0 until the answer begins.
    content_type : str
        Content type of the answer; empty until the answer begins.
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
        self._run_confirmed = False
        self._subscription: Subscription | None = None
        self.status = 0
        self.content_type = ""

    @property
    def may_continue(self) -> bool:
        """Whether the sidecar incarnation that received the run may still be live."""
        view = self._pool.view_of_run(self.nonce, self.upstream)
        return view is not None and view.incarnation == self.sidecar

    async def open(self, first: AnyMessage) -> bool:
        """Send `first`, a dispatch or a resume; return False if it was not sent."""
        self._subscription = self._pool.subscribe(self.nonce, self.upstream)
        try:
            await self._pool.send(self.upstream, first)
        except LinkLost:
            self.close()
            return False
        return True

    async def follow(
        self,
        *,
        link_wait_seconds: Callable[[], float] = lambda: RELINK_WAIT_SECONDS,
        may_leave: Callable[[], bool] = lambda: True,
    ) -> AttemptEnd:
        """Follow the run and return its end; may be cancelled and called again.

        Parameters
        ----------
        link_wait_seconds : callable, optional
            Called when the link is lost; returns the seconds to wait for it.
        may_leave : callable, optional
            Called when that time is over, and repeatedly while the link stays lost;
            returns whether to give the run up, which may still end well.
        """
        while True:
            event = await self._subscription.queue.get()
            if isinstance(event, LinkDown):
                event = await self._await_link(link_wait_seconds(), may_leave)
            if event is None or not self.may_continue:
                return Lost()
            end = await self._handle_event(event)
            if end is not None:
                return end

    async def cancel(self) -> None:
        """Request the sidecar to stop the run; its end is still received."""
        self._emit = _discard
        with suppress(LinkLost):
            await self._pool.send(self.upstream, Cancel(nonce=self.nonce))

    def close(self) -> None:
        """Stop receiving messages of the run; does nothing if it was not opened."""
        if self._subscription is not None:
            self._pool.unsubscribe(self._subscription)

    async def _handle_event(self, event) -> AttemptEnd | None:
        match event:
            case LinkUp():
                await self._query_run()
            case Started(status=status, content_type=content_type):
                self._run_confirmed = True
                self.status = status
                self.content_type = content_type
            case Chunk(offset=offset, data=data):
                self._run_confirmed = True
                await self._add_chunk(offset, data)
            case Finished():
                self._run_confirmed = True
                return await self._finish(event)
            case Refused(reason=reason, retry_after_seconds=after):
                return Declined(reason=reason, retry_after_seconds=after, refused=event)
            case Failed(reason=reason, tokens=tokens, may_have_run=ran):
                return Broken(reason=reason, tokens=tokens, may_have_run=ran)
            case TombstoneResult(state=state):
                return await self._handle_tombstone_result(state)
        return None

    async def _add_chunk(self, offset: int, data: bytes) -> None:
        try:
            chunk = self.assembly.add(offset, data)
        except GapTooWide:
            await self._resume()
            return
        if chunk:
            await self._emit(chunk)

    async def _finish(self, finished: Finished) -> AttemptEnd | None:
        self.assembly.finish(finished.length)
        # An answer is complete only at its full length: chunks before the end message
        # may have been lost with a replaced connection.
        if not self.assembly.is_complete:
            await self._resume()
            return None
        return Completed(
            status=finished.status,
            content_type=finished.content_type,
            tokens=finished.tokens,
        )

    async def _await_link(
        self, seconds: float, may_leave: Callable[[], bool]
    ) -> LinkUp | None:
        """Wait for the link; return None if the run is given up before."""
        while True:
            try:
                async with curio.timeout_after(seconds):
                    while True:
                        event = await self._subscription.queue.get()
                        if isinstance(event, LinkUp):
                            return event
            except curio.TaskTimeout:
                # The link may have come back while the timer was late.
                is_lost = self._subscription.queue.empty()
                if is_lost and (not self.may_continue or may_leave()):
                    return None
            seconds = LEAVE_CHECK_SECONDS

    async def _query_run(self) -> None:
        """Resume the run, or ensure that an unconfirmed dispatch never runs."""
        if self._run_confirmed:
            await self._resume()
            return
        with suppress(LinkLost):
            tombstone = Tombstone(nonce=self.nonce, sidecar=self.sidecar)
            await self._pool.send(self.upstream, tombstone)

    async def _resume(self) -> None:
        message = Resume(nonce=self.nonce, offset=self.assembly.length)
        with suppress(LinkLost):
            await self._pool.send(self.upstream, message)

    async def _handle_tombstone_result(self, state: RunState) -> AttemptEnd | None:
        if state is RunState.TOMBSTONED:
            return Declined(reason=RefusalReason.TOMBSTONED)
        if state is RunState.UNSEEN:
            # Another incarnation of the sidecar answered.  It cannot exclude that the
            # earlier one ran the request.
            return Lost()
        self._run_confirmed = True
        await self._resume()
        return None


async def _discard(_data: bytes) -> None:
    """Discard a chunk of an answer that no caller waits for any longer."""
