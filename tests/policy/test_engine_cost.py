import pytest

from ragwortkeel.policy.engine_cost import engine_cost, plain_cost

ENGINE = {
    "prompt_tokens": 900,
    "shared_tokens": 500,
    "held_tokens": 100,
    "unread_tokens": 300,
    "running": 2,
}


def test_slowness_multiplies_reading_and_running():
    """Guards against a slow engine that gets as much work as a fast one."""
    cost = engine_cost(**ENGINE, own_zone=True)
    assert cost == 800 + 3 * 400 + 300 + 2 * 250
    assert engine_cost(**ENGINE, own_zone=True, slowness=1.3) == pytest.approx(
        1.3 * cost
    )


def test_an_idle_slow_plain_upstream_costs_more_than_an_idle_fast_one():
    """Guards against slow answers while most upstreams are idle."""
    slow = plain_cost(running=0, slots=6, own_zone=True, slowness=3.5)
    fast = plain_cost(running=2, slots=6, own_zone=True, slowness=1.0)
    assert slow > fast


def test_without_slowness_an_idle_upstream_of_the_own_zone_costs_nothing():
    assert plain_cost(running=0, slots=6, own_zone=True) == 0.0
    assert plain_cost(running=3, slots=6, own_zone=False) == pytest.approx(3.05 / 6)
