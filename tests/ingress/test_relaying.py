"""Platform calls through a peer: the same outcomes as direct ones."""

import curio
import pytest

from ragwortkeel.exceptions import (
    AlreadyExists,
    LinkLost,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from ragwortkeel.ingress import relaying
from ragwortkeel.ingress.relaying import RelayedPlatform, execute_call
from ragwortkeel.standins.local_platform import LocalPlatform

KIND = "ledgers"


class PartitionedPlatform(LocalPlatform):
    """A connection to another platform that a test can interrupt."""

    def __init__(self, shared):
        super().__init__()
        self.shared = shared
        self.partitioned = True
        self.calls = 0

    async def get(self, kind, name, *, stale=False):
        self.calls += 1
        if self.partitioned:
            raise PlatformUnavailable("partitioned")
        return await self.shared.get(kind, name)

    async def create(self, kind, name, value):
        return await self._direct(self.shared.create(kind, name, value))

    async def _direct(self, call):
        if self.partitioned:
            call.close()
            raise PlatformUnavailable("partitioned")
        return await call


class PeerLink:
    """A link to a peer that executes calls on its own platform."""

    def __init__(self, name, platform, *, loses_answers=False, broken=False):
        self.name = name
        self.platform = platform
        self.loses_answers = loses_answers
        self.broken = broken
        self.calls = 0

    async def send(self, call):
        if self.broken:
            raise LinkLost("link is down")
        self.calls += 1
        answer = await execute_call(self.platform, call)
        if not self.loses_answers:
            await self.client.receive_answer(answer)


def run_relayed(scenario, *new_links, partitioned=True):
    """Run ``await scenario(client, shared, direct, links)`` with these peers."""

    async def main():
        shared = LocalPlatform()
        direct = PartitionedPlatform(shared)
        direct.partitioned = partitioned
        links = [new_link(shared) for new_link in new_links]
        client = RelayedPlatform(direct=direct, relays=lambda: links)
        for link in links:
            link.client = client
        return await scenario(client, shared, direct, links)

    return curio.run(main)


def good(shared):
    return PeerLink("good", shared)


def silent(shared):
    return PeerLink("silent", shared, loses_answers=True)


def disconnected(shared):
    return PeerLink("disconnected", shared, broken=True)


def partitioned_too(shared):
    return PeerLink("partitioned", PartitionedPlatform(shared))


class TestRelaying:
    def test_reads_writes_and_watches_go_through_a_peer(self):
        """Guards against budgets that can't be renewed in a partition.

        All ingress instances are disconnected from the platform, while the instances
        beside the upstreams still reach it.
        """

        async def scenario(client, shared, direct, links):
            version = await client.create(KIND, "a", b"{}")
            stored = await client.get(KIND, "a")
            assert (stored.value, stored.version) == (b"{}", version)
            later = await client.update(KIND, "a", b"[]", version)
            listing = await client.list(KIND)
            assert listing.by_name["a"].version == later
            changes = await client.watch(KIND, version, 0.1)
            assert [change.version for change in changes.changes] == [later]
            assert await client.get(KIND, "none") is None

        run_relayed(scenario, good)

    def test_conflicts_are_raised_as_by_a_direct_call(self):
        async def scenario(client, shared, direct, links):
            version = await client.create(KIND, "a", b"{}")
            with pytest.raises(AlreadyExists):
                await client.create(KIND, "a", b"{}")
            with pytest.raises(VersionConflict):
                await client.update(KIND, "a", b"{}", version + 1)

        run_relayed(scenario, good)

    def test_a_write_whose_relayed_answer_is_lost_is_unknown(self, monkeypatch):
        """Guards against a second withdrawal from a budget.

        The peer writes and its answer is lost, so the write may not count as failed.
        """
        monkeypatch.setattr(relaying, "ANSWER_TIMEOUT_SECONDS", 0.05)

        async def scenario(client, shared, direct, links):
            with pytest.raises(OutcomeUnknown):
                await client.create(KIND, "a", b"{}")
            assert shared.peek(KIND, "a") is not None
            assert links[1].calls == 0

        run_relayed(scenario, silent, good)

    @pytest.mark.parametrize("first", [disconnected, partitioned_too])
    def test_a_peer_without_the_platform_is_skipped(self, first):
        async def scenario(client, shared, direct, links):
            await client.create(KIND, "a", b"{}")
            await client.get(KIND, "a")
            return links[0].calls

        assert run_relayed(scenario, first, good) <= 1

    def test_a_watch_that_failed_directly_does_not_wait_at_peers(self):
        """Guards against a watch that hangs at each peer in an outage of the platform.

        Its process learns only seconds later that the platform is back.
        """

        async def scenario(client, shared, direct, links):
            async def failing(kind, revision, timeout):
                raise PlatformUnavailable("no answer")

            direct.watch = failing
            async with curio.timeout_after(1.0):
                changes = await client.watch(KIND, 0, 5.0)
            assert changes.changes == ()
            async with curio.ignore_after(0.3):
                await client.watch(KIND, 0, 5.0)
                pytest.fail("the next watch does not wait")

        run_relayed(scenario, good)

    def test_without_a_direct_call_or_a_relay_it_is_unavailable(self):
        async def scenario(client, shared, direct, links):
            with pytest.raises(PlatformUnavailable):
                await client.create(KIND, "a", b"{}")
            assert shared.peek(KIND, "a") is None

        run_relayed(scenario, partitioned_too, partitioned_too)

    def test_calls_are_direct_again_after_a_successful_probe(self, monkeypatch):
        monkeypatch.setattr(relaying, "PROBE_SECONDS", 0.02)

        async def scenario(client, shared, direct, links):
            probing = await curio.spawn(client.run, daemon=True)
            await client.create(KIND, "a", b"{}")
            direct.partitioned = False
            await curio.sleep(0.1)
            calls = links[0].calls
            await client.get(KIND, "a")
            await probing.cancel()
            return calls, links[0].calls

        before, after = run_relayed(scenario, good)
        assert before == after == 1

    def test_a_read_leaves_a_silent_relay_once_the_platform_is_reached(
        self, monkeypatch
    ):
        """Guards against entries that stay out of date for seconds after a cut."""
        monkeypatch.setattr(relaying, "PROBE_SECONDS", 0.05)

        async def scenario(client, shared, direct, links):
            version = await shared.create(KIND, "a", b"{}")
            probing = await curio.spawn(client.run, daemon=True)
            async with curio.ignore_after(0.05):
                await client.get(KIND, "a")
            reading = await curio.spawn(client.watch, KIND, 0, 5.0)
            await curio.sleep(0.1)
            direct.partitioned = False
            direct.watch = shared.watch
            async with curio.timeout_after(0.5):
                changes = await reading.join()
            await probing.cancel()
            assert [change.version for change in changes.changes] == [version]

        run_relayed(scenario, silent, silent)

    def test_the_call_after_a_write_without_an_answer_is_relayed(self):
        """Guards against callers that wait 0.5 s for tokens in a partition.

        The write hangs until its timeout.  A direct read of the ledger after it would
        hang on the same broken connection.
        """

        async def scenario(client, shared, direct, links):
            async def hanging(kind, name, value):
                raise OutcomeUnknown("no answer")

            direct.create = hanging
            with pytest.raises(OutcomeUnknown):
                await client.create(KIND, "surco", b"1")
            await client.get(KIND, "surco")
            return direct.calls, links[0].calls

        assert run_relayed(scenario, good, partitioned=False) == (0, 1)

    def test_while_direct_calls_work_no_call_is_relayed(self):
        async def scenario(client, shared, direct, links):
            await client.create(KIND, "a", b"{}")
            await client.get(KIND, "a")
            return links[0].calls

        assert run_relayed(scenario, good, partitioned=False) == 0
