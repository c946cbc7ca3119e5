"""The tasks that keep a node's configuration converging.

One task owns the store and its exchange; it alone writes to them.  A task for
each kind asks the platform as its schedule says and hands over what it read; a
ticker gives the rounds.  All of them talk to the owner through its inbox, and
so does whoever holds the links.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from time import monotonic

import curio

from ragwortkeel.configuration_exchange import Exchange, Send
from ragwortkeel.configuration_schedule import (
    PEER_WAIT_SECONDS,
    SIDECAR_STALE_FACTOR,
    WATCHERS_PER_ZONE,
    Action,
    FollowSchedule,
    ListAll,
    Wait,
    Watch,
    rendezvous,
)
from ragwortkeel.configuration_store import (
    RETIRABLE,
    ConfigurationStore,
    tombstone,
    versioned_object,
)
from ragwortkeel.exceptions import LinkLost, PlatformError
from ragwortkeel.messages import AnyMessage, VersionedObject
from ragwortkeel.platform import Changes, Listing, Platform

PUSH_INTERVAL_SECONDS = 0.2
"""Five or six rounds reach a zone of 40: well inside 3 s with a lost message."""

DIGEST_INTERVAL_SECONDS = 1.0
"""One digest a second costs some 200 bytes and repairs what pushes missed."""

PEER_SILENCE_SECONDS = 10.0
"""Ten lost digests: then the platform is asked as if there were no peers."""

OBJECT_READ_INTERVAL_SECONDS = 60.0
"""How often a sidecar reads its upstream's object beside asking the routers: 10,000
of them make 167 reads a second."""

MIN_REFRESH_INTERVAL_SECONDS = 0.1
"""Ten looks a second for unknown names, of all the callers of a node."""

Transport = Callable[[str, AnyMessage], Awaitable[None]]
Listener = Callable[[list[VersionedObject]], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class FromPeer:
    """A message from a peer; `peer` is what the transport answers to."""

    peer: str
    revision: int
    message: AnyMessage | None


@dataclass(frozen=True, kw_only=True)
class _Submitted:
    """What a task hands to the owner; `applied` is set once the store has it."""

    applied: curio.Event = field(default_factory=curio.Event)


@dataclass(frozen=True, kw_only=True)
class Listed(_Submitted):
    """A kind as the platform listed it."""

    kind: str
    listing: Listing


@dataclass(frozen=True, kw_only=True)
class Watched(_Submitted):
    """What a watch of a kind brought."""

    kind: str
    changes: Changes


@dataclass(frozen=True, kw_only=True)
class ExchangePeers:
    """Who there is: partners to exchange with, and the zone's routers."""

    addresses: tuple[str, ...]
    zone_members: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class MergeObjects(_Submitted):
    """Objects from elsewhere, such as a refusal by a sidecar that had newer."""

    objects: tuple[VersionedObject, ...]


@dataclass(frozen=True, kw_only=True)
class _PushDue:
    """Time for a round of pushes."""


@dataclass(frozen=True, kw_only=True)
class _DigestDue:
    """Time for a digest."""


class Gossip:
    """Keeps a store converging with the platform and the peers.

    Parameters
    ----------
    name, zone : str
        This node as the zone's members are named; a few of them watch.
    follows : bool
        Whether this node may be a watcher; a sidecar never is.
    send : callable
        ``await send(peer, message)``; may raise `LinkLost`, which is ignored:
        a later round says it again.
    listener : callable, optional
        Awaited with each batch of objects that were new.

    Attributes
    ----------
    inbox : curio.Queue
        Takes `FromPeer`, `ExchangePeers` and `MergeObjects`.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        platform: Platform,
        store: ConfigurationStore,
        send: Transport,
        random: Random,
        listener: Listener | None = None,
        follows: bool = True,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.inbox: curio.Queue = curio.Queue()
        self.exchange = Exchange(store=store, random=random, clock=clock)
        self._name = name
        self._zone = zone
        self._platform = platform
        self._store = store
        self._send = send
        self._listener = listener
        self._follows = follows
        self._clock = clock
        self._random = random
        self._zone_members: tuple[str, ...] = (name,)
        self._last_received_at = -PEER_SILENCE_SECONDS
        self._refreshed_at = -MIN_REFRESH_INTERVAL_SECONDS

    @property
    def watching(self) -> bool:
        """Whether this node is one of its zone's watchers."""
        chosen = rendezvous(self._zone, self._zone_members, WATCHERS_PER_ZONE)
        return self._follows and self._name in chosen

    @property
    def peers_reachable(self) -> bool:
        """Whether any peer was heard lately."""
        return self._clock() - self._last_received_at < PEER_SILENCE_SECONDS

    def complete(self) -> bool:
        """Return whether each kind held whole was complete once."""
        complete = self.exchange.complete_by_kind
        return all(complete[kind] >= 0 for kind in self._store.full_kinds)

    async def refresh(self, kind: str, name: str) -> bool:
        """Look for something newer of one object; return whether it was asked for.

        For a request that names what is not known here yet.  The platform is
        asked, and the partners where it does not answer; not more often than
        `MIN_REFRESH_INTERVAL_SECONDS` allows, so that bad names cannot use up its rate.
        """
        now = self._clock()
        if now - self._refreshed_at < MIN_REFRESH_INTERVAL_SECONDS:
            return False
        self._refreshed_at = now
        await self._fetch(kind, name)
        return True

    async def run(self) -> None:
        """Run until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._process_inbox)
            await group.spawn(self._tick, PUSH_INTERVAL_SECONDS, _PushDue())
            await group.spawn(self._tick, DIGEST_INTERVAL_SECONDS, _DigestDue())
            for kind in self._store.full_kinds:
                await group.spawn(self._follow, kind)
            for kind, names in self._store.only.items():
                for name in names:
                    await group.spawn(self._follow_object, kind, name)

    async def _process_inbox(self) -> None:
        while True:
            event = await self.inbox.get()
            sends = self._handle(event)
            if fresh := self.exchange.drain_fresh():
                await self._notify_listener(fresh)
            if isinstance(event, _Submitted):
                await event.applied.set()
            for send in sends:
                await self._send_or_drop(send)

    def _handle(self, event) -> list[Send]:
        match event:
            case FromPeer(peer=peer, revision=revision, message=message):
                self._last_received_at = self._clock()
                self.exchange.record_revision(peer, revision)
                return self.exchange.receive(peer, message)
            case Listed(kind=kind, listing=listing):
                self.exchange.merge_objects(self._from_list(kind, listing))
                self.exchange.record_complete(kind, listing.revision)
            case Watched(kind=kind, changes=changes):
                self.exchange.merge_objects(_from_watch(kind, changes))
                if not changes.gap:
                    self.exchange.record_complete(kind, changes.revision)
            case MergeObjects(objects=objects):
                self.exchange.merge_objects(objects)
            case ExchangePeers():
                self.exchange.exchange_peers = event.addresses
                self._zone_members = tuple({self._name, *event.zone_members})
            case _PushDue():
                return self.exchange.next_pushes()
            case _DigestDue():
                return self.exchange.next_digest()
        return []

    async def _notify_listener(self, fresh: list[VersionedObject]) -> None:
        if self._listener is not None:
            await self._listener(fresh)

    def _from_list(self, kind: str, listing: Listing) -> list[VersionedObject]:
        objects = [versioned_object(stored) for stored in listing.by_name.values()]
        if kind in RETIRABLE:
            # What operators made ends by retirement only: a list that lacks it
            # is a platform in trouble, and must not take it out of force.
            return objects
        return objects + [
            tombstone(kind, entry.name, entry.version)
            for entry in self._store.objects(kind)
            if not entry.gone
            and entry.name not in listing.by_name
            and entry.version <= listing.revision
        ]

    async def _send_or_drop(self, send: Send) -> None:
        try:
            await self._send(send.peer, send.message)
        except LinkLost:
            return

    async def _tick(self, seconds: float, event) -> None:
        while True:
            await curio.sleep(seconds * self._random.uniform(0.75, 1.25))
            await self.inbox.put(event)

    async def _follow(self, kind: str) -> None:
        schedule = FollowSchedule(
            now=self._clock(),
            random=self._random,
            stale_factor=1.0 if self._follows else SIDECAR_STALE_FACTOR,
        )
        while True:
            action = schedule.next_action(
                now=self._clock(),
                watching=self.watching,
                complete=self.exchange.complete_by_kind[kind],
                peers_reachable=self.peers_reachable,
                age=self.exchange.age(kind),
            )
            try:
                await self._execute(kind, action, schedule)
            except PlatformError:
                schedule.record_failure(now=self._clock())

    async def _execute(
        self, kind: str, action: Action, schedule: FollowSchedule
    ) -> None:
        match action:
            case Wait(seconds=seconds):
                await curio.sleep(seconds)
            case ListAll():
                listing = await self._platform.list(kind)
                await self._submit(Listed(kind=kind, listing=listing))
                size = self._store.value_bytes(kind)
                schedule.record_list(now=self._clock(), value_bytes=size)
            case Watch(revision=revision, seconds=seconds):
                changes = await self._platform.watch(kind, revision, seconds)
                await self._submit(Watched(kind=kind, changes=changes))
                complete = self.exchange.complete_by_kind[kind]
                schedule.record_watch(
                    now=self._clock(), gap=changes.gap, complete=complete
                )

    async def _submit(self, event: _Submitted) -> None:
        await self.inbox.put(event)
        await event.applied.wait()

    async def _follow_object(self, kind: str, name: str) -> None:
        """Look for one object where the peers do not bring it."""
        while True:
            await self._fetch(kind, name)
            seconds = (
                OBJECT_READ_INTERVAL_SECONDS
                if self.peers_reachable
                else PEER_WAIT_SECONDS
            )
            await curio.sleep(seconds * self._random.uniform(0.5, 1.5))

    async def _fetch(self, kind: str, name: str) -> None:
        try:
            stored = await self._platform.get(kind, name)
        except PlatformError:
            pull = self.exchange.pull(kind, (name,))
            for peer in self.exchange.exchange_peers:
                await self._send_or_drop(Send(peer=peer, message=pull))
            return
        if stored is not None:
            await self._submit(MergeObjects(objects=(versioned_object(stored),)))


def _from_watch(kind: str, changes: Changes) -> list[VersionedObject]:
    objects = []
    for change in changes.changes:
        if change.stored is not None:
            objects.append(versioned_object(change.stored))
        elif kind not in RETIRABLE:
            objects.append(tombstone(kind, change.name, change.version))
    return objects
