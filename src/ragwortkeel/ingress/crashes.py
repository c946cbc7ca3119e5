"""Detection of requests that crash each upstream that runs them.

A broken run alone is no crash, as an upstream may lose one response.  An upstream that
refuses connections right after runs broke there has crashed.  The requests of those
runs become suspects (see `policy.quarantine`), and so do the blocks of their prompts
(see `policy.block_quarantine`).
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.policy.block_quarantine import BlockQuarantine, Decision
from ragwortkeel.policy.quarantine import Crash, Quarantine, Suspect, Verdict

SUSPICION_SECONDS = 3.0
"""Longest time from a broken run to a refused connection that counts as a crash.

An upstream refuses connections at once after a crash, and its restart takes some
seconds.
"""

MAX_UNREPORTED_CRASHES = 100
"""Crashes kept until they are reported to peers, which is done at once."""

ANSWERED_SECONDS = 1.0
"""Time for which a run has to answer to show that its prompt crashes no upstream; a
block that does crashes it when the answer begins."""

MAX_BROKEN_RUNS = 256
"""Broken runs of one upstream that are remembered, several times its slots' share."""

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


@dataclass(frozen=True, kw_only=True)
class CrashReport:
    """What one process knows of a crash.

    Attributes
    ----------
    blocks_by_fingerprint : dict of str to tuple of str
        Shared prompt blocks of the requests that were broken off near their start.
    """

    crash: Crash
    blocks_by_fingerprint: Mapping[str, tuple[str, ...]]


class CrashDetector:
    """Detects crashes of upstreams and quarantines the requests that cause them.

    A request is identified by its fingerprint.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    blocks : BlockQuarantine
        What the crashes say of prompt blocks.
    unreported : deque of CrashReport
        Crashes detected here that have yet to be reported to peers.
    released : list of Decision
        Blocks released here that have yet to be reported to peers.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.blocks = BlockQuarantine()
        self.unreported: deque[CrashReport] = deque(maxlen=MAX_UNREPORTED_CRASHES)
        self.released: list[Decision] = []
        self._clock = clock
        self._quarantine = Quarantine()
        self._numbers = _CrashNumbers()
        self._broken_by_upstream: OrderedDict[str, list[_RunAt]] = OrderedDict()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request crashed too many upstreams to run again."""
        if self._quarantine.allow_retry(fingerprint, self._clock()):
            log_warning("quarantine_ended", fingerprint=fingerprint)
        return self._quarantine.verdict(fingerprint) is Verdict.REFUSE

    def suspects(self) -> list[Suspect]:
        """Return the requests that a process which starts later has to know."""
        return self._quarantine.suspects()

    def merge_suspects(self, suspects: Iterable[Suspect]) -> int:
        """Add the suspects of a peer; return the number of those with news."""
        return self._quarantine.merge(suspects, self._clock())

    def record_finished(self, fingerprint: str, blocks: tuple[str, ...] = ()) -> None:
        """Record a complete response, which clears the request of suspicion."""
        self._quarantine.record_finish(fingerprint)
        self.released += self.blocks.record_answer(blocks, self._clock())

    def record_broken_run(self, upstream: Upstream, run: BrokenRun) -> None:
        """Record that the upstream broke off a run."""
        recent = self._recent_runs(upstream.name)
        recent.append(_RunAt(upstream=upstream, run=run))
        self._broken_by_upstream[upstream.name] = recent
        self._broken_by_upstream.move_to_end(upstream.name)
        while len(self._broken_by_upstream) > MAX_KNOWN_CRASHES:
            self._broken_by_upstream.popitem(last=False)

    def may_have_crashed(self, upstream: str) -> bool:
        """Return whether the upstream lately broke off runs that are not explained."""
        return bool(self._recent_runs(upstream))

    def record_refused_connection(self, upstream: str) -> bool:
        """Record that an upstream refuses connections; return whether it crashed."""
        recent = self._recent_runs(upstream)
        self._broken_by_upstream.pop(upstream, None)
        if not recent:
            return False
        now = self._clock()
        broken_by = recent[-1].upstream
        runs = [each.run for each in recent]
        report = CrashReport(
            crash=Crash(
                crash_id=f"{broken_by.name}/{broken_by.started_ms}",
                fingerprints=frozenset(run.fingerprint for run in runs),
            ),
            blocks_by_fingerprint={
                run.fingerprint: run.blocks
                for run in runs
                if run.blocks and run.answered_seconds < ANSWERED_SECONDS
            },
        )
        for run in runs:
            if run.answered_seconds >= ANSWERED_SECONDS:
                self.released += self.blocks.record_answer(run.blocks, run.broken_at)
        _log_crash(report.crash.crash_id, runs, now)
        if self._record(report, now, own=True):
            self.unreported.append(report)
        return True

    def receive_crash(self, report: CrashReport) -> None:
        """Record a crash that a peer detected."""
        is_new = self._record(report, self._clock(), own=False)
        log_info(
            "crash_heard",
            crash=report.crash.crash_id,
            suspects=len(report.crash.fingerprints),
            new=is_new,
        )

    def acquit(self) -> None:
        """Clear requests of the crashes that a refused block explains."""
        for fingerprint, crash_id in self.blocks.drain_acquitted():
            self._quarantine.discard_crash(fingerprint, crash_id)

    def _recent_runs(self, upstream: str) -> list["_RunAt"]:
        now = self._clock()
        runs = self._broken_by_upstream.get(upstream, [])[-MAX_BROKEN_RUNS:]
        return [each for each in runs if now - each.run.broken_at < SUSPICION_SECONDS]

    def _record(self, report: CrashReport, now: float, *, own: bool) -> bool:
        number = self._numbers.number(report.crash.crash_id, now)
        crash = replace(report.crash, crash_id=f"{report.crash.crash_id}/{number}")
        is_new = self._quarantine.record_crash(crash, now)
        blocks = report.blocks_by_fingerprint
        is_new |= self.blocks.record_crash(crash.crash_id, blocks, now, own=own)
        self.acquit()
        return is_new


@dataclass(frozen=True, kw_only=True)
class _RunAt:
    """A broken run and the entry of its upstream at that time."""

    upstream: Upstream
    run: BrokenRun


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
