"""Calls to an object service over HTTP, with errors that state the outcome.

A failed call raises `PlatformUnavailable` if certainly nothing changed, and
`OutcomeUnknown` if a write may have taken effect.  The client that makes the calls
defines their targets and bodies.
"""

from collections.abc import Callable
from time import monotonic

from ragwortkeel.exceptions import (
    ConnectFailed,
    ExchangeBroken,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    ValueRefused,
    VersionConflict,
)
from ragwortkeel.httpio import HttpClient, Response
from ragwortkeel.platform import MAX_VALUE_BYTES
from ragwortkeel.policy.timeouts import AnswerTimeout
from ragwortkeel.settings import Address

CALL_SECONDS = 2.0
"""Timeout of a call.

The platform usually answers in milliseconds; after this time it is down or
unreachable.
"""

_REFUSED_STATUSES = frozenset({429, 503})
"""Statuses of calls that were refused without any effect."""


class PlatformCalls:
    """Reads and writes at one address of an object service.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object service.
    timeout : float
        Maximum seconds for one call; the timeout is shorter while answers are
        fast.  The wait of a watch is added.
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
        except (ConnectFailed, ExchangeBroken) as exc:
            raise self.unavailable_error(str(exc)) from exc
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
        self, method: str, target: str, *, wait: float = 0.0, **fields
    ) -> Response:
        started_at = monotonic()
        try:
            response = await self._client.request(
                method, target, timeout=self._timeout.seconds + wait, **fields
            )
        except (ConnectFailed, ExchangeBroken):
            self._timeout.record_timeout()
            raise
        if not wait:
            self._timeout.record_answer(monotonic() - started_at)
        return response

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


def check_conditional(response: Response, kind: str, name: str) -> Response:
    """Return the response to a conditional write, or raise if it was refused."""
    if response.status == 404:
        raise ObjectNotFound(f"{kind}/{name} does not exist")
    if response.status == 409:
        raise VersionConflict(f"{kind}/{name} has another version")
    return response
