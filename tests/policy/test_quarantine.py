import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.quarantine import (
    RETENTION_SECONDS,
    Crash,
    Quarantine,
    Verdict,
    fingerprint,
)


def crash(crash_id, *names, alone=False):
    return Crash(crash_id=crash_id, fingerprints=frozenset(names), alone=alone)


class TestFingerprint:
    def test_identifies_the_body(self):
        assert fingerprint(b"{}") == fingerprint(b"{}") != fingerprint(b"{ }")


class TestVerdict:
    def test_poison_is_refused_after_one_run_alone(self):
        """One request crashes each engine that runs it, and its caller retries.

        At the first crash it runs beside others, at the second beside different ones,
        then alone.  From then on it is refused.
        """
        quarantine = Quarantine()
        quarantine.record_crash(crash("c1", "poison", "a", "b"), 0.0)
        assert quarantine.verdict("poison") is Verdict.SUSPECT
        quarantine.record_crash(crash("c2", "poison", "c"), 1.0)
        assert quarantine.verdict("poison") is Verdict.ALONE
        quarantine.record_crash(crash("c3", "poison", alone=True), 2.0)
        assert quarantine.verdict("poison") is Verdict.REFUSE

    def test_innocents_are_not_refused(self):
        """Requests ran beside the crashing one, one of them twice."""
        quarantine = Quarantine()
        quarantine.record_crash(crash("c1", "poison", "chat", "unlucky"), 0.0)
        quarantine.record_crash(crash("c2", "poison", "unlucky"), 1.0)
        assert quarantine.verdict("chat") is Verdict.SUSPECT
        assert quarantine.verdict("unlucky") is Verdict.ALONE
        assert quarantine.record_finish("unlucky")
        assert quarantine.verdict("unlucky") is Verdict.CLEAR
        assert not quarantine.record_crash(crash("c2", "unlucky"), 3.0)
        assert quarantine.verdict("unlucky") is Verdict.CLEAR

    def test_third_crash_refuses_without_report_of_isolation(self):
        """The router that ran the suspect alone crashes before it reports that."""
        quarantine = Quarantine()
        for crash_id in ("c1", "c2", "c3"):
            quarantine.record_crash(crash(crash_id, "poison"), 0.0)
        assert quarantine.verdict("poison") is Verdict.REFUSE

    def test_crashed_alone_is_not_cleared(self):
        quarantine = Quarantine()
        quarantine.record_crash(crash("c1", "poison", alone=True), 0.0)
        assert not quarantine.record_finish("poison")
        assert quarantine.verdict("poison") is Verdict.REFUSE


class TestReports:
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.booleans()),
            max_size=8,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_and_repeats_change_nothing(self, told, random):
        crashes = [crash(c, f, alone=alone) for c, f, alone in told]
        again = crashes * 2
        random.shuffle(again)
        one, other = Quarantine(), Quarantine()
        for each in crashes:
            one.record_crash(each, 0.0)
        for each in again:
            other.record_crash(each, 0.0)
        for name in "xyz":
            assert one.verdict(name) is other.verdict(name)

    def test_only_new_crashes_are_forwarded(self):
        quarantine = Quarantine()
        assert quarantine.record_crash(crash("c1", "a"), 0.0)
        assert not quarantine.record_crash(crash("c1", "a"), 1.0)
        assert quarantine.record_crash(crash("c1", "a", "b"), 2.0)


class TestRetention:
    @pytest.mark.parametrize("keep", [1, 3])
    def test_bounded(self, keep):
        quarantine = Quarantine(max_fingerprints=keep)
        for i in range(10):
            quarantine.record_crash(crash("c", f"f{i}"), float(i))
        kept = [i for i in range(10) if quarantine.verdict(f"f{i}") != Verdict.CLEAR]
        assert kept == list(range(10 - keep, 10))

    def test_discarded_after_a_day(self):
        quarantine = Quarantine()
        quarantine.record_crash(crash("c1", "poison", alone=True), 0.0)
        quarantine.record_crash(crash("c2", "other"), RETENTION_SECONDS + 1)
        assert quarantine.verdict("poison") is Verdict.CLEAR
