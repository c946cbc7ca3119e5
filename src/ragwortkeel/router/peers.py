"""The links between routers: a bound endpoint and links to a few partners.

A peer is named by the address that this router connected to, or by the
identity under which the peer connected here.
"""

from contextlib import suppress

import curio

from ragwortkeel.exceptions import LinkLost
from ragwortkeel.links import Endpoint, Link, Received
from ragwortkeel.messages import AnyMessage, Heartbeat


class PeerLinks:
    """Talks with other routers.

    Attributes
    ----------
    inbox : curio.Queue
        Every `Received` message of a peer, heartbeats included, and the ups
        and downs of the links opened here.

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
        """Where this router listens."""
        return self._endpoint.address

    def open(self) -> None:
        """Bind the endpoint."""
        self._endpoint.open()

    def set_incarnation(self, incarnation: str) -> None:
        """Send under another incarnation from now on."""
        self._incarnation = incarnation
        self._endpoint.incarnation = incarnation
        for link in self._links_by_address.values():
            link.incarnation = incarnation

    async def set_addresses(self, addresses: set[str]) -> None:
        """Keep links to just these routers."""
        for address in set(self._links_by_address) - addresses:
            await self._tasks_by_address.pop(address).cancel()
            del self._links_by_address[address]
        for address in addresses - set(self._links_by_address):
            await self._connect(address)

    def is_up(self, address: str) -> bool:
        """Return whether a linked router was heard lately."""
        link = self._links_by_address.get(address)
        return link is not None and link.up

    async def send(self, peer: str, message: AnyMessage) -> None:
        """Send to a peer; `LinkLost` when there is no connection."""
        link = self._links_by_address.get(peer)
        if link is not None:
            await link.send(message)
            return
        await self._endpoint.send(peer, message)

    async def send_all(self, message: AnyMessage) -> None:
        """Send to all linked routers that can be reached now."""
        for link in list(self._links_by_address.values()):
            with suppress(LinkLost):
                await link.send(message)

    async def run(self) -> None:
        """Read the endpoint until cancelled."""
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
        # The connecting side measures silence by what comes back.
        if isinstance(received.envelope.message, Heartbeat):
            with suppress(LinkLost):
                await self._endpoint.send(received.peer, Heartbeat())
