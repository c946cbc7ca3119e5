"""Thresholds of the decisions; the module of each default explains it."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortkeel.policy.choice import CANDIDATE_COUNT, LOAD_BOUND_FRACTION
from ragwortkeel.policy.ejection import FAILURES_TO_EJECT
from ragwortkeel.policy.limits import INITIAL_LIMIT_REQUESTS
from ragwortkeel.policy.queueing import MAX_QUEUED_REQUESTS
from ragwortkeel.policy.retries import RETRY_FRACTION
from ragwortkeel.policy.slow_start import RISE_FRACTION_PER_SECOND

BATCH_FRACTION = 0.7
"""Fraction of each upstream's limit that batch work may use.  The rest stays free so
that an interactive request meets its first-token promise without waiting for a batch
run."""


class Mechanism(StrEnum):
    """Mechanisms that can be disabled to measure their effect."""

    ESTIMATED_WAIT = "estimated_wait"
    FAIR_SHARES = "fair_shares"
    REPORT_CORRECTION = "report_correction"
    CLAIMED_ROOM = "claimed_room"
    EJECTION = "ejection"


@dataclass(frozen=True, kw_only=True)
class SchedulerSettings:
    """Thresholds of one router's scheduler.

    Attributes
    ----------
    report_lag_seconds : float
        The age of a load report on arrival.
    disabled : frozenset of Mechanism
        Empty except in measurements.
    """

    candidate_count: int = CANDIDATE_COUNT
    load_bound: float = LOAD_BOUND_FRACTION
    initial_limit: int = INITIAL_LIMIT_REQUESTS
    batch_fraction: float = BATCH_FRACTION
    max_queued_requests: int = MAX_QUEUED_REQUESTS
    retry_fraction: float = RETRY_FRACTION
    failures_to_eject: int = FAILURES_TO_EJECT
    rise_per_second: float = RISE_FRACTION_PER_SECOND
    report_lag_seconds: float = 0.0
    disabled: frozenset[Mechanism] = frozenset()

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether the mechanism is enabled."""
        return mechanism not in self.disabled
