import pytest
from tests.policy.helpers import batch, filing, request, scheduler, upstreams

from ragwortkeel.policy.facts import (
    Assignment,
    Failure,
    LoadReport,
    Queued,
    Reason,
    Refusal,
    UpstreamFacts,
)
from ragwortkeel.policy.quarantine import Crash
from ragwortkeel.policy.retries import MAX_ATTEMPTS, RESERVE_RETRIES, RETRY_FRACTION


def learn(made, seconds=1.0, first_token=0.2):
    """Complete one request, so that the scheduler has estimates."""
    made.offer(request("learn"), now=0.0)
    made.record_first_token("learn", now=first_token)
    made.record_finish("learn", now=seconds)


class TestOffer:
    def test_headroom_means_dispatch(self):
        assert isinstance(scheduler().offer(request("r1"), now=0.0), Assignment)

    def test_no_upstream_is_refused_with_retry_delay(self):
        refusal = scheduler(0).offer(request("r1"), now=0.0)
        assert refusal.reason is Reason.NO_UPSTREAM
        assert refusal.retry_after_seconds > 0

    def test_full_upstream_queues_then_dispatches(self):
        made = scheduler(1, initial_limit=1)
        made.offer(request("r1"), now=0.0)
        assert isinstance(made.offer(request("r2"), now=0.1), Queued)
        assert made.next_decisions(now=0.2) == ()
        made.record_finish("r1", now=0.5)
        (assignment,) = made.next_decisions(now=0.5)
        assert assignment.request.request_id == "r2"

    def test_batch_leaves_headroom_for_interactive(self):
        made = scheduler(1, initial_limit=10, batch_fraction=0.8)
        answers = [made.offer(batch(f"b{i}"), now=0.0) for i in range(12)]
        assert sum(isinstance(each, Assignment) for each in answers) == 8
        assert isinstance(made.offer(request("chat"), now=0.0), Assignment)


class TestFinalAtOnce:
    """Refusals are returned at once."""

    def test_wait_too_long_is_refused_when_offered(self):
        made = scheduler(1, initial_limit=1)
        learn(made, seconds=2.0)
        made.offer(request("r1", deadline=30.0, first_token_deadline=30.0), now=1.0)
        refusal = made.offer(request("r2", first_token_deadline=2.5), now=1.0)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.FIRST_TOKEN
        assert refusal.retry_after_seconds > 0
        assert not refusal.may_have_run

    def test_queued_request_is_refused_when_it_expires(self):
        made = scheduler(1, initial_limit=1)
        made.offer(request("r1", deadline=90.0, first_token_deadline=90.0), now=0.0)
        assert isinstance(
            made.offer(request("r2", first_token_deadline=1.5), 0.0), Queued
        )
        assert made.next_wake_at() == 1.5
        assert made.next_decisions(now=1.5) == ()
        (refusal,) = made.next_decisions(now=1.5001)
        assert refusal.request.request_id == "r2"
        assert made.next_wake_at() is None

    def test_displaced_request_is_refused_by_next_decisions(self):
        """A large customer's requests fill the queue; a small customer sends one."""
        made = scheduler(1, initial_limit=1, max_queued_requests=4)
        made.offer(batch("first"), now=0.0)
        for i in range(4):
            made.offer(batch(f"flood{i}", customer="large"), now=0.0)
        assert isinstance(made.offer(batch("s", customer="small"), now=0.0), Queued)
        (refusal,) = made.next_decisions(now=0.0)
        assert refusal.request.customer == "large"
        assert refusal.reason is Reason.FAIR_SHARE

    def test_queued_requests_are_refused_without_upstreams(self):
        made = scheduler(1, initial_limit=1)
        made.offer(request("r1"), now=0.0)
        made.offer(request("r2"), now=0.0)
        made.set_upstreams([], now=0.1)
        (refusal,) = made.next_decisions(now=0.1)
        assert refusal.reason is Reason.NO_UPSTREAM


class TestFailures:
    def test_retry_uses_another_upstream(self):
        made = scheduler()
        first = made.offer(request("r1"), now=0.0)
        second = made.record_failure("r1", Failure.UNREACHABLE, now=0.1)
        assert second.attempt == 2
        assert second.upstream != first.upstream

    def test_must_not_repeat_is_not_retried_if_it_may_have_run(self):
        made = scheduler()
        made.offer(filing("f1"), now=0.0)
        refusal = made.record_failure("f1", Failure.UNREACHABLE, now=0.1)
        assert refusal.reason is Reason.MUST_NOT_REPEAT
        assert refusal.may_have_run

    @pytest.mark.parametrize("failure", [Failure.OVERLOADED, Failure.TURNED_AWAY])
    def test_must_not_repeat_is_retried_if_it_did_not_run(self, failure):
        made = scheduler()
        first = made.offer(filing("f1"), now=0.0)
        second = made.record_failure("f1", failure, now=0.1)
        assert isinstance(second, Assignment)
        assert second.upstream != first.upstream

    def test_attempts_are_bounded(self):
        made = scheduler(9)
        made.offer(request("r1"), now=0.0)
        answers = [
            made.record_failure("r1", Failure.ERROR, now=0.1)
            for _ in range(MAX_ATTEMPTS)
        ]
        assert answers[-1].reason is Reason.ATTEMPTS

    def test_retry_budget_bounds_the_extra_work(self):
        """A zone fails under load: each request fails, and the retries stay bounded."""
        made = scheduler(9)
        for i in range(100):
            made.offer(request(f"r{i}"), now=0.0)
        answers = [
            made.record_failure(f"r{i}", Failure.ERROR, now=0.1) for i in range(100)
        ]
        spent = [a for a in answers if isinstance(a, Refusal)]
        assert sum(isinstance(a, Assignment | Queued) for a in answers) <= 15
        assert {refusal.reason for refusal in spent} == {Reason.RETRY_BUDGET}

    def test_retry_budgets_are_per_back_end(self):
        """Guards against a retry budget over all back ends of a router."""
        made = scheduler(9)
        apps = [UpstreamFacts(name=f"a{i}", back_end="app", zone="a") for i in range(3)]
        made.set_upstreams([*upstreams(9), *apps], now=0.0)
        retries = 0
        for i in range(40):
            for j in range(3):
                made.offer(request(f"r{i}-{j}"), now=float(i))
                made.record_finish(f"r{i}-{j}", now=float(i))
            made.offer(request(f"a{i}", back_ends=("app",), deadline=99.0), float(i))
            answer = made.record_failure(f"a{i}", Failure.ERROR, now=float(i))
            retries += not isinstance(answer, Refusal)
            made.record_disconnect(f"a{i}", now=float(i))
        assert 0 < retries <= RESERVE_RETRIES + 40 * RETRY_FRACTION

    def test_expired_retry_may_have_run(self):
        """Guards against a retry of a request that may have run.

        An attempt breaks off, its retry is queued and expires.  If the refusal said
        that it had not run, the caller would send it again.
        """
        made = scheduler(2, initial_limit=1)
        made.offer(request("r1"), now=0.0)
        made.offer(request("r2"), now=0.0)
        made.record_load(
            LoadReport(upstream="m0", running=5, waiting=0, limit=1), now=0.0
        )
        made.record_load(
            LoadReport(upstream="m1", running=5, waiting=0, limit=1), now=0.0
        )
        assert isinstance(made.record_failure("r1", Failure.ERROR, now=0.1), Queued)
        (refusal,) = made.next_decisions(now=2.0)
        assert refusal.may_have_run

    def test_retry_without_headroom_does_not_block_others(self):
        """Guards against a request queued because an earlier retry found no headroom.

        The retry avoids the upstream that failed it, and only that one has headroom;
        the lack of headroom does not hold for the next request.
        """
        made = scheduler(2, failures_to_eject=9)
        first = made.offer(request("r1"), now=0.0)
        other = "m1" if first.upstream == "m0" else "m0"
        full = LoadReport(upstream=other, running=16, waiting=0, limit=16)
        made.record_load(full, now=0.1)
        assert isinstance(made.record_failure("r1", Failure.ERROR, now=0.2), Queued)
        made.record_disconnect("r1", now=0.2)
        assert made.offer(request("r2"), now=0.2).upstream == first.upstream

    def test_disconnect_frees_headroom(self):
        made = scheduler(1, initial_limit=1)
        made.offer(request("r1"), now=0.0)
        made.offer(request("r2"), now=0.0)
        assert made.record_disconnect("r1", now=0.1) == "m0"
        assert [a.request.request_id for a in made.next_decisions(now=0.1)] == ["r2"]
        assert made.record_disconnect("r2", now=0.2) == "m0"
        assert made.record_failure("r2", Failure.ERROR, now=0.3) is None


class TestProbes:
    def test_must_not_repeat_is_never_the_probe(self):
        """Guards against a must-not-repeat request that is lost as the probe.

        After a crash the first request to an upstream may fail, and the outcome of such
        a request would be unresolved until an operator settles it.
        """
        made = scheduler(2)
        lost = made.offer(request("r1"), now=0.0).upstream
        made.record_failure("r1", Failure.CRASHED, now=0.0)
        made.record_disconnect("r1", now=0.0)
        later = 2.0
        filed = [made.offer(filing(f"f{i}"), now=later).upstream for i in range(6)]
        assert lost not in filed
        others = [made.offer(request(f"p{i}"), now=later).upstream for i in range(6)]
        assert others.count(lost) == 1


class TestReports:
    def test_reported_headroom_is_shared_with_other_routers(self):
        made = scheduler(1)
        for i in range(3):
            made.offer(request(f"own{i}"), now=0.0)
        made.record_load(
            LoadReport(upstream="m0", running=12, waiting=0, limit=16), now=0.1
        )
        answers = [made.offer(request(f"r{i}"), now=0.1) for i in range(4)]
        assert [type(a) for a in answers] == [Assignment, Queued, Queued, Queued]

    def test_new_router_uses_busy_upstreams(self):
        made = scheduler(1)
        made.record_load(
            LoadReport(upstream="m0", running=12, waiting=0, limit=16), now=0.0
        )
        assert isinstance(made.offer(request("r1"), now=0.0), Assignment)

    def test_reported_limit_binds(self):
        made = scheduler(1)
        made.record_load(
            LoadReport(upstream="m0", running=0, waiting=0, limit=2), now=0.0
        )
        answers = [made.offer(request(f"r{i}"), now=0.0) for i in range(3)]
        assert [type(a) for a in answers] == [Assignment, Assignment, Queued]

    def test_load_of_other_routers_counts(self):
        made = scheduler(1, initial_limit=4)
        made.record_load(
            LoadReport(upstream="m0", running=3, waiting=1, limit=0), now=0.0
        )
        assert isinstance(made.offer(request("r1"), now=0.0), Queued)

    def test_new_upstream_starts_with_low_traffic(self):
        made = scheduler(2, initial_limit=10)
        made.set_upstreams(upstreams(3), now=1.0)
        answers = [made.offer(request(f"r{i}"), now=1.0) for i in range(21)]
        taken = [a.upstream for a in answers if isinstance(a, Assignment)]
        assert taken.count("m2") == 1


class TestQuarantine:
    def crash(self, made, crash_id, *names):
        prints = frozenset(f"body-{name}" for name in names)
        made.record_crash(Crash(crash_id=crash_id, fingerprints=prints), now=0.0)

    def test_suspects_of_one_crash_run_on_different_upstreams(self):
        made = scheduler(3)
        self.crash(made, "c1", "a", "b", "c")
        places = [made.offer(request(name), now=0.0).upstream for name in "abc"]
        assert len(set(places)) == 3

    def test_queued_suspect_is_not_dispatched(self):
        made = scheduler(1, initial_limit=1)
        made.offer(request("r1"), now=0.0)
        made.offer(request("poison"), now=0.0)
        alone = frozenset(["body-poison"])
        made.record_crash(Crash(crash_id="c", fingerprints=alone, alone=True), now=0.1)
        made.record_finish("r1", now=0.2)
        (refusal,) = made.next_decisions(now=0.2)
        assert refusal.reason is Reason.QUARANTINED

    def test_isolated_run_then_refusal(self):
        made = scheduler(2)
        self.crash(made, "c1", "poison")
        self.crash(made, "c2", "poison")
        assert isinstance(made.offer(request("poison"), now=0.0), Queued)
        (alone,) = made.next_decisions(now=0.0)
        assert alone.alone
        others = [made.offer(request(f"r{i}"), now=0.0).upstream for i in range(5)]
        assert alone.upstream not in others
        made.record_crash(
            Crash(crash_id="c3", fingerprints=frozenset(["body-poison"]), alone=True),
            now=0.5,
        )
        refusal = made.record_failure("poison", Failure.CRASHED, now=0.5)
        assert refusal.reason is Reason.QUARANTINED
        again = made.offer(request("new-key", fingerprint="body-poison"), now=0.6)
        assert again.reason is Reason.QUARANTINED


class TestLeave:
    """A run that may still end well is left only for one that is not refused."""

    def test_a_free_upstream_is_assigned(self):
        made = scheduler(2)
        first = made.offer(request("r1"), now=0.0)
        second = made.leave("r1", Failure.UNREACHABLE, now=0.1)
        assert (second.attempt, second.upstream != first.upstream) == (2, True)

    def test_a_request_that_may_wait_is_queued(self):
        made = scheduler(2, initial_limit=1)
        made.offer(request("r1"), now=0.0)
        made.offer(request("r2"), now=0.0)
        assert isinstance(made.leave("r1", Failure.UNREACHABLE, now=0.1), Queued)

    def test_nothing_changes_without_another_upstream(self):
        made = scheduler(1)
        made.offer(request("r1"), now=0.0)
        assert made.leave("r1", Failure.UNREACHABLE, now=0.1) is None
        assert made.record_disconnect("r1", now=0.2) == "m0"

    def test_nothing_changes_without_retries(self):
        """Guards against a run that is given up for a retry that another one spent."""
        made = scheduler(3)
        ids = [f"r{i}" for i in range(20)]
        for each in ids:
            made.offer(request(each), now=0.0)
        left = [made.leave(each, Failure.UNREACHABLE, now=0.1) for each in ids]
        stayed = [each for each, found in zip(ids, left, strict=True) if found is None]
        assert stayed and len(stayed) >= 20 - RESERVE_RETRIES
        assert all(made.record_disconnect(each, now=0.2) for each in stayed)

    def test_nothing_changes_after_the_last_attempt(self):
        made = scheduler(5)
        made.offer(request("r1"), now=0.0)
        for _ in range(MAX_ATTEMPTS - 1):
            assert made.leave("r1", Failure.UNREACHABLE, now=0.1)
        assert made.leave("r1", Failure.UNREACHABLE, now=0.1) is None
        assert made.record_disconnect("r1", now=0.2)

    def test_a_request_that_must_not_repeat_stays(self):
        made = scheduler(2)
        made.offer(filing("f1"), now=0.0)
        assert made.leave("f1", Failure.UNREACHABLE, now=0.1) is None
