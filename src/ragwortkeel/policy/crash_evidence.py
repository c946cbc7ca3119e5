"""Crashes of engines, and which prompt blocks they accuse.

A crash accuses each block of the requests that it broke off, by its id, until the crash
is explained by one of them or a complete answer clears the block.  Crashes are retained
up to `MAX_CRASHES`, since callers name blocks as they like.
"""

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from math import inf

EVIDENCE_SECONDS = 3600.0
"""Time for which a crash accuses blocks."""

WAVE_SECONDS = 1.0
"""Crashes closer than this may have one common cause, such as a loss of power."""

MAX_CRASHES = 100


@dataclass(frozen=True, kw_only=True)
class Accusation:
    """The crashes that accuse one block.

    Attributes
    ----------
    crash_ids : frozenset of str
        The crashes.
    requests : frozenset of str
        Fingerprints of the requests with the block that they broke off.
    waves : int
        Number of groups of crashes that lie `WAVE_SECONDS` apart.
    depth : int
        Position of the block in its prompts, 0 first.
    """

    crash_ids: frozenset[str]
    requests: frozenset[str]
    waves: int
    depth: int


@dataclass(kw_only=True)
class _Crash:
    at: float
    blocks_by_request: dict[str, tuple[str, ...]] = field(default_factory=dict)
    own_blocks: set[str] = field(default_factory=set)
    is_explained: bool = False


class CrashEvidence:
    """The crashes that processes have reported.

    All times are monotonic seconds of this process.
    """

    def __init__(self) -> None:
        self._crash_by_id: OrderedDict[str, _Crash] = OrderedDict()
        self._crash_ids_by_block: dict[str, set[str]] = {}

    def record(
        self,
        crash_id: str,
        blocks_by_request: Mapping[str, tuple[str, ...]],
        now: float,
        *,
        own: bool,
    ) -> set[str]:
        """Record requests that a crash broke off; return those not reported before.

        `own` tells whether this process sent them.
        """
        crash = self._crash_by_id.setdefault(crash_id, _Crash(at=now))
        if own:
            crash.own_blocks.update(*blocks_by_request.values())
        new = blocks_by_request.keys() - crash.blocks_by_request.keys()
        crash.blocks_by_request |= {name: blocks_by_request[name] for name in new}
        return new

    def is_explained(self, crash_id: str) -> bool:
        """Return whether a block is known to have caused the crash."""
        return self._crash_by_id[crash_id].is_explained

    def accuse(self, crash_id: str, block: str, *, cleared_at: float) -> None:
        """Let a crash accuse a block unless an answer cleared the block later."""
        if self._crash_by_id[crash_id].at > cleared_at:
            self._crash_ids_by_block.setdefault(block, set()).add(crash_id)

    def clear(self, block: str, *, until: float = inf) -> None:
        """Let the crashes up to a time accuse the block no longer."""
        crash_ids = self._crash_ids_by_block.get(block, set())
        crash_ids -= {each for each in crash_ids if self._crash_by_id[each].at <= until}
        if not crash_ids:
            self._crash_ids_by_block.pop(block, None)

    def explain(self, crash_id: str) -> dict[str, tuple[str, ...]]:
        """Let a crash accuse no block; return its requests with their blocks.

        They are returned only once.
        """
        crash = self._crash_by_id[crash_id]
        if crash.is_explained:
            return {}
        crash.is_explained = True
        self._withdraw(crash_id, crash)
        return dict(crash.blocks_by_request)

    def discard_old(self, now: float) -> None:
        """Discard crashes that are too old or too many."""
        for crash_id, crash in self._oldest_crashes(now):
            self._withdraw(crash_id, crash)
            del self._crash_by_id[crash_id]

    def count(self, block: str) -> int:
        """Return how many crashes accuse the block."""
        return len(self._crash_ids_by_block.get(block, ()))

    def own_accused(self, *, min_crashes: int) -> list[str]:
        """Return blocks of own requests that so many crashes accuse."""
        return [
            block
            for block, crash_ids in self._crash_ids_by_block.items()
            if len(crash_ids) >= min_crashes
            and any(block in self._crash_by_id[each].own_blocks for each in crash_ids)
        ]

    def accusation(self, block: str) -> Accusation:
        """Return what accuses the block."""
        crash_ids = self._crash_ids_by_block.get(block, set())
        requests, times, depth = set(), [], 0
        for crash_id in crash_ids:
            crash = self._crash_by_id[crash_id]
            times.append(crash.at)
            for request, blocks in crash.blocks_by_request.items():
                if block in blocks:
                    requests.add(request)
                    depth = max(depth, blocks.index(block))
        return Accusation(
            crash_ids=frozenset(crash_ids),
            requests=frozenset(requests),
            waves=_count_waves(times),
            depth=depth,
        )

    def score(self, block: str) -> float:
        """Return how well the block explains crashes, comparable between blocks.

        A sound block that many requests share is held by much of what a crash broke
        off; of the bad one there are few, since the first of them crashed the engine.
        """
        score = 0.0
        for crash_id in self._crash_ids_by_block.get(block, ()):
            prompts = self._crash_by_id[crash_id].blocks_by_request.values()
            holders = sum(block in blocks for blocks in prompts)
            score += 1.0 - (holders - 1) / len(prompts)
        return score

    def covering(self, block: str) -> set[str]:
        """Return other blocks that all crashes of an accused block accuse as well."""
        crash_ids = self._crash_ids_by_block[block]
        crash = self._crash_by_id[next(iter(crash_ids))]
        others = {
            each for blocks in crash.blocks_by_request.values() for each in blocks
        }
        return {
            other
            for other in others - {block}
            if self._crash_ids_by_block.get(other, set()) >= crash_ids
        }

    def companions(self, block: str, *, min_crashes: int) -> frozenset[str]:
        """Return other blocks that so many of the block's crashes accuse."""
        crash_ids = self._crash_ids_by_block[block]
        return frozenset(
            other
            for other, its_crash_ids in self._crash_ids_by_block.items()
            if other != block and len(its_crash_ids & crash_ids) >= min_crashes
        )

    def _withdraw(self, crash_id: str, crash: _Crash) -> None:
        for blocks in crash.blocks_by_request.values():
            for block in blocks:
                crash_ids = self._crash_ids_by_block.get(block, set())
                crash_ids.discard(crash_id)
                if not crash_ids:
                    self._crash_ids_by_block.pop(block, None)

    def _oldest_crashes(self, now: float) -> Iterator[tuple[str, _Crash]]:
        excess = len(self._crash_by_id) - MAX_CRASHES
        for index, (crash_id, crash) in enumerate(list(self._crash_by_id.items())):
            if index < excess or now - crash.at >= EVIDENCE_SECONDS:
                yield crash_id, crash


def _count_waves(times: list[float]) -> int:
    waves, began_at = 0, -inf
    for at in sorted(times):
        if at - began_at >= WAVE_SECONDS:
            waves, began_at = waves + 1, at
    return waves
