"""Random interleavings of routers, sidecars, reaper, operator and platform."""

import hypothesis.strategies as st
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from tests.budget.world import BudgetWorld

WRITE_ENDS = ["ok", "ok", "ok", "down", "lost", "late", "never"]
indexes = st.integers(0, 2)
tokens = st.integers(1, 60)
run_steps = st.tuples(
    st.sampled_from(["start", "start", "start", "finish", "end", "reserve"]),
    indexes,
    indexes,
    st.integers(1, 30),
)


class BudgetMachine(RuleBasedStateMachine):
    """Guards against overspends and wrong charges, whatever fails.

    Routers and sidecars crash, are suspended or partitioned, and writes are refused,
    lost or late.
    """

    def __init__(self):
        super().__init__()
        self.world = BudgetWorld()

    @initialize()
    def begin(self):
        for sidecar_index in range(2):
            self.world.register_sidecar(sidecar_index)
            self.world.open_sidecar(sidecar_index)
        for router_index in range(3):
            self.world.start_router(router_index)
            self.world.renew_at_once(router_index, 55, 0, 30)

    # There are few rules, so that each example mixes all of them.

    @rule(
        step=st.sampled_from(["renew", "read", "write", "write", "drop"]),
        router_index=indexes,
        want=tokens,
        give_back=st.sampled_from([0, 0, 5, 60]),
        cap=st.integers(10, 80),
        end=st.sampled_from(WRITE_ENDS),
        give_to=st.integers(0, 3),
        look=st.booleans(),
    )
    def renewal(self, step, router_index, want, give_back, cap, end, give_to, look):
        match step:
            case "renew":
                self.world.renew_at_once(router_index, want, give_back, cap)
            case "read":
                self.world.read(router_index)
            case "write":
                if (
                    router_index in self.world.routers
                    and self.world.routers[router_index].snapshot is None
                ):
                    self.world.read(router_index)
                self.world.write(router_index, end, want, give_back, cap, give_to)
                if look:
                    self.world.read(router_index)
            case "drop":
                self.world.drop_deleted_sidecars(router_index)

    @rule(steps=st.lists(run_steps, min_size=1, max_size=8))
    def run(self, steps):
        for step, router_index, sidecar_index, amount in steps:
            match step:
                case "start":
                    self.world.reserve_and_start(router_index, sidecar_index, amount)
                case "reserve":
                    self.world.reserve(router_index, sidecar_index, amount)
                case "finish":
                    self.world.finish_and_deliver(sidecar_index, amount)
                case "end":
                    self.world.finish(sidecar_index, 1, amount - 1)

    @rule(index=st.integers(0, 20), twice=st.booleans(), late=st.booleans())
    def arrive(self, index, twice, late):
        if late:
            self.world.apply_late_write()
        else:
            self.world.deliver(index, twice)

    @rule(
        step=st.sampled_from(
            [
                "suspend",
                "suspend",
                "router",
                "partition",
                "partition",
                "reaper",
                "sidecar",
                "register",
            ]
        ),
        router_index=indexes,
        sidecar_index=indexes,
        amount=tokens,
        crash=st.sampled_from([False, False, True]),
    )
    def fault(self, step, router_index, sidecar_index, amount, crash):
        match step:
            case "suspend":
                self.world.suspend_or_resume(router_index)
            case "router":
                self.world.crash_or_start_router(router_index)
            case "partition":
                self.world.toggle_partition(router_index, sidecar_index)
            case "reaper":
                self.world.toggle_reaper_partition(sidecar_index)
            case "sidecar" if crash:
                self.world.crash_sidecar(sidecar_index, amount)
            case "register":
                self.world.register_sidecar(sidecar_index)
                self.world.open_sidecar(sidecar_index)
            case "sidecar":
                self.world.register_sidecar(sidecar_index)

    @rule(
        step=st.sampled_from(["seal", "request", "report", "all", "write off"]),
        index=st.integers(0, 5),
        sidecar_index=indexes,
    )
    def reap(self, step, index, sidecar_index):
        match step:
            case "seal":
                self.world.seal(index)
            case "request":
                self.world.request_report(sidecar_index)
            case "report":
                self.world.put_report()
            case "all":
                self.world.seal_and_report(index, sidecar_index)
            case "write off":
                self.world.write_off()

    @rule(
        step=st.sampled_from(["change", "change", "change", "recall", "retire"]),
        amount=tokens,
        again=st.booleans(),
        lower=st.booleans(),
        share=st.floats(0.3, 1.0),
        retire=st.sampled_from([False] * 9 + [True]),
    )
    def operate(self, step, amount, again, lower, share, retire):
        match step:
            case "change":
                self.world.top_up_or_lower(amount, again, lower)
            case "recall":
                self.world.recall(share)
            case "retire" if retire:
                self.world.store(self.world.ledger.retire())

    # Invariants after each rule.

    @invariant()
    def committed_within_prepaid(self):
        assert self.world.ledger.held <= self.world.ledger.prepaid
        assert self.world.ledger.total_spent <= self.world.ledger.held

    @invariant()
    def ledger_covers_slices(self):
        for router in self.world.routers.values():
            grant = self.world.ledger.grants.get(router.incarnation)
            if grant is None:
                continue
            assert router.slice.spent + router.slice.reserved <= grant.granted
            for sidecar, settled in grant.settled.items():
                taken = router.slice.committed(sidecar)
                assert taken <= settled + grant.cap

    @invariant()
    def ran_within_prepaid(self):
        ran = sum(self.world.ran_by_sidecar.values())
        may_run = sum(
            message.tokens
            for sidecar in self.world.sidecars.values()
            for message in sidecar.running.values()
        )
        assert ran + may_run <= self.world.ledger.prepaid

    def teardown(self):
        """Check, after all faults end, that all spend is charged once."""
        self.world.end_faults()
        for router_index in sorted(self.world.routers):
            self.world.stop_router(self.world.routers[router_index])
        for router in self.world.granted_routers():
            self.world.seals.add(router)
            self.world.store(self.world.ledger.seal(router))
        for sidecar_index in sorted(self.world.sidecars):
            self.world.request_report(sidecar_index)
        while self.world.reports:
            self.world.put_report()
        self.world.write_off()
        self.ran_within_prepaid()
        assert not self.world.ledger.grants
        ran = sum(self.world.ran_by_sidecar.values())
        assert ran <= self.world.ledger.spent <= self.world.ledger.prepaid
        if not self.world.deleted_sidecars:
            assert self.world.ledger.spent == ran


class TestBudgetMachine:
    def test_every_interleaving_holds(self):
        run_state_machine_as_test(
            BudgetMachine,
            settings=settings(
                max_examples=300, stateful_step_count=80, phases=[Phase.generate]
            ),
        )
