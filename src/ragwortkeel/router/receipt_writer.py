"""Writes receipts to the platform in batches, through an outage if need be."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import curio

from ragwortkeel.budget.receipt import Segment, encode_segment, segments
from ragwortkeel.configuration import RECEIPTS
from ragwortkeel.exceptions import AlreadyExists, PlatformError
from ragwortkeel.messages import RunReceipt
from ragwortkeel.platform import Platform

FLUSH_CHECK_SECONDS = 0.5
"""At 1,000 routers this would be 2,000 writes a second: see `batch`."""

FULL_BATCH_RECEIPTS = 200
"""A fuller batch goes at once; a smaller one waits for `MAX_BATCH_DELAY_SECONDS`."""

MAX_BATCH_DELAY_SECONDS = 5.0
"""1,000 routers then write 200 small segments a second; sidecars hold the
receipts meanwhile, so a death loses none."""


@dataclass(frozen=True, kw_only=True)
class DurableReceipts:
    """Receipts of one sidecar incarnation that are in the platform."""

    sidecar: str
    nonces: tuple[str, ...]


class ReceiptWriter:
    """Takes receipts and makes them durable.

    Attributes
    ----------
    durable : curio.Queue
        A `DurableReceipts` for each sidecar and segment written.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        *,
        platform: Platform,
        writer: Callable[[], str],
        clock: Callable[[], float],
    ) -> None:
        self.durable: curio.Queue = curio.Queue()
        self._platform = platform
        self._writer = writer
        self._clock = clock
        self._receipts_by_nonce: dict[str, RunReceipt] = {}
        self._oldest_at = 0.0

    @property
    def pending_count(self) -> int:
        """Receipts that are not durable yet."""
        return len(self._receipts_by_nonce)

    async def add(self, receipt: RunReceipt) -> None:
        """Take a receipt; the same one again changes nothing."""
        if not self._receipts_by_nonce:
            self._oldest_at = self._clock()
        self._receipts_by_nonce[receipt.nonce] = receipt

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await curio.sleep(FLUSH_CHECK_SECONDS)
            waited = self._clock() - self._oldest_at
            is_full = self.pending_count >= FULL_BATCH_RECEIPTS
            if self.pending_count and (is_full or waited >= MAX_BATCH_DELAY_SECONDS):
                await self.flush()

    async def flush(self) -> bool:
        """Write all receipts pending now; return whether all are durable."""
        pending = list(self._receipts_by_nonce.values())
        for segment in segments(writer=self._writer(), receipts=pending):
            try:
                await write_segment(self._platform, segment)
            except PlatformError:
                # Kept and written again, maybe in another segment: the bill is
                # a set, so a receipt in two segments counts once.
                return False
            await self._remove_written(segment)
        return True

    async def _remove_written(self, segment: Segment) -> None:
        nonces_by_sidecar: dict[str, list[str]] = defaultdict(list)
        for receipt in segment.receipts:
            self._receipts_by_nonce.pop(receipt.nonce, None)
            nonces_by_sidecar[receipt.sidecar].append(receipt.nonce)
        for sidecar, nonces in nonces_by_sidecar.items():
            await self.durable.put(
                DurableReceipts(sidecar=sidecar, nonces=tuple(nonces))
            )


async def write_segment(platform: Platform, segment: Segment) -> None:
    """Write a segment; one that is there already is the same one.

    Raises
    ------
    PlatformError
        The segment may or may not be there; write it again.
    """
    try:
        await platform.create(RECEIPTS, segment.name, encode_segment(segment))
    except AlreadyExists:
        # The name is a digest of what it holds: an earlier write took effect.
        return
