"""Metrics by prometheus_client, with one registry for each daemon.

Label values come from small closed sets; upstream labels are the linked upstreams.
Profiles, customers and request ids are never labels, because a quarter of a million
time series would use more memory than the daemon itself.
"""

from collections.abc import Callable, Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from ragwortkeel.traffic import TrafficReport

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
"""Upper bounds in seconds, around the promise of 1.5 s for the first token."""

QUEUE_WAIT_BUCKETS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0)


class Metrics:
    """Counters, gauges and histograms of one daemon.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.record_request(service="interactive", outcome="ok", reason="")

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._requests = self._counter(
            "ragwortkeel_requests_total",
            "Requests answered, by service class, outcome and reason.",
            ("service", "outcome", "reason"),
        )
        self._decisions = self._counter(
            "ragwortkeel_decisions_total",
            "Decisions under load, by kind and reason.",
            ("decision", "reason"),
        )
        self._tokens = self._counter(
            "ragwortkeel_tokens_spent_total",
            "Tokens billed, by service class.",
            ("service",),
        )
        self._slices = self._counter(
            "ragwortkeel_slice_operations_total",
            "Operations on budget slices, by kind and outcome.",
            ("operation", "outcome"),
        )
        self._receipts = self._counter(
            "ragwortkeel_receipts_total",
            "Receipts, by whether they were made or became durable.",
            ("state",),
        )
        self._links_lost = self._counter(
            "ragwortkeel_links_lost_total",
            "Links whose peer went silent, by the peer's role.",
            ("peer",),
        )
        self._link_bytes = self._counter(
            "ragwortkeel_link_bytes_total",
            "Bytes on links to other processes, by direction and kind of message.",
            ("direction", "message"),
        )
        self._messages_failed = self._counter(
            "ragwortkeel_messages_failed_total",
            "Messages of other processes that could not be handled, by kind.",
            ("message",),
        )
        self._platform_errors = self._counter(
            "ragwortkeel_platform_errors_total",
            "Calls to the platform that failed, by error.",
            ("error",),
        )
        self._platform_calls = self._counter(
            "ragwortkeel_platform_calls_total",
            "Calls to the platform, by operation, kind of object and outcome.",
            ("operation", "kind", "outcome"),
        )
        self._failures = self._counter(
            "ragwortkeel_failures_total",
            "Attempts that ended without a usable answer, by kind of failure.",
            ("failure",),
        )
        self._retries = self._counter(
            "ragwortkeel_retries_total",
            "Decisions on another attempt, by service, cause and whether allowed.",
            ("service", "cause", "allowed"),
        )
        self._crashes = self._counter(
            "ragwortkeel_upstream_crashes_total", "Crashes of upstreams heard of.", ()
        )
        self._turned_away = self._counter(
            "ragwortkeel_connections_turned_away_total",
            "New connections closed unread while peers have room.",
            (),
        )
        self._unanswered = self._counter(
            "ragwortkeel_requests_unanswered_total",
            "Whole requests whose connections ended unanswered, by who ended them.",
            ("cause",),
        )
        self._refused_blocks = self._gauge(
            "ragwortkeel_refused_blocks",
            "Prompt blocks that are refused because they crash upstreams.",
            (),
        )
        self._upstream_limit = self._gauge(
            "ragwortkeel_upstream_limit",
            "Requests at once that an upstream's sidecar allows.",
            ("upstream",),
        )
        self._upstream_load = self._gauge(
            "ragwortkeel_upstream_load",
            "Requests running or waiting at an upstream.",
            ("upstream",),
        )
        self._upstream_announced = self._gauge(
            "ragwortkeel_upstream_announced_limit",
            "Requests a second that an upstream takes from all processes, as it says.",
            ("upstream",),
        )
        self._upstream_slowness = self._gauge(
            "ragwortkeel_upstream_slowness",
            "Duration of an upstream's work relative to others of its service.",
            ("upstream",),
        )
        self._upstream_announcements = self._counter(
            "ragwortkeel_upstream_announcements",
            "What upstreams announced about themselves in their responses.",
            ("announcement",),
        )
        self._revision = self._gauge(
            "ragwortkeel_configuration_revision",
            "Highest configuration revision in force here.",
        )
        self._peer_revision = self._gauge(
            "ragwortkeel_configuration_revision_heard",
            "Highest configuration revision that a peer has in force.",
        )
        self._entries_age = self._gauge(
            "ragwortkeel_upstream_entries_age_seconds",
            "Time since the upstreams' entries were last known to be complete.",
        )
        self._zone_evacuated_since = self._gauge(
            "ragwortkeel_zone_evacuated_since_seconds",
            "Time of day at which an evacuation became known here; 0 for none.",
            ("zone",),
        )
        self._in_rotation = self._gauge(
            "ragwortkeel_in_rotation",
            "0 while this process is out of the balancer's rotation for its load.",
        )
        self._in_rotation.set(1)
        self._rotation_departures = self._counter(
            "ragwortkeel_rotation_departures_total",
            "Times that this process left the balancer's rotation for its load.",
            (),
        )
        self._open_requests = self._gauge(
            "ragwortkeel_open_requests", "Requests begun and not yet answered."
        )
        self._queued_requests = self._gauge(
            "ragwortkeel_queued_requests", "Requests that wait for an upstream."
        )
        self._utilization = self._gauge(
            "ragwortkeel_instance_utilization",
            "Fraction of the event loop or the link in use, the larger of both.",
        )
        self._event_loop_lag = self._gauge(
            "ragwortkeel_event_loop_lag_seconds", "Average lateness of timers."
        )
        self._shed = self._counter(
            "ragwortkeel_shed_requests_total",
            "Requests refused because the instance is overloaded, by priority.",
            ("priority",),
        )
        self._queued_by_priority = self._gauge(
            "ragwortkeel_queued_requests_by_priority",
            "Requests that wait for an upstream, by their priority.",
            ("priority",),
        )
        self._reservations = self._counter(
            "ragwortkeel_head_reservations_total",
            "Upstreams reserved for a queued request, by what happened to them.",
            ("change",),
        )
        self._streams_taken_up = self._counter(
            "ragwortkeel_streams_taken_up_total",
            "Streams that callers took up, by who knew the version that began them.",
            ("origin",),
        )
        self._held_bytes = self._gauge(
            "ragwortkeel_held_bytes", "Bytes held for peers that read slowly."
        )
        self._slow_readers = self._counter(
            "ragwortkeel_slow_readers_ended_total",
            "Connections ended because their peers read too slowly.",
            (),
        )
        self._received_bytes = self._gauge(
            "ragwortkeel_received_bytes", "Bytes held of callers' requests."
        )
        self._callers_ended = self._counter(
            "ragwortkeel_callers_ended_total",
            "Connections of incomplete requests ended to make room, by what is short.",
            ("cause",),
        )
        self._answer_bytes = self._gauge(
            "ragwortkeel_answer_bytes", "Bytes held of upstreams' answers."
        )
        self._answers_ended = self._counter(
            "ragwortkeel_answers_ended_total",
            "Incomplete answers ended to make room for others.",
            (),
        )
        self._slice_tokens = self._gauge(
            "ragwortkeel_slice_tokens", "Tokens of budget slices held and not spent."
        )
        self._queue_wait = self._histogram(
            "ragwortkeel_queue_wait_seconds",
            "Time from a request's arrival to its dispatch.",
            QUEUE_WAIT_BUCKETS,
        )
        self._first_token = self._histogram(
            "ragwortkeel_first_token_seconds",
            "Time from a request's arrival to the first token to its caller.",
            FIRST_TOKEN_BUCKETS,
        )

    def record_request(self, *, service: str, outcome: str, reason: str) -> None:
        """Count a request by its final answer."""
        self._requests.labels(service, outcome, reason).inc()

    def record_decision(self, *, decision: str, reason: str) -> None:
        """Count a decision under load."""
        self._decisions.labels(decision, reason).inc()

    def record_attempt_failure(self, *, failure: str) -> None:
        """Count a failed attempt."""
        self._failures.labels(failure).inc()

    def record_retry_decision(self, *, service: str, cause: str, allowed: bool) -> None:
        """Count a decision on another attempt of a request."""
        self._retries.labels(service, cause, str(allowed).lower()).inc()

    def record_crash(self) -> None:
        """Count a crash of an upstream that became known to this process."""
        self._crashes.inc()

    def record_turned_away(self) -> None:
        """Count a new connection that was closed before a request was read."""
        self._turned_away.inc()

    def record_unanswered(self, ended_by: str) -> None:
        """Count a whole request whose connection ended without a complete answer."""
        self._unanswered.labels(ended_by).inc()

    def set_refused_blocks(self, count: int) -> None:
        """Set the number of prompt blocks that are refused."""
        self._refused_blocks.set(count)

    def set_upstream_load(self, *, name: str, limit: int, load: int) -> None:
        """Set the limit and load of a linked upstream, in requests."""
        self._upstream_limit.labels(name).set(limit)
        self._upstream_load.labels(name).set(load)

    def set_announced_limit(self, *, name: str, limit: float | None) -> None:
        """Set an upstream's announced limit in requests/s, or remove it for None."""
        gauge = self._upstream_announced.labels(name)
        if limit is None:
            self._upstream_announced.remove(name)
            return
        gauge.set(limit)

    def set_upstream_slowness(self, *, name: str, factor: float | None) -> None:
        """Set the slowness of an upstream, or remove it for None."""
        if factor is None:
            self._upstream_slowness.remove(name)
            return
        self._upstream_slowness.labels(name).set(factor)

    def record_announcement(self, *, announcement: str) -> None:
        """Count what an upstream newly announced in a response."""
        self._upstream_announcements.labels(announcement).inc()

    def record_tokens(self, *, service: str, tokens: int) -> None:
        """Add billed tokens."""
        self._tokens.labels(service).inc(tokens)

    def record_slice_operation(self, *, operation: str, outcome: str) -> None:
        """Count an operation on a slice: take, return, settle, renew or transfer."""
        self._slices.labels(operation, outcome).inc()

    def record_receipts(self, *, state: str, count: int = 1) -> None:
        """Count receipts that were created or became durable."""
        self._receipts.labels(state).inc(count)

    def record_link_lost(self, *, peer: str) -> None:
        """Count a link that was lost because its peer, of that role, was silent."""
        self._links_lost.labels(peer).inc()

    def record_message_failure(self, *, message: str) -> None:
        """Count a message of that kind that could not be handled."""
        self._messages_failed.labels(message).inc()

    def record_link_traffic(self, report: TrafficReport) -> None:
        """Add the bytes of a report on links."""
        for kind, size in report.sent_bytes_by_kind.items():
            self._link_bytes.labels("sent", kind).inc(size)
        for kind, size in report.received_bytes_by_kind.items():
            self._link_bytes.labels("heard", kind).inc(size)

    def record_platform_failure(self, *, error: str) -> None:
        """Count a failed call to the platform."""
        self._platform_errors.labels(error).inc()

    def record_platform_call(self, *, operation: str, kind: str, outcome: str) -> None:
        """Count a call to the platform."""
        self._platform_calls.labels(operation, kind, outcome).inc()

    def set_configuration_revision(self, *, revision: int) -> None:
        """Set the highest configuration revision in force here."""
        self._revision.set(revision)

    def set_peer_revision(self, *, revision: int) -> None:
        """Set the highest configuration revision in force at a peer."""
        self._peer_revision.set(revision)

    def set_entries_age(self, seconds: float) -> None:
        """Set the time since the upstreams' entries were known to be complete."""
        self._entries_age.set(seconds)

    def set_zone_evacuated_since(self, *, zone: str, since: float) -> None:
        """Set the time of an availability zone's evacuation; 0 once it has ended."""
        self._zone_evacuated_since.labels(zone).set(since)

    def set_in_rotation(self, *, in_rotation: bool) -> None:
        """Set whether this process is in the balancer's rotation, or left for load."""
        self._in_rotation.set(int(in_rotation))

    def record_rotation_departure(self) -> None:
        """Count a departure from the balancer's rotation."""
        self._rotation_departures.inc()

    def set_load(self, *, running: int, queued: int) -> None:
        """Set the number of open requests and how many of them are queued."""
        self._open_requests.set(running)
        self._queued_requests.set(queued)

    def set_instance_load(self, *, utilization: float, lag_seconds: float) -> None:
        """Set the utilization of the instance and its event loop lag."""
        self._utilization.set(utilization)
        self._event_loop_lag.set(lag_seconds)

    def record_shed(self, *, priority: int, count: int) -> None:
        """Count requests that an overloaded instance refused."""
        self._shed.labels(str(priority)).inc(count)

    def set_queued_by_priority(self, queued_by_priority: Mapping[int, int]) -> None:
        """Set the number of queued requests of each priority."""
        self._queued_by_priority.clear()
        for priority, queued in queued_by_priority.items():
            self._queued_by_priority.labels(str(priority)).set(queued)

    def record_head_reservation(self, *, change: str) -> None:
        """Count the begin or the end of a reservation for a queued request."""
        self._reservations.labels(change).inc()

    def record_stream_taken_up(self, *, origin: str) -> None:
        """Count a stream that a caller took up, by how its version became known."""
        self._streams_taken_up.labels(origin).inc()

    def track_held_bytes(self, held_bytes: Callable[[], int]) -> None:
        """Report the bytes held for slow readers, which `held_bytes` returns."""
        self._held_bytes.set_function(held_bytes)

    def record_slow_reader_ended(self) -> None:
        """Count a connection that was ended because its peer read too slowly."""
        self._slow_readers.inc()

    def track_received_bytes(self, received_bytes: Callable[[], int]) -> None:
        """Report the bytes held of requests, which `received_bytes` returns."""
        self._received_bytes.set_function(received_bytes)

    def record_caller_ended(self, cause: str) -> None:
        """Count a connection that was ended to make room for other requests."""
        self._callers_ended.labels(cause).inc()

    def track_answer_bytes(self, answer_bytes: Callable[[], int]) -> None:
        """Report the bytes held of answers, which `answer_bytes` returns."""
        self._answer_bytes.set_function(answer_bytes)

    def record_answer_ended(self) -> None:
        """Count an incomplete answer that was ended to make room for others."""
        self._answers_ended.inc()

    def set_slice_tokens(self, *, tokens: int) -> None:
        """Set the number of unspent tokens in slices."""
        self._slice_tokens.set(tokens)

    def record_queue_wait(self, *, service: str, seconds: float) -> None:
        """Record the time that a request waited for its dispatch."""
        self._queue_wait.labels(service).observe(seconds)

    def record_first_token(self, *, service: str, seconds: float) -> None:
        """Record the time until the first token of a request."""
        self._first_token.labels(service).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help: str, labels: tuple[str, ...]) -> Counter:
        return Counter(name, help, labels, registry=self.registry)

    def _gauge(self, name: str, help: str, labels: tuple[str, ...] = ()) -> Gauge:
        return Gauge(name, help, labels, registry=self.registry)

    def _histogram(self, name: str, help: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(
            name, help, ("service",), registry=self.registry, buckets=buckets
        )
