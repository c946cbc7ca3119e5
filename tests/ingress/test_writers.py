"""Who writes the ledgers for whom, as far as the links tell."""

from time import monotonic

import curio

from ragwortkeel.budget.turns import UNREACHABLE_STEP
from ragwortkeel.ingress.writers import Writers
from ragwortkeel.messages import RenewalCall, RenewalsWritten, WriteOutcome


class FakeLink:
    def __init__(self, *, broken=False):
        self.broken = broken
        self.sent = []

    async def try_send(self, message):
        if not self.broken:
            self.sent.append(message)
        return not self.broken


def writers(links, *, step=0, leaves=False, reply=None):
    rv = Writers(
        address="own:1",
        links=lambda: links,
        process_count=lambda: len(links) + 1,
        reply=reply,
        own_step=lambda: step,
        is_leaving=lambda: leaves,
    )
    for address in links:
        rv.record_writer(node=f"node-{address}", address=address, step=0)
    return rv


def three():
    return {f"peer{i}:1": FakeLink() for i in range(3)}


WRITTEN = RenewalsWritten(boot=1.0, outcome=WriteOutcome.DONE)


class TestOrder:
    def test_a_slow_process_stands_behind_all_quick_ones(self):
        assert writers(three(), step=UNREACHABLE_STEP).rank() == 3

    def test_a_process_that_leaves_stands_last_and_hands_over(self):
        links = three()
        one = writers(links, leaves=True)
        assert one.rank() == 3
        assert curio.run(one.delegate, RenewalCall()) in links

    def test_a_peer_that_leaves_or_was_mute_is_not_counted(self):
        one = writers(three(), step=UNREACHABLE_STEP)
        one.record_leaving("peer0:1", leaving=True)
        one.avoid("peer1:1")
        assert one.rank() == 1
        one.record_leaving("peer0:1", leaving=False)
        assert one.rank() == 2

    def test_a_peer_that_is_no_longer_heard_is_not_counted(self):
        links = three()
        one = writers(links, step=UNREACHABLE_STEP)
        del links["peer0:1"]
        assert one.rank() == 2


class EchoingLink(FakeLink):
    """A link over which a heartbeat is echoed after a while, or never."""

    def __init__(self, *, echoes_after=None):
        super().__init__()
        self.heard_at = monotonic()
        self._echoes_after = echoes_after

    async def try_send(self, message):
        if self._echoes_after is not None:
            await curio.spawn(self._echo, daemon=True)
        return await super().try_send(message)

    async def _echo(self):
        await curio.sleep(self._echoes_after)
        self.heard_at = monotonic()


class TestProbes:
    def test_a_process_that_echoes_a_heartbeat_lives(self):
        links = {"peer0:1": EchoingLink(echoes_after=0.02)}
        assert curio.run(writers(links).responds, "peer0:1")

    def test_one_that_was_heard_only_before_counts_as_dead(self):
        """Guards against callers who wait for a process that was just killed."""
        links = {"peer0:1": EchoingLink()}
        assert not curio.run(writers(links).responds, "peer0:1")

    def test_one_without_a_link_counts_as_dead(self):
        assert not curio.run(writers({}).responds, "peer0:1")


class TestHandingOver:
    def test_the_first_of_all_hands_over_to_nobody(self):
        assert curio.run(writers({}).delegate, RenewalCall()) is None

    def test_what_could_not_be_sent_was_not_handed_over(self):
        """Callers wait for tokens that nobody was asked for."""
        links = {"peer0:1": FakeLink(broken=True)}
        one = writers(links, step=UNREACHABLE_STEP)
        assert curio.run(one.delegate, RenewalCall()) is None

    def test_all_are_called_and_a_holder_is_told_by_its_name(self):
        links = three()
        one = writers(links)
        assert curio.run(one.request_renewals) == 3
        curio.run(one.send_outcome, "node-peer1:1/0a1b", WRITTEN)
        assert [len(link.sent) for link in links.values()] == [1, 2, 1]

    def test_a_holder_that_is_not_known_is_told_nothing(self):
        links = three()
        curio.run(writers(links).send_outcome, "stranger/0a1b", WRITTEN)
        assert not any(link.sent for link in links.values())
