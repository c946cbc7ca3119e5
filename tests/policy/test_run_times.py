"""Tests of the expected lengths of runs."""

from random import Random

from ragwortkeel.policy.run_times import MAX_KINDS, MIN_RUNS, RunTimes


def record_runs(times, kind, seconds, *, size=100):
    for each in seconds:
        times.record(kind, size=size, seconds=each)


class TestRunTimes:
    def test_nothing_is_expected_after_few_runs(self):
        """Guards against requests that are refused because of a single slow run."""
        times = RunTimes()
        record_runs(times, "chat", [9.0] * (MIN_RUNS - 1))
        assert times.expected_seconds("chat", size=100) is None

    def test_steady_runs_are_expected_to_take_as_long(self):
        times = RunTimes()
        record_runs(times, "chat", [2.0] * 60)
        assert 2.0 <= times.expected_seconds("chat", size=100) < 2.1

    def test_larger_answers_are_expected_to_take_longer(self):
        times = RunTimes()
        record_runs(times, "chat", [2.0] * 60)
        assert times.expected_seconds("chat", size=300) > 5.9

    def test_varying_runs_are_expected_to_take_longer_than_their_mean(self):
        """Guards against runs that begin with just the usual time left."""
        times = RunTimes()
        record_runs(times, "chat", [1.0, 3.0] * 30)
        assert times.expected_seconds("chat", size=100) > 3.0

    def test_runs_of_all_sizes_are_expected_to_take_about_as_long_as_they_do(self):
        """Guards against stops that refuse large requests which would end in time."""
        random = Random(1)
        times = RunTimes()
        too_long = 0
        for _ in range(1000):
            size = random.randint(5, 200)
            seconds = 0.5 + 0.02 * size
            expected = times.expected_seconds("chat", size=size)
            too_long += expected is not None and expected > 7.5
            times.record("chat", size=size, seconds=seconds)
        assert too_long < 10

    def test_the_number_of_kinds_is_bounded(self):
        times = RunTimes()
        for number in range(2 * MAX_KINDS):
            record_runs(times, f"s{number}", [1.0] * MIN_RUNS)
        last = 2 * MAX_KINDS - 1
        assert times.expected_seconds(f"s{last}", size=1) is not None
        assert times.expected_seconds("s0", size=1) is None
