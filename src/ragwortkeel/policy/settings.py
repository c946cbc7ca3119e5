"""The thresholds of the decisions in one place; each is explained in its module."""

from dataclasses import dataclass

from ragwortkeel.policy.choice import CANDIDATES, LOAD_BOUND
from ragwortkeel.policy.ejection import FAILURES_TO_EJECT
from ragwortkeel.policy.limits import FIRST_LIMIT
from ragwortkeel.policy.queueing import MAX_WAITING
from ragwortkeel.policy.retries import RETRY_SHARE
from ragwortkeel.policy.shifting import RISE_PER_SECOND

BATCH_SHARE = 0.7
"""Batch work leaves three tenths of each upstream free, so that an interactive
request finds a place within its first-token promise and not after a summary."""


@dataclass(frozen=True, kw_only=True)
class SchedulerSettings:
    """Thresholds of one router's scheduler.

    `report_lag_seconds` is the age of a load report when it arrives.  `fair`,
    `estimate` and `eject` are false only to measure what each buys.
    """

    candidates: int = CANDIDATES
    load_bound: float = LOAD_BOUND
    first_limit: int = FIRST_LIMIT
    batch_share: float = BATCH_SHARE
    max_waiting: int = MAX_WAITING
    fair: bool = True
    estimate: bool = True
    retry_share: float = RETRY_SHARE
    failures_to_eject: int = FAILURES_TO_EJECT
    eject: bool = True
    claims: bool = True
    rise_per_second: float = RISE_PER_SECOND
    report_lag_seconds: float = 0.0
