"""Detection of requests that crash each upstream that runs them.

A broken run alone is no crash, as an upstream may lose one response.  An upstream that
refuses connections right after runs broke there has crashed, and the requests of those
runs become suspects (see `policy.quarantine`).
"""

from collections import deque
from collections.abc import Callable

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.policy.quarantine import Crash, Quarantine, Verdict

SUSPICION_SECONDS = 3.0
"""Longest time from a broken run to a refused connection that counts as a crash.

An upstream refuses connections at once after a crash, and its restart takes some
seconds.
"""

MAX_UNREPORTED_CRASHES = 100
"""Crashes kept until they are reported to peers, which is several times a second."""


class CrashDetector:
    """Detects crashes of upstreams and quarantines the requests that cause them.

    A request is identified by its fingerprint.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    unreported : deque of Crash
        Crashes detected here that have yet to be reported to peers.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.unreported: deque[Crash] = deque(maxlen=MAX_UNREPORTED_CRASHES)
        self._clock = clock
        self._quarantine = Quarantine()
        self._broken_at_by_upstream: dict[str, dict[str, float]] = {}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request crashed too many upstreams to run again."""
        return self._quarantine.verdict(fingerprint) is Verdict.REFUSE

    def record_finished(self, fingerprint: str) -> None:
        """Record a complete response, which clears the request of suspicion."""
        self._quarantine.record_finish(fingerprint)

    def record_broken_run(self, upstream: Upstream, fingerprint: str) -> None:
        """Record that a run of the request broke off."""
        broken_at = self._broken_at_by_upstream.setdefault(upstream.name, {})
        broken_at[fingerprint] = self._clock()

    def record_refused_connection(self, upstream: Upstream) -> None:
        """Record that the upstream refuses connections, and detect a crash."""
        now = self._clock()
        broken_at = self._broken_at_by_upstream.pop(upstream.name, {})
        suspects = {
            fingerprint
            for fingerprint, at in broken_at.items()
            if now - at < SUSPICION_SECONDS
        }
        if not suspects:
            return
        # Processes that detect the same crash have to derive the same id.  An upstream
        # can't crash twice within `SUSPICION_SECONDS`.
        crash_id = (
            f"{upstream.name}/{upstream.started_ms}/{int(now / SUSPICION_SECONDS)}"
        )
        crash = Crash(crash_id=crash_id, fingerprints=frozenset(suspects))
        if self._quarantine.record_crash(crash, now):
            self.unreported.append(crash)

    def receive_crash(self, crash: Crash) -> None:
        """Record a crash that a peer detected."""
        self._quarantine.record_crash(crash, self._clock())
