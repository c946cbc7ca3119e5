"""One run at the upstream: the HTTP exchange, turned into typed events.

Each run is a task of its own that owns its connection.  What it can't be sure
of it reports as broken with the most that may have been spent, never as
declined: only a request that surely did not run is declined.
"""

from collections.abc import Awaitable, Callable

import curio

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.httpio import HttpClient, StreamedResponse
from ragwortkeel.messages import Dispatch, RefusalReason
from ragwortkeel.sidecar.effects import (
    AnswerBegun,
    AnswerEnded,
    AnswerPiece,
    RunBroken,
    RunDeclined,
    UpstreamEvent,
)
from ragwortkeel.sidecar.usage import StreamUsage, prompt_bound_of, usage_of

SILENCE_SECONDS = 20.0
"""Between two pieces of an answer; a stream that is silent for longer is dead."""

UNREPEATABLE_SECONDS = 120.0
"""A must-not-repeat run may outlive its caller: cut off, its fate is unknown."""

CANCEL_SECONDS = 2.0

OK = 200
FENCED = 412
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
UNAVAILABLE = 503
DECLINING_STATUSES = {TOO_MANY_REQUESTS, UNAVAILABLE}
"""With these an engine turns a request away before it runs."""

Report = Callable[[UpstreamEvent], Awaitable[None]]


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
        self._usage = StreamUsage()

    async def run(self) -> None:
        """Run to the end and report it; cancellation ends it without a report."""
        try:
            async with curio.timeout_after(self._seconds()):
                await self._exchange()
        except curio.TaskTimeout:
            await self._broken("deadline")
        except ConnectFailed:
            await self._declined(RefusalReason.UPSTREAM_UNREACHABLE)
        except ExchangeBroken:
            await self._broken("upstream_broke_off")

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
            if response.status < SERVER_ERROR and response.status not in (
                FENCED,
                TOO_MANY_REQUESTS,
            ):
                await self._pass_on(response)
            else:
                await self._error(response)

    async def _error(self, response: StreamedResponse) -> None:
        async for _ in response.pieces():
            pass
        if response.status == FENCED:
            await self._declined(RefusalReason.WRONG_INCARNATION)
        elif response.status in DECLINING_STATUSES and self._dispatch.idempotent:
            # Of a service whose calls may not be repeated, 503 proves nothing.
            await self._declined(RefusalReason.OVERLOADED)
        else:
            await self._broken(f"upstream_status_{response.status}")

    async def _pass_on(self, response: StreamedResponse) -> None:
        nonce = self._dispatch.nonce
        content_type = response.headers.get("content-type", "application/json")
        is_stream = content_type.startswith("text/event-stream")
        if not is_stream and not _has_end(response):
            # Failure: the answer ends only with its connection, so one cut
            # short looks whole.
            await self._broken("answer_without_end")
            return
        await self._report(
            AnswerBegun(nonce=nonce, status=response.status, content_type=content_type)
        )
        body = await self._pieces(response, is_stream)
        if is_stream and not self._usage.done:
            # Failure: an engine that dies closes its stream in good order; the
            # end marker is missing, and half an answer must not pass for one.
            await self._broken("upstream_broke_off")
            return
        await self._report(
            AnswerEnded(nonce=nonce, tokens=self._cost(response.status, body))
        )

    async def _pieces(self, response: StreamedResponse, is_stream: bool) -> bytes:
        """Report the answer's pieces; return the body of one that is no stream."""
        pieces = response.pieces()
        body = []
        while True:
            try:
                async with curio.timeout_after(self._silence_seconds):
                    piece = await anext(pieces)
            except StopAsyncIteration:
                return b"".join(body)
            except curio.TaskTimeout as exc:
                raise ExchangeBroken("the answer went silent") from exc
            if is_stream:
                self._usage.feed(piece)
            else:
                body.append(piece)
            await self._report(
                AnswerPiece(
                    nonce=self._dispatch.nonce, data=piece, tokens=self._so_far()
                )
            )

    def _so_far(self) -> int:
        if self._usage.total is not None:
            return self._usage.total
        return min(self._prompt_bound, self._dispatch.reservation) + self._usage.events

    def _cost(self, status: int, body: bytes) -> int:
        if status != OK:
            # The upstream refused the request as wrong; nothing was generated.
            return 0
        usage = self._usage.total if self._usage.done else usage_of(body)
        # Without usage the reservation is charged: it is all that can have
        # been spent, and for a plain call it is the price.
        return self._dispatch.reservation if usage is None else usage

    async def _declined(self, reason: RefusalReason) -> None:
        await self._report(RunDeclined(nonce=self._dispatch.nonce, reason=reason))

    async def _broken(self, reason: str) -> None:
        streamed = self._usage.events > 0 or self._usage.total is not None
        tokens = self._so_far() if streamed else self._dispatch.reservation
        await self._report(
            RunBroken(nonce=self._dispatch.nonce, reason=reason, tokens=tokens)
        )


async def cancel_at(client: HttpClient, request_id: str, fencing_number: int) -> None:
    """Ask the upstream to stop; it notices the closed connection as well."""
    headers = {"x-fencing-number": str(fencing_number)}
    try:
        await client.request(
            "POST", f"/v1/cancel/{request_id}", headers=headers, timeout=CANCEL_SECONDS
        )
    except (ConnectFailed, ExchangeBroken):
        return


def _has_end(response: StreamedResponse) -> bool:
    return (
        "content-length" in response.headers
        or response.headers.get("transfer-encoding", "").lower() == "chunked"
    )
