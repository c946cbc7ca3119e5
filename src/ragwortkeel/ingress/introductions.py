"""The processes that one process knows, and which of them its peers lack.

Pattern of load: the list of processes changes a few times an hour, but with dozens of
processes it is the largest of the frequent messages; sent to every peer every 2 seconds
it would be two thirds of what an idle process sends.  So peers are sent only what is
new.  The full list goes over each link that comes up.  It also goes to one random peer
at a time, since a connection may break and return unnoticed while messages are lost.
"""

from dataclasses import dataclass

ANNOUNCE_INTERVAL_SECONDS = 2.0
"""Interval at which peers are sent new processes, and at which one peer is sent the
full list.

Processes that start at the same time are announced in one message.
"""


@dataclass(frozen=True, kw_only=True)
class Introduction:
    """Addresses of processes that a peer may not know, and which of them are relays."""

    addresses: tuple[str, ...] = ()
    relays: tuple[str, ...] = ()


NO_INTRODUCTION = Introduction()


class Introductions:
    """The processes that one process knows.

    Parameters
    ----------
    address : str
        ``ip:port`` of this process.
    seeds : iterable of str
        Addresses to start with.
    is_relay : bool
        Whether this process only relays platform calls.

    Attributes
    ----------
    known : set of str
        Addresses of the other processes.
    relays : set of str
        Addresses of the relays, including this process if it is one.
    """

    def __init__(self, *, address: str, seeds: tuple[str, ...], is_relay: bool) -> None:
        self._address = address
        self.known: set[str] = set(seeds) - {address}
        self.relays: set[str] = {address} if is_relay else set()
        self._announced: set[str] = set()
        self._announced_relays: set[str] = set()
        self._announced_at = float("-inf")

    def add(self, introduction: Introduction) -> None:
        """Add the processes that a peer or the settings name."""
        self.known |= set(introduction.addresses) - {self._address}
        self.relays |= set(introduction.relays)

    def snapshot(self) -> Introduction:
        """Return all known processes, for one peer."""
        return _introduction(self.known, self.relays)

    def drain_update(self, now: float) -> Introduction | None:
        """Return what to announce to all peers at monotonic time `now`, or None.

        What is returned counts as announced.
        """
        update = self.known - self._announced, self.relays - self._announced_relays
        if not any(update) or now - self._announced_at < ANNOUNCE_INTERVAL_SECONDS:
            return None
        self._announced_at = now
        self._announced |= self.known
        self._announced_relays |= self.relays
        return _introduction(*update)


def _introduction(known: set[str], relays: set[str]) -> Introduction:
    return Introduction(addresses=tuple(sorted(known)), relays=tuple(sorted(relays)))
