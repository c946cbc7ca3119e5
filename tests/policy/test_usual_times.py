import pytest

from ragwortkeel.policy.usual_times import MAX_FACTOR, MIN_SAMPLES, UsualTimes


def test_a_size_of_load_is_compared_only_after_some_samples():
    """Guards against factors from the first answers after a start."""
    times = UsualTimes()
    assert [times.record("pool", 800.0, 0.1) for _ in range(MIN_SAMPLES)] == [
        None
    ] * MIN_SAMPLES
    assert times.record("pool", 800.0, 0.2) == pytest.approx(0.693, abs=0.01)
    assert times.record("pool", 20_000.0, 0.2) is None
    assert times.record("app", 800.0, 0.2) is None


def test_known_slowness_and_outliers_hardly_change_the_usual_time():
    """Guards against a usual time that follows one slow upstream."""
    times = UsualTimes()
    for _ in range(20):
        times.record("app", 0.0, 0.1)
    for _ in range(50):
        times.record("app", 0.0, 0.3, 1.0986)
    assert times.record("app", 0.0, 0.1) == pytest.approx(0.0, abs=0.01)
    assert times.record("app", 0.0, 90.0) < MAX_FACTOR
    assert times.record("app", 0.0, 0.1) == pytest.approx(0.0, abs=0.05)
