"""How a change of the configuration spreads, and how many copies of it are sent.

Guards against callers that get a 404 for seconds after a route was added, while the
processors are idle.  Each process sends the full configuration to all of its peers when
it applies a change.  After a few changes in quick succession that is 3.6 MB on a link
of 5 Mbit/s, and the platform's answer with the next change queues behind it.
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

PROCESS_COUNT = 4
CHANGE_COUNT = 3


def count_copies(worker):
    """Return a list that grows with each copy that the process receives."""
    copies = []
    taken = worker.receive_configuration

    async def heard(received):
        copies.append(received.version)
        await taken(received)

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


async def wait_for_links(relay, count):
    async with curio.timeout_after(5):
        while relay._peers.live_count < count:
            await curio.sleep(0.01)


class TestChangesReadFromThePlatform:
    def test_each_process_is_sent_a_change_at_most_once(self):
        """Guards against a copy from each peer: with 56 peers, seconds of a link."""

        async def scenario(fleet):
            copies = [count_copies(worker) for worker in fleet.workers]
            for _ in range(CHANGE_COUNT):
                await fleet.configure(routes=ROUTES)
                for worker in fleet.workers:
                    await wait_for_revision(worker, fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return [len(versions) for versions in copies]

        copy_counts = run_ingress(scenario, processes=PROCESS_COUNT)
        assert max(copy_counts) <= CHANGE_COUNT

    def test_a_relay_is_sent_no_copies(self):
        """Guards against copies to relays, which don't use the configuration."""

        async def scenario(fleet):
            relay = await start_relay(fleet)
            copies = count_copies(relay)
            await wait_for_links(relay, len(fleet.workers))
            await fleet.configure()
            await wait_for_revision(fleet.workers[0], fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return copies

        assert run_ingress(scenario, processes=2) == []

    def test_a_process_whose_links_come_up_is_sent_at_most_one_copy(self):
        """Guards against links that are full for seconds after a partition.

        Every process sends its configuration to every peer whose link comes up, though
        all of them have it already.
        """

        async def scenario(fleet):
            links = tuple(worker._settings.address for worker in fleet.workers)
            late_link = free_address()
            late = await fleet.start_worker("ingress-late", late_link, links)
            copies = count_copies(late)
            await wait_for_revision(late, fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return copies

        assert len(run_ingress(scenario, processes=PROCESS_COUNT)) <= 1


class TestSimultaneousStarts:
    def test_processes_read_the_platform_and_are_sent_at_most_one_copy(self):
        """Guards against a fleet that serves a quarter of its callers after a start.

        After a power failure all processes start at once.  Each sends the configuration
        to all others when it has read it and again when a link comes up.  That fills
        the links of small instances for seconds while they have to read the ledgers and
        the upstreams.
        """

        async def scenario(fleet):
            links = [free_address() for _ in range(PROCESS_COUNT)]
            copies = []
            for i, link in enumerate(links):
                late = await fleet.start_worker(f"late-{i}", link, tuple(links))
                copies.append(count_copies(late))
            for late in fleet.workers[1:]:
                await wait_for_revision(late, fleet.revision)
            await curio.sleep(SETTLED_SECONDS)
            return [len(versions) for versions in copies]

        assert max(run_ingress(scenario)) <= 1


class TestChangesThatOneProcessReads:
    def test_all_others_apply_the_change_with_one_copy_each(self):
        """The platform refuses all processes but one."""

        async def scenario(fleet):
            fleet.platform.switches.down = True
            copies = [count_copies(worker) for worker in fleet.workers[1:]]
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            for worker in fleet.workers[1:]:
                await wait_for_revision(worker, 9)
            return [len(versions) for versions in copies]

        copy_counts = run_ingress(scenario, processes=PROCESS_COUNT)
        assert max(copy_counts) == 1

    def test_a_new_revision_is_announced_before_the_next_heartbeat(self, monkeypatch):
        """Guards against a 404 2 seconds after a route was confirmed.

        After an outage of the platform the watch of one process returns first.  The
        others get the new revision only with the next heartbeat, request the change
        late, and the peer that they ask has just crashed.
        """
        monkeypatch.setattr(peers, "CLOCK_QUERY_SECONDS", 60.0)
        for name in ("HEARTBEAT_SECONDS", "SILENCE_SECONDS"):
            monkeypatch.setattr(mesh, name, 60.0)
        monkeypatch.setattr(renewals, "RENEWAL_INTERVAL_SECONDS", 60.0)
        monkeypatch.setattr(renewals, "write_delay", lambda rank, **_: 60.0)

        async def scenario(fleet):
            await curio.sleep(SETTLED_SECONDS)
            await fleet.workers[0].receive_configuration(configuration_object(fleet, 9))
            return [await wait_for_revision(worker, 9) for worker in fleet.workers]

        assert run_ingress(scenario, processes=3) == [9] * 3
