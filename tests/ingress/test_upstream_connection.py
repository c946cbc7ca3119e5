"""Tests of one connection to an upstream: what sending a request costs."""

import socket
import tracemalloc

import curio
from curio.task import ContextTask

from ragwortkeel.ingress.upstream_connection import UpstreamConnection, UpstreamRequest
from ragwortkeel.send_buffer import HeldBytes

BODY_BYTES = 4 * 1024 * 1024


def test_a_large_body_is_not_copied():
    """Guards against bodies that are held twice while an upstream does not read."""
    own, other = socket.socketpair()
    request = UpstreamRequest(
        method="POST", target="/a", fields=(("host", "a"),), body=bytes(BODY_BYTES)
    )

    async def main():
        connection = UpstreamConnection(
            sock=curio.io.Socket(own), id_header="x-request-id", held=HeldBytes()
        )
        tracemalloc.start()
        sending = await curio.spawn(connection.send, request)
        await curio.sleep(0)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await sending.cancel()
        await connection.close()
        return peak_bytes

    with curio.Kernel(taskcls=ContextTask) as kernel:
        peak_bytes = kernel.run(main)
    other.close()
    assert peak_bytes < BODY_BYTES // 2
