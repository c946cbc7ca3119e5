"""Who writes the ledgers, for dozens of processes that start and die at any time."""

from random import Random

import pytest

from ragwortkeel.budget.write_order import (
    FALLBACK_WRITES_PER_SECOND,
    LATENCY_CLASS_SECONDS,
    MAX_BACKOFF_SECONDS,
    RANK_DELAY_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
    UNREACHABLE_LATENCY_CLASS,
    FallbackWriter,
    Writer,
    backoff_seconds,
    first_writer,
    latency_class_of,
    rank_of,
    write_delay,
)

NAMES = [f"10.{zone}.0.{n}:7680" for zone in range(1, 4) for n in range(7)]
WRITERS = [Writer(name=name) for name in NAMES]


def test_all_agree_on_the_order_without_a_message():
    places = [
        rank_of(one, [other for other in WRITERS if other != one]) for one in WRITERS
    ]
    assert sorted(places) == list(range(len(WRITERS)))
    assert WRITERS[places.index(0)] == first_writer(WRITERS)


def test_a_process_that_hears_nobody_writes_at_once():
    assert rank_of(WRITERS[0], []) == 0
    assert write_delay(0) == RENEWAL_INTERVAL_SECONDS


def test_when_the_first_dies_the_second_stands_in_after_a_step():
    """Callers' tokens are not renewed for seconds after one process was killed.

    It wrote for all others, which still counted on it.
    """
    first = first_writer(WRITERS)
    left = [one for one in WRITERS if one != first]
    second = first_writer(left)
    assert (
        write_delay(rank_of(second, WRITERS))
        == RENEWAL_INTERVAL_SECONDS + RANK_DELAY_SECONDS
    )


def test_slow_processes_write_last():
    """Callers of all processes wait for a write over the slowest link of the fleet."""
    first = first_writer(WRITERS)
    slow = Writer(
        name=first.name,
        latency_class=latency_class_of(5 * LATENCY_CLASS_SECONDS, reachable=True),
    )
    others = [one for one in WRITERS if one != first]
    assert rank_of(slow, others) == len(others)
    assert first_writer([slow, *others]) != slow


def test_who_does_not_reach_the_platform_stands_behind_all_who_do():
    slowest = latency_class_of(60.0, reachable=True)
    assert slowest < latency_class_of(0.0, reachable=False) == UNREACHABLE_LATENCY_CLASS


def test_small_differences_in_speed_change_nothing():
    assert (
        latency_class_of(0.004, reachable=True)
        == latency_class_of(0.02, reachable=True)
        == 0
    )


def test_pauses_after_refusals_spread_a_crowd():
    pauses = [backoff_seconds(8, Random(seed)) for seed in range(50)]
    assert max(pauses) <= MAX_BACKOFF_SECONDS
    assert max(pauses) - min(pauses) > MAX_BACKOFF_SECONDS / 2


@pytest.mark.parametrize("processes", [5, 68, 1000])
def test_writes_of_those_that_nobody_answers_do_not_grow_with_the_fleet(processes):
    """Callers wait until a cut ends: 68 processes void each other's writes.

    The platform had become slow for a moment, so that each process took the one that
    wrote for all for dead and wrote by itself, which kept the platform slow.
    """
    seconds = 20.0
    fleet = [FallbackWriter(random=Random(seed)) for seed in range(processes)]
    writes = 0
    for step in range(int(seconds / 0.25)):
        now = step * 0.25
        writes += sum(one.may_write(processes=processes, now=now) for one in fleet)
    assert 0 < writes / seconds <= 1.5 * FALLBACK_WRITES_PER_SECOND


def test_who_is_answered_starts_to_wait_anew():
    one = FallbackWriter(random=Random(1))
    longest = 2 * 68 / FALLBACK_WRITES_PER_SECOND
    assert not one.may_write(processes=68, now=0.0)
    one.reset()
    assert not one.may_write(processes=68, now=longest)
    assert one.may_write(processes=68, now=2 * longest)


def test_a_slow_platform_has_few_writers_not_each_once():
    """Guards against a new writer each second, who has to read the ledgers first.

    Only who writes learns that writes take long; the others look quick.
    """
    latency_class_by_name = dict.fromkeys(NAMES, 0)
    wrote = []
    for _ in range(20):
        order = [
            Writer(name=name, latency_class=latency_class)
            for name, latency_class in latency_class_by_name.items()
        ]
        first = first_writer(order)
        latency_class_by_name[first.name] = latency_class_of(0.24, reachable=True)
        wrote.append(first.name)
    assert len(set(wrote)) <= 3


def test_a_slow_instance_is_followed_by_quick_ones():
    """Guards against an order that takes a slow writer for a slow platform."""
    latency_class_by_name = dict.fromkeys(NAMES, 0)
    slow = set(NAMES[:14])
    for _ in range(30):
        order = [
            Writer(name=name, latency_class=latency_class)
            for name, latency_class in latency_class_by_name.items()
        ]
        first = first_writer(order)
        seconds = 0.1 if first.name in slow else 0.01
        latency_class_by_name[first.name] = latency_class_of(seconds, reachable=True)
    assert first.name not in slow


def test_who_does_not_reach_a_slow_platform_stays_behind_all():
    writers = [Writer(name=NAMES[0], latency_class=UNREACHABLE_LATENCY_CLASS)]
    writers += [Writer(name=name, latency_class=6) for name in NAMES[1:4]]
    assert rank_of(writers[0], writers[1:]) == 3
