"""A run of one scheme on one scenario: callers, routers, sidecars, engines.

Events are taken in order of time from one heap; the same seed gives the same
callers whatever the scheme.  A caller hangs up at its deadline.  Refused or
late, it asks again up to twice: after the seconds it was told, or after one.
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
from benchmarks.load.schemes import Router, Scheme, Step
from benchmarks.load.workloads import Deployment, Need, Scenario, needs
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
HOP_SECONDS = 0.002
FAIL_SECONDS = 0.05
MAX_ASKS = 3
ASK_AGAIN_SECONDS = 1.0
TAIL_SECONDS = 60.0
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
class Ask:
    """One time that a caller sends its request."""

    need: Need
    request: RequestFacts
    router: int
    at: float
    sent_at: float = 0.0
    first_token_at: float = 0.0
    upstream: str = ""
    nonce: str = ""
    over: bool = False


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
        self._asks_by_id: dict[str, Ask] = {}
        self._asks_by_nonce: dict[str, Ask] = {}
        self._sidecars = self._make_sidecars()
        facts = [sidecar.facts for sidecar in self._sidecars.values()]
        self._routers: list[Router] = [
            scheme.router(facts, deployment.zones[i % 3], Random(seed + 10 + i))
            for i in range(deployment.routers)
        ]
        self._away: set[str] = set()
        self._breaking: set[str] = set()
        self._wakes: list[float | None] = [None] * deployment.routers

    def run(self) -> Measures:
        """Play the scenario to its end."""
        random = Random(self._callers.random())
        for need in needs(self._deployment, self._scenario, random):
            self._measures.outcomes[need.number] = Outcome(need=need)
            self._at(need.at, lambda need=need: self._ask(need))
        self._plan_faults()
        end = self._scenario.seconds + TAIL_SECONDS
        self._at(REPORT_SECONDS, lambda: self._send_reports(end))
        while self._events and self._events[0][0] <= end:
            self._now, _, act = heappop(self._events)
            act()
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
                self._at(at, lambda speed=speed: self._set_speed(first, speed))
        for at, failing in zip(self._scenario.failing, (True, False), strict=True):
            if self._scenario.failing[1]:
                self._at(at, lambda failing=failing: self._set_failing(first, failing))

        start, stop = self._scenario.restarting
        if not stop:
            return
        models = list(self._sidecars.values())[: self._deployment.models]
        for i, sidecar in enumerate(models[: self._deployment.models // 2]):
            away = start + i * (stop - start) / len(models)
            self._at(away, lambda sidecar=sidecar: self._restart(sidecar))

    def _restart(self, sidecar: Sidecar) -> None:
        """Take the upstream out, and bring it back cold and slow."""
        self._away.add(sidecar.facts.name)
        self._announce()
        back = self._now + RESTART_SECONDS
        self._at(back, lambda: self._come_back(sidecar))

    def _come_back(self, sidecar: Sidecar) -> None:
        sidecar.engine.cache = PrefixCache(tokens=sidecar.engine.kind.cache_tokens)
        self._set_speed(sidecar, WARMING_SPEED)
        self._away.discard(sidecar.facts.name)
        self._announce()
        warm = self._now + WARMING_SECONDS
        self._at(warm, lambda: self._set_speed(sidecar, 1.0))

    def _announce(self) -> None:
        present = [s for n, s in self._sidecars.items() if n not in self._away]
        facts = [sidecar.facts for sidecar in present]
        for router in range(len(self._routers)):
            self._do(router, self._routers[router].changed(facts, self._now))

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
            a for a in self._asks_by_id.values() if a.upstream == sidecar.facts.name
        ]
        sidecar.engine.drop_all()
        for ask in lost:
            self._fail(ask, ask.nonce, Failure.CRASHED)

    def _at(self, at: float, act: object) -> None:
        heappush(self._events, (at, next(self._order), act))

    def _ask(self, need: Need) -> None:
        outcome = self._measures.outcomes[need.number]
        outcome.asks += 1
        now = self._now
        profile = need.profile
        request = RequestFacts(
            request_id=f"{need.number}.{outcome.asks}",
            profile=profile.name,
            customer=need.customer,
            service_class=profile.service,
            back_ends=(profile.back_end,),
            deadline=now + profile.deadline_seconds,
            first_token_deadline=now + profile.first_token_seconds,
            cost=need.prompt + 2 * need.output,
            prefix=need.prefix,
        )
        router = self._balancer.randrange(len(self._routers))
        ask = Ask(need=need, request=request, router=router, at=now)
        self._asks_by_id[request.request_id] = ask
        patience = need.leaves_after or profile.deadline_seconds
        self._at(now + patience, lambda: self._hang_up(ask))
        self._do(router, self._routers[router].offer(request, now))

    def _do(self, router: int, steps: list[Step]) -> None:
        for step in steps:
            ask = self._asks_by_id.get(step.request.request_id)
            if ask is None:
                continue
            match step:
                case Assignment():
                    self._dispatch(ask, step)
                case Refusal():
                    self._refused(ask, step)
        self._plan_wake(router)

    def _plan_wake(self, router: int) -> None:
        wake = self._routers[router].next_wake()
        if wake is None or wake == self._wakes[router]:
            return
        self._wakes[router] = wake
        self._at(max(wake + 1e-6, self._now), lambda: self._wake(router))

    def _wake(self, router: int) -> None:
        self._wakes[router] = None
        self._do(router, self._routers[router].tick(self._now))

    def _dispatch(self, ask: Ask, assignment: Assignment) -> None:
        measures = self._measures
        measures.dispatches += 1
        measures.extra_attempts += assignment.attempt > 1
        sidecar = self._sidecars[assignment.upstream]
        zone = self._deployment.zones[ask.router % 3]
        measures.cross_zone += sidecar.facts.zone != zone
        ask.upstream = assignment.upstream
        ask.sent_at = self._now
        ask.first_token_at = 0.0
        ask.nonce = f"{ask.request.request_id}/{measures.dispatches}"
        nonce = ask.nonce
        self._at(self._now + HOP_SECONDS, lambda: self._arrive(sidecar, ask, nonce))

    def _arrive(self, sidecar: Sidecar, ask: Ask, nonce: str) -> None:
        if ask.nonce != nonce or (ask.over and self._cancelled(ask)):
            return
        self._collect(sidecar)
        if sidecar.failing:
            later = self._now + FAIL_SECONDS
            self._at(later, lambda: self._fail(ask, nonce, Failure.ERROR))
            return
        if sidecar.is_full():
            self._measures.bounced += 1
            self._fail(ask, nonce, Failure.OVERLOADED)
            return
        self._asks_by_nonce[nonce] = ask
        job = self._job(ask, nonce)
        flaky = sidecar.engine.kind is MODEL and self._scenario.flaky
        if flaky and Random(nonce).random() < flaky:
            self._breaking.add(nonce)
            job.output = max(1, job.output // 2)
        sidecar.engine.submit(job)
        self._plan(sidecar)

    def _cancelled(self, ask: Ask) -> bool:
        return ask.request.request_id not in self._asks_by_id

    def _job(self, ask: Ask, nonce: str) -> Job:
        priority = (
            PRIORITIES[ask.request.service_class] if self._scheme.priorities else 0
        )
        return Job(
            job_id=nonce,
            prompt=ask.need.prompt,
            prefix=ask.need.prefix,
            prefix_tokens=ask.need.prefix_tokens,
            output=ask.need.output,
            priority=priority,
        )

    def _plan(self, sidecar: Sidecar) -> None:
        at = sidecar.engine.next_event()
        if at is None:
            return
        version = sidecar.engine.version
        self._at(at, lambda: self._engine_event(sidecar, version))

    def _engine_event(self, sidecar: Sidecar, version: int) -> None:
        if sidecar.engine.version == version:
            self._collect(sidecar)
            self._plan(sidecar)

    def _collect(self, sidecar: Sidecar) -> None:
        """Bring the engine up to now, and its answers to the routers."""
        sidecar.engine.advance(self._now)
        for event in sidecar.engine.collect():
            ask = self._asks_by_nonce.get(event.job.job_id)
            if ask is None:
                continue
            match event:
                case FirstToken():
                    ask.first_token_at = self._now
                    self._observe(sidecar, ask)
                    self._routers[ask.router].first_token(
                        ask.request.request_id, self._now
                    )
                case Finished():
                    self._finish(sidecar, ask)

    def _finish(self, sidecar: Sidecar, ask: Ask) -> None:
        now = self._now
        if ask.nonce in self._breaking:
            self._fail(ask, ask.nonce, Failure.ERROR)
            return
        if not ask.first_token_at:
            ask.first_token_at = now
            self._observe(sidecar, ask)
        del self._asks_by_nonce[ask.nonce]
        if not ask.over:
            ask.over = True
            self._answered(ask)
        request_id = ask.request.request_id
        if self._asks_by_id.pop(request_id, None):
            later = now + HOP_SECONDS
            self._at(later, lambda: self._tell_finished(ask.router, request_id))

    def _tell_finished(self, router: int, request_id: str) -> None:
        self._do(router, self._routers[router].finished(request_id, self._now))

    def _answered(self, ask: Ask) -> None:
        """Count the answer as in time if it kept what its class promises."""
        request = ask.request
        in_time = self._now <= request.deadline
        if request.service_class is ServiceClass.INTERACTIVE:
            in_time = in_time and ask.first_token_at <= request.first_token_deadline
        self._measures.outcomes[ask.need.number].in_time |= in_time

    def _observe(self, sidecar: Sidecar, ask: Ask) -> None:
        if sidecar.limit is None:
            return
        interactive = ask.request.service_class is ServiceClass.INTERACTIVE
        promised = ask.need.profile.first_token_seconds if interactive else 0.0
        sample = Sample(
            first_token_seconds=ask.first_token_at - ask.sent_at,
            promised_seconds=promised,
            queued=sidecar.engine.waiting > 0,
        )
        sidecar.limit.observe(sample, running=sidecar.load + 1, now=self._now)

    def _fail(self, ask: Ask, nonce: str, failure: Failure) -> None:
        self._asks_by_nonce.pop(nonce, None)
        request_id = ask.request.request_id
        if ask.nonce != nonce or request_id not in self._asks_by_id:
            return
        ask.upstream = ""
        steps = self._routers[ask.router].failed(request_id, failure, self._now)
        self._do(ask.router, steps)

    def _refused(self, ask: Ask, refusal: Refusal) -> None:
        self._asks_by_id.pop(ask.request.request_id, None)
        if ask.over:
            return
        ask.over = True
        measures = self._measures
        measures.refused_after.append(self._now - ask.at)
        if refusal.may_have_run:
            measures.broken_off += 1
        else:
            measures.turned_away_after.append(self._now - ask.at)
            measures.servable_refusals += self._servable(ask)
        reason = str(refusal.reason)
        by_reason = measures.refusals_by_reason
        by_reason[reason] = by_reason.get(reason, 0) + 1
        if not refusal.may_have_run or ask.request.repeatable:
            self._ask_again(ask, refusal.retry_after_seconds or ASK_AGAIN_SECONDS)

    def _servable(self, ask: Ask) -> bool:
        """Tell whether some upstream could have served it from now on in time."""
        request = ask.request
        total = request.deadline - self._now
        first = total
        if request.service_class is ServiceClass.INTERACTIVE:
            first = request.first_token_deadline - self._now
        job = self._job(ask, "")
        return any(
            not sidecar.failing
            and sidecar.facts.back_end in request.back_ends
            and sidecar.engine.could_serve(job, first, total)
            for sidecar in self._sidecars.values()
        )

    def _hang_up(self, ask: Ask) -> None:
        if ask.over:
            return
        ask.over = True
        if not ask.need.leaves_after:
            self._measures.refused_after.append(self._now - ask.at)
        request_id = ask.request.request_id
        upstream, steps = self._routers[ask.router].left(request_id, self._now)
        if upstream:
            self._asks_by_id.pop(request_id, None)
            self._asks_by_nonce.pop(ask.nonce, None)
            sidecar = self._sidecars[upstream]
            self._collect(sidecar)
            sidecar.engine.cancel(ask.nonce)
            self._plan(sidecar)
        self._do(ask.router, steps)
        if ask.request.repeatable and not ask.need.leaves_after:
            self._ask_again(ask, ASK_AGAIN_SECONDS)

    def _ask_again(self, ask: Ask, seconds: float) -> None:
        outcome = self._measures.outcomes[ask.need.number]
        if outcome.asks < MAX_ASKS and not outcome.in_time:
            self._at(self._now + seconds, lambda: self._ask(ask.need))

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
        self._at(self._now + REPORT_LAG_SECONDS, lambda: self._take_reports(reports))
        over = self._now > self._scenario.seconds and not self._asks_by_id
        if self._now + REPORT_SECONDS <= end and not over:
            self._at(self._now + REPORT_SECONDS, lambda: self._send_reports(end))

    def _take_reports(self, reports: list[LoadReport]) -> None:
        for number, router in enumerate(self._routers):
            self._do(number, router.report(reports, self._now))
