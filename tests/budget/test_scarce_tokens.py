"""Tokens that are left reach the callers who need them, however large the fleet.

Pattern of load: many processes, budgets that last for a few dozen requests, requests
of very different sizes that arrive anywhere.
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


def play(*, processes, seed):
    """Return the fleet after its customers have asked for more than they prepaid."""
    prepaid = {f"customer-{n}": PREPAID for n in range(CUSTOMERS)}
    fleet = Fleet(processes=processes, prepaid=prepaid, seed=seed)
    random = Random(seed)
    arrives = 0.0
    while fleet.now < SECONDS:
        while arrives <= fleet.now:
            arrives += random.expovariate(REQUESTS_PER_SECOND)
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
def test_what_is_left_of_a_budget_is_less_than_a_request(processes):
    """Callers were refused while a tenth of their tokens lay in other slices.

    Each of dozens of processes held a part too small for any request.
    """
    left = []
    for seed in (1, 2):
        ledgers = play(processes=processes, seed=seed).shard.ledger_by_customer
        left += [one.prepaid - one.total_spent for one in ledgers.values()]
    assert sum(left) / len(left) < LARGEST_REQUEST / 2


def test_no_budget_is_overspent():
    fleet = play(processes=68, seed=3)
    for ledger in fleet.shard.ledger_by_customer.values():
        assert ledger.total_spent <= ledger.prepaid
        assert ledger.held <= ledger.prepaid
