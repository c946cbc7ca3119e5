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
places = st.integers(0, 2)
tokens = st.integers(1, 60)
run_steps = st.tuples(
    st.sampled_from(["start", "start", "start", "finish", "end", "reserve"]),
    places,
    places,
    st.integers(1, 30),
)


class BudgetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = BudgetWorld()

    @initialize()
    def begin(self):
        for place in range(2):
            self.world.register_sidecar(place)
            self.world.open_sidecar(place)
        for place in range(3):
            self.world.start_router(place)
            self.world.renew_at_once(place, 55, 0, 30)

    # Steps: few rules, so that each example mixes all of them

    @rule(
        step=st.sampled_from(["renew", "read", "write", "write", "give up"]),
        place=places,
        want=tokens,
        give_back=st.sampled_from([0, 0, 5, 60]),
        cap=st.integers(10, 80),
        end=st.sampled_from(WRITE_ENDS),
        give_to=st.integers(0, 3),
        look=st.booleans(),
    )
    def renewal(self, step, place, want, give_back, cap, end, give_to, look):
        match step:
            case "renew":
                self.world.renew_at_once(place, want, give_back, cap)
            case "read":
                self.world.read(place)
            case "write":
                if (
                    place in self.world.routers
                    and self.world.routers[place].snapshot is None
                ):
                    self.world.read(place)
                self.world.write(place, end, want, give_back, cap, give_to)
                if look:
                    self.world.read(place)
            case "give up":
                self.world.router_gives_up_dead_sidecars(place)

    @rule(steps=st.lists(run_steps, min_size=1, max_size=8))
    def run(self, steps):
        for step, place, at, amount in steps:
            match step:
                case "start":
                    self.world.reserve_and_start(place, at, amount)
                case "reserve":
                    self.world.reserve(place, at, amount)
                case "finish":
                    self.world.finish_and_tell(at, amount)
                case "end":
                    self.world.finish(at, 1, amount - 1)

    @rule(index=st.integers(0, 20), twice=st.booleans(), late=st.booleans())
    def arrive(self, index, twice, late):
        if late:
            self.world.land_late_write()
        else:
            self.world.deliver(index, twice)

    @rule(
        step=st.sampled_from(
            ["pause", "pause", "router", "cut", "cut", "reaper", "sidecar", "join"]
        ),
        place=places,
        at=places,
        amount=tokens,
        die=st.sampled_from([False, False, True]),
    )
    def fault(self, step, place, at, amount, die):
        match step:
            case "pause":
                self.world.pause_or_wake(place)
            case "router":
                self.world.router_dies_or_restarts(place)
            case "cut":
                self.world.cut_or_heal(place, at)
            case "reaper":
                self.world.cut_or_heal_reaper(at)
            case "sidecar" if die:
                self.world.sidecar_dies(at, amount)
            case "join":
                self.world.register_sidecar(at)
                self.world.open_sidecar(at)
            case "sidecar":
                self.world.register_sidecar(at)

    @rule(
        step=st.sampled_from(["seal", "ask", "report", "all", "write off"]),
        index=st.integers(0, 5),
        at=places,
    )
    def reap(self, step, index, at):
        match step:
            case "seal":
                self.world.seal(index)
            case "ask":
                self.world.ask_sidecar(at)
            case "report":
                self.world.put_report()
            case "all":
                self.world.seal_and_ask(index, at)
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
                self.world.put(self.world.ledger.retire())

    # What holds after each step

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
        """Heal everything: all is charged once, and what was left comes back."""
        self.world.heal()
        for place in sorted(self.world.routers):
            self.world.stop_router(self.world.routers[place])
        for router in self.world.granted_routers():
            self.world.seals.add(router)
            self.world.put(self.world.ledger.seal(router))
        for at in sorted(self.world.sidecars):
            self.world.ask_sidecar(at)
        while self.world.reports:
            self.world.put_report()
        self.world.write_off()
        self.ran_within_prepaid()
        assert not self.world.ledger.grants
        ran = sum(self.world.ran_by_sidecar.values())
        assert ran <= self.world.ledger.spent <= self.world.ledger.prepaid
        if not self.world.dead_sidecars:
            assert self.world.ledger.spent == ran


class TestBudgetMachine:
    def test_every_interleaving_holds(self):
        run_state_machine_as_test(
            BudgetMachine,
            settings=settings(
                max_examples=300, stateful_step_count=80, phases=[Phase.generate]
            ),
        )
