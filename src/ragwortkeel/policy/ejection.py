"""Ejection of failing upstreams, and their way back through probes.

Pattern of load: one upstream fails, often faster than a healthy one serves.
Without ejection it looks the least loaded and draws ever more requests, which
all fail.  Without probes and a growing pause, a dead upstream takes a request
again and again; without a floor on how many stay, a fault of the router's own
network ejects every upstream and turns a partial fault into a full one.

Returning upstreams start with a small share (see `shifting`).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from ragwortkeel.policy.facts import Failure

FAILURES_TO_EJECT = 3
"""Errors in a row; one or two may be the request's own fault."""

FIRST_BACKOFF_SECONDS = 1.0
"""Short, so that a passing error costs little; doubled with each ejection."""

MAX_BACKOFF_SECONDS = 30.0
"""An upstream that was away for an hour is still tried twice a minute."""

MIN_USABLE_FRACTION = 1 / 3
"""Of each back end at least this share stays in use: losing one zone of three
ejects a third, two zones two thirds; more than that is likelier to be a fault
on the router's own side."""


@dataclass(frozen=True, kw_only=True)
class Healthy:
    """In use; `failures` in a row so far, `ejections` without a success since."""

    failures: int = 0
    ejections: int = 0


@dataclass(frozen=True, kw_only=True)
class Ejected:
    """Gets nothing before `until`, then one probe."""

    until: float
    ejections: int


@dataclass(frozen=True, kw_only=True)
class Probing:
    """One request is there to find out, since `since`."""

    since: float
    ejections: int


Health = Healthy | Ejected | Probing


class Ejections:
    """The health of each upstream as one router has met it."""

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
        """Forget upstreams that left."""
        self._health_by_upstream = {
            name: health
            for name, health in self._health_by_upstream.items()
            if name in upstreams
        }

    def health(self, upstream: str) -> Health:
        """Return what is known of the upstream."""
        return self._health_by_upstream.get(upstream, Healthy())

    def usable(self, upstreams: Iterable[str], now: float) -> dict[str, bool]:
        """Return the upstreams that may get work, and whether it is a probe.

        Parameters
        ----------
        upstreams : iterable of str
            All upstreams of the back ends in question.
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to bool
            Never empty unless `upstreams` is; True marks a probe.
        """
        names = list(upstreams)
        probe_by_name: dict[str, bool] = {}
        away: list[tuple[float, str]] = []
        for name in names:
            match self.health(name):
                case Healthy():
                    probe_by_name[name] = False
                case Ejected(until=until) if until <= now:
                    probe_by_name[name] = True
                case Ejected(until=until):
                    away.append((until, name))
                case Probing(since=since):
                    away.append((since, name))
        missing = ceil(MIN_USABLE_FRACTION * len(names)) - len(probe_by_name)
        for _, name in sorted(away)[: max(0, missing)]:
            probe_by_name[name] = False
        return probe_by_name

    def record_assignment(self, upstream: str, now: float) -> None:
        """Note that work goes there; the first after a pause is the probe."""
        match self.health(upstream):
            case Ejected(until=until, ejections=ejections) if until <= now:
                self._health_by_upstream[upstream] = Probing(
                    since=now, ejections=ejections
                )

    def record_success(self, upstream: str) -> bool:
        """Note a success; return whether it brought the upstream back."""
        match self.health(upstream):
            case Healthy(failures=0, ejections=0):
                return False
            case Healthy():
                self._health_by_upstream[upstream] = Healthy()
                return False
            case Ejected():
                # A late answer from before the ejection proves nothing new.
                return False
            case Probing(ejections=ejections):
                self._health_by_upstream[upstream] = Healthy(ejections=ejections)
                return True

    def record_no_verdict(self, upstream: str, now: float) -> None:
        """Note that work left without a verdict (cancelled, turned away)."""
        match self.health(upstream):
            case Probing(ejections=ejections):
                self._health_by_upstream[upstream] = Ejected(
                    until=now, ejections=ejections
                )

    def record_failure(self, upstream: str, failure: Failure, now: float) -> bool:
        """Note a failed attempt; return whether it ejected the upstream.

        A full or leaving upstream is not a failing one, so `OVERLOADED` and
        `TURNED_AWAY` count as no verdict.
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
                # The requests that ran there fail together: one ejection.
                return False

    def _eject(self, upstream: str, ejections: int, now: float) -> bool:
        pause = min(MAX_BACKOFF_SECONDS, self._first_backoff_seconds * 2**ejections)
        self._health_by_upstream[upstream] = Ejected(
            until=now + pause, ejections=min(ejections + 1, 16)
        )
        return True
