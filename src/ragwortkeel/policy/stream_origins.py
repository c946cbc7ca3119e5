"""Where streams began, and which software versions a service has had.

What two versions of an upstream's software write does not fit together, so a stream
goes on only at the version that began it.  Callers name only the request that brought
the first event.  Failures it guards against:

- The process that began a stream is gone: the origin of each stream is told to peers
  that its key selects.
- All ingress processes are gone at once: relays keep the origins as well.
- Nobody knows the origin of a stream, as after a loss of power of all instances: it
  goes on only if its service has had one version for longer than any stream lasts.  No
  known origin is no evidence of that by itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest
from math import inf

KEEP_SECONDS = 60.0
"""Shortest time for which origins are kept: longer than callers wait for a stream."""

MAX_ORIGINS = 50_000
"""Origins in one generation of the table, about 10 MB."""

HOLDER_COUNT = 2
"""Ingress processes that are told the origin of a stream."""

RELAY_HOLDER_COUNT = 2
"""Relays that are told it.  They seldom end with the ingress processes, but in planned
work one after the other, and each hands on what it keeps."""

_KEY_BYTES = 8
_MIXER = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1


@dataclass(frozen=True, kw_only=True)
class Origin:
    """The service and software version of the upstream that began a stream."""

    service: str
    version: str


@dataclass(frozen=True, kw_only=True)
class KnownOrigin:
    """An origin that a process has recorded.

    Attributes
    ----------
    origin : Origin or None
        None if different origins were recorded for the stream.
    recorded_at : float
        Monotonic second at which it was recorded.
    upstream : str
        Name of the upstream that began the stream; empty if it is unknown.
    """

    origin: Origin | None
    recorded_at: float
    upstream: str = ""


def stream_key(*, customer: str, request_id: str) -> int:
    """Return the key of the stream that began with this request of a customer."""
    text = f"{customer}\0{request_id}".encode()
    return int.from_bytes(blake2b(text, digest_size=_KEY_BYTES).digest())


def nearest_peers(key: int, addresses: Iterable[str], *, count: int) -> list[str]:
    """Return `count` addresses in the rendezvous order of a key.

    All processes that know the same addresses get the same ones.
    """
    return nsmallest(count, addresses, key=lambda address: _weight(key, address))


def _weight(key: int, address: str) -> int:
    mixed = (key ^ _address_hash(address)) * _MIXER & _MASK
    return (mixed ^ mixed >> 32) * _MIXER & _MASK


class _HashByAddress(dict[str, int]):
    def __missing__(self, address: str) -> int:
        digest = blake2b(address.encode(), digest_size=_KEY_BYTES).digest()
        self[address] = int.from_bytes(digest)
        return self[address]


_address_hash = _HashByAddress().__getitem__


class OriginTable:
    """The origins of recent streams, by key.

    Parameters
    ----------
    max_origins : int
        Bound of one generation; the table has two, and the older one is discarded as
        a whole.

    Attributes
    ----------
    keep_seconds : float
        Shortest time for which an origin is kept, within the bound.

    Examples
    --------
    >>> table = OriginTable()
    >>> table.record(7, Origin(service="chat", version="v1"), now=0.0)
    >>> table.get(7).origin.version
    'v1'
    """

    def __init__(self, *, max_origins: int = MAX_ORIGINS) -> None:
        self.keep_seconds = KEEP_SECONDS
        self._max_origins = max_origins
        self._newer: dict[int, KnownOrigin] = {}
        self._older: dict[int, KnownOrigin] = {}
        self._rotated_at = -inf

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def get(self, key: int) -> KnownOrigin | None:
        """Return the origin of a stream, or None if it is unknown."""
        return self._newer.get(key) or self._older.get(key)

    def newest(self, count: int) -> list[tuple[int, KnownOrigin]]:
        """Return up to `count` origins by key, those recorded last first."""
        newer = list(reversed(self._newer.items()))
        older = (pair for pair in reversed(self._older.items()))
        newer += [pair for pair in older if pair[0] not in self._newer]
        return newer[:count]

    def at_upstream(self, upstream: str, *, since: float) -> dict[int, KnownOrigin]:
        """Return the origins of streams that began at an upstream, by key.

        Only those that were recorded after the monotonic second `since`.
        """
        return {
            key: known
            for key, known in {**self._older, **self._newer}.items()
            if known.upstream == upstream and known.recorded_at >= since
        }

    def record(
        self,
        key: int,
        origin: Origin | None,
        *,
        now: float,
        upstream: str = "",
        age_seconds: float = 0.0,
    ) -> None:
        """Record an origin, or None for a stream whose origin is not certain.

        A stream with two origins has none: it is unknown which events its caller has.

        Parameters
        ----------
        upstream : str
            Name of the upstream that began the stream; empty if it is unknown.
        age_seconds : float
            How long ago another process recorded it.
        """
        if (
            now - self._rotated_at >= self.keep_seconds
            or len(self._newer) >= self._max_origins
        ):
            self._older, self._newer, self._rotated_at = self._newer, {}, now
        known = self.get(key)
        differs = known is not None and known.origin != origin
        self._newer.pop(key, None)
        self._newer[key] = KnownOrigin(
            origin=None if differs else origin,
            recorded_at=now - age_seconds,
            upstream=upstream or (known.upstream if known is not None else ""),
        )


@dataclass(frozen=True, kw_only=True)
class SeenVersions:
    """The versions of a service that one process has seen lately.

    Attributes
    ----------
    seconds : float
        Time for which the process has followed the upstreams; infinite for a process
        that started with the whole fleet.
    is_current : bool
        Whether the process follows them now; not in an outage of the platform.
    """

    versions: frozenset[str]
    seconds: float
    is_current: bool = True


def sole_version(
    seen_by_process: Iterable[SeenVersions], *, seconds: float, is_whole_fleet: bool
) -> str | None:
    """Return the only version of the last `seconds`, None unless there was just one.

    None of the processes may have seen another version, and one of them has to have
    followed the upstreams for so long until now.  A process that is cut off from the
    platform may have missed a version that others use, unless no other is left out.

    Parameters
    ----------
    seen_by_process : iterable of SeenVersions
        What processes have seen.
    is_whole_fleet : bool
        Whether these are all processes that may have begun the stream.
    """
    seen = list(seen_by_process)
    versions = frozenset().union(*(each.versions for each in seen))
    witnesses = [each for each in seen if each.is_current or is_whole_fleet]
    if len(versions) != 1 or not any(each.seconds >= seconds for each in witnesses):
        return None
    return next(iter(versions))


class VersionHistory:
    """The versions of each service that this process has seen.

    Parameters
    ----------
    is_complete : bool
        Whether there was nothing to see before this process started.
    """

    def __init__(self, *, is_complete: bool = False) -> None:
        self._since = -inf if is_complete else None
        self._present: set[tuple[str, str]] = set()
        self._gone_at: dict[tuple[str, str], float] = {}

    def update(self, present: Iterable[tuple[str, str]], *, now: float) -> None:
        """Record the pairs of service and version that upstreams have now."""
        if self._since is None:
            self._since = now
        present = set(present)
        self._gone_at |= dict.fromkeys(self._present - present, now)
        self._present = present

    def seen(
        self, service: str, *, seconds: float, now: float, is_current: bool = True
    ) -> SeenVersions:
        """Return the versions of a service in the last `seconds`."""
        self._gone_at = {
            pair: gone_at
            for pair, gone_at in self._gone_at.items()
            if now - gone_at <= seconds
        }
        return SeenVersions(
            versions=frozenset(
                version
                for name, version in self._present | self._gone_at.keys()
                if name == service
            ),
            seconds=0.0 if self._since is None else now - self._since,
            is_current=is_current,
        )
