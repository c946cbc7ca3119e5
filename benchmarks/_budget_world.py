"""A discrete-event model of callers, routers, sidecars and the platform.

It decides nothing about budgets: a scheme does.  The world knows the truth
(what ran and what runs) and so is the oracle that judges each refusal.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

ROUTERS = 4
SIDECARS = 4
SECONDS = 200.0
REQUESTS_A_SECOND = 6.0
BOUNDS = (60, 120, 400)
BOUND_WEIGHTS = (6, 3, 1)
MEAN_SPEND = 0.5 * (60 * 6 + 120 * 3 + 400) / 10
"""Tokens a request spends on average: half of its bound."""

DEMAND = int(SECONDS * REQUESTS_A_SECOND * MEAN_SPEND)
ATTEMPT_SECONDS = 3.0
ATTEMPTS = 3
REMOVED_AFTER_SECONDS = 8.0
"""How long the balancer and the live list keep showing a silent instance."""

REPLACED_AFTER_SECONDS = 30.0
PLATFORM_SECONDS = 0.010
LOST_ANSWERS = 0.01


@dataclass(frozen=True, kw_only=True)
class Fault:
    """What goes wrong from `begin` to `end`, and how much is prepaid."""

    name: str
    prepaid: int
    top_up: int = 0
    platform_down: bool = False
    cut: int | None = None
    paused: int | None = None
    router_killed: int | None = None
    sidecar_killed: int | None = None
    sidecar_cut_from_reaper: int | None = None
    hot: int | None = None
    begin: float = 60.0
    end: float = 140.0


FAULTS = (
    Fault(name="none", prepaid=2 * DEMAND),
    Fault(
        name="platform_down",
        prepaid=int(0.8 * DEMAND),
        top_up=DEMAND // 2,
        platform_down=True,
    ),
    Fault(name="router_cut_off", prepaid=int(0.9 * DEMAND), cut=0),
    Fault(
        name="router_paused",
        prepaid=int(0.8 * DEMAND),
        paused=0,
        begin=110.0,
        end=175.0,
    ),
    Fault(name="router_killed", prepaid=int(0.9 * DEMAND), router_killed=0),
    Fault(name="sidecar_killed", prepaid=int(0.9 * DEMAND), sidecar_killed=0),
    Fault(name="hot_router", prepaid=int(0.9 * DEMAND), hot=0, end=SECONDS),
    Fault(name="nearly_spent", prepaid=int(0.4 * DEMAND)),
)
RACK_LOST = Fault(
    name="router_killed_sidecar_cut",
    prepaid=int(0.9 * DEMAND),
    router_killed=0,
    sidecar_cut_from_reaper=0,
    end=SECONDS,
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

    place: int
    incarnation: str
    alive: bool = True
    paused: bool = False
    behind: float = 0.0
    inbox: list = field(default_factory=list)
    state: object = None


@dataclass(kw_only=True)
class Sidecar:
    """A sidecar instance and its upstream."""

    place: int
    incarnation: str
    alive: bool = True
    runs_by_nonce: dict[int, Run] = field(default_factory=dict)
    state: object = None


class World:
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
        self.routers = [self.new_router(place) for place in range(ROUTERS)]
        self.sidecars = [self.new_sidecar(place) for place in range(SIDECARS)]
        self.scheme = scheme
        scheme.begin(self)

    def after(self, seconds: float, call: Callable, *args) -> None:
        """Call later; calls at one time keep their order."""
        entry = (self.now + seconds, next(self._order), call, args)
        heapq.heappush(self._queue, entry)

    def play(self) -> "World":
        """Run to the end, with all faults healed, and return itself."""
        self._plan_faults()
        self._plan_requests()
        while self._queue and self._queue[0][0] < SECONDS + 60:
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.scheme.end()
        return self

    def new_router(self, place: int) -> Router:
        """Return a fresh router incarnation."""
        return Router(place=place, incarnation=f"r{place}.{next(self._ids)}")

    def new_sidecar(self, place: int) -> Sidecar:
        """Return a fresh sidecar incarnation."""
        return Sidecar(place=place, incarnation=f"s{place}.{next(self._ids)}")

    @property
    def in_fault(self) -> bool:
        """Whether the fault lasts."""
        return self.fault.begin <= self.now < self.fault.end

    def reaches_platform(self, router: Router) -> bool:
        """Whether a call of this router would reach the platform now."""
        if not self.in_fault:
            return True
        return not self.fault.platform_down and self.fault.cut != router.place

    def platform_up(self) -> bool:
        """Whether the platform answers those who reach it."""
        return not (self.in_fault and self.fault.platform_down)

    def loses_answer(self) -> bool:
        """Whether the answer to this write gets lost."""
        return self.noise.random() < LOST_ANSWERS

    # Requests

    def _plan_requests(self) -> None:
        at = 0.0
        while (at := at + self.random.expovariate(REQUESTS_A_SECOND)) < SECONDS:
            bound = self.random.choices(BOUNDS, BOUND_WEIGHTS)[0]
            request = Request(
                request_id=len(self.requests),
                bound=bound,
                spend=int(bound * self.random.random()),
                seconds=self.random.uniform(0.2, 4.0),
                # Of its own, so that what a scheme does changes no other draw.
                random=random.Random(self.random.random()),
            )
            self.requests.append(request)
            self.after(at, self.call, request, None)

    def call(self, request: Request, avoid: Router | None) -> None:
        """Let the caller send its request to a router the balancer picks."""
        if request.attempts == ATTEMPTS or request.answered or request.refused:
            return
        request.attempts += 1
        router = self._balance(avoid, request)
        self.after(ATTEMPT_SECONDS, self._impatient, request, router)
        self.tell(router, self._receive, router, request)

    def _balance(self, avoid: Router | None, request: Request) -> Router:
        shown = [r for r in self.routers if r.alive and r is not avoid and self._in(r)]
        hot = self.fault.hot
        if hot is not None and self.in_fault and request.random.random() < 0.85:
            return self.routers[hot]
        return request.random.choice(shown)

    def _in(self, router: Router) -> bool:
        frozen_since = self.now - self.fault.begin
        return not (router.paused and frozen_since > REMOVED_AFTER_SECONDS)

    def _impatient(self, request: Request, router: Router) -> None:
        runs = request.run is not None and not router.paused and router.alive
        if not runs:
            self.call(request, router)

    def tell(self, router: Router, call: Callable, *args) -> None:
        """Deliver to a router: at once, on waking, or never."""
        if router.paused:
            router.inbox.append((call, args))
        elif router.alive:
            call(*args)

    def _receive(self, router: Router, request: Request) -> None:
        if request.answered or request.refused:
            return
        if request.run is not None and request.run.sidecar.alive:
            # The retry finds the run at its sidecar and follows it.
            return
        self.scheme.admit(router, request)

    def pick_sidecars(self, request: Request) -> list[Sidecar]:
        """Return the live sidecars in the order this request tries them."""
        draw = random.Random(f"{request.request_id}/{request.attempts}")
        return [s for s in draw.sample(self.sidecars, SIDECARS) if s.alive]

    def start(
        self, router: Router, request: Request, sidecar: Sidecar, account: str
    ) -> Run | None:
        """Run the request; None where the run layer follows another run of it."""
        if request.answered or (request.run and request.run.sidecar.alive):
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
        self.after(request.seconds, self._finish, run)
        return run

    def _finish(self, run: Run) -> None:
        if run.sidecar.runs_by_nonce.pop(run.nonce, None) is None:
            return
        run.spent = run.request.spend
        self.spent += run.spent
        run.request.runs_ended += 1
        self.ran_twice += run.request.runs_ended > 1
        run.request.answered = True
        self.scheme.ran(run)
        self.tell(run.router, self.scheme.finished, run)

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
            self.after(fault.end + PLATFORM_SECONDS, self._top_up, fault.top_up)
        if fault.paused is not None:
            self.after(fault.begin, self._pause, self.routers[fault.paused])
        if fault.router_killed is not None:
            self.after(fault.begin, self._kill_router, fault.router_killed)
        if fault.sidecar_killed is not None:
            self.after(fault.begin, self._kill_sidecar, fault.sidecar_killed)

    def _top_up(self, tokens: int) -> None:
        self.prepaid += tokens
        self.scheme.topped_up(tokens)

    def _pause(self, router: Router) -> None:
        router.paused = True
        seconds = self.fault.end - self.fault.begin
        self.after(seconds, self._wake, router, seconds)
        self.after(REMOVED_AFTER_SECONDS, self.scheme.router_gone, router)

    def _wake(self, router: Router, seconds: float) -> None:
        router.paused = False
        router.behind += seconds
        inbox, router.inbox = router.inbox, []
        for call, args in inbox:
            call(*args)
        self.scheme.woke(router)

    def _kill_router(self, place: int) -> None:
        router = self.routers[place]
        router.alive = False
        self.after(REMOVED_AFTER_SECONDS, self.scheme.router_gone, router)
        self.after(REPLACED_AFTER_SECONDS, self._replace_router, place)
        for request in self.requests:
            if request.run and request.run.router is router and not request.answered:
                self.call(request, router)

    def _replace_router(self, place: int) -> None:
        self.routers[place] = self.new_router(place)
        self.scheme.router_joined(self.routers[place])

    def _kill_sidecar(self, place: int) -> None:
        sidecar = self.sidecars[place]
        sidecar.alive = False
        runs, sidecar.runs_by_nonce = list(sidecar.runs_by_nonce.values()), {}
        for run in runs:
            run.spent = int(run.request.spend * run.request.random.random())
            self.spent += run.spent
            self.tell(run.router, self.scheme.run_lost, run)
            self.after(0.05, self.call, run.request, None)
        self.after(REPLACED_AFTER_SECONDS, self._replace_sidecar, place)

    def _replace_sidecar(self, place: int) -> None:
        self.sidecars[place] = self.new_sidecar(place)
        self.scheme.sidecar_joined(self.sidecars[place])
