"""Upstreams in trouble, whose responses have a damaged head."""

import curio
import pytest
from curio.task import ContextTask
from deployments.ports import HOST
from tests.ingress.in_process import ScriptedUpstream, run_ingress

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.httpio import HttpClient

BODY = b"ok"
WHOLE = ("HTTP/1.1 200 OK", "x-a: b", f"content-length: {len(BODY)}")
STATUS_LINES = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
]
FIELDS = [
    " x-b: c",
    "\tx-b: c",
    " content-length: 1",
    "\tcontent-length: 1",
    " transfer-encoding: chunked",
    "x b: c",
    "x-b : c",
    "x\tb: c",
    "x\x01b: c",
    "x\x00b: c",
    "x\x7fb: c",
    "x\x0bb: c",
    "x\x80b: c",
    "\x01: c",
    ": c",
    "x-b",
    " ",
    "x-b: c\x00d",
    "x-b: c\rd",
]
HEADS = [(line, *WHOLE[1:]) for line in STATUS_LINES]
HEADS += [(*WHOLE[:2], field, *WHOLE[2:]) for field in FIELDS]
HEADS += [(*WHOLE, field) for field in FIELDS]
HEADS += [(*WHOLE[:2], " " + WHOLE[2]), (WHOLE[0], " x-a: b", *WHOLE[2:])]
INTERIM = ("HTTP/1.1 103 Early", "x-a: b", " x-b: c", "", *WHOLE)


def head_bytes(lines, request_id):
    known = (f"x-request-id: {request_id}", "x-upstream-proof: p1")
    return "\r\n".join((*lines[:1], *known, *lines[1:], "", "")).encode("latin-1")


def answering(lines):
    async def script(seen, sock):
        await sock.sendall(head_bytes(lines, seen.headers["x-request-id"]) + BODY)
        return False

    return script


@pytest.mark.parametrize("lines", HEADS, ids=repr)
def test_a_caller_gets_no_answer_with_a_damaged_head(lines):
    """Guards against damaged fields that are passed on or that change the body."""

    async def scenario(fleet):
        return (await fleet.ask("/filing/1")).status

    assert run_ingress(scenario, scripts={"u1": answering(lines)}) == 502


@pytest.mark.parametrize("lines", [*HEADS, INTERIM], ids=repr)
def test_a_client_of_our_own_takes_no_answer_with_a_damaged_head(lines):
    """Guards against the same in calls to the platform, to engines and of reports."""

    async def main():
        server = ScriptedUpstream(name="u1", script=answering(lines))
        await server.start()
        client = HttpClient(host=HOST, port=server.port)
        try:
            await client.request(
                "POST", "/a", headers={"x-request-id": "r1"}, timeout=5.0
            )
        finally:
            await server.stop()

    with curio.Kernel(taskcls=ContextTask) as kernel, pytest.raises(ExchangeBroken):
        kernel.run(main)


def test_a_whole_head_is_taken():
    async def scenario(fleet):
        answer = await fleet.ask("/filing/1")
        return answer.status, answer.headers["x-a"], answer.body

    expected = 200, "b", BODY
    assert run_ingress(scenario, scripts={"u1": answering(WHOLE)}) == expected
