"""Patterns of load: slow upstreams, spells of noise, recovery, restarts, slow links."""

from random import Random

import pytest

from ragwortkeel.policy.upstream_speed import (
    SpeedReport,
    UpstreamSpeeds,
)
from ragwortkeel.policy.usual_times import MAX_FACTOR

NAMES = tuple(f"u{n}" for n in range(9))


def known(*, started_ms=0):
    return {(name, started_ms): "app" for name in NAMES}


class Process:
    """One process whose upstreams take 0.1 s, times a factor for some."""

    def __init__(self):
        self.speeds = UpstreamSpeeds()
        self.speeds.set_upstreams(known(), now=0.0)
        self.now = 0.0
        self.random = Random(4)

    def run(self, seconds, slow=None, skipped=(), per_second=4, reports=()):
        """Let each upstream answer, then update, as a worker does."""
        for _ in range(round(seconds * 5)):
            self.now += 0.2
            for name in NAMES:
                if name not in skipped and self.random.random() < per_second / 5:
                    took = 0.1 * (slow or {}).get(name, 1.0)
                    self.speeds.record_answer((name, 0), seconds=took, now=self.now)
            self.speeds.update(reports, now=self.now)
        return self

    def factor(self, name="u0"):
        return self.speeds.factor((name, 0))


def test_an_upstream_that_becomes_slow_shows_within_two_seconds():
    """Guards against work that queues at an engine while it is 3.5 times as slow."""
    process = Process().run(10).run(2, slow={"u0": 3.5})
    assert process.factor() > 1.25
    assert process.factor("u1") == 1.0
    assert process.run(2, slow={"u0": 3.5}).factor() > 1.8


def test_an_upstream_that_recovers_is_found_out():
    process = Process().run(10).run(6, slow={"u0": 3.5}).run(4)
    assert process.factor() < 1.5


def test_a_slow_upstream_that_gets_no_requests_is_tried_again():
    """Guards against an estimate that keeps all work away and so never changes."""
    process = Process().run(10).run(6, slow={"u0": 3.5}).run(6, skipped={"u0"})
    assert process.factor() < 1.5


def test_a_third_that_is_slower_for_good_keeps_its_factor():
    """Guards against usual times that follow the slow upstreams."""
    slow = dict.fromkeys(NAMES[:3], 1.3)
    process = Process().run(60, slow=slow)
    assert process.factor() == pytest.approx(1.3, abs=0.1)
    assert process.factor("u8") == 1.0


def test_one_slow_sample_moves_no_work():
    process = Process().run(10).run(5, skipped={"u0"})
    process.speeds.record_answer(("u0", 0), seconds=9.0, now=process.now)
    process.speeds.update((), now=process.now)
    assert process.factor() == 1.0


def test_a_spell_of_noise_moves_little_work():
    """Guards against processes that avoid an upstream together, once it is over."""
    process = Process().run(10).run(0.6, slow={"u0": 2.5})
    assert process.factor() < 1.1
    assert process.run(3).factor() < 1.1


@pytest.mark.parametrize("slow_link", [True, False])
def test_what_is_slow_at_all_upstreams_changes_nothing(slow_link):
    """Guards against factors from a slow link, or from a service under high load."""
    all_slow = dict.fromkeys(NAMES, 3.0)
    process = Process().run(10).run(4, slow=all_slow)
    assert {process.factor(name) for name in NAMES} == {1.0}
    assert not process.speeds.own_report(process.now).slowness_by_upstream


def test_few_answers_give_no_factor():
    process = Process()
    process.speeds.record_answer(("u0", 0), seconds=9.0, now=0.1)
    process.speeds.update((), now=0.2)
    assert process.factor() == 1.0


def test_a_new_instance_starts_without_samples_and_reports():
    """Guards against work that is kept from an upstream which restarted."""
    process = Process().run(10).run(6, slow={"u0": 3.5})
    process.speeds.set_upstreams(known(started_ms=7), now=process.now)
    late = SpeedReport(slowness_by_upstream={"u0": 4.0}, received_at=process.now + 0.5)
    process.speeds.update([late], now=process.now + 1.0)
    assert process.speeds.factor(("u0", 7)) == 1.0
    assert process.factor() == 1.0
    # An answer of the previous instance may still arrive.
    process.speeds.record_answer(("u0", 0), seconds=9.0, now=process.now)


def test_a_load_that_explains_the_time_is_no_slowness():
    """Guards against an engine that looks slow because long prompts are sent to it."""
    process = Process()
    for step in range(100):
        for name in NAMES:
            tokens = 12_000 if name == "u0" or step % 4 == 0 else 800
            process.speeds.record_answer(
                (name, 0), seconds=0.05 + tokens / 112_000, load_tokens=tokens, now=step
            )
        process.speeds.update((), now=step)
    assert process.factor() == 1.0


def reports(count, slowness, samples, at):
    return [
        SpeedReport(
            slowness_by_upstream={"u0": slowness, "unknown": 4.0},
            samples_by_upstream={"u0": samples},
            received_at=at,
        )
        for _ in range(count)
    ]


def test_peers_with_one_sample_each_show_a_slow_upstream_together():
    """Guards against a change that no process of a large fleet sees soon enough."""
    process = Process().run(10).run(4, skipped={"u0"})
    process.speeds.update(reports(1, 3.5, 1.0, process.now), now=process.now)
    assert process.factor() < 1.4
    process.speeds.update(reports(5, 3.5, 1.0, process.now), now=process.now)
    assert process.factor() > 2.0


def test_a_report_counts_less_with_age_and_by_its_samples():
    process = Process().run(10).run(4, skipped={"u0"})
    factors = []
    for slow_samples, age in ((4.0, 0.0), (4.0, 3.0), (0.5, 0.0)):
        found = reports(1, 4.0, slow_samples, process.now - age)
        found += reports(1, 1.0, 1.0, process.now)
        process.speeds.update(found, now=process.now)
        factors.append(process.factor())
    assert factors[0] > 1.5
    assert factors[1:] == [1.0, 1.0]


def test_values_of_peers_are_bounded():
    """Guards against one process that keeps all work from an upstream."""
    process = Process().run(10)
    process.speeds.update(reports(9, 100.0, 1e6, process.now), now=process.now)
    assert process.factor() <= MAX_FACTOR


def test_reports_hold_what_differs_here_or_in_the_fleet():
    """Guards against a mean over only those processes that measured a slow answer."""
    process = Process().run(10)
    assert not process.speeds.own_report(process.now).slowness_by_upstream
    process.speeds.update(reports(9, 4.0, 4.0, process.now), now=process.now)
    own = process.speeds.own_report(process.now)
    assert own.slowness_by_upstream == {"u0": 1.0}
    assert own.samples_by_upstream["u0"] > 1.0


def test_a_change_is_told_once_and_at_a_bounded_rate():
    """Guards against a log line each time that a factor passes the threshold."""
    process = Process().run(15).run(3, slow={"u0": 3.5})
    (change,) = process.speeds.drain_changes(process.now)
    assert (change.upstream, change.was, change.source) == ("u0", 1.0, "answers")
    assert change.factor > 1.3
    assert change.samples > 3.0
    assert change.age_seconds < 1.0
    process.run(6)
    assert not process.speeds.drain_changes(process.now)
    process.run(60)
    (change,) = process.speeds.drain_changes(process.now)
    assert (change.upstream, change.factor) == ("u0", 1.0)
