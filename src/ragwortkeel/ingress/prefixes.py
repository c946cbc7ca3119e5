"""Which prompt parts each upstream keeps in memory, as far as one can tell.

Pattern of load: thousands of prompts begin with a few dozen long parts.  Where
each upstream reads all of them, half of its time goes into prompts that another
one has in memory.  The model here is what was sent there, by this process or, as
they tell, by others, the longest unused parts first out, as the engines do it.  A
part counts only behind the same blocks: a prefix is known by the hash of all its ids
up to there.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

PREFIX_CACHE_FRACTION = 0.6
"""Of an engine's memory, taken to hold kept parts; running requests fill the
rest.  Set too high, the model promises parts that have been dropped."""


@dataclass(frozen=True, kw_only=True)
class PromptBlock:
    """One part of a prompt: its id and length in tokens."""

    block_id: str
    tokens: int


class PrefixCache:
    """The parts that one upstream is taken to hold.

    Attributes
    ----------
    capacity_tokens : int or None
        Tokens of kept parts; None while the upstream's memory is not known.
    """

    def __init__(self, *, capacity_tokens: int | None) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens_by_prefix_hash: OrderedDict[int, int] = OrderedDict()
        self._shared_prefix_hashes: set[int] = set()
        self._total_tokens = 0

    def cached_tokens(self, blocks: tuple[PromptBlock, ...]) -> int:
        """Return how many of the prompt's first tokens need not be read."""
        cached = 0
        for prefix_hash, block in _prefix_hashes(blocks):
            if prefix_hash not in self._tokens_by_prefix_hash:
                break
            cached += block.tokens
        return cached

    def record_read(self, blocks: tuple[PromptBlock, ...]) -> dict[int, int]:
        """Note that the upstream reads this prompt now.

        Returns
        -------
        dict of int to int
            Tokens by prefix hash of the shared parts that it did not hold: all but the
            last, which is the request's own.
        """
        new = {}
        last = len(blocks) - 1
        for index, (prefix_hash, block) in enumerate(_prefix_hashes(blocks)):
            if prefix_hash not in self._tokens_by_prefix_hash and index < last:
                new[prefix_hash] = block.tokens
                self._shared_prefix_hashes.add(prefix_hash)
            self._touch(prefix_hash, block.tokens)
        self._evict()
        return new

    def merge(self, tokens_by_prefix_hash: dict[int, int]) -> None:
        """Note shared parts that another process let the upstream read."""
        for prefix_hash, tokens in tokens_by_prefix_hash.items():
            self._shared_prefix_hashes.add(prefix_hash)
            self._touch(prefix_hash, tokens)
        self._evict()

    def shared_blocks(self) -> dict[int, int]:
        """Return the tokens by prefix hash of all shared parts, for a new process."""
        return {
            prefix_hash: self._tokens_by_prefix_hash[prefix_hash]
            for prefix_hash in self._shared_prefix_hashes
        }

    def _touch(self, prefix_hash: int, tokens: int) -> None:
        if prefix_hash in self._tokens_by_prefix_hash:
            self._tokens_by_prefix_hash.move_to_end(prefix_hash)
            return
        self._tokens_by_prefix_hash[prefix_hash] = tokens
        self._total_tokens += tokens

    def _evict(self) -> None:
        if self.capacity_tokens is None:
            return
        while self._total_tokens > self.capacity_tokens and self._tokens_by_prefix_hash:
            prefix_hash, tokens = self._tokens_by_prefix_hash.popitem(last=False)
            self._shared_prefix_hashes.discard(prefix_hash)
            self._total_tokens -= tokens


def _prefix_hashes(
    blocks: tuple[PromptBlock, ...],
) -> Iterator[tuple[int, PromptBlock]]:
    """Return each part with a number for it and all before it, equal everywhere."""
    digest = blake2b(digest_size=8)
    for block in blocks:
        digest.update(block.block_id.encode())
        digest.update(b",")
        yield int.from_bytes(digest.digest()), block
