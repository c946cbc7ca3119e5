"""Load pattern: upstreams return cold and look idle to all processes at once."""

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
MAX_REQUESTS_PER_SECOND = 20
"""Requests that such an upstream serves in any second: 1.5 times its rate, plus
five."""

COLD_SECONDS = 3.0
STEP_SECONDS = 0.01


def equal(fleet):
    return [lambda: EqualShare(processes=len(fleet)) for _ in fleet]


def chosen(fleet):
    names = frozenset(fleet)
    return [lambda own=own: ChosenSenders(own=own, names=names) for own in fleet]


def simulate_sends(sharings, *, seed, upstream="u1", step=STEP_SECONDS):
    """Return when a cold upstream receives requests, with callers at all processes."""
    processes = [
        FleetRates(sharing=sharing, random=Random(seed * 10_000 + index), started=0.0)
        for index, sharing in enumerate(sharings)
    ]
    sent = []
    start = DISCOVERY_SECONDS + 1.0
    for number in range(int(COLD_SECONDS / step)):
        now = start + number * step
        for process in processes:
            if process.may_send(upstream, RATE, now=now):
                process.record_sent(upstream)
                sent.append(now)
    return sent


def max_requests_in_a_second(sent):
    return max(
        (sum(first <= at < first + 1.0 for at in sent) for first in sent), default=0
    )


def fleet(size):
    return [f"process-{number}" for number in range(size)]


class TestSumOverTheFleet:
    @pytest.mark.parametrize("size", [5, 30, 68, 1000])
    def test_equal_shares_stay_within_upstream_bound(self, size):
        """Guards against a crash by a sum of requests that are few per process."""
        step = STEP_SECONDS if size < 1000 else 0.05
        for seed in range(8):
            sent = simulate_sends(equal(fleet(size)), seed=seed, step=step)
            assert 0 < max_requests_in_a_second(sent) <= MAX_REQUESTS_PER_SECOND

    @pytest.mark.parametrize("size", [5, 30, 68])
    def test_chosen_senders_stay_within_rate(self, size):
        """Guards against a sum whose many terms coincide by chance."""
        for seed in range(8):
            sent = simulate_sends(chosen(fleet(size)), seed=seed)
            assert (
                0 < max_requests_in_a_second(sent) <= PER_SECOND + SENDERS_PER_UPSTREAM
            )

    def test_partitioned_starts_stay_within_bound(self):
        """Guards against two halves of a fleet that each choose their own senders."""
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
            assert (
                max_requests_in_a_second(simulate_sends(sharings, seed=seed))
                <= MAX_REQUESTS_PER_SECOND
            )

    def test_partitioned_processes_use_equal_shares(self):
        """Guards against fractions by reachable processes: each half would send all."""
        sharings = equal(fleet(30))
        sent = simulate_sends(sharings[:15], seed=1) + simulate_sends(
            sharings[15:], seed=2
        )
        assert max_requests_in_a_second(sorted(sent)) <= MAX_REQUESTS_PER_SECOND

    def test_no_requests_during_discovery(self):
        """Guards against processes that have not discovered their peers."""
        alone = FleetRates(
            sharing=lambda: EqualShare(processes=1), random=Random(0), started=10.0
        )
        for step in range(int(DISCOVERY_SECONDS / STEP_SECONDS) - 1):
            now = 10.0 + step * STEP_SECONDS
            assert not alone.may_send("u1", RATE, now=now)


class TestShares:
    def test_chosen_senders_need_all_processes_discovered(self):
        others = frozenset(fleet(4))
        assert sharing_among(
            own="own", others=others, ledger_processes=5
        ) == ChosenSenders(own="own", names=others)
        assert sharing_among(
            own="own", others=others, ledger_processes=6
        ) == EqualShare(processes=6)

    def test_chosen_senders_use_full_rate(self):
        names = fleet(30)
        shares = [rate_fraction(sharing(), "u1") for sharing in chosen(names)]
        assert sorted(shares)[-2:] == [0.5, 0.5]
        assert sum(shares) == 1.0

    def test_senders_differ_by_upstream(self):
        """Guards against two processes as the only senders to a returning zone."""
        senders = set()
        for number in range(20):
            for own, sharing in zip(fleet(30), chosen(fleet(30)), strict=True):
                if rate_fraction(sharing(), f"u{number}"):
                    senders.add(own)
        assert len(senders) > 10

    def test_idle_process_accumulates_one_request(self):
        alone = FleetRates(
            sharing=lambda: EqualShare(processes=1), random=Random(0), started=0.0
        )
        alone.may_send("u1", RATE, now=4.0)
        assert alone.may_send("u1", RATE, now=60.0)
        alone.record_sent("u1")
        assert not alone.may_send("u1", RATE, now=60.0)
