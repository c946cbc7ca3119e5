"""Grants of processes that are gone for good, closed by any process that writes.

No process can know whether another one has ended or is only disconnected, so nothing
here depends on it.  The ledgers order a close and the renewals of its holder: after the
close a renewal is refused, and before it the close charges what the renewal recorded.
A grant bounds what its holder can spend without a renewal, as its cap ends to grow, and
the close charges that.  Thus the time until a close is no matter of safety; it avoids
charges for processes that are suspended, disconnected or about to restart.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ragwortkeel.budget.clocks import Reading, Stamp
from ragwortkeel.budget.predecessors import (
    close_predecessors,
    is_predecessor,
    stopped_holder,
)
from ragwortkeel.budget.shards import Shard

GONE_SECONDS = 15.0
"""Seconds without a new stamp after which a holder's grants are closed.

A live process has a stamp written at least every 2 s.  A killed one restarts earlier,
and its successor charges it less.
"""

MAX_GAP_SECONDS = 3.0
"""Longest time between two looks at the stamps for a watch to go on.

After an outage of the platform all stamps are old, and the holders need time to renew.
"""


@dataclass(frozen=True, kw_only=True)
class _Unchanged:
    stamp: Stamp
    since: Reading


class HolderWatch:
    """How long the stamps of other processes have been unchanged, as one writer sees.

    Only the writer's own elapsed time counts, and only while it sees the ledgers all
    the time.
    """

    def __init__(self) -> None:
        self._unchanged_by_holder: dict[str, _Unchanged] = {}
        self._looked_at: Reading | None = None

    def gone(self, shard: Shard, *, holder: str, reading: Reading) -> list[str]:
        """Return the holders to close, as seen by the process `holder`.

        A process's own earlier starts are left to it.
        """
        last = self._looked_at
        if last is None or reading.boot - last.boot > MAX_GAP_SECONDS:
            self._unchanged_by_holder = {}
        self._looked_at = reading
        unchanged_by_holder = {}
        for name, stamp in shard.stamp_by_holder.items():
            if name == holder or is_predecessor(name, successor=holder):
                continue
            known = self._unchanged_by_holder.get(name)
            if known is None or known.stamp != stamp:
                known = _Unchanged(stamp=stamp, since=reading)
            unchanged_by_holder[name] = known
        self._unchanged_by_holder = unchanged_by_holder
        return [
            name
            for name, entry in unchanged_by_holder.items()
            if reading.min_seconds_since(entry.since) >= GONE_SECONDS
            and _is_bounded(shard, name)
        ]


def close_gone(shard: Shard, holders: Iterable[str]) -> Shard:
    """Return the shard with these holders' grants closed at their bounds."""
    return close_predecessors(shard, [stopped_holder(shard, name) for name in holders])


def _is_bounded(shard: Shard, holder: str) -> bool:
    """Return whether each grant of the holder bounds what it can spend.

    Processes of earlier software let their caps grow without end.
    """
    ledgers = shard.ledger_by_customer.values()
    grants = [ledger.grants[holder] for ledger in ledgers if holder in ledger.grants]
    return all(grant.growth_seconds is not None for grant in grants)
