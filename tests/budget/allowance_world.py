"""The processes, their machines and the platform of the random walks over budgets."""

from dataclasses import dataclass, field

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.delegation import apply_delegated
from ragwortkeel.budget.shards import Shard
from ragwortkeel.exceptions import LedgerError, RenewalVoid, RouterSealed
from ragwortkeel.messages import HandedRenewals, RenewalsWritten, WriteOutcome

CUSTOMER = "surco"
OTHER = "maule"
PREPAID = {CUSTOMER: 4_000, OTHER: 900}


@dataclass
class Write:
    """A conditional write that is on its way, or was lost and comes late."""

    version: int
    shard: Shard


@dataclass
class Machine:
    """An instance: its clocks, and the process that runs on it now."""

    name: str
    starts: int = 0
    suspended: float = 0.0
    booted_at: float = 0.0
    wall_off: float = 0.0
    allowances: Allowances | None = None
    merged: bool = False
    tried_at: Reading | None = None
    read: tuple[int, Shard] | None = None
    tried_version: int = 0
    hears: bool = True
    patience: int = 0
    open_holds: list = field(default_factory=list)
    handed_boots: set = field(default_factory=set)
    starts_handed: set = field(default_factory=set)
    seen: Shard | None = None

    def void(self, boot):
        """Forget messages made up to here: none of them can be written any more."""
        self.handed_boots = {made for made in self.handed_boots if made > boot}

    def reading(self, now):
        # Of the clocks that the fleet shows one at least is right.
        return Reading(
            monotonic=now - self.booted_at - self.suspended,
            boot=now - self.booted_at,
            wall=now + self.wall_off,
            earliest=now + min(0.0, self.wall_off) if self.hears else None,
            latest=now + max(0.0, self.wall_off) if self.hears else None,
        )

    def start(self, now):
        self.starts += 1
        self.allowances = Allowances(
            holder=f"{self.name}/{self.starts}", started=self.reading(now)
        )
        self.merged = False
        self.patience = 2
        self.tried_at = None
        self.read = None
        self.tried_version = 0
        self.open_holds = []
        self.handed_boots = set()
        self.starts_handed = set()
        self.seen = None

    def die(self):
        self.allowances = None
        self.open_holds = []


class AllowanceWorld:
    """Counts what truly ran, beside what the ledgers say.

    A run takes effect when it is reserved, as the upstream may do all of it while
    its process is dead; a settle that the process still sees corrects it.
    """

    def __init__(
        self,
        machines=3,
        *,
        forgets_growth=False,
        counts_from_done=False,
        withdraws_at_once=False,
    ):
        self.now = 10.0
        self.version = 0
        self.shard = None
        self.late: list[Write] = []
        self.late_messages: list[tuple[Machine, HandedRenewals]] = []
        self.revision = 1
        self.prepaid = dict(PREPAID)
        self.highest_prepaid = dict(PREPAID)
        self.spent = dict.fromkeys(PREPAID, 0)
        self.machines = [Machine(name=f"m{i}") for i in range(machines)]
        self.forgets_growth = forgets_growth
        self.counts_from_done = counts_from_done
        self.withdraws_at_once = withdraws_at_once
        for machine in self.machines:
            machine.start(self.now)

    def live(self):
        return [m for m in self.machines if m.allowances is not None]

    # What happens to a process.

    def reserve(self, machine, customer, tokens):
        machine.allowances.record_demand(
            customer, tokens, machine.reading(self.now).monotonic
        )
        self.grow(machine)
        account = machine.allowances.account(customer)
        hold = account.reserve(tokens)
        if hold is None:
            account.waiting_tokens = tokens
            return False
        account.waiting_tokens = 0
        machine.open_holds.append(hold)
        self.spent[customer] += tokens
        return True

    def settle(self, machine, share):
        hold = machine.open_holds.pop()
        spent = int(hold.tokens * share)
        machine.allowances.account(hold.customer).settle(hold, spent=spent)
        self.spent[hold.customer] -= hold.tokens - spent

    def lend(self, lender, asker, customer, *, arrives):
        need = asker.allowances.account(customer).need(0.0)
        if not need.lacking:
            return
        self.grow(lender)
        reading = lender.reading(self.now)
        tokens = lender.allowances.account(customer).lend(need, reading.monotonic)
        if arrives:
            asker.allowances.account(customer).borrow(tokens)

    def grow(self, machine):
        if machine.tried_at is not None:
            reading = machine.reading(self.now)
            machine.allowances.grow(reading.min_seconds_since(machine.tried_at))

    # Renewals, in the steps between which anything may happen.

    def read_ledger(self, machine):
        machine.read = (self.version, self.shard or Shard())
        machine.seen = self.shard
        machine.allowances.resolve(machine.read[1])
        outran = self.version > machine.tried_version and not machine.handed_boots
        if outran or self.withdraws_at_once:
            machine.allowances.withdraw()

    def write_ledger(self, machine, fate):
        """Send the write; `fate` is done, refused, lost or late."""
        if machine.read is None:
            return
        version, shard = machine.read
        machine.read = None
        machine.tried_version = version
        reading = machine.reading(self.now)
        renewed = shard.provisioned(self.prepaid, self.revision)
        machine.allowances.bound_start_time(reading)
        merges = not machine.merged and (
            machine.patience <= 0 or not machine.allowances.lacks_fleet_time(renewed)
        )
        machine.patience -= 1
        if merges:
            renewed = machine.allowances.charge_predecessors(renewed)
        renewed = machine.allowances.renewed(renewed, reading)
        if fate == "refused":
            return
        if not self.counts_from_done:
            machine.tried_at = reading
        write = Write(version=version, shard=renewed)
        if fate == "late":
            self.late.append(write)
            return
        done = self.apply(write)
        if done and fate == "done":
            machine.allowances.resolve(renewed)
            machine.void(reading.boot)
            machine.merged = machine.merged or merges
            machine.tried_at = reading

    def hand_over(self, machine, fate):
        """Send renewals to a peer; `fate` is done, refused, lost or late.

        Refused and lost: they are never written, and the sender is told or not.
        """
        reading = machine.reading(self.now)
        if machine.seen is None or reading.boot in machine.handed_boots:
            return
        start = None
        if not machine.merged:
            machine.allowances.bound_start_time(reading)
            machine.patience -= 1
            if machine.patience > 0 and machine.allowances.lacks_fleet_time(
                machine.seen
            ):
                return
            start = machine.allowances.start(machine.seen)
            machine.starts_handed.add(reading.boot)
        handed = machine.allowances.delegate_renewals(
            reading, urgent=False, start=start
        )
        machine.tried_at = reading
        machine.handed_boots.add(reading.boot)
        match fate:
            case "refused":
                machine.handed_boots.discard(reading.boot)
            case "late":
                self.late_messages.append((machine, handed))
            case "done":
                self.write_for(machine, handed)

    def write_for(self, machine, handed, *, answers=True):
        """Let a peer write what it was handed, at the newest version."""
        try:
            shard = apply_delegated(self.shard, handed)
        except (RenewalVoid, RouterSealed, LedgerError):
            return
        self.apply(Write(version=self.version, shard=shard))
        alive = machine.allowances
        if not answers or alive is None or alive.holder != handed.holder:
            return
        alive.receive_written(
            RenewalsWritten(
                boot=handed.stamp.boot,
                outcome=WriteOutcome.DONE,
                grant_by_customer={
                    name: shard.ledger_by_customer[name].grants[handed.holder]
                    for name in handed.renewal_by_customer
                },
                summary_by_customer=shard.summaries(),
            )
        )
        machine.merged = machine.merged or handed.stamp.boot in machine.starts_handed
        machine.void(handed.stamp.boot)

    def close(self, machine):
        """Stop as planned; what is open is cut and charged at its most."""
        machine.allowances.charge_open()
        self.read_ledger(machine)
        version, shard = machine.read
        self.apply(Write(version=version, shard=machine.allowances.closed(shard)))
        machine.die()

    def apply(self, write):
        if write.version != self.version:
            return False
        self.version += 1
        self.shard = write.shard
        return True

    # Machines, clocks and operators.

    def restart(self, machine, *, power_lost, boot=0.0):
        machine.die()
        if power_lost:
            machine.booted_at = self.now - boot
            machine.suspended = 0.0
        machine.start(self.now)
        if self.forgets_growth:
            reading = machine.reading(self.now)
            machine.allowances.charge_predecessors = lambda shard: _trusting(
                machine.allowances, shard, reading
            )

    def top_up(self, customer, tokens):
        self.prepaid = self.prepaid | {customer: self.prepaid[customer] + tokens}
        self.revision += 1

    # What must hold.

    def check(self):
        for customer, spent in self.spent.items():
            assert spent <= self.prepaid[customer], (customer, spent)
        for ledger in (self.shard or Shard()).ledger_by_customer.values():
            assert ledger.held <= ledger.prepaid


def _trusting(allowances, shard, reading):
    """Merge as if every predecessor had died right after its last write."""
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
