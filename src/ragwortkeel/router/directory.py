"""The configuration in force, as requests need it: decoded and by name."""

import msgspec

from ragwortkeel.configuration import PROFILES, UPSTREAMS, Profile, Upstream
from ragwortkeel.configuration_store import ConfigurationStore

_profile_decoder = msgspec.json.Decoder(Profile)
_upstream_decoder = msgspec.json.Decoder(Upstream)

MAX_DECODED_PROFILES = 10_000
"""Profiles kept decoded; a node serves far fewer at a time than there are."""


class Directory:
    """Decoded views of a `ConfigurationStore`.

    .. versionadded:: 0.1
    """

    def __init__(self, *, store: ConfigurationStore) -> None:
        self._store = store
        self._profiles_by_name: dict[str, tuple[Profile, int]] = {}
        self._upstreams_by_name: dict[str, tuple[Upstream, int]] = {}
        self._decoded_root = 0

    def profile(self, name: str) -> tuple[Profile, int] | None:
        """Return a profile and its version, retired ones included."""
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
        """Return an upstream and its version, retired ones included."""
        return self.upstreams().get(name)

    def upstreams(self) -> dict[str, tuple[Upstream, int]]:
        """Return all upstreams and their versions by name."""
        # Not by revision: what a peer brings may be older than what is held of
        # another kind, and then the revision stands.
        if self._decoded_root != self._store.root(UPSTREAMS):
            self._decoded_root = self._store.root(UPSTREAMS)
            self._upstreams_by_name = dict(self._decode_upstreams())
        return self._upstreams_by_name

    def upstreams_of(self, back_ends: tuple[str, ...]) -> list[str]:
        """Return the names of the upstreams of some back ends, in order."""
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
                # One unreadable object must not take the others out of service.
                continue
