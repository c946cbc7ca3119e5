"""Grants of processes that are gone for good, under random faults."""

from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test
from msgspec.structs import replace
from tests.budget.allowance_world import CUSTOMER, OTHER, AllowanceWorld
from tests.budget.test_allowance_machine import FATES, AllowanceMachine, indexes

from ragwortkeel.budget import slice as slice_module
from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.exposure import GROWTH_SECONDS
from ragwortkeel.budget.gone_holders import (
    GONE_SECONDS,
    MAX_GAP_SECONDS,
    HolderWatch,
)

TICK_SECONDS = 0.5
REACH_SECONDS = GONE_SECONDS + MAX_GAP_SECONDS + 2 * TICK_SECONDS
"""Time after the last loss until no tokens are out of reach, where a process writes."""

CUSTOMERS = (CUSTOMER, OTHER)


def let_live_processes_write(world, seconds=REACH_SECONDS):
    """Let the live processes renew for some time without faults."""
    for _ in range(int(seconds / TICK_SECONDS)):
        for instance in world.live():
            world.read_ledger(instance)
            world.write_ledger(instance, "done")
        world.now += TICK_SECONDS
        world.check()


class GoneHoldersMachine(AllowanceMachine):
    """Guards against overspends and lost tokens where processes are gone for good.

    To the faults of `AllowanceMachine` come processes that never start again, and
    closes of any process's grants at any moment, also of live and suspended ones.
    """

    def __init__(self):
        super().__init__()
        for customer in CUSTOMERS:
            self.world.top_up(customer, 40_000)

    @rule(index=indexes)
    def lose_for_good(self, index):
        self.world.instances[index].crash()

    @rule(index=indexes)
    def close_grants(self, index):
        self.world.close_grants(self.world.instances[index].name)

    @rule(index=indexes, customer=st.sampled_from(CUSTOMERS))
    def spend_all(self, index, customer):
        if instance := self.process(index):
            spend_available(self.world, instance, customer)

    @rule(index=indexes, customer=st.sampled_from(CUSTOMERS), closed=st.booleans())
    def cut_off(self, index, customer, closed):
        if instance := self.process(index):
            for seconds in (10.0, 30.0):
                self.world.now += seconds
                spend_available(self.world, instance, customer)
                while instance.open_reservations:
                    self.world.settle(instance, 1.0)
                if closed:
                    self.world.close_grants(instance.name)

    @rule(
        index=indexes,
        customer=st.sampled_from(CUSTOMERS),
        seconds=st.floats(6.0, 40.0),
        fate=st.sampled_from(FATES),
    )
    def crash_after_an_outage(self, index, customer, seconds, fate):
        if instance := self.process(index):
            self.world.now += seconds
            self.world.grow(instance)
            self.world.read_ledger(instance)
            self.world.write_ledger(instance, fate)
            account = instance.allowances.account(customer)
            if account.available:
                self.world.reserve(instance, customer, account.available)
            self.world.restart(instance, power_lost=False)
            self.world.read_ledger(instance)
            self.world.write_ledger(instance, "done")

    @rule(index=indexes)
    def settle_oldest(self, index):
        instance = self.process(index)
        if instance and instance.open_reservations:
            instance.open_reservations.reverse()
            self.world.settle(instance, 0.0)
            instance.open_reservations.reverse()

    @rule(index=indexes)
    def drain(self, index):
        if instance := self.process(index):
            drain(self.world, instance)

    @invariant()
    def never_over(self):
        self.world.check()

    def teardown(self):
        if not self.world.live():
            return
        self.world.late_messages.clear()
        self.world.late_writes.clear()
        let_live_processes_write(self.world)
        assert not self.world.dead_grants()


GoneHoldersMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestGoneHolders = GoneHoldersMachine.TestCase


def spend_available(world, instance, customer):
    """Reserve all tokens that can be reserved, as requests in an outage do."""
    world.grow(instance)
    account = instance.allowances.account(customer)
    if account.available:
        assert world.reserve(instance, customer, account.available)


def drain(world, instance):
    """Let a process spend all tokens of a customer that it can get."""
    for tokens in (2_000, 500, 50, 5):
        for _ in range(40):
            served = world.reserve(instance, CUSTOMER, tokens)
            world.check()
            world.read_ledger(instance)
            world.write_ledger(instance, "done")
            world.now += 0.1
            if not served and not world.reserve(instance, CUSTOMER, tokens):
                break


def walk(seed):
    """Run one random scenario; return whether a customer spent more than it prepaid.

    A process is cut off, spends, and has its grants closed meanwhile.  Then the others
    spend all that is left, and at last it returns and does so too.
    """
    random = Random(seed)
    world = AllowanceWorld(instances=2)
    one, other = world.instances
    world.top_up(CUSTOMER, 40_000)
    try:
        for _ in range(20):
            for instance in (one, other):
                if random.random() < 0.3:
                    world.reserve(instance, CUSTOMER, random.randint(1, 300))
                if instance.open_reservations and random.random() < 0.5:
                    world.settle(instance, random.random())
                world.read_ledger(instance)
                world.write_ledger(instance, random.choice(FATES))
            world.now += random.uniform(0.1, 0.6)
            world.check()
        closed_at = world.now + random.uniform(1.0, 30.0)
        while world.now < closed_at:
            cut_off_step(world, one, random)
        world.close_grants(one.name)
        for _ in range(random.randint(1, 60)):
            cut_off_step(world, one, random)
        drain(world, other)
        while one.open_reservations:
            world.settle(one, 1.0)
        drain(world, one)
    except AssertionError:
        return True
    return False


def cut_off_step(world, instance, random):
    """Let a process spend while it can't renew."""
    world.now += random.uniform(0.1, 1.0)
    if random.random() < 0.3:
        spend_available(world, instance, CUSTOMER)
    if instance.open_reservations and random.random() < 0.3:
        world.settle(instance, 1.0)
    world.check()


SEEDS = range(100)


def test_random_scenarios_overspend_no_budget():
    assert not [seed for seed in SEEDS if walk(seed)]


def grow_without_end(monkeypatch):
    """Let caps grow longer than their grants say."""
    renewal_of = slice_module.Renewal

    def stated(**fields):
        return renewal_of(**(fields | {"growth_seconds": GROWTH_SECONDS}))

    monkeypatch.setattr(slice_module, "GROWTH_SECONDS", 1000.0)
    monkeypatch.setattr(slice_module, "Renewal", stated)


def keep_growth(monkeypatch):
    """Let stamps not restart the growth of the caps that they don't renew."""
    monkeypatch.setattr(Allowances, "_restart_growth", lambda allowances: None)


@pytest.mark.parametrize("leave_out", [grow_without_end, keep_growth])
def test_each_guard_is_needed(monkeypatch, leave_out):
    """Guards against random faults that would not show a missing guard."""
    leave_out(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            GoneHoldersMachine,
            settings=settings(
                GoneHoldersMachine.TestCase.settings,
                phases=[Phase.generate],
                max_examples=2000,
                report_multiple_bugs=False,
            ),
        )


def test_random_walks_need_the_end_of_the_growth(monkeypatch):
    grow_without_end(monkeypatch)
    assert [seed for seed in SEEDS if walk(seed)]


def lose_one(*, customers=CUSTOMERS):
    """Return a world of three processes in which a busy one is gone for good."""
    world = AllowanceWorld()
    for customer in customers:
        world.top_up(customer, 96_000)
    gone, *others = world.instances
    for _ in range(40):
        for instance in world.instances:
            for customer in customers:
                world.reserve(instance, customer, 100)
            world.read_ledger(instance)
            world.write_ledger(instance, "done")
            while instance.open_reservations:
                world.settle(instance, 1.0)
        world.now += TICK_SECONDS
    gone.crash()
    return world, others


def test_tokens_of_a_process_that_is_gone_are_reachable():
    """Guards against tokens that stay with a process that never starts again."""
    world, _ = lose_one()
    assert world.dead_grants()
    let_live_processes_write(world)
    assert not world.dead_grants()


def test_a_writer_that_is_gone_too_delays_the_close_only():
    """Guards against tokens out of reach where the process that counted is lost too."""
    world, [second, third] = lose_one()
    for _ in range(20):
        world.read_ledger(second)
        world.write_ledger(second, "done")
        world.now += TICK_SECONDS
    second.crash()
    let_live_processes_write(world)
    assert not world.dead_grants()
    assert world.live() == [third]


def test_an_outage_closes_no_grants_of_live_processes():
    """Guards against charges for all processes once an outage has ended."""
    world, others = lose_one()
    first, second = others
    world.now += 60.0
    world.read_ledger(first)
    world.write_ledger(first, "done")
    assert second.allowances.holder in world.shard.stamp_by_holder
    assert second.allowances.holder in world.shard.ledger_by_customer[CUSTOMER].grants


@pytest.mark.parametrize("returns", [False, True])
def test_a_live_process_whose_grants_were_closed_goes_on(returns):
    """Guards against spend beyond the charge, and against a process that can't renew.

    It is cut off and spends all that its cap allows, before and after the close.
    """
    world, [cut_off, other] = lose_one()
    before = cut_off.allowances.holder
    world.now += 20.0
    spend_available(world, cut_off, CUSTOMER)
    world.close_grants(cut_off.name)
    for _ in range(20):
        world.now += 1.0
        spend_available(world, cut_off, CUSTOMER)
        spend_available(world, other, CUSTOMER)
        world.read_ledger(other)
        world.write_ledger(other, "done")
        world.check()
    if not returns:
        return
    while cut_off.open_reservations:
        world.settle(cut_off, 0.5)
    let_live_processes_write(world)
    assert cut_off.allowances.holder != before
    assert world.reserve(cut_off, OTHER, 1)


def number_of(reservation):
    return reservation.slice_reservation.reservation_id


def test_a_settlement_of_closed_tokens_changes_no_later_reservation():
    """Guards against tokens spent twice after a process has begun again.

    Its reservations count from 1 again, and the settlement of an earlier one must not
    free the tokens of another request.
    """
    world, [closed, _] = lose_one()
    assert world.reserve(closed, CUSTOMER, 100)
    world.close_grants(closed.name)
    let_live_processes_write(world, 2.0)
    [earlier] = closed.open_reservations
    account = closed.allowances.account(CUSTOMER)
    while number_of(later := account.reserve(1)) < number_of(earlier):
        account.settle(later, spent=0)
    reserved = account.slice.reserved
    assert reserved == 1
    account.settle(earlier, spent=0)
    assert account.slice.reserved == reserved


@pytest.mark.parametrize("growth_seconds", [GROWTH_SECONDS, None])
def test_a_process_of_earlier_software_is_not_closed(growth_seconds):
    """Guards against overspends by processes whose caps grow without end."""
    world, _ = lose_one()
    gone = world.instances[0]
    holders = {holder for _, holder in world.dead_grants()}
    shard = replace(
        world.shard,
        ledger_by_customer={
            customer: replace(
                ledger,
                grants={
                    holder: replace(grant, growth_seconds=growth_seconds)
                    for holder, grant in ledger.grants.items()
                },
            )
            for customer, ledger in world.shard.ledger_by_customer.items()
        },
        stamp_by_holder={
            holder: world.shard.stamp_by_holder[holder] for holder in holders
        },
    )
    watch = HolderWatch()
    for second in range(int(REACH_SECONDS)):
        found = watch.gone(shard, holder="m9/1", reading=gone.reading(second))
    assert found == (sorted(holders) if growth_seconds else [])
