"""Which processes this one links to, and how often it heartbeats.

Pattern of load: dozens of ingress processes and as many relays.  With links between
all of them at one pace the heartbeats and their echoes grow with the square of the
fleet, and leave an instance little processor time and bandwidth for its callers.

- A relay is needed in a cut only, so a process keeps links to
  `RELAY_LINKS_PER_INGRESS` of them.  Which ones differs from process to process, by
  rendezvous hashing: in a cut the calls spread over all relays, and one that is lost
  costs few processes their way.
- A relay makes itself known to `INGRESS_LINKS_PER_RELAY` ingress processes,
  which tell the rest.
- The links to ingress processes share `HEARTBEATS_PER_SECOND`.  Only those to the
  processes that may write ledgers for this one keep the full pace.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b
from time import monotonic

from ragwortkeel.ingress.introductions import Introductions
from ragwortkeel.links import Link

RELAY_LINKS_PER_INGRESS = 4
"""Links to relays that a process keeps up; together they bear several deaths."""

INGRESS_LINKS_PER_RELAY = 3
"""Links to ingress processes that a relay keeps up."""

FULL_PACE_WRITER_COUNT = 3
"""Of the order of writers, the first ones; their links keep the full pace."""

HEARTBEATS_PER_SECOND = 20.0
"""Of one process on its links to other ingress processes."""

HEARTBEAT_SECONDS = 0.5
"""Of a link between ingress processes at full pace."""

SILENCE_SECONDS = 2.0
"""Four heartbeats; then the link connects anew and its peer counts as not heard."""

RELAY_HEARTBEAT_SECONDS = 1.0
"""A link that carries work only in a cut beats more slowly."""

RELAY_SILENCE_SECONDS = 3.5
"""Three lost heartbeats and some slack."""

CONNECT_GRACE_SECONDS = 1.0
"""A fresh link that is not up counts as down after so long: all start together."""

UNNEEDED_LINK_SECONDS = 10.0
"""A link that is no longer needed is closed after so long, when the calls on it have
ended."""


def rendezvous_order(own: str, names: Iterable[str]) -> list[str]:
    """Return the names in an order that differs from one `own` to another."""
    return sorted(names, key=lambda name: _rendezvous_weight(own, name))


def first_live(
    order: Iterable[str], *, is_down: Callable[[str], bool], count: int
) -> list[str]:
    """Return the shortest beginning of the order with `count` names not down.

    A name that has not been tried yet is not down.
    """
    chosen, missing_count = [], count
    for name in order:
        if not missing_count:
            break
        chosen.append(name)
        missing_count -= not is_down(name)
    return chosen


def heartbeat_idle_seconds(links: int) -> float:
    """Return the pause after an answered heartbeat, in seconds, on each of so many."""
    return max(0.0, links / HEARTBEATS_PER_SECOND - HEARTBEAT_SECONDS)


class Mesh:
    """The links of one process to others.

    Parameters
    ----------
    address : str
        ``ip:port`` of this process.
    introductions : Introductions
        The processes that are known.
    is_relay : bool
        Whether this process only relays.
    new_link : callable
        Returns a link to an address, by its heartbeat and silence in seconds.
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
        """Return the links whose peer is heard."""
        return [link for link in self.link_by_address.values() if link.up]

    def ingress_links(self) -> dict[str, Link]:
        """Return the links that are up to processes that place requests."""
        relays = self._introductions.relays
        return {
            link.name: link for link in self.live_links() if link.name not in relays
        }

    def relay_links(self) -> dict[str, Link]:
        """Return the links that are up to processes that only relay."""
        relays = self._introductions.relays
        return {link.name: link for link in self.live_links() if link.name in relays}

    def platform_relays(self) -> list[Link]:
        """Return the links that may carry calls of the platform, the best first."""
        links = []
        for by_address in (self.relay_links(), self.ingress_links()):
            links += [by_address[name] for name in self._in_own_order(by_address)]
        return links

    def add_missing(self) -> list[Link]:
        """Return new links to processes that this one should link to."""
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
        """Forget the links that have not been needed for long; return them."""
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
        """Let the links share the heartbeats, but for those at full pace."""
        at_full_pace = set(full_pace) | self._introductions.relays
        idle = heartbeat_idle_seconds(len(self.link_by_address))
        for address, link in self.link_by_address.items():
            link.idle_seconds = (
                0.0 if address in at_full_pace or self._is_relay else idle
            )

    def _needed_addresses(self) -> set[str]:
        relays = self._introductions.relays
        routers = self._introductions.known - relays
        if self._is_relay:
            return set(self._first_live(routers, INGRESS_LINKS_PER_RELAY))
        return routers | set(self._first_live(relays, RELAY_LINKS_PER_INGRESS))

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
