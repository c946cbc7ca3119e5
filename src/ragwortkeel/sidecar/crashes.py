"""Which requests were running when the upstream crashed, for the quarantine.

The sidecar alone sees everything that ran there.  It gives each crash an id and
names the bodies once; routers pass that on and decide by `policy.quarantine`.
"""

from dataclasses import dataclass

from ragwortkeel.messages import CrashSeen, Dispatch
from ragwortkeel.policy.quarantine import fingerprint
from ragwortkeel.sidecar.effects import Peer, Send

PEER_EXPIRY_SECONDS = 10.0
"""Routers heartbeat every second; one not heard for so long is gone."""


@dataclass(frozen=True, kw_only=True)
class _Suspect:
    fingerprint: str
    alone: bool


class CrashDetector:
    """Runs in flight by nonce, and the crashes that they were part of.

    Parameters
    ----------
    sidecar
        Incarnation, the first half of each crash's id.
    """

    def __init__(self, *, sidecar: str) -> None:
        self._sidecar = sidecar
        self._running_by_nonce: dict[str, _Suspect] = {}
        self._reported_nonces: set[str] = set()
        self._last_received_at_by_peer: dict[Peer, float] = {}
        self._crash_count = 0

    def record_start(self, dispatch: Dispatch) -> None:
        """Note a run that goes to the upstream."""
        self._running_by_nonce[dispatch.nonce] = _Suspect(
            fingerprint=dispatch.fingerprint or fingerprint(dispatch.body),
            alone=dispatch.alone,
        )

    def record_end(self, nonce: str) -> None:
        """Note that a run is over."""
        self._running_by_nonce.pop(nonce, None)
        self._reported_nonces.discard(nonce)

    def record_peer(self, peer: Peer, now: float) -> None:
        """Note a router that is connected."""
        if peer:
            self._last_received_at_by_peer[peer] = now

    def remove_expired_peers(self, now: float) -> None:
        """Forget routers that are not heard any more.

        Every reconnection is a peer of another name, so they would add up.
        """
        self._last_received_at_by_peer = self._live_peers(now)

    def report_crash(self, nonce: str, now: float) -> list[Send]:
        """Tell every connected router of the crash that broke a run, once.

        One crash breaks every run in flight, and each reports it: the first
        names them all, so that the rest are not taken for crashes of their own.
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
