"""One run at the upstream: the HTTP exchange, turned into typed events.

Each run is a task of its own that owns its connection.  What it can't be sure
of it reports as broken with the most that may have been spent, never as
declined: only a request that surely did not run is declined.
"""

from collections.abc import Awaitable, Callable

import curio

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.httpio import HttpClient, StreamedResponse
from ragwortkeel.messages import Dispatch, FailureReason, RefusalReason
from ragwortkeel.sidecar.effects import (
    AnswerBegun,
    AnswerEnded,
    AnswerPiece,
    RunBroken,
    RunDeclined,
    UpstreamEvent,
)
from ragwortkeel.sidecar.usage import (
    StreamUsage,
    WholeUsage,
    is_fenced_off,
    prompt_bound_of,
)

SILENCE_SECONDS = 20.0
"""Between two pieces of an answer; a stream that is silent for longer is dead."""

UNREPEATABLE_SECONDS = 120.0
"""A must-not-repeat run may outlive its caller: cut off, its fate is unknown."""

CANCEL_SECONDS = 2.0
"""An engine ends a cancelled stream within a step or two."""

OK = 200
CONFLICT = 409
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
UNAVAILABLE = 503
DECLINING_STATUSES = {TOO_MANY_REQUESTS, UNAVAILABLE}
"""With these an engine turns a request away before it runs."""

Report = Callable[[UpstreamEvent], Awaitable[None]]


class UpstreamSilent(ExchangeBroken):
    """The upstream sent nothing for `SILENCE_SECONDS` in the middle of an answer."""


class UpstreamRun:
    """Serve one dispatch at the upstream.

    Parameters
    ----------
    client
        The upstream's HTTP client.
    dispatch
        What to run.
    fencing_number
        Goes up with each sidecar of this upstream; engines that check it
        refuse what an earlier sidecar may still send.
    report
        Takes each event in order; the last one ends the run.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        dispatch: Dispatch,
        fencing_number: int,
        report: Report,
        silence_seconds: float = SILENCE_SECONDS,
    ) -> None:
        self._client = client
        self._dispatch = dispatch
        self._fencing_number = fencing_number
        self._report = report
        self._silence_seconds = silence_seconds
        self._prompt_bound = prompt_bound_of(dispatch.body, dispatch.reservation)
        self._stream = StreamUsage()

    async def run(self) -> None:
        """Run to the end and report it; cancellation ends it without a report."""
        try:
            async with curio.timeout_after(self._seconds()):
                await self._exchange()
        except curio.TaskTimeout:
            await self.broken(FailureReason.DEADLINE)
        except ConnectFailed:
            await self._declined(RefusalReason.UPSTREAM_UNREACHABLE)
        except UpstreamSilent:
            await self.broken(FailureReason.SILENT)
        except ExchangeBroken:
            await self.broken(FailureReason.CRASHED)

    async def broken(self, reason: FailureReason) -> None:
        """Report that the run broke off, with the most it can have spent."""
        streamed = self._stream.events > 0 or self._stream.total is not None
        tokens = self._so_far() if streamed else self._dispatch.reservation
        await self._report(
            RunBroken(nonce=self._dispatch.nonce, reason=reason, tokens=tokens)
        )

    def _seconds(self) -> float:
        dispatch = self._dispatch
        if dispatch.idempotent:
            return dispatch.budget_seconds
        return max(dispatch.budget_seconds, UNREPEATABLE_SECONDS)

    async def _exchange(self) -> None:
        dispatch = self._dispatch
        headers = {
            "content-type": "application/json",
            "x-request-id": dispatch.request_id,
            "x-fencing-number": str(self._fencing_number),
            "x-priority": str(dispatch.priority),
            "traceparent": dispatch.traceparent,
        }
        exchange = self._client.stream(
            "POST", dispatch.target, body=dispatch.body, headers=headers
        )
        async with exchange as response:
            if response.status >= SERVER_ERROR or response.status == TOO_MANY_REQUESTS:
                await self._refused(response)
            elif response.headers.get("content-type", "").startswith(
                "text/event-stream"
            ):
                await self._pass_stream(response)
            elif _has_end(response):
                await self._pass_whole(response)
            else:
                # Failure: the answer ends only with its connection, so one cut
                # short looks whole.
                await self.broken(FailureReason.TRUNCATED)

    async def _refused(self, response: StreamedResponse) -> None:
        async for _ in response.chunks():
            pass
        if response.status in DECLINING_STATUSES and self._dispatch.idempotent:
            # Of a service whose calls may not be repeated, 503 proves nothing.
            await self._declined(RefusalReason.OVERLOADED)
        else:
            await self.broken(FailureReason.UPSTREAM_ERROR)

    async def _pass_stream(self, response: StreamedResponse) -> None:
        await self._begin(response)
        async for piece in self._pieces(response):
            self._stream.feed(piece)
            await self._pass_on(piece)
        if self._stream.cancelled:
            await self.broken(FailureReason.CANCELLED)
        elif not self._stream.done:
            # Failure: an engine that dies closes its stream in good order; the
            # end marker is missing, and half an answer must not pass for one.
            await self.broken(FailureReason.TRUNCATED)
        else:
            await self._ended(response.status, self._stream.total)

    async def _pass_whole(self, response: StreamedResponse) -> None:
        body = b"".join([piece async for piece in self._pieces(response)])
        if response.status == CONFLICT and is_fenced_off(body):
            await self._declined(RefusalReason.WRONG_INCARNATION)
            return
        usage = WholeUsage(body)
        if usage.cancelled:
            self._stream.total = usage.total
            await self.broken(FailureReason.CANCELLED)
            return
        await self._begin(response)
        await self._pass_on(body)
        await self._ended(response.status, usage.total)

    async def _begin(self, response: StreamedResponse) -> None:
        content_type = response.headers.get("content-type", "application/json")
        begun = AnswerBegun(
            nonce=self._dispatch.nonce,
            status=response.status,
            content_type=content_type,
        )
        await self._report(begun)

    async def _pass_on(self, piece: bytes) -> None:
        nonce = self._dispatch.nonce
        await self._report(AnswerPiece(nonce=nonce, data=piece, tokens=self._so_far()))

    async def _ended(self, status: int, total: int | None) -> None:
        if status != OK:
            # The upstream refused the request as wrong; nothing was generated.
            total = 0
        elif total is None:
            # Without usage the reservation is charged: it is all that can have
            # been spent, and for a plain call it is the price.
            total = self._dispatch.reservation
        await self._report(AnswerEnded(nonce=self._dispatch.nonce, tokens=total))

    async def _declined(self, reason: RefusalReason) -> None:
        await self._report(RunDeclined(nonce=self._dispatch.nonce, reason=reason))

    async def _pieces(self, response: StreamedResponse):
        """Yield the body; `UpstreamSilent` where nothing comes for too long."""
        pieces = response.chunks()
        while True:
            try:
                async with curio.timeout_after(self._silence_seconds):
                    piece = await anext(pieces)
            except StopAsyncIteration:
                return
            except curio.TaskTimeout as exc:
                raise UpstreamSilent("the answer went silent") from exc
            yield piece

    def _so_far(self) -> int:
        if self._stream.total is not None:
            return self._stream.total
        return self._prompt_bound + self._stream.events


async def cancel_at(client: HttpClient, request_id: str, fencing_number: int) -> None:
    """Ask the upstream to stop; it notices a closed connection as well."""
    headers = {"x-fencing-number": str(fencing_number)}
    try:
        await client.request(
            "POST", f"/v1/cancel/{request_id}", headers=headers, timeout=CANCEL_SECONDS
        )
    except (ConnectFailed, ExchangeBroken):
        return


def _has_end(response: StreamedResponse) -> bool:
    encoding = response.headers.get("transfer-encoding", "").lower()
    return "content-length" in response.headers or encoding == "chunked"
