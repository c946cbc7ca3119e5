"""Routers, sidecars, reaper, operator and platform for the random walks."""

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
    index: int
    slice: Slice = field(init=False)
    refresh: SliceRefresh = field(init=False)
    snapshot: tuple[int, Ledger] | None = None
    suspended: bool = False

    def __post_init__(self):
        self.slice = Slice(profile=PROFILE, router=self.incarnation)
        self.refresh = SliceRefresh(slice_=self.slice)
        self.reservations_by_nonce = {}


@dataclass
class SidecarModel:
    incarnation: str
    index: int
    accounts: SidecarAccounts = field(default_factory=SidecarAccounts)
    registered: bool = False

    def __post_init__(self):
        self.running = {}


@dataclass(frozen=True)
class RunDispatched:
    router: str
    sidecar: str
    nonce: str
    tokens: int


@dataclass(frozen=True)
class RunEnded:
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
        self.partitions = set()
        self.reports = []
        self.operations = []
        self.ran_by_sidecar = {}
        self.deleted_sidecars = set()
        self.started = set()

    # Routers

    def start_router(self, router_index):
        self.incarnations += 1
        name = f"r{router_index}.{self.incarnations}"
        self.routers[router_index] = RouterModel(incarnation=name, index=router_index)

    def resumed_router(self, router_index):
        router = self.routers.get(router_index)
        return None if router is None or router.suspended else router

    def read(self, router_index):
        router = self.resumed_router(router_index)
        if router is None:
            return
        router.snapshot = (self.version, self.ledger)
        try:
            router.refresh.read(self.ledger, version=self.version)
        except RouterSealed:
            self.start_router(router_index)

    def write(self, router_index, end, want, give_back, cap, give_to):
        router = self.resumed_router(router_index)
        if router is None or router.snapshot is None:
            return
        version, ledger = router.snapshot
        router.snapshot = None
        self.incarnations += 1
        recipient = self.routers.get(give_to)
        try:
            renewal = router.slice.propose(
                nonce=f"n{self.incarnations}",
                sidecars=tuple(s.incarnation for s in self.sidecars.values()),
                want=0 if give_back else want,
                give_back=give_back,
                give_to=recipient.incarnation
                if recipient and recipient is not router
                else "",
                cap=cap,
            )
            value = ledger.renew(renewal)
        except RouterSealed:
            self.start_router(router_index)
            return
        self.finish_write(router, version, value, end)

    def renew_at_once(self, router_index, want, give_back, cap):
        self.read(router_index)
        self.write(router_index, "ok", want, give_back, cap, 3)

    def finish_write(self, router, version, value, end):
        match end:
            case "ok" if version == self.version:
                self.store(value)
                router.refresh.record_written(value)
            case "ok" | "down":
                router.refresh.record_refused()
            case "lost":
                if version == self.version:
                    self.store(value)
                router.refresh.record_unknown(version=version)
            case "late":
                self.late_writes.append((version, value))
                router.refresh.record_unknown(version=version)
            case "never":
                router.refresh.record_unknown(version=version)

    def store(self, value):
        self.ledger, self.version = value, self.version + 1

    def apply_late_write(self):
        if self.late_writes:
            version, value = self.late_writes.pop(0)
            if version == self.version:
                self.store(value)

    def reserve(self, router_index, sidecar_index, amount):
        router, sidecar = (
            self.resumed_router(router_index),
            self.sidecars.get(sidecar_index),
        )
        if router is None or sidecar is None:
            return
        name = sidecar.incarnation
        try:
            reservation = router.slice.reserve(sidecar=name, tokens=amount)
        except BudgetRefused:
            return
        nonce = f"{router.incarnation}/{reservation.reservation_id}"
        router.reservations_by_nonce[nonce] = reservation
        message = RunDispatched(router.incarnation, name, nonce, amount)
        self.network.append(message)

    def reserve_and_start(self, router_index, sidecar_index, amount):
        before = len(self.network)
        self.reserve(router_index, sidecar_index, amount)
        if len(self.network) > before:
            self.deliver(len(self.network) - 1, False)

    def finish_and_deliver(self, sidecar_index, amount):
        before = len(self.network)
        self.finish(sidecar_index, 0, amount)
        if len(self.network) > before:
            self.deliver(len(self.network) - 1, False)

    def deliver(self, index, twice):
        if not self.network:
            return
        message = self.network.pop(index % len(self.network))
        if self.is_partitioned(message):
            self.network.append(message)
            return
        match message:
            case RunDispatched():
                self.deliver_dispatch(message)
            case RunEnded():
                self.deliver_run_ended(message)
                if twice:
                    self.network.append(message)

    def is_partitioned(self, message):
        return (message.router[:2], message.sidecar[:2]) in self.partitions

    def deliver_dispatch(self, message):
        sidecar = self.sidecar_named(message.sidecar)
        if sidecar is None:
            return
        if not sidecar.accounts.admits(message.router):
            done = RunEnded(message.router, message.sidecar, message.nonce, 0)
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

    def deliver_run_ended(self, message):
        for router in self.routers.values():
            reservation = router.reservations_by_nonce.get(message.nonce)
            if router.suspended and reservation is not None:
                self.network.append(message)
            elif reservation is not None:
                router.slice.settle(reservation, spent=message.tokens)

    def sidecar_named(self, name):
        found = (s for s in self.sidecars.values() if s.incarnation == name)
        return next(found, None)

    def suspend_or_resume(self, router_index):
        if router_index in self.routers:
            self.routers[router_index].suspended = not self.routers[
                router_index
            ].suspended

    def crash_or_start_router(self, router_index):
        if self.routers.pop(router_index, None) is None:
            self.start_router(router_index)

    def drop_deleted_sidecars(self, router_index):
        router = self.resumed_router(router_index)
        if router is None:
            return
        for reservation in list(router.slice.open_by_id.values()):
            if reservation.sidecar in self.deleted_sidecars:
                router.slice.drop(reservation.sidecar)
                router.slice.settle(reservation, spent=reservation.tokens)

    # Sidecars

    def finish(self, sidecar_index, index, amount):
        sidecar = self.sidecars.get(sidecar_index)
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
        self.network.append(RunEnded(message.router, name, nonce, spent))

    def crash_sidecar(self, sidecar_index, amount):
        sidecar = self.sidecars.pop(sidecar_index, None)
        if sidecar is None:
            return
        self.deleted_sidecars.add(sidecar.incarnation)
        for message in sidecar.running.values():
            spent = min(amount, message.tokens)
            name = sidecar.incarnation
            self.ran_by_sidecar[name] = self.ran_by_sidecar.get(name, 0) + spent

    def register_sidecar(self, sidecar_index):
        if sidecar_index not in self.sidecars:
            self.incarnations += 1
            name = f"s{sidecar_index}.{self.incarnations}"
            self.sidecars[sidecar_index] = SidecarModel(
                incarnation=name, index=sidecar_index
            )
            self.sidecars[sidecar_index].registered = True

    def open_sidecar(self, sidecar_index):
        sidecar = self.sidecars.get(sidecar_index)
        if sidecar is not None and not sidecar.accounts.ready:
            sidecar.accounts.open(seals=frozenset(self.seals))

    def toggle_partition(self, router_index, sidecar_index):
        self.partitions ^= {(f"r{router_index}", f"s{sidecar_index}")}

    def toggle_reaper_partition(self, sidecar_index):
        self.partitions ^= {("reaper", f"s{sidecar_index}")}

    # Reaper

    def granted_routers(self):
        return sorted(self.ledger.grants)

    def seal(self, index):
        names = self.granted_routers()
        if names:
            name = names[index % len(names)]
            self.seals.add(name)
            self.store(self.ledger.seal(name))

    def request_report(self, sidecar_index):
        sidecar = self.sidecars.get(sidecar_index)
        if sidecar is None or ("reaper", f"s{sidecar_index}") in self.partitions:
            return
        for router in sorted(self.seals):
            report = sidecar.accounts.seal(router)
            if report.final(PROFILE):
                spent = report.ran.get(PROFILE, 0)
                self.reports.append((router, sidecar.incarnation, spent))

    def seal_and_report(self, index, sidecar_index):
        self.seal(index)
        self.request_report(sidecar_index)
        while self.reports:
            self.put_report()

    def put_report(self):
        if self.reports:
            router, sidecar, spent = self.reports.pop(0)
            self.store(self.ledger.report(router=router, sidecar=sidecar, tokens=spent))

    def write_off(self):
        for router in self.granted_routers():
            for sidecar in sorted(self.deleted_sidecars):
                self.store(self.ledger.write_off(router=router, sidecar=sidecar))

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
            self.store(change(tokens=amount, operation_id=operation))
        except LedgerError:
            return
        if before is None:
            self.operations.append((lower, amount, operation))
        else:
            assert self.ledger.prepaid == before

    def recall(self, share):
        try:
            self.store(self.ledger.recall(to=int(self.ledger.prepaid * share)))
        except LedgerError:
            return

    def end_faults(self):
        self.partitions.clear()
        for sidecar_index in range(3):
            self.register_sidecar(sidecar_index)
            self.open_sidecar(sidecar_index)
        for router in self.routers.values():
            router.suspended = False
        for _ in range(2):
            for sidecar in self.sidecars.values():
                for nonce in list(sidecar.running):
                    self.end_run(sidecar, nonce, 60)
            while self.network:
                self.deliver(0, False)

    def stop_router(self, router):
        self.drop_deleted_sidecars(router.index)
        if router.slice.open_by_id:
            return
        try:
            while True:
                router.refresh.read(self.ledger, version=self.version)
                if router.slice.pending is None:
                    break
                renewal = router.slice.pending
                self.finish_write(
                    router, self.version, self.ledger.renew(renewal), "ok"
                )
        except RouterSealed:
            return
        renewal = router.slice.propose(nonce="stop", cap=0)
        self.store(self.ledger.close(renewal))
