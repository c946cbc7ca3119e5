from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.retries import RESERVE, RETRY_SHARE, RetryBudget


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
