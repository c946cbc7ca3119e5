"""What all requests of an ingress process share."""

from dataclasses import dataclass
from time import monotonic

import curio

from ragwortkeel.ingress.budget_keeper import BudgetKeeper
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.crashes import CrashDetector
from ragwortkeel.ingress.dispatch import Dispatcher
from ragwortkeel.ingress.error_responses import ErrorResponse
from ragwortkeel.ingress.limit_reader import LimitReader
from ragwortkeel.ingress.names import HeaderNames
from ragwortkeel.ingress.placement import Placement
from ragwortkeel.ingress.upstream_connection import ConnectionPool
from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.retries import RetryBudgets


@dataclass(frozen=True, kw_only=True)
class FrontParts:
    """The parts that bring requests to their answers."""

    names: HeaderNames
    dispatcher: Dispatcher
    placement: Placement
    keeper: BudgetKeeper
    crashes: CrashDetector
    connections: ConnectionPool
    retries: RetryBudgets
    limit_reader: LimitReader
    metrics: Metrics

    def refused(
        self,
        request_id: str,
        answer: ErrorResponse,
        *,
        route: str,
        waited: float,
        revision: int | None,
    ) -> None:
        """Log and count an answer of the ingress's own."""
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
        self.metrics.request_ended(
            service="", outcome=answer.result, reason=answer.reason
        )

    async def suspect(self, upstream: Upstream, fingerprint: str) -> None:
        """Look, beside the request, whether an upstream that broke off is down."""
        self.crashes.record_broken_run(upstream, fingerprint)
        await curio.spawn(self._look_at, upstream, daemon=True)

    async def _look_at(self, upstream: Upstream) -> None:
        if await self.connections.refuses_connection(upstream):
            self.crashes.record_refused_connection(upstream)
            self.placement.record_failure(upstream.name, Failure.CRASHED, monotonic())
