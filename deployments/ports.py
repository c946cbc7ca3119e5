"""Chooses free ports for processes that get their port before they start.

Ports are below the system's ephemeral range. A port from that range can be used by
an outgoing connection of another process before its own process binds it. The
bind then fails with "Address already in use"; this happens when several test
suites run on one machine. For the same reason each process takes its ports from
blocks that no other process has: one whose program is down for a moment would
otherwise lose its port to another test process.
"""

import os
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"
FIRST_PORT = 12_000
PORT_COUNT = 20_000
PORTS_PER_BLOCK = 125
BLOCK_COUNT = PORT_COUNT // PORTS_PER_BLOCK


class PortBlocks:
    """Hands out ports from blocks that are claimed until the process ends.

    Parameters
    ----------
    first_block : int
        Number of the block that is tried first.
    """

    def __init__(self, *, first_block: int) -> None:
        self._first_block = first_block
        self._claims: list[socket.socket] = []
        self._ports = self._all_ports()

    def take(self) -> int:
        """Return a port that no process is bound to."""
        return next(port for port in self._ports if _is_free(port))

    def _all_ports(self) -> Iterator[int]:
        own = []
        for offset in range(BLOCK_COUNT):
            block = (self._first_block + offset) % BLOCK_COUNT
            if self._claim(block):
                own.append(block)
                yield from _ports_of(block)
        while own:
            for block in own:
                yield from _ports_of(block)
        raise RuntimeError("other processes have claimed all blocks of ports")

    def _claim(self, block: int) -> bool:
        # An abstract name belongs to the network namespace, as ports do, and is
        # released when its process ends, however that happens.
        claim = socket.socket(socket.AF_UNIX)
        try:
            claim.bind(f"\0ragwortkeel-ports-{block}")
        except OSError:
            claim.close()
            return False
        self._claims.append(claim)
        return True

    def close(self) -> None:
        """Release all blocks."""
        while self._claims:
            self._claims.pop().close()


def _ports_of(block: int) -> range:
    first = FIRST_PORT + block * PORTS_PER_BLOCK
    return range(first, first + PORTS_PER_BLOCK)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


_blocks = PortBlocks(first_block=os.getpid())


def free_port() -> int:
    """Return a port that no process is bound to, and no other process is given."""
    return _blocks.take()


def free_address() -> str:
    """Return a loopback address with a free port, as ``ip:port``."""
    return f"{HOST}:{free_port()}"
