"""The order in which processes write the ledgers, and the messages among them.

`budget.turns` says what the order is; here is who belongs to it by what is heard, and
how renewals reach whoever writes.  It is the `Group` of `ingress.renewals`.
"""

from collections.abc import Awaitable, Callable, Iterable
from time import monotonic

import curio

from ragwortkeel.budget.turns import Writer, first_in_order, place_in_order
from ragwortkeel.links import Link
from ragwortkeel.messages import (
    HandedRenewals,
    Heartbeat,
    RenewalCall,
    RenewalsWritten,
)

AVOID_SECONDS = 2.0
"""How long a process that did not write stays out of the order: by then its link has
shown whether it is heard."""

PROBE_SECONDS = 0.1
"""How long a process has to echo a heartbeat; over a busy link it takes 20 ms."""

PROBE_CHECK_SECONDS = 0.01


class Writers:
    """The processes that renew slices in the same ledgers.

    Parameters
    ----------
    address : str
        ``ip:port`` of this process, its name in the order.
    links : callable
        Returns the links that are up to the others, by address.
    processes : callable
        Returns how many processes renew slices, heard now or not, this one included.
    reply : callable
        Sends an answer the way a message came.
    own_step : callable
        Returns how slowly this process writes; see `budget.turns`.
    leaves : callable
        Returns whether this process is about to stop.
    """

    def __init__(
        self,
        *,
        address: str,
        links: Callable[[], dict[str, Link]],
        processes: Callable[[], int],
        reply: Callable[[str, RenewalsWritten], Awaitable[None]],
        own_step: Callable[[], int],
        leaves: Callable[[], bool],
    ) -> None:
        self._address = address
        self._links = links
        self._process_count = processes
        self._reply = reply
        self._identity_by_node: dict[str, str] = {}
        self._own_step = own_step
        self._is_leaving = leaves
        self._address_by_node: dict[str, str] = {}
        self._step_by_address: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._avoided_until: dict[str, float] = {}

    def heard(self, *, node: str, address: str, step: int) -> None:
        """Note where a process is and how slowly it writes."""
        self.note_address(node=node, address=address)
        self._step_by_address[address] = step

    def note_address(self, *, node: str, address: str) -> None:
        """Note where a process is."""
        self._address_by_node[node] = address

    def note_identity(self, holder: str, identity: str) -> None:
        """Note how to answer a process that handed renewals over."""
        self._identity_by_node[holder.partition("/")[0]] = identity

    def processes(self) -> int:
        """Return how many processes renew slices, heard now or not."""
        return self._process_count()

    def first(self, count: int) -> list[str]:
        """Return the addresses of the first others in order."""
        in_order = sorted(self._eligible_peers(), key=lambda writer: writer.rank)
        return [writer.name for writer in in_order[:count]]

    def note_leaving(self, address: str, *, leaving: bool) -> None:
        """Note whether a process is about to stop."""
        if leaving:
            self._leaving.add(address)
        else:
            self._leaving.discard(address)

    def link_of(self, node: str) -> Link | None:
        """Return the link to a process by its name; None unless it is up."""
        return next(iter(self.links_of([node])), None)

    def links_of(self, nodes: Iterable[str]) -> list[Link]:
        """Return the links that are up to these processes, by their names."""
        links = self._links()
        addresses = [self._address_by_node.get(node) for node in nodes]
        return [links[address] for address in addresses if address in links]

    def place(self) -> int:
        """Return how many processes before this one in order are heard."""
        peers = self._eligible_peers()
        if self._is_leaving():
            return len(peers)
        return place_in_order(self._own_writer(), peers)

    async def call_renewals(self) -> int:
        """Ask all processes that renew slices; return how many were asked."""
        links = self._links()
        for link in links.values():
            await link.try_send(RenewalCall())
        return len(links)

    async def hand_over(self, handed: HandedRenewals) -> str | None:
        """Send renewals to the first process in order, unless it is this one.

        Returns
        -------
        str or None
            The address that they were sent to.
        """
        writers = self._eligible_peers()
        if not self._is_leaving():
            writers.append(self._own_writer())
        first = first_in_order(writers)
        if first is None or first.name == self._address:
            return None
        sent = await self._links()[first.name].try_send(handed)
        return first.name if sent else None

    async def responds(self, address: str) -> bool:
        """Whether a process lives: it echoes a heartbeat."""
        link = self._links().get(address)
        asked_at = monotonic()
        if link is None or not await link.try_send(Heartbeat()):
            return False
        while monotonic() < asked_at + PROBE_SECONDS:
            await curio.sleep(PROBE_CHECK_SECONDS)
            if link.heard_at > asked_at:
                return True
        return False

    def avoid(self, address: str) -> None:
        """Leave a process out of the order that did not write what it was handed.

        One that was just killed still counts as heard for a while, and all callers
        who wait for tokens would wait for it first.
        """
        self._avoided_until[address] = monotonic() + AVOID_SECONDS

    async def answer(self, holder: str, answer: RenewalsWritten) -> None:
        """Tell a process what became of its renewals."""
        node = holder.partition("/")[0]
        link = self.link_of(node)
        if link is not None:
            await link.try_send(answer)
        elif node in self._identity_by_node:
            await self._reply(self._identity_by_node[node], answer)

    def _own_writer(self) -> Writer:
        return Writer(name=self._address, step=self._own_step())

    def _eligible_peers(self) -> list[Writer]:
        """Return who else may write for all: not who leaves or was mute just now."""
        now = monotonic()
        return [
            Writer(name=address, step=self._step_by_address.get(address, 0))
            for address in self._links()
            if address not in self._leaving
            and self._avoided_until.get(address, 0.0) <= now
        ]
