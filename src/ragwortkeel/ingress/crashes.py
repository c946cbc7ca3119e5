"""Requests that crash each upstream that runs them, found without a witness.

A broken run alone is no crash: an upstream may lose one answer.  An upstream that
refuses connections right after runs broke there has crashed, and what ran there
is under suspicion (see `policy.quarantine`).
"""

from collections import deque
from collections.abc import Callable

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.policy.quarantine import Crash, Quarantine, Verdict

SUSPICION_SECONDS = 3.0
"""Between a broken run and the sign that the upstream had crashed: its restart
takes some seconds, a refused connection shows at once."""

MAX_UNREPORTED_CRASHES = 100
"""Untold crashes; they are told several times a second."""


class CrashDetector:
    """What ran where, which runs broke, and what that says of bodies.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    unreported : deque of Crash
        Crashes found here that the peers have yet to be told.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.unreported: deque[Crash] = deque(maxlen=MAX_UNREPORTED_CRASHES)
        self._clock = clock
        self._quarantine = Quarantine()
        self._broken_at_by_upstream: dict[str, dict[str, float]] = {}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a body has crashed so many upstreams that none may run it."""
        return self._quarantine.verdict(fingerprint) is Verdict.REFUSE

    def record_finished(self, fingerprint: str) -> None:
        """Note a whole answer, which clears a body."""
        self._quarantine.finished(fingerprint)

    def record_broken_run(self, upstream: Upstream, fingerprint: str) -> None:
        """Note a run that broke off."""
        broken_at = self._broken_at_by_upstream.setdefault(upstream.name, {})
        broken_at[fingerprint] = self._clock()

    def record_refused_connection(self, upstream: Upstream) -> None:
        """Note that an upstream refuses connections."""
        now = self._clock()
        broken_at = self._broken_at_by_upstream.pop(upstream.name, {})
        suspects = {
            fingerprint
            for fingerprint, at in broken_at.items()
            if now - at < SUSPICION_SECONDS
        }
        if not suspects:
            return
        # Several processes may find the same crash: within the time in which one
        # upstream can't crash twice it has one id.
        crash_id = f"{upstream.name}/{upstream.born}/{int(now / SUSPICION_SECONDS)}"
        crash = Crash(crash_id=crash_id, fingerprints=frozenset(suspects))
        if self._quarantine.crashed(crash, now):
            self.unreported.append(crash)

    def receive_crash(self, crash: Crash) -> None:
        """Take in a crash that a peer found."""
        self._quarantine.crashed(crash, self._clock())
