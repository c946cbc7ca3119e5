"""Tests of the byte counts of links, by kind of message."""

import curio

from ragwortkeel.links import Endpoint, Link, LinkUp
from ragwortkeel.messages import CrashSeen, Heartbeat
from ragwortkeel.metrics import Metrics
from ragwortkeel.traffic import Traffic, format_largest


class TestTraffic:
    def test_a_report_holds_the_bytes_since_the_last_report(self):
        traffic = Traffic()
        traffic.record_sent(Heartbeat(), 60)
        traffic.record_sent(Heartbeat(), 60)
        traffic.record_received(CrashSeen(crash_id="c", fingerprints=()), 90)
        first, second = traffic.drain_report(), traffic.drain_report()
        assert (first.sent_bytes, first.received_bytes) == (120, 90)
        assert (second.sent_bytes, second.received_bytes) == (0, 0)

    def test_the_largest_kinds_come_first(self):
        sizes = {"A": 1, "B": 5, "C": 3, "D": 4, "E": 2}
        assert format_largest(sizes) == "B:5,D:4,C:3,E:2"

    def test_links_count_both_directions(self):
        """Guard against links that one kind of message fills unnoticed.

        Without counts such a link looks like a slow one: messages are only late.
        """

        async def main():
            asked, answering = Traffic(), Traffic()
            endpoint = Endpoint(
                address="127.0.0.1:0", incarnation="e", revision=int, traffic=answering
            )
            endpoint.open()
            inbox = curio.Queue()
            link = Link(
                name="peer",
                address=endpoint.address,
                incarnation="l",
                revision=int,
                inbox=inbox,
                traffic=asked,
            )
            task = await curio.spawn(link.run, daemon=True)
            received = await endpoint.receive()
            await endpoint.send(received.peer, Heartbeat(leaving=True))
            async with curio.timeout_after(5):
                while not isinstance(await inbox.get(), LinkUp):
                    pass
            await task.cancel()
            await endpoint.close()
            return asked.drain_report(), answering.drain_report()

        asked, answering = curio.run(main)
        assert answering.received_bytes_by_kind["Heartbeat"] > 0
        assert asked.received_bytes == answering.sent_bytes > 0

    def test_metrics_add_up_reports(self):
        traffic, metrics = Traffic(), Metrics()
        for _ in range(2):
            traffic.record_sent(Heartbeat(), 60)
            metrics.record_link_traffic(traffic.drain_report())
        line = 'link_bytes_total{direction="sent",message="Heartbeat"} 120.0'
        assert line in metrics.render().decode()
