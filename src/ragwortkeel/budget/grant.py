"""What the ledger knows of one router incarnation's slice.

A grant names the sidecars that may carry its tokens.  Through each of them the
router keeps less than `cap` tokens of spend that is not yet settled here, so a
ledger can bound, without asking anyone, what a silent sidecar may have run.
"""

from typing import Self

import msgspec

from ragwortkeel.exceptions import LedgerFull, SettledBeyondGrant

MAX_SIDECARS = 64
"""Sidecars one grant may name: enough to spread load, few enough to seal."""


class Renewal(msgspec.Struct, frozen=True, kw_only=True):
    """What a router asks of its grant in one conditional update.

    Attributes
    ----------
    nonce : str
        Found in the grant afterwards; tells a lost answer from a lost write.
    settled : dict of str to int
        Cumulative tokens spent by sidecar incarnation; also names sidecars.
    dropped : tuple of str
        Sidecars that will carry nothing more and have nothing open.
    want, give_back : int
        Tokens to add, tokens the router has already taken off its slice.
    give_to : str
        Router that gets what is given back; it needs an open grant.
    cap : int
        Tokens of unsettled spend the router allows itself through a sidecar.
    growth : int
        Tokens by which the cap grows with each second since this renewal; only
        where whoever seals the router can tell how long ago that was.
    demand : int
        Tokens a minute lately reserved here; others size their slices by it.
    first : bool
        Whether this router has had no grant here yet.
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
    demand: int = 0
    first: bool = False


class Grant(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One router incarnation's part of a budget.

    Attributes
    ----------
    granted : int
        Tokens this incarnation may ever spend; less what it gave back.
    settled : dict of str to int
        Cumulative spend by sidecar incarnation.
    folded : int
        Spend through sidecars that are no longer in `settled`.
    sealed : bool
        No further renewal is taken; sidecars leave `settled` as they report.
    gone : tuple of str
        Sidecars that will never report; they stay at their bound.
    holders : int
        Incarnations that it stands for; above one only in a summary.
    """

    granted: int = 0
    cap: int = 0
    growth: int = 0
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
        """Tokens of the budget that this grant keeps from others, spent or not."""
        if not self.sealed:
            return self.granted
        bounds = self.folded + sum(v + self.cap for v in self.settled.values())
        return min(self.granted, bounds)

    def renewed(self, renewal: Renewal) -> Self:
        """Return the grant settled and less what comes back."""
        settled = dict(self.settled)
        for sidecar, tokens in renewal.settled.items():
            settled[sidecar] = max(tokens, settled.get(sidecar, 0))
        folded = self.folded
        for sidecar in renewal.dropped:
            folded += settled.pop(sidecar, 0)
        if len(settled) > MAX_SIDECARS:
            raise LedgerFull(f"{renewal.router} names over {MAX_SIDECARS} sidecars")
        grant = msgspec.structs.replace(
            self,
            granted=self.granted - renewal.give_back,
            cap=renewal.cap,
            growth=renewal.growth,
            settled=settled,
            folded=folded,
            demand=renewal.demand,
            nonce=renewal.nonce,
        )
        if grant.used > grant.granted:
            raise SettledBeyondGrant(f"{renewal.router}: {grant.used}")
        return grant

    def reported(self, sidecar: str, tokens: int) -> Self:
        """Return the sealed grant with one sidecar's spend known for good.

        A second report of the same sidecar finds it gone and changes nothing.
        """
        if sidecar not in self.settled:
            return self
        settled = {k: v for k, v in self.settled.items() if k != sidecar}
        return msgspec.structs.replace(
            self, settled=settled, folded=self.folded + tokens
        )
