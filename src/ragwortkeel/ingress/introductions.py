"""Which processes a process knows of, and what its peers have still to hear of them.

Pattern of load: who there is changes a few times an hour, and with dozens of processes
the list of all is the largest of the small messages.  Told to every peer every two
seconds it was two thirds of what an idle process sent.  So peers are told what is new.
The whole list goes over each fresh link, and to one peer at a time in case a connection
broke and came back unnoticed, with what was on its way lost: with n peers that do the
same, each hears it about as often as it is told to one.
"""

from dataclasses import dataclass

ANNOUNCE_INTERVAL_SECONDS = 2.0
"""How often peers are told of new processes, so that many that start at once are one
message; and how often one peer is told the whole list."""


@dataclass(frozen=True, kw_only=True)
class Introduction:
    """Processes that a peer may not know: addresses, and which of them only relay."""

    addresses: tuple[str, ...] = ()
    relays: tuple[str, ...] = ()


NO_INTRODUCTION = Introduction()


class Introductions:
    """The processes that one process has heard of.

    Parameters
    ----------
    address : str
        ``ip:port`` of this process.
    seeds : iterable of str
        Addresses to begin with.
    is_relay : bool
        Whether this process only relays.

    Attributes
    ----------
    known : set of str
        Addresses of the others.
    relays : set of str
        Addresses of those that only relay, its own among them.
    """

    def __init__(self, *, address: str, seeds: tuple[str, ...], is_relay: bool) -> None:
        self._address = address
        self.known: set[str] = set(seeds) - {address}
        self.relays: set[str] = {address} if is_relay else set()
        self._announced: set[str] = set()
        self._announced_relays: set[str] = set()
        self._announced_at = float("-inf")

    def add(self, introduction: Introduction) -> None:
        """Take in what a peer told, or the settings."""
        self.known |= set(introduction.addresses) - {self._address}
        self.relays |= set(introduction.relays)

    def snapshot(self) -> Introduction:
        """Return all, for one peer."""
        return _introduction(self.known, self.relays)

    def drain_update(self, now: float) -> Introduction | None:
        """Return what to tell all peers at this monotonic second; None if nothing.

        What is returned counts as told.
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
