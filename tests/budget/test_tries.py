"""The start of the growth of caps after attempts that succeed, fail or stay open."""

import pytest

from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.write_attempts import WriteAttempts


def reading(now):
    return Reading(monotonic=now, boot=now, wall=now)


def attempts_at(*times, delegated=True):
    attempts = WriteAttempts()
    for now in times:
        attempts.record_attempt(reading(now), delegated=delegated)
    return attempts


def test_failed_attempts_do_not_postpone_growth():
    """Guards against refusals during an outage as caps never begin to grow.

    Each process attempts a write, or delegates to peers that do, every half second.
    """
    attempts = attempts_at(1.0)
    attempts.record_success(1.0)
    for now in (2.0, 2.5, 3.0):
        attempts.record_attempt(reading(now), delegated=True)
        attempts.record_failure(now)
    assert attempts.latest.boot == 1.0
    assert not attempts.any_delegated


@pytest.mark.parametrize("delegated", [False, True])
def test_an_attempt_without_an_answer_counts(delegated):
    attempts = attempts_at(1.0)
    attempts.record_success(1.0)
    attempts.record_attempt(reading(4.0), delegated=delegated)
    assert attempts.latest.boot == 4.0
    assert attempts.any_delegated == delegated


def test_a_success_closes_all_earlier_attempts_and_no_later_one():
    attempts = attempts_at(1.0, 2.0, 3.0)
    attempts.record_success(2.0)
    assert attempts.get_delegated(1.0) is None
    assert attempts.get_delegated(3.0) is not None
    attempts.record_failure(3.0)
    assert attempts.latest.boot == 2.0


def test_a_late_answer_does_not_move_the_time_back():
    attempts = attempts_at(1.0, 2.0)
    attempts.record_success(2.0)
    attempts.record_success(1.0)
    assert attempts.latest.boot == 2.0


def test_own_writes_fail_and_delegations_stay_open():
    attempts = attempts_at(1.0, delegated=True)
    attempts.record_attempt(reading(2.0), delegated=False)
    attempts.record_own_failures()
    assert attempts.any_delegated
    assert attempts.latest.boot == 1.0
    attempts.record_failure(1.0)
    assert not attempts.any_open
