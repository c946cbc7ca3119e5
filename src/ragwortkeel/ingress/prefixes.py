"""Which prompt parts each upstream keeps in memory, as far as one can tell.

Pattern of load: thousands of prompts begin with a few dozen long parts.  Where
each upstream reads all of them, half of its time goes into prompts that another
one has in memory.  The model here is what was sent there, by this process or, as
they tell, by others, the longest unused parts first out, as the engines do it.  A
part counts only behind the same parts: a chain is known by the hash of all its ids
up to there.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

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

    Attributes
    ----------
    capacity_tokens : int or None
        Tokens of kept parts; None while the upstream's memory is not known.
    """

    def __init__(self, *, capacity_tokens: int | None) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens_by_chain: OrderedDict[int, int] = OrderedDict()
        self._shared_chains: set[int] = set()
        self._total = 0

    def held(self, parts: tuple[Part, ...]) -> int:
        """Return how many of the prompt's first tokens need not be read."""
        held = 0
        for chain, part in _chains(parts):
            if chain not in self._tokens_by_chain:
                break
            held += part.tokens
        return held

    def read(self, parts: tuple[Part, ...]) -> dict[int, int]:
        """Note that the upstream reads this prompt now.

        Returns
        -------
        dict of int to int
            Tokens by chain of the shared parts that it did not hold: all but the
            last, which is the request's own.
        """
        new = {}
        last = len(parts) - 1
        for index, (chain, part) in enumerate(_chains(parts)):
            if chain not in self._tokens_by_chain and index < last:
                new[chain] = part.tokens
                self._shared_chains.add(chain)
            self._use(chain, part.tokens)
        self._shrink()
        return new

    def heard(self, tokens_by_chain: dict[int, int]) -> None:
        """Note shared parts that another process let the upstream read."""
        for chain, tokens in tokens_by_chain.items():
            self._shared_chains.add(chain)
            self._use(chain, tokens)
        self._shrink()

    def shared(self) -> dict[int, int]:
        """Return the tokens by chain of all shared parts, for a new process."""
        return {chain: self._tokens_by_chain[chain] for chain in self._shared_chains}

    def _use(self, chain: int, tokens: int) -> None:
        if chain in self._tokens_by_chain:
            self._tokens_by_chain.move_to_end(chain)
            return
        self._tokens_by_chain[chain] = tokens
        self._total += tokens

    def _shrink(self) -> None:
        if self.capacity_tokens is None:
            return
        while self._total > self.capacity_tokens and self._tokens_by_chain:
            chain, tokens = self._tokens_by_chain.popitem(last=False)
            self._shared_chains.discard(chain)
            self._total -= tokens


def _chains(parts: tuple[Part, ...]) -> Iterator[tuple[int, Part]]:
    """Return each part with a number for it and all before it, equal everywhere."""
    digest = blake2b(digest_size=8)
    for part in parts:
        digest.update(part.part_id.encode())
        digest.update(b",")
        yield int.from_bytes(digest.digest()), part
