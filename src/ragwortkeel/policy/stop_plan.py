"""The points of a planned stop, computed when it begins.

Failure it guards against: a stop has one deadline, and everything before it waits by
limits of its own.  A connection without a request, a queue or a slow ledger then
postpones when requests are refused, and what was accepted late is cut off.
"""

from dataclasses import dataclass

MAX_ACCEPTING_FRACTION = 0.5
"""Largest part of a stop in which new requests are accepted, for short stops."""


@dataclass(frozen=True, kw_only=True)
class StopPlan:
    """A planned stop; all times are monotonic seconds.

    Attributes
    ----------
    began_at : float
        When the process was told to stop.
    refuses_at : float
        From then on every new request is refused, and connections are not accepted.
    ends_at : float
        When what is still open is answered with an error, or cut off if its answer
        has started.

    Examples
    --------
    >>> plan = StopPlan.starting(0.0, seconds=7.5, accepting_seconds=2.6)
    >>> plan.refuses_at, plan.may_begin(now=5.0, run_seconds=2.0)
    (2.6, True)
    """

    began_at: float
    refuses_at: float
    ends_at: float

    @classmethod
    def starting(
        cls, now: float, *, seconds: float, accepting_seconds: float
    ) -> "StopPlan":
        """Return the plan of a stop that begins now and lasts at most `seconds`.

        New requests are accepted for `accepting_seconds`, by which a balancer has
        noticed the stop.
        """
        accepting = min(accepting_seconds, MAX_ACCEPTING_FRACTION * seconds)
        return cls(began_at=now, refuses_at=now + accepting, ends_at=now + seconds)

    def may_begin(self, *, now: float, run_seconds: float | None) -> bool:
        """Return whether a run that begins now can be expected to end in time.

        Parameters
        ----------
        run_seconds : float or None
            Expected length of the run.  None if it is unknown: such a run begins while
            new requests are accepted, since no later one has as much time.
        """
        if run_seconds is None:
            return now < self.refuses_at
        return now + run_seconds <= self.ends_at
