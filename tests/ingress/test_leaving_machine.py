"""Histories of entries, outages and announcements, against one invariant."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.ingress.builders import upstream

from ragwortkeel.ingress.configuration import UpstreamState
from ragwortkeel.ingress.directory import Directory

NAMES = st.sampled_from(["u1", "u2", "u3"])
STARTS = st.integers(min_value=0, max_value=4)
STATES = st.sampled_from(list(UpstreamState))
LAGS = st.integers(min_value=0, max_value=3)


class LeavingUpstreams(RuleBasedStateMachine):
    """Guards against an announcement that a later entry or its deletion undoes."""

    def __init__(self):
        super().__init__()
        self.directory = Directory()
        self.now = 0.0
        self.version = 0
        self.announced_start_by_name = {}

    def entry(self, name, started_ms, state):
        return upstream(name, started_ms=started_ms, state=state)

    @rule(name=NAMES, started_ms=STARTS, state=STATES, lag=LAGS)
    def write_entry(self, name, started_ms, state, lag):
        self.version += 1
        version = max(1, self.version - lag)
        entry = self.entry(name, started_ms, state)
        self.directory.merge_entry(name, entry, version=version, now=self.now)

    @rule(
        starts=st.dictionaries(NAMES, st.tuples(STARTS, STATES), max_size=3), lag=LAGS
    )
    def list_entries(self, starts, lag):
        self.version += 1
        listed = {
            name: (max(1, self.version - lag), self.entry(name, started_ms, state))
            for name, (started_ms, state) in starts.items()
        }
        self.directory.merge_listing(listed, revision=self.version, now=self.now)

    @rule(name=NAMES)
    def delete_entry(self, name):
        self.version += 1
        self.directory.record_deletion(name, version=self.version, now=self.now)

    @rule(seconds=st.floats(min_value=0.0, max_value=3.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.directory.expire(self.now)

    @rule()
    def lose_platform(self):
        self.directory.record_outage(self.now)

    @rule(name=NAMES)
    def replace_instance(self, name):
        self.directory.record_replacement(name)

    @rule(name=NAMES, started_ms=STARTS)
    def announce_leaving(self, name, started_ms):
        self.directory.record_leaving(name, started_ms=started_ms)
        known = self.announced_start_by_name.get(name, started_ms)
        self.announced_start_by_name[name] = max(known, started_ms)

    @invariant()
    def only_later_starts_are_usable(self):
        for name, started_ms in self.announced_start_by_name.items():
            if self.directory.is_usable(name):
                assert self.directory.get(name).started_ms > started_ms


TestLeavingUpstreams = LeavingUpstreams.TestCase
