"""Which processes this one links to, and how often it heartbeats.

Pattern of load: dozens of ingress processes and as many relays.  With links between
all of them at one pace the heartbeats and their echoes grow with the square of the
fleet, and leave an instance little processor time and bandwidth for its callers.

- A relay is needed in a cut only, so a process keeps links to `RELAYS` of them.  Which
  ones differs from process to process, by rendezvous hashing: in a cut the calls
  spread over all relays, and one that is lost costs few processes their way.
- A relay makes itself known to `ADVERTISED_TO` ingress processes, which tell the rest.
- The links to ingress processes share `HEARTBEATS_PER_SECOND`.  Only those to the
  processes that may write ledgers for this one keep the full pace.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b
from time import monotonic

from ragwortkeel.ingress.introductions import Introductions
from ragwortkeel.links import Link

RELAYS = 4
"""Links to relays that a process keeps up; together they bear several deaths."""

ADVERTISED_TO = 3
"""Links to ingress processes that a relay keeps up."""

WRITERS_WATCHED = 3
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

OPENING_SECONDS = 1.0
"""A fresh link that is not up counts as down after so long: all start together."""

SPARE_SECONDS = 10.0
"""A link that is no longer needed is closed after so long, when the calls on it have
ended."""


def by_rendezvous(own: str, names: Iterable[str]) -> list[str]:
    """Return the names in an order that differs from one `own` to another."""
    return sorted(names, key=lambda name: _weight(own, name))


def first_up(
    order: Iterable[str], *, is_down: Callable[[str], bool], count: int
) -> list[str]:
    """Return the shortest beginning of the order with `count` names not down.

    A name that has not been tried yet is not down.
    """
    chosen, left = [], count
    for name in order:
        if not left:
            break
        chosen.append(name)
        left -= not is_down(name)
    return chosen


def idle_pause(links: int) -> float:
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
        self._spare_since: dict[str, float] = {}

    def up(self) -> list[Link]:
        """Return the links whose peer is heard."""
        return [link for link in self.link_by_address.values() if link.up]

    def routers(self) -> dict[str, Link]:
        """Return the links that are up to processes that place requests."""
        relays = self._introductions.relays
        return {link.name: link for link in self.up() if link.name not in relays}

    def relays(self) -> dict[str, Link]:
        """Return the links that are up to processes that only relay."""
        relays = self._introductions.relays
        return {link.name: link for link in self.up() if link.name in relays}

    def platform_relays(self) -> list[Link]:
        """Return the links that may carry calls of the platform, the best first."""
        links = []
        for by_address in (self.relays(), self.routers()):
            links += [by_address[name] for name in self._preferred(by_address)]
        return links

    def missing(self) -> list[Link]:
        """Return new links to processes that this one should link to."""
        new = self._wanted() - self.link_by_address.keys()
        for address in new:
            heartbeat, silence = HEARTBEAT_SECONDS, SILENCE_SECONDS
            if self._is_relay or address in self._introductions.relays:
                heartbeat, silence = RELAY_HEARTBEAT_SECONDS, RELAY_SILENCE_SECONDS
            link = self._new_link(address, heartbeat, silence)
            self.link_by_address[address] = link
            self._opened_at[address] = monotonic()
        return [self.link_by_address[address] for address in new]

    def spare(self, now: float | None = None) -> list[str]:
        """Forget the links that have not been needed for long; return them."""
        now = monotonic() if now is None else now
        unneeded = self.link_by_address.keys() - self._wanted()
        since = {name: self._spare_since.get(name, now) for name in unneeded}
        spare = [name for name, at in since.items() if now - at >= SPARE_SECONDS]
        for name in spare:
            del since[name]
            del self.link_by_address[name]
            del self._opened_at[name]
        self._spare_since = since
        return spare

    def set_pace(self, full: Iterable[str]) -> None:
        """Let the links share the heartbeats, but for those at full pace."""
        at_full = set(full) | self._introductions.relays
        idle = idle_pause(len(self.link_by_address))
        for address, link in self.link_by_address.items():
            link.idle_seconds = 0.0 if address in at_full or self._is_relay else idle

    def _wanted(self) -> set[str]:
        relays = self._introductions.relays
        routers = self._introductions.known - relays
        if self._is_relay:
            return set(self._first_up(routers, ADVERTISED_TO))
        return routers | set(self._first_up(relays, RELAYS))

    def _first_up(self, names: Iterable[str], count: int) -> list[str]:
        return first_up(self._preferred(names), is_down=self._is_down, count=count)

    def _is_down(self, address: str) -> bool:
        link = self.link_by_address.get(address)
        if link is None or link.up:
            return False
        return monotonic() - self._opened_at[address] >= OPENING_SECONDS

    def _preferred(self, names: Iterable[str]) -> list[str]:
        return by_rendezvous(self._address, names)


@lru_cache(maxsize=4096)
def _weight(own: str, name: str) -> bytes:
    return blake2b(f"{own}/{name}".encode(), digest_size=8).digest()
