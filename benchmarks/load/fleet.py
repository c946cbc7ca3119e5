"""A run of one scheme on one scenario: callers, routers, sidecars, engines.

Events are taken in order of time from one heap; the same seed gives the same
callers whatever the scheme.  A caller hangs up at its deadline.  Refused or
late, it calls again up to twice: after the seconds it was told, or after one.
"""

from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random

from benchmarks.load.engine import (
    MODEL,
    SERVICE,
    Engine,
    Finished,
    FirstToken,
    Job,
    PrefixCache,
)
from benchmarks.load.measures import Measures, Outcome
from benchmarks.load.schemes import FinalDecision, Router, Scheme
from benchmarks.load.workloads import Deployment, RequestSpec, Scenario, request_specs
from ragwortkeel.configuration import ServiceClass
from ragwortkeel.policy.facts import (
    Assignment,
    Failure,
    LoadReport,
    Refusal,
    RequestFacts,
    UpstreamFacts,
)
from ragwortkeel.policy.limits import AdaptiveLimit, Sample

REPORT_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.25
HOP_LATENCY_SECONDS = 0.002
FAILURE_LATENCY_SECONDS = 0.05
MAX_CALLS = 3
SEND_AGAIN_SECONDS = 1.0
DRAIN_SECONDS = 60.0
SLOW_SPEED = 0.25
OLD_SPEED = 0.5
RESTART_SECONDS = 3.0
WARMING_SECONDS = 6.0
WARMING_SPEED = 0.3
"""A started engine has cold caches and compiles its kernels on the way."""

PRIORITIES = {
    ServiceClass.INTERACTIVE: 0,
    ServiceClass.MUST_NOT_REPEAT: 0,
    ServiceClass.BATCH: 1,
}


@dataclass(kw_only=True, eq=False)
class Call:
    """One time that a caller sends its request."""

    spec: RequestSpec
    request: RequestFacts
    router: int
    at: float
    sent_at: float = 0.0
    first_token_at: float = 0.0
    upstream: str = ""
    nonce: str = ""
    is_over: bool = False


@dataclass(kw_only=True, eq=False)
class Sidecar:
    """One upstream with the limit that its sidecar keeps."""

    facts: UpstreamFacts
    engine: Engine
    limit: AdaptiveLimit | None
    failing: bool = False

    @property
    def load(self) -> int:
        """Requests running and waiting."""
        return self.engine.running + self.engine.waiting

    def allowed(self) -> int:
        """Return the limit; zero for none."""
        return self.limit.limit if self.limit else 0

    def is_full(self) -> bool:
        """Tell whether one more is refused.

        Routers decide on reports that lag, so a few more than the limit pass.
        """
        return bool(self.limit) and self.load >= self.limit.limit * 1.25 + 2


class Fleet:
    """One run; `run` returns what callers got."""

    def __init__(
        self, *, deployment: Deployment, scenario: Scenario, scheme: Scheme, seed: int
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._scheme = scheme
        self._callers = Random(seed)
        self._balancer = Random(seed + 1)
        self._measures = Measures(seconds=scenario.seconds)
        self._events: list[tuple[float, int, object]] = []
        self._order = count()
        self._now = 0.0
        self._calls_by_id: dict[str, Call] = {}
        self._calls_by_nonce: dict[str, Call] = {}
        self._sidecars = self._make_sidecars()
        facts = [sidecar.facts for sidecar in self._sidecars.values()]
        self._routers: list[Router] = [
            scheme.router(facts, deployment.zones[i % 3], Random(seed + 10 + i))
            for i in range(deployment.routers)
        ]
        self._removed: set[str] = set()
        self._breaking: set[str] = set()
        self._wakes: list[float | None] = [None] * deployment.routers

    def run(self) -> Measures:
        """Play the scenario to its end."""
        random = Random(self._callers.random())
        for spec in request_specs(self._deployment, self._scenario, random):
            self._measures.outcomes[spec.number] = Outcome(spec=spec)
            self._schedule(spec.at, lambda spec=spec: self._send_call(spec))
        self._plan_faults()
        end = self._scenario.seconds + DRAIN_SECONDS
        self._schedule(REPORT_SECONDS, lambda: self._send_reports(end))
        while self._events and self._events[0][0] <= end:
            self._now, _, action = heappop(self._events)
            action()
        for sidecar in self._sidecars.values():
            self._measures.hit_tokens += sidecar.engine.hit_tokens
            self._measures.prefix_tokens += sidecar.engine.prefix_tokens
        return self._measures

    def _make_sidecars(self) -> dict[str, Sidecar]:
        model_back_end = self._deployment.profiles[0].back_end
        service_back_end = self._deployment.profiles[-1].back_end
        sidecars = {}
        sizes = (
            (model_back_end, self._deployment.models, MODEL),
            (service_back_end, self._deployment.services, SERVICE),
        )
        for back_end, size, kind in sizes:
            for i in range(size):
                name = f"{back_end}{i}"
                old = self._scenario.uneven and kind is MODEL and i % 2
                sidecars[name] = Sidecar(
                    facts=UpstreamFacts(
                        name=name,
                        back_end=back_end,
                        zone=self._deployment.zones[i % 3],
                    ),
                    engine=Engine(kind=kind, speed=OLD_SPEED if old else 1.0),
                    limit=AdaptiveLimit() if self._scheme.adaptive else None,
                )
        return sidecars

    def _plan_faults(self) -> None:
        first = next(iter(self._sidecars.values()))
        for at, speed in zip(self._scenario.slow, (SLOW_SPEED, 1.0), strict=True):
            if self._scenario.slow[1]:
                self._schedule(at, lambda speed=speed: self._set_speed(first, speed))
        for at, failing in zip(self._scenario.failing, (True, False), strict=True):
            if self._scenario.failing[1]:
                self._schedule(
                    at, lambda failing=failing: self._set_failing(first, failing)
                )

        start, stop = self._scenario.restarting
        if not stop:
            return
        models = list(self._sidecars.values())[: self._deployment.models]
        for i, sidecar in enumerate(models[: self._deployment.models // 2]):
            away = start + i * (stop - start) / len(models)
            self._schedule(away, lambda sidecar=sidecar: self._restart(sidecar))

    def _restart(self, sidecar: Sidecar) -> None:
        """Take the upstream out, and bring it back cold and slow."""
        self._removed.add(sidecar.facts.name)
        self._update_upstreams()
        back = self._now + RESTART_SECONDS
        self._schedule(back, lambda: self._return_to_service(sidecar))

    def _return_to_service(self, sidecar: Sidecar) -> None:
        sidecar.engine.cache = PrefixCache(tokens=sidecar.engine.kind.cache_tokens)
        self._set_speed(sidecar, WARMING_SPEED)
        self._removed.discard(sidecar.facts.name)
        self._update_upstreams()
        warm = self._now + WARMING_SECONDS
        self._schedule(warm, lambda: self._set_speed(sidecar, 1.0))

    def _update_upstreams(self) -> None:
        present = [s for n, s in self._sidecars.items() if n not in self._removed]
        facts = [sidecar.facts for sidecar in present]
        for router in range(len(self._routers)):
            self._apply(router, self._routers[router].set_upstreams(facts, self._now))

    def _set_speed(self, sidecar: Sidecar, speed: float) -> None:
        self._collect(sidecar)
        sidecar.engine.speed = speed
        sidecar.engine.version += 1
        self._plan(sidecar)

    def _set_failing(self, sidecar: Sidecar, failing: bool) -> None:
        sidecar.failing = failing
        if not failing:
            return
        lost = [
            a for a in self._calls_by_id.values() if a.upstream == sidecar.facts.name
        ]
        sidecar.engine.crash()
        for call in lost:
            self._fail_attempt(call, call.nonce, Failure.CRASHED)

    def _schedule(self, at: float, action: object) -> None:
        heappush(self._events, (at, next(self._order), action))

    def _send_call(self, spec: RequestSpec) -> None:
        outcome = self._measures.outcomes[spec.number]
        outcome.calls += 1
        now = self._now
        profile = spec.profile
        request = RequestFacts(
            request_id=f"{spec.number}.{outcome.calls}",
            profile=profile.name,
            customer=spec.customer,
            service_class=profile.service,
            back_ends=(profile.back_end,),
            deadline=now + profile.deadline_seconds,
            first_token_deadline=now + profile.first_token_seconds,
            cost=spec.prompt + 2 * spec.output,
            prefix=spec.prefix,
        )
        router = self._balancer.randrange(len(self._routers))
        call = Call(spec=spec, request=request, router=router, at=now)
        self._calls_by_id[request.request_id] = call
        wait_seconds = spec.disconnects_after_seconds or profile.deadline_seconds
        self._schedule(now + wait_seconds, lambda: self._hang_up(call))
        self._apply(router, self._routers[router].offer(request, now))

    def _apply(self, router: int, decisions: list[FinalDecision]) -> None:
        for decision in decisions:
            call = self._calls_by_id.get(decision.request.request_id)
            if call is None:
                continue
            match decision:
                case Assignment():
                    self._dispatch(call, decision)
                case Refusal():
                    self._record_refusal(call, decision)
        self._plan_wake(router)

    def _plan_wake(self, router: int) -> None:
        wake = self._routers[router].next_wake_at()
        if wake is None or wake == self._wakes[router]:
            return
        self._wakes[router] = wake
        self._schedule(max(wake + 1e-6, self._now), lambda: self._wake(router))

    def _wake(self, router: int) -> None:
        self._wakes[router] = None
        self._apply(router, self._routers[router].decide_due(self._now))

    def _dispatch(self, call: Call, assignment: Assignment) -> None:
        measures = self._measures
        measures.dispatches += 1
        measures.extra_attempts += assignment.attempt > 1
        sidecar = self._sidecars[assignment.upstream]
        zone = self._deployment.zones[call.router % 3]
        measures.cross_zone += sidecar.facts.zone != zone
        call.upstream = assignment.upstream
        call.sent_at = self._now
        call.first_token_at = 0.0
        call.nonce = f"{call.request.request_id}/{measures.dispatches}"
        nonce = call.nonce
        self._schedule(
            self._now + HOP_LATENCY_SECONDS, lambda: self._arrive(sidecar, call, nonce)
        )

    def _arrive(self, sidecar: Sidecar, call: Call, nonce: str) -> None:
        if call.nonce != nonce or (call.is_over and self._cancelled(call)):
            return
        self._collect(sidecar)
        if sidecar.failing:
            later = self._now + FAILURE_LATENCY_SECONDS
            self._schedule(
                later, lambda: self._fail_attempt(call, nonce, Failure.ERROR)
            )
            return
        if sidecar.is_full():
            self._measures.bounced += 1
            self._fail_attempt(call, nonce, Failure.OVERLOADED)
            return
        self._calls_by_nonce[nonce] = call
        job = self._job(call, nonce)
        flaky = sidecar.engine.kind is MODEL and self._scenario.flaky
        if flaky and Random(nonce).random() < flaky:
            self._breaking.add(nonce)
            job.output = max(1, job.output // 2)
        sidecar.engine.submit(job)
        self._plan(sidecar)

    def _cancelled(self, call: Call) -> bool:
        return call.request.request_id not in self._calls_by_id

    def _job(self, call: Call, nonce: str) -> Job:
        priority = (
            PRIORITIES[call.request.service_class] if self._scheme.priorities else 0
        )
        return Job(
            job_id=nonce,
            prompt=call.spec.prompt,
            prefix=call.spec.prefix,
            prefix_tokens=call.spec.prefix_tokens,
            output=call.spec.output,
            priority=priority,
        )

    def _plan(self, sidecar: Sidecar) -> None:
        at = sidecar.engine.next_event()
        if at is None:
            return
        version = sidecar.engine.version
        self._schedule(at, lambda: self._engine_event(sidecar, version))

    def _engine_event(self, sidecar: Sidecar, version: int) -> None:
        if sidecar.engine.version == version:
            self._collect(sidecar)
            self._plan(sidecar)

    def _collect(self, sidecar: Sidecar) -> None:
        """Bring the engine up to now, and its answers to the routers."""
        sidecar.engine.advance(self._now)
        for event in sidecar.engine.collect():
            call = self._calls_by_nonce.get(event.job.job_id)
            if call is None:
                continue
            match event:
                case FirstToken():
                    call.first_token_at = self._now
                    self._observe(sidecar, call)
                    self._routers[call.router].record_first_token(
                        call.request.request_id, self._now
                    )
                case Finished():
                    self._finish(sidecar, call)

    def _finish(self, sidecar: Sidecar, call: Call) -> None:
        now = self._now
        if call.nonce in self._breaking:
            self._fail_attempt(call, call.nonce, Failure.ERROR)
            return
        if not call.first_token_at:
            call.first_token_at = now
            self._observe(sidecar, call)
        del self._calls_by_nonce[call.nonce]
        if not call.is_over:
            call.is_over = True
            self._record_answer(call)
        request_id = call.request.request_id
        if self._calls_by_id.pop(request_id, None):
            later = now + HOP_LATENCY_SECONDS
            self._schedule(
                later, lambda: self._report_finished(call.router, request_id)
            )

    def _report_finished(self, router: int, request_id: str) -> None:
        self._apply(router, self._routers[router].record_finish(request_id, self._now))

    def _record_answer(self, call: Call) -> None:
        """Count the answer as in time if it kept what its class promises."""
        request = call.request
        in_time = self._now <= request.deadline
        if request.service_class is ServiceClass.INTERACTIVE:
            in_time = in_time and call.first_token_at <= request.first_token_deadline
        self._measures.outcomes[call.spec.number].in_time |= in_time

    def _observe(self, sidecar: Sidecar, call: Call) -> None:
        if sidecar.limit is None:
            return
        interactive = call.request.service_class is ServiceClass.INTERACTIVE
        promised = call.spec.profile.first_token_seconds if interactive else 0.0
        sample = Sample(
            first_token_seconds=call.first_token_at - call.sent_at,
            promised_seconds=promised,
            queued=sidecar.engine.waiting > 0,
        )
        sidecar.limit.observe(sample, running=sidecar.load + 1, now=self._now)

    def _fail_attempt(self, call: Call, nonce: str, failure: Failure) -> None:
        self._calls_by_nonce.pop(nonce, None)
        request_id = call.request.request_id
        if call.nonce != nonce or request_id not in self._calls_by_id:
            return
        call.upstream = ""
        decisions = self._routers[call.router].record_failure(
            request_id, failure, self._now
        )
        self._apply(call.router, decisions)

    def _record_refusal(self, call: Call, refusal: Refusal) -> None:
        self._calls_by_id.pop(call.request.request_id, None)
        if call.is_over:
            return
        call.is_over = True
        measures = self._measures
        measures.unserved_seconds.append(self._now - call.at)
        if refusal.may_have_run:
            measures.broken_off += 1
        else:
            measures.refusal_seconds.append(self._now - call.at)
            measures.servable_refusals += self._servable(call)
        reason = str(refusal.reason)
        by_reason = measures.refusals_by_reason
        by_reason[reason] = by_reason.get(reason, 0) + 1
        if not refusal.may_have_run or call.request.repeatable:
            self._send_again(call, refusal.retry_after_seconds or SEND_AGAIN_SECONDS)

    def _servable(self, call: Call) -> bool:
        """Tell whether some upstream could have served it from now on in time."""
        request = call.request
        total = request.deadline - self._now
        first = total
        if request.service_class is ServiceClass.INTERACTIVE:
            first = request.first_token_deadline - self._now
        job = self._job(call, "")
        return any(
            not sidecar.failing
            and sidecar.facts.back_end in request.back_ends
            and sidecar.engine.could_serve(job, first, total)
            for sidecar in self._sidecars.values()
        )

    def _hang_up(self, call: Call) -> None:
        if call.is_over:
            return
        call.is_over = True
        if not call.spec.disconnects_after_seconds:
            self._measures.unserved_seconds.append(self._now - call.at)
        request_id = call.request.request_id
        upstream, decisions = self._routers[call.router].record_disconnect(
            request_id, self._now
        )
        if upstream:
            self._calls_by_id.pop(request_id, None)
            self._calls_by_nonce.pop(call.nonce, None)
            sidecar = self._sidecars[upstream]
            self._collect(sidecar)
            sidecar.engine.cancel(call.nonce)
            self._plan(sidecar)
        self._apply(call.router, decisions)
        if call.request.repeatable and not call.spec.disconnects_after_seconds:
            self._send_again(call, SEND_AGAIN_SECONDS)

    def _send_again(self, call: Call, seconds: float) -> None:
        outcome = self._measures.outcomes[call.spec.number]
        if outcome.calls < MAX_CALLS and not outcome.in_time:
            self._schedule(self._now + seconds, lambda: self._send_call(call.spec))

    def _send_reports(self, end: float) -> None:
        reports = []
        for sidecar in self._sidecars.values():
            self._collect(sidecar)
            self._plan(sidecar)
            reports.append(
                LoadReport(
                    upstream=sidecar.facts.name,
                    running=sidecar.engine.running,
                    waiting=sidecar.engine.waiting,
                    limit=sidecar.allowed(),
                )
            )
        self._schedule(
            self._now + REPORT_LAG_SECONDS, lambda: self._deliver_reports(reports)
        )
        over = self._now > self._scenario.seconds and not self._calls_by_id
        if self._now + REPORT_SECONDS <= end and not over:
            self._schedule(self._now + REPORT_SECONDS, lambda: self._send_reports(end))

    def _deliver_reports(self, reports: list[LoadReport]) -> None:
        for number, router in enumerate(self._routers):
            self._apply(number, router.record_loads(reports, self._now))
