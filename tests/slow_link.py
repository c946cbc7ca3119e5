"""A link of 10 Mbit/s between a client and a server in the same process."""

from time import monotonic

import curio

BYTES_PER_SECOND = 1_250_000
PIECE_BYTES = 12_500


async def send_paced(sock, data):
    """Send the data at the pace of the link, also if timers are late."""
    started_at = monotonic()
    for first in range(0, len(data), PIECE_BYTES):
        piece = data[first : first + PIECE_BYTES]
        await sock.sendall(piece)
        due_at = started_at + (first + len(piece)) / BYTES_PER_SECOND
        await curio.sleep(max(0.0, due_at - monotonic()))


async def receive_paced(sock, size):
    """Receive `size` bytes at the pace of the link."""
    started_at, left = monotonic(), size
    while left > 0:
        data = await sock.recv(min(PIECE_BYTES, left))
        if not data:
            raise ConnectionResetError("the client closed the connection")
        left -= len(data)
        due_at = started_at + (size - left) / BYTES_PER_SECOND
        await curio.sleep(max(0.0, due_at - monotonic()))


class SlowLink:
    """Forwards connections to a server; what it answers arrives at the link's pace.

    Attributes
    ----------
    received_bytes : int
        Bytes that passed towards the client.
    """

    def __init__(self, address):
        host, port = address.split(":")
        self._server = (host, int(port))
        self.received_bytes = 0

    async def __aenter__(self):
        self._sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._task = await curio.spawn(
            curio.network.run_server, self._sock, self._forward, daemon=True
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._task.cancel()

    async def _forward(self, client, address):
        server = await curio.open_connection(*self._server)
        async with server, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._forward_requests, client, server)
            await group.spawn(self._forward_answers, server, client)

    async def _forward_requests(self, client, server):
        try:
            while data := await client.recv(65536):
                await server.sendall(data)
        except OSError:
            pass  # One of both has closed.

    async def _forward_answers(self, server, client):
        try:
            while data := await server.recv(PIECE_BYTES):
                self.received_bytes += len(data)
                await send_paced(client, data)
        except OSError:
            pass  # One of both has closed.
