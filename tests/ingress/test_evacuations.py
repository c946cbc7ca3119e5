"""Evacuated availability zones: how processes learn of them, and what they do then."""

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
    def test_of_two_sets_the_one_of_the_higher_revision_holds(self):
        """Guards against a late message that brings an evacuation back."""
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

    def test_the_same_zone_again_changes_nothing(self):
        evacuations = Evacuations()
        evacuations.merge(zones(7, "a"), now=1.0)
        assert evacuations.merge(zones(8, "a"), now=2.0) is None
        assert evacuations.current == zones(8, "a")
        assert evacuations.since_by_zone == {"a": 1.0}


class _End(Exception):
    """Ends a scripted run."""


class ScriptedPlatform:
    """Answers lists and watches in turn as a test says."""

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


def change(revision, name, *, gone=False, value=b"{}"):
    stored = Stored(kind=EVACUATIONS_KIND, name=name, value=value, version=revision)
    one = Change(name=name, version=revision, stored=None if gone else stored)
    return Changes(changes=(one,), revision=revision, gap=False)


GAP = Changes(changes=(), revision=0, gap=True)


def follow(monkeypatch, *answers):
    """Return what a follower takes and what it shares, for these answers."""
    monkeypatch.setattr(following, "RETRY_DELAY_SECONDS", 0.0)
    applied, forwarded = [], []

    async def apply(found):
        applied.append(found)

    async def forward(found):
        forwarded.append(found)

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
    def test_the_whole_set_is_taken_and_shared_with_each_change(self, monkeypatch):
        applied, forwarded = follow(
            monkeypatch,
            listing(5),
            change(6, "a"),
            change(7, "b"),
            change(9, "a", gone=True),
        )
        assert applied == [zones(5), zones(6, "a"), zones(7, "a", "b"), zones(9, "b")]
        assert forwarded == applied[1:]

    @pytest.mark.parametrize("value", [b"null", b"\xff\x00", b'"', b"[1,2"])
    def test_an_entry_counts_by_its_name_whether_readable_or_not(
        self, monkeypatch, value
    ):
        """Guards against requests for a zone whose evacuation somebody wrote badly."""
        applied, _ = follow(
            monkeypatch,
            listing(5),
            change(6, "a", value=value),
            change(7, "a", gone=True, value=value),
        )
        assert applied[1:] == [zones(6, "a"), zones(7)]

    def test_a_lost_history_is_read_anew(self, monkeypatch):
        """Guards against an evacuation that came in a gap of the watch."""
        applied, _ = follow(monkeypatch, listing(5), GAP, listing(9, "b"))
        assert applied[-1] == zones(9, "b")

    def test_an_outage_changes_nothing(self, monkeypatch):
        """Guards against zones that count as back while the platform is away."""
        applied, _ = follow(
            monkeypatch,
            listing(5, "a"),
            PlatformUnavailable("cut off"),
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
    places = Dispatcher(directory=directory, placement=placement)

    async def main():
        async with curio.timeout_after(5):
            return await scenario(places)

    return curio.run(main)


async def acquire(places, name, **fields):
    now = await curio.clock()
    return await places.acquire(
        job(name, **fields), service=APP, latest_start=now + 3.0
    )


class TestWaitingRequests:
    def test_those_that_wait_go_to_the_zones_that_are_left(self):
        """Guards against a waiting request that is placed in an evacuated zone."""
        directory = two_zones()

        async def scenario(places):
            first = await acquire(places, "r1")
            second = await acquire(places, "r2")
            third = await curio.spawn(acquire, places, "r3", daemon=True)
            await curio.sleep(0.05)
            directory.evacuated_zones = frozenset({first.upstream.zone})
            await places.release(first)
            await curio.sleep(0.1)
            still_waiting = len(places.queue)
            await places.release(second)
            return still_waiting, second.upstream.name, (await third.join())

        still_waiting, expected, third = dispatching(scenario, directory)
        assert still_waiting == 1
        assert third.upstream.name == expected

    def test_with_all_zones_evacuated_a_request_is_refused_at_once(self):
        """Guards against callers held for half of their time for nothing."""
        directory = two_zones()
        directory.evacuated_zones = frozenset("ab")

        async def scenario(places):
            begun = await curio.clock()
            refused = await acquire(places, "r1")
            return refused, await curio.clock() - begun

        refused, took = dispatching(scenario, directory)
        assert isinstance(refused, NotAssigned)
        assert refused.withheld
        assert took < 0.1

    def test_a_zone_without_upstreams_and_an_unknown_one_take_nothing_away(self):
        directory = two_zones()
        directory.evacuated_zones = frozenset({"nowhere"})
        assert set(directory.usable(service="app")) == {"ua", "ub"}


class TestHomes:
    def test_a_request_with_homes_runs_in_their_regions_only(self):
        directory = two_zones(a="north", b="south")
        south = frozenset({"south"})
        assert set(directory.usable(service="app", regions=south)) == {"ub"}

    def test_a_zone_of_an_unknown_region_is_no_home(self):
        """Guards against a request that leaves its region for want of a setting."""
        directory = two_zones(b="south")
        north = frozenset({"north"})
        assert directory.usable(service="app", regions=north) == {}

    def test_where_route_and_customer_share_no_home_the_request_is_refused_at_once(
        self,
    ):
        directory = two_zones(a="north", b="south")

        async def scenario(places):
            return await acquire(places, "r1", regions=frozenset())

        assert dispatching(scenario, directory).withheld

    def test_a_request_that_is_full_at_home_keeps_nobody_else_waiting(self):
        """Guards against a queue that stands behind one that waits for its home."""
        directory = two_zones(a="north", b="south")

        async def scenario(places):
            at_home = await acquire(places, "r1", regions=frozenset({"north"}))
            elsewhere = await acquire(places, "r2")
            first = await curio.spawn(
                _acquire_at_home, places, "r3", "north", daemon=True
            )
            await curio.sleep(0.02)
            second = await curio.spawn(acquire, places, "r4", daemon=True)
            await curio.sleep(0.02)
            await places.release(elsewhere)
            placed = await second.join()
            await first.cancel()
            return at_home.upstream.name, placed.upstream.name

        assert dispatching(scenario, directory) == ("ua", "ub")


async def _acquire_at_home(places, name, region):
    return await acquire(places, name, regions=frozenset({region}))


async def evacuate(fleet, zone):
    await fleet.platform.create(EVACUATIONS_KIND, zone, b"{}")


async def take_back(fleet, zone):
    stored = await fleet.platform.get(EVACUATIONS_KIND, zone)
    await fleet.platform.delete(EVACUATIONS_KIND, zone, stored.version)


def zone_of(name):
    return name[1]


class TestProcesses:
    def run(self, scenario, **options):
        scripts = options.pop("scripts", {"ua": answer_whole, "ub": answer_whole})

        async def main(fleet):
            for one in fleet.upstreams.values():
                await fleet.register(one, zone=zone_of(one.name))
            await curio.sleep(0.2)
            return await scenario(fleet)

        return run_ingress(main, scripts=scripts, **options)

    def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(self):
        async def scenario(fleet):
            counts = []
            for step in (None, evacuate, take_back):
                if step is not None:
                    await step(fleet, "a")
                    await curio.sleep(0.3)
                before = len(fleet.seen()["ua"])
                for number in range(4):
                    await fleet.ask(f"/lookup/{number}")
                counts.append(len(fleet.seen()["ua"]) - before)
            return counts

        first, evacuated, back = self.run(scenario)
        assert first > 0
        assert evacuated == 0
        assert back > 0

    def test_a_stream_that_runs_there_ends_whole(self):
        """Guards against answers that an evacuation breaks off."""

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

    def test_with_no_zone_left_a_caller_gets_a_truthful_refusal_at_once(self):
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

    def test_a_process_that_the_platform_turns_away_hears_of_it_from_a_peer(self):
        """Guards against sends by a process whose own watch brings nothing."""

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            cut_off = fleet.workers[1]._evacuation_follower

            async def refuse(*args, **kwargs):
                raise PlatformUnavailable("turned away")

            cut_off._platform.watch = cut_off._platform.list = refuse
            await evacuate(fleet, "a")
            await curio.sleep(SETTLED_SECONDS)
            return [worker.evacuated_zones().zones for worker in fleet.workers]

        assert self.run(scenario, processes=2) == [("a",), ("a",)]
