"""Ports for processes that are told theirs in advance.

A port that the system picks for a moment may be taken by somebody's outgoing
connection before its process binds it: seen as "Address already in use" with
several suites on one machine.  So ports come from below the range that the
system picks from, each process of tests beginning elsewhere, and none twice.
"""

import os
import socket
from itertools import count

HOST = "127.0.0.1"
FIRST_PORT = 12_000
PORT_COUNT = 20_000
PORTS_PER_PROCESS = 127

_numbers = count(os.getpid() * PORTS_PER_PROCESS)


def free_port():
    """Return a port that nobody listens on."""
    for number in _numbers:
        port = FIRST_PORT + number % PORT_COUNT
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
    raise AssertionError("unreachable: the numbers do not end")


def free_address():
    """Return a free ``ip:port``."""
    return f"{HOST}:{free_port()}"
