from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ragwortkeel.ingress.worker import RETRY_FRACTION as INGRESS_SHARE
from ragwortkeel.ingress.worker import RETRY_RESERVE as INGRESS_RESERVE
from ragwortkeel.policy.retries import (
    FLEET_RESERVE_RETRIES,
    RESERVE_RETRIES,
    RETRY_FRACTION,
    RetryBudget,
    RetryBudgets,
    process_reserve,
)

PROCESSES = 3
SERVICES = ("app", "pool")


def accumulate(budget):
    """Let a budget accumulate its full reserve."""
    for _ in range(1000):
        budget.record_first_attempt()
    return budget


class TestRetryBudget:
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_stay_within_share_and_reserve(self, steps):
        budget = RetryBudget()
        firsts = retries = 0
        for first in steps:
            if first:
                budget.record_first_attempt()
                firsts += 1
            elif budget.try_spend():
                retries += 1
        assert retries <= RESERVE_RETRIES + RETRY_FRACTION * firsts + 1e-6

    def test_quiet_budget_accumulates_the_reserve(self):
        budget = accumulate(RetryBudget())
        assert sum(budget.try_spend() for _ in range(100)) == RESERVE_RETRIES


class TestReserveOfAFleet:
    @pytest.mark.parametrize("processes", [1, 3, 5, 21, 29, 68, 1000])
    def test_crash_of_many_upstreams_does_not_spend_full_reserves(self, processes):
        """Guards against full reserves in all processes when half of the engines crash.

        Reserves that suit a fleet of four add up to more retries than the remaining
        engines can serve.
        """
        budgets = [accumulate(RetryBudget()) for _ in range(processes)]
        for budget in budgets:
            budget.set_reserve(process_reserve(processes=processes))
        retries = sum(budget.try_spend() for budget in budgets for _ in range(20))
        assert retries <= max(FLEET_RESERVE_RETRIES, processes)
        assert retries >= processes

    def test_smaller_reserve_discards_accumulated_retries(self):
        budget = accumulate(RetryBudget(reserve=6.0))
        budget.set_reserve(1.0)
        assert [budget.try_spend(), budget.try_spend()] == [True, False]


WINDOW_SECONDS = 10
"""Window of the users' rule."""

ALLOWED_SHARE = 0.2
ALLOWED_SUM = 52
"""Repeats that the users' rule allows in a window, beyond 20% of the first attempts,
for a fleet of three entry instances."""


class FleetOfRetries(RuleBasedStateMachine):
    """Processes that start, serve and fail, checked against the users' rule on repeats.

    Guards against a bound that is not counted per service: over all services of a
    process, over one start of it, or over the requests that ran.
    """

    def __init__(self):
        super().__init__()
        self.second = 0
        self.firsts_by_service = {name: Counter() for name in SERVICES}
        self.repeats_by_service = {name: Counter() for name in SERVICES}
        self.budgets = [self._started() for _ in range(PROCESSES)]

    def _started(self):
        budgets = RetryBudgets(share=INGRESS_SHARE, reserve=INGRESS_RESERVE)
        budgets.set_reserve(process_reserve(processes=PROCESSES, most=INGRESS_RESERVE))
        return budgets

    @rule(
        process=st.integers(0, PROCESSES - 1),
        service=st.sampled_from(SERVICES),
        requests=st.integers(1, 60),
    )
    def serve(self, process, service, requests):
        """Let a process send requests that all upstreams turn away."""
        budget = self.budgets[process].get(service)
        for _ in range(requests):
            budget.record_first_attempt()
            self.firsts_by_service[service][self.second] += 1
            for _ in range(2):
                if budget.try_spend():
                    self.repeats_by_service[service][self.second] += 1

    @rule(
        process=st.integers(0, PROCESSES - 1),
        service=st.sampled_from(SERVICES),
        requests=st.integers(1, 200),
    )
    def serve_well(self, process, service, requests):
        """Let a process send requests that all succeed."""
        for _ in range(requests):
            self.budgets[process].get(service).record_first_attempt()
        self.firsts_by_service[service][self.second] += requests

    @rule(process=st.integers(0, PROCESSES - 1), requests=st.integers(1, 60))
    def serve_beside_another_service(self, process, requests):
        """Let a process send most requests to one service and few to a failing one."""
        few, most = SERVICES
        for _ in range(requests):
            self.serve_well(process, most, 3)
            self.serve(process, few, 1)

    @rule(
        process=st.integers(0, PROCESSES - 1),
        service=st.sampled_from(SERVICES),
        times=st.integers(1, 10),
    )
    def kill_again_and_again(self, process, service, times):
        """Restart a process each second, and let it send some requests in vain."""
        for _ in range(times):
            self.budgets[process] = self._started()
            self.serve(process, service, 4)
            self.second += 1
            self.repeats_are_within_the_rule()

    @rule(seconds=st.integers(1, 8))
    def wait(self, seconds):
        self.second += seconds

    @invariant()
    def repeats_are_within_the_rule(self):
        window = range(self.second - WINDOW_SECONDS + 1, self.second + 1)
        for service in SERVICES:
            firsts = sum(self.firsts_by_service[service][at] for at in window)
            repeats = sum(self.repeats_by_service[service][at] for at in window)
            assert repeats <= ALLOWED_SHARE * firsts + ALLOWED_SUM


TestFleetOfRetries = FleetOfRetries.TestCase
