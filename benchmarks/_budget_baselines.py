"""Budget schemes to compare with the product's."""

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
    """Interface of a budget scheme; all hooks but `admit` are optional."""

    name = "scheme"
    simulation: Simulation

    def __init__(self) -> None:
        self.charges_by_request: dict[int, int] = {}

    def begin(self, simulation: Simulation) -> None:
        """Set up the scheme at the start of the run."""
        self.simulation = simulation

    def admit(self, router: Router, request: Request) -> None:
        """Start the request or refuse it, immediately or later."""
        raise NotImplementedError

    def record_run_end(self, run: Run) -> None:
        """Record at the sidecar that a run has ended."""

    def receive_run_end(self, run: Run) -> None:
        """Receive the end of a run at its router."""

    def receive_run_loss(self, run: Run) -> None:
        """Receive at its router that a run was lost with its sidecar."""

    def receive_top_up(self, tokens: int) -> None:
        """Receive a top-up that the platform has accepted."""

    def remove_router(self, router: Router) -> None:
        """Handle a router that was removed from the live list."""

    def add_router(self, router: Router) -> None:
        """Set up a replacement router."""

    def add_sidecar(self, sidecar: Sidecar) -> None:
        """Set up a replacement sidecar."""

    def resume_router(self, router: Router) -> None:
        """Handle a paused router that resumes."""

    def end(self) -> None:
        """Settle what remains after all faults have ended."""

    def charge(self, run: Run) -> None:
        """Count a charge of the run's request."""
        request_id = run.request.request_id
        count = self.charges_by_request.get(request_id, 0)
        self.charges_by_request[request_id] = count + 1

    def run(self, router: Router, request: Request, account: str) -> Run | None:
        """Start the request at its first live sidecar."""
        sidecar = self.simulation.pick_sidecars(request)[0]
        return self.simulation.start(router, request, sidecar, account)


class Oracle(Scheme):
    """Admits with full knowledge of the system: an upper bound for all schemes."""

    name = "oracle"

    def admit(self, router: Router, request: Request) -> None:
        """Start the request if its bound fits beside spent and running tokens."""
        simulation = self.simulation
        left = simulation.prepaid - simulation.spent - simulation.running_bounds
        if left < request.bound:
            simulation.refuse(request)
        else:
            self.run(router, request, "")

    def record_run_end(self, run: Run) -> None:
        """Charge the run at its sidecar."""
        self.charge(run)


class CentralCounter(Scheme):
    """One counter in the platform, reserved and settled for each request."""

    name = "central_counter"

    def begin(self, simulation: Simulation) -> None:
        """Start without reservations."""
        super().begin(simulation)
        self.reserved_by_nonce: dict[int, int] = {}
        self.spent = 0

    def admit(self, router: Router, request: Request) -> None:
        """Reserve at the platform, or refuse if it is unreachable."""
        if not self.simulation.reaches_platform(router):
            self.simulation.refuse(request)
            return
        self.simulation.schedule(
            PLATFORM_LATENCY_SECONDS, self._reserve, router, request
        )

    def _reserve(self, router: Router, request: Request) -> None:
        left = (
            self.simulation.prepaid - self.spent - sum(self.reserved_by_nonce.values())
        )
        if left < request.bound:
            self.simulation.refuse(request)
            return
        run = self.run(router, request, "") if router.live else None
        if run is not None:
            self.reserved_by_nonce[run.nonce] = request.bound

    def receive_run_end(self, run: Run) -> None:
        """Settle the run, and retry until the platform is reachable."""
        if not run.router.live:
            return
        if not self.simulation.reaches_platform(run.router):
            self.simulation.schedule(
                1.0, self.simulation.deliver, run.router, self.receive_run_end, run
            )
            return
        # Settling is idempotent: it is recorded under the run's nonce.
        if self.reserved_by_nonce.pop(run.nonce, None) is not None:
            self.spent += run.spent
            self.charge(run)

    def receive_run_loss(self, run: Run) -> None:
        """Charge the bound, because the actual spend is unknown."""
        if self.reserved_by_nonce.pop(run.nonce, None) is not None:
            self.spent += run.request.bound


class StaticSplit(Scheme):
    """Each initial router gets an equal share; a replacement gets no tokens."""

    name = "static_split"

    def begin(self, simulation: Simulation) -> None:
        """Split the prepaid tokens evenly."""
        super().begin(simulation)
        for router in simulation.routers:
            router.state = simulation.prepaid // ROUTERS

    def admit(self, router: Router, request: Request) -> None:
        """Admit within the router's own share."""
        if router.state is None or router.state < request.bound:
            self.simulation.refuse(request)
            return
        run = self.run(router, request, "")
        if run is not None:
            router.state -= request.bound

    def receive_run_end(self, run: Run) -> None:
        """Refund the unspent rest of the bound."""
        run.router.state += run.request.bound - run.spent
        self.charge(run)

    def receive_top_up(self, tokens: int) -> None:
        """Split the top-up evenly."""
        for router in self.simulation.routers:
            if router.state is not None:
                router.state += tokens // ROUTERS


class _Lease:
    """Tokens that a router may spend until its own clock reaches `until`."""

    def __init__(self) -> None:
        self.tokens = 0
        self.until = -1.0
        self.unsettled: list[Run] = []


class ExpiringLease(Scheme):
    """Leases tokens for 10 seconds and reclaims unsettled tokens at expiry."""

    name = "expiring_lease"

    def begin(self, simulation: Simulation) -> None:
        """Give each router its first lease."""
        super().begin(simulation)
        self.spent = 0
        self.leased: dict[str, tuple[int, float]] = {}
        for router in simulation.routers:
            self.add_router(router)

    def add_router(self, router: Router) -> None:
        """Lease tokens and start the periodic renewal."""
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
        open_runs = [r for s in simulation.sidecars for r in s.runs_by_nonce.values()]
        own = sum(r.request.bound for r in open_runs if r.router is router)
        rest = max(0, simulation.prepaid - self.spent - held - own)
        lease.tokens = min(LEASE_TOKENS, rest)
        self.leased[router.incarnation] = (lease.tokens + own, now + LEASE_SECONDS)
        lease.until = now - router.clock_lag_seconds + LEASE_SECONDS

    def admit(self, router: Router, request: Request) -> None:
        """Admit within the lease, and renew it first if necessary."""
        lease = router.state
        expired = self.simulation.now - router.clock_lag_seconds >= lease.until
        if (
            expired or lease.tokens < request.bound
        ) and self.simulation.reaches_platform(router):
            self._renew_now(router)
            expired = False
        if expired or lease.tokens < request.bound:
            self.simulation.refuse(request)
            return
        run = self.run(router, request, "")
        if run is not None:
            lease.tokens -= request.bound

    def receive_run_end(self, run: Run) -> None:
        """Keep the run until the next renewal settles it."""
        run.router.state.unsettled.append(run)
