"""A model of a fleet of processes that serve requests from shared budgets.

There is no network.  One process writes the ledgers for all at a fixed interval, as in
`budget.write_order`, and each request waits for tokens if its process has too few.
Time advances in steps, and a seeded generator supplies all randomness.
"""

from dataclasses import dataclass, field
from random import Random

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.delegation import apply_delegated
from ragwortkeel.budget.shards import Shard
from ragwortkeel.messages import RenewalsWritten, Start, WriteOutcome

WRITE_INTERVAL_SECONDS = 0.04
"""Interval between writes of the ledgers while callers wait."""

WAIT_SECONDS = 0.7
"""Longest wait of a request for tokens."""


@dataclass(kw_only=True)
class Request:
    """A request, with the tokens that it reserves and spends."""

    customer: str
    tokens: int
    spent: int
    seconds: float
    arrived_at: float
    reservation: object = None
    ends_at: float = 0.0


@dataclass(kw_only=True)
class Result:
    """The outcomes of all requests."""

    served: int = 0
    refused: int = 0
    refused_despite_tokens: int = 0
    waited_seconds: list = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Loss:
    """The tokens of one customer at a loss of power of all processes.

    `open` were reserved for requests that were cut, `unreported` were spent without a
    report to the ledger, and `charged` are those that the ledger charged for both.
    """

    unspent: int
    open: int
    unreported: int
    charged: int

    @property
    def unused_charge(self) -> int:
        """Tokens that were charged and that no request can have spent."""
        return self.charged - self.open - self.unreported


class Fleet:
    """Processes that hold slices of the same ledgers."""

    def __init__(self, *, processes: int, prepaid: dict[str, int], seed: int) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.prepaid = prepaid
        self.shard = Shard().provisioned(prepaid, 1)
        self.result = Result()
        self.waiting = []
        self.running = []
        self.booted_at = 0.0
        self.starts = 0
        self.allowances = []
        self._start(processes)

    def _start(self, processes):
        self.starts += 1
        self.allowances = [
            Allowances(holder=f"i{n}/{self.starts}", started=self.reading())
            for n in range(processes)
        ]
        for one in self.allowances:
            one.resolve(self.shard)
            self._renew(one, start=one.start(self.shard))

    def reading(self):
        """Return all clocks, with the fleet time known to a tenth of a second."""
        wall = self.now + 1000.0
        return Reading(
            monotonic=self.now,
            boot=self.now - self.booted_at + 1.0,
            wall=wall,
            earliest=wall - 0.05,
            latest=wall + 0.05,
        )

    def lose_power(self, *, seconds: float) -> dict[str, Loss]:
        """Restart all processes, and return each customer's loss."""
        accounts_by_customer = {
            name: [one.account(name) for one in self.allowances]
            for name in self.prepaid
        }
        before = self.shard.ledger_by_customer
        self.running, self.waiting = [], []
        self.now += seconds
        self.booted_at = self.now
        self._start(len(self.allowances))
        return {
            name: Loss(
                unspent=before[name].prepaid - before[name].total_spent,
                open=sum(one.slice.reserved for one in accounts),
                unreported=sum(one.slice.unsettled for one in accounts),
                charged=self.shard.ledger_by_customer[name].total_spent
                - before[name].total_spent,
            )
            for name, accounts in accounts_by_customer.items()
        }

    def arrive(self, request):
        """Send a request to a random process."""
        index = self.random.randrange(len(self.allowances))
        allowances = self.allowances[index]
        allowances.record_demand(request.customer, request.tokens, self.now)
        if not self._reserve(index, request):
            allowances.account(request.customer).waiting_tokens += request.tokens
            self.waiting.append((index, request))

    def step(self):
        """Advance the time to the next write of the ledgers."""
        self.now += WRITE_INTERVAL_SECONDS
        for index, request in [
            one for one in self.running if one[1].ends_at <= self.now
        ]:
            self.running.remove((index, request))
            account = self.allowances[index].account(request.customer)
            account.settle(request.reservation, spent=request.spent)
        write_count = round(self.now / WRITE_INTERVAL_SECONDS)
        waiting_indexes = {index for index, _ in self.waiting}
        for index, one in enumerate(self.allowances):
            if index in waiting_indexes or (write_count + index) % 12 == 0:
                self._renew(one)
        for index, request in list(self.waiting):
            account = self.allowances[index].account(request.customer)
            late = self.now - request.arrived_at > WAIT_SECONDS
            if not self._reserve(index, request) and not late:
                continue
            account.waiting_tokens -= request.tokens
            self.waiting.remove((index, request))
            if request.reservation is None:
                self._refuse(request)

    def _reserve(self, index, request):
        account = self.allowances[index].account(request.customer)
        request.reservation = account.reserve(request.tokens)
        if request.reservation is None:
            return False
        request.ends_at = self.now + request.seconds
        self.running.append((index, request))
        self.result.served += 1
        self.result.waited_seconds.append(self.now - request.arrived_at)
        return True

    def _refuse(self, request):
        self.result.refused += 1
        ledger = self.shard.ledger_by_customer[request.customer]
        held = sum(
            one.tokens for _, one in self.running if one.customer == request.customer
        )
        if ledger.prepaid - ledger.total_spent - held >= request.tokens:
            self.result.refused_despite_tokens += 1

    def _renew(self, allowances, *, start: Start | None = None):
        reading = self.reading()
        delegated = allowances.delegate_renewals(reading, urgent=False, start=start)
        self.shard = apply_delegated(self.shard, delegated)
        allowances.receive_written(
            RenewalsWritten(
                boot=delegated.stamp.boot,
                outcome=WriteOutcome.DONE,
                grant_by_customer={
                    name: self.shard.ledger_by_customer[name].grants[delegated.holder]
                    for name in delegated.renewal_by_customer
                },
                summary_by_customer=self.shard.summaries(),
            )
        )
