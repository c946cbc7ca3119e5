"""Quarantine of requests that crash upstreams.

Load pattern: one request crashes each upstream that runs it, and its caller retries
it, often under a new key.  Without quarantine it crashes the upstreams of the fleet
one after another; a simple quarantine also refuses every innocent request that ran
beside it.

A request is identified by the fingerprint of its body.  Running during one crash
proves nothing.  After `CRASHES_TO_ISOLATE` crashes the request runs alone, at most
once more: if the upstream crashes again, the request is refused for good; if the run
ends, the request is cleared.  Innocent requests that shared a crashed upstream are
thus never refused; at worst they wait for an isolated run.

Processes exchange crashes, each under its own id, so that duplicates and reordering
have no effect.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import blake2b

CRASHES_TO_ISOLATE = 2
"""Crashes after which a request runs alone.  An innocent request rarely shares two
crashes, and a false suspicion costs one isolated run, not a refusal."""

CRASHES_TO_REFUSE = 3
"""Crashes after which a request is refused.  The third is normally that of the isolated
run.  Counting it stops a crashing request even if the router crashed before it reported
that the run was isolated."""

RETENTION_SECONDS = 24 * 3600.0
"""Time for which a crash is retained: longer than callers retry one body, shorter than
the time until a fixed engine version is deployed."""

MAX_FINGERPRINTS = 10_000
"""Fingerprints retained, about 5.6 MB; the least recently reported are discarded
first."""


def fingerprint(body: bytes) -> str:
    """Return the fingerprint of a body; equal bodies under different keys share it."""
    return blake2b(body, digest_size=16).hexdigest()


class Verdict(StrEnum):
    """How a request may be handled."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    ALONE = "alone"
    REFUSE = "refuse"


@dataclass(frozen=True, kw_only=True)
class Crash:
    """A crash of an upstream that was running these requests.

    Attributes
    ----------
    crash_id : str
        Identical for all reporters of this crash: the sidecar's incarnation and
        its count of upstream crashes.
    fingerprints : frozenset of str
        Requests that the reporter knows to have been running there.
    alone : bool
        Whether the one request ran alone.
    """

    crash_id: str
    fingerprints: frozenset[str]
    alone: bool = False


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """Recorded crashes of one fingerprint."""

    crash_ids: frozenset[str] = frozenset()
    cleared_ids: frozenset[str] = frozenset()
    crashed_alone: bool = False
    seen_at: float = 0.0


class Quarantine:
    """Bodies under suspicion, from the crashes reported so far.

    Parameters
    ----------
    max_fingerprints : int
        Maximum number of fingerprints retained.
    """

    def __init__(self, *, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        self._suspicion_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash, own or reported; return whether it is new to this process.

        A new crash has to be forwarded.
        """
        updated = [each for each in crash.fingerprints if self._add(each, crash, now)]
        self._discard_old(now)
        return bool(updated)

    def record_finish(self, name: str) -> bool:
        """Clear a body whose run completed; return whether it was suspected.

        A request that crashes upstreams crashes each one that runs it, so one complete
        answer proves it innocent.  Without clearing, a body that many callers send at
        once would accumulate crashes with other causes.
        """
        suspicion = self._suspicion_by_fingerprint.get(name)
        if suspicion is None or suspicion.crashed_alone or not suspicion.crash_ids:
            return False
        self._suspicion_by_fingerprint[name] = replace(
            suspicion,
            crash_ids=frozenset(),
            cleared_ids=suspicion.cleared_ids | suspicion.crash_ids,
        )
        return True

    def discard_crash(self, name: str, crash_id: str) -> None:
        """Let a crash that has another cause say nothing of a body."""
        suspicion = self._suspicion_by_fingerprint.get(name)
        if suspicion is None or crash_id not in suspicion.crash_ids:
            return
        self._suspicion_by_fingerprint[name] = replace(
            suspicion,
            crash_ids=suspicion.crash_ids - {crash_id},
            cleared_ids=suspicion.cleared_ids | {crash_id},
        )

    def verdict(self, name: str) -> Verdict:
        """Return how to handle a request with this fingerprint."""
        suspicion = self._suspicion_by_fingerprint.get(name)
        if suspicion is None or not (suspicion.crash_ids or suspicion.crashed_alone):
            return Verdict.CLEAR
        crashes = len(suspicion.crash_ids)
        if suspicion.crashed_alone or crashes >= CRASHES_TO_REFUSE:
            return Verdict.REFUSE
        if crashes >= CRASHES_TO_ISOLATE:
            return Verdict.ALONE
        return Verdict.SUSPECT

    def _add(self, name: str, crash: Crash, now: float) -> bool:
        suspicion = self._suspicion_by_fingerprint.get(name, Suspicion())
        recorded_ids = suspicion.crash_ids | suspicion.cleared_ids
        newly_alone = crash.alone and not suspicion.crashed_alone
        if crash.crash_id in recorded_ids and not newly_alone:
            return False
        self._suspicion_by_fingerprint[name] = replace(
            suspicion,
            crash_ids=suspicion.crash_ids | {crash.crash_id},
            crashed_alone=suspicion.crashed_alone or crash.alone,
            seen_at=now,
        )
        self._suspicion_by_fingerprint.move_to_end(name)
        return True

    def _discard_old(self, now: float) -> None:
        while self._suspicion_by_fingerprint:
            oldest = next(iter(self._suspicion_by_fingerprint.values()))
            full = len(self._suspicion_by_fingerprint) > self._max_fingerprints
            if not full and oldest.seen_at + RETENTION_SECONDS > now:
                return
            self._suspicion_by_fingerprint.popitem(last=False)
