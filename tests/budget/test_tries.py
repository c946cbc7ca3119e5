"""From when on the caps of a process count, whatever becomes of its writes."""

import pytest

from ragwortkeel.budget.clocks import Reading
from ragwortkeel.budget.tries import Tries


def reading(now):
    return Reading(monotonic=now, boot=now, wall=now)


def begun(*times, handed=True):
    tries = Tries()
    for now in times:
        tries.begin(reading(now), handed=handed)
    return tries


def test_vain_tries_put_nothing_off():
    """Callers are refused for a whole outage: caps never begin to grow.

    Each process tried to write, or was asked by peers that tried, every half second.
    """
    tries = begun(1.0)
    tries.done(1.0)
    for now in (2.0, 2.5, 3.0):
        tries.begin(reading(now), handed=True)
        tries.failed(now)
    assert tries.latest.boot == 1.0
    assert not tries.any_handed


@pytest.mark.parametrize("handed", [False, True])
def test_a_try_whose_answer_is_lost_counts(handed):
    tries = begun(1.0)
    tries.done(1.0)
    tries.begin(reading(4.0), handed=handed)
    assert tries.latest.boot == 4.0
    assert tries.any_handed == handed


def test_what_is_done_voids_all_before_it_and_nothing_after():
    tries = begun(1.0, 2.0, 3.0)
    tries.done(2.0)
    assert tries.handed(1.0) is None
    assert tries.handed(3.0) is not None
    tries.failed(3.0)
    assert tries.latest.boot == 2.0


def test_a_late_answer_does_not_set_the_time_back():
    tries = begun(1.0, 2.0)
    tries.done(2.0)
    tries.done(1.0)
    assert tries.latest.boot == 2.0


def test_writes_that_were_outrun_fail_and_hand_overs_stay_open():
    tries = begun(1.0, handed=True)
    tries.begin(reading(2.0), handed=False)
    tries.own_failed()
    assert tries.any_handed
    assert tries.latest.boot == 1.0
    tries.failed(1.0)
    assert not tries.any_open
