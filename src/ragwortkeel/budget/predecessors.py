"""What the ledgers charge for a process that died: what it may have spent untold.

Only one process of a name runs at a time, so all earlier ones were dead when this one
started: what counts is the age of their last write then, even where the platform can
be read only much later.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil

import msgspec

from ragwortkeel.budget.account import DIRECT, growth_seconds
from ragwortkeel.budget.clocks import Reading, Stamp
from ragwortkeel.budget.grant import Grant
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.shards import Shard

LONGEST_AGE_SECONDS = 3600.0
"""From here on a dead process's grant is charged whole; its cap has long grown to
that, and no clock has to be believed for so long."""


@dataclass(frozen=True, kw_only=True)
class Predecessor:
    """An earlier start of a process.

    `age_seconds` bounds the seconds from its last write to its death; `granted` are the
    tokens it held in all ledgers, `reported` those it had told as spent.
    """

    holder: str
    age_seconds: float
    granted: int
    reported: int


def is_predecessor(holder: str, *, successor: str) -> bool:
    """Whether a holder is another start of the process `of`."""
    return _process_name(holder) == _process_name(successor) and holder != successor


def find_predecessors(
    shard: Shard, *, holder: str, started: Reading
) -> list[Predecessor]:
    """Return the other starts of a process that still hold something.

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
        Predecessor(
            holder=name,
            age_seconds=_age_seconds(shard.stamp_by_holder.get(name), started),
            granted=_sum_tokens(shard, name, lambda grant: grant.granted),
            reported=_sum_tokens(shard, name, lambda grant: grant.used),
        )
        for name in starts
    ]


def close_predecessors(shard: Shard, stopped: Iterable[Predecessor]) -> Shard:
    """Return the shard without these, their bounds charged."""
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
    """Return the ledger with a dead process's grant closed and charged."""
    grant = ledger.grants.get(holder)
    if grant is None:
        return ledger
    cap = grant.granted
    if age < LONGEST_AGE_SECONDS:
        cap = min(cap, grant.cap + ceil(grant.growth * growth_seconds(age)))
    grants = ledger.grants | {holder: msgspec.structs.replace(grant, cap=cap)}
    ledger = msgspec.structs.replace(ledger, grants=grants)
    return ledger.seal(holder).write_off(router=holder, sidecar=DIRECT)


def _process_name(holder: str) -> str:
    return holder.partition("/")[0]
