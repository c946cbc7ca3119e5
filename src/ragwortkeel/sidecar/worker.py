"""Tasks of the sidecar daemon: the sidecar and its configuration."""

from random import Random
from time import monotonic
from uuid import uuid4

import curio

from ragwortkeel.configuration import PROFILES, UPSTREAMS
from ragwortkeel.configuration_store import ConfigurationStore, InForce
from ragwortkeel.gossip import ExchangePeers, FromPeer, Gossip
from ragwortkeel.links import Received
from ragwortkeel.messages import Heartbeat, VersionedObject
from ragwortkeel.metrics import Metrics
from ragwortkeel.platform_client import HttpPlatform
from ragwortkeel.process import Leftover
from ragwortkeel.settings import SidecarSettings
from ragwortkeel.sidecar.sidecar import Sidecar
from ragwortkeel.tasks import run_together
from ragwortkeel.traces import Tracing

PEER_EXPIRY_SECONDS = 10.0
"""Silence after which a router is removed from the gossip partners."""


class SidecarWorker:
    """Everything a sidecar process runs.

    A sidecar stores its own upstream's object and receives it from connected
    routers; it never watches the platform.

    .. versionadded:: 0.1
    """

    def __init__(self, *, settings: SidecarSettings) -> None:
        self.metrics = Metrics()
        self.tracing = Tracing(node=settings.name)
        self._platform = HttpPlatform(address=settings.platform)
        self._store = ConfigurationStore(
            kinds=(UPSTREAMS, PROFILES),
            only={
                UPSTREAMS: frozenset({settings.upstream}),
                PROFILES: frozenset(),
            },
        )
        self._peer_messages: curio.Queue = curio.Queue()
        self._last_received_at_by_peer: dict[str, float] = {}
        self._sidecar = Sidecar(
            settings=settings,
            incarnation=f"{settings.name}-{uuid4().hex[:12]}",
            platform=self._platform,
            revision=lambda: self._store.revision,
            configuration_inbox=self._peer_messages,
            tracing=self.tracing,
            metrics=self.metrics,
        )
        self._gossip = Gossip(
            name=settings.address,
            zone=settings.zone,
            platform=self._platform,
            store=self._store,
            send=self._sidecar.send,
            random=Random(),
            listener=self._receive_objects,
            follows=False,
        )
        self._serving: curio.Task | None = None

    @property
    def ready(self) -> bool:
        """Whether work is admitted."""
        return self._sidecar.admitted

    def open(self) -> None:
        """Bind the endpoint."""
        self._sidecar.open()

    async def run(self) -> None:
        """Run until cancelled or until a task fails."""
        self._serving = await curio.spawn(self._sidecar.run, daemon=True)
        await run_together(self._gossip.run, self._read_peers, self._watch_sidecar)

    async def stop(self) -> Leftover:
        """Finish the runs in flight, write receipts and deregister."""
        await self._sidecar.stop()
        leftover = await self._serving.join()
        return Leftover(
            counts={
                "running": leftover.running,
                "receipts": leftover.receipts,
                "outcomes": leftover.outcomes,
            }
        )

    def in_force(self, kind: str, name: str) -> InForce:
        """Return the version of an object that is in force here."""
        return self._store.in_force(kind, name)

    async def _watch_sidecar(self) -> None:
        await self._serving.wait()
        if self._serving.exception is not None:
            raise self._serving.exception
        # After a planned stop the caller has the result and ends the process.
        await curio.Event().wait()

    async def _receive_objects(self, objects: list[VersionedObject]) -> None:
        await self._sidecar.receive_objects(tuple(objects))

    async def _read_peers(self) -> None:
        while True:
            received = await self._peer_messages.get()
            await self._record_peer(received)
            message = received.envelope.message
            event = FromPeer(
                peer=received.peer,
                revision=received.envelope.revision,
                message=None if isinstance(message, Heartbeat) else message,
            )
            await self._gossip.inbox.put(event)

    async def _record_peer(self, received: Received) -> None:
        now = monotonic()
        is_new = received.peer not in self._last_received_at_by_peer
        self._last_received_at_by_peer[received.peer] = now
        expired_peers = [
            p
            for p, at in self._last_received_at_by_peer.items()
            if now - at > PEER_EXPIRY_SECONDS
        ]
        for peer in expired_peers:
            del self._last_received_at_by_peer[peer]
        if is_new or expired_peers:
            partners = tuple(self._last_received_at_by_peer)
            await self._gossip.inbox.put(
                ExchangePeers(addresses=partners, zone_members=())
            )
