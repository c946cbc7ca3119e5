"""The upstreams that may get requests, as their entries in the platform state.

Failures it guards against:

- A late or stale entry shows a leaving upstream as ready: requests sent there are cut
  when it exits.  So the version of an entry never decreases, and an upstream that is
  leaving stays so until an instance with a later start takes its name.
- The platform lacks the entry of a leaving upstream for a while, or stores it again as
  ready: what the upstream itself announced holds until a later start.
- Upstreams crash and restart under new names at the same addresses, as after a power
  failure, and the old entries expire only seconds later: most requests reach another
  instance than intended.  So an address belongs to that upstream of a service which
  started last.
- An entry of another writer claims the address of a sound upstream: nothing is sent
  there any more.  So a claim that its first request refutes gives the address back and
  displaces nothing from then on, and an upstream that gets no requests claims nothing.
- The platform was unreachable and let entries expire: on its return nearly all
  upstreams look deleted at once.  So entries that disappear around an outage in which
  they could expire stay valid for `OUTAGE_GRACE_SECONDS` after its end, in which live
  upstreams write them again.
- A call fails while the platform is well, and an upstream's entry is deleted: requests
  sent there are cut when it exits.  So a deletion counts at once after an outage that
  is too short for entries to expire.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec

from ragwortkeel.ingress.configuration import Upstream, UpstreamState

OUTAGE_GRACE_SECONDS = 2.3
"""How long after an outage of the platform a deleted entry may still be written again.

Live upstreams write their entries within about 2 seconds of the platform's return; the
other 0.3 seconds are a margin.
"""

ENTRY_LAG_SECONDS = 3.0
"""How long an entry may describe the last start of an upstream that started again.

Outside of outages of the platform, entries are here within a second of a start.
"""

CATCH_UP_SECONDS = 1.0
"""How long after a freeze entries have to be heard of before they are certain."""


@dataclass(frozen=True, kw_only=True)
class Entry:
    """An upstream's entry and the platform's version of it.

    Attributes
    ----------
    version : int
        The platform's version of the entry, or the revision of its deletion.
    upstream : Upstream or None
        None once the entry is deleted.
    expires_at : float or None
        Monotonic second; set while the platform lacks the entry, possibly because of an
        outage.  See `Directory.expire`.
    left_started_ms : int or None
        Start of the newest instance of that name that is known to leave, or to have
        left; kept when the entry is deleted.
    removed : bool
        Whether the platform has deleted the entry, as opposed to an upstream that was
        replaced at its address.
    displaced : Upstream or None
        The upstream while another entry claims its address.
    """

    version: int
    upstream: Upstream | None
    expires_at: float | None = None
    left_started_ms: int | None = None
    removed: bool = False
    displaced: Upstream | None = None

    @property
    def is_known(self) -> bool:
        """Whether the platform has the entry, as far as known."""
        return self.upstream is not None or self.displaced is not None

    @property
    def usable(self) -> bool:
        """Whether the upstream may get requests, its availability zone aside."""
        return self.upstream is not None and self.upstream.state is UpstreamState.READY


@dataclass(frozen=True, kw_only=True)
class DirectoryChange:
    """A change of one upstream, for logs and for modules that keep state about it.

    Attributes
    ----------
    is_first : bool
        Whether no entry of that name was known before, not even a deleted one.
    """

    name: str
    was_usable: bool
    usable: bool
    upstream: Upstream | None
    previous: Upstream | None = None
    is_first: bool = False

    @property
    def has_new_version(self) -> bool:
        """Whether the upstream started again under its name at another version."""
        if self.upstream is None or self.previous is None:
            return False
        return self.upstream.version != self.previous.version


class Directory:
    """The upstreams that this process knows, by name.

    Parameters
    ----------
    region_by_zone : mapping of str to str
        The region of each availability zone; empty if no request has homes.

    Attributes
    ----------
    evacuated_zones : frozenset of str
        Availability zones whose upstreams get no new requests.
    confirmed_revision : int
        The platform's revision up to which all changes of entries are known.

    Examples
    --------
    >>> directory = Directory()
    >>> directory.usable(service="chat")
    {}
    """

    def __init__(self, *, region_by_zone: Mapping[str, str] | None = None) -> None:
        self.evacuated_zones: frozenset[str] = frozenset()
        self.confirmed_revision = 0
        self._region_by_zone = region_by_zone or {}
        self._entry_by_name: dict[str, Entry] = {}
        self._refuted: list[Upstream] = []
        self._refuted_by_name: dict[str, tuple[str, int, int]] = {}
        self._outage_until = 0.0
        self._grace_until = 0.0
        self._confirmed_at = float("-inf")
        self._possible_restart_at: dict[str, float] = {}
        self._frozen_until: float | None = None
        self._heard_until = float("-inf")

    @property
    def upstream_by_name(self) -> dict[str, Upstream]:
        """The upstreams whose entries are not deleted, including leaving ones."""
        return {
            name: entry.upstream
            for name, entry in self._entry_by_name.items()
            if entry.upstream is not None
        }

    @property
    def left_started_ms_by_name(self) -> dict[str, int]:
        """The starts of the newest leaving instances whose entries are not deleted."""
        return {
            name: entry.left_started_ms
            for name, entry in self._entry_by_name.items()
            if entry.upstream is not None and entry.left_started_ms is not None
        }

    def get(self, name: str) -> Upstream | None:
        """Return the upstream, or None if it is deleted or unknown."""
        entry = self._entry_by_name.get(name)
        return entry.upstream if entry else None

    def version_of(self, name: str) -> str | None:
        """Return the software version in an upstream's entry, None without an entry."""
        upstream = self.get(name)
        return upstream.version if upstream is not None else None

    def is_usable(self, name: str) -> bool:
        """Return whether the upstream is ready and its zone is not evacuated."""
        entry = self._entry_by_name.get(name)
        if entry is None or not entry.usable:
            return False
        return entry.upstream.zone not in self.evacuated_zones

    def usable(
        self,
        *,
        service: str,
        regions: frozenset[str] | None = None,
        version: str | None = None,
    ) -> dict[str, Upstream]:
        """Return the service's upstreams that may get requests, by name.

        With `regions`, only upstreams in one of these regions; with `version`, only
        those of this software version.
        """
        return {
            name: upstream
            for name, upstream in self._ready(service).items()
            if upstream.zone not in self.evacuated_zones
            and (regions is None or self._region_by_zone.get(upstream.zone) in regions)
            and (version is None or upstream.version == version)
        }

    def withholds_all(self, *, service: str, regions: frozenset[str] | None) -> bool:
        """Return whether the service has ready upstreams but none is usable.

        All of them are in evacuated availability zones or outside of `regions`.
        """
        if not self.evacuated_zones and regions is None:
            return False
        ready = self._ready(service)
        return bool(ready) and not self.usable(service=service, regions=regions)

    def all_leave(self, *, service: str) -> bool:
        """Return whether the service has upstreams and all of them leave."""
        states = {
            entry.upstream.state
            for entry in self._entry_by_name.values()
            if entry.upstream is not None and entry.upstream.service == service
        }
        return states == {UpstreamState.LEAVING}

    def record_possible_restart(self, name: str, now: float) -> None:
        """Record that an upstream was down, so that its entry may be out of date."""
        if name in self._entry_by_name:
            self._possible_restart_at[name] = now

    def record_freeze(self, now: float) -> None:
        """Record that this process stood still, so that all entries may be late."""
        self._frozen_until = now

    def version_is_certain(self, name: str, now: float) -> bool:
        """Return whether the upstream surely runs the version that its entry states.

        After a possible restart its entry may be late, and for as long as nothing is
        heard of the entries or the platform is unreachable.
        """
        if self._is_catching_up(now):
            return False
        restart_at = self._possible_restart_at.get(name)
        if restart_at is None:
            return True
        if not self._was_heard_after(restart_at, ENTRY_LAG_SECONDS, now):
            return False
        del self._possible_restart_at[name]
        return True

    def _is_catching_up(self, now: float) -> bool:
        """Return whether changes that were missed in a freeze may be unread."""
        if self._frozen_until is None:
            return False
        if not self._was_heard_after(self._frozen_until, CATCH_UP_SECONDS, now):
            return True
        self._frozen_until = None
        return False

    def _was_heard_after(self, moment: float, seconds: float, now: float) -> bool:
        """Return whether entries were complete `seconds` after a moment or later."""
        confirmed_at = min(now, self._confirmed_at)
        return confirmed_at - moment >= seconds and now >= self._outage_until

    def heard_until(self, now: float) -> float:
        """Return when all entries were last known, outside of outages and freezes."""
        if now >= self._outage_until and not self._is_catching_up(now):
            self._heard_until = self._confirmed_at
        return self._heard_until

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

    def record_confirmation(self, *, revision: int, now: float) -> None:
        """Record that all changes up to a revision of the platform are known."""
        self.confirmed_revision = max(self.confirmed_revision, revision)
        self._confirmed_at = now

    def age_seconds(self, now: float) -> float:
        """Return the seconds since the entries were last known to be complete."""
        return now - self._confirmed_at

    def removal_held_seconds(self, name: str, now: float) -> float:
        """Return for how long an entry that the platform lacks is still used."""
        entry = self._entry_by_name.get(name)
        if entry is None or entry.expires_at is None:
            return 0.0
        return self.grace_seconds_left(now)

    def record_outage(
        self,
        now: float,
        *,
        seconds: float = OUTAGE_GRACE_SECONDS,
        entries_expire: bool = True,
    ) -> None:
        """Record that entries may be late for `seconds` because of an outage.

        Parameters
        ----------
        entries_expire : bool
            Whether entries of live upstreams may be missing as well.
        """
        self._outage_until = max(self._outage_until, now + seconds)
        if entries_expire:
            self._grace_until = max(self._grace_until, now + seconds)

    def outage_seconds_left(self, now: float) -> float:
        """Return for how many seconds entries may still be late after an outage."""
        return max(0.0, self._outage_until - now)

    def grace_seconds_left(self, now: float) -> float:
        """Return for how many seconds entries may still be missing after an outage."""
        return max(0.0, self._grace_until - now)

    def merge_listing(
        self,
        upstream_by_name: dict[str, tuple[int, Upstream]],
        *,
        revision: int,
        now: float,
    ) -> list[DirectoryChange]:
        """Merge a full listing; entries that it lacks are deleted.

        An entry whose version is above `revision` is newer than the listing and stays.
        """
        changes = []
        for name, (version, upstream) in upstream_by_name.items():
            changes += self.merge_entry(name, upstream, version=version, now=now)
        for name, entry in list(self._entry_by_name.items()):
            missing = entry.is_known and name not in upstream_by_name
            if missing and entry.version <= revision:
                changes += self.record_deletion(name, version=revision, now=now)
        return changes

    def merge_entry(
        self, name: str, upstream: Upstream, *, version: int, now: float
    ) -> list[DirectoryChange]:
        """Merge one entry, unless a newer version of it is known."""
        known = self._entry_by_name.get(name)
        if known is not None and known.version > version:
            return []
        if known is not None and known.removed and known.version == version:
            # The platform may report a deletion with the entry's last version.
            return []
        if known is None or known.version < version:
            self._possible_restart_at.pop(name, None)
        left_started_ms = known.left_started_ms if known is not None else None
        if left_started_ms is not None and upstream.started_ms <= left_started_ms:
            upstream = _as_leaving(upstream)
        if upstream.state is UpstreamState.LEAVING:
            left_started_ms = max(upstream.started_ms, left_started_ms or 0)
        entry = Entry(
            version=version, upstream=upstream, left_started_ms=left_started_ms
        )
        changes = self._set(name, entry)
        return changes + self._delete_older_at_address(upstream)

    def record_leaving(self, name: str, *, started_ms: int) -> list[DirectoryChange]:
        """Record that an instance leaves, whatever the platform's entry says.

        Parameters
        ----------
        started_ms : int
            Unix millisecond at which the instance started; a later one is not affected.
        """
        known = self._entry_by_name.get(name) or Entry(version=0, upstream=None)
        if known.left_started_ms is not None and started_ms <= known.left_started_ms:
            return []
        entry = replace(known, left_started_ms=started_ms)
        if entry.upstream is not None and entry.upstream.started_ms <= started_ms:
            entry = replace(entry, upstream=_as_leaving(entry.upstream))
        return self._set(name, entry)

    def record_replacement(self, name: str) -> list[DirectoryChange]:
        """Record that another instance answers at the upstream's address."""
        known = self._entry_by_name.get(name)
        if known is None or known.upstream is None:
            return []
        self._refuted_by_name[name] = _claim(known.upstream)
        self._refuted.append(known.upstream)
        return self._set(name, _deleted(known.version, known))

    def restore_displaced(self) -> list[DirectoryChange]:
        """Use the upstreams again whose addresses were claimed by refuted entries."""
        refuted, self._refuted = self._refuted, []
        changes = []
        for upstream in refuted:
            changes += self._restore_displaced_by(upstream)
        return changes

    def record_deletion(
        self, name: str, *, version: int, now: float
    ) -> list[DirectoryChange]:
        """Record that the platform no longer has the entry."""
        known = self._entry_by_name.get(name)
        if known is None or not known.is_known or known.version > version:
            return []
        if now < self._grace_until and known.usable:
            expires_at = known.expires_at or self._grace_until
            held = replace(known, version=version, expires_at=expires_at, removed=True)
            return self._set(name, held)
        return self._set(name, _removed(version, known))

    def expire(self, now: float) -> list[DirectoryChange]:
        """Delete the entries that were not written again after an outage."""
        changes = []
        for name, entry in list(self._entry_by_name.items()):
            if entry.expires_at is None:
                continue
            if now < self._grace_until:
                continue
            changes += self._set(name, _removed(entry.version, entry))
        return changes

    def _delete_older_at_address(self, upstream: Upstream) -> list[DirectoryChange]:
        """Delete the upstreams at one address that started before a usable one.

        Only upstreams of the same service count: an entry of a service that is not
        configured may be anyone's and must not displace a working upstream.
        """
        at_address = [
            (name, entry)
            for name, entry in self._entry_by_name.items()
            if entry.upstream is not None
            and _address(entry.upstream) == _address(upstream)
        ]
        claims = [
            entry.upstream.started_ms
            for name, entry in at_address
            if self.is_usable(name) and not self._is_refuted(entry.upstream, name)
        ]
        changes = []
        for name, entry in at_address:
            if entry.upstream.started_ms < max(claims, default=0):
                displaced = replace(
                    _deleted(entry.version, entry), displaced=entry.upstream
                )
                changes += self._set(name, displaced)
        return changes

    def _is_refuted(self, upstream: Upstream, name: str) -> bool:
        return self._refuted_by_name.get(name) == _claim(upstream)

    def _restore_displaced_by(self, refuted: Upstream) -> list[DirectoryChange]:
        """Use the upstream again that started last of those displaced at an address."""
        displaced_by_name = {
            name: entry.displaced
            for name, entry in self._entry_by_name.items()
            if entry.displaced is not None
            and _address(entry.displaced) == _address(refuted)
            and not self._is_refuted(entry.displaced, name)
        }
        if not displaced_by_name:
            return []
        name = max(
            displaced_by_name, key=lambda name: displaced_by_name[name].started_ms
        )
        entry, upstream = self._entry_by_name[name], displaced_by_name[name]
        left = entry.left_started_ms
        if left is not None and upstream.started_ms <= left:
            upstream = _as_leaving(upstream)
        restored = replace(entry, upstream=upstream, displaced=None)
        return self._set(name, restored) + self._delete_older_at_address(upstream)

    def _set(self, name: str, entry: Entry) -> list[DirectoryChange]:
        known = self._entry_by_name.get(name)
        self._entry_by_name[name] = entry
        was_usable = known is not None and known.usable
        if entry.upstream == (known.upstream if known is not None else None):
            return []
        return [
            DirectoryChange(
                name=name,
                was_usable=was_usable,
                usable=entry.usable,
                upstream=entry.upstream,
                previous=known.upstream if known is not None else None,
                is_first=known is None,
            )
        ]


def _address(upstream: Upstream) -> tuple[str, str, int]:
    return upstream.service, upstream.host, upstream.port


def _claim(upstream: Upstream) -> tuple[str, int, int]:
    """Return what an entry claims: an address, by an instance of that start."""
    return upstream.host, upstream.port, upstream.started_ms


def _as_leaving(upstream: Upstream) -> Upstream:
    return msgspec.structs.replace(upstream, state=UpstreamState.LEAVING)


def _removed(version: int, entry: Entry) -> Entry:
    return replace(_deleted(version, entry), removed=True)


def _deleted(version: int, entry: Entry) -> Entry:
    return Entry(version=version, upstream=None, left_started_ms=entry.left_started_ms)
