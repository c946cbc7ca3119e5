"""The last tokens of a budget reach the callers that need them in a fleet of any size.

Many processes serve budgets of a few dozen requests; the requests differ widely in size
and arrive at any process.
"""

from random import Random

import pytest
from tests.budget.fleet_model import Fleet, Request

LARGEST_REQUEST = 30_000
LARGE = (9_000, 12_400, 12_400, 20_000, LARGEST_REQUEST)
SMALL = (900, 1_500, 2_400, 6_000)
CUSTOMERS = 3
PREPAID = 500_000
REQUESTS_PER_SECOND = 15.0
SECONDS = 30.0


def run_load(*, processes, seed):
    """Return the fleet after requests for more tokens than its customers prepaid."""
    prepaid = {f"customer-{n}": PREPAID for n in range(CUSTOMERS)}
    fleet = Fleet(processes=processes, prepaid=prepaid, seed=seed)
    random = Random(seed)
    next_arrival_at = 0.0
    while fleet.now < SECONDS:
        while next_arrival_at <= fleet.now:
            next_arrival_at += random.expovariate(REQUESTS_PER_SECOND)
            tokens = random.choice(LARGE if random.random() < 0.25 else SMALL)
            fleet.arrive(
                Request(
                    customer=f"customer-{random.randrange(CUSTOMERS)}",
                    tokens=tokens,
                    spent=int(tokens * 0.93),
                    seconds=0.3 + tokens / 20_000,
                    arrived_at=fleet.now,
                )
            )
        fleet.step()
    return fleet


@pytest.mark.parametrize("processes", [5, 68])
def test_the_unspent_end_of_a_budget_is_smaller_than_a_request(processes):
    """Guards against refusals while a tenth of the tokens is in other slices.

    Each of dozens of processes holds too few tokens for any request.
    """
    unspent = []
    for seed in (1, 2):
        ledgers = run_load(processes=processes, seed=seed).shard.ledger_by_customer
        unspent += [one.prepaid - one.total_spent for one in ledgers.values()]
    assert sum(unspent) / len(unspent) < LARGEST_REQUEST / 2


def test_no_budget_is_overspent():
    fleet = run_load(processes=68, seed=3)
    for ledger in fleet.shard.ledger_by_customer.values():
        assert ledger.total_spent <= ledger.prepaid
        assert ledger.held <= ledger.prepaid
