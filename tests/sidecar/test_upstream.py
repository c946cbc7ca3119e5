"""The event that each behaviour of the upstream ends a run with."""

import curio
import pytest
from sidecar_setup import DONE, SSE, USAGE, Upstream, dispatch, event, run, stream_whole

from ragwortkeel.httpio import HttpClient
from ragwortkeel.messages import FailureReason, RefusalReason
from ragwortkeel.sidecar.effects import AnswerCompleted, RunBroken, RunDeclined
from ragwortkeel.sidecar.upstream import UpstreamRun

CANCELLED = b'data: {"choices": [{"finish_reason": "cancelled"}]}\n\n'
STALE = b'{"error": {"type": "stale_fencing_number"}}'
WHOLE = b'{"choices": [], "usage": {"total_tokens": 9}}'


def stream(*pieces, finish=True):
    async def behave(upstream, request, responder):
        await responder.start(200, SSE)
        for piece in pieces:
            await responder.send(piece)
        if finish:
            await responder.finish()
        else:
            await responder.abort()

    return behave


def respond(status, body=b"{}"):
    async def behave(upstream, request, responder):
        await responder.respond(status, body)

    return behave


async def no_length(upstream, request, responder):
    # Only the closed connection ends this answer, as in HTTP/1.0.
    await responder._sock.sendall(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{}")
    await responder.abort()


def endless(content_type):
    """Send a body of one line without end, until the connection is closed."""

    async def behave(upstream, request, responder):
        await responder.start(200, {"content-type": content_type})
        while not responder.disconnected.is_set():
            await responder.send(b"x" * 65536)

    return behave


async def abort(upstream, request, responder):
    await responder.abort()


async def hang(upstream, request, responder):
    await responder.start(200, SSE)
    await responder.send(event("a"))
    await responder.disconnected.wait()


def serve(behave, *, silence=5.0, port=None, **changes):
    """Return the events of one run."""

    async def main():
        upstream, events = Upstream(behave), []
        upstream.server.open()
        server = await curio.spawn(upstream.server.serve, daemon=True)

        async def report(one):
            events.append(one)

        client = HttpClient(host="127.0.0.1", port=port or upstream.server.port)
        upstream_run = UpstreamRun(
            client=client,
            dispatch=dispatch(**changes),
            fencing_number=1,
            report=report,
            max_silence_seconds=silence,
        )
        await upstream_run.run()
        await client.close()
        await server.cancel()
        return events

    return run(main)


def last(events):
    """Return (class, reason or None, tokens or None) of the last event."""
    end = events[-1]
    return type(end), getattr(end, "reason", None), getattr(end, "tokens", None)


ONCE = {"idempotent": False, "reservation": 1, "body": b"{}"}
BEHAVIOURS = {
    "complete stream": (stream_whole, {}, AnswerCompleted, None, 14),
    "stream without usage": (stream(event("a"), DONE), {}, AnswerCompleted, None, 40),
    "stream that just stops": (
        stream(event("a"), event("b")),
        {},
        RunBroken,
        FailureReason.TRUNCATED,
        12,
    ),
    "engine crashes within the answer": (
        stream(event("a"), finish=False),
        {},
        RunBroken,
        FailureReason.CRASHED,
        11,
    ),
    "engine crashes before the head": (abort, {}, RunBroken, FailureReason.CRASHED, 40),
    "endless stream": (
        endless("text/event-stream"),
        {},
        RunBroken,
        FailureReason.CRASHED,
        40,
    ),
    "endless document": (
        endless("application/json"),
        {},
        RunBroken,
        FailureReason.CRASHED,
        40,
    ),
    "cancelled by another client": (
        stream(event("a"), CANCELLED, USAGE, DONE),
        {},
        RunBroken,
        FailureReason.CANCELLED,
        14,
    ),
    "document": (respond(200, WHOLE), {}, AnswerCompleted, None, 9),
    "document without usage": (respond(200), {}, AnswerCompleted, None, 40),
    "answer without an end": (no_length, {}, RunBroken, FailureReason.TRUNCATED, 40),
    "bad request": (respond(400), {}, AnswerCompleted, None, 0),
    "overloaded": (respond(503), {}, RunDeclined, RefusalReason.OVERLOADED, None),
    "error": (respond(500), {}, RunBroken, FailureReason.UPSTREAM_ERROR, 40),
    "old fencing number": (
        respond(409, STALE),
        {},
        RunDeclined,
        RefusalReason.WRONG_INCARNATION,
        None,
    ),
    "conflict of the service": (respond(409), {}, AnswerCompleted, None, 0),
    "plain call": (respond(200), ONCE, AnswerCompleted, None, 1),
    "plain call, 503": (
        respond(503),
        ONCE,
        RunBroken,
        FailureReason.UPSTREAM_ERROR,
        1,
    ),
    "plain call, answer lost": (abort, ONCE, RunBroken, FailureReason.CRASHED, 1),
}


class TestBehaviours:
    @pytest.mark.parametrize("name", BEHAVIOURS)
    def test_last_event_states_only_what_is_certain(self, name):
        behave, changes, kind, reason, tokens = BEHAVIOURS[name]
        assert last(serve(behave, **changes)) == (kind, reason, tokens)

    @pytest.mark.parametrize("changes", [{}, ONCE], ids=["engine", "plain"])
    @pytest.mark.parametrize(
        ("status", "value", "seconds"),
        [(503, "1.5", 1.5), (503, "soon", 0.0), (503, "", 0.0), (429, "3", 0.0)],
    )
    def test_a_rejection_may_ask_for_a_pause(self, changes, status, value, seconds):
        async def reject(upstream, request, responder):
            await responder.respond(status, b"{}", {"retry-after": value})

        events = serve(reject, **changes)
        assert events[-1].retry_after_seconds == seconds

    def test_unreachable_upstream_certainly_did_not_run(self):
        events = serve(abort, port=9)
        expected = (RunDeclined, RefusalReason.UPSTREAM_UNREACHABLE, None)
        assert last(events) == expected

    def test_stream_that_goes_silent_is_ended(self):
        events = serve(hang, silence=0.1)
        assert last(events) == (RunBroken, FailureReason.SILENT, 11)

    def test_deadline_ends_a_run(self):
        events = serve(hang, budget_seconds=0.2)
        assert last(events) == (RunBroken, FailureReason.DEADLINE, 11)
