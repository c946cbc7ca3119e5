"""Upstreams that leave, and new configurations, at a process that hears of it late."""

from time import monotonic

import curio
import pytest
from deployments.ports import free_address
from soak.faults import Way
from tests.ingress.in_process import (
    SETTLED_SECONDS,
    answer_whole,
    plain,
    run_ingress,
    wait_for_revision,
)

from ragwortkeel.ingress.configuration import UPSTREAMS_KIND, UpstreamState
from ragwortkeel.messages import PlatformAnswer

DRAIN_SECONDS = 2.0
"""The users' bound from the platform's confirmation to the last new request."""

CONFIGURATION_SECONDS = 2.0
"""The users' bound from the confirmation of a configuration until it is in force."""

WATCH_BEGINS_SECONDS = 0.4
"""Time after a change in which the next watch has begun."""

IN_TOUCH_SECONDS = 3.0
"""Time after a disturbance of its machine from which a process is bound."""

CUT_SECONDS = 4.0
PHASES = (0.0, 0.4, 1.2)
"""Parts of the cut after the change, in seconds; calls are retried in between."""

ASK_SECONDS = 4.0
ASK_INTERVAL_SECONDS = 0.05
ANNOUNCED_SECONDS = 4.0
ASKED_AFTER_START = 12
CONNECT_SECONDS = 0.3


class RecordingUpstream:
    """A script that records when requests arrive."""

    def __init__(self, extra=""):
        self.extra = extra
        self.arrived_at = []

    async def __call__(self, seen, sock):
        self.arrived_at.append(monotonic())
        await sock.sendall(plain(seen, extra=self.extra))
        return True


async def leave(fleet, name):
    """Write that an upstream leaves."""
    server = fleet.upstreams[name]
    await fleet.register(server, state=UpstreamState.LEAVING)


async def remove(fleet, name):
    """Remove the entry of an upstream that does not say that it leaves."""
    stored = await fleet.platform.get(UPSTREAMS_KIND, name)
    await fleet.platform.delete(UPSTREAMS_KIND, name, stored.version)


async def silence(fleet, numbers):
    """Silence the open connections of processes to the platform; new ones work."""
    await fleet.register(fleet.upstreams["u2"], cold_seconds=0.1)
    await curio.sleep(WATCH_BEGINS_SECONDS)
    for number in numbers:
        await fleet.ways[number].disturb(Way.SILENT_OPEN)


async def last_arrival(fleet, recorder, change):
    """Return how long after a change requests at process 0 reach the upstream."""
    await change(fleet, "u1")
    confirmed_at = monotonic()
    while monotonic() - confirmed_at < ASK_SECONDS:
        await fleet.ask("/lookup/1")
        await curio.sleep(ASK_INTERVAL_SECONDS)
    return max(recorder.arrived_at) - confirmed_at


@pytest.mark.parametrize("change", [leave, remove])
@pytest.mark.parametrize("processes", [1, 3])
def test_a_silent_watch_does_not_hide_that_an_upstream_leaves(change, processes):
    """Guards against requests to a leaving upstream while a watch hangs."""
    recorder = RecordingUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await silence(fleet, range(processes))
        return await last_arrival(fleet, recorder, change)

    scripts = {"u1": recorder, "u2": answer_whole}
    options = {"scripts": scripts, "processes": processes, "has_ways": True}
    assert run_ingress(scenario, **options) <= DRAIN_SECONDS


@pytest.mark.parametrize("processes", [1, 3])
def test_a_silent_watch_does_not_hide_a_new_configuration(processes):
    """Guards against routes and keys that hold on while a watch hangs."""

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await fleet.configure()
        for worker in fleet.workers:
            await wait_for_revision(worker, fleet.revision)
        for way in fleet.ways:
            await way.disturb(Way.SILENT_OPEN)
        await fleet.configure()
        confirmed_at = monotonic()
        for worker in fleet.workers:
            await wait_for_revision(worker, fleet.revision)
        return monotonic() - confirmed_at

    seconds = run_ingress(scenario, processes=processes, has_ways=True)
    assert seconds <= CONFIGURATION_SECONDS


@pytest.mark.parametrize("change", [leave, remove])
def test_peers_tell_of_a_leaving_upstream_although_they_all_watch(change):
    """Guards against a process whose peers know what its own watch does not bring.

    The bound is a fraction of the users': a message of a peer takes milliseconds.
    """
    recorder = RecordingUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        await silence(fleet, [0])
        return await last_arrival(fleet, recorder, change)

    scripts = {"u1": recorder, "u2": answer_whole}
    options = {"scripts": scripts, "processes": 3, "has_ways": True}
    assert run_ingress(scenario, **options) <= DRAIN_SECONDS / 4


def test_a_relayed_watch_without_an_answer_does_not_hide_a_leaving_upstream():
    """Guards against a watch that waits for one relay after the other."""
    recorder = RecordingUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        for worker in fleet.workers[1:]:
            lose_relayed_answers(worker)
        await fleet.ways[0].disturb(Way.REFUSE)
        await curio.sleep(SETTLED_SECONDS)
        return await last_arrival(fleet, recorder, leave)

    scripts = {"u1": recorder, "u2": answer_whole}
    options = {"scripts": scripts, "processes": 3, "has_ways": True}
    assert run_ingress(scenario, **options) <= DRAIN_SECONDS


@pytest.mark.parametrize(
    ("change", "processes", "phase"),
    [
        (leave, 3, 0.4),
        *((remove, processes, phase) for processes in (1, 3) for phase in PHASES),
    ],
)
def test_an_upstream_that_left_during_a_cut_gets_nothing_after_it(
    change, processes, phase
):
    """Guards against requests to an upstream that left while nothing could be heard.

    The platform is well and has confirmed it; only the processes were cut off.
    """
    recorder = RecordingUpstream()

    async def scenario(fleet):
        await curio.sleep(SETTLED_SECONDS)
        for way in fleet.ways:
            await way.disturb(Way.SILENT)
        await curio.sleep(CUT_SECONDS)
        await change(fleet, "u1")
        await curio.sleep(phase)
        for way in fleet.ways:
            way.end_disturbance()
        ended_at = monotonic()
        while monotonic() - ended_at < ASK_SECONDS:
            await fleet.ask("/lookup/1")
            await curio.sleep(ASK_INTERVAL_SECONDS)
        return max(recorder.arrived_at) - ended_at

    scripts = {"u1": recorder, "u2": answer_whole}
    options = {"scripts": scripts, "processes": processes, "has_ways": True}
    assert run_ingress(scenario, **options) <= IN_TOUCH_SECONDS


def lose_relayed_answers(worker):
    """Let a process answer no platform calls of its peers."""
    send_answer = worker._peers._send_answer

    async def send_all_others(peer, answer):
        if not isinstance(answer, PlatformAnswer):
            await send_answer(peer, answer)

    worker._peers._send_answer = send_all_others


def test_an_upstream_that_leaves_during_a_connect_gets_no_request():
    """Guards against requests that were assigned before an upstream left."""
    chosen = []

    async def scenario(fleet):
        pool = fleet.workers[0]._connections
        acquire = pool.acquire

        async def acquire_slowly(target, *, fresh):
            connection = await acquire(target, fresh=fresh)
            if not chosen:
                chosen.append(target.name)
                await leave(fleet, target.name)
                await curio.sleep(CONNECT_SECONDS)
            return connection

        pool.acquire = acquire_slowly
        response = await fleet.ask("/filing/1")
        return response.status, len(fleet.seen()[chosen[0]])

    scripts = {"u1": answer_whole, "u2": answer_whole}
    assert run_ingress(scenario, scripts=scripts) == (200, 0)


def test_a_process_that_starts_is_told_of_earlier_announcements():
    """Guards against a restarted process that sends to an upstream about to exit.

    Its entry stays ready, as it does while the platform can't write it.
    """
    leaving = RecordingUpstream(extra="x-leaving: 1")

    async def scenario(fleet):
        while not leaving.arrived_at:
            await fleet.ask("/lookup/1")
        await curio.sleep(ANNOUNCED_SECONDS)
        addresses = tuple(worker._settings.address for worker in fleet.workers)
        new = await fleet.start_worker("ingress-new", free_address(), addresses)
        while not fleet.is_ready(new):
            await curio.sleep(0.01)
        await curio.sleep(SETTLED_SECONDS)
        before = len(leaving.arrived_at)
        for _ in range(ASKED_AFTER_START):
            await fleet.ask("/lookup/1", process=2)
        return len(leaving.arrived_at) - before

    scripts = {"u1": leaving, "u2": answer_whole}
    assert run_ingress(scenario, scripts=scripts, processes=2) == 0
