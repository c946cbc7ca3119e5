"""One write of the ledgers for several processes, and the fallback when it fails."""

import signal
from contextlib import contextmanager

import curio
from tests.ingress.builders import configuration

from ragwortkeel.budget.allowance import Allowances
from ragwortkeel.budget.clocks import read_clocks
from ragwortkeel.budget.shards import SHARDS_KIND, decode_shard
from ragwortkeel.budget.write_order import FALLBACK_WRITES_PER_SECOND
from ragwortkeel.ingress.configuration import Customer
from ragwortkeel.ingress.ledger_store import SHARD_NAME
from ragwortkeel.ingress.renewals import Renewals
from ragwortkeel.ingress.routing import RoutingTable
from ragwortkeel.messages import RenewalsWritten, WriteOutcome
from ragwortkeel.standins.local_platform import LocalPlatform

CUSTOMER = "surco"
PATIENCE = 20.0
PLATFORM_SECONDS = 0.3
"""Duration of each write while the platform is slow."""


class FakePeers:
    """A single peer whose `Renewals` receives all messages directly."""

    def __init__(self, *, rank):
        self.own_rank = rank
        self.peer = None
        self.silent = False
        self.avoided = []
        self.outcomes = []

    def rank(self):
        return self.own_rank

    def process_count(self):
        return 2

    async def request_renewals(self):
        delegated = None if self.peer is None else self.peer.receive_renewal_call()
        if delegated is None:
            return 0
        await self.owner.receive_renewals(delegated)
        return 1

    async def delegate(self, delegated):
        if self.peer is None:
            return None
        if not self.silent:
            await self.peer.receive_renewals(delegated)
        return "other"

    async def responds(self, address):
        return not self.silent

    def avoid(self, address):
        self.avoided.append(address)

    async def send_outcome(self, holder, answer):
        self.outcomes.append(answer)
        if self.peer is not None and not self.silent:
            await self.peer.receive_renewals_written(answer)


class Process:
    """One process with a slice, without links."""

    def __init__(self, platform, *, name, rank, configured=True):
        self.allowances = Allowances(holder=f"{name}/1", started=read_clocks())
        self.peers = FakePeers(rank=rank)
        self.renewals = Renewals(
            platform=platform,
            allowances=self.allowances,
            clocks=read_clocks,
            peers=self.peers,
        )
        self.peers.owner = self.renewals
        if configured:
            self.configure()

    def configure(self):
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
        """Wait for so many tokens, as a request does."""
        self.account.waiting_tokens += tokens
        while self.account.reserve(tokens) is None:
            await self.renewals.wake()
            await curio.sleep(0.005)
        self.account.waiting_tokens -= tokens


def run_two(scenario):
    """Run a scenario of two processes, the first of which writes for both."""

    async def main():
        platform = LocalPlatform()
        first = Process(platform, name="a", rank=0)
        second = Process(platform, name="b", rank=1)
        try:
            async with curio.timeout_after(PATIENCE):
                for process, peer in ((first, second), (second, first)):
                    await process.start()
                    process.peers.peer = peer.renewals
                return await scenario(platform, first, second)
        finally:
            for process in (first, second):
                await process.task.cancel()

    return curio.run(main)


def test_a_process_whose_peer_writes_for_it_does_not_write():
    """Guards against platform calls that grow with the square of the processes."""

    async def scenario(platform, first, second):
        while not first.peers.outcomes:
            await curio.sleep(0.01)
        before = second.renewals.read_at
        while second.renewals.read_at == before:
            await curio.sleep(0.01)
        stored = await platform.get(SHARDS_KIND, SHARD_NAME)
        shard = decode_shard(stored.value)
        return first.peers.outcomes[0], shard, second.allowances.holder

    answer, shard, holder = run_two(scenario)
    assert answer.outcome is WriteOutcome.DONE
    assert CUSTOMER in answer.summary_by_customer
    assert holder in shard.stamp_by_holder


def test_delegated_renewals_get_callers_their_tokens():
    async def scenario(platform, first, second):
        await second.served(30_000)
        return first.peers.outcomes

    assert any(answer.outcome is WriteOutcome.DONE for answer in run_two(scenario))


def test_a_process_that_receives_no_outcome_writes_by_itself():
    """Guards against callers that wait for a first writer that was just killed."""

    async def scenario(platform, first, second):
        await first.task.cancel()
        second.peers.silent = True
        await second.served(30_000)
        return second.peers.avoided

    assert run_two(scenario)[0] == "other"


def test_in_an_outage_a_delegating_process_receives_the_failure():
    async def scenario(platform, first, second):
        platform.switches.down = True
        first.peers.outcomes.clear()
        delegated = second.renewals.receive_renewal_call()
        await first.renewals.receive_renewals(delegated)
        while not first.peers.outcomes:
            await first.renewals.wake()
            await curio.sleep(0.01)
        return first.peers.outcomes[0], delegated

    answer, delegated = run_two(scenario)
    assert answer.boot == delegated.stamp.boot
    assert answer.outcome is not WriteOutcome.DONE


def test_delegated_renewals_are_not_withdrawn_before_they_are_void():
    """Guards against tokens that are returned to the ledger and spent as well.

    A process delegates a renewal that returns tokens, and the platform becomes
    unreachable before the outcome arrives.  The peer's write may have taken effect.
    """

    async def scenario(platform, first, second):
        second.account.recall(1_000)
        delegated = second.renewals.receive_renewal_call()
        returned = delegated.renewal_by_customer[CUSTOMER].give_back
        second.peers.peer = None
        platform.switches.down = True
        while second.renewals.reachable:
            await curio.sleep(0.01)
        return returned, second.account.slice.giving_back

    returned, still_returning = run_two(scenario)
    assert still_returning == returned >= 1_000


def test_renewals_are_not_withdrawn_during_an_own_write_of_them():
    """Guards against tokens that are returned to the ledger and spent as well.

    A process delegates a renewal that returns tokens, then writes it by itself.  The
    peer's answer that it wrote nothing arrives before that of the platform.
    """

    async def scenario(platform, first, second):
        second.peers.peer = None
        second.account.recall(1_000)
        delegated = second.renewals.receive_renewal_call()
        update, arrived, answers = platform.update, curio.Event(), curio.Event()

        async def slow(*call):
            version = await update(*call)
            await arrived.set()
            await answers.wait()
            return version

        platform.update = slow
        await second.renewals.wake()
        await arrived.wait()
        answer = RenewalsWritten(
            boot=delegated.stamp.boot, outcome=WriteOutcome.NOT_DONE
        )
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


def test_a_stopped_process_delegates_nothing():
    async def scenario(platform, first, second):
        closed = await second.renewals.close()
        return closed, second.renewals.receive_renewal_call()

    assert run_two(scenario) == (True, None)


@contextmanager
def alarm_after(seconds):
    """Raise `TimeoutError` in whatever runs then, also in a task that never yields."""

    def on_alarm(number, frame):
        raise TimeoutError(f"still running after {seconds} s")

    previous = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)


def test_an_urgent_renewal_before_the_first_configuration_stops_no_other_task():
    """Guards against a restarted process that hangs and answers not even a TERM.

    Its peers take it for the writer and delegate urgent renewals to it, before it has
    got a configuration.
    """

    async def scenario():
        process = Process(LocalPlatform(), name="a", rank=0, configured=False)
        task = await curio.spawn(process.renewals.run, daemon=True)
        await curio.sleep(0)
        await process.renewals.wake()
        await curio.sleep(0.1)
        process.configure()
        async with curio.timeout_after(PATIENCE):
            while not process.renewals.predecessors_charged:
                await curio.sleep(0.005)
        await task.cancel()

    with alarm_after(PATIENCE):
        curio.run(scenario)


def test_a_process_keeps_running_with_undecodable_ledgers():
    """Guards against repeated crashes when the stored object is no ledger."""

    async def main():
        platform = LocalPlatform()
        await platform.create(SHARDS_KIND, SHARD_NAME, b"no ledger")
        process = Process(platform, name="b", rank=1)
        task = await curio.spawn(process.renewals.run, daemon=True)
        await curio.sleep(0.7)
        ended = task.terminated
        await task.cancel()
        return ended

    assert not curio.run(main)


class SharedPeers:
    """Processes that reach each other and receive each message immediately."""

    def __init__(self, processes, index):
        self.processes_by_index = processes
        self.index = index
        self.avoided_until = {}

    def process_count(self):
        return len(self.processes_by_index)

    def _preceding(self):
        now = read_clocks().monotonic
        return [
            peer
            for peer in range(self.index)
            if self.avoided_until.get(peer, 0.0) <= now
        ]

    def rank(self):
        return len(self._preceding())

    async def request_renewals(self):
        return 0

    async def delegate(self, delegated):
        preceding = self._preceding()
        if not preceding:
            return None
        await self.processes_by_index[preceding[0]].renewals.receive_renewals(delegated)
        return str(preceding[0])

    async def responds(self, address):
        return True

    def avoid(self, address):
        self.avoided_until[int(address)] = read_clocks().monotonic + 2.0

    async def send_outcome(self, holder, answer):
        name = holder.partition("/")[0]
        await self.processes_by_index[int(name)].renewals.receive_renewals_written(
            answer
        )


def test_no_fallback_writes_while_a_live_writer_waits_for_a_slow_platform():
    """Guards against a second write that voids the first one in progress."""

    async def scenario(platform, first, second):
        update, writes = platform.update, []

        async def slow(*call):
            writes.append(read_clocks().monotonic)
            await curio.sleep(0.5)
            return await update(*call)

        platform.update = slow
        begun = read_clocks().monotonic
        await second.served(20_000)
        return second.peers.avoided, len(writes), read_clocks().monotonic - begun

    avoided, writes, seconds = run_two(scenario)
    assert avoided == []
    assert writes <= 3
    assert seconds < 1.5


def test_a_slow_platform_limits_the_rate_of_fallback_writes():
    """Guards against writes that void each other while the platform is slow.

    A write takes 0.3 s, longer than the wait for the outcome of a delegation.  If each
    process then wrote by itself, each write would void all others, and each refusal
    would send the ledgers to one more process.
    """
    count, seconds = 24, 4.0

    async def main():
        platform = LocalPlatform()
        processes = []
        for index in range(count):
            process = Process(platform, name=str(index), rank=0)
            process.peers = process.renewals._peers = SharedPeers(processes, index)
            processes.append(process)
        tasks = [await curio.spawn(process.start) for process in processes]
        async with curio.timeout_after(PATIENCE):
            for task in tasks:
                await task.join()
        update, attempts = platform.update, []

        async def slow(*call):
            attempts.append(read_clocks().monotonic)
            await curio.sleep(PLATFORM_SECONDS)
            return await update(*call)

        platform.update = slow
        requests = [await curio.spawn(process.served, 2_000) for process in processes]
        await curio.sleep(seconds)
        for task in [*requests, *(process.task for process in processes)]:
            await task.cancel()
        ended = read_clocks().monotonic
        return len(attempts), sum(at >= ended - 1.0 for at in attempts)

    total, last_second = curio.run(main)
    fallbacks = FALLBACK_WRITES_PER_SECOND
    # Some processes time out before their delegation timeout follows the slow writes.
    assert total <= seconds * (3 / PLATFORM_SECONDS + fallbacks)
    assert last_second <= 1 / PLATFORM_SECONDS + fallbacks
