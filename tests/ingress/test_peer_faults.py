"""Messages of peers that no correct peer would send, or that come at a wrong time."""

from contextlib import suppress

import curio
import pytest
import zmq
from deployments.ports import free_address
from tests.ingress.in_process import ledger, run_ingress
from tests.ingress.random_messages import RandomMessages

from ragwortkeel.budget.clocks import Stamp
from ragwortkeel.exceptions import LinkLost
from ragwortkeel.links import Endpoint, Link, Received
from ragwortkeel.messages import (
    BlockDecisions,
    ClockAnswer,
    ClockQuestion,
    HandedRenewals,
    Heartbeat,
    LoanRequest,
)

MESSAGES_PER_WAY = 400
PREPAID = 1_000_000


class OddPeer:
    """A peer that sends any message, as requests and in place of answers.

    It is started again under its name, at other addresses of its sockets.
    """

    def __init__(self, *, address, target, revision=lambda: 1):
        self.address = address
        self.revision = revision
        self.target = target
        self.inbox = curio.Queue()
        self.endpoint = None
        self.link = None
        self.identities = []
        self.tasks = []

    async def start(self, start):
        incarnation = f"odd/{start}"
        self.endpoint = Endpoint(
            address=self.address, incarnation=incarnation, revision=self.revision
        )
        await self._open()
        self.link = Link(
            name="target",
            address=self.target,
            incarnation=incarnation,
            revision=self.revision,
            inbox=self.inbox,
        )
        self.tasks = [
            await curio.spawn(self.link.run, daemon=True),
            await curio.spawn(self._listen, daemon=True),
        ]
        while not (self.link.up and self.identities):
            await curio.sleep(0.01)

    async def _open(self):
        """Bind the socket, once zmq has released that of the earlier start."""
        while True:
            try:
                self.endpoint.open()
            except zmq.ZMQError:
                await curio.sleep(0.01)
            else:
                return

    async def stop(self):
        for task in self.tasks:
            await task.cancel()
        await self.endpoint.close()
        self.identities.clear()

    async def _listen(self):
        while True:
            received = await self.endpoint.receive()
            if received.peer not in self.identities:
                self.identities.append(received.peer)
            if isinstance(received.envelope.message, Heartbeat):
                await self.answer(Heartbeat())

    async def answer(self, message):
        """Send a message over the connection that the target has made."""
        with suppress(LinkLost):
            await self.endpoint.send(self.identities[-1], message)

    async def has_answer(self):
        """Return whether the target still answers over this peer's link."""
        await self.link.try_send(ClockQuestion(asked_at=4711.0))
        async with curio.ignore_after(5.0):
            while True:
                match await self.inbox.get():
                    case Received(envelope=envelope):
                        match envelope.message:
                            case ClockAnswer(asked_at=4711.0):
                                return True
        return False


def texts(fleet):
    """Return names that mean something to the first process."""
    worker = fleet.workers[0]
    return (
        "odd",
        "odd/1",
        "odd/2",
        "ingress-0",
        worker._budget_keeper.allowances.holder,
        "surco",
        "u1",
        "e1",
        "app",
        "pool",
        "ingress-upstreams",
        "main",
        *fleet.links,
    )


async def with_odd_peer(fleet, play, **options):
    """Run `play(peer)` with an odd peer of the first process."""
    peer = OddPeer(address=free_address(), target=fleet.links[0], **options)
    fleet.workers[0]._peers.add_addresses((peer.address,))
    await peer.start(1)
    try:
        return await play(peer)
    finally:
        await peer.stop()


def crashes(caplog):
    """Return the tasks that ended by an error."""
    return [
        record.getMessage()
        for record in caplog.records
        if record.name == "curio.kernel" and record.exc_info
    ]


class TestFuzz:
    @pytest.mark.parametrize("seed", range(4))
    def test_no_message_of_a_peer_ends_a_task(self, seed, caplog):
        """Guards against processes that end, or go deaf, by what a peer sends."""

        async def scenario(fleet):
            messages = RandomMessages(seed=seed, texts=texts(fleet))

            async def play(peer):
                for start in (1, 2):
                    drawn = messages.of_all_types()
                    drawn += [messages.message() for _ in range(MESSAGES_PER_WAY)]
                    for message in drawn:
                        await peer.link.try_send(message)
                        await peer.answer(message)
                        await curio.sleep(0.001)
                    await curio.sleep(0.5)
                    found = await peer.has_answer()
                    if start == 1:
                        await peer.stop()
                        await peer.start(2)
                return found

            found = await with_odd_peer(fleet, play, revision=messages.integer)
            stored = await ledger(fleet)
            ended = [task.terminated for task in fleet.tasks]
            return found, stored, ended

        found, stored, ended = run_ingress(scenario, prepaid=PREPAID)
        assert crashes(caplog) == []
        assert not any(ended)
        assert found
        assert stored.held <= stored.prepaid


class TestFailedHandling:
    MESSAGES = (
        LoanRequest(
            customer="surco", lacking=1, holding=0, demand=1, largest_request=1
        ),
        BlockDecisions(decisions=()),
        HandedRenewals(
            holder="odd/1", stamp=Stamp(boot=1.0, wall=1.0), renewal_by_customer={}
        ),
    )
    HANDLERS = ("lend", "receive_block_decisions", "receive_renewals")

    def test_it_costs_that_message_only(self, caplog):
        """Guards against a process that goes deaf as one message can't be handled."""

        async def scenario(fleet):
            handler = fleet.workers[0]
            for name in self.HANDLERS:
                setattr(handler, name, _fail)

            async def play(peer):
                for message in self.MESSAGES:
                    await peer.link.try_send(message)
                    await peer.answer(message)
                return await peer.has_answer()

            found = await with_odd_peer(fleet, play)
            return found, handler.metrics.render().decode()

        found, counted = run_ingress(scenario)
        assert found
        assert crashes(caplog) == []
        for message in self.MESSAGES:
            kind = type(message).__name__
            sample = f'ragwortkeel_messages_failed_total{{message="{kind}"}}'
            assert sample in counted


def _fail(*args, **options):
    raise KeyError("a fault in the handler")
