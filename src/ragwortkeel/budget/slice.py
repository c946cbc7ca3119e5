"""A router's own slice of one budget: reserve, settle and renew without waiting.

The slice spends only what the ledger has already granted, and takes tokens off
itself before the ledger hears that they come back.  So at every moment the
ledger's grant covers the slice, whichever answers are lost.
"""

from dataclasses import dataclass

import msgspec

from ragwortkeel.budget.grant import MAX_SIDECARS, Grant, Renewal
from ragwortkeel.exceptions import BudgetExhausted, ExposureFull, SidecarNotNamed

RETRY_AFTER_SECONDS = 0.5
"""When to come back to a slice that a refill may help: a few refresh periods."""


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Tokens set aside for one attempt through one sidecar incarnation."""

    reservation_id: int
    profile: str
    router: str
    sidecar: str
    tokens: int


class Slice:
    """What one router incarnation may spend under one profile.

    Parameters
    ----------
    profile, router : str
        Name of the profile, incarnation of the router.

    Attributes
    ----------
    cap, growth : int
        Unsettled tokens allowed through a sidecar, and by how many that grows a
        second since the last renewal was sent.
    grown : int
        By how much it has grown; set by the owner, who knows the time.
    """

    def __init__(self, *, profile: str, router: str) -> None:
        self.profile = profile
        self.router = router
        self.granted = 0
        self.cap = 0
        self.growth = 0
        self.grown = 0
        self.giving_back = 0
        self.pending: Renewal | None = None
        self.open_by_id: dict[int, Reservation] = {}
        self.in_ledger = False
        self._cap_in_ledger = 0
        self._growth_in_ledger = 0
        self._nonce_in_ledger = ""
        self._folded = 0
        self._spent_by_sidecar: dict[str, int] = {}
        self._settled_by_sidecar: dict[str, int] = {}
        self._reserved_by_sidecar: dict[str, int] = {}
        self._dropped: set[str] = set()
        self._last_reservation_id = 0

    @property
    def spent(self) -> int:
        """Tokens spent so far under this incarnation."""
        return self._folded + sum(self._spent_by_sidecar.values())

    @property
    def reserved(self) -> int:
        """Tokens of attempts still open."""
        return sum(self._reserved_by_sidecar.values())

    @property
    def free(self) -> int:
        """Tokens that can be reserved now."""
        return self.granted - self.giving_back - self.spent - self.reserved

    @property
    def unsettled(self) -> int:
        """Spend the ledger does not know of yet."""
        return sum(
            spent - self._settled_by_sidecar.get(sidecar, 0)
            for sidecar, spent in self._spent_by_sidecar.items()
        )

    @property
    def named(self) -> frozenset[str]:
        """Sidecars that may carry this slice."""
        return frozenset(self._settled_by_sidecar) - self._dropped

    def committed(self, sidecar: str) -> int:
        """Return what was spent through this sidecar or is set aside for it."""
        spent = self._spent_by_sidecar.get(sidecar, 0)
        return spent + self._reserved_by_sidecar.get(sidecar, 0)

    def exposure(self, sidecar: str) -> int:
        """Return what a seal could not know of this sidecar from the ledger."""
        return self.committed(sidecar) - self._settled_by_sidecar.get(sidecar, 0)

    def reserve(self, *, sidecar: str, tokens: int) -> Reservation:
        """Set tokens aside, or raise what is in the way.

        Raises
        ------
        SidecarNotNamed, BudgetExhausted, ExposureFull
            A renewal may help each of them.
        """
        if sidecar not in self.named:
            raise self._refusal(SidecarNotNamed)
        if tokens > self.free:
            raise self._refusal(BudgetExhausted)
        # A dead router's unreachable sidecar can have run this much unseen; a
        # seal charges the cap for it, so the cap must hold at each moment.
        if self.exposure(sidecar) + tokens > self.cap + self.grown:
            raise self._refusal(ExposureFull)
        self._last_reservation_id += 1
        reservation = Reservation(
            reservation_id=self._last_reservation_id,
            profile=self.profile,
            router=self.router,
            sidecar=sidecar,
            tokens=tokens,
        )
        self.open_by_id[reservation.reservation_id] = reservation
        self._reserved_by_sidecar[sidecar] = (
            self._reserved_by_sidecar.get(sidecar, 0) + tokens
        )
        return reservation

    def settle(self, reservation: Reservation, *, spent: int) -> bool:
        """Replace a reservation by what it cost; a repeated call is a no-op.

        Call it on evidence only: the sidecar said what the attempt cost, or
        that it never ran, or the sidecar is gone for good (the whole bound).
        """
        if self.open_by_id.pop(reservation.reservation_id, None) is None:
            return False
        sidecar = reservation.sidecar
        self._reserved_by_sidecar[sidecar] -= reservation.tokens
        self._spent_by_sidecar[sidecar] = self._spent_by_sidecar.get(sidecar, 0) + spent
        return True

    def drop(self, sidecar: str) -> None:
        """Send nothing more through a sidecar that is gone for good.

        It can't be named again: its figures are cumulative, and what it ran
        before would be charged twice.
        """
        self._dropped.add(sidecar)

    def propose(
        self,
        *,
        nonce: str,
        sidecars: tuple[str, ...] = (),
        want: int = 0,
        give_back: int = 0,
        give_to: str = "",
        cap: int,
        growth: int = 0,
        demand: int = 0,
    ) -> Renewal:
        """Return the renewal to apply to the ledger, and take off what it returns.

        While one is pending that one is returned unchanged: it may have taken
        effect, or may still, until `accept` or `withdraw`.
        """
        if self.pending is not None:
            self._cover_pending()
            return self.pending
        settled = dict(self._settled_by_sidecar) | self._spent_by_sidecar
        settled |= dict.fromkeys(self._unnamed_sidecars(sidecars, settled), 0)
        dropped = (sidecar for sidecar in sorted(self._dropped) if sidecar in settled)
        self.giving_back = max(0, min(give_back, self.free))
        cap = max([cap, *self._exposures_after(settled)])
        # A lower cap binds before the ledger may count on it.
        self.cap = min(self.cap, cap)
        self.growth = min(self.growth, growth)
        self.grown = 0
        self.pending = Renewal(
            router=self.router,
            nonce=nonce,
            settled=settled,
            dropped=tuple(
                sidecar
                for sidecar in dropped
                if not self._reserved_by_sidecar.get(sidecar)
            ),
            want=want,
            give_back=self.giving_back,
            give_to=give_to,
            cap=cap,
            growth=growth,
            demand=demand,
            first=not self.in_ledger,
        )
        return self.pending

    def is_applied_in(self, grant: Grant | None) -> bool:
        """Whether the pending renewal has taken effect in this grant."""
        if grant is None or self.pending is None:
            return False
        return grant.nonce == self.pending.nonce

    def accept(self, grant: Grant) -> None:
        """Take over the grant in which the pending renewal has taken effect."""
        self.granted = grant.granted
        self.cap = self._cap_in_ledger = grant.cap
        self.growth = self._growth_in_ledger = grant.growth
        self.giving_back = 0
        self.in_ledger = True
        self._nonce_in_ledger = grant.nonce
        self._settled_by_sidecar = dict(grant.settled)
        for sidecar in self.pending.dropped:
            self._folded += self._spent_by_sidecar.pop(sidecar, 0)
            self._reserved_by_sidecar.pop(sidecar, None)
        self.pending = None

    def receive(self, grant: Grant) -> None:
        """Take over tokens that another router has handed to this grant.

        A read older than our last write would bring back what that write gave
        away, and two routers would spend it; the nonce tells such a read.
        """
        if self.pending is None and grant.nonce == self._nonce_in_ledger:
            self.granted = max(self.granted, grant.granted)

    def withdraw(self) -> None:
        """Forget the pending renewal: it certainly did not and will not happen.

        Each write of it was refused, or named a version that is gone while the
        grant does not hold the nonce.  Otherwise an answer may only be lost.
        """
        self.giving_back = 0
        self.cap = self._cap_in_ledger
        self.growth = self._growth_in_ledger
        self.pending = None

    def _cover_pending(self) -> None:
        # The cap has grown since this renewal was made, and more may be exposed
        # than it says: a seal right after it would charge too little.
        exposed = max(self._exposures_after(self.pending.settled), default=0)
        if exposed > self.pending.cap:
            self.pending = msgspec.structs.replace(self.pending, cap=exposed)
        self.cap = min(self.cap, self.pending.cap)
        self.grown = 0

    def _exposures_after(self, settled: dict[str, int]) -> list[int]:
        """Return the exposure of each sidecar once the ledger knows these settlements.

        What a renewal tells is no part of it: a cap that covered that as well would
        stand until the next renewal, and a seal would charge it a second time.
        """
        return [self.committed(sidecar) - tokens for sidecar, tokens in settled.items()]

    def _unnamed_sidecars(
        self, sidecars: tuple[str, ...], named: dict[str, int]
    ) -> list[str]:
        capacity = max(0, MAX_SIDECARS - len(named))
        new = (sidecar for sidecar in dict.fromkeys(sidecars) if sidecar not in named)
        return [sidecar for sidecar in new if sidecar not in self._dropped][:capacity]

    def _refusal(self, error):
        return error(
            profile=self.profile,
            tokens_left=max(0, self.free),
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
