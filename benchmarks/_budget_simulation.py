"""A discrete-event model of callers, routers, sidecars and the platform.

It decides nothing about budgets: a scheme does.  The simulation knows the truth
(what ran and what runs) and so is the oracle that judges each refusal.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

ROUTERS = 4
SIDECARS = 4
RUN_SECONDS = 200.0
REQUESTS_PER_SECOND = 6.0
BOUND_TOKENS = (60, 120, 400)
BOUND_WEIGHTS = (6, 3, 1)
MEAN_SPEND_TOKENS = 0.5 * (60 * 6 + 120 * 3 + 400) / 10
"""Tokens a request spends on average: half of its bound."""

DEMAND_TOKENS = int(RUN_SECONDS * REQUESTS_PER_SECOND * MEAN_SPEND_TOKENS)
ATTEMPT_SECONDS = 3.0
ATTEMPTS = 3
REMOVED_AFTER_SECONDS = 8.0
"""How long the balancer and the live list keep showing a silent instance."""

REPLACED_AFTER_SECONDS = 30.0
PLATFORM_LATENCY_SECONDS = 0.010
LOST_ANSWER_FRACTION = 0.01


@dataclass(frozen=True, kw_only=True)
class Fault:
    """What goes wrong from `begin` to `end`, and how much is prepaid."""

    name: str
    prepaid: int
    top_up: int = 0
    platform_down: bool = False
    partitioned_router: int | None = None
    paused: int | None = None
    router_killed: int | None = None
    sidecar_killed: int | None = None
    sidecar_cut_from_reaper: int | None = None
    overloaded_router: int | None = None
    begin: float = 60.0
    end: float = 140.0


FAULTS = (
    Fault(name="none", prepaid=2 * DEMAND_TOKENS),
    Fault(
        name="platform_down",
        prepaid=int(0.8 * DEMAND_TOKENS),
        top_up=DEMAND_TOKENS // 2,
        platform_down=True,
    ),
    Fault(
        name="router_cut_off", prepaid=int(0.9 * DEMAND_TOKENS), partitioned_router=0
    ),
    Fault(
        name="router_paused",
        prepaid=int(0.8 * DEMAND_TOKENS),
        paused=0,
        begin=110.0,
        end=175.0,
    ),
    Fault(name="router_killed", prepaid=int(0.9 * DEMAND_TOKENS), router_killed=0),
    Fault(name="sidecar_killed", prepaid=int(0.9 * DEMAND_TOKENS), sidecar_killed=0),
    Fault(
        name="hot_router",
        prepaid=int(0.9 * DEMAND_TOKENS),
        overloaded_router=0,
        end=RUN_SECONDS,
    ),
    Fault(name="nearly_spent", prepaid=int(0.4 * DEMAND_TOKENS)),
)
RACK_LOST = Fault(
    name="router_killed_sidecar_cut",
    prepaid=int(0.9 * DEMAND_TOKENS),
    router_killed=0,
    sidecar_cut_from_reaper=0,
    end=RUN_SECONDS,
)


@dataclass(kw_only=True)
class Request:
    """One caller's request, over all its attempts."""

    request_id: int
    bound: int
    spend: int
    seconds: float
    random: random.Random
    attempts: int = 0
    answered: bool = False
    refused: bool = False
    run: "Run | None" = None
    runs_ended: int = 0


@dataclass(kw_only=True)
class Run:
    """One run of a request at a sidecar, under one router's account."""

    request: Request
    nonce: int
    router: "Router"
    account: str
    sidecar: "Sidecar"
    spent: int = 0


@dataclass(kw_only=True)
class Router:
    """A router instance; its clock stands still while it is paused."""

    index: int
    incarnation: str
    live: bool = True
    paused: bool = False
    clock_lag_seconds: float = 0.0
    inbox: list = field(default_factory=list)
    state: object = None


@dataclass(kw_only=True)
class Sidecar:
    """A sidecar instance and its upstream."""

    index: int
    incarnation: str
    live: bool = True
    runs_by_nonce: dict[int, Run] = field(default_factory=dict)
    state: object = None


class Simulation:
    """One seeded run of one scheme under one fault."""

    def __init__(self, *, fault: Fault, seed: int, scheme) -> None:
        self.fault = fault
        self.random = random.Random(f"{fault.name}/{seed}")
        self.noise = random.Random(f"noise/{fault.name}/{seed}")
        self.now = 0.0
        self.prepaid = fault.prepaid
        self.spent = 0
        self.admitted = 0
        self.false_refusals = 0
        self.ran_twice = 0
        self.requests: list[Request] = []
        self._queue: list = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self.routers = [self.new_router(index) for index in range(ROUTERS)]
        self.sidecars = [self.new_sidecar(index) for index in range(SIDECARS)]
        self.scheme = scheme
        scheme.begin(self)

    def schedule(self, seconds: float, call: Callable, *args) -> None:
        """Call later; calls at one time keep their order."""
        entry = (self.now + seconds, next(self._order), call, args)
        heapq.heappush(self._queue, entry)

    def play(self) -> "Simulation":
        """Run to the end, with all faults healed, and return itself."""
        self._plan_faults()
        self._plan_requests()
        while self._queue and self._queue[0][0] < RUN_SECONDS + 60:
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.scheme.end()
        return self

    def new_router(self, index: int) -> Router:
        """Return a fresh router incarnation."""
        return Router(index=index, incarnation=f"r{index}.{next(self._ids)}")

    def new_sidecar(self, index: int) -> Sidecar:
        """Return a fresh sidecar incarnation."""
        return Sidecar(index=index, incarnation=f"s{index}.{next(self._ids)}")

    @property
    def in_fault(self) -> bool:
        """Whether the fault lasts."""
        return self.fault.begin <= self.now < self.fault.end

    def reaches_platform(self, router: Router) -> bool:
        """Whether a call of this router would reach the platform now."""
        if not self.in_fault:
            return True
        return (
            not self.fault.platform_down
            and self.fault.partitioned_router != router.index
        )

    def platform_up(self) -> bool:
        """Whether the platform answers those who reach it."""
        return not (self.in_fault and self.fault.platform_down)

    def loses_answer(self) -> bool:
        """Whether the answer to this write gets lost."""
        return self.noise.random() < LOST_ANSWER_FRACTION

    # Requests

    def _plan_requests(self) -> None:
        at = 0.0
        while (at := at + self.random.expovariate(REQUESTS_PER_SECOND)) < RUN_SECONDS:
            bound = self.random.choices(BOUND_TOKENS, BOUND_WEIGHTS)[0]
            request = Request(
                request_id=len(self.requests),
                bound=bound,
                spend=int(bound * self.random.random()),
                seconds=self.random.uniform(0.2, 4.0),
                # Of its own, so that what a scheme does changes no other draw.
                random=random.Random(self.random.random()),
            )
            self.requests.append(request)
            self.schedule(at, self.call, request, None)

    def call(self, request: Request, avoid: Router | None) -> None:
        """Let the caller send its request to a router the balancer picks."""
        if request.attempts == ATTEMPTS or request.answered or request.refused:
            return
        request.attempts += 1
        router = self._balance(avoid, request)
        self.schedule(ATTEMPT_SECONDS, self._send_again, request, router)
        self.deliver(router, self._receive, router, request)

    def _balance(self, avoid: Router | None, request: Request) -> Router:
        shown = [
            r for r in self.routers if r.live and r is not avoid and self._is_listed(r)
        ]
        hot = self.fault.overloaded_router
        if hot is not None and self.in_fault and request.random.random() < 0.85:
            return self.routers[hot]
        return request.random.choice(shown)

    def _is_listed(self, router: Router) -> bool:
        frozen_since = self.now - self.fault.begin
        return not (router.paused and frozen_since > REMOVED_AFTER_SECONDS)

    def _send_again(self, request: Request, router: Router) -> None:
        runs = request.run is not None and not router.paused and router.live
        if not runs:
            self.call(request, router)

    def deliver(self, router: Router, call: Callable, *args) -> None:
        """Deliver to a router: at once, on waking, or never."""
        if router.paused:
            router.inbox.append((call, args))
        elif router.live:
            call(*args)

    def _receive(self, router: Router, request: Request) -> None:
        if request.answered or request.refused:
            return
        if request.run is not None and request.run.sidecar.live:
            # The retry finds the run at its sidecar and follows it.
            return
        self.scheme.admit(router, request)

    def pick_sidecars(self, request: Request) -> list[Sidecar]:
        """Return the live sidecars in the order this request tries them."""
        draw = random.Random(f"{request.request_id}/{request.attempts}")
        return [s for s in draw.sample(self.sidecars, SIDECARS) if s.live]

    def start(
        self, router: Router, request: Request, sidecar: Sidecar, account: str
    ) -> Run | None:
        """Run the request; None where the run layer follows another run of it."""
        if request.answered or (request.run and request.run.sidecar.live):
            return None
        if request.run is None:
            self.admitted += 1
        run = Run(
            request=request,
            nonce=next(self._ids),
            router=router,
            account=account,
            sidecar=sidecar,
        )
        request.run = run
        sidecar.runs_by_nonce[run.nonce] = run
        self.schedule(request.seconds, self._finish, run)
        return run

    def _finish(self, run: Run) -> None:
        if run.sidecar.runs_by_nonce.pop(run.nonce, None) is None:
            return
        run.spent = run.request.spend
        self.spent += run.spent
        run.request.runs_ended += 1
        self.ran_twice += run.request.runs_ended > 1
        run.request.answered = True
        self.scheme.record_run_end(run)
        self.deliver(run.router, self.scheme.receive_run_end, run)

    @property
    def running_bounds(self) -> int:
        """Tokens that the runs in flight may still spend."""
        runs = (run for s in self.sidecars for run in s.runs_by_nonce.values())
        return sum(run.request.bound for run in runs)

    def refuse(self, request: Request) -> None:
        """Note a final refusal and judge it.

        The oracle sees the prepaid tokens the platform has accepted, all that
        ran and the bounds of all that runs: if the bound of this request fits
        beside them, it could safely have run.
        """
        if request.answered or request.refused or request.run is not None:
            return
        request.refused = True
        left = self.prepaid - self.spent - self.running_bounds
        self.false_refusals += left >= request.bound

    # Faults

    def _plan_faults(self) -> None:
        fault = self.fault
        if fault.top_up:
            # The operator sends it during the outage; it waits for the platform.
            self.schedule(
                fault.end + PLATFORM_LATENCY_SECONDS, self._top_up, fault.top_up
            )
        if fault.paused is not None:
            self.schedule(fault.begin, self._pause, self.routers[fault.paused])
        if fault.router_killed is not None:
            self.schedule(fault.begin, self._kill_router, fault.router_killed)
        if fault.sidecar_killed is not None:
            self.schedule(fault.begin, self._kill_sidecar, fault.sidecar_killed)

    def _top_up(self, tokens: int) -> None:
        self.prepaid += tokens
        self.scheme.receive_top_up(tokens)

    def _pause(self, router: Router) -> None:
        router.paused = True
        seconds = self.fault.end - self.fault.begin
        self.schedule(seconds, self._wake, router, seconds)
        self.schedule(REMOVED_AFTER_SECONDS, self.scheme.remove_router, router)

    def _wake(self, router: Router, seconds: float) -> None:
        router.paused = False
        router.clock_lag_seconds += seconds
        inbox, router.inbox = router.inbox, []
        for call, args in inbox:
            call(*args)
        self.scheme.resume_router(router)

    def _kill_router(self, index: int) -> None:
        router = self.routers[index]
        router.live = False
        self.schedule(REMOVED_AFTER_SECONDS, self.scheme.remove_router, router)
        self.schedule(REPLACED_AFTER_SECONDS, self._replace_router, index)
        for request in self.requests:
            if request.run and request.run.router is router and not request.answered:
                self.call(request, router)

    def _replace_router(self, index: int) -> None:
        self.routers[index] = self.new_router(index)
        self.scheme.add_router(self.routers[index])

    def _kill_sidecar(self, index: int) -> None:
        sidecar = self.sidecars[index]
        sidecar.live = False
        runs, sidecar.runs_by_nonce = list(sidecar.runs_by_nonce.values()), {}
        for run in runs:
            run.spent = int(run.request.spend * run.request.random.random())
            self.spent += run.spent
            self.deliver(run.router, self.scheme.receive_run_loss, run)
            self.schedule(0.05, self.call, run.request, None)
        self.schedule(REPLACED_AFTER_SECONDS, self._replace_sidecar, index)

    def _replace_sidecar(self, index: int) -> None:
        self.sidecars[index] = self.new_sidecar(index)
        self.scheme.add_sidecar(self.sidecars[index])
