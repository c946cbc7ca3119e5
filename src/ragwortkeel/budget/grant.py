"""The ledger's record of one router incarnation's slice.

A grant names the sidecars through which its tokens may be spent.  Through each of them
the router has at most `cap` tokens of spend that the grant doesn't record yet.  So the
ledger alone bounds what an unreachable sidecar may have run.
"""

from typing import Self

import msgspec

from ragwortkeel.exceptions import LedgerFull, SettledBeyondGrant

MAX_SIDECARS = 64
"""Sidecars that one grant may name: enough to spread load, few enough to seal."""


class Renewal(msgspec.Struct, frozen=True, kw_only=True):
    """A router's changes to its grant in one conditional update.

    Attributes
    ----------
    nonce : str
        Recorded in the grant; after a lost answer it shows whether the write happened.
    settled : dict of str to int
        Cumulative tokens spent, by sidecar incarnation; also names new sidecars.
    dropped : tuple of str
        Sidecars without open reservations through which nothing more will be spent.
    want, give_back : int
        Tokens to add to the grant; tokens to return, already removed from the slice.
    give_to : str
        Router that gets the returned tokens; it needs an open grant.
    cap : int
        Tokens of unsettled spend that the router allows itself through a sidecar.
    growth : int
        Tokens by which the cap grows each second after this renewal; only for routers
        whose sealer can bound the age of the renewal.
    growth_seconds : float or None
        Seconds for which the cap grows at most; None if without end, as with earlier
        software.
    demand : int
        Recent demand in tokens a minute, by which other routers size their slices.
    first : bool
        Whether this router has had no grant in the ledger yet.
    """

    router: str
    nonce: str
    settled: dict[str, int]
    dropped: tuple[str, ...] = ()
    want: int = 0
    give_back: int = 0
    give_to: str = ""
    cap: int = 0
    growth: int = 0
    growth_seconds: float | None = None
    demand: int = 0
    first: bool = False


class Grant(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tokens of a budget that are set aside for one router incarnation.

    Attributes
    ----------
    granted : int
        All tokens that this incarnation may spend, without those it gave back.
    settled : dict of str to int
        Cumulative spend, by sidecar incarnation.
    folded : int
        Spend through sidecars that were removed from `settled`.
    sealed : bool
        Whether renewals are refused; sidecars leave `settled` as they report.
    gone : tuple of str
        Deleted sidecars, which will never report and are charged their bound.
    holders : int
        Number of incarnations that the grant sums up; above one only in a summary.
    """

    granted: int = 0
    cap: int = 0
    growth: int = 0
    growth_seconds: float | None = None
    settled: dict[str, int] = {}
    folded: int = 0
    demand: int = 0
    nonce: str = ""
    sealed: bool = False
    gone: tuple[str, ...] = ()
    holders: int = 1

    @property
    def used(self) -> int:
        """Tokens known to be spent."""
        return self.folded + sum(self.settled.values())

    @property
    def held(self) -> int:
        """Tokens of the budget that no other grant can get, spent or not."""
        if not self.sealed:
            return self.granted
        bounds = self.folded + sum(v + self.cap for v in self.settled.values())
        return min(self.granted, bounds)

    def renewed(self, renewal: Renewal) -> Self:
        """Return the grant with the renewal's spend, returned tokens and cap."""
        settled = dict(self.settled)
        for sidecar, tokens in renewal.settled.items():
            settled[sidecar] = max(tokens, settled.get(sidecar, 0))
        folded = self.folded
        for sidecar in renewal.dropped:
            folded += settled.pop(sidecar, 0)
        if len(settled) > MAX_SIDECARS:
            raise LedgerFull(
                f"grant of {renewal.router} names more than {MAX_SIDECARS} sidecars"
            )
        grant = msgspec.structs.replace(
            self,
            granted=self.granted - renewal.give_back,
            cap=renewal.cap,
            growth=renewal.growth,
            growth_seconds=renewal.growth_seconds,
            settled=settled,
            folded=folded,
            demand=renewal.demand,
            nonce=renewal.nonce,
        )
        if grant.used > grant.granted:
            raise SettledBeyondGrant(
                f"{renewal.router} settled {grant.used} tokens, more than its grant"
            )
        return grant

    def reported(self, sidecar: str, tokens: int) -> Self:
        """Return the sealed grant with the final spend of one sidecar.

        A repeated report changes nothing, as the first one removed the sidecar from
        `settled`.
        """
        if sidecar not in self.settled:
            return self
        settled = {k: v for k, v in self.settled.items() if k != sidecar}
        return msgspec.structs.replace(
            self, settled=settled, folded=self.folded + tokens
        )
