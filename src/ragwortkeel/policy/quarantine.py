"""Quarantine of requests that crash upstreams.

Pattern of load: one request crashes each upstream that runs it, and its caller
sends it again, often under a new key.  Without quarantine it takes down the
fleet one upstream after another; with a naive one, every innocent request that
ran beside it is refused too.

A request is known by the fingerprint of its body.  Running at one crash proves
nothing.  Running at `CRASHES_TO_ISOLATE` crashes, it runs alone at most once
more: if it crashes the upstream alone, it is refused for good; if it ends, it
was innocent and is cleared.  Innocents that shared a crashed upstream are thus
never refused: at worst they wait for a run alone.

What is told to the fleet are the crashes, each under an id of its own, so that
hearing one twice or in another order changes nothing.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import blake2b

CRASHES_TO_ISOLATE = 2
"""The chance of an innocent to share two crashes is small, and the cost of a
false suspicion is one run alone, not a refusal."""

CRASHES_TO_REFUSE = 3
"""The third was to be the run alone.  Counting it bounds a crashing request also
where the router died before it could tell that the run was alone."""

RETENTION_SECONDS = 24 * 3600.0
"""Longer than callers keep sending one body again, shorter than the time until
a mended engine version is out."""

MAX_FINGERPRINTS = 10_000
"""Measured at 5.6 MB; the longest unseen are forgotten first."""


def fingerprint(body: bytes) -> str:
    """Return the name of a body; equal bodies under different keys share it."""
    return blake2b(body, digest_size=16).hexdigest()


class Verdict(StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    ALONE = "alone"
    REFUSE = "refuse"


@dataclass(frozen=True, kw_only=True)
class Crash:
    """An upstream crashed with these requests on it.

    Attributes
    ----------
    crash_id : str
        The same for all who report this crash: the sidecar's incarnation and
        its count of upstream crashes.
    fingerprints : frozenset of str
        What the reporter knows to have been running there.
    alone : bool
        Whether the one request was run alone.
    """

    crash_id: str
    fingerprints: frozenset[str]
    alone: bool = False


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """What is known of one fingerprint."""

    crash_ids: frozenset[str] = frozenset()
    cleared_ids: frozenset[str] = frozenset()
    crashed_alone: bool = False
    seen_at: float = 0.0


class Quarantine:
    """Which bodies are under suspicion, from the crashes heard of so far.

    Parameters
    ----------
    keep : int
        Fingerprints remembered at the most.
    """

    def __init__(self, *, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        self._suspicion_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Take in a crash, own or told; return whether it was news to pass on."""
        news = [name for name in crash.fingerprints if self._add(name, crash, now)]
        self._discard_old(now)
        return bool(news)

    def record_finish(self, name: str) -> bool:
        """Clear a body that ran to its end; return whether it was suspected.

        A request that crashes upstreams crashes each one that runs it, so one
        whole answer proves it innocent.  Without clearing, a body that many
        callers send at once would gather crashes that are not its doing.
        """
        known = self._suspicion_by_fingerprint.get(name)
        if known is None or known.crashed_alone or not known.crash_ids:
            return False
        self._suspicion_by_fingerprint[name] = replace(
            known,
            crash_ids=frozenset(),
            cleared_ids=known.cleared_ids | known.crash_ids,
        )
        return True

    def verdict(self, name: str) -> Verdict:
        """Return what may be done with a request of this fingerprint."""
        known = self._suspicion_by_fingerprint.get(name)
        if known is None or not (known.crash_ids or known.crashed_alone):
            return Verdict.CLEAR
        crashes = len(known.crash_ids)
        if known.crashed_alone or crashes >= CRASHES_TO_REFUSE:
            return Verdict.REFUSE
        if crashes >= CRASHES_TO_ISOLATE:
            return Verdict.ALONE
        return Verdict.SUSPECT

    def _add(self, name: str, crash: Crash, now: float) -> bool:
        known = self._suspicion_by_fingerprint.get(name, Suspicion())
        seen = known.crash_ids | known.cleared_ids
        told_alone = crash.alone and not known.crashed_alone
        if crash.crash_id in seen and not told_alone:
            return False
        self._suspicion_by_fingerprint[name] = replace(
            known,
            crash_ids=known.crash_ids | {crash.crash_id},
            crashed_alone=known.crashed_alone or crash.alone,
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
