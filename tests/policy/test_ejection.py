from math import ceil

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortkeel.policy.ejection import (
    FIRST_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    MIN_USABLE_FRACTION,
    Ejected,
    Ejections,
    Healthy,
    Probing,
)
from ragwortkeel.policy.facts import Failure

NAMES = ["m0", "m1", "m2", "m3", "m4"]


class TestEjecting:
    @pytest.mark.parametrize(
        ("failure", "needed"),
        [(Failure.ERROR, 3), (Failure.UNREACHABLE, 1), (Failure.CRASHED, 1)],
    )
    def test_failures_that_eject(self, failure, needed):
        ejections = Ejections()
        outcomes = [ejections.record_failure("m0", failure, 0.0) for _ in range(needed)]
        assert outcomes == [False] * (needed - 1) + [True]
        assert "m0" not in ejections.usable(NAMES, 0.5)

    @pytest.mark.parametrize("failure", [Failure.OVERLOADED, Failure.TURNED_AWAY])
    def test_turning_away_is_no_failure(self, failure):
        ejections = Ejections()
        assert not any(ejections.record_failure("m0", failure, 0.0) for _ in range(9))
        assert ejections.health("m0") == Healthy()

    def test_success_resets_error_count(self):
        ejections = Ejections()
        for _ in range(5):
            ejections.record_failure("m0", Failure.ERROR, 0.0)
            ejections.record_failure("m0", Failure.ERROR, 0.0)
            ejections.record_success("m0")
        assert ejections.health("m0") == Healthy()

    def test_requests_that_fail_together_eject_once(self):
        ejections = Ejections()
        for _ in range(20):
            ejections.record_failure("m0", Failure.CRASHED, 0.0)
        assert ejections.health("m0") == Ejected(
            until=FIRST_BACKOFF_SECONDS, ejections=1
        )

    @given(st.integers(1, 12), st.lists(st.integers(0, 11), max_size=60))
    def test_never_ejects_all(self, count, failing):
        """A router's own network card drops packets.

        Every upstream seems to fail.  Ejecting all would refuse every request,
        while some would have come through.
        """
        names = [f"m{i}" for i in range(count)]
        ejections = Ejections()
        for index in failing:
            ejections.record_failure(names[index % count], Failure.UNREACHABLE, 0.0)
        assert len(ejections.usable(names, 0.5)) >= ceil(MIN_USABLE_FRACTION * count)


class TestProbing:
    def ejected(self):
        ejections = Ejections()
        ejections.record_failure("m0", Failure.CRASHED, 0.0)
        return ejections

    def test_one_probe_at_a_time(self):
        ejections = self.ejected()
        assert ejections.usable(NAMES, FIRST_BACKOFF_SECONDS)["m0"]
        ejections.record_assignment("m0", FIRST_BACKOFF_SECONDS)
        assert "m0" not in ejections.usable(NAMES, FIRST_BACKOFF_SECONDS)
        assert ejections.record_success("m0")
        assert ejections.usable(NAMES, FIRST_BACKOFF_SECONDS)["m0"] is False

    def test_probe_without_verdict_is_repeated(self):
        """Guards against an upstream that stays ejected after a cancelled probe."""
        ejections = self.ejected()
        ejections.record_assignment("m0", 2.0)
        ejections.record_no_verdict("m0", 3.0)
        assert ejections.usable(NAMES, 3.0)["m0"]

    def test_backoff_doubles_up_to_maximum(self):
        ejections = self.ejected()
        backoffs = []
        for _ in range(10):
            until = ejections.health("m0").until
            ejections.record_assignment("m0", until)
            assert isinstance(ejections.health("m0"), Probing)
            ejections.record_failure("m0", Failure.UNREACHABLE, until)
            backoffs.append(ejections.health("m0").until - until)
        assert backoffs[:3] == [2.0, 4.0, 8.0]
        assert backoffs[-1] == MAX_BACKOFF_SECONDS
