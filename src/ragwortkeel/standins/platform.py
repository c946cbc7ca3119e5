"""Serve the stand-in platform over HTTP to separate processes.

In addition to the object service it accepts ``POST /switches`` (failures, as JSON),
``POST /live`` (what the list of instances shows) and ``GET /counts``.
"""

from urllib.parse import unquote

import curio
import msgspec

from ragwortkeel.exceptions import (
    AlreadyExists,
    ObjectNotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from ragwortkeel.httpio import HttpServer, Request, Responder
from ragwortkeel.platform import MAX_VALUE_BYTES
from ragwortkeel.platform_wire import (
    IF_MATCH_HEADER,
    PAGE_LIMIT,
    VERSION_HEADER,
    ChangesBody,
    ErrorBody,
    ListPage,
    LiveBody,
    ObjectBody,
    Written,
)
from ragwortkeel.standins.local_platform import LocalPlatform, Switches

MAX_WATCH_SECONDS = 60.0

_STATUS_BY_ERROR = {
    AlreadyExists: 409,
    VersionConflict: 409,
    ObjectNotFound: 404,
    PlatformUnavailable: 503,
}


class PlatformServer:
    """Translates HTTP requests to calls of a `LocalPlatform`."""

    def __init__(self, *, platform: LocalPlatform) -> None:
        self.platform = platform

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        parts = [unquote(part) for part in request.path.strip("/").split("/")]
        try:
            await self._route(request, parts, responder)
        except OutcomeUnknown:
            await responder.abort()
        except tuple(_STATUS_BY_ERROR) as exc:
            await _refuse(responder, _STATUS_BY_ERROR[type(exc)], str(exc))
        except (KeyError, ValueError, msgspec.DecodeError) as exc:
            await _refuse(responder, 400, repr(exc))

    async def _route(self, request: Request, parts: list[str], responder) -> None:
        match (request.method, parts):
            case ("GET", ["v1", "objects", kind]):
                await self._list(request, kind, responder)
            case ("GET", ["v1", "objects", kind, name]):
                await self._get(kind, name, responder)
            case ("POST" | "PUT" | "DELETE", ["v1", "objects", kind, name]):
                await self._write(request, kind, name, responder)
            case ("GET", ["v1", "watch", kind]):
                await self._watch(request, kind, responder)
            case ("GET", ["v1", "live"]):
                instances = await self.platform.live()
                await _send(responder, LiveBody(instances=tuple(instances.values())))
            case _:
                await self._control(request, parts, responder)

    async def _control(self, request: Request, parts: list[str], responder) -> None:
        match (request.method, parts):
            case ("POST", ["switches"]):
                switches = msgspec.json.decode(request.body, type=Switches)
                self.platform.switches = switches
                await _send(responder, switches)
            case ("POST", ["live"]):
                body = msgspec.json.decode(request.body, type=LiveBody)
                self.platform.set_live(body.instances)
                await _send(responder, body)
            case ("GET", ["counts"]):
                await _send(responder, self.platform.counts)
            case _:
                await _refuse(responder, 404, f"no {request.method} {request.path}")

    async def _get(self, kind: str, name: str, responder) -> None:
        stored = await self.platform.get(kind, name)
        if stored is None:
            await _refuse(responder, 404, f"no {kind}/{name}")
            return
        headers = {VERSION_HEADER: str(stored.version)}
        await responder.respond(200, stored.value, headers)

    async def _list(self, request: Request, kind: str, responder) -> None:
        listing = await self.platform.list(kind, request.query.get("prefix", ""))
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", PAGE_LIMIT))
        names = sorted(name for name in listing.by_name if name > after)
        objects = tuple(
            ObjectBody.of(listing.by_name[object_name]) for object_name in names[:limit]
        )
        page = ListPage(
            objects=objects, revision=listing.revision, more=len(names) > limit
        )
        await _send(responder, page)

    async def _write(self, request: Request, kind: str, name: str, responder) -> None:
        if len(request.body) > MAX_VALUE_BYTES:
            await _refuse(responder, 413, f"at most {MAX_VALUE_BYTES} bytes")
            return
        if request.method == "POST":
            version = await self.platform.create(kind, name, request.body)
            await _send(responder, Written(version=version), status=201)
            return
        expected = int(request.headers[IF_MATCH_HEADER])
        if request.method == "PUT":
            version = await self.platform.update(kind, name, request.body, expected)
        else:
            await self.platform.delete(kind, name, expected)
            version = expected
        await _send(responder, Written(version=version))

    async def _watch(self, request: Request, kind: str, responder) -> None:
        revision = int(request.query["revision"])
        timeout = min(float(request.query["timeout"]), MAX_WATCH_SECONDS)
        changes = await self.platform.watch(kind, revision, timeout)
        await _send(responder, ChangesBody.of(changes))


async def _send(responder: Responder, body: msgspec.Struct, status: int = 200) -> None:
    headers = {"content-type": "application/json"}
    await responder.respond(status, msgspec.json.encode(body), headers)


async def _refuse(responder: Responder, status: int, error: str) -> None:
    await _send(responder, ErrorBody(error=error), status=status)


async def open_server(
    *, host: str, port: int, platform: LocalPlatform
) -> tuple[HttpServer, curio.Task]:
    """Return a listening server and the task that serves it."""
    server = HttpServer(
        host=host, port=port, handler=PlatformServer(platform=platform).handle
    )
    server.open()
    return server, await curio.spawn(server.serve, daemon=True)


async def serve(host: str, port: int) -> None:
    """Serve an empty platform until cancelled."""
    _, task = await open_server(host=host, port=port, platform=LocalPlatform())
    await task.join()
