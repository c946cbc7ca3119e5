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
  `OUTAGE_GRACE_SECONDS` after its end, in which live upstreams write them anew.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ragwortkeel.ingress.configuration import Upstream, UpstreamState

OUTAGE_GRACE_SECONDS = 2.3
"""Live upstreams are back about 2 s after the platform is; some slack on top."""


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An upstream's entry and the platform's version of it.

    `upstream` is None once it is gone, `expires_at` the monotonic second at which
    an entry that vanished around an outage counts as gone.
    """

    version: int
    upstream: Upstream | None
    expires_at: float | None = None

    @property
    def usable(self) -> bool:
        """Whether new work may go there."""
        return self.upstream is not None and self.upstream.state is UpstreamState.READY


@dataclass(frozen=True, kw_only=True)
class DirectoryChange:
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

    def withholds_all(self, *, service: str, regions: frozenset[str] | None) -> bool:
        """Whether all of the service's ready upstreams are evacuated or elsewhere."""
        if not self.evacuated_zones and regions is None:
            return False
        ready = self._ready(service)
        return bool(ready) and not self.usable(service=service, regions=regions)

    def names_in_zones(self, zones: frozenset[str]) -> list[str]:
        """Return the names of the upstreams in these availability zones."""
        by_name = self.upstream_by_name
        return [name for name, upstream in by_name.items() if upstream.zone in zones]

    def _ready(self, service: str) -> dict[str, Upstream]:
        return {
            name: entry.upstream
            for name, entry in self._entry_by_name.items()
            if entry.usable and entry.upstream.service == service
        }

    def record_outage(
        self, now: float, *, seconds: float = OUTAGE_GRACE_SECONDS
    ) -> None:
        """Note that entries may be missing for so long, as the platform is away."""
        self._outage_until = max(self._outage_until, now + seconds)

    def outage_seconds_left(self, now: float) -> float:
        """Return for how long entries may be missing because of an outage."""
        return max(0.0, self._outage_until - now)

    def merge_listing(
        self,
        upstream_by_name: dict[str, tuple[int, Upstream]],
        *,
        revision: int,
        now: float,
    ) -> list[DirectoryChange]:
        """Take over a whole list; what it lacks has vanished.

        An entry seen at a version above `revision` is newer than the list.
        """
        changes = []
        for name, (version, upstream) in upstream_by_name.items():
            changes += self.merge_entry(name, upstream, version=version, now=now)
        for name, entry in list(self._entry_by_name.items()):
            missing = entry.upstream is not None and name not in upstream_by_name
            if missing and entry.version <= revision:
                changes += self.record_deletion(name, version=revision, now=now)
        return changes

    def merge_entry(
        self, name: str, upstream: Upstream, *, version: int, now: float
    ) -> list[DirectoryChange]:
        """Take over one entry; older ones than the known are left out."""
        known = self._entry_by_name.get(name)
        if known is not None and known.version > version:
            return []
        if known is not None and _is_leaving(known) and not _restarted(known, upstream):
            upstream = _as_leaving(upstream)
        changes = self._set(name, Entry(version=version, upstream=upstream))
        return changes + self._delete_older_at_address(upstream)

    def record_replacement(self, name: str) -> list[DirectoryChange]:
        """Note that another instance answers at the upstream's address."""
        known = self._entry_by_name.get(name)
        if known is None or known.upstream is None:
            return []
        return self._set(name, _deleted(known.version, known))

    def record_deletion(
        self, name: str, *, version: int, now: float
    ) -> list[DirectoryChange]:
        """Note that the platform has no such entry any more."""
        known = self._entry_by_name.get(name)
        if known is None or known.upstream is None or known.version > version:
            return []
        if now < self._outage_until and known.usable:
            expires_at = known.expires_at or self._outage_until
            entry = Entry(
                version=version, upstream=known.upstream, expires_at=expires_at
            )
            return self._set(name, entry)
        return self._set(name, _deleted(version, known))

    def expire(self, now: float) -> list[DirectoryChange]:
        """Give up entries that did not come back after an outage."""
        changes = []
        for name, entry in list(self._entry_by_name.items()):
            if entry.expires_at is None:
                continue
            if now < self._outage_until:
                continue
            changes += self._set(name, _deleted(entry.version, entry))
        return changes

    def _delete_older_at_address(self, upstream: Upstream) -> list[DirectoryChange]:
        """Give up all upstreams at one address but the one that was born last.

        Of one service only: an entry of a service that is not configured may be
        anybody's, and must not take a good upstream away.
        """
        address = upstream.service, upstream.host, upstream.port
        at_address = [
            (name, entry)
            for name, entry in self._entry_by_name.items()
            if entry.upstream is not None
            and (entry.upstream.service, entry.upstream.host, entry.upstream.port)
            == address
        ]
        latest_start = max(entry.upstream.started_ms for _, entry in at_address)
        changes = []
        for name, entry in at_address:
            if entry.upstream.started_ms < latest_start:
                changes += self._set(name, _deleted(entry.version, entry))
        return changes

    def _set(self, name: str, entry: Entry) -> list[DirectoryChange]:
        known = self._entry_by_name.get(name)
        self._entry_by_name[name] = entry
        was_usable = known is not None and known.usable
        if known is not None and known.upstream == entry.upstream:
            return []
        return [
            DirectoryChange(
                name=name,
                was_usable=was_usable,
                usable=entry.usable,
                upstream=entry.upstream,
            )
        ]


def _is_leaving(entry: Entry) -> bool:
    return entry.upstream is not None and entry.upstream.state is UpstreamState.LEAVING


def _restarted(known: Entry, upstream: Upstream) -> bool:
    return upstream.started_ms > known.upstream.started_ms


def _as_leaving(upstream: Upstream) -> Upstream:
    return msgspec.structs.replace(upstream, state=UpstreamState.LEAVING)


def _deleted(version: int, entry: Entry) -> Entry:
    return Entry(version=version, upstream=None)
