"""Writes receipts to the platform in batches, with retries during an outage."""

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
"""Time between two checks whether a batch is due.  If each check wrote a segment,
1,000 routers would write 2,000 per second."""

FULL_BATCH_RECEIPTS = 200
"""A batch of this size is written at the next check; a smaller one waits until its
oldest receipt is `MAX_BATCH_DELAY_SECONDS` old."""

MAX_BATCH_DELAY_SECONDS = 5.0
"""1,000 routers write 200 small segments per second with this delay.  The sidecars
store the receipts meanwhile, so that none is lost if a router fails."""


@dataclass(frozen=True, kw_only=True)
class DurableReceipts:
    """Receipts of one sidecar incarnation that are in the platform."""

    sidecar: str
    nonces: tuple[str, ...]


class ReceiptWriter:
    """Collects receipts and makes them durable.

    Parameters
    ----------
    writer : callable
        Returns the incarnation that the segments name as their writer.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    durable : curio.Queue
        A `DurableReceipts` for each written segment and each sidecar in it.

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
        """Number of receipts that are not durable yet."""
        return len(self._receipts_by_nonce)

    async def add(self, receipt: RunReceipt) -> None:
        """Add a receipt to the next batch, once per nonce."""
        if not self._receipts_by_nonce:
            self._oldest_at = self._clock()
        self._receipts_by_nonce[receipt.nonce] = receipt

    async def run(self) -> None:
        """Write due batches until cancelled."""
        while True:
            await curio.sleep(FLUSH_CHECK_SECONDS)
            waited = self._clock() - self._oldest_at
            is_full = self.pending_count >= FULL_BATCH_RECEIPTS
            if self.pending_count and (is_full or waited >= MAX_BATCH_DELAY_SECONDS):
                await self.flush()

    async def flush(self) -> bool:
        """Write all pending receipts; return whether all are durable."""
        pending = list(self._receipts_by_nonce.values())
        for segment in segments(writer=self._writer(), receipts=pending):
            try:
                await write_segment(self._platform, segment)
            except PlatformError:
                # The receipts are written again, maybe in another segment.  A
                # bill counts a receipt that is in two segments once.
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
    """Write a segment to the platform, unless it is stored already.

    Raises
    ------
    PlatformError
        The segment may or may not be stored; write it again.
    """
    try:
        await platform.create(RECEIPTS, segment.name, encode_segment(segment))
    except AlreadyExists:
        # The name is a digest of the content, so an earlier write succeeded.
        return
