"""Processes, instances and the platform for random walks over ingress budgets."""

from collections import Counter
from dataclasses import dataclass, field

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.delegation import apply_delegated
from ragwortkeel.budget.gone_holders import HolderWatch, close_gone
from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import LedgerError, RenewalVoid, RouterSealed
from ragwortkeel.messages import HandedRenewals, RenewalsWritten, WriteOutcome

CUSTOMER = "surco"
OTHER = "maule"
PREPAID = {CUSTOMER: 4_000, OTHER: 900}


@dataclass
class Write:
    """A conditional write in transit, which may arrive late."""

    version: int
    shard: Shard


@dataclass
class Closing:
    """Grants of one customer that a write closed, and what it charged for them."""

    customer: str
    holders: set[str]
    charged: int


@dataclass
class Instance:
    """An instance, its clocks and the process that runs on it."""

    name: str
    starts: int = 0
    suspended: float = 0.0
    booted_at: float = 0.0
    wall_offset: float = 0.0
    allowances: Allowances | None = None
    merged: bool = False
    attempted_at: Reading | None = None
    read: tuple[int, Shard] | None = None
    attempted_version: int = 0
    has_fleet_time: bool = True
    clock_waits_left: int = 0
    open_reservations: list = field(default_factory=list)
    delegated_boots: set = field(default_factory=set)
    delegated_starts: set = field(default_factory=set)
    seen_shard: Shard | None = None
    watch: HolderWatch = field(default_factory=HolderWatch)

    def discard_messages_until(self, boot):
        """Discard messages up to this boot time, which can't be written any more."""
        self.delegated_boots = {other for other in self.delegated_boots if other > boot}

    def reading(self, now):
        # At least one clock of the fleet is right.
        return Reading(
            monotonic=now - self.booted_at - self.suspended,
            boot=now - self.booted_at,
            wall=now + self.wall_offset,
            earliest=now + min(0.0, self.wall_offset) if self.has_fleet_time else None,
            latest=now + max(0.0, self.wall_offset) if self.has_fleet_time else None,
        )

    def start(self, now):
        self.starts += 1
        self.allowances = Allowances(
            holder=f"{self.name}/{self.starts}", started=self.reading(now)
        )
        self.merged = False
        self.clock_waits_left = 2
        self.attempted_at = None
        self.read = None
        self.attempted_version = 0
        self.open_reservations = []
        self.delegated_boots = set()
        self.delegated_starts = set()
        self.seen_shard = None
        self.watch = HolderWatch()

    def begin_again(self, now):
        """Abandon the grants, which another process has closed."""
        self.allowances.begin_again(self.reading(now))
        self.merged = False
        self.clock_waits_left = 2
        self.attempted_at = None
        self.delegated_boots = set()
        self.delegated_starts = set()

    def crash(self):
        self.allowances = None
        self.open_reservations = []


class AllowanceWorld:
    """A fleet that counts the spend of all runs independently of the ledgers.

    A run counts with its reservation, as the upstream may complete it after a crash of
    the process; a settlement that the process still makes corrects that.
    """

    def __init__(
        self,
        instances=3,
        *,
        ignores_growth=False,
        counts_from_success=False,
        withdraws_at_once=False,
    ):
        self.now = 10.0
        self.version = 0
        self.shard = None
        self.late_writes: list[Write] = []
        self.late_messages: list[tuple[Instance, HandedRenewals]] = []
        self.revision = 1
        self.prepaid = dict(PREPAID)
        self.highest_prepaid = dict(PREPAID)
        self.spent = dict.fromkeys(PREPAID, 0)
        self.committed = Counter()
        self.closings: list[Closing] = []
        self.instances = [Instance(name=f"m{i}") for i in range(instances)]
        self.ignores_growth = ignores_growth
        self.counts_from_success = counts_from_success
        self.withdraws_at_once = withdraws_at_once
        for instance in self.instances:
            instance.start(self.now)

    def live(self):
        return [each for each in self.instances if each.allowances is not None]

    # Events at a process.

    def reserve(self, instance, customer, tokens):
        instance.allowances.record_demand(
            customer, tokens, instance.reading(self.now).monotonic
        )
        account = instance.allowances.account(customer)
        reservation = account.reserve(tokens)
        if reservation is None:
            self.grow(instance)
            reservation = account.reserve(tokens)
        if reservation is None:
            account.waiting_tokens = tokens
            return False
        account.waiting_tokens = 0
        instance.open_reservations.append(reservation)
        self.spent[customer] += tokens
        self.commit(reservation, tokens - reservation.borrowed)
        return True

    def commit(self, reservation, tokens):
        """Count tokens of a slice; negative ones are not spent after all."""
        if reservation.slice_reservation is not None:
            holder = reservation.slice_reservation.router
            self.committed[holder, reservation.customer] += tokens

    def settle(self, instance, share):
        reservation = instance.open_reservations.pop()
        spent = int(reservation.tokens * share)
        instance.allowances.account(reservation.customer).settle(
            reservation, spent=spent
        )
        self.spent[reservation.customer] -= reservation.tokens - spent
        reserved = reservation.tokens - reservation.borrowed
        self.commit(reservation, max(0, spent - reservation.borrowed) - reserved)

    def lend(self, lender, asker, customer, *, arrives):
        need = asker.allowances.account(customer).slice_need(0.0)
        if not need.lacking:
            return
        self.grow(lender)
        reading = lender.reading(self.now)
        tokens = lender.allowances.account(customer).lend(need, reading.monotonic)
        self.committed[lender.allowances.holder, customer] += tokens
        if arrives:
            asker.allowances.account(customer).borrow(tokens)

    def grow(self, instance):
        if instance.attempted_at is not None:
            reading = instance.reading(self.now)
            instance.allowances.grow(reading.min_seconds_since(instance.attempted_at))

    # Renewals, in steps between which any other event may occur.

    def read_ledger(self, instance):
        instance.read = (self.version, self.shard or Shard())
        instance.seen_shard = self.shard
        instance.allowances.resolve(instance.read[1])
        if instance.allowances.lost_grants(instance.read[1]):
            instance.begin_again(self.now)
        outran = (
            self.version > instance.attempted_version and not instance.delegated_boots
        )
        if outran or self.withdraws_at_once:
            instance.allowances.withdraw()

    def write_ledger(self, instance, fate):
        """Send the write.

        `fate` is done, refused, lost (applied, but the answer is lost) or late.
        """
        if instance.read is None:
            return
        version, shard = instance.read
        instance.read = None
        instance.attempted_version = version
        reading = instance.reading(self.now)
        renewed = shard.provisioned(self.prepaid, self.revision)
        instance.allowances.bound_start_time(reading)
        merges = not instance.merged and (
            instance.clock_waits_left <= 0
            or not instance.allowances.lacks_fleet_time(renewed)
        )
        instance.clock_waits_left -= 1
        if merges:
            renewed = instance.allowances.charge_predecessors(renewed)
        try:
            renewed = instance.allowances.renewed(renewed, reading)
        except RouterSealed:
            return
        gone = instance.watch.gone(
            renewed, holder=instance.allowances.holder, reading=reading
        )
        renewed = close_gone(renewed, gone)
        if fate == "refused":
            return
        if not self.counts_from_success:
            instance.attempted_at = reading
        write = Write(version=version, shard=renewed)
        if fate == "late":
            self.late_writes.append(write)
            return
        done = self.apply(write)
        if done and fate == "done":
            instance.allowances.resolve(renewed)
            instance.discard_messages_until(reading.boot)
            instance.merged = instance.merged or merges
            instance.attempted_at = reading

    def delegate(self, instance, fate):
        """Send renewals to a peer; `fate` is done, refused, lost or late.

        Refused and lost renewals are never written; only of refused ones the sender
        gets a reply.
        """
        reading = instance.reading(self.now)
        if instance.seen_shard is None or reading.boot in instance.delegated_boots:
            return
        start = None
        if not instance.merged:
            instance.allowances.bound_start_time(reading)
            instance.clock_waits_left -= 1
            if instance.clock_waits_left > 0 and instance.allowances.lacks_fleet_time(
                instance.seen_shard
            ):
                return
            start = instance.allowances.start(instance.seen_shard)
            instance.delegated_starts.add(reading.boot)
        delegated = instance.allowances.delegate_renewals(
            reading, urgent=False, start=start
        )
        instance.attempted_at = reading
        instance.delegated_boots.add(reading.boot)
        match fate:
            case "refused":
                instance.delegated_boots.discard(reading.boot)
            case "late":
                self.late_messages.append((instance, delegated))
            case "done":
                self.write_for(instance, delegated)

    def write_for(self, instance, delegated, *, answers=True):
        """Let a peer write renewals that it received, at the newest version."""
        try:
            shard = apply_delegated(self.shard, delegated)
        except (RenewalVoid, RouterSealed, LedgerError):
            return
        self.apply(Write(version=self.version, shard=shard))
        live_allowances = instance.allowances
        if (
            not answers
            or live_allowances is None
            or live_allowances.holder != delegated.holder
        ):
            return
        live_allowances.receive_written(
            RenewalsWritten(
                boot=delegated.stamp.boot,
                outcome=WriteOutcome.DONE,
                grant_by_customer={
                    name: shard.ledger_by_customer[name].grants[delegated.holder]
                    for name in delegated.renewal_by_customer
                },
                summary_by_customer=shard.summaries(),
            )
        )
        instance.merged = (
            instance.merged or delegated.stamp.boot in instance.delegated_starts
        )
        instance.discard_messages_until(delegated.stamp.boot)

    def close(self, instance):
        """Stop a process as planned; open requests are charged their reservations."""
        instance.allowances.charge_open()
        self.read_ledger(instance)
        version, shard = instance.read
        self.apply(Write(version=version, shard=instance.allowances.closed(shard)))
        instance.crash()

    def close_grants(self, name):
        """Let any process close the grants of an instance, which may be live."""
        shard = self.shard or Shard()
        holders = [each for each in shard.stamp_by_holder if _is_on(each, name)]
        self.apply(Write(version=self.version, shard=close_gone(shard, holders)))

    def apply(self, write):
        if write.version != self.version:
            return False
        self.version += 1
        before, self.shard = self.shard or Shard(), write.shard
        for customer, ledger in before.ledger_by_customer.items():
            after = write.shard.ledger_by_customer[customer]
            closed = ledger.grants.keys() - after.grants.keys()
            if closed:
                charged = after.spent - ledger.spent
                self.closings.append(
                    Closing(customer=customer, holders=closed, charged=charged)
                )
        return True

    # Instances, clocks and operators.

    def restart(self, instance, *, power_lost, boot=0.0):
        instance.crash()
        if power_lost:
            instance.booted_at = self.now - boot
            instance.suspended = 0.0
        instance.start(self.now)
        if self.ignores_growth:
            reading = instance.reading(self.now)
            instance.allowances.charge_predecessors = lambda shard: _trusting(
                instance.allowances, shard, reading
            )

    def top_up(self, customer, tokens):
        self.prepaid = self.prepaid | {customer: self.prepaid[customer] + tokens}
        self.revision += 1

    # Invariants.

    def dead_grants(self):
        """Return the grants of processes that have ended, as (customer, holder)."""
        live = {instance.allowances.holder for instance in self.live()}
        return {
            (customer, holder)
            for customer, ledger in (self.shard or Shard()).ledger_by_customer.items()
            for holder in ledger.grants.keys() - live
        }

    def check(self):
        for customer, spent in self.spent.items():
            assert spent <= self.prepaid[customer], (customer, spent)
        for customer, ledger in (self.shard or Shard()).ledger_by_customer.items():
            assert ledger.held <= ledger.prepaid
            for holder, grant in ledger.grants.items():
                assert self.committed[holder, customer] <= grant.granted + sum(
                    closing.charged
                    for closing in self.closings
                    if closing.customer == customer and holder in closing.holders
                )
        for closing in self.closings:
            if self._is_last_of(closing):
                committed = sum(
                    self.committed[holder, closing.customer]
                    for holder in closing.holders
                )
                assert committed <= closing.charged, closing

    def _is_last_of(self, closing):
        """Return whether these grants were never closed before or opened since."""
        grants = self.shard.ledger_by_customer[closing.customer].grants
        others = [each for each in self.closings if each is not closing]
        return closing.holders.isdisjoint(grants) and all(
            each.customer != closing.customer
            or closing.holders.isdisjoint(each.holders)
            for each in others
        )


def _is_on(holder, name):
    return holder.partition("/")[0] == name


def _trusting(allowances, shard, reading):
    """Charge predecessors as if each had crashed right after its last write."""
    young = {
        holder: stamp.__class__(boot=reading.boot, wall=reading.wall)
        for holder, stamp in shard.stamp_by_holder.items()
    }
    fresh = shard.__class__(
        revision=shard.revision,
        ledger_by_customer=shard.ledger_by_customer,
        stamp_by_holder=young,
    )
    return Allowances.charge_predecessors(allowances, fresh)
