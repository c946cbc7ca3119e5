"""Ejection of failing upstreams, and their return through probes.

Load pattern: one upstream fails, often faster than a healthy one responds.  Without
ejection it looks the least loaded and attracts ever more requests, which all fail.
Without probes and exponential backoff, a failed upstream receives requests again and
again.  Without a minimum of usable upstreams, a fault of the router's own network
ejects every upstream and turns a partial failure into a complete one.

Upstreams that return start with a small fraction of their traffic (see `slow_start`).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from ragwortkeel.policy.facts import Failure

FAILURES_TO_EJECT = 3
"""Consecutive errors that eject an upstream; one or two may be the request's fault."""

FIRST_BACKOFF_SECONDS = 1.0
"""Backoff after the first ejection; it doubles with each further ejection.  A short
first value keeps a transient error cheap."""

MAX_BACKOFF_SECONDS = 30.0
"""Upper bound of the backoff: an upstream that was down for an hour is still probed
twice a minute."""

MIN_USABLE_FRACTION = 1 / 3
"""Minimum fraction of each back end's upstreams that stays in use.  Losing one of three
availability zones ejects a third, losing two ejects two thirds; a larger loss is more
likely a fault on the router's side."""


@dataclass(frozen=True, kw_only=True)
class Healthy:
    """An upstream in use.

    `failures` counts consecutive failures, `ejections` counts the ejections since the
    last success other than a probe's.
    """

    failures: int = 0
    ejections: int = 0


@dataclass(frozen=True, kw_only=True)
class Ejected:
    """An upstream that gets no request before `until`, and then one probe."""

    until: float
    ejections: int


@dataclass(frozen=True, kw_only=True)
class Probing:
    """An upstream that got its probe at `since`; the result decides its health."""

    since: float
    ejections: int


Health = Healthy | Ejected | Probing


class Ejections:
    """Health of each upstream as observed by one router."""

    def __init__(
        self,
        *,
        failures_to_eject: int = FAILURES_TO_EJECT,
        first_backoff_seconds: float = FIRST_BACKOFF_SECONDS,
    ) -> None:
        self._failures_to_eject = failures_to_eject
        self._first_backoff_seconds = first_backoff_seconds
        self._health_by_upstream: dict[str, Health] = {}

    def retain(self, upstreams: set[str]) -> None:
        """Retain only these upstreams."""
        self._health_by_upstream = {
            name: health
            for name, health in self._health_by_upstream.items()
            if name in upstreams
        }

    def health(self, upstream: str) -> Health:
        """Return the health of the upstream."""
        return self._health_by_upstream.get(upstream, Healthy())

    def usable(self, upstreams: Iterable[str], now: float) -> dict[str, bool]:
        """Return the upstreams that may receive requests, and whether each is a probe.

        Parameters
        ----------
        upstreams : iterable of str
            All upstreams of the back ends in question.
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to bool
            Empty only if `upstreams` is empty; True marks a probe.
        """
        names = list(upstreams)
        probe_by_name: dict[str, bool] = {}
        excluded: list[tuple[float, str]] = []
        for name in names:
            match self.health(name):
                case Healthy():
                    probe_by_name[name] = False
                case Ejected(until=until) if until <= now:
                    probe_by_name[name] = True
                case Ejected(until=until):
                    excluded.append((until, name))
                case Probing(since=since):
                    excluded.append((since, name))
        shortage = ceil(MIN_USABLE_FRACTION * len(names)) - len(probe_by_name)
        for _, name in sorted(excluded)[: max(0, shortage)]:
            probe_by_name[name] = False
        return probe_by_name

    def record_assignment(self, upstream: str, now: float) -> bool:
        """Record an assigned request; return whether it is the probe.

        That is the first one after the backoff.
        """
        match self.health(upstream):
            case Ejected(until=until, ejections=ejections) if until <= now:
                self._health_by_upstream[upstream] = Probing(
                    since=now, ejections=ejections
                )
                return True
        return False

    def record_success(self, upstream: str) -> bool:
        """Record a success; return whether it ended the ejection."""
        match self.health(upstream):
            case Healthy(failures=0, ejections=0):
                return False
            case Healthy():
                self._health_by_upstream[upstream] = Healthy()
                return False
            case Ejected():
                # The request was sent before the ejection, so it proves nothing new.
                return False
            case Probing(ejections=ejections):
                self._health_by_upstream[upstream] = Healthy(ejections=ejections)
                return True

    def record_no_verdict(self, upstream: str, now: float) -> None:
        """Record a request that ended without a verdict (cancelled, turned away)."""
        match self.health(upstream):
            case Probing(ejections=ejections):
                self._health_by_upstream[upstream] = Ejected(
                    until=now, ejections=ejections
                )

    def record_failure(self, upstream: str, failure: Failure, now: float) -> bool:
        """Record a failed attempt; return whether it ejected the upstream.

        A full or draining upstream has not failed, so `OVERLOADED` and `TURNED_AWAY`
        count as no verdict.
        """
        if failure in (Failure.OVERLOADED, Failure.TURNED_AWAY):
            self.record_no_verdict(upstream, now)
            return False
        match self.health(upstream):
            case Healthy(failures=failures, ejections=ejections):
                needed = self._failures_to_eject if failure is Failure.ERROR else 1
                if failures + 1 < needed:
                    self._health_by_upstream[upstream] = Healthy(
                        failures=failures + 1, ejections=ejections
                    )
                    return False
                return self._eject(upstream, ejections, now)
            case Probing(ejections=ejections):
                return self._eject(upstream, ejections, now)
            case Ejected():
                # Requests that ran on one upstream fail together: one ejection.
                return False

    def _eject(self, upstream: str, ejections: int, now: float) -> bool:
        backoff = min(MAX_BACKOFF_SECONDS, self._first_backoff_seconds * 2**ejections)
        self._health_by_upstream[upstream] = Ejected(
            until=now + backoff, ejections=min(ejections + 1, 16)
        )
        return True
