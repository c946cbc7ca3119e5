"""Results for callers under the load patterns, on the model of engines.

Each test simulates a fleet: three routers, sidecars with adaptive limits, lagged load
reports, callers that retry.  Bounds are well below the figures in
docs/measurements/load.md, so that a test fails for a fault and not for a detail.
"""

from dataclasses import replace
from functools import cache

import pytest
from benchmarks.load.fleet import Fleet
from benchmarks.load.schemes import least_connections, ours
from benchmarks.load.workloads import DEPLOYMENTS, SCENARIOS
from benchmarks.load_policies import OUR_SETTINGS

from ragwortkeel.policy.settings import Mechanism

SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
SCHEMES = {
    "ours": ours("ours", settings=OUR_SETTINGS),
    "unfair": ours("unfair", settings=OUR_SETTINGS, disabled=Mechanism.FAIR_SHARES),
    "least": least_connections(priorities=True),
}
BOTH = pytest.mark.parametrize("deployment", [0, 1], ids=["surco", "chaophraya"])


@cache
def play(scenario, deployment, scheme="ours", seed=1):
    fleet = Fleet(
        deployment=DEPLOYMENTS[deployment],
        scenario=replace(SCENARIOS_BY_NAME[scenario], seconds=25.0),
        scheme=SCHEMES[scheme],
        seed=seed,
    )
    return fleet.run()


def figures(*args, **kwargs):
    return play(*args, **kwargs).summary()


@BOTH
class TestPatterns:
    def test_steady_load_is_served(self, deployment):
        got = figures("steady", deployment)
        assert got["in_time"] > 0.99
        assert got["refusals"] < 0.01

    def test_burst(self, deployment):
        """Three times the load for eight seconds.

        Most chats are in time, batch work waits and completes, and callers that are
        refused receive the refusal within two seconds.
        """
        got = figures("burst", deployment)
        assert got["interactive_in_time"] > 0.8
        assert got["batch_in_time"] > 0.97
        assert got["refusal_p95_seconds"] < 2.0

    def test_one_customer_takes_most_of_the_load(self, deployment):
        """One customer's script sends three quarters of all requests."""
        assert figures("greedy", deployment)["small_customers_in_time"] > 0.95

    def test_one_prefix_takes_most_of_the_load(self, deployment):
        """Many callers send requests with the same prompt prefix."""
        got = figures("hot_prefix", deployment)
        assert got["interactive_in_time"] > 0.97
        assert got["prefix_hits"] > 0.6

    def test_slow_upstream(self, deployment):
        """One engine slows down to a quarter of its speed without reporting it."""
        assert figures("slow", deployment)["interactive_in_time"] > 0.95

    def test_long_work_among_short(self, deployment):
        """Long requests arrive beside the chats, two and a half times as many."""
        got = figures("long", deployment)
        assert got["interactive_in_time"] > 0.95
        assert got["batch_in_time"] > 0.95

    def test_saturation(self, deployment):
        """Far more requests than can be served, and callers that retry.

        Admitted requests are served in time: goodput does not collapse, small customers
        keep their share, and refusals are sent early.
        """
        got = figures("saturation", deployment)
        least = figures("saturation", deployment, "least")
        assert got["goodput_tokens"] > 1.1 * least["goodput_tokens"]
        assert got["interactive_in_time"] > 0.75
        assert got["small_customers_in_time"] > 0.9
        assert got["refusal_p95_seconds"] < 3.0

    def test_failing_upstream(self, deployment):
        """One engine crashes, then fails each request faster than others serve.

        Least connections sends it ever more requests; our scheme ejects it with few
        retries.
        """
        got = figures("failing", deployment)
        least = figures("failing", deployment, "least")
        assert got["in_time"] > 0.96 > least["in_time"]
        assert got["extra_attempts"] < 0.1 < least["extra_attempts"]

    def test_retries_stay_within_the_budget(self, deployment):
        """Each engine breaks off three runs of ten, as after a faulty release."""
        got = figures("flaky", deployment)
        least = figures("flaky", deployment, "least")
        assert got["extra_attempts"] < 0.14 < least["extra_attempts"]
        assert got["interactive_in_time"] > least["interactive_in_time"]


class TestShares:
    def test_small_customers_keep_theirs_by_fair_shares(self):
        fair = figures("saturation", 1)["small_customers_in_time"]
        unfair = figures("saturation", 1, "unfair")["small_customers_in_time"]
        assert fair > unfair + 0.02


class TestFinalAtOnce:
    @BOTH
    def test_no_refusal_waits_for_the_deadline(self, deployment):
        """Guards against refusals that are delayed until the deadline.

        Callers would retry later, and the benchmark would show better figures for it.
        """
        measures = play("saturation", deployment)
        late = [s for s in measures.refusal_seconds if s > 4.0]
        assert len(measures.refusal_seconds) > 100
        assert len(late) < 0.02 * len(measures.refusal_seconds)


class TestModel:
    def test_same_seed_same_figures(self):
        play.cache_clear()
        once = figures("restarts", 0)
        play.cache_clear()
        assert figures("restarts", 0) == once
