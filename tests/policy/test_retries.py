import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.retries import (
    FLEET_RESERVE,
    RESERVE,
    RETRY_SHARE,
    RetryBudget,
    reserve_of_one,
)


class TestRetryBudget:
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_stay_within_share_and_reserve(self, steps):
        budget = RetryBudget()
        firsts = retries = 0
        for first in steps:
            if first:
                budget.earn()
                firsts += 1
            elif budget.take():
                retries += 1
        assert retries <= RESERVE + RETRY_SHARE * firsts + 1e-6

    def test_quiet_time_saves_up_no_more_than_the_reserve(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.earn()
        assert sum(budget.take() for _ in range(100)) == RESERVE


class TestReserveOfAFleet:
    @pytest.mark.parametrize("processes", [1, 3, 5, 21, 29, 68, 1000])
    def test_a_crash_of_many_upstreams_does_not_free_one_reserve_a_process(
        self, processes
    ):
        """All processes have been quiet, then half of the engines crash at once.

        Each had saved up a reserve that is right for a fleet of four; together they
        send more retries than the engines that are left can bear.
        """
        budgets = [RetryBudget() for _ in range(processes)]
        for budget in budgets:
            budget.keep(reserve_of_one(processes=processes))
        retries = sum(budget.take() for budget in budgets for _ in range(20))
        assert retries <= max(FLEET_RESERVE, processes)
        assert retries >= processes

    def test_a_smaller_reserve_takes_back_what_was_saved_up(self):
        budget = RetryBudget(reserve=6.0)
        budget.keep(1.0)
        assert [budget.take(), budget.take()] == [True, False]
