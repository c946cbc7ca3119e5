"""State of the upstreams of one router, and the choice of one for a request.

Combines `choice`, `ejection` and `slow_start`; the limits come from the sidecars'
reports (see `limits`).
"""

from collections.abc import Iterable
from random import Random

from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.choice import Candidate, LoadEstimate, choose, rendezvous
from ragwortkeel.policy.ejection import Ejections
from ragwortkeel.policy.facts import Failure, LoadReport, RequestFacts, UpstreamFacts
from ragwortkeel.policy.settings import Mechanism, SchedulerSettings
from ragwortkeel.policy.slow_start import SlowStart


class UpstreamTable:
    """Load, limit, health and traffic fraction of each upstream, by name."""

    def __init__(
        self, *, zone: str, random: Random, settings: SchedulerSettings
    ) -> None:
        self._zone = zone
        self._random = random
        self._settings = settings
        self._subtracts_claims = settings.uses(Mechanism.CLAIMED_ROOM)
        self._applies_correction = settings.uses(Mechanism.REPORT_CORRECTION)
        self._facts_by_name: dict[str, UpstreamFacts] = {}
        self._load_by_name: dict[str, LoadEstimate] = {}
        self._limit_by_name: dict[str, int] = {}
        self._isolated_request_by_name: dict[str, str] = {}
        self._names_by_pool: dict[tuple[str, ...], list[str]] = {}
        self._full: set[tuple[tuple[str, ...], ServiceClass]] = set()
        self._ejections = Ejections(failures_to_eject=settings.failures_to_eject)
        self._slow_start = SlowStart(rise_per_second=settings.rise_per_second)

    def replace_upstreams(self, upstreams: Iterable[UpstreamFacts], now: float) -> None:
        """Replace the upstreams that may receive new requests."""
        self._facts_by_name = {facts.name: facts for facts in upstreams}
        self._names_by_pool.clear()
        self._full.clear()
        names = set(self._facts_by_name)
        self._slow_start.retain(names, now)
        self._ejections.retain(names)
        for name in names - self._load_by_name.keys():
            self._load_by_name[name] = LoadEstimate(
                apply_correction=self._applies_correction
            )
        for name in self._load_by_name.keys() - names:
            self._remove_if_idle(name)

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record a sidecar's report of its upstream's load."""
        load = self._load_by_name.get(report.upstream)
        if load is None:
            return
        self._full.clear()
        taken_at = now - self._settings.report_lag_seconds
        load.record_report(report.running + report.waiting, taken_at)
        if report.limit:
            self._limit_by_name[report.upstream] = report.limit

    def serving(self, back_ends: tuple[str, ...]) -> list[str]:
        """Return the upstreams of these back ends."""
        names = self._names_by_pool.get(back_ends)
        if names is None:
            facts = self._facts_by_name.values()
            names = [each.name for each in facts if each.back_end in back_ends]
            self._names_by_pool[back_ends] = names
        return names

    def choose_upstream(
        self,
        request: RequestFacts,
        *,
        avoid: frozenset[str],
        now: float,
    ) -> str | None:
        """Return the upstream for a request, or None if none has headroom.

        Upstreams in `avoid` are used only if no other is left.
        """
        # Without headroom, nothing changes until a request ends or a report arrives;
        # a saturated router calls this many times in between.
        pool = (request.back_ends, request.service_class)
        if pool in self._full:
            return None
        names = self._open_upstreams(request, now)
        names = [name for name in names if name not in avoid] or names
        by_name = {n: self._candidate(n, request.service_class, now) for n in names}
        if not any(candidate.has_headroom for candidate in by_name.values()):
            if not avoid:
                self._full.add(pool)
            return None
        key = request.prefix or request.request_id
        chosen = choose(
            ordered=[by_name[name] for name in rendezvous(key, names)],
            prefix=request.prefix,
            zone=self._zone,
            random=self._random,
            preferred_count=self._settings.candidate_count,
            bound=self._settings.load_bound,
        )
        return chosen.name if chosen else None

    def choose_for_isolation(self, request: RequestFacts, now: float) -> str | None:
        """Return the upstream on which the request may run alone, or None.

        Only one upstream of a back end runs a suspect at a time, so that suspects can't
        make the back end unavailable to all other requests.
        """
        pool = self.serving(request.back_ends)
        if any(name in self._isolated_request_by_name for name in pool):
            return None
        usable = self._ejections.usable(pool, now)
        not_probed = [name for name, probe in usable.items() if not probe]
        return min(
            not_probed, key=lambda name: self._load_by_name[name].load, default=None
        )

    def record_start(
        self, request_id: str, name: str, *, alone: bool, now: float
    ) -> None:
        """Count a dispatched request."""
        self._load_by_name[name].record_start(now)
        self._ejections.record_assignment(name, now)
        if alone:
            self._isolated_request_by_name[name] = request_id

    def record_end(self, request_id: str, name: str, now: float) -> None:
        """Count a request that no longer runs there."""
        self._full.clear()
        self._load_by_name[name].record_end(now)
        if self._isolated_request_by_name.get(name) == request_id:
            del self._isolated_request_by_name[name]
        if name not in self._facts_by_name:
            self._remove_if_idle(name)

    def record_success(self, name: str, now: float) -> None:
        """Record an answer, or its first token."""
        if self._ejections.record_success(name):
            self._full.clear()
            self._slow_start.reset(name, now)

    def record_no_verdict(self, name: str, now: float) -> None:
        """Record a request that ended without a verdict on the upstream."""
        self._full.clear()
        self._ejections.record_no_verdict(name, now)

    def record_failure(self, name: str, failure: Failure, now: float) -> None:
        """Record a failed attempt."""
        self._full.clear()
        if failure is Failure.OVERLOADED and name in self._load_by_name:
            self._load_by_name[name].assume_full(self._limit(name))
        if not self._settings.uses(Mechanism.EJECTION):
            return
        if self._ejections.record_failure(name, failure, now):
            self._slow_start.reset(name, now)

    def _open_upstreams(self, request: RequestFacts, now: float) -> list[str]:
        """Return the usable upstreams; no probes if the request must not repeat."""
        pool = self.serving(request.back_ends)
        usable = self._ejections.usable(pool, now)
        names = [name for name in usable if name not in self._isolated_request_by_name]
        if request.repeatable:
            return names
        return [name for name in names if not usable[name]] or names

    def _limit(self, name: str) -> float:
        return float(self._limit_by_name.get(name, self._settings.initial_limit))

    def _candidate(self, name: str, service: ServiceClass, now: float) -> Candidate:
        limit = self._limit(name) * self._slow_start.fraction(name, now)
        if service is ServiceClass.BATCH:
            limit *= self._settings.batch_fraction
        limit = max(1.0, limit)
        load = self._load_by_name[name]
        return Candidate(
            name=name,
            zone=self._facts_by_name[name].zone,
            load=load.load,
            limit=limit,
            claimed=load.claimed_by_others(limit) if self._subtracts_claims else 0.0,
        )

    def _remove_if_idle(self, name: str) -> None:
        if self._load_by_name[name].own == 0:
            del self._load_by_name[name]
            self._limit_by_name.pop(name, None)
