"""Whether a sidecar takes work at all: registration, state, versions, limit."""

import msgspec

from ragwortkeel.configuration import PROFILES, UPSTREAMS, Upstream, UpstreamState
from ragwortkeel.configuration_store import rank_of
from ragwortkeel.logs import log_error
from ragwortkeel.messages import Dispatch, RefusalReason, VersionedObject

SHORT_RETRY_SECONDS = 1.0
"""For reasons that pass by themselves, such as a full upstream."""

LONG_RETRY_SECONDS = 10.0
"""For reasons that wait for an operator or the platform."""

_LONG_RETRY_REASONS = {RefusalReason.NOT_ADMITTED, RefusalReason.QUARANTINED}
_SHORT_RETRY_REASONS = {RefusalReason.OVERLOADED, RefusalReason.UPSTREAM_UNREACHABLE}


class Admission:
    """What decides on new work besides the journal.

    Parameters
    ----------
    upstream
        Name of the upstream beside this sidecar.
    max_running
        Runs at once beyond which dispatches are refused whatever the limit is;
        guards the process's memory.

    Attributes
    ----------
    refusal_threshold : int
        Runs at once beyond which the upstream would be overloaded.
    admitted : bool
        Set once the sidecar is registered and has read the seals.
    draining, stopping : bool
        Leaving by an operator's wish, or by a planned stop.
    """

    def __init__(self, *, upstream: str, max_running: int = 256) -> None:
        self.upstream = upstream
        self.max_running = max_running
        self.refusal_threshold = max_running
        self.admitted = False
        self.draining = False
        self.stopping = False
        self._objects_by_key: dict[tuple[str, str], VersionedObject] = {}

    @property
    def leaving(self) -> bool:
        """Whether routers should send new work elsewhere."""
        return self.draining or self.stopping

    def merge_object(self, thing: VersionedObject) -> bool:
        """Keep the highest rank of an object; return whether it was news."""
        key = (thing.kind, thing.name)
        known = self._objects_by_key.get(key)
        if known is not None and rank_of(known) >= rank_of(thing):
            return False
        self._objects_by_key[key] = thing
        if key == (UPSTREAMS, self.upstream):
            self.draining = _is_leaving(thing)
        return True

    def reason_to_refuse(
        self, dispatch: Dispatch, running: int
    ) -> RefusalReason | None:
        """Return why the dispatch is not let in, or None."""
        if self.stopping:
            return RefusalReason.STOPPING
        if not self.admitted:
            # Failure: a sidecar that starts after a seal lets the sealed
            # router in.  Registered first and the seals read after, either the
            # sealer finds this sidecar or this sidecar finds the seal.
            return RefusalReason.NOT_ADMITTED
        if self.newer_objects(dispatch):
            return RefusalReason.STALE_CONFIGURATION
        if self.draining:
            return RefusalReason.DRAINING
        if running >= min(self.refusal_threshold, self.max_running):
            return RefusalReason.OVERLOADED
        return None

    def newer_objects(self, dispatch: Dispatch) -> tuple[VersionedObject, ...]:
        """Return the objects that the sender of the dispatch has yet to learn."""
        versions_by_key = {
            (PROFILES, dispatch.profile): dispatch.profile_version,
            (UPSTREAMS, self.upstream): dispatch.upstream_version,
        }
        return tuple(
            self._objects_by_key[key]
            for key, version in versions_by_key.items()
            if key in self._objects_by_key
            and self._objects_by_key[key].version > version
        )

    def retry_delay_seconds(self, reason: RefusalReason) -> float:
        """Return the seconds after which coming back here may help, else 0."""
        if reason in _SHORT_RETRY_REASONS:
            return SHORT_RETRY_SECONDS
        return LONG_RETRY_SECONDS if reason in _LONG_RETRY_REASONS else 0.0


def _is_leaving(thing: VersionedObject) -> bool:
    if thing.gone:
        return True
    try:
        upstream = msgspec.json.decode(thing.value, type=Upstream)
    except msgspec.DecodeError as exc:
        # A damaged object must not take down every sidecar that hears of it;
        # what it was to say is unknown, so nothing new is let in.
        log_error("upstream_unreadable", name=thing.name, error=str(exc))
        return True
    return upstream.retired or upstream.state is not UpstreamState.SERVING
