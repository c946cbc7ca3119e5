"""Admission of dispatches by registration, state, object versions and load."""

import msgspec

from ragwortkeel.configuration import PROFILES, UPSTREAMS, Upstream, UpstreamState
from ragwortkeel.configuration_store import rank_of
from ragwortkeel.logs import log_error
from ragwortkeel.messages import Dispatch, RefusalReason, VersionedObject

SHORT_RETRY_SECONDS = 1.0
"""Retry delay for reasons that pass without intervention, such as an overload."""

LONG_RETRY_SECONDS = 10.0
"""Retry delay for reasons that last until an operator or the platform acts."""

_LONG_RETRY_REASONS = {RefusalReason.NOT_ADMITTED, RefusalReason.QUARANTINED}
_SHORT_RETRY_REASONS = {RefusalReason.OVERLOADED, RefusalReason.UPSTREAM_UNREACHABLE}


class Admission:
    """Decides on dispatches by registration, state, object versions and load.

    Parameters
    ----------
    upstream
        Name of the upstream beside this sidecar.
    max_running
        Number of concurrent runs at which dispatches are refused, whatever
        `refusal_threshold` is.  It bounds the memory of the process.

    Attributes
    ----------
    refusal_threshold : int
        Number of concurrent runs at which the upstream counts as overloaded.
    admitted : bool
        Whether the sidecar is registered and has read the seals.
    draining, stopping : bool
        Whether an operator drains the upstream, and whether a planned stop runs.
    upstream_leaving : bool
        Whether the upstream itself announces that it leaves.
    pause_seconds : float
        Seconds for which the upstream wants no request; 0 for none.
    """

    def __init__(self, *, upstream: str, max_running: int = 256) -> None:
        self.upstream = upstream
        self.max_running = max_running
        self.refusal_threshold = max_running
        self.admitted = False
        self.draining = False
        self.stopping = False
        self.upstream_leaving = False
        self.pause_seconds = 0.0
        self._objects_by_key: dict[tuple[str, str], VersionedObject] = {}

    @property
    def leaving(self) -> bool:
        """Whether routers should send new work elsewhere."""
        return self.draining or self.stopping or self.upstream_leaving

    def merge_object(self, entry: VersionedObject) -> bool:
        """Store an object if its rank is the highest yet; return whether it was."""
        key = (entry.kind, entry.name)
        known = self._objects_by_key.get(key)
        if known is not None and rank_of(known) >= rank_of(entry):
            return False
        self._objects_by_key[key] = entry
        if key == (UPSTREAMS, self.upstream):
            self.draining = _is_leaving(entry)
        return True

    def reason_to_refuse(
        self, dispatch: Dispatch, running: int
    ) -> RefusalReason | None:
        """Return the reason to refuse the dispatch, or None."""
        if self.stopping:
            return RefusalReason.STOPPING
        if not self.admitted:
            # Failure prevented: a sidecar that starts after a seal accepts
            # dispatches of the sealed router.  As it registers before it reads
            # the seals, the sealer finds this sidecar or this sidecar finds the
            # seal.
            return RefusalReason.NOT_ADMITTED
        if self.newer_objects(dispatch):
            return RefusalReason.STALE_CONFIGURATION
        if self.draining or self.upstream_leaving:
            return RefusalReason.DRAINING
        if self.pause_seconds or running >= min(
            self.refusal_threshold, self.max_running
        ):
            return RefusalReason.OVERLOADED
        return None

    def newer_objects(self, dispatch: Dispatch) -> tuple[VersionedObject, ...]:
        """Return the objects of which the sender used an older version."""
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
        """Return the seconds after which a retry here may succeed, 0 for no hint."""
        if reason in _SHORT_RETRY_REASONS:
            return max(SHORT_RETRY_SECONDS, self.pause_seconds)
        return LONG_RETRY_SECONDS if reason in _LONG_RETRY_REASONS else 0.0


def _is_leaving(entry: VersionedObject) -> bool:
    if entry.gone:
        return True
    try:
        upstream = msgspec.json.decode(entry.value, type=Upstream)
    except msgspec.DecodeError as exc:
        # A damaged object must not crash every sidecar that receives it.  Its
        # state is unknown, so no new work is admitted.
        log_error("upstream_unreadable", name=entry.name, error=str(exc))
        return True
    return upstream.retired or upstream.state is not UpstreamState.SERVING
