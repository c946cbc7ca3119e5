"""Answers with neither a length nor chunks, which end with their connection."""

import msgspec
import pytest
from tests.ingress.in_process import events, reset, run_ingress

from ragwortkeel.exceptions import ExchangeBroken

LARGE = b"x" * 300_000


def head(seen, *fields):
    lines = [
        "HTTP/1.1 200 OK",
        f"x-request-id: {seen.headers['x-request-id']}",
        "x-upstream-proof: p1",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def document(body, *, ends=True):
    """Return a script that sends a document and closes, or resets, the connection."""

    async def script(seen, sock):
        await sock.sendall(head(seen) + body)
        if not ends:
            await reset(sock)
        return False

    return script


def stream(body):
    """Return a script that sends a stream and closes the connection."""

    async def script(seen, sock):
        await sock.sendall(head(seen, "content-type: text/event-stream") + body)
        return False

    return script


def ask(path, script, *, names):
    """Return the answer, None if it broke off, and how often it was tried."""

    async def scenario(fleet):
        try:
            answer = await fleet.ask(path)
        except ExchangeBroken:
            answer = None
        return answer, sum(map(len, fleet.seen().values()))

    scripts = {"u1": document(b"ok"), "e1": stream(events(1, 5))}
    return run_ingress(scenario, scripts=scripts | dict.fromkeys(names, script))


@pytest.mark.parametrize("body", [b"ok", b"", LARGE], ids=["short", "empty", "large"])
def test_a_document_arrives_whole(body):
    answer, _ = ask("/filing/1", document(body), names=["u1"])
    assert (answer.status, answer.body) == (200, body)


def test_a_document_that_is_reset_does_not_look_complete():
    """Guards against half of an answer that its caller takes for the whole."""
    answer, tries = ask("/filing/1", document(LARGE, ends=False), names=["u1"])
    assert answer.status == 502
    assert msgspec.json.decode(answer.body)["outcome"] == "unknown"
    assert tries == 1


def test_a_stream_arrives_whole():
    answer, _ = ask("/review/1", stream(events(1, 5)), names=["e1"])
    assert (answer.status, answer.body) == (200, events(1, 5))


@pytest.mark.parametrize(
    "body",
    [events(1, 5)[:-1], events(1, 4) + b"id: 5\ndata:", events(1, 4) + b"id"],
    ids=["before its last byte", "in its data", "in its id"],
)
def test_a_stream_that_ends_inside_an_event_is_broken(body):
    """Guards against a stream whose end looks like that of a whole one."""
    answer, _ = ask("/review/1", stream(body), names=["e1"])
    assert answer is None


def test_a_stream_without_an_event_is_broken():
    """Guards against an engine that crashes before its first event, in good order."""
    answer, _ = ask("/review/1", stream(b""), names=["e1"])
    assert answer.status == 502


def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere():
    async def cut_or_continue(seen, sock):
        after = int(seen.headers.get("last-event-id", 0))
        body = events(after + 1, 5) if after else events(1, 3) + b"id: 4\nda"
        return await stream(body)(seen, sock)

    answer, tries = ask("/chat/1", cut_or_continue, names=["e1", "e2"])
    assert (answer.status, answer.body) == (200, events(1, 5))
    assert tries == 2


def test_a_run_that_goes_on_and_ends_without_an_event_is_broken():
    """Guards against a second upstream that crashes, whose end seems the stream's."""

    async def cut_or_end(seen, sock):
        is_first = "last-event-id" not in seen.headers
        body = events(1, 3) + b"id: 4\nda" if is_first else b""
        return await stream(body)(seen, sock)

    answer, tries = ask("/chat/1", cut_or_end, names=["e1", "e2"])
    assert answer is None
    assert tries == 2
