"""Budgets of the ingress under random faults, and tests that its guards are needed."""

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.budget.allowance_world import CUSTOMER, OTHER, AllowanceWorld

from ragwortkeel.budget.exposure import GROWTH_DELAY_SECONDS

FATES = ["done", "done", "done", "refused", "lost", "late"]
customers = st.sampled_from([CUSTOMER, OTHER])
indexes = st.integers(0, 2)


class AllowanceMachine(RuleBasedStateMachine):
    """Guards against customers who spend more than they prepaid.

    Processes reserve, settle and lend tokens; their writes are refused, lost or late;
    they are killed, lose power, are suspended and restart; the time of day jumps.
    """

    def __init__(self):
        super().__init__()
        self.world = AllowanceWorld()

    def process(self, index):
        instance = self.world.instances[index]
        return instance if instance.allowances is not None else None

    @rule(index=indexes, customer=customers, tokens=st.integers(1, 600))
    def reserve(self, index, customer, tokens):
        if instance := self.process(index):
            self.world.reserve(instance, customer, tokens)

    @rule(index=indexes, share=st.floats(0, 1))
    def settle(self, index, share):
        instance = self.process(index)
        if instance and instance.open_reservations:
            self.world.settle(instance, share)

    @rule(index=indexes)
    def read(self, index):
        if instance := self.process(index):
            self.world.read_ledger(instance)

    @rule(index=indexes, fate=st.sampled_from(FATES))
    def write(self, index, fate):
        if instance := self.process(index):
            self.world.write_ledger(instance, fate)

    @rule(index=indexes, fate=st.sampled_from(FATES))
    def renew(self, index, fate):
        if instance := self.process(index):
            self.world.read_ledger(instance)
            self.world.write_ledger(instance, fate)

    @rule(index=indexes, fate=st.sampled_from(FATES))
    def hand_over(self, index, fate):
        if instance := self.process(index):
            self.world.delegate(instance, fate)

    @rule(data=st.data(), answers=st.booleans())
    def late_message(self, data, answers):
        messages = self.world.late_messages
        if messages:
            at = data.draw(st.integers(0, len(messages) - 1))
            self.world.write_for(*messages.pop(at), answers=answers)

    @rule(lender=indexes, asker=indexes, customer=customers, arrives=st.booleans())
    def lend(self, lender, asker, customer, arrives):
        one, other = self.process(lender), self.process(asker)
        if one and other and one is not other:
            self.world.lend(one, other, customer, arrives=arrives)

    @rule(data=st.data())
    def late_write(self, data):
        if self.world.late_writes:
            at = data.draw(st.integers(0, len(self.world.late_writes) - 1))
            self.world.apply(self.world.late_writes.pop(at))

    @rule(index=indexes, power_lost=st.booleans(), boot=st.floats(0, 30_000))
    def kill(self, index, power_lost, boot):
        instance = self.world.instances[index]
        self.world.restart(instance, power_lost=power_lost, boot=boot)

    @rule(power_lost=st.booleans(), boot=st.floats(0, 30_000))
    def kill_all(self, power_lost, boot):
        for instance in self.world.instances:
            self.world.restart(instance, power_lost=power_lost, boot=boot)

    @rule(index=indexes)
    def stop(self, index):
        instance = self.process(index)
        if instance:
            self.world.close(instance)
            instance.start(self.world.now)

    @rule(seconds=st.floats(0.1, 6.0))
    def wait(self, seconds):
        self.world.now += seconds

    @rule(index=indexes, seconds=st.floats(0.1, 8.0))
    def suspend(self, index, seconds):
        self.world.now += seconds
        self.world.instances[index].suspended += seconds

    @rule(index=indexes, seconds=st.floats(-1.5, 1.5))
    def step_time_of_day(self, index, seconds):
        self.world.instances[index].wall_offset = seconds

    @rule(index=indexes, has_time=st.booleans())
    def has_peer_clocks(self, index, has_time):
        self.world.instances[index].has_fleet_time = has_time

    @rule(customer=customers, tokens=st.integers(1, 500))
    def top_up(self, customer, tokens):
        self.world.top_up(customer, tokens)

    @invariant()
    def never_over(self):
        self.world.check()


AllowanceMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestAllowances = AllowanceMachine.TestCase


def walk(seed, **switches):
    """Run one random scenario; return whether a customer spent more than it prepaid.

    Normal operation and outages of the platform alternate.  At the end of an outage a
    process often loses the answer to a write, continues to spend and is killed.
    """
    random = Random(seed)
    world = AllowanceWorld(**switches)
    try:
        for _ in range(12):
            for _ in range(15):
                ordinary_step(world, random)
                world.check()
            for _ in range(random.randint(10, 45)):
                outage_step(world, random)
                world.check()
            instance = random.choice(world.instances)
            if random.random() < 0.5:
                world.read_ledger(instance)
                world.write_ledger(instance, "lost")
                for _ in range(6):
                    world.reserve(instance, CUSTOMER, random.randint(1, 150))
                    world.check()
            instance.has_fleet_time = random.random() < 0.7
            if random.random() < 0.6:
                world.restart(instance, power_lost=random.random() < 0.3)
    except AssertionError:
        return True
    return False


def ordinary_step(world, random):
    instance = random.choice(world.instances)
    step = ["reserve", "settle", "renew", "late", "hand", "message"]
    match random.choices(step, [20, 8, 30, 2, 20, 4])[0]:
        case "reserve":
            world.reserve(instance, CUSTOMER, random.randint(1, 40))
        case "settle" if instance.open_reservations:
            world.settle(instance, 1.0)
        case "renew":
            world.read_ledger(instance)
            world.write_ledger(instance, random.choice(FATES))
        case "late" if world.late_writes:
            world.apply(world.late_writes.pop())
        case "hand":
            world.delegate(instance, random.choice(FATES))
        case "message" if world.late_messages:
            message = world.late_messages.pop(0)
            world.write_for(*message, answers=random.random() < 0.5)
    world.now += random.uniform(0.1, 0.6)


def outage_step(world, random):
    instance = random.choice(world.instances)
    world.reserve(instance, CUSTOMER, random.randint(1, 150))
    world.now += random.uniform(0.0, 0.8)


SEEDS = range(200)


def test_random_scenarios_overspend_no_budget():
    assert not [seed for seed in SEEDS if walk(seed)]


@pytest.mark.parametrize("switch", ["ignores_growth", "counts_from_success"])
def test_each_guard_is_needed(switch):
    """Guards against an overspend after a kill of a process in an outage.

    The process spends its slice beyond the cap in the ledger, and its successor charges
    only the cap.  One switch ignores the age of the last write, the other counts the
    growth of caps from the last success instead of the last attempt.
    """
    assert [seed for seed in SEEDS if walk(seed, **{switch: True})]


@pytest.mark.parametrize("at_once", [False, True])
def test_a_late_write_that_gives_tokens_back(at_once):
    """Guards against an overspend of the tokens that a process gave back.

    The write that gives them back arrives late.  If the process assumes that it was
    refused, it spends the tokens, and after the write another process gets them too.
    """
    world = AllowanceWorld(instances=2, withdraws_at_once=at_once)
    one, other = world.instances
    account = one.allowances.account(CUSTOMER)
    for _ in range(2):
        # The first reservation fails: only the renewal makes headroom in the cap.
        world.reserve(one, CUSTOMER, 3_900)
        world.read_ledger(one)
        world.write_ledger(one, "done")
    # After the settlement the cap has headroom for all free tokens.
    world.settle(one, 0.0)
    assert world.reserve(one, CUSTOMER, 3_000)
    account.recall(900)
    world.read_ledger(one)
    world.write_ledger(one, "late")
    world.read_ledger(one)
    world.reserve(one, CUSTOMER, 900)
    world.apply(world.late_writes.pop())
    for _ in range(2):
        world.reserve(other, CUSTOMER, 900)
        world.read_ledger(other)
        world.write_ledger(other, "done")
    world.reserve(other, CUSTOMER, 900)
    over = world.spent[CUSTOMER] > world.prepaid[CUSTOMER]
    assert over == at_once


@pytest.mark.parametrize("delegates", [False, True])
def test_a_stamp_ends_the_growth_of_caps_that_it_does_not_renew(delegates):
    """Guards against an overspend by a customer without requests during an outage.

    Its cap grows in the outage.  The first write after the outage has no renewal of it,
    as it spent nothing, but a new stamp, from which a successor counts the growth.
    """
    world = AllowanceWorld(instances=1)
    [instance] = world.instances
    world.top_up(OTHER, 90_000)
    for _ in range(2):
        world.read_ledger(instance)
        world.write_ledger(instance, "done")
    account = instance.allowances.account(OTHER)
    cap = account.cap_headroom
    world.now += GROWTH_DELAY_SECONDS + 20.0
    world.grow(instance)
    assert account.cap_headroom > cap
    world.read_ledger(instance)
    if delegates:
        world.delegate(instance, "done")
    else:
        world.write_ledger(instance, "done")
    assert account.slice.pending is None
    while world.reserve(instance, OTHER, 1):
        pass
    world.restart(instance, power_lost=False)
    world.read_ledger(instance)
    world.write_ledger(instance, "done")
    charged = world.shard.ledger_by_customer[OTHER].spent
    assert world.spent[OTHER] <= charged


def test_a_kill_in_an_outage_costs_the_cap_though_the_ledger_is_read_late():
    """Guards against budgets that are charged completely after a kill in an outage.

    The process is killed 2 s into the outage and its successor can read the ledger only
    after it.  The age of the last write must not include the outage after the kill.
    """
    world = AllowanceWorld()
    instance = world.instances[0]
    world.top_up(CUSTOMER, 96_000)
    for _ in range(20):
        world.reserve(instance, CUSTOMER, 100)
        world.read_ledger(instance)
        world.write_ledger(instance, "done")
        world.settle(instance, 1.0) if instance.open_reservations else None
        world.now += 1.0
    world.now += 1.0
    world.restart(instance, power_lost=False)
    world.now += 15.0
    world.read_ledger(instance)
    world.write_ledger(instance, "done")
    [grant] = world.shard.ledger_by_customer[CUSTOMER].grants.values()
    charged = world.shard.ledger_by_customer[CUSTOMER].spent
    assert world.spent[CUSTOMER] <= charged < 3 * world.spent[CUSTOMER]
