"""Traces: a span for each hop, kept in memory for whoever asks this node.

Finished spans go into a bounded ring and are served as JSON; there is no
exporter, hence no thread and no wait on the way of a request.  Parents are
passed as W3C ``traceparent`` texts, never by an ambient context: messages carry
them from task to task and from process to process.
"""

import re
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanLimits, SpanProcessor
from opentelemetry.sdk.trace import TracerProvider as SdkTracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    StatusCode,
    TraceFlags,
    set_span_in_context,
)

RING_SPANS = 4096
"""Under 4 MB, and a minute and a half of a router at the target's 39 requests a
second with a span each."""

MAX_ATTRIBUTES = 16
MAX_ATTRIBUTE_LENGTH = 200

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


class SpanRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One finished span; times are nanoseconds of the wall clock, for showing."""

    node: str
    name: str
    trace_id: str
    span_id: str
    parent_id: str
    start_ns: int
    end_ns: int
    failed: bool
    attributes: dict[str, str | int | float | bool]


class TraceReport(msgspec.Struct, frozen=True, kw_only=True):
    """The spans of one trace that a node still has."""

    trace_id: str
    spans: tuple[SpanRecord, ...]


class SpanRing(SpanProcessor):
    """Keeps the latest finished spans.

    Parameters
    ----------
    node
        Name of this process, put into each record.
    capacity
        How many spans are kept.
    """

    def __init__(self, *, node: str, capacity: int = RING_SPANS) -> None:
        self._node = node
        self._records: deque[SpanRecord] = deque(maxlen=capacity)

    def on_end(self, span: ReadableSpan) -> None:
        """Keep a finished span, in place of the oldest when full."""
        context = span.context
        parent = f"{span.parent.span_id:016x}" if span.parent else ""
        record = SpanRecord(
            node=self._node,
            name=span.name,
            trace_id=f"{context.trace_id:032x}",
            span_id=f"{context.span_id:016x}",
            parent_id=parent,
            start_ns=span.start_time,
            end_ns=span.end_time,
            failed=span.status.status_code is StatusCode.ERROR,
            attributes=dict(span.attributes),
        )
        self._records.append(record)

    def report(self, trace_id: str) -> TraceReport:
        """Return the spans kept of a trace, oldest first."""
        spans = (r for r in self._records if r.trace_id == trace_id)
        return TraceReport(trace_id=trace_id, spans=tuple(spans))


class Tracing:
    """Starts spans on behalf of one process.

    Parameters
    ----------
    node
        Name of this process.
    ratio
        Share of the traces begun here that are recorded; a caller's own decision
        in its ``traceparent`` goes before it.

    Examples
    --------
    >>> tracing = Tracing(node="router-1")
    >>> with tracing.span("request", parent="") as span:
    ...     child_of = traceparent_of(span)

    .. versionadded:: 0.1
    """

    def __init__(
        self, *, node: str, ratio: float = 1.0, capacity: int = RING_SPANS
    ) -> None:
        self.ring = SpanRing(node=node, capacity=capacity)
        # An explicit resource: the default one is gathered by detectors that run
        # in threads.
        provider = SdkTracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource({"service.name": node}),
            shutdown_on_exit=False,
            span_limits=SpanLimits(
                max_span_attributes=MAX_ATTRIBUTES,
                max_span_attribute_length=MAX_ATTRIBUTE_LENGTH,
                max_events=0,
                max_links=0,
            ),
        )
        provider.add_span_processor(self.ring)
        self._tracer = provider.get_tracer("ragwortkeel")

    def start(self, name: str, *, parent: str, **attributes) -> Span:
        """Start a span that its owner ends with `end`, maybe in another task."""
        context = context_of(parent)
        return self._tracer.start_span(name, context=context, attributes=attributes)

    @contextmanager
    def span(self, name: str, *, parent: str, **attributes) -> Iterator[Span]:
        """Time a block as one span; an exception marks it as failed."""
        rv = self.start(name, parent=parent, **attributes)
        try:
            yield rv
        except BaseException as exc:
            rv.set_status(StatusCode.ERROR, type(exc).__name__)
            raise
        finally:
            rv.end()


def context_of(traceparent: str) -> Context:
    """Return the context a ``traceparent`` names; an empty one where it is bad."""
    match = _TRACEPARENT.fullmatch(traceparent)
    # Never the ambient context: a span must not become the child of whatever
    # another request of this process left there.
    if match is None:
        return Context()
    span_context = SpanContext(
        trace_id=int(match[1], 16),
        span_id=int(match[2], 16),
        is_remote=True,
        trace_flags=TraceFlags(int(match[3], 16)),
    )
    if not span_context.is_valid:
        return Context()
    return set_span_in_context(NonRecordingSpan(span_context), Context())


def traceparent_of(span: Span) -> str:
    """Return the ``traceparent`` that makes others children of this span."""
    context = span.get_span_context()
    return (
        f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"
    )


def trace_id_of(traceparent: str) -> str:
    """Return the trace id in a ``traceparent``; empty where it is bad."""
    match = _TRACEPARENT.fullmatch(traceparent)
    return match[1] if match else ""
