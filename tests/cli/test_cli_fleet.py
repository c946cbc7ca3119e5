"""Tests of the processes that a change must reach, and of those that lag."""

import curio
import msgspec
import pytest

from ragwortkeel.cli.fleet import (
    InForce,
    ProcessState,
    lagging_processes,
    processes_to_update,
    wait_in_force,
)
from ragwortkeel.cli.reports import span_lines
from ragwortkeel.configuration import Node
from ragwortkeel.exceptions import CommandLagging
from ragwortkeel.httpio import HttpServer
from ragwortkeel.standins.local_platform import LocalPlatform
from ragwortkeel.traces import SpanRecord


def node(name, role="router", upstream=""):
    return Node(
        incarnation=name,
        role=role,
        zone="a",
        address=name,
        http_address=name,
        upstream=upstream,
    )


NODES = [node("r1"), node("s1", "sidecar", "u1"), node("s2", "sidecar", "u2")]


class TestProcessesToUpdate:
    @pytest.mark.parametrize(
        ("kind", "name", "expected"),
        [
            ("profiles", "chat", ["r1"]),
            ("upstreams", "u1", ["r1", "s1"]),
            ("upstreams", "u9", ["r1"]),
        ],
    )
    def test_processes_by_kind(self, kind, name, expected):
        found = processes_to_update(NODES, kind=kind, name=name)
        assert [process.incarnation for process in found] == expected


class TestLagging:
    @pytest.mark.parametrize(
        ("answer", "listed", "lags"),
        [
            (InForce(revision=9, version=5), True, False),
            (InForce(revision=9, version=6), False, False),
            (InForce(revision=9, version=4), True, True),
            (InForce(revision=9, version=4), False, True),
            (InForce(revision=9), True, True),
            (None, True, True),
            (None, None, True),
            (None, False, False),
        ],
    )
    def test_lag_by_answer_and_listing(self, answer, listed, lags):
        state = ProcessState(node=node("r1"), in_force=answer, listed=listed)
        assert bool(lagging_processes([state], 5)) == lags


class TestSpans:
    def test_children_are_indented_under_their_parents(self):
        def span(span_id, parent, start):
            return SpanRecord(
                node="n",
                name=span_id,
                trace_id="t",
                span_id=span_id,
                parent_id=parent,
                start_ns=start,
                end_ns=start + 1_000_000,
                failed=span_id == "run",
                attributes={},
            )

        lines = span_lines(
            [span("a", "caller", 0), span("run", "a", 5), span("b", "", 9)]
        )
        assert [line.split("ms")[2].strip() for line in lines] == [
            "a  [n]",
            "run  [n] FAILED",
            "b  [n]",
        ]


class TestWait:
    @pytest.mark.parametrize("behind", [False, True])
    def test_processes_are_queried_over_http(self, behind):
        async def main():
            queries = []

            async def handler(request, responder):
                queries.append(request.query)
                version = 4 if behind else 4 + len(queries)
                body = msgspec.json.encode(InForce(revision=9, version=version))
                await responder.respond(200, body)

            server = HttpServer(host="127.0.0.1", port=0, handler=handler)
            server.open()
            task = await curio.spawn(server.serve)
            one = Node(
                incarnation="r1-x",
                role="router",
                zone="a",
                address="10.0.0.1:1",
                http_address=f"127.0.0.1:{server.port}",
            )
            platform = LocalPlatform()
            platform.put("nodes", "r1-x", msgspec.json.encode(one))
            try:
                return queries, await wait_in_force(
                    platform, kind="profiles", name="chat", version=6, seconds=1.0
                )
            finally:
                await task.cancel()

        if behind:
            with pytest.raises(CommandLagging, match=r"r1-x \(4\)"):
                curio.run(main)
            return
        queries, count = curio.run(main)
        assert count == 1 and len(queries) == 2
        assert queries[0] == {"kind": "profiles", "name": "chat"}
