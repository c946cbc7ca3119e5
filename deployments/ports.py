"""Chooses free ports for processes that get their port before they start.

Ports are below the system's ephemeral range. A port from that range can be used by
an outgoing connection of another process before its own process binds it, which
then fails with "Address already in use" when several test suites run on one
machine. The first port depends on the process id, so that concurrent test
processes start at different ports, and a process rarely reuses a port.
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
    """Return a port that no process is bound to."""
    for number in _numbers:
        port = FIRST_PORT + number % PORT_COUNT
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
    raise AssertionError("unreachable: the sequence of ports is endless")


def free_address():
    """Return a loopback address with a free port, as ``ip:port``."""
    return f"{HOST}:{free_port()}"
