"""Patterns of load: peers that read slowly or never, one and many."""

import socket
import struct

import curio
import pytest

from ragwortkeel.exceptions import ExchangeBroken
from ragwortkeel.send_buffer import MAX_CONNECTION_BYTES, HeldBytes, SendBuffer

BLOCK = bytes(range(256)) * 1024


async def connected_pair():
    """Return a buffer's socket and its peer, with small buffers in the system."""
    listener = curio.network.tcp_server_socket("127.0.0.1", 0)
    peer = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await peer.connect(listener.getsockname())
    sock, _ = await listener.accept()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await listener.close()
    return sock, peer


def run_pairs(scenario, *, count=1, **options):
    """Run ``scenario(held, *pairs)`` with pairs of a buffer and its peer."""

    async def main():
        held = HeldBytes(**options)
        pairs = [await connected_pair() for _ in range(count)]
        buffers = [SendBuffer(sock=sock, held=held, peer="caller") for sock, _ in pairs]
        try:
            async with curio.timeout_after(10):
                peers = [peer for _, peer in pairs]
                return await scenario(held, *zip(buffers, peers, strict=True))
        finally:
            for buffer, (sock, peer) in zip(buffers, pairs, strict=True):
                await buffer.close()
                await sock.close()
                await peer.close()

    with curio.Kernel() as kernel:
        return kernel.run(main)


async def read(peer, size):
    received = b""
    while len(received) < size:
        block = await peer.recv(65536)
        if not block:
            raise ConnectionError("closed early")
        received += block
    return received


def test_bytes_arrive_once_and_in_order_after_interrupted_waits():
    """Guards against a time limit that loses or repeats bytes of a blocked write."""

    async def scenario(held, pair):
        buffer, peer = pair
        for number in range(5):
            await buffer.write(b"%d" % number + BLOCK)
            async with curio.ignore_after(0.01):
                await buffer.wait_for_room()
        assert held.total == buffer.held_bytes > 4 * len(BLOCK)
        received = await read(peer, 5 * (len(BLOCK) + 1))
        await buffer.drain()
        return received, held.total

    received, total = run_pairs(scenario)
    assert received == b"".join(b"%d" % number + BLOCK for number in range(5))
    assert total == 0


def test_a_writer_waits_for_a_peer_that_never_reads():
    """Guards against memory without bound for one slow reader."""

    async def scenario(held, pair):
        buffer, _ = pair
        blocks = 0
        async with curio.ignore_after(0.2):
            while True:
                await buffer.wait_for_room(held.max_connection_bytes)
                await buffer.write(b"x" * 4096)
                blocks += 1
        return buffer.held_bytes

    held_bytes = run_pairs(scenario, memory_bytes=2**30)
    assert 0 < held_bytes - MAX_CONNECTION_BYTES <= 4096


def test_the_reader_for_whom_most_is_held_is_ended_at_the_bound():
    """Guards against hundreds of slow readers that use up the memory."""
    ended = []

    async def scenario(held, *pairs):
        for (buffer, _), size in zip(pairs, (300, 500, 100, 300), strict=True):
            await buffer.write(b"x" * size * 1000)
        (_, first), (most, most_peer), *_ = pairs
        with pytest.raises(ExchangeBroken):
            await most.drain()
        with pytest.raises(OSError):
            await read(most_peer, 500_000)
        return held.total, len(ended), await read(first, 300_000)

    total, count, received = run_pairs(
        scenario, count=4, memory_bytes=8_000_000, on_ended=lambda: ended.append(1)
    )
    assert total <= 700_000
    assert (count, len(received)) == (1, 300_000)


def test_a_peer_that_reads_nothing_of_a_ready_answer_is_ended():
    async def scenario(held, pair):
        buffer, _ = pair
        await buffer.write(BLOCK)
        with pytest.raises(ExchangeBroken):
            await buffer.drain(stall_seconds=0.1)
        return held.total

    assert run_pairs(scenario) == 0


def test_a_peer_that_reads_slowly_is_not_ended_as_stalled():
    async def scenario(held, pair):
        buffer, peer = pair
        await buffer.write(BLOCK)
        reader = await curio.spawn(read_slowly, peer, len(BLOCK))
        await buffer.drain(stall_seconds=0.3)
        return await reader.join()

    async def read_slowly(peer, size):
        received = b""
        while len(received) < size:
            await curio.sleep(0.01)
            received += await peer.recv(8192)
        return received

    assert run_pairs(scenario) == BLOCK


def test_a_peer_that_leaves_while_bytes_are_held_ends_the_wait():
    async def scenario(held, pair):
        buffer, peer = pair
        await buffer.write(BLOCK)
        linger = struct.pack("ii", 1, 0)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await peer.close()
        with pytest.raises(ExchangeBroken):
            await buffer.drain()
        with pytest.raises(ExchangeBroken):
            await buffer.write(b"x")
        await buffer.close()
        return held.total

    assert run_pairs(scenario) == 0
