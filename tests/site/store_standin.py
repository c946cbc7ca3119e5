"""A stand-in for the users' object store: their HTTP API over a `LocalPlatform`.

Faults are set on the `LocalPlatform`. In addition, `refuse_with` is a status that
answers every call, `lost_history` answers every watch with 410, and `garbled` writes
objects without a readable name.
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
from ragwortkeel.httpio import HttpServer
from ragwortkeel.standins.local_platform import LocalPlatform

PAGE_ITEMS = 2
STATUS_BY_ERROR = {
    AlreadyExists: 409,
    VersionConflict: 409,
    ObjectNotFound: 404,
    PlatformUnavailable: 503,
}


class StoreStandin:
    def __init__(self):
        self.local = LocalPlatform()
        self.refuse_with = None
        self.lost_history = False
        self.garbled = False

    async def __aenter__(self):
        self.server = HttpServer(host="127.0.0.1", port=0, handler=self.handle)
        self.server.open()
        self.task = await curio.spawn(self.server.serve, daemon=True)
        return self

    async def __aexit__(self, *exc_info):
        await self.server.stop_accepting()
        await self.task.cancel()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    async def put(self, kind, name, spec):
        """Write an object whatever its version, like an operator or a server."""
        value = msgspec.json.encode(spec)
        stored = self.local.peek(kind, name)
        if stored is None:
            await self.local.create(kind, name, value)
        else:
            await self.local.update(kind, name, value, stored.version)

    async def handle(self, request, responder):
        if self.refuse_with:
            await responder.respond(self.refuse_with, b"{}")
            return
        try:
            status, body = await self.answer(request)
        except OutcomeUnknown:
            await responder.abort()
            return
        except VersionConflict as exc:
            status, body = 409, to_document(exc.current)
        except tuple(STATUS_BY_ERROR) as exc:
            status, body = STATUS_BY_ERROR[type(exc)], {}
        await responder.respond(status, msgspec.json.encode(body))

    async def answer(self, request):
        path = [unquote(part) for part in request.path.strip("/").split("/")]
        match request.method, path:
            case "GET", ["ragwortkeel", "objects", kind] if "watch" in request.query:
                return await self.watch(kind, request.query)
            case "GET", ["ragwortkeel", "objects", kind]:
                return await self.list(kind, request.query.get("afterRev", ""))
            case "GET", ["ragwortkeel", "objects", kind, name]:
                stored = await self.local.get(kind, name)
                return (200, to_document(stored)) if stored else (404, {})
            case "POST", ["ragwortkeel", "objects", kind]:
                sent = msgspec.json.decode(request.body)
                name = sent["metadata"]["name"]
                await self.local.create(kind, name, msgspec.json.encode(sent["spec"]))
                return 200, to_document(self.local.peek(kind, name))
            case "PUT", ["ragwortkeel", "objects", kind, name]:
                sent = msgspec.json.decode(request.body)
                revision = sent["metadata"]["revision"]
                value = msgspec.json.encode(sent["spec"])
                await self.local.update(kind, name, value, revision)
                return 200, to_document(self.local.peek(kind, name))
            case "DELETE", ["ragwortkeel", "objects", kind, name]:
                revision = int(request.query["revision"])
                await self.local.delete(kind, name, revision)
                return 200, {}
        return 400, {}

    async def list(self, kind, after):
        listing = await self.local.list(kind)
        names = sorted(name for name in listing.by_name if name > after)
        items = [to_document(listing.by_name[name]) for name in names[:PAGE_ITEMS]]
        more = len(names) > PAGE_ITEMS
        return 200, {"items": items, "hasMore": more, "at": listing.revision}

    async def watch(self, kind, query):
        if self.lost_history:
            return 410, {}
        wait = int(query["waitMs"]) / 1000
        changes = await self.local.watch(kind, int(query["watch"]), wait)
        events = [
            {
                "deleted": change.stored is None,
                "object": to_document(change.stored)
                if change.stored and not self.garbled
                else {"metadata": {"name": 5}}
                if self.garbled
                else {"metadata": {"name": change.name, "revision": change.version}},
            }
            for change in changes.changes
        ]
        return 200, {"events": events, "at": changes.revision}


def to_document(stored):
    return {
        "metadata": {
            "name": stored.name,
            "revision": stored.version,
            "created": 1,
            "finalizers": [],
            "deletionPending": False,
        },
        "spec": msgspec.json.decode(stored.value),
        "status": None,
    }
