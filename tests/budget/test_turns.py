"""The order of writers among dozens of processes that start and crash at any time."""

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


def test_all_processes_compute_the_same_order():
    ranks = [
        rank_of(writer, [other for other in WRITERS if other != writer])
        for writer in WRITERS
    ]
    assert sorted(ranks) == list(range(len(WRITERS)))
    assert WRITERS[ranks.index(0)] == first_writer(WRITERS)


def test_a_process_without_peers_writes_at_each_interval():
    assert rank_of(WRITERS[0], []) == 0
    assert write_delay(0) == RENEWAL_INTERVAL_SECONDS


def test_after_a_crash_of_the_first_writer_the_second_writes_after_a_rank_delay():
    """Guards against seconds without renewals after a kill of the first writer.

    All other processes still wait for its writes.
    """
    first = first_writer(WRITERS)
    live = [writer for writer in WRITERS if writer != first]
    second = first_writer(live)
    assert (
        write_delay(rank_of(second, WRITERS))
        == RENEWAL_INTERVAL_SECONDS + RANK_DELAY_SECONDS
    )


def test_slow_processes_write_last():
    """Guards against waits of all callers for writes over the slowest link."""
    first = first_writer(WRITERS)
    slow = Writer(
        name=first.name,
        latency_class=latency_class_of(5 * LATENCY_CLASS_SECONDS, reachable=True),
    )
    others = [writer for writer in WRITERS if writer != first]
    assert rank_of(slow, others) == len(others)
    assert first_writer([slow, *others]) != slow


def test_a_process_that_can_not_reach_the_platform_comes_last():
    slowest = latency_class_of(60.0, reachable=True)
    assert slowest < latency_class_of(0.0, reachable=False) == UNREACHABLE_LATENCY_CLASS


def test_small_differences_in_speed_change_nothing():
    assert (
        latency_class_of(0.004, reachable=True)
        == latency_class_of(0.02, reachable=True)
        == 0
    )


def test_backoff_spreads_processes():
    pauses = [backoff_seconds(8, Random(seed)) for seed in range(50)]
    assert max(pauses) <= MAX_BACKOFF_SECONDS
    assert max(pauses) - min(pauses) > MAX_BACKOFF_SECONDS / 2


@pytest.mark.parametrize("processes", [5, 68, 1000])
def test_fallback_writes_do_not_grow_with_the_fleet(processes):
    """Guards against processes that make each other's writes fail.

    The platform becomes slow for a moment, so each of 68 processes assumes that the
    first writer crashed and writes by itself, which keeps the platform slow.
    """
    seconds = 20.0
    fallback_writers = [
        FallbackWriter(random=Random(seed)) for seed in range(processes)
    ]
    writes = 0
    for tick in range(int(seconds / 0.25)):
        now = tick * 0.25
        writes += sum(
            writer.may_write(processes=processes, now=now)
            for writer in fallback_writers
        )
    assert 0 < writes / seconds <= 1.5 * FALLBACK_WRITES_PER_SECOND


def test_a_reply_restarts_the_wait():
    writer = FallbackWriter(random=Random(1))
    longest = 2 * 68 / FALLBACK_WRITES_PER_SECOND
    assert not writer.may_write(processes=68, now=0.0)
    writer.reset()
    assert not writer.may_write(processes=68, now=longest)
    assert writer.may_write(processes=68, now=2 * longest)


def test_a_slow_platform_has_few_writers():
    """Guards against a new writer each second, which has to read the ledgers first.

    Only a process that writes measures long writes; the others seem to be fast.
    """
    latency_class_by_name = dict.fromkeys(NAMES, 0)
    writers_in_order = []
    for _ in range(20):
        writers = [
            Writer(name=name, latency_class=latency_class)
            for name, latency_class in latency_class_by_name.items()
        ]
        first = first_writer(writers)
        latency_class_by_name[first.name] = latency_class_of(0.24, reachable=True)
        writers_in_order.append(first.name)
    assert len(set(writers_in_order)) <= 3


def test_fast_instances_replace_a_slow_one():
    """Guards against an order that mistakes a slow writer for a slow platform."""
    latency_class_by_name = dict.fromkeys(NAMES, 0)
    slow = set(NAMES[:14])
    for _ in range(30):
        writers = [
            Writer(name=name, latency_class=latency_class)
            for name, latency_class in latency_class_by_name.items()
        ]
        first = first_writer(writers)
        seconds = 0.1 if first.name in slow else 0.01
        latency_class_by_name[first.name] = latency_class_of(seconds, reachable=True)
    assert first.name not in slow


def test_a_process_that_can_not_reach_a_slow_platform_comes_last():
    writers = [Writer(name=NAMES[0], latency_class=UNREACHABLE_LATENCY_CLASS)]
    writers += [Writer(name=name, latency_class=6) for name in NAMES[1:4]]
    assert rank_of(writers[0], writers[1:]) == 3
