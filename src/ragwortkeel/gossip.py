"""The tasks that make the configuration of a process converge.

One task owns the store and its exchange and is their only writer.  A task for each
kind calls the platform according to its schedule and submits the results; two timers
start the rounds of pushes and of digests.  All of them, and the owner of the links,
send events to the first task through its inbox.
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
"""Interval between rounds of pushes.

Five or six rounds reach a zone of 40 processes: well within 3 s, also if a message is
lost.
"""

DIGEST_INTERVAL_SECONDS = 1.0
"""Interval between digests of about 200 bytes, which repair missed pushes."""

PEER_SILENCE_SECONDS = 10.0
"""Silence of all peers after which they count as unreachable.

The time of ten digests; then the platform is called as if there were no peers.
"""

OBJECT_READ_INTERVAL_SECONDS = 60.0
"""Mean interval between a sidecar's reads of its upstream's object.

The reads are in addition to the exchange with routers; 10,000 sidecars make 167
reads a second.
"""

MIN_REFRESH_INTERVAL_SECONDS = 0.1
"""Minimum interval between refreshes for unknown names, over all callers."""

Transport = Callable[[str, AnyMessage], Awaitable[None]]
Listener = Callable[[list[VersionedObject]], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class FromPeer:
    """A message from a peer; the transport sends answers to `peer`."""

    peer: str
    revision: int
    message: AnyMessage | None


@dataclass(frozen=True, kw_only=True)
class _Submitted:
    """An event for the owner; `applied` is set when the store contains it."""

    applied: curio.Event = field(default_factory=curio.Event)


@dataclass(frozen=True, kw_only=True)
class Listed(_Submitted):
    """A list of a kind from the platform."""

    kind: str
    listing: Listing


@dataclass(frozen=True, kw_only=True)
class Watched(_Submitted):
    """The result of a watch of a kind."""

    kind: str
    changes: Changes


@dataclass(frozen=True, kw_only=True)
class ExchangePeers:
    """The peers to exchange with and the routers of the zone."""

    addresses: tuple[str, ...]
    zone_members: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class MergeObjects(_Submitted):
    """Newer objects from other sources, such as the refusal of a sidecar."""

    objects: tuple[VersionedObject, ...]


@dataclass(frozen=True, kw_only=True)
class _PushDue:
    """Event that starts a round of pushes."""


@dataclass(frozen=True, kw_only=True)
class _DigestDue:
    """Event that starts a digest."""


class Gossip:
    """Synchronization of a store with the platform and the peers.

    Parameters
    ----------
    name, zone : str
        Name of this process among the zone's members, and the zone.
    follows : bool
        Whether this process may be a watcher; False for sidecars.
    send : callable
        ``await send(peer, message)``; may raise `LinkLost`, which is ignored,
        because a later round sends the content again.
    listener : callable, optional
        Awaited with each batch of new objects.

    Attributes
    ----------
    inbox : curio.Queue
        Receives `FromPeer`, `ExchangePeers` and `MergeObjects` events.
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
        """Whether this process is one of its zone's watchers."""
        chosen = rendezvous(self._zone, self._zone_members, WATCHERS_PER_ZONE)
        return self._follows and self._name in chosen

    @property
    def peers_reachable(self) -> bool:
        """Whether a message from a peer arrived within `PEER_SILENCE_SECONDS`."""
        return self._clock() - self._last_received_at < PEER_SILENCE_SECONDS

    def complete(self) -> bool:
        """Return whether each kind that is stored in full was complete once."""
        complete = self.exchange.complete_by_kind
        return all(complete[kind] >= 0 for kind in self._store.full_kinds)

    async def refresh(self, kind: str, name: str) -> bool:
        """Request the newest state of an object; return whether it was requested.

        Used for a request that names an object unknown here.  The object is read
        from the platform, or requested from peers if that fails.  A call within
        `MIN_REFRESH_INTERVAL_SECONDS` of the last refresh does nothing, so that
        wrong names cannot use up the platform's rate.
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
            # Objects of operators are only ever retired.  A list without one
            # is a fault of the platform and must not remove the object.
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
        """Fetch one object regularly, in case the peers do not send it."""
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
