"""Tests of the write order by the links that are up, and of its messages."""

from time import monotonic

import curio

from ragwortkeel.budget.write_order import UNREACHABLE_LATENCY_CLASS
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
        own_latency_class=lambda: step,
        is_leaving=lambda: leaves,
    )
    for address in links:
        rv.record_writer(node=f"node-{address}", address=address, latency_class=0)
    return rv


def three():
    return {f"peer{i}:1": FakeLink() for i in range(3)}


WRITTEN = RenewalsWritten(boot=1.0, outcome=WriteOutcome.DONE)


class TestOrder:
    def test_a_slow_process_ranks_after_all_fast_ones(self):
        assert writers(three(), step=UNREACHABLE_LATENCY_CLASS).rank() == 3

    def test_a_stopping_process_ranks_last_and_delegates(self):
        links = three()
        order = writers(links, leaves=True)
        assert order.rank() == 3
        assert curio.run(order.delegate, RenewalCall()) in links

    def test_a_stopping_or_avoided_peer_is_not_counted(self):
        order = writers(three(), step=UNREACHABLE_LATENCY_CLASS)
        order.record_leaving("peer0:1", leaving=True)
        order.avoid("peer1:1")
        assert order.rank() == 1
        order.record_leaving("peer0:1", leaving=False)
        assert order.rank() == 2

    def test_a_peer_whose_link_is_down_is_not_counted(self):
        links = three()
        order = writers(links, step=UNREACHABLE_LATENCY_CLASS)
        del links["peer0:1"]
        assert order.rank() == 2


class EchoingLink(FakeLink):
    """A link whose peer echoes a heartbeat after `echoes_after` seconds, or never."""

    def __init__(self, *, echoes_after=None):
        super().__init__()
        self.last_received_at = monotonic()
        self._echoes_after = echoes_after

    async def try_send(self, message):
        if self._echoes_after is not None:
            await curio.spawn(self._echo, daemon=True)
        return await super().try_send(message)

    async def _echo(self):
        await curio.sleep(self._echoes_after)
        self.last_received_at = monotonic()


class TestProbes:
    def test_a_process_that_echoes_a_heartbeat_is_live(self):
        links = {"peer0:1": EchoingLink(echoes_after=0.02)}
        assert curio.run(writers(links).responds, "peer0:1")

    def test_a_process_without_an_echo_since_the_probe_is_not_live(self):
        """Guards against callers that wait for a process that was just killed."""
        links = {"peer0:1": EchoingLink()}
        assert not curio.run(writers(links).responds, "peer0:1")

    def test_a_process_without_a_link_is_not_live(self):
        assert not curio.run(writers({}).responds, "peer0:1")


class TestDelegation:
    def test_the_first_writer_delegates_to_nobody(self):
        assert curio.run(writers({}).delegate, RenewalCall()) is None

    def test_renewals_that_could_not_be_sent_are_not_delegated(self):
        """Guards against callers that wait for renewals that nobody received."""
        links = {"peer0:1": FakeLink(broken=True)}
        order = writers(links, step=UNREACHABLE_LATENCY_CLASS)
        assert curio.run(order.delegate, RenewalCall()) is None

    def test_all_peers_get_a_request_and_a_holder_its_outcome(self):
        links = three()
        order = writers(links)
        assert curio.run(order.request_renewals) == 3
        curio.run(order.send_outcome, "node-peer1:1/0a1b", WRITTEN)
        assert [len(link.sent) for link in links.values()] == [1, 2, 1]

    def test_an_unknown_holder_gets_no_outcome(self):
        links = three()
        curio.run(writers(links).send_outcome, "stranger/0a1b", WRITTEN)
        assert not any(link.sent for link in links.values())
