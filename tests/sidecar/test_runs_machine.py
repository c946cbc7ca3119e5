"""Requests that must not repeat, under every order of messages and failures."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from runs_world import World

from ragwortkeel.runs.filing import Follow
from ragwortkeel.runs.intent import AskSidecar, Go

MODES = st.sampled_from(["ok", "ok", "ok", "lost", "down"])
SLOTS = st.integers(0, 1)
LUCK = st.integers(0, 2)
PICK = st.integers(0, 10**6)


class MustNotRepeat(RuleBasedStateMachine):
    """Two routers retry two keys at two sidecars.

    Messages come late, twice, out of order or never; platform answers are lost
    and the platform goes down; sidecars restart and routers die.
    """

    def __init__(self):
        super().__init__()
        self.world = World()

    def _open(self):
        world = self.world
        return [
            a
            for a in world.attempts
            if a.shown is None and a.router not in world.dead_routers
        ]

    @rule(router=st.sampled_from("AB"), key=st.sampled_from("xxxy"), slot=SLOTS)
    def submit(self, router, key, slot):
        self.world.submit(router, key, slot, first=False)

    @rule(router=st.sampled_from("AB"), slot=SLOTS)
    def submit_minted(self, router, slot):
        minted = f"minted-{len(self.world.attempts)}"
        self.world.submit(router, minted, slot, first=True)

    @precondition(lambda self: self._open())
    @rule(pick=PICK, mode=MODES)
    def step(self, pick, mode):
        attempts = self._open()
        self.world.step(attempts[pick % len(attempts)], mode)

    @precondition(lambda self: self._open())
    @rule()
    def newest_goes_on(self):
        """Take the newest attempt through all its steps, up to a sent dispatch."""
        world, attempt = self.world, self._open()[-1]
        for _ in range(8):
            if attempt.shown is not None:
                return
            step = attempt.filing.step
            world.step(attempt, "ok")
            if isinstance(step, Go | Follow):
                return
            if isinstance(step, AskSidecar):
                world.deliver(-1, keep=False)
                if isinstance(attempt.filing.step, AskSidecar) and world.network:
                    world.deliver(-1, keep=False)

    @precondition(lambda self: self.world.network)
    @rule(pick=PICK, keep=st.booleans())
    def deliver(self, pick, keep):
        self.world.deliver(pick % len(self.world.network), keep=keep)

    @precondition(lambda self: self.world.network)
    @rule()
    def deliver_all(self):
        for _ in range(len(self.world.network)):
            self.world.deliver(0, keep=False)

    @precondition(lambda self: self.world.network)
    @rule(pick=PICK)
    def lose_message(self, pick):
        del self.world.network[pick % len(self.world.network)]

    @precondition(lambda self: self._open())
    @rule(pick=PICK, slot=SLOTS)
    def sidecar_goes_silent(self, pick, slot):
        attempts = self._open()
        self.world.lose(attempts[pick % len(attempts)], slot)

    @precondition(lambda self: self.world.engine_runs)
    @rule(pick=PICK, broken=st.booleans())
    def engine_step(self, pick, broken):
        runs = self.world.engine_runs
        self.world.engine_step(runs[pick % len(runs)], broken)

    @precondition(lambda self: self.world.engine_runs)
    @rule()
    def engine_ends(self):
        for _ in range(5):
            self.world.engine_step(self.world.engine_runs[-1], False)

    @rule(slot=SLOTS, epochs=st.integers(1, 4))
    def time_passes(self, slot, epochs):
        for _ in range(epochs):
            self.world.cores[slot].on_epoch()

    @rule(slot=SLOTS, mode=MODES)
    def record(self, slot, mode):
        self.world.record(slot, mode)

    @precondition(lambda self: self._open())
    @rule(pick=PICK, mode=MODES)
    def turned_away(self, pick, mode):
        attempts = self._open()
        self.world.turn_away(attempts[pick % len(attempts)], mode)

    @rule(slot=SLOTS)
    def drains_or_returns(self, slot):
        admission = self.world.cores[slot].admission
        admission.draining = not admission.draining

    @rule(slot=SLOTS, luck=LUCK)
    def restart_sidecar(self, slot, luck):
        if luck == 0:
            self.world.restart(slot)

    @rule(router=st.sampled_from("AB"), luck=LUCK)
    def router_dies(self, router, luck):
        """Its name goes on with a new incarnation: attempts of the old are lost."""
        if luck > 0:
            return
        for attempt in self.world.attempts:
            if attempt.router == router:
                attempt.router = f"{router}-dead"
        self.world.dead_routers.add(f"{router}-dead")

    @invariant()
    def runs_at_most_once(self):
        ran = [run.request_id for run in self.world.engine_runs]
        assert len(ran) == len(set(ran)), self.world.engine_runs

    @invariant()
    def nothing_shown_is_a_lie(self):
        assert self.world.lies == []

    @invariant()
    def charged_at_most_once(self):
        charged = {r.nonce: r for r in self.world.receipts if r.billable}
        requests = [(r.profile, r.request_id) for r in charged.values()]
        assert len(requests) == len(set(requests))


MustNotRepeat.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestMustNotRepeat = MustNotRepeat.TestCase
