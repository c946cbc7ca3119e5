"""Requests that crash each upstream that runs them, found without a witness.

A broken run alone is no crash: an upstream may lose one answer.  An upstream that
refuses connections right after runs broke there has crashed, and what ran there
is under suspicion (see `policy.quarantine`).
"""

from collections import deque
from collections.abc import Callable

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.policy.quarantine import Crash, Quarantine, Verdict

SUSPECT_SECONDS = 3.0
"""Between a broken run and the sign that the upstream had crashed: its restart
takes some seconds, a refused connection shows at once."""

KEPT_CRASHES = 100
"""Untold crashes; they are told several times a second."""


class CrashWatch:
    """What ran where, which runs broke, and what that says of bodies.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    found : deque of Crash
        Crashes found here that the peers have yet to be told.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.found: deque[Crash] = deque(maxlen=KEPT_CRASHES)
        self._clock = clock
        self._quarantine = Quarantine()
        self._broken_by_upstream: dict[str, dict[str, float]] = {}

    def refuses(self, fingerprint: str) -> bool:
        """Whether a body has crashed so many upstreams that none may run it."""
        return self._quarantine.verdict(fingerprint) is Verdict.REFUSE

    def finished(self, fingerprint: str) -> None:
        """Note a whole answer, which clears a body."""
        self._quarantine.finished(fingerprint)

    def broken(self, upstream: Upstream, fingerprint: str) -> None:
        """Note a run that broke off."""
        broken = self._broken_by_upstream.setdefault(upstream.name, {})
        broken[fingerprint] = self._clock()

    def down(self, upstream: Upstream) -> None:
        """Note that an upstream refuses connections."""
        now = self._clock()
        broken = self._broken_by_upstream.pop(upstream.name, {})
        names = {name for name, at in broken.items() if now - at < SUSPECT_SECONDS}
        if not names:
            return
        # Several processes may find the same crash: within the time in which one
        # upstream can't crash twice it has one id.
        crash_id = f"{upstream.name}/{upstream.started_ms}/{int(now / SUSPECT_SECONDS)}"
        crash = Crash(crash_id=crash_id, fingerprints=frozenset(names))
        if self._quarantine.crashed(crash, now):
            self.found.append(crash)

    def heard(self, crash: Crash) -> None:
        """Take in a crash that a peer found."""
        self._quarantine.crashed(crash, self._clock())
