"""A router's slice of one budget: reservations, settlements and renewals without I/O.

The slice spends only tokens that the ledger has already granted, and removes tokens
from itself before the ledger records that they are given back.  So the ledger's grant
covers the slice at every moment, whichever answers are lost.
"""

from dataclasses import dataclass

import msgspec

from ragwortkeel.budget.exposure import GROWTH_SECONDS, unreported_limit
from ragwortkeel.budget.grant import MAX_SIDECARS, Grant, Renewal
from ragwortkeel.exceptions import BudgetExhausted, ExposureFull, SidecarNotNamed

RETRY_AFTER_SECONDS = 0.5
"""Delay before a retry of a refused reservation: a few refresh periods."""


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Tokens set aside for one attempt through one sidecar incarnation."""

    reservation_id: int
    profile: str
    router: str
    sidecar: str
    tokens: int


class Slice:
    """Tokens that one router incarnation may spend under one profile.

    Parameters
    ----------
    profile, router : str
        Name of the profile, incarnation of the router.

    Attributes
    ----------
    cap, growth : int
        Unsettled tokens allowed through a sidecar, and the tokens by which that cap
        grows each second after the last renewal was sent.
    unrenewed_seconds : float
        Seconds since the last write that may have taken effect; set by the owner, as
        the slice has no clock.
    giving_back : int
        Tokens that the pending renewal gives back.
    pending : Renewal or None
        The renewal that may or may not have taken effect in the ledger.
    in_ledger : bool
        Whether the ledger has a grant for this incarnation.
    """

    def __init__(self, *, profile: str, router: str) -> None:
        self.profile = profile
        self.router = router
        self.granted = 0
        self.cap = 0
        self.growth = 0
        self.unrenewed_seconds = 0.0
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
        """Tokens of open reservations."""
        return sum(self._reserved_by_sidecar.values())

    @property
    def free(self) -> int:
        """Tokens that can be reserved now."""
        return self.granted - self.giving_back - self.spent - self.reserved

    @property
    def exposure_limit(self) -> int:
        """Unsettled tokens that are allowed through one sidecar now."""
        return unreported_limit(
            cap=self.cap,
            growth=self.growth,
            seconds=self.unrenewed_seconds,
            growth_seconds=GROWTH_SECONDS,
        )

    @property
    def unsettled(self) -> int:
        """Spend that the ledger doesn't record yet."""
        return sum(
            spent - self._settled_by_sidecar.get(sidecar, 0)
            for sidecar, spent in self._spent_by_sidecar.items()
        )

    @property
    def named(self) -> frozenset[str]:
        """Sidecars through which this slice may be spent."""
        return frozenset(self._settled_by_sidecar) - self._dropped

    def committed(self, sidecar: str) -> int:
        """Return the tokens spent through this sidecar or reserved for it."""
        spent = self._spent_by_sidecar.get(sidecar, 0)
        return spent + self._reserved_by_sidecar.get(sidecar, 0)

    def exposure(self, sidecar: str) -> int:
        """Return the tokens committed to this sidecar that are not settled yet."""
        return self.committed(sidecar) - self._settled_by_sidecar.get(sidecar, 0)

    def reserve(self, *, sidecar: str, tokens: int) -> Reservation:
        """Reserve tokens for one attempt.

        Raises
        ------
        SidecarNotNamed, BudgetExhausted, ExposureFull
            The reservation isn't possible now; a renewal may allow it.
        """
        if sidecar not in self.named:
            raise self._refusal(SidecarNotNamed)
        if tokens > self.free:
            raise self._refusal(BudgetExhausted)
        # After a crash of the router an unreachable sidecar may have run this much
        # without a report.  A seal charges the cap for it, so the cap must always hold.
        if self.exposure(sidecar) + tokens > self.exposure_limit:
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
        """Replace a reservation by the tokens spent; return False if it is not open.

        Call it only once the spend is certain: the sidecar reported it, or reported
        that the attempt never ran, or was deleted, which costs the full reservation.
        """
        # A reservation of an earlier incarnation may have the same number.
        if self.open_by_id.get(reservation.reservation_id) != reservation:
            return False
        del self.open_by_id[reservation.reservation_id]
        sidecar = reservation.sidecar
        self._reserved_by_sidecar[sidecar] -= reservation.tokens
        self._spent_by_sidecar[sidecar] = self._spent_by_sidecar.get(sidecar, 0) + spent
        return True

    def drop(self, sidecar: str) -> None:
        """Exclude a deleted sidecar from further reservations.

        It can't be named again: its spend is cumulative, and earlier spend would be
        charged twice.
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
        """Return the renewal to apply to the ledger, and set aside what it gives back.

        While a renewal is pending, that one is returned, with a higher cap if the
        exposure needs it: it may have taken effect, or may still, until `accept` or
        `withdraw`.
        """
        if self.pending is not None:
            self._cover_pending()
            return self.pending
        settled = dict(self._settled_by_sidecar) | self._spent_by_sidecar
        settled |= dict.fromkeys(self._unnamed_sidecars(sidecars, settled), 0)
        dropped = (sidecar for sidecar in sorted(self._dropped) if sidecar in settled)
        self.giving_back = max(0, min(give_back, self.free))
        cap = max([cap, *self._exposures_after(settled)])
        # A lower cap must bind before the ledger records it.
        self.cap = min(self.cap, cap)
        self.growth = min(self.growth, growth)
        self.unrenewed_seconds = 0.0
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
            growth_seconds=GROWTH_SECONDS,
            demand=demand,
            first=not self.in_ledger,
        )
        return self.pending

    def is_applied_in(self, grant: Grant | None) -> bool:
        """Return whether the pending renewal has taken effect in this grant."""
        if grant is None or self.pending is None:
            return False
        return grant.nonce == self.pending.nonce

    def accept(self, grant: Grant) -> None:
        """Apply the grant in which the pending renewal has taken effect."""
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
        """Add tokens that another router transferred to this grant.

        A grant read before the last write of this slice would restore tokens that the
        write gave back, and two routers would spend them.  It has another nonce and is
        ignored.
        """
        if self.pending is None and grant.nonce == self._nonce_in_ledger:
            self.granted = max(self.granted, grant.granted)

    def withdraw(self) -> None:
        """Discard the pending renewal, which was not applied and never can be.

        Call it only if each write of the renewal was refused, or was conditional on a
        version that is no longer current while the grant lacks the nonce.  Otherwise
        the renewal may have been applied, and only its answer was lost.
        """
        self.giving_back = 0
        self.cap = self._cap_in_ledger
        self.growth = self._growth_in_ledger
        self.pending = None

    def _cover_pending(self) -> None:
        # The cap has grown since this renewal was created, and the exposure may exceed
        # the cap in it: a seal right after it would charge too little.
        exposed = max(self._exposures_after(self.pending.settled), default=0)
        if exposed > self.pending.cap:
            self.pending = msgspec.structs.replace(self.pending, cap=exposed)
        self.cap = min(self.cap, self.pending.cap)
        self.unrenewed_seconds = 0.0

    def _exposures_after(self, settled: dict[str, int]) -> list[int]:
        """Return each sidecar's exposure once the ledger records these settlements.

        It excludes the spend that the renewal settles: a cap that covered this spend
        too would apply until the next renewal, and a seal would charge the spend twice.
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
