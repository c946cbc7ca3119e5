"""Traces with a span for each hop, stored in the memory of each process.

Finished spans go into a bounded ring and are served as JSON.  There is no exporter,
hence no thread and no delay of a request.  Parents are passed as W3C ``traceparent``
texts in messages between tasks and processes, never by an ambient context.
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
"""Capacity of a ring.  It takes under 4 MB and holds the spans of about 105 s of a
router at the target of 39 requests/s with one span each."""

MAX_ATTRIBUTES = 16
MAX_ATTRIBUTE_LENGTH = 200

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


class SpanRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Finished span; its times are in nanoseconds of the wall clock, for display."""

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
    """Spans of one trace that a process still stores."""

    trace_id: str
    spans: tuple[SpanRecord, ...]


class SpanRing(SpanProcessor):
    """Span processor that stores the latest finished spans.

    Parameters
    ----------
    node
        Name of this process, stored in each record.
    capacity
        Number of spans that are stored.
    """

    def __init__(self, *, node: str, capacity: int = RING_SPANS) -> None:
        self._node = node
        self._records: deque[SpanRecord] = deque(maxlen=capacity)

    def on_end(self, span: ReadableSpan) -> None:
        """Store a finished span; a full ring drops its oldest one."""
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
        """Return the stored spans of a trace, in the order of their ends."""
        spans = (r for r in self._records if r.trace_id == trace_id)
        return TraceReport(trace_id=trace_id, spans=tuple(spans))


class Tracing:
    """Tracer of one process, which starts its spans.

    Parameters
    ----------
    node
        Name of this process.
    ratio
        Fraction, 0 to 1, of the traces without a parent that are recorded.  For the
        others the decision in the caller's ``traceparent`` holds.
    capacity
        Number of finished spans that are stored.

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
        # The default resource is collected by detectors that run in threads.
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
        """Start a span, which the caller has to end with `end`, in any task."""
        context = context_of(parent)
        return self._tracer.start_span(name, context=context, attributes=attributes)

    @contextmanager
    def span(self, name: str, *, parent: str, **attributes) -> Iterator[Span]:
        """Record a block as a span; an exception marks the span as failed."""
        rv = self.start(name, parent=parent, **attributes)
        try:
            yield rv
        except BaseException as exc:
            rv.set_status(StatusCode.ERROR, type(exc).__name__)
            raise
        finally:
            rv.end()


def context_of(traceparent: str) -> Context:
    """Return the context of a ``traceparent``; an empty one where it is invalid."""
    match = _TRACEPARENT.fullmatch(traceparent)
    # The ambient context is never used: it may be that of another request of this
    # process.
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
    """Return the ``traceparent`` for children of this span."""
    context = span.get_span_context()
    return (
        f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"
    )


def trace_id_of(traceparent: str) -> str:
    """Return the trace id in a ``traceparent``; "" where it is invalid."""
    match = _TRACEPARENT.fullmatch(traceparent)
    return match[1] if match else ""
