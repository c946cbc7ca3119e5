"""A sidecar with a link and a fake upstream, in one process."""

import json
from contextlib import asynccontextmanager

import curio

from ragwortkeel.configuration import UpstreamKind
from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.httpio import HttpServer
from ragwortkeel.links import Link, LinkUp, Received
from ragwortkeel.messages import Dispatch, Heartbeat
from ragwortkeel.settings import SidecarSettings
from ragwortkeel.sidecar.sidecar import Sidecar
from ragwortkeel.standins.local_platform import LocalPlatform

SSE = {"content-type": "text/event-stream", "transfer-encoding": "chunked"}


def run(main):
    with curio.Kernel(taskcls=curio.task.ContextTask) as kernel:
        return kernel.run(main)


def event(text):
    payload = {"choices": [{"delta": {"content": text}}]}
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


USAGE = b'data: {"choices": [], "usage": {"total_tokens": 14}}\n\n'
DONE = b"data: [DONE]\n\n"


class Upstream:
    """Answers each request by `behave(upstream, request, responder)`; records runs."""

    def __init__(self, behave=None):
        self.behave = behave or stream_whole
        self.runs = []
        self.cancels = []
        self.release = curio.Event()
        self.announcements = {}
        self.server = HttpServer(host="127.0.0.1", port=0, handler=self._handle)

    async def _handle(self, request, responder):
        if request.path.startswith("/v1/cancel/"):
            self.cancels.append(request.path.rpartition("/")[2])
            await responder.respond(200, b"{}")
            return
        if request.path == "/load":
            load = b'{"running": 1, "waiting": 3, "limit": 9}'
            await responder.respond(200, load, self.announcements)
            return
        self.runs.append(request)
        try:
            await self.behave(self, request, responder)
        except ExchangeBroken:
            return


async def stream_whole(upstream, request, responder):
    await responder.start(200, SSE)
    for word in ("al", "pha", "bet"):
        await responder.send(event(word))
    await responder.send(USAGE + DONE)
    await responder.finish()


class Router:
    """The router's end of a link: sends messages and collects the replies."""

    def __init__(self, *, address, incarnation="router-1"):
        self.inbox = curio.Queue()
        self.link = Link(
            name="sidecar",
            address=address,
            incarnation=incarnation,
            revision=int,
            inbox=self.inbox,
        )
        self.epoch = 0

    async def open(self):
        await curio.spawn(self.link.run, daemon=True)
        while not isinstance(await self.inbox.get(), LinkUp):
            pass
        await self.until(Heartbeat)

    async def next(self):
        while True:
            item = await self.inbox.get()
            if not isinstance(item, Received):
                continue
            message = item.envelope.message
            if isinstance(message, Heartbeat):
                self.epoch = message.epoch
            return message

    async def until(self, *kinds):
        """Return the messages up to the first one of these kinds."""
        rv = []
        async with curio.timeout_after(10):
            while True:
                message = await self.next()
                if isinstance(message, kinds) or not isinstance(message, Heartbeat):
                    rv.append(message)
                if isinstance(message, kinds):
                    return rv

    async def ask(self, message, *kinds):
        await self.link.send(message)
        return await self.until(*kinds)


def dispatch(nonce="n1", **changes):
    values = {
        "request_id": "r1",
        "nonce": nonce,
        "profile": "chat",
        "profile_version": 1,
        "upstream_version": 1,
        "sidecar": "s1-a",
        "reservation": 40,
        "idempotent": True,
        "target": "/v1/chat/completions",
        "body": b'{"max_tokens": 30}',
        "stream": True,
        "budget_seconds": 10.0,
        "priority": 0,
        "traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "epoch": 1,
    }
    return Dispatch(**(values | changes))


@asynccontextmanager
async def sidecar_beside(upstream, *, platform=None, admitted=True, stop_deadline=5.0):
    """Yield (sidecar, its task, platform)."""
    platform = platform or LocalPlatform()
    upstream.server.open()
    server = await curio.spawn(upstream.server.serve, daemon=True)
    sidecar = Sidecar(
        settings=SidecarSettings(
            name="s1",
            upstream="u1",
            zone="maule-1",
            address="127.0.0.1:1",
            metrics="127.0.0.1:9",
            platform="127.0.0.1:9",
            upstream_address=f"127.0.0.1:{upstream.server.port}",
            upstream_kind=UpstreamKind.MODEL,
            stop_deadline_seconds=stop_deadline,
        ),
        incarnation="s1-a",
        platform=platform,
        address="127.0.0.1:0",
    )
    sidecar.open()
    task = await curio.spawn(sidecar.run, daemon=True)
    while admitted and not sidecar.admitted:
        await curio.sleep(0.01)
    try:
        yield sidecar, task, platform
    finally:
        await task.cancel()
        await server.cancel()
