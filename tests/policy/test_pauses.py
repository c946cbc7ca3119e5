"""Pauses that an upstream asks one process for, in drawn histories."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ragwortkeel.policy.pauses import MAX_PAUSE_SECONDS, PROBE_TIMEOUT_SECONDS, Pauses

U1 = ("u1", 0)


class TestPauses:
    def test_of_overlapping_pauses_the_one_that_ends_last_counts(self):
        pauses = Pauses()
        assert pauses.record_pause(U1, 3.0, now=0.0)
        assert not pauses.record_pause(U1, 1.0, now=1.0)
        assert not pauses.may_send(U1, now=2.9)
        assert pauses.may_send(U1, now=3.0)

    def test_an_answer_to_an_earlier_request_does_not_end_a_pause(self):
        """Guards against a slow success that hides a later rejection."""
        pauses = Pauses()
        pauses.record_pause(U1, 3.0, now=1.0)
        assert not pauses.record_accepted(U1, sent_at=0.0)
        assert not pauses.may_send(U1, now=2.0)

    def test_one_request_probes_the_upstream_after_its_pause(self):
        """Guards against a queue that is rejected as a whole when a pause ends."""
        pauses = Pauses()
        pauses.record_pause(U1, 3.0, now=0.0)
        pauses.record_sent(U1, now=3.0)
        assert not pauses.may_send(U1, now=3.1)
        assert pauses.record_accepted(U1, sent_at=3.0)
        assert pauses.may_send(U1, now=3.1)

    def test_a_probe_without_an_answer_is_repeated(self):
        """Guards against an upstream that is never used again after a lost answer."""
        pauses = Pauses()
        pauses.record_pause(U1, 3.0, now=0.0)
        pauses.record_sent(U1, now=3.0)
        assert pauses.may_send(U1, now=3.0 + PROBE_TIMEOUT_SECONDS)

    def test_a_pause_ends_after_the_longest_time_at_last(self):
        pauses = Pauses()
        pauses.record_pause(U1, 1e12, now=0.0)
        assert pauses.may_send(U1, now=MAX_PAUSE_SECONDS)

    def test_the_next_instance_has_no_pause(self):
        pauses = Pauses()
        pauses.record_pause(U1, 3.0, now=0.0)
        assert pauses.may_send(("u1", 1), now=1.0)

    def test_removed_upstreams_are_forgotten(self):
        pauses = Pauses()
        pauses.record_pause(U1, 3.0, now=0.0)
        pauses.retain(set())
        assert pauses.may_send(U1, now=1.0)


class PausedUpstream(RuleBasedStateMachine):
    """Guards against requests in a pause, whatever the order of the answers."""

    def __init__(self):
        super().__init__()
        self.pauses = Pauses()
        self.now = 0.0
        self.paused_until = 0.0
        self.open_requests = []

    @rule(seconds=st.floats(min_value=0.01, max_value=4.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule()
    def send(self):
        if self.pauses.may_send(U1, now=self.now):
            assert self.now >= self.paused_until
            self.pauses.record_sent(U1, now=self.now)
            self.open_requests.append(self.now)

    @precondition(lambda self: self.open_requests)
    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]), data=st.data())
    def reject(self, seconds, data):
        self.open_requests.remove(data.draw(st.sampled_from(self.open_requests)))
        self.pauses.record_pause(U1, seconds, now=self.now)
        self.paused_until = max(self.paused_until, self.now + seconds)

    @precondition(lambda self: self.open_requests)
    @rule(data=st.data())
    def accept(self, data):
        sent_at = data.draw(st.sampled_from(self.open_requests))
        self.open_requests.remove(sent_at)
        self.pauses.record_accepted(U1, sent_at=sent_at)

    @rule()
    def is_used_at_last(self):
        later = max(self.now, self.paused_until) + PROBE_TIMEOUT_SECONDS
        assert self.pauses.may_send(U1, now=later)


TestPausedUpstream = PausedUpstream.TestCase
