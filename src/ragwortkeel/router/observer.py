"""What a router tells of itself: a log line and metrics for each event."""

from dataclasses import dataclass

from ragwortkeel.configuration import Profile
from ragwortkeel.logs import log_debug, log_info, log_warning
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.facts import Assignment, Failure, LoadReport
from ragwortkeel.policy.facts import Refusal as PolicyRefusal
from ragwortkeel.policy.quarantine import Crash
from ragwortkeel.router.calls import Call
from ragwortkeel.router.refusals import Refusal
from ragwortkeel.traces import trace_id_of

ANSWERED = "answered"
DISPATCHED = "dispatched"
REFUSED = "refused"


@dataclass(frozen=True, kw_only=True)
class EndedRequest:
    """How one request went; `refusal` is None if it was answered.

    `first_token_seconds` is None where nothing was streamed.
    """

    call: Call
    profile: Profile
    refusal: Refusal | None
    seconds: float
    tokens: int
    first_token_seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class Gauges:
    """The state of a router at one moment."""

    revision: int
    running: int
    queued: int
    slice_tokens: int


class Observer:
    """Logs and counts.

    .. versionadded:: 0.1
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_request(self, ended: EndedRequest) -> None:
        """Tell how a request went."""
        refusal, service = ended.refusal, ended.profile.service
        outcome = ANSWERED if refusal is None else refusal.outcome
        reason = "" if refusal is None else refusal.reason
        self._metrics.record_request(service=service, outcome=outcome, reason=reason)
        if ended.tokens:
            self._metrics.record_tokens(service=service, tokens=ended.tokens)
        if ended.first_token_seconds is not None:
            self._metrics.record_first_token(
                service=service, seconds=ended.first_token_seconds
            )
        log_info(
            "request_ended",
            profile=ended.profile.name,
            request=ended.call.request_id,
            outcome=outcome,
            reason=reason,
            seconds=ended.seconds,
            tokens=ended.tokens,
            trace=trace_id_of(ended.call.traceparent),
        )

    def record_decision(
        self, decision: Assignment | PolicyRefusal, waited: float
    ) -> None:
        """Tell what the scheduler decided, after `waited` seconds in the queue."""
        request = decision.request
        match decision:
            case Assignment(upstream=upstream, attempt=attempt, alone=alone):
                self._metrics.record_decision(decision=DISPATCHED, reason="")
                self._metrics.record_queue_wait(
                    service=request.service_class, seconds=waited
                )
                log_debug(
                    "dispatched",
                    request=request.request_id,
                    upstream=upstream,
                    attempt=attempt,
                    alone=alone,
                    waited=waited,
                )
            case PolicyRefusal(reason=reason):
                self._metrics.record_decision(decision=REFUSED, reason=reason)
                log_info(
                    "refused",
                    request=request.request_id,
                    reason=reason,
                    waited=waited,
                    retry_after=decision.retry_after_seconds,
                )

    def record_attempt_failure(self, request_id: str, failure: Failure) -> None:
        """Tell that an attempt gave no usable answer."""
        self._metrics.record_attempt_failure(failure=failure)
        log_info("attempt_failed", request=request_id, failure=failure)

    def record_crash(self, crash: Crash) -> None:
        """Tell of a crash that was news here."""
        self._metrics.record_crash()
        log_warning(
            "upstream_crashed",
            crash=crash.crash_id,
            bodies=len(crash.fingerprints),
            alone=crash.alone,
        )

    def record_load(self, report: LoadReport) -> None:
        """Show what a sidecar reports."""
        self._metrics.set_upstream_load(
            name=report.upstream,
            limit=report.limit,
            load=report.running + report.waiting,
        )

    def record_slice_renewal(self, outcome: str) -> None:
        """Count how bringing a slice and its ledger in step ended."""
        self._metrics.record_slice_operation(operation="renew", outcome=outcome)

    def record_platform_failure(self, error: str) -> None:
        """Count a failed call of the platform."""
        self._metrics.record_platform_failure(error=error)

    def record_link_down(self, role: str, peer: str) -> None:
        """Tell that a peer went silent."""
        self._metrics.record_link_lost(peer=role)
        log_warning("link_down", role=role, peer=peer)

    def set_gauges(self, gauges: Gauges) -> None:
        """Show the state of the moment."""
        self._metrics.set_configuration_revision(revision=gauges.revision)
        self._metrics.set_load(running=gauges.running, queued=gauges.queued)
        self._metrics.set_slice_tokens(tokens=gauges.slice_tokens)
