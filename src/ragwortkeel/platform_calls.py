"""Calls to an object service over HTTP, with errors that state the outcome.

A failed call raises `PlatformUnavailable` if certainly nothing changed, and
`OutcomeUnknown` if a write may have taken effect.  The client that makes the calls
defines their targets and bodies.
"""

from collections.abc import Callable
from contextlib import AsyncExitStack
from time import monotonic

import curio

from ragwortkeel.exceptions import (
    ConnectFailed,
    ExchangeBroken,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    ReadUnanswered,
    ValueRefused,
    VersionConflict,
)
from ragwortkeel.httpio import HttpClient, Response, StreamedResponse
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.platform import MAX_VALUE_BYTES
from ragwortkeel.policy.timeouts import AnswerTimeout
from ragwortkeel.settings import Address

CALL_SECONDS = 2.0
"""Default timeout of a call.

The platform usually answers in milliseconds; after this time it is down or
unreachable.
"""

SLOWEST_LINK_BYTES_PER_SECOND = 625_000
"""Pace at which a value is sent at the least: a link of 5 Mbit/s."""

MAX_BODY_SECONDS = 10.0
"""Time in which the body of an answer has to be complete, whatever its pace.

The largest value of 1 MB takes 1.7 s over a link of 5 Mbit/s without other traffic.
"""

SLOW_ANSWER_SECONDS = 0.5
"""Time between the head and the end of an answer above which it is logged."""

FAILURE_LOG_SECONDS = 0.5
"""Shortest time between two log lines on failed calls."""

_REFUSED_STATUSES = frozenset({429, 503})
"""Statuses of calls that were refused without any effect."""


class PlatformCalls:
    """Reads and writes at one address of an object service.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object service.
    timeout : float
        Maximum seconds without any bytes of an answer.  The head of an answer has to
        arrive in a shorter time while answers are fast; the wait of a watch and the
        time to send a value over a small link are added.
        A body may take up to `MAX_BODY_SECONDS` as long as its bytes arrive.
    on_failure : callable, optional
        Called with the kind of each failure, for metrics.
    """

    def __init__(
        self,
        *,
        address: str,
        timeout: float = CALL_SECONDS,
        on_failure: Callable[[str], None] = lambda error: None,
    ) -> None:
        parsed_address = Address.parse(address)
        self._client = HttpClient(host=parsed_address.host, port=parsed_address.port)
        self._timeout = AnswerTimeout(max_seconds=timeout)
        self._on_failure = on_failure
        self._failures = _FailureLog()

    async def read(
        self,
        target: str,
        *,
        wait: float = 0.0,
        allowed: frozenset[int] = frozenset({200, 404}),
    ) -> Response:
        """Return the response to a read, if its status is one of `allowed`."""
        try:
            response = await self._request("GET", target, wait=wait)
        except ConnectFailed as exc:
            raise self.unavailable_error(str(exc)) from exc
        except ExchangeBroken as exc:
            self._on_failure("unavailable")
            raise ReadUnanswered(str(exc)) from exc
        if response.status not in allowed:
            raise self.unavailable_error(f"status {response.status}")
        return response

    async def write(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Response:
        """Return the response to a write that the platform did not refuse."""
        if len(body) > MAX_VALUE_BYTES:
            raise ValueRefused(f"{target}: value has more than {MAX_VALUE_BYTES} bytes")
        try:
            response = await self._request(method, target, body=body, headers=headers)
        except ConnectFailed as exc:
            raise self.unavailable_error(str(exc)) from exc
        except ExchangeBroken as exc:
            # The write may have taken effect before its response was lost; the
            # caller has to read the object again to find out.
            raise self.unknown_error(str(exc)) from exc
        if response.status in _REFUSED_STATUSES:
            raise self.unavailable_error(f"status {response.status}")
        if response.status in (400, 413):
            raise ValueRefused(f"{target}: status {response.status}")
        return response

    async def _request(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        wait: float = 0.0,
    ) -> Response:
        started_at = monotonic()
        send_seconds = len(body) / SLOWEST_LINK_BYTES_PER_SECOND
        limit = self._timeout.seconds + wait + send_seconds
        received = bytearray()
        try:
            async with AsyncExitStack() as stack:
                async with curio.timeout_after(limit):
                    stream = self._client.stream(
                        method, target, body=body, headers=headers
                    )
                    response = await stack.enter_async_context(stream)
                head_at = monotonic()
                await _read_body(
                    response, received, stall_seconds=self._timeout.max_seconds
                )
        except curio.TaskTimeout as exc:
            error = f"no response within {limit:.2f} s"
            self._record_failure(target, started_at, received, error)
            # Idle connections may have gone silent with this one.
            await self._client.close()
            raise ExchangeBroken(error) from exc
        except (ConnectFailed, ExchangeBroken) as exc:
            self._record_failure(target, started_at, received, str(exc))
            raise
        now = monotonic()
        if not wait:
            head_seconds = head_at - started_at - send_seconds
            self._timeout.record_answer(max(0.0, head_seconds))
        if now - head_at > SLOW_ANSWER_SECONDS:
            log_info(
                "platform_answer_slow",
                target=_path(target),
                received=len(received),
                head_after=round(head_at - started_at, 3),
                took=round(now - started_at, 3),
            )
        return Response(
            status=response.status, headers=response.headers, body=bytes(received)
        )

    def _record_failure(
        self, target: str, started_at: float, received: bytes, error: str
    ) -> None:
        self._timeout.record_timeout()
        self._failures.record(
            target=_path(target),
            received=len(received),
            took=round(monotonic() - started_at, 3),
            error=error,
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    def unavailable_error(self, reason: str) -> PlatformUnavailable:
        """Report and return the error for a call that certainly changed nothing."""
        self._on_failure("unavailable")
        return PlatformUnavailable(reason)

    def unknown_error(self, reason: str) -> OutcomeUnknown:
        """Report and return the error for a write that may have taken effect."""
        self._on_failure("outcome_unknown")
        return OutcomeUnknown(reason)


class _FailureLog:
    """Logs failed calls, at most one line each `FAILURE_LOG_SECONDS`."""

    def __init__(self) -> None:
        self._logged_at = float("-inf")
        self._left_out = 0

    def record(self, **fields: object) -> None:
        """Log a failed call, or count it as left out."""
        now = monotonic()
        if now - self._logged_at < FAILURE_LOG_SECONDS:
            self._left_out += 1
            return
        log_warning("platform_call_failed", left_out=self._left_out, **fields)
        self._logged_at, self._left_out = now, 0


async def _read_body(
    response: StreamedResponse, body: bytearray, *, stall_seconds: float
) -> None:
    """Append the response's body to `body`.

    Raises
    ------
    ExchangeBroken
        Nothing arrived for `stall_seconds`, or the body took `MAX_BODY_SECONDS`.
    """
    chunks = response.chunks()
    ends_at = monotonic() + MAX_BODY_SECONDS
    while monotonic() < ends_at:
        try:
            async with curio.timeout_after(stall_seconds):
                chunk = await anext(chunks, None)
        except curio.TaskTimeout as exc:
            raise ExchangeBroken(
                f"response stalled for {stall_seconds} s after {len(body)} bytes"
            ) from exc
        if chunk is None:
            return
        body += chunk
    raise ExchangeBroken(f"response incomplete after {MAX_BODY_SECONDS} s")


def _path(target: str) -> str:
    return target.partition("?")[0]


def check_conditional(response: Response, kind: str, name: str) -> Response:
    """Return the response to a conditional write, or raise if it was refused."""
    if response.status == 404:
        raise ObjectNotFound(f"{kind}/{name} does not exist")
    if response.status == 409:
        raise VersionConflict(f"{kind}/{name} has another version")
    return response
