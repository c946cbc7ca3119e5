"""Customers' prepaid budgets at one ingress process: slices, caps and loans.

What a crashed process spent since its last report to the ledger is unknown.  Each
process therefore keeps its unreported spend and open reservations under a cap that the
ledger records, and its successor on the same instance charges the cap.  A fixed cap
would have to cover a full outage of the platform, and each crash would strand that
much.  So the cap grows from some time after the last write on, at the rate of the
demand, and the successor charges what it can have grown to.  Both count on the safe
side: the process from its last *attempt* to write and by its slowest clock, the
successor up to its own start and by its fastest clock.  So a process that is suspended,
disconnected or killed can't cause an overspend.  The growth has an end, so that other
processes can close the grants of one that has no successor, see
`budget.gone_holders`.

A loan moves tokens between processes while the platform is unreachable.  The lender
charges the loan as spent before it sends it, so a lost loan is stranded and never spent
twice.
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
"""Demand that the headroom of a cap covers at least: one interval between renewals.

A request beyond it waits 15 ms for the next renewal.  A crash of the process charges
all headroom without use: a loss of power after a burst, for example, charges 0.79
million of 8.75 million prepaid tokens for caps and open requests, and 0.95 million with
headroom for 1.2 s.
"""

HEADROOM_RENEWALS = 2.5
"""Demand that the headroom of a cap covers at least, in durations of a renewal.

It matters while the platform is slow, or while many processes write and retry: a cap
below the demand until the next renewal ends refuses callers whose tokens are available.
"""

LONGEST_RENEWAL_SECONDS = 3.0
"""Longest duration with which a renewal counts in the mean.

Longer renewals are outages, for which the caps grow.
"""

RENEWAL_WEIGHT = 0.4
"""Weight of the newest renewal in the mean duration.

A slow platform shows in the mean after two or three renewals.
"""

REQUEST_SIZE_WEIGHT = 0.05
"""Weight of the newest request in the mean size; about 20 requests count."""


class Allowances:
    """All customers' accounts at one process, and their renewals.

    Parameters
    ----------
    holder : str
        Incarnation of this process; each start of it is another incarnation.
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
        self._first_holder = holder
        self._restarts = 0
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
        """Accept the pending renewals that have taken effect in the shard."""
        for name, ledger in shard.ledger_by_customer.items():
            self.account(name).resolve(ledger)

    def withdraw(self) -> None:
        """Discard the pending renewals, which no write can apply any more.

        Call it after `resolve`, with a shard of a later version than each of their
        writes names: the platform refuses such a write whenever it arrives.
        """
        for account in self._account_by_customer.values():
            if account.slice.pending is not None:
                account.slice.withdraw()

    def record_demand(self, customer: str, tokens: int, now: float) -> None:
        """Add a request's tokens to the demand, whether it is served or refused."""
        self.account(customer).record_demand(tokens, now)
        self._mean_request_tokens += (
            tokens - self._mean_request_tokens
        ) * REQUEST_SIZE_WEIGHT

    def record_renewal_seconds(self, seconds: float) -> None:
        """Record the duration of a renewal, all its attempts included."""
        seconds = min(seconds, LONGEST_RENEWAL_SECONDS)
        self._mean_renewal_seconds += (
            seconds - self._mean_renewal_seconds
        ) * RENEWAL_WEIGHT

    @property
    def headroom_seconds(self) -> float:
        """Demand that the headroom of a cap covers, in seconds."""
        return max(HEADROOM_SECONDS, HEADROOM_RENEWALS * self._mean_renewal_seconds)

    @property
    def holders(self) -> int:
        """Number of processes in the ledger that names most of them."""
        accounts = self._account_by_customer.values()
        return max((account.ledger.holders for account in accounts), default=0)

    def grow(self, elapsed_seconds: float) -> None:
        """Set the growth of all caps by the seconds since the last attempt to write."""
        for account in self._account_by_customer.values():
            account.grow(elapsed_seconds)

    def renewed(self, shard: Shard, reading: Reading) -> Shard:
        """Return the shard with all due renewals and a new stamp of this process."""
        self._restart_growth()
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
        """Return the due renewals, for a peer to write together with its own.

        `start` lets the peer charge the predecessors of this process, if this process
        has not charged them yet.
        """
        self._restart_growth()
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
        """Apply a peer's reply: the grants that it wrote and its ledger summaries."""
        for name, summary in answer.summary_by_customer.items():
            account = self.account(name)
            grant = answer.grant_by_customer.get(name)
            own = grant or account.ledger.grants.get(self.holder)
            account.resolve(restore_own_grant(summary, router=self.holder, grant=own))

    def record_read(self, customers: Iterable[str], at: float) -> None:
        """Record the monotonic second at which these customers' ledgers were read."""
        for name in customers:
            self.account(name).read_at = at

    def lacks_grants(self, customers: Iterable[str]) -> bool:
        """Return whether any customer has no grant here yet, as after a start."""
        return any(not self.account(name).slice.in_ledger for name in customers)

    def charge_open(self) -> None:
        """Charge all open requests their reservations, as a stop cuts them."""
        for account in self._account_by_customer.values():
            account.charge_open()

    def closed(self, shard: Shard) -> Shard:
        """Return the shard with this process's grants closed and its spend charged.

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
        """Return the shard with earlier starts of this process charged and closed."""
        return close_predecessors(shard, self.predecessors(shard))

    def bound_start_time(self, reading: Reading) -> None:
        """Bound the fleet time of this process's start by a later reading."""
        if reading.latest is not None:
            since = reading.boot - self._started.boot
            self._started = replace(self._started, latest=reading.latest - since)

    def lacks_fleet_time(self, shard: Shard) -> bool:
        """Return whether fleet time is missing and would bound a predecessor's age."""
        if self._started.latest is not None:
            return False
        return any(
            stamp.earliest is not None and stamp.rebooted(self._started)
            for holder, stamp in shard.stamp_by_holder.items()
            if is_predecessor(holder, successor=self.holder)
        )

    def predecessors(self, shard: Shard) -> list[Predecessor]:
        """Return the earlier starts of this process that hold grants or a stamp."""
        return find_predecessors(shard, holder=self.holder, started=self._started)

    def lost_grants(self, shard: Shard) -> bool:
        """Return whether other processes have closed grants of this process."""
        return any(
            account.slice.in_ledger
            and name in shard.ledger_by_customer
            and self.holder not in shard.ledger_by_customer[name].grants
            for name, account in self._account_by_customer.items()
        )

    def begin_again(self, reading: Reading) -> None:
        """Go on as a new start of this process, which holds no tokens but loans.

        Renewals of the earlier one that are still in transit can't be taken for those
        of this one, and any grant that they make is charged as a predecessor's.
        """
        self._restarts += 1
        self.holder = f"{self._first_holder}.{self._restarts}"
        self._started = reading
        for account in self._account_by_customer.values():
            account.begin_again(self.holder)

    def _restart_growth(self) -> None:
        """Restart the growth of all caps, as the next stamp does in the ledgers.

        That includes caps that are not renewed with the stamp.
        """
        self.grow(0.0)

    def start(self, shard: Shard) -> Start:
        """Return what lets a peer charge the earlier starts of this process."""
        return Start(
            boot=self._started.boot,
            wall=self._started.wall,
            latest=self._started.latest,
            predecessors=tuple(entry.holder for entry in self.predecessors(shard)),
        )


def _without_holder(stamps: dict[str, Stamp], holder: str) -> dict[str, Stamp]:
    return {name: stamp for name, stamp in stamps.items() if name != holder}
