"""The links between routers: a bound endpoint and links to selected peers.

The name of a peer is the address that this router connects to, or the identity
with which the peer connected to this router.
"""

from contextlib import suppress

import curio

from ragwortkeel.exceptions import LinkLost
from ragwortkeel.links import Endpoint, Link, Received
from ragwortkeel.messages import AnyMessage, Heartbeat


class PeerLinks:
    """Sends messages to other routers and receives theirs.

    Attributes
    ----------
    inbox : curio.Queue
        A `Received` for each message of a peer, heartbeats included, and the
        `LinkUp` and `LinkDown` events of the links that this router opened.

    .. versionadded:: 0.1
    """

    def __init__(self, *, address: str, incarnation: str, revision) -> None:
        self.inbox: curio.Queue = curio.Queue()
        self._incarnation = incarnation
        self._revision = revision
        self._endpoint = Endpoint(
            address=address, incarnation=incarnation, revision=revision
        )
        self._links_by_address: dict[str, Link] = {}
        self._tasks_by_address: dict[str, curio.Task] = {}

    @property
    def address(self) -> str:
        """The address that this router listens on."""
        return self._endpoint.address

    def open(self) -> None:
        """Bind the endpoint."""
        self._endpoint.open()

    def set_incarnation(self, incarnation: str) -> None:
        """Send all later messages with another incarnation."""
        self._incarnation = incarnation
        self._endpoint.incarnation = incarnation
        for link in self._links_by_address.values():
            link.incarnation = incarnation

    async def set_addresses(self, addresses: set[str]) -> None:
        """Open links to the routers at these addresses and close all others."""
        for address in set(self._links_by_address) - addresses:
            await self._tasks_by_address.pop(address).cancel()
            del self._links_by_address[address]
        for address in addresses - set(self._links_by_address):
            await self._connect(address)

    def is_up(self, address: str) -> bool:
        """Return whether the link to a router is up."""
        link = self._links_by_address.get(address)
        return link is not None and link.up

    async def send(self, peer: str, message: AnyMessage) -> None:
        """Send a message to a peer.

        Raises
        ------
        LinkLost
            There is no connection to the peer.
        """
        link = self._links_by_address.get(peer)
        if link is not None:
            await link.send(message)
            return
        await self._endpoint.send(peer, message)

    async def send_all(self, message: AnyMessage) -> None:
        """Send a message to all linked routers that are reachable."""
        for link in list(self._links_by_address.values()):
            with suppress(LinkLost):
                await link.send(message)

    async def run(self) -> None:
        """Receive messages at the endpoint until cancelled."""
        while True:
            received = await self._endpoint.receive()
            await self._echo_heartbeat(received)
            await self.inbox.put(received)

    async def close(self) -> None:
        """Close all links and the endpoint."""
        await self.set_addresses(set())
        await self._endpoint.close()

    async def _connect(self, address: str) -> None:
        link = Link(
            name=address,
            address=address,
            incarnation=self._incarnation,
            revision=self._revision,
            inbox=self.inbox,
        )
        self._links_by_address[address] = link
        self._tasks_by_address[address] = await curio.spawn(link.run, daemon=True)

    async def _echo_heartbeat(self, received: Received) -> None:
        # The link of the peer goes down unless it receives heartbeats.
        if isinstance(received.envelope.message, Heartbeat):
            with suppress(LinkLost):
                await self._endpoint.send(received.peer, Heartbeat())
