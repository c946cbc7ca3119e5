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
have no effect.  A process that starts later is told the suspects that its peers know.

Upstreams may all crash at once for another reason, and a request that is tried again
at each of them then meets three crashes.  So crashes of one moment prove less than
those over a longer time: such a request is tried once more later, and a later start is
told one crash less.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import blake2b
from math import isfinite

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

PROOF_SECONDS = 5.0
"""Time between the first and the last crash of a request from which on they have no
common cause but the request."""

UNPROVEN_SECONDS = 30.0
"""Time after which a request is tried again whose crashes were of one moment."""

MAX_TOLD_SUSPECTS = 100
"""Suspects that a later start is told, the newest first; 10 KB in one message."""

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
    """Recorded crashes of one fingerprint.

    Attributes
    ----------
    first_at, seen_at : float
        Seconds of the first and of the last of these crashes.
    """

    crash_ids: frozenset[str] = frozenset()
    cleared_ids: frozenset[str] = frozenset()
    crashed_alone: bool = False
    first_at: float = 0.0
    seen_at: float = 0.0

    @property
    def is_proven(self) -> bool:
        """Whether the crashes are not all of one moment."""
        return self.crashed_alone or self.seen_at - self.first_at >= PROOF_SECONDS


@dataclass(frozen=True, kw_only=True)
class Suspect:
    """What one process tells another of a request that may crash upstreams."""

    fingerprint: str
    crash_ids: tuple[str, ...]
    first_at: float
    seen_at: float


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

    def allow_retry(self, name: str, now: float) -> bool:
        """Return whether a refused body is tried again, as its crashes prove little.

        Another crash refuses it for good.
        """
        suspicion = self._suspicion_by_fingerprint.get(name)
        if (
            self.verdict(name) is not Verdict.REFUSE
            or suspicion.is_proven
            or now - suspicion.seen_at < UNPROVEN_SECONDS
        ):
            return False
        left_out = sorted(suspicion.crash_ids)[CRASHES_TO_ISOLATE:]
        self._suspicion_by_fingerprint[name] = replace(
            suspicion,
            crash_ids=suspicion.crash_ids - {*left_out},
            cleared_ids=suspicion.cleared_ids | {*left_out},
        )
        return True

    def suspects(self) -> list[Suspect]:
        """Return the bodies that a later start has to know, the newest first."""
        found = []
        for name, suspicion in reversed(self._suspicion_by_fingerprint.items()):
            if len(found) == MAX_TOLD_SUSPECTS:
                break
            count = CRASHES_TO_REFUSE if suspicion.is_proven else CRASHES_TO_ISOLATE
            if len(suspicion.crash_ids) >= CRASHES_TO_ISOLATE:
                found.append(
                    Suspect(
                        fingerprint=name,
                        crash_ids=tuple(sorted(suspicion.crash_ids)[:count]),
                        first_at=suspicion.first_at,
                        seen_at=suspicion.seen_at,
                    )
                )
        return found

    def merge(self, suspects: Iterable[Suspect], now: float) -> int:
        """Add what another process knows; return the number of bodies with news."""
        recent = (
            each
            for each in suspects
            if isfinite(each.first_at) and 0.0 <= now - each.seen_at < RETENTION_SECONDS
        )
        changed = sum(map(self._merge_one, recent))
        self._discard_old(now)
        return changed

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
            first_at=suspicion.first_at if suspicion.crash_ids else now,
            seen_at=now,
        )
        self._suspicion_by_fingerprint.move_to_end(name)
        return True

    def _merge_one(self, suspect: Suspect) -> bool:
        known = self._suspicion_by_fingerprint.get(suspect.fingerprint, Suspicion())
        told_ids = {*suspect.crash_ids[:CRASHES_TO_REFUSE]}
        new_ids = told_ids - known.crash_ids - known.cleared_ids
        if not new_ids:
            return False
        first_at, seen_at = suspect.first_at, suspect.seen_at
        if known.crash_ids:
            first_at = min(known.first_at, first_at)
            seen_at = max(known.seen_at, seen_at)
        self._suspicion_by_fingerprint[suspect.fingerprint] = replace(
            known,
            crash_ids=known.crash_ids | new_ids,
            first_at=first_at,
            seen_at=seen_at,
        )
        self._suspicion_by_fingerprint.move_to_end(suspect.fingerprint)
        return True

    def _discard_old(self, now: float) -> None:
        while self._suspicion_by_fingerprint:
            oldest = next(iter(self._suspicion_by_fingerprint.values()))
            full = len(self._suspicion_by_fingerprint) > self._max_fingerprints
            if not full and oldest.seen_at + RETENTION_SECONDS > now:
                return
            self._suspicion_by_fingerprint.popitem(last=False)
