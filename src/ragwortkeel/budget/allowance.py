"""Customers' prepaid budgets as one ingress process holds them: slices and loans.

What a dead process spent since it last told the ledger is not known.  Each
process therefore keeps its untold spend and open reservations under a cap that
stands in the ledger, and its successor on the same machine charges the cap.  A
fixed cap would have to hold a whole outage of the platform and would strand that
much at each kill; so it grows some time after the last write, at the rate of the
demand, and the successor charges what it can have grown to.  Both count to
the safe side: the process from its last *try* to write and by its slowest clock,
the successor up to its own start and by its fastest.  A process that is frozen,
cut off or killed thus can't lead to an overspend, and only its own successor ever
takes anything back.

A loan moves tokens between processes while the platform is away.  The lender
charges the whole loan as spent before it sends it, so a loan that is lost is
stranded, never spent twice.
"""

from collections.abc import Iterable
from dataclasses import replace
from itertools import count

import msgspec

from ragwortkeel.budget.account import Account
from ragwortkeel.budget.clocks import Reading, Stamp
from ragwortkeel.budget.predecessors import (
    Predecessor,
    close_predecessors,
    find_predecessors,
    is_predecessor,
)
from ragwortkeel.budget.shards import Shard
from ragwortkeel.budget.summary import restore_own_grant
from ragwortkeel.messages import HandedRenewals, RenewalsWritten, Start

HEADROOM_SECONDS = 0.5
"""Demand that a cap leaves room for at the least: one pause between renewals.  A
request beyond it waits 15 ms for the next.  All of it is charged for nothing where a
process dies: after a burst that ended with a loss of power 0.79 of 8.75 million
prepaid tokens were charged for caps and open requests, with 1.2 s 0.95 million."""

HEADROOM_RENEWALS = 2.5
"""The same in the time that a renewal takes, for hours in which the platform is
slow, or so many processes write that each has to try again: a cap that holds less
than the demand until the next renewal is done refuses callers whose tokens are
there."""

LONGEST_RENEWAL_SECONDS = 3.0
"""A renewal counts for so long at the most; a longer one was an outage, which the
growth of the caps is for."""

RENEWAL_WEIGHT = 0.4
"""Of the newest renewal: a slow platform shows after two or three."""

REQUEST_SIZE_WEIGHT = 0.05
"""Of the newest request in the mean size: some twenty requests count."""


class Allowances:
    """All customers' accounts at one process, and their renewal.

    Parameters
    ----------
    holder : str
        Incarnation of this process; a start under the same name is another one.
    started : Reading
        The clocks at the start of this process.

    Examples
    --------
    >>> reading = Reading(monotonic=0.0, boot=0.0, wall=0.0)
    >>> allowances = Allowances(holder="ingress-1/a", started=reading)
    >>> shard = Shard().provisioned({"surco": 1000}, revision=1)
    >>> allowances.record_demand("surco", 100, 0.0)
    >>> renewed = allowances.renewed(shard, reading)
    >>> allowances.resolve(renewed)
    >>> allowances.account("surco").free > 100
    True
    """

    def __init__(self, *, holder: str, started: Reading) -> None:
        self.holder = holder
        self._started = started
        self._account_by_customer: dict[str, Account] = {}
        self._nonces = count(1)
        self._mean_request_tokens = 0.0
        self._mean_renewal_seconds = 0.0

    def account(self, customer: str) -> Account:
        """Return the customer's account."""
        account = self._account_by_customer.get(customer)
        if account is None:
            account = Account(customer=customer, holder=self.holder)
            self._account_by_customer[customer] = account
        return account

    def resolve(self, shard: Shard) -> None:
        """Take over from the platform's shard what has taken effect there."""
        for name, ledger in shard.ledger_by_customer.items():
            self.account(name).resolve(ledger)

    def withdraw(self) -> None:
        """Drop the renewals that no write can bring about any more.

        Call it after `resolve`, with a shard of a later version than each write of
        them named: the platform refuses such a write whenever it comes.
        """
        for account in self._account_by_customer.values():
            if account.slice.pending is not None:
                account.slice.withdraw()

    def record_demand(self, customer: str, tokens: int, now: float) -> None:
        """Count the demand of a request, whether it is met or not."""
        self.account(customer).record_demand(tokens, now)
        self._mean_request_tokens += (
            tokens - self._mean_request_tokens
        ) * REQUEST_SIZE_WEIGHT

    def record_renewal_seconds(self, seconds: float) -> None:
        """Note the seconds that a renewal took, with all its tries."""
        seconds = min(seconds, LONGEST_RENEWAL_SECONDS)
        self._mean_renewal_seconds += (
            seconds - self._mean_renewal_seconds
        ) * RENEWAL_WEIGHT

    @property
    def headroom_seconds(self) -> float:
        """Demand that a cap leaves room for, in seconds."""
        return max(HEADROOM_SECONDS, HEADROOM_RENEWALS * self._mean_renewal_seconds)

    @property
    def holders(self) -> int:
        """Processes that the ledgers show, by the customer that most of them serve."""
        accounts = self._account_by_customer.values()
        return max((one.ledger.holders for one in accounts), default=0)

    def grow(self, elapsed_seconds: float) -> None:
        """Let all caps grow by the seconds since the last try to write."""
        for account in self._account_by_customer.values():
            account.grow(elapsed_seconds)

    def renewed(self, shard: Shard, reading: Reading) -> Shard:
        """Return the shard with all renewals that are due and a new stamp."""
        ledgers = dict(shard.ledger_by_customer)
        mean_request_tokens = int(self._mean_request_tokens)
        for name, ledger in shard.ledger_by_customer.items():
            account = self.account(name)
            nonce = str(next(self._nonces))
            due = account.propose(
                ledger,
                nonce=nonce,
                mean_request_tokens=mean_request_tokens,
                headroom_seconds=self.headroom_seconds,
                now=reading.monotonic,
            )
            if due:
                ledgers[name] = ledger.renew(account.slice.pending)
        stamps = shard.stamp_by_holder | {self.holder: reading.stamp}
        return msgspec.structs.replace(
            shard, ledger_by_customer=ledgers, stamp_by_holder=stamps
        )

    def delegate_renewals(
        self, reading: Reading, *, urgent: bool, start: Start | None = None
    ) -> HandedRenewals:
        """Return the renewals that are due, for a peer to write with its own.

        A process that has not charged its predecessors yet says by `start` how.
        """
        mean_request_tokens = int(self._mean_request_tokens)
        renewal_by_customer = {}
        wanted = []
        for name, account in self._account_by_customer.items():
            if account.in_demand(reading.monotonic):
                wanted.append(name)
            if not account.ledger_known:
                continue
            nonce = str(next(self._nonces))
            due = account.propose(
                account.ledger,
                nonce=nonce,
                mean_request_tokens=mean_request_tokens,
                headroom_seconds=self.headroom_seconds,
                now=reading.monotonic,
            )
            if due:
                renewal_by_customer[name] = account.slice.pending
        return HandedRenewals(
            holder=self.holder,
            stamp=reading.stamp,
            renewal_by_customer=renewal_by_customer,
            urgent=urgent,
            start=start,
            wanted=tuple(set(wanted) - renewal_by_customer.keys()),
        )

    def receive_written(self, answer: RenewalsWritten) -> None:
        """Take over what a peer wrote for this process, and what it then saw."""
        for name, summary in answer.summary_by_customer.items():
            account = self.account(name)
            grant = answer.grant_by_customer.get(name)
            own = grant or account.ledger.grants.get(self.holder)
            account.resolve(restore_own_grant(summary, router=self.holder, grant=own))

    def record_read(self, customers: Iterable[str], at: float) -> None:
        """Note that the ledgers known of these customers are of a monotonic second."""
        for name in customers:
            self.account(name).read_at = at

    def lacks_grants(self, customers: Iterable[str]) -> bool:
        """Whether a customer has no grant here yet, as after a start."""
        return any(not self.account(name).slice.in_ledger for name in customers)

    def charge_open(self) -> None:
        """Charge all open requests at their most: a stop cuts them."""
        for account in self._account_by_customer.values():
            account.charge_open()

    def closed(self, shard: Shard) -> Shard:
        """Return the shard without this process's grants, its spend charged.

        Call it only when no request is open, or after `charge_open`.
        """
        ledgers = dict(shard.ledger_by_customer)
        for name, account in self._account_by_customer.items():
            ledger = ledgers.get(name)
            if ledger is None or self.holder not in ledger.grants:
                continue
            pending = account.slice.pending
            if pending is not None:
                ledger = ledger.renew(pending)
                account.resolve(ledger)
            renewal = account.slice.propose(nonce="end", cap=0)
            ledgers[name] = ledger.close(renewal)
        return msgspec.structs.replace(
            shard,
            ledger_by_customer=ledgers,
            stamp_by_holder=_without_holder(shard.stamp_by_holder, self.holder),
        )

    def charge_predecessors(self, shard: Shard) -> Shard:
        """Return the shard without the grants of earlier starts of this process."""
        return close_predecessors(shard, self.predecessors(shard))

    def bound_start_time(self, reading: Reading) -> None:
        """Take over what a later reading says of the time when this one started."""
        if reading.latest is not None:
            since = reading.boot - self._started.boot
            self._started = replace(self._started, latest=reading.latest - since)

    def lacks_fleet_time(self, shard: Shard) -> bool:
        """Whether the fleet's time would tell more of how a predecessor died."""
        if self._started.latest is not None:
            return False
        return any(
            stamp.earliest is not None and stamp.rebooted(self._started)
            for holder, stamp in shard.stamp_by_holder.items()
            if is_predecessor(holder, successor=self.holder)
        )

    def predecessors(self, shard: Shard) -> list[Predecessor]:
        """Return the earlier starts of this process that still hold grants."""
        return find_predecessors(shard, holder=self.holder, started=self._started)

    def start(self, shard: Shard) -> Start:
        """Return what lets a peer charge the earlier starts of this process."""
        return Start(
            boot=self._started.boot,
            wall=self._started.wall,
            latest=self._started.latest,
            predecessors=tuple(one.holder for one in self.predecessors(shard)),
        )


def _without_holder(stamps: dict[str, Stamp], holder: str) -> dict[str, Stamp]:
    return {name: stamp for name, stamp in stamps.items() if name != holder}
