"""Sizes of slices and caps."""

import pytest

from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.sizing import (
    SliceNeed,
    best_givers,
    exposure_cap,
    tokens_to_give_back,
    tokens_to_lend,
    tokens_to_take,
)
from ragwortkeel.configuration import Spread


def need(**fields):
    defaults = {
        "holding": 0,
        "demand": 600,
        "largest_request": 10,
        "ride_out_seconds": 60.0,
        "spread": Spread.WIDE,
    }
    return SliceNeed(**defaults | fields)


class TestTake:
    @pytest.mark.parametrize(
        ("prepaid", "spread", "taken"),
        [
            (100_000, Spread.WIDE, 1200),
            (100_000, Spread.NARROW, 600),
            (1000, Spread.WIDE, 1000),
            (1000, Spread.NARROW, 500),
            (7, Spread.WIDE, 7),
        ],
    )
    def test_slice_covers_an_outage_or_the_unspent_fraction(
        self, prepaid, spread, taken
    ):
        ledger = Ledger(prepaid=prepaid)
        assert tokens_to_take(ledger, router="r1", need=need(spread=spread)) == taken

    @pytest.mark.parametrize(
        ("spread", "taken"), [(Spread.WIDE, 500), (Spread.NARROW, 162)]
    )
    def test_share_is_equal_or_follows_demand(self, spread, taken):
        busy = Grant(granted=0, demand=1800)
        ledger = Ledger(prepaid=1000, grants={"r2": busy})
        assert tokens_to_take(ledger, router="r1", need=need(spread=spread)) == taken


class TestGiveBack:
    def test_idle_slice_keeps_one_request(self):
        ledger = Ledger(prepaid=1000, grants={"r1": Grant(granted=500)})
        idle = need(holding=500, demand=0)
        assert tokens_to_give_back(ledger, router="r1", need=idle) == 490

    def test_slice_near_its_target_gives_nothing_back(self):
        ledger = Ledger(prepaid=10_000, grants={"r1": Grant(granted=1300)})
        assert tokens_to_give_back(ledger, router="r1", need=need(holding=1300)) == 0

    def test_recalled_and_retired_budgets_get_slices_back(self):
        grants = {"r1": Grant(granted=900)}
        recalled = Ledger(prepaid=1000, grants=grants, recall_to=400)
        assert tokens_to_give_back(recalled, router="r1", need=need(holding=900)) == 500
        retired = Ledger(prepaid=1000, grants=grants, retired=True)
        assert tokens_to_give_back(retired, router="r1", need=need(holding=900)) == 900


class TestCap:
    def test_caps_allow_an_uneven_spend_of_the_slice(self):
        assert exposure_cap(holding=900, sidecars=3, need=need()) == 450

    def test_cap_allows_large_requests(self):
        assert exposure_cap(holding=0, sidecars=3, need=need()) == 40


class TestGiver:
    def test_holds_the_most_tokens_for_its_demand(self):
        grants = {
            "r1": Grant(granted=500),
            "r2": Grant(granted=500, demand=100),
            "r3": Grant(granted=50, demand=0),
            "r4": Grant(granted=900, sealed=True),
        }
        assert best_givers(Ledger(grants=grants), router="r1") == ["r3", "r2"]
        assert best_givers(Ledger(), router="r1") == []


class TestLend:
    @pytest.mark.parametrize(
        ("free", "own_lacks", "asker_lacks", "lent"),
        [
            (77, 43, 60, 60),
            (50, 70, 60, 50),
            (50, 30, 60, 0),
            (50, 60, 60, 0),
        ],
    )
    def test_callers_wait_at_both(self, free, own_lacks, asker_lacks, lent):
        """Guards against refusals at two routers that could serve one of the callers.

        A request of 120 tokens waits at a router with 77 free ones, and one of 60
        tokens waits at a router without any.
        """
        own = need(lacking=own_lacks, waiting=200)
        asker = need(lacking=asker_lacks, waiting=60)
        assert tokens_to_lend(free=free, own=own, asker=asker) == lent

    def test_idle_router_lends_in_proportion_to_demand(self):
        own, asker = need(holding=300, demand=100), need(demand=200, lacking=10)
        assert tokens_to_lend(free=300, own=own, asker=asker) == 200
        assert tokens_to_lend(free=300, own=own, asker=need(demand=0, lacking=10)) == 10
