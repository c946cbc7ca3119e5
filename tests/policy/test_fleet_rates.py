"""Pattern of load: upstreams come back cold and look idle to all processes at once."""

from random import Random

import pytest

from ragwortkeel.policy.fleet_rates import (
    DISCOVERY_SECONDS,
    SENDERS_PER_UPSTREAM,
    ChosenSenders,
    EqualShare,
    FleetRate,
    FleetRates,
    rate_fraction,
    sharing_among,
)

PER_SECOND = 10.0
RATE = FleetRate(per_second=PER_SECOND)
MOST_A_SECOND = 20
"""What such an upstream bears in any second: half as much again, and five."""

COLD_SECONDS = 3.0
STEP_SECONDS = 0.01


def equal(fleet):
    return [lambda: EqualShare(processes=len(fleet)) for _ in fleet]


def chosen(fleet):
    names = frozenset(fleet)
    return [lambda own=own: ChosenSenders(own=own, names=names) for own in fleet]


def starts(sharings, *, seed, upstream="u1", step=STEP_SECONDS):
    """Return when a cold upstream gets requests, with callers waiting everywhere."""
    processes = [
        FleetRates(sharing=sharing, random=Random(seed * 10_000 + index), started=0.0)
        for index, sharing in enumerate(sharings)
    ]
    sent = []
    begun = DISCOVERY_SECONDS + 1.0
    for number in range(int(COLD_SECONDS / step)):
        now = begun + number * step
        for process in processes:
            if process.may_send(upstream, RATE, now=now):
                process.record_sent(upstream)
                sent.append(now)
    return sent


def most_in_a_second(sent):
    return max(
        (sum(first <= at < first + 1.0 for at in sent) for first in sent), default=0
    )


def fleet(size):
    return [f"process-{number}" for number in range(size)]


class TestSumOverTheFleet:
    @pytest.mark.parametrize("size", [5, 30, 68, 1000])
    def test_equal_shares_keep_the_bound_of_the_upstream(self, size):
        """Guards against a crash by requests that each process alone finds few."""
        step = STEP_SECONDS if size < 1000 else 0.05
        for seed in range(8):
            sent = starts(equal(fleet(size)), seed=seed, step=step)
            assert 0 < most_in_a_second(sent) <= MOST_A_SECOND

    @pytest.mark.parametrize("size", [5, 30, 68])
    def test_chosen_senders_keep_to_the_rate(self, size):
        """Guards against a sum whose many terms meet by chance."""
        for seed in range(8):
            sent = starts(chosen(fleet(size)), seed=seed)
            assert 0 < most_in_a_second(sent) <= PER_SECOND + SENDERS_PER_UPSTREAM

    def test_processes_that_started_apart_keep_the_bound(self):
        """Guards against two halves that each choose senders of their own."""
        names = fleet(30)
        halves = names[:15], names[15:]
        sharings = [
            lambda own=own, half=half: sharing_among(
                own=own, others=frozenset(half) - {own}, ledger_processes=len(names)
            )
            for half in halves
            for own in half
        ]
        for seed in range(8):
            assert most_in_a_second(starts(sharings, seed=seed)) <= MOST_A_SECOND

    def test_processes_that_are_cut_off_keep_their_share(self):
        """Guards against a share of those that are heard: each half would send all."""
        sharings = equal(fleet(30))
        sent = starts(sharings[:15], seed=1) + starts(sharings[15:], seed=2)
        assert most_in_a_second(sorted(sent)) <= MOST_A_SECOND

    def test_a_process_that_has_just_started_sends_nothing(self):
        """Guards against a fleet that starts, and whose processes know nobody yet."""
        alone = FleetRates(
            sharing=lambda: EqualShare(processes=1), random=Random(0), started=10.0
        )
        for step in range(int(DISCOVERY_SECONDS / STEP_SECONDS) - 1):
            now = 10.0 + step * STEP_SECONDS
            assert not alone.may_send("u1", RATE, now=now)


class TestShares:
    def test_who_has_heard_of_all_holders_knows_who_is_chosen(self):
        others = frozenset(fleet(4))
        assert sharing_among(
            own="own", others=others, ledger_processes=5
        ) == ChosenSenders(own="own", names=others)
        assert sharing_among(
            own="own", others=others, ledger_processes=6
        ) == EqualShare(processes=6)

    def test_chosen_ones_have_the_whole_rate_and_others_nothing(self):
        names = fleet(30)
        shares = [rate_fraction(sharing(), "u1") for sharing in chosen(names)]
        assert sorted(shares)[-2:] == [0.5, 0.5]
        assert sum(shares) == 1.0

    def test_other_upstreams_have_other_senders(self):
        """Guards against two processes that alone serve a zone that comes back."""
        senders = set()
        for number in range(20):
            for own, sharing in zip(fleet(30), chosen(fleet(30)), strict=True):
                if rate_fraction(sharing(), f"u{number}"):
                    senders.add(own)
        assert len(senders) > 10

    def test_idle_time_saves_up_one_request_only(self):
        alone = FleetRates(
            sharing=lambda: EqualShare(processes=1), random=Random(0), started=0.0
        )
        alone.may_send("u1", RATE, now=4.0)
        assert alone.may_send("u1", RATE, now=60.0)
        alone.record_sent("u1")
        assert not alone.may_send("u1", RATE, now=60.0)
