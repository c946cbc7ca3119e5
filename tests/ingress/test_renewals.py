"""One write of the ledgers for several processes, and what stands in when it fails."""

import curio
from tests.ingress.builders import configuration

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import read_clocks
from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.budget.turns import STAND_IN_WRITES_PER_SECOND
from ragwortkeel.ingress.configuration import Customer
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.ingress.renewals import Renewals
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.messages import RenewalsWritten, WriteOutcome
from ragwortkeel.standins.local_platform import LocalPlatform

CUSTOMER = "surco"
PATIENCE = 20.0
PLATFORM_SECONDS = 0.3
"""What each write takes where the platform is slow."""


class FakeGroup:
    """Peers that a test plays: messages go straight to the other's `Renewals`."""

    def __init__(self, *, place):
        self.own_place = place
        self.other = None
        self.mute = False
        self.avoided = []
        self.answers = []

    def rank(self):
        return self.own_place

    def process_count(self):
        return 2

    async def request_renewals(self):
        handed = None if self.other is None else self.other.receive_renewal_call()
        if handed is None:
            return 0
        await self.owner.receive_renewals(handed)
        return 1

    async def delegate(self, handed):
        if self.other is None:
            return None
        if not self.mute:
            await self.other.receive_renewals(handed)
        return "other"

    async def responds(self, address):
        return not self.mute

    def avoid(self, address):
        self.avoided.append(address)

    async def send_outcome(self, holder, answer):
        self.answers.append(answer)
        if self.other is not None and not self.mute:
            await self.other.receive_renewals_written(answer)


class Process:
    """One process with a slice, without links."""

    def __init__(self, platform, *, name, place):
        self.allowances = Allowances(holder=f"{name}/1", started=read_clocks())
        self.group = FakeGroup(place=place)
        self.renewals = Renewals(
            platform=platform,
            allowances=self.allowances,
            clocks=read_clocks,
            peers=self.group,
        )
        self.group.owner = self.renewals
        customers = (Customer(name=CUSTOMER, keys=("k",), prepaid=100_000),)
        table = RoutingTable(configuration=configuration(1, customers=customers))
        self.renewals.configure(table)

    @property
    def account(self):
        return self.allowances.account(CUSTOMER)

    async def start(self):
        self.task = await curio.spawn(self.renewals.run, daemon=True)
        while not self.renewals.predecessors_charged:
            await curio.sleep(0.005)

    async def served(self, tokens):
        """Wait as a request does for so many tokens."""
        self.account.waiting += tokens
        while self.account.reserve(tokens) is None:
            await self.renewals.wake()
            await curio.sleep(0.005)
        self.account.waiting -= tokens


def run_two(scenario):
    """Run a scenario of two processes, the first of which writes for both."""

    async def main():
        platform = LocalPlatform()
        first = Process(platform, name="a", place=0)
        second = Process(platform, name="b", place=1)
        try:
            async with curio.timeout_after(PATIENCE):
                for one, other in ((first, second), (second, first)):
                    await one.start()
                    one.group.other = other.renewals
                return await scenario(platform, first, second)
        finally:
            for one in (first, second):
                await one.task.cancel()

    return curio.run(main)


def test_a_process_that_is_written_for_does_not_write():
    """The calls of the platform grow with the square of the processes."""

    async def scenario(platform, first, second):
        while not first.group.answers:
            await curio.sleep(0.01)
        before = second.renewals.read_at
        while second.renewals.read_at == before:
            await curio.sleep(0.01)
        stored = await platform.get(SHARDS_KIND, SHARD_NAME)
        shard = decode_shard(stored.value)
        return first.group.answers[0], shard, second.allowances.holder

    answer, shard, holder = run_two(scenario)
    assert answer.outcome is WriteOutcome.DONE
    assert CUSTOMER in answer.summary_by_customer
    assert holder in shard.stamp_by_holder


def test_callers_of_a_process_that_does_not_write_get_their_tokens():
    async def scenario(platform, first, second):
        await second.served(30_000)
        return first.group.answers

    assert any(answer.outcome is WriteOutcome.DONE for answer in run_two(scenario))


def test_a_process_that_gets_no_answer_writes_by_itself():
    """Callers wait in vain: the process that wrote for all was killed just now."""

    async def scenario(platform, first, second):
        await first.task.cancel()
        second.group.mute = True
        await second.served(30_000)
        return second.group.avoided

    assert run_two(scenario)[0] == "other"


def test_in_an_outage_who_handed_over_hears_that_nothing_was_done():
    async def scenario(platform, first, second):
        platform.switches.down = True
        first.group.answers.clear()
        handed = second.renewals.receive_renewal_call()
        await first.renewals.receive_renewals(handed)
        while not first.group.answers:
            await first.renewals.wake()
            await curio.sleep(0.01)
        return first.group.answers[0], handed

    answer, handed = run_two(scenario)
    assert answer.boot == handed.stamp.boot
    assert answer.outcome is not WriteOutcome.DONE


def test_what_was_handed_over_is_not_taken_back_before_it_is_void():
    """A customer gets more than it paid for, by what a process had given back.

    The process handed that over, the platform went away before it heard what
    became of it, and it spent the tokens; the peer's write had taken effect.
    """

    async def scenario(platform, first, second):
        second.account.recall(1_000)
        handed = second.renewals.receive_renewal_call()
        given_back = handed.renewal_by_customer[CUSTOMER].give_back
        second.group.other = None
        platform.switches.down = True
        while second.renewals.reachable:
            await curio.sleep(0.01)
        return given_back, second.account.slice.giving_back

    given_back, kept_back = run_two(scenario)
    assert kept_back == given_back >= 1_000


def test_nothing_is_taken_back_while_a_write_with_it_is_on_its_way():
    """A customer gets more than it paid for, by what a process gave back.

    It had handed its renewal over and then written by itself; a peer's answer that
    nothing was done came before that of the platform, and it spent the tokens.
    """

    async def scenario(platform, first, second):
        second.group.other = None
        second.account.recall(1_000)
        handed = second.renewals.receive_renewal_call()
        update, arrived, answers = platform.update, curio.Event(), curio.Event()

        async def slow(*call):
            version = await update(*call)
            await arrived.set()
            await answers.wait()
            return version

        platform.update = slow
        await second.renewals.wake()
        await arrived.wait()
        answer = RenewalsWritten(boot=handed.stamp.boot, outcome=WriteOutcome.NOT_DONE)
        await second.renewals.receive_renewals_written(answer)
        free = second.account.free
        platform.update = update
        await answers.set()
        while second.account.slice.pending is not None:
            await curio.sleep(0.005)
        stored = await platform.get(SHARDS_KIND, SHARD_NAME)
        ledger = decode_shard(stored.value).ledger_by_customer[CUSTOMER]
        return free, ledger.grants[second.allowances.holder].granted

    free, granted = run_two(scenario)
    assert free <= granted


def test_a_planned_stop_takes_no_more_part():
    async def scenario(platform, first, second):
        closed = await second.renewals.close()
        return closed, second.renewals.receive_renewal_call()

    assert run_two(scenario) == (True, None)


def test_a_start_bears_ledgers_that_it_cannot_read():
    """A process ends again and again: another writer's object is no ledger."""

    async def main():
        platform = LocalPlatform()
        await platform.create(SHARDS_KIND, SHARD_NAME, b"no ledger")
        one = Process(platform, name="b", place=1)
        task = await curio.spawn(one.renewals.run, daemon=True)
        await curio.sleep(0.7)
        ended = task.terminated
        await task.cancel()
        return ended

    assert not curio.run(main)


class SharedGroup:
    """Processes that hear each other; each answers the others at once."""

    def __init__(self, processes, index):
        self.processes_by_index = processes
        self.index = index
        self.avoided_until = {}

    def process_count(self):
        return len(self.processes_by_index)

    def _before(self):
        now = read_clocks().monotonic
        return [
            other
            for other in range(self.index)
            if self.avoided_until.get(other, 0.0) <= now
        ]

    def rank(self):
        return len(self._before())

    async def request_renewals(self):
        return 0

    async def delegate(self, handed):
        before = self._before()
        if not before:
            return None
        await self.processes_by_index[before[0]].renewals.receive_renewals(handed)
        return str(before[0])

    async def responds(self, address):
        return True

    def avoid(self, address):
        self.avoided_until[int(address)] = read_clocks().monotonic + 2.0

    async def send_outcome(self, holder, answer):
        name = holder.partition("/")[0]
        await self.processes_by_index[int(name)].renewals.receive_renewals_written(
            answer
        )


def test_a_writer_that_lives_is_left_to_write_however_slow_the_platform_is():
    """Guards against a second write, which voids the first one, while it is slow."""

    async def scenario(platform, first, second):
        update, writes = platform.update, []

        async def slow(*call):
            writes.append(read_clocks().monotonic)
            await curio.sleep(0.5)
            return await update(*call)

        platform.update = slow
        begun = read_clocks().monotonic
        await second.served(20_000)
        return second.group.avoided, len(writes), read_clocks().monotonic - begun

    avoided, writes, took = run_two(scenario)
    assert avoided == []
    assert writes <= 3
    assert took < 1.5


def test_a_slow_platform_is_not_written_to_by_all():
    """Callers wait for as long as a cut lasts: each process writes by itself.

    Answers of the platform take 0.3 s, longer than it takes a process to take the one
    that writes for it for dead.  Each write voids all others, and each refusal brings
    the ledgers to one more process.
    """
    count, seconds = 24, 4.0

    async def main():
        platform = LocalPlatform()
        processes = []
        for index in range(count):
            one = Process(platform, name=str(index), place=0)
            one.group = one.renewals._peers = SharedGroup(processes, index)
            processes.append(one)
        tasks = [await curio.spawn(one.start) for one in processes]
        async with curio.timeout_after(PATIENCE):
            for task in tasks:
                await task.join()
        update, tries = platform.update, []

        async def slow(*call):
            tries.append(read_clocks().monotonic)
            await curio.sleep(PLATFORM_SECONDS)
            return await update(*call)

        platform.update = slow
        asking = [await curio.spawn(one.served, 2_000) for one in processes]
        await curio.sleep(seconds)
        for task in [*asking, *(one.task for one in processes)]:
            await task.cancel()
        ended = read_clocks().monotonic
        return len(tries), sum(at >= ended - 1.0 for at in tries)

    in_all, in_the_end = curio.run(main)
    stand_ins = STAND_IN_WRITES_PER_SECOND
    # Some take the first for dead before they have learnt how long writes take now.
    assert in_all <= seconds * (3 / PLATFORM_SECONDS + stand_ins)
    assert in_the_end <= 1 / PLATFORM_SECONDS + stand_ins
