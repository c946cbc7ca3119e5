"""The routers, sidecars, reaper, operator and platform of the random walks."""

from dataclasses import dataclass, field

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.refresh import SliceRefresh
from ragwortkeel.budget.seal import SidecarAccounts
from ragwortkeel.budget.slice import Slice
from ragwortkeel.exceptions import BudgetRefused, LedgerError, RouterSealed

PROFILE = "advisor-chat"


@dataclass
class RouterModel:
    incarnation: str
    place: int
    slice: Slice = field(init=False)
    refresh: SliceRefresh = field(init=False)
    snapshot: tuple[int, Ledger] | None = None
    paused: bool = False

    def __post_init__(self):
        self.slice = Slice(profile=PROFILE, router=self.incarnation)
        self.refresh = SliceRefresh(slice_=self.slice)
        self.reservations_by_nonce = {}


@dataclass
class SidecarModel:
    incarnation: str
    place: int
    accounts: SidecarAccounts = field(default_factory=SidecarAccounts)
    registered: bool = False

    def __post_init__(self):
        self.running = {}


@dataclass(frozen=True)
class Dispatched:
    router: str
    sidecar: str
    nonce: str
    tokens: int


@dataclass(frozen=True)
class Done:
    router: str
    sidecar: str
    nonce: str
    tokens: int


class BudgetWorld:
    def __init__(self):
        self.ledger, self.version = Ledger(prepaid=200), 1
        self.late_writes = []
        self.seals = set()
        self.routers, self.sidecars = {}, {}
        self.incarnations = 0
        self.network = []
        self.cuts = set()
        self.reports = []
        self.operations = []
        self.ran_by_sidecar = {}
        self.dead_sidecars = set()
        self.started = set()

    # Routers

    def start_router(self, place):
        self.incarnations += 1
        name = f"r{place}.{self.incarnations}"
        self.routers[place] = RouterModel(incarnation=name, place=place)

    def awake(self, place):
        router = self.routers.get(place)
        return None if router is None or router.paused else router

    def read(self, place):
        router = self.awake(place)
        if router is None:
            return
        router.snapshot = (self.version, self.ledger)
        try:
            router.refresh.read(self.ledger, version=self.version)
        except RouterSealed:
            self.start_router(place)

    def write(self, place, end, want, give_back, cap, give_to):
        router = self.awake(place)
        if router is None or router.snapshot is None:
            return
        version, ledger = router.snapshot
        router.snapshot = None
        self.incarnations += 1
        taker = self.routers.get(give_to)
        try:
            renewal = router.slice.propose(
                nonce=f"n{self.incarnations}",
                sidecars=tuple(s.incarnation for s in self.sidecars.values()),
                want=0 if give_back else want,
                give_back=give_back,
                give_to=taker.incarnation if taker and taker is not router else "",
                cap=cap,
            )
            value = ledger.renew(renewal)
        except RouterSealed:
            self.start_router(place)
            return
        self.end_write(router, version, value, end)

    def renew_at_once(self, place, want, give_back, cap):
        self.read(place)
        self.write(place, "ok", want, give_back, cap, 3)

    def end_write(self, router, version, value, end):
        match end:
            case "ok" if version == self.version:
                self.put(value)
                router.refresh.record_written(value)
            case "ok" | "down":
                router.refresh.record_refused()
            case "lost":
                if version == self.version:
                    self.put(value)
                router.refresh.record_unknown(version=version)
            case "late":
                self.late_writes.append((version, value))
                router.refresh.record_unknown(version=version)
            case "never":
                router.refresh.record_unknown(version=version)

    def put(self, value):
        self.ledger, self.version = value, self.version + 1

    def land_late_write(self):
        if self.late_writes:
            version, value = self.late_writes.pop(0)
            if version == self.version:
                self.put(value)

    def reserve(self, place, at, amount):
        router, sidecar = self.awake(place), self.sidecars.get(at)
        if router is None or sidecar is None:
            return
        name = sidecar.incarnation
        try:
            reservation = router.slice.reserve(sidecar=name, tokens=amount)
        except BudgetRefused:
            return
        nonce = f"{router.incarnation}/{reservation.reservation_id}"
        router.reservations_by_nonce[nonce] = reservation
        message = Dispatched(router.incarnation, name, nonce, amount)
        self.network.append(message)

    def reserve_and_start(self, place, at, amount):
        before = len(self.network)
        self.reserve(place, at, amount)
        if len(self.network) > before:
            self.deliver(len(self.network) - 1, False)

    def finish_and_tell(self, at, amount):
        before = len(self.network)
        self.finish(at, 0, amount)
        if len(self.network) > before:
            self.deliver(len(self.network) - 1, False)

    def deliver(self, index, twice):
        if not self.network:
            return
        message = self.network.pop(index % len(self.network))
        if self.cut_off(message):
            self.network.append(message)
            return
        match message:
            case Dispatched():
                self.deliver_dispatch(message)
            case Done():
                self.deliver_done(message)
                if twice:
                    self.network.append(message)

    def cut_off(self, message):
        return (message.router[:2], message.sidecar[:2]) in self.cuts

    def deliver_dispatch(self, message):
        sidecar = self.sidecar_named(message.sidecar)
        if sidecar is None:
            return
        if not sidecar.accounts.admits(message.router):
            done = Done(message.router, message.sidecar, message.nonce, 0)
            self.network.append(done)
            return
        assert message.nonce not in self.started
        self.started.add(message.nonce)
        sidecar.accounts.start(
            nonce=message.nonce,
            router=message.router,
            profile=PROFILE,
            reservation=message.tokens,
        )
        sidecar.running[message.nonce] = message

    def deliver_done(self, message):
        for router in self.routers.values():
            reservation = router.reservations_by_nonce.get(message.nonce)
            if router.paused and reservation is not None:
                self.network.append(message)
            elif reservation is not None:
                router.slice.settle(reservation, spent=message.tokens)

    def sidecar_named(self, name):
        found = (s for s in self.sidecars.values() if s.incarnation == name)
        return next(found, None)

    def pause_or_wake(self, place):
        if place in self.routers:
            self.routers[place].paused = not self.routers[place].paused

    def router_dies_or_restarts(self, place):
        if self.routers.pop(place, None) is None:
            self.start_router(place)

    def router_gives_up_dead_sidecars(self, place):
        router = self.awake(place)
        if router is None:
            return
        for reservation in list(router.slice.open_by_id.values()):
            if reservation.sidecar in self.dead_sidecars:
                router.slice.drop(reservation.sidecar)
                router.slice.settle(reservation, spent=reservation.tokens)

    # Sidecars

    def finish(self, at, index, amount):
        sidecar = self.sidecars.get(at)
        if sidecar is None or not sidecar.running:
            return
        nonce = sorted(sidecar.running)[index % len(sidecar.running)]
        self.end_run(sidecar, nonce, amount)

    def end_run(self, sidecar, nonce, amount):
        message = sidecar.running.pop(nonce)
        spent = min(amount, message.tokens)
        sidecar.accounts.finish(nonce=nonce, tokens=spent)
        name = sidecar.incarnation
        self.ran_by_sidecar[name] = self.ran_by_sidecar.get(name, 0) + spent
        self.network.append(Done(message.router, name, nonce, spent))

    def sidecar_dies(self, at, amount):
        sidecar = self.sidecars.pop(at, None)
        if sidecar is None:
            return
        self.dead_sidecars.add(sidecar.incarnation)
        for message in sidecar.running.values():
            spent = min(amount, message.tokens)
            name = sidecar.incarnation
            self.ran_by_sidecar[name] = self.ran_by_sidecar.get(name, 0) + spent

    def register_sidecar(self, at):
        if at not in self.sidecars:
            self.incarnations += 1
            name = f"s{at}.{self.incarnations}"
            self.sidecars[at] = SidecarModel(incarnation=name, place=at)
            self.sidecars[at].registered = True

    def open_sidecar(self, at):
        sidecar = self.sidecars.get(at)
        if sidecar is not None and not sidecar.accounts.ready:
            sidecar.accounts.open(seals=frozenset(self.seals))

    def cut_or_heal(self, place, at):
        self.cuts ^= {(f"r{place}", f"s{at}")}

    def cut_or_heal_reaper(self, at):
        self.cuts ^= {("reaper", f"s{at}")}

    # Reaper

    def granted_routers(self):
        return sorted(self.ledger.grants)

    def seal(self, index):
        names = self.granted_routers()
        if names:
            name = names[index % len(names)]
            self.seals.add(name)
            self.put(self.ledger.seal(name))

    def ask_sidecar(self, at):
        sidecar = self.sidecars.get(at)
        if sidecar is None or ("reaper", f"s{at}") in self.cuts:
            return
        for router in sorted(self.seals):
            report = sidecar.accounts.seal(router)
            if report.final(PROFILE):
                spent = report.ran.get(PROFILE, 0)
                self.reports.append((router, sidecar.incarnation, spent))

    def seal_and_ask(self, index, at):
        self.seal(index)
        self.ask_sidecar(at)
        while self.reports:
            self.put_report()

    def put_report(self):
        if self.reports:
            router, sidecar, spent = self.reports.pop(0)
            self.put(self.ledger.report(router=router, sidecar=sidecar, tokens=spent))

    def write_off(self):
        for router in self.granted_routers():
            for sidecar in sorted(self.dead_sidecars):
                self.put(self.ledger.write_off(router=router, sidecar=sidecar))

    # Operator

    def top_up_or_lower(self, amount, again, lower):
        if again and self.operations:
            lower, amount, operation = self.operations[-1]
            before = self.ledger.prepaid
        else:
            before = None
            self.incarnations += 1
            operation = self.ledger.operation_id(f"op{self.incarnations}")
        change = self.ledger.lower if lower else self.ledger.top_up
        try:
            self.put(change(tokens=amount, operation_id=operation))
        except LedgerError:
            return
        if before is None:
            self.operations.append((lower, amount, operation))
        else:
            assert self.ledger.prepaid == before

    def recall(self, share):
        try:
            self.put(self.ledger.recall(to=int(self.ledger.prepaid * share)))
        except LedgerError:
            return

    def heal(self):
        self.cuts.clear()
        for place in range(3):
            self.register_sidecar(place)
            self.open_sidecar(place)
        for router in self.routers.values():
            router.paused = False
        for _ in range(2):
            for sidecar in self.sidecars.values():
                for nonce in list(sidecar.running):
                    self.end_run(sidecar, nonce, 60)
            while self.network:
                self.deliver(0, False)

    def stop_router(self, router):
        self.router_gives_up_dead_sidecars(router.place)
        if router.slice.open_by_id:
            return
        try:
            while True:
                router.refresh.read(self.ledger, version=self.version)
                if router.slice.pending is None:
                    break
                renewal = router.slice.pending
                self.end_write(router, self.version, self.ledger.renew(renewal), "ok")
        except RouterSealed:
            return
        renewal = router.slice.propose(nonce="stop", cap=0)
        self.put(self.ledger.close(renewal))
