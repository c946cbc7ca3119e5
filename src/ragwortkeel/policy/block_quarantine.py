"""Quarantine of prompt blocks that crash engines.

Load pattern: one block of a prompt crashes each engine that begins to answer it.  No
two requests with that block are alike, and sound requests share their customer and
other blocks.  Both run at an engine when it crashes, so being there proves little.

- A crash accuses the blocks of all requests that it broke off near their start.
- A complete answer clears its blocks of all earlier crashes: a block that crashes
  engines never gets that far.
- Of the blocks that enough crashes accuse, the one that explains most crashes by few
  requests is refused first.  Sound blocks have many requests beside the bad one.
- A crash that a refused block explains accuses no other block.
- A block that has worked needs more crashes, spread over time: all engines of a service
  may lose power at once, before any of them completes another answer.
- While the processes have had few answers, as after a start of all, sound blocks look
  like bad ones.  Then more crashes are needed, and a refused block is tried again soon.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf

from ragwortkeel.policy.crash_evidence import Accusation, CrashEvidence

MIN_CRASHES = 3
"""Crashes that a block needs to be refused."""

MIN_REQUESTS = 2
"""Different requests that these crashes need to have broken off; one request that
crashes engines again and again is refused by its fingerprint."""

MIN_CRASHES_AND_REQUESTS = 6
"""Least sum of both.  A request that is sent to a second engine is in two crashes, and
so is each sound request beside it."""

MIN_CRASHES_OF_WORKING = 5
"""Crashes since its last complete answer that a block needs if it worked before."""

MIN_WAVES_OF_WORKING = 3
"""Waves of crashes in which these need to lie; see `Accusation.waves`."""

MIN_CRASHES_INEXPERIENCED = 6
MIN_REQUESTS_INEXPERIENCED = 3
MIN_WAVES_INEXPERIENCED = 2
"""What is needed while all processes have had fewer than `EXPERIENCED_ANSWERS`."""

EXPERIENCED_ANSWERS = 20
"""Complete answers after which blocks that many prompts share have worked."""

EXPERIENCE_SECONDS = 10.0
"""Time for which the answers that another process has reported count."""

QUESTION_SECONDS = 0.5
"""Time after which other processes are asked again about an accused block."""

SUSPECT_CRASHES = 2
"""Crashes after which a request with the block is not sent to a second engine."""

CONFIRM_SECONDS = 0.15
"""Time for the other processes to report the same crash, or that the block worked."""

WORKED_SECONDS = 600.0
"""Time for which a block counts as having worked after a complete answer."""

RETENTION_SECONDS = 24 * 3600.0
"""Time for which a block is refused: longer than callers repeat a prompt, shorter than
the time until a fixed engine is deployed everywhere."""

EARLY_TRIAL_SECONDS = 10.0
"""Time to the first trial of a block that was refused for crashes within one wave."""

INEXPERIENCED_TRIAL_SECONDS = 3.0
"""Time to the first trial of a block that was refused without experience."""

TRIAL_SECONDS = 600.0
"""Time between trials, each of which may cost one engine."""

MAX_WORKED_BLOCKS = 10_000
MAX_REFUSED_BLOCKS = 256
"""Callers name blocks as they like; what is retained about them is bounded."""


@dataclass(frozen=True, kw_only=True)
class Decision:
    """Whether a block is refused, as exchanged between processes.

    Attributes
    ----------
    stamp : int
        Unix milliseconds of the decision; of two decisions the later one holds.
    """

    block: str
    stamp: int
    refused: bool = True


@dataclass(frozen=True, kw_only=True)
class Finding:
    """A block that this process has found to crash engines."""

    decision: Decision
    accusation: Accusation


@dataclass(kw_only=True)
class _Refused:
    decision: Decision
    since: float
    trial_at: float = inf
    trial_request: str = ""
    co_suspects: frozenset[str] = frozenset()


class BlockQuarantine:
    """The blocks that are accused of crashes, and those that are refused.

    Blocks are named by their ids, wherever in a prompt they occur.  All times are
    monotonic seconds of this process.
    """

    def __init__(self) -> None:
        self._evidence = CrashEvidence()
        self._worked_at_by_block: OrderedDict[str, float] = OrderedDict()
        self._own_worked_at_by_block: OrderedDict[str, float] = OrderedDict()
        self._accused_since_by_block: dict[str, float] = {}
        self._asked_at_by_block: dict[str, float] = {}
        self._own_answers = 0
        self._answers_by_peer: dict[str, tuple[int, float]] = {}
        self._refused_by_block: OrderedDict[str, _Refused] = OrderedDict()
        self._released_by_block: OrderedDict[str, Decision] = OrderedDict()
        self._acquitted: list[tuple[str, str]] = []

    def record_crash(
        self,
        crash_id: str,
        blocks_by_request: Mapping[str, tuple[str, ...]],
        now: float,
        *,
        own: bool = True,
    ) -> bool:
        """Record the requests that a crash broke off, from one report of several.

        Return whether anything in it is new.

        Parameters
        ----------
        own : bool
            Whether this process sent these requests.  Only one that sent a request
            with a block decides on it, so that a large fleet is not full of decisions.
        """
        new = self._evidence.record(crash_id, blocks_by_request, now, own=own)
        for request in new:
            blocks = blocks_by_request[request]
            if self._holds_refused(blocks):
                self._explain(crash_id)
            elif self._evidence.is_explained(crash_id):
                self._acquitted.append((request, crash_id))
            else:
                self._accuse(crash_id, blocks)
        self._evidence.discard_old(now)
        self._discard_old_decisions(now)
        return bool(new)

    def record_answer(self, blocks: tuple[str, ...], now: float) -> list[Decision]:
        """Record a complete answer here; return the blocks that it releases."""
        released = []
        self._own_answers += 1
        for block in blocks:
            _set_newest(self._own_worked_at_by_block, block, now, MAX_WORKED_BLOCKS)
            refused = self._refused_by_block.get(block)
            if refused is not None:
                stamp = refused.decision.stamp + 1
                decision = Decision(block=block, stamp=stamp, refused=False)
                self.merge(decision, now)
                released.append(decision)
        self.record_worked(dict.fromkeys(blocks, now))
        return released

    def record_worked(self, worked_at_by_block: Mapping[str, float]) -> None:
        """Record complete answers at any process."""
        for block, worked_at in worked_at_by_block.items():
            if worked_at > self._worked_at_by_block.get(block, -inf):
                _set_newest(
                    self._worked_at_by_block, block, worked_at, MAX_WORKED_BLOCKS
                )
                self._evidence.clear(block, until=worked_at)

    def worked_here(self, blocks: Iterable[str], now: float) -> dict[str, float]:
        """Return how long ago those of the blocks that work had an answer here."""
        seconds_by_block = {
            block: now - self._own_worked_at_by_block.get(block, -inf)
            for block in blocks
        }
        return {
            block: seconds
            for block, seconds in seconds_by_block.items()
            if seconds < WORKED_SECONDS
        }

    @property
    def own_answers(self) -> int:
        """Number of complete answers here."""
        return self._own_answers

    def record_experience(self, peer: str, answers: int, now: float) -> None:
        """Record how many complete answers another process has had."""
        self._answers_by_peer = {
            name: (count, at)
            for name, (count, at) in self._answers_by_peer.items()
            if now - at < EXPERIENCE_SECONDS
        }
        self._answers_by_peer[peer] = answers, now

    def questions(self, now: float) -> tuple[str, ...]:
        """Return the accused blocks that other processes are to be asked about."""
        self._update_accused(now)
        due = [
            block
            for block in self._accused_since_by_block
            if now - self._asked_at_by_block.get(block, -inf) >= QUESTION_SECONDS
        ]
        self._asked_at_by_block |= dict.fromkeys(due, now)
        return tuple(sorted(due))

    def seconds_until_finding(self, now: float) -> float | None:
        """Return the time until the next question or finding, None if none is due."""
        due = [
            since + CONFIRM_SECONDS
            if now - since < CONFIRM_SECONDS
            else self._asked_at_by_block.get(block, now) + QUESTION_SECONDS
            for block, since in self._accused_since_by_block.items()
        ]
        return max(0.0, min(due) - now) if due else None

    def find(self, now: float, *, wall_ms: int) -> list[Finding]:
        """Refuse the accused blocks that nothing has cleared; return them."""
        findings = []
        while True:
            self._update_accused(now)
            block = self._most_accused()
            if block is None:
                return findings
            if now - self._accused_since_by_block[block] < CONFIRM_SECONDS:
                return findings
            if not self._is_convincing(block, now):
                return findings
            findings.append(self._refuse(block, now, wall_ms))

    def _update_accused(self, now: float) -> None:
        accused = {
            block
            for block in self._evidence.own_accused(min_crashes=MIN_CRASHES)
            if self._suffices(block, now)
        }
        for block in self._accused_since_by_block.keys() - accused:
            del self._accused_since_by_block[block]
            self._asked_at_by_block.pop(block, None)
        new = accused - self._accused_since_by_block.keys()
        self._accused_since_by_block |= dict.fromkeys(new, now)

    def _is_experienced(self, now: float) -> bool:
        answers = self._own_answers + sum(
            count
            for count, at in self._answers_by_peer.values()
            if now - at < EXPERIENCE_SECONDS
        )
        return answers >= EXPERIENCED_ANSWERS

    def _is_convincing(self, block: str, now: float) -> bool:
        if self._is_experienced(now):
            return True
        accusation = self._evidence.accusation(block)
        return (
            len(accusation.crash_ids) >= MIN_CRASHES_INEXPERIENCED
            and len(accusation.requests) >= MIN_REQUESTS_INEXPERIENCED
            and accusation.waves >= MIN_WAVES_INEXPERIENCED
        )

    def merge(self, decision: Decision, now: float) -> bool:
        """Merge a decision of another process; return whether it changes anything."""
        refused = self._refused_by_block.get(decision.block)
        current = (
            refused.decision if refused else self._released_by_block.get(decision.block)
        )
        if current is not None and _rank(current) >= _rank(decision):
            return False
        if not decision.refused:
            self._refused_by_block.pop(decision.block, None)
            _set_newest(
                self._released_by_block, decision.block, decision, MAX_REFUSED_BLOCKS
            )
            self._evidence.clear(decision.block)
            return True
        self._released_by_block.pop(decision.block, None)
        value = _Refused(decision=decision, since=now)
        _set_newest(self._refused_by_block, decision.block, value, MAX_REFUSED_BLOCKS)
        for crash_id in self._evidence.accusation(decision.block).crash_ids:
            self._explain(crash_id)
        return True

    def drain_acquitted(self) -> list[tuple[str, str]]:
        """Return requests, each with a crash that another request's block explains."""
        acquitted, self._acquitted = self._acquitted, []
        return acquitted

    def decisions(self) -> tuple[Decision, ...]:
        """Return the decisions that other processes may lack."""
        refused = (each.decision for each in self._refused_by_block.values())
        return (*refused, *self._released_by_block.values())

    def refused_block(
        self, blocks: tuple[str, ...], *, request: str, now: float
    ) -> str | None:
        """Return a refused block of a request, None if it may run.

        The process that found a block tries one request with it from time to time,
        which must not hold another block that may have been the cause.
        """
        for block in blocks:
            refused = self._refused_by_block.get(block)
            if refused is None or refused.trial_request == request:
                continue
            if now - refused.since >= RETENTION_SECONDS:
                continue
            unproved = refused.co_suspects - self._worked_at_by_block.keys()
            if refused.trial_at > now or not unproved.isdisjoint(blocks):
                return block
            refused.trial_request = request
            refused.trial_at = now + TRIAL_SECONDS
        return None

    def is_suspect(self, blocks: Iterable[str], now: float) -> bool:
        """Return whether a second run of the request risks another engine."""
        return any(
            block in self._refused_by_block
            or self._evidence.count(block) >= SUSPECT_CRASHES
            and not self._has_worked(block, now)
            for block in blocks
        )

    def _suffices(self, block: str, now: float) -> bool:
        accusation = self._evidence.accusation(block)
        crashes, requests = len(accusation.crash_ids), len(accusation.requests)
        if self._has_worked(block, now):
            return (
                crashes >= MIN_CRASHES_OF_WORKING
                and requests >= MIN_CRASHES_OF_WORKING
                and accusation.waves >= MIN_WAVES_OF_WORKING
            )
        return (
            crashes >= MIN_CRASHES
            and requests >= MIN_REQUESTS
            and crashes + requests >= MIN_CRASHES_AND_REQUESTS
        )

    def _most_accused(self) -> str | None:
        """Return the block to refuse first.

        A block is passed over while another one explains its crashes better.
        """
        accused = sorted(self._accused_since_by_block, key=self._weight, reverse=True)
        return next((block for block in accused if not self._is_covered(block)), None)

    def _is_covered(self, block: str) -> bool:
        weight = self._weight(block)
        others = self._evidence.covering(block)
        return any(self._weight(other) > weight for other in others)

    def _weight(self, block: str) -> tuple[float, bool, int]:
        return (
            self._evidence.score(block),
            block not in self._worked_at_by_block,
            self._evidence.accusation(block).depth,
        )

    def _refuse(self, block: str, now: float, wall_ms: int) -> Finding:
        accusation = self._evidence.accusation(block)
        co_suspects = self._evidence.companions(block, min_crashes=SUSPECT_CRASHES)
        released = self._released_by_block.get(block)
        stamp = max(wall_ms, released.stamp + 1 if released else 0)
        decision = Decision(block=block, stamp=stamp)
        self.merge(decision, now)
        refused = self._refused_by_block[block]
        refused.co_suspects = co_suspects
        has_unproved = bool(co_suspects - self._worked_at_by_block.keys())
        if has_unproved and not self._is_experienced(now):
            refused.trial_at = now + INEXPERIENCED_TRIAL_SECONDS
        elif accusation.waves == 1:
            refused.trial_at = now + EARLY_TRIAL_SECONDS
        else:
            refused.trial_at = now + TRIAL_SECONDS
        return Finding(decision=decision, accusation=accusation)

    def _has_worked(self, block: str, now: float) -> bool:
        return now - self._worked_at_by_block.get(block, -inf) < WORKED_SECONDS

    def _accuse(self, crash_id: str, blocks: tuple[str, ...]) -> None:
        for block in blocks:
            worked_at = self._worked_at_by_block.get(block, -inf)
            self._evidence.accuse(crash_id, block, cleared_at=worked_at)

    def _explain(self, crash_id: str) -> None:
        self._acquitted += [
            (request, crash_id)
            for request, blocks in self._evidence.explain(crash_id).items()
            if not self._holds_refused(blocks)
        ]

    def _holds_refused(self, blocks: tuple[str, ...]) -> bool:
        return any(block in self._refused_by_block for block in blocks)

    def _discard_old_decisions(self, now: float) -> None:
        for block, refused in list(self._refused_by_block.items()):
            if now - refused.since >= RETENTION_SECONDS:
                del self._refused_by_block[block]


def _set_newest(by_key: OrderedDict, key: str, value: object, max_size: int) -> None:
    by_key[key] = value
    by_key.move_to_end(key)
    while len(by_key) > max_size:
        by_key.popitem(last=False)


def _rank(decision: Decision) -> tuple[int, bool]:
    """Return the order of two decisions on a block; a release wins a tie."""
    return decision.stamp, not decision.refused
