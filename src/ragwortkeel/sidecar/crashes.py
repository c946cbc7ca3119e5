"""Requests that were running when the upstream crashed, for the quarantine.

Only the sidecar knows everything that ran at the upstream.  It assigns each crash
an id and reports the fingerprints of the requests once; routers forward the report
and decide by `policy.quarantine`.
"""

from dataclasses import dataclass

from ragwortkeel.messages import CrashSeen, Dispatch
from ragwortkeel.policy.quarantine import fingerprint
from ragwortkeel.sidecar.effects import Peer, Send

PEER_EXPIRY_SECONDS = 10.0
"""Silence after which a router counts as disconnected; heartbeats come each second."""


@dataclass(frozen=True, kw_only=True)
class _Suspect:
    fingerprint: str
    alone: bool


class CrashDetector:
    """Tracks the runs in flight and reports the crashes that broke them.

    Parameters
    ----------
    sidecar
        Incarnation of this sidecar, the first half of each crash id.
    """

    def __init__(self, *, sidecar: str) -> None:
        self._sidecar = sidecar
        self._running_by_nonce: dict[str, _Suspect] = {}
        self._reported_nonces: set[str] = set()
        self._last_received_at_by_peer: dict[Peer, float] = {}
        self._crash_count = 0

    def record_start(self, dispatch: Dispatch) -> None:
        """Record a run that is sent to the upstream."""
        self._running_by_nonce[dispatch.nonce] = _Suspect(
            fingerprint=dispatch.fingerprint or fingerprint(dispatch.body),
            alone=dispatch.alone,
        )

    def record_end(self, nonce: str) -> None:
        """Record that a run ended."""
        self._running_by_nonce.pop(nonce, None)
        self._reported_nonces.discard(nonce)

    def record_peer(self, peer: Peer, now: float) -> None:
        """Record a message of a connected router."""
        if peer:
            self._last_received_at_by_peer[peer] = now

    def remove_expired_peers(self, now: float) -> None:
        """Remove routers that have sent nothing for `PEER_EXPIRY_SECONDS`.

        Each reconnection creates a peer with a new name, so they would accumulate.
        """
        self._last_received_at_by_peer = self._live_peers(now)

    def report_crash(self, nonce: str, now: float) -> list[Send]:
        """Report the crash that broke a run to each connected router, once.

        One crash breaks every run in flight, and each run reports it.  The first
        report names all of them, so the others don't count as separate crashes.
        """
        if nonce in self._reported_nonces or nonce not in self._running_by_nonce:
            return []
        self._crash_count += 1
        self._reported_nonces.update(self._running_by_nonce)
        suspects = list(self._running_by_nonce.values())
        seen = CrashSeen(
            crash_id=f"{self._sidecar}/{self._crash_count}",
            fingerprints=tuple(sorted({s.fingerprint for s in suspects})),
            alone=len(suspects) == 1 and suspects[0].alone,
        )
        return [Send(peer=peer, message=seen) for peer in self._live_peers(now)]

    def _live_peers(self, now: float) -> dict[Peer, float]:
        since = now - PEER_EXPIRY_SECONDS
        return {
            peer: at
            for peer, at in self._last_received_at_by_peer.items()
            if at >= since
        }
