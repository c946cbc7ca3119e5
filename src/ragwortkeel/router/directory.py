"""Decoded profiles and upstreams of the configuration in force."""

import msgspec

from ragwortkeel.configuration import PROFILES, UPSTREAMS, Profile, Upstream
from ragwortkeel.configuration_store import ConfigurationStore

_profile_decoder = msgspec.json.Decoder(Profile)
_upstream_decoder = msgspec.json.Decoder(Upstream)

MAX_DECODED_PROFILES = 10_000
"""Bounds memory; a router uses far fewer profiles at a time than exist."""


class Directory:
    """Profiles and upstreams of a `ConfigurationStore`, decoded and cached.

    .. versionadded:: 0.1
    """

    def __init__(self, *, store: ConfigurationStore) -> None:
        self._store = store
        self._profiles_by_name: dict[str, tuple[Profile, int]] = {}
        self._upstreams_by_name: dict[str, tuple[Upstream, int]] = {}
        self._decoded_root = 0

    def profile(self, name: str) -> tuple[Profile, int] | None:
        """Return a profile and its version, even if it is retired.

        Return None if the profile is unknown or can't be decoded.
        """
        rank = self._store.rank(PROFILES, name)
        if rank is None:
            return None
        decoded = self._profiles_by_name.get(name)
        if decoded is not None and decoded[1] == rank.version:
            return decoded
        stored = self._store.get(PROFILES, name)
        try:
            rv = _profile_decoder.decode(stored.value), stored.version
        except msgspec.DecodeError:
            return None
        if len(self._profiles_by_name) >= MAX_DECODED_PROFILES:
            self._profiles_by_name.clear()
        self._profiles_by_name[name] = rv
        return rv

    def upstream(self, name: str) -> tuple[Upstream, int] | None:
        """Return an upstream and its version, even if it is retired."""
        return self.upstreams().get(name)

    def upstreams(self) -> dict[str, tuple[Upstream, int]]:
        """Return all upstreams, retired ones included, and their versions by name."""
        # The revision is no cache key: it stays the same when a peer sends
        # upstreams older than the newest stored object of another kind.
        if self._decoded_root != self._store.root(UPSTREAMS):
            self._decoded_root = self._store.root(UPSTREAMS)
            self._upstreams_by_name = dict(self._decode_upstreams())
        return self._upstreams_by_name

    def upstreams_of(self, back_ends: tuple[str, ...]) -> list[str]:
        """Return the sorted names of the active upstreams of some back ends."""
        return sorted(
            name
            for name, (upstream, _) in self.upstreams().items()
            if upstream.back_end in back_ends and not upstream.retired
        )

    def _decode_upstreams(self):
        for stored in self._store.objects(UPSTREAMS):
            try:
                yield (
                    stored.name,
                    (_upstream_decoder.decode(stored.value), stored.version),
                )
            except msgspec.DecodeError:
                # An unreadable object must not hide the other upstreams.
                continue
