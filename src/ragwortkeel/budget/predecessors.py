"""Charges for crashed processes: what each may have spent without reporting it.

Only one process of a name runs at a time, so all earlier ones had ended when this one
started.  Their charge depends on the age of their last write at that moment, even if
the platform can be read only much later.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from ragwortkeel.budget.account import DIRECT
from ragwortkeel.budget.clocks import Reading, Stamp
from ragwortkeel.budget.exposure import unreported_limit
from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.shards import Shard

LONGEST_AGE_SECONDS = 3600.0
"""Age of the last write from which on the full grant is charged, if its cap grows
without end.

By then the cap has grown to the grant, and no clock has to be trusted for longer.
"""

ROUNDING_TOKENS = 1
"""Tokens charged beyond the limit, as seconds are sums of rounded readings."""


@dataclass(frozen=True, kw_only=True)
class Predecessor:
    """An earlier start of a process.

    Attributes
    ----------
    age_seconds : float
        Upper bound of the seconds from its last write until it ended.
    granted, reported : int
        Tokens of its grants in all ledgers, and the spend that it reported of them.
    """

    holder: str
    age_seconds: float
    granted: int
    reported: int


def is_predecessor(holder: str, *, successor: str) -> bool:
    """Return whether a holder is another start of the successor's process."""
    return _process_name(holder) == _process_name(successor) and holder != successor


def find_predecessors(
    shard: Shard, *, holder: str, started: Reading
) -> list[Predecessor]:
    """Return the other starts of a process that hold grants or a stamp.

    Parameters
    ----------
    started : Reading
        The clocks at the start of the process.
    """
    holders = set(shard.stamp_by_holder)
    for ledger in shard.ledger_by_customer.values():
        holders |= ledger.grants.keys()
    starts = sorted(name for name in holders if is_predecessor(name, successor=holder))
    return [
        stopped_holder(
            shard,
            name,
            age_seconds=_age_seconds(shard.stamp_by_holder.get(name), started),
        )
        for name in starts
    ]


def stopped_holder(
    shard: Shard, holder: str, *, age_seconds: float = float("inf")
) -> Predecessor:
    """Return a holder to close, by default one whose last write has no known age."""
    return Predecessor(
        holder=holder,
        age_seconds=age_seconds,
        granted=_sum_tokens(shard, holder, lambda grant: grant.granted),
        reported=_sum_tokens(shard, holder, lambda grant: grant.used),
    )


def close_predecessors(shard: Shard, stopped: Iterable[Predecessor]) -> Shard:
    """Return the shard with the grants of these starts charged and closed."""
    for predecessor in stopped:
        ledgers = {
            customer: _charge_grant(
                ledger, predecessor.holder, age=predecessor.age_seconds
            )
            for customer, ledger in shard.ledger_by_customer.items()
        }
        stamps = {
            name: stamp
            for name, stamp in shard.stamp_by_holder.items()
            if name != predecessor.holder
        }
        shard = msgspec.structs.replace(
            shard, ledger_by_customer=ledgers, stamp_by_holder=stamps
        )
    return shard


def _sum_tokens(shard: Shard, holder: str, tokens: Callable[[Grant], int]) -> int:
    ledgers = shard.ledger_by_customer.values()
    return sum(
        tokens(ledger.grants[holder]) for ledger in ledgers if holder in ledger.grants
    )


def _age_seconds(stamp: Stamp | None, reading: Reading) -> float:
    return float("inf") if stamp is None else stamp.age(reading)


def _charge_grant(ledger: Ledger, holder: str, *, age: float) -> Ledger:
    """Return the ledger with a stopped process's grant charged and closed."""
    grant = ledger.grants.get(holder)
    if grant is None:
        return ledger
    cap = grant.granted
    if age < LONGEST_AGE_SECONDS or grant.growth_seconds is not None:
        limit = unreported_limit(
            cap=grant.cap,
            growth=grant.growth,
            seconds=age,
            growth_seconds=grant.growth_seconds,
        )
        cap = min(cap, limit + ROUNDING_TOKENS)
    grants = ledger.grants | {holder: msgspec.structs.replace(grant, cap=cap)}
    ledger = msgspec.structs.replace(ledger, grants=grants)
    return ledger.seal(holder).write_off(router=holder, sidecar=DIRECT)


def _process_name(holder: str) -> str:
    return holder.partition("/")[0]
