"""A stand-in for a plain service, some of whose calls must not be repeated.

``POST /calls`` executes and records each HTTP request, whatever its request id, so
that ``GET /executions`` shows repeated calls.
"""

import time
from collections import Counter
from uuid import uuid4

import curio
import msgspec

from ragwortkeel.httpio import HttpServer, Request, Responder
from ragwortkeel.standins.announcements import AnnouncingResponder, reject
from ragwortkeel.standins.engine import JSON_TYPE, update_switches


class ServiceSwitches(msgspec.Struct, frozen=True, kw_only=True):
    """Faults that a test can switch on.

    `slow` is the delay of each call in seconds.  `answer_lost` drops the connection
    after the execution; `down` drops it before the execution.  With `leaving`, all
    responses announce that the service leaves.  `pause` is the pause in seconds that
    calls are rejected with, 0 for no rejection.
    """

    slow: float = 0.0
    answer_lost: bool = False
    down: bool = False
    leaving: bool = False
    pause: float = 0.0


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """One executed call.

    `number` counts the calls from 1; `at` is in seconds of the monotonic clock.
    """

    request_id: str
    number: int
    at: float
    body: msgspec.Raw


class Executions(msgspec.Struct, frozen=True, kw_only=True):
    """All executed calls, and their number by request id."""

    executions: list[Execution]
    count_by_request_id: dict[str, int]


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a call."""

    request_id: str
    number: int
    accepted: bool = True


class Service:
    """One service and its executed calls."""

    def __init__(self) -> None:
        self.switches = ServiceSwitches()
        self._executions: list[Execution] = []

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one HTTP request."""
        responder = AnnouncingResponder(
            responder=responder, leaving=self.switches.leaving
        )
        match request.method, request.path:
            case "POST", "/calls":
                await self._call(request, responder)
            case "GET", "/executions":
                await _reply(responder, 200, self._executed())
            case "GET", "/switches":
                await _reply(responder, 200, self.switches)
            case "POST", "/switches":
                self.switches = update_switches(self.switches, request.body)
                await _reply(responder, 200, self.switches)
            case _:
                await _reply(responder, 404, {"error": "not_found"})

    def _executed(self) -> Executions:
        counts = Counter(execution.request_id for execution in self._executions)
        return Executions(executions=self._executions, count_by_request_id=counts)

    async def _call(self, request: Request, responder: Responder) -> None:
        if self.switches.down:
            await responder.abort()
            return
        if self.switches.pause:
            await reject(responder, self.switches.pause)
            return
        try:
            body = msgspec.json.decode(request.body, type=msgspec.Raw)
        except msgspec.DecodeError:
            await _reply(responder, 400, {"error": "bad_request"})
            return
        if self.switches.slow:
            await curio.sleep(self.switches.slow)
        result = self._execute(request, body)
        if self.switches.answer_lost:
            await responder.abort()
            return
        await _reply(responder, 200, result)

    def _execute(self, request: Request, body: msgspec.Raw) -> CallResult:
        execution = Execution(
            request_id=request.headers.get("x-request-id") or uuid4().hex,
            number=len(self._executions) + 1,
            at=time.monotonic(),
            body=body,
        )
        self._executions.append(execution)
        return CallResult(request_id=execution.request_id, number=execution.number)


async def _reply(responder: Responder, status: int, value) -> None:
    await responder.respond(status, msgspec.json.encode(value), JSON_TYPE)


async def serve(host: str, port: int) -> None:
    """Serve one plain service until cancelled."""
    service = Service()
    server = HttpServer(host=host, port=port, handler=service.handle)
    server.open()
    await server.serve()
