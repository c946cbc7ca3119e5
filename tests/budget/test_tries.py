"""From when on the caps of a process count, whatever becomes of its writes."""

import pytest

from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.write_attempts import WriteAttempts


def reading(now):
    return Reading(monotonic=now, boot=now, wall=now)


def begun(*times, delegated=True):
    tries = WriteAttempts()
    for now in times:
        tries.record_attempt(reading(now), delegated=delegated)
    return tries


def test_vain_tries_put_nothing_off():
    """Callers are refused for a whole outage: caps never begin to grow.

    Each process tried to write, or was asked by peers that tried, every half second.
    """
    tries = begun(1.0)
    tries.record_success(1.0)
    for now in (2.0, 2.5, 3.0):
        tries.record_attempt(reading(now), delegated=True)
        tries.record_failure(now)
    assert tries.latest.boot == 1.0
    assert not tries.any_delegated


@pytest.mark.parametrize("delegated", [False, True])
def test_a_try_whose_answer_is_lost_counts(delegated):
    tries = begun(1.0)
    tries.record_success(1.0)
    tries.record_attempt(reading(4.0), delegated=delegated)
    assert tries.latest.boot == 4.0
    assert tries.any_delegated == delegated


def test_what_is_done_voids_all_before_it_and_nothing_after():
    tries = begun(1.0, 2.0, 3.0)
    tries.record_success(2.0)
    assert tries.get_delegated(1.0) is None
    assert tries.get_delegated(3.0) is not None
    tries.record_failure(3.0)
    assert tries.latest.boot == 2.0


def test_a_late_answer_does_not_set_the_time_back():
    tries = begun(1.0, 2.0)
    tries.record_success(2.0)
    tries.record_success(1.0)
    assert tries.latest.boot == 2.0


def test_writes_that_were_outrun_fail_and_hand_overs_stay_open():
    tries = begun(1.0, delegated=True)
    tries.record_attempt(reading(2.0), delegated=False)
    tries.record_own_failures()
    assert tries.any_delegated
    assert tries.latest.boot == 1.0
    tries.record_failure(1.0)
    assert not tries.any_open
