"""State machine of must-not-repeat requests under any order of messages and faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from runs_world import World

from ragwortkeel.runs.filing import ResumeRun
from ragwortkeel.runs.intent import AskSidecar, DispatchRun

WEIGHTS = {
    "submit_and_go": 6,
    "submit": 1,
    "step": 5,
    "turn_away": 1,
    "go_silent": 2,
    "deliver": 3,
    "deliver_twice": 1,
    "deliver_newest": 3,
    "deliver_all": 3,
    "lose_message": 1,
    "engine_step": 2,
    "engine_breaks": 1,
    "engine_ends": 5,
    "time_passes": 3,
    "record": 2,
    "drain_or_return": 1,
    "restart_sidecar": 2,
    "router_dies": 2,
}
"""Relative frequency of each event; most examples should reach two runs of a key."""

HAPPENINGS = [name for name, weight in WEIGHTS.items() for _ in range(weight)]
MODES = ["ok", "ok", "ok", "ok", "lost", "down"]
KEYS = ["x", "x", "x", "x", "y", "minted"]
MANY_EPOCHS = 4


class MustNotRepeat(RuleBasedStateMachine):
    """Two routers retry two keys at two sidecars.

    Messages are delayed, duplicated, reordered or lost; platform answers are lost
    and the platform fails; sidecars drain and restart, routers crash.
    """

    def __init__(self):
        super().__init__()
        self.world = World()

    @rule(
        name=st.sampled_from(HAPPENINGS),
        pick=st.integers(0, 1000),
        slot=st.integers(0, 1),
        mode=st.sampled_from(MODES),
    )
    def happen(self, name, pick, slot, mode):
        match name:
            case "submit" | "submit_and_go":
                self._submit(pick, slot, go=name == "submit_and_go")
            case "step" | "turn_away" | "go_silent":
                self._move_attempt(name, pick, slot, mode)
            case "engine_step" | "engine_breaks" | "engine_ends":
                self._move_engine(name, pick)
            case _ if name.startswith(("deliver", "lose")):
                self._move_message(name, pick)
            case _:
                self._change_world(name, pick, slot, mode)

    def _change_world(self, name, pick, slot, mode):
        world = self.world
        match name:
            case "time_passes":
                for core in world.cores:
                    for _ in range(MANY_EPOCHS):
                        core.on_epoch(0.0)
            case "record":
                world.record(slot, mode)
            case "drain_or_return":
                admission = world.cores[slot].admission
                admission.draining = not admission.draining
            case "restart_sidecar":
                world.restart(slot)
            case "router_dies":
                world.crash_router("AB"[pick % 2])

    def _submit(self, pick, slot, *, go):
        key = KEYS[pick % len(KEYS)]
        first = key == "minted"
        if first:
            key = f"minted-{len(self.world.attempts)}"
        self.world.submit("AB"[pick // 10 % 2], key, slot, first=first)
        if go:
            self._advance(self.world.attempts[-1])

    def _advance(self, attempt):
        """Execute all steps of an attempt up to a sent dispatch."""
        world = self.world
        for _ in range(8):
            step = attempt.filing.step
            if attempt.shown is not None:
                return
            world.step(attempt, "ok")
            if isinstance(step, DispatchRun | ResumeRun):
                return
            if isinstance(step, AskSidecar):
                world.deliver(-1, keep=False)
                if isinstance(attempt.filing.step, AskSidecar) and world.network:
                    world.deliver(-1, keep=False)

    def _move_attempt(self, name, pick, slot, mode):
        attempts = self.world.open_attempts()
        if not attempts:
            return
        attempt = attempts[pick % len(attempts)]
        match name:
            case "step":
                self.world.step(attempt, mode)
            case "turn_away":
                self.world.refuse_at_admission(attempt, mode)
            case "go_silent":
                self.world.disconnect(attempt, slot)

    def _move_message(self, name, pick):
        world = self.world
        if not world.network:
            return
        index = pick % len(world.network)
        match name:
            case "deliver" | "deliver_twice":
                world.deliver(index, keep=name == "deliver_twice")
            case "deliver_newest":
                world.deliver(-1, keep=False)
            case "deliver_all":
                for _ in range(len(world.network)):
                    world.deliver(0, keep=False)
            case "lose_message":
                del world.network[index]

    def _move_engine(self, name, pick):
        runs = self.world.engine_runs
        if not runs:
            return
        run = runs[pick % len(runs)]
        for _ in range(6 if name == "engine_ends" else 1):
            self.world.engine_step(run, name == "engine_breaks")

    @invariant()
    def runs_at_most_once(self):
        ran = [run.request_id for run in self.world.engine_runs]
        assert len(ran) == len(set(ran)), self.world.engine_runs

    @invariant()
    def shown_outcomes_are_true(self):
        assert self.world.false_reports == []

    @invariant()
    def charged_at_most_once(self):
        charged = {r.nonce: r for r in self.world.receipts if r.billable}
        requests = [(r.profile, r.request_id) for r in charged.values()]
        assert len(requests) == len(set(requests))


MustNotRepeat.TestCase.settings = settings(max_examples=300, stateful_step_count=60)
TestMustNotRepeat = MustNotRepeat.TestCase
