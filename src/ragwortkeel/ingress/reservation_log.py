"""Logs and counts the reservations of upstreams for queued requests."""

from ragwortkeel.logs import log_info
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.head_reservation import Reservation, ReservationChange

LINES_PER_SECOND = 4
"""Limit of log lines: a saturated service changes its reservation very often."""


class ReservationLog:
    """Writes a line when a reservation begins and when it ends, at a bounded rate."""

    def __init__(self, *, metrics: Metrics | None) -> None:
        self._metrics = metrics
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def record(
        self, change: ReservationChange, reservation: Reservation, *, now: float
    ) -> None:
        """Count the change and log it, unless the lines of this second are used up."""
        if self._metrics is not None:
            self._metrics.record_head_reservation(change=change)
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        if self._lines >= LINES_PER_SECOND:
            self._left_out += 1
            return
        self._lines += 1
        log_info(
            "head_reserved",
            change=change,
            request=reservation.request_id,
            service=reservation.service,
            upstream=reservation.upstream,
            priority=reservation.priority,
            missing=reservation.missing_tokens,
            waited=round(now - reservation.queued_at, 3),
            left_out=self._left_out,
        )
        self._left_out = 0
