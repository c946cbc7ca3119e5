"""The schemes that ours is measured against, each done with some care."""

from benchmarks._budget_simulation import (
    PLATFORM_LATENCY_SECONDS,
    ROUTERS,
    Request,
    Router,
    Run,
    Sidecar,
    Simulation,
)

LEASE_SECONDS = 10.0
LEASE_RENEWAL_SECONDS = 3.0
LEASE_TOKENS = 1500


class Scheme:
    """What a simulation asks of a budget scheme; all hooks may be left alone."""

    name = "scheme"
    simulation: Simulation

    def __init__(self) -> None:
        self.charges_by_request: dict[int, int] = {}

    def begin(self, simulation: Simulation) -> None:
        """Set up at the start of the run."""
        self.simulation = simulation

    def admit(self, router: Router, request: Request) -> None:
        """Start the request or refuse it, now or later."""
        raise NotImplementedError

    def record_run_end(self, run: Run) -> None:
        """Note at the sidecar that a run has ended."""

    def receive_run_end(self, run: Run) -> None:
        """Let the router hear that its run has ended."""

    def receive_run_loss(self, run: Run) -> None:
        """Let the router hear that a run died with its sidecar."""

    def receive_top_up(self, tokens: int) -> None:
        """Hear that the platform has accepted a top-up."""

    def remove_router(self, router: Router) -> None:
        """Hear that the live list has dropped a router."""

    def add_router(self, router: Router) -> None:
        """Set a replacement up."""

    def add_sidecar(self, sidecar: Sidecar) -> None:
        """Set a replacement up."""

    def resume_router(self, router: Router) -> None:
        """Hear that a paused router goes on."""

    def end(self) -> None:
        """Settle what can be settled now that all is healed."""

    def charge(self, run: Run) -> None:
        """Note one charge of a run's request."""
        request_id = run.request.request_id
        count = self.charges_by_request.get(request_id, 0)
        self.charges_by_request[request_id] = count + 1

    def run(self, router: Router, request: Request, account: str) -> Run | None:
        """Start the request at some sidecar."""
        sidecar = self.simulation.pick_sidecars(request)[0]
        return self.simulation.start(router, request, sidecar, account)


class Oracle(Scheme):
    """Sees the whole system at once: the bound that no scheme can beat."""

    name = "oracle"

    def admit(self, router: Router, request: Request) -> None:
        """Start whatever fits beside all that ran and runs."""
        simulation = self.simulation
        left = simulation.prepaid - simulation.spent - simulation.running_bounds
        if left < request.bound:
            simulation.refuse(request)
        else:
            self.run(router, request, "")

    def record_run_end(self, run: Run) -> None:
        """Charge where it ran."""
        self.charge(run)


class CentralCounter(Scheme):
    """One counter in the platform, reserved and settled for each request."""

    name = "central_counter"

    def begin(self, simulation: Simulation) -> None:
        """Start with nothing reserved."""
        super().begin(simulation)
        self.held_by_nonce: dict[int, int] = {}
        self.spent = 0

    def admit(self, router: Router, request: Request) -> None:
        """Ask the platform first; without it nothing may start."""
        if not self.simulation.reaches_platform(router):
            self.simulation.refuse(request)
            return
        self.simulation.schedule(
            PLATFORM_LATENCY_SECONDS, self._reserve, router, request
        )

    def _reserve(self, router: Router, request: Request) -> None:
        left = self.simulation.prepaid - self.spent - sum(self.held_by_nonce.values())
        if left < request.bound:
            self.simulation.refuse(request)
            return
        run = self.run(router, request, "") if router.live else None
        if run is not None:
            self.held_by_nonce[run.nonce] = request.bound

    def receive_run_end(self, run: Run) -> None:
        """Settle, again and again until the platform has it."""
        if not run.router.live:
            return
        if not self.simulation.reaches_platform(run.router):
            self.simulation.schedule(
                1.0, self.simulation.deliver, run.router, self.receive_run_end, run
            )
            return
        # Settled under the run's nonce, so a repeated settle is a no-op.
        if self.held_by_nonce.pop(run.nonce, None) is not None:
            self.spent += run.spent
            self.charge(run)

    def receive_run_loss(self, run: Run) -> None:
        """Charge the bound: nobody can tell what ran."""
        if self.held_by_nonce.pop(run.nonce, None) is not None:
            self.spent += run.request.bound


class StaticSplit(Scheme):
    """Each router index gets an equal part; a replacement gets none of it."""

    name = "static_split"

    def begin(self, simulation: Simulation) -> None:
        """Split what is prepaid."""
        super().begin(simulation)
        for router in simulation.routers:
            router.state = simulation.prepaid // ROUTERS

    def admit(self, router: Router, request: Request) -> None:
        """Look at the own part only."""
        if router.state is None or router.state < request.bound:
            self.simulation.refuse(request)
            return
        run = self.run(router, request, "")
        if run is not None:
            router.state -= request.bound

    def receive_run_end(self, run: Run) -> None:
        """Refund the rest of the bound."""
        run.router.state += run.request.bound - run.spent
        self.charge(run)

    def receive_top_up(self, tokens: int) -> None:
        """Split the top-up too."""
        for router in self.simulation.routers:
            if router.state is not None:
                router.state += tokens // ROUTERS


class _Lease:
    """Tokens a router may spend until its own clock says the lease is over."""

    def __init__(self) -> None:
        self.tokens = 0
        self.until = -1.0
        self.unsettled: list[Run] = []


class ExpiringLease(Scheme):
    """Chunks leased for ten seconds; what is not settled by then is reclaimed."""

    name = "expiring_lease"

    def begin(self, simulation: Simulation) -> None:
        """Give each router its first lease."""
        super().begin(simulation)
        self.spent = 0
        self.leased: dict[str, tuple[int, float]] = {}
        for router in simulation.routers:
            self.add_router(router)

    def add_router(self, router: Router) -> None:
        """Start renewing."""
        router.state = _Lease()
        self._renew(router)

    def _renew(self, router: Router) -> None:
        if not router.live:
            return
        self.simulation.schedule(LEASE_RENEWAL_SECONDS, self._renew, router)
        if router.paused or not self.simulation.reaches_platform(router):
            return
        self._renew_now(router)

    def _renew_now(self, router: Router) -> None:
        simulation, lease = self.simulation, router.state
        for run in lease.unsettled:
            self.spent += run.spent
            self.charge(run)
        lease.unsettled = []
        now = simulation.now
        self.leased = {k: v for k, v in self.leased.items() if v[1] > now}
        held = sum(t for k, (t, _) in self.leased.items() if k != router.incarnation)
        open_ = [r for s in simulation.sidecars for r in s.runs_by_nonce.values()]
        own = sum(r.request.bound for r in open_ if r.router is router)
        rest = max(0, simulation.prepaid - self.spent - held - own)
        lease.tokens = min(LEASE_TOKENS, rest)
        self.leased[router.incarnation] = (lease.tokens + own, now + LEASE_SECONDS)
        lease.until = now - router.clock_lag_seconds + LEASE_SECONDS

    def admit(self, router: Router, request: Request) -> None:
        """Look at the lease and the own clock."""
        lease = router.state
        over = self.simulation.now - router.clock_lag_seconds >= lease.until
        if (over or lease.tokens < request.bound) and self.simulation.reaches_platform(
            router
        ):
            self._renew_now(router)
            over = False
        if over or lease.tokens < request.bound:
            self.simulation.refuse(request)
            return
        run = self.run(router, request, "")
        if run is not None:
            lease.tokens -= request.bound

    def receive_run_end(self, run: Run) -> None:
        """Keep the spend until the next renewal settles it."""
        run.router.state.unsettled.append(run)
