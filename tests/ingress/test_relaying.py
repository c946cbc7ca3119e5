"""Calls of the platform round a cut: the same outcomes as straight ones."""

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


class CutOff(LocalPlatform):
    """The straight way, which a test may cut; its objects are another's."""

    def __init__(self, whole):
        super().__init__()
        self.whole = whole
        self.cut = True
        self.calls = 0

    async def get(self, kind, name, *, stale=False):
        self.calls += 1
        if self.cut:
            raise PlatformUnavailable("cut off")
        return await self.whole.get(kind, name)

    async def create(self, kind, name, value):
        return await self._straight(self.whole.create(kind, name, value))

    async def _straight(self, call):
        if self.cut:
            call.close()
            raise PlatformUnavailable("cut off")
        return await call


class PeerLink:
    """A link to a peer that makes calls on a platform of its own."""

    def __init__(self, name, platform, *, loses_answers=False, broken=False):
        self.name = name
        self.platform = platform
        self.loses_answers = loses_answers
        self.broken = broken
        self.calls = 0

    async def send(self, call):
        if self.broken:
            raise LinkLost("gone")
        self.calls += 1
        answer = await execute_call(self.platform, call)
        if not self.loses_answers:
            await self.client.receive_answer(answer)


def relayed(scenario, *links_of, cut=True):
    """Run ``await scenario(client, whole, direct, links)`` with these peers."""

    async def main():
        whole = LocalPlatform()
        direct = CutOff(whole)
        direct.cut = cut
        links = [new(whole) for new in links_of]
        client = RelayedPlatform(direct=direct, relays=lambda: links)
        for link in links:
            link.client = client
        return await scenario(client, whole, direct, links)

    return curio.run(main)


def good(whole):
    return PeerLink("good", whole)


def mute(whole):
    return PeerLink("mute", whole, loses_answers=True)


def gone(whole):
    return PeerLink("gone", whole, broken=True)


def cut_off_too(whole):
    return PeerLink("cut", CutOff(whole))


class TestRelaying:
    def test_reads_writes_and_watches_go_through_a_peer(self):
        """Budgets can't be renewed for the length of a cut.

        All entry instances lost the platform; the instances beside the upstreams
        still reached it.
        """

        async def scenario(client, whole, direct, links):
            version = await client.create(KIND, "a", b"{}")
            stored = await client.get(KIND, "a")
            assert (stored.value, stored.version) == (b"{}", version)
            later = await client.update(KIND, "a", b"[]", version)
            listing = await client.list(KIND)
            assert listing.by_name["a"].version == later
            changes = await client.watch(KIND, version, 0.1)
            assert [change.version for change in changes.changes] == [later]
            assert await client.get(KIND, "none") is None

        relayed(scenario, good)

    def test_conflicts_come_back_as_they_are(self):
        async def scenario(client, whole, direct, links):
            version = await client.create(KIND, "a", b"{}")
            with pytest.raises(AlreadyExists):
                await client.create(KIND, "a", b"{}")
            with pytest.raises(VersionConflict):
                await client.update(KIND, "a", b"{}", version + 1)

        relayed(scenario, good)

    def test_a_write_whose_answer_a_peer_lost_is_unknown(self, monkeypatch):
        """A budget is drawn twice: the first draw was taken for not done.

        The peer had written, and its answer was lost on the way back.
        """
        monkeypatch.setattr(relaying, "ANSWER_TIMEOUT_SECONDS", 0.05)

        async def scenario(client, whole, direct, links):
            with pytest.raises(OutcomeUnknown):
                await client.create(KIND, "a", b"{}")
            assert whole.peek(KIND, "a") is not None
            assert links[1].calls == 0

        relayed(scenario, mute, good)

    @pytest.mark.parametrize("first", [gone, cut_off_too])
    def test_a_peer_that_can_not_help_is_passed_over(self, first):
        async def scenario(client, whole, direct, links):
            await client.create(KIND, "a", b"{}")
            await client.get(KIND, "a")
            return links[0].calls

        assert relayed(scenario, first, good) <= 1

    def test_without_any_way_the_platform_is_unavailable(self):
        async def scenario(client, whole, direct, links):
            with pytest.raises(PlatformUnavailable):
                await client.create(KIND, "a", b"{}")
            assert whole.peek(KIND, "a") is None

        relayed(scenario, cut_off_too, cut_off_too)

    def test_the_straight_way_is_taken_again_once_it_is_back(self, monkeypatch):
        monkeypatch.setattr(relaying, "PROBE_SECONDS", 0.02)

        async def scenario(client, whole, direct, links):
            looking = await curio.spawn(client.run, daemon=True)
            await client.create(KIND, "a", b"{}")
            direct.cut = False
            await curio.sleep(0.1)
            calls = links[0].calls
            await client.get(KIND, "a")
            await looking.cancel()
            return calls, links[0].calls

        before, after = relayed(scenario, good)
        assert before == after == 1

    def test_after_a_write_without_an_answer_a_peer_is_asked(self):
        """Callers wait half a second for tokens when all processes are cut off.

        The write hung until its timeout; its writer then looked at the ledger, and
        that call hung on the same dead connection.
        """

        async def scenario(client, whole, direct, links):
            async def hanging(kind, name, value):
                raise OutcomeUnknown("no answer")

            direct.create = hanging
            with pytest.raises(OutcomeUnknown):
                await client.create(KIND, "surco", b"1")
            await client.get(KIND, "surco")
            return direct.calls, links[0].calls

        assert relayed(scenario, good, cut=False) == (0, 1)

    def test_while_the_straight_way_works_no_peer_is_asked(self):
        async def scenario(client, whole, direct, links):
            await client.create(KIND, "a", b"{}")
            await client.get(KIND, "a")
            return links[0].calls

        assert relayed(scenario, good, cut=False) == 0
