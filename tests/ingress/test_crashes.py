"""Requests that crash each upstream that runs them."""

import curio
import pytest
from deployments.ports import free_address
from tests.ingress.builders import upstream
from tests.ingress.in_process import (
    SETTLED_SECONDS,
    answer_whole,
    reset,
    run_ingress,
)

from ragwortkeel.ingress.crashes import (
    ANSWERED_SECONDS,
    SUSPICION_SECONDS,
    BrokenRun,
    CrashDetector,
)
from ragwortkeel.policy import quarantine
from ragwortkeel.policy.block_quarantine import Decision


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def broken_run(fingerprint, *blocks, answered_seconds=0.0, broken_at=100.0):
    return BrokenRun(
        request_id=f"r-{fingerprint}",
        fingerprint=fingerprint,
        blocks=blocks,
        answered_seconds=answered_seconds,
        broken_at=broken_at,
    )


class TestCrashDetector:
    def crash(self, detector, name, *fingerprints):
        for fingerprint in fingerprints:
            detector.record_broken_run(upstream(name), broken_run(fingerprint))
        detector.record_refused_connection(name)

    def test_a_request_at_three_crashes_is_quarantined(self):
        detector = CrashDetector(clock=Clock())
        for name in ("u1", "u2"):
            self.crash(detector, name, "poison")
            assert not detector.is_quarantined("poison")
        self.crash(detector, "u3", "poison")
        assert detector.is_quarantined("poison")
        assert len(detector.unreported) == 3

    def test_a_complete_response_clears_a_request(self):
        detector = CrashDetector(clock=Clock())
        for name in ("u1", "u2"):
            self.crash(detector, name, "poison", "innocent")
        detector.record_finished("innocent")
        self.crash(detector, "u3", "poison", "innocent")
        assert detector.is_quarantined("poison")
        assert not detector.is_quarantined("innocent")

    def test_lost_answers_of_a_working_upstream_are_no_crashes(self):
        detector = CrashDetector(clock=Clock())
        for _ in range(5):
            detector.record_broken_run(upstream("u1"), broken_run("body"))
        assert not detector.is_quarantined("body")

    def test_a_run_that_broke_long_before_the_crash_is_no_suspect(self):
        clock = Clock()
        detector = CrashDetector(clock=clock)
        detector.record_broken_run(upstream("u1"), broken_run("body"))
        clock.now += SUSPICION_SECONDS
        detector.record_refused_connection("u1")
        assert not detector.unreported


class TestBlocks:
    def crash(self, detector, number, *blocks, answered_seconds=0.0):
        run = broken_run(f"f{number}", *blocks, answered_seconds=answered_seconds)
        detector.record_broken_run(upstream(f"u{number}"), run)
        detector.record_refused_connection(f"u{number}")

    def test_a_run_that_answered_for_long_does_not_accuse_its_blocks(self):
        """Guards against blame for streams that were cut in their middle."""
        detector = CrashDetector(clock=Clock())
        self.crash(detector, 1, "common", answered_seconds=ANSWERED_SECONDS)
        assert not detector.unreported[0].blocks_by_fingerprint

    def test_a_run_that_answered_for_long_releases_its_blocks_everywhere(self):
        """Guards against a release that no other process hears of."""
        detector = CrashDetector(clock=Clock())
        detector.blocks.merge(Decision(block="common", stamp=1), now=99.0)
        self.crash(detector, 1, "common", answered_seconds=ANSWERED_SECONDS)
        (decision,) = detector.released
        assert (decision.block, decision.refused) == ("common", False)

    def test_sound_requests_beside_a_refused_block_are_not_quarantined(self):
        """Guards against sound requests that are refused for their neighbours."""
        detector = CrashDetector(clock=Clock())
        for number in range(3):
            sound, bad = broken_run("sound", "s1"), broken_run(f"f{number}", "bad")
            detector.record_broken_run(upstream(f"u{number}"), sound)
            detector.record_broken_run(upstream(f"u{number}"), bad)
            detector.record_refused_connection(f"u{number}")
        assert detector.is_quarantined("sound")
        detector.blocks.merge(Decision(block="bad", stamp=1), now=100.0)
        detector.acquit()
        assert not detector.is_quarantined("sound")


class TestProcesses:
    def test_a_crash_that_several_processes_detect_counts_once(self):
        """Guards against a sound request that one crash puts into quarantine.

        The monotonic clocks of machines have nothing in common.
        """
        detectors = []
        for now in (100.0, 104.0, 7_000.3):
            clock = Clock()
            clock.now = now
            detector = CrashDetector(clock=clock)
            run = broken_run("sound", broken_at=now)
            detector.record_broken_run(upstream("u1", started_ms=5), run)
            detector.record_refused_connection("u1")
            detectors.append(detector)
        crashes = [detector.unreported[0] for detector in detectors]
        for detector in detectors:
            for crash in crashes:
                detector.receive_crash(crash)
        assert not any(each.is_quarantined("sound") for each in detectors)

    def test_later_crashes_of_an_upstream_that_keeps_its_name_count(self):
        """Guards against crashes that are taken for one because of the name."""
        clock = Clock()
        detector, peer = CrashDetector(clock=clock), CrashDetector(clock=clock)
        for _ in range(3):
            run = broken_run("bad", broken_at=clock.now)
            detector.record_broken_run(upstream("u1"), run)
            detector.record_refused_connection("u1")
            peer.receive_crash(detector.unreported.popleft())
            clock.now += 2 * SUSPICION_SECONDS
        assert detector.is_quarantined("bad")
        assert peer.is_quarantined("bad")


class TestRequests:
    @pytest.mark.parametrize("open_seconds", [0.0, 0.05])
    def test_a_crashing_request_is_refused_after_three_crashes(self, open_seconds):
        """Guards against one request that crashes all upstreams one after the other.

        Its caller repeats it, and each upstream that begins to run it crashes; its port
        may answer for a moment more.
        """

        async def scenario(fleet):
            statuses = []
            for _ in range(6):
                answer = await fleet.ask("/filing/1", body=b"poison")
                statuses.append(answer.status)
                await curio.sleep(0.3)
            return statuses, sum(map(len, fleet.seen().values()))

        async def crash_on_poison(seen, sock):
            if seen.body != b"poison":
                return await answer_whole(seen, sock)
            crashed = fleet_of["fleet"].upstreams[seen.headers["x-for-instance"]]
            closing = await curio.spawn(close_port, crashed, daemon=True)
            if not open_seconds:
                await closing.join()
            await reset(sock)
            return False

        async def close_port(crashed):
            await curio.sleep(open_seconds)
            await crashed.task.cancel()
            await crashed.sock.close()

        fleet_of = {}

        async def with_fleet(fleet):
            fleet_of["fleet"] = fleet
            return await scenario(fleet)

        names = ["u1", "u2", "u3", "u4", "u5"]
        statuses, arrivals = run_ingress(
            with_fleet, scripts=dict.fromkeys(names, crash_on_poison)
        )
        assert statuses == [502, 502, 502, 503, 503, 503]
        assert arrivals == 3

    def test_a_process_that_starts_later_refuses_the_request(self, monkeypatch):
        """Guards against rolling restarts after which a request crashes more."""
        monkeypatch.setattr(quarantine, "PROOF_SECONDS", 0.5)

        async def scenario(fleet):
            for _ in range(3):
                await fleet.ask("/filing/1", body=b"poison")
                await curio.sleep(0.4)
            crashes = sum(map(len, fleet.seen().values()))
            link = free_address()
            await fleet.start_worker("late", link, (*fleet.links, link))
            await curio.sleep(SETTLED_SECONDS)
            statuses = []
            for _ in range(2):
                answer = await fleet.ask("/filing/1", process=-1, body=b"poison")
                statuses.append(answer.status)
                await curio.sleep(0.3)
            sound = await fleet.ask("/filing/1", process=-1)
            arrivals = sum(map(len, fleet.seen().values()))
            return statuses, sound.status, crashes, arrivals

        async def crash_on_poison(seen, sock):
            if seen.body != b"poison":
                return await answer_whole(seen, sock)
            await fleet_of["fleet"].upstreams[seen.headers["x-for-instance"]].crash()
            return False

        fleet_of = {}

        async def with_fleet(fleet):
            fleet_of["fleet"] = fleet
            return await scenario(fleet)

        names = ["u1", "u2", "u3", "u4", "u5"]
        statuses, sound, crashes, arrivals = run_ingress(
            with_fleet, scripts=dict.fromkeys(names, crash_on_poison)
        )
        assert crashes == 3
        assert statuses == [503, 503]
        assert sound == 200
        assert arrivals == crashes + 1
