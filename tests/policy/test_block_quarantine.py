"""Which prompt blocks are refused, and which are not, from reports of crashes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.block_quarantine import (
    CONFIRM_SECONDS,
    EARLY_TRIAL_SECONDS,
    EXPERIENCED_ANSWERS,
    INEXPERIENCED_TRIAL_SECONDS,
    MAX_REFUSED_BLOCKS,
    MAX_WORKED_BLOCKS,
    MIN_CRASHES,
    QUESTION_SECONDS,
    RETENTION_SECONDS,
    TRIAL_SECONDS,
    BlockQuarantine,
    Decision,
)
from ragwortkeel.policy.crash_evidence import EVIDENCE_SECONDS, MAX_CRASHES


def bad(number):
    """Return one request with the bad block, as a crash reports it."""
    return {f"bad{number}": ("common", "bad")}


def sound(number, subject="s1"):
    return {f"sound{number}": ("common", subject)}


def experienced():
    """Return the quarantine of a process that has had many answers."""
    quarantine = BlockQuarantine()
    for _ in range(EXPERIENCED_ANSWERS):
        quarantine.record_answer(("other",), now=0.0)
    return quarantine


def find(quarantine, now):
    """Return the blocks that are refused once the crashes so far are confirmed."""
    quarantine.questions(now)
    findings = quarantine.find(now + 2 * CONFIRM_SECONDS, wall_ms=1_000)
    return [finding.decision.block for finding in findings]


def is_refused(quarantine, *blocks, request="r", now=2.0):
    return quarantine.refused_block(blocks, request=request, now=now) is not None


class TestBadBlocks:
    def test_different_requests_at_three_crashes_accuse_their_common_block(self):
        quarantine = experienced()
        quarantine.record_answer(("common",), now=0.0)
        for number in range(MIN_CRASHES):
            assert not is_refused(quarantine, "common", "bad")
            runs = bad(number) | sound(number, f"s{number}")
            quarantine.record_crash(f"c{number}", runs, 1.0)
        assert find(quarantine, 1.0) == ["bad"]
        assert is_refused(quarantine, "other", "bad")
        assert not is_refused(quarantine, "common", "s1")

    def test_crashes_far_apart_accuse_a_block(self):
        quarantine = experienced()
        for number in range(MIN_CRASHES):
            quarantine.record_crash(f"c{number}", bad(number), 600.0 * number)
        assert find(quarantine, 600.0 * MIN_CRASHES) == ["bad"]

    def test_two_bad_blocks_are_both_found(self):
        quarantine = experienced()
        quarantine.record_answer(("common",), now=0.0)
        for number in range(MIN_CRASHES):
            beside = sound(number, f"s{number}")
            quarantine.record_crash(f"a{number}", bad(number) | beside, 1.0)
            other = {f"other{number}": ("common", "bad2")}
            quarantine.record_crash(f"b{number}", other | beside, 1.0)
        assert set(find(quarantine, 1.0)) == {"bad", "bad2"}

    def test_a_block_that_worked_is_refused_if_it_crashes_engines_later(self):
        """Guards against a block that stays trusted after a release of the engine."""
        quarantine = experienced()
        quarantine.record_answer(("common",), now=0.0)
        for number in range(6):
            now = 1.0 + 3.0 * number
            quarantine.record_crash(f"c{number}", sound(number, f"s{number}"), now)
        assert find(quarantine, 20.0) == ["common"]


class TestSoundBlocks:
    def test_a_loss_of_power_of_all_engines_accuses_no_block_that_worked(self):
        """Guards against a service that is refused after its engines were killed."""
        quarantine = experienced()
        quarantine.record_answer(("common", "s1"), now=0.0)
        for number in range(9):
            runs = sound(number) | sound(20 + number)
            quarantine.record_crash(f"c{number}", runs, 1.0 + number / 100)
        assert find(quarantine, 2.0) == []

    def test_one_request_that_runs_again_and_again_accuses_no_block(self):
        quarantine = experienced()
        for number in range(6):
            quarantine.record_crash(f"c{number}", sound(1), 1.0)
        assert find(quarantine, 1.0) == []

    def test_a_crash_that_a_refused_block_explains_accuses_no_other_block(self):
        quarantine = experienced()
        for number in range(MIN_CRASHES):
            quarantine.record_crash(f"c{number}", bad(number), 1.0)
        assert find(quarantine, 1.0) == ["bad"]
        for number in range(10, 20):
            # The sound ones beside it are reported first.
            quarantine.record_crash(f"c{number}", sound(number), 5.0 + number)
            quarantine.record_crash(f"c{number}", bad(number), 5.0 + number)
        assert find(quarantine, 30.0) == []

    def test_a_complete_answer_clears_a_block_of_earlier_crashes_only(self):
        quarantine = experienced()
        for number in range(2):
            quarantine.record_crash(f"c{number}", bad(number), 1.0)
        quarantine.record_answer(("bad",), now=2.0)
        quarantine.record_crash("c1", bad(7), 3.0)
        assert not quarantine._evidence.accusation("bad").crash_ids
        quarantine.record_crash("c2", bad(8), 3.0)
        assert quarantine._evidence.accusation("bad").crash_ids == {"c2"}

    def test_a_block_that_works_at_another_process_is_not_refused(self):
        """Guards against a process that has just started and accuses what works."""
        quarantine = experienced()
        for number in range(MIN_CRASHES):
            quarantine.record_crash(f"c{number}", sound(number), 5.0)
        assert set(quarantine.questions(5.0)) == {"common", "s1"}
        quarantine.record_worked({"common": 4.0, "s1": 4.0})
        assert quarantine.find(6.0, wall_ms=1) == []

    def test_old_crashes_accuse_nothing(self):
        quarantine = experienced()
        for number in range(MIN_CRASHES):
            now = number * EVIDENCE_SECONDS / 2
            quarantine.record_crash(f"c{number}", bad(number), now)
        assert find(quarantine, now) == []

    @given(st.data())
    def test_blocks_in_no_crash_without_the_bad_one_are_never_refused(self, data):
        """Guards against blame by company, whichever reports come first."""
        quarantine = experienced()
        reports = []
        for number in range(8):
            # No subject is in all crashes, as the bad block is.
            names = st.sampled_from(["s1", "s2"] if number % 2 else ["s3", "s4"])
            subjects = data.draw(st.lists(names, min_size=2, max_size=4))
            runs = bad(number)
            for index, subject in enumerate(subjects):
                runs |= sound(f"{number}-{index}", subject)
            reports += [(f"c{number}", dict([run])) for run in runs.items()]
        for crash_id, runs in data.draw(st.permutations(reports)):
            quarantine.record_crash(crash_id, runs, 1.0)
        assert find(quarantine, 1.0) == ["bad"]


class TestNoExperience:
    def crash_all(self, quarantine, waves):
        """Crash four engines in each wave: one under a sound request, three others."""
        for wave in range(waves):
            now = 1.0 + 2.0 * wave
            quarantine.record_crash(f"c{wave}-0", sound(wave, f"s{wave}"), now)
            for number in range(1, 4):
                request = bad(10 * wave + number // 2)
                quarantine.record_crash(f"c{wave}-{number}", request, now)
        return now

    def test_a_common_block_is_not_refused_after_a_start_of_all_processes(self):
        """Guards against refusals of all prompts when no process knows what works."""
        quarantine = BlockQuarantine()
        now = self.crash_all(quarantine, waves=1)
        assert find(quarantine, now) == []

    def test_the_experience_of_one_process_is_enough_for_all(self):
        quarantine = BlockQuarantine()
        now = self.crash_all(quarantine, waves=1)
        quarantine.record_crash("c9", bad(9), now)
        quarantine.record_worked({"common": now})
        quarantine.record_experience("peer", EXPERIENCED_ANSWERS, now)
        assert find(quarantine, now) == ["bad"]

    def test_peers_are_asked_until_they_answer(self):
        """Guards against a peer that was frozen when it was asked."""
        quarantine = BlockQuarantine()
        now = self.crash_all(quarantine, waves=1)
        assert quarantine.questions(now) == ("common",)
        assert quarantine.questions(now + QUESTION_SECONDS / 2) == ()
        assert quarantine.questions(now + QUESTION_SECONDS) == ("common",)

    def test_a_bad_block_is_found_beside_sound_requests(self):
        quarantine = BlockQuarantine()
        for number in range(8):
            runs = bad(number) | sound(number) | sound(10 + number)
            quarantine.record_crash(f"c{number}", runs, 1.0 + number // 4)
        assert find(quarantine, 2.0) == ["bad"]
        assert not is_refused(quarantine, "common", "s1")

    def test_a_sound_block_that_is_refused_is_soon_tried_without_other_suspects(self):
        """Guards against a service that is refused for good by a wrong guess."""
        quarantine = BlockQuarantine()
        now = self.crash_all(quarantine, waves=2)
        assert find(quarantine, now) == ["common"]
        later = now + 1.0 + INEXPERIENCED_TRIAL_SECONDS
        assert is_refused(quarantine, "common", "bad", request="bad", now=later)
        assert not is_refused(quarantine, "common", "s1", request="r", now=later)
        quarantine.record_answer(("common", "s1"), later)
        assert not is_refused(quarantine, "common", "s2", request="r2", now=later)


class TestDecisions:
    @pytest.fixture
    def finder(self):
        quarantine = experienced()
        for number in range(MIN_CRASHES):
            quarantine.record_crash(f"c{number}", bad(number), 1.0)
        find(quarantine, 1.0)
        return quarantine

    def test_other_processes_refuse_what_one_has_found(self, finder):
        peer = BlockQuarantine()
        assert all(peer.merge(decision, now=2.0) for decision in finder.decisions())
        assert is_refused(peer, "bad")
        (decision,) = finder.decisions()
        assert not peer.merge(decision, now=2.0)

    def test_a_complete_answer_releases_a_block_everywhere(self, finder):
        peer = BlockQuarantine()
        for decision in finder.decisions():
            peer.merge(decision, now=2.0)
        for decision in finder.record_answer(("bad",), now=3.0):
            peer.merge(decision, now=3.0)
        assert not is_refused(finder, "bad")
        assert not is_refused(peer, "bad")

    def test_a_block_is_refused_for_a_limited_time(self, finder):
        peer = BlockQuarantine()
        for decision in finder.decisions():
            peer.merge(decision, now=2.0)
        assert is_refused(peer, "bad", now=RETENTION_SECONDS)
        assert not is_refused(peer, "bad", now=2.0 + RETENTION_SECONDS)

    def test_an_older_decision_changes_nothing(self, finder):
        (refused,) = finder.decisions()
        release = Decision(block="bad", stamp=refused.stamp + 1, refused=False)
        assert finder.merge(release, now=2.0)
        assert not finder.merge(refused, now=2.0)
        assert not is_refused(finder, "bad")

    def test_only_the_finder_tries_a_block_again_with_one_request(self, finder):
        """Guards against trials that cost an engine at each process, or two here."""
        peer = BlockQuarantine()
        for decision in finder.decisions():
            peer.merge(decision, now=1.0)
        later = 2.0 + EARLY_TRIAL_SECONDS
        assert not is_refused(finder, "bad", request="trial", now=later)
        assert not is_refused(finder, "bad", request="trial", now=later)
        assert finder.is_suspect(("bad",), later)
        assert is_refused(finder, "bad", request="next", now=later + TRIAL_SECONDS / 2)
        assert is_refused(peer, "bad", now=later + TRIAL_SECONDS)


class TestBounds:
    def test_callers_that_name_new_blocks_all_the_time_fill_no_memory(self):
        quarantine = experienced()
        for number in range(2 * MAX_WORKED_BLOCKS):
            quarantine.record_answer((f"b{number}",), now=1.0)
        for number in range(2 * MAX_CRASHES):
            runs = {f"r{number}": (f"b{number}", f"c{number}")}
            quarantine.record_crash(f"c{number}", runs, 2.0)
        for number in range(2 * MAX_REFUSED_BLOCKS):
            quarantine.merge(Decision(block=f"b{number}", stamp=1), now=3.0)
        assert len(quarantine.decisions()) == MAX_REFUSED_BLOCKS
        assert len(quarantine._evidence._crash_by_id) <= MAX_CRASHES
        assert len(quarantine._evidence._crash_ids_by_block) <= 2 * MAX_CRASHES
        assert len(quarantine._worked_at_by_block) == MAX_WORKED_BLOCKS
