"""Which peers a process keeps links to, and how often these links send heartbeats.

Pattern of load: a fleet has dozens of ingress processes and as many relays.  With links
between all of them at one pace, the heartbeats and their echoes grow with the square of
the fleet and leave an instance little processor time and bandwidth for its callers.

- Relays are used only in a partition, so an ingress process keeps links to
  `RELAY_LINKS_PER_INGRESS` of them.  Rendezvous hashing gives each process other
  relays: in a partition the platform calls spread over all of them, and the failure of
  a relay affects few processes.
- A relay links to `INGRESS_LINKS_PER_RELAY` ingress processes, which announce it to
  the others.
- The links between ingress processes share `HEARTBEATS_PER_SECOND`.  Only those to
  watchers and to the first writers of the ledgers keep the full pace.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b
from time import monotonic

from ragwortkeel.ingress.introductions import Introductions
from ragwortkeel.links import Link

RELAY_LINKS_PER_INGRESS = 4
"""Links of an ingress process to relays: platform calls can still be relayed after
several relays have failed."""

INGRESS_LINKS_PER_RELAY = 3
"""Links of a relay to ingress processes."""

FULL_PACE_WRITER_COUNT = 3
"""Number of writers, the first in the write order, whose links keep the full pace."""

HEARTBEATS_PER_SECOND = 20.0
"""Heartbeats of one process over all its links to other ingress processes."""

HEARTBEAT_SECONDS = 0.5
"""Heartbeat interval of a link between ingress processes at full pace."""

SILENCE_SECONDS = 2.0
"""Time without a message, four heartbeats, after which a link between ingress processes
counts as down and reconnects."""

RELAY_HEARTBEAT_SECONDS = 1.0
"""Heartbeat interval of a link to or from a relay, which carries calls only in a
partition."""

RELAY_SILENCE_SECONDS = 3.5
"""Time without a message after which a link to or from a relay counts as down: three
lost heartbeats and a margin."""

CONNECT_GRACE_SECONDS = 1.0
"""Time in which a new link may connect before it counts as down; at the start of a
fleet all links connect at once."""

UNNEEDED_LINK_SECONDS = 10.0
"""Time after which a link that is no longer needed is closed, so that the calls on it
can end."""


def rendezvous_order(own: str, names: Iterable[str]) -> list[str]:
    """Return the names in an order that depends on `own`."""
    return sorted(names, key=lambda name: _rendezvous_weight(own, name))


def first_live(
    order: Iterable[str], *, is_down: Callable[[str], bool], count: int
) -> list[str]:
    """Return the shortest beginning of the order with `count` names that are not down.

    A name whose link was never opened counts as not down.
    """
    chosen, missing_count = [], count
    for name in order:
        if not missing_count:
            break
        chosen.append(name)
        missing_count -= not is_down(name)
    return chosen


def heartbeat_idle_seconds(links: int) -> float:
    """Return how long each of `links` links pauses after an answered heartbeat."""
    return max(0.0, links / HEARTBEATS_PER_SECOND - HEARTBEAT_SECONDS)


class Mesh:
    """The links of one process to its peers.

    Parameters
    ----------
    address : str
        ``ip:port`` of this process.
    introductions : Introductions
        The processes that this one knows.
    is_relay : bool
        Whether this process only relays platform calls.
    new_link : callable
        Returns a link to an address, with its heartbeat interval and silence limit in
        seconds.

    Attributes
    ----------
    link_by_address : dict of str to Link
        All links, up or down.
    """

    def __init__(
        self,
        *,
        address: str,
        introductions: Introductions,
        is_relay: bool,
        new_link: Callable[[str, float, float], Link],
    ) -> None:
        self.link_by_address: dict[str, Link] = {}
        self._address = address
        self._introductions = introductions
        self._is_relay = is_relay
        self._new_link = new_link
        self._opened_at: dict[str, float] = {}
        self._unneeded_since: dict[str, float] = {}

    def live_links(self) -> list[Link]:
        """Return the links that are up."""
        return [link for link in self.link_by_address.values() if link.up]

    def ingress_links(self) -> dict[str, Link]:
        """Return the links to ingress processes that are up, by address."""
        relays = self._introductions.relays
        return {
            link.name: link for link in self.live_links() if link.name not in relays
        }

    def relay_links(self) -> dict[str, Link]:
        """Return the links to relays that are up, by address."""
        relays = self._introductions.relays
        return {link.name: link for link in self.live_links() if link.name in relays}

    def platform_relays(self) -> list[Link]:
        """Return the links that may carry platform calls, relays first."""
        links = []
        for by_address in (self.relay_links(), self.ingress_links()):
            links += [by_address[name] for name in self._in_own_order(by_address)]
        return links

    def add_missing(self) -> list[Link]:
        """Create the links that this process needs but lacks, and return them."""
        new = self._needed_addresses() - self.link_by_address.keys()
        for address in new:
            heartbeat, silence = HEARTBEAT_SECONDS, SILENCE_SECONDS
            if self._is_relay or address in self._introductions.relays:
                heartbeat, silence = RELAY_HEARTBEAT_SECONDS, RELAY_SILENCE_SECONDS
            link = self._new_link(address, heartbeat, silence)
            self.link_by_address[address] = link
            self._opened_at[address] = monotonic()
        return [self.link_by_address[address] for address in new]

    def remove_unneeded(self, now: float | None = None) -> list[str]:
        """Remove the links that have been unneeded for long; return their addresses."""
        now = monotonic() if now is None else now
        unneeded = self.link_by_address.keys() - self._needed_addresses()
        since = {name: self._unneeded_since.get(name, now) for name in unneeded}
        removed = [
            name
            for name, unneeded_at in since.items()
            if now - unneeded_at >= UNNEEDED_LINK_SECONDS
        ]
        for name in removed:
            del since[name]
            del self.link_by_address[name]
            del self._opened_at[name]
        self._unneeded_since = since
        return removed

    def set_heartbeat_pace(self, full_pace: Iterable[str]) -> None:
        """Set the pauses between heartbeats; `full_pace` and relays have none."""
        at_full_pace = set(full_pace) | self._introductions.relays
        idle = heartbeat_idle_seconds(len(self.link_by_address))
        for address, link in self.link_by_address.items():
            link.idle_seconds = (
                0.0 if address in at_full_pace or self._is_relay else idle
            )

    def _needed_addresses(self) -> set[str]:
        relays = self._introductions.relays
        ingress = self._introductions.known - relays
        if self._is_relay:
            return set(self._first_live(ingress, INGRESS_LINKS_PER_RELAY))
        return ingress | set(self._first_live(relays, RELAY_LINKS_PER_INGRESS))

    def _first_live(self, names: Iterable[str], count: int) -> list[str]:
        return first_live(self._in_own_order(names), is_down=self._is_down, count=count)

    def _is_down(self, address: str) -> bool:
        link = self.link_by_address.get(address)
        if link is None or link.up:
            return False
        return monotonic() - self._opened_at[address] >= CONNECT_GRACE_SECONDS

    def _in_own_order(self, names: Iterable[str]) -> list[str]:
        return rendezvous_order(self._address, names)


@lru_cache(maxsize=4096)
def _rendezvous_weight(own: str, name: str) -> bytes:
    return blake2b(f"{own}/{name}".encode(), digest_size=8).digest()
