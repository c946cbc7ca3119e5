"""Calls to an object service over HTTP, and what a failure of one lets conclude.

Each failure is turned into what the caller may conclude from it: certainly
nothing changed (`PlatformUnavailable`), or nobody knows (`OutcomeUnknown`).  What
the calls say is up to the client that uses them.
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
"""The platform answers in milliseconds; by then it is down or cut off."""

_NOT_TAKEN = frozenset({429, 503})
"""Refused at the door, so nothing changed."""


class PlatformCalls:
    """Reads and writes at one address.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object service.
    timeout : float
        Seconds for one call at the most, less while answers are quick; a watch has
        its own wait on top.
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
        where = Address.parse(address)
        self._client = HttpClient(host=where.host, port=where.port)
        self._timeout = AnswerTimeout(max_seconds=timeout)
        self._on_failure = on_failure

    async def read(
        self,
        target: str,
        *,
        wait: float = 0.0,
        allowed: frozenset[int] = frozenset({200, 404}),
    ) -> Response:
        """Return the answer to a read, of one of the `allowed` statuses."""
        try:
            response = await self._request("GET", target, wait=wait)
        except (ConnectFailed, ExchangeBroken) as exc:
            raise self.unavailable(str(exc)) from exc
        if response.status not in allowed:
            raise self.unavailable(f"status {response.status}")
        return response

    async def write(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Response:
        """Return the answer to a write that the platform took up."""
        if len(body) > MAX_VALUE_BYTES:
            raise ValueRefused(f"{target}: more than {MAX_VALUE_BYTES} bytes")
        try:
            response = await self._request(method, target, body=body, headers=headers)
        except ConnectFailed as exc:
            raise self.unavailable(str(exc)) from exc
        except ExchangeBroken as exc:
            # The write may have been done before its answer was lost; the
            # caller re-reads, for only the platform's object can tell.
            raise self.unknown(str(exc)) from exc
        if response.status in _NOT_TAKEN:
            raise self.unavailable(f"status {response.status}")
        if response.status in (400, 413):
            raise ValueRefused(f"{target}: status {response.status}")
        return response

    async def _request(
        self, method: str, target: str, *, wait: float = 0.0, **fields
    ) -> Response:
        begun = monotonic()
        try:
            response = await self._client.request(
                method, target, timeout=self._timeout.seconds + wait, **fields
            )
        except (ConnectFailed, ExchangeBroken):
            self._timeout.record_timeout()
            raise
        if not wait:
            self._timeout.record_answer(monotonic() - begun)
        return response

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()

    def unavailable(self, why: str) -> PlatformUnavailable:
        """Return the error for a call that certainly changed nothing."""
        self._on_failure("unavailable")
        return PlatformUnavailable(why)

    def unknown(self, why: str) -> OutcomeUnknown:
        """Return the error for a write that may have taken effect."""
        self._on_failure("outcome_unknown")
        return OutcomeUnknown(why)


def conditional(response: Response, kind: str, name: str) -> Response:
    """Return the answer to a conditional write, unless another came first."""
    if response.status == 404:
        raise ObjectNotFound(f"{kind}/{name} is not there")
    if response.status == 409:
        raise VersionConflict(f"{kind}/{name} was changed meanwhile")
    return response
