"""Which prompt parts each upstream keeps in memory, as far as one can tell.

Pattern of load: thousands of prompts begin with a few dozen long parts.  Where
each upstream reads all of them, half of its time goes into prompts that another
one has in memory.  The model here is what was sent there, the longest unused
parts first out, as the engines do it.  A part counts only behind the same parts:
a chain is known by the hash of all its ids up to there.
"""

from collections import OrderedDict
from dataclasses import dataclass

KEPT_SHARE = 0.6
"""Of an engine's memory, taken to hold kept parts; running requests fill the
rest.  Set too high, the model promises parts that have been dropped."""


@dataclass(frozen=True, kw_only=True)
class Part:
    """One part of a prompt: its id and length in tokens."""

    part_id: str
    tokens: int


class PrefixMemory:
    """The parts that one upstream is taken to hold.

    Parameters
    ----------
    capacity_tokens : int
        Tokens of kept parts.
    """

    def __init__(self, *, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens_by_chain: OrderedDict[int, int] = OrderedDict()
        self._total = 0

    def held(self, parts: tuple[Part, ...]) -> int:
        """Return how many of the prompt's first tokens need not be read."""
        held = 0
        for chain, part in _chains(parts):
            if chain not in self._tokens_by_chain:
                break
            held += part.tokens
        return held

    def read(self, parts: tuple[Part, ...]) -> None:
        """Note that the upstream reads this prompt now."""
        for chain, part in _chains(parts):
            if chain in self._tokens_by_chain:
                self._tokens_by_chain.move_to_end(chain)
                continue
            self._tokens_by_chain[chain] = part.tokens
            self._total += part.tokens
        while self._total > self._capacity_tokens and self._tokens_by_chain:
            _, tokens = self._tokens_by_chain.popitem(last=False)
            self._total -= tokens


def _chains(parts: tuple[Part, ...]):
    chain = 0
    for part in parts:
        chain = hash((chain, part.part_id))
        yield chain, part
