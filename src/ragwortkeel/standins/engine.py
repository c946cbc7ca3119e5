"""A stand-in for a model engine: chat completions over HTTP, with fault switches.

``POST /v1/chat/completions`` answers with one JSON document or with server-sent
events, one token in each; ``POST /v1/cancel/{request id}`` stops a run; ``GET /load``
reports the load with a delay; ``GET`` and ``POST /switches`` show and set the faults;
``GET /executions`` counts the runs started, by request id; ``GET /traces/{trace
id}`` shows the engine's spans.
"""

import os
from collections import Counter
from uuid import uuid4

import curio
import msgspec

from ragwortkeel.httpio import HttpServer, Request, Responder
from ragwortkeel.standins.announcements import AnnouncingResponder, reject
from ragwortkeel.standins.engine_answers import (
    ChatRequest,
    answer_tokens,
    natural_length,
    usage_of,
)
from ragwortkeel.standins.engine_batch import Batch, BatchSpeed, Generation, Load
from ragwortkeel.traces import Tracing

LOAD_LAG_SECONDS = 0.5
OVERRUN_FACTOR = 4
"""Factor by which the engine exceeds `max_tokens` with `ignore_max_tokens`."""

CRASH_EXIT_CODE = 70
JSON_TYPE = {"content-type": "application/json"}
STREAM_TYPE = {"content-type": "text/event-stream"}
CHAT_PATH = "/v1/chat/completions"
CANCEL_PREFIX = "/v1/cancel/"
TRACES_PREFIX = "/traces/"


class EngineSwitches(msgspec.Struct, frozen=True, kw_only=True):
    """Faults that a test can switch on.

    The process exits when a request body contains `crash_on`, or when an answer
    has `die_after_tokens` tokens.  `slow` multiplies the duration of a batch step.
    With `silent`, requests are accepted and never answered.  A stream ends after
    `truncate` tokens, without usage and end marker, but its HTTP response ends as if
    it were complete.  With `leaving`, all responses announce that the engine leaves.
    `pause` is the pause in seconds that requests are rejected with.  `crash_on`,
    `die_after_tokens`, `truncate` and `pause` are off if empty or zero.
    """

    crash_on: str = ""
    slow: float = 1.0
    silent: bool = False
    die_after_tokens: int = 0
    truncate: int = 0
    ignore_max_tokens: bool = False
    check_fencing: bool = False
    can_resume: bool = True
    leaving: bool = False
    pause: float = 0.0


class Engine:
    """One engine: a batch, its switches and counts of its executions."""

    def __init__(self, *, speed: BatchSpeed, load_lag: float = LOAD_LAG_SECONDS):
        self.batch = Batch(speed=speed)
        self.switches = EngineSwitches()
        self._load_lag = load_lag
        self._reported = Load(limit=speed.max_running)
        self._executions: Counter[str] = Counter()
        self._running_by_id: dict[str, list[Generation]] = {}
        self._highest_fencing_number = 0
        self._tracing = Tracing(node="engine")

    async def run(self) -> None:
        """Run the batch and refresh the delayed load report until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.batch.run)
            await group.spawn(self._report_load)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one HTTP request."""
        responder = AnnouncingResponder(
            responder=responder, leaving=self.switches.leaving
        )
        match request.method, request.path:
            case "POST", path if path == CHAT_PATH:
                await self._complete(request, responder)
            case "POST", path if path.startswith(CANCEL_PREFIX):
                await self._cancel(path.removeprefix(CANCEL_PREFIX), responder)
            case "GET", "/load":
                await _reply(responder, 200, self._reported)
            case "GET", "/executions":
                await _reply(responder, 200, self._executions)
            case "GET", "/switches":
                await _reply(responder, 200, self.switches)
            case "POST", "/switches":
                self.switches = update_switches(self.switches, request.body)
                self.batch.slowdown = self.switches.slow
                await _reply(responder, 200, self.switches)
            case "GET", path if path.startswith(TRACES_PREFIX):
                report = self._tracing.ring.report(path.removeprefix(TRACES_PREFIX))
                await _reply(responder, 200, report)
            case _:
                await _refuse(responder, 404, "not_found")

    async def _report_load(self) -> None:
        while True:
            await curio.sleep(self._load_lag)
            self._reported = self.batch.load

    async def _cancel(self, request_id: str, responder: Responder) -> None:
        generations = self._running_by_id.get(request_id, [])
        for generation in generations:
            generation.cancelled = True
        await _reply(responder, 200 if generations else 404, {})

    async def _complete(self, request: Request, responder: Responder) -> None:
        if self._check_stale(request.headers.get("x-fencing-number", "")):
            await _refuse(responder, 409, "stale_fencing_number")
            return
        if self.switches.pause:
            await reject(responder, self.switches.pause)
            return
        try:
            chat = msgspec.json.decode(request.body, type=ChatRequest)
        except msgspec.DecodeError:
            await _refuse(responder, 400, "bad_request")
            return
        self._crash_on_marker(request.body)
        request_id = request.headers.get("x-request-id") or uuid4().hex
        self._executions[request_id] += 1
        if self.switches.silent:
            await responder.disconnected.wait()
            return
        start, end = self._token_range(chat)
        generation = Generation(
            request_id=request_id,
            remaining=end - start,
            priority=int(request.headers.get("x-priority", "0")),
        )
        answer = _Answer(chat=chat, request_id=request_id, start=start, end=end)
        parent = request.headers.get("traceparent", "")
        with self._tracing.span("engine", parent=parent, request_id=request_id):
            await self._generate(answer, generation, responder)

    async def _generate(
        self, answer: "_Answer", generation: Generation, responder: Responder
    ) -> None:
        self._running_by_id.setdefault(generation.request_id, []).append(generation)
        watcher = await curio.spawn(_cancel_on_disconnect, responder, generation)
        try:
            await self.batch.submit(generation)
            if answer.chat.stream:
                await self._stream(answer, generation, responder)
            else:
                await self._send_completion(answer, generation, responder)
        finally:
            generation.cancelled = True
            self._remove(generation)
            await watcher.cancel()

    def _check_stale(self, number: str) -> bool:
        """Record a fencing number; return whether to reject it as stale."""
        if not number.isdigit():
            return False
        stale = int(number) < self._highest_fencing_number
        self._highest_fencing_number = max(self._highest_fencing_number, int(number))
        return stale and self.switches.check_fencing

    def _crash_on_marker(self, body: bytes) -> None:
        marker = self.switches.crash_on.encode()
        if marker and marker in body:
            os._exit(CRASH_EXIT_CODE)

    def _token_range(self, chat: ChatRequest) -> tuple[int, int]:
        """Return the positions of the first token and after the last token."""
        end = min(natural_length(chat.prompt), chat.max_tokens)
        if self.switches.ignore_max_tokens:
            end = chat.max_tokens * OVERRUN_FACTOR
        start = chat.resume_from_tokens if self.switches.can_resume else 0
        return min(start, end), end

    def _remove(self, generation: Generation) -> None:
        generations = self._running_by_id[generation.request_id]
        generations.remove(generation)
        if not generations:
            del self._running_by_id[generation.request_id]

    async def _stream(
        self, answer: "_Answer", generation: Generation, responder: Responder
    ) -> None:
        await responder.start(200, STREAM_TYPE)
        sent = 0
        for token in answer_tokens(answer.chat.prompt, answer.start, answer.end):
            if not await generation.ready.get():
                break
            sent += 1
            await responder.send(answer.event(token))
            if sent == self.switches.die_after_tokens:
                os._exit(CRASH_EXIT_CODE)
            if sent == self.switches.truncate:
                await responder.finish()
                return
        await responder.send(answer.last_event(sent, generation.cancelled))
        await responder.send(b"data: [DONE]\n\n")
        await responder.finish()

    async def _send_completion(
        self, answer: "_Answer", generation: Generation, responder: Responder
    ) -> None:
        tokens = []
        for token in answer_tokens(answer.chat.prompt, answer.start, answer.end):
            if not await generation.ready.get():
                break
            tokens.append(token)
            if len(tokens) == self.switches.die_after_tokens:
                os._exit(CRASH_EXIT_CODE)
        body = answer.completion("".join(tokens), len(tokens), generation.cancelled)
        await responder.respond(200, body, JSON_TYPE)


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One answer, and its encoding as events or as a JSON document."""

    chat: ChatRequest
    request_id: str
    start: int
    end: int

    def event(self, token: str) -> bytes:
        """Return the event of one token."""
        choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
        return _event(self._frame("chat.completion.chunk", choice))

    def last_event(self, sent: int, cancelled: bool) -> bytes:
        """Return the event that carries the usage."""
        reason = self._finish_reason(cancelled)
        choice = {"index": 0, "delta": {}, "finish_reason": reason}
        frame = self._frame("chat.completion.chunk", choice)
        usage = usage_of(self.chat.prompt, self.start + sent)
        return _event(frame | {"usage": usage})

    def completion(self, text: str, sent: int, cancelled: bool) -> bytes:
        """Return the complete answer as one JSON document."""
        message = {"role": "assistant", "content": text}
        reason = self._finish_reason(cancelled)
        choice = {"index": 0, "message": message, "finish_reason": reason}
        frame = self._frame("chat.completion", choice)
        usage = usage_of(self.chat.prompt, self.start + sent)
        return msgspec.json.encode(frame | {"usage": usage})

    def _frame(self, kind: str, choice: dict) -> dict:
        return {
            "id": self.request_id,
            "object": kind,
            "model": self.chat.model,
            "choices": [choice],
        }

    def _finish_reason(self, cancelled: bool) -> str:
        if cancelled:
            return "cancelled"
        return "stop" if self.end == natural_length(self.chat.prompt) else "length"


def update_switches(switches: msgspec.Struct, body: bytes) -> msgspec.Struct:
    """Return switches with the fields in a JSON object replaced."""
    fields = msgspec.structs.asdict(switches) | msgspec.json.decode(body, type=dict)
    return msgspec.convert(fields, type=type(switches))


async def _cancel_on_disconnect(responder: Responder, generation: Generation) -> None:
    await responder.disconnected.wait()
    generation.cancelled = True


def _event(frame: dict) -> bytes:
    return b"data: " + msgspec.json.encode(frame) + b"\n\n"


async def _reply(responder: Responder, status: int, value) -> None:
    await responder.respond(status, msgspec.json.encode(value), JSON_TYPE)


async def _refuse(responder: Responder, status: int, kind: str) -> None:
    await _reply(responder, status, {"error": {"type": kind}})


async def serve(
    host: str,
    port: int,
    *,
    speed: BatchSpeed | None = None,
    load_lag: float = LOAD_LAG_SECONDS,
) -> None:
    """Serve one engine until cancelled."""
    engine = Engine(speed=speed or BatchSpeed(), load_lag=load_lag)
    server = HttpServer(host=host, port=port, handler=engine.handle)
    server.open()
    async with curio.TaskGroup() as group:
        await group.spawn(engine.run)
        await group.spawn(server.serve)
