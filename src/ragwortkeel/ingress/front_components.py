"""The components that all requests of an ingress process share."""

from dataclasses import dataclass, field

from ragwortkeel.ingress.announcements import AnnouncementReader
from ragwortkeel.ingress.answer_bytes import AnswerBytes
from ragwortkeel.ingress.budget_keeper import BudgetKeeper
from ragwortkeel.ingress.crash_watch import CrashWatch
from ragwortkeel.ingress.dispatch import Dispatcher
from ragwortkeel.ingress.error_responses import ErrorResponse
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.open_requests import OpenRequests
from ragwortkeel.ingress.origin_exchange import OriginExchange
from ragwortkeel.ingress.placement import Placement
from ragwortkeel.ingress.request_sweep import RequestSweep
from ragwortkeel.ingress.speed_tracker import SpeedTracker
from ragwortkeel.ingress.start_checks import StartChecks
from ragwortkeel.ingress.upstream_connection import ConnectionPool
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.retries import RetryBudgets
from ragwortkeel.policy.run_times import RunTimes


@dataclass(frozen=True, kw_only=True)
class FrontComponents:
    """The components that take a request from its arrival to its answer.

    Attributes
    ----------
    open_requests : OpenRequests
        The requests without a final answer, and the plan of a stop.
    run_times : RunTimes
        Expected lengths of runs, by which a stop refuses what would be cut off.
    answers : AnswerBytes
        Counts and bounds what is held of upstreams' answers.
    sweep : RequestSweep or None
        Ends requests on a late event loop; None leaves that to their own timers.
    """

    names: HeaderNames
    dispatcher: Dispatcher
    placement: Placement
    keeper: BudgetKeeper
    crashes: CrashWatch
    connections: ConnectionPool
    retries: RetryBudgets
    announcements: AnnouncementReader
    origins: OriginExchange
    starts: StartChecks
    metrics: Metrics
    speeds: SpeedTracker | None = None
    event_delivery_seconds: float = 0.0
    sweep: RequestSweep | None = None
    answers: AnswerBytes = field(default_factory=AnswerBytes)
    open_requests: OpenRequests = field(default_factory=OpenRequests)
    run_times: RunTimes = field(default_factory=RunTimes)

    def record_refusal(
        self,
        request_id: str,
        answer: ErrorResponse,
        *,
        route: str,
        waited: float,
        revision: int | None,
    ) -> None:
        """Log and count a request that the ingress answers itself with an error."""
        log_info(
            "refused",
            request=request_id,
            route=route,
            status=answer.status,
            reason=answer.reason,
            outcome=answer.result,
            waited=round(waited, 3),
            configuration=revision,
        )
        self.metrics.record_request(
            service="", outcome=answer.result, reason=answer.reason
        )

    def record_cut_off(
        self,
        request_id: str,
        error: ErrorResponse,
        *,
        route: str,
        events: int,
        waited: float,
        revision: int | None,
    ) -> None:
        """Log and count an answer that had started and ends incomplete."""
        log_warning(
            "answer_cut_off",
            request=request_id,
            route=route,
            reason=error.reason,
            events=events,
            waited=round(waited, 3),
            configuration=revision,
        )
        self.metrics.record_request(service="", outcome="cut_off", reason=error.reason)
