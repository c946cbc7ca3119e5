"""Clients that keep to no limits, and what the process that serves them uses."""

import os
import socket
from contextlib import suppress
from pathlib import Path

from deployments.fleet import HOST, TIMEOUT_SECONDS

PIECE_BYTES = 64 * 1024
_LISTEN_STATE = "0A"


class Crowd:
    """Connections of one test to one port; the process may close any of them."""

    def __init__(self, port):
        self._port = port
        self._open = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for sock in self._open:
            sock.close()

    def connect(self, count):
        """Open connections and return them."""
        found = []
        for _ in range(count):
            with suppress(OSError):
                found.append(
                    socket.create_connection((HOST, self._port), TIMEOUT_SECONDS)
                )
        self._open += found
        return found

    def send_in_turn(self, streams):
        """Send the next piece on each connection in turn, until all have ended.

        `streams` is a list of pairs of a connection and an iterator of pieces.
        """
        active = list(streams)
        while active:
            active = [each for each in active if self._sends_next(*each)]

    def _sends_next(self, sock, pieces):
        piece = next(pieces, None)
        if piece is None:
            return False
        try:
            sock.sendall(piece)
        except OSError:
            # Refused, and closed by the process.
            return False
        return True

    def is_read(self):
        """Return whether the process has read all that has arrived."""
        return unread_bytes(self._port) == 0


def pieces(data, size=PIECE_BYTES):
    """Yield the data in pieces."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def chunked(data, size):
    """Return the data in chunks of one size, without the last chunk."""
    return b"".join(
        b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces(data, size)
    )


def unread_bytes(port):
    """Return the bytes that wait in the kernel for the process at a local port."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        local_port = int(fields[1].rpartition(":")[2], 16)
        if local_port == port and fields[3] != _LISTEN_STATE:
            total += int(fields[4].rpartition(":")[2], 16)
    return total


def peak_memory_bytes(program):
    """Return the largest resident memory that the process has had."""
    for line in Path(f"/proc/{program.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no peak of the resident memory")


def open_descriptors(program):
    """Return the number of descriptors that the process has open."""
    return len(os.listdir(f"/proc/{program.popen.pid}/fd"))
