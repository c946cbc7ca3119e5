"""Evacuations of availability zones: how processes get to know and apply them."""

import curio
import msgspec
import pytest
from tests.ingress.builders import job, route, upstream
from tests.ingress.in_process import (
    END,
    ROUTES,
    SETTLED_SECONDS,
    answer_whole,
    chunk,
    events,
    run_ingress,
    stream_head,
)

from ragwortkeel.exceptions import PlatformUnavailable
from ragwortkeel.ingress import following
from ragwortkeel.ingress.configuration import EVACUATIONS_KIND, Service
from ragwortkeel.ingress.directory import Directory
from ragwortkeel.ingress.dispatch import Dispatcher, NotAssigned
from ragwortkeel.ingress.evacuations import Evacuations, ZonesChanged
from ragwortkeel.ingress.following import EvacuationFollower
from ragwortkeel.ingress.placement import Placement
from ragwortkeel.messages import EvacuatedZones
from ragwortkeel.platform import Change, Changes, Listing, Stored

APP = Service(name="app", max_connections=96)


def zones(revision, *names):
    return EvacuatedZones(revision=revision, zones=names)


class TestEvacuations:
    def test_the_set_with_the_higher_revision_replaces_the_other(self):
        """Guards against a late message that restores an ended evacuation."""
        evacuations = Evacuations()
        assert evacuations.merge(zones(7, "a", "b"), now=1.0) == ZonesChanged(
            evacuated=frozenset("ab"), returned=frozenset()
        )
        assert evacuations.merge(zones(9, "b"), now=2.0) == ZonesChanged(
            evacuated=frozenset(), returned=frozenset("a")
        )
        assert evacuations.merge(zones(8, "a", "b"), now=3.0) is None
        assert evacuations.zones == {"b"}
        assert evacuations.since_by_zone == {"b": 1.0}

    def test_a_newer_set_with_the_same_zones_changes_nothing(self):
        evacuations = Evacuations()
        evacuations.merge(zones(7, "a"), now=1.0)
        assert evacuations.merge(zones(8, "a"), now=2.0) is None
        assert evacuations.current == zones(8, "a")
        assert evacuations.since_by_zone == {"a": 1.0}


class _End(Exception):
    """Raised at the end of a scripted run."""


class ScriptedPlatform:
    """Answers lists and watches with a test's answers, in their order."""

    def __init__(self, *answers):
        self._answers = list(answers)

    def _next(self):
        if not self._answers:
            raise _End
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def list(self, kind):
        return self._next()

    async def watch(self, kind, revision, timeout):
        return self._next()


def listing(revision, *names, value=b"{}"):
    by_name = {
        name: Stored(kind=EVACUATIONS_KIND, name=name, value=value, version=revision)
        for name in names
    }
    return Listing(by_name=by_name, revision=revision)


def change(revision, name, *, deleted=False, value=b"{}"):
    stored = Stored(kind=EVACUATIONS_KIND, name=name, value=value, version=revision)
    entry = Change(name=name, version=revision, stored=None if deleted else stored)
    return Changes(changes=(entry,), revision=revision, gap=False)


GAP = Changes(changes=(), revision=0, gap=True)


def follow(monkeypatch, *answers):
    """Return the sets that a follower applies and forwards for these answers."""
    monkeypatch.setattr(following, "RETRY_DELAY_SECONDS", 0.0)
    applied, forwarded = [], []

    async def apply(evacuated):
        applied.append(evacuated)

    async def forward(evacuated):
        forwarded.append(evacuated)

    follower = EvacuationFollower(
        platform=ScriptedPlatform(*answers),
        apply=apply,
        forward=forward,
        is_watcher=lambda: True,
    )
    with pytest.raises(_End):
        curio.run(follower.run)
    return applied, forwarded


class TestFollower:
    def test_each_change_applies_and_forwards_the_full_set(self, monkeypatch):
        applied, forwarded = follow(
            monkeypatch,
            listing(5),
            change(6, "a"),
            change(7, "b"),
            change(9, "a", deleted=True),
        )
        assert applied == [zones(5), zones(6, "a"), zones(7, "a", "b"), zones(9, "b")]
        assert forwarded == applied[1:]

    @pytest.mark.parametrize("value", [b"null", b"\xff\x00", b'"', b"[1,2"])
    def test_an_entry_counts_by_its_name_even_if_it_is_unreadable(
        self, monkeypatch, value
    ):
        """Guards against requests for a zone whose entry has an unreadable value."""
        applied, _ = follow(
            monkeypatch,
            listing(5),
            change(6, "a", value=value),
            change(7, "a", deleted=True, value=value),
        )
        assert applied[1:] == [zones(6, "a"), zones(7)]

    def test_a_gap_in_the_history_leads_to_a_new_listing(self, monkeypatch):
        """Guards against an evacuation that is missed because of a gap in the watch."""
        applied, _ = follow(monkeypatch, listing(5), GAP, listing(9, "b"))
        assert applied[-1] == zones(9, "b")

    def test_an_outage_changes_nothing(self, monkeypatch):
        """Guards against evacuations that end because the platform is unreachable."""
        applied, _ = follow(
            monkeypatch,
            listing(5, "a"),
            PlatformUnavailable("unreachable"),
            Changes(changes=(), revision=6, gap=False),
        )
        assert applied == [zones(5, "a")]


def two_zones(**region_by_zone):
    directory = Directory(region_by_zone=region_by_zone)
    directory.merge_entry("ua", upstream("ua", zone="a", slots=1), version=1, now=0.0)
    directory.merge_entry("ub", upstream("ub", zone="b", slots=1), version=2, now=0.0)
    return directory


def dispatching(scenario, directory):
    placement = Placement(zone="a")
    dispatcher = Dispatcher(directory=directory, placement=placement)

    async def main():
        async with curio.timeout_after(5):
            return await scenario(dispatcher)

    return curio.run(main)


async def acquire(dispatcher, name, **fields):
    now = await curio.clock()
    return await dispatcher.acquire(
        job(name, **fields), service=APP, latest_start=now + 3.0
    )


class TestQueuedRequests:
    def test_queued_requests_go_to_the_remaining_zones(self):
        """Guards against a queued request that is assigned in an evacuated zone."""
        directory = two_zones()

        async def scenario(dispatcher):
            first = await acquire(dispatcher, "r1")
            second = await acquire(dispatcher, "r2")
            third = await curio.spawn(acquire, dispatcher, "r3", daemon=True)
            await curio.sleep(0.05)
            directory.evacuated_zones = frozenset({first.upstream.zone})
            await dispatcher.release(first)
            await curio.sleep(0.1)
            queued_count = len(dispatcher.queue)
            await dispatcher.release(second)
            return queued_count, second.upstream.name, (await third.join())

        queued_count, expected, third = dispatching(scenario, directory)
        assert queued_count == 1
        assert third.upstream.name == expected

    def test_with_all_zones_evacuated_a_request_is_refused_at_once(self):
        """Guards against callers that wait for half of their time and are refused."""
        directory = two_zones()
        directory.evacuated_zones = frozenset("ab")

        async def scenario(dispatcher):
            started_at = await curio.clock()
            refused = await acquire(dispatcher, "r1")
            return refused, await curio.clock() - started_at

        refused, seconds = dispatching(scenario, directory)
        assert isinstance(refused, NotAssigned)
        assert refused.withheld
        assert seconds < 0.1

    def test_evacuating_a_zone_without_upstreams_changes_nothing(self):
        directory = two_zones()
        directory.evacuated_zones = frozenset({"nowhere"})
        assert set(directory.usable(service="app")) == {"ua", "ub"}


class TestHomes:
    def test_a_request_with_homes_runs_in_their_regions_only(self):
        directory = two_zones(a="north", b="south")
        south = frozenset({"south"})
        assert set(directory.usable(service="app", regions=south)) == {"ub"}

    def test_a_zone_whose_region_is_unknown_is_no_home(self):
        """Guards against a request that leaves its home for lack of a setting."""
        directory = two_zones(b="south")
        north = frozenset({"north"})
        assert directory.usable(service="app", regions=north) == {}

    def test_a_request_without_a_common_home_of_route_and_customer_is_refused_at_once(
        self,
    ):
        directory = two_zones(a="north", b="south")

        async def scenario(dispatcher):
            return await acquire(dispatcher, "r1", regions=frozenset())

        assert dispatching(scenario, directory).withheld

    def test_a_request_queued_for_its_home_does_not_block_the_queue(self):
        """Guards against a queue that waits behind a request whose home is full."""
        directory = two_zones(a="north", b="south")

        async def scenario(dispatcher):
            at_home = await acquire(dispatcher, "r1", regions=frozenset({"north"}))
            elsewhere = await acquire(dispatcher, "r2")
            first = await curio.spawn(
                _acquire_at_home, dispatcher, "r3", "north", daemon=True
            )
            await curio.sleep(0.02)
            second = await curio.spawn(acquire, dispatcher, "r4", daemon=True)
            await curio.sleep(0.02)
            await dispatcher.release(elsewhere)
            assigned = await second.join()
            await first.cancel()
            return at_home.upstream.name, assigned.upstream.name

        assert dispatching(scenario, directory) == ("ua", "ub")


async def _acquire_at_home(dispatcher, name, region):
    return await acquire(dispatcher, name, regions=frozenset({region}))


async def evacuate(fleet, zone):
    await fleet.platform.create(EVACUATIONS_KIND, zone, b"{}")


async def end_evacuation(fleet, zone):
    stored = await fleet.platform.get(EVACUATIONS_KIND, zone)
    await fleet.platform.delete(EVACUATIONS_KIND, zone, stored.version)


def zone_of(name):
    return name[1]


class TestProcesses:
    def run(self, scenario, **options):
        scripts = options.pop("scripts", {"ua": answer_whole, "ub": answer_whole})

        async def main(fleet):
            for server in fleet.upstreams.values():
                await fleet.register(server, zone=zone_of(server.name))
            await curio.sleep(0.2)
            return await scenario(fleet)

        return run_ingress(main, scripts=scripts, **options)

    def test_an_evacuated_zone_gets_no_requests_until_the_evacuation_ends(self):
        async def scenario(fleet):
            counts = []
            for action in (None, evacuate, end_evacuation):
                if action is not None:
                    await action(fleet, "a")
                    await curio.sleep(0.3)
                before = len(fleet.seen()["ua"])
                for number in range(4):
                    await fleet.ask(f"/lookup/{number}")
                counts.append(len(fleet.seen()["ua"]) - before)
            return counts

        before, during, after = self.run(scenario)
        assert before > 0
        assert during == 0
        assert after > 0

    def test_a_stream_that_runs_in_the_zone_completes(self):
        """Guards against answers that an evacuation cuts off."""

        async def slow_stream(seen, sock):
            await sock.sendall(stream_head(seen) + chunk(events(1, 2)))
            await curio.sleep(0.8)
            await sock.sendall(chunk(events(3, 4)) + END)
            return True

        async def scenario(fleet):
            task = await curio.spawn(fleet.ask, "/review/x")
            await curio.sleep(0.2)
            await evacuate(fleet, "a")
            return await task.join()

        response = self.run(
            scenario, scripts={"ea": slow_stream}, routes=(*ROUTES, route())
        )
        assert (response.status, response.body) == (200, events(1, 4))

    def test_with_all_zones_evacuated_a_caller_gets_a_truthful_refusal_at_once(self):
        async def scenario(fleet):
            await evacuate(fleet, "a")
            await evacuate(fleet, "b")
            await curio.sleep(0.3)
            response = await fleet.ask("/filing/1")
            return response, fleet.seen()

        response, seen = self.run(scenario)
        problem = msgspec.json.decode(response.body)
        assert response.status == 503
        assert problem["outcome"] == "not_run"
        assert problem["reason"] == "upstreams_withheld"
        assert float(response.headers["retry-after"]) > 0
        assert seen == {"ua": [], "ub": []}

    def test_a_process_that_the_platform_refuses_gets_evacuations_from_a_peer(self):
        """Guards against requests to an evacuated zone by a process without a watch."""

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            refused = fleet.workers[1]._evacuation_follower

            async def refuse(*args, **kwargs):
                raise PlatformUnavailable("refused")

            refused._platform.watch = refused._platform.list = refuse
            await evacuate(fleet, "a")
            await curio.sleep(SETTLED_SECONDS)
            return [worker.evacuated_zones().zones for worker in fleet.workers]

        assert self.run(scenario, processes=2) == [("a",), ("a",)]
