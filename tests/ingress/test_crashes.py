"""Requests that crash each upstream that runs them."""

import curio
from tests.ingress.builders import upstream
from tests.ingress.in_process import answer_whole, reset, run_ingress

from ragwortkeel.ingress.crashes import SUSPICION_SECONDS, CrashDetector


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class TestCrashDetector:
    def crash(self, watch, name, *fingerprints):
        for one in fingerprints:
            watch.record_broken_run(upstream(name), one)
        watch.record_refused_connection(upstream(name))

    def test_a_body_at_three_crashes_is_refused(self):
        watch = CrashDetector(clock=Clock())
        for name in ("u1", "u2"):
            self.crash(watch, name, "poison")
            assert not watch.is_quarantined("poison")
        self.crash(watch, "u3", "poison")
        assert watch.is_quarantined("poison")
        assert len(watch.unreported) == 3

    def test_an_innocent_is_cleared_by_a_whole_answer(self):
        watch = CrashDetector(clock=Clock())
        for name in ("u1", "u2"):
            self.crash(watch, name, "poison", "innocent")
        watch.record_finished("innocent")
        self.crash(watch, "u3", "poison", "innocent")
        assert watch.is_quarantined("poison")
        assert not watch.is_quarantined("innocent")

    def test_lost_answers_of_a_working_upstream_are_no_crashes(self):
        watch = CrashDetector(clock=Clock())
        for _ in range(5):
            watch.record_broken_run(upstream("u1"), "body")
        assert not watch.is_quarantined("body")

    def test_a_break_long_before_the_upstream_went_down_counts_for_nothing(self):
        clock = Clock()
        watch = CrashDetector(clock=clock)
        watch.record_broken_run(upstream("u1"), "body")
        clock.now += SUSPICION_SECONDS
        watch.record_refused_connection(upstream("u1"))
        assert not watch.unreported


class TestRequests:
    def test_a_poisonous_request_stops_going_round(self):
        """One request takes down the fleet, one server after the other.

        Its caller sends it again and again, to any process; each server that
        begins to run it crashes and is back a moment later.
        """

        async def scenario(fleet):
            statuses = []
            for _ in range(6):
                answer = await fleet.ask("/filing/1", body=b"poison")
                statuses.append(answer.status)
                await curio.sleep(0.3)
            return statuses, sum(map(len, fleet.seen().values()))

        async def poisoned(seen, sock):
            if seen.body != b"poison":
                return await answer_whole(seen, sock)
            one = fleet_of["fleet"].upstreams[seen.headers["x-for-instance"]]
            await one.task.cancel()
            await one.sock.close()
            await reset(sock)
            return False

        fleet_of = {}

        async def with_fleet(fleet):
            fleet_of["fleet"] = fleet
            return await scenario(fleet)

        names = ["u1", "u2", "u3", "u4", "u5"]
        statuses, arrivals = run_ingress(
            with_fleet, scripts=dict.fromkeys(names, poisoned)
        )
        assert statuses == [502, 502, 502, 503, 503, 503]
        assert arrivals == 3
