"""Tests of spans: their explicit parents, and the bounds of the ring."""

import threading

import curio
import pytest
from curio.task import ContextTask

from ragwortkeel.traces import Tracing, trace_id_of, traceparent_of

CALLERS = f"00-{'ab' * 16}-{'cd' * 8}-01"


class TestParents:
    def test_hops_of_two_processes_form_one_trace(self):
        router, sidecar = Tracing(node="router-1"), Tracing(node="sidecar-1")
        with router.span("request", parent=CALLERS) as outer:
            passed_on = traceparent_of(outer)
            with sidecar.span("run", parent=passed_on, profile="chat"):
                pass
        (request,) = router.ring.report(trace_id_of(CALLERS)).spans
        (run,) = sidecar.ring.report(trace_id_of(CALLERS)).spans
        assert request.parent_id == "cd" * 8
        assert run.parent_id == request.span_id
        assert (run.node, run.attributes) == ("sidecar-1", {"profile": "chat"})

    @pytest.mark.parametrize(
        "parent",
        ["", "nonsense", "00-" + "0" * 32 + "-" + "0" * 16 + "-01", CALLERS + "\n"],
    )
    def test_invalid_parent_starts_a_new_trace(self, parent):
        tracing = Tracing(node="n")
        with tracing.span("request", parent=parent) as span:
            pass
        report = tracing.ring.report(trace_id_of(traceparent_of(span)))
        assert [s.parent_id for s in report.spans] == [""]

    def test_concurrent_requests_have_separate_traces(self):
        """Guard against spans of one request in the trace of another.

        Tasks of one process interleave, so an ambient current span could be that of
        another task.
        """
        tracing = Tracing(node="n")

        async def hop(parent, others):
            with tracing.span("outer", parent=parent) as outer:
                await curio.sleep(0)
                with tracing.span("inner", parent=traceparent_of(outer)):
                    await curio.sleep(0)
            return trace_id_of(parent)

        async def main():
            parents = [f"00-{i:032x}-{i:016x}-01" for i in range(1, 11)]
            async with curio.TaskGroup() as group:
                for parent in parents:
                    await group.spawn(hop, parent, parents)
            return group.results

        with curio.Kernel(taskcls=ContextTask) as kernel:
            trace_ids = kernel.run(main)
        for trace_id in trace_ids:
            names = [s.name for s in tracing.ring.report(trace_id).spans]
            assert names == ["inner", "outer"]


class TestBounds:
    def test_ring_stores_the_latest_spans(self):
        tracing = Tracing(node="n", capacity=3)
        for number in range(5):
            with tracing.span(f"s{number}", parent=CALLERS):
                pass
        spans = tracing.ring.report(trace_id_of(CALLERS)).spans
        assert [s.name for s in spans] == ["s2", "s3", "s4"]

    def test_attributes_are_truncated(self):
        tracing = Tracing(node="n")
        many = {f"k{i}": "v" * 10_000 for i in range(100)}
        with tracing.span("s", parent=CALLERS, **many):
            pass
        (span,) = tracing.ring.report(trace_id_of(CALLERS)).spans
        assert len(span.attributes) <= 16
        assert all(len(value) <= 200 for value in span.attributes.values())

    def test_failure_is_marked_and_no_thread_started(self):
        before = threading.active_count()
        tracing = Tracing(node="n")
        with pytest.raises(KeyError), tracing.span("s", parent=CALLERS):
            raise KeyError
        (span,) = tracing.ring.report(trace_id_of(CALLERS)).spans
        assert span.failed
        assert threading.active_count() == before

    def test_callers_decision_not_to_record_holds(self):
        tracing = Tracing(node="n")
        with tracing.span("s", parent=CALLERS[:-1] + "0"):
            pass
        assert tracing.ring.report(trace_id_of(CALLERS)).spans == ()
