"""Tests of the plan of a planned stop."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.stop_plan import StopPlan


class TestPoints:
    def test_requests_are_accepted_until_the_balancer_has_noticed(self):
        plan = StopPlan.starting(10.0, seconds=7.5, accepting_seconds=2.6)
        assert (plan.began_at, plan.refuses_at, plan.ends_at) == (10.0, 12.6, 17.5)

    @given(
        seconds=st.floats(min_value=0.01, max_value=3600),
        accepting=st.floats(min_value=0, max_value=10),
    )
    def test_what_is_accepted_last_has_half_of_the_stop(self, seconds, accepting):
        """Guards against short stops that accept requests until their end."""
        plan = StopPlan.starting(0.0, seconds=seconds, accepting_seconds=accepting)
        assert plan.ends_at - plan.refuses_at >= seconds / 2 * (1 - 1e-9)


class TestMayBegin:
    PLAN = StopPlan.starting(0.0, seconds=7.5, accepting_seconds=2.6)

    @pytest.mark.parametrize(
        ("now", "run_seconds", "may_begin"),
        [
            (2.5, None, True),
            (2.7, None, False),
            (5.0, 2.4, True),
            (5.0, 2.6, False),
            (0.1, 8.0, False),
        ],
    )
    def test_a_run_begins_only_if_it_can_end_in_time(self, now, run_seconds, may_begin):
        """Guards against runs that the end of the process cuts off."""
        assert self.PLAN.may_begin(now=now, run_seconds=run_seconds) is may_begin
