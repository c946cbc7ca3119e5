"""Anti-entropy between configuration stores: decisions about messages, without I/O.

A process pushes each change that is new to it to a few peers for a few rounds; a
change reaches all processes in about a second.  In addition, it regularly sends a
digest to one peer.  Stores that differ compare the two levels of their hash trees
and transfer only the objects that differ.  This repairs lost pushes, partitions and
starts with an empty store, and costs one small message where stores are equal.
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
"""Maximum size of the values in one push.

The receiver requests the next push, so its queue stays short.
"""

PUSH_ROUNDS = 3
PUSH_PEERS = 3
"""Rounds in which a change is pushed, and peers that each round reaches.

Pushes miss about one process in 1,000; the digests of the same second reach it.
"""

MAX_PUSHED_BATCH_OBJECTS = 100
"""Largest batch of new objects that is pushed.

Larger batches come from a list or after a long partition and are left to the
digests.  Otherwise a process that starts empty would push the full configuration to
its peers.
"""

MAX_BRANCHES_COMPARED = 8
"""Branches of the hash tree that one exchange compares.

The bound limits the answers to a few pushes.
"""

MIN_CONFIRMATION_GAIN_SECONDS = 3.0
"""Minimum gain in confirmation age for which a digest is answered with a digest."""

MAX_MISSED_DIGESTS = 5
"""Rounds without a digest from a peer after which nothing is pushed to it.

This applies to peers that are not in `Exchange.exchange_peers`.
"""

UNKNOWN = -1
"""Placeholder below any revision, for a kind that was never listed."""

Ranks = dict[str, tuple[bool, int]]


@dataclass(frozen=True, kw_only=True)
class Send:
    """A message for a peer.

    `peer` is an address from `Exchange.exchange_peers` or the sender of the message
    that this one answers.
    """

    peer: str
    message: AnyMessage


class Exchange:
    """The exchange of one process's store with the stores of its peers.

    Parameters
    ----------
    store : ConfigurationStore
        The store to exchange.  Only the exchange writes to it.
    random : random.Random
        Chooses peers and branches.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    exchange_peers : sequence of str
        Addresses of the peers to exchange with.  The owner replaces it when
        processes start or stop.
    complete_by_kind : dict
        Revision of the platform up to which the store contains every change that
        lists and watches report; initially `UNKNOWN`.
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
        """Merge objects, schedule pushes of the new ones and return these."""
        fresh = self.store.merge(objects)
        self._fresh += fresh
        if len(fresh) <= MAX_PUSHED_BATCH_OBJECTS:
            for entry in fresh:
                self._push_rounds_by_key[entry.kind, entry.name] = PUSH_ROUNDS
        return fresh

    def drain_fresh(self) -> list[VersionedObject]:
        """Return the objects that were new since the last call."""
        fresh, self._fresh = self._fresh, []
        return fresh

    def record_complete(self, kind: str, revision: int, *, age: float = 0.0) -> None:
        """Record that the store contains each change of a kind up to `revision`.

        Parameters
        ----------
        age : float
            Seconds since the platform confirmed this.
        """
        held = self.complete_by_kind[kind]
        self.complete_by_kind[kind] = max(held, revision)
        confirmed_at = self._clock() - age
        if confirmed_at > self._confirmed_at_by_kind[kind]:
            self._confirmed_at_by_kind[kind] = confirmed_at

    def age(self, kind: str) -> float:
        """Return the seconds since the platform confirmed the store's content.

        Peers forward confirmations, so it stays low while any process that is
        connected, directly or through others, receives answers of the platform.
        """
        return self._clock() - self._confirmed_at_by_kind[kind]

    def next_pushes(self) -> list[Send]:
        """Return the pushes of this round: new objects for a few peers."""
        push = self._fresh_push()
        if push is None:
            return []
        # Peers that send digests here also receive pushes: some processes are
        # among nobody's exchange peers and would depend on their own digests.
        peers = sorted({*self.exchange_peers, *self._last_round_by_sender})
        chosen = self._random.sample(peers, min(PUSH_PEERS, len(peers)))
        return [Send(peer=peer, message=push) for peer in chosen]

    def next_digest(self) -> list[Send]:
        """Return the messages that request missing objects from one peer."""
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
        """Record a peer's revision if it is newer than the store's.

        The next digest goes to the peer that is furthest ahead.  It is not sent
        immediately, because most of the missing objects arrive as pushes.
        """
        if revision > self.store.revision:
            self._newer_revision_by_peer[peer] = revision

    def pull(self, kind: str, names: Iterable[str]) -> ConfigurationPull:
        """Return a request for newer versions of the named objects."""
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
        """Process a message and return the answers, if any."""
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
        """Return a digest, unless an answer of the peer to one is pending.

        Each push leads to a request for the next.  Without this bound, several
        pushes would start as many comparisons, each of which brings several pushes.
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
            # The contents are equal, so the peer's confirmation applies here too.
            revision = message.complete.get(kind, UNKNOWN)
            age = message.ages.get(kind, inf)
            self.record_complete(kind, revision, age=age)
            has_newer |= self.complete_by_kind[kind] > revision
            has_newer |= age - self.age(kind) > MIN_CONFIRMATION_GAIN_SECONDS
        # A process that starts during an outage of the platform cannot register,
        # so no peer sends it digests.  Only this answer confirms its content.
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
        """Return one push of limited size; `more` makes the receiver request more."""
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
    return [index for index, (hash_, other) in pairs if hash_ != other]


def _as_tuples(ranks: dict[str, Rank]) -> Ranks:
    return {name: (rank.gone, rank.version) for name, rank in ranks.items()}


def _outranks(rank: tuple[bool, int], other: tuple[bool, int] | None) -> bool:
    return other is None or rank > other
