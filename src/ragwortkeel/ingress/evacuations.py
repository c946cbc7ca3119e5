"""The availability zones under evacuation, whose upstreams get no new requests.

Failures it guards against: a process misses a watch, the platform refuses a process,
or the platform has dropped its history.  So processes never send single changes but
the full set of zones at a revision of the platform, which takes a few bytes.  Any
process may forward it, and the set with the higher revision replaces the other.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ragwortkeel.messages import EvacuatedZones


@dataclass(frozen=True, kw_only=True)
class ZonesChanged:
    """Zones whose evacuation has started, and zones whose evacuation has ended."""

    evacuated: frozenset[str]
    returned: frozenset[str]


class Evacuations:
    """The evacuated availability zones that this process knows.

    Attributes
    ----------
    current : EvacuatedZones
        The newest set received.
    since_by_zone : dict of str to float
        When this process received each evacuation, in seconds of the caller's clock.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> evacuations.merge(EvacuatedZones(revision=7, zones=("a",)), now=1.0)
    ZonesChanged(evacuated=frozenset({'a'}), returned=frozenset())
    >>> evacuations.merge(EvacuatedZones(revision=6, zones=()), now=2.0)
    """

    def __init__(self) -> None:
        self.current = EvacuatedZones()
        self.since_by_zone: dict[str, float] = {}

    @property
    def zones(self) -> frozenset[str]:
        """The zones whose upstreams get no new requests."""
        return frozenset(self.since_by_zone)

    def merge(self, received: EvacuatedZones, *, now: float) -> ZonesChanged | None:
        """Replace the set by a newer one; return the difference, or None."""
        if received.revision <= self.current.revision:
            return None
        self.current = received
        previous, zones = self.zones, frozenset(received.zones)
        if zones == previous:
            return None
        for zone in previous - zones:
            del self.since_by_zone[zone]
        for zone in zones - previous:
            self.since_by_zone[zone] = now
        return ZonesChanged(evacuated=zones - previous, returned=previous - zones)


def evacuated_zones(names: Iterable[str], revision: int) -> EvacuatedZones:
    """Return the message with these zones at a revision."""
    return EvacuatedZones(revision=revision, zones=tuple(sorted(names)))
