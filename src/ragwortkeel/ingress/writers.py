"""The processes that write the ledgers, and the messages between them.

`budget.write_order` defines the order.  This module determines which processes belong
to it, from the links that are up, and sends renewals to the writer.  `Writers` is the
`RenewalPeers` of `ingress.renewals`.
"""

from collections.abc import Awaitable, Callable, Iterable
from time import monotonic

import curio

from ragwortkeel.budget.write_order import Writer, first_writer, rank_of
from ragwortkeel.links import Link
from ragwortkeel.messages import (
    HandedRenewals,
    Heartbeat,
    RenewalCall,
    RenewalsWritten,
)

AVOID_SECONDS = 2.0
"""How long a process that did not write is left out of the write order.

By then its link is down if the process is unreachable.
"""

PROBE_SECONDS = 0.1
"""How long to wait for the echo of a heartbeat; a busy link takes 20 ms."""

PROBE_CHECK_SECONDS = 0.01


class Writers:
    """The processes that renew slices in the same ledgers.

    Parameters
    ----------
    address : str
        ``ip:port`` of this process, its name in the write order.
    links : callable
        Returns the links to peers that are up, by address.
    process_count : callable
        Returns the number of processes that renew slices, reachable or not, including
        this one.
    reply : callable
        Sends an answer over the connection of the message that it answers.
    own_latency_class : callable
        Returns how slowly this process writes, see `budget.write_order`.
    is_leaving : callable
        Returns whether this process is stopping.
    """

    def __init__(
        self,
        *,
        address: str,
        links: Callable[[], dict[str, Link]],
        process_count: Callable[[], int],
        reply: Callable[[str, RenewalsWritten], Awaitable[None]],
        own_latency_class: Callable[[], int],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._address = address
        self._links = links
        self._process_count = process_count
        self._reply = reply
        self._identity_by_node: dict[str, str] = {}
        self._own_latency_class = own_latency_class
        self._is_leaving = is_leaving
        self._address_by_node: dict[str, str] = {}
        self._latency_class_by_address: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._avoided_until: dict[str, float] = {}

    def record_writer(self, *, node: str, address: str, latency_class: int) -> None:
        """Record the address of a process and how slowly it writes."""
        self.record_address(node=node, address=address)
        self._latency_class_by_address[address] = latency_class

    def record_address(self, *, node: str, address: str) -> None:
        """Record the address of a process."""
        self._address_by_node[node] = address

    def record_identity(self, holder: str, identity: str) -> None:
        """Record the connection of a process that delegated renewals."""
        self._identity_by_node[holder.partition("/")[0]] = identity

    def process_count(self) -> int:
        """Return the number of processes that renew slices, reachable or not."""
        return self._process_count()

    def first(self, count: int) -> list[str]:
        """Return the addresses of the first peers in the write order."""
        in_order = sorted(self._eligible_peers(), key=lambda writer: writer.sort_key)
        return [writer.name for writer in in_order[:count]]

    def record_leaving(self, address: str, *, leaving: bool) -> None:
        """Record whether a process is stopping."""
        if leaving:
            self._leaving.add(address)
        else:
            self._leaving.discard(address)

    def link_of(self, node: str) -> Link | None:
        """Return the link to a process, by its name; None if it is not up."""
        return next(iter(self.links_of([node])), None)

    def links_of(self, nodes: Iterable[str]) -> list[Link]:
        """Return those links to processes, by their names, that are up."""
        links = self._links()
        addresses = [self._address_by_node.get(node) for node in nodes]
        return [links[address] for address in addresses if address in links]

    def rank(self) -> int:
        """Return how many reachable peers precede this process in the write order."""
        peers = self._eligible_peers()
        if self._is_leaving():
            return len(peers)
        return rank_of(self._own_writer(), peers)

    async def request_renewals(self) -> int:
        """Request the renewals of all peers; return the number of requests."""
        links = self._links()
        for link in links.values():
            await link.try_send(RenewalCall())
        return len(links)

    async def delegate(self, delegated: HandedRenewals) -> str | None:
        """Send renewals to the first writer, unless it is this process.

        Returns
        -------
        str or None
            The address of the writer, None if nothing was sent.
        """
        writers = self._eligible_peers()
        if not self._is_leaving():
            writers.append(self._own_writer())
        first = first_writer(writers)
        if first is None or first.name == self._address:
            return None
        sent = await self._links()[first.name].try_send(delegated)
        return first.name if sent else None

    async def responds(self, address: str) -> bool:
        """Return whether a process is live: it echoes a heartbeat."""
        link = self._links().get(address)
        asked_at = monotonic()
        if link is None or not await link.try_send(Heartbeat()):
            return False
        while monotonic() < asked_at + PROBE_SECONDS:
            await curio.sleep(PROBE_CHECK_SECONDS)
            if link.last_received_at > asked_at:
                return True
        return False

    def avoid(self, address: str) -> None:
        """Leave a process that did not write delegated renewals out of the order.

        The link to a process that was just killed stays up for a while, and all callers
        that wait for tokens would wait for that process first.
        """
        self._avoided_until[address] = monotonic() + AVOID_SECONDS

    async def send_outcome(self, holder: str, answer: RenewalsWritten) -> None:
        """Send a process the outcome of the renewals that it delegated."""
        node = holder.partition("/")[0]
        link = self.link_of(node)
        if link is not None:
            await link.try_send(answer)
        elif node in self._identity_by_node:
            await self._reply(self._identity_by_node[node], answer)

    def _own_writer(self) -> Writer:
        return Writer(name=self._address, latency_class=self._own_latency_class())

    def _eligible_peers(self) -> list[Writer]:
        """Return the peers that may write: not stopping and not left out."""
        now = monotonic()
        return [
            Writer(
                name=address,
                latency_class=self._latency_class_by_address.get(address, 0),
            )
            for address in self._links()
            if address not in self._leaving
            and self._avoided_until.get(address, 0.0) <= now
        ]
