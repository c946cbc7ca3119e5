"""Convergence under operator changes, platform faults and partitions.

Hypothesis chooses the events.  No process may ever revert an object, and after the
faults end all processes must store the accepted changes.
"""

from random import Random

import curio
import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ragwortkeel.configuration import PROFILES
from ragwortkeel.configuration_exchange import Exchange
from ragwortkeel.configuration_schedule import FollowSchedule, ListAll, Watch
from ragwortkeel.configuration_store import (
    ConfigurationStore,
    rank_of,
    versioned_object,
)
from ragwortkeel.exceptions import (
    AlreadyExists,
    OutcomeUnknown,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
)
from ragwortkeel.standins.local_platform import LocalPlatform, Switches

PROCESSES_BY_ZONE = {"a": (0, 1, 2), "b": (3,)}
PROCESS_COUNT = 4
WATCHERS = (0, 1, 3)
NAMES = ("chat", "claim", "dossier")
HEALED_SECONDS = 20
HISTORY = 3
MAX_DELIVERIES = 1_000

process_numbers = st.integers(0, PROCESS_COUNT - 1)
names = st.sampled_from(NAMES)


class _Process:
    """One start of a process: an empty store, its exchange and its schedule."""

    def __init__(self, number, clock):
        now = clock()
        random = Random(number)
        self.number = number
        self.store = ConfigurationStore(kinds=(PROFILES,))
        self.exchange = Exchange(store=self.store, random=random, clock=clock)
        others = [str(one) for one in range(PROCESS_COUNT) if one != number]
        self.exchange.exchange_peers = others
        self.schedule = FollowSchedule(now=now, random=random)
        self.ranks = {}


class Convergence(RuleBasedStateMachine):
    reads = Bundle("reads")

    @initialize()
    def start(self):
        self.kernel = curio.Kernel()
        self.platform = LocalPlatform(history_limit=HISTORY)
        self.now = 0.0
        self.processes = [
            _Process(number, lambda: self.now) for number in range(PROCESS_COUNT)
        ]
        self.partitioned = set()
        self.in_transit = []
        self.late = []
        self.accepted = {}
        self.serial = 0

    def teardown(self):
        if hasattr(self, "kernel"):
            self.kernel.run(shutdown=True)

    def call(self, coro):
        return self.kernel.run(coro)

    # Operators write at the version that they read, possibly long before.

    @rule(target=reads, name=names)
    def operator_reads(self, name):
        return self.read(name)

    def read(self, name):
        try:
            return name, self.call(self.platform.get(PROFILES, name))
        except PlatformUnavailable:
            return name, None

    @rule(read=reads, retire=st.booleans(), lost=st.booleans())
    def operator_writes_late(self, read, retire, lost):
        self.write(*read, retire, lost)

    @rule(name=names, retire=st.sampled_from([False, False, True]), lost=st.booleans())
    def operator_writes(self, name, retire, lost):
        read = self.read(name)
        self.write(*read, retire, lost)

    @rule(name=names)
    def operator_changes(self, name):
        self.write(*self.read(name), False, False)

    def write(self, name, stored, retire, lost):
        if stored and msgspec.json.decode(stored.value)["retired"]:
            return
        self.platform.switches.lost_answers = int(lost)
        self.serial += 1
        value = msgspec.json.encode({"retired": retire, "nonce": self.serial})
        try:
            if stored is None:
                self.call(self.platform.create(PROFILES, name, value))
            else:
                self.call(self.platform.update(PROFILES, name, value, stored.version))
        except (AlreadyExists, VersionConflict, PlatformUnavailable):
            return
        except OutcomeUnknown:
            pass
        finally:
            self.platform.switches.lost_answers = 0
        self.record_accepted(name)

    def record_accepted(self, name):
        switches, self.platform.switches = self.platform.switches, Switches()
        one = versioned_object(self.call(self.platform.get(PROFILES, name)))
        self.platform.switches = switches
        self.accepted.setdefault(name, {})[one.version] = one.value

    # The platform.

    @rule()
    def platform_goes_down(self):
        self.platform.switches.down = True

    @rule(gaps=st.booleans(), skips=st.integers(0, 2))
    def platform_comes_back(self, gaps, skips):
        self.platform.switches = Switches(watch_gaps=gaps, watch_skips=skips)

    @rule(number=process_numbers, late=st.booleans())
    def node_asks(self, number, late):
        self.ask(self.processes[number], late)

    @rule(
        changed=st.lists(names, max_size=3),
        retired=st.sampled_from([None, None, None, *NAMES]),
        late=st.sets(process_numbers),
        skips=st.integers(0, 2),
        random=st.randoms(use_true_random=False),
    )
    def second(self, changed, retired, late, skips, random):
        """Simulate a second with changes, late answers and reordered messages."""
        self.now += 1.0
        self.platform.switches.watch_skips = skips
        for name in changed:
            self.write(*self.read(name), name == retired, False)
        for process in self.processes:
            self.ask(process, process.number in late)
            self.send_round(process)
        random.shuffle(self.in_transit)
        for _ in range(len(self.in_transit)):
            self.deliver(self.in_transit.pop(0))
        random.shuffle(self.late)
        for process, objects in self.late[::2]:
            process.exchange.merge_objects(objects)

    def ask(self, process, late=False):
        action = process.schedule.next_action(
            now=self.now,
            watching=process.number in WATCHERS,
            complete=process.exchange.complete_by_kind[PROFILES],
            peers_reachable=True,
            age=process.exchange.age(PROFILES),
        )
        try:
            match action:
                case ListAll():
                    listing = self.call(self.platform.list(PROFILES))
                    objects = [
                        versioned_object(one) for one in listing.by_name.values()
                    ]
                    self.merge(process, objects, listing.revision, late)
                    size = process.store.value_bytes(PROFILES)
                    process.schedule.record_list(now=self.now, value_bytes=size)
                case Watch(revision=revision):
                    watch = self.platform.watch(PROFILES, revision, 0.0)
                    changes = self.call(watch)
                    objects = [versioned_object(one.stored) for one in changes.changes]
                    complete = process.exchange.complete_by_kind[PROFILES]
                    if not changes.gap:
                        self.merge(process, objects, changes.revision, late)
                    process.schedule.record_watch(
                        now=self.now, gap=changes.gap, complete=complete
                    )
        except PlatformError:
            process.schedule.record_failure(now=self.now)

    def merge(self, process, objects, revision, late):
        if late:
            self.late.append((process, objects))
            return
        process.exchange.merge_objects(objects)
        process.exchange.record_complete(PROFILES, revision)

    @rule(data=st.data())
    def late_answer_arrives(self, data):
        if self.late:
            process, objects = data.draw(st.sampled_from(self.late))
            process.exchange.merge_objects(objects)

    # Peers.

    @rule(number=process_numbers)
    def node_gossips(self, number):
        self.send_round(self.processes[number])

    def send_round(self, process):
        self.queue_messages(
            process.number,
            process.exchange.next_pushes() + process.exchange.next_digest(),
        )

    def queue_messages(self, sender, sends):
        self.in_transit += [(sender, int(send.peer), send.message) for send in sends]

    @rule(data=st.data(), keep=st.booleans())
    def message_arrives(self, data, keep):
        if not self.in_transit:
            return
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        one = self.in_transit[index] if keep else self.in_transit.pop(index)
        self.deliver(one)

    def deliver(self, one):
        sender, receiver, message = one
        if frozenset((sender, receiver)) in self.partitioned:
            return
        process = self.processes[receiver]
        self.queue_messages(receiver, process.exchange.receive(str(sender), message))

    @rule(one=process_numbers, other=process_numbers)
    def link_is_cut(self, one, other):
        if one != other:
            self.partitioned.add(frozenset((one, other)))

    @rule()
    def links_heal(self):
        self.partitioned.clear()

    @rule(number=process_numbers)
    def node_restarts(self, number):
        self.processes[number] = _Process(number, lambda: self.now)

    @rule(seconds=st.floats(0.1, 10.0))
    def time_passes(self, seconds):
        self.now += seconds

    # Invariants.

    @invariant()
    def nothing_reverts(self):
        for process in getattr(self, "processes", ()):
            held = self.held(process)
            for name, before in process.ranks.items():
                assert held[name] >= before
            process.ranks = held

    @invariant()
    def only_what_was_accepted_is_held(self):
        for process in getattr(self, "processes", ()):
            for name in self.held(process):
                one = process.store.get(PROFILES, name)
                assert self.accepted[name][one.version] == one.value

    @rule()
    def healed_is_in_force_everywhere(self):
        self.partitioned.clear()
        self.platform.switches = Switches()
        self.run_rounds(ask=True)
        listing = self.call(self.platform.list(PROFILES))
        expected = {
            name: rank_of(versioned_object(stored))
            for name, stored in listing.by_name.items()
        }
        for process in self.processes:
            assert self.held(process) == expected

    @rule()
    def peers_agree_without_the_platform(self):
        self.partitioned.clear()
        self.platform.switches = Switches(down=True)
        self.run_rounds(ask=False)
        assert len({process.store.root(PROFILES) for process in self.processes}) == 1

    def held(self, process):
        ranks = {name: process.store.rank(PROFILES, name) for name in NAMES}
        return {name: rank for name, rank in ranks.items() if rank is not None}

    def run_rounds(self, *, ask):
        for _ in range(HEALED_SECONDS):
            self.now += 1.0
            for process in self.processes:
                if ask:
                    self.ask(process)
                self.send_round(process)
            for _ in range(MAX_DELIVERIES):
                if not self.in_transit:
                    break
                self.deliver(self.in_transit.pop(0))
            assert not self.in_transit, "peers answer each other endlessly"


TestConvergence = Convergence.TestCase
TestConvergence.settings = settings(max_examples=60, stateful_step_count=30)
