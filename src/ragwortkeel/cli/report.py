"""Summarize failed requests from the log lines of all processes."""

import zlib
from collections import Counter
from collections.abc import Iterator

import msgspec

from ragwortkeel.cli.durations import Durations, Quantiles
from ragwortkeel.cli.output import Result, format_table
from ragwortkeel.cli.process_loads import (
    CALLER_FAULT_REASONS,
    OTHERS,
    ProcessLoad,
    ProcessLoads,
    table_rows,
)
from ragwortkeel.decision_lines import DecisionLine, read_lines
from ragwortkeel.exceptions import CommandError

SPAN_SECONDS = 2.0
"""Duration of one row in the table by time."""

RETRY_WINDOW_SPANS = 5
"""Consecutive spans over which the retries of a service are added up.  A window of
ten seconds shows whether retries accumulated at one service."""

MAX_NAMES = 10_000
"""Maximum number of customers, and of services, that are counted separately.  All
further names are counted under `OTHERS`."""

MAX_SHOWN_CUSTOMERS = 10

_SOURCES_WITHOUT_PEER = frozenset({"own", "sole_version", "unknown"})
"""Values of `source` in ``stream_taken_up`` that are no address of a peer."""

MAX_REQUEST_LINES = 10_000
"""Maximum number of lines shown for one request; a normal request has five lines."""


class Retries(msgspec.Struct, frozen=True, kw_only=True):
    """Retry decisions at one service.

    `allowed` counts charged retries only; `most` is their maximum in any ten seconds.
    """

    allowed: int
    refused: int
    most: int


class Span(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of events in one span that begins at second `at` of the report."""

    at: float
    served: int
    refused: int
    failed: int
    lacked: int


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of served and failed requests, and the costs of the processes."""

    lines: int
    unreadable_by_file: dict[str, int]
    dropped: int
    processes: int
    seconds: float
    served: int
    refused_by_reason: dict[str, int]
    failed_by_reason: dict[str, int]
    lacks_by_cause: dict[str, int]
    lacks_by_customer: dict[str, int]
    retries_by_service: dict[str, Retries]
    taken_up_by_origin: dict[str, int]
    waited: Quantiles
    first_event: Quantiles
    platform_calls: dict[str, int]
    bytes_sent_by_message: dict[str, int]
    late_loops: int
    busiest_processes: dict[str, ProcessLoad]
    spans: list[Span]


class _RetryCounts:
    """Counts retry decisions by service."""

    def __init__(self) -> None:
        self._refused: Counter[str] = Counter()
        self._allowed_by_service: dict[str, Counter[int]] = {}

    def add(self, line: DecisionLine) -> None:
        service = line.fields.get("service", "unknown")
        known = service in self._allowed_by_service
        if not known and len(self._allowed_by_service) >= MAX_NAMES:
            service = OTHERS
        allowed_by_span = self._allowed_by_service.setdefault(service, Counter())
        if line.fields.get("allowed") != "true":
            self._refused[service] += 1
        elif line.fields.get("charged") == "true":
            # A retry that is not charged reached no upstream.
            allowed_by_span[int(line.at // SPAN_SECONDS)] += 1

    def by_service(self) -> dict[str, Retries]:
        return {
            service: Retries(
                allowed=allowed_by_span.total(),
                refused=self._refused[service],
                most=_max_in_window(allowed_by_span),
            )
            for service, allowed_by_span in sorted(self._allowed_by_service.items())
        }


def _max_in_window(count_by_span: Counter[int]) -> int:
    """Return the maximum sum over `RETRY_WINDOW_SPANS` consecutive spans."""
    return max(
        (
            sum(count_by_span[span + later] for later in range(RETRY_WINDOW_SPANS))
            for span in list(count_by_span)
        ),
        default=0,
    )


class Collector:
    """Aggregates log lines, in memory independent of their number.

    Examples
    --------
    >>> collector = Collector()
    >>> collector.add("a.log", None)
    >>> collector.report().unreadable_by_file
    {'a.log': 1}
    """

    def __init__(self) -> None:
        self._lines = 0
        self._unreadable: Counter[str] = Counter()
        self._dropped = 0
        self._late_loops = 0
        self._processes: set[str] = set()
        self._process_loads = ProcessLoads()
        self._first_at: float | None = None
        self._last_at = 0.0
        self._counts_by_span: dict[int, Counter[str]] = {}
        self._served = 0
        self._refused: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()
        self._lacks: Counter[str] = Counter()
        self._lacks_by_customer: Counter[str] = Counter()
        self._retries = _RetryCounts()
        self._taken_up: Counter[str] = Counter()
        self._calls: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._waited = Durations()
        self._first_event = Durations()

    def add(self, file: str, line: DecisionLine | None) -> None:
        """Add one line of a file; None stands for an unreadable line."""
        if line is None:
            self._unreadable[file] += 1
            return
        self._lines += 1
        self._processes.add(line.process)
        self._process_loads.add(line)
        if line.at:
            self._first_at = min(self._first_at or line.at, line.at)
            self._last_at = max(self._last_at, line.at)
        match line.event:
            case "served" | "dispatched":
                self._add_run(line)
            case "refused" | "answer_cut_off" | "run_failed" | "tokens_lacking":
                self._add_loss(line)
            case "stream_taken_up" | "stream_not_continued":
                self._taken_up[_origin(line)] += 1
            case "retry_decided":
                self._retries.add(line)
            case _:
                self._add_process_event(line)

    def report(self) -> Report:
        """Return the report on all lines added."""
        first = self._first_at or 0.0
        customers = self._lacks_by_customer.most_common(MAX_SHOWN_CUSTOMERS)
        return Report(
            lines=self._lines,
            unreadable_by_file=dict(self._unreadable),
            dropped=self._dropped,
            processes=len(self._processes),
            seconds=round(self._last_at - first, 1) if first else 0.0,
            served=self._served,
            refused_by_reason=dict(self._refused.most_common()),
            failed_by_reason=dict(self._failed.most_common()),
            lacks_by_cause=dict(self._lacks.most_common()),
            lacks_by_customer=dict(customers),
            retries_by_service=self._retries.by_service(),
            taken_up_by_origin=dict(self._taken_up.most_common()),
            waited=self._waited.quantiles(),
            first_event=self._first_event.quantiles(),
            platform_calls=dict(self._calls.most_common()),
            bytes_sent_by_message=dict(self._sent.most_common()),
            late_loops=self._late_loops,
            busiest_processes=self._process_loads.busiest(),
            spans=[
                _span(span, self._counts_by_span[span], first)
                for span in sorted(self._counts_by_span)
            ],
        )

    def _add_process_event(self, line: DecisionLine) -> None:
        match line.event:
            case "platform_calls":
                _add_counts(self._calls, line.fields.get("calls", ""))
            case "link_traffic":
                _add_counts(self._sent, line.fields.get("most_sent", ""))
            case "loop_late":
                self._late_loops += 1
            case "log_lines_dropped":
                self._dropped += int(line.number("count"))

    def _add_run(self, line: DecisionLine) -> None:
        if line.event == "dispatched":
            self._waited.add(line.number("waited"))
            return
        self._served += 1
        self._first_event.add(line.number("first"))
        self._count(line, "served")

    def _add_loss(self, line: DecisionLine) -> None:
        reason = line.fields.get("reason", "unknown")
        match line.event:
            case "refused":
                self._refused[reason] += 1
                if reason not in CALLER_FAULT_REASONS:
                    self._count(line, "refused")
            case "answer_cut_off":
                self._refused[f"{reason}, cut off"] += 1
                self._count(line, "refused")
            case "run_failed":
                self._failed[reason] += 1
                self._count(line, "failed")
            case "tokens_lacking":
                self._lacks[shortage_cause(line)] += 1
                customer = line.fields.get("customer", "unknown")
                known = customer in self._lacks_by_customer
                if not known and len(self._lacks_by_customer) >= MAX_NAMES:
                    customer = OTHERS
                self._lacks_by_customer[customer] += 1
                self._count(line, "lacked")

    def _count(self, line: DecisionLine, outcome: str) -> None:
        span = int(line.at // SPAN_SECONDS)
        self._counts_by_span.setdefault(span, Counter())[outcome] += 1


def _origin(line: DecisionLine) -> str:
    """Return how the version that began a stream was known, or that it ended."""
    if line.event == "stream_not_continued":
        return "broken off, not continued"
    source = line.fields.get("source", "unknown")
    return source if source in _SOURCES_WITHOUT_PEER else "peer"


def shortage_cause(line: DecisionLine) -> str:
    """Return why a process lacked tokens, from its `tokens_lacking` line."""
    needed = line.number("needed")
    if line.fields.get("ledger_age") == "-":
        return "not yet joined the ledgers"
    suffix = "" if line.fields.get("reachable") == "true" else ", platform away"
    if line.number("unspent") < needed:
        return f"budget spent{suffix}"
    if line.number("free") < needed:
        return f"tokens with other processes{suffix}"
    return f"cap reached{suffix}"


def report(files: tuple[str, ...], request: str) -> Result:
    """Return a report of log files, or one request's lines in order.

    Raises
    ------
    CommandError
        If a file cannot be read, or no line names the request.
    """
    if not files:
        raise CommandError(
            "which files to read? give log files, or - for standard input"
        )
    if request:
        return _request_lines(files, request)
    collector = Collector()
    for file, line in _all_lines(files):
        collector.add(file, line)
    data = collector.report()
    return Result(data=data, text=_report_text(data))


def _all_lines(files: tuple[str, ...]) -> Iterator[tuple[str, DecisionLine | None]]:
    for file in files:
        try:
            for line in read_lines(file):
                yield file, line
        except (OSError, EOFError, zlib.error) as exc:
            raise CommandError(f"cannot read {file}: {exc}") from exc


def _request_lines(files: tuple[str, ...], request: str) -> Result:
    lines = [
        line
        for _, line in _all_lines(files)
        if line is not None and line.fields.get("request") == request
    ]
    if not lines:
        raise CommandError(f"no line names request {request}")
    lines.sort(key=lambda line: line.at)
    rows = [
        (f"{line.at:.3f}", line.process, line.event, _fields_text(line))
        for line in lines[:MAX_REQUEST_LINES]
    ]
    data = [{"at": at, "process": p, "event": e, "fields": f} for at, p, e, f in rows]
    return Result(data=data, text=format_table(("at", "process", "event", ""), rows))


def _fields_text(line: DecisionLine) -> str:
    shown = (
        f"{k}={v}" for k, v in line.fields.items() if k not in ("request", "level")
    )
    return " ".join(shown)


def _span(span: int, counts: Counter[str], first: float) -> Span:
    return Span(
        at=round(max(0.0, span * SPAN_SECONDS - first), 1),
        served=counts["served"],
        refused=counts["refused"],
        failed=counts["failed"],
        lacked=counts["lacked"],
    )


def _add_counts(counter: Counter[str], text: str) -> None:
    """Add counts from ``name:number,name:number``; other pairs are ignored."""
    for pair in filter(None, text.split(",")):
        name, _, number = pair.rpartition(":")
        if number.isdecimal():
            counter[name] += int(number)


def _report_text(data: Report) -> str:
    unreadable = sum(data.unreadable_by_file.values())
    blocks = [
        f"{data.lines} lines of {data.processes} processes over {data.seconds} s; "
        f"{unreadable} not readable, {data.dropped} dropped by their writers",
        f"served {data.served}; loops late {data.late_loops}",
        _quantiles_text("waited for a place and tokens", data.waited),
        _quantiles_text("first event", data.first_event),
    ]
    for heading, counts in (
        ("refused", data.refused_by_reason),
        ("runs failed", data.failed_by_reason),
        ("streams taken up, by origin", data.taken_up_by_origin),
        ("tokens lacking, by cause", data.lacks_by_cause),
        ("tokens lacking, by customer", data.lacks_by_customer),
        ("calls of the platform", data.platform_calls),
        ("bytes sent on links", data.bytes_sent_by_message),
        ("not readable", data.unreadable_by_file),
    ):
        if counts:
            blocks.append(format_table((heading, "count"), list(counts.items())))
    if data.busiest_processes:
        blocks.append(format_table(*table_rows(data.busiest_processes)))
    retries = [
        (service, found.allowed, found.refused, found.most)
        for service, found in data.retries_by_service.items()
    ]
    if retries:
        headings = ("retries at", "allowed", "refused", "most in ten seconds")
        blocks.append(format_table(headings, retries))
    spans = [(s.at, s.served, s.refused, s.failed, s.lacked) for s in data.spans]
    if spans:
        headings = ("second", "served", "refused", "runs failed", "lacked tokens")
        blocks.append(format_table(headings, spans))
    return "\n\n".join(blocks)


def _quantiles_text(label: str, quantiles: Quantiles) -> str:
    return (
        f"{label}, s: half within {quantiles.half}, "
        f"nine tenths {quantiles.nine_tenths}, "
        f"all but one in 100 {quantiles.all_but_one_in_100} ({quantiles.count})"
    )
