"""Log lines and metrics for the events of a router."""

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
    """A request that has ended.

    Attributes
    ----------
    refusal : Refusal or None
        None if the request was answered.
    seconds : float
        Time from the request's arrival to its end.
    tokens : int
        Tokens that the answer cost.
    first_token_seconds : float or None
        Time from the request's arrival to the first streamed data; None if
        nothing was streamed.
    """

    call: Call
    profile: Profile
    refusal: Refusal | None
    seconds: float
    tokens: int
    first_token_seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class Gauges:
    """Values of the gauges of a router at one moment."""

    revision: int
    running: int
    queued: int
    slice_tokens: int


class Observer:
    """Writes the log lines and updates the metrics of a router.

    .. versionadded:: 0.1
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_request(self, ended: EndedRequest) -> None:
        """Log and count a request that has ended."""
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
        """Log and count a decision of the scheduler.

        `waited` is the time in the queue in seconds.
        """
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
        """Log and count an attempt without a usable answer."""
        self._metrics.record_attempt_failure(failure=failure)
        log_info("attempt_failed", request=request_id, failure=failure)

    def record_crash(self, crash: Crash) -> None:
        """Log and count an upstream crash that this router didn't know of."""
        self._metrics.record_crash()
        log_warning(
            "upstream_crashed",
            crash=crash.crash_id,
            bodies=len(crash.fingerprints),
            alone=crash.alone,
        )

    def record_load(self, report: LoadReport) -> None:
        """Update the metrics of an upstream from its sidecar's load report."""
        self._metrics.set_upstream_load(
            name=report.upstream,
            limit=report.limit,
            load=report.running + report.waiting,
        )

    def record_slice_renewal(self, outcome: str) -> None:
        """Count the outcome of a slice's renewal at its ledger."""
        self._metrics.record_slice_operation(operation="renew", outcome=outcome)

    def record_platform_failure(self, error: str) -> None:
        """Count a failed platform call."""
        self._metrics.record_platform_failure(error=error)

    def record_link_down(self, role: str, peer: str) -> None:
        """Log and count the loss of a link."""
        self._metrics.record_link_lost(peer=role)
        log_warning("link_down", role=role, peer=peer)

    def set_gauges(self, gauges: Gauges) -> None:
        """Set the gauges to the router's present values."""
        self._metrics.set_configuration_revision(revision=gauges.revision)
        self._metrics.set_load(running=gauges.running, queued=gauges.queued)
        self._metrics.set_slice_tokens(tokens=gauges.slice_tokens)
