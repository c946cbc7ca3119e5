"""Requests that crash each upstream that runs them, found without a witness.

A broken run alone is no crash: an upstream may lose one answer.  An upstream that
refuses connections, or is born anew, right after runs broke there has crashed,
and what ran there is under suspicion (see `policy.quarantine`).
"""

from collections import Counter
from collections.abc import Callable

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.policy.quarantine import Crash, Quarantine, Verdict

SUSPECT_SECONDS = 3.0
"""Between a broken run and the sign that the upstream had crashed: its restart
takes some seconds, a refused connection shows at once."""


class CrashWatch:
    """What ran where, which runs broke, and what that says of bodies.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    tell : callable
        Called with each crash found here, for the peers.
    """

    def __init__(
        self, *, clock: Callable[[], float], tell: Callable[[Crash], None]
    ) -> None:
        self._clock = clock
        self._tell = tell
        self._quarantine = Quarantine()
        self._open_by_upstream: dict[str, Counter[str]] = {}
        self._broken_by_upstream: dict[str, dict[str, float]] = {}

    def refuses(self, fingerprint: str) -> bool:
        """Whether a body has crashed so many upstreams that none may run it."""
        return self._quarantine.verdict(fingerprint) is Verdict.REFUSE

    def started(self, upstream: Upstream, fingerprint: str) -> None:
        """Note a run."""
        self._open_by_upstream.setdefault(upstream.name, Counter())[fingerprint] += 1

    def ended(self, upstream: Upstream, fingerprint: str) -> None:
        """Note the end of a run, whichever way."""
        running = self._open_by_upstream[upstream.name]
        running[fingerprint] -= 1
        if running[fingerprint] <= 0:
            del running[fingerprint]

    def finished(self, fingerprint: str) -> None:
        """Note a whole answer, which clears a body."""
        self._quarantine.finished(fingerprint)

    def broken(self, upstream: Upstream, fingerprint: str) -> None:
        """Note a run that broke off."""
        broken = self._broken_by_upstream.setdefault(upstream.name, {})
        broken[fingerprint] = self._clock()

    def down(self, upstream: str, incarnation: int) -> None:
        """Note that an upstream refuses connections or was born anew."""
        now = self._clock()
        broken = self._broken_by_upstream.pop(upstream, {})
        names = {name for name, at in broken.items() if now - at < SUSPECT_SECONDS}
        if not names:
            return
        crash = Crash(
            crash_id=f"{upstream}/{incarnation}", fingerprints=frozenset(names)
        )
        if self._quarantine.crashed(crash, now):
            self._tell(crash)

    def heard(self, crash: Crash) -> None:
        """Take in a crash that a peer found."""
        self._quarantine.crashed(crash, self._clock())
