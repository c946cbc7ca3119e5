"""Detection of requests that crash each upstream that runs them.

A broken run alone is no crash, as an upstream may lose one response.  An upstream that
refuses connections right after runs broke there has crashed, and the requests of those
runs become suspects (see `policy.quarantine`).
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.policy.quarantine import Crash, Quarantine, Verdict

SUSPICION_SECONDS = 3.0
"""Longest time from a broken run to a refused connection that counts as a crash.

An upstream refuses connections at once after a crash, and its restart takes some
seconds.
"""

MAX_UNREPORTED_CRASHES = 100
"""Crashes kept until they are reported to peers, which is several times a second."""


MAX_KNOWN_CRASHES = 1_000
"""Crashed upstreams that are remembered."""

MAX_LOGGED_RUNS = 8
"""Broken runs that the log line of a crash names."""

MAX_LOGGED_CHARACTERS = 512
"""Characters of the callers' block ids in a log line."""


@dataclass(frozen=True, kw_only=True)
class BrokenRun:
    """A run that an upstream broke off.

    Attributes
    ----------
    blocks : tuple of str
        Ids of the blocks of its prompt that other requests may share.
    answered_seconds : float
        Time from the first event of its answer to the break; 0 if there was none.
    broken_at : float
        Monotonic second of the break.
    """

    request_id: str
    fingerprint: str
    blocks: tuple[str, ...]
    answered_seconds: float
    broken_at: float


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
        self._numbers = _CrashNumbers()
        self._broken_runs_by_upstream: dict[str, list[BrokenRun]] = {}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request crashed too many upstreams to run again."""
        return self._quarantine.verdict(fingerprint) is Verdict.REFUSE

    def record_finished(self, fingerprint: str) -> None:
        """Record a complete response, which clears the request of suspicion."""
        self._quarantine.record_finish(fingerprint)

    def record_broken_run(self, upstream: Upstream, run: BrokenRun) -> None:
        """Record that the upstream broke off a run."""
        self._broken_runs_by_upstream.setdefault(upstream.name, []).append(run)

    def record_refused_connection(self, upstream: Upstream) -> None:
        """Record that the upstream refuses connections, and detect a crash."""
        now = self._clock()
        runs = [
            run
            for run in self._broken_runs_by_upstream.pop(upstream.name, [])
            if now - run.broken_at < SUSPICION_SECONDS
        ]
        if not runs:
            return
        suspects = {run.fingerprint for run in runs}
        crash_id = f"{upstream.name}/{upstream.started_ms}"
        crash = Crash(crash_id=crash_id, fingerprints=frozenset(suspects))
        _log_crash(crash_id, runs, now)
        if self._record(crash, now):
            self.unreported.append(crash)

    def receive_crash(self, crash: Crash) -> None:
        """Record a crash that a peer detected."""
        is_new = self._record(crash, self._clock())
        log_info(
            "crash_heard",
            crash=crash.crash_id,
            suspects=len(crash.fingerprints),
            new=is_new,
        )

    def _record(self, crash: Crash, now: float) -> bool:
        number = self._numbers.number(crash.crash_id, now)
        numbered_id = f"{crash.crash_id}/{number}"
        return self._quarantine.record_crash(replace(crash, crash_id=numbered_id), now)


class _CrashNumbers:
    """Numbers the crashes of upstreams that start again under their names.

    Reports of one crash arrive within `SUSPICION_SECONDS`, in which an upstream can't
    crash twice.  Each process counts for itself, because its peers' clocks have nothing
    in common with its own.
    """

    def __init__(self) -> None:
        self._last_by_id: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def number(self, crash_id: str, now: float) -> int:
        """Return the number of the crash that a report at monotonic `now` is about."""
        number, since = self._last_by_id.get(crash_id, (0, now))
        if now - since >= SUSPICION_SECONDS:
            number, since = number + 1, now
        self._last_by_id[crash_id] = number, since
        self._last_by_id.move_to_end(crash_id)
        while len(self._last_by_id) > MAX_KNOWN_CRASHES:
            self._last_by_id.popitem(last=False)
        return number


def _log_crash(crash_id: str, runs: list[BrokenRun], now: float) -> None:
    """Log a crash with the runs that it broke, those that had answered least first."""
    by_answered = sorted(runs, key=lambda run: run.answered_seconds)
    named = by_answered[:MAX_LOGGED_RUNS]
    log_warning(
        "upstream_crashed",
        crash=crash_id,
        runs=len(runs),
        requests=",".join(run.request_id for run in named),
        answered=",".join(f"{run.answered_seconds:.3f}" for run in named),
        blocks=";".join(",".join(run.blocks) for run in named)[:MAX_LOGGED_CHARACTERS],
        age=round(now - runs[0].broken_at, 3),
    )
