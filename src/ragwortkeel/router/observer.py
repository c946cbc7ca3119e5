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
class Observed:
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

    def request_ended(self, observed: Observed) -> None:
        """Tell how a request went."""
        refusal, service = observed.refusal, observed.profile.service
        outcome = ANSWERED if refusal is None else refusal.outcome
        reason = "" if refusal is None else refusal.reason
        self._metrics.request_ended(service=service, outcome=outcome, reason=reason)
        if observed.tokens:
            self._metrics.tokens_spent(service=service, tokens=observed.tokens)
        if observed.first_token_seconds is not None:
            self._metrics.first_token(
                service=service, seconds=observed.first_token_seconds
            )
        log_info(
            "request_ended",
            profile=observed.profile.name,
            request=observed.call.request_id,
            outcome=outcome,
            reason=reason,
            seconds=observed.seconds,
            tokens=observed.tokens,
            trace=trace_id_of(observed.call.traceparent),
        )

    def decided(self, decision: Assignment | PolicyRefusal, waited: float) -> None:
        """Tell what the scheduler decided, after `waited` seconds in the queue."""
        request = decision.request
        match decision:
            case Assignment(upstream=upstream, attempt=attempt, alone=alone):
                self._metrics.decided(decision=DISPATCHED, reason="")
                self._metrics.queue_waited(
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
                self._metrics.decided(decision=REFUSED, reason=reason)
                log_info(
                    "refused",
                    request=request.request_id,
                    reason=reason,
                    waited=waited,
                    retry_after=decision.retry_after_seconds,
                )

    def attempt_failed(self, request_id: str, failure: Failure) -> None:
        """Tell that an attempt gave no usable answer."""
        self._metrics.attempt_failed(failure=failure)
        log_info("attempt_failed", request=request_id, failure=failure)

    def upstream_crashed(self, crash: Crash) -> None:
        """Tell of a crash that was news here."""
        self._metrics.upstream_crashed()
        log_warning(
            "upstream_crashed",
            crash=crash.crash_id,
            bodies=len(crash.fingerprints),
            alone=crash.alone,
        )

    def upstream_load(self, report: LoadReport) -> None:
        """Show what a sidecar reports."""
        self._metrics.upstream(
            name=report.upstream,
            limit=report.limit,
            load=report.running + report.waiting,
        )

    def slice_renewed(self, outcome: str) -> None:
        """Count how bringing a slice and its ledger in step ended."""
        self._metrics.slice_operation(operation="renew", outcome=outcome)

    def platform_failed(self, error: str) -> None:
        """Count a failed call of the platform."""
        self._metrics.platform_failed(error=error)

    def link_down(self, role: str, peer: str) -> None:
        """Tell that a peer went silent."""
        self._metrics.link_lost(peer=role)
        log_warning("link_down", role=role, peer=peer)

    def gauges(self, gauges: Gauges) -> None:
        """Show the state of the moment."""
        self._metrics.configuration_in_force(revision=gauges.revision)
        self._metrics.load(running=gauges.running, queued=gauges.queued)
        self._metrics.slice_tokens(tokens=gauges.slice_tokens)
