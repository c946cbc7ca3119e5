"""Which upstreams may get work, from entries that come late, lapse and come back.

Failures it guards against:

- An upstream leaves and a late or stale entry shows it ready again: requests are
  cut when it exits.  So entries only go up in version, and one that was seen
  leaving or gone stays so until an instance born later takes the name.
- Upstreams crash and come back under new names at the same addresses, as after a loss
  of power, and the old entries lapse seconds later: most requests meet another
  instance.  So an address belongs to the upstream of a service that was born last.
- The platform was away and let entries lapse: on its return nearly all upstreams
  look gone at once.  So entries that vanish around an outage are kept for
  `LAPSE_SECONDS` after its end, in which live upstreams write them anew.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ragwortkeel.ingress.configuration import Upstream, UpstreamState

LAPSE_SECONDS = 2.3
"""Live upstreams are back about 2 s after the platform is; some slack on top."""


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An upstream's entry and the platform's version of it.

    `upstream` is None once it is gone, `lapses_at` the monotonic second at which
    an entry that vanished around an outage counts as gone.
    """

    version: int
    upstream: Upstream | None
    lapses_at: float | None = None

    @property
    def usable(self) -> bool:
        """Whether new work may go there."""
        return self.upstream is not None and self.upstream.state is UpstreamState.READY


@dataclass(frozen=True, kw_only=True)
class Moved:
    """One upstream's change, for logs and for those who keep state about it."""

    name: str
    was_usable: bool
    usable: bool
    upstream: Upstream | None


class Directory:
    """All upstreams this process has heard of, by name.

    Parameters
    ----------
    region_by_zone : mapping of str to str
        Where each availability zone lies; empty where nothing has homes.

    Attributes
    ----------
    evacuated_zones : frozenset of str
        Availability zones whose upstreams get nothing new.

    Examples
    --------
    >>> directory = Directory()
    >>> directory.usable(service="chat")
    {}
    """

    def __init__(self, *, region_by_zone: Mapping[str, str] | None = None) -> None:
        self.evacuated_zones: frozenset[str] = frozenset()
        self._region_by_zone = region_by_zone or {}
        self._entry_by_name: dict[str, Entry] = {}
        self._outage_until = 0.0

    @property
    def upstream_by_name(self) -> dict[str, Upstream]:
        """All upstreams that are not gone, leaving ones too."""
        return {
            name: entry.upstream
            for name, entry in self._entry_by_name.items()
            if entry.upstream is not None
        }

    def get(self, name: str) -> Upstream | None:
        """Return the upstream, unless it is gone or unknown."""
        entry = self._entry_by_name.get(name)
        return entry.upstream if entry else None

    def is_usable(self, name: str) -> bool:
        """Whether the upstream is ready and its availability zone not evacuated."""
        entry = self._entry_by_name.get(name)
        if entry is None or not entry.usable:
            return False
        return entry.upstream.zone not in self.evacuated_zones

    def usable(
        self, *, service: str, regions: frozenset[str] | None = None
    ) -> dict[str, Upstream]:
        """Return the service's upstreams that may get new work.

        With `regions` only those in one of them.
        """
        return {
            name: upstream
            for name, upstream in self._ready(service).items()
            if upstream.zone not in self.evacuated_zones
            and (regions is None or self._region_by_zone.get(upstream.zone) in regions)
        }

    def withholds(self, *, service: str, regions: frozenset[str] | None) -> bool:
        """Whether all of the service's ready upstreams are evacuated or elsewhere."""
        if not self.evacuated_zones and regions is None:
            return False
        ready = self._ready(service)
        return bool(ready) and not self.usable(service=service, regions=regions)

    def in_zones(self, zones: frozenset[str]) -> list[str]:
        """Return the names of the upstreams in these availability zones."""
        by_name = self.upstream_by_name
        return [name for name, upstream in by_name.items() if upstream.zone in zones]

    def _ready(self, service: str) -> dict[str, Upstream]:
        return {
            name: entry.upstream
            for name, entry in self._entry_by_name.items()
            if entry.usable and entry.upstream.service == service
        }

    def lost_platform(self, now: float, *, seconds: float = LAPSE_SECONDS) -> None:
        """Note that entries may be missing for so long, as the platform is away."""
        self._outage_until = max(self._outage_until, now + seconds)

    def lapse_seconds(self, now: float) -> float:
        """Return for how long entries may be missing because of an outage."""
        return max(0.0, self._outage_until - now)

    def listed(
        self,
        upstream_by_name: dict[str, tuple[int, Upstream]],
        *,
        revision: int,
        now: float,
    ) -> list[Moved]:
        """Take over a whole list; what it lacks has vanished.

        An entry seen at a version above `revision` is newer than the list.
        """
        moves = []
        for name, (version, upstream) in upstream_by_name.items():
            moves += self.written(name, upstream, version=version, now=now)
        for name, entry in list(self._entry_by_name.items()):
            missing = entry.upstream is not None and name not in upstream_by_name
            if missing and entry.version <= revision:
                moves += self.vanished(name, version=revision, now=now)
        return moves

    def written(
        self, name: str, upstream: Upstream, *, version: int, now: float
    ) -> list[Moved]:
        """Take over one entry; older ones than the known are left out."""
        known = self._entry_by_name.get(name)
        if known is not None and known.version > version:
            return []
        if known is not None and _left(known) and not _reborn(known, upstream):
            upstream = _leaving(upstream)
        moves = self._set(name, Entry(version=version, upstream=upstream))
        return moves + self._settle_address(upstream)

    def replaced(self, name: str) -> list[Moved]:
        """Note that another instance answers at the upstream's address."""
        known = self._entry_by_name.get(name)
        if known is None or known.upstream is None:
            return []
        return self._set(name, _gone(known.version, known))

    def vanished(self, name: str, *, version: int, now: float) -> list[Moved]:
        """Note that the platform has no such entry any more."""
        known = self._entry_by_name.get(name)
        if known is None or known.upstream is None or known.version > version:
            return []
        if now < self._outage_until and known.usable:
            lapses_at = known.lapses_at or self._outage_until
            entry = Entry(version=version, upstream=known.upstream, lapses_at=lapses_at)
            return self._set(name, entry)
        return self._set(name, _gone(version, known))

    def expire(self, now: float) -> list[Moved]:
        """Give up entries that did not come back after an outage."""
        moves = []
        for name, entry in list(self._entry_by_name.items()):
            if entry.lapses_at is None:
                continue
            if now < self._outage_until:
                continue
            moves += self._set(name, _gone(entry.version, entry))
        return moves

    def _settle_address(self, upstream: Upstream) -> list[Moved]:
        """Give up all upstreams at one address but the one that was born last.

        Of one service only: an entry of a service that is not configured may be
        anybody's, and must not take a good upstream away.
        """
        where = upstream.service, upstream.host, upstream.port
        same = [
            (name, entry)
            for name, entry in self._entry_by_name.items()
            if entry.upstream is not None
            and (entry.upstream.service, entry.upstream.host, entry.upstream.port)
            == where
        ]
        last = max(entry.upstream.born for _, entry in same)
        moves = []
        for name, entry in same:
            if entry.upstream.born < last:
                moves += self._set(name, _gone(entry.version, entry))
        return moves

    def _set(self, name: str, entry: Entry) -> list[Moved]:
        known = self._entry_by_name.get(name)
        self._entry_by_name[name] = entry
        was_usable = known is not None and known.usable
        if known is not None and known.upstream == entry.upstream:
            return []
        return [
            Moved(
                name=name,
                was_usable=was_usable,
                usable=entry.usable,
                upstream=entry.upstream,
            )
        ]


def _left(entry: Entry) -> bool:
    return entry.upstream is not None and entry.upstream.state is UpstreamState.LEAVING


def _reborn(known: Entry, upstream: Upstream) -> bool:
    return upstream.born > known.upstream.born


def _leaving(upstream: Upstream) -> Upstream:
    return msgspec.structs.replace(upstream, state=UpstreamState.LEAVING)


def _gone(version: int, entry: Entry) -> Entry:
    return Entry(version=version, upstream=None)
