"""How fast a change spreads, and what it costs each node.

Plays the exchange of a whole fleet in changed_object process, round by round, with lost
messages: ``python -m benchmarks.configuration_spread``.  One line a size.
"""

from random import Random

from ragwortkeel.configuration import PROFILES, Node
from ragwortkeel.configuration_exchange import Exchange
from ragwortkeel.configuration_schedule import WATCHERS_PER_ZONE, rendezvous
from ragwortkeel.configuration_store import ConfigurationStore
from ragwortkeel.gossip import DIGEST_INTERVAL_SECONDS, PUSH_INTERVAL_SECONDS
from ragwortkeel.messages import Envelope, VersionedObject, encode
from ragwortkeel.router.neighbours import peers_to_link

SIZES = ((3, 3), (50, 5), (250, 25), (1_000, 25))
CHANGES = 40
LOSS_FRACTION = 0.01
PUSH_ROUNDS_PER_COMPARE = round(DIGEST_INTERVAL_SECONDS / PUSH_INTERVAL_SECONDS)
MAX_ROUNDS = 100
VALUE = b'{"pad":"%s"}' % (b"x" * 280)


class Fleet:
    """Exchanges of all nodes by address; counts the bytes each sends."""

    def __init__(self, *, node_count: int, zones: int, random: Random) -> None:
        self.random = random
        self.nodes = [_node(number, zones) for number in range(node_count)]
        self.exchange_by_address = {
            node.address: self._exchange(node) for node in self.nodes
        }
        self.sent_bytes = 0

    def change(self, version: int) -> None:
        """Let each zone's watchers learn a change."""
        changed_object = VersionedObject(
            kind=PROFILES, name=f"p{version}", version=version, value=VALUE
        )
        for zone in {node.zone for node in self.nodes}:
            members = [node.address for node in self.nodes if node.zone == zone]
            for address in rendezvous(zone, members, WATCHERS_PER_ZONE):
                self.exchange_by_address[address].merge_objects([changed_object])

    def rounds_until_everywhere(self) -> int:
        """Play rounds until all stores are equal; return how many it took."""
        for round_number in range(MAX_ROUNDS):
            if len({e.store.root(PROFILES) for e in self._exchanges()}) == 1:
                return round_number
            self.run_round(compare=round_number % PUSH_ROUNDS_PER_COMPARE == 0)
        return MAX_ROUNDS

    def run_round(self, *, compare: bool) -> None:
        """Play changed_object round of pushes, and of digests where `compare`."""
        in_flight = []
        for address, exchange in self.exchange_by_address.items():
            sends = exchange.next_pushes() + (exchange.next_digest() if compare else [])
            in_flight += [(address, send) for send in sends]
        while in_flight:
            sender, send = in_flight.pop()
            envelope = Envelope(sender=sender, revision=1, message=send.message)
            self.sent_bytes += len(encode(envelope))
            if self.random.random() < LOSS_FRACTION:
                continue
            receiver = self.exchange_by_address[send.peer]
            answers = receiver.receive(sender, send.message)
            in_flight += [(send.peer, answer) for answer in answers]

    def _exchange(self, node: Node) -> Exchange:
        exchange = Exchange(
            store=ConfigurationStore(kinds=(PROFILES,)),
            random=Random(self.random.random()),
        )
        found = peers_to_link(self.nodes, address=node.address, zone=node.zone)
        exchange.exchange_peers = sorted(found)
        return exchange

    def _exchanges(self):
        return self.exchange_by_address.values()


def _node(number: int, zones: int) -> Node:
    address = f"10.{number // 250}.0.{number % 250}:7100"
    return Node(
        incarnation=f"r{number}",
        role="router",
        zone=f"z{number % zones}",
        address=address,
        http_address=address,
    )


def main() -> None:
    """Print changed_object line for each size of fleet."""
    for nodes, zones in SIZES:
        fleet = Fleet(node_count=nodes, zones=zones, random=Random(1))
        rounds = []
        for version in range(1, CHANGES + 1):
            fleet.change(version)
            rounds.append(fleet.rounds_until_everywhere())
        per_change = fleet.sent_bytes / CHANGES / nodes
        worst = max(rounds) * PUSH_INTERVAL_SECONDS
        mean = sum(rounds) / CHANGES * PUSH_INTERVAL_SECONDS
        print(
            f"nodes={nodes} zones={zones} changes={CHANGES} loss={LOSS_FRACTION} "
            f"mean_seconds={mean:.2f} worst_seconds={worst:.2f} "
            f"bytes_per_node_per_change={per_change:.0f}"
        )


if __name__ == "__main__":
    main()
