"""What a process can have spent beyond what the ledger records.

The process itself and whoever closes its grants compute it here, so that both agree.
The process counts the seconds since its last write from its slowest clock and its
latest write that may have taken effect; the other one bounds them from above.
"""

GROWTH_DELAY_SECONDS = 5.5
"""Seconds after the last write at which a cap begins to grow.

A killed process restarts and records its start time within 2.5 s, and after a loss of
power a jump of the time of day of 3 s is allowed for.  So an ordinary crash charges
only the headroom of the cap.
"""

GROWTH_SECONDS = 4.5
"""Seconds for which a cap grows at most.

That covers an outage of 10 s, longer than an ordinary one.  Whoever
closes the grant of a process that is gone charges all the growth.
"""


def unreported_limit(
    *, cap: int, growth: int, seconds: float, growth_seconds: float | None
) -> int:
    """Return the most tokens that can be spent or reserved without a report.

    Parameters
    ----------
    cap, growth : int
        As the last write recorded them: tokens, and tokens a second.
    seconds : float
        Seconds since the last write.
    growth_seconds : float or None
        Seconds for which the cap grows at most, as the last write recorded them; None
        if it grows without end.

    Examples
    --------
    >>> unreported_limit(cap=100, growth=10, seconds=5.0, growth_seconds=3.0)
    100
    >>> unreported_limit(cap=100, growth=10, seconds=7.5, growth_seconds=3.0)
    120
    >>> unreported_limit(cap=100, growth=10, seconds=60.0, growth_seconds=3.0)
    130
    """
    growing_seconds = max(0.0, seconds - GROWTH_DELAY_SECONDS)
    if growth_seconds is not None:
        growing_seconds = min(growing_seconds, growth_seconds)
    return cap + int(growth * growing_seconds)
