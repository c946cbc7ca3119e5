"""A model of the prompt blocks that each upstream has in its prefix cache.

Pattern of load: thousands of prompts begin with a few dozen long blocks.  If each
upstream reads all of them, it spends half of its time on prompts that another upstream
has cached.  The model contains the blocks of the prompts that this process sent to
the upstream, and those that other processes reported.  Like the engines, it evicts the
least recently used blocks first.  A cached block is only of use behind the same blocks,
so it is identified by its prefix hash, which covers the ids of all blocks up to it.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

PREFIX_CACHE_FRACTION = 0.6
"""Fraction of an engine's memory that the model assumes to hold cached blocks.

Running requests fill the rest.  With a larger fraction the model contains blocks that
the engine has evicted.
"""


@dataclass(frozen=True, kw_only=True)
class PromptBlock:
    """One block of a prompt, which other prompts may share."""

    block_id: str
    tokens: int


MAX_SHARED_BLOCKS = 64
"""Blocks of one prompt that are told apart; callers may name any number."""


def shared_block_ids(blocks: tuple[PromptBlock, ...]) -> tuple[str, ...]:
    """Return the ids of the blocks that other prompts may share: all but the last."""
    return tuple(block.block_id for block in blocks[:-1][:MAX_SHARED_BLOCKS])


class PrefixCache:
    """The prompt blocks that one upstream is assumed to have cached.

    Attributes
    ----------
    capacity_tokens : int or None
        Largest total of the blocks; None while the upstream's memory is unknown.
    """

    def __init__(self, *, capacity_tokens: int | None) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens_by_prefix_hash: OrderedDict[int, int] = OrderedDict()
        self._shared_prefix_hashes: set[int] = set()
        self._total_tokens = 0

    def cached_tokens(self, blocks: tuple[PromptBlock, ...]) -> int:
        """Return the number of tokens at the start of the prompt that are cached."""
        cached = 0
        for prefix_hash, block in _prefix_hashes(blocks):
            if prefix_hash not in self._tokens_by_prefix_hash:
                break
            cached += block.tokens
        return cached

    def record_read(self, blocks: tuple[PromptBlock, ...]) -> dict[int, int]:
        """Record that the upstream reads this prompt now.

        Returns
        -------
        dict of int to int
            Tokens by prefix hash of the shared blocks that were not cached.  All blocks
            but the last are shared.
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
        """Record shared blocks that the upstream read for another process."""
        for prefix_hash, tokens in tokens_by_prefix_hash.items():
            self._shared_prefix_hashes.add(prefix_hash)
            self._touch(prefix_hash, tokens)
        self._evict()

    def shared_blocks(self) -> dict[int, int]:
        """Return the tokens of all shared blocks by prefix hash, for a new process."""
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
    """Yield each block with its prefix hash, which is the same in all processes."""
    digest = blake2b(digest_size=8)
    for block in blocks:
        digest.update(block.block_id.encode())
        digest.update(b",")
        yield int.from_bytes(digest.digest()), block
