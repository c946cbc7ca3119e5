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


def quiet_for_long(budget):
    """Let a budget save up all that it may."""
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

    def test_quiet_time_saves_up_no_more_than_the_reserve(self):
        budget = quiet_for_long(RetryBudget())
        assert sum(budget.try_spend() for _ in range(100)) == RESERVE_RETRIES


class TestReserveOfAFleet:
    @pytest.mark.parametrize("processes", [1, 3, 5, 21, 29, 68, 1000])
    def test_a_crash_of_many_upstreams_does_not_free_one_reserve_a_process(
        self, processes
    ):
        """All processes have been quiet, then half of the engines crash at once.

        Each had saved up a reserve that is right for a fleet of four; together they
        send more retries than the engines that are left can bear.
        """
        budgets = [quiet_for_long(RetryBudget()) for _ in range(processes)]
        for budget in budgets:
            budget.set_reserve(process_reserve(processes=processes))
        retries = sum(budget.try_spend() for budget in budgets for _ in range(20))
        assert retries <= max(FLEET_RESERVE_RETRIES, processes)
        assert retries >= processes

    def test_a_smaller_reserve_takes_back_what_was_saved_up(self):
        budget = quiet_for_long(RetryBudget(reserve=6.0))
        budget.set_reserve(1.0)
        assert [budget.try_spend(), budget.try_spend()] == [True, False]


WINDOW_SECONDS = 10
"""In which the users' rule counts."""

ALLOWED_SHARE = 0.2
ALLOWED_SUM = 52
"""Of the users' rule for a fleet of three entry instances."""


class FleetOfRetries(RuleBasedStateMachine):
    """Processes that start, serve and fail; the users' rule on repeats is checked.

    Guards against a bound that is counted over something else than one service: over
    all services of a process, over one start of it, or over what ran.
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
        """Start a process anew each second, and let it send some requests in vain."""
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
