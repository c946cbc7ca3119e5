"""Who is sent a change of the configuration by whom, and how often.

Callers of a large fleet were refused with 404 four seconds after a route had been
added, with processors idle.  A few changes had come in quick succession; each process
that took one over had sent the whole configuration to all peers, 3.6 MB into a link of
5 Mbit/s, and the platform's answer with the next change stood behind that.  What proved
it: bytes out of each small instance in the second of a change, then none for five
seconds, on all of them alike and at 5% of a processor.
"""

import curio
from deployments.ports import free_address
from tests.ingress.in_process import (
    ROUTES,
    SETTLED_SECONDS,
    configuration_object,
    run_ingress,
    wait_for_revision,
)

from ragwortkeel.ingress import mesh, peers, renewals
from ragwortkeel.ingress.relay_worker import RelayWorker
from ragwortkeel.settings import RelaySettings

PROCESSES = 4
CHANGES = 3


def count_copies(worker):
    """Return a list that grows with each copy that the process hears."""
    copies = []
    taken = worker.receive_configuration

    async def heard(one):
        copies.append(one.version)
        await taken(one)

    worker.receive_configuration = heard
    return copies


async def start_relay(fleet):
    peers = tuple(worker._settings.address for worker in fleet.workers)
    settings = RelaySettings(
        name="relay-1",
        zone="a",
        address=free_address(),
        metrics=free_address(),
        platform="127.0.0.1:9",
        peers=peers,
    )
    relay = RelayWorker(settings=settings, platform=fleet.platform)
    relay.open()
    fleet.tasks.append(await curio.spawn(relay.run, daemon=True))
    return relay


async def linked(relay, count):
    async with curio.timeout_after(5):
        while relay._peers.live_count < count:
            await curio.sleep(0.01)


class TestChangesThatAllReadFromThePlatform:
    def test_a_process_is_sent_a_change_once_at_the_most(self):
        """With 56 peers each change is 56 copies a process, seconds of its link."""

        async def scenario(fleet):
            copies = [count_copies(worker) for worker in fleet.workers]
            for _ in range(CHANGES):
                await fleet.configure(routes=ROUTES)
                for worker in fleet.workers:
                    await wait_for_revision(worker, fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return [len(heard) for heard in copies]

        heard = run_ingress(scenario, processes=PROCESSES)
        assert max(heard) <= CHANGES

    def test_a_relay_keeps_none_and_is_sent_none(self):
        """Half of the copies went to processes that throw them away."""

        async def scenario(fleet):
            relay = await start_relay(fleet)
            copies = count_copies(relay)
            await linked(relay, len(fleet.workers))
            await fleet.configure()
            await wait_for_revision(fleet.workers[0], fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return copies

        assert run_ingress(scenario, processes=2) == []

    def test_a_process_that_comes_back_is_sent_one_copy_at_the_most(self):
        """All that come back after a cut at once are greeted by all the others.

        Their links are full for seconds with what they have had all along.
        """

        async def scenario(fleet):
            links = tuple(worker._settings.address for worker in fleet.workers)
            late_link = free_address()
            late = await fleet.start_worker("ingress-late", late_link, links)
            copies = count_copies(late)
            await wait_for_revision(late, fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return copies

        assert len(run_ingress(scenario, processes=PROCESSES)) <= 1


class TestStartsOfAllAtOnce:
    def test_all_read_the_platform_and_are_sent_one_copy_at_the_most(self):
        """After a loss of power of all a quarter of the callers is served at last.

        Each process that started handed the configuration to all others, twice: when
        it had read it and when a link came up.  The links of small instances were
        full for seconds while all had to read the ledgers and the upstreams.
        """

        async def scenario(fleet):
            links = [free_address() for _ in range(PROCESSES)]
            copies = []
            for i, link in enumerate(links):
                late = await fleet.start_worker(f"late-{i}", link, tuple(links))
                copies.append(count_copies(late))
            for late in fleet.workers[1:]:
                await wait_for_revision(late, fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return [len(heard) for heard in copies]

        assert max(run_ingress(scenario)) <= 1


class TestChangesThatOneAloneHears:
    def test_all_others_have_it_in_time_with_one_copy_each(self):
        """The platform turns away all processes but one."""

        async def scenario(fleet):
            fleet.platform.switches.down = True
            copies = [count_copies(worker) for worker in fleet.workers[1:]]
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            for worker in fleet.workers[1:]:
                await wait_for_revision(worker, 9)
            return [len(heard) for heard in copies]

        heard = run_ingress(scenario, processes=PROCESSES)
        assert max(heard) == 1

    def test_they_need_not_wait_for_a_heartbeat_to_hear_of_it(self, monkeypatch):
        """A caller gets a 404 two seconds after a route was confirmed.

        The platform had been away, one process's watch came back before the others',
        and they heard of its change with the next heartbeat, asked late, and waited
        for a peer that had just been killed.
        """
        monkeypatch.setattr(peers, "CLOCK_QUERY_SECONDS", 60.0)
        for rare in ("HEARTBEAT_SECONDS", "SILENCE_SECONDS"):
            monkeypatch.setattr(mesh, rare, 60.0)
        monkeypatch.setattr(renewals, "RENEWAL_INTERVAL_SECONDS", 60.0)
        monkeypatch.setattr(renewals, "write_delay", lambda rank, **_: 60.0)

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            return [await wait_for_revision(worker, 9) for worker in fleet.workers]

        assert run_ingress(scenario, processes=3) == [9] * 3
