"""Failures of a response that another task ends while its peer reads slowly."""

import curio
import h11
import pytest
from tests.test_send_buffer import BLOCK, connected_pair

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.http_responder import Responder
from ragwortkeel.send_buffer import HeldBytes
from ragwortkeel.usage_counters import ByteCounter

REFUSAL = 503, b"{}", {"content-type": "application/problem+json"}


def run_responder(scenario, *, version="1.1"):
    """Run ``scenario(responder, peer, held, counter)`` after a received request."""

    async def main():
        held, counter = HeldBytes(memory_bytes=2**30), ByteCounter()
        sock, peer = await connected_pair()
        conn = h11.Connection(h11.SERVER)
        conn.receive_data(f"GET / HTTP/{version}\r\nhost: a\r\n\r\n".encode())
        conn.next_event(), conn.next_event()
        responder = Responder(sock=sock, conn=conn, counter=counter, held=held)
        try:
            async with curio.timeout_after(10):
                return await scenario(responder, peer, held, counter)
        finally:
            await responder.close_buffer()
            await sock.close()
            await peer.close()

    with curio.Kernel() as kernel:
        return kernel.run(main)


async def read_to_end(responder, peer):
    """Close as the server does; return what the peer reads and whether it sees an end.

    A reset is no end: the peer knows then that the body is not complete.
    """
    await responder.close_buffer()
    await responder._sock.close()
    received = b""
    try:
        while block := await peer.recv(65536):
            received += block
    except OSError:
        return received, False
    return received, True


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("blocks", [0, 4])
def test_an_answer_that_is_ended_looks_incomplete(version, blocks):
    """Guards against held bytes, or an end, that follow a cut-off answer."""

    async def scenario(responder, peer, held, counter):
        await responder.start_with(200, [("content-type", "text/plain")], b"first")
        for _ in range(blocks):
            await responder.send_ready(BLOCK)
        await curio.sleep(0.01)
        held_before = held.total
        responder.end(*REFUSAL)
        for write in (
            responder.send_ready(b"late", last=True),
            responder.finish(),
            responder.respond(*REFUSAL),
            responder.refuse(*REFUSAL),
        ):
            with pytest.raises(ExchangeBroken):
                await write
        assert held.total == 0
        sent_bytes, received = counter.sent_bytes, b""
        # Makes room in the socket, which must not be used for what was held.
        async with curio.ignore_after(0.3):
            while block := await peer.recv(65536):
                received += block
        assert counter.sent_bytes == sent_bytes
        rest, ended = await read_to_end(responder, peer)
        return held_before, (received + rest, ended)

    held_before, (received, ended) = run_responder(scenario, version=version)
    assert (held_before > 0) == (blocks > 0)
    assert b"late" not in received
    assert b"503" not in received
    assert not received.endswith(b"0\r\n\r\n")
    assert version == "1.1" or not ended


def test_an_aborted_answer_without_a_length_looks_incomplete():
    """Guards against a body of HTTP/1.0 that ends as if it were whole."""

    async def scenario(responder, peer, held, counter):
        await responder.start_with(200, [("content-type", "text/plain")], b"first")
        await responder.abort(0.05)
        return await read_to_end(responder, peer)

    _, ended = run_responder(scenario, version="1.0")
    assert not ended


def test_an_exchange_that_is_ended_before_its_answer_is_refused():
    async def scenario(responder, peer, held, counter):
        responder.end(*REFUSAL)
        return counter.sent_bytes, await read_to_end(responder, peer)

    sent_bytes, (received, ended) = run_responder(scenario)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert received.endswith(b"\r\n\r\n{}")
    assert (sent_bytes, ended) == (len(received), True)


def test_a_refusal_is_sent_whole_by_a_socket_that_takes_a_part():
    """Guards against a refusal that is lost, and bytes that are not counted."""

    async def scenario(responder, peer, held, counter):
        refusing = await curio.spawn(responder.refuse, 503, BLOCK * 4, {})
        await curio.sleep(0.05)
        held_before = held.total
        reading = await curio.spawn(read, peer)
        await refusing.join()
        await responder.close_buffer()
        await responder._sock.close()
        return held_before, await reading.join(), counter.sent_bytes, held.total

    async def read(peer):
        received = b""
        while block := await peer.recv(65536):
            received += block
        return received

    held_before, received, sent_bytes, held = run_responder(scenario)
    assert held_before > 0
    assert received.endswith(b"\r\n\r\n" + BLOCK * 4)
    assert (sent_bytes, held) == (len(received), 0)
