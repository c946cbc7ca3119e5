"""A process leaves the balancer's rotation, with real peers and callers."""

from collections import defaultdict

import curio
import eliot
import msgspec
import pytest
from tests.ingress.in_process import run_ingress

from ragwortkeel.ingress.status_report import StatusReport
from ragwortkeel.policy.rotation import OwnLoad
from ragwortkeel.settings import InstanceCapacity

CAPACITY = InstanceCapacity(link_bytes_per_second=625_000.0, memory_bytes=10**9)


@pytest.fixture
def hot(monkeypatch):
    """Overload the first process."""

    def own_load(report):
        if report._settings.name == "ingress-0":
            return OwnLoad(utilization=1.0, overloaded_since=0.0)
        return OwnLoad(utilization=0.1, overloaded_since=None)

    monkeypatch.setattr(StatusReport, "own_load", own_load)


@pytest.fixture
def lines():
    """Messages logged during the test, by event."""
    found = defaultdict(list)

    def receive(message):
        found[message["message_type"]].append(message)

    eliot.add_destinations(receive)
    yield found
    eliot.remove_destination(receive)


def run_zone(scenario, *, on=True):
    """Run a zone of three, and the scenario once the first process has left."""

    async def wait_and_run(fleet):
        if on:
            while fleet.workers[0].ready:
                await curio.sleep(0.02)
        return await scenario(fleet)

    options = {"processes": 3, "capacity": CAPACITY, "leaves_rotation": on}
    return run_ingress(wait_and_run, **options)


@pytest.mark.usefixtures("hot")
class TestRotationController:
    def test_the_process_serves_on_and_tells_its_peers(self, lines):
        """Guards against a departure that peers can't count, or that drops requests."""

        async def scenario(fleet):
            answer = await fleet.ask("/lookup/1")
            await fleet.configure()
            await curio.sleep(1.0)
            statuses = fleet.workers[1]._peer_statuses.current(0.0)
            status = {peer.node: peer.status for peer in statuses}["ingress-0"]
            return answer, status, [(w.revision(), w.ready) for w in fleet.workers]

        answer, status, workers = run_zone(scenario)
        assert (answer.status, answer.body) == (200, b"ok")
        assert answer.headers["connection"] == "close"
        assert (status.in_rotation, status.overloaded) == (False, True)
        assert workers == [(2, False), (2, True), (2, True)]
        (line,) = lines["rotation_left"]
        assert (line["reason"], line["peers_in"], line["known"]) == ("overloaded", 2, 3)
        assert not lines["rotation_joined"]

    def test_switching_the_part_off_joins_at_once(self, lines):
        """Guards against an operator who can't end the part's effect."""

        async def scenario(fleet):
            worker = fleet.workers[0]
            off = msgspec.structs.replace(worker._settings, leaves_rotation=False)
            worker.reload(off)
            ready = worker.ready
            answer = await fleet.ask("/lookup/1")
            await curio.sleep(1.0)
            return ready, worker.ready, answer, worker.metrics.render()

        ready, later, answer, metrics = run_zone(scenario)
        assert (ready, later) == (True, True)
        assert "connection" not in answer.headers
        assert lines["rotation_joined"][0]["reason"] == "switched_off"
        assert not lines["settings_need_a_restart"]
        assert b"ragwortkeel_in_rotation 1.0" in metrics
        assert b"ragwortkeel_rotation_departures_total 1.0" in metrics

    def test_a_planned_stop_while_out_completes(self, lines):
        """Guards against a stop that turns the process ready, or that logs a return."""

        async def scenario(fleet):
            stopping = await curio.spawn(fleet.workers[0].stop)
            await curio.sleep(1.0)
            answer = await fleet.ask("/lookup/1")
            ready = fleet.workers[0].ready
            return answer.status, ready, await stopping.join()

        status, ready, leftover = run_zone(scenario)
        assert (status, ready, leftover.is_clean) == (200, False, True)
        assert not lines["rotation_joined"]

    def test_without_the_setting_nothing_changes(self, lines):
        async def scenario(fleet):
            await curio.sleep(2.5)
            return fleet.workers[0].ready

        assert run_zone(scenario, on=False)
        assert not lines["rotation_left"]
