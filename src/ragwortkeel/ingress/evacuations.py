"""Which availability zones are evacuated: their upstreams get nothing new.

Failures it guards against: a process that misses a watch, one that the platform turns
away, and a history that the platform has dropped.  So what travels is never a single
change but the whole set of zones as of a revision of the platform.  It is a few bytes,
any process may pass it on, and of two sets the one of the higher revision holds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ragwortkeel.messages import EvacuatedZones


@dataclass(frozen=True, kw_only=True)
class ZonesChanged:
    """Zones that are evacuated now, and zones that are taken back."""

    evacuated: frozenset[str]
    returned: frozenset[str]


class Evacuations:
    """The evacuated availability zones as this process knows them.

    Attributes
    ----------
    current : EvacuatedZones
        The newest set that was reported.
    since_by_zone : dict of str to float
        Second at which this process learned of each evacuation, on the caller's clock.

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
        """The zones whose upstreams get nothing new."""
        return frozenset(self.since_by_zone)

    def merge(self, received: EvacuatedZones, *, now: float) -> ZonesChanged | None:
        """Take over a newer set; return what it changes, None for nothing."""
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
    """Return the set of these zones as of a revision."""
    return EvacuatedZones(revision=revision, zones=tuple(sorted(names)))
