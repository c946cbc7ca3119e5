"""Tests of links: delivery, detection of silent peers and invalid messages."""

import time
from contextlib import suppress

import curio
import zmq

from ragwortkeel.exceptions import LinkLost
from ragwortkeel.links import Endpoint, Link, LinkDown, LinkUp, Received
from ragwortkeel.messages import Cancel, Envelope, Heartbeat, decode, encode

FAST = {"heartbeat_seconds": 0.05, "silence_seconds": 0.3}
SLOW = {"heartbeat_seconds": 30.0, "silence_seconds": 60.0}
"""A link that stays up in a pause of the process, and whose heartbeats don't wake a
reader."""


def run(main):
    with curio.Kernel(taskcls=curio.task.ContextTask) as kernel:
        return kernel.run(main)


def open_endpoint(address="127.0.0.1:0"):
    rv = Endpoint(address=address, incarnation="sidecar-1", revision=lambda: 4)
    rv.open()
    return rv


def link_to(address, inbox, times=FAST):
    return Link(
        name="s",
        address=address,
        incarnation="router-1",
        revision=lambda: 2,
        inbox=inbox,
        **times,
    )


async def echo(endpoint):
    while True:
        received = await endpoint.receive()
        # Messages of a replaced connection can no longer be answered.
        with suppress(LinkLost):
            await endpoint.send(received.peer, received.envelope.message)


async def next_event(inbox, kind):
    while True:
        event = await inbox.get()
        if isinstance(event, kind):
            return event


class TestLink:
    def test_messages_go_both_ways_with_sender_and_revision(self):
        async def main():
            endpoint, inbox = open_endpoint(), curio.Queue()
            server = await curio.spawn(echo, endpoint, daemon=True)
            link = link_to(endpoint.address, inbox)
            task = await curio.spawn(link.run, daemon=True)
            await next_event(inbox, LinkUp)
            await link.send(Cancel(nonce="n"))
            while True:
                event = await next_event(inbox, Received)
                if event.envelope.message == Cancel(nonce="n"):
                    break
            await task.cancel()
            await server.cancel()
            await endpoint.close()
            return event.envelope

        envelope = run(main)
        assert (envelope.sender, envelope.revision) == ("sidecar-1", 4)

    def test_silent_peer_is_detected_and_reconnected(self):
        """A link reconnects if an open connection no longer delivers messages.

        This happens if a device between the processes loses the state of the
        connection; a new connection works.
        """

        async def main():
            endpoint, inbox = open_endpoint(), curio.Queue()
            server = await curio.spawn(echo, endpoint, daemon=True)
            link = link_to(endpoint.address, inbox)
            task = await curio.spawn(link.run, daemon=True)
            await next_event(inbox, LinkUp)
            await server.cancel()
            await next_event(inbox, LinkDown)
            server = await curio.spawn(echo, endpoint, daemon=True)
            await next_event(inbox, LinkUp)
            await task.cancel()
            await server.cancel()
            await endpoint.close()

        run(main)

    def test_a_pause_of_the_own_process_is_no_silence_of_the_peer(self):
        """Guards against links to sound peers that all go down after a pause.

        The process doesn't run for longer than a peer may be silent.
        """

        async def main():
            endpoint, inbox = open_endpoint(), curio.Queue()
            server = await curio.spawn(echo, endpoint, daemon=True)
            link = link_to(endpoint.address, inbox)
            task = await curio.spawn(link.run, daemon=True)
            await next_event(inbox, LinkUp)
            for _ in range(5):
                time.sleep(2 * FAST["silence_seconds"])
                await curio.sleep(3 * FAST["heartbeat_seconds"])
            await task.cancel()
            await server.cancel()
            await endpoint.close()
            return [await inbox.get() for _ in range(inbox.qsize())]

        assert not any(isinstance(event, LinkDown) for event in run(main))

    def test_thousands_of_messages_at_once_all_arrive_in_order(self):
        """Guards against a reader that hangs after a lost edge of zmq's descriptor.

        A link that goes down may lose messages, so this one has time.
        """

        async def main():
            endpoint, inbox = open_endpoint(), curio.Queue()
            server = await curio.spawn(echo, endpoint, daemon=True)
            link = link_to(endpoint.address, inbox, SLOW)
            task = await curio.spawn(link.run, daemon=True)
            await next_event(inbox, LinkUp)
            for i in range(3000):
                await link.send(Cancel(nonce=str(i)))
            received = []
            async with curio.timeout_after(20):
                while len(received) < 3000:
                    message = (await next_event(inbox, Received)).envelope.message
                    if isinstance(message, Cancel):
                        received.append(int(message.nonce))
            await task.cancel()
            await server.cancel()
            await endpoint.close()
            return received

        assert run(main) == list(range(3000))

    def test_a_link_to_no_address_goes_on(self):
        """Guards against a link that is never tried again after one failure."""

        async def main():
            link = link_to("no address", curio.Queue())
            task = await curio.spawn(link.run, daemon=True)
            await curio.sleep(0.5)
            endpoint = open_endpoint()
            link.address = endpoint.address
            async with curio.ignore_after(10):
                await endpoint.receive()
            ended = task.terminated
            await task.cancel()
            await endpoint.close()
            return ended

        assert not run(main)


class TestEndpoint:
    def test_invalid_message_does_not_end_the_reader(self):
        async def main():
            endpoint = open_endpoint()
            other_client = zmq.Context.instance().socket(zmq.DEALER)
            other_client.setsockopt(zmq.LINGER, 0)
            other_client.connect(f"tcp://{endpoint.address}")
            other_client.send(b"not a message")
            inbox = curio.Queue()
            link = link_to(endpoint.address, inbox)
            task = await curio.spawn(link.run, daemon=True)
            async with curio.timeout_after(10):
                received = await endpoint.receive()
            await task.cancel()
            other_client.close()
            await endpoint.close()
            return received.envelope.message

        assert run(main) == Heartbeat()

    def test_a_peer_whose_identity_is_no_text_gets_its_answer(self):
        """Guards against a process that is deaf after a message of a foreign peer."""

        async def main():
            endpoint = open_endpoint()
            client = zmq.Context.instance().socket(zmq.DEALER)
            client.setsockopt(zmq.LINGER, 0)
            client.setsockopt(zmq.IDENTITY, b"\xff\xfe/1")
            client.connect(f"tcp://{endpoint.address}")
            envelope = Envelope(sender="p/1", revision=0, message=Heartbeat())
            client.send(encode(envelope))
            async with curio.timeout_after(10):
                received = await endpoint.receive()
                await endpoint.send(received.peer, Heartbeat(running=7))
                while not client.poll(0):
                    await curio.sleep(0.01)
            answer = decode(client.recv())
            client.close()
            await endpoint.close()
            return answer.message

        assert run(main) == Heartbeat(running=7)
