"""Our scheme, driving the real ledger, slices, seals, receipts and sizing."""

from dataclasses import dataclass, field

from benchmarks._budget_rivals import Scheme
from benchmarks._budget_world import (
    BOUNDS,
    PLATFORM_SECONDS,
    Request,
    Router,
    Run,
    Sidecar,
    World,
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
PEER_SECONDS = 0.001
AGAIN_SECONDS = 0.2
"""Between two tries to find tokens while callers wait."""

REAP_SECONDS = 2.0
FIXED_SLICE = 2000
MECHANISMS = frozenset({"seal", "cap", "transfer", "adaptive_slice"})


@dataclass(kw_only=True)
class _Share:
    """What one router keeps of the budget."""

    refresh: SliceRefresh
    meter: DemandMeter
    waiting: list[tuple[float, Request]] = field(default_factory=list)
    reservations_by_nonce: dict[int, Reservation] = field(default_factory=dict)
    busy: bool = False
    asked_at: float = -1.0

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

    def begin(self, world: World) -> None:
        """Put the ledger in place and give each router its first slice."""
        super().begin(world)
        self.ledger, self.version = Ledger(prepaid=world.prepaid), 1
        self.sealed: list[str] = []
        self.known_sidecars: set[str] = set()
        self.gone_sidecars: set[str] = set()
        self.nonces = 0
        for sidecar in world.sidecars:
            self.sidecar_joined(sidecar)
        for router in world.routers:
            self.router_joined(router)
        self._reap()

    def topped_up(self, tokens: int) -> None:
        """Add to the ledger under an operation id."""
        operation = self.ledger.operation_id("top-up")
        self._put(self.ledger.top_up(tokens=tokens, operation_id=operation))

    def _put(self, ledger: Ledger) -> None:
        self.ledger, self.version = ledger, self.version + 1

    # Admission

    def admit(self, router: Router, request: Request) -> None:
        """Reserve from the slice, or wait shortly for a refill."""
        share = router.state
        share.meter.add(tokens=request.bound, now=self._clock(router))
        if not self._try(router, request):
            share.waiting.append((self.world.now + WAIT_SECONDS, request))
            self.world.after(WAIT_SECONDS, self.world.tell, router, self._late, router)
            self._refresh(router)

    def _clock(self, router: Router) -> float:
        return self.world.now - router.behind

    def _try(self, router: Router, request: Request) -> bool:
        """Start the request where tokens and a sidecar with room are."""
        share, world = router.state, self.world
        for sidecar in world.pick_sidecars(request):
            try:
                reservation = share.slice.reserve(
                    sidecar=sidecar.incarnation, tokens=request.bound
                )
            except BudgetExhausted:
                return False
            except BudgetRefused:
                continue
            if not sidecar.state.admits(router.state.slice.router):
                # Sealed: the router learns it and goes on under a new name.
                share.slice.settle(reservation, spent=0)
                self._new_incarnation(router)
                return False
            self._start(router, request, sidecar, reservation)
            return True
        return False

    def _start(self, router, request, sidecar, reservation) -> None:
        share = router.state
        account = share.slice.router
        run = self.world.start(router, request, sidecar, account)
        if run is None:
            share.slice.settle(reservation, spent=0)
            return
        share.reservations_by_nonce[run.nonce] = reservation
        sidecar.state.start(
            nonce=str(run.nonce),
            router=account,
            profile=PROFILE,
            reservation=request.bound,
        )

    def _late(self, router: Router) -> None:
        self._serve_waiting(router)
        share = router.state
        due = [r for until, r in share.waiting if until <= self.world.now]
        share.waiting = [w for w in share.waiting if w[0] > self.world.now]
        for request in due:
            self.world.refuse(request)

    def _serve_waiting(self, router: Router) -> None:
        waiting, router.state.waiting = router.state.waiting, []
        for until, request in waiting:
            done = request.answered or request.refused
            done = done or (request.run and request.run.sidecar.alive)
            if not done and not self._try(router, request):
                router.state.waiting.append((until, request))

    # Runs

    def ran(self, run: Run) -> None:
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

    def finished(self, run: Run) -> None:
        """Refund the rest of the reservation."""
        self._settle(run, run.spent)

    def run_lost(self, run: Run) -> None:
        """Charge the bound: the sidecar is gone for good."""
        self._settle(run, run.request.bound)
        run.router.state.slice.drop(run.sidecar.incarnation)

    def _settle(self, run: Run, spent: int) -> None:
        share = run.router.state
        reservation = share.reservations_by_nonce.pop(run.nonce, None)
        if reservation is not None and reservation.router == share.slice.router:
            share.slice.settle(reservation, spent=spent)
            self._serve_waiting(run.router)

    # Renewal

    def router_joined(self, router: Router) -> None:
        """Take a slice and go on renewing it."""
        router.state = self._new_share(router.incarnation)
        self._tick(router)

    def _new_share(self, incarnation: str) -> _Share:
        slice_ = Slice(profile=PROFILE, router=incarnation)
        return _Share(refresh=SliceRefresh(slice_=slice_), meter=DemandMeter())

    def _new_incarnation(self, router: Router) -> None:
        self.nonces += 1
        share = self._new_share(f"{router.incarnation}+{self.nonces}")
        share.waiting = router.state.waiting
        share.meter = router.state.meter
        router.state = share
        self._refresh(router)

    def _tick(self, router: Router) -> None:
        if router.alive:
            self.world.after(REFRESH_SECONDS, self._tick, router)
            self._refresh(router)

    def _refresh(self, router: Router, give_to: str = "", lend: int = 0) -> None:
        share, world = router.state, self.world
        if share.busy or router.paused or not router.alive:
            return
        if not world.reaches_platform(router):
            return
        share.busy = True
        world.after(PLATFORM_SECONDS, self._renew, router, share, give_to, lend)

    def _renew(self, router: Router, share: _Share, give_to: str, lend: int) -> None:
        share.busy = False
        if router.paused or not router.alive or share is not router.state:
            return
        if not self.world.reaches_platform(router):
            return
        try:
            share.refresh.read(self.ledger, version=self.version)
            renewal = self._propose(router, share, give_to, lend)
            self._put(self.ledger.renew(renewal))
        except RouterSealed:
            self._new_incarnation(router)
            return
        if self.world.loses_answer():
            share.refresh.record_unknown(version=self.version - 1)
            return
        share.refresh.record_written(self.ledger)
        self._serve_waiting(router)
        if give_to:
            self.world.after(PEER_SECONDS, self._lent, give_to)
        elif share.waiting:
            self._go_on(router)

    def _need(self, router: Router, share: _Share) -> SliceNeed:
        bounds = [request.bound for _, request in share.waiting]
        return SliceNeed(
            holding=share.slice.free + share.slice.reserved,
            demand=share.meter.rate(now=self._clock(router)),
            largest_request=max(BOUNDS),
            waiting=sum(bounds),
            lacking=max(0, min(bounds) - share.slice.free) if bounds else 0,
            ride_out_seconds=RIDE_OUT_SECONDS,
            spread=self.spread,
        )

    def _propose(self, router: Router, share: _Share, give_to: str, lend: int):
        need, name = self._need(router, share), share.slice.router
        if "adaptive_slice" in self.mechanisms:
            want = tokens_to_take(self.ledger, router=name, need=need)
            give_back = tokens_to_give_back(self.ledger, router=name, need=need)
        else:
            want, give_back = max(0, FIXED_SLICE - need.holding), 0
        if give_to:
            want, give_back = 0, lend
        live = tuple(s.incarnation for s in self.world.sidecars if s.alive)
        cap = exposure_cap(holding=need.holding + want, sidecars=len(live), need=need)
        if "cap" not in self.mechanisms:
            cap = 10**9
        self.nonces += 1
        return share.slice.propose(
            nonce=f"n{self.nonces}",
            sidecars=live,
            want=want,
            give_back=give_back,
            give_to=give_to,
            cap=cap,
            demand=need.demand,
        )

    # Transfer

    def _go_on(self, router: Router) -> None:
        unspent = self.ledger.prepaid - self.ledger.total_spent
        waiting, router.state.waiting = router.state.waiting, []
        for until, request in waiting:
            if request.bound > unspent:
                self.world.refuse(request)
            else:
                router.state.waiting.append((until, request))
        if not router.state.waiting:
            return
        if "transfer" in self.mechanisms:
            self._ask_peers(router)
        self.world.after(AGAIN_SECONDS, self._again, router, router.state)

    def _again(self, router: Router, share: _Share) -> None:
        if share is router.state and share.waiting:
            self._refresh(router)

    def _ask_peers(self, router: Router) -> None:
        share = router.state
        if self.world.now - share.asked_at < AGAIN_SECONDS / 2:
            return
        share.asked_at = self.world.now
        need = self._need(router, share)
        for name in best_givers(self.ledger, router=share.slice.router):
            giver = self._router_named(name)
            if giver is not None:
                args = (giver, share.slice.router, need)
                self.world.after(
                    PEER_SECONDS, self.world.tell, giver, self._asked, *args
                )

    def _router_named(self, name: str) -> Router | None:
        found = (r for r in self.world.routers if r.state.slice.router == name)
        return next(found, None)

    def _asked(self, giver: Router, asker: str, need: SliceNeed) -> None:
        own = self._need(giver, giver.state)
        lend = tokens_to_lend(free=giver.state.slice.free, own=own, asker=need)
        if lend:
            self._refresh(giver, asker, lend)

    def _lent(self, asker: str) -> None:
        router = self._router_named(asker)
        if router is not None:
            self.world.tell(router, self._refresh, router)

    # Seals

    def router_gone(self, router: Router) -> None:
        """Seal it: gone from the live list and silent to a ping."""
        if router.paused or not router.alive:
            self.sealed.append(router.state.slice.router)

    def sidecar_joined(self, sidecar: Sidecar) -> None:
        """Register, read the seals, then accept work."""
        sidecar.state = SidecarAccounts()
        sidecar.state.open(seals=self.sealed)
        live = {s.incarnation for s in self.world.sidecars}
        self.known_sidecars |= live
        self.gone_sidecars = self.known_sidecars - live

    def _reap(self) -> None:
        self.world.after(REAP_SECONDS, self._reap)
        if "seal" not in self.mechanisms or not self.world.platform_up():
            return
        for router in self.sealed:
            if router in self.ledger.grants:
                self._close(router)

    def _close(self, router: str) -> None:
        self._put(self.ledger.seal(router))
        cut = self.world.fault.sidecar_cut_from_reaper
        for sidecar in self.world.sidecars:
            if sidecar.place == cut and self.world.in_fault:
                continue
            report = sidecar.state.seal(router)
            if sidecar.alive and report.final(PROFILE):
                spent = report.ran.get(PROFILE, 0)
                name = sidecar.incarnation
                ledger = self.ledger.report(router=router, sidecar=name, tokens=spent)
                self._put(ledger)
        for name in sorted(self.gone_sidecars):
            self._put(self.ledger.write_off(router=router, sidecar=name))

    def end(self) -> None:
        """Take the charges from the bill."""
        for _, request_id in self.bill.by_request:
            self.charges_by_request[int(request_id)] = 1
