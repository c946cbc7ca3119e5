"""Report the status of the fleet and the traces of requests."""

import msgspec

from ragwortkeel.cli.fleet import (
    ProcessState,
    fetch_spans,
    fetch_states,
    list_registered,
)
from ragwortkeel.cli.objects import Objects
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.configuration import PROFILES, UPSTREAMS, Profile, Upstream
from ragwortkeel.exceptions import CommandError
from ragwortkeel.platform import Platform
from ragwortkeel.traces import SpanRecord


class ProcessRow(msgspec.Struct, frozen=True, kw_only=True):
    """A registered process; `revision` is None if the process did not answer.

    `listed` is whether the platform's list of instances contains the process, or
    None if that list could not be read.
    """

    name: str
    role: str
    zone: str
    address: str
    upstream: str
    answers: bool
    listed: bool | None
    revision: int | None


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The processes of the fleet, and counts of profiles and upstreams."""

    nodes: list[ProcessRow]
    profiles: int
    retired_profiles: int
    upstreams: int
    draining_upstreams: int


async def status(platform: Platform) -> Result:
    """Return the processes and the numbers of profiles and upstreams."""
    found = await fetch_states(platform, await list_registered(platform))
    profiles = await Objects(
        platform=platform, kind=PROFILES, cls=Profile, noun="profile"
    ).all()
    upstreams = await Objects(
        platform=platform, kind=UPSTREAMS, cls=Upstream, noun="upstream"
    ).all()
    serving = [one.value for one in upstreams.values() if not one.value.retired]
    retired = sum(one.value.retired for one in profiles.values())
    data = Status(
        nodes=[_node_row(state) for state in found],
        profiles=len(profiles) - retired,
        retired_profiles=retired,
        upstreams=len(serving),
        draining_upstreams=sum(one.state == "draining" for one in serving),
    )
    return Result(data=data, text=_status_text(data))


async def trace(platform: Platform, trace_id: str) -> Result:
    """Return the spans of one request from all processes."""
    found = await fetch_spans(platform, trace_id)
    if not found:
        raise CommandError(
            f"no process holds spans of trace {trace_id}; processes only keep recent "
            "spans, and lose them when they stop"
        )
    return Result(data=found, text="\n".join(span_lines(found)))


def span_lines(found: list[SpanRecord]) -> list[str]:
    """Return one line for each span, indented under its parent."""
    known = {span.span_id for span in found}
    start = found[0].start_ns
    lines = []

    def show(span: SpanRecord, depth: int) -> None:
        at = (span.start_ns - start) / 1e6
        took = (span.end_ns - span.start_ns) / 1e6
        failed = " FAILED" if span.failed else ""
        name = "  " * depth + span.name
        lines.append(f"{at:9.1f} ms  {took:9.1f} ms  {name}  [{span.node}]{failed}")
        for child in found:
            if child.parent_id == span.span_id:
                show(child, depth + 1)

    for span in found:
        if span.parent_id not in known:
            show(span, 0)
    return lines


def _node_row(state: ProcessState) -> ProcessRow:
    node = state.node
    return ProcessRow(
        name=node.incarnation,
        role=node.role,
        zone=node.zone,
        address=node.address,
        upstream=node.upstream,
        answers=state.in_force is not None,
        listed=state.listed,
        revision=None if state.in_force is None else state.in_force.revision,
    )


def _status_text(data: Status) -> str:
    rows = [
        [
            row.role,
            row.name,
            row.zone,
            row.address,
            "answers" if row.answers else "silent",
            {True: "yes", False: "no", None: "unknown"}[row.listed],
            "-" if row.revision is None else row.revision,
        ]
        for row in data.nodes
    ]
    headings = ("role", "node", "zone", "address", "state", "listed", "revision")
    summary = (
        f"{data.profiles} profiles ({data.retired_profiles} retired), "
        f"{data.upstreams} upstreams ({data.draining_upstreams} draining)"
    )
    return f"{format_table(headings, rows)}\n{summary}"
