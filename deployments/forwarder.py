"""A TCP forwarder in a process of its own, which tests can cut or silence.

USR1 silences the connections that are open now: they stay open and carry
nothing more, while new ones work.  USR2 cuts all and refuses new ones, and the
next USR2 lets them through again.
"""

import selectors
import signal
import socket
import sys

CHUNK = 65536


class Forwarder:
    """Carries bytes between a listening port and a target."""

    def __init__(self, *, listen, target):
        self.target = target
        self.selector = selectors.DefaultSelector()
        self.peers = {}
        self.silent = set()
        self.is_cut = False
        self.asked = []
        self.listener = socket.create_server(listen)
        self.selector.register(self.listener, selectors.EVENT_READ)

    def silence(self):
        """Carry nothing more on the connections of this moment."""
        for sock in self.peers:
            if sock not in self.silent:
                self.silent.add(sock)
                self.selector.unregister(sock)

    def toggle_cut(self):
        """End all connections and refuse new ones, or stop doing so."""
        self.is_cut = not self.is_cut
        if self.is_cut:
            for sock in list(self.peers):
                self.drop(sock)

    def ask(self, number, _frame):
        """Note a signal for the next step."""
        # Acted on between two steps of `run`: a handler may come in the middle.
        self.asked.append(number)

    def run(self):
        """Forward until killed."""
        while True:
            while self.asked:
                act = {signal.SIGUSR1: self.silence, signal.SIGUSR2: self.toggle_cut}
                act[self.asked.pop(0)]()
            for key, _ in self.selector.select(0.05):
                if key.fileobj is self.listener:
                    self.accept()
                elif key.fileobj in self.peers:
                    self.forward(key.fileobj)

    def accept(self):
        """Take a connection and open its other side."""
        sock, _ = self.listener.accept()
        try:
            other = None if self.is_cut else socket.create_connection(self.target, 2)
        except OSError:
            other = None
        if other is None:
            sock.close()
            return
        self.peers |= {sock: other, other: sock}
        for one in (sock, other):
            self.selector.register(one, selectors.EVENT_READ)

    def forward(self, sock):
        """Pass on what has come."""
        try:
            data = sock.recv(CHUNK)
            if data:
                self.peers[sock].sendall(data)
        except OSError:
            data = b""
        if not data:
            self.drop(sock)

    def drop(self, sock):
        """Close a connection and its other side."""
        other = self.peers.pop(sock, None)
        if sock in self.silent:
            self.silent.discard(sock)
        elif sock in {k.fileobj for k in self.selector.get_map().values()}:
            self.selector.unregister(sock)
        sock.close()
        if other in self.peers:
            self.drop(other)


def main():
    """Forward as the command line says."""
    host, port, target_host, target_port = sys.argv[1:]
    forwarder = Forwarder(
        listen=(host, int(port)), target=(target_host, int(target_port))
    )
    for number in (signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(number, forwarder.ask)
    forwarder.run()


if __name__ == "__main__":
    main()
