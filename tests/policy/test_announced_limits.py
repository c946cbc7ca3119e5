"""Pattern of load: an overloaded upstream limits all processes together."""

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
TIMES_THE_LIMIT = 1.5
AND_REQUESTS = 5
"""Of the users' rule on any four seconds."""

PLAYED_SECONDS = 12.0


class TestNewestStatement:
    def test_an_answer_to_an_older_request_does_not_end_a_limit(self):
        """Guards against a limit that ends with a stream that began before it."""
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        assert not limits.record_answer("u1", None, sent_at=7.5, now=8.5)
        assert limits.limit_of("u1") == 1.2

    def test_the_answer_to_a_later_request_ends_it(self):
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        assert limits.record_answer("u1", None, sent_at=8.1, now=8.5)
        assert limits.limit_of("u1") is None

    def test_a_limit_may_change_with_each_answer(self):
        limits = AnnouncedLimits()
        for at, limit in enumerate([1.2, 0.0, 40.0, 1.2]):
            assert limits.record_answer("u1", limit, sent_at=at, now=at + 0.5)
            assert limits.limit_of("u1") == limit

    def test_what_a_peer_heard_before_does_not_bring_an_ended_limit_back(self):
        """Guards against a limit that peers tell each other for ever."""
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        limits.record_answer("u1", None, sent_at=9.0, now=9.1)
        assert not limits.merge(
            "u1", LimitAnnouncement(per_second=1.2, effective_at=8.6)
        )

    def test_upstreams_that_never_named_one_leave_nothing(self):
        limits = AnnouncedLimits()
        assert not limits.record_answer("u1", None, sent_at=1.0, now=1.0)
        assert not limits.recent_own(1.0)

    def test_peers_hear_of_an_end_too(self):
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        limits.record_answer("u1", None, sent_at=9.0, now=9.1)
        assert limits.recent_own(9.2)["u1"].per_second is None
        assert not limits.recent_own(9.0 + REPORTING_SECONDS)

    def test_an_end_is_told_for_some_seconds_only(self):
        """Guards against reports that name every upstream that ever had a limit."""
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        for at in range(9, 30):
            limits.record_answer("u1", None, sent_at=at, now=at + 0.1)
        assert not limits.recent_own(30.0)

    def test_upstreams_that_are_gone_are_forgotten(self):
        limits = AnnouncedLimits()
        limits.record_answer("u1", 1.2, sent_at=7.0, now=8.0)
        limits.retain(["u2"])
        assert limits.limit_of("u1") is None


def chosen_among(names):
    sharings = [ChosenSenders(own=own, names=frozenset(names)) for own in names]
    return [lambda sharing=sharing: sharing for sharing in sharings]


def equal_among(names):
    return [lambda: EqualShare(processes=len(names)) for _ in names]


def sent_by(sharings, limit, *, idle=0.0, seed=0, step=0.02):
    """Return when an upstream gets requests, with callers waiting at all processes.

    Before that all processes are idle for some seconds, but for one request each.
    """
    limits = AnnouncedLimits()
    limits.merge("u1", LimitAnnouncement(per_second=limit, effective_at=1e9))
    rates = [
        FleetRates(sharing=sharing, random=Random(seed * 10_000 + i), started=0.0)
        for i, sharing in enumerate(sharings)
    ]
    begun = DISCOVERY_SECONDS + idle
    bound = limits.fleet_rate("u1", begun)
    for process in rates:
        process.may_send("u1", bound, now=DISCOVERY_SECONDS)
    sent = []
    for number in range(int(PLAYED_SECONDS / step)):
        now = begun + number * step
        for process in rates:
            while process.may_send("u1", bound, now=now):
                process.record_sent("u1")
                sent.append(now)
    return sent


def most_in_a_window(sent):
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
    def test_all_processes_together_keep_to_the_limit(self, size, limit, idle):
        """Guards against a sum of shares, or of what idle processes saved up."""
        names = [f"process-{number}" for number in range(size)]
        step = 0.02 if size < 1000 else 0.1
        for seed in range(4 if size < 1000 else 1):
            sent = sent_by(chosen_among(names), limit, idle=idle, seed=seed, step=step)
            most = TIMES_THE_LIMIT * WINDOW_SECONDS * limit + AND_REQUESTS
            assert 0 < most_in_a_window(sent) <= most

    @pytest.mark.parametrize("size", [3, 5, 30, 68])
    def test_an_unconfirmed_limit_is_shared_by_all_and_kept(self, size):
        """Guards against a burst of all who no longer know that the limit holds."""
        names = [f"process-{number}" for number in range(size)]
        for seed in range(4):
            sent = sent_by(equal_among(names), 1.2, seed=seed)
            assert most_in_a_window(sent) <= TIMES_THE_LIMIT * 4.8 + AND_REQUESTS

    @pytest.mark.parametrize("limit", [10.0, 50.0])
    def test_most_of_a_large_limit_is_used(self, limit):
        """Guards against callers refused though their upstream would take them."""
        names = [f"process-{number}" for number in range(30)]
        sent = sent_by(chosen_among(names), limit)
        assert len(sent) >= 0.95 * limit * PLAYED_SECONDS

    def test_a_large_limit_is_not_for_a_few_processes(self):
        """Guards against an upstream that most processes may not use any more."""
        limits = AnnouncedLimits()
        limits.merge("u1", LimitAnnouncement(per_second=20.0, effective_at=0.0))
        assert limits.fleet_rate("u1", 1.0).senders >= 30

    def test_an_unconfirmed_limit_is_known_as_such(self):
        """Guards against a limit that only processes which are gone could end."""
        limits = AnnouncedLimits()
        limits.merge("u1", LimitAnnouncement(per_second=1.2, effective_at=0.0))
        assert limits.fleet_rate("u1", CONFIRMATION_SECONDS - 0.1).known_to_all
        assert not limits.fleet_rate("u1", CONFIRMATION_SECONDS).known_to_all
