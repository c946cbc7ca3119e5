"""Load pattern: an overloaded upstream announces a limit for all processes together."""

from random import Random

import pytest

from ragwortkeel.policy.announced_limits import (
    CONFIRMATION_SECONDS,
    REPORTING_SECONDS,
    AnnouncedLimits,
    LimitAnnouncement,
)
from ragwortkeel.policy.fleet_rates import (
    DISCOVERY_SECONDS,
    ChosenSenders,
    EqualShare,
    FleetRates,
)

WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
BURST_REQUESTS = 5
"""Requests that the users' rule allows in any four seconds, beyond 1.5 times the
limit."""

SIMULATED_SECONDS = 12.0


class TestNewestAnnouncement:
    def test_answer_to_older_request_does_not_end_limit(self):
        """Guards against a limit that ends with a stream that began before it."""
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        assert not limits.record_answer("u1", None, sent_at=7.5, now=8.5)
        assert limits.limit_of("u1") == 1.2

    def test_answer_to_later_request_ends_limit(self):
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        assert limits.record_answer("u1", None, sent_at=8.1, now=8.5)
        assert limits.limit_of("u1") is None

    def test_limit_may_change_with_each_answer(self):
        limits = AnnouncedLimits()
        for at, limit in enumerate([1.2, 0.0, 40.0, 1.2]):
            assert limits.record_answer("u1", limit, sent_at=at, now=at + 0.5)
            assert limits.limit_of("u1") == limit

    def test_older_report_of_peer_does_not_restore_ended_limit(self):
        """Guards against a limit that peers report to each other endlessly."""
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        limits.record_answer("u1", None, sent_at=9.0, now=9.1)
        assert not limits.merge(
            "u1", LimitAnnouncement(per_second=1.2, effective_at=8.6)
        )

    def test_upstream_without_limit_is_not_stored(self):
        limits = AnnouncedLimits()
        assert not limits.record_answer("u1", None, sent_at=1.0, now=1.0)
        assert not limits.recent_own(1.0)

    def test_end_of_limit_is_reported_to_peers(self):
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        limits.record_answer("u1", None, sent_at=9.0, now=9.1)
        assert limits.recent_own(9.2)["u1"].per_second is None
        assert not limits.recent_own(9.0 + REPORTING_SECONDS)

    def test_end_of_limit_is_reported_for_some_seconds_only(self):
        """Guards against reports that name every upstream that ever had a limit."""
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        for at in range(9, 30):
            limits.record_answer("u1", None, sent_at=at, now=at + 0.1)
        assert not limits.recent_own(30.0)

    def test_removed_upstreams_are_discarded(self):
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        limits.retain(["u2"])
        assert limits.limit_of("u1") is None


def chosen_sharings(names):
    sharings = [ChosenSenders(own=own, names=frozenset(names)) for own in names]
    return [lambda sharing=sharing: sharing for sharing in sharings]


def equal_sharings(names):
    return [lambda: EqualShare(processes=len(names)) for _ in names]


def simulate_sends(sharings, limit, *, idle=0.0, seed=0, step=0.02):
    """Return when an upstream receives requests, with callers waiting at all processes.

    Before that all processes are idle for `idle` seconds, except for one request each.
    """
    limits = AnnouncedLimits()
    limits.merge("u1", LimitAnnouncement(per_second=limit, effective_at=1e9))
    rates = [
        FleetRates(sharing=sharing, random=Random(seed * 10_000 + i), started=0.0)
        for i, sharing in enumerate(sharings)
    ]
    start = DISCOVERY_SECONDS + idle
    bound = limits.fleet_rate("u1", start)
    for process in rates:
        process.may_send("u1", bound, now=DISCOVERY_SECONDS)
    sent = []
    for number in range(int(SIMULATED_SECONDS / step)):
        now = start + number * step
        for process in rates:
            while process.may_send("u1", bound, now=now):
                process.record_sent("u1")
                sent.append(now)
    return sent


def max_requests_per_window(sent):
    most = first = 0
    for last, at in enumerate(sent):
        while at - sent[first] >= WINDOW_SECONDS:
            first += 1
        most = max(most, last + 1 - first)
    return most


class TestSumOverTheFleet:
    @pytest.mark.parametrize("size", [3, 5, 30, 68, 1000])
    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.2, 10.0, 50.0])
    @pytest.mark.parametrize("idle", [0.0, 60.0])
    def test_sum_over_processes_stays_within_limit(self, size, limit, idle):
        """Guards against a sum of fractions, or of bursts, above the limit."""
        names = [f"process-{number}" for number in range(size)]
        step = 0.02 if size < 1000 else 0.1
        for seed in range(4 if size < 1000 else 1):
            sent = simulate_sends(
                chosen_sharings(names), limit, idle=idle, seed=seed, step=step
            )
            most = LIMIT_FACTOR * WINDOW_SECONDS * limit + BURST_REQUESTS
            assert 0 < max_requests_per_window(sent) <= most

    @pytest.mark.parametrize("size", [3, 5, 30, 68])
    def test_unconfirmed_limit_is_shared_by_all_processes(self, size):
        """Guards against a burst of all processes that don't know the limit."""
        names = [f"process-{number}" for number in range(size)]
        for seed in range(4):
            sent = simulate_sends(equal_sharings(names), 1.2, seed=seed)
            assert max_requests_per_window(sent) <= LIMIT_FACTOR * 4.8 + BURST_REQUESTS

    @pytest.mark.parametrize("limit", [10.0, 50.0])
    def test_large_limit_is_mostly_used(self, limit):
        """Guards against refusals while the upstream has headroom."""
        names = [f"process-{number}" for number in range(30)]
        sent = simulate_sends(chosen_sharings(names), limit)
        assert len(sent) >= 0.95 * limit * SIMULATED_SECONDS

    def test_large_limit_has_many_senders(self):
        """Guards against an upstream that most processes can't use any more."""
        limits = AnnouncedLimits()
        limits.merge("u1", LimitAnnouncement(per_second=20.0, effective_at=0.0))
        assert limits.fleet_rate("u1", 1.0).senders >= 30

    def test_limit_is_unconfirmed_after_some_seconds(self):
        """Guards against a limit that only stopped processes could end."""
        limits = AnnouncedLimits()
        limits.merge("u1", LimitAnnouncement(per_second=1.2, effective_at=0.0))
        assert limits.fleet_rate("u1", CONFIRMATION_SECONDS - 0.1).known_to_all
        assert not limits.fleet_rate("u1", CONFIRMATION_SECONDS).known_to_all
