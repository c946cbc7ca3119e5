"""A first, plain keeper of budget slices and receipts for the thin path.

It takes a fixed part of a budget when a slice runs dry and writes receipts as
they come.  The full keeper (recall, transfer, adaptive size, seals) replaces it.
"""

from uuid import uuid4

import curio

from ragwortkeel.budget.ledger import decode_ledger, encode_ledger
from ragwortkeel.budget.receipt import encode_segment, segments
from ragwortkeel.budget.refresh import SliceRefresh
from ragwortkeel.budget.slice import Reservation, Slice
from ragwortkeel.configuration import LEDGERS, RECEIPTS
from ragwortkeel.exceptions import (
    AlreadyExists,
    BudgetExhausted,
    BudgetRefused,
    BudgetUnreachable,
    OutcomeUnknown,
    PlatformError,
    VersionConflict,
)
from ragwortkeel.messages import RunReceipt
from ragwortkeel.platform import Platform

SHARE_TAKEN = 4
"""A refill takes a quarter of what is left, so that other routers find some."""

FLUSH_SECONDS = 0.5
OUTAGE_RETRY_SECONDS = 5.0


class PlainKeeper:
    """Slices and receipts of one router incarnation."""

    def __init__(self, *, platform: Platform, router: str) -> None:
        self.durable: curio.Queue = curio.Queue()
        self._platform = platform
        self._router = router
        self._refreshes_by_profile: dict[str, SliceRefresh] = {}
        self._locks_by_profile: dict[str, curio.Lock] = {}
        self._receipts: list[RunReceipt] = []

    async def reserve(self, profile: str, tokens: int, sidecar: str) -> Reservation:
        """Set tokens aside, refilling the slice at most once."""
        refresh = self._refresh_of(profile)
        try:
            return refresh.slice.reserve(sidecar=sidecar, tokens=tokens)
        except BudgetRefused:
            async with self._locks_by_profile[profile]:
                await self._refill(refresh, tokens, (sidecar,))
            return refresh.slice.reserve(sidecar=sidecar, tokens=tokens)

    async def settle(self, reservation: Reservation, spent: int) -> None:
        """Replace a reservation by what the run cost."""
        refresh = self._refresh_of(reservation.profile)
        refresh.slice.settle(reservation, spent=spent)

    async def add(self, receipt: RunReceipt) -> None:
        """Take a receipt for the next segment."""
        self._receipts.append(receipt)

    async def run(self) -> None:
        """Write receipts until cancelled."""
        while True:
            await curio.sleep(FLUSH_SECONDS)
            await self.flush()

    async def flush(self) -> int:
        """Write what is waiting; return how many receipts still wait."""
        batch = list(self._receipts)
        for segment in segments(writer=self._router, receipts=batch):
            try:
                await self._platform.create(
                    RECEIPTS, segment.name, encode_segment(segment)
                )
            except AlreadyExists:
                pass
            except PlatformError:
                return len(self._receipts)
        del self._receipts[: len(batch)]
        if batch:
            await self.durable.put(tuple(batch))
        return len(self._receipts)

    async def give_back(self) -> None:
        """Return all slices on a planned stop."""
        for profile, refresh in self._refreshes_by_profile.items():
            async with self._locks_by_profile[profile]:
                await self._renew(
                    refresh, give_back=refresh.slice.free, cap=refresh.slice.cap
                )

    def _refresh_of(self, profile: str) -> SliceRefresh:
        rv = self._refreshes_by_profile.get(profile)
        if rv is None:
            rv = SliceRefresh(slice_=Slice(profile=profile, router=self._router))
            self._refreshes_by_profile[profile] = rv
            self._locks_by_profile[profile] = curio.Lock()
        return rv

    async def _refill(self, refresh: SliceRefresh, tokens: int, sidecars) -> None:
        stored = await self._read(refresh.slice.profile)
        if stored is None:
            raise BudgetExhausted(
                profile=refresh.slice.profile,
                tokens_left=0,
                retry_after_seconds=OUTAGE_RETRY_SECONDS,
            )
        rest = decode_ledger(stored.value).rest
        want = max(tokens - refresh.slice.free, 0)
        want = max(want, rest // SHARE_TAKEN)
        cap = refresh.slice.free + want + refresh.slice.reserved + tokens
        await self._renew(refresh, sidecars=sidecars, want=want, cap=cap)

    async def _read(self, profile: str):
        try:
            return await self._platform.get(LEDGERS, profile)
        except PlatformError as exc:
            raise BudgetUnreachable(
                profile=profile,
                tokens_left=0,
                retry_after_seconds=OUTAGE_RETRY_SECONDS,
            ) from exc

    async def _renew(self, refresh: SliceRefresh, **wishes) -> None:
        profile = refresh.slice.profile
        while True:
            stored = await self._read(profile)
            refresh.read(decode_ledger(stored.value), version=stored.version)
            renewal = refresh.slice.propose(nonce=uuid4().hex, **wishes)
            ledger = decode_ledger(stored.value).renew(renewal)
            try:
                await self._platform.update(
                    LEDGERS, profile, encode_ledger(ledger), stored.version
                )
            except VersionConflict:
                refresh.refused()
                continue
            except OutcomeUnknown:
                refresh.unknown(version=stored.version)
                continue
            except PlatformError as exc:
                refresh.refused()
                raise BudgetUnreachable(
                    profile=profile,
                    tokens_left=refresh.slice.free,
                    retry_after_seconds=OUTAGE_RETRY_SECONDS,
                ) from exc
            refresh.written(ledger)
            return
