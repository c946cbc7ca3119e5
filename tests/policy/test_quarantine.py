import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.quarantine import (
    MAX_TOLD_SUSPECTS,
    PROOF_SECONDS,
    RETENTION_SECONDS,
    UNPROVEN_SECONDS,
    Crash,
    Quarantine,
    Suspect,
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


def crashed_three_times(*names, gap_seconds):
    quarantine = Quarantine()
    for number in range(3):
        quarantine.record_crash(crash(f"c{number}", *names), number * gap_seconds)
    return quarantine


class TestUnproven:
    """Crashes of one moment may have another cause than the request."""

    def test_sound_requests_are_tried_again_after_a_crash_of_all_upstreams(self):
        """Guards against sound requests that are refused for a day."""
        quarantine = crashed_three_times("a", "b", gap_seconds=0.5)
        assert not quarantine.allow_retry("a", 1.0 + UNPROVEN_SECONDS - 0.1)
        assert quarantine.verdict("a") is Verdict.REFUSE
        assert quarantine.allow_retry("a", 1.0 + UNPROVEN_SECONDS)
        assert quarantine.verdict("a") is not Verdict.REFUSE
        assert quarantine.record_finish("a")
        assert quarantine.verdict("a") is Verdict.CLEAR
        assert quarantine.verdict("b") is Verdict.REFUSE

    def test_a_crash_of_the_second_try_refuses_for_good(self):
        """Guards against a request that crashes one more upstream again and again."""
        quarantine = crashed_three_times("poison", gap_seconds=0.5)
        later = 1.0 + UNPROVEN_SECONDS
        assert quarantine.allow_retry("poison", later)
        quarantine.record_crash(crash("c3", "poison"), later + 0.1)
        assert quarantine.verdict("poison") is Verdict.REFUSE
        assert not quarantine.allow_retry("poison", later + 10 * UNPROVEN_SECONDS)

    def test_crashes_at_different_times_are_proof(self):
        quarantine = crashed_three_times("poison", gap_seconds=PROOF_SECONDS / 2)
        assert not quarantine.allow_retry("poison", 1000.0)

    def test_a_body_that_is_not_refused_needs_no_retry(self):
        quarantine = Quarantine()
        quarantine.record_crash(crash("c1", "a"), 0.0)
        assert not quarantine.allow_retry("a", 1000.0)
        assert not quarantine.allow_retry("unknown", 1000.0)


class TestSuspects:
    """What a process that starts later is told."""

    def told(self, quarantine):
        later = Quarantine()
        later.merge(quarantine.suspects(), 60.0)
        return later

    def test_a_later_start_refuses_a_proven_request(self):
        """Guards against restarts that forget which request crashes upstreams."""
        quarantine = crashed_three_times("poison", gap_seconds=PROOF_SECONDS)
        later = self.told(quarantine)
        assert later.verdict("poison") is Verdict.REFUSE
        assert not later.allow_retry("poison", 1000.0)

    def test_a_later_start_refuses_an_unproven_one_at_its_next_crash(self):
        """Guards against sound requests that later starts refuse by hearsay."""
        later = self.told(crashed_three_times("poison", gap_seconds=0.5))
        assert later.verdict("poison") is Verdict.ALONE
        later.record_crash(crash("c9", "poison"), 60.0)
        assert later.verdict("poison") is Verdict.REFUSE
        assert not later.allow_retry("poison", 1000.0)

    def test_what_an_answer_has_cleared_stays_cleared(self):
        """Guards against a peer that restores a suspicion that was refuted."""
        quarantine = crashed_three_times("a", gap_seconds=PROOF_SECONDS)
        suspects = quarantine.suspects()
        assert quarantine.record_finish("a")
        assert quarantine.merge(suspects, 60.0) == 0
        assert quarantine.verdict("a") is Verdict.CLEAR

    def test_one_crash_is_not_told(self):
        quarantine = Quarantine()
        quarantine.record_crash(crash("c1", "a"), 0.0)
        assert quarantine.suspects() == []

    def test_the_newest_are_told_up_to_a_limit(self):
        quarantine = Quarantine()
        for number in range(MAX_TOLD_SUSPECTS + 1):
            for gap in (0.0, 1.0):
                crash_id = f"c{number}-{gap}"
                quarantine.record_crash(crash(crash_id, f"f{number}"), number + gap)
        names = [each.fingerprint for each in quarantine.suspects()]
        assert len(names) == MAX_TOLD_SUSPECTS
        assert names[0] == f"f{MAX_TOLD_SUSPECTS}"
        assert "f0" not in names

    @given(
        tellings=st.lists(
            st.builds(
                Suspect,
                fingerprint=st.sampled_from(["a", "b"]),
                crash_ids=st.lists(st.sampled_from("123456")).map(tuple),
                first_at=st.floats(),
                seen_at=st.floats(),
            ),
            max_size=6,
        )
    )
    def test_order_and_repetition_change_no_verdict(self, tellings):
        verdicts = []
        for order in (tellings, tellings[::-1], tellings * 2):
            quarantine = Quarantine()
            quarantine.merge(order, 0.0)
            verdicts.append([quarantine.verdict(name) for name in "ab"])
        assert verdicts[0] == verdicts[1] == verdicts[2]
