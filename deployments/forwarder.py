"""A TCP forwarder that runs as a separate process and simulates network faults.

SIGUSR1 stalls all current connections: they stay open but no longer forward data,
while new connections work. SIGUSR2 closes all connections and refuses new ones
until the next SIGUSR2.
"""

import selectors
import signal
import socket
import sys

CHUNK_BYTES = 65536


class Forwarder:
    """Forwards bytes between a listening port and a target."""

    def __init__(self, *, listen, target):
        self.target = target
        self.selector = selectors.DefaultSelector()
        self.opposite_by_socket = {}
        self.stalled = set()
        self.is_disconnected = False
        self.pending_signals = []
        self.listener = socket.create_server(listen)
        self.selector.register(self.listener, selectors.EVENT_READ)

    def stall(self):
        """Stop forwarding on all current connections without closing them."""
        for sock in self.opposite_by_socket:
            if sock not in self.stalled:
                self.stalled.add(sock)
                self.selector.unregister(sock)

    def toggle_disconnected(self):
        """Close all connections and refuse new ones, or accept them again."""
        self.is_disconnected = not self.is_disconnected
        if self.is_disconnected:
            for sock in list(self.opposite_by_socket):
                self.close_pair(sock)

    def queue_signal(self, number, _frame):
        """Queue a signal for the loop of `run`."""
        # A signal may arrive while `run` changes the connections.
        self.pending_signals.append(number)

    def run(self):
        """Forward until the process is killed."""
        while True:
            while self.pending_signals:
                action_by_signal = {
                    signal.SIGUSR1: self.stall,
                    signal.SIGUSR2: self.toggle_disconnected,
                }
                action_by_signal[self.pending_signals.pop(0)]()
            for key, _ in self.selector.select(0.05):
                if key.fileobj is self.listener:
                    self.accept()
                elif key.fileobj in self.opposite_by_socket:
                    self.forward(key.fileobj)

    def accept(self):
        """Accept a connection and connect it to the target."""
        sock, _ = self.listener.accept()
        try:
            opposite = (
                None
                if self.is_disconnected
                else socket.create_connection(self.target, 2)
            )
        except OSError:
            opposite = None
        if opposite is None:
            sock.close()
            return
        self.opposite_by_socket |= {sock: opposite, opposite: sock}
        for end in (sock, opposite):
            self.selector.register(end, selectors.EVENT_READ)

    def forward(self, sock):
        """Forward the received bytes, or close both sockets at the end or an error."""
        try:
            data = sock.recv(CHUNK_BYTES)
            if data:
                self.opposite_by_socket[sock].sendall(data)
        except OSError:
            data = b""
        if not data:
            self.close_pair(sock)

    def close_pair(self, sock):
        """Close a socket and the socket it forwards to."""
        opposite = self.opposite_by_socket.pop(sock, None)
        if sock in self.stalled:
            self.stalled.discard(sock)
        elif sock in {k.fileobj for k in self.selector.get_map().values()}:
            self.selector.unregister(sock)
        sock.close()
        if opposite in self.opposite_by_socket:
            self.close_pair(opposite)


def main():
    """Forward between the two addresses in the command line arguments."""
    host, port, target_host, target_port = sys.argv[1:]
    forwarder = Forwarder(
        listen=(host, int(port)), target=(target_host, int(target_port))
    )
    for number in (signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(number, forwarder.queue_signal)
    forwarder.run()


if __name__ == "__main__":
    main()
