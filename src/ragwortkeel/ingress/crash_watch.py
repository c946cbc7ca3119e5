"""Watches for crashes of upstreams, with the help of peers.

A process reports each crash that it detects to all others, so that all count the same
crashes, and tells those that start later which requests are suspect.  The processes
that accuse a block of a prompt ask the others whether prompts
with it were answered lately.  The first one that finds it guilty tells the others and
stores its decision in the platform, for processes that start later.

No guarantee depends on the arrival of these messages: without them upstreams crash
until the process knows by itself.
"""

from collections.abc import Callable, Iterable, Mapping
from time import monotonic, time

import curio

from ragwortkeel.ingress.block_store import BlockStore
from ragwortkeel.ingress.configuration import Upstream
from ragwortkeel.ingress.crashes import BrokenRun, CrashDetector, CrashReport
from ragwortkeel.ingress.placement import Placement
from ragwortkeel.ingress.upstream_connection import ConnectionPool
from ragwortkeel.links import Link
from ragwortkeel.logs import log_info, log_warning
from ragwortkeel.messages import (
    BlockAnswer,
    BlockDecision,
    BlockDecisions,
    BlockQuestion,
    CrashSeen,
    SuspectRequest,
)
from ragwortkeel.metrics import Metrics
from ragwortkeel.policy.block_quarantine import Decision, Finding
from ragwortkeel.policy.facts import Failure
from ragwortkeel.policy.quarantine import Crash, Suspect

CHECK_DELAYS_SECONDS = (0.0, 0.1, 0.4)
"""Delays before the checks of an upstream that broke off a run.

A crashed one may accept connections for a moment more.
"""


class CrashWatch:
    """Detects crashes, and refuses requests that crash upstreams.

    Parameters
    ----------
    connections : ConnectionPool
        Used to check whether an upstream refuses connections.
    links : callable
        Returns the links to ingress processes that are up, by address.
    store : BlockStore
        Keeps decisions on blocks for processes that start later.
    """

    def __init__(
        self,
        *,
        connections: ConnectionPool,
        placement: Placement,
        links: Callable[[], Mapping[str, Link]],
        store: BlockStore,
        metrics: Metrics,
    ) -> None:
        self._detector = CrashDetector(clock=monotonic)
        self._connections = connections
        self._placement = placement
        self._links = links
        self._store = store
        self._metrics = metrics
        self._checked: set[str] = set()
        self._changed = curio.Event()

    async def run(self) -> None:
        """Report crashes and decide on blocks until cancelled."""
        while True:
            seconds = self._detector.blocks.seconds_until_finding(monotonic())
            if seconds is None:
                await self._changed.wait()
            else:
                async with curio.ignore_after(seconds):
                    await self._changed.wait()
            self._changed.clear()
            await self._report_crashes()
            await self._question_peers()
            await self._decide()

    def refuses(self, request: str, fingerprint: str, blocks: tuple[str, ...]) -> bool:
        """Return whether a request must not run, because it crashes upstreams."""
        if self._detector.is_quarantined(fingerprint):
            log_info("request_quarantined", request=request, fingerprint=fingerprint)
            return True
        block = self._detector.blocks.refused_block(
            blocks, request=request, now=monotonic()
        )
        if block is not None:
            log_info("request_quarantined", request=request, block=block)
        return block is not None

    def is_suspect(self, blocks: tuple[str, ...]) -> bool:
        """Return whether another run of a request may crash another upstream."""
        return self._detector.blocks.is_suspect(blocks, monotonic())

    async def record_answer(self, fingerprint: str, blocks: tuple[str, ...]) -> None:
        """Record a complete response of an upstream."""
        self._detector.record_finished(fingerprint, blocks)
        if self._detector.released:
            await self._changed.set()

    async def record_broken_run(self, upstream: Upstream, run: BrokenRun) -> None:
        """Record a run that broke off, and check whether the upstream has crashed."""
        self._detector.record_broken_run(upstream, run)
        if upstream.name not in self._checked:
            self._checked.add(upstream.name)
            await curio.spawn(self._check, upstream, daemon=True)

    async def record_refused_connection(self, upstream: str) -> None:
        """Record that an upstream refused a connection, as one does that is down."""
        if not self._detector.record_refused_connection(upstream):
            return
        self._metrics.record_crash()
        self._placement.record_failure(upstream, Failure.CRASHED, monotonic())
        await self._changed.set()

    async def receive_crash(self, seen: CrashSeen) -> None:
        """Receive a crash that a peer detected."""
        crash = Crash(crash_id=seen.crash_id, fingerprints=frozenset(seen.fingerprints))
        self._detector.receive_crash(
            CrashReport(crash=crash, blocks_by_fingerprint=dict(seen.prompts))
        )
        await self._changed.set()

    def answer(self, question: BlockQuestion) -> BlockAnswer:
        """Return which of the blocks worked here."""
        blocks = self._detector.blocks
        return BlockAnswer(
            seconds_by_block=blocks.worked_here(question.blocks, monotonic()),
            answers=blocks.own_answers,
        )

    async def receive_answer(self, peer: str, answer: BlockAnswer) -> None:
        """Receive which blocks worked at the peer of this address."""
        now = monotonic()
        self._detector.blocks.record_worked(
            {block: now - age for block, age in answer.seconds_by_block.items()}
        )
        self._detector.blocks.record_experience(peer, answer.answers, now)
        log_info(
            "blocks_answered",
            peer=peer,
            worked=",".join(answer.seconds_by_block),
            answers=answer.answers,
        )
        await self._changed.set()

    def suspects(self) -> tuple[SuspectRequest, ...]:
        """Return the suspect requests, for a peer that may have started later."""
        now = monotonic()
        return tuple(
            SuspectRequest(
                fingerprint=each.fingerprint,
                crash_ids=each.crash_ids,
                first_age_seconds=now - each.first_at,
                last_age_seconds=now - each.seen_at,
            )
            for each in self._detector.suspects()
        )

    def receive_suspects(self, suspects: Iterable[SuspectRequest]) -> None:
        """Merge the suspect requests of a peer."""
        now = monotonic()
        count = self._detector.merge_suspects(
            Suspect(
                fingerprint=each.fingerprint,
                crash_ids=each.crash_ids,
                first_at=now - each.first_age_seconds,
                seen_at=now - max(0.0, each.last_age_seconds),
            )
            for each in suspects
        )
        if count:
            log_info("suspects_heard", new=count)

    def decisions(self) -> tuple[BlockDecision, ...]:
        """Return all decisions, for a peer that may lack some."""
        return tuple(map(_wire, self._detector.blocks.decisions()))

    def merge_stored(self, decisions: Iterable[Decision]) -> None:
        """Merge decisions that the platform keeps."""
        for decision in decisions:
            self._merge(decision, source="platform")

    def receive_decisions(self, decisions: Iterable[BlockDecision]) -> None:
        """Merge decisions of a peer."""
        for each in decisions:
            decision = Decision(
                block=each.block, stamp=each.stamp, refused=each.refused
            )
            self._merge(decision, source="peer")

    def _merge(self, decision: Decision, *, source: str) -> None:
        if not self._detector.blocks.merge(decision, monotonic()):
            return
        self._detector.acquit()
        log_warning(
            "block_decided",
            block=decision.block,
            refused=decision.refused,
            source=source,
            age=round(time() - decision.stamp / 1000, 3),
        )
        self._count_refused()

    async def _report_crashes(self) -> None:
        if self._detector.unreported:
            # A process whose links are down may reach the platform.
            await self._store.request_read()
        while self._detector.unreported:
            report = self._detector.unreported.popleft()
            await self._send(
                CrashSeen(
                    crash_id=report.crash.crash_id,
                    fingerprints=tuple(sorted(report.crash.fingerprints)),
                    prompts=tuple(sorted(report.blocks_by_fingerprint.items())),
                )
            )

    async def _question_peers(self) -> None:
        accused = self._detector.blocks.questions(monotonic())
        if accused:
            log_info("blocks_accused", blocks=",".join(accused))
            await self._send(BlockQuestion(blocks=accused))

    async def _decide(self) -> None:
        findings = self._detector.blocks.find(monotonic(), wall_ms=int(time() * 1000))
        released, self._detector.released = self._detector.released, []
        self._detector.acquit()
        for finding in findings:
            _log_finding(finding)
            await self._store.save(finding.decision, finding.accusation)
        for decision in released:
            log_warning("block_worked", block=decision.block)
            await self._store.save(decision, None)
        decisions = [*(finding.decision for finding in findings), *released]
        if decisions:
            self._count_refused()
            await self._send(BlockDecisions(decisions=tuple(map(_wire, decisions))))

    async def _send(self, message) -> None:
        for link in self._links().values():
            await link.try_send(message)

    def _count_refused(self) -> None:
        decisions = self._detector.blocks.decisions()
        self._metrics.set_refused_blocks(sum(each.refused for each in decisions))

    async def _check(self, upstream: Upstream) -> None:
        try:
            for delay in CHECK_DELAYS_SECONDS:
                await curio.sleep(delay)
                if not self._detector.may_have_crashed(upstream.name):
                    return
                # The pool calls `record_refused_connection`.
                if await self._connections.refuses_connection(upstream):
                    return
        finally:
            self._checked.discard(upstream.name)


def _wire(decision: Decision) -> BlockDecision:
    return BlockDecision(
        block=decision.block, stamp=decision.stamp, refused=decision.refused
    )


def _log_finding(finding: Finding) -> None:
    accusation = finding.accusation
    log_warning(
        "block_refused",
        block=finding.decision.block,
        crashes=",".join(sorted(accusation.crash_ids)),
        requests=len(accusation.requests),
        waves=accusation.waves,
    )
