"""Our scheme, driving the real ledger, slices, seals, receipts and sizing."""

from dataclasses import dataclass, field

from benchmarks._budget_baselines import Scheme
from benchmarks._budget_simulation import (
    BOUND_TOKENS,
    PLATFORM_LATENCY_SECONDS,
    Request,
    Router,
    Run,
    Sidecar,
    Simulation,
)
from ragwortkeel.budget.demand import DemandMeter
from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.receipt import Bill
from ragwortkeel.budget.refresh import SliceRefresh
from ragwortkeel.budget.seal import SidecarAccounts
from ragwortkeel.budget.sizing import (
    SliceNeed,
    best_givers,
    exposure_cap,
    tokens_to_give_back,
    tokens_to_lend,
    tokens_to_take,
)
from ragwortkeel.budget.slice import Reservation, Slice
from ragwortkeel.configuration import Spread
from ragwortkeel.exceptions import (
    BudgetExhausted,
    BudgetRefused,
    RouterSealed,
)
from ragwortkeel.messages import RunReceipt

PROFILE = "advisor-chat"
REFRESH_SECONDS = 1.0
WAIT_SECONDS = 1.0
"""How long a request waits for a refill before its refusal."""

RIDE_OUT_SECONDS = 80.0
PEER_LATENCY_SECONDS = 0.001
RETRY_SECONDS = 0.2
"""Between two tries to find tokens while callers wait."""

REAP_SECONDS = 2.0
FIXED_SLICE_TOKENS = 2000
MECHANISMS = frozenset({"seal", "cap", "transfer", "adaptive_slice"})


@dataclass(kw_only=True)
class _RouterState:
    """What one router keeps of the budget."""

    refresh: SliceRefresh
    meter: DemandMeter
    waiting: list[tuple[float, Request]] = field(default_factory=list)
    reservations_by_nonce: dict[int, Reservation] = field(default_factory=dict)
    is_refreshing: bool = False
    loan_requested_at: float = -1.0

    @property
    def slice(self) -> Slice:
        return self.refresh.slice


class Ours(Scheme):
    """Escrowed slices that are sealed; mechanisms can be left out."""

    def __init__(
        self,
        *,
        mechanisms: frozenset[str] = MECHANISMS,
        spread: Spread = Spread.WIDE,
    ) -> None:
        super().__init__()
        self.mechanisms = mechanisms
        self.spread = spread
        left_out = sorted(MECHANISMS - mechanisms)
        self.name = "ours" if spread is Spread.WIDE else f"ours_{spread}"
        self.name += "".join(f"-{name}" for name in left_out)
        self.bill = Bill()

    def begin(self, simulation: Simulation) -> None:
        """Put the ledger in index and give each router its first slice."""
        super().begin(simulation)
        self.ledger, self.version = Ledger(prepaid=simulation.prepaid), 1
        self.sealed: list[str] = []
        self.known_sidecars: set[str] = set()
        self.removed_sidecars: set[str] = set()
        self.nonces = 0
        for sidecar in simulation.sidecars:
            self.add_sidecar(sidecar)
        for router in simulation.routers:
            self.add_router(router)
        self._reap()

    def receive_top_up(self, tokens: int) -> None:
        """Add to the ledger under an operation id."""
        operation = self.ledger.operation_id("top-up")
        self._write(self.ledger.top_up(tokens=tokens, operation_id=operation))

    def _write(self, ledger: Ledger) -> None:
        self.ledger, self.version = ledger, self.version + 1

    # Admission

    def admit(self, router: Router, request: Request) -> None:
        """Reserve from the slice, or wait shortly for a refill."""
        holdings = router.state
        holdings.meter.add(tokens=request.bound, now=self._clock(router))
        if not self._try_start(router, request):
            holdings.waiting.append((self.simulation.now + WAIT_SECONDS, request))
            self.simulation.schedule(
                WAIT_SECONDS,
                self.simulation.deliver,
                router,
                self._refuse_expired,
                router,
            )
            self._refresh(router)

    def _clock(self, router: Router) -> float:
        return self.simulation.now - router.clock_lag_seconds

    def _try_start(self, router: Router, request: Request) -> bool:
        """Start the request where tokens and a sidecar with room are."""
        holdings, simulation = router.state, self.simulation
        for sidecar in simulation.pick_sidecars(request):
            try:
                reservation = holdings.slice.reserve(
                    sidecar=sidecar.incarnation, tokens=request.bound
                )
            except BudgetExhausted:
                return False
            except BudgetRefused:
                continue
            if not sidecar.state.admits(router.state.slice.router):
                # Sealed: the router learns it and goes on under a new name.
                holdings.slice.settle(reservation, spent=0)
                self._new_incarnation(router)
                return False
            self._start(router, request, sidecar, reservation)
            return True
        return False

    def _start(self, router, request, sidecar, reservation) -> None:
        holdings = router.state
        account = holdings.slice.router
        run = self.simulation.start(router, request, sidecar, account)
        if run is None:
            holdings.slice.settle(reservation, spent=0)
            return
        holdings.reservations_by_nonce[run.nonce] = reservation
        sidecar.state.start(
            nonce=str(run.nonce),
            router=account,
            profile=PROFILE,
            reservation=request.bound,
        )

    def _refuse_expired(self, router: Router) -> None:
        self._serve_waiting(router)
        holdings = router.state
        due = [r for until, r in holdings.waiting if until <= self.simulation.now]
        holdings.waiting = [w for w in holdings.waiting if w[0] > self.simulation.now]
        for request in due:
            self.simulation.refuse(request)

    def _serve_waiting(self, router: Router) -> None:
        waiting, router.state.waiting = router.state.waiting, []
        for until, request in waiting:
            done = request.answered or request.refused
            done = done or (request.run and request.run.sidecar.live)
            if not done and not self._try_start(router, request):
                router.state.waiting.append((until, request))

    # Runs

    def record_run_end(self, run: Run) -> None:
        """Note the run and its receipt at the sidecar."""
        run.sidecar.state.finish(nonce=str(run.nonce), tokens=run.spent)
        receipt = RunReceipt(
            profile=PROFILE,
            request_id=str(run.request.request_id),
            nonce=str(run.nonce),
            router=run.account,
            sidecar=run.sidecar.incarnation,
            tokens=run.spent,
        )
        # The sidecar keeps it until it is durable; both may write it.
        self.bill.add(receipt)
        self.bill.add(receipt)

    def receive_run_end(self, run: Run) -> None:
        """Refund the rest of the reservation."""
        self._settle(run, run.spent)

    def receive_run_loss(self, run: Run) -> None:
        """Charge the bound: the sidecar is gone for good."""
        self._settle(run, run.request.bound)
        run.router.state.slice.drop(run.sidecar.incarnation)

    def _settle(self, run: Run, spent: int) -> None:
        holdings = run.router.state
        reservation = holdings.reservations_by_nonce.pop(run.nonce, None)
        if reservation is not None and reservation.router == holdings.slice.router:
            holdings.slice.settle(reservation, spent=spent)
            self._serve_waiting(run.router)

    # Renewal

    def add_router(self, router: Router) -> None:
        """Take a slice and go on renewing it."""
        router.state = self._new_holdings(router.incarnation)
        self._tick(router)

    def _new_holdings(self, incarnation: str) -> _RouterState:
        slice_ = Slice(profile=PROFILE, router=incarnation)
        return _RouterState(refresh=SliceRefresh(slice_=slice_), meter=DemandMeter())

    def _new_incarnation(self, router: Router) -> None:
        self.nonces += 1
        holdings = self._new_holdings(f"{router.incarnation}+{self.nonces}")
        holdings.waiting = router.state.waiting
        holdings.meter = router.state.meter
        router.state = holdings
        self._refresh(router)

    def _tick(self, router: Router) -> None:
        if router.live:
            self.simulation.schedule(REFRESH_SECONDS, self._tick, router)
            self._refresh(router)

    def _refresh(self, router: Router, give_to: str = "", lend: int = 0) -> None:
        holdings, simulation = router.state, self.simulation
        if holdings.is_refreshing or router.paused or not router.live:
            return
        if not simulation.reaches_platform(router):
            return
        holdings.is_refreshing = True
        simulation.schedule(
            PLATFORM_LATENCY_SECONDS, self._renew, router, holdings, give_to, lend
        )

    def _renew(
        self, router: Router, holdings: _RouterState, give_to: str, lend: int
    ) -> None:
        holdings.is_refreshing = False
        if router.paused or not router.live or holdings is not router.state:
            return
        if not self.simulation.reaches_platform(router):
            return
        try:
            holdings.refresh.read(self.ledger, version=self.version)
            renewal = self._propose(router, holdings, give_to, lend)
            self._write(self.ledger.renew(renewal))
        except RouterSealed:
            self._new_incarnation(router)
            return
        if self.simulation.loses_answer():
            holdings.refresh.record_unknown(version=self.version - 1)
            return
        holdings.refresh.record_written(self.ledger)
        self._serve_waiting(router)
        if give_to:
            self.simulation.schedule(PEER_LATENCY_SECONDS, self._receive_loan, give_to)
        elif holdings.waiting:
            self._seek_tokens(router)

    def _slice_need(self, router: Router, holdings: _RouterState) -> SliceNeed:
        bounds = [request.bound for _, request in holdings.waiting]
        return SliceNeed(
            holding=holdings.slice.free + holdings.slice.reserved,
            demand=holdings.meter.rate(now=self._clock(router)),
            largest_request=max(BOUND_TOKENS),
            waiting=sum(bounds),
            lacking=max(0, min(bounds) - holdings.slice.free) if bounds else 0,
            ride_out_seconds=RIDE_OUT_SECONDS,
            spread=self.spread,
        )

    def _propose(self, router: Router, holdings: _RouterState, give_to: str, lend: int):
        need, name = self._slice_need(router, holdings), holdings.slice.router
        if "adaptive_slice" in self.mechanisms:
            want = tokens_to_take(self.ledger, router=name, need=need)
            give_back = tokens_to_give_back(self.ledger, router=name, need=need)
        else:
            want, give_back = max(0, FIXED_SLICE_TOKENS - need.holding), 0
        if give_to:
            want, give_back = 0, lend
        live_sidecars = tuple(s.incarnation for s in self.simulation.sidecars if s.live)
        cap = exposure_cap(
            holding=need.holding + want, sidecars=len(live_sidecars), need=need
        )
        if "cap" not in self.mechanisms:
            cap = 10**9
        self.nonces += 1
        return holdings.slice.propose(
            nonce=f"n{self.nonces}",
            sidecars=live_sidecars,
            want=want,
            give_back=give_back,
            give_to=give_to,
            cap=cap,
            demand=need.demand,
        )

    # Transfer

    def _seek_tokens(self, router: Router) -> None:
        unspent = self.ledger.prepaid - self.ledger.total_spent
        waiting, router.state.waiting = router.state.waiting, []
        for until, request in waiting:
            if request.bound > unspent:
                self.simulation.refuse(request)
            else:
                router.state.waiting.append((until, request))
        if not router.state.waiting:
            return
        if "transfer" in self.mechanisms:
            self._request_loans(router)
        self.simulation.schedule(
            RETRY_SECONDS, self._retry_refresh, router, router.state
        )

    def _retry_refresh(self, router: Router, holdings: _RouterState) -> None:
        if holdings is router.state and holdings.waiting:
            self._refresh(router)

    def _request_loans(self, router: Router) -> None:
        holdings = router.state
        if self.simulation.now - holdings.loan_requested_at < RETRY_SECONDS / 2:
            return
        holdings.loan_requested_at = self.simulation.now
        need = self._slice_need(router, holdings)
        for name in best_givers(self.ledger, router=holdings.slice.router):
            giver = self._router_named(name)
            if giver is not None:
                args = (giver, holdings.slice.router, need)
                self.simulation.schedule(
                    PEER_LATENCY_SECONDS,
                    self.simulation.deliver,
                    giver,
                    self._receive_loan_request,
                    *args,
                )

    def _router_named(self, name: str) -> Router | None:
        found = (r for r in self.simulation.routers if r.state.slice.router == name)
        return next(found, None)

    def _receive_loan_request(self, giver: Router, asker: str, need: SliceNeed) -> None:
        own = self._slice_need(giver, giver.state)
        lend = tokens_to_lend(free=giver.state.slice.free, own=own, asker=need)
        if lend:
            self._refresh(giver, asker, lend)

    def _receive_loan(self, asker: str) -> None:
        router = self._router_named(asker)
        if router is not None:
            self.simulation.deliver(router, self._refresh, router)

    # Seals

    def remove_router(self, router: Router) -> None:
        """Seal it: gone from the live list and silent to a ping."""
        if router.paused or not router.live:
            self.sealed.append(router.state.slice.router)

    def add_sidecar(self, sidecar: Sidecar) -> None:
        """Register, read the seals, then accept work."""
        sidecar.state = SidecarAccounts()
        sidecar.state.open(seals=self.sealed)
        live = {s.incarnation for s in self.simulation.sidecars}
        self.known_sidecars |= live
        self.removed_sidecars = self.known_sidecars - live

    def _reap(self) -> None:
        self.simulation.schedule(REAP_SECONDS, self._reap)
        if "seal" not in self.mechanisms or not self.simulation.platform_up():
            return
        for router in self.sealed:
            if router in self.ledger.grants:
                self._close(router)

    def _close(self, router: str) -> None:
        self._write(self.ledger.seal(router))
        disconnected_index = self.simulation.fault.sidecar_cut_from_reaper
        for sidecar in self.simulation.sidecars:
            if sidecar.index == disconnected_index and self.simulation.in_fault:
                continue
            report = sidecar.state.seal(router)
            if sidecar.live and report.final(PROFILE):
                spent = report.ran.get(PROFILE, 0)
                name = sidecar.incarnation
                ledger = self.ledger.report(router=router, sidecar=name, tokens=spent)
                self._write(ledger)
        for name in sorted(self.removed_sidecars):
            self._write(self.ledger.write_off(router=router, sidecar=name))

    def end(self) -> None:
        """Take the charges from the bill."""
        for _, request_id in self.bill.by_request:
            self.charges_by_request[int(request_id)] = 1
