"""Implementation of the `Platform` protocol with the platform's HTTP interface.

The error of a failed call states its outcome: certainly nothing changed
(`PlatformUnavailable`), another write came first (`VersionConflict`,
`AlreadyExists`, `ObjectNotFound`), or the write may have taken effect
(`OutcomeUnknown`).
"""

from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from ragwortkeel.exceptions import AlreadyExists, PlatformUnavailable
from ragwortkeel.httpio import Response
from ragwortkeel.platform import Changes, Instance, Listing, Stored
from ragwortkeel.platform_calls import CALL_SECONDS, PlatformCalls, check_conditional
from ragwortkeel.platform_wire import (
    IF_MATCH_HEADER,
    PAGE_LIMIT,
    VERSION_HEADER,
    ChangesBody,
    ListPage,
    LiveBody,
    Written,
)

Body = TypeVar("Body")


class HttpPlatform:
    """The platform at one address.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object service.
    timeout : float
        Maximum seconds for one call; the wait of a watch is added.
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
        self._calls = PlatformCalls(
            address=address, timeout=timeout, on_failure=on_failure
        )

    async def get(self, kind: str, name: str, *, stale: bool = False) -> Stored | None:
        """Return the current object, or None if it does not exist.

        `stale` has no effect.
        """
        response = await self._calls.read(_target(kind, name))
        if response.status == 404:
            return None
        try:
            version = int(response.headers[VERSION_HEADER])
        except (KeyError, ValueError) as exc:
            raise PlatformUnavailable("object without a version") from exc
        return Stored(kind=kind, name=name, value=response.body, version=version)

    async def list(self, kind: str, prefix: str = "") -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""
        by_name: dict[str, Stored] = {}
        revision = None
        after = ""
        while True:
            page = await self._page(kind, prefix, after)
            by_name |= {one.name: one.stored(kind) for one in page.objects}
            # The revision of the first page: later changes of objects on pages
            # that were already read are in a watch from this revision.
            revision = page.revision if revision is None else revision
            if not page.more or not page.objects:
                return Listing(by_name=by_name, revision=revision)
            after = page.objects[-1].name

    async def create(self, kind: str, name: str, value: bytes) -> int:
        """Create the object and return its version, or raise `AlreadyExists`."""
        response = await self._write("POST", kind, name, value, None)
        if response.status == 409:
            raise AlreadyExists(f"{kind}/{name} already exists")
        return self._version(response)

    async def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace the object at `version`, or raise `VersionConflict`."""
        response = await self._write("PUT", kind, name, value, version)
        return self._version(check_conditional(response, kind, name))

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object at `version`, or raise `VersionConflict`."""
        response = await self._write("DELETE", kind, name, b"", version)
        self._version(check_conditional(response, kind, name))

    async def watch(self, kind: str, revision: int, timeout: float) -> Changes:
        """Wait at most `timeout` seconds for changes after `revision`."""
        query = urlencode({"revision": revision, "timeout": timeout})
        target = f"/v1/watch/{quote(kind, safe='')}?{query}"
        response = await self._calls.read(target, wait=timeout)
        body = _decode_body(response, ChangesBody)
        return Changes(
            changes=tuple(one.change(kind) for one in body.changes),
            revision=body.revision,
            gap=body.gap,
        )

    async def live(self) -> dict[str, Instance]:
        """Return live and leaving instances by name; the list may be outdated."""
        body = _decode_body(await self._calls.read("/v1/live"), LiveBody)
        return {one.name: one for one in body.instances}

    async def close(self) -> None:
        """Close the idle connections."""
        await self._calls.close()

    async def _page(self, kind: str, prefix: str, after: str) -> ListPage:
        query = urlencode({"prefix": prefix, "after": after, "limit": PAGE_LIMIT})
        target = f"/v1/objects/{quote(kind, safe='')}?{query}"
        return _decode_body(await self._calls.read(target), ListPage)

    async def _write(
        self, method: str, kind: str, name: str, value: bytes, version: int | None
    ) -> Response:
        headers = {} if version is None else {IF_MATCH_HEADER: str(version)}
        return await self._calls.write(method, _target(kind, name), value, headers)

    def _version(self, response: Response) -> int:
        if response.status not in (200, 201):
            raise self._calls.unknown_error(f"status {response.status}")
        try:
            return msgspec.json.decode(response.body, type=Written).version
        except msgspec.DecodeError as exc:
            raise self._calls.unknown_error(
                f"response without a version: {exc}"
            ) from exc


def _target(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_body(response: Response, cls: type[Body]) -> Body:
    if response.status != 200:
        raise PlatformUnavailable(f"status {response.status}")
    try:
        return msgspec.json.decode(response.body, type=cls)
    except msgspec.DecodeError as exc:
        raise PlatformUnavailable(f"response cannot be decoded: {exc}") from exc
