"""Measures the answers of upstreams, and logs and counts which ones differ in speed."""

from collections.abc import Iterable, Mapping
from time import monotonic

from ragwortkeel.ingress.attempt import EVENT_STREAM
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.peer_statuses import PeerStatus
from ragwortkeel.ingress.placement import Assignment
from ragwortkeel.ingress.upstream_connection import ResponseHead
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.engine_cost import load_tokens
from ragwortkeel.policy.upstream_speed import SpeedReport, UpstreamSpeeds

FIRST_ERROR_STATUS = 300
"""Lowest status of an answer that is not measured: errors come without any work."""


class SpeedTracker:
    """Collects how long upstreams take, here and at peers.

    Attributes
    ----------
    speeds : UpstreamSpeeds
        The factors in force.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.speeds = UpstreamSpeeds()
        self._metrics = metrics
        self._known: set[str] = set()

    def record_answer(
        self, assignment: Assignment, *, is_engine: bool, seconds: float
    ) -> None:
        """Record the time from sending a request until its first event or answer."""
        upstream, load = assignment.upstream, assignment.load
        tokens = load_tokens(
            unread_tokens=load.unread_tokens + assignment.unread_tokens,
            running=load.running,
        )
        self.speeds.record_answer(
            (upstream.name, upstream.started_ms),
            seconds=seconds,
            load_tokens=tokens if is_engine else 0.0,
            now=monotonic(),
        )

    def update(self, peers: Iterable[PeerStatus]) -> None:
        """Recompute the factors, log those that changed, and set the metrics."""
        now = monotonic()
        reports = [
            SpeedReport(
                slowness_by_upstream=peer.status.slowness_by_upstream,
                samples_by_upstream=peer.status.samples_by_upstream,
                received_at=peer.received_at,
            )
            for peer in peers
            if peer.status.slowness_by_upstream
        ]
        self.speeds.update(reports, now=now)
        for change in self.speeds.drain_changes(now):
            log_info(
                "upstream_speed_changed",
                upstream=change.upstream,
                factor=change.factor,
                was=change.was,
                samples=change.samples,
                age=change.age_seconds,
                source=change.source,
            )
        for name, factor in self.speeds.factor_by_upstream().items():
            self._metrics.set_upstream_slowness(name=name, factor=factor)
            self._known.add(name)

    def own_report(self) -> SpeedReport:
        """Return this process's own measurements, for its peers."""
        return self.speeds.own_report(monotonic())

    def retain(self, upstream_by_name: Mapping[str, Upstream]) -> None:
        """Forget all other upstreams, and previous instances of these."""
        self.speeds.set_upstreams(
            {
                (name, upstream.started_ms): upstream.service
                for name, upstream in upstream_by_name.items()
            },
            now=monotonic(),
        )
        for removed in self._known - upstream_by_name.keys():
            self._metrics.set_upstream_slowness(name=removed, factor=None)
        self._known &= upstream_by_name.keys()


class AnswerTimer:
    """Measures one run of a request, up to its first event or its plain answer.

    Parameters
    ----------
    is_engine : bool
        Whether an engine reads the prompt before the first event of a stream.
    """

    def __init__(
        self, *, assignment: Assignment, is_engine: bool, tracker: SpeedTracker | None
    ) -> None:
        self._assignment = assignment
        self._is_engine = is_engine
        self._tracker = tracker
        self._sent_at: float | None = None

    def receive_head(self, head: ResponseHead, sent_at: float) -> None:
        """Record when the request was sent, if its answer can be compared.

        Errors come without any work, and an engine's answer that is no stream comes
        only at its end.
        """
        streams = head.get("content-type").startswith(EVENT_STREAM)
        if head.status < FIRST_ERROR_STATUS and streams == self._is_engine:
            self._sent_at = sent_at

    def receive_event(self) -> None:
        """Record the first event or the plain answer; later ones are ignored."""
        if self._tracker is None or self._sent_at is None:
            return
        seconds, self._sent_at = monotonic() - self._sent_at, None
        self._tracker.record_answer(
            self._assignment, is_engine=self._is_engine, seconds=seconds
        )
