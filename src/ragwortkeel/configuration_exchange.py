"""How stores converge: decisions about messages between peers, without I/O.

A change that is new to a node is pushed on to a few partners for a few rounds
(it reaches all in about a second), and each round one partner is sent a digest.
Stores that differ walk down their hash trees, two steps, and move only what
differs; so an exchange repairs whatever lost pushes, cut links or a start with
an empty store left out, and costs one small message where nothing is missing.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from math import inf
from random import Random
from time import monotonic

from ragwortkeel.configuration_store import (
    BRANCHES,
    LEAVES,
    LEAVES_PER_BRANCH,
    ConfigurationStore,
    Rank,
)
from ragwortkeel.messages import (
    AnyMessage,
    ConfigurationBranches,
    ConfigurationDigest,
    ConfigurationLeaves,
    ConfigurationPull,
    ConfigurationPush,
    ConfigurationRanks,
    VersionedObject,
)

PUSH_BYTES = 64 * 1024
"""One message; the receiver asks for the next, so it is never flooded."""

PUSH_ROUNDS = 3
PUSH_PEERS = 3
"""With these a push reaches all but about one in 1,000 nodes; the digests of
the same second reach the rest."""

MAX_PUSHED_BATCH_OBJECTS = 100
"""Larger batches come from a list or a long cut: the digests carry those, or a
node that starts empty would push the whole configuration to its partners."""

MAX_BRANCHES_COMPARED = 8
"""Branches walked at once by one exchange; keeps the answers to a few pushes."""

MIN_CONFIRMATION_GAIN_SECONDS = 3.0
"""A digest is answered by one if the answer confirms content this much later."""

MAX_MISSED_DIGESTS = 5
"""Digests that a caller may miss before nothing is pushed to it any more."""

UNKNOWN = -1
"""Below any revision: not even an empty list was read."""

Ranks = dict[str, tuple[bool, int]]


@dataclass(frozen=True, kw_only=True)
class Send:
    """A message for a peer: a partner's address, or who sent what is answered."""

    peer: str
    message: AnyMessage


class Exchange:
    """One node's part in the convergence of all stores.

    Parameters
    ----------
    store : ConfigurationStore
        What is exchanged; nobody else writes to it.
    random : random.Random
        Chooses partners and branches.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    partners : sequence of str
        Addresses of the peers to exchange with; set anew as members change.
    complete_by_kind : dict
        The platform's revision up to which the store has seen every change,
        as far as lists and watches tell; `UNKNOWN` at first.
    """

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        random: Random,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.store = store
        self.exchange_peers: Sequence[str] = ()
        self.complete_by_kind = dict.fromkeys(store.kinds, UNKNOWN)
        self._random = random
        self._clock = clock
        self._confirmed_at_by_kind = dict.fromkeys(store.kinds, -inf)
        self._newer_revision_by_peer: dict[str, int] = {}
        self._push_rounds_by_key: dict[tuple[str, str], int] = {}
        self._awaiting_answer: set[str] = set()
        self._unfinished: set[str] = set()
        self._round = 0
        self._last_round_by_sender: dict[str, int] = {}
        self._fresh: list[VersionedObject] = []

    def merge_objects(
        self, objects: Iterable[VersionedObject]
    ) -> list[VersionedObject]:
        """Take in objects from any source; return and spread what was new."""
        fresh = self.store.merge(objects)
        self._fresh += fresh
        if len(fresh) <= MAX_PUSHED_BATCH_OBJECTS:
            for entry in fresh:
                self._push_rounds_by_key[entry.kind, entry.name] = PUSH_ROUNDS
        return fresh

    def drain_fresh(self) -> list[VersionedObject]:
        """Return what was new since the last call, for whoever acts on it."""
        fresh, self._fresh = self._fresh, []
        return fresh

    def record_complete(self, kind: str, revision: int, *, age: float = 0.0) -> None:
        """Note that every change of a kind up to `revision` is in the store.

        Parameters
        ----------
        age : float
            How many seconds ago the platform said so.
        """
        held = self.complete_by_kind[kind]
        self.complete_by_kind[kind] = max(held, revision)
        confirmed_at = self._clock() - age
        if confirmed_at > self._confirmed_at_by_kind[kind]:
            self._confirmed_at_by_kind[kind] = confirmed_at

    def age(self, kind: str) -> float:
        """Return how many seconds ago the platform confirmed the store's content.

        Peers pass it on, so it stays low as long as anyone that is connected,
        however indirectly, hears the platform.
        """
        return self._clock() - self._confirmed_at_by_kind[kind]

    def next_pushes(self) -> list[Send]:
        """Return the pushes of this round: what is fresh, to a few partners."""
        push = self._fresh_push()
        if push is None:
            return []
        # Who chose this node as a partner is pushed to as well: some nodes are
        # nobody's partner, and would learn only from their own digests.
        peers = sorted({*self.exchange_peers, *self._last_round_by_sender})
        chosen = self._random.sample(peers, min(PUSH_PEERS, len(peers)))
        return [Send(peer=peer, message=push) for peer in chosen]

    def next_digest(self) -> list[Send]:
        """Return what asks one partner for all that may be missing here."""
        self._awaiting_answer.clear()
        self._round += 1
        self._last_round_by_sender = {
            sender: last_round
            for sender, last_round in self._last_round_by_sender.items()
            if self._round - last_round <= MAX_MISSED_DIGESTS
        }
        self._unfinished.intersection_update(self.exchange_peers)
        if not self.exchange_peers:
            return []
        messages = [self.digest()]
        messages += [self.pull(kind, names) for kind, names in self.store.only.items()]
        peer = self._peer_furthest_ahead() or self._random.choice(self.exchange_peers)
        self._newer_revision_by_peer.clear()
        return [Send(peer=peer, message=message) for message in messages]

    def record_revision(self, peer: str, revision: int) -> None:
        """Note a peer's revision; the next digest goes to who is furthest ahead.

        Not at once: most of what it has is on its way here as a push.
        """
        if revision > self.store.revision:
            self._newer_revision_by_peer[peer] = revision

    def pull(self, kind: str, names: Iterable[str]) -> ConfigurationPull:
        """Return the message that asks for what is newer of some objects."""
        ranks = {name: self.store.rank(kind, name) for name in names}
        known = {name: rank or Rank(False, -1) for name, rank in ranks.items()}
        return ConfigurationPull(kind=kind, ranks=_as_tuples(known))

    def digest(self) -> ConfigurationDigest:
        """Return the message that starts an exchange."""
        return ConfigurationDigest(
            roots={kind: self.store.root(kind) for kind in self.store.full_kinds},
            complete=dict(self.complete_by_kind),
            ages={kind: self.age(kind) for kind in self.store.full_kinds},
        )

    def receive(self, peer: str, message: AnyMessage) -> list[Send]:
        """Return the answers to a message; none where it asks for nothing."""
        answers: list[AnyMessage] = []
        match message:
            case ConfigurationDigest():
                if message.roots.keys() >= set(self.store.full_kinds):
                    self._last_round_by_sender[peer] = self._round
                answers = self._compare_roots(message)
            case ConfigurationBranches():
                answers = self._compare_branches(peer, message)
            case ConfigurationLeaves():
                answers = self._compare_leaves(message)
            case ConfigurationRanks():
                answers = self._compare_ranks(peer, message)
            case ConfigurationPull():
                newer = self._newer(message.kind, message.ranks)
                answers = self._push(newer, more=False)
            case ConfigurationPush():
                fresh = self.merge_objects(message.objects)
                if fresh and (message.more or peer in self._unfinished):
                    answers = self._digest_unless_pending(peer)
        return [Send(peer=peer, message=answer) for answer in answers]

    def _peer_furthest_ahead(self) -> str | None:
        ahead = self._newer_revision_by_peer
        behind = [peer for peer in ahead if ahead[peer] <= self.store.revision]
        for peer in behind:
            del ahead[peer]
        return max(ahead, key=ahead.get, default=None)

    def _digest_unless_pending(self, peer: str) -> list[AnyMessage]:
        """Return a digest, unless the peer still owes the answer to one.

        Each push asks for the next; without this bound several pushes at once
        would start as many walks, each of which brings several pushes.
        """
        if peer in self._awaiting_answer:
            return []
        self._awaiting_answer.add(peer)
        return [self.digest()]

    def _fresh_push(self) -> ConfigurationPush | None:
        objects = []
        size = 0
        for key in list(self._push_rounds_by_key):
            entry = self.store.get(*key)
            size += len(entry.value)
            if objects and size > PUSH_BYTES:
                break
            objects.append(entry)
            self._push_rounds_by_key[key] -= 1
            if not self._push_rounds_by_key[key]:
                del self._push_rounds_by_key[key]
        return ConfigurationPush(objects=tuple(objects)) if objects else None

    def _compare_roots(self, message: ConfigurationDigest) -> list[AnyMessage]:
        answers = []
        has_newer = False
        for kind, root in message.roots.items():
            if not self._stores_all(kind):
                continue
            if root != self.store.root(kind):
                hashes = self.store.branch_hashes(kind)
                answers.append(ConfigurationBranches(kind=kind, hashes=hashes))
                continue
            # Equal content: what the peer knows to be whole is whole here.
            revision = message.complete.get(kind, UNKNOWN)
            age = message.ages.get(kind, inf)
            self.record_complete(kind, revision, age=age)
            has_newer |= self.complete_by_kind[kind] > revision
            has_newer |= age - self.age(kind) > MIN_CONFIRMATION_GAIN_SECONDS
        # A node that starts in an outage is registered nowhere, so nobody sends
        # it digests: without an answer it would never know that it is complete.
        return [*answers, self.digest()] if has_newer else answers

    def _compare_branches(
        self, peer: str, message: ConfigurationBranches
    ) -> list[AnyMessage]:
        self._awaiting_answer.discard(peer)
        if not self._stores_all(message.kind) or len(message.hashes) != BRANCHES:
            return []
        own = self.store.branch_hashes(message.kind)
        differing = _differing(own, message.hashes)
        self._random.shuffle(differing)
        if len(differing) > MAX_BRANCHES_COMPARED:
            self._unfinished.add(peer)
        else:
            self._unfinished.discard(peer)
        return [
            ConfigurationLeaves(
                kind=message.kind,
                branch=branch,
                hashes=self.store.leaf_hashes(message.kind, branch),
            )
            for branch in differing[:MAX_BRANCHES_COMPARED]
        ]

    def _compare_leaves(self, message: ConfigurationLeaves) -> list[AnyMessage]:
        if not self._stores_all(message.kind) or not 0 <= message.branch < BRANCHES:
            return []
        if len(message.hashes) != LEAVES_PER_BRANCH:
            return []
        start = message.branch * LEAVES_PER_BRANCH
        own = self.store.leaf_hashes(message.kind, message.branch)
        leaves = [start + leaf for leaf in _differing(own, message.hashes)]
        ranks: Ranks = {}
        for leaf in leaves:
            ranks |= _as_tuples(self.store.leaf_ranks(message.kind, leaf))
        return [
            ConfigurationRanks(kind=message.kind, leaves=tuple(leaves), ranks=ranks)
        ]

    def _compare_ranks(
        self, peer: str, message: ConfigurationRanks
    ) -> list[AnyMessage]:
        if not self._stores_all(message.kind):
            return []
        own: Ranks = {}
        for leaf in message.leaves:
            if 0 <= leaf < LEAVES:
                own |= _as_tuples(self.store.leaf_ranks(message.kind, leaf))
        theirs = message.ranks
        newer = [
            self.store.get(message.kind, name)
            for name, rank in own.items()
            if _outranks(rank, theirs.get(name))
        ]
        wanted = {
            name: own.get(name, (False, -1))
            for name, rank in theirs.items()
            if _outranks(rank, own.get(name))
        }
        answers: list[AnyMessage] = self._push(newer, more=peer in self._unfinished)
        if wanted:
            answers.append(ConfigurationPull(kind=message.kind, ranks=wanted))
        return answers

    def _newer(self, kind: str, ranks: Ranks) -> list[VersionedObject]:
        if not self._stores_all(kind):
            return []
        held = ((self.store.get(kind, name), rank) for name, rank in ranks.items())
        return [
            entry
            for entry, rank in held
            if entry and _outranks((entry.gone, entry.version), rank)
        ]

    def _push(self, objects: list[VersionedObject], *, more: bool) -> list[AnyMessage]:
        """Return one push, cut to size; the receiver's next digest brings more."""
        chosen = []
        size = 0
        for entry in objects:
            size += len(entry.value) + len(entry.name)
            if chosen and size > PUSH_BYTES:
                break
            chosen.append(entry)
        if not chosen:
            return []
        more = more or len(chosen) < len(objects)
        return [ConfigurationPush(objects=tuple(chosen), more=more)]

    def _stores_all(self, kind: str) -> bool:
        return kind in self.store.full_kinds


def _differing(own: Sequence[int], theirs: Sequence[int]) -> list[int]:
    pairs = enumerate(zip(own, theirs, strict=True))
    return [index for index, (entry, other) in pairs if entry != other]


def _as_tuples(ranks: dict[str, Rank]) -> Ranks:
    return {name: (rank.gone, rank.version) for name, rank in ranks.items()}


def _outranks(rank: tuple[bool, int], other: tuple[bool, int] | None) -> bool:
    return other is None or rank > other
