"""Hypothesis drives operators, a failing platform and cut-off nodes.

At every step no node reverts; once healed all hold what was accepted.
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

NODES_BY_ZONE = {"a": (0, 1, 2), "b": (3,)}
NODE_COUNT = 4
WATCHERS = (0, 1, 3)
NAMES = ("chat", "claim", "dossier")
HEALED_SECONDS = 20
HISTORY = 3
MAX_DELIVERIES = 1_000

node_ids = st.integers(0, NODE_COUNT - 1)
names = st.sampled_from(NAMES)


class _Node:
    """One life of a node: an empty store, its exchange and its schedule."""

    def __init__(self, number, clock):
        now = clock()
        random = Random(number)
        self.number = number
        self.store = ConfigurationStore(kinds=(PROFILES,))
        self.exchange = Exchange(store=self.store, random=random, clock=clock)
        others = [str(one) for one in range(NODE_COUNT) if one != number]
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
        self.nodes = [_Node(number, lambda: self.now) for number in range(NODE_COUNT)]
        self.cut = set()
        self.flying = []
        self.late = []
        self.accepted = {}
        self.serial = 0

    def teardown(self):
        if hasattr(self, "kernel"):
            self.kernel.run(shutdown=True)

    def call(self, coro):
        return self.kernel.run(coro)

    # Operators: each writes at the version it read, maybe long ago.

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
        self.note_accepted(name)

    def note_accepted(self, name):
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

    @rule(number=node_ids, late=st.booleans())
    def node_asks(self, number, late):
        self.ask(self.nodes[number], late)

    @rule(
        changed=st.lists(names, max_size=3),
        retired=st.sampled_from([None, None, None, *NAMES]),
        late=st.sets(node_ids),
        skips=st.integers(0, 2),
        random=st.randoms(use_true_random=False),
    )
    def second(self, changed, retired, late, skips, random):
        """Play a busy second: changes, answers that hang, lost and mixed messages."""
        self.now += 1.0
        self.platform.switches.watch_skips = skips
        for name in changed:
            self.write(*self.read(name), name == retired, False)
        for node in self.nodes:
            self.ask(node, node.number in late)
            self.gossip(node)
        random.shuffle(self.flying)
        for _ in range(len(self.flying)):
            self.deliver(self.flying.pop(0))
        random.shuffle(self.late)
        for node, objects in self.late[::2]:
            node.exchange.merge_objects(objects)

    def ask(self, node, late=False):
        step = node.schedule.next_action(
            now=self.now,
            watching=node.number in WATCHERS,
            complete=node.exchange.complete_by_kind[PROFILES],
            peers_reachable=True,
            age=node.exchange.age(PROFILES),
        )
        try:
            match step:
                case ListAll():
                    listing = self.call(self.platform.list(PROFILES))
                    objects = [
                        versioned_object(one) for one in listing.by_name.values()
                    ]
                    self.bring(node, objects, listing.revision, late)
                    size = node.store.value_bytes(PROFILES)
                    node.schedule.record_list(now=self.now, value_bytes=size)
                case Watch(revision=revision):
                    watch = self.platform.watch(PROFILES, revision, 0.0)
                    changes = self.call(watch)
                    objects = [versioned_object(one.stored) for one in changes.changes]
                    complete = node.exchange.complete_by_kind[PROFILES]
                    if not changes.gap:
                        self.bring(node, objects, changes.revision, late)
                    node.schedule.record_watch(
                        now=self.now, gap=changes.gap, complete=complete
                    )
        except PlatformError:
            node.schedule.record_failure(now=self.now)

    def bring(self, node, objects, revision, late):
        if late:
            self.late.append((node, objects))
            return
        node.exchange.merge_objects(objects)
        node.exchange.record_complete(PROFILES, revision)

    @rule(data=st.data())
    def late_answer_arrives(self, data):
        if self.late:
            node, objects = data.draw(st.sampled_from(self.late))
            node.exchange.merge_objects(objects)

    # Peers.

    @rule(number=node_ids)
    def node_gossips(self, number):
        self.gossip(self.nodes[number])

    def gossip(self, node):
        self.post(
            node.number, node.exchange.next_pushes() + node.exchange.next_digest()
        )

    def post(self, sender, sends):
        self.flying += [(sender, int(send.peer), send.message) for send in sends]

    @rule(data=st.data(), keep=st.booleans())
    def message_arrives(self, data, keep):
        if not self.flying:
            return
        index = data.draw(st.integers(0, len(self.flying) - 1))
        one = self.flying[index] if keep else self.flying.pop(index)
        self.deliver(one)

    def deliver(self, one):
        sender, receiver, message = one
        if frozenset((sender, receiver)) in self.cut:
            return
        node = self.nodes[receiver]
        self.post(receiver, node.exchange.receive(str(sender), message))

    @rule(one=node_ids, other=node_ids)
    def link_is_cut(self, one, other):
        if one != other:
            self.cut.add(frozenset((one, other)))

    @rule()
    def links_heal(self):
        self.cut.clear()

    @rule(number=node_ids)
    def node_restarts(self, number):
        self.nodes[number] = _Node(number, lambda: self.now)

    @rule(seconds=st.floats(0.1, 10.0))
    def time_passes(self, seconds):
        self.now += seconds

    # What must hold.

    @invariant()
    def nothing_reverts(self):
        for node in getattr(self, "nodes", ()):
            held = self.held(node)
            for name, before in node.ranks.items():
                assert held[name] >= before
            node.ranks = held

    @invariant()
    def only_what_was_accepted_is_held(self):
        for node in getattr(self, "nodes", ()):
            for name in self.held(node):
                one = node.store.get(PROFILES, name)
                assert self.accepted[name][one.version] == one.value

    @rule()
    def healed_is_in_force_everywhere(self):
        self.cut.clear()
        self.platform.switches = Switches()
        self.run_rounds(ask=True)
        listing = self.call(self.platform.list(PROFILES))
        expected = {
            name: rank_of(versioned_object(stored))
            for name, stored in listing.by_name.items()
        }
        for node in self.nodes:
            assert self.held(node) == expected

    @rule()
    def peers_agree_without_the_platform(self):
        self.cut.clear()
        self.platform.switches = Switches(down=True)
        self.run_rounds(ask=False)
        assert len({node.store.root(PROFILES) for node in self.nodes}) == 1

    def held(self, node):
        ranks = {name: node.store.rank(PROFILES, name) for name in NAMES}
        return {name: rank for name, rank in ranks.items() if rank is not None}

    def run_rounds(self, *, ask):
        for _ in range(HEALED_SECONDS):
            self.now += 1.0
            for node in self.nodes:
                if ask:
                    self.ask(node)
                self.gossip(node)
            for _ in range(MAX_DELIVERIES):
                if not self.flying:
                    break
                self.deliver(self.flying.pop(0))
            assert not self.flying, "peers answer each other without end"


TestConvergence = Convergence.TestCase
TestConvergence.settings = settings(max_examples=60, stateful_step_count=30)
