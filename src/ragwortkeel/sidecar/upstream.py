"""One run at the upstream: an HTTP exchange that is reported as typed events.

Each run is a separate task with its own connection.  Only a request that certainly
did not run is reported as declined.  In case of doubt it is reported as broken, with
the bound of the tokens that it may have spent.
"""

from collections.abc import Awaitable, Callable

import curio

from ragwortkeel.exceptions import ConnectFailed, ExchangeBroken
from ragwortkeel.http_client import MAX_REPORT_BYTES
from ragwortkeel.http_events import decimal_value
from ragwortkeel.httpio import HttpClient, StreamedResponse
from ragwortkeel.logs import log_warning
from ragwortkeel.messages import Dispatch, FailureReason, RefusalReason
from ragwortkeel.sidecar.effects import (
    AnswerChunk,
    AnswerCompleted,
    AnswerStarted,
    RunBroken,
    RunDeclined,
    UpstreamEvent,
)
from ragwortkeel.sidecar.usage import (
    DocumentUsage,
    StreamUsage,
    is_stale_fencing_refusal,
    prompt_token_bound,
)

MAX_SILENCE_SECONDS = 20.0
"""Longest gap between two chunks; a stream with a longer gap has failed."""

MIN_UNREPEATABLE_SECONDS = 120.0
"""Shortest timeout of a must-not-repeat run.

It may exceed the caller's deadline, because the outcome of an aborted run is unknown.
"""

CANCEL_TIMEOUT_SECONDS = 2.0
"""Time for an engine to end a cancelled stream, which takes it one or two steps."""

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
"""Largest answer that is no stream, which is held in memory."""

OK = 200
CONFLICT = 409
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
UNAVAILABLE = 503
DECLINING_STATUSES = {TOO_MANY_REQUESTS, UNAVAILABLE}
"""Statuses with which an engine refuses a request before it runs."""

ReportEvent = Callable[[UpstreamEvent], Awaitable[None]]


class UpstreamSilent(ExchangeBroken):
    """The upstream sent nothing for `MAX_SILENCE_SECONDS` within an answer."""


class UpstreamRun:
    """One dispatch that is run at the upstream.

    Parameters
    ----------
    client
        The upstream's HTTP client.
    dispatch
        The request to run.
    fencing_number
        Increases with each sidecar of this upstream; engines that check it
        refuse requests of earlier sidecars.
    report
        Receives the events in order; the last event ends the run.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        dispatch: Dispatch,
        fencing_number: int,
        report: ReportEvent,
        max_silence_seconds: float = MAX_SILENCE_SECONDS,
    ) -> None:
        self._client = client
        self._dispatch = dispatch
        self._fencing_number = fencing_number
        self._report = report
        self._max_silence_seconds = max_silence_seconds
        self._prompt_token_bound = prompt_token_bound(
            dispatch.body, dispatch.reservation
        )
        self._stream = StreamUsage()

    async def run(self) -> None:
        """Run to the end and report it; a cancelled task reports nothing."""
        try:
            async with curio.timeout_after(self._timeout_seconds()):
                await self._exchange()
        except curio.TaskTimeout:
            await self.report_broken(FailureReason.DEADLINE)
        except ConnectFailed:
            await self._report_declined(RefusalReason.UPSTREAM_UNREACHABLE)
        except UpstreamSilent:
            await self.report_broken(FailureReason.SILENT)
        except ExchangeBroken:
            await self.report_broken(FailureReason.CRASHED)

    async def report_broken(
        self, reason: FailureReason, *, pause_seconds: float = 0.0
    ) -> None:
        """Report that the run failed, with the bound of its tokens."""
        has_streamed = (
            self._stream.content_events > 0 or self._stream.token_count is not None
        )
        tokens = self._token_bound() if has_streamed else self._dispatch.reservation
        await self._report(
            RunBroken(
                nonce=self._dispatch.nonce,
                reason=reason,
                tokens=tokens,
                retry_after_seconds=pause_seconds,
            )
        )

    def _timeout_seconds(self) -> float:
        dispatch = self._dispatch
        if dispatch.idempotent:
            return dispatch.budget_seconds
        return max(dispatch.budget_seconds, MIN_UNREPEATABLE_SECONDS)

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
                await self._handle_refusal(response)
            elif response.headers.get("content-type", "").startswith(
                "text/event-stream"
            ):
                await self._forward_stream(response)
            elif _has_delimited_body(response):
                await self._forward_document(response)
            else:
                # Failure prevented: the answer ends only with its connection,
                # so a truncated answer looks complete.
                await self.report_broken(FailureReason.TRUNCATED)

    async def _handle_refusal(self, response: StreamedResponse) -> None:
        await response.read(max_bytes=MAX_DOCUMENT_BYTES)
        pause_seconds = 0.0
        if response.status == UNAVAILABLE:
            pause_seconds = _pause_seconds(response)
        if response.status in DECLINING_STATUSES and self._dispatch.idempotent:
            # A must-not-repeat call may have run in spite of status 503.
            await self._report_declined(
                RefusalReason.OVERLOADED, pause_seconds=pause_seconds
            )
        else:
            await self.report_broken(
                FailureReason.UPSTREAM_ERROR, pause_seconds=pause_seconds
            )

    async def _forward_stream(self, response: StreamedResponse) -> None:
        await self._report_started(response)
        async for chunk in self._chunks(response):
            self._stream.feed(chunk)
            await self._report_chunk(chunk)
        if self._stream.cancelled:
            await self.report_broken(FailureReason.CANCELLED)
        elif not self._stream.done:
            # Failure prevented: a crashing engine closes its stream in good
            # order, and a truncated answer without end marker looks complete.
            await self.report_broken(FailureReason.TRUNCATED)
        else:
            await self._report_completed(response.status, self._stream.token_count)

    async def _forward_document(self, response: StreamedResponse) -> None:
        body = await self._document(response)
        if response.status == CONFLICT and is_stale_fencing_refusal(body):
            await self._report_declined(RefusalReason.WRONG_INCARNATION)
            return
        usage = DocumentUsage(body)
        if usage.cancelled:
            self._stream.token_count = usage.token_count
            await self.report_broken(FailureReason.CANCELLED)
            return
        await self._report_started(response)
        await self._report_chunk(body)
        await self._report_completed(response.status, usage.token_count)

    async def _document(self, response: StreamedResponse) -> bytes:
        body = bytearray()
        async for chunk in self._chunks(response):
            body += chunk
            if len(body) > MAX_DOCUMENT_BYTES:
                raise ExchangeBroken(f"an answer of over {MAX_DOCUMENT_BYTES} bytes")
        return bytes(body)

    async def _report_started(self, response: StreamedResponse) -> None:
        content_type = response.headers.get("content-type", "application/json")
        started = AnswerStarted(
            nonce=self._dispatch.nonce,
            status=response.status,
            content_type=content_type,
        )
        await self._report(started)

    async def _report_chunk(self, chunk: bytes) -> None:
        nonce = self._dispatch.nonce
        await self._report(
            AnswerChunk(nonce=nonce, data=chunk, tokens=self._token_bound())
        )

    async def _report_completed(self, status: int, token_count: int | None) -> None:
        if status != OK:
            # The upstream rejected the request, so it generated nothing.
            token_count = 0
        elif token_count is None:
            # Without usage the reservation is charged.  It bounds the tokens of
            # an engine, and is the price of a plain call.
            token_count = self._dispatch.reservation
        await self._report(
            AnswerCompleted(nonce=self._dispatch.nonce, tokens=token_count)
        )

    async def _report_declined(
        self, reason: RefusalReason, *, pause_seconds: float = 0.0
    ) -> None:
        await self._report(
            RunDeclined(
                nonce=self._dispatch.nonce,
                reason=reason,
                retry_after_seconds=pause_seconds,
            )
        )

    async def _chunks(self, response: StreamedResponse):
        """Yield the body; raise `UpstreamSilent` after too long a gap."""
        chunks = response.chunks()
        while True:
            try:
                async with curio.timeout_after(self._max_silence_seconds):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except curio.TaskTimeout as exc:
                raise UpstreamSilent(
                    "the upstream stopped sending within an answer"
                ) from exc
            yield chunk

    def _token_bound(self) -> int:
        if self._stream.token_count is not None:
            return self._stream.token_count
        return self._prompt_token_bound + self._stream.content_events


async def cancel_request(
    client: HttpClient, request_id: str, fencing_number: int
) -> None:
    """Ask the upstream to stop a request; failures are ignored.

    The upstream detects the closed connection as well.
    """
    headers = {"x-fencing-number": str(fencing_number)}
    try:
        await client.request(
            "POST",
            f"/v1/cancel/{request_id}",
            headers=headers,
            timeout=CANCEL_TIMEOUT_SECONDS,
            max_bytes=MAX_REPORT_BYTES,
        )
    except (ConnectFailed, ExchangeBroken):
        return


def _pause_seconds(response: StreamedResponse) -> float:
    """Return the pause that a rejection asks for; 0 for none."""
    value = response.headers.get("retry-after", "")
    seconds = decimal_value(value.strip())
    if value and seconds is None:
        log_warning(
            "upstream_announcement_unreadable", header="retry-after", value=value[:40]
        )
    return seconds or 0.0


def _has_delimited_body(response: StreamedResponse) -> bool:
    encoding = response.headers.get("transfer-encoding", "").lower()
    return "content-length" in response.headers or encoding == "chunked"
